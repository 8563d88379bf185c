package storesim

import (
	"fmt"
	"slices"
	"strings"

	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/serverstate"
)

// Servers next to the cluster drain and restart. Each host has a daemon, which learns of them from a discovery of its
// own, late or not at all for a while, and reports drains to the store by the rules of real daemons
// (serverstate.ReportScheduler, serverstate.Guard). Each host also has a sidecar, which sends to every server that it
// considers serving. The checks:
//
//   - A host whose copy has shown a drain sends nothing to the draining process from then on, also after a restart and
//     with an old endpoint list, until the drain has ended by the rules.
//   - The store does not undo what a daemon has observed itself.
//   - No drain ends before it has gone unreported for the retention and, without faults, while any daemon observes it.
//   - Once all faults are over, every drain that a daemon observes is in force on all hosts within a second.

// DaemonDefect is an injected defect of daemons; the zero value is none.
type DaemonDefect int

// The injected defects.
const (
	NoDaemonDefect      DaemonDefect = iota
	EnforceLate                      // a drain from the store is in force only half a second after it arrived
	OverrideObservation              // the end of a drain in the store overrides the daemon's own observation
	EndDrainEarly                    // a drain ends after a quarter of its retention
	EndDrainLocally                  // a daemon ends a drain locally, without a quorum
	IgnoreUncommitted                // a restart ignores the exclusions in the uncommitted end of the log
	NeverReportAgain                 // drains are never reported again
)

// Times of the report rules. Those of real daemons are longer (200 ms, 4 min and 10 min); with these a run has many
// reports and ends of drains.
const (
	reportSpreadMicros    = 60 * milli
	reportRenewMicros     = 1200 * milli
	drainRetentionMicros  = 3000 * milli
	readmitIntervalMicros = 400 * milli
	ticksPerSend          = 3 // a sidecar sends every third tick
)

// serverProcess is the process at a server's address.
type serverProcess struct {
	version  int   // of the entry in discovery
	start    int64 // identifies the start of the process
	draining bool
}

func (w *world) processOf(server int, start int64) serverstate.Process {
	return serverstate.Process{ID: fmt.Sprintf("slot-%d", server), Addr: fmt.Sprintf("127.0.0.1:%d", 9000+server), StartedMs: start}
}

// serverSim is the true state of the servers, and what any copy has shown of their drains.
type serverSim struct {
	current            []serverProcess
	past               [][]serverProcess // earlier contents of discovery
	reportedAt         map[string]int64  // true time at which a report of a drain was first seen in any copy, by key
	seenRevisions      map[uint64]bool   // revisions that any copy has shown
	discoveryDownUntil map[*host]int64   // true time until which a host's discovery is unavailable
	faultsOverAt       int64             // true time at which the faults ended
}

const serverCount = 3

func (w *world) startServers(startAt int64) {
	w.servers = serverSim{reportedAt: map[string]int64{}, seenRevisions: map[uint64]bool{},
		discoveryDownUntil: map[*host]int64{}}
	for range serverCount {
		w.servers.current = append(w.servers.current, serverProcess{start: 1})
	}
	w.servers.past = append(w.servers.past, append([]serverProcess(nil), w.servers.current...))
	w.queue.After(startAt, w.changeServer)
}

// changeServer makes a server drain or restart, at random intervals.
func (w *world) changeServer() {
	if w.faultsOver {
		return
	}
	i := w.rng.IntN(serverCount)
	p := &w.servers.current[i]
	switch {
	case !p.draining:
		p.draining = true
	case w.rng.IntN(4) > 0: // else it keeps draining
		p.start, p.draining = p.start+1, false
	}
	p.version++
	w.servers.past = append(w.servers.past, append([]serverProcess(nil), w.servers.current...))
	for _, h := range w.hosts {
		if w.rng.IntN(12) == 0 {
			w.servers.discoveryDownUntil[h] = w.queue.Now() + w.rng.Int64N(4000*milli)
		}
		w.queue.After(max(0, w.servers.discoveryDownUntil[h]-w.queue.Now())+w.rng.Int64N(150*milli),
			func() { h.discoverAll() })
	}
	w.queue.After(150*milli+w.rng.Int64N(900*milli), w.changeServer)
}

