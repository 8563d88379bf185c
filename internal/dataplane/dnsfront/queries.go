package dnsfront

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/miekg/dns"

	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/dnsfront/limit"
	"birchmoor/internal/dataplane/dnsfront/route"
)

// queryID is an open query as its client may repeat it.
type queryID struct {
	from     netip.AddrPort
	conn     *clientConn // nil over UDP
	id       uint16
	question string
}

// openQuery is a query that was taken and has no answer yet.
type openQuery struct {
	question *question
	from     netip.AddrPort
	conn     *clientConn // nil over UDP
	id       queryID
	class    string // among the figures
	client   netip.Prefix
	proven   bool
	lookup   *lookup
}

// receive takes one message of a client, or turns it away.
func (s *Server) receive(raw []byte, from netip.AddrPort, conn *clientConn) {
	q, err := parseQuery(raw)
	if q == nil {
		s.counters.Malformed.Inc()
		return
	}
	now := time.Now()
	w := &openQuery{question: q, from: from, conn: conn, client: limit.ClientPrefix(from.Addr())}
	w.proven = conn != nil || q.clientCookie != "" && q.serverCookie != "" && s.secret.verify(now, from.Addr(), q.clientCookie, q.serverCookie)
	class, routed := -1, false
	if err == nil {
		d := q.msg.Question[0]
		class, routed = s.routes.Find(route.Query{Name: d.Name, Type: d.Qtype, Opcode: q.opcode, TCP: conn != nil})
		w.id = queryID{from, conn, q.id, q.key()}
	}
	s.mu.Lock()
	if _, joined := s.openQueries[w.id]; joined && err == nil {
		s.mu.Unlock()
		s.counters.Repeated.Inc() // the answer to the open one goes to the same place
		return
	}
	verdict := s.admission.Decide(s.eventLoop.Now(), w.client, w.proven)
	if verdict == limit.Admit && !routed {
		s.admission.Done(w.client, w.proven)
	} else if verdict == limit.Admit {
		s.openQueries[w.id] = struct{}{}
	}
	s.mu.Unlock()
	var bad *queryError
	switch {
	case verdict == limit.Drop:
		s.counters.RateDropped.Inc()
	case verdict == limit.Truncate:
		s.counters.RateTruncated.Inc()
		s.send(w, q.truncatedAnswer(nil, s.replyOptions(w)))
	case errors.As(err, &bad):
		s.counters.Malformed.Inc()
		s.send(w, q.errorAnswer(bad.rcode, dns.ExtendedErrorCodeNotSupported, bad.text, s.replyOptions(w)))
	case !routed:
		s.counters.Unrouted.Inc()
		s.send(w, q.errorAnswer(dns.RcodeRefused, dns.ExtendedErrorCodeProhibited, "no class for this name, type or operation", s.replyOptions(w)))
	case verdict == limit.Shed:
		s.counters.Shed.Inc()
		w.class = className(s.settings.Classes[class].Name)
		s.metrics.Class(w.class).Deferred.Inc()
		s.send(w, q.errorAnswer(dns.RcodeRefused, dns.ExtendedErrorCodeOther, "refused: too many queries are open", s.replyOptions(w)))
	default:
		s.submit(w, class)
	}
}

// send writes a message to the client, whole or not at all.
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

// replyOptions is what this client gets besides the answer.
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

// answer gives the final answer.
func (s *Server) answer(w *openQuery, a core.Answer) {
	count := s.metrics.Class(w.class)
	var raw []byte
	switch a.Disposition {
	case core.Served:
		var err error
		if raw, err = w.question.packAnswer(a.Reply.Content.(*answer), s.replyOptions(w)); err == nil {
			count.Answered.Inc()
			break
		}
		raw = w.question.errorAnswer(dns.RcodeServerFailure, dns.ExtendedErrorCodeInvalidData, "the answer cannot be written", s.replyOptions(w))
		count.Errored.Inc()
	case core.Rejected:
		text := "refused: try again later"
		if a.RetryAfter > 0 {
			text = fmt.Sprintf("refused: try again in %d ms", a.RetryAfter.Milliseconds())
		}
		raw = w.question.errorAnswer(dns.RcodeRefused, dns.ExtendedErrorCodeOther, text, s.replyOptions(w))
		count.Deferred.Inc()
	case core.FailedTimeout:
		raw = w.question.errorAnswer(dns.RcodeServerFailure, dns.ExtendedErrorCodeNoReachableAuthority, "no answer in time", s.replyOptions(w))
		count.Errored.Inc()
	default:
		raw = w.question.errorAnswer(dns.RcodeServerFailure, dns.ExtendedErrorCodeNetworkError, "no server answered", s.replyOptions(w))
		count.Errored.Inc()
	}
	// What is open ends before the answer goes: a client may use the id again at once.
	s.release(w)
	s.send(w, raw)
}

// release ends a query that was taken.
func (s *Server) release(w *openQuery) {
	s.metrics.InFlight.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.openQueries, w.id)
	s.admission.Done(w.client, w.proven)
	if w.conn != nil {
		s.conns.endQuery(w.conn, w)
	}
}

// countAbandoned counts the end of a query whose client does not wait for its answer.
func (s *Server) countAbandoned(w *openQuery) {
	s.release(w)
	s.metrics.Class(w.class).Errored.Inc()
}

// clientLeft tells that the client of a query has gone.
func (s *Server) clientLeft(w *openQuery) {
	s.mu.Lock()
	f := w.lookup
	there := false
	for i, o := range f.waiters {
		if o == w {
			f.waiters = append(f.waiters[:i], f.waiters[i+1:]...)
			there = true
			break
		}
	}
	if there && len(f.waiters) == 0 {
		if f.key != "" && s.sharedLookups[f.key] == f {
			delete(s.sharedLookups, f.key)
		}
		close(f.abandoned)
	}
	s.mu.Unlock()
	if there {
		s.countAbandoned(w)
	}
}
