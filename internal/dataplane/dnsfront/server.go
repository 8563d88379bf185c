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
	loop    *core.EventLoop
	s       *Settings
	routes  *route.Table
	counts  *Counts
	figures *metrics.Registry
	log     *slog.Logger
	secret  *secret
	sockets Sockets
	closing atomic.Bool
	lastID  atomic.Uint64
	talks   sync.WaitGroup // flights, and clients' connections

	mu      sync.Mutex
	gate    *limit.Gate
	open    map[asked]struct{}
	flights map[string]*flight // those that others may join
	streams clientStreams

	accepting sync.Mutex // one call of Open or StopAccepting at a time
	udp       *net.UDPConn
	tcp       net.Listener
	ended     sync.WaitGroup // of taking queries
}

// Sockets is where clients ask.
type Sockets struct {
	UDP handover.PacketSocket
	TCP handover.Socket
}

// asked is an open query as its client may repeat it.
type asked struct {
	from netip.AddrPort
	conn *clientStream // nil over UDP
	id   uint16
	key  string
}

// waiter is a query that was taken and has no answer yet.
type waiter struct {
	q      *question
	from   netip.AddrPort
	conn   *clientStream // nil over UDP
	key    asked
	class  string // among the figures
	client netip.Prefix
	proven bool
	flight *flight
}

// flight is a query on its way through the core, and all who wait for its answer.
type flight struct {
	call    *core.Request
	key     string // in flights; "" if nobody may join
	waiters []*waiter
	left    chan struct{} // closed once all clients have gone
}

