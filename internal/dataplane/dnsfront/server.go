package dnsfront

import (
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/dnsfront/limit"
	"birchmoor/internal/dataplane/dnsfront/route"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/platform/metrics"
)

// answerMargin is kept from a class's give-up, so that the final answer reaches the client before that is up.
const answerMargin = 5 * time.Millisecond

// Server takes clients' queries and gives each one answer. Those of one client that repeat an open one (the same id,
// address and question) join it; those that ask the same as an open one of a class that shares get its answer.
type Server struct {
	eventLoop    *core.EventLoop
	settings       *Settings
	routes  *route.Table
	counters  *Counters
	metrics *metrics.Registry
	log     *slog.Logger
	secret  *cookieSecret
	sockets Sockets
	closing atomic.Bool
	lastRequestID  atomic.Uint64
	inFlight   sync.WaitGroup // flights, and clients' connections

	mu      sync.Mutex
	admission    *limit.Admission
	openQueries    map[queryID]struct{}
	sharedLookups map[string]*lookup // those that others may join
	conns clientConns

	accepting sync.Mutex // one call of Open or StopAccepting at a time
	udp       *net.UDPConn
	tcp       net.Listener
	readers     sync.WaitGroup // of taking queries
}

// Sockets is where clients ask.
type Sockets struct {
	UDP handover.PacketSocket
	TCP handover.Socket
}

// queryID is an open query as its client may repeat it.
type queryID struct {
	from netip.AddrPort
	conn *clientConn // nil over UDP
	id   uint16
	question  string
}

// openQuery is a query that was taken and has no answer yet.
type openQuery struct {
	question      *question
	from   netip.AddrPort
	conn   *clientConn // nil over UDP
	id    queryID
	class  string // among the figures
	client netip.Prefix
	proven bool
	lookup *lookup
}

// lookup is a query on its way through the core, and all who wait for its answer.
type lookup struct {
	request    *core.Request
	key     string // in flights; "" if nobody may join
	waiters []*openQuery
	abandoned    chan struct{} // closed once all clients have gone
}

// NewServer returns a server that brings queries to l.
func NewServer(s *Settings, l *core.EventLoop, sockets Sockets, counts *Counters, figures *metrics.Registry, log *slog.Logger) *Server {
	classes := make([]route.Class, len(s.Classes))
	for i := range s.Classes {
		classes[i] = s.Classes[i].Route
	}
	v := &Server{eventLoop: l, settings: s, routes: route.New(classes), counters: counts, metrics: figures, log: log, secret: new(cookieSecret),
		sockets: sockets, admission: limit.New(s.Limit), openQueries: map[queryID]struct{}{}, sharedLookups: map[string]*lookup{}}
	rand.Read(v.secret[:])
	v.conns.init(s.MaxClientConns)
	return v
}

// Open begins to take queries. It is told once if that ends unasked.
func (s *Server) Open(broken func(error)) error {
	s.accepting.Lock()
	defer s.accepting.Unlock()
	if s.udp == nil {
		udp, err := s.sockets.UDP.ListenPacket()
		if err != nil {
			return fmt.Errorf("dns: %w", err)
		}
		s.udp = udp
	} else {
		s.udp.SetReadDeadline(time.Time{}) // it was kept for the answers
	}
	tcp, err := s.sockets.TCP.Listen()
	if err != nil {
		return fmt.Errorf("dns: %w", err)
	}
	s.tcp = tcp
	udp := s.udp
	s.readers.Go(func() {
		if err := s.serveUDP(udp); err != nil {
			broken(err)
		}
	})
	s.readers.Go(func() {
		if err := s.serveTCP(tcp); err != nil {
			broken(err)
		}
	})
	return nil
}

// StopAccepting takes nothing new from sockets; what open connections bring is still taken. What came over UDP and was not
// read stays for the process that has the socket, too.
func (s *Server) StopAccepting() {
	s.accepting.Lock()
	defer s.accepting.Unlock()
	if s.tcp == nil {
		return
	}
	s.udp.SetReadDeadline(past)
	s.tcp.Close()
	s.tcp = nil
	s.readers.Wait()
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// SetClosing says whether connections are to be closed once they are idle.
func (s *Server) SetClosing(on bool) {
	s.closing.Store(on)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.closing = on
}

// CloseIdle closes connections without a query.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.closeIdleFor(0)
}

// CloseUnused does the same: who connects to ask does it at once, or finds another way.
func (s *Server) CloseUnused(bool) int {
	s.CloseIdle()
	return 0
}

// SetCapacityShare sets the part of the limits that is for this process.
func (s *Server) SetCapacityShare(_ *config.Config, part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Resize(int(float64(s.settings.Limit.MaxOpen) * part))
	s.conns.maxConns = max(1, int(float64(s.settings.MaxClientConns)*part))
}

// CloseIdleFor closes connections that have had no query for longer than age, and returns what is left: connections, and open
// queries.
func (s *Server) CloseIdleFor(age time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.closeIdleFor(age)
	return s.conns.len() + s.admission.Open()
}

// Wait returns once every query that was taken has its answer and all connections have ended, and closes the socket.
func (s *Server) Wait() {
	s.inFlight.Wait()
	s.accepting.Lock()
	defer s.accepting.Unlock()
	if s.udp != nil {
		s.udp.Close()
		s.udp = nil
	}
}

// serveUDP takes queries over UDP until reading is ended.
func (s *Server) serveUDP(conn *net.UDPConn) error {
	buf := make([]byte, dns.MaxMsgSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if s.isReadEnd(err) {
				return nil
			}
			return fmt.Errorf("dns: %w", err)
		}
		s.receive(append([]byte(nil), buf[:n]...), from, nil)
	}
}

// isReadEnd says whether an error is how our own end of reading shows.
func (s *Server) isReadEnd(err error) bool {
	var timeout net.Error
	return errors.Is(err, net.ErrClosed) || errors.As(err, &timeout) && timeout.Timeout()
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

// countAbandoned counts the end of a query whose client does not wait for its answer.
func (s *Server) countAbandoned(w *openQuery) {
	s.release(w)
	s.metrics.Class(w.class).Errored.Inc()
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
