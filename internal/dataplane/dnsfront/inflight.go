package dnsfront

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"sync"
	"syscall"
	"time"

	"birchmoor/balancer"
)

// pending is a query that waits for its answer.
type pending struct {
	question *question
	answer   chan []byte // holds the one answer
	answered bool        // it is there
	failure  chan error  // or why none can come
}

func newPending(q *question) *pending {
	return &pending{question: q, answer: make(chan []byte, 1), failure: make(chan error, 1)}
}

// fail tells once that no answer can come.
func (p *pending) fail(err error) {
	select {
	case p.failure <- err:
	default:
	}
}

// wait waits for the answer to a query that is out, and says whether its wait is over; if not, it is late.
func (p *pending) wait(ctx context.Context, late <-chan time.Time) (raw []byte, status balancer.Status, over bool) {
	select {
	case raw := <-p.answer:
		return raw, balancer.OK, true
	case err := <-p.failure:
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, balancer.ConnectFailed, true // nobody listens: it never ran
		}
		return nil, balancer.Reset, true
	case <-ctx.Done():
		return nil, balancer.Cancelled, true
	case <-late:
		return nil, balancer.NotSent, false
	}
}

// queryTable is the queries that share a socket or a connection, by their ids.
type queryTable struct {
	mu        sync.Mutex
	open      map[uint16]*pending
	closedErr error // nothing more is taken
}

// add gives a query an id that no other has.
func (t *queryTable) add(p *pending) (uint16, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closedErr != nil {
		return 0, t.closedErr
	}
	for {
		id := randomID()
		if t.open[id] == nil {
			t.open[id] = p
			return id, nil
		}
	}
}

func (t *queryTable) remove(id uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
}

// failAll tells all that wait that nothing comes.
func (t *queryTable) failAll(err error, forGood bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if forGood {
		t.closedErr = err
	}
	for _, p := range t.open {
		p.fail(err)
	}
}

// deliver looks whom a message is for. Whatever it is not is counted, and is no outcome for anybody.
func (t *queryTable) deliver(raw []byte, c *Counters) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(raw) < headerSize {
		c.Mismatched.Inc()
		return
	}
	p := t.open[binary.BigEndian.Uint16(raw)]
	switch {
	case p == nil:
		c.UnknownID.Inc()
	case !p.question.isAnsweredBy(raw):
		c.Mismatched.Inc()
	case p.answered:
		c.Duplicate.Inc()
	default:
		p.answered = true
		p.answer <- append([]byte(nil), raw...) // room for one
	}
}

// randomID returns a random id that nobody can foretell.
func randomID() uint16 {
	var b [2]byte
	rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint16(b[:])
}
