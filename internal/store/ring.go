package store

import "sort"

// ring keeps the newest of a sequence within a count and a number of bytes.
type ring[T any] struct {
	items  []T // from start on
	start  int
	bytes  int
	oldest uint64 // the revision, or index, of the newest that was let go
}

func (r *ring[T]) len() int        { return len(r.items) - r.start }
func (r *ring[T]) at(i int) *T     { return &r.items[r.start+i] }
func (r *ring[T]) push(v T, n int) { r.items, r.bytes = append(r.items, v), r.bytes+n }

// drop lets the oldest go, whose cost and number are given.
func (r *ring[T]) drop(cost int, number uint64) {
	var none T
	r.items[r.start] = none
	r.start++
	r.bytes -= cost
	r.oldest = number
	if r.start > len(r.items)/2 && r.start > 64 {
		r.items = append(r.items[:0:0], r.items[r.start:]...)
		r.start = 0
	}
}

func (r *ring[T]) search(f func(*T) bool) int {
	return sort.Search(r.len(), func(i int) bool { return f(r.at(i)) })
}

// clone shares what is there: a ring only appends behind its end and clears before its start, so that the copy must
// not share the array.
func (r *ring[T]) clone() ring[T] {
	c := *r
	c.items, c.start = append([]T(nil), r.items[r.start:]...), 0
	return c
}
