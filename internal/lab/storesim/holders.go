package storesim

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"
)

// Holders are daemons next to the cluster that want tasks. Each has a clock of its own rate, a copy of the store that
// may be old, and requests that are slow, lost or answered late. Its process is stopped between any two steps, killed
// and started again. The checks, in true time and by what a holder itself knows at that time:
//
//   - No more daemons consider themselves entitled to a task at once than it has slots. A stopped daemon counts until
//     its clock passes the end of its session.
//   - At a target that checks fencing tokens, no action takes effect after one with a higher token, also across
//     restarts of the target.
//   - At a target that does not check them neither, unless the holder's process was stopped between its look at the
//     clock and the action.
//   - Once all faults are over, each task is acted on again within a second.

// HolderDefects is a set of injected defects of holders and of the targets of their actions; the zero value has none.
type HolderDefects struct {
	Session lease.Defect
	Table   lease.TableDefect
	Fence   lease.FenceDefect
	Step    HolderStepDefect
}

// HolderStepDefect is an injected defect in the steps of a holder.
type HolderStepDefect int

// The injected defects.
const (
	NoHolderStepDefect  HolderStepDefect = iota
	ReleaseDuringAction                  // a release removes the queue entry before the action has ended
	ReleaseAnyEntry                      // a release removes any queue entry of the task, also of other holders
	IgnoreSessionEnd                     // an action starts although it may not end before the session does
	KeepUnusedEntries                    // queue entries that the holder does not use are not removed
)

const (
	holderClockSkew    = 0.25 // clocks of hosts and holders run at 0.9 to 1.1 of true time
	holderMarginMicros = 2 * milli
	maxActMicros       = 60 * milli
)

var simTasks = []struct {
	name  string
	slots int
}{{"one", 1}, {"two", 2}}

// actionTargets are the targets of the holders' actions.
type actionTargets struct {
	fences         map[string]*lease.Fence
	fencedTokens   map[string]uint64 // highest token that took effect at the target that checks tokens, by task
	unfencedTokens map[string]uint64 // highest token at the target that does not check them, by task
	lastActionAt   map[string]int64  // true time of the last action that took effect, by task
	defect         lease.FenceDefect
}

// holder is the process of a holder.
type holder struct {
	world        *world
	number       int
	name         string
	clockRate    float64 // of its clock, relative to true time
	clockOrigin  int64   // true time at which its clock shows 0
	boot         int     // number of starts; steps of an earlier start do nothing
	stoppedUntil int64   // true time until which it is stopped
	stops        int     // how often it was stopped
	session      *lease.Session
	table        *lease.Table
	copyRevision uint64 // revision of its copy of the store
	seq          uint64
	tasks        map[string]*wantedTask // by name
	rng          *rand.Rand
}

// wantedTask is a holder's part in a task.
type wantedTask struct {
	task              string
	slots             int
	queueEntry        string // key; empty: none
	generation        uint64 // generation of the session of the queue entry
	wasEntitled       bool   // it has been entitled
	actionsInProgress int
	released          bool // it has released the task and is not entitled any more
}

func (w *world) startHolders(startAt int64) {
	w.targets = &actionTargets{fences: map[string]*lease.Fence{}, fencedTokens: map[string]uint64{},
		unfencedTokens: map[string]uint64{}, lastActionAt: map[string]int64{}, defect: w.options.HolderDefects.Fence}
	for _, t := range simTasks {
		w.restartTarget(t.name)
	}
	for i := range w.options.Holders {
		d := &holder{world: w, number: i, name: fmt.Sprintf("h%d", i), rng: w.rng}
		w.holders = append(w.holders, d)
		w.queue.After(startAt+w.rng.Int64N(100*milli), d.start)
	}
	if w.options.Holders > 0 && w.options.Faults > 0 {
		w.queue.After(startAt, w.injectHolderFault)
	}
}

