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
	pipelineDepth      = 32   // queries on a connection before another is opened,
	maxPipelineDepth   = 1024 // and on each once there may be no more
	streamIdleTimeout  = 8 * time.Second
	streamReadTimeout  = 2 * time.Second // for a message, from its first byte
	streamWriteTimeout = 2 * time.Second
)

// serverConn is a TCP connection to a server, being opened or open.
type serverConn struct {
	server *server
	ready  chan struct{} // closed once it is open or failed
	conn   net.Conn
	err    error // why it failed
	queryTable
	writeMu sync.Mutex

	// Guarded by up.mu.
	queries    int
	lastReadAt time.Time // when it was opened, or something last came
	retired    bool      // nothing new goes on it, and it is closed once it has no query
}

// queryTCP asks over TCP, once. may is asked right before the query goes out.
func (r *server) queryTCP(ctx context.Context, q *question, may func(balancer.Micros) bool) ([]byte, balancer.Status) {
	s, err := r.acquireConn()
	if err != nil {
		return nil, r.upstream.connectErrors.Status(ctx, err, r.upstream.log)
	}
	defer r.upstream.releaseConn(s)
	select {
	case <-s.ready:
	case <-ctx.Done():
		return nil, balancer.NotSent
	}
	if s.err != nil {
		return nil, r.upstream.connectErrors.Status(ctx, s.err, r.upstream.log)
	}
	p := newPending(q)
	id, err := s.add(p)
	if err != nil {
		return nil, balancer.ConnectFailed // it has just been closed: nothing went out
	}
	defer s.remove(id)
	raw, err := q.forServer(r.currentCookie())
	if err != nil || !may(r.upstream.clock.Now()) {
		return nil, balancer.NotSent
	}
	raw[0], raw[1] = byte(id>>8), byte(id)
	s.writeMu.Lock()
	s.conn.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
	n, err := s.conn.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(raw))), raw...))
	s.writeMu.Unlock()
	if err != nil {
		s.conn.Close() // its reader ends it
		if n < len(raw)+2 {
			return nil, balancer.ConnectFailed
		}
		return nil, balancer.Reset
	}
	r.upstream.sent.Inc()
	answer, status, _ := p.wait(ctx, nil)
	return answer, status
}

// acquireConn returns the connection with the fewest queries, or a new one.
func (r *server) acquireConn() (*serverConn, error) {
	u := r.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.removed {
		return nil, core.ErrEndpointRemoved
	}
	var least *serverConn
	for _, s := range r.conns {
		if least == nil || s.queries < least.queries {
			least = s
		}
	}
	if (least == nil || least.queries >= pipelineDepth && len(r.conns) < u.settings.MaxConnsPerServer) && u.makeRoomLocked() {
		least = &serverConn{server: r, ready: make(chan struct{}), queryTable: queryTable{open: map[uint16]*pending{}}, lastReadAt: time.Now()}
		r.conns = append(r.conns, least)
		u.conns[least] = struct{}{}
		go least.run()
	}
	if least == nil || least.queries >= maxPipelineDepth {
		return nil, core.ErrConnectionsExhausted
	}
	least.queries++
	return least, nil
}

// makeRoomLocked says whether another connection may be opened. The one without queries that was silent for longest makes
// room.
func (u *Upstream) makeRoomLocked() bool {
	if len(u.conns) < u.settings.maxServerConns() {
		return true
	}
	var idle *serverConn
	for s := range u.conns {
		if s.queries == 0 && !s.retired && (idle == nil || s.lastReadAt.Before(idle.lastReadAt)) {
			idle = s
		}
	}
	if idle != nil {
		idle.retireLocked()
		delete(u.conns, idle)
	}
	return idle != nil
}

// releaseConn takes a query off its connection. One that is retired goes with the last.
func (u *Upstream) releaseConn(s *serverConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s.queries--; s.queries == 0 && s.retired && s.conn != nil {
		s.conn.Close()
	}
}

// retireLocked has nothing new go on a connection.
func (s *serverConn) retireLocked() {
	s.retired = true
	s.server.conns = slices.DeleteFunc(s.server.conns, func(o *serverConn) bool { return o == s })
	if s.queries == 0 && s.conn != nil {
		s.conn.Close()
	}
}

// run opens a connection and passes on what comes until it ends. It is not bound to the query that wanted it first.
func (s *serverConn) run() {
	u := s.server.upstream
	conn, err := u.dial(context.Background(), "tcp", s.server.addr)
	u.mu.Lock()
	s.conn, s.err, s.lastReadAt = conn, err, time.Now()
	if err != nil {
		s.retireLocked()
		delete(u.conns, s)
	}
	idle := s.retired && s.queries == 0
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
	delete(u.conns, s)
	u.mu.Unlock()
	s.failAll(err, true)
	conn.Close()
}

// read ends when the connection does or has been idle for long.
func (s *serverConn) read() error {
	r := bufio.NewReaderSize(s.conn, 4096)
	var buf []byte
	for {
		s.conn.SetReadDeadline(time.Now().Add(streamIdleTimeout))
		if _, err := r.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && !s.retireIfIdle() {
				continue // whether its queries wait for too long is the loop's to say
			}
			return err
		}
		s.conn.SetReadDeadline(time.Now().Add(streamReadTimeout))
		var err error
		if buf, err = readFrame(r, buf); err != nil {
			return err
		}
		s.server.upstream.mu.Lock()
		s.lastReadAt = time.Now()
		s.server.upstream.mu.Unlock()
		s.deliver(buf, s.server.upstream.counters)
	}
}

// retireIfIdle retires a connection without queries, and says whether it has none.
func (s *serverConn) retireIfIdle() bool {
	s.server.upstream.mu.Lock()
	defer s.server.upstream.mu.Unlock()
	if s.queries > 0 {
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
