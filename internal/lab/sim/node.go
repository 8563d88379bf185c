package sim

import (
	"birchmoor/balancer"
	"birchmoor/internal/lab/eventqueue"
	"birchmoor/internal/lab/model"
	"birchmoor/internal/lab/randstream"
	"birchmoor/internal/lab/trace"
)

// node is one process of a sidecar: it hosts a decision module and simulates what the real program does around it. All
// its methods run on the queue's goroutine.
type node struct {
	host         *host
	number       int
	zone         int
	settings     balancer.Settings
	module       balancer.Module
	stream       randstream.Stream
	calls        map[uint64]*call
	lastID       uint64
	idle         [][]*conn // by server, in the order in which they became idle
	generation   int64     // of the endpoint list that the module has
	watching     bool      // a call for a watch is under way, or the watch is open
	watchBackoff Micros    // backoff before the next call for a watch, without Settings.Subscribe
	frozenUntil  Micros    // instant until which the process does not run
	dead         bool
	retired      bool   // drains: it accepts no new requests
	stopTap      func() // ends the recording of the process; nil if it is not recorded
	successor    *node  // process that an upgrade started in place of this one, or nil
}

// call is a client's request at its sidecar.
type call struct {
	node         *node
	request      *model.Request
	id           uint64
	deadline     Micros
	attempts     []*attempt
	openAttempts int
	ended        bool // the client has its final answer, or has gone
}

// attempt is one attempt of a call at a server.
type attempt struct {
	call         *call
	number       int
	server       int
	sent         Micros
	timeoutEvent *eventqueue.Event
	done         bool
	written      bool // its first byte has been written
	conn         *conn
	job          *model.Job
}

// conn is a connection to a server's process.
type conn struct {
	server       int
	serverStarts int    // the server's Starts when the connection was opened, which identifies its process
	overLimit    bool   // the server rejects all requests on it
	ready        bool   // the handshake is complete
	onReady      func() // called once the handshake is complete; may be nil
	idleSince    Micros
	closed       bool
}

// minWatchBackoff is the first backoff after a failed watch, in microseconds.
const minWatchBackoff = 100 * 1000

// newNode returns a new process of a sidecar, which runs once its start method is called.
func (h *host) newNode(number int, settings balancer.Settings) *node {
	process := &node{host: h, number: number, zone: h.world.SidecarZone(number), settings: settings,
		calls: map[uint64]*call{}, idle: make([][]*conn, len(h.world.Servers)),
		stream: h.seed.Stream("network", uint64(number), uint64(h.queue.Now()))}
	seed := process.stream.Uint64()
	newBalancer := func(out balancer.Actions) (*balancer.Balancer, error) { return balancer.New(settings, seed, out) }
	if h.tap != nil && number == h.tappedSidecar {
		h.tappedStarts++
		var err error
		if process.module, process.stopTap, err = h.tap(h.tappedStarts, process, newBalancer); err != nil {
			panic(err) // the settings were validated when they were made
		}
		return process
	}
	b, err := newBalancer(process)
	if err != nil {
		panic(err) // the settings were validated when they were made
	}
	process.module = balancer.Direct{Balancer: b}
	return process
}

// start starts the process with the current endpoint list and the administrative drains in force.
func (n *node) start() {
	n.module.Start(n.now())
	for server := range n.host.world.Servers {
		if n.host.drained[server] {
			n.module.DrainEndpoint(n.now(), endpointID(server), n.now())
		}
	}
	u := n.host.world.Discovery.FullList(n.number)
	n.generation = u.Generation
	n.module.UpdateEndpoints(n.now(), balancer.ListCached, endpoints(u, n.host.world))
	if !n.settings.Subscribe {
		n.Watch(true)
	}
	n.host.queue.After(Micros(n.stream.Float64()*float64(eventqueue.Second)), func() { n.whenRunnable(n.closeExpired) })
	if n.host.scenario.Fleet.StateTransfer == "kept" {
		n.host.queue.After(snapshotInterval, func() { n.whenRunnable(n.saveSnapshots) })
	}
}

// snapshotInterval is the time between snapshots of a process, if a snapshot survives a kill.
const snapshotInterval = 2 * eventqueue.Second

// saveSnapshots takes snapshots of the module at intervals, until the process drains.
func (n *node) saveSnapshots() {
	if !n.retired {
		n.host.snapshots[n.number] = n.module.Snapshot(n.now(), false)
		n.host.queue.After(snapshotInterval, func() { n.whenRunnable(n.saveSnapshots) })
	}
}

