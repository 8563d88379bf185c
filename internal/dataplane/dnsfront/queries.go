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

// repeatKey identifies an open query. A client that sends the query again sends a query with the same key.
type repeatKey struct {
	clientAddr  netip.AddrPort
	conn        *clientConn // nil over UDP
	id          uint16      // the ID of the client's message
	questionKey string
}

// openQuery is a client's query that was received and has not been answered. Server.mu guards lookup; the other fields
// do not change after the query was submitted.
type openQuery struct {
	query        *parsedQuery
	clientAddr   netip.AddrPort
	conn         *clientConn // nil over UDP
	repeatKey    repeatKey
	class        string       // the name of its class in metrics
	clientPrefix netip.Prefix // the network whose limits it counts against
	verified     bool         // the client has shown that it receives what is sent to its address
	lookup       *lookupState // the lookup whose answer it waits for; nil before it is submitted
}

// receive handles one message of a client: it submits the query, answers it immediately, or discards it. conn is nil
// for a message over UDP.
func (s *Server) receive(raw []byte, clientAddr netip.AddrPort, conn *clientConn) {
	query, err := parseQuery(raw)
	if query == nil {
		s.counters.Malformed.Inc()
		return
	}
	open := &openQuery{
		query:        query,
		clientAddr:   clientAddr,
		conn:         conn,
		clientPrefix: limit.ClientPrefix(clientAddr.Addr()),
	}
	open.verified = conn != nil || s.hasValidCookie(query, clientAddr.Addr())
	if err != nil {
		s.rejectInvalid(open, err)
		return
	}
	question := query.msg.Question[0]
	classIndex, routed := s.routes.Find(route.Query{
		Name:   question.Name,
		Type:   question.Qtype,
		Opcode: query.opcode,
		TCP:    conn != nil,
	})
	open.repeatKey = repeatKey{clientAddr, conn, query.id, query.questionKey()}
	decision, repeated := s.admit(open, routed)
	switch {
	case repeated:
		s.counters.Repeated.Inc() // the answer to the open query has the same client and ID
	case s.handleOverRate(open, decision):
	case !routed:
		s.counters.Unrouted.Inc()
		s.reject(open, dns.RcodeRefused, dns.ExtendedErrorCodeProhibited, "no class for this name, type or operation")
	case decision == limit.Shed:
		s.counters.Shed.Inc()
		open.class = className(s.settings.Classes[classIndex].Name)
		s.metrics.Class(open.class).Deferred.Inc()
		s.reject(open, dns.RcodeRefused, dns.ExtendedErrorCodeOther, "refused: too many queries are open")
	default:
		s.submit(open, classIndex)
	}
}

// hasValidCookie reports whether a query returns a valid cookie that this server gave to clientAddr.
func (s *Server) hasValidCookie(query *parsedQuery, clientAddr netip.Addr) bool {
	if query.clientCookie == "" || query.serverCookie == "" {
		return false
	}
	return s.secret.verify(time.Now(), clientAddr, query.clientCookie, query.serverCookie)
}

// rejectInvalid answers a query that cannot be handled with the reason, within the rate of its client.
func (s *Server) rejectInvalid(open *openQuery, err error) {
	s.mu.Lock()
	decision := s.admission.Decide(s.eventLoop.Now(), open.clientPrefix, open.verified)
	if decision == limit.Admit {
		s.admission.Done(open.clientPrefix, open.verified)
	}
	s.mu.Unlock()
	if s.handleOverRate(open, decision) {
		return
	}
	s.counters.Malformed.Inc()
	var invalid *queryError
	if errors.As(err, &invalid) {
		s.reject(open, invalid.rcode, dns.ExtendedErrorCodeNotSupported, invalid.text)
	}
}

// admit decides whether a query is handled. If it is admitted and belongs to a class, it is open from then on; without
// a class it is answered immediately, and takes no capacity. repeated reports that the same query of the client is open
// already; decision is then meaningless.
func (s *Server) admit(open *openQuery, routed bool) (decision limit.Decision, repeated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, isOpen := s.openQueries[open.repeatKey]; isOpen {
		return 0, true
	}
	decision = s.admission.Decide(s.eventLoop.Now(), open.clientPrefix, open.verified)
	if decision != limit.Admit {
		return decision, false
	}
	if routed {
		s.openQueries[open.repeatKey] = struct{}{}
	} else {
		s.admission.Done(open.clientPrefix, open.verified)
	}
	return decision, false
}

// handleOverRate reports whether a query is over the rate of its client. In that case it has handled the query, by
// dropping it or by a truncated, empty answer.
func (s *Server) handleOverRate(open *openQuery, decision limit.Decision) bool {
	switch decision {
	case limit.Drop:
		s.counters.RateDropped.Inc()
		return true
	case limit.Truncate:
		s.counters.RateTruncated.Inc()
		s.send(open, open.query.truncatedAnswer(nil, s.replyOptions(open)))
		return true
	default:
		return false
	}
}

