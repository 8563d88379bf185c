package daemon

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"birchmoor/internal/store"
)

// maxPendingWrites bounds the queue of one component, which keeps the reports that did not fit and queues them again
// later.
const maxPendingWrites = 1024

// outbox is the common part of components that write reports to the store: a lock, a monotonic clock, a queue of
// pending writes, and a wake-up signal. It implements Attach of Component, not Event, Reset and Run.
type outbox struct {
	name  string // the daemon's
	log   *slog.Logger
	store Store
	epoch time.Time // zero of the monotonic clock

	mu      sync.Mutex
	wake    chan struct{}
	pending chan pendingWrite
}

// pendingWrite is a report that a component still has to write to the store.
type pendingWrite struct {
	key   string                      // for log lines
	write func(context.Context) error // called without the component's lock
	done  func(ok bool)               // called with the outcome and with the component's lock held; may be nil
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

// now converts t to nanoseconds of the component's monotonic clock. They are never 0, which stands for no time.
func (o *outbox) now(t time.Time) int64 { return int64(t.Sub(o.epoch)) + 1 }

// wakeAt wakes the component up at the time due of its clock, or never if due is 0.
func (o *outbox) wakeAt(due, now int64) {
	if due > 0 {
		time.AfterFunc(time.Duration(due-now), o.wakeUp)
	}
}

// wakeUp makes run call work. It does not block.
func (o *outbox) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run executes pending writes one by one until ctx ends. After each wake-up it calls work, and every retryInterval it
// calls enqueueRetries and then work.
func (o *outbox) run(ctx context.Context, enqueueRetries func(), work func(context.Context)) {
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
			enqueueRetries()
		}
		work(ctx)
	}
}

// enqueue queues a write, or calls its done with false at once if the queue is full. The caller does not hold the lock.
func (o *outbox) enqueue(w pendingWrite) {
	select {
	case o.pending <- w:
	default:
		o.finish(w, false)
	}
}

// finish calls the done function of a write with its outcome. The caller does not hold the lock.
func (o *outbox) finish(w pendingWrite, ok bool) {
	if w.done == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	w.done(ok)
}

// writePending executes queued writes until ctx ends. It does not log store.ErrLevel, which every write returns until
// all replicas support its command.
func (o *outbox) writePending(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-o.pending:
			writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
			err := w.write(writeCtx)
			cancel()
			if err != nil && ctx.Err() == nil && !errors.Is(err, store.ErrUnsupportedLevel) {
				o.log.Warn("cannot write a report to the store; it is queued again", "key", w.key, "error", err)
			}
			o.finish(w, err == nil)
		}
	}
}
