package httpfront

import (
	"bytes"
	"errors"

	"birchmoor/internal/dataplane/bytebudget"
)

// A head takes many times its bytes in memory if its lines are short, since each is an entry of the parsed header and
// of the one that is forwarded. The estimate covers both, their strings, the record of the head and encoded copies.
const (
	headMemoryPerByte = 5        // bytes of memory for each byte of a head
	headMemoryPerLine = 320      // bytes of memory for each line of a head, on top of that
	maxUnbudgetedHead = 16 << 10 // a head whose estimate is up to this many bytes is not charged to a budget
)

var errNoHeadMemory = errors.New("no memory for the head")

// headMeter estimates how much memory a head takes while it arrives, and charges a budget for it.
type headMeter struct {
	budget *bytebudget.Budget
	// acquire acquires bytes from the budget and reports whether they were granted. It may wait for them, but for a
	// short time only: heads that are charged in part could wait for each other.
	acquire func(bytes int) bool

	counting  bool // the head has begun and has not ended
	lineBytes int  // bytes of the current line so far, without its end
	estimate  int  // bytes of memory
	charged   int  // bytes charged to budget
}

// begin begins to count a head and releases the charge of the one before. arrived is what was read from the connection
// before, but not used yet.
func (m *headMeter) begin(arrived []byte) error {
	m.release()
	m.counting = true
	m.lineBytes = 0
	m.estimate = 0
	return m.count(arrived)
}

// count adds bytes that were read from the connection, up to the empty line that ends the head. It returns
// errNoHeadMemory if the budget does not suffice.
func (m *headMeter) count(read []byte) error {
	for m.counting && len(read) > 0 {
		line, rest, complete := bytes.Cut(read, []byte{'\n'})
		m.estimate += len(line) * headMemoryPerByte
		m.lineBytes += len(bytes.TrimRight(line, "\r"))
		if complete {
			m.estimate += headMemoryPerLine
			m.counting = m.lineBytes > 0
			m.lineBytes = 0
		}
		read = rest
	}
	if m.estimate <= maxUnbudgetedHead || m.estimate == m.charged {
		return nil
	}
	if !m.acquire(m.estimate - m.charged) {
		return errNoHeadMemory
	}
	m.charged = m.estimate
	return nil
}

// end stops counting, also if the head is incomplete, and returns the charge, which the caller must release.
func (m *headMeter) end() charge {
	m.counting = false
	taken := charge{m.budget, m.charged}
	m.charged = 0
	return taken
}

// release stops counting and releases the charge.
func (m *headMeter) release() {
	taken := m.end()
	taken.release()
}

// charge is memory that is charged to a budget.
type charge struct {
	budget *bytebudget.Budget
	bytes  int
}

// tryAcquire charges bytes to a budget, and reports whether they were granted. A few bytes are not charged.
func (c *charge) tryAcquire(budget *bytebudget.Budget, bytes int) bool {
	if bytes <= maxUnbudgetedBytes {
		return true
	}
	if !budget.TryAcquire(bytes) {
		return false
	}
	*c = charge{budget, bytes}
	return true
}

// release releases the memory. Further calls have no effect.
func (c *charge) release() {
	if c.bytes > 0 {
		c.budget.Release(c.bytes)
	}
	c.bytes = 0
}
