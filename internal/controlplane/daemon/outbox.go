package daemon

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"birchmoor/internal/store"
)

// maxPendingWrites bounds the queue of one component. Its owner keeps what did not fit and queues it again later.
const maxPendingWrites = 1024

// outbox is the common part of components that write reports to the store: a lock, a monotonic clock, a queue of
// pending writes, and a wake-up signal. It implements Component except for Event, Reset and Run.
type outbox struct {
	name  string // of this daemon
	log   *slog.Logger
	store Store
	epoch time.Time // of the monotonic clock

	mu      sync.Mutex
	wake    chan struct{}
	pending chan pendingWrite
}

// pendingWrite is a change that a component still has to write to the store. done, if it is set, is called with the
// component's lock held.
type pendingWrite struct {
	key   string
	apply func(context.Context) error
	done  func(ok bool)
}

func newOutbox(name string, log *slog.Logger) outbox {
	return outbox{
		name:    name,
		log:     log,
		epoch:   time.Now(),
		wake:    make(chan struct{}, 1),
		pending: make(chan pendingWrite, maxPendingWrites),
	}
}

// Attach implements Component.
func (o *outbox) Attach(s Store) { o.store = s }

// now converts t to the component's monotonic clock, in nanoseconds. It is never 0, which stands for no instant.
func (o *outbox) now(t time.Time) int64 { return int64(t.Sub(o.epoch)) + 1 }

// wakeAt wakes the component up at the instant due of its clock, unless that is 0.
func (o *outbox) wakeAt(due, now int64) {
	if due > 0 {
		time.AfterFunc(time.Duration(due-now), o.wakeUp)
	}
}

func (o *outbox) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run writes what is pending until ctx ends. It calls work after each wake-up and, after enqueueOwed, every
// retryInterval.
func (o *outbox) run(ctx context.Context, enqueueOwed func(), work func(context.Context)) {
	var writer sync.WaitGroup
	defer writer.Wait()
	writer.Go(func() { o.writePending(ctx) })
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		case <-ticker.C:
			enqueueOwed()
		}
		work(ctx)
	}
}

// enqueue queues a write, which fails at once if the queue is full. The lock is not held.
func (o *outbox) enqueue(w pendingWrite) {
	select {
	case o.pending <- w:
	default:
		o.finish(w, false)
	}
}

func (o *outbox) finish(w pendingWrite, ok bool) {
	if w.done == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	w.done(ok)
}

func (o *outbox) writePending(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-o.pending:
			writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
			err := w.apply(writeCtx)
			cancel()
			if err != nil && ctx.Err() == nil && !errors.Is(err, store.ErrUnsupportedLevel) {
				o.log.Warn("cannot write a report to the store yet", "key", w.key, "error", err)
			}
			o.finish(w, err == nil)
		}
	}
}
