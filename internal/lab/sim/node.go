package sim

import (
	"birchmoor/balancer"
	"birchmoor/internal/lab/eventqueue"
	"birchmoor/internal/lab/model"
	"birchmoor/internal/lab/randstream"
	"birchmoor/internal/lab/trace"
)

// node is one process of a sidecar: a decision module, and the little that the real program does around it.
type node struct {
	h        *host
	number   int
	zone     int
	settings balancer.Settings
	b        balancer.Module
	draw     randstream.Stream
	calls    map[uint64]*call
	last     uint64
	idle     [][]*conn // by server, the latest last
	after    int64     // generation of the list
	asking   bool      // a call of discovery is under way, or the watch is open
	wait     Micros    // before the next, where discovery is watched for good
	frozen   Micros    // until when nothing is done
	dead     bool
	retired  bool   // takes nothing new
	untap    func() // ends what records it; nil if nothing does
	next     *node  // took over from this one
}

// call is a client's request.
type call struct {
	node     *node
	try      *model.Try
	id       uint64
	deadline Micros
	attempts []*attempt
	out      int
	ended    bool
}

// attempt is one send.
type attempt struct {
	call   *call
	number int
	server int
	sent   Micros
	timeUp *eventqueue.Event
	done   bool
	went   bool // its first byte is out
	conn   *conn
	job    *model.Job
}

// conn is a connection to a server's process.
type conn struct {
	server int
	starts int // of the server's process
	full   bool
	ready  bool   // the handshake is done
	first  func() // waits for that
	idleAt Micros
	closed bool
}

const openWait = 100 * 1000

func (h *host) newNode(number int, settings balancer.Settings) *node {
	n := &node{h: h, number: number, zone: h.w.SidecarZone(number), settings: settings, calls: map[uint64]*call{},
		idle: make([][]*conn, len(h.w.Servers)), draw: h.seed.Stream("network", uint64(number), uint64(h.q.Now()))}
	seed := n.draw.Uint64()
	begin := func(out balancer.Actions) (*balancer.Balancer, error) { return balancer.New(settings, seed, out) }
	if h.tap != nil && number == h.tapped {
		h.starts++
		var err error
		if n.b, n.untap, err = h.tap(h.starts, n, begin); err != nil {
			panic(err) // as below
		}
		return n
	}
	b, err := begin(n)
	if err != nil {
		panic(err) // the settings were checked when they were made
	}
	n.b = balancer.Direct{Balancer: b}
	return n
}

// start begins the process with the list as it last was, and with the operators' bans.
func (n *node) start() {
	n.b.Start(n.now())
	for server := range n.h.w.Servers {
		if n.h.banned[server] {
			n.b.DrainEndpoint(n.now(), number(server), n.now())
		}
	}
	u := n.h.w.Disc.Whole(n.number)
	n.after = u.Generation
	n.b.UpdateEndpoints(n.now(), balancer.ListCached, entries(u, n.h.w))
	if !n.settings.Subscribe {
		n.Watch(true)
	}
	n.h.q.After(Micros(n.draw.Float64()*float64(eventqueue.Second)), func() { n.do(n.sweep) })
	if n.h.s.Fleet.Recall == "kept" {
		n.h.q.After(keepEvery, func() { n.do(n.keepUp) })
	}
}

// keepEvery is how often a process keeps what it knows, where something of it outlives a kill.
const keepEvery = 2 * eventqueue.Second

// keepUp keeps what the process knows, again and again.
func (n *node) keepUp() {
	if !n.retired {
		n.h.kept[n.number] = n.b.Snapshot(n.now(), false)
		n.h.q.After(keepEvery, func() { n.do(n.keepUp) })
	}
}

// recall tells the module what an earlier process knew.
func (n *node) recall(was *balancer.Snapshot) {
	if _, err := n.b.Restore(n.now(), was, n.now()-was.At); err != nil {
		panic(err) // a module's own snapshot
	}
}

// tell has the two processes that serve side by side tell each other whom they have ejected.
func (n *node) tell(other *node) {
	if n.dead || other.dead {
		return
	}
	now := n.now()
	n.b.Ejections(now, func(id uint32, left Micros) { other.b.PeerEjected(now, id, left) })
	other.b.Ejections(now, func(id uint32, left Micros) { n.b.PeerEjected(now, id, left) })
	n.h.q.After(eventqueue.Second/10, func() { n.tell(other) })
}

