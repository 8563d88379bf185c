package dnsfront

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/dnsfront/limit"
	"birchmoor/internal/dataplane/dnsfront/route"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/platform/metrics"
)

// answerMargin is subtracted from a class's timeout, so that the final answer reaches the client within it.
const answerMargin = 5 * time.Millisecond

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// Sockets are the sockets that clients send queries to.
type Sockets struct {
	UDP handover.PacketSocket
	TCP handover.Socket
}

// Server receives clients' queries and gives each one final answer. A query that repeats an open one of the same
// client (same ID, address and question) is answered by the open one; in a class that shares answers, a query with
// the same question as an open one gets that one's answer. Its methods may be called from any goroutine.
type Server struct {
	eventLoop     *core.EventLoop
	settings      *Settings
	routes        *route.Table
	counters      *Counters
	metrics       *metrics.Registry
	log           *slog.Logger
	secret        *cookieSecret
	sockets       Sockets
	closing       atomic.Bool
	lastRequestID atomic.Uint64
	inFlight      sync.WaitGroup // lookups, and clients' connections

	mu            sync.Mutex
	admission     *limit.Admission
	openQueries   map[queryID]struct{}
	sharedLookups map[string]*lookup // those that other queries may join, by class and question
	conns         *clientConns

	accepting sync.Mutex // one call of Open or StopAccepting at a time
	udp       *net.UDPConn
	tcp       net.Listener
	readers   sync.WaitGroup // the goroutines that read from the sockets
}

// NewServer returns a server that submits queries to eventLoop.
func NewServer(
	settings *Settings, eventLoop *core.EventLoop, sockets Sockets,
	counters *Counters, registry *metrics.Registry, log *slog.Logger,
) *Server {
	classes := make([]route.Class, len(settings.Classes))
	for i := range settings.Classes {
		classes[i] = settings.Classes[i].Route
	}
	return &Server{
		eventLoop:     eventLoop,
		settings:      settings,
		routes:        route.New(classes),
		counters:      counters,
		metrics:       registry,
		log:           log,
		secret:        newCookieSecret(),
		sockets:       sockets,
		admission:     limit.New(settings.Limit),
		openQueries:   map[queryID]struct{}{},
		sharedLookups: map[string]*lookup{},
		conns:         newClientConns(settings.MaxClientConns),
	}
}

// Open begins to accept queries. It calls broken once for each transport whose reading ends with an error.
func (s *Server) Open(broken func(error)) error {
	s.accepting.Lock()
	defer s.accepting.Unlock()
	if err := s.openUDP(); err != nil {
		return fmt.Errorf("dns: %w", err)
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
	s.readers.Go(func() { s.serveTCP(tcp) })
	return nil
}

// openUDP opens the UDP socket, or lets the one that was retained for answers read again.
func (s *Server) openUDP() error {
	if s.udp != nil {
		return s.udp.SetReadDeadline(time.Time{})
	}
	udp, err := s.sockets.UDP.ListenPacket()
	if err != nil {
		return err
	}
	s.udp = udp
	return nil
}

// StopAccepting accepts nothing new from the sockets; queries on open connections are still accepted. Datagrams that
// were not read stay for the process that shares the socket.
func (s *Server) StopAccepting() {
	s.accepting.Lock()
	defer s.accepting.Unlock()
	if s.tcp == nil {
		return
	}
	_ = s.udp.SetReadDeadline(past) // fails only for a closed socket, which ends the read as well
	s.tcp.Close()
	s.tcp = nil
	s.readers.Wait()
}

// SetClosing sets whether connections are to be closed once they are idle.
func (s *Server) SetClosing(closing bool) {
	s.closing.Store(closing)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.closing = closing
}

// CloseIdle closes connections without an open query.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.closeIdleFor(0)
}

// CloseUnused closes connections without an open query, whether or not they have had one: a client that connects to
// send a query sends it at once, or connects again.
func (s *Server) CloseUnused(bool) int {
	s.CloseIdle()
	return 0
}

// SetCapacityShare sets the fraction of the limits that this process may use.
func (s *Server) SetCapacityShare(_ *config.Config, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Resize(int(float64(s.settings.Limit.MaxOpen) * share))
	s.conns.maxConns = max(1, int(float64(s.settings.MaxClientConns)*share))
}

// CloseIdleFor closes connections that have been without a query for at least age, and returns how many connections
// and queries are still open.
func (s *Server) CloseIdleFor(age time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.closeIdleFor(age)
	return s.conns.len() + s.admission.Open()
}

// Wait returns once every accepted query has its answer and all connections have ended, and closes the UDP socket.
func (s *Server) Wait() {
	s.inFlight.Wait()
	s.accepting.Lock()
	defer s.accepting.Unlock()
	if s.udp != nil {
		s.udp.Close()
		s.udp = nil
	}
}

// serveUDP receives queries over UDP until reading ends.
func (s *Server) serveUDP(conn *net.UDPConn) error {
	buf := make([]byte, dns.MaxMsgSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			s.receive(append([]byte(nil), buf[:n]...), from, nil)
		case endsReading(err):
			return nil
		default:
			return fmt.Errorf("dns: %w", err)
		}
	}
}

// endsReading reports whether err is how the server's own end of reading or accepting shows.
func endsReading(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