// holderTTL returns the TTL of the holders' sessions in microseconds.
func (w *world) holderTTL() int64 { return int64(w.options.HolderTTLMillis) * milli }

// restartTarget restarts the target of a task. It keeps its highest token, except with defect ForgetOnRestart.
func (w *world) restartTarget(task string) {
	f := lease.NewFence(w.targets.defect)
	w.targets.fences[task] = f
	if w.targets.defect != lease.ForgetOnRestart && w.targets.fencedTokens[task] > 0 {
		_ = f.Admit(task, w.targets.fencedTokens[task])
	}
}

// injectHolderFault stops or kills a holder or restarts a target, at random intervals.
func (w *world) injectHolderFault() {
	if w.faultsOver {
		return
	}
	defer w.queue.After(w.rng.Int64N(300*milli), w.injectHolderFault)
	d := w.holders[w.rng.IntN(len(w.holders))]
	switch w.rng.IntN(4) {
	case 0, 1:
		for _, x := range w.holders { // prefers a holder in the middle of an action
			if x.boot > 0 && x.tasks[simTasks[0].name].actionsInProgress > 0 && w.queue.Now() >= x.stoppedUntil {
				d = x
			}
		}
		d.stoppedUntil = w.queue.Now() + w.rng.Int64N(3*w.holderTTL())
		d.stops++
	case 2:
		d.start() // kills it and starts it at once
	case 3:
		w.restartTarget(simTasks[w.rng.IntN(len(simTasks))].name)
	}
}

func (d *holder) start() {
	w := d.world
	d.boot++
	d.clockRate, d.clockOrigin, d.stoppedUntil = 0.9+0.2*w.rng.Float64(), w.queue.Now()-w.rng.Int64N(second), 0
	d.session = lease.NewSession(lease.Rules{TTL: w.holderTTL(), MaxClockSkew: holderClockSkew,
		Margin: holderMarginMicros}, w.options.HolderDefects.Session)
	d.table, d.copyRevision, d.tasks = lease.NewTable(w.options.HolderDefects.Table), 0, map[string]*wantedTask{}
	for _, t := range simTasks {
		d.tasks[t.name] = &wantedTask{task: t.name, slots: t.slots}
	}
	d.schedule(0, d.renew)
	d.schedule(0, d.copy)
	d.schedule(0, d.work)
}

// now returns the time of the daemon's own clock in microseconds.
func (d *holder) now() int64 {
	return int64(float64(d.world.queue.Now()-d.clockOrigin)*d.clockRate) + 1
}

// schedule calls f after some microseconds of true time, once the process is not stopped, and not at all if it is
// killed before.
func (d *holder) schedule(after int64, f func()) {
	boot := d.boot
	d.world.queue.After(after, func() {
		switch {
		case d.boot != boot || d.world.holdersFinished():
		case d.world.queue.Now() < d.stoppedUntil:
			d.schedule(d.stoppedUntil-d.world.queue.Now()+1, f)
		default:
			f()
			d.checkEntitlement()
		}
	})
}

// holdersFinished reports whether the holders do nothing more, so that the run can end.
func (w *world) holdersFinished() bool {
	return w.faultsOver && w.queue.Now()-w.servers.faultsOverAt > 5*second/2
}

// send proposes a command through a random running host, and calls handle once, with an unknown outcome after half a
// TTL. The request and the response may be late, and the response may be lost.
func (d *holder) send(c store.Command, handle func(replica.Completion)) {
	w := d.world
	d.seq++
	c.ID = store.RequestID{Client: 1<<32 + uint64(d.number)<<16 + uint64(d.boot), Seq: d.seq}
	answered := false
	respond := func(x replica.Completion) {
		if !answered {
			answered = true
			handle(x)
		}
	}
	d.schedule(d.world.holderTTL()/2, func() { respond(replica.Completion{Err: replica.ErrOutcomeUnknown}) })
	drawDelay := func() int64 {
		if !w.faultsOver && w.rng.IntN(8) == 0 {
			return w.rng.Int64N(w.holderTTL())
		}
		return 200 + w.rng.Int64N(3*milli)
	}
	lost := !w.faultsOver && w.rng.IntN(10) == 0
	w.queue.After(drawDelay(), func() {
		h := w.randomUpHost()
		if h == nil {
			return
		}
		c.SinceIndex = max(1, h.appliedIndex)
		h.propose(c, func(x replica.Completion) {
			if !lost {
				d.schedule(drawDelay(), func() { respond(x) })
			}
		})
	})
}

