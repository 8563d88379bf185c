package storesim

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/serverstate"

	"github.com/anishathalye/porcupine"
)

// outcomeKnown reports whether a response tells the outcome of a request. If not, it is sent again with the same id.
func outcomeKnown(d replica.Completion) bool { return d.Err == nil }

// submit sends a command until its outcome is known, and passes it to f.
func (w *world) submit(c store.Command, f func(replica.Completion)) { w.submitAttempt(c, false, f) }

// submitAttempt makes an attempt of submit. Argument sent says that an earlier attempt may have been applied.
func (w *world) submitAttempt(c store.Command, sent bool, f func(replica.Completion)) {
	h := w.randomUpHost()
	if h == nil {
		w.queue.After(50*milli, func() { w.submitAttempt(c, sent, f) })
		return
	}
	if c.SinceIndex == 0 {
		c.SinceIndex = max(1, h.appliedIndex)
	}
	h.propose(c, func(d replica.Completion) {
		switch {
		case !outcomeKnown(d):
			unknown := errors.Is(d.Err, replica.ErrOutcomeUnknown)
			if unknown {
				w.result.Unknown++
			}
			w.queue.After(w.rng.Int64N(60*milli), func() { w.submitAttempt(c, sent || unknown, f) })
		case !sent && errors.Is(d.Result.Err, store.ErrRequestExpired): // SinceIndex came from an old copy
			c.SinceIndex = 0
			w.queue.After(w.rng.Int64N(60*milli), func() { w.submitAttempt(c, false, f) })
		default:
			f(d)
		}
	})
}

// client writes and reads random keys, one request after another.
type client struct {
	world         *world
	id, seq       uint64
	requests      int // requests so far
	finished      bool
	seenRevisions map[string]uint64 // last seen revisions, by key
	history       []porcupine.Operation
}

type input struct {
	kind             byte // 'g'et, 'p'ut, 'c'ompare and put
	key              string
	value            string
	expectedRevision uint64
}

type output struct {
	value     string
	revision  uint64
	succeeded bool // of kind 'c': the revision was the expected one
}

// next sends the next request.
func (c *client) next() {
	if c.requests >= c.world.options.Ops {
		c.finished = true
		return
	}
	c.requests++
	if c.seenRevisions == nil {
		c.seenRevisions = map[string]uint64{}
	}
	w := c.world
	key := fmt.Sprintf("k%d", w.rng.IntN(w.options.Keys))
	calledAt := w.queue.Now()
	done := func(in input, out output) {
		w.result.Ops++
		c.seenRevisions[key] = out.revision
		c.history = append(c.history, porcupine.Operation{ClientId: int(c.id), Input: in, Output: out, Call: calledAt,
			Return: w.queue.Now()})
		fmt.Fprint(w.traceHash, in, out, calledAt, w.queue.Now())
		w.queue.After(w.rng.Int64N(200*milli), c.next)
	}
	switch w.rng.IntN(5) {
	case 0, 1:
		c.get(key, done)
	case 2, 3:
		c.put(input{kind: 'p', key: key, value: fmt.Sprintf("%d.%d", c.id, c.requests)}, done)
	default:
		c.put(input{kind: 'c', key: key, value: fmt.Sprintf("%d.%d", c.id, c.requests),
			expectedRevision: c.seenRevisions[key]}, done)
	}
}

// get reads a key until a read succeeds.
func (c *client) get(key string, done func(input, output)) {
	w := c.world
	retry := func() { w.queue.After(w.rng.Int64N(60*milli), func() { c.get(key, done) }) }
	h := w.randomUpHost()
	if h == nil {
		retry()
		return
	}
	h.read(func(d replica.Completion) {
		if d.Err != nil || h.node == nil {
			retry()
			return
		}
		i, _ := h.node.State().Get(key)
		done(input{kind: 'g', key: key}, output{value: string(i.Value), revision: i.ModRevision})
	})
}

