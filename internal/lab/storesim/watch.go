package storesim

import (
	"fmt"
	"slices"
	"strings"

	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/serverstate"
)

// Servers that drain and start anew stand beside the cluster, and count. Each host has a daemon, which hears of them from a
// discovery of its own, late or not at all for a while, and tells the store by the rules that real daemons go by
// (serverstate.ReportScheduler, serverstate.Guard); and a sidecar, which sends to every server that it holds to serve. What is checked:
//
//   - a copy that a drain has reached by the store sends its process nothing from then on, also after it was killed, and
//     also on the word of an old list; unless the drain ended by rule,
//   - what a daemon hears itself is not undone by the store,
//   - no drain ends before it was left untold for as long as the rule says, nor, without faults, while anyone hears it,
//   - once all faults are over, every drain that anyone hears binds at all, within a second.

// Watch is a fault of daemons that is put in so that a run shows that it is found.
type Watch int

// The faults.
const (
	WatchNone  Watch = iota
	BindLate         // the store's word binds in the sidecar half a second after it came
	Overwrite        // the store's word that a drain ended undoes what the daemon hears itself
	EndEarly         // a drain ends after a quarter of its time
	EndAlone         // a daemon ends a drain for itself, without the quorum
	ForgetDisk       // a start does not know what the log's end says
	NeverRenew       // nobody tells a drain again
)

// The rules' times, shorter than the daemons' so that a run sees many: 200 ms, 4 min and 10 min there.
const (
	simSpread = 60 * milli
	simRenew  = 1200 * milli
	simKeep   = 3000 * milli
	simTidy   = 400 * milli
	sendEvery = 3 // beats
)

// process is what stands at a server's address.
type process struct {
	version int // of discovery's entry
	start   int64
	drains  bool
}

func (w *world) nameOf(server int, start int64) serverstate.Process {
	return serverstate.Process{ID: fmt.Sprintf("slot-%d", server), Addr: fmt.Sprintf("127.0.0.1:%d", 9000+server), StartedMs: start}
}

// servers is the truth of them, and what is known of their drains as the world sees it.
type servers struct {
	now    []process
	past   [][]process      // what discovery once told
	put    map[string]int64 // when a drain was last told to the store, as any copy showed first
	seen   map[uint64]bool  // revisions that a copy has shown
	deaf   map[*host]int64  // until when a host's discovery says nothing
	healed int64            // when all faults were over
}

const serversMade = 3

func (w *world) beginServers(begin int64) {
	w.s = servers{put: map[string]int64{}, seen: map[uint64]bool{}, deaf: map[*host]int64{}}
	for range serversMade {
		w.s.now = append(w.s.now, process{start: 1})
	}
	w.s.past = append(w.s.past, append([]process(nil), w.s.now...))
	w.q.After(begin, w.turn)
}

// turn has a server drain, or start anew.
func (w *world) turn() {
	if w.clean {
		return
	}
	i := w.rng.IntN(serversMade)
	p := &w.s.now[i]
	switch {
	case !p.drains:
		p.drains = true
	case w.rng.IntN(4) > 0: // else it drains on
		p.start, p.drains = p.start+1, false
	}
	p.version++
	w.s.past = append(w.s.past, append([]process(nil), w.s.now...))
	for _, h := range w.hosts {
		if w.rng.IntN(12) == 0 {
			w.s.deaf[h] = w.q.Now() + w.rng.Int64N(4000*milli)
		}
		w.q.After(max(0, w.s.deaf[h]-w.q.Now())+w.rng.Int64N(150*milli), func() { h.hearAll() })
	}
	w.q.After(150*milli+w.rng.Int64N(900*milli), w.turn)
}

// watcher is a host's daemon and sidecar, for as long as the process lives.
type watcher struct {
	turns *serverstate.ReportScheduler
	view  []process        // what discovery has told here
	ears  map[string]bool  // drains that were heard here
	late  map[string]int64 // with BindLate: since when the store says so
	alone map[string]bool  // with EndAlone: ended here
	pace  float64          // of its clock
	born  int64
	tidy  int64
	beats int
}

