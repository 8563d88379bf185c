package store

import "sort"

// ring is a queue of the newest items of a sequence, with the bytes that they take.
type ring[T any] struct {
	items  []T // valid from start on
	start  int
	bytes  int
	oldest uint64 // revision or index of the newest item that was dropped
}

func (r *ring[T]) len() int { return len(r.items) - r.start }

func (r *ring[T]) at(i int) *T { return &r.items[r.start+i] }

func (r *ring[T]) push(v T, bytes int) {
	r.items = append(r.items, v)
	r.bytes += bytes
}

// drop removes the oldest item, which takes so many bytes and has the given revision or index.
func (r *ring[T]) drop(bytes int, number uint64) {
	const minCompact = 64 // items; with fewer, the copy costs more than the memory
	var zero T
	r.items[r.start] = zero
	r.start++
	r.bytes -= bytes
	r.oldest = number
	if r.start > len(r.items)/2 && r.start > minCompact {
		r.items = append([]T(nil), r.items[r.start:]...)
		r.start = 0
	}
}

// search returns the index of the first item for which f is true, or len. f must be true for all later items.
func (r *ring[T]) search(f func(*T) bool) int {
	return sort.Search(r.len(), func(i int) bool { return f(r.at(i)) })
}

// clone copies the items: drop clears those at the start of the array, so that two rings must not share it.
func (r *ring[T]) clone() ring[T] {
	c := *r
	c.items, c.start = append([]T(nil), r.items[r.start:]...), 0
	return c
}