// restore gives the module the snapshot of an earlier process.
func (n *node) restore(snapshot *balancer.Snapshot) {
	if _, err := n.module.Restore(n.now(), snapshot, n.now()-snapshot.At); err != nil {
		panic(err) // a module accepts every snapshot of its own version
	}
}

// shareEjections sends the ejections of this process to other and the reverse, ten times a second while both run.
func (n *node) shareEjections(other *node) {
	if n.dead || other.dead {
		return
	}
	now := n.now()
	n.module.Ejections(now, func(id uint32, remaining Micros) { other.module.PeerEjected(now, id, remaining) })
	other.module.Ejections(now, func(id uint32, remaining Micros) { n.module.PeerEjected(now, id, remaining) })
	n.host.queue.After(eventqueue.Second/10, func() { n.shareEjections(other) })
}

func (n *node) now() balancer.Micros { return clockOrigin + n.host.queue.Now() }

// whenRunnable runs an action of the process: at once, or when it is no longer frozen. A process that has ended runs
// nothing.
func (n *node) whenRunnable(action func()) {
	if n.dead {
		return
	}
	if n.host.queue.Now() < n.frozenUntil {
		n.host.queue.At(n.frozenUntil, func() { n.whenRunnable(action) })
		return
	}
	action()
}

// kill ends the process at once. Its clients' connections are closed without an answer, and all its attempts end.
func (n *node) kill() {
	n.dead = true
	n.endTap()
	n.host.world.Discovery.Unwatch(n.number)
	for _, c := range callsByID(n.calls) {
		if !c.ended {
			try := c.request
			n.host.queue.After(clientDelay, func() { n.host.world.ConnectionClosed(try, n.host.queue.Now(), false) })
		}
		for _, a := range c.attempts {
			if !a.done {
				n.closeAttempt(a)
			}
		}
	}
	n.closeIdle()
}

// endTap ends the recording of the process.
func (n *node) endTap() {
	if n.stopTap != nil {
		n.stopTap()
		n.stopTap = nil
	}
}

// closeIdle closes all idle connections, in the order of the servers.
func (n *node) closeIdle() {
	for server := range n.host.world.Servers {
		for _, c := range n.idle[server] {
			n.close(server, c)
		}
	}
	clear(n.idle)
}

// retire drains the process. After an upgrade, next accepts new requests, and the two share their capacity and
// ejections until this process ends; nil if no process replaces it.
func (n *node) retire(next *node) {
	n.retired, n.successor = true, next
	if next != nil {
		n.module.SetCapacityShare(n.now(), 0.5)
		next.module.SetCapacityShare(n.now(), 0.5)
		if n.host.scenario.Fleet.StateTransfer != "none" {
			n.host.queue.After(eventqueue.Second/10, func() { n.shareEjections(next) })
		}
	} else {
		n.host.world.Discovery.Unwatch(n.number)
	}
	n.host.retiring = append(n.host.retiring, n)
	n.endIfIdle()
}

// endIfIdle ends a retired process that has no calls left.
func (n *node) endIfIdle() {
	if !n.retired || n.dead || len(n.calls) > 0 {
		return
	}
	n.dead = true
	n.endTap()
	if n.successor != nil {
		n.successor.module.SetCapacityShare(n.now(), 1)
	}
	n.closeIdle()
	for i, retiring := range n.host.retiring {
		if retiring == n {
			n.host.retiring = append(n.host.retiring[:i], n.host.retiring[i+1:]...)
			break
		}
	}
}

// callsByID returns the calls in the order of their IDs.
func callsByID(calls map[uint64]*call) []*call {
	list := make([]*call, 0, len(calls))
	for id := uint64(0); len(list) < len(calls); id++ {
		if c := calls[id]; c != nil {
			list = append(list, c)
		}
	}
	return list
}

// ---- Clients ---------------------------------------------------------------