func (h *host) beginWatch() {
	w := h.w
	r := serverstate.ReportSchedule{Spread: simSpread, RenewInterval: simRenew, Retention: simKeep, MaxObserved: 64}
	switch w.o.Watch {
	case EndEarly:
		r.Retention = simKeep / 4
	case NeverRenew:
		r.RenewInterval = 0
	}
	h.watch = &watcher{turns: serverstate.NewReportScheduler(fmt.Sprint(h.number), r), ears: map[string]bool{}, late: map[string]int64{},
		alone: map[string]bool{}, pace: 0.95 + 0.1*w.rng.Float64(), born: w.q.Now()}
	if h.alone() {
		return
	}
	// It begins with a list of some time ago, and hears discovery a while later.
	old := w.s.past[max(0, len(w.s.past)-1-w.rng.IntN(6))]
	for i := range serversMade {
		h.hear(i, old[i])
	}
	boot := h.boot
	w.q.After(max(0, w.s.deaf[h]-w.q.Now())+w.rng.Int64N(500*milli), func() {
		if h.boot == boot {
			h.hearAll()
		}
	})
}

// alone says whether a host runs no sidecar: its replica votes, and its daemon ends what nobody tells.
func (h *host) alone() bool { return h.number%3 == 2 }

// own is the daemon's clock.
func (t *watcher) own(now int64) int64 { return int64(float64(now-t.born)*t.pace) + 1 }

func (h *host) hearAll() {
	if h.alone() || h.node == nil || h.watch == nil || h.w.q.Now() < h.w.s.deaf[h] && !h.w.clean {
		return
	}
	for i, p := range h.w.s.now {
		h.hear(i, p)
	}
}

// hear takes an entry of discovery's, unless it is older than what was told.
func (h *host) hear(server int, p process) {
	t := h.watch
	now := t.own(h.w.q.Now())
	if len(t.view) < serversMade {
		t.view = append(t.view, process{version: -1})
	}
	was := t.view[server]
	if p.version <= was.version {
		return
	}
	t.view[server] = p
	if was.drains && (!p.drains || p.start != was.start) {
		key := serverstate.ExclusionKey(serverstate.Drain, h.w.nameOf(server, was.start).ServerName())
		t.turns.Withdraw(key)
		delete(t.ears, key)
	}
	if p.drains {
		key := serverstate.ExclusionKey(serverstate.Drain, h.w.nameOf(server, p.start).ServerName())
		t.ears[key] = true
		t.turns.Observe(now, key)
	}
}

// beat is the daemon's and the sidecar's part of a tick.
func (h *host) beat() {
	t, w := h.watch, h.w
	now := t.own(w.q.Now())
	speak, end := t.turns.Due(now)
	for _, key := range speak {
		p, _ := serverstate.ParseProcess(strings.TrimPrefix(key, serverstate.ExclusionKey(serverstate.Drain, "")))
		if op, err := h.guard.Observe(serverstate.Drain, p.ServerName()); err != nil {
			w.broken("guard", "%v", err)
		} else if op != nil {
			h.tell(p, *op)
		}
	}
	if w.q.Now()-t.tidy > simTidy {
		t.tidy = w.q.Now()
		for _, op := range h.guard.TakeRetries() {
			w.ops[0].owed(h, op)
		}
		for _, key := range end {
			server := strings.TrimPrefix(key, serverstate.ExclusionKey(serverstate.Drain, ""))
			if txn, err := h.guard.Readmit(serverstate.Drain, server); err == nil {
				if w.o.Watch == EndAlone {
					t.alone[key] = true
				}
				h.propose(store.Command{ID: h.request(), Txn: txn}, func(replica.Completion) {})
			}
		}
	}
	if t.beats++; t.beats%sendEvery == 0 {
		h.sendAll()
	}
}

// request is an id of this start.
func (h *host) request() store.RequestID {
	h.seq++
	return store.RequestID{Client: 1000 + uint64(h.number), Seq: h.seq}
}

// tell proposes a drain unless it was told since, as daemons do.
func (h *host) tell(p serverstate.Process, op store.Op) {
	if !h.guard.Pending(op.Key) {
		return
	}
	boot := h.boot
	t := &store.Txn{If: []store.Compare{{Key: op.Key, ModRevision: h.guard.DrainRevision(p)}}, Then: []store.Op{op}}
	h.propose(store.Command{ID: h.request(), Txn: t}, func(d replica.Completion) {
		if h.boot == boot {
			ok := d.Err == nil && d.Result.Err == nil
			h.guard.ProposalDone(op.Key, ok && (d.Result.Succeeded || h.guard.DrainRevision(p) != 0))
		}
	})
}

