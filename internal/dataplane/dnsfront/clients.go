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
	clientRead = 2 * time.Second // for a message, from its first byte
	clientSend = 2 * time.Second // a client that takes nothing for so long is given up
	acceptWait = 5 * time.Millisecond
	unreadMost = 128 << 10              // bytes of answers that the system holds for a client that does not take them
	lastIdle   = 100 * time.Millisecond // for a connection while the server ends
)

// clientStream is a client's connection.
type clientStream struct {
	net.Conn
	from  netip.AddrPort
	room  chan struct{} // one for each query that may be open
	write sync.Mutex

	// Guarded by Server.mu.
	open  map[*waiter]struct{}
	since time.Time     // without an open query
	place *list.Element // among the idle; nil while there are open queries, and at the end
	over  bool
}

// clientStreams are the connections of clients. The server's lock guards them.
type clientStreams struct {
	most    int
	busy    int
	closing bool       // connections end soon after their last answer
	idle    *list.List // *clientStream, the one idle for longest first
}

func (k *clientStreams) init(most int) { k.most, k.idle = most, list.New() }

func (k *clientStreams) len() int { return k.busy + k.idle.Len() }

// add takes a connection in; where there are too many, one that is idle makes room.
func (k *clientStreams) add(c *clientStream) bool {
	if k.len() >= k.most && !k.evict() {
		return false
	}
	c.since = time.Now()
	c.place = k.idle.PushBack(c)
	return true
}

func (k *clientStreams) evict() bool {
	first := k.idle.Front()
	if first == nil {
		return false
	}
	k.remove(first.Value.(*clientStream))
	return true
}

// shed closes what has been idle for longer than age.
func (k *clientStreams) shed(age time.Duration) {
	for first := k.idle.Front(); first != nil && time.Since(first.Value.(*clientStream).since) >= age; first = k.idle.Front() {
		k.evict()
	}
}

// remove closes a connection; its queries are told by who reads it.
func (k *clientStreams) remove(c *clientStream) {
	if c.over {
		return
	}
	c.over = true
	if c.place != nil {
		k.idle.Remove(c.place)
		c.place = nil
	} else {
		k.busy--
	}
	c.Close()
}

// begin notes an open query, unless the connection has ended.
func (k *clientStreams) begin(c *clientStream, w *waiter) bool {
	if c.over {
		return false
	}
	if c.place != nil {
		k.idle.Remove(c.place)
		c.place = nil
		k.busy++
	}
	c.open[w] = struct{}{}
	return true
}

// done notes that a query has ended.
func (k *clientStreams) done(c *clientStream, w *waiter) {
	if _, ok := c.open[w]; !ok {
		return
	}
	delete(c.open, w)
	<-c.room
	if len(c.open) == 0 && !c.over {
		k.busy--
		c.since = time.Now()
		c.place = k.idle.PushBack(c)
		if k.closing {
			c.SetReadDeadline(time.Now().Add(lastIdle)) // its answer is about to go out
		}
	}
}

// accept takes connections until ln is closed.
func (s *Server) accept(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if s.over(err) {
				return nil
			}
			s.log.Warn("dns: accept", "error", err)
			s.mu.Lock()
			s.streams.evict()
			s.mu.Unlock()
			time.Sleep(acceptWait) // no descriptor is left, perhaps
			continue
		}
		from, err := netip.ParseAddrPort(nc.RemoteAddr().String())
		if err != nil {
			nc.Close()
			continue
		}
		if tcp, ok := nc.(*net.TCPConn); ok {
			tcp.SetWriteBuffer(unreadMost) // left to itself the system takes megabytes
		}
		c := &clientStream{Conn: nc, from: from, room: make(chan struct{}, s.s.PerConn), open: map[*waiter]struct{}{}}
		s.mu.Lock()
		ok := s.streams.add(c)
		s.mu.Unlock()
		if !ok {
			nc.Close() // all others have open queries
			continue
		}
		s.talks.Go(func() { s.talk(c) })
	}
}

// talk takes a client's queries one behind the other, however many of them wait for answers, until it ends or has as many
// open as it may: then it is not read until one is answered.
func (s *Server) talk(c *clientStream) {
	r := bufio.NewReaderSize(c, 2048)
	for {
		c.SetReadDeadline(time.Now().Add(s.idle()))
		if _, err := r.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && s.hasOpen(c) {
				continue
			}
			break
		}
		c.SetReadDeadline(time.Now().Add(clientRead))
		raw, err := readFrame(r, nil)
		if err != nil {
			break
		}
		c.room <- struct{}{}
		s.query(raw, c.from, c)
		s.mu.Lock()
		if len(c.open) < len(c.room) { // it was turned away, or joined another
			<-c.room
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	s.streams.remove(c)
	var left []*waiter
	for w := range c.open {
		left = append(left, w)
	}
	s.mu.Unlock()
	for _, w := range left {
		s.leave(w)
	}
}

// idle is how long a connection is kept without a query.
func (s *Server) idle() time.Duration {
	if s.closing.Load() {
		return lastIdle
	}
	return s.s.Idle
}

func (s *Server) hasOpen(c *clientStream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(c.open) > 0
}

// send writes a message behind its length. A client that does not take it loses its connection.
func (c *clientStream) send(raw []byte) error {
	c.write.Lock()
	defer c.write.Unlock()
	c.SetWriteDeadline(time.Now().Add(clientSend))
	_, err := c.Write(append(binary.BigEndian.AppendUint16(make([]byte, 0, len(raw)+2), uint16(len(raw))), raw...))
	if err != nil {
		c.Close()
	}
	return err
}
