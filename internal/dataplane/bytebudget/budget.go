// Package bytebudget bounds bytes that are held: whoever wants more than is left waits in turn.
package bytebudget

import (
	"container/list"
	"context"
	"sync"
)

// Budget bounds the bytes that are held for bodies or answers. Whoever wants more than is left waits in turn,
// and with it the peer whose bytes they are.
type Budget struct {
	mu       sync.Mutex
	capacity int
	used     int
	queue    list.List // *waiter
}

type waiter struct {
	bytes   int
	granted chan struct{}
}

// New returns a budget of most bytes.
func New(most int) *Budget { return &Budget{capacity: most} }

// Acquire waits for n bytes. What is larger than the whole budget goes when nothing else does.
func (b *Budget) Acquire(ctx context.Context, n int) error {
	b.mu.Lock()
	if b.queue.Len() == 0 && b.fitsLocked(n) {
		b.used += n
		b.mu.Unlock()
		return nil
	}
	w := &waiter{n, make(chan struct{})}
	place := b.queue.PushBack(w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted: // just now
		b.used -= n
	default:
		b.queue.Remove(place)
	}
	b.grantLocked()
	return ctx.Err()
}

func (b *Budget) fitsLocked(n int) bool { return b.used == 0 || b.used+n <= b.capacity }

// Release returns n bytes.
func (b *Budget) Release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.grantLocked()
}

// Resize changes the whole. What is out stays out.
func (b *Budget) Resize(most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = most
	b.grantLocked()
}

func (b *Budget) grantLocked() {
	for first := b.queue.Front(); first != nil; first = b.queue.Front() {
		w := first.Value.(*waiter)
		if !b.fitsLocked(w.bytes) {
			return
		}
		b.used += w.bytes
		b.queue.Remove(first)
		close(w.granted)
	}
}