// accept takes a client's request. A retired process passes it on to its successor.
func (n *node) accept(request *model.Request) {
	if n.retired && n.successor != nil && !n.successor.dead {
		n.successor.whenRunnable(func() { n.successor.accept(request) })
		return
	}
	n.lastID++
	accepted := &call{node: n, request: request, id: n.lastID, deadline: n.host.queue.Now() + request.Timeout}
	request.HostState = accepted
	n.calls[accepted.id] = accepted
	task := request.Task
	n.module.Request(n.now(), balancer.Request{ID: accepted.id, Deadline: clockOrigin + accepted.deadline,
		Hint: task.Hint, HasHint: task.Hint > 0, Retry: n.host.scenario.Clients.MarksRetries && request.Number > 0,
		Write: n.host.scenario.Classes[task.Class].NotIdempotent, Class: uint8(task.Class)})
	n.release(accepted)
}

// clientLeft tells the module that the client of a call has disconnected.
func (n *node) clientLeft(c *call) {
	if !c.ended {
		c.ended = true
		n.module.ClientDisconnected(n.now(), c.id)
		n.release(c)
	}
}

// answer sends a client its final answer.
func (n *node) answer(c *call, verdict trace.Verdict, retryAfter Micros) {
	if c.ended {
		return
	}
	c.ended = true
	n.host.queue.After(clientDelay, func() { n.host.world.Answer(c.request, n.host.queue.Now(), verdict, retryAfter) })
}

// release removes a call that has ended, once none of its attempts is open.
func (n *node) release(c *call) {
	if c.ended && c.openAttempts == 0 {
		delete(n.calls, c.id)
		n.endIfIdle()
	}
}

// ---- Actions of the module -------------------------------------------------

// Send starts an attempt of a request. It ends with NotSent if the request has ended, is past its deadline or has used
// up its attempts.
func (n *node) Send(id uint64, endpoint uint32, timeout balancer.Micros) {
	c := n.calls[id]
	if c == nil {
		return
	}
	now := n.host.queue.Now()
	a := &attempt{call: c, number: len(c.attempts), server: int(endpoint) - 1, sent: now}
	c.attempts = append(c.attempts, a)
	c.openAttempts++
	deadline := c.deadline
	if timeout > 0 {
		deadline = min(deadline, now+timeout)
	}
	if c.ended || now >= deadline || len(c.attempts) > n.settings.Limits.MaxAttempts {
		n.host.queue.At(now, func() { n.whenRunnable(func() { n.reportOutcome(a, balancer.NotSent, nil) }) })
		return
	}
	a.timeoutEvent = n.host.queue.At(deadline, func() {
		n.whenRunnable(func() {
			status := balancer.Timeout
			if !a.written {
				if status = balancer.NotSent; n.host.queue.Now()-a.sent >= n.settings.Limits.DialTimeout {
					status = balancer.ConnectFailed
				}
			}
			n.abort(a, status)
		})
	})
	n.connect(a.server, a.sent, func(connection *conn, status balancer.Status) {
		if a.done {
			if connection != nil {
				n.keepIdle(connection)
			}
			return
		}
		if connection == nil {
			n.reportOutcome(a, status, nil)
			return
		}
		a.conn = connection
		n.sendAttempt(a)
	})
}

// sendAttempt writes an attempt to its connection. The server answers, rejects it, or resets a connection to a process
// that has ended.
func (n *node) sendAttempt(a *attempt) {
	now := n.host.queue.Now()
	server := n.host.world.Servers[a.server]
	request := a.call.request
	a.written = true
	n.host.sink.Take(trace.Event{At: now, Kind: trace.AttemptSent, Sidecar: int32(n.number), Server: int32(a.server),
		Request: request.ID, Class: uint8(request.Task.Class), CrossZone: server.Zone != n.zone})
	connection := a.conn
	n.deliver(a.server, func(lost bool) {
		if lost || a.done {
			return
		}
		if connection.serverStarts != server.Starts || !server.Running {
			n.returnOutcome(a, balancer.Reset, nil)
			return
		}
		if connection.overLimit {
			n.host.sink.Take(trace.Event{At: n.host.queue.Now(), Kind: trace.AttemptRejected, Sidecar: int32(n.number),
				Server: int32(a.server), Request: request.ID, Class: uint8(request.Task.Class),
				Work: request.Task.Work})
			n.returnOutcome(a, balancer.Rejected, nil)
			return
		}
		begin := func() {
			if a.done && a.job == nil {
				return
			}
			a.job = &model.Job{Request: request.ID, Class: request.Task.Class, Sidecar: n.number,
				Work: float64(request.Task.Work), Done: func(outcome model.Outcome) { n.jobDone(a, outcome) }}
			if !server.Begin(a.job) {
				n.returnOutcome(a, balancer.Rejected, n.loadReport(server))
			}
		}
		if connection.ready {
			begin()
		} else {
			connection.onReady = begin
		}
	})
}

