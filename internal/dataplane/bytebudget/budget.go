// Package bytebudget bounds how many bytes of messages a process holds in memory at a time. It imports nothing of
// this module.
package bytebudget

import (
	"container/list"
	"context"
	"sync"
)

// Budget bounds the bytes that are buffered at a time, of bodies or heads of requests or of responses. A caller of
// Acquire that needs more than remains waits in a queue; as it reads nothing meanwhile, so does the peer that sends the
// bytes. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	maxBytes  int
	usedBytes int
	waiters   list.List // of *waiter, in order of arrival
}

type waiter struct {
	bytes   int
	granted chan struct{} // closed when the bytes are granted
}

// New returns a budget of maxBytes.
func New(maxBytes int) *Budget { return &Budget{maxBytes: maxBytes} }

// Acquire waits until the given number of bytes is granted; the caller must release them. A request for more than the
// whole budget is granted when no other bytes are held. Acquire returns ctx's error if ctx ends first.
func (b *Budget) Acquire(ctx context.Context, bytes int) error {
	b.mu.Lock()
	if b.grantAtOnceLocked(bytes) {
		b.mu.Unlock()
		return nil
	}
	w := &waiter{bytes: bytes, granted: make(chan struct{})}
	element := b.waiters.PushBack(w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		b.cancelWait(element)
		return ctx.Err()
	}
}

// TryAcquire reports whether the given number of bytes is granted at once; if so, the caller must release them. Bytes
// are granted as by Acquire, and none while others wait.
func (b *Budget) TryAcquire(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.grantAtOnceLocked(bytes)
}

// TryAcquireSpare is TryAcquire, but leaves half of the budget to others: it grants bytes only while at most half of
// the budget is held.
func (b *Budget) TryAcquireSpare(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usedBytes+bytes <= b.maxBytes/2 && b.grantAtOnceLocked(bytes)
}

// grantAtOnceLocked grants bytes unless others wait or they do not fit, and reports whether it did. The caller must
// hold b.mu.
func (b *Budget) grantAtOnceLocked(bytes int) bool {
	if b.waiters.Len() > 0 || !b.fitsLocked(bytes) {
		return false
	}
	b.usedBytes += bytes
	return true
}

// cancelWait removes a waiter from the queue. If its bytes were granted in the meantime, it releases them.
func (b *Budget) cancelWait(element *list.Element) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := element.Value.(*waiter)
	select {
	case <-w.granted:
		b.usedBytes -= w.bytes
	default:
		b.waiters.Remove(element)
	}
	b.grantLocked()
}

// fitsLocked reports whether bytes can be granted now. The caller must hold b.mu.
func (b *Budget) fitsLocked(bytes int) bool {
	return b.usedBytes == 0 || b.usedBytes+bytes <= b.maxBytes
}

// Release returns bytes that Acquire granted.
func (b *Budget) Release(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usedBytes -= bytes
	b.grantLocked()
}

// Resize changes the size of the budget. If more bytes are held than the new size, nothing is granted until enough of
// them are released.
func (b *Budget) Resize(maxBytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxBytes = maxBytes
	b.grantLocked()
}

// grantLocked grants bytes to the waiters in order, up to the first one whose bytes do not fit. The caller must hold
// b.mu.
func (b *Budget) grantLocked() {
	for first := b.waiters.Front(); first != nil; first = b.waiters.Front() {
		w := first.Value.(*waiter)
		if !b.fitsLocked(w.bytes) {
			return
		}
		b.usedBytes += w.bytes
		b.waiters.Remove(first)
		close(w.granted)
	}
}