func (n *node) now() balancer.Micros { return origin + n.h.q.Now() }

// do has the process do something, once it gets a processor, if it still lives.
func (n *node) do(what func()) {
	if n.dead {
		return
	}
	if n.h.q.Now() < n.frozen {
		n.h.q.At(n.frozen, func() { n.do(what) })
		return
	}
	what()
}

// die ends the process outright.
func (n *node) die() {
	n.dead = true
	n.over()
	n.h.w.Disc.Unwatch(n.number)
	for _, c := range sorted(n.calls) {
		if !c.ended {
			try := c.try
			n.h.q.After(clientTo, func() { n.h.w.CutOff(try, n.h.q.Now(), false) })
		}
		for _, a := range c.attempts {
			if !a.done {
				n.abandon(a)
			}
		}
	}
	n.closeIdle()
}

// over ends what records the process.
func (n *node) over() {
	if n.untap != nil {
		n.untap()
		n.untap = nil
	}
}

// closeIdle closes all idle connections, in the order of the servers.
func (n *node) closeIdle() {
	for server := range n.h.w.Servers {
		for _, c := range n.idle[server] {
			n.close(server, c)
		}
	}
	clear(n.idle)
}

// retire has the process finish what it has; what is new goes to the next one.
func (n *node) retire(next *node) {
	n.retired, n.next = true, next
	if next != nil {
		n.b.SetCapacityShare(n.now(), 0.5)
		next.b.SetCapacityShare(n.now(), 0.5)
		if n.h.s.Fleet.Recall != "none" {
			n.h.q.After(eventqueue.Second/10, func() { n.tell(next) })
		}
	} else {
		n.h.w.Disc.Unwatch(n.number)
	}
	n.h.olds = append(n.h.olds, n)
	n.rest()
}

// rest ends a retired process once it has nothing left.
func (n *node) rest() {
	if !n.retired || n.dead || len(n.calls) > 0 {
		return
	}
	n.dead = true
	n.over()
	if n.next != nil {
		n.next.b.SetCapacityShare(n.now(), 1)
	}
	n.closeIdle()
	for i, o := range n.h.olds {
		if o == n {
			n.h.olds = append(n.h.olds[:i], n.h.olds[i+1:]...)
			break
		}
	}
}

func sorted(calls map[uint64]*call) []*call {
	list := make([]*call, 0, len(calls))
	for id := uint64(0); len(list) < len(calls); id++ {
		if c := calls[id]; c != nil {
			list = append(list, c)
		}
	}
	return list
}

// ---- Clients ---------------------------------------------------------------

// arrive takes a client's request.
func (n *node) arrive(y *model.Try) {
	if n.retired && n.next != nil && !n.next.dead {
		n.next.do(func() { n.next.arrive(y) })
		return
	}
	n.last++
	c := &call{node: n, try: y, id: n.last, deadline: n.h.q.Now() + y.Patient}
	y.Host = c
	n.calls[c.id] = c
	t := y.Task
	n.b.Request(n.now(), balancer.Request{ID: c.id, Deadline: origin + c.deadline, Hint: t.Hint, HasHint: t.Hint > 0,
		Retry: n.h.s.Clients.Marks && y.Number > 0, Write: n.h.s.Classes[t.Class].Unsafe, Class: uint8(t.Class)})
	n.forget(c)
}

// left tells that a client has gone.
func (n *node) left(c *call) {
	if !c.ended {
		c.ended = true
		n.b.ClientDisconnected(n.now(), c.id)
		n.forget(c)
	}
}

// answer gives a client its final answer.
func (n *node) answer(c *call, v trace.Verdict, retryAfter Micros) {
	if c.ended {
		return
	}
	c.ended = true
	n.h.q.After(clientTo, func() { n.h.w.Answer(c.try, n.h.q.Now(), v, retryAfter) })
}

func (n *node) forget(c *call) {
	if c.ended && c.out == 0 {
		delete(n.calls, c.id)
		n.rest()
	}
}

// ---- The module's actions --------------------------------------------------