// loadReport returns a server's load report in the order of the settings' report fields.
func (n *node) loadReport(server *model.Server) []float32 {
	load := server.Report()
	return []float32{float32(load.Inflight), float32(load.Util), float32(load.Served)}
}

// jobDone sends the outcome of an attempt at its server back, with the server's load report.
func (n *node) jobDone(a *attempt, outcome model.Outcome) {
	status := balancer.OK
	switch outcome {
	case model.Errored:
		status = balancer.Error
	case model.ConnectionBroken:
		status = balancer.Reset
	}
	n.returnOutcome(a, status, n.loadReport(n.host.world.Servers[a.server]))
}

// returnOutcome delivers an attempt's outcome from the server to the process. The load report is dropped unless reports
// come with answers.
func (n *node) returnOutcome(a *attempt, status balancer.Status, load []float32) {
	if n.host.scenario.Limits.Reports != "answers" {
		load = nil
	}
	n.deliver(a.server, func(lost bool) {
		if !lost {
			n.whenRunnable(func() { n.reportOutcome(a, status, load) })
		}
	})
}

// abort ends an attempt by closing its connection, and reports the status to the module.
func (n *node) abort(a *attempt, status balancer.Status) {
	if a.done {
		return
	}
	n.closeAttempt(a)
	n.reportOutcome(a, status, nil)
}

// closeAttempt closes an attempt's connection. The server learns of it after the network's delay, and may
// cancel the job.
func (n *node) closeAttempt(a *attempt) {
	if connection := a.conn; connection != nil {
		a.conn = nil
		n.deliver(a.server, func(lost bool) {
			if a.job != nil {
				n.host.world.Servers[a.server].Cancel(a.job)
			}
			n.close(a.server, connection)
		})
	}
}

// reportOutcome reports the end of an attempt to the module, once. If the attempt succeeded and the client
// has no answer yet, it also answers the client.
func (n *node) reportOutcome(a *attempt, status balancer.Status, load []float32) {
	if a.done {
		return
	}
	a.done = true
	n.host.queue.Cancel(a.timeoutEvent)
	c := a.call
	c.openAttempts--
	if connection := a.conn; connection != nil {
		a.conn = nil
		switch status {
		case balancer.OK, balancer.Error:
			n.keepIdle(connection)
		default:
			n.close(a.server, connection)
		}
	}
	if status == balancer.OK && !c.ended {
		n.answer(c, trace.Served, 0)
	}
	answered := c.ended
	n.module.Outcome(n.now(), balancer.Outcome{ID: c.id, Attempt: a.number, Endpoint: endpointID(a.server),
		Status: status, Latency: n.host.queue.Now() - a.sent, Answered: answered, Load: load})
	n.release(c)
}

// Reject answers a client that its request was rejected.
func (n *node) Reject(id uint64, retryAfter balancer.Micros) {
	if c := n.calls[id]; c != nil {
		n.answer(c, trace.Rejected, retryAfter)
	}
}

// Fail answers a client that its request failed.
func (n *node) Fail(id uint64) {
	if c := n.calls[id]; c != nil {
		n.answer(c, trace.Failed, 0)
	}
}

// Cancel aborts an attempt that is still open.
func (n *node) Cancel(id uint64, attempt int) {
	c := n.calls[id]
	if c == nil || attempt < 0 || attempt >= len(c.attempts) || c.attempts[attempt].done {
		return
	}
	a := c.attempts[attempt]
	status := balancer.Cancelled
	if !a.written {
		status = balancer.NotSent
	}
	n.host.queue.After(0, func() { n.whenRunnable(func() { n.abort(a, status) }) })
}

// Timer calls the module's Timer with the token after a delay.
func (n *node) Timer(delay balancer.Micros, token uint32) {
	n.host.queue.After(delay, func() { n.whenRunnable(func() { n.module.Timer(n.now(), token) }) })
}

