package store

import "sort"

// ring is a queue of the newest items of a sequence. The caller drops the oldest items to bound their number and bytes.
type ring[T any] struct {
	items       []T // those before start were dropped
	start       int
	bytes       int
	lastDropped uint64 // revision or index of the last item that was dropped
}

func (r *ring[T]) len() int { return len(r.items) - r.start }

func (r *ring[T]) at(i int) *T { return &r.items[r.start+i] }

func (r *ring[T]) push(v T, bytes int) {
	r.items = append(r.items, v)
	r.bytes += bytes
}

// drop removes the oldest item. bytes is the size with which it was pushed, position its revision or index.
func (r *ring[T]) drop(bytes int, position uint64) {
	const minCompactItems = 64 // with fewer dropped items, the copy costs more than the memory that it frees
	var zero T
	r.items[r.start] = zero
	r.start++
	r.bytes -= bytes
	r.lastDropped = position
	if r.start > len(r.items)/2 && r.start > minCompactItems {
		r.items = append([]T(nil), r.items[r.start:]...)
		r.start = 0
	}
}

// search returns the index of the first item for which matches returns true, or len if there is none. matches must
// return true for all later items, too.
func (r *ring[T]) search(matches func(*T) bool) int {
	return sort.Search(r.len(), func(i int) bool { return matches(r.at(i)) })
}

// clone returns a copy with an array of its own, because drop clears items in the array.
func (r *ring[T]) clone() ring[T] {
	c := *r
	c.items, c.start = append([]T(nil), r.items[r.start:]...), 0
	return c
}
