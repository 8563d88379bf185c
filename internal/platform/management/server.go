// Package management serves operators' calls at the sidecar's management address. A connection has one call, a line of
// text. The answer is a line that begins with YES or NO, or the metrics and a line END. The package does not depend on
// the data path: it calls a Backend, which must not wait for requests in flight. It imports nothing of this module.
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

// MaxConns is the maximum number of open connections. A new connection beyond it replaces the oldest one that has not
// sent a line yet.
const MaxConns = 12

const (
	lineTimeout  = 5 * time.Second
	callTimeout  = 900 * time.Millisecond // below the 1 s that callers wait
	writeTimeout = 2 * time.Second

	minAcceptDelay = 5 * time.Millisecond // after a failed accept; doubles with each further failure
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

// conn is a connection of a caller. Server.mu guards its fields.
type conn struct {
	net.Conn
	element  *list.Element // in Server.conns; nil once evicted
	lineRead bool          // whether its line was read: then it is not evicted, since its call must be answered
}

// New returns a server that passes calls to a backend.
func New(backend Backend, log *slog.Logger) *Server {
	return &Server{backend: backend, log: log, conns: list.New()}
}

// Serve answers callers until ctx ends, and returns once all calls that were read are answered. It returns an error if
// the listener is closed before ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	defer s.workers.Wait()
	stop := context.AfterFunc(ctx, func() {
		closeQuietly(ln)
		s.evictAll()
	})
	defer stop()
	retryDelay := minAcceptDelay
	for {
		netConn, err := ln.Accept()
		switch {
		case err == nil:
			retryDelay = minAcceptDelay
			s.add(ctx, netConn)
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("management address: %w", err)
		default:
			s.log.Warn("accepting a management connection failed", "error", err)
			sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxAcceptDelay)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// closeQuietly closes c and ignores the error, since c is no longer needed or closed already.
func closeQuietly(c interface{ Close() error }) { _ = c.Close() }

// add handles a new connection. It closes the connection at once if MaxConns others are open and none can be evicted.
func (s *Server) add(ctx context.Context, netConn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns.Len() >= MaxConns && !s.evictLocked() {
		closeQuietly(netConn)
		return
	}
	c := &conn{Conn: netConn}
	c.element = s.conns.PushBack(c)
	s.workers.Go(func() {
		defer s.remove(c)
		s.handle(ctx, c)
	})
}

// evictAll closes all connections that have not sent a line.
func (s *Server) evictAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.evictLocked() {
		continue
	}
}

// evictLocked closes the oldest connection that has not sent a line. It returns false if there is none. The caller must
// hold s.mu.
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

// markRead records that the line of a connection was read. It returns false if the connection was evicted before.
func (s *Server) markRead(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.lineRead = true
	return c.element != nil
}

// handle reads the line of a connection and answers it.
func (s *Server) handle(ctx context.Context, c *conn) {
	_ = c.SetReadDeadline(time.Now().Add(lineTimeout)) // fails on a closed connection, as the read does
	line, err := readLine(c)
	if err != nil && !errors.Is(err, errMalformedLine) {
		return // the caller has closed, sent nothing in time, or was evicted
	}
	if !s.markRead(c) {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails on a closed connection, as the write does
	if err != nil {
		answer(c, "NO %v", err)
		return
	}
	// A call that was read is answered even if ctx ends because the process is stopping.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	s.execute(ctx, c, line)
}