// hostDaemon is the state of a host's daemon and sidecar in one process.
type hostDaemon struct {
	reports        *serverstate.ReportScheduler
	discovered     []serverProcess  // servers as known from discovery
	observedDrains map[string]bool  // keys of draining processes in discovered
	shownSince     map[string]int64 // with EnforceLate: true time at which the copy first showed a drain, by key
	endedLocally   map[string]bool  // with EndDrainLocally: drains that ended here, by key
	clockRate      float64          // of its clock, relative to true time
	startedAt      int64            // true time of its start
	readmittedAt   int64            // true time of the last run of retries and readmissions
	ticks          int
}

func (h *host) startDaemon() {
	w := h.world
	r := serverstate.ReportSchedule{Spread: reportSpreadMicros, RenewInterval: reportRenewMicros,
		Retention: drainRetentionMicros, MaxObserved: 64}
	switch w.options.DaemonDefect {
	case EndDrainEarly:
		r.Retention = drainRetentionMicros / 4
	case NeverReportAgain:
		r.RenewInterval = 0
	}
	h.daemon = &hostDaemon{reports: serverstate.NewReportScheduler(fmt.Sprint(h.number), r),
		observedDrains: map[string]bool{}, shownSince: map[string]int64{}, endedLocally: map[string]bool{},
		clockRate: 0.95 + 0.1*w.rng.Float64(), startedAt: w.queue.Now()}
	if h.replicaOnly() {
		return
	}
	// The daemon starts with an old endpoint list, and receives the current one a while later.
	old := w.servers.past[max(0, len(w.servers.past)-1-w.rng.IntN(6))]
	for i := range serverCount {
		h.discover(i, old[i])
	}
	boot := h.boot
	w.queue.After(max(0, w.servers.discoveryDownUntil[h]-w.queue.Now())+w.rng.Int64N(500*milli), func() {
		if h.boot == boot {
			h.discoverAll()
		}
	})
}

// replicaOnly reports whether the host runs no sidecar. Its replica votes, and its daemon ends unreported drains.
func (h *host) replicaOnly() bool { return h.number%3 == 2 }

// clock converts true time to that of the daemon's clock.
func (t *hostDaemon) clock(trueTime int64) int64 {
	return int64(float64(trueTime-t.startedAt)*t.clockRate) + 1
}

// discoverAll passes the current servers to the daemon, unless its discovery is unavailable.
func (h *host) discoverAll() {
	if h.replicaOnly() || h.node == nil || h.daemon == nil ||
		h.world.queue.Now() < h.world.servers.discoveryDownUntil[h] && !h.world.faultsOver {
		return
	}
	for i, p := range h.world.servers.current {
		h.discover(i, p)
	}
}

// discover passes a server's entry in discovery to the daemon, which ignores an entry that is not newer than its own.
func (h *host) discover(server int, p serverProcess) {
	t := h.daemon
	now := t.clock(h.world.queue.Now())
	if len(t.discovered) < serverCount {
		t.discovered = append(t.discovered, serverProcess{version: -1})
	}
	previous := t.discovered[server]
	if p.version <= previous.version {
		return
	}
	t.discovered[server] = p
	if previous.draining && (!p.draining || p.start != previous.start) {
		key := serverstate.ExclusionKey(serverstate.Drain, h.world.processOf(server, previous.start).ServerName())
		t.reports.Withdraw(key)
		delete(t.observedDrains, key)
	}
	if p.draining {
		key := serverstate.ExclusionKey(serverstate.Drain, h.world.processOf(server, p.start).ServerName())
		t.observedDrains[key] = true
		t.reports.Observe(now, key)
	}
}

