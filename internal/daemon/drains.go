package daemon

import (
	"context"
	"hash/fnv"
	"strings"
	"time"

	"birchmoor/internal/discovery"
	"birchmoor/internal/store"
	"birchmoor/internal/store/policy"
)

// Drains travel like bans, but for three things. They are of a process, so that nobody has to agree that a server serves
// again: a new start is another process. All daemons hear a drain from discovery at about the same time, and one of them
// writes it: each waits for a while of its own and does not write what the store has by then, and of those that meet all
// the same the first makes a change. And they end by rule: who hears a drain sees to it that it is told again every
// drainRenew, one write for all, and what nobody has told for drainKept is over. Both are measured on each daemon's own
// clock, which does not step, from when the store's word came here: clocks of hosts are not compared.
const (
	drainSpread = 200 * time.Millisecond
	drainRenew  = 4 * time.Minute
	drainKept   = 10 * time.Minute
	drainsMost  = 4096 // processes that drain, by this daemon's discovery
)

// drains is a daemon's part in them. The daemon's lock guards it.
type drains struct {
	bind    func(ctx context.Context, p discovery.Process, drains bool) error
	dirty   map[policy.Process]bool
	hearing map[policy.Process]bool      // by discovery here
	told    map[policy.Process]time.Time // when the store's latest word came
	full    bool                         // and said so
}

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
	x := policy.Process(p)
	switch {
	case !drains:
		delete(d.drains.hearing, x)
		d.drains.full = false
	case d.drains.hearing[x]:
	case len(d.drains.hearing) >= drainsMost:
		if !d.drains.full {
			d.log.Error("other daemons are not told of a drain: too many processes drain", "id", p.ID, "most", drainsMost)
		}
		d.drains.full = true
	default:
		d.drains.hearing[x] = true
		d.hearLater(x)
	}
}

// hearLater has a drain written after this daemon's own while, in which another may do it.
func (d *Daemon) hearLater(p policy.Process) {
	h := fnv.New32a()
	h.Write([]byte(d.name))
	h.Write([]byte(p.Server()))
	time.AfterFunc(time.Duration(h.Sum32())%drainSpread, func() { d.hear(p, time.Now()) })
}

// hear writes a drain that is heard here, unless the store was told of it of late.
func (d *Daemon) hear(p policy.Process, now time.Time) {
	d.mu.Lock()
	var op *store.Op
	var err error
	if d.drains.hearing[p] && (d.guard.Agreed(p) == 0 || now.Sub(d.drains.told[p]) >= drainRenew) {
		op, err = d.guard.Hear(policy.Drain, p.Server())
	}
	d.mu.Unlock()
	if err != nil {
		d.log.Error("other daemons are not told of a drain", "id", p.ID, "error", err)
	} else if op != nil {
		d.queue(*op)
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
func (d *Daemon) drainEvent(p policy.Process, deleted bool) {
	d.drains.dirty[p] = true
	if !d.drains.hearing[p] {
		// What a start found in its log, not knowing that it was agreed on, is settled: the store has said something of it
		// since. Told again from here, it could come back after its end.
		d.guard.Wrote(policy.Key(policy.Drain, p.Server()), true)
	}
	if !deleted {
		d.drains.told[p] = time.Now()
		return
	}
	delete(d.drains.told, p)
	if d.drains.hearing[p] { // whoever ended it does not hear it, and it drains all the same
		d.hearLater(p)
	}
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

// tidyDrains tells again what is heard here, and ends what nobody has told for long.
func (d *Daemon) tidyDrains(ctx context.Context, now time.Time) {
	d.mu.Lock()
	var again []policy.Process
	for p := range d.drains.hearing {
		again = append(again, p)
	}
	var ends []*store.Txn
	for p, told := range d.drains.told {
		if now.Sub(told) < drainKept || d.drains.hearing[p] {
			continue
		}
		if t, err := d.guard.Return(policy.Drain, p.Server()); err == nil {
			ends = append(ends, t)
		}
	}
	d.mu.Unlock()
	for _, p := range again {
		d.hear(p, now)
	}
	for _, t := range ends {
		c, cancel := context.WithTimeout(ctx, writeWait)
		_, err := d.engine.Do(c, store.Command{Txn: t})
		cancel()
		if err != nil && ctx.Err() == nil {
			d.log.Warn("a drain that nobody has told for long does not end yet", "error", err)
			return // it is tried again
		}
	}
}
