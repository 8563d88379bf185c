// Package daemon joins a sidecar to the replicated store: which servers are out and what is known of them (Daemon), the settings
// of the data path (Settings), and whatever other Part follows the store.
//
// What binds is decided by store/policy; here is how words travel. A word heard here binds at once and is written until
// the store has it. A word from the store binds as soon as this copy applies it. Settings are checked by every replica
// before they are committed, and reach a sidecar as SIGHUP does.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/policy"
)

const (
	writeWait = 5 * time.Second
	owedEvery = time.Second
	tidyEvery = 10 * time.Second
)

// Errors of a Daemon.
var (
	ErrUnsettled = errors.New("the store does not know yet that it is out: try again")
	ErrMeanwhile = errors.New("it was taken out again meanwhile")
)

// Part is one matter that a daemon does by the store. It is told of each change that the copy shows, and of a whole new copy, by
// the copy's loop: it must not wait.
type Part interface {
	Event(e store.Event)
	Reset(s *store.State)
	// Attach gives the copy, once it is open; only the hooks are called before.
	Attach(s Store)
	// Run works until ctx ends.
	Run(ctx context.Context)
}

// Daemon tells and is told of servers, and is the frame of the other parts. Its hooks are given to the copy of the store, which is
// attached once it is open; then Run is called.
type Daemon struct {
	name  string
	log   *slog.Logger
	parts []Part

	oneSweeps bool

	mu      sync.Mutex
	guard   *policy.Guard
	dirty   map[string]bool  // servers whose state is to be told to the sidecar
	came    map[string]int64 // when the store's word of a server that is out came here, by key
	agree   func(ctx context.Context, id string, out bool) error
	drains  drains
	starts  starts
	kept    pictures
	start   Began
	journal *journal // nil where nothing is kept
	proved  int64    // when a quorum last confirmed the copy; 0: not since the start

	wake    chan struct{}
	writes  chan write
	engine  Store
	begun   time.Time
	working sync.WaitGroup
}

// Store is a copy of the store that a daemon works with: a replica's, or that of a follower of replicas.
type Store interface {
	// Do makes a change; see engine.Engine.
	Do(ctx context.Context, c store.Command) (store.Result, error)
	// View has f read the copy, for which others are asked first unless stale is set.
	View(ctx context.Context, stale bool, f func(*store.State)) (engine.Age, error)
	// Next returns the changes of keys with a prefix after a revision.
	Next(ctx context.Context, prefix string, after uint64, most int) ([]store.Event, uint64, error)
}

// write is a change that the daemon owes the store. What became of it is told to wrote, if that is set.
type write struct {
	key   string
	do    func(context.Context) error
	wrote func(ok bool)
}

// New returns a daemon that runs nothing yet, with the other parts that it is to have.
func New(name string, log *slog.Logger, parts ...Part) *Daemon {
	return &Daemon{name: name, log: log, parts: parts, guard: policy.NewGuard(name), dirty: map[string]bool{}, came: map[string]int64{},
		drains: newDrains(name), starts: newStarts(name), kept: newPictures(name), begun: time.Now(),
		wake: make(chan struct{}, 1), writes: make(chan write, 1024)}
}

// Hook puts the daemon's hooks into the configuration of an engine.
func (d *Daemon) Hook(c *engine.Config) {
	c.Event, c.Reset, c.Unsettled, c.Settled = d.event, d.reset, d.unsettled, d.settled
	c.Proved = d.Proved
}

// Hooks are what a copy of the store calls: see engine.Config.
func (d *Daemon) Hooks() (event func(store.Event), reset func(*store.State)) { return d.event, d.reset }

// now is an instant on the daemon's own clock, which does not step, in nanoseconds.
func (d *Daemon) now(t time.Time) int64 { return int64(t.Sub(d.begun)) + 1 }

// wakeAt has the daemon look for what is due at an instant of its clock; 0 is none.
func (d *Daemon) wakeAt(due, now int64) {
	if due > 0 {
		time.AfterFunc(time.Duration(due-now), d.poke)
	}
}