// Probe requests a server's load report, which the server sends without queueing the probe.
func (n *node) Probe(endpoint uint32) {
	server := int(endpoint) - 1
	sent := n.host.queue.Now()
	done := false
	complete := func(status balancer.Status, load []float32) {
		if !done {
			done = true
			n.whenRunnable(func() { n.module.ProbeCompleted(n.now(), endpoint, status, n.host.queue.Now()-sent, load) })
		}
	}
	timeout := n.host.queue.After(probeTimeout, func() { complete(balancer.Timeout, nil) })
	n.connect(server, sent, func(connection *conn, status balancer.Status) {
		if connection == nil {
			n.host.queue.Cancel(timeout)
			complete(status, nil)
			return
		}
		n.host.sink.Take(trace.Event{At: n.host.queue.Now(), Kind: trace.ProbeSent, Sidecar: int32(n.number),
			Server: int32(server)})
		target := n.host.world.Servers[server]
		n.deliver(server, func(lost bool) {
			if lost || !target.Running || connection.serverStarts != target.Starts {
				return // the probe ends by its timeout
			}
			answer := func() {
				load := n.loadReport(target)
				n.deliver(server, func(lost bool) {
					if !lost {
						n.host.queue.Cancel(timeout)
						n.keepIdle(connection)
						complete(balancer.OK, load)
					}
				})
			}
			begin := func() {
				if work := float64(target.Spec.Probe.Micros()); work > 0 {
					target.Begin(&model.Job{Sidecar: n.number, Work: work, Done: func(model.Outcome) {}})
				}
				answer() // the server does not queue probes
			}
			if connection.ready || connection.overLimit {
				begin()
			} else {
				connection.onReady = begin
			}
		})
	})
}

// Watch calls discovery for a watch, or ends the watch.
func (n *node) Watch(on bool) {
	discovery := n.host.world.Discovery
	if !on {
		n.watching = false
		discovery.Unwatch(n.number)
		return
	}
	if n.watching {
		return
	}
	n.watching = true
	discovery.Call(n.number, n.generation, true, func(update model.Update, ok bool) {
		n.whenRunnable(func() {
			if !ok {
				n.watchEnded()
				return
			}
			n.watchBackoff = 0
			n.applyUpdate(update)
		})
	})
}

// applyUpdate gives the module an update of the endpoint list, after the delay of its way from discovery.
func (n *node) applyUpdate(update model.Update) {
	n.host.queue.After(n.drawDelay(-1), func() {
		n.whenRunnable(func() {
			kind := balancer.ListDelta
			if update.Reset {
				kind = balancer.ListFull
			}
			n.generation = max(n.generation, update.Generation)
			n.module.UpdateEndpoints(n.now(), kind, endpoints(update, n.host.world))
		})
	})
}

// watchEnded handles the end of a watch or a failed call for it. A module that subscribes is told; otherwise the node
// itself calls again after a backoff, as the program does that keeps a watch open all the time.
func (n *node) watchEnded() {
	n.whenRunnable(func() {
		n.watching = false
		if n.settings.Subscribe {
			n.module.UpdateEndpoints(n.now(), balancer.ListFailed, nil)
			return
		}
		n.watchBackoff = min(eventqueue.Second, max(minWatchBackoff, 2*n.watchBackoff))
		n.host.queue.After(n.watchBackoff/2+Micros(n.stream.Float64()*float64(n.watchBackoff)), func() {
			n.whenRunnable(func() { n.Watch(true) })
		})
	})
}

// Log appends a line to the run's log.
func (n *node) Log(line string) { n.host.appendLog(n, line) }

// ---- The network -----------------------------------------------------------

// drawDelay draws the one-way delay to or from a server, or discovery for -1.
func (n *node) drawDelay(server int) Micros {
	mean := n.host.scenario.Net.SameZoneDelay
	var extraDelay Micros
	if server >= 0 {
		if n.host.world.Servers[server].Zone != n.zone {
			mean = n.host.scenario.Net.CrossZoneDelay
		}
		if affected := n.host.links[[2]int{n.number, server}]; affected != nil {
			extraDelay = affected.extraDelay
		}
	}
	if net := &n.host.scenario.Net; net.StallShare > 0 && n.stream.Bernoulli(net.StallShare) {
		extraDelay += Micros(n.stream.Float64() * float64(net.MaxStall.Micros()))
	}
	jitter := n.host.scenario.Net.Jitter
	return extraDelay + Micros(float64(mean.Micros())*(1+jitter*(2*n.stream.Float64()-1)))
}

