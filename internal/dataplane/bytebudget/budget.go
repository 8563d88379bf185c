// Package bytebudget bounds the bytes that are held at once. It imports nothing of this module.
package bytebudget

import (
	"container/list"
	"context"
	"sync"
)

// Budget bounds the bytes that are held for bodies or answers. Who needs more than is left waits in a queue, and
// with it the peer that sends those bytes. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	capacity int
	used     int
	queue    list.List // of *waiter, the first in line first
}

type waiter struct {
	bytes   int
	granted chan struct{} // closed when the bytes are the waiter's
}

// New returns a budget with a capacity in bytes.
func New(capacity int) *Budget { return &Budget{capacity: capacity} }

// Acquire waits for n bytes, which must be released. More than the capacity is granted when nothing else is held. It
// returns ctx's error if that ends first.
func (b *Budget) Acquire(ctx context.Context, n int) error {
	b.mu.Lock()
	if b.queue.Len() == 0 && b.fitsLocked(n) {
		b.used += n
		b.mu.Unlock()
		return nil
	}
	w := &waiter{bytes: n, granted: make(chan struct{})}
	element := b.queue.PushBack(w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		b.abandon(element)
		return ctx.Err()
	}
}

// abandon ends a wait. Bytes that were granted in the meantime are released.
func (b *Budget) abandon(element *list.Element) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := element.Value.(*waiter)
	select {
	case <-w.granted:
		b.used -= w.bytes
	default:
		b.queue.Remove(element)
	}
	b.grantLocked()
}

func (b *Budget) fitsLocked(n int) bool { return b.used == 0 || b.used+n <= b.capacity }

// Release returns n bytes.
func (b *Budget) Release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.grantLocked()
}

// Resize changes the capacity. Bytes that are held beyond it stay held.
func (b *Budget) Resize(capacity int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = capacity
	b.grantLocked()
}

// grantLocked grants bytes to the waiters first in line, as far as they fit.
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