// tickDaemon runs the daemon's and the sidecar's part of a tick.
func (h *host) tickDaemon() {
	t, w := h.daemon, h.world
	now := t.clock(w.queue.Now())
	due, ended := t.reports.Due(now)
	for _, key := range due {
		p, _ := serverstate.ParseProcess(strings.TrimPrefix(key, serverstate.ExclusionKey(serverstate.Drain, "")))
		if op, err := h.guard.Observe(serverstate.Drain, p.ServerName()); err != nil {
			w.reportViolation("guard", "%v", err)
		} else if op != nil {
			h.proposeDrain(p, *op)
		}
	}
	if w.queue.Now()-t.readmittedAt > readmitIntervalMicros {
		t.readmittedAt = w.queue.Now()
		for _, op := range h.guard.TakeRetries() {
			w.drainOperators[0].retry(h, op)
		}
		for _, key := range ended {
			server := strings.TrimPrefix(key, serverstate.ExclusionKey(serverstate.Drain, ""))
			if txn, err := h.guard.Readmit(serverstate.Drain, server); err == nil {
				if w.options.DaemonDefect == EndDrainLocally {
					t.endedLocally[key] = true
				}
				h.propose(store.Command{ID: h.nextRequestID(), Txn: txn}, func(replica.Completion) {})
			}
		}
	}
	if t.ticks++; t.ticks%ticksPerSend == 0 {
		h.sendAll()
	}
}

// nextRequestID returns a new request id of this host.
func (h *host) nextRequestID() store.RequestID {
	h.seq++
	return store.RequestID{Client: 1000 + uint64(h.number), Seq: h.seq}
}

// proposeDrain proposes a drain as daemons do, on the condition that no other report of it was committed meanwhile.
func (h *host) proposeDrain(p serverstate.Process, op store.Op) {
	if !h.guard.Pending(op.Key) {
		return
	}
	boot := h.boot
	t := &store.Txn{If: []store.Compare{{Key: op.Key, ModRevision: h.guard.DrainRevision(p)}}, Then: []store.Op{op}}
	h.propose(store.Command{ID: h.nextRequestID(), Txn: t}, func(d replica.Completion) {
		if h.boot == boot {
			ok := d.Err == nil && d.Result.Err == nil
			h.guard.ProposalDone(op.Key, ok && (d.Result.Succeeded || h.guard.DrainRevision(p) != 0))
		}
	})
}

// observeDrainEvent handles and checks a change of a drain in the host's copy.
func (h *host) observeDrainEvent(e store.Event) {
	p, ok := serverstate.ParseProcess(strings.TrimPrefix(e.Item.Key, serverstate.ExclusionKey(serverstate.Drain, "")))
	if !ok || p.Addr == "" || h.daemon == nil {
		return
	}
	t, w, key := h.daemon, h.world, e.Item.Key
	if !w.servers.seenRevisions[e.Revision] {
		w.servers.seenRevisions[e.Revision] = true
		if !e.Deleted {
			w.servers.reportedAt[key] = w.queue.Now()
			w.result.DrainsReported++
		} else {
			w.result.DrainsEnded++
			if unreportedFor := w.queue.Now() - w.servers.reportedAt[key]; unreportedFor < drainRetentionMicros*85/100 {
				w.reportViolation("ended too early", "%s after %d ms", key, unreportedFor/milli)
			}
			if w.faultsOver && w.queue.Now()-w.servers.faultsOverAt > second {
				w.checkEndedWhileObserved(key)
			}
		}
	}
	t.reports.Committed(t.clock(w.queue.Now()), key, e.Revision, e.Deleted)
	if e.Deleted {
		delete(h.shownDrains, key)
		delete(t.shownSince, key)
		if w.options.DaemonDefect == OverrideObservation {
			t.reports.Withdraw(key)
			for i := range t.discovered {
				if t.discovered[i].draining && serverstate.ExclusionKey(serverstate.Drain,
					w.processOf(i, t.discovered[i].start).ServerName()) == key {
					t.discovered[i].draining = false
				}
			}
		}
		return
	}
	if _, ok := t.shownSince[key]; !ok {
		t.shownSince[key] = w.queue.Now()
	}
	delete(t.endedLocally, key)
	h.shownDrains[key] = true
}

