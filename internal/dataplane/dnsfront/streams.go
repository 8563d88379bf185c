package dnsfront

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
)

const (
	pipelined  = 32   // queries on a connection before another is opened,
	streamMost = 1024 // and on each once there may be no more
	streamIdle = 8 * time.Second
	streamRead = 2 * time.Second // for a message, from its first byte
	streamSend = 2 * time.Second
)

// stream is a TCP connection to a server, being opened or open.
type stream struct {
	to    *resolver
	ready chan struct{} // closed once it is open or failed
	conn  net.Conn
	err   error // why it failed
	table
	write sync.Mutex

	// Guarded by up.mu.
	load    int
	heard   time.Time // when it was opened, or something last came
	retired bool      // nothing new goes on it, and it is closed once it has no query
}

// stream asks over TCP, once. may is asked right before the query goes out.
func (r *resolver) stream(ctx context.Context, q *question, may func(balancer.Micros) bool) ([]byte, balancer.Status) {
	s, err := r.connection()
	if err != nil {
		return nil, r.up.unsent.Status(ctx, err, r.up.log)
	}
	defer r.up.leave(s)
	select {
	case <-s.ready:
	case <-ctx.Done():
		return nil, balancer.NotSent
	}
	if s.err != nil {
		return nil, r.up.unsent.Status(ctx, s.err, r.up.log)
	}
	p := newPending(q)
	id, err := s.add(p)
	if err != nil {
		return nil, balancer.ConnectFailed // it has just been closed: nothing went out
	}
	defer s.drop(id)
	raw, err := q.onward(r.cookieNow())
	if err != nil || !may(r.up.clock.Now()) {
		return nil, balancer.NotSent
	}
	raw[0], raw[1] = byte(id>>8), byte(id)
	s.write.Lock()
	s.conn.SetWriteDeadline(time.Now().Add(streamSend))
	n, err := s.conn.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(raw))), raw...))
	s.write.Unlock()
	if err != nil {
		s.conn.Close() // its reader ends it
		if n < len(raw)+2 {
			return nil, balancer.ConnectFailed
		}
		return nil, balancer.Reset
	}
	r.up.sends.Inc()
	answer, status, _ := p.wait(ctx, nil)
	return answer, status
}

// connection returns the connection with the fewest queries, or a new one.
func (r *resolver) connection() (*stream, error) {
	u := r.up
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.gone {
		return nil, core.ErrEndpointRemoved
	}
	var least *stream
	for _, s := range r.streams {
		if least == nil || s.load < least.load {
			least = s
		}
	}
	if (least == nil || least.load >= pipelined && len(r.streams) < u.s.TCPServer) && u.roomLocked() {
		least = &stream{to: r, ready: make(chan struct{}), table: table{open: map[uint16]*pending{}}, heard: time.Now()}
		r.streams = append(r.streams, least)
		u.streams[least] = struct{}{}
		go least.run()
	}
	if least == nil || least.load >= streamMost {
		return nil, core.ErrConnectionsExhausted
	}
	least.load++
	return least, nil
}

// roomLocked says whether another connection may be opened. The one without queries that was silent for longest makes
// room.
func (u *Upstream) roomLocked() bool {
	if len(u.streams) < u.s.streams() {
		return true
	}
	var idle *stream
	for s := range u.streams {
		if s.load == 0 && !s.retired && (idle == nil || s.heard.Before(idle.heard)) {
			idle = s
		}
	}
	if idle != nil {
		idle.retireLocked()
		delete(u.streams, idle)
	}
	return idle != nil
}

// leave takes a query off its connection. One that is retired goes with the last.
func (u *Upstream) leave(s *stream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s.load--; s.load == 0 && s.retired && s.conn != nil {
		s.conn.Close()
	}
}

// retireLocked has nothing new go on a connection.
func (s *stream) retireLocked() {
	s.retired = true
	s.to.streams = slices.DeleteFunc(s.to.streams, func(o *stream) bool { return o == s })
	if s.load == 0 && s.conn != nil {
		s.conn.Close()
	}
}

// run opens a connection and passes on what comes until it ends. It is not bound to the query that wanted it first.
func (s *stream) run() {
	u := s.to.up
	conn, err := u.dial(context.Background(), "tcp", s.to.addr)
	u.mu.Lock()
	s.conn, s.err, s.heard = conn, err, time.Now()
	if err != nil {
		s.retireLocked()
		delete(u.streams, s)
	}
	idle := s.retired && s.load == 0
	u.mu.Unlock()
	close(s.ready)
	if err != nil {
		return
	}
	if idle {
		conn.Close()
	}
	err = s.read()
	u.mu.Lock()
	s.retireLocked()
	delete(u.streams, s)
	u.mu.Unlock()
	s.end(err, true)
	conn.Close()
}

// read ends when the connection does or has been idle for long.
func (s *stream) read() error {
	r := bufio.NewReaderSize(s.conn, 4096)
	var buf []byte
	for {
		s.conn.SetReadDeadline(time.Now().Add(streamIdle))
		if _, err := r.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && !s.rest() {
				continue // whether its queries wait for too long is the loop's to say
			}
			return err
		}
		s.conn.SetReadDeadline(time.Now().Add(streamRead))
		var err error
		if buf, err = readFrame(r, buf); err != nil {
			return err
		}
		s.to.up.mu.Lock()
		s.heard = time.Now()
		s.to.up.mu.Unlock()
		s.take(buf, s.to.up.counts)
	}
}

// rest retires a connection without queries, and says whether it has none.
func (s *stream) rest() bool {
	s.to.up.mu.Lock()
	defer s.to.up.mu.Unlock()
	if s.load > 0 {
		return false
	}
	s.retireLocked()
	return true
}

// readFrame reads a message behind its length (RFC 1035, 4.2.2), into buf if that is large enough.
func readFrame(r io.Reader, buf []byte) ([]byte, error) {
	var size [2]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return buf, err
	}
	n := int(binary.BigEndian.Uint16(size[:]))
	if cap(buf) < n {
		buf = make([]byte, n)
	}
	_, err := io.ReadFull(r, buf[:n])
	return buf[:n], err
}
