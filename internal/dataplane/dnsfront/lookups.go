package dnsfront

import (
	"math"
	"strconv"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
)

// lookupState is a request to the event loop, with all open queries that wait for its answer.
type lookupState struct {
	request   *core.Request
	key       string        // class and question in Server.sharedLookups; "" if no other query may join
	waiters   []*openQuery  // guarded by Server.mu
	abandoned chan struct{} // closed once the clients of all waiters have disconnected
}

// submit starts a lookup for an admitted query, or lets it join a lookup of its class with the same question.
func (s *Server) submit(open *openQuery, classIndex int) {
	class := &s.settings.Classes[classIndex]
	open.class = className(class.Name)
	s.metrics.InFlight.Add(1)
	newLookup := &lookupState{waiters: []*openQuery{open}, abandoned: make(chan struct{})}
	if class.ShareAnswers && class.isIdempotent() && !open.query.isPassedThrough() {
		newLookup.key = strconv.Itoa(classIndex) + "/" + open.repeatKey.questionKey
	}
	joined, closed := s.joinOrAdd(open, newLookup)
	switch {
	case closed:
		s.abandonQuery(open)
	case joined:
		s.counters.AnswersShared.Inc()
	default:
		newLookup.request = s.newRequest(open, class, classIndex)
		s.inFlight.Go(func() { s.runLookup(newLookup) })
	}
}

// joinOrAdd adds a query to the waiters of the shared lookup with the key of newLookup, or makes newLookup the lookup
// of the query. joined reports whether the query joined another lookup; closed, whether its connection was closed in
// the meantime, so that it needs no lookup.
func (s *Server) joinOrAdd(open *openQuery, newLookup *lookupState) (joined, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open.conn != nil && !s.conns.beginQuery(open.conn, open) {
		return false, true
	}
	open.lookup = newLookup
	if newLookup.key == "" {
		return false, false
	}
	if existing := s.sharedLookups[newLookup.key]; existing != nil {
		existing.waiters = append(existing.waiters, open)
		open.lookup = existing
		return true, false
	}
	s.sharedLookups[newLookup.key] = newLookup
	return false, false
}

// newRequest returns the request to the event loop for a query.
func (s *Server) newRequest(open *openQuery, class *Class, classIndex int) *core.Request {
	snapshot := s.eventLoop.ConfigSnapshot()
	return &core.Request{
		ID:          strconv.FormatUint(s.lastRequestID.Add(1), 10),
		Class:       open.class,
		Config:      snapshot,
		Answer:      make(chan core.Answer, 1),
		MaxAttempts: class.MaxAttempts,
		Payload:     &upstreamQuery{query: open.query, overTCP: !class.isIdempotent()},
		Input: balancer.Request{
			Class:    uint8(classIndex),
			Tenant:   math.MaxUint16,
			Rules:    snapshot.Rules,
			Write:    !class.isIdempotent(),
			Deadline: s.eventLoop.Now() + (class.Timeout - answerMargin).Microseconds(),
		},
	}
}

// runLookup submits the request of a lookup to the event loop, and answers all queries that wait for it. If the lookup
// is abandoned, its answer is discarded.
func (s *Server) runLookup(lookup *lookupState) {
	s.eventLoop.Submit(lookup.request)
	select {
	case coreAnswer := <-lookup.request.Answer:
		for _, waiter := range s.finishLookup(lookup) {
			if waiter.conn == nil {
				s.answer(waiter, coreAnswer)
				continue
			}
			// A write to a connection may block, and must not delay the other answers.
			s.inFlight.Go(func() { s.answer(waiter, coreAnswer) })
		}
	case <-lookup.abandoned:
		s.eventLoop.ClientDisconnected(lookup.request)
		(<-lookup.request.Answer).Discard()
	}
}

// finishLookup ends a lookup that has its answer: no other query may join it. It returns the queries that wait for the
// answer.
func (s *Server) finishLookup(lookup *lookupState) []*openQuery {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopSharingLocked(lookup)
	waiters := lookup.waiters
	lookup.waiters = nil
	return waiters
}

// stopSharingLocked removes a lookup from the shared ones, so that no other query joins it.
func (s *Server) stopSharingLocked(lookup *lookupState) {
	if lookup.key != "" && s.sharedLookups[lookup.key] == lookup {
		delete(s.sharedLookups, lookup.key)
	}
}
