package dnsfront

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/miekg/dns"

	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/dnsfront/limit"
	"birchmoor/internal/dataplane/dnsfront/route"
	"birchmoor/internal/platform/metrics"
)

// queryID identifies an open query as its client may repeat it.
type queryID struct {
	from     netip.AddrPort
	conn     *clientConn // nil over UDP
	id       uint16
	question string
}

// openQuery is a query that was received and has no answer yet.
type openQuery struct {
	question *question
	from     netip.AddrPort
	conn     *clientConn // nil over UDP
	id       queryID
	class    string       // as the metrics name it
	client   netip.Prefix // whose limits it counts against
	verified bool         // the client can receive what is sent to its address
	lookup   *lookup
}

// receive handles one message of a client: it submits the query, answers it at once, or discards it.
func (s *Server) receive(raw []byte, from netip.AddrPort, conn *clientConn) {
	q, err := parseQuery(raw)
	if q == nil {
		s.counters.Malformed.Inc()
		return
	}
	w := &openQuery{question: q, from: from, conn: conn, client: limit.ClientPrefix(from.Addr())}
	w.verified = conn != nil || s.hasValidCookie(q, from.Addr())
	if err != nil {
		s.rejectInvalid(w, err)
		return
	}
	asked := q.msg.Question[0]
	class, routed := s.routes.Find(route.Query{Name: asked.Name, Type: asked.Qtype, Opcode: q.opcode, TCP: conn != nil})
	w.id = queryID{from, conn, q.id, q.key()}
	decision, repeated := s.admit(w, routed)
	switch {
	case repeated:
		s.counters.Repeated.Inc() // the answer to the open query goes to the same place
	case s.isOverRate(w, decision):
	case !routed:
		s.counters.Unrouted.Inc()
		s.reject(w, dns.RcodeRefused, dns.ExtendedErrorCodeProhibited, "no class for this name, type or operation")
	case decision == limit.Shed:
		s.counters.Shed.Inc()
		w.class = className(s.settings.Classes[class].Name)
		s.metrics.Class(w.class).Deferred.Inc()
		s.reject(w, dns.RcodeRefused, dns.ExtendedErrorCodeOther, "refused: too many queries are open")
	default:
		s.submit(w, class)
	}
}

// hasValidCookie reports whether a query returns a cookie that this server gave to its address.
func (s *Server) hasValidCookie(q *question, from netip.Addr) bool {
	if q.clientCookie == "" || q.serverCookie == "" {
		return false
	}
	return s.secret.verify(time.Now(), from, q.clientCookie, q.serverCookie)
}

// rejectInvalid answers a query that cannot be handled, within its client's rate.
func (s *Server) rejectInvalid(w *openQuery, err error) {
	s.mu.Lock()
	decision := s.admission.Decide(s.eventLoop.Now(), w.client, w.verified)
	if decision == limit.Admit {
		s.admission.Done(w.client, w.verified)
	}
	s.mu.Unlock()
	if s.isOverRate(w, decision) {
		return
	}
	s.counters.Malformed.Inc()
	var invalid *queryError
	if errors.As(err, &invalid) {
		s.reject(w, invalid.rcode, dns.ExtendedErrorCodeNotSupported, invalid.text)
	}
}

// admit decides whether a query is handled. An admitted query that has a class is open from then on; repeated reports
// that it was open before.
func (s *Server) admit(w *openQuery, routed bool) (decision limit.Decision, repeated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.openQueries[w.id]; open {
		return 0, true
	}
	decision = s.admission.Decide(s.eventLoop.Now(), w.client, w.verified)
	if decision != limit.Admit {
		return decision, false
	}
	if routed {
		s.openQueries[w.id] = struct{}{}
	} else {
		s.admission.Done(w.client, w.verified)
	}
	return decision, false
}

// isOverRate reports whether a query is over its client's rate; it is then dropped, or answered truncated and empty.
func (s *Server) isOverRate(w *openQuery, decision limit.Decision) bool {
	switch decision {
	case limit.Drop:
		s.counters.RateDropped.Inc()
		return true
	case limit.Truncate:
		s.counters.RateTruncated.Inc()
		s.send(w, w.question.truncatedAnswer(nil, s.replyOptions(w)))
		return true
	default:
		return false
	}
}