// renew runs the loop that grants and renews the session.
func (d *holder) renew() {
	request, due := d.session.Next(d.now())
	id := d.session.ID()
	switch request {
	case lease.NoRequest:
		d.schedule(max(milli, int64(float64(due-d.now())/d.clockRate)), d.renew)
		return
	case lease.GrantRequest:
		d.send(store.Command{GrantLease: &store.GrantLease{TTLMillis: uint64(d.world.holderTTL() / milli),
			Owner: d.name}}, d.handleRenewal)
	case lease.RenewRequest:
		d.send(store.Command{RenewLease: &store.RenewLease{LeaseID: id, Owner: d.name}}, d.handleRenewal)
	}
}

func (d *holder) handleRenewal(x replica.Completion) {
	outcome := lease.Succeeded
	switch {
	case x.Err == nil && errors.Is(x.Result.Err, store.ErrLeaseNotFound):
		outcome = lease.SessionNotFound
	case x.Err != nil || x.Result.Err != nil:
		outcome = lease.OutcomeUnknown
	}
	before := d.session.Generation()
	d.session.HandleResponse(d.now(), outcome, x.Result.LeaseID)
	if outcome == lease.Succeeded && d.session.Generation() == before &&
		d.world.options.HolderDefects.Step != KeepUnusedEntries {
		for _, p := range d.table.EntriesOf(d.name, d.session.ID()) {
			used := false
			for _, x := range d.tasks {
				used = used || x.queueEntry == p.Key
			}
			if !used {
				d.remove(p.Key)
			}
		}
	}
	d.schedule(0, d.renew)
}

func (d *holder) remove(key string) {
	d.send(store.Command{Txn: &store.Txn{Owner: d.name, Then: []store.Op{{Key: key, Delete: true}}}}, func(replica.Completion) {})
}

// copy updates the daemon's copy from a random host at random intervals, and never to an older state.
func (d *holder) copy() {
	w := d.world
	if h := w.randomUpHost(); h != nil && h.node.State().Revision() >= d.copyRevision &&
		(h.node.State().Revision() > d.copyRevision || d.copyRevision == 0) {
		s := h.node.State()
		events, _, err := s.Changes(nil, lease.Prefix, d.copyRevision, 1<<30)
		if d.copyRevision == 0 || err != nil {
			d.table.Reset(s)
		}
		for i := range events {
			if d.copyRevision > 0 {
				d.table.Event(events[i])
			}
		}
		d.copyRevision = s.Revision()
	}
	d.schedule(5*milli+w.rng.Int64N(40*milli), d.copy)
}

// entitled reports whether the daemon considers itself entitled to a task now, whether or not it is stopped.
func (d *holder) entitled(x *wantedTask) (token uint64, until int64, ok bool) {
	if x.queueEntry == "" || x.released || x.generation != d.session.Generation() || d.now() >= d.session.ValidUntil() {
		return 0, 0, false
	}
	token, ok = d.table.Holds(x.task, x.queueEntry)
	return token, d.session.ValidUntil(), ok
}

