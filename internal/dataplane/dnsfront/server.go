package dnsfront

import (
	"crypto/rand"
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

// Server takes clients' queries and gives each one answer. Those of one client that repeat an open one (the same id,
// address and question) join it; those that ask the same as an open one of a class that shares get its answer.
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
	inFlight      sync.WaitGroup // flights, and clients' connections

	mu            sync.Mutex
	admission     *limit.Admission
	openQueries   map[queryID]struct{}
	sharedLookups map[string]*lookup // those that others may join
	conns         clientConns

	accepting sync.Mutex // one call of Open or StopAccepting at a time
	udp       *net.UDPConn
	tcp       net.Listener
	readers   sync.WaitGroup // of taking queries
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

// Sockets is where clients ask.
type Sockets struct {
	UDP handover.PacketSocket
	TCP handover.Socket
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

// isReadEnd says whether an error is how our own end of reading shows.
func (s *Server) isReadEnd(err error) bool {
	var timeout net.Error
	return errors.Is(err, net.ErrClosed) || errors.As(err, &timeout) && timeout.Timeout()
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

// answerMargin is kept from a class's give-up, so that the final answer reaches the client before that is up.
const answerMargin = 5 * time.Millisecond
