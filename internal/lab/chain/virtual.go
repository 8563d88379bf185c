package chain

import (
	"context"
	"fmt"
	"slices"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/httpfront"
	"birchmoor/internal/lab/eventqueue"
	"birchmoor/internal/lab/randstream"
	"birchmoor/internal/lab/told"
)

// Of a row in virtual time, in microseconds.
const (
	origin   = 1_000_000_000_000_000  // the modules' clock at the start
	wire     = 50                     // one way between any two
	serves   = 100                    // the leaf's time for an answer
	mostSent = 20_000_000             // attempts of a run
	settle   = 20 * eventqueue.Second // before the first call, for the probes' pace
)

// virtual is a row in virtual time: the decision module of each sidecar, and every server has a sidecar of its own.
type virtual struct {
	o     Options
	q     *eventqueue.Queue
	x     *Result
	nodes [][]*node // by level
	ids   uint64
	open  int // requests of all sidecars without a final answer
	sent  int
	leaf  []uint64
	sum   []int64
	fails randstream.Stream
}

// node is a sidecar: its decision module's host.
type node struct {
	v     *virtual
	level int
	b     *balancer.Balancer
	calls map[uint64]*vcall
}

// vcall is a request of a sidecar.
type vcall struct {
	root     int
	deadline eventqueue.Micros
	came     int64 // milliseconds of the time left that the caller was told of
	attempts []*vattempt
	answer   func(code int)
	ended    bool
}

type vattempt struct {
	done     bool
	endpoint uint32
	sent     eventqueue.Micros
	timeUp   *eventqueue.Event
}

// Virtual plays a row in virtual time. Its times say nothing of the program; attempts and the time left are by the same decisions.
func Virtual(ctx context.Context, o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	s, err := o.scenario(o.Servers)
	if err != nil {
		return nil, err
	}
	v := &virtual{o: o, q: eventqueue.NewVirtual(), x: o.result(o.Servers), leaf: make([]uint64, o.Calls()), sum: make([]int64, o.Depth),
		fails: randstream.Seed(o.Seed).Stream("leaf")}
	v.x.By = "virtual time"
	v.x.Levels = make([]Level, o.Depth)
	for k := range o.Depth {
		v.x.Levels[k].LeftMin = rootMs * 10
		var level []*node
		for i := range o.Servers {
			n := &node{v: v, level: k, calls: map[uint64]*vcall{}}
			settings, err := told.Parsed(s, i)
			if err != nil {
				return nil, err
			}
			if n.b, err = balancer.New(settings, randstream.Seed(o.Seed).Stream("node", uint64(k), uint64(i)).Uint64(), n); err != nil {
				return nil, err
			}
			var list []balancer.Endpoint
			for e := range o.Servers {
				list = append(list, balancer.Endpoint{ID: uint32(e), Weight: 1})
			}
			n.b.Start(origin)
			n.b.UpdateEndpoints(origin, balancer.ListCached, list)
			n.b.UpdateEndpoints(origin, balancer.ListFull, list)
			level = append(level, n)
		}
		v.nodes = append(v.nodes, level)
	}
	answered := 0
	for c := range v.leaf {
		v.q.At(settle+int64(float64(c)/o.Rate*float64(eventqueue.Second)), func() {
			v.nodes[0][c%o.Servers].request(c, rootMs, func(code int) {
				answered++
				v.x.Answers[fmt.Sprint(code)]++
			})
		})
	}
	end := settle + int64(o.For.Seconds()*float64(eventqueue.Second)) + late.Microseconds()
	err = v.q.Run(ctx, func() bool { return answered == len(v.leaf) && v.open == 0 || v.sent > mostSent || v.q.Now() > end })
	if err == nil && v.sent > mostSent {
		err = fmt.Errorf("over %d attempts: --depth %d, --attempts %d and %d calls are too many for a row in virtual time", mostSent, o.Depth, o.Attempts, o.Calls())
	}
	if err != nil {
		return nil, err
	}
	if n := len(v.leaf) - answered; n > 0 {
		v.x.Answers["0"] = n
	}
	v.x.Took = float64(v.q.Now()-settle) / float64(eventqueue.Second)
	v.x.leaves(slices.Values(v.leaf))
	for k := range v.x.Levels {
		l := &v.x.Levels[k]
		l.Probes /= float64(v.q.Now()) / float64(eventqueue.Second) * float64(o.Servers)
		if l.Attempts == 0 {
			l.LeftMin = 0
			continue
		}
		l.LeftMean = float64(v.sum[k]) / float64(l.Attempts)
	}
	v.x.LastMs = v.x.Levels[o.Depth-1].LeftMin
	return v.x, nil
}

func (n *node) now() balancer.Micros { return origin + n.v.q.Now() }

