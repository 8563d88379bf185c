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

// pending is a query that waits for a server's answer.
type pending struct {
	question *question
	answer   chan []byte // holds the one answer
	answered bool        // the answer was delivered; guarded by the table's mu
	failure  chan error  // holds the reason why no answer can come
}

func newPending(q *question) *pending {
	return &pending{question: q, answer: make(chan []byte, 1), failure: make(chan error, 1)}
}

// fail reports that no answer can come. Only the first call counts.
func (p *pending) fail(err error) {
	select {
	case p.failure <- err:
	default:
	}
}

// wait waits for the answer to a sent query. It reports done false if overdue fires first: the query is still open.
func (p *pending) wait(ctx context.Context, overdue <-chan time.Time) (raw []byte, status balancer.Status, done bool) {
	select {
	case raw := <-p.answer:
		return raw, balancer.OK, true
	case err := <-p.failure:
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, balancer.ConnectFailed, true // nothing listens there: the query was not processed
		}
		return nil, balancer.Reset, true
	case <-ctx.Done():
		return nil, balancer.Cancelled, true
	case <-overdue:
		return nil, balancer.NotSent, false
	}
}

// queryTable holds the open queries on a socket or a connection, by ID. Its methods may be called from any goroutine.
type queryTable struct {
	mu        sync.Mutex
	open      map[uint16]*pending
	closedErr error // why no query can be added any more
}

func newQueryTable() queryTable {
	return queryTable{open: map[uint16]*pending{}}
}

// add gives a query an ID that no other open query has.
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

// failOpen fails all open queries.
func (t *queryTable) failOpen(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failOpenLocked(err)
}

// close fails all open queries, and those that are added later.
func (t *queryTable) close(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closedErr = err
	t.failOpenLocked(err)
}

func (t *queryTable) failOpenLocked(err error) {
	for _, p := range t.open {
		p.fail(err)
	}
}

// deliver passes a message to the query that it answers. A message that answers none is counted and discarded: it may
// be forged, and must not change the outcome of a query.
func (t *queryTable) deliver(raw []byte, c *Counters) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(raw) < headerSize {
		c.Mismatched.Inc()
		return
	}
	p := t.open[headerID(raw)]
	switch {
	case p == nil:
		c.UnknownID.Inc()
	case !p.question.isAnsweredBy(raw):
		c.Mismatched.Inc()
	case p.answered:
		c.Duplicate.Inc()
	default:
		p.answered = true
		p.answer <- append([]byte(nil), raw...) // never blocks: the channel holds one
	}
}

// randomID returns an ID that cannot be predicted.
func randomID() uint16 {
	var b [2]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint16(b[:])
}
