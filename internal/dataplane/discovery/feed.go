package discovery

import (
	"context"
	"sync"
)

// Feed runs a watcher: continuously, or one watch each time that the balancer polls. Its exported fields must be
// set before its methods are called, which are safe for concurrent use.
type Feed struct {
	Run     func(w *Watcher, ctx context.Context) // (*Watcher).Run or (*Watcher).RunOnce
	OnEnded func()                                // called when Run returned by itself

	mu      sync.Mutex
	Watcher *Watcher
	cancel  context.CancelFunc // of the watch that runs; nil: none does
}

// SetEnabled starts a watch unless one runs, or ends it.
func (f *Feed) SetEnabled(enabled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch running := f.cancel != nil; {
	case enabled && !running:
		f.start()
	case !enabled && running:
		f.stop()
	}
}

// SwitchTo ends the watch and starts one at another discovery at once, without a backoff. Generations of the two
// are unrelated.
func (f *Feed) SwitchTo(w *Watcher) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.stop()
	}
	f.Watcher = w
	f.start()
}

// start runs the watcher. The lock must be held.
func (f *Feed) start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.run(ctx, cancel, f.Watcher)
}

// stop ends the watch that runs. The lock must be held.
func (f *Feed) stop() {
	f.cancel()
	f.cancel = nil
}

// run runs a watcher, and reports it if that ended by itself.
func (f *Feed) run(ctx context.Context, cancel context.CancelFunc, w *Watcher) {
	f.Run(w, ctx)
	f.mu.Lock()
	stopped := ctx.Err() != nil
	if !stopped {
		cancel()
		f.cancel = nil
	}
	f.mu.Unlock()
	if !stopped {
		f.OnEnded()
	}
}
