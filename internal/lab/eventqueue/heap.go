package eventqueue

// entry is an event in the heap. The fields that order it are stored in the heap itself, not behind the pointer,
// because a run's heap is larger than the processor's caches.
type entry struct {
	at       Micros
	sequence uint64
	event    *Event
}

func (e *entry) before(other *entry) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// heapArity is the number of children of a node: four are fewer levels than two, and share a cache line or two.
const heapArity = 4

// eventHeap is a d-ary min-heap, ordered by instant and then by sequence.
type eventHeap []entry

func (h *eventHeap) push(e entry) {
	*h = append(*h, e)
	entries := *h
	i := len(entries) - 1
	for i > 0 {
		parent := (i - 1) / heapArity
		if !e.before(&entries[parent]) {
			break
		}
		entries[i] = entries[parent]
		i = parent
	}
	entries[i] = e
}

// pop removes and returns the first entry. The heap must not be empty.
func (h *eventHeap) pop() entry {
	entries := *h
	last := len(entries) - 1
	first, moved := entries[0], entries[last]
	entries[last] = entry{} // releases the event to the garbage collector
	*h = entries[:last]
	if last > 0 {
		h.siftDown(moved)
	}
	return first
}

// siftDown places an entry in the heap, whose root is vacant.
func (h *eventHeap) siftDown(e entry) {
	entries := *h
	i := 0
	for {
		child, ok := entries.firstChild(i)
		if !ok || !entries[child].before(&e) {
			break
		}
		entries[i] = entries[child]
		i = child
	}
	entries[i] = e
}

// firstChild returns the index of the child of node i that is ordered first, or false if the node has no children.
func (h eventHeap) firstChild(i int) (int, bool) {
	first := heapArity*i + 1
	if first >= len(h) {
		return 0, false
	}
	end := min(first+heapArity, len(h))
	for child := first + 1; child < end; child++ {
		if h[child].before(&h[first]) {
			first = child
		}
	}
	return first, true
}
