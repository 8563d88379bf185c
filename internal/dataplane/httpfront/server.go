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

// Server reads clients' requests and writes their answers.
type Server struct {
	loop        *core.EventLoop
	clients     *clients
	figures     *metrics.Registry
	bodies      *bytebudget.Budget // bytes of buffered bodies
	closing     atomic.Bool
	socket      handover.Socket
	limits      core.Limiter // or nil
	log         *slog.Logger
	allRejected rejectionEpisode
	unwritten   *metrics.Counter // answers that the client's connection did not take

	mu          sync.Mutex
	listener    net.Listener
	acceptEnded chan struct{} // closed once that ended
}

// NewServer returns a server that submits its requests to l. Open begins to accept.
func NewServer(c *config.Config, l *core.EventLoop, socket handover.Socket, figures *metrics.Registry,
	log *slog.Logger) *Server {
	s := &Server{loop: l, socket: socket, figures: figures, bodies: bytebudget.New(c.MaxBufferedBytes(1)), log: log}
	s.clients = newClients(c.MaxClientConns(1), s.serve, &figures.Unanswered, log)
	s.clients.full = figures.NewCounter("full_total")
	s.unwritten = figures.NewCounter("unwritten_total")
	return s
}

// SetLimiter has l admit each request. It is called before Open.
func (s *Server) SetLimiter(l core.Limiter) { s.limits = l }

// Open begins to accept connections. Accepting is retried after errors, so that broken is never called.
func (s *Server) Open(_ func(error)) error {
	ln, err := s.socket.Listen()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := make(chan struct{})
	s.listener = ln
	s.acceptEnded = ended
	go func() {
		s.clients.accept(ln)
		close(ended)
	}()
	return nil
}

// StopAccepting stops accepting; it may have been stopped before. Connections that the system has accepted by then
// are served: closing the listener would reset them, with requests that were written to them.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	ln, ended := s.listener, s.acceptEnded
	s.listener = nil
	s.mu.Unlock()
	if ln == nil {
		return
	}
	if acceptUntil(ln, time.Now().Add(finalAcceptTimeout)) {
		<-ended
	}
	ln.Close()
	<-ended
}

// acceptUntil sets a listener's deadline, and reports whether that was possible.
func acceptUntil(ln net.Listener, at time.Time) bool {
	timed, ok := ln.(interface{ SetDeadline(time.Time) error })
	return ok && timed.SetDeadline(at) == nil
}

// SetClosing says whether each answer closes its connection. Readiness checks fail then.
func (s *Server) SetClosing(on bool) { s.closing.Store(on) }

// SetCapacityShare sets this process's part of the limits.
func (s *Server) SetCapacityShare(c *config.Config, part float64) {
	s.clients.resize(c.MaxClientConns(part))
	s.bodies.Resize(c.MaxBufferedBytes(part))
}

// CloseIdleFor closes connections that were used and have been idle for longer than age, and returns how many are
// open.
func (s *Server) CloseIdleFor(age time.Duration) int { return s.clients.closeIdleFor(age) }

// CloseIdle closes connections that were used and are idle; others close with their answers.
func (s *Server) CloseIdle() { s.clients.closeIdle() }

// CloseUnused closes connections that have sent no request, all or those that are not expected to, and returns how
// many are left.
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

// The margin is subtracted from the client's time, so that the final answer reaches the client in time: a part of a
// short time, and maxAnswerMargin of a long one.
const (
	maxAnswerMargin     = 5 * time.Millisecond
	answerMarginDivisor = 20
)

// AnswerMargin returns the margin of a client's time, in microseconds. Calls may pass several sidecars in a row,
// each of which waits for as long as the one before allows: a fixed margin would leave nothing of a short time
// after some levels. Of a time that is no longer than the margin all is margin: nothing is begun.
func AnswerMargin(left balancer.Micros) balancer.Micros {
	limit := maxAnswerMargin.Microseconds()
	if left <= limit {
		return left
	}
	return min(limit, left/answerMarginDivisor)
}

const (
	// MaxHeaderBytes bounds a request's head.
	MaxHeaderBytes = 16 << 10
	// RequestTimeout is for a request's head, from its first byte or the beginning of the connection.
	RequestTimeout = 2700 * time.Millisecond

	budgetTimeout      = 2 * time.Second      // for the memory of a body
	idleTimeout        = 15 * time.Second     // between requests
	finalAcceptTimeout = 5 * time.Millisecond // for connections that the system has accepted, before the listener closes
)
