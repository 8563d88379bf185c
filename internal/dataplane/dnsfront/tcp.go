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
	pipelineDepth      = 32   // queries on each connection before another one is opened
	maxPipelineDepth   = 1024 // queries on a connection if no other one may be opened
	serverReadBuffer   = 4096 // bytes
	serverIdleTimeout  = 8 * time.Second
	serverReadTimeout  = 2 * time.Second // for the rest of a message after its first byte
	serverWriteTimeout = 2 * time.Second
)

// serverConn is a TCP connection to a server, open or being opened.
type serverConn struct {
	target  *serverTarget
	ready   chan struct{} // closed once the connection is open or opening it has failed
	netConn net.Conn      // nil until the connection is open
	dialErr error         // the error if opening the connection failed; valid once ready is closed
	queryTable
	writeMu sync.Mutex // serializes writes

	// Guarded by Upstream.mu.
	queries    int       // queries that have acquired the connection
	lastReadAt time.Time // when the last message was received; before the first one, when the connection was opened
	retired    bool      // whether it accepts no more queries, and is closed once it has none
}

// queryTCP sends a query over TCP and returns the encoded answer. It calls begin right before the query is sent, which
// happens only if begin returns true.
func (t *serverTarget) queryTCP(ctx context.Context, query *parsedQuery, begin permission) ([]byte, balancer.Status) {
	conn, err := t.acquireConn()
	if err != nil {
		return nil, t.upstream.connectErrors.Status(ctx, err, t.upstream.log)
	}
	defer t.upstream.releaseConn(conn)
	select {
	case <-conn.ready:
	case <-ctx.Done():
		return nil, balancer.NotSent
	}
	if conn.dialErr != nil {
		return nil, t.upstream.connectErrors.Status(ctx, conn.dialErr, t.upstream.log)
	}
	pending := newPendingQuery(query)
	id, err := conn.add(pending)
	if err != nil {
		return nil, balancer.ConnectFailed // the connection was closed in the meantime, and nothing was sent
	}
	defer conn.remove(id)
	message, err := query.packForServer(t.currentCookie())
	if err != nil || !begin(t.upstream.clock.Now()) {
		return nil, balancer.NotSent
	}
	setID(message, id)
	if status := conn.send(message); status != balancer.OK {
		return nil, status
	}
	t.upstream.attemptsSent.Inc()
	answer, status, _ := pending.wait(ctx, nil)
	return answer, status
}

// send writes an encoded message, preceded by its length. A failed write closes the connection. The status is then
// ConnectFailed if the server cannot have read the complete message, else Reset.
func (c *serverConn) send(raw []byte) balancer.Status {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	frame := appendFrame(nil, raw)
	// Setting the deadline fails only on a closed connection, where the write fails as well.
	_ = c.netConn.SetWriteDeadline(time.Now().Add(serverWriteTimeout))
	written, err := c.netConn.Write(frame)
	if err == nil {
		return balancer.OK
	}
	c.netConn.Close() // the reader of the connection then fails all its queries
	if written < len(frame) {
		return balancer.ConnectFailed
	}
	return balancer.Reset
}

// acquireConn returns the connection with the fewest queries. It opens a new one if those are too many and another
// connection is allowed.
func (t *serverTarget) acquireConn() (*serverConn, error) {
	upstream := t.upstream
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	if t.removed {
		return nil, core.ErrEndpointRemoved
	}
	var leastLoaded *serverConn
	for _, conn := range t.conns {
		if leastLoaded == nil || conn.queries < leastLoaded.queries {
			leastLoaded = conn
		}
	}
	if t.needsConnLocked(leastLoaded) && upstream.mayOpenConnLocked() {
		leastLoaded = &serverConn{
			target:     t,
			ready:      make(chan struct{}),
			queryTable: newQueryTable(),
			lastReadAt: time.Now(),
		}
		t.conns = append(t.conns, leastLoaded)
		upstream.conns[leastLoaded] = struct{}{}
		go leastLoaded.run()
	}
	if leastLoaded == nil || leastLoaded.queries >= maxPipelineDepth {
		return nil, core.ErrConnectionsExhausted
	}
	leastLoaded.queries++
	return leastLoaded, nil
}