// watchEvent is a change of a drain that the copy shows.
func (h *host) watchEvent(e store.Event) {
	p, ok := serverstate.ParseProcess(strings.TrimPrefix(e.Item.Key, serverstate.ExclusionKey(serverstate.Drain, "")))
	if !ok || p.Addr == "" || h.watch == nil {
		return
	}
	t, w, key := h.watch, h.w, e.Item.Key
	if !w.s.seen[e.Revision] {
		w.s.seen[e.Revision] = true
		if !e.Deleted {
			w.s.put[key] = w.q.Now()
			w.r.Told++
		} else {
			w.r.Over++
			if quiet := w.q.Now() - w.s.put[key]; quiet < simKeep*85/100 {
				w.broken("ended too early", "%s after %d ms", key, quiet/milli)
			}
			if w.clean && w.q.Now()-w.s.healed > second {
				w.endedWhileHeard(key)
			}
		}
	}
	t.turns.Committed(t.own(w.q.Now()), key, e.Revision, e.Deleted)
	if e.Deleted {
		delete(h.acted, key)
		delete(t.late, key)
		if w.o.Watch == Overwrite {
			t.turns.Withdraw(key)
			for i := range t.view {
				if t.view[i].drains && serverstate.ExclusionKey(serverstate.Drain, w.nameOf(i, t.view[i].start).ServerName()) == key {
					t.view[i].drains = false
				}
			}
		}
		return
	}
	if _, ok := t.late[key]; !ok {
		t.late[key] = w.q.Now()
	}
	delete(t.alone, key)
	h.acted[key] = true
}

// endedWhileHeard finds a drain that ends although a daemon hears it that nothing keeps from telling it again.
func (w *world) endedWhileHeard(key string) {
	for _, h := range w.members() {
		if h.node != nil && h != w.failed.victim && h.watch != nil && h.watch.ears[key] && w.q.Now()-h.watch.born > 2*simRenew {
			w.broken("ended while heard", "%s, which host %d hears", key, h.number)
		}
	}
}

// watchAdopt takes a whole copy.
func (h *host) watchAdopt() {
	now := map[string]uint64{}
	h.node.State().Range(serverstate.ExclusionKey(serverstate.Drain, "slot-"), store.PrefixEnd(serverstate.ExclusionKey(serverstate.Drain, "slot-")), func(i store.Item) bool {
		now[i.Key], h.acted[i.Key] = i.ModRevision, true
		return true
	})
	if h.watch != nil {
		h.watch.turns.Reset(h.watch.own(h.w.q.Now()), now)
	}
	if !h.restarting { // of a leader's snapshot: what it lacks has ended
		for key := range h.acted {
			if _, has := now[key]; !has {
				delete(h.acted, key)
			}
		}
	}
}

// holds says whether the sidecar takes a process to drain, by others' word.
func (h *host) holds(p serverstate.Process) bool {
	t, key := h.watch, serverstate.ExclusionKey(serverstate.Drain, p.ServerName())
	switch {
	case h.w.o.Watch == EndAlone && t.alone[key]:
		return false
	case h.w.o.Watch == BindLate:
		since, ok := t.late[key]
		return h.guard.IsDraining(p) && ok && h.w.q.Now()-since > 500*milli
	}
	return h.guard.IsDraining(p)
}

// sendAll has the sidecar send to every server that it holds to serve; the servers count.
func (h *host) sendAll() {
	t, w := h.watch, h.w
	for i, v := range t.view {
		p := w.nameOf(i, v.start)
		key := serverstate.ExclusionKey(serverstate.Drain, p.ServerName())
		if v.version < 0 || v.drains || h.holds(p) {
			continue
		}
		w.r.Sent++
		switch {
		case h.acted[key]:
			w.broken("stale drain served", "host %d sends to %s, whose drain its copy had shown", h.number, p.ServerName())
		case t.ears[key]:
			w.broken("own word undone", "host %d sends to %s, which it hears to drain", h.number, p.ServerName())
		}
	}
}

// settledServers says, once faults are over for long enough, whether every drain that anyone hears binds at all.
func (w *world) settledServers() {
	if !slices.ContainsFunc(w.members(), func(h *host) bool { return !h.alone() }) {
		return // the members that are left run no sidecar: nobody hears of servers
	}
	for i, p := range w.s.now {
		if !p.drains {
			continue
		}
		name := w.nameOf(i, p.start)
		for _, h := range w.members() {
			if h.node != nil && h.watch != nil && !h.guard.IsDraining(name) {
				w.broken("drain not told", "host %d does not know that %s drains, %d ms after the last fault", h.number, name.ServerName(),
					(w.q.Now()-w.s.healed)/milli)
			}
		}
	}
}
