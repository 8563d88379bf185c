// Package httpfront implements HTTP/1.1 towards clients and endpoints: Server reads clients' requests and writes their
// answers, Upstream sends attempts and probes to endpoints. Bodies longer than MaxBufferedBodyBytes are streamed in
// both directions (upload.go, download.go).
package httpfront

import (
	"fmt"
	"log/slog"
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

// Server accepts clients' connections, submits their requests to the event loop, and writes their answers. Its methods
// are safe for concurrent use, except for Open and SetLimiter.
type Server struct {
	loop        *core.EventLoop
	clients     *clients
	figures     *metrics.Registry
	bodies      *bytebudget.Budget // bytes of bodies that are buffered, up to shortBodyBytes each
	longBodies  *bytebudget.Budget // bytes of bodies beyond that, and of those read ahead
	heads       *bytebudget.Budget // memory of heads beyond maxUnbudgetedHead each
	closing     atomic.Bool
	socket      handover.Socket
	limits      core.Limiter // quotas of the fleet; nil for none
	log         *slog.Logger
	allRejected rejectionEpisode
	unwritten   *metrics.Counter // answers whose write to the client failed
	// headsRejected counts requests that were rejected since heads took all of their memory.
	headsRejected *metrics.Counter
	requestEvents *eventLog        // requests that ended without being served
	rejectEvents  *eventLog        // requests that were not accepted
	answersCut    *metrics.Counter // streamed answers that the endpoint broke off
	answersUnread *metrics.Counter // streamed answers that the client did not take to the end
	bodiesFailed  *metrics.Counter // streamed bodies that were not forwarded to their end

	mu       sync.Mutex
	acceptor *acceptor // the latest one, which may have been stopped; nil before Open
}

// NewServer returns a server that submits its requests to l. It accepts no connection before Open.
func NewServer(c *config.Config, l *core.EventLoop, socket handover.Socket, figures *metrics.Registry,
	log *slog.Logger) *Server {
	s := &Server{loop: l, socket: socket, figures: figures, log: log}
	s.bodies = bytebudget.New(0)
	s.longBodies = bytebudget.New(0)
	s.resizeBodies(c.MaxBufferedBytes(1))
	s.heads = bytebudget.New(c.MaxBufferedBytes(1))
	s.clients = newClients(c.MaxClientConns(1), s.serve, &figures.Unanswered, log)
	s.clients.closedWhenFull = figures.NewCounter("full_total")
	s.unwritten = figures.NewCounter("unwritten_total")
	s.headsRejected = figures.NewCounter("heads_rejected_total")
	s.answersCut = figures.NewCounter("answers_cut_total")
	s.answersUnread = figures.NewCounter("answers_unread_total")
	s.bodiesFailed = figures.NewCounter("bodies_failed_total")
	s.requestEvents = newEventLog(log, "request ended without being served")
	s.rejectEvents = newEventLog(log, "request not accepted")
	return s
}

// SetLimiter has each request admitted by l before it is submitted. It must be called before Open.
func (s *Server) SetLimiter(l core.Limiter) { s.limits = l }

// Open begins to accept connections. Its parameter, which would be called if the server broke, is not used: accepting
// is retried after errors.
func (s *Server) Open(_ func(error)) error {
	ln, err := s.socket.Listen()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptor = startAcceptor(ln, s.clients.accept)
	return nil
}

// StopAccepting stops accepting, and has no effect if that was done before. When it returns, all connections that were
// accepted count as open, also if another goroutine has called it first. Connections that the system has accepted by
// then are still served.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	current := s.acceptor
	s.mu.Unlock()
	if current != nil {
		current.stop()
	}
}

// SetClosing sets whether each answer closes its connection and readiness checks fail, as during a shutdown.
func (s *Server) SetClosing(closing bool) { s.closing.Store(closing) }

// SetCapacityShare sets this process's share of the limits on connections, buffered bodies and heads, from 0 to 1.
// During an upgrade, two processes share them.
func (s *Server) SetCapacityShare(c *config.Config, share float64) {
	s.clients.resize(c.MaxClientConns(share))
	s.resizeBodies(c.MaxBufferedBytes(share))
	s.heads.Resize(c.MaxBufferedBytes(share))
}

// CloseIdleFor closes connections that have had a request and have been idle for longer than age. It returns how many
// connections of any kind are open.
func (s *Server) CloseIdleFor(age time.Duration) int { return s.clients.closeIdleFor(age) }

// CloseIdle closes idle connections that have had a request; those with an open request close with their answers.
func (s *Server) CloseIdle() { s.clients.closeIdle() }

// CloseUnused closes new connections that have been silent for so long that no request is expected or, if all is set,
// every connection without an open request. It returns how many connections have had no request so far or are reading
// a further one.
func (s *Server) CloseUnused(all bool) int { return s.clients.closeUnused(all) }

// Wait returns once all connections are closed.
func (s *Server) Wait() { s.clients.serving.Wait() }

// serve serves a connection, one request at a time. A new connection has RequestTimeout for its first request.
func (s *Server) serve(c *client) {
	c.paced.head = headMeter{budget: s.heads, acquire: func(bytes int) bool { return s.acquireHeadMemory(c, bytes) }}
	headDeadline := time.Now().Add(RequestTimeout)
	for s.exchange(c, headDeadline) {
		headDeadline = time.Time{}
	}
}

// The answer margin is subtracted from the client's timeout, so that the final answer reaches the client in time. It is
// a fraction of a short timeout, and maxAnswerMargin for a long one.
const (
	maxAnswerMargin     = 5 * time.Millisecond
	answerMarginDivisor = 20
)

// AnswerMargin returns the margin for a client's timeout, both in microseconds. Calls may pass several sidecars in a
// row, each with the time that the previous one left: a fixed margin would use up a short timeout after a few levels.
// For a timeout no longer than maxAnswerMargin the margin is all of it, and no attempt begins.
func AnswerMargin(left balancer.Micros) balancer.Micros {
	limit := maxAnswerMargin.Microseconds()
	if left <= limit {
		return left
	}
	return min(limit, left/answerMarginDivisor)
}

const (
	// MaxHeaderBytes bounds a request's head: request line and headers.
	MaxHeaderBytes = 16 << 10
	// RequestTimeout is the time for a request's head, from its first byte, or from the beginning of a new connection.
	RequestTimeout = 2700 * time.Millisecond

	bodyMemoryTimeout = 2 * time.Second        // a request waits no longer than that for memory for its body
	headMemoryTimeout = 250 * time.Millisecond // a request waits no longer than that for memory for a part of its head
	idleTimeout       = 15 * time.Second       // between two requests of a connection
)
