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

// known says whether an answer tells what became of a request. If not, it is sent again with the same id.
func known(d replica.Completion) bool { return d.Err == nil }

// persist sends a command until its outcome is known.
func (w *world) persist(c store.Command, f func(replica.Completion)) { w.send(c, false, f) }

// send does that; sent says that an earlier try may have been done.
func (w *world) send(c store.Command, sent bool, f func(replica.Completion)) {
	h := w.up()
	if h == nil {
		w.q.After(50*milli, func() { w.send(c, sent, f) })
		return
	}
	if c.SinceIndex == 0 {
		c.SinceIndex = max(1, h.index)
	}
	h.propose(c, func(d replica.Completion) {
		switch {
		case !known(d):
			unknown := errors.Is(d.Err, replica.ErrOutcomeUnknown)
			if unknown {
				w.r.Unknown++
			}
			w.q.After(w.rng.Int64N(60*milli), func() { w.send(c, sent || unknown, f) })
		case !sent && errors.Is(d.Result.Err, store.ErrRequestExpired): // its beginning was told by a copy that is far behind
			c.SinceIndex = 0
			w.q.After(w.rng.Int64N(60*milli), func() { w.send(c, false, f) })
		default:
			f(d)
		}
	})
}

// client writes and reads a few keys, one request after another.
type client struct {
	w        *world
	id, seq  uint64
	made     int
	finished bool
	mod      map[string]uint64 // last seen
	history  []porcupine.Operation
}

type input struct {
	kind   byte // 'g'et, 'p'ut, 'c'ompare and put
	key    string
	value  string
	expect uint64
}

type output struct {
	value string
	mod   uint64
	held  bool
}

func (c *client) next() {
	if c.made >= c.w.o.Ops {
		c.finished = true
		return
	}
	c.made++
	if c.mod == nil {
		c.mod = map[string]uint64{}
	}
	w := c.w
	key := fmt.Sprintf("k%d", w.rng.IntN(w.o.Keys))
	at := w.q.Now()
	after := func(in input, out output) {
		w.r.Ops++
		c.mod[key] = out.mod
		c.history = append(c.history, porcupine.Operation{ClientId: int(c.id), Input: in, Output: out, Call: at, Return: w.q.Now()})
		fmt.Fprint(w.sum, in, out, at, w.q.Now())
		w.q.After(w.rng.Int64N(200*milli), c.next)
	}
	switch w.rng.IntN(5) {
	case 0, 1:
		c.get(key, after)
	case 2, 3:
		c.put(input{kind: 'p', key: key, value: fmt.Sprintf("%d.%d", c.id, c.made)}, after)
	default:
		c.put(input{kind: 'c', key: key, value: fmt.Sprintf("%d.%d", c.id, c.made), expect: c.mod[key]}, after)
	}
}

func (c *client) get(key string, after func(input, output)) {
	w := c.w
	again := func() { w.q.After(w.rng.Int64N(60*milli), func() { c.get(key, after) }) }
	h := w.up()
	if h == nil {
		again()
		return
	}
	h.read(func(d replica.Completion) {
		if d.Err != nil || h.node == nil {
			again()
			return
		}
		i, _ := h.node.State().Get(key)
		after(input{kind: 'g', key: key}, output{value: string(i.Value), mod: i.ModRevision})
	})
}

func (c *client) put(in input, after func(input, output)) {
	c.seq++
	t := &store.Txn{Then: []store.Op{{Key: in.key, Value: []byte(in.value)}}}
	if in.kind == 'c' {
		t.If = []store.Compare{{Key: in.key, ModRevision: in.expect}}
	}
	c.w.persist(store.Command{ID: store.RequestID{Client: c.id, Seq: c.seq}, Txn: t}, func(d replica.Completion) {
		if d.Result.Err != nil {
			c.w.broken("refused", "%v", d.Result.Err)
		}
		after(in, output{mod: d.Result.Revision, held: d.Result.Succeeded})
	})
}

type register struct {
	value string
	mod   uint64
}

// model is a key as one copy alone would have it.
var model = porcupine.Model{
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
			return o.value == r.value && o.mod == r.mod, r
		case i.kind == 'c' && !o.held:
			return r.mod != i.expect, r
		case i.kind == 'c' && r.mod != i.expect:
			return false, r
		}
		return o.mod > r.mod, register{i.value, o.mod}
	},
}

// judge checks what can be told at the end alone.
func (w *world) judge() {
	var all []porcupine.Operation
	for _, c := range w.cl {
		all = append(all, c.history...)
	}
	switch porcupine.CheckOperationsTimeout(model, all, 20*time.Second) {
	case porcupine.Illegal:
		w.broken("not linearizable", "%d requests", len(all))
	case porcupine.Unknown:
		w.broken("not judged", "the history of %d requests is too hard", len(all))
	}
	var sum []byte
	for _, h := range w.hosts {
		if h.node == nil || h.retired || !w.over {
			continue
		}
		var b bytes.Buffer
		if err := h.node.State().Save(&b); err != nil {
			panic(err)
		}
		if sum != nil && !bytes.Equal(sum, b.Bytes()) {
			w.broken("states differ", "at the end, host %d", h.number)
		}
		sum = b.Bytes()
	}
	w.sum.Write(sum)
}