// deliver calls arrive after the one-way delay between the process and a server. lost reports that a fault of the link
// lost the message in between, so that the receiver never gets it.
func (n *node) deliver(server int, arrive func(lost bool)) {
	affected := n.host.links[[2]int{n.number, server}]
	if affected == nil {
		n.host.queue.After(n.drawDelay(server), func() { arrive(false) })
		return
	}
	lossesBefore, blackHoleBefore := affected.lossCount, affected.blackHoles > 0
	n.host.queue.After(n.drawDelay(server), func() {
		arrive(blackHoleBefore || affected.blackHoles > 0 || affected.lossCount != lossesBefore)
	})
}

// connect calls connected with an idle connection or a new one, or with a nil connection and ConnectFailed.
func (n *node) connect(server int, since Micros, connected func(*conn, balancer.Status)) {
	target := n.host.world.Servers[server]
	now := n.host.queue.Now()
	for idle := n.idle[server]; len(idle) > 0; idle = n.idle[server] {
		connection := idle[len(idle)-1]
		n.idle[server] = idle[:len(idle)-1]
		if connection.serverStarts == target.Starts && target.Running && now-connection.idleSince < n.maxIdle(server) {
			connected(connection, 0)
			return
		}
		n.close(server, connection)
	}
	done := false
	timeout := n.host.queue.After(n.settings.Limits.DialTimeout, func() {
		if !done {
			done = true
			n.whenRunnable(func() { connected(nil, balancer.ConnectFailed) })
		}
	})
	n.deliver(server, func(lost bool) {
		if lost {
			return // the dial ends by its timeout
		}
		var connection *conn
		if target.Running {
			connection = &conn{server: server, serverStarts: target.Starts, overLimit: target.Open(n.number)}
			if work := float64(target.Spec.Handshake.Micros()); work > 0 && !connection.overLimit {
				target.Begin(&model.Job{Sidecar: n.number, Work: work,
					Done: func(model.Outcome) { connection.handshakeDone() }})
			} else {
				connection.ready = true
			}
		}
		n.deliver(server, func(lost bool) {
			if lost || done {
				if connection != nil {
					n.close(server, connection)
				}
				return
			}
			done = true
			n.host.queue.Cancel(timeout)
			n.whenRunnable(func() {
				if connection == nil {
					connected(nil, balancer.ConnectFailed)
				} else {
					connected(connection, 0)
				}
			})
		})
	})
}

// handshakeDone marks the connection as ready and sends what waits for the handshake.
func (o *conn) handshakeDone() {
	if o.ready = true; o.onReady != nil {
		o.onReady()
		o.onReady = nil
	}
}

// keepIdle keeps a connection for reuse, unless the process has ended or the server rejects requests on it.
func (n *node) keepIdle(connection *conn) {
	if n.dead || connection.overLimit {
		n.close(connection.server, connection)
		return
	}
	connection.idleSince = n.host.queue.Now()
	n.idle[connection.server] = append(n.idle[connection.server], connection)
}

// maxIdle returns how long a connection may stay idle: two thirds of the time after which the server closes it, so that
// no request is sent on a connection that the server is closing.
func (n *node) maxIdle(server int) Micros {
	return n.host.world.Servers[server].Spec.IdleTimeout.Micros() * 2 / 3
}

// closeExpired closes the connections that have been idle for too long, once a second as the real program does.
func (n *node) closeExpired() {
	now := n.host.queue.Now()
	for server, list := range n.idle {
		expired := 0
		for expired < len(list) && now-list[expired].idleSince >= n.maxIdle(server) {
			n.close(server, list[expired])
			expired++
		}
		if expired > 0 {
			n.idle[server] = append(list[:0], list[expired:]...)
		}
	}
	n.host.queue.After(eventqueue.Second, func() { n.whenRunnable(n.closeExpired) })
}

func (n *node) close(server int, connection *conn) {
	if !connection.closed {
		connection.closed = true
		if !connection.overLimit {
			n.host.world.Servers[server].Close(n.number, connection.serverStarts)
		}
	}
}

// resetConnections resets all connections to a server, idle ones and those of open attempts.
func (n *node) resetConnections(server int) {
	for _, connection := range n.idle[server] {
		n.close(server, connection)
	}
	n.idle[server] = nil
	for _, c := range callsByID(n.calls) {
		for _, a := range c.attempts {
			if !a.done && a.server == server && a.conn != nil {
				n.whenRunnable(func() { n.abort(a, balancer.Reset) })
			}
		}
	}
}