// Send starts an attempt.
func (n *node) Send(id uint64, endpoint uint32, timeout balancer.Micros) {
	c := n.calls[id]
	if c == nil {
		return
	}
	now := n.h.q.Now()
	a := &attempt{call: c, number: len(c.attempts), server: int(endpoint) - 1, sent: now}
	c.attempts = append(c.attempts, a)
	c.out++
	deadline := c.deadline
	if timeout > 0 {
		deadline = min(deadline, now+timeout)
	}
	if c.ended || now >= deadline || len(c.attempts) > n.settings.Limits.MaxAttempts {
		n.h.q.At(now, func() { n.do(func() { n.outcome(a, balancer.NotSent, nil) }) })
		return
	}
	a.timeUp = n.h.q.At(deadline, func() {
		n.do(func() {
			status := balancer.Timeout
			if !a.went {
				if status = balancer.NotSent; n.h.q.Now()-a.sent >= n.settings.Limits.DialTimeout {
					status = balancer.ConnectFailed
				}
			}
			n.give(a, status)
		})
	})
	n.connect(a.server, a.sent, func(o *conn, status balancer.Status) {
		if a.done {
			if o != nil {
				n.keepIdle(o)
			}
			return
		}
		if o == nil {
			n.outcome(a, status, nil)
			return
		}
		a.conn = o
		n.write(a)
	})
}

// write sends an attempt over its connection.
func (n *node) write(a *attempt) {
	now := n.h.q.Now()
	s := n.h.w.Servers[a.server]
	y := a.call.try
	a.went = true
	n.h.sink.Take(trace.Event{At: now, Kind: trace.Sent, Sidecar: int32(n.number), Server: int32(a.server), Request: y.ID,
		Class: uint8(y.Task.Class), Cross: s.Zone != n.zone})
	o := a.conn
	n.travel(a.server, func(lost bool) {
		if lost || a.done {
			return
		}
		if o.starts != s.Starts || !s.Running {
			n.back(a, balancer.Reset, nil)
			return
		}
		if o.full {
			n.h.sink.Take(trace.Event{At: n.h.q.Now(), Kind: trace.Turned, Sidecar: int32(n.number), Server: int32(a.server),
				Request: y.ID, Class: uint8(y.Task.Class), Work: y.Task.Work})
			n.back(a, balancer.Rejected, nil)
			return
		}
		begin := func() {
			if a.done && a.job == nil {
				return
			}
			a.job = &model.Job{Request: y.ID, Class: y.Task.Class, Sidecar: n.number, Work: float64(y.Task.Work),
				Done: func(how model.Outcome) { n.finished(a, how) }}
			if !s.Begin(a.job) {
				n.back(a, balancer.Rejected, n.report(s))
			}
		}
		if o.ready {
			begin()
		} else {
			o.first = begin
		}
	})
}

func (n *node) report(s *model.Server) []float32 {
	l := s.Report()
	return []float32{float32(l.Inflight), float32(l.Util), float32(l.Served)}
}

// finished takes a server's word on an attempt.
func (n *node) finished(a *attempt, how model.Outcome) {
	status := balancer.OK
	switch how {
	case model.Bad:
		status = balancer.Error
	case model.Broken:
		status = balancer.Reset
	}
	n.back(a, status, n.report(n.h.w.Servers[a.server]))
}

// back carries an attempt's end from the server to the process.
func (n *node) back(a *attempt, status balancer.Status, load []float32) {
	if n.h.s.Limits.Reports != "answers" {
		load = nil
	}
	n.travel(a.server, func(lost bool) {
		if !lost {
			n.do(func() { n.outcome(a, status, load) })
		}
	})
}

// give ends an attempt by the process's own choice: its connection is closed.
func (n *node) give(a *attempt, status balancer.Status) {
	if a.done {
		return
	}
	n.abandon(a)
	n.outcome(a, status, nil)
}

// abandon closes an attempt's connection; the server hears of it.
func (n *node) abandon(a *attempt) {
	if o := a.conn; o != nil {
		a.conn = nil
		n.travel(a.server, func(lost bool) {
			if a.job != nil {
				n.h.w.Servers[a.server].Cancel(a.job)
			}
			n.close(a.server, o)
		})
	}
}

// outcome tells the module how an attempt ended.
func (n *node) outcome(a *attempt, status balancer.Status, load []float32) {
	if a.done {
		return
	}
	a.done = true
	n.h.q.Cancel(a.timeUp)
	c := a.call
	c.out--
	if o := a.conn; o != nil {
		a.conn = nil
		switch status {
		case balancer.OK, balancer.Error:
			n.keepIdle(o)
		default:
			n.close(a.server, o)
		}
	}
	if status == balancer.OK && !c.ended {
		n.answer(c, trace.Served, 0)
	}
	settled := c.ended
	n.b.Outcome(n.now(), balancer.Outcome{ID: c.id, Attempt: a.number, Endpoint: number(a.server), Status: status,
		Latency: n.h.q.Now() - a.sent, Answered: settled, Load: load})
	n.forget(c)
}

