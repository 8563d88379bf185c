package dnsfront

import (
	"math"
	"strconv"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
)

// lookup is a query on its way through the core, and all open queries that wait for its answer.
type lookup struct {
	request   *core.Request
	key       string // in Server.sharedLookups; "" if no other query may join
	waiters   []*openQuery
	abandoned chan struct{} // closed once all clients have gone
}

// submit passes a query to the core, or has it join a lookup with the same question.
func (s *Server) submit(w *openQuery, classIndex int) {
	class := &s.settings.Classes[classIndex]
	w.class = className(class.Name)
	s.metrics.InFlight.Add(1)
	l := &lookup{waiters: []*openQuery{w}, abandoned: make(chan struct{})}
	if class.ShareAnswers && class.isIdempotent() && !w.question.isPassedThrough() {
		l.key = strconv.Itoa(classIndex) + "/" + w.id.question
	}
	joined, closed := s.joinOrAdd(w, l)
	switch {
	case closed:
		s.countAbandoned(w)
	case joined:
		s.counters.AnswersShared.Inc()
	default:
		l.request = s.newRequest(w, class, classIndex)
		s.inFlight.Go(func() { s.await(l) })
	}
}

// joinOrAdd has a query join the lookup with the key of l or, if there is none, adds l. It reports whether the query
// joined another lookup, or its connection was closed in the meantime.
func (s *Server) joinOrAdd(w *openQuery, l *lookup) (joined, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.conn != nil && !s.conns.beginQuery(w.conn, w) {
		return false, true
	}
	w.lookup = l
	if l.key == "" {
		return false, false
	}
	if other := s.sharedLookups[l.key]; other != nil {
		other.waiters = append(other.waiters, w)
		w.lookup = other
		return true, false
	}
	s.sharedLookups[l.key] = l
	return false, false
}

// newRequest returns the core's request for a query.
func (s *Server) newRequest(w *openQuery, class *Class, classIndex int) *core.Request {
	snapshot := s.eventLoop.ConfigSnapshot()
	return &core.Request{
		ID:          strconv.FormatUint(s.lastRequestID.Add(1), 10),
		Class:       w.class,
		Config:      snapshot,
		Answer:      make(chan core.Answer, 1),
		MaxAttempts: class.MaxAttempts,
		Payload:     &upstreamQuery{question: w.question, tcp: !class.isIdempotent()},
		Input: balancer.Request{
			Class:    uint8(classIndex),
			Tenant:   math.MaxUint16,
			Rules:    snapshot.Rules,
			Write:    !class.isIdempotent(),
			Deadline: s.eventLoop.Now() + (class.Timeout - answerMargin).Microseconds(),
		},
	}
}

// await submits a lookup and answers all queries that wait for it.
func (s *Server) await(l *lookup) {
	s.eventLoop.Submit(l.request)
	select {
	case a := <-l.request.Answer:
		for _, w := range s.finish(l) {
			if w.conn == nil {
				s.answer(w, a)
				continue
			}
			s.inFlight.Go(func() { s.answer(w, a) }) // a write to a connection may block
		}
	case <-l.abandoned:
		s.eventLoop.ClientDisconnected(l.request)
		(<-l.request.Answer).Discard()
	}
}

// finish ends a lookup, and returns the queries that wait for its answer.
func (s *Server) finish(l *lookup) []*openQuery {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopSharingLocked(l)
	waiters := l.waiters
	l.waiters = nil
	return waiters
}

// stopSharingLocked lets no other query join a lookup.
func (s *Server) stopSharingLocked(l *lookup) {
	if l.key != "" && s.sharedLookups[l.key] == l {
		delete(s.sharedLookups, l.key)
	}
}