// reject answers a query that has no lookup with a response code and an extended error.
func (s *Server) reject(open *openQuery, rcode int, code uint16, text string) {
	s.send(open, open.query.errorAnswer(rcode, code, text, s.replyOptions(open)))
}

// answer sends a submitted query its final answer, and ends it.
func (s *Server) answer(open *openQuery, coreAnswer core.Answer) {
	raw, counter := s.finalAnswer(open, coreAnswer)
	counter.Inc()
	// The query ends before its answer is sent, since the client may reuse the ID as soon as it has the answer.
	s.release(open)
	s.send(open, raw)
}

// finalAnswer encodes the final answer to a query, and returns it with the counter of its class that counts it. The
// encoded answer is nil if no message could be encoded.
func (s *Server) finalAnswer(open *openQuery, coreAnswer core.Answer) ([]byte, *metrics.Counter) {
	class := s.metrics.Class(open.class)
	options := s.replyOptions(open)
	switch coreAnswer.Disposition {
	case core.Served:
		raw, err := open.query.packAnswer(coreAnswer.Reply.Content.(*serverAnswer), options)
		if err != nil {
			const text = "the answer cannot be written"
			raw = open.query.errorAnswer(dns.RcodeServerFailure, dns.ExtendedErrorCodeInvalidData, text, options)
			return raw, &class.Errored
		}
		return raw, &class.Answered
	case core.Rejected:
		text := "refused: try again later"
		if coreAnswer.RetryAfter > 0 {
			text = fmt.Sprintf("refused: try again in %d ms", coreAnswer.RetryAfter.Milliseconds())
		}
		return open.query.errorAnswer(dns.RcodeRefused, dns.ExtendedErrorCodeOther, text, options), &class.Deferred
	case core.FailedTimeout:
		const text = "no answer in time"
		raw := open.query.errorAnswer(dns.RcodeServerFailure, dns.ExtendedErrorCodeNoReachableAuthority, text, options)
		return raw, &class.Errored
	default:
		const text = "no server answered"
		raw := open.query.errorAnswer(dns.RcodeServerFailure, dns.ExtendedErrorCodeNetworkError, text, options)
		return raw, &class.Errored
	}
}

// replyOptions returns the transport, cookie and idle timeout for the answer to a query. While the server is closing,
// the idle timeout is 0.
func (s *Server) replyOptions(open *openQuery) replyOptions {
	options := replyOptions{overTCP: open.conn != nil}
	if open.query.clientCookie != "" {
		options.serverCookie = s.secret.serverPart(time.Now(), open.clientAddr.Addr(), open.query.clientCookie)
	}
	if !s.closing.Load() {
		options.keepaliveTimeout = s.settings.IdleTimeout
	}
	return options
}

// send writes an encoded message to the client of a query, completely or not at all. A message that is not sent is
// counted. raw is nil if no message could be encoded.
func (s *Server) send(open *openQuery, raw []byte) {
	if raw == nil {
		s.counters.Unsent.Inc()
		return
	}
	var err error
	if open.conn != nil {
		err = open.conn.send(raw)
	} else {
		_, err = s.udp.WriteToUDPAddrPort(raw, open.clientAddr)
	}
	if err != nil {
		s.counters.Unsent.Inc()
	}
}

// release ends a submitted query and frees its capacity.
func (s *Server) release(open *openQuery) {
	s.metrics.InFlight.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.openQueries, open.repeatKey)
	s.admission.Done(open.clientPrefix, open.verified)
	if open.conn != nil {
		s.conns.endQuery(open.conn, open)
	}
}

// abandonQuery ends a submitted query whose client has disconnected, and counts it as failed.
func (s *Server) abandonQuery(open *openQuery) {
	s.release(open)
	s.metrics.Class(open.class).Errored.Inc()
}

// clientDisconnected ends a submitted query whose connection was closed, unless it is being answered.
func (s *Server) clientDisconnected(open *openQuery) {
	if s.removeWaiter(open) {
		s.abandonQuery(open)
	}
}

// removeWaiter removes a query from the waiters of its lookup, and reports whether it was one of them. Without waiters
// the lookup is abandoned.
func (s *Server) removeWaiter(open *openQuery) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lookup := open.lookup
	index := slices.Index(lookup.waiters, open)
	if index < 0 {
		return false
	}
	lookup.waiters = slices.Delete(lookup.waiters, index, index+1)
	if len(lookup.waiters) == 0 {
		s.stopSharingLocked(lookup)
		close(lookup.abandoned)
	}
	return true
}
