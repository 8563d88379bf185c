package dnsfront

import (
	"bufio"
	"container/list"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	clientReadTimeout  = 2 * time.Second // for a message, from its first byte
	clientWriteTimeout = 2 * time.Second
	acceptBackoff      = 5 * time.Millisecond
	closingIdleTimeout = 100 * time.Millisecond // for a connection while the server closes

	clientSendBuffer = 128 << 10 // bytes of answers to a client that reads none; the system's default is megabytes
	clientReadBuffer = 2048      // bytes
)

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	from    netip.AddrPort
	slots   chan struct{} // holds one value for each query that is open or being received
	writeMu sync.Mutex

	// Guarded by Server.mu.
	open        map[*openQuery]struct{}
	idleSince   time.Time     // without an open query
	idleElement *list.Element // in clientConns.idle; nil while there are open queries, and once closed
	closed      bool
}

// serveTCP accepts connections until ln is closed.
func (s *Server) serveTCP(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			s.addConn(nc)
		case endsReading(err):
			return
		default:
			s.log.Warn("dns: accept", "error", err)
			s.mu.Lock()
			s.conns.evict()
			s.mu.Unlock()
			time.Sleep(acceptBackoff) // the process may have run out of descriptors
		}
	}
}

// addConn serves a new connection, or closes it where all others have open queries and no more may be open.
func (s *Server) addConn(nc net.Conn) {
	from, err := netip.ParseAddrPort(nc.RemoteAddr().String())
	if err != nil {
		nc.Close()
		return
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(clientSendBuffer) // without it, more memory is used
	}
	c := &clientConn{
		Conn:  nc,
		from:  from,
		slots: make(chan struct{}, s.settings.MaxQueriesPerConn),
		open:  map[*openQuery]struct{}{},
	}
	s.mu.Lock()
	added := s.conns.add(c)
	s.mu.Unlock()
	if !added {
		nc.Close()
		return
	}
	s.inFlight.Go(func() { s.serveConn(c) })
}

// serveConn receives a client's queries, however many of them are open, until the connection ends. At the limit of
// open queries it does not read until one has its answer.
func (s *Server) serveConn(c *clientConn) {
	r := bufio.NewReaderSize(c, clientReadBuffer)
	for {
		raw, err := s.readQuery(c, r)
		if err != nil {
			break
		}
		c.slots <- struct{}{}
		s.receive(raw, c.from, c)
		s.freeUnusedSlot(c)
	}
	for _, w := range s.removeConn(c) {
		s.clientLeft(w)
	}
}

// readQuery reads the next query. It fails once the connection has been idle for the idle timeout.
func (s *Server) readQuery(c *clientConn, r *bufio.Reader) ([]byte, error) {
	for {
		_ = c.SetReadDeadline(time.Now().Add(s.idleTimeout())) // fails only once closed, and then so does the read
		_, err := r.Peek(1)
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !s.hasOpenQueries(c) {
			return nil, err
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(clientReadTimeout))
	return readFrame(r, nil)
}

// freeUnusedSlot frees the slot of a query that was rejected, or that repeats an open one.
func (s *Server) freeUnusedSlot(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(c.open) < len(c.slots) {
		<-c.slots
	}
}

// removeConn closes a connection, and returns its open queries.
func (s *Server) removeConn(c *clientConn) []*openQuery {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.remove(c)
	open := make([]*openQuery, 0, len(c.open))
	for w := range c.open {
		open = append(open, w)
	}
	return open
}

// idleTimeout returns how long a connection stays open without a query.
func (s *Server) idleTimeout() time.Duration {
	if s.closing.Load() {
		return closingIdleTimeout
	}
	return s.settings.IdleTimeout
}

func (s *Server) hasOpenQueries(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(c.open) > 0
}

// send writes a message with its length before it. If the client does not read it in time, its connection is closed.
func (c *clientConn) send(raw []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	err := c.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if err == nil {
		_, err = c.Write(appendFrame(make([]byte, 0, len(raw)+frameHeaderSize), raw))
	}
	if err != nil {
		c.Close()
	}
	return err
}
