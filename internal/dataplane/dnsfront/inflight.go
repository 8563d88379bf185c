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

// pendingQuery is a query that was added to a queryTable and waits for a server's answer.
type pendingQuery struct {
	query    *parsedQuery
	answer   chan []byte // receives the answer; buffered for the one that is delivered
	answered bool        // whether the answer was delivered; guarded by queryTable.mu
	failure  chan error  // receives the error after which no answer can arrive; buffered
}

func newPendingQuery(query *parsedQuery) *pendingQuery {
	return &pendingQuery{query: query, answer: make(chan []byte, 1), failure: make(chan error, 1)}
}

// fail reports that no answer can arrive any more, because of err. Further calls do nothing.
func (p *pendingQuery) fail(err error) {
	select {
	case p.failure <- err:
	default:
	}
}

// wait waits for the answer to a sent query, and returns it with the status of the attempt. done is false if overdue
// fires first: the query is then still open. A nil overdue never fires.
func (p *pendingQuery) wait(
	ctx context.Context, overdue <-chan time.Time,
) (raw []byte, status balancer.Status, done bool) {
	select {
	case raw := <-p.answer:
		return raw, balancer.OK, true
	case err := <-p.failure:
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, balancer.ConnectFailed, true // nothing listens at the address, so the query was not processed
		}
		return nil, balancer.Reset, true
	case <-ctx.Done():
		return nil, balancer.Cancelled, true
	case <-overdue:
		return nil, balancer.NotSent, false
	}
}

// queryTable holds the open queries on a socket or connection to a server, by ID. Its methods may be called from any
// goroutine.
type queryTable struct {
	mu        sync.Mutex
	open      map[uint16]*pendingQuery
	closedErr error // the error that closed the table; nil while queries can be added
}

func newQueryTable() queryTable {
	return queryTable{open: map[uint16]*pendingQuery{}}
}

// add adds a query under a random ID that no other open query of the table has, and returns the ID. It fails once the
// table is closed.
func (t *queryTable) add(pending *pendingQuery) (uint16, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closedErr != nil {
		return 0, t.closedErr
	}
	for {
		id := randomID()
		if t.open[id] == nil {
			t.open[id] = pending
			return id, nil
		}
	}
}

func (t *queryTable) remove(id uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
}

// failOpen fails all open queries with err. Queries can still be added.
func (t *queryTable) failOpen(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failOpenLocked(err)
}

// close fails all open queries with err. From then on add returns err.
func (t *queryTable) close(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closedErr = err
	t.failOpenLocked(err)
}

func (t *queryTable) failOpenLocked(err error) {
	for _, pending := range t.open {
		pending.fail(err)
	}
}

// deliver passes a received message to the open query that it answers. A message that answers none is counted and
// discarded: it may be forged, and must not change the outcome of a query.
func (t *queryTable) deliver(raw []byte, counters *Counters) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(raw) < headerSize {
		counters.Mismatched.Inc()
		return
	}
	pending := t.open[headerID(raw)]
	switch {
	case pending == nil:
		counters.UnknownID.Inc()
	case !pending.query.isAnsweredBy(raw):
		counters.Mismatched.Inc()
	case pending.answered:
		counters.Duplicate.Inc()
	default:
		pending.answered = true
		pending.answer <- append([]byte(nil), raw...) // never blocks: the channel has capacity for the one answer
	}
}

// randomID returns an unpredictable ID.
func randomID() uint16 {
	var b [2]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint16(b[:])
}
