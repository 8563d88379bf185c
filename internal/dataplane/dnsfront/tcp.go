package dnsfront

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
)

const (
	pipelineDepth      = 32   // queries on a connection before another is opened
	maxPipelineDepth   = 1024 // queries on a connection where no other may be opened
	serverReadBuffer   = 4096 // bytes
	serverIdleTimeout  = 8 * time.Second
	serverReadTimeout  = 2 * time.Second // for a message, from its first byte
	serverWriteTimeout = 2 * time.Second
)

// serverConn is a TCP connection to a server, open or being opened.
type serverConn struct {
	target *target
	ready  chan struct{} // closed once it is open, or opening it has failed
	conn   net.Conn
	err    error // why opening it failed
	queryTable
	writeMu sync.Mutex

	// Guarded by Upstream.mu.
	queries    int
	lastReadAt time.Time // the time when it was opened until something is received
	retired    bool      // it accepts no query, and is closed once it has none
}

// queryTCP asks over TCP, once. It asks begin right before the query is sent.
func (t *target) queryTCP(ctx context.Context, q *question, begin permission) ([]byte, balancer.Status) {
	c, err := t.acquireConn()
	if err != nil {
		return nil, t.upstream.connectErrors.Status(ctx, err, t.upstream.log)
	}
	defer t.upstream.releaseConn(c)
	select {
	case <-c.ready:
	case <-ctx.Done():
		return nil, balancer.NotSent
	}
	if c.err != nil {
		return nil, t.upstream.connectErrors.Status(ctx, c.err, t.upstream.log)
	}
	p := newPending(q)
	id, err := c.add(p)
	if err != nil {
		return nil, balancer.ConnectFailed // it was closed in the meantime: nothing was sent
	}
	defer c.remove(id)
	raw, err := q.forServer(t.currentCookie())
	if err != nil || !begin(t.upstream.clock.Now()) {
		return nil, balancer.NotSent
	}
	setID(raw, id)
	if status := c.send(raw); status != balancer.OK {
		return nil, status
	}
	t.upstream.sent.Inc()
	answer, status, _ := p.wait(ctx, nil)
	return answer, status
}

// send writes a message with its length before it. A failed write closes the connection; if the server cannot have
// read the complete message, the status is ConnectFailed.
func (c *serverConn) send(raw []byte) balancer.Status {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	frame := appendFrame(nil, raw)
	// The deadline can be set unless the connection is closed, and then the write fails as well.
	_ = c.conn.SetWriteDeadline(time.Now().Add(serverWriteTimeout))
	n, err := c.conn.Write(frame)
	if err == nil {
		return balancer.OK
	}
	c.conn.Close() // its reader then fails all queries
	if n < len(frame) {
		return balancer.ConnectFailed
	}
	return balancer.Reset
}

// acquireConn returns the connection with the fewest queries, or a new one.
func (t *target) acquireConn() (*serverConn, error) {
	u := t.upstream
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.removed {
		return nil, core.ErrEndpointRemoved
	}
	var leastLoaded *serverConn
	for _, c := range t.conns {
		if leastLoaded == nil || c.queries < leastLoaded.queries {
			leastLoaded = c
		}
	}
	if t.needsConnLocked(leastLoaded) && u.mayOpenConnLocked() {
		leastLoaded = &serverConn{target: t, ready: make(chan struct{}), queryTable: newQueryTable(), lastReadAt: time.Now()}
		t.conns = append(t.conns, leastLoaded)
		u.conns[leastLoaded] = struct{}{}
		go leastLoaded.run()
	}
	if leastLoaded == nil || leastLoaded.queries >= maxPipelineDepth {
		return nil, core.ErrConnectionsExhausted
	}
	leastLoaded.queries++
	return leastLoaded, nil
}

// needsConnLocked reports whether another connection is worth opening beside the least loaded one, nil for none.
func (t *target) needsConnLocked(leastLoaded *serverConn) bool {
	if leastLoaded == nil {
		return true
	}
	return leastLoaded.queries >= pipelineDepth && len(t.conns) < t.upstream.settings.MaxConnsPerServer
}

// mayOpenConnLocked reports whether another connection may be opened. At the limit it retires the connection without
// queries that has been silent for longest.
func (u *Upstream) mayOpenConnLocked() bool {
	if len(u.conns) < u.settings.maxServerConns() {
		return true
	}
	var idle *serverConn
	for c := range u.conns {
		if c.queries > 0 || c.retired {
			continue
		}
		if idle == nil || c.lastReadAt.Before(idle.lastReadAt) {
			idle = c
		}
	}
	if idle == nil {
		return false
	}
	idle.retireLocked()
	delete(u.conns, idle)
	return true
}

// releaseConn takes a query off its connection. A retired connection is closed after the last one.
func (u *Upstream) releaseConn(c *serverConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c.queries--
	if c.queries == 0 && c.retired && c.conn != nil {
		c.conn.Close()
	}
}

// retireLocked lets a connection accept no more queries, and closes it if it has none.
func (c *serverConn) retireLocked() {
	c.retired = true
	c.target.conns = slices.DeleteFunc(c.target.conns, func(o *serverConn) bool { return o == c })
	if c.queries == 0 && c.conn != nil {
		c.conn.Close()
	}
}

// run opens a connection and delivers messages until it ends, independently of the query that needed it first.
func (c *serverConn) run() {
	if !c.open() {
		return
	}
	err := c.read()
	u := c.target.upstream
	u.mu.Lock()
	c.retireLocked()
	delete(u.conns, c)
	u.mu.Unlock()
	c.close(err)
	c.conn.Close()
}

// open dials the server and reports whether that succeeded. A connection that was retired meanwhile is closed at
// once.
func (c *serverConn) open() bool {
	u := c.target.upstream
	conn, err := u.dial(context.Background(), "tcp", c.target.addr)
	u.mu.Lock()
	c.conn, c.err, c.lastReadAt = conn, err, time.Now()
	if err != nil {
		c.retireLocked()
		delete(u.conns, c)
	}
	unneeded := c.retired && c.queries == 0
	u.mu.Unlock()
	close(c.ready)
	if err != nil {
		return false
	}
	if unneeded {
		conn.Close()
	}
	return true
}

// read delivers messages until the connection ends or has been idle for its timeout.
func (c *serverConn) read() error {
	r := bufio.NewReaderSize(c.conn, serverReadBuffer)
	var buf []byte
	for {
		// The deadline can be set unless the connection is closed, and then the read fails as well.
		_ = c.conn.SetReadDeadline(time.Now().Add(serverIdleTimeout))
		if _, err := r.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && !c.retireIfIdle() {
				continue // the event loop decides how long a query may wait
			}
			return err
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(serverReadTimeout))
		var err error
		buf, err = readFrame(r, buf)
		if err != nil {
			return err
		}
		c.recordRead()
		c.deliver(buf, c.target.upstream.counters)
	}
}

func (c *serverConn) recordRead() {
	c.target.upstream.mu.Lock()
	defer c.target.upstream.mu.Unlock()
	c.lastReadAt = time.Now()
}

// retireIfIdle retires a connection without queries, and reports whether it has none.
func (c *serverConn) retireIfIdle() bool {
	c.target.upstream.mu.Lock()
	defer c.target.upstream.mu.Unlock()
	if c.queries > 0 {
		return false
	}
	c.retireLocked()
	return true
}
