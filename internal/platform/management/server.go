// Package management answers operators at the second address: one line a connection, and an answer that begins with
// YES or NO, or metrics and a line END. It knows nothing of requests: it calls a Backend, which must not wait for
// the data path. It imports nothing of this module.
package management

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"
)

// MaxConns is how many connections are open at once. One that has sent no line may be closed for a newer one.
const MaxConns = 12

const (
	lineTimeout  = 5 * time.Second
	callTimeout  = 900 * time.Millisecond // callers wait 1 s
	writeTimeout = 2 * time.Second

	minAcceptDelay = 5 * time.Millisecond // after an accept that failed; doubles each time
	maxAcceptDelay = 100 * time.Millisecond
)

// Server serves the connections of a listener.
type Server struct {
	backend Backend
	log     *slog.Logger
	workers sync.WaitGroup

	mu    sync.Mutex
	conns *list.List // of *conn, the oldest first
}

// conn is a connection. The Server's lock guards its fields.
type conn struct {
	net.Conn
	element  *list.Element // in Server.conns; nil: evicted
	lineRead bool          // its call is to be answered, so that it is not evicted
}

// New returns a server that calls a backend.
func New(backend Backend, log *slog.Logger) *Server {
	return &Server{backend: backend, log: log, conns: list.New()}
}

// Serve answers callers until ctx ends, and returns once all calls that were read are answered. It returns an error
// if the listener was closed before.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	defer s.workers.Wait()
	stop := context.AfterFunc(ctx, func() {
		closeQuietly(ln)
		s.evictAll()
	})
	defer stop()
	delay := minAcceptDelay
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			delay = minAcceptDelay
			s.add(ctx, nc)
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("management address: %w", err)
		default:
			s.log.Warn("accepting a management connection failed", "error", err)
			sleep(ctx, delay)
			delay = min(2*delay, maxAcceptDelay)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// closeQuietly closes what is no longer of use, whatever its state.
func closeQuietly(c interface{ Close() error }) { _ = c.Close() }

// add handles a new connection, unless calls are being answered on all others.
func (s *Server) add(ctx context.Context, nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns.Len() >= MaxConns && !s.evictLocked() {
		closeQuietly(nc)
		return
	}
	c := &conn{Conn: nc}
	c.element = s.conns.PushBack(c)
	s.workers.Go(func() {
		defer s.remove(c)
		s.handle(ctx, c)
	})
}

// evictAll closes the connections that have sent no line.
func (s *Server) evictAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.evictLocked() {
		continue
	}
}

// evictLocked closes the oldest connection that has sent no line. It returns false if there is none.
func (s *Server) evictLocked() bool {
	for element := s.conns.Front(); element != nil; element = element.Next() {
		c := element.Value.(*conn)
		if c.lineRead {
			continue
		}
		s.conns.Remove(element)
		c.element = nil
		closeQuietly(c)
		return true
	}
	return false
}

func (s *Server) remove(c *conn) {
	closeQuietly(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.element != nil {
		s.conns.Remove(c.element)
	}
}

// markRead notes that a connection has sent its line. It returns false if the connection was evicted.
func (s *Server) markRead(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.lineRead = true
	return c.element != nil
}

// handle reads a line and answers it.
func (s *Server) handle(ctx context.Context, c *conn) {
	_ = c.SetReadDeadline(time.Now().Add(lineTimeout)) // of a closed connection: the read fails
	line, err := readLine(c)
	if err != nil && !errors.Is(err, errMalformedLine) {
		return // the caller is gone, silent or evicted
	}
	if !s.markRead(c) {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // of a closed connection: the write fails
	if err != nil {
		answer(c, "NO %v", err)
		return
	}
	// A call that was read is answered even if this process is ending.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	s.execute(ctx, c, line)
}
