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
	SentHeader   = "X-Sent-Ns" // when the client sent the request, in nanoseconds of the judge's clock
	DaemonHeader = "X-From"    // number of the daemon that the request was sent to
)

const (
	rateInterval      = 4 * time.Second       // length of the intervals in which a rate is checked
	holdDuration      = 60 * time.Millisecond // service time of requests of a concurrency limit
	maxKnownRequests  = 1 << 17               // far more than can be open at once
	maxStoredExcesses = 1000
	maxClockSkew      = 0.02 // default of the daemons
)

// Judge plays the servers and checks the limits. It counts the requests that arrive, by limit and part, on one clock.
// Of a limit it knows its configuration and the formula of its bound, and nothing about its enforcement. A request
// counts once, when its first attempt arrives. It was admitted after its client sent it and before it arrived, so if
// both times lie within an interval, the request was admitted in that interval, however late it arrived. For a
// concurrency limit a request counts from the start of its first attempt to the end of its last one. An attempt that
// the sidecar cancelled by closing the connection does not count from then on, which a server observes a little later.
//
// A Judge is safe for concurrent use.
type Judge struct {
	startedAt time.Time
	config    *quota.Config
	matcher   *quota.Matcher
	daemons   int

	// maxLateness is the assumed maximum time from a request's admission to its arrival; 0: no assumption. With it,
	// requests that were sent before an interval count as well, such as those that a stopped sidecar admits when it
	// continues.
	maxLateness time.Duration

	mu       sync.Mutex
	tallies  map[string]*tally // by quota.Limit.Key
	requests map[string]*request
	order    []string // ids of requests, the oldest first
	total    int
	excesses []excess
}

// request is a request with all its attempts.
type request struct {
	daemon       string
	sentAt       time.Duration
	arrivedAt    time.Duration
	openAttempts int  // attempts in progress
	cancelled    bool // the connection of an attempt was closed

	leftAt       time.Duration // when its last attempt ended; 0: an attempt is in progress
	answeredAt   time.Duration // when its client received a response or timed out; 0: not yet
	clientStatus int           // status of the response; 0: none
}

// String describes the request with its times, for messages about an excess.
func (x *request) String() string {
	ms := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	return fmt.Sprintf("d%s sent %v, arrived %v, left %v, client %d at %v",
		x.daemon, ms(x.sentAt), ms(x.arrivedAt), ms(x.leftAt), x.clientStatus, ms(x.answeredAt))
}

// excess records that more requests were open at once than a limit admits, with those that may turn out to be
// cancelled.
type excess struct {
	tally    *tally
	at       time.Duration
	requests []*request
}

// tally counts the requests of one part of a limit.
type tally struct {
	limit           *quota.Limit
	node            int
	sentRecently    []*request        // sent within the last interval
	arrivedRecently []*request        // arrived within the last interval; used with maxLateness
	openRequests    map[*request]bool // requests in progress, of a concurrency limit
	count           int
	maxCount        float64       // largest number of requests in an interval, or at once
	maxUse          float64       // largest number as a fraction of the bound
	violation       string        // description of the first violation; empty: none
	from            time.Duration // start of the interval in which the limit was exceeded
	to              time.Duration // end of that interval
}

// NewJudge returns a Judge for the limits of a configuration and a fleet with the given number of daemons.
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
			j.tallies[l.Key(i)] = &tally{limit: l, node: i, openRequests: map[*request]bool{}}
		}
	}
	return j
}

// Now returns the time of the judge's clock, which starts at 0 in NewJudge.
func (j *Judge) Now() time.Duration { return time.Since(j.startedAt) }

// interval returns the length of the intervals in which requests are counted, which for a window is its own length.
func (t *tally) interval() time.Duration {
	if t.limit.Kind == quota.Window {
		return time.Duration(t.limit.Window)
	}
	return rateInterval
}

// bound returns the most that may be admitted in such an interval while all daemons are cut off from the store.
func (t *tally) bound(daemons int) float64 {
	bound, _ := t.limit.UpperBound(t.node, int64(t.interval()), 0, maxClockSkew, daemons)
	return bound
}

// ServeHTTP counts an attempt and responds to it, after holdDuration if it belongs to the concurrency limit.
func (j *Judge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived, held := j.arrive(r)
	if strings.HasPrefix(r.URL.Path, "/look/held") {
		ctx, cancel := context.WithTimeout(r.Context(), holdDuration)
		<-ctx.Done() // or until the sidecar closes the connection
		cancel()
	}
	j.leave(arrived, held, r.Context().Err() != nil)
	_, _ = w.Write([]byte("ok"))
}

