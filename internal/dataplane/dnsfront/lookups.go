package dnsfront

import (
	"math"
	"strconv"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
)

// lookup is a query on its way through the core, and all who wait for its answer.
type lookup struct {
	request   *core.Request
	key       string // in flights; "" if nobody may join
	waiters   []*openQuery
	abandoned chan struct{} // closed once all clients have gone
}

// submit brings a query into the core, or has it join one that asks the same.
func (s *Server) submit(w *openQuery, place int) {
	class := &s.settings.Classes[place]
	w.class = className(class.Name)
	s.metrics.InFlight.Add(1)
	share := ""
	if class.ShareAnswers && class.isIdempotent() && !w.question.isPassedThrough() {
		share = strconv.Itoa(place) + "/" + w.id.question
	}
	f := &lookup{key: share, waiters: []*openQuery{w}, abandoned: make(chan struct{})}
	s.mu.Lock()
	if w.conn != nil && !s.conns.beginQuery(w.conn, w) {
		s.mu.Unlock()
		s.countAbandoned(w) // its connection has ended meanwhile
		return
	}
	if other := s.sharedLookups[share]; share != "" && other != nil {
		other.waiters = append(other.waiters, w)
		w.lookup = other
		s.mu.Unlock()
		s.counters.AnswersShared.Inc()
		return
	}
	w.lookup = f
	if share != "" {
		s.sharedLookups[share] = f
	}
	s.mu.Unlock()
	view := s.eventLoop.ConfigSnapshot()
	f.request = &core.Request{ID: strconv.FormatUint(s.lastRequestID.Add(1), 10), Class: w.class, Config: view, Answer: make(chan core.Answer, 1),
		MaxAttempts: class.MaxAttempts, Payload: &upstreamQuery{question: w.question, tcp: !class.isIdempotent()},
		Input: balancer.Request{Class: uint8(place), Tenant: math.MaxUint16, Rules: view.Rules, Write: !class.isIdempotent(),
			Deadline: s.eventLoop.Now() + (class.Timeout - answerMargin).Microseconds()}}
	s.inFlight.Go(func() {
		s.eventLoop.Submit(f.request)
		select {
		case a := <-f.request.Answer:
			for _, w := range s.finish(f) {
				if w.conn != nil { // which may take nothing for a while
					s.inFlight.Go(func() { s.answer(w, a) })
				} else {
					s.answer(w, a)
				}
			}
		case <-f.abandoned:
			s.eventLoop.ClientLeft(f.request)
			(<-f.request.Answer).Discard()
		}
	})
}

// finish ends a flight, and returns who waits for its answer.
func (s *Server) finish(f *lookup) []*openQuery {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.key != "" && s.sharedLookups[f.key] == f {
		delete(s.sharedLookups, f.key)
	}
	waiters := f.waiters
	f.waiters = nil
	return waiters
}
