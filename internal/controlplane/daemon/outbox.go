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

const maxPendingWrites = 1024 // changes that a part owes at once; what has no room stays owed by who wanted it made

// outbox is what parts that tell the store have in common: a lock, a clock that does not step, changes that are owed, and how they
// are woken. It is a Part but for Event and Reset.
type outbox struct {
	name  string
	log   *slog.Logger
	store Store
	epoch time.Time

	mu      sync.Mutex
	wake    chan struct{}
	pending chan pendingWrite
}

// pendingWrite is a change that a part owes the store. What became of it is told to wrote, under the part's lock, if that is set.
type pendingWrite struct {
	key   string
	apply func(context.Context) error
	done  func(ok bool)
}

func newOutbox(name string, log *slog.Logger) outbox {
	return outbox{name: name, log: log, epoch: time.Now(), wake: make(chan struct{}, 1), pending: make(chan pendingWrite, maxPendingWrites)}
}

// Attach is of Part.
func (d *outbox) Attach(s Store) { d.store = s }

// now is an instant on the part's own clock, which does not step, in nanoseconds.
func (d *outbox) now(t time.Time) int64 { return int64(t.Sub(d.epoch)) + 1 }

// wakeAt has the part look for what is due at an instant of its clock; 0 is none.
func (d *outbox) wakeAt(due, now int64) {
	if due > 0 {
		time.AfterFunc(time.Duration(due-now), d.wakeUp)
	}
}

func (d *outbox) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run has look called whenever the part is woken, and owed besides every owedEvery; and makes what is owed, until ctx ends.
func (d *outbox) run(ctx context.Context, owed func(), look func(context.Context)) {
	var writing sync.WaitGroup
	defer writing.Wait()
	writing.Go(func() { d.writePending(ctx) })
	t := time.NewTicker(retryInterval)
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

// enqueue leaves a change to be made.
func (d *outbox) enqueue(w pendingWrite) {
	select {
	case d.pending <- w:
	default:
		if w.done != nil {
			d.mu.Lock()
			w.done(false)
			d.mu.Unlock()
		}
	}
}

func (d *outbox) writePending(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-d.pending:
			c, cancel := context.WithTimeout(ctx, writeTimeout)
			err := w.apply(c)
			cancel()
			if err != nil && ctx.Err() == nil && !errors.Is(err, store.ErrLevel) {
				d.log.Warn("the store does not know yet what is known here", "key", w.key, "error", err)
			}
			if w.done != nil {
				d.mu.Lock()
				w.done(err == nil)
				d.mu.Unlock()
			}
		}
	}
}

// revisionsWithPrefix are the keys with a prefix, and the revisions at which they were told.
func revisionsWithPrefix(s *store.State, prefix string) map[string]uint64 {
	words := map[string]uint64{}
	s.Range(prefix, store.PrefixEnd(prefix), func(i store.Item) bool { words[i.Key] = i.ModRevision; return true })
	return words
}

// arrivalTimes are when the store's words came here, by key.
type arrivalTimes map[string]int64

func (a arrivalTimes) applyEvent(now int64, e store.Event) {
	if a[e.Item.Key] = now; e.Deleted {
		delete(a, e.Item.Key)
	}
}

// retain forgets what a whole copy does not have.
func (a arrivalTimes) retain(s *store.State) {
	for key := range a {
		if _, there := s.Get(key); !there {
			delete(a, key)
		}
	}
}

// setAges puts into words how old the store's are.
func (a arrivalTimes) setAges(now int64, all []serverstate.Exclusion) []serverstate.Exclusion {
	for i := range all {
		if at, ok := a[serverstate.ExclusionKey(all[i].Kind, all[i].Server)]; ok {
			all[i].AgeMillis = (now - at) / 1e6
		}
	}
	return all
}