// put writes a key, for kind 'c' only if its revision is the expected one.
func (c *client) put(in input, done func(input, output)) {
	c.seq++
	t := &store.Txn{Then: []store.Op{{Key: in.key, Value: []byte(in.value)}}}
	if in.kind == 'c' {
		t.If = []store.Compare{{Key: in.key, ModRevision: in.expectedRevision}}
	}
	c.world.submit(store.Command{ID: store.RequestID{Client: c.id, Seq: c.seq}, Txn: t}, func(d replica.Completion) {
		if d.Result.Err != nil {
			c.world.reportViolation("refused", "%v", d.Result.Err)
		}
		done(in, output{revision: d.Result.Revision, succeeded: d.Result.Succeeded})
	})
}

// register is the state of a key in registerModel.
type register struct {
	value    string
	revision uint64
}

// registerModel models each key as an atomic register.
var registerModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		var keys []string
		for _, o := range all {
			k := o.Input.(input).key
			if by[k] == nil {
				keys = append(keys, k)
			}
			by[k] = append(by[k], o)
		}
		var parts [][]porcupine.Operation
		for _, k := range keys {
			parts = append(parts, by[k])
		}
		return parts
	},
	Init: func() any { return register{} },
	Step: func(state, in, out any) (bool, any) {
		r, i, o := state.(register), in.(input), out.(output)
		switch {
		case i.kind == 'g':
			return o.value == r.value && o.revision == r.revision, r
		case i.kind == 'c' && !o.succeeded:
			return r.revision != i.expectedRevision, r
		case i.kind == 'c' && r.revision != i.expectedRevision:
			return false, r
		}
		return o.revision > r.revision, register{i.value, o.revision}
	},
}

// checkResults makes the checks that are possible only at the end: linearizability, and equal states of all replicas.
func (w *world) checkResults() {
	var all []porcupine.Operation
	for _, c := range w.clients {
		all = append(all, c.history...)
	}
	switch porcupine.CheckOperationsTimeout(registerModel, all, 20*time.Second) {
	case porcupine.Illegal:
		w.reportViolation("not linearizable", "%d requests", len(all))
	case porcupine.Unknown:
		w.reportViolation("not judged", "the history of %d requests is too hard", len(all))
	}
	var previous []byte
	for _, h := range w.hosts {
		if h.node == nil || h.removed || !w.finished {
			continue
		}
		var b bytes.Buffer
		if err := h.node.State().Save(&b); err != nil {
			panic(err)
		}
		if previous != nil && !bytes.Equal(previous, b.Bytes()) {
			w.reportViolation("states differ", "at the end, host %d", h.number)
		}
		previous = b.Bytes()
	}
	w.traceHash.Write(previous)
}

// leaseUser keeps a key with a lease, which it renews in time or a little late.
type leaseUser struct {
	world          *world
	id, seq        uint64
	leaseID        uint64
	key            string
	protectedUntil int64 // true time before which protectedKey must not be deleted
	protectedKey   string
	ended          bool
}

const leaseTTLMillis = 400

func (l *leaseUser) send(c store.Command, handle func(replica.Completion)) {
	h := l.world.randomUpHost()
	if h == nil {
		l.world.queue.After(50*milli, func() { l.send(c, handle) })
		return
	}
	l.seq++
	c.ID = store.RequestID{Client: l.id, Seq: l.seq}
	h.propose(c, handle)
}

func (l *leaseUser) grant() {
	if l.world.faultsOver {
		return
	}
	l.send(store.Command{GrantLease: &store.GrantLease{TTLMillis: leaseTTLMillis}}, func(d replica.Completion) {
		if d.Err != nil || d.Result.Err != nil {
			l.world.queue.After(100*milli, l.grant)
			return
		}
		l.leaseID, l.key = d.Result.LeaseID, fmt.Sprintf("lease/%d/%d", l.id, d.Result.LeaseID)
		put := store.Op{Key: l.key, Value: []byte("held"), LeaseID: l.leaseID}
		l.send(store.Command{Txn: &store.Txn{Then: []store.Op{put}}}, func(replica.Completion) { l.renew() })
	})
}

