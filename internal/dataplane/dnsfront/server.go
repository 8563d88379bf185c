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

// answerMargin is subtracted from the timeout of a class, so that the final answer reaches the client in time.
const answerMargin = 5 * time.Millisecond

// pastDeadline is a read deadline that makes a pending read fail immediately.
var pastDeadline = time.Unix(1, 0)

// Sockets are the sockets that clients send queries to.
type Sockets struct {
	UDP handover.PacketSocket
	TCP handover.Socket
}

// Server receives clients' queries and gives each one final answer. A query that repeats an open query of the same
// client (with the same address, ID and question) gets no answer of its own: the client receives the answer to the open
// query. In a class that shares answers, a query with the same question as an open query of any client gets the answer
// to that query with its own ID. Server's methods may be called from any goroutine.
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
	inFlight      sync.WaitGroup // running lookups, answers being written, and clients' connections

	mu            sync.Mutex
	admission     *limit.Admission
	openQueries   map[repeatKey]struct{}
	sharedLookups map[string]*lookupState // lookups that other queries may join, by lookupState.key
	conns         *clientConns

	acceptMu sync.Mutex // serializes Open, StopAccepting and the end of Wait
	udp      *net.UDPConn
	tcp      net.Listener   // nil while the server does not accept
	readers  sync.WaitGroup // the goroutines that receive datagrams and accept connections
}

// NewServer returns a server that submits queries to eventLoop. It accepts none before Open.
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
		openQueries:   map[repeatKey]struct{}{},
		sharedLookups: map[string]*lookupState{},
		conns:         newClientConns(settings.MaxClientConns),
	}
}

// Open starts accepting queries. onFailure is called once if reading from the UDP socket fails; a failure to accept a
// connection is logged, and accepting continues.
func (s *Server) Open(onFailure func(error)) error {
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
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
			onFailure(err)
		}
	})
	s.readers.Go(func() { s.serveTCP(tcp) })
	return nil
}

// openUDP opens the UDP socket. After StopAccepting the socket is still open for answers, and its reads are enabled
// again.
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

// StopAccepting stops reading datagrams and accepting connections. Queries on open connections are still accepted.
// Datagrams that were not read remain for another process that shares the socket. Further calls do nothing.
func (s *Server) StopAccepting() {
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
	if s.tcp == nil {
		return
	}
	_ = s.udp.SetReadDeadline(pastDeadline) // fails only for a closed socket, whose read fails as well
	s.tcp.Close()
	s.tcp = nil
	s.readers.Wait()
}

// SetClosing sets whether connections are closed soon after they become idle.
func (s *Server) SetClosing(closing bool) {
	s.closing.Store(closing)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.closing = closing
}

// CloseIdle closes all connections without an open query.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.closeIdleFor(0)
}

// CloseUnused closes all connections without an open query, whether or not one has arrived on them, and returns 0. No
// connection needs to be spared: a client sends its query right after connecting, and connects again if that fails.
func (s *Server) CloseUnused(bool) int {
	s.CloseIdle()
	return 0
}

// SetCapacityShare sets this process's share of the limits, from 0 to 1.
func (s *Server) SetCapacityShare(_ *config.Config, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Resize(int(float64(s.settings.Limit.MaxOpen) * share))
	s.conns.maxConns = max(1, int(float64(s.settings.MaxClientConns)*share))
}

// CloseIdleFor closes connections that have had no open query for at least age. It returns how many connections remain
// plus the number of open queries, which includes those over UDP.
func (s *Server) CloseIdleFor(age time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.closeIdleFor(age)
	return s.conns.len() + s.admission.OpenQueries()
}

// Wait waits until all accepted queries have been answered and all connections have ended. It then closes the UDP
// socket, over which answers were still sent.
func (s *Server) Wait() {
	s.inFlight.Wait()
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
	if s.udp != nil {
		s.udp.Close()
		s.udp = nil
	}
}

// serveUDP receives queries over UDP. It returns nil after StopAccepting, else the error of the failed read.
func (s *Server) serveUDP(conn *net.UDPConn) error {
	buf := make([]byte, dns.MaxMsgSize)
	for {
		size, clientAddr, err := conn.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			s.receive(append([]byte(nil), buf[:size]...), clientAddr, nil)
		case endsReading(err):
			return nil
		default:
			return fmt.Errorf("dns: %w", err)
		}
	}
}

// endsReading reports whether err results from the server's own end of reading or accepting: a closed socket or an
// expired deadline.
func endsReading(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