// NewServer returns a server that brings queries to l.
func NewServer(s *Settings, l *core.EventLoop, sockets Sockets, counts *Counts, figures *metrics.Registry, log *slog.Logger) *Server {
	classes := make([]route.Class, len(s.Classes))
	for i := range s.Classes {
		classes[i] = s.Classes[i].Route
	}
	v := &Server{loop: l, s: s, routes: route.New(classes), counts: counts, figures: figures, log: log, secret: new(secret),
		sockets: sockets, gate: limit.New(s.Limit), open: map[asked]struct{}{}, flights: map[string]*flight{}}
	rand.Read(v.secret[:])
	v.streams.init(s.TCPClients)
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
	s.ended.Go(func() {
		if err := s.datagrams(udp); err != nil {
			broken(err)
		}
	})
	s.ended.Go(func() {
		if err := s.accept(tcp); err != nil {
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
	s.ended.Wait()
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// SetClosing says whether connections are to be closed once they are idle.
func (s *Server) SetClosing(on bool) {
	s.closing.Store(on)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams.closing = on
}

// CloseIdle closes connections without a query.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams.shed(0)
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
	s.gate.Resize(int(float64(s.s.Limit.Open) * part))
	s.streams.most = max(1, int(float64(s.s.TCPClients)*part))
}

// CloseIdleFor closes connections that have had no query for longer than age, and returns what is left: connections, and open
// queries.
func (s *Server) CloseIdleFor(age time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams.shed(age)
	return s.streams.len() + s.gate.Open()
}

// Wait returns once every query that was taken has its answer and all connections have ended, and closes the socket.
func (s *Server) Wait() {
	s.talks.Wait()
	s.accepting.Lock()
	defer s.accepting.Unlock()
	if s.udp != nil {
		s.udp.Close()
		s.udp = nil
	}
}

// datagrams takes queries over UDP until reading is ended.
func (s *Server) datagrams(conn *net.UDPConn) error {
	buf := make([]byte, dns.MaxMsgSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if s.over(err) {
				return nil
			}
			return fmt.Errorf("dns: %w", err)
		}
		s.query(append([]byte(nil), buf[:n]...), from, nil)
	}
}

// over says whether an error is how our own end of reading shows.
func (s *Server) over(err error) bool {
	var timeout net.Error
	return errors.Is(err, net.ErrClosed) || errors.As(err, &timeout) && timeout.Timeout()
}

// query takes one message of a client, or turns it away.
func (s *Server) query(raw []byte, from netip.AddrPort, conn *clientStream) {
	q, err := parse(raw)
	if q == nil {
		s.counts.Malformed.Inc()
		return
	}
	now := time.Now()
	w := &waiter{q: q, from: from, conn: conn, client: limit.Client(from.Addr())}
	w.proven = conn != nil || q.cookie != "" && q.ours != "" && s.secret.proves(now, from.Addr(), q.cookie, q.ours)
	class, routed := -1, false
	if err == nil {
		d := q.msg.Question[0]
		class, routed = s.routes.Find(route.Query{Name: d.Name, Type: d.Qtype, Opcode: q.opcode, TCP: conn != nil})
		w.key = asked{from, conn, q.id, q.key()}
	}
	s.mu.Lock()
	if _, joined := s.open[w.key]; joined && err == nil {
		s.mu.Unlock()
		s.counts.Joined.Inc() // the answer to the open one goes to the same place
		return
	}
	verdict := s.gate.Ask(s.loop.Now(), w.client, w.proven)
	if verdict == limit.Take && !routed {
		s.gate.Done(w.client, w.proven)
	} else if verdict == limit.Take {
		s.open[w.key] = struct{}{}
	}
	s.mu.Unlock()
	var bad *fault
	switch {
	case verdict == limit.Drop:
		s.counts.Dropped.Inc()
	case verdict == limit.Slip:
		s.counts.Slipped.Inc()
		s.send(w, q.short(nil, s.reply(w)))
	case errors.As(err, &bad):
		s.counts.Malformed.Inc()
		s.send(w, q.refusal(bad.rcode, dns.ExtendedErrorCodeNotSupported, bad.text, s.reply(w)))
	case !routed:
		s.counts.Unrouted.Inc()
		s.send(w, q.refusal(dns.RcodeRefused, dns.ExtendedErrorCodeProhibited, "no class for this name, type or operation", s.reply(w)))
	case verdict == limit.Shed:
		s.counts.Shed.Inc()
		w.class = figure(s.s.Classes[class].Name)
		s.figures.Class(w.class).Deferred.Inc()
		s.send(w, q.refusal(dns.RcodeRefused, dns.ExtendedErrorCodeOther, "refused: too many queries are open", s.reply(w)))
	default:
		s.take(w, class)
	}
}

// take brings a query into the core, or has it join one that asks the same.
func (s *Server) take(w *waiter, place int) {
	class := &s.s.Classes[place]
	w.class = figure(class.Name)
	s.figures.InFlight.Add(1)
	share := ""
	if class.Share && class.safe() && !w.q.asIs() {
		share = strconv.Itoa(place) + "/" + w.key.key
	}
	f := &flight{key: share, waiters: []*waiter{w}, left: make(chan struct{})}
	s.mu.Lock()
	if w.conn != nil && !s.streams.begin(w.conn, w) {
		s.mu.Unlock()
		s.gone(w) // its connection has ended meanwhile
		return
	}
	if other := s.flights[share]; share != "" && other != nil {
		other.waiters = append(other.waiters, w)
		w.flight = other
		s.mu.Unlock()
		s.counts.Followed.Inc()
		return
	}
	w.flight = f
	if share != "" {
		s.flights[share] = f
	}
	s.mu.Unlock()
	view := s.loop.ConfigSnapshot()
	f.call = &core.Request{ID: strconv.FormatUint(s.lastID.Add(1), 10), Class: w.class, Config: view, Answer: make(chan core.Answer, 1),
		MaxAttempts: class.Attempts, Payload: &request{q: w.q, tcp: !class.safe()},
		Input: balancer.Request{Class: uint8(place), Tenant: math.MaxUint16, Rules: view.Rules, Write: !class.safe(),
			Deadline: s.loop.Now() + (class.GiveUp - answerMargin).Microseconds()}}
	s.talks.Go(func() {
		s.loop.Submit(f.call)
		select {
		case a := <-f.call.Answer:
			for _, w := range s.land(f) {
				if w.conn != nil { // which may take nothing for a while
					s.talks.Go(func() { s.answer(w, a) })
				} else {
					s.answer(w, a)
				}
			}
		case <-f.left:
			s.loop.ClientLeft(f.call)
			(<-f.call.Answer).Discard()
		}
	})
}

// land ends a flight, and returns who waits for its answer.
func (s *Server) land(f *flight) []*waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.key != "" && s.flights[f.key] == f {
		delete(s.flights, f.key)
	}
	waiters := f.waiters
	f.waiters = nil
	return waiters
}

// leave tells that the client of a query has gone.
func (s *Server) leave(w *waiter) {
	s.mu.Lock()
	f := w.flight
	there := false
	for i, o := range f.waiters {
		if o == w {
			f.waiters = append(f.waiters[:i], f.waiters[i+1:]...)
			there = true
			break
		}
	}
	if there && len(f.waiters) == 0 {
		if f.key != "" && s.flights[f.key] == f {
			delete(s.flights, f.key)
		}
		close(f.left)
	}
	s.mu.Unlock()
	if there {
		s.gone(w)
	}
}

// gone counts the end of a query whose client does not wait for its answer.
func (s *Server) gone(w *waiter) {
	s.end(w)
	s.figures.Class(w.class).Errored.Inc()
}

// end ends a query that was taken.
func (s *Server) end(w *waiter) {
	s.figures.InFlight.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, w.key)
	s.gate.Done(w.client, w.proven)
	if w.conn != nil {
		s.streams.done(w.conn, w)
	}
}

