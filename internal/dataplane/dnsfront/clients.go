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
	clientReadTimeout = 2 * time.Second // for a message, from its first byte
	clientWriteTimeout = 2 * time.Second // a client that takes nothing for so long is given up
	acceptBackoff = 5 * time.Millisecond
	clientSendBuffer = 128 << 10              // bytes of answers that the system holds for a client that does not take them
	closingIdleTimeout   = 100 * time.Millisecond // for a connection while the server ends
)

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	from  netip.AddrPort
	slots  chan struct{} // one for each query that may be open
	writeMu sync.Mutex

	// Guarded by Server.mu.
	open  map[*openQuery]struct{}
	idleSince time.Time     // without an open query
	idleElement *list.Element // among the idle; nil while there are open queries, and at the end
	closed  bool
}

// clientConns are the connections of clients. The server's lock guards them.
type clientConns struct {
	maxConns    int
	busy    int
	closing bool       // connections end soon after their last answer
	idle    *list.List // *clientStream, the one idle for longest first
}

func (k *clientConns) init(most int) { k.maxConns, k.idle = most, list.New() }

func (k *clientConns) len() int { return k.busy + k.idle.Len() }

// add takes a connection in; where there are too many, one that is idle makes room.
func (k *clientConns) add(c *clientConn) bool {
	if k.len() >= k.maxConns && !k.evict() {
		return false
	}
	c.idleSince = time.Now()
	c.idleElement = k.idle.PushBack(c)
	return true
}

func (k *clientConns) evict() bool {
	first := k.idle.Front()
	if first == nil {
		return false
	}
	k.remove(first.Value.(*clientConn))
	return true
}

// closeIdleFor closes what has been idle for longer than age.
func (k *clientConns) closeIdleFor(age time.Duration) {
	for first := k.idle.Front(); first != nil && time.Since(first.Value.(*clientConn).idleSince) >= age; first = k.idle.Front() {
		k.evict()
	}
}

// remove closes a connection; its queries are told by who reads it.
func (k *clientConns) remove(c *clientConn) {
	if c.closed {
		return
	}
	c.closed = true
	if c.idleElement != nil {
		k.idle.Remove(c.idleElement)
		c.idleElement = nil
	} else {
		k.busy--
	}
	c.Close()
}

// beginQuery notes an open query, unless the connection has ended.
func (k *clientConns) beginQuery(c *clientConn, w *openQuery) bool {
	if c.closed {
		return false
	}
	if c.idleElement != nil {
		k.idle.Remove(c.idleElement)
		c.idleElement = nil
		k.busy++
	}
	c.open[w] = struct{}{}
	return true
}

// endQuery notes that a query has ended.
func (k *clientConns) endQuery(c *clientConn, w *openQuery) {
	if _, ok := c.open[w]; !ok {
		return
	}
	delete(c.open, w)
	<-c.slots
	if len(c.open) == 0 && !c.closed {
		k.busy--
		c.idleSince = time.Now()
		c.idleElement = k.idle.PushBack(c)
		if k.closing {
			c.SetReadDeadline(time.Now().Add(closingIdleTimeout)) // its answer is about to go out
		}
	}
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