// checkEndedWhileObserved reports a drain that ends although a running daemon observes it and could have reported it.
func (w *world) checkEndedWhileObserved(key string) {
	for _, h := range w.members() {
		if h.node != nil && h != w.failedDisk.victim && h.daemon != nil && h.daemon.observedDrains[key] &&
			w.queue.Now()-h.daemon.startedAt > 2*reportRenewMicros {
			w.reportViolation("ended while heard", "%s, which host %d hears", key, h.number)
		}
	}
}

// resetDrains takes the drains over from a whole copy.
func (h *host) resetDrains() {
	now := map[string]uint64{}
	h.node.State().Range(serverstate.ExclusionKey(serverstate.Drain, "slot-"), store.PrefixEnd(serverstate.ExclusionKey(serverstate.Drain, "slot-")), func(i store.Item) bool {
		now[i.Key], h.shownDrains[i.Key] = i.ModRevision, true
		return true
	})
	if h.daemon != nil {
		h.daemon.reports.Reset(h.daemon.clock(h.world.queue.Now()), now)
	}
	if !h.restarting { // an installed snapshot: drains missing in it have ended
		for key := range h.shownDrains {
			if _, has := now[key]; !has {
				delete(h.shownDrains, key)
			}
		}
	}
}

// drainInForce reports whether the sidecar treats a process as draining by the store's state.
func (h *host) drainInForce(p serverstate.Process) bool {
	t, key := h.daemon, serverstate.ExclusionKey(serverstate.Drain, p.ServerName())
	switch {
	case h.world.options.DaemonDefect == EndDrainLocally && t.endedLocally[key]:
		return false
	case h.world.options.DaemonDefect == EnforceLate:
		since, ok := t.shownSince[key]
		return h.guard.IsDraining(p) && ok && h.world.queue.Now()-since > 500*milli
	}
	return h.guard.IsDraining(p)
}

// sendAll sends a request to every server that the sidecar considers serving, and checks that none drains.
func (h *host) sendAll() {
	t, w := h.daemon, h.world
	for i, v := range t.discovered {
		p := w.processOf(i, v.start)
		key := serverstate.ExclusionKey(serverstate.Drain, p.ServerName())
		if v.version < 0 || v.draining || h.drainInForce(p) {
			continue
		}
		w.result.RequestsSent++
		switch {
		case h.shownDrains[key]:
			w.reportViolation("stale drain served", "host %d sends to %s, whose drain its copy had shown", h.number,
				p.ServerName())
		case t.observedDrains[key]:
			w.reportViolation("own word undone", "host %d sends to %s, which it hears to drain", h.number,
				p.ServerName())
		}
	}
}

// checkDrainsInForce checks, once faults have been over for long enough, that every observed drain is in force on all
// hosts.
func (w *world) checkDrainsInForce() {
	if !slices.ContainsFunc(w.members(), func(h *host) bool { return !h.replicaOnly() }) {
		return // no remaining member runs a sidecar, so no daemon learns of servers
	}
	for i, p := range w.servers.current {
		if !p.draining {
			continue
		}
		name := w.processOf(i, p.start)
		for _, h := range w.members() {
			if h.node != nil && h.daemon != nil && !h.guard.IsDraining(name) {
				w.reportViolation("drain not told", "host %d does not know that %s drains, %d ms after the last fault",
					h.number, name.ServerName(), (w.queue.Now()-w.servers.faultsOverAt)/milli)
			}
		}
	}
}
