package limitlab

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"birchmoor/internal/controlplane/quota"
)

// Headers of the lab's requests. A sidecar forwards them.
const (
	SentHeader   = "X-Sent-Ns" // when the client sent it, in nanoseconds of the judge's clock
	DaemonHeader = "X-From"    // the daemon that it was sent to
)

const (
	rateJudgedFor     = 4 * time.Second       // length of the intervals in which a rate is judged
	heldFor           = 60 * time.Millisecond // how long servers take for a request of a concurrency limit
	maxKnownRequests  = 1 << 17               // far more than can be open
	maxStoredExcesses = 1000
	maxClockSkew      = 0.02 // of the daemons, by their default
)

// Judge is the servers: it counts what arrives, by limit and part, on one clock, and knows of limits what their file says
// and the formula of their bound, nothing of how they are enforced. A request counts once, when it first arrives,
// however often it is tried. It was admitted after its client sent it and before it arrived, so that a request of which
// both lie within an interval was admitted in it, however late it was. Of a concurrency limit it counts from its first
// attempt's start to its last one's end; an attempt that its sidecar cancelled, by closing its connection, does not from
// then on, which a server observes a little later.
type Judge struct {
	startedAt time.Time
	config    *quota.Config
	matcher   *quota.Matcher
	daemons   int

	// maxLateness is the time from a request's admission to its arrival that is assumed; 0: none is. With it, requests
	// that were sent before an interval count as well, such as those that a stopped sidecar admits when it continues.
	maxLateness time.Duration

	mu       sync.Mutex
	tallies  map[string]*tally // by quota.Limit.Key
	requests map[string]*request
	order    []string // of requests, the oldest first
	total    int
	excesses []excess
}

type request struct {
	daemon    string
	sentAt    time.Duration
	arrivedAt time.Duration
	open      int  // attempts
	cancelled bool // an attempt of it has ended by its connection's end

	leftAt       time.Duration // when its last attempt ended; 0: it is open
	answeredAt   time.Duration // when its client had an answer, or gave up; 0: not yet
	clientStatus int           // of the answer; 0: there was none
}

// String says when what happened to a request.
func (x *request) String() string {
	ms := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	return fmt.Sprintf("d%s sent %v, arrived %v, left %v, client %d at %v",
		x.daemon, ms(x.sentAt), ms(x.arrivedAt), ms(x.leftAt), x.clientStatus, ms(x.answeredAt))
}

// excess is that more requests were open at once than a limit admits, not counting those that are known to be cancelled.
type excess struct {
	tally    *tally
	at       time.Duration
	requests []*request
}

// tally is what arrived of one part of one limit.
type tally struct {
	limit  *quota.Limit
	node   int
	recent []*request        // sent within the length that is judged
	late   []*request        // arrived within the length that is judged with an assumed lateness
	open   map[*request]bool // of a concurrency limit
	count  int
	most   float64 // in the length that is judged
	near   float64 // the most, by the bound
	broken string
	from   time.Duration // when the interval began in which it was exceeded
	to     time.Duration
}

// NewJudge returns servers that have seen no request yet.
func NewJudge(config *quota.Config, daemons int) *Judge {
	j := &Judge{
		startedAt: time.Now(),
		config:    config,
		matcher:   quota.NewMatcher(config),
		daemons:   daemons,
		tallies:   map[string]*tally{},
		requests:  map[string]*request{},
	}
	for _, l := range config.Limits {
		for i := range l.Nodes {
			j.tallies[l.Key(i)] = &tally{limit: l, node: i, open: map[*request]bool{}}
		}
	}
	return j
}

// Now is the time on the judge's clock.
func (j *Judge) Now() time.Duration { return time.Since(j.startedAt) }

// judgedFor is the length of the intervals in which requests are counted: of a window its own.
func (t *tally) judgedFor() time.Duration {
	if t.limit.Kind == quota.Window {
		return time.Duration(t.limit.Window)
	}
	return rateJudgedFor
}

// bound is the most that may be admitted in such an interval while all daemons are cut off from the store.
func (t *tally) bound(daemons int) float64 {
	bound, _ := t.limit.UpperBound(t.node, int64(t.judgedFor()), 0, maxClockSkew, daemons)
	return bound
}

