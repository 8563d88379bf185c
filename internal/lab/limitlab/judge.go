package limitlab

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"birchmoor/internal/controlplane/quota"
)

// Judge is the servers: it counts what comes, by limit and part, on one clock, and knows of limits what their file says and the formula of
// their bound, nothing of how they hold. A request counts once, when it first comes, however often it is tried; at once it counts from its
// first try's beginning to its last one's end; a try that its sidecar gave up, by closing its connection, is none from then on, which a server
// hears a little later.
type Judge struct {
	begun time.Time
	conf  *quota.Config
	match *quota.Matcher
	skew  float64
	late  time.Duration
	hosts int

	mu     sync.Mutex
	rows   map[string]*row
	seen   map[string]*request
	order  []string // of seen, the oldest first
	total  int
	crowds []crowd
}

// lateMost is how long after a sidecar let a request through it may come: its client's patience.
const lateMost = time.Second

// seenMost is how many requests are remembered by their ids, far more than can be open.
const seenMost = 1 << 17

const crowdsMost = 1000 // kept, to be judged at the end

type request struct {
	open   int
	came   time.Duration
	gaveUp bool // a try of it has ended by its connection's end
}

// crowd is that more were there at once than a limit lets through, by those of whose connections' ends nothing was heard yet.
type crowd struct {
	row *row
	at  time.Duration
	who []*request
}

// row is one part of one limit.
type row struct {
	l      *quota.Limit
	node   int
	at     []time.Duration   // of the last windows
	open   map[*request]bool // AtOnce: those that are there
	count  int
	near   float64
	most   float64 // seen, in the window that is judged
	broken string
}

func newJudge(conf *quota.Config, hosts int) *Judge {
	j := &Judge{begun: time.Now(), conf: conf, match: quota.NewMatcher(conf), skew: 0.02, late: lateMost, hosts: hosts, rows: map[string]*row{}, seen: map[string]*request{}}
	for _, l := range conf.Limits {
		for i := range l.Nodes {
			j.rows[l.Key(i)] = &row{l: l, node: i, open: map[*request]bool{}}
		}
	}
	return j
}

// window is the length of time in which a limit's requests are counted, and the bound of them. Of a window it is shorter than its own by
// what a request may be late.
func (r *row) window(late time.Duration, skew float64, away int) (time.Duration, float64) {
	length := 4 * time.Second
	if r.l.Kind == quota.Window {
		length = max(time.Duration(r.l.Window)-late, late)
		bound, _ := r.l.UpperBound(r.node, int64(length), int64(late), skew, away)
		return length, bound
	}
	bound, _ := r.l.UpperBound(r.node, int64(length), int64(late), skew, away)
	return length, bound
}

// ServeHTTP takes a request as a server does, and takes a while with what is limited at once.
func (j *Judge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := quota.Request{Class: "look", Path: r.URL.Path, Header: r.Header.Get}
	id := r.Header.Get("X-Trace-Id")
	j.mu.Lock()
	x := j.seen[id]
	first := x == nil
	if first {
		x = &request{came: time.Since(j.begun)}
		j.seen[id] = x
		if j.order = append(j.order, id); len(j.order) > seenMost {
			delete(j.seen, j.order[0])
			j.order = j.order[1:]
		}
		j.total++
	}
	x.open++
	var held []*row
	for _, c := range j.match.Match(nil, &q) {
		for at := c.Node; ; at = c.Limit.Nodes[at].Parent {
			row := j.rows[c.Limit.Key(at)]
			if first {
				row.count++
			}
			if row.l.Kind == quota.Concurrency {
				row.open[x] = true
				held = append(held, row)
			}
			if first || row.l.Kind == quota.Concurrency {
				j.look(row, time.Since(j.begun))
			}
			if at == 0 {
				break
			}
		}
	}
	j.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, "/look/held") {
		ctx, cancel := context.WithTimeout(r.Context(), 60*time.Millisecond)
		<-ctx.Done() // or the client has gone
		cancel()
	}
	j.mu.Lock()
	x.gaveUp = x.gaveUp || r.Context().Err() != nil
	if x.open--; x.open == 0 {
		for _, row := range held {
			delete(row.open, x)
		}
	}
	j.mu.Unlock()
	_, _ = w.Write([]byte("ok"))
}

// look holds a row against its bound. The lock is held.
func (j *Judge) look(r *row, now time.Duration) {
	length, bound := r.window(j.late, j.skew, j.hosts)
	n := float64(len(r.open))
	if r.l.Kind != quota.Concurrency {
		r.at = append(r.at, now)
		for r.at[0] <= now-length {
			r.at = r.at[1:]
		}
		n = float64(len(r.at))
	}
	if r.l.Kind == quota.Concurrency && n > bound {
		c := crowd{row: r, at: now}
		for x := range r.open {
			c.who = append(c.who, x)
		}
		if len(j.crowds) < crowdsMost {
			j.crowds = append(j.crowds, c)
		}
		return
	}
	r.most = max(r.most, n)
	if r.near = max(r.near, n/bound); n > bound && r.broken == "" {
		r.broken = fmt.Sprintf("%s, part %q: %.0f in %v at %v, and the bound is %.1f", r.l.Name, r.l.Nodes[r.node].Path, n, length, now.Round(time.Millisecond), bound)
	}
}

// counts are all requests, and those of a limit's whole.
func (j *Judge) counts(name string) (all, of int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.total, j.rows[j.conf.Find(name).Key(0)].count
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

func (j *Judge) result() (all []Seen, broken []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range j.crowds {
		n := 0
		r := c.row
		for _, x := range c.who { // one that lasts for longer than the limit says is not of its terms
			if !x.gaveUp && c.at-x.came < time.Duration(r.l.Window) {
				n++
			}
		}
		bound := float64(r.l.Nodes[r.node].Capacity) / float64(quota.AmountUnit)
		r.most = max(r.most, float64(n))
		r.near = max(r.near, float64(n)/bound)
		if float64(n) > bound && r.broken == "" {
			r.broken = fmt.Sprintf("%s, part %q: %d at once at %v, and the limit is %.0f", r.l.Name, r.l.Nodes[r.node].Path, n, c.at.Round(time.Millisecond), bound)
		}
	}
	for _, l := range j.conf.Limits {
		for i, n := range l.Nodes {
			r := j.rows[l.Key(i)]
			_, bound := r.window(j.late, j.skew, j.hosts)
			all = append(all, Seen{l.Name, n.Path, r.count, r.most, bound, r.near})
			if r.broken != "" {
				broken = append(broken, r.broken)
			}
		}
	}
	return all, broken
}