// leaseUser holds a key by a lease, which it renews more or less in time.
type leaseUser struct {
	w       *world
	id, seq uint64
	lease   uint64
	key     string
	safe    int64 // the key may not go before
	safeKey string
	ended   bool
}

const ttl = 400 // milliseconds

func (l *leaseUser) send(c store.Command, f func(replica.Completion)) {
	h := l.w.up()
	if h == nil {
		l.w.q.After(50*milli, func() { l.send(c, f) })
		return
	}
	l.seq++
	c.ID = store.RequestID{Client: l.id, Seq: l.seq}
	h.propose(c, f)
}

func (l *leaseUser) begin() {
	if l.w.clean {
		return
	}
	l.send(store.Command{GrantLease: &store.GrantLease{TTLMillis: ttl}}, func(d replica.Completion) {
		if d.Err != nil || d.Result.Err != nil {
			l.w.q.After(100*milli, l.begin)
			return
		}
		l.lease, l.key = d.Result.LeaseID, fmt.Sprintf("lease/%d/%d", l.id, d.Result.LeaseID)
		put := store.Op{Key: l.key, Value: []byte("held"), LeaseID: l.lease}
		l.send(store.Command{Txn: &store.Txn{Then: []store.Op{put}}}, func(replica.Completion) { l.renew() })
	})
}

func (l *leaseUser) renew() {
	if l.w.clean {
		return
	}
	at := l.w.q.Now()
	l.send(store.Command{RenewLease: &store.RenewLease{LeaseID: l.lease}}, func(d replica.Completion) {
		if d.Err == nil && d.Result.Err != nil {
			l.w.q.After(100*milli, l.begin)
			return
		}
		if d.Err == nil {
			l.safeKey, l.safe = l.key, at+ttl*milli*70/100 // clocks run apart by a tenth, and catch up by up to eight ticks
		}
		l.w.q.After(l.w.rng.Int64N(ttl*milli*13/10), l.renew)
	})
}

// saw checks a change that some replica applies.
func (l *leaseUser) saw(e store.Event) {
	if e.Deleted && e.Item.Key == l.safeKey && l.w.q.Now() < l.safe {
		l.w.broken("lease", "%s went %d ms too early", e.Item.Key, (l.safe-l.w.q.Now())/milli)
	}
}

// outs tells of servers that drain and return.
type outs struct {
	w       *world
	id, seq uint64
	heard   map[string]hearing
}

type hearing struct {
	host, boot int
	server     string
}

func (u *outs) next() {
	w := u.w
	if w.clean {
		return
	}
	defer w.q.After(w.rng.Int64N(120*milli), u.next)
	if u.heard == nil {
		u.heard = map[string]hearing{}
	}
	h := w.up()
	if h == nil {
		return
	}
	for _, op := range h.guard.TakeRetries() {
		u.owed(h, op)
	}
	server := fmt.Sprintf("s%d", w.rng.IntN(3))
	if w.rng.IntN(2) == 0 {
		op, err := h.guard.Observe(serverstate.Drain, server)
		if err != nil {
			w.broken("guard", "%v", err)
			return
		}
		u.heard[fmt.Sprintf("%s at %d", server, h.number)] = hearing{h.number, h.boot, server}
		if op != nil {
			u.write(h, *op)
		}
		h.look()
		return
	}
	if t, err := h.guard.Readmit(serverstate.Drain, server); err == nil {
		u.seq++
		h.propose(store.Command{ID: store.RequestID{Client: u.id, Seq: u.seq}, Txn: t}, func(replica.Completion) {})
		h.look()
	}
}

// owed writes once more what a host's daemon owes the store.
func (u *outs) owed(h *host, op store.Op) {
	if p, ok := serverstate.ParseProcess(op.Key[len("out/drain/"):]); ok && p.Addr != "" {
		h.tell(p, op)
	} else {
		u.write(h, op)
	}
}

func (u *outs) write(h *host, op store.Op) {
	u.seq++
	boot := h.boot
	h.propose(store.Command{ID: store.RequestID{Client: u.id, Seq: u.seq}, Txn: &store.Txn{Then: []store.Op{op}}}, func(d replica.Completion) {
		if h.boot != boot {
			return
		}
		ok := d.Err == nil && d.Result.Err == nil
		h.guard.ProposalDone(op.Key, ok)
		if ok && !h.guard.Pending(op.Key) {
			for _, x := range u.w.ops {
				delete(x.heard, fmt.Sprintf("%s at %d", op.Key[len("out/drain/"):], h.number))
			}
		}
		h.look()
	})
}
