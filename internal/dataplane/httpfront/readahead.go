package httpfront

import (
	"sync"

	"birchmoor/internal/dataplane/bytebudget"
)

const (
	readAheadBlockBytes = 32 << 10
	maxReadAheadBytes   = 4 << 20 // of one body
)

// readAhead is a queue of the bytes of a body that were read from the client and not sent to the endpoint yet. One
// goroutine fills it, another one empties it. Its memory is charged to a budget.
type readAhead struct {
	budget *bytebudget.Budget
	filled chan struct{} // signals that bytes, or the end of the body, were added
	freed  chan struct{} // signals that bytes were removed, or that the queue was closed

	mu     sync.Mutex
	blocks []*readAheadBlock
	spare  *readAheadBlock // an additional block, which is not charged; nil while it is in blocks
	end    error           // why no more bytes are added; nil while they may be
	taken  bool            // the first block is being sent
	closed bool
}

// readAheadBlock is a part of the body: its bytes from sent to filled are still to be sent.
type readAheadBlock struct {
	buf          []byte
	sent, filled int
	charged      bool
}

func newReadAhead(budget *bytebudget.Budget) *readAhead {
	return &readAhead{budget: budget, filled: make(chan struct{}, 1), freed: make(chan struct{}, 1)}
}

// notify sends a signal unless one is pending.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// space returns space for further bytes, or nil if there is none at present. Only the filling goroutine calls it; the
// space is its own until it calls add.
func (q *readAhead) space() []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n := len(q.blocks); n > 0 {
		if last := q.blocks[n-1]; last.filled < len(last.buf) {
			return last.buf[last.filled:]
		}
	}
	block := q.newBlockLocked()
	if block == nil {
		return nil
	}
	q.blocks = append(q.blocks, block)
	return block.buf
}

func (q *readAhead) newBlockLocked() *readAheadBlock {
	if block := q.spare; block != nil {
		q.spare = nil
		return block
	}
	if q.closed || (len(q.blocks)+1)*readAheadBlockBytes > maxReadAheadBytes ||
		!q.budget.TryAcquireSpare(readAheadBlockBytes) {
		return nil
	}
	return &readAheadBlock{buf: make([]byte, readAheadBlockBytes), charged: true}
}

// add adds n bytes that were read into the space.
func (q *readAhead) add(n int) {
	q.mu.Lock()
	q.blocks[len(q.blocks)-1].filled += n
	q.mu.Unlock()
	notify(q.filled)
}

// finish records why no more bytes are added, which must not be nil.
func (q *readAhead) finish(end error) {
	q.mu.Lock()
	q.end = end
	q.mu.Unlock()
	notify(q.filled)
}

// addSpare adds a buffer that is used in addition to the charged blocks.
func (q *readAhead) addSpare(buf []byte) {
	q.mu.Lock()
	q.spare = &readAheadBlock{buf: buf}
	q.mu.Unlock()
	notify(q.freed)
}

// take returns the next bytes, which stay valid until remove is called. If there are none, it returns nil and why no
// more will come, or a nil error if more may.
func (q *readAhead) take() (data []byte, end error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, errHalted
	}
	if len(q.blocks) > 0 && q.blocks[0].sent < q.blocks[0].filled {
		q.taken = true
		first := q.blocks[0]
		return first.buf[first.sent:first.filled], nil
	}
	return nil, q.end
}

// remove removes n bytes that take has returned.
func (q *readAhead) remove(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.taken = false
	first := q.blocks[0]
	first.sent += n
	if first.sent == len(first.buf) || q.closed {
		q.dropFirstLocked()
	}
	notify(q.freed)
}

func (q *readAhead) dropFirstLocked() {
	first := q.blocks[0]
	q.blocks = q.blocks[1:]
	if first.charged {
		q.budget.Release(len(first.buf))
		return
	}
	first.sent = 0
	first.filled = 0
	q.spare = first
}

// close ends the use of the queue, and releases its memory but for a block that is being sent. Nothing may be filled
// any more.
func (q *readAhead) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	kept := 0
	if q.taken {
		kept = 1
	}
	for len(q.blocks) > kept {
		last := q.blocks[len(q.blocks)-1]
		q.blocks = q.blocks[:len(q.blocks)-1]
		if last.charged {
			q.budget.Release(len(last.buf))
		}
	}
	notify(q.filled)
	notify(q.freed)
}