// arrive counts an attempt, and returns its request and the tallies of the concurrency limits that it counts for.
func (j *Judge) arrive(r *http.Request) (arrived *request, held []*tally) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.Now()
	arrived, isFirst := j.request(r, now)
	arrived.openAttempts++
	query := quota.Request{Class: "look", Path: r.URL.Path, Header: r.Header.Get}
	for _, charge := range j.matcher.Match(nil, &query) {
		for node := charge.Node; ; node = charge.Limit.Nodes[node].Parent {
			t := j.tallies[charge.Limit.Key(node)]
			if isFirst {
				t.count++
			}
			if t.limit.Kind == quota.Concurrency {
				t.openRequests[arrived] = true
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

// request returns the request of an attempt, and whether the attempt is its first. The lock is held.
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

// leave records the end of an attempt.
func (j *Judge) leave(x *request, held []*tally, cancelled bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	x.cancelled = x.cancelled || cancelled
	x.openAttempts--
	if x.openAttempts > 0 {
		return
	}
	x.leftAt = j.Now()
	for _, t := range held {
		delete(t.openRequests, x)
	}
}

// ClientEnded records that the client of a request received a response with a status, or timed out if status is 0. This
// has no influence on the checks. It helps to find the cause of an excess.
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
	length := t.interval()
	bound := t.bound(j.daemons)
	t.sentRecently = slices.DeleteFunc(append(t.sentRecently, arrived),
		func(x *request) bool { return x.sentAt <= now-length })
	n := float64(len(t.sentRecently))
	t.maxCount = max(t.maxCount, n)
	t.maxUse = max(t.maxUse, n/bound)
	if n > bound && t.violation == "" {
		t.from, t.to = now-length, now
		t.violation = fmt.Sprintf("%s, part %q: %.0f in %v at %v, and the bound is %.1f; by daemon: %s",
			t.limit.Name, t.limit.Nodes[t.node].Path, n, length, now.Round(time.Millisecond), bound,
			describe(t.sentRecently))
	}
}

// judgeArrivals compares the requests that arrived within an interval with the bound of those that may have been
// admitted up to maxLateness before it. The lock is held.
func (j *Judge) judgeArrivals(t *tally, arrived *request, now time.Duration) {
	length := rateInterval
	if t.limit.Kind == quota.Window {
		length = max(time.Duration(t.limit.Window)-j.maxLateness, j.maxLateness)
	}
	bound, _ := t.limit.UpperBound(t.node, int64(length), int64(j.maxLateness), maxClockSkew, j.daemons)
	t.arrivedRecently = slices.DeleteFunc(append(t.arrivedRecently, arrived),
		func(x *request) bool { return x.arrivedAt <= now-length })
	n := float64(len(t.arrivedRecently))
	if n > bound && t.violation == "" {
		t.from, t.to = now-length, now
		t.violation = fmt.Sprintf("%s, part %q: %.0f arrived in %v at %v, and the bound is %.1f; by daemon: %s",
			t.limit.Name, t.limit.Nodes[t.node].Path, n, length, now.Round(time.Millisecond), bound,
			describe(t.arrivedRecently))
	}
}

// describe describes for each daemon how many of the requests were sent to it, the interval in which they arrived, and
// the longest time that one took to arrive.
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
	n := float64(len(t.openRequests))
	bound := t.bound(j.daemons)
	if n <= bound {
		t.maxCount = max(t.maxCount, n)
		t.maxUse = max(t.maxUse, n/bound)
		return
	}
	e := excess{tally: t, at: now}
	for x := range t.openRequests {
		e.requests = append(e.requests, x)
	}
	if len(j.excesses) < maxStoredExcesses {
		j.excesses = append(j.excesses, e)
	}
}

// firstExcess returns the first interval in which a limit was exceeded; ok is false if there is none.
func (j *Judge) firstExcess() (from, to time.Duration, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, t := range j.tallies {
		if t.violation != "" && (!ok || t.to < to) {
			from, to, ok = t.from, t.to, true
		}
	}
	return from, to, ok
}

// counts returns the number of all requests and of those of the named limit.
func (j *Judge) counts(name string) (all, ofLimit int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.total, j.tallies[j.config.Find(name).Key(0)].count
}

// PartCount is what the servers counted for a part of a limit. Its JSON is part of the output of limit torture.
type PartCount struct {
	Limit    string  `json:"limit"`
	Part     string  `json:"part"`
	Count    int     `json:"count"`
	MaxCount float64 `json:"most_in_window"` // largest number of requests in an interval, or at once
	Bound    float64 `json:"bound"`
	MaxUse   float64 `json:"near"` // largest number as a fraction of the bound
}

// Result returns the counts of each part of each limit, and descriptions of the limits that were exceeded.
func (j *Judge) Result() (all []PartCount, broken []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, e := range j.excesses {
		e.judge()
	}
	for _, l := range j.config.Limits {
		for i, n := range l.Nodes {
			t := j.tallies[l.Key(i)]
			all = append(all, PartCount{l.Name, n.Path, t.count, t.maxCount, t.bound(j.daemons), t.maxUse})
			if t.violation != "" {
				broken = append(broken, t.violation)
			}
		}
	}
	return all, broken
}

// judge checks an excess again. Requests that were cancelled, or open for longer than the longest time of the limit, do
// not count.
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
	t.maxCount = max(t.maxCount, float64(n))
	t.maxUse = max(t.maxUse, float64(n)/bound)
	if float64(n) > bound && t.violation == "" {
		t.from, t.to = e.at, e.at
		slices.Sort(counted)
		t.violation = fmt.Sprintf("%s, part %q: %d at once at %v, and the limit is %.0f: %s",
			t.limit.Name, t.limit.Nodes[t.node].Path, n, e.at.Round(time.Millisecond), bound, strings.Join(counted, "; "))
	}
}