// request takes a request that its client waits for so many milliseconds, as the HTTP front does.
func (n *node) request(root int, left int64, answer func(code int)) {
	v := n.v
	v.ids++
	v.open++
	id, now, told := v.ids, v.q.Now(), min(left, rootMs)*1000
	c := &vcall{root: root, came: left, deadline: now + told - httpfront.AnswerMargin(told), answer: answer}
	n.calls[id] = c
	n.b.Request(n.now(), balancer.Request{ID: id, Class: classIndex(v.o.Class), Deadline: origin + c.deadline})
}

func (n *node) end(id uint64, code int) {
	c := n.calls[id]
	if c == nil || c.ended {
		return
	}
	c.ended = true
	n.v.open--
	n.v.q.After(wire, func() { c.answer(code) })
	n.forget(id, c)
}

func (n *node) forget(id uint64, c *vcall) {
	for _, a := range c.attempts {
		if !a.done {
			return
		}
	}
	if c.ended {
		delete(n.calls, id)
	}
}

// outcome tells the module how an attempt ended, once.
func (n *node) outcome(id uint64, number int, status balancer.Status) {
	c := n.calls[id]
	if c == nil || c.attempts[number].done {
		return
	}
	a := c.attempts[number]
	a.done = true
	n.v.q.Cancel(a.timeUp)
	settled := status == balancer.OK && !c.ended
	if settled {
		n.end(id, 200)
	}
	n.b.Outcome(n.now(), balancer.Outcome{ID: id, Attempt: number, Endpoint: a.endpoint, Status: status, Latency: n.v.q.Now() - a.sent, Answered: settled})
	n.forget(id, c)
}

// Send makes an attempt.
func (n *node) Send(id uint64, endpoint uint32, timeout balancer.Micros) {
	c, v := n.calls[id], n.v
	now := v.q.Now()
	number, a := len(c.attempts), &vattempt{endpoint: endpoint, sent: now}
	c.attempts = append(c.attempts, a)
	deadline := c.deadline
	if timeout > 0 {
		deadline = min(deadline, now+timeout)
	}
	if now >= deadline {
		v.q.After(0, func() { n.outcome(id, number, balancer.NotSent) })
		return
	}
	a.timeUp = v.q.At(deadline, func() { n.outcome(id, number, balancer.Timeout) })
	v.sent++
	left := (deadline - now + 999) / 1000
	v.q.After(wire, func() {
		if a.done {
			return // its connection was closed
		}
		v.serve(n.level, endpoint, c, left, func(status balancer.Status) {
			v.q.After(wire, func() { n.outcome(id, number, status) })
		})
	})
}

// serve is the application behind a sidecar.
func (v *virtual) serve(level int, server uint32, c *vcall, left int64, answer func(balancer.Status)) {
	l := &v.x.Levels[level]
	l.Attempts++
	v.sum[level] += left
	l.LeftMin, l.LeftMax = min(l.LeftMin, left), max(l.LeftMax, left)
	if left >= c.came {
		l.Rose++
	}
	if level < v.o.Depth-1 {
		v.nodes[level+1][server].request(c.root, left, func(code int) {
			switch {
			case code == 200:
				answer(balancer.OK)
			case code == 503 && v.o.Class != "look":
				answer(balancer.Rejected)
			default:
				answer(balancer.Error)
			}
		})
		return
	}
	v.leaf[c.root]++
	status := balancer.OK
	if v.o.Fail != "" && v.fails.Float64() < v.o.Share {
		switch v.o.Fail {
		case Errors:
			status = balancer.Error
		case Refuses:
			status = balancer.Rejected
		case Silent:
			return
		}
	}
	v.q.After(serves, func() { answer(status) })
}

// Reject is of balancer.Actions.
func (n *node) Reject(id uint64, _ balancer.Micros) { n.end(id, 503) }

// Fail is of balancer.Actions.
func (n *node) Fail(id uint64) { n.end(id, 502) }

// Cancel closes an attempt's connection.
func (n *node) Cancel(id uint64, number int) {
	n.v.q.After(0, func() { n.outcome(id, number, balancer.Cancelled) })
}

// Timer is of balancer.Actions.
func (n *node) Timer(delay balancer.Micros, token uint32) {
	n.v.q.After(delay, func() { n.b.Timer(n.now(), token) })
}

// Probe is answered by a server that has nothing to do.
func (n *node) Probe(endpoint uint32) {
	n.v.x.Levels[n.level].Probes++ // their number, made a sidecar's rate at the end
	n.v.q.After(2*wire, func() {
		n.b.ProbeCompleted(n.now(), endpoint, balancer.OK, 2*wire, []float32{0, 0.1, 100})
	})
}

// Watch is of balancer.Actions: the list does not change.
func (n *node) Watch(bool) {}

// Log is of balancer.Actions.
func (n *node) Log(string) {}