// ServeHTTP serves a request as a server does.
func (j *Judge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived, held := j.arrive(r)
	if strings.HasPrefix(r.URL.Path, "/look/held") {
		ctx, cancel := context.WithTimeout(r.Context(), heldFor)
		<-ctx.Done() // or the client has gone
		cancel()
	}
	j.leave(arrived, held, r.Context().Err() != nil)
	_, _ = w.Write([]byte("ok"))
}

// arrive counts an attempt, and returns its request and the concurrency limits that it counts for.
func (j *Judge) arrive(r *http.Request) (arrived *request, held []*tally) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.Now()
	arrived, isFirst := j.request(r, now)
	arrived.open++
	query := quota.Request{Class: "look", Path: r.URL.Path, Header: r.Header.Get}
	for _, charge := range j.matcher.Match(nil, &query) {
		for node := charge.Node; ; node = charge.Limit.Nodes[node].Parent {
			t := j.tallies[charge.Limit.Key(node)]
			if isFirst {
				t.count++
			}
			if t.limit.Kind == quota.Concurrency {
				t.open[arrived] = true
				held = append(held, t)
				j.judgeConcurrency(t, now)
			} else if isFirst {
				j.judgeInterval(t, arrived, now)
				if j.maxLateness > 0 {
					j.judgeArrivals(t, arrived, now)
				}
			}
			if node == 0 {
				break
			}
		}
	}
	return arrived, held
}

// request returns the request of an attempt, and whether it is the first of it. The lock is held.
func (j *Judge) request(r *http.Request, now time.Duration) (x *request, isFirst bool) {
	id := r.Header.Get("X-Trace-Id")
	if x := j.requests[id]; x != nil {
		return x, false
	}
	x = &request{daemon: r.Header.Get(DaemonHeader), sentAt: now, arrivedAt: now}
	if sent, err := strconv.ParseInt(r.Header.Get(SentHeader), 10, 64); err == nil {
		x.sentAt = time.Duration(sent)
	}
	j.requests[id] = x
	j.order = append(j.order, id)
	if len(j.order) > maxKnownRequests {
		delete(j.requests, j.order[0])
		j.order = j.order[1:]
	}
	j.total++
	return x, true
}

// leave notes the end of an attempt.
func (j *Judge) leave(x *request, held []*tally, cancelled bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	x.cancelled = x.cancelled || cancelled
	x.open--
	if x.open > 0 {
		return
	}
	x.leftAt = j.Now()
	for _, t := range held {
		delete(t.open, x)
	}
}

// ClientEnded notes that the client of a request has an answer of a status, or 0 if it gave up. It counts for nothing,
// and tells an excess's causes apart.
func (j *Judge) ClientEnded(id string, status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if x := j.requests[id]; x != nil {
		x.answeredAt, x.clientStatus = j.Now(), status
	}
}

// judgeInterval compares the requests that were sent and arrived within the last interval with their bound. The lock is
// held.
func (j *Judge) judgeInterval(t *tally, arrived *request, now time.Duration) {
	length := t.judgedFor()
	bound := t.bound(j.daemons)
	t.recent = slices.DeleteFunc(append(t.recent, arrived), func(x *request) bool { return x.sentAt <= now-length })
	n := float64(len(t.recent))
	t.most = max(t.most, n)
	t.near = max(t.near, n/bound)
	if n > bound && t.broken == "" {
		t.from, t.to = now-length, now
		t.broken = fmt.Sprintf("%s, part %q: %.0f in %v at %v, and the bound is %.1f; by daemon: %s",
			t.limit.Name, t.limit.Nodes[t.node].Path, n, length, now.Round(time.Millisecond), bound, describe(t.recent))
	}
}

// judgeArrivals compares the requests that arrived within an interval with the bound of those that may have been
// admitted up to maxLateness before it. The lock is held.
func (j *Judge) judgeArrivals(t *tally, arrived *request, now time.Duration) {
	length := rateJudgedFor
	if t.limit.Kind == quota.Window {
		length = max(time.Duration(t.limit.Window)-j.maxLateness, j.maxLateness)
	}
	bound, _ := t.limit.UpperBound(t.node, int64(length), int64(j.maxLateness), maxClockSkew, j.daemons)
	t.late = slices.DeleteFunc(append(t.late, arrived), func(x *request) bool { return x.arrivedAt <= now-length })
	n := float64(len(t.late))
	if n > bound && t.broken == "" {
		t.from, t.to = now-length, now
		t.broken = fmt.Sprintf("%s, part %q: %.0f arrived in %v at %v, and the bound is %.1f; by daemon: %s",
			t.limit.Name, t.limit.Nodes[t.node].Path, n, length, now.Round(time.Millisecond), bound, describe(t.late))
	}
}