// Reject gives the final answer "refused".
func (n *node) Reject(id uint64, retryAfter balancer.Micros) {
	if c := n.calls[id]; c != nil {
		n.answer(c, trace.Refused, retryAfter)
	}
}

// Fail gives the final answer "failed".
func (n *node) Fail(id uint64) {
	if c := n.calls[id]; c != nil {
		n.answer(c, trace.Failed, 0)
	}
}

// Cancel stops waiting for an attempt.
func (n *node) Cancel(id uint64, attempt int) {
	c := n.calls[id]
	if c == nil || attempt < 0 || attempt >= len(c.attempts) || c.attempts[attempt].done {
		return
	}
	a := c.attempts[attempt]
	status := balancer.Cancelled
	if !a.went {
		status = balancer.NotSent
	}
	n.h.q.After(0, func() { n.do(func() { n.give(a, status) }) })
}

// Timer asks for a Timer event.
func (n *node) Timer(delay balancer.Micros, token uint32) {
	n.h.q.After(delay, func() { n.do(func() { n.b.Timer(n.now(), token) }) })
}

// Probe asks a server for its load.
func (n *node) Probe(endpoint uint32) {
	server := int(endpoint) - 1
	sent := n.h.q.Now()
	over := false
	end := func(status balancer.Status, load []float32) {
		if !over {
			over = true
			n.do(func() { n.b.ProbeCompleted(n.now(), endpoint, status, n.h.q.Now()-sent, load) })
		}
	}
	wait := n.h.q.After(probeWait, func() { end(balancer.Timeout, nil) })
	n.connect(server, sent, func(o *conn, status balancer.Status) {
		if o == nil {
			n.h.q.Cancel(wait)
			end(status, nil)
			return
		}
		n.h.sink.Take(trace.Event{At: n.h.q.Now(), Kind: trace.Probed, Sidecar: int32(n.number), Server: int32(server)})
		s := n.h.w.Servers[server]
		n.travel(server, func(lost bool) {
			if lost || !s.Running || o.starts != s.Starts {
				return // the time-out ends it
			}
			answer := func() {
				load := n.report(s)
				n.travel(server, func(lost bool) {
					if !lost {
						n.h.q.Cancel(wait)
						n.keepIdle(o)
						end(balancer.OK, load)
					}
				})
			}
			begin := func() {
				if work := float64(s.Spec.Probe.Micros()); work > 0 {
					s.Begin(&model.Job{Sidecar: n.number, Work: work, Done: func(model.Outcome) {}})
				}
				answer() // beside the queue
			}
			if o.ready || o.full {
				begin()
			} else {
				o.first = begin
			}
		})
	})
}

// Watch asks discovery for a watch, or ends it.
func (n *node) Watch(on bool) {
	d := n.h.w.Disc
	if !on {
		n.asking = false
		d.Unwatch(n.number)
		return
	}
	if n.asking {
		return
	}
	n.asking = true
	d.Call(n.number, n.after, true, func(u model.Update, ok bool) {
		n.do(func() {
			if !ok {
				n.watchEnded()
				return
			}
			n.wait = 0
			n.hear(u)
		})
	})
}

// hear takes discovery's word.
func (n *node) hear(u model.Update) {
	n.h.q.After(n.way(-1), func() {
		n.do(func() {
			kind := balancer.ListDelta
			if u.Reset {
				kind = balancer.ListFull
			}
			n.after = max(n.after, u.Generation)
			n.b.UpdateEndpoints(n.now(), kind, entries(u, n.h.w))
		})
	})
}

// watchEnded tells the module, or asks again where discovery is watched for good.
func (n *node) watchEnded() {
	n.do(func() {
		n.asking = false
		if n.settings.Subscribe {
			n.b.UpdateEndpoints(n.now(), balancer.ListFailed, nil)
			return
		}
		n.wait = min(eventqueue.Second, max(openWait, 2*n.wait))
		n.h.q.After(n.wait/2+Micros(n.draw.Float64()*float64(n.wait)), func() { n.do(func() { n.Watch(true) }) })
	})
}

// Log keeps a line of the module's log.
func (n *node) Log(line string) { n.h.keep(n, line) }

// ---- The network -----------------------------------------------------------