func (l *leaseUser) renew() {
	if l.world.faultsOver {
		return
	}
	sentAt := l.world.queue.Now()
	l.send(store.Command{RenewLease: &store.RenewLease{LeaseID: l.leaseID}}, func(d replica.Completion) {
		if d.Err == nil && d.Result.Err != nil {
			l.world.queue.After(100*milli, l.grant)
			return
		}
		if d.Err == nil {
			// Clock rates differ by a tenth, and a clock catches up by up to eight ticks.
			l.protectedKey, l.protectedUntil = l.key, sentAt+leaseTTLMillis*milli*70/100
		}
		l.world.queue.After(l.world.rng.Int64N(leaseTTLMillis*milli*13/10), l.renew)
	})
}

// checkEvent checks a change that any replica applies.
func (l *leaseUser) checkEvent(e store.Event) {
	if e.Deleted && e.Item.Key == l.protectedKey && l.world.queue.Now() < l.protectedUntil {
		l.world.reportViolation("lease", "%s went %d ms too early", e.Item.Key,
			(l.protectedUntil-l.world.queue.Now())/milli)
	}
}

// drainOperator reports drains of servers and readmits them, through the guards of random hosts.
type drainOperator struct {
	world    *world
	id, seq  uint64
	observed map[string]observation
}

// observation is a drain that was reported at a process.
type observation struct {
	host, boot int
	server     string
}

// next reports or ends a drain at a random host.
func (u *drainOperator) next() {
	w := u.world
	if w.faultsOver {
		return
	}
	defer w.queue.After(w.rng.Int64N(120*milli), u.next)
	if u.observed == nil {
		u.observed = map[string]observation{}
	}
	h := w.randomUpHost()
	if h == nil {
		return
	}
	for _, op := range h.guard.TakeRetries() {
		u.retry(h, op)
	}
	server := fmt.Sprintf("s%d", w.rng.IntN(3))
	if w.rng.IntN(2) == 0 {
		op, err := h.guard.Observe(serverstate.Drain, server)
		if err != nil {
			w.reportViolation("guard", "%v", err)
			return
		}
		u.observed[fmt.Sprintf("%s at %d", server, h.number)] = observation{h.number, h.boot, server}
		if op != nil {
			u.write(h, *op)
		}
		h.checkExclusions()
		return
	}
	if t, err := h.guard.Readmit(serverstate.Drain, server); err == nil {
		u.seq++
		h.propose(store.Command{ID: store.RequestID{Client: u.id, Seq: u.seq}, Txn: t}, func(replica.Completion) {})
		h.checkExclusions()
	}
}

// retry proposes a change again that the host's guard has not seen committed.
func (u *drainOperator) retry(h *host, op store.Op) {
	if p, ok := serverstate.ParseProcess(op.Key[len("out/drain/"):]); ok && p.Addr != "" {
		h.proposeDrain(p, op)
	} else {
		u.write(h, op)
	}
}

// write proposes a change of an exclusion, and tells the host's guard the outcome.
func (u *drainOperator) write(h *host, op store.Op) {
	u.seq++
	boot := h.boot
	h.propose(store.Command{ID: store.RequestID{Client: u.id, Seq: u.seq}, Txn: &store.Txn{Then: []store.Op{op}}}, func(d replica.Completion) {
		if h.boot != boot {
			return
		}
		ok := d.Err == nil && d.Result.Err == nil
		h.guard.ProposalDone(op.Key, ok)
		if ok && !h.guard.Pending(op.Key) {
			for _, x := range u.world.drainOperators {
				delete(x.observed, fmt.Sprintf("%s at %d", op.Key[len("out/drain/"):], h.number))
			}
		}
		h.checkExclusions()
	})
}
