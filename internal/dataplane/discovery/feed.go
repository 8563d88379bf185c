package discovery

import (
	"context"
	"sync"
)

// Feed runs a watcher in a goroutine of its own: continuously, or for one watch each time that the balancer polls. Its
// exported fields must be set before any method is called. The methods are safe for concurrent use.
type Feed struct {
	Run     func(w *Watcher, ctx context.Context) // (*Watcher).Run or (*Watcher).RunOnce
	OnEnded func()                                // called when Run returns although its context has not ended

	mu      sync.Mutex
	Watcher *Watcher
	cancel  context.CancelFunc // ends the running watch; nil if none runs
}

// SetEnabled starts a watch if none is running, or ends the running one. It has no effect if the feed is in the
// requested state already.
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

// SwitchTo ends the running watch, if any, and starts w, which watches another discovery, without a backoff. The
// generations of the two discoveries are unrelated.
func (f *Feed) SwitchTo(w *Watcher) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.stop()
	}
	f.Watcher = w
	f.start()
}

// start runs the watcher in a new goroutine. The caller must hold f.mu.
func (f *Feed) start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.run(ctx, cancel, f.Watcher)
}

// stop ends the running watch. The caller must hold f.mu.
func (f *Feed) stop() {
	f.cancel()
	f.cancel = nil
}

// run runs a watcher, and calls OnEnded if it returns although ctx has not ended.
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
