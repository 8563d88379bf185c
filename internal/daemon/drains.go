package daemon

import (
	"context"
	"strings"
	"time"

	"birchmoor/internal/discovery"
	"birchmoor/internal/store"
	"birchmoor/internal/store/policy"
)

// Drains travel like bans, but for three things. They are of a process, so that nobody has to agree that a server serves
// again: a new start is another process. All daemons hear a drain from discovery at about the same time, and one of them
// writes it (policy.Turns). And they end by rule: who hears a drain sees to it that it is told again every drainRenew, one
// write for all, and what nobody has told for drainKept is over.
const (
	drainSpread = 200 * time.Millisecond
	drainRenew  = 4 * time.Minute
	drainKept   = 10 * time.Minute
	drainsMost  = 4096 // processes that drain, by this daemon's discovery
)

// drains is a daemon's part in them. The daemon's lock guards it.
type drains struct {
	bind  func(ctx context.Context, p discovery.Process, drains bool) error
	dirty map[policy.Process]bool
	turns *policy.Turns // by key
}

func newDrains(by string) drains {
	return drains{dirty: map[policy.Process]bool{}, turns: policy.NewTurns(by, policy.TurnRules{Spread: int64(drainSpread),
		Renew: int64(drainRenew), Keep: int64(drainKept), Most: drainsMost})}
}

func drainKey(p policy.Process) string { return policy.Key(policy.Drain, p.Server()) }

// drainOf reads a key that tells of a drain.
func drainOf(key string) (policy.Process, bool) {
	server, ok := strings.CutPrefix(key, policy.Key(policy.Drain, ""))
	if !ok {
		return policy.Process{}, false
	}
	return policy.ParseProcess(server)
}

// Known lists the processes that drained by the store's copy here: a start knows them before it serves.
func (d *Daemon) Known() []discovery.Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []discovery.Process
	for _, p := range d.guard.Draining() {
		all = append(all, discovery.Process(p))
	}
	return all
}

// Bind gives the way in which what others heard binds in the sidecar.
func (d *Daemon) Bind(bind func(ctx context.Context, p discovery.Process, drains bool) error) {
	d.mu.Lock()
	d.drains.bind = bind
	for _, p := range d.guard.Draining() {
		d.drains.dirty[p] = true
	}
	d.mu.Unlock()
	d.poke()
}

// Heard takes what this sidecar's discovery says of a process. It does not wait.
func (d *Daemon) Heard(p discovery.Process, drains bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key, now := drainKey(policy.Process(p)), d.now(time.Now())
	defer d.note(key)
	if !drains {
		d.drains.turns.Unhear(key)
		return
	}
	due, full := d.drains.turns.Hear(now, key)
	if full {
		d.log.Error("other daemons are not told of a drain: too many processes drain", "id", p.ID, "most", drainsMost)
	}
	d.wakeAt(due, now)
}

// speakDrains writes what it is this daemon's turn to tell.
func (d *Daemon) speakDrains(now int64) {
	d.mu.Lock()
	keys, _ := d.drains.turns.Due(now)
	var ops []store.Op
	for _, key := range keys {
		p, _ := drainOf(key)
		op, err := d.guard.Hear(policy.Drain, p.Server())
		if err != nil {
			d.log.Error("other daemons are not told of a drain", "id", p.ID, "error", err)
		} else if op != nil {
			ops = append(ops, *op)
		}
	}
	d.mu.Unlock()
	for _, op := range ops {
		d.queue(op)
	}
}

// writeDrain proposes a drain, if nobody has written it since. What was ended meanwhile is an error: it is owed again.
func (d *Daemon) writeDrain(ctx context.Context, p policy.Process, op store.Op) error {
	d.mu.Lock()
	agreed, over := d.guard.Agreed(p), !d.guard.Pending(op.Key)
	d.mu.Unlock()
	if over {
		return nil
	}
	r, err := d.engine.Do(ctx, store.Command{Txn: &store.Txn{If: []store.Compare{{Key: op.Key, Modified: agreed}}, Then: []store.Op{op}}})
	if err != nil || r.Held {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.guard.Agreed(p) == 0 {
		return ErrMeanwhile
	}
	return nil
}

// drainEvent notes a change of the store. The daemon's lock is held.
func (d *Daemon) drainEvent(now int64, p policy.Process, e store.Event) {
	key := drainKey(p)
	d.drains.dirty[p] = true
	d.wakeAt(d.drains.turns.Told(now, key, e.Revision, e.Deleted), now)
	d.note(key)
}

// tellDrains makes bind in the sidecar what has changed.
func (d *Daemon) tellDrains(ctx context.Context) {
	d.mu.Lock()
	bind := d.drains.bind
	if bind == nil {
		d.mu.Unlock()
		return
	}
	now := map[policy.Process]bool{}
	for p := range d.drains.dirty {
		now[p] = d.guard.Drains(p)
	}
	clear(d.drains.dirty)
	d.mu.Unlock()
	for p, drains := range now {
		if err := bind(ctx, discovery.Process(p), drains); err != nil && ctx.Err() == nil {
			d.log.Error("what daemons heard of a drain does not bind here", "id", p.ID, "drains", drains, "error", err)
			d.mu.Lock()
			d.drains.dirty[p] = true
			d.mu.Unlock()
		}
	}
}

// drainsOver ends what nobody has told for long. The daemon's lock is held.
func (d *Daemon) drainsOver(now int64) (ends []*store.Txn) {
	_, over := d.drains.turns.Due(now)
	for _, key := range over {
		p, _ := drainOf(key)
		if t, err := d.guard.Return(policy.Drain, p.Server()); err == nil {
			ends = append(ends, t)
		}
	}
	return ends
}