// checkEntitlement checks that no task has more entitled holders than slots.
func (d *holder) checkEntitlement() {
	w := d.world
	for _, t := range simTasks {
		if x := d.tasks[t.name]; x == nil {
			continue
		} else if _, _, ok := d.entitled(x); !ok {
			continue
		}
		var entitled []string
		for _, other := range w.holders {
			if x := other.tasks[t.name]; x != nil {
				if token, _, ok := other.entitled(x); ok {
					entitled = append(entitled, fmt.Sprintf("%s with %d", other.name, token))
				}
			}
		}
		if len(entitled) > t.slots {
			w.reportViolation("two entitled", "task %q of %d slots: %v", t.name, t.slots, entitled)
		}
	}
}

// work queues for each task, acts while the daemon is entitled to it, and releases it from time to time.
func (d *holder) work() {
	w := d.world
	for _, t := range simTasks {
		x := d.tasks[t.name]
		switch token, until, ok := d.entitled(x); {
		case x.queueEntry != "" && x.generation != d.session.Generation() && x.actionsInProgress == 0:
			x.queueEntry, x.wasEntitled, x.released = "", false, false
		case x.queueEntry == "" && d.session.ID() != 0 && d.now() < d.session.ValidUntil():
			d.enqueue(x)
		case x.queueEntry != "" && !x.wasEntitled && !ok && !x.released && x.generation == d.session.Generation() &&
			d.session.ID() != 0:
			if _, _, there := d.table.Find(x.task, x.queueEntry); !there && w.rng.IntN(20) == 0 {
				d.enqueue(x) // the response was lost: proposes the same entry again
			}
		case ok && (d.now()+maxActMicros < until || w.options.HolderDefects.Step == IgnoreSessionEnd):
			x.wasEntitled = true
			if w.rng.IntN(12) == 0 {
				d.release(x)
				continue
			}
			d.act(x, token)
		}
	}
	d.schedule(10*milli+w.rng.Int64N(30*milli), d.work)
}

// enqueue proposes the queue entry of a task.
func (d *holder) enqueue(x *wantedTask) {
	if x.queueEntry == "" {
		d.seq++
		x.queueEntry, x.generation, x.wasEntitled, x.released = lease.QueueEntryKey(x.task, d.name,
			fmt.Sprintf("%d.%d", d.boot, d.seq)), d.session.Generation(), false, false
	}
	id := d.session.ID()
	conf := fmt.Sprintf(`{"slots":%d}`, x.slots)
	d.send(store.Command{Txn: &store.Txn{Owner: d.name, If: []store.Compare{{Key: x.queueEntry}}, Then: []store.Op{
		{Key: x.queueEntry, Value: fmt.Appendf(nil, `{"session":%d}`, id), LeaseID: id},
		{Key: lease.TaskConfigPrefix + x.task, Value: []byte(conf)}}}}, func(replica.Completion) {})
}

// act starts an action that takes effect after up to maxActMicros of the daemon's clock.
func (d *holder) act(x *wantedTask, token uint64) {
	stops := d.stops
	x.actionsInProgress++
	duration := int64(float64(d.world.rng.Int64N(maxActMicros)) / d.clockRate)
	if d.world.options.HolderDefects.Step == IgnoreSessionEnd {
		duration *= 16
	}
	d.schedule(duration, func() {
		x.actionsInProgress--
		d.world.applyAction(x.task, token, d.stops != stops, d.name)
	})
}

// release releases a task once no action is in progress.
func (d *holder) release(x *wantedTask) {
	early := d.world.options.HolderDefects.Step == ReleaseDuringAction
	if !early {
		x.released = true
	}
	if x.actionsInProgress > 0 && !early {
		d.schedule(5*milli, func() { d.release(x) })
		return
	}
	key := x.queueEntry
	if d.world.options.HolderDefects.Step == ReleaseAnyEntry {
		if all := d.table.Queue(x.task); len(all) > 0 {
			key = all[d.world.rng.IntN(len(all))].Key
		}
	}
	d.remove(key)
	if early {
		d.schedule(100*milli, func() { x.queueEntry, x.wasEntitled, x.released = "", false, false })
		return
	}
	x.queueEntry, x.wasEntitled, x.released = "", false, false
}

