package httpfront

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"birchmoor/internal/dataplane/bytebudget"
	"birchmoor/internal/dataplane/core"
)

// conn is a connection to an endpoint. It is either idle, under the mutex of Upstream, or in use by one attempt.
type conn struct {
	net.Conn
	paced     pacedConn
	limit     io.LimitedReader // bounds what may still be read of an answer, including its head
	reader    *messageReader
	target    *target
	idleSince time.Time
}

// newConn returns a connection whose answers' heads are charged to a budget.
func newConn(netConn net.Conn, dst *target, heads *bytebudget.Budget) *conn {
	c := &conn{Conn: netConn, target: dst}
	c.paced = pacedConn{Conn: netConn, head: headMeter{budget: heads, acquire: heads.TryAcquire}}
	c.limit.R = &c.paced
	c.reader = newMessageReader(&c.limit, endpointReadBuffer)
	return c
}

const (
	endpointReadBuffer   = 4096                  // bytes that are read from an endpoint at a time, but for bodies
	minIdleTime          = 10 * time.Millisecond // a second answer to a request may arrive within this time
	unsolicitedRetention = 10 * time.Minute      // after unsolicited bytes, for how long get waits for minIdleTime
)

// get returns an idle connection to an endpoint, or a new one. It takes the most recently used one, so that the others
// may expire, but prefers those that have been idle for minIdleTime: an endpoint may send a second answer to a request
// some milliseconds after the first, which would be taken for the answer to the next request. If any endpoint has sent
// unsolicited bytes within unsolicitedRetention, get waits until a connection has been idle for minIdleTime.
func (u *Upstream) get(ctx context.Context, dst *target) (*conn, error) {
	c, err := u.takeIdle(ctx, dst)
	if c != nil || err != nil {
		return c, err
	}
	netConn, err := u.dial(ctx, "tcp", dst.addr)
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		u.conns--
		return nil, err
	}
	c = newConn(netConn, dst, u.headBudget)
	if dst.removed {
		u.closeLocked(c) // another endpoint may listen at the address by now
		return nil, core.ErrEndpointRemoved
	}
	return c, nil
}

// takeIdle returns an idle connection. If there is none, it returns nil, and has counted a new connection in conns,
// which the caller opens.
func (u *Upstream) takeIdle(ctx context.Context, dst *target) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for !dst.removed && len(dst.idle) > 0 {
		restedBefore := time.Now().Add(-minIdleTime)
		c := u.popLocked(dst, dst.preferredIdle(restedBefore))
		wait := c.idleSince.Sub(restedBefore)
		if wait > 0 && u.unsolicitedLately() {
			u.mu.Unlock()
			u.pause(ctx, wait)
			u.mu.Lock()
		}
		if !dst.removed && u.usable(c) {
			return c, nil
		}
		u.closeLocked(c)
	}
	if dst.removed {
		return nil, core.ErrEndpointRemoved
	}
	// The process must not run out of descriptors: at maxConns, an idle connection to another endpoint is closed.
	if u.conns >= u.maxConns && !u.evictLocked() {
		return nil, core.ErrConnectionsExhausted
	}
	u.conns++
	return nil, nil
}

// preferredIdle returns the index of the most recently used idle connection that was last used no later than
// restedBefore, or of the most recently used one if there is no such connection.
func (t *target) preferredIdle(restedBefore time.Time) int {
	for i := len(t.idle) - 1; i >= 0; i-- {
		if !t.idle[i].idleSince.After(restedBefore) {
			return i
		}
	}
	return len(t.idle) - 1
}

// unsolicitedLately reports whether any endpoint has sent unsolicited bytes within unsolicitedRetention. The mutex is
// locked.
func (u *Upstream) unsolicitedLately() bool {
	return !u.unsolicitedAt.IsZero() && time.Since(u.unsolicitedAt) < unsolicitedRetention
}

// usable reports whether an idle connection may carry a request: it is open, not too old, and has no unread bytes. The
// mutex is locked.
func (u *Upstream) usable(c *conn) bool {
	quiet, unsolicited := c.idleState()
	if unsolicited {
		u.unsolicitedAt = time.Now()
	}
	return quiet && time.Since(c.idleSince) < u.maxIdle
}

// put returns a connection to the pool, or closes it if its target was removed.
func (u *Upstream) put(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.target.removed {
		u.closeLocked(c)
		return
	}
	c.reader.shrink()
	c.idleSince = time.Now()
	c.target.idle = append(c.target.idle, c)
	u.idle[c.target] = struct{}{}
}

// discard closes a connection that is not in the pool.
func (u *Upstream) discard(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeLocked(c)
}

func (u *Upstream) closeLocked(c *conn) {
	_ = c.Close() // an error does not matter: the connection is not used any more
	u.conns--
}

// popLocked removes idle connection i of a target from the pool, and returns it.
func (u *Upstream) popLocked(dst *target, i int) *conn {
	c := dst.idle[i]
	dst.idle = slices.Delete(dst.idle, i, i+1)
	if len(dst.idle) == 0 {
		delete(u.idle, dst)
	}
	return c
}

// evictLocked closes the connection that has been idle longest, of all targets, and reports whether there was one.
func (u *Upstream) evictLocked() bool {
	var oldest *target
	for dst := range u.idle {
		if oldest == nil || dst.idle[0].idleSince.Before(oldest.idle[0].idleSince) {
			oldest = dst
		}
	}
	if oldest == nil {
		return false
	}
	u.closeLocked(u.popLocked(oldest, 0))
	return true
}

// removeTarget closes the idle connections to an endpoint that was removed from the endpoint list. Attempts in flight
// continue, and no new one begins.
func (u *Upstream) removeTarget(dst *target) {
	u.mu.Lock()
	defer u.mu.Unlock()
	dst.removed = true
	for len(dst.idle) > 0 {
		u.closeLocked(u.popLocked(dst, 0))
	}
}

// closeIdleSince closes the idle connections to an endpoint that were last used before an instant. It is called with
// the start of an attempt that timed out: the path of its connection may be dead, and so may be those of the older
// ones.
func (u *Upstream) closeIdleSince(dst *target, before time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := len(dst.idle) - 1; i >= 0; i-- {
		if dst.idle[i].idleSince.Before(before) {
			u.closeLocked(u.popLocked(dst, i))
		}
	}
}

// resize changes how many connections may be open, and closes idle ones beyond that.
func (u *Upstream) resize(limit int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxConns = limit
	for u.conns > limit {
		if !u.evictLocked() {
			return
		}
	}
}

// sweep closes idle connections that have expired, that the endpoint has closed, or that have unread bytes.
func (u *Upstream) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for dst := range u.idle {
		for i := len(dst.idle) - 1; i >= 0; i-- {
			if !u.usable(dst.idle[i]) {
				u.closeLocked(u.popLocked(dst, i))
			}
		}
	}
}

// idleState checks an idle connection without blocking. quiet means that it is open and has no unread bytes;
// unsolicited, that the endpoint has sent bytes on it. A request on a connection that is not quiet would be lost, and
// might have run.
func (c *conn) idleState() (quiet, unsolicited bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		unsolicited = err == nil && n > 0
		return true
	})
	return err == nil && quiet, err == nil && unsolicited
}

// clearReadDeadline removes the deadline of reads. Its error is ignored: it fails only on a closed connection, where
// reads fail as well.
func (c *conn) clearReadDeadline() { _ = c.SetReadDeadline(time.Time{}) }