// way draws the time of a way to a server, or to discovery (-1).
func (n *node) way(server int) Micros {
	mean := n.h.s.Net.Same
	var more Micros
	if server >= 0 {
		if n.h.w.Servers[server].Zone != n.zone {
			mean = n.h.s.Net.Cross
		}
		if l := n.h.links[[2]int{n.number, server}]; l != nil {
			more = l.more
		}
	}
	if net := &n.h.s.Net; net.Stalls > 0 && n.draw.Bernoulli(net.Stalls) {
		more += Micros(n.draw.Float64() * float64(net.Stall.Micros()))
	}
	j := n.h.s.Net.Jitter
	return more + Micros(float64(mean.Micros())*(1+j*(2*n.draw.Float64()-1)))
}

// travel does something after a way; lost says that the link lost it, which a black hole does with no word.
func (n *node) travel(server int, arrive func(lost bool)) {
	l := n.h.links[[2]int{n.number, server}]
	if l == nil {
		n.h.q.After(n.way(server), func() { arrive(false) })
		return
	}
	mark, hole := l.lost, l.hole > 0
	n.h.q.After(n.way(server), func() { arrive(hole || l.hole > 0 || l.lost != mark) })
}

// connect finds an idle connection or opens one.
func (n *node) connect(server int, from Micros, got func(*conn, balancer.Status)) {
	s := n.h.w.Servers[server]
	now := n.h.q.Now()
	for list := n.idle[server]; len(list) > 0; list = n.idle[server] {
		o := list[len(list)-1]
		n.idle[server] = list[:len(list)-1]
		if o.starts == s.Starts && s.Running && now-o.idleAt < n.idleMost(server) {
			got(o, 0)
			return
		}
		n.close(server, o)
	}
	over := false
	limit := n.h.q.After(n.settings.Limits.DialTimeout, func() {
		if !over {
			over = true
			n.do(func() { got(nil, balancer.ConnectFailed) })
		}
	})
	n.travel(server, func(lost bool) {
		if lost {
			return // the dial's own time ends it
		}
		var o *conn
		if s.Running {
			o = &conn{server: server, starts: s.Starts, full: s.Open(n.number)}
			if work := float64(s.Spec.Handshake.Micros()); work > 0 && !o.full {
				s.Begin(&model.Job{Sidecar: n.number, Work: work, Done: func(model.Outcome) { o.shaken() }})
			} else {
				o.ready = true
			}
		}
		n.travel(server, func(lost bool) {
			if lost || over {
				if o != nil {
					n.close(server, o)
				}
				return
			}
			over = true
			n.h.q.Cancel(limit)
			n.do(func() {
				if o == nil {
					got(nil, balancer.ConnectFailed)
				} else {
					got(o, 0)
				}
			})
		})
	})
}

// shaken tells that the handshake is done.
func (o *conn) shaken() {
	if o.ready = true; o.first != nil {
		o.first()
		o.first = nil
	}
}

func (n *node) keepIdle(o *conn) {
	if n.dead || o.full {
		n.close(o.server, o)
		return
	}
	o.idleAt = n.h.q.Now()
	n.idle[o.server] = append(n.idle[o.server], o)
}

// idleMost is how long a connection is kept idle: well under the time after which the server closes it.
func (n *node) idleMost(server int) Micros { return n.h.w.Servers[server].Spec.Idle.Micros() * 2 / 3 }

// sweep closes the connections that have been idle for long, once a second as the real program does.
func (n *node) sweep() {
	now := n.h.q.Now()
	for server, list := range n.idle {
		cut := 0
		for cut < len(list) && now-list[cut].idleAt >= n.idleMost(server) {
			n.close(server, list[cut])
			cut++
		}
		if cut > 0 {
			n.idle[server] = append(list[:0], list[cut:]...)
		}
	}
	n.h.q.After(eventqueue.Second, func() { n.do(n.sweep) })
}

func (n *node) close(server int, o *conn) {
	if !o.closed {
		o.closed = true
		if !o.full {
			n.h.w.Servers[server].Close(n.number, o.starts)
		}
	}
}

// broken breaks all connections to a server.
func (n *node) broken(server int) {
	for _, o := range n.idle[server] {
		n.close(server, o)
	}
	n.idle[server] = nil
	for _, c := range sorted(n.calls) {
		for _, a := range c.attempts {
			if !a.done && a.server == server && a.conn != nil {
				n.do(func() { n.give(a, balancer.Reset) })
			}
		}
	}
}