// applyAction applies an action at its target and checks its token. stopped says that the process was stopped during
// it.
func (w *world) applyAction(task string, token uint64, stopped bool, holder string) {
	t := w.targets
	w.result.Actions++
	if task != simTasks[0].name { // tokens of two concurrent holders have no order
		t.lastActionAt[task] = w.queue.Now()
		return
	}
	if t.fences[task].Admit(task, token) == nil {
		if token < t.fencedTokens[task] {
			w.reportViolation("token order", "%s acted upon %q with %d after %d", holder, task, token,
				t.fencedTokens[task])
		}
		t.fencedTokens[task] = max(t.fencedTokens[task], token)
		t.lastActionAt[task] = w.queue.Now()
	}
	switch {
	case token >= t.unfencedTokens[task]:
	case stopped:
		w.result.LateActions++
	default:
		w.reportViolation("acted late", "%s, which was not stopped, acted upon %q with %d after %d", holder, task,
			token, t.unfencedTokens[task])
	}
	t.unfencedTokens[task] = max(t.unfencedTokens[task], token)
}

// checkTasksActive checks that holders act on each task again after the faults.
func (w *world) checkTasksActive() {
	if w.options.Holders == 0 {
		return
	}
	for _, t := range simTasks {
		if w.targets.lastActionAt[t.name] < w.servers.faultsOverAt+second {
			w.reportViolation("nobody acts", "upon %q, %d ms after the last fault", t.name,
				(w.queue.Now()-w.servers.faultsOverAt)/milli)
		}
	}
}

// InjectedHolderDefects lists the defects of holders, targets and replicas that a run with holders can inject.
var InjectedHolderDefects = []struct {
	Name    string
	Plant   HolderDefects
	Replica replica.Defects
	About   string
}{
	{"entitled-from-answer", HolderDefects{Session: lease.ValidFromResponse}, 0,
		"a session counts its TTL from the arrival of the response, not from the request"},
	{"no-rate-margin", HolderDefects{Session: lease.IgnoreSkew}, 0,
		"a session makes no allowance for clocks that run at different rates"},
	{"renewal-after-end", HolderDefects{Session: lease.AcceptRejectedRenewal}, 0,
		"a renewal that the store rejected counts"},
	{"old-leaders-rest", HolderDefects{}, replica.ShortenInheritedLeases,
		"a new leader ends inherited leases after the remaining time of the old leader"},
	{"blind-end", HolderDefects{}, replica.RevokeRenewedLease,
		"a session without recent renewals is revoked although it was renewed meanwhile"},
	{"token-counted-anew", HolderDefects{Table: lease.RenumberTokens}, 0, "each process numbers tokens itself"},
	{"token-not-checked", HolderDefects{Fence: lease.AdmitAllTokens}, 0, "the target admits lower tokens"},
	{"receiver-forgets", HolderDefects{Fence: lease.ForgetOnRestart}, 0,
		"the target forgets its highest token when it restarts"},
	{"release-of-anothers", HolderDefects{Step: ReleaseAnyEntry}, 0,
		"a release removes the queue entry of another holder"},
	{"release-before-end", HolderDefects{Step: ReleaseDuringAction}, 0,
		"the queue entry is removed while an action is in progress"},
	{"any-length", HolderDefects{Step: IgnoreSessionEnd}, 0,
		"an action starts although it may not end before the session does"},
	{"permits-at-holder", HolderDefects{Table: lease.CountOwnEntriesOnly}, 0,
		"slots are counted among the holder's own queue entries"},
	{"order-ignored", HolderDefects{Table: lease.IgnoreQueueOrder}, 0, "any holder with a queue entry may act"},
	{"places-not-swept", HolderDefects{Step: KeepUnusedEntries}, 0,
		"a queue entry whose response was lost is never removed"},
}