func (d *Daemon) poke() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Daemon) event(e store.Event) {
	for _, p := range d.parts {
		p.Event(e)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now(time.Now())
	switch key := e.Item.Key; {
	case strings.HasPrefix(key, policy.Prefix):
		d.guard.Applied(e)
		if d.came[key] = now; e.Deleted {
			delete(d.came, key)
		}
		if p, ok := drainOf(key); ok {
			d.drainEvent(now, p, e)
		} else {
			d.dirty[serverOf(key)] = true
		}
		d.poke()
	case strings.HasPrefix(key, policy.StartPrefix):
		d.startEvent(now, e)
	case strings.HasPrefix(key, policy.PicturePrefix):
		d.kept.event(now, d.proved, e)
	}
}

// stale notes that all that is out is to be told to the sidecar again. The lock is held.
func (d *Daemon) stale() {
	for _, o := range d.guard.All() {
		if p, ok := drainOf(policy.Key(o.Kind, o.Server)); ok {
			d.drains.dirty[p] = true
		} else {
			d.dirty[o.Server] = true
		}
	}
}

func serverOf(key string) string {
	_, server, _ := strings.Cut(strings.TrimPrefix(key, policy.Prefix), "/")
	return server
}

func (d *Daemon) reset(s *store.State) {
	for _, p := range d.parts {
		p.Reset(s)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stale()
	if err := d.guard.Reset(s); err != nil {
		d.log.Error("the store's copy is not acted on", "error", err)
		return
	}
	d.stale()
	now := d.now(time.Now())
	for key := range d.came {
		if _, there := s.Get(key); !there {
			delete(d.came, key)
		}
	}
	drained := wordsOf(s, policy.Key(policy.Drain, ""))
	d.drains.turns.Found(now, drained)
	for key := range drained {
		d.note(key)
	}
	d.resetStarts(now, s)
	d.kept.reset(now, s)
	d.poke()
}

func (d *Daemon) unsettled(c *store.Command) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, key := range d.guard.Unsettled(c) { // a start finds thousands of commands: each costs what it says, not what is known
		if p, ok := drainOf(key); ok {
			d.drains.dirty[p] = true
		} else {
			d.dirty[serverOf(key)] = true
		}
	}
}

func (d *Daemon) settled() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, key := range d.guard.Settled() {
		if p, ok := drainOf(key); ok {
			d.drains.dirty[p] = true
			d.note(key)
		} else {
			d.dirty[serverOf(key)] = true
		}
	}
	d.poke()
}

// Proved says that a quorum confirmed the copy so long ago. What a copy shows may have been written at any time since it was last
// confirmed: one that was away for an hour, and catches up, shows old words as they come.
func (d *Daemon) Proved(ago time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.proved = max(d.proved, d.now(time.Now())-int64(ago))
}

// Settled says that the copy is up to date: what an earlier process of this daemon acted on counts as the store says from now
// on, and what the store does not say is told. A replica's engine says so by its hook; a follower once it has heard.
func (d *Daemon) Settled() { d.settled() }

// wordsOf are the keys with a prefix, and the revisions at which they were told.
func wordsOf(s *store.State, prefix string) map[string]uint64 {
	words := map[string]uint64{}
	s.Range(prefix, store.PrefixEnd(prefix), func(i store.Item) bool { words[i.Key] = i.Modified; return true })
	return words
}

// Attach gives the copy of the store, once it is open and before anything else is called.
func (d *Daemon) Attach(e Store) {
	d.engine = e
	for _, p := range d.parts {
		p.Attach(e)
	}
}

// Run works until ctx ends.
func (d *Daemon) Run(ctx context.Context) {
	for _, p := range d.parts {
		d.working.Go(func() { p.Run(ctx) })
	}
	d.working.Go(func() { d.write(ctx) })
	defer d.working.Wait()
	if d.journal != nil {
		d.working.Go(func() { d.journal.run(ctx.Done()) })
	}
	t := time.NewTicker(owedEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
			d.speak(time.Now())
			d.tell(ctx)
			d.tellDrains(ctx)
			d.tellStarts(ctx)
		case <-t.C:
			d.mu.Lock()
			owed := d.guard.Owed()
			d.mu.Unlock()
			for _, op := range owed {
				d.queue(op)
			}
			d.speak(time.Now())
			d.tell(ctx) // what did not bind is told again
			d.tellDrains(ctx)
			d.tellStarts(ctx)
		}
	}
}

// speak tells the store what it is this daemon's turn to tell.
func (d *Daemon) speak(now time.Time) {
	d.speakDrains(d.now(now))
	d.speakStarts(d.now(now))
}

// queue leaves a word of the guard's to be written; if there is no room it stays owed.
func (d *Daemon) queue(op store.Op) {
	d.owe(write{key: op.Key, wrote: func(ok bool) {
		d.guard.Wrote(op.Key, ok)
		if _, drain := drainOf(op.Key); drain {
			d.note(op.Key)
		}
	}, do: func(ctx context.Context) error {
		if p, ok := drainOf(op.Key); ok {
			return d.writeDrain(ctx, p, op)
		}
		_, err := d.engine.Do(ctx, store.Command{Txn: &store.Txn{Then: []store.Op{op}}})
		return err
	}})
}

// owe leaves a change to be made. Wrote is called under the daemon's lock.
func (d *Daemon) owe(w write) {
	select {
	case d.writes <- w:
	default:
		if w.wrote != nil {
			d.mu.Lock()
			w.wrote(false)
			d.mu.Unlock()
		}
	}
}