// reject answers with a response code and an extended error, without a lookup.
func (s *Server) reject(w *openQuery, rcode int, code uint16, text string) {
	s.send(w, w.question.errorAnswer(rcode, code, text, s.replyOptions(w)))
}

// answer gives a query its final answer.
func (s *Server) answer(w *openQuery, a core.Answer) {
	raw, counter := s.finalAnswer(w, a)
	counter.Inc()
	// The query ends before its answer is sent: the client may use the ID again at once.
	s.release(w)
	s.send(w, raw)
}

// finalAnswer encodes the answer to a query, and returns the counter that it belongs to.
func (s *Server) finalAnswer(w *openQuery, a core.Answer) ([]byte, *metrics.Counter) {
	class := s.metrics.Class(w.class)
	options := s.replyOptions(w)
	switch a.Disposition {
	case core.Served:
		raw, err := w.question.packAnswer(a.Reply.Content.(*answer), options)
		if err != nil {
			const text = "the answer cannot be written"
			raw = w.question.errorAnswer(dns.RcodeServerFailure, dns.ExtendedErrorCodeInvalidData, text, options)
			return raw, &class.Errored
		}
		return raw, &class.Answered
	case core.Rejected:
		text := "refused: try again later"
		if a.RetryAfter > 0 {
			text = fmt.Sprintf("refused: try again in %d ms", a.RetryAfter.Milliseconds())
		}
		return w.question.errorAnswer(dns.RcodeRefused, dns.ExtendedErrorCodeOther, text, options), &class.Deferred
	case core.FailedTimeout:
		const text = "no answer in time"
		raw := w.question.errorAnswer(dns.RcodeServerFailure, dns.ExtendedErrorCodeNoReachableAuthority, text, options)
		return raw, &class.Errored
	default:
		const text = "no server answered"
		raw := w.question.errorAnswer(dns.RcodeServerFailure, dns.ExtendedErrorCodeNetworkError, text, options)
		return raw, &class.Errored
	}
}

// replyOptions returns what a client gets besides the answer.
func (s *Server) replyOptions(w *openQuery) replyOptions {
	r := replyOptions{tcp: w.conn != nil}
	if w.question.clientCookie != "" {
		r.cookie = s.secret.serverPart(time.Now(), w.from.Addr(), w.question.clientCookie)
	}
	if !s.closing.Load() {
		r.keepalive = s.settings.IdleTimeout
	}
	return r
}

// send writes a message to the client, completely or not at all. Raw is nil where no message could be encoded.
func (s *Server) send(w *openQuery, raw []byte) {
	if raw == nil {
		s.counters.Unsent.Inc()
		return
	}
	var err error
	if w.conn != nil {
		err = w.conn.send(raw)
	} else {
		_, err = s.udp.WriteToUDPAddrPort(raw, w.from)
	}
	if err != nil {
		s.counters.Unsent.Inc()
	}
}

// release ends a submitted query.
func (s *Server) release(w *openQuery) {
	s.metrics.InFlight.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.openQueries, w.id)
	s.admission.Done(w.client, w.verified)
	if w.conn != nil {
		s.conns.endQuery(w.conn, w)
	}
}

// countAbandoned ends and counts a query whose client does not wait for its answer.
func (s *Server) countAbandoned(w *openQuery) {
	s.release(w)
	s.metrics.Class(w.class).Errored.Inc()
}

// clientLeft ends a query whose client has closed its connection.
func (s *Server) clientLeft(w *openQuery) {
	if s.removeWaiter(w) {
		s.countAbandoned(w)
	}
}

// removeWaiter takes a query off its lookup, which is abandoned with the last, and reports whether it still waited.
func (s *Server) removeWaiter(w *openQuery) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := w.lookup
	i := slices.Index(l.waiters, w)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	if len(l.waiters) == 0 {
		s.stopSharingLocked(l)
		close(l.abandoned)
	}
	return true
}