// answer gives the final answer.
func (s *Server) answer(w *waiter, a core.Answer) {
	count := s.figures.Class(w.class)
	var raw []byte
	switch a.Disposition {
	case core.Served:
		var err error
		if raw, err = w.q.pack(a.Reply.Content.(*answer), s.reply(w)); err == nil {
			count.Answered.Inc()
			break
		}
		raw = w.q.refusal(dns.RcodeServerFailure, dns.ExtendedErrorCodeInvalidData, "the answer cannot be written", s.reply(w))
		count.Errored.Inc()
	case core.Rejected:
		text := "refused: try again later"
		if a.RetryAfter > 0 {
			text = fmt.Sprintf("refused: try again in %d ms", a.RetryAfter.Milliseconds())
		}
		raw = w.q.refusal(dns.RcodeRefused, dns.ExtendedErrorCodeOther, text, s.reply(w))
		count.Deferred.Inc()
	case core.FailedTimeout:
		raw = w.q.refusal(dns.RcodeServerFailure, dns.ExtendedErrorCodeNoReachableAuthority, "no answer in time", s.reply(w))
		count.Errored.Inc()
	default:
		raw = w.q.refusal(dns.RcodeServerFailure, dns.ExtendedErrorCodeNetworkError, "no server answered", s.reply(w))
		count.Errored.Inc()
	}
	// What is open ends before the answer goes: a client may use the id again at once.
	s.end(w)
	s.send(w, raw)
}

// reply is what this client gets besides the answer.
func (s *Server) reply(w *waiter) reply {
	r := reply{tcp: w.conn != nil}
	if w.q.cookie != "" {
		r.cookie = s.secret.forClient(time.Now(), w.from.Addr(), w.q.cookie)
	}
	if !s.closing.Load() {
		r.keep = s.s.Idle
	}
	return r
}

// send writes a message to the client, whole or not at all.
func (s *Server) send(w *waiter, raw []byte) {
	if raw == nil {
		s.counts.Unsent.Inc()
		return
	}
	var err error
	if w.conn != nil {
		err = w.conn.send(raw)
	} else {
		_, err = s.udp.WriteToUDPAddrPort(raw, w.from)
	}
	if err != nil {
		s.counts.Unsent.Inc()
	}
}
