// Package httpfront is HTTP/1.1 on both sides: Server takes clients' requests and gives their answers, Upstream makes
// attempts and probes at endpoints. What is longer than BodyMost flows through, piece by piece (flow.go).
package httpfront

import (
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/bytebudget"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/platform/metrics"
)

// Server takes clients' requests and gives their answers.
type Server struct {
	loop        *core.EventLoop
	clients     *clients
	figures     *metrics.Registry
	bodies      *bytebudget.Budget // bytes of bodies that are held
	closing     atomic.Bool
	socket      handover.Socket
	limits      core.Limiter // or nil
	log         *slog.Logger
	allRejected rejectionEpisode

	mu          sync.Mutex
	listener    net.Listener
	acceptEnded chan struct{} // closed once that ended
}

// NewServer returns a server that brings its requests to l.
func NewServer(c *config.Config, l *core.EventLoop, socket handover.Socket, figures *metrics.Registry, log *slog.Logger) *Server {
	s := &Server{loop: l, socket: socket, figures: figures, bodies: bytebudget.New(c.MaxBufferedBytes(1)), log: log}
	s.clients = newClients(c.MaxClientConns(1), s.serve, &figures.Unanswered, log)
	return s
}

// SetLimiter has requests let through by l alone. It is called before Open.
func (s *Server) SetLimiter(l core.Limiter) { s.limits = l }

// Open begins to accept connections. It is told if that ends unasked.
func (s *Server) Open(broken func(error)) error {
	ln, err := s.socket.Listen()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := make(chan struct{})
	s.listener, s.acceptEnded = ln, ended
	go func() {
		err := s.clients.accept(ln)
		close(ended)
		if err != nil {
			broken(err)
		}
	}()
	return nil
}

// StopAccepting stops accepting; it may have been stopped before. What the system has accepted by then is taken: closing would
// reset it, and a request that has been written to it.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	ln, ended := s.listener, s.acceptEnded
	s.listener = nil
	s.mu.Unlock()
	if ln == nil {
		return
	}
	if timed, ok := ln.(interface{ SetDeadline(time.Time) error }); ok && timed.SetDeadline(time.Now().Add(finalAcceptTimeout)) == nil {
		<-ended
	}
	ln.Close()
	<-ended
}

// SetClosing says whether each answer is to close its connection. Clients are told that the server is not ready then.
func (s *Server) SetClosing(on bool) { s.closing.Store(on) }

// SetCapacityShare sets the part of the limits that is for this process.
func (s *Server) SetCapacityShare(c *config.Config, part float64) {
	s.clients.resize(c.MaxClientConns(part))
	s.bodies.Resize(c.MaxBufferedBytes(part))
}

// CloseIdleFor closes the connections that were used and have been idle for longer than age, and returns how many are open.
func (s *Server) CloseIdleFor(age time.Duration) int { return s.clients.closeIdleFor(age) }

// CloseIdle closes idle connections that were used; others close once they have their answers.
func (s *Server) CloseIdle() { s.clients.closeIdle() }

// CloseUnused closes the connections that have asked nothing, all or those that are not about to, and returns how many
// of them are left.
func (s *Server) CloseUnused(all bool) int { return s.clients.closeUnused(all) }

// Wait returns once all connections have ended.
func (s *Server) Wait() { s.clients.serving.Wait() }

// serve serves a connection, one request at a time.
func (s *Server) serve(c *client) {
	until := time.Now().Add(RequestTimeout)
	for s.exchange(c, until) {
		until = time.Time{}
	}
}

// maxAnswerMargin is kept from the client's time, so that the final answer reaches it before that is up; of a time that is short, but
// longer than this, one part in marginShare.
const (
	maxAnswerMargin     = 5 * time.Millisecond
	answerMarginDivisor = 20
)

// AnswerMargin is what is kept of a client's time, in microseconds. Calls come in rows: each level is told what the one above will wait,
// which may be little beside its own client's time, and were 5 ms kept of that at each, the eleventh would have none of 50 ms. A time
// that is no longer than the margin is all kept: nothing is begun in it.
func AnswerMargin(left balancer.Micros) balancer.Micros {
	most := maxAnswerMargin.Microseconds()
	if left <= most {
		return left
	}
	return min(most, left/answerMarginDivisor)
}

const (
	MaxHeaderBytes     = 16 << 10
	RequestTimeout     = 2700 * time.Millisecond // for a head, from its first byte or the connection's beginning
	budgetTimeout      = 2 * time.Second         // for room for a body
	idleTimeout        = 15 * time.Second        // between requests
	finalAcceptTimeout = 5 * time.Millisecond    // to take what waits to be accepted, before that ends
)