// needsConnLocked reports whether another connection to the server is needed. leastLoaded is the connection with the
// fewest queries; nil if there is none.
func (t *serverTarget) needsConnLocked(leastLoaded *serverConn) bool {
	if leastLoaded == nil {
		return true
	}
	return leastLoaded.queries >= pipelineDepth && len(t.conns) < t.upstream.settings.MaxConnsPerServer
}

// mayOpenConnLocked reports whether another connection may be opened. At the limit it makes that possible by retiring
// the connection without queries on which nothing was received for the longest time, if there is one.
func (u *Upstream) mayOpenConnLocked() bool {
	if len(u.conns) < u.settings.maxServerConns() {
		return true
	}
	var idle *serverConn
	for conn := range u.conns {
		if conn.queries > 0 || conn.retired {
			continue
		}
		if idle == nil || conn.lastReadAt.Before(idle.lastReadAt) {
			idle = conn
		}
	}
	if idle == nil {
		return false
	}
	idle.retireLocked()
	delete(u.conns, idle)
	return true
}

// releaseConn ends the use of a connection by a query. A retired connection is closed after its last query.
func (u *Upstream) releaseConn(conn *serverConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	conn.queries--
	if conn.queries == 0 && conn.retired && conn.netConn != nil {
		conn.netConn.Close()
	}
}

// retireLocked makes a connection accept no more queries, and closes it if it has none.
func (c *serverConn) retireLocked() {
	c.retired = true
	c.target.conns = slices.DeleteFunc(c.target.conns, func(other *serverConn) bool { return other == c })
	if c.queries == 0 && c.netConn != nil {
		c.netConn.Close()
	}
}

// run opens a connection and delivers the messages that it receives until it ends. It does not depend on the query for
// which the connection was opened, so that other queries can use the connection if that one is cancelled.
func (c *serverConn) run() {
	if !c.open() {
		return
	}
	err := c.read()
	upstream := c.target.upstream
	upstream.mu.Lock()
	c.retireLocked()
	delete(upstream.conns, c)
	upstream.mu.Unlock()
	c.close(err)
	c.netConn.Close()
}

// open dials the server and reports whether that succeeded. A connection that was retired in the meantime and has no
// queries is closed immediately.
func (c *serverConn) open() bool {
	upstream := c.target.upstream
	netConn, err := upstream.dial(context.Background(), "tcp", c.target.addr)
	upstream.mu.Lock()
	c.netConn, c.dialErr, c.lastReadAt = netConn, err, time.Now()
	if err != nil {
		c.retireLocked()
		delete(upstream.conns, c)
	}
	unneeded := c.retired && c.queries == 0
	upstream.mu.Unlock()
	close(c.ready)
	if err != nil {
		return false
	}
	if unneeded {
		netConn.Close()
	}
	return true
}

// read delivers received messages until the connection ends or has been idle for serverIdleTimeout.
func (c *serverConn) read() error {
	reader := bufio.NewReaderSize(c.netConn, serverReadBuffer)
	var buf []byte
	for {
		// Setting the deadline fails only on a closed connection, where the read fails as well.
		_ = c.netConn.SetReadDeadline(time.Now().Add(serverIdleTimeout))
		if _, err := reader.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && !c.retireIfIdle() {
				continue // the event loop limits how long an open query waits
			}
			return err
		}
		_ = c.netConn.SetReadDeadline(time.Now().Add(serverReadTimeout))
		var err error
		buf, err = readFrame(reader, buf)
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

// retireIfIdle retires a connection if it has no queries, and reports whether it has none.
func (c *serverConn) retireIfIdle() bool {
	c.target.upstream.mu.Lock()
	defer c.target.upstream.mu.Unlock()
	if c.queries > 0 {
		return false
	}
	c.retireLocked()
	return true
}
