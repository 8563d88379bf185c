// Package management answers operators at the second address: one line a connection, and an answer that begins with
// YES or NO, or the figures and a line END. It knows nothing of requests; what it asks of the sidecar is the
// Desk, whose calls must not wait for the data path.
package management

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"
)

// Backend is what operators' calls are answered from.
type Backend interface {
	// Status returns nil once this process can serve, or says why not.
	Status() error
	// Stats writes the figures.
	Stats(w io.Writer) error
	// Maintain takes an endpoint out of service, or calls it back. It returns once that binds.
	Maintain(ctx context.Context, id string, out bool) error
}

// Bounds on callers. A caller that finishes no call holds a connection and a goroutine at most until lineTime
// is over or a newer caller needs its place.
const (
	MaxConns     = 12
	maxLineBytes = 512
	lineTimeout  = 5 * time.Second
	callTimeout  = 900 * time.Millisecond // callers wait 1 s
	writeTimeout = 2 * time.Second
)

// Server serves one listener.
type Server struct {
	backend Backend
	log     *slog.Logger

	mu    sync.Mutex
	conns *list.List // *conn: the one that has been open for longest first
	calls sync.WaitGroup
}

type conn struct {
	net.Conn
	element  *list.Element
	lineRead bool // its line is whole: it is owed its answer
}

// New returns a server of the desk's.
func New(desk Backend, log *slog.Logger) *Server {
	return &Server{backend: desk, log: log, conns: list.New()}
}

// Serve answers callers until ctx ends, and returns once the calls that it has heard are answered.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	defer s.calls.Wait()
	stop := context.AfterFunc(ctx, func() {
		ln.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for s.evictLocked() {
		}
	})
	defer stop()
	const waitLeast, waitMost = 5 * time.Millisecond, 100 * time.Millisecond
	wait := waitLeast
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			wait = waitLeast
			s.add(ctx, nc)
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("management address: %w", err)
		default:
			s.log.Warn("management accept", "error", err)
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
			wait = min(2*wait, waitMost)
		}
	}
}

func (s *Server) add(ctx context.Context, nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns.Len() >= MaxConns && !s.evictLocked() {
		nc.Close()
		return
	}
	c := &conn{Conn: nc}
	c.element = s.conns.PushBack(c)
	s.calls.Go(func() {
		defer s.remove(c)
		s.handle(ctx, c)
	})
}

// evictLocked closes the connection that has been silent for longest.
func (s *Server) evictLocked() bool {
	for at := s.conns.Front(); at != nil; at = at.Next() {
		if c := at.Value.(*conn); !c.lineRead {
			s.conns.Remove(at)
			c.element = nil
			c.Close()
			return true
		}
	}
	return false
}

func (s *Server) remove(c *conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.element != nil {
		s.conns.Remove(c.element)
	}
}

// handle reads one line and answers it.
func (s *Server) handle(ctx context.Context, c *conn) {
	c.SetReadDeadline(time.Now().Add(lineTimeout))
	line, err := readLine(c)
	if err != nil && !errors.Is(err, errMalformedLine) {
		return // gone, silent for too long, or cut off
	}
	s.mu.Lock()
	c.lineRead = true
	evicted := c.element == nil
	s.mu.Unlock()
	if evicted {
		return
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err != nil {
		s.answer(c, "NO %v", err)
		return
	}
	// The caller's wait bounds the call, not the end of this process: what was heard is answered.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	s.execute(ctx, c, strings.Fields(line))
}

// errMalformedLine is a line that is no call.
var errMalformedLine = errors.New("malformed line")

// readLine reads up to the first end of a line. A line without one, closed after some text, is whole too.
func readLine(r io.Reader) (string, error) {
	b := bufio.NewReaderSize(r, maxLineBytes)
	text, err := b.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return "", fmt.Errorf("%w: over %d bytes", errMalformedLine, maxLineBytes)
	case errors.Is(err, io.EOF) && len(text) > 0:
	case err != nil:
		return "", err
	}
	line := strings.TrimRight(string(text), "\r\n")
	if strings.ContainsFunc(line, func(r rune) bool { return r < ' ' || r > '~' }) {
		return "", fmt.Errorf("%w: not plain text", errMalformedLine)
	}
	return line, nil
}

// execute carries out one call.
func (s *Server) execute(ctx context.Context, c io.Writer, words []string) {
	if len(words) == 0 {
		s.answer(c, "NO empty line")
		return
	}
	takes := map[string]int{"status": 0, "stats": 0, "maint-on": 1, "maint-off": 1}
	n, known := takes[words[0]]
	switch {
	case !known:
		s.answer(c, "NO unknown call")
		return
	case len(words)-1 != n:
		s.answer(c, "NO %s takes %d words, not %d", words[0], n, len(words)-1)
		return
	}
	var err error
	switch words[0] {
	case "status":
		err = s.backend.Status()
	case "stats":
		if err := s.backend.Stats(c); err == nil {
			s.answer(c, "END")
		}
		return
	default:
		err = s.backend.Maintain(ctx, words[1], words[0] == "maint-on")
		s.log.Info("maintenance call", "call", words[0], "id", words[1], "error", err)
	}
	if err != nil {
		s.answer(c, "NO %v", err)
		return
	}
	s.answer(c, "YES")
}

func (s *Server) answer(w io.Writer, format string, args ...any) {
	fmt.Fprintf(w, format+"\n", args...) // a caller that has gone needs no answer
}
