package daemon

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/serverstate"
)

const writesMost = 1024 // changes that a part owes at once; what has no room stays owed by who wanted it made

// desk is what parts that tell the store have in common: a lock, a clock that does not step, changes that are owed, and how they
// are woken. It is a Part but for Event and Reset.
type desk struct {
	name  string
	log   *slog.Logger
	store Store
	begun time.Time

	mu     sync.Mutex
	wake   chan struct{}
	writes chan write
}

// write is a change that a part owes the store. What became of it is told to wrote, under the part's lock, if that is set.
type write struct {
	key   string
	do    func(context.Context) error
	wrote func(ok bool)
}

func newDesk(name string, log *slog.Logger) desk {
	return desk{name: name, log: log, begun: time.Now(), wake: make(chan struct{}, 1), writes: make(chan write, writesMost)}
}

// Attach is of Part.
func (d *desk) Attach(s Store) { d.store = s }

// now is an instant on the part's own clock, which does not step, in nanoseconds.
func (d *desk) now(t time.Time) int64 { return int64(t.Sub(d.begun)) + 1 }

// wakeAt has the part look for what is due at an instant of its clock; 0 is none.
func (d *desk) wakeAt(due, now int64) {
	if due > 0 {
		time.AfterFunc(time.Duration(due-now), d.poke)
	}
}

func (d *desk) poke() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// work has look called whenever the part is woken, and owed besides every owedEvery; and makes what is owed, until ctx ends.
func (d *desk) work(ctx context.Context, owed func(), look func(context.Context)) {
	var writing sync.WaitGroup
	defer writing.Wait()
	writing.Go(func() { d.write(ctx) })
	t := time.NewTicker(owedEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-t.C:
			owed()
		}
		look(ctx)
	}
}

// owe leaves a change to be made.
func (d *desk) owe(w write) {
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

func (d *desk) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
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

// wordsOf are the keys with a prefix, and the revisions at which they were told.
func wordsOf(s *store.State, prefix string) map[string]uint64 {
	words := map[string]uint64{}
	s.Range(prefix, store.PrefixEnd(prefix), func(i store.Item) bool { words[i.Key] = i.ModRevision; return true })
	return words
}

// arrivals are when the store's words came here, by key.
type arrivals map[string]int64

func (a arrivals) event(now int64, e store.Event) {
	if a[e.Item.Key] = now; e.Deleted {
		delete(a, e.Item.Key)
	}
}

// reset forgets what a whole copy does not have.
func (a arrivals) reset(s *store.State) {
	for key := range a {
		if _, there := s.Get(key); !there {
			delete(a, key)
		}
	}
}

// age puts into words how old the store's are.
func (a arrivals) age(now int64, all []serverstate.Exclusion) []serverstate.Exclusion {
	for i := range all {
		if at, ok := a[serverstate.ExclusionKey(all[i].Kind, all[i].Server)]; ok {
			all[i].AgeMs = (now - at) / 1e6
		}
	}
	return all
}