func (d *Daemon) write(ctx context.Context) {
	tidy := time.NewTicker(tidyEvery)
	defer tidy.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tidy.C:
			if !d.sweptByOne(ctx) {
				d.Sweep(ctx)
			}
		case w := <-d.writes:
			c, cancel := context.WithTimeout(ctx, writeWait)
			err := w.do(c)
			cancel()
			if err != nil && ctx.Err() == nil && !errors.Is(err, store.ErrLevel) {
				d.log.Warn("the store does not know yet what is known here", "key", w.key, "error", err)
			}
			if w.wrote != nil {
				d.mu.Lock()
				w.wrote(err == nil)
				d.mu.Unlock()
			}
		}
	}
}

// SweepByOne has the sweeping of what nobody has told for long left to whoever holds the task, once the cluster knows of tasks. It
// is called before Run.
func (d *Daemon) SweepByOne() { d.oneSweeps = true }

// sweptByOne says whether one daemon sweeps for all.
func (d *Daemon) sweptByOne(ctx context.Context) bool {
	known := false
	_, err := d.engine.View(ctx, true, func(s *store.State) { known = s.Level() >= store.LevelOwners })
	return d.oneSweeps && err == nil && known
}

// Sweep ends what nobody has told for long: drains, starts and pictures. Each end is a transaction that does nothing if the word
// was told again meanwhile, so that two who sweep, or one who sweeps late, end nothing that is told.
func (d *Daemon) Sweep(ctx context.Context) error { return d.tidy(ctx, time.Now()) }

// tidy does that.
func (d *Daemon) tidy(ctx context.Context, now time.Time) error {
	d.speak(now)
	d.mu.Lock()
	ends := append(d.drainsOver(d.now(now)), d.startsOver(d.now(now))...)
	ends = append(ends, d.kept.over(d.now(now))...)
	d.mu.Unlock()
	for _, t := range ends {
		c, cancel := context.WithTimeout(ctx, writeWait)
		_, err := d.engine.Do(c, store.Command{Txn: t})
		cancel()
		if err != nil && ctx.Err() == nil {
			d.log.Warn("what nobody has told for long does not end yet", "key", t.Then[0].Key, "error", err)
			return err // it is tried again
		}
	}
	return nil
}

// tell makes bind in the sidecar what has changed.
func (d *Daemon) tell(ctx context.Context) {
	d.mu.Lock()
	agree := d.agree
	if agree == nil {
		d.mu.Unlock()
		return // they stay dirty until a sidecar begins
	}
	type word struct {
		server string
		out    bool
	}
	var words []word
	for s := range d.dirty {
		words = append(words, word{s, d.guard.Out(s)})
	}
	clear(d.dirty)
	d.mu.Unlock()
	slices.SortFunc(words, func(a, b word) int { return strings.Compare(a.server, b.server) })
	for _, w := range words {
		if err := agree(ctx, w.server, w.out); err != nil && ctx.Err() == nil {
			d.log.Error("what daemons agreed on does not bind here", "id", w.server, "out", w.out, "error", err)
			d.mu.Lock()
			d.dirty[w.server] = true
			d.mu.Unlock()
		}
	}
}

// Begin is of maintenance.Shared.
func (d *Daemon) Begin(agree func(ctx context.Context, id string, out bool) error) {
	d.mu.Lock()
	d.agree = agree
	d.mu.Unlock()
	d.poke()
}

// TakenOut is of maintenance.Shared.
func (d *Daemon) TakenOut(id string) {
	d.mu.Lock()
	op, err := d.guard.Hear(policy.Ban, id)
	d.mu.Unlock()
	if err != nil {
		d.log.Error("other daemons are not told of a ban", "id", id, "error", err)
	} else if op != nil {
		d.queue(*op)
	}
}

// Return is of maintenance.Shared.
func (d *Daemon) Return(ctx context.Context, id string) (asked bool, err error) {
	d.mu.Lock()
	key := policy.Key(policy.Ban, id)
	t, err := d.guard.Return(policy.Ban, id)
	pending := d.guard.Pending(key)
	agree := d.agree
	d.mu.Unlock()
	if err != nil {
		if pending {
			return true, fmt.Errorf("%s: %w", id, ErrUnsettled)
		}
		return false, nil // never told
	}
	r, err := d.engine.Do(ctx, store.Command{Txn: t})
	if err != nil {
		return true, fmt.Errorf("%s: %w", id, err)
	}
	d.mu.Lock()
	out := d.guard.Out(id)
	d.mu.Unlock()
	if !r.Held || out {
		return true, fmt.Errorf("%s: %w", id, ErrMeanwhile)
	}
	return true, agree(ctx, id, false)
}

// Outs lists the servers that are out, by whose word and how old that is.
func (d *Daemon) Outs() []policy.Out {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, all := d.now(time.Now()), d.guard.All()
	for i := range all {
		key := policy.Key(all[i].Kind, all[i].Server)
		if at, ok := d.came[key]; ok {
			all[i].AgeMs = (now - at) / 1e6
		}
	}
	return all
}
