package dnsfront

import (
	"bufio"
	"container/list"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	clientReadTimeout  = 2 * time.Second // for a message, from its first byte
	clientWriteTimeout = 2 * time.Second // a client that takes nothing for so long is given up
	acceptBackoff      = 5 * time.Millisecond
	clientSendBuffer   = 128 << 10              // bytes of answers that the system holds for a client that does not take them
	closingIdleTimeout = 100 * time.Millisecond // for a connection while the server ends
)

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	from    netip.AddrPort
	slots   chan struct{} // one for each query that may be open
	writeMu sync.Mutex

	// Guarded by Server.mu.
	open        map[*openQuery]struct{}
	idleSince   time.Time     // without an open query
	idleElement *list.Element // among the idle; nil while there are open queries, and at the end
	closed      bool
}

// serveTCP takes connections until ln is closed.
func (s *Server) serveTCP(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if s.isReadEnd(err) {
				return nil
			}
			s.log.Warn("dns: accept", "error", err)
			s.mu.Lock()
			s.conns.evict()
			s.mu.Unlock()
			time.Sleep(acceptBackoff) // no descriptor is left, perhaps
			continue
		}
		from, err := netip.ParseAddrPort(nc.RemoteAddr().String())
		if err != nil {
			nc.Close()
			continue
		}
		if tcp, ok := nc.(*net.TCPConn); ok {
			tcp.SetWriteBuffer(clientSendBuffer) // left to itself the system takes megabytes
		}
		c := &clientConn{Conn: nc, from: from, slots: make(chan struct{}, s.settings.MaxQueriesPerConn), open: map[*openQuery]struct{}{}}
		s.mu.Lock()
		ok := s.conns.add(c)
		s.mu.Unlock()
		if !ok {
			nc.Close() // all others have open queries
			continue
		}
		s.inFlight.Go(func() { s.serveConn(c) })
	}
}

// serveConn takes a client's queries one behind the other, however many of them wait for answers, until it ends or has as many
// open as it may: then it is not read until one is answered.
func (s *Server) serveConn(c *clientConn) {
	r := bufio.NewReaderSize(c, 2048)
	for {
		c.SetReadDeadline(time.Now().Add(s.idleTimeout()))
		if _, err := r.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && s.hasOpenQueries(c) {
				continue
			}
			break
		}
		c.SetReadDeadline(time.Now().Add(clientReadTimeout))
		raw, err := readFrame(r, nil)
		if err != nil {
			break
		}
		c.slots <- struct{}{}
		s.receive(raw, c.from, c)
		s.mu.Lock()
		if len(c.open) < len(c.slots) { // it was turned away, or joined another
			<-c.slots
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	s.conns.remove(c)
	var left []*openQuery
	for w := range c.open {
		left = append(left, w)
	}
	s.mu.Unlock()
	for _, w := range left {
		s.clientLeft(w)
	}
}

// idleTimeout is how long a connection is kept without a query.
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

// send writes a message behind its length. A client that does not take it loses its connection.
func (c *clientConn) send(raw []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	_, err := c.Write(append(binary.BigEndian.AppendUint16(make([]byte, 0, len(raw)+2), uint16(len(raw))), raw...))
	if err != nil {
		c.Close()
	}
	return err
}