// describe says for each daemon how many of the requests were sent to it, from when to when they arrived, and the
// longest that one took.
func describe(requests []*request) string {
	byDaemon := map[string][]*request{}
	for _, x := range requests {
		byDaemon[x.daemon] = append(byDaemon[x.daemon], x)
	}
	var parts []string
	for daemon, all := range byDaemon {
		first, last, longest := all[0].arrivedAt, all[0].arrivedAt, time.Duration(0)
		for _, x := range all {
			first, last = min(first, x.arrivedAt), max(last, x.arrivedAt)
			longest = max(longest, x.arrivedAt-x.sentAt)
		}
		parts = append(parts, fmt.Sprintf("d%s %d from %v to %v, %v old at most", daemon, len(all),
			first.Round(time.Millisecond), last.Round(time.Millisecond), longest.Round(time.Millisecond)))
	}
	slices.Sort(parts)
	return strings.Join(parts, "; ")
}

// judgeConcurrency compares the open requests with the limit. Whether an excess counts is decided at the end, when all
// cancelled requests are known. The lock is held.
func (j *Judge) judgeConcurrency(t *tally, now time.Duration) {
	n := float64(len(t.open))
	bound := t.bound(j.daemons)
	if n <= bound {
		t.most = max(t.most, n)
		t.near = max(t.near, n/bound)
		return
	}
	e := excess{tally: t, at: now}
	for x := range t.open {
		e.requests = append(e.requests, x)
	}
	if len(j.excesses) < maxStoredExcesses {
		j.excesses = append(j.excesses, e)
	}
}

// firstExcess is the interval in which a limit was first exceeded; ok is false if none was.
func (j *Judge) firstExcess() (from, to time.Duration, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, t := range j.tallies {
		if t.broken != "" && (!ok || t.to < to) {
			from, to, ok = t.from, t.to, true
		}
	}
	return from, to, ok
}

// counts are all requests, and those of a whole limit.
func (j *Judge) counts(name string) (all, ofLimit int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.total, j.tallies[j.config.Find(name).Key(0)].count
}

// Seen is what servers saw of a part of a limit.
type Seen struct {
	Limit string  `json:"limit"`
	Part  string  `json:"part"`
	Count int     `json:"count"`
	Most  float64 `json:"most_in_window"`
	Bound float64 `json:"bound"`
	Near  float64 `json:"near"` // the most, by the bound
}

// Result returns what servers saw of each part of each limit, and what was exceeded.
func (j *Judge) Result() (all []Seen, broken []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range j.excesses {
		e.judge()
	}
	for _, l := range j.config.Limits {
		for i, n := range l.Nodes {
			t := j.tallies[l.Key(i)]
			all = append(all, Seen{l.Name, n.Path, t.count, t.most, t.bound(j.daemons), t.near})
			if t.broken != "" {
				broken = append(broken, t.broken)
			}
		}
	}
	return all, broken
}

// judge counts the requests of an excess that were neither cancelled nor longer open than the limit allows for.
func (e *excess) judge() {
	t := e.tally
	n := 0
	var counted []string
	for _, x := range e.requests {
		if !x.cancelled && e.at-x.arrivedAt < time.Duration(t.limit.Window) {
			n++
			counted = append(counted, x.String())
		}
	}
	bound := float64(t.limit.Nodes[t.node].Capacity) / float64(quota.AmountUnit)
	t.most = max(t.most, float64(n))
	t.near = max(t.near, float64(n)/bound)
	if float64(n) > bound && t.broken == "" {
		t.from, t.to = e.at, e.at
		slices.Sort(counted)
		t.broken = fmt.Sprintf("%s, part %q: %d at once at %v, and the limit is %.0f: %s",
			t.limit.Name, t.limit.Nodes[t.node].Path, n, e.at.Round(time.Millisecond), bound, strings.Join(counted, "; "))
	}
}
