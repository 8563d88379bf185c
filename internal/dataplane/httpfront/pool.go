package httpfront

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"birchmoor/internal/dataplane/core"
)

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	paced     pacedConn
	limit     io.LimitedReader // what an answer may still take, head and all
	r         *bufio.Reader
	target    *target
	idleSince time.Time
}

func newConn(nc net.Conn, to *target) *conn {
	c := &conn{Conn: nc, target: to, paced: pacedConn{Conn: nc}}
	c.limit.R = &c.paced
	c.r = bufio.NewReaderSize(&c.limit, 4096)
	return c
}

const (
	minRest           = 10 * time.Millisecond // after an answer, in which a second one may come
	unsolicitedMemory = 10 * time.Minute      // for which an endpoint that sent a second answer is remembered
)

// get returns an idle connection, or a new one. Of the idle ones it takes the one used last, so that the others may
// expire, but prefers one that has rested for minRest: an endpoint may send more than one answer to a request, some
// milliseconds apart, and the second would pass for the next request's. If any endpoint has done so lately, no
// connection is used before it has rested.
func (u *Upstream) get(ctx context.Context, to *target) (*conn, error) {
	c, err := u.takeIdle(ctx, to)
	if c != nil || err != nil {
		return c, err
	}
	nc, err := u.dial(ctx, "tcp", to.addr)
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		u.conns--
		return nil, err
	}
	c = newConn(nc, to)
	if to.removed {
		u.closeLocked(c) // another endpoint may listen there by now
		return nil, core.ErrEndpointRemoved
	}
	return c, nil
}

// takeIdle returns an idle connection, or nil if there is none: then a place for a new one was taken.
func (u *Upstream) takeIdle(ctx context.Context, to *target) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for !to.removed && len(to.idle) > 0 {
		rested := time.Now().Add(-minRest)
		c := u.popLocked(to, to.preferredIdle(rested))
		wait := c.idleSince.Sub(rested)
		if wait > 0 && u.unsolicitedLately() {
			u.mu.Unlock()
			u.pause(ctx, wait)
			u.mu.Lock()
		}
		if !to.removed && u.usable(c) {
			return c, nil
		}
		u.closeLocked(c)
	}
	if to.removed {
		return nil, core.ErrEndpointRemoved
	}
	// Descriptors must not run out: an idle connection elsewhere makes place for this one.
	if u.conns >= u.maxConns && !u.evictLocked() {
		return nil, core.ErrConnectionsExhausted
	}
	u.conns++
	return nil, nil
}

// preferredIdle returns the index of the idle connection used last among those that have rested, else of the one
// used last.
func (t *target) preferredIdle(rested time.Time) int {
	for at := len(t.idle) - 1; at >= 0; at-- {
		if !t.idle[at].idleSince.After(rested) {
			return at
		}
	}
	return len(t.idle) - 1
}

// unsolicitedLately reports whether an endpoint has sent a second answer of late.
func (u *Upstream) unsolicitedLately() bool {
	return !u.unsolicitedAt.IsZero() && time.Since(u.unsolicitedAt) < unsolicitedMemory
}

// usable reports whether an idle connection may serve a request. The mutex is locked.
func (u *Upstream) usable(c *conn) bool {
	quiet, spoke := c.idleState()
	if spoke {
		u.unsolicitedAt = time.Now()
	}
	return quiet && time.Since(c.idleSince) < u.maxIdle
}

// put makes a connection idle.
func (u *Upstream) put(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.target.removed {
		u.closeLocked(c)
		return
	}
	c.idleSince = time.Now()
	c.target.idle = append(c.target.idle, c)
	u.idle[c.target] = struct{}{}
}

// discard closes a connection.
func (u *Upstream) discard(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeLocked(c)
}

func (u *Upstream) closeLocked(c *conn) {
	_ = c.Close() // it is of no use any more, whatever comes of this
	u.conns--
}

// popLocked removes an idle connection from its target.
func (u *Upstream) popLocked(to *target, i int) *conn {
	c := to.idle[i]
	to.idle = slices.Delete(to.idle, i, i+1)
	if len(to.idle) == 0 {
		delete(u.idle, to)
	}
	return c
}

// evictLocked closes the connection that has been idle for longest, and reports whether there was one.
func (u *Upstream) evictLocked() bool {
	var oldest *target
	for to := range u.idle {
		if oldest == nil || to.idle[0].idleSince.Before(oldest.idle[0].idleSince) {
			oldest = to
		}
	}
	if oldest == nil {
		return false
	}
	u.closeLocked(u.popLocked(oldest, 0))
	return true
}

// removeTarget ends the use of a target: idle connections are closed, attempts in flight continue.
func (u *Upstream) removeTarget(to *target) {
	u.mu.Lock()
	defer u.mu.Unlock()
	to.removed = true
	for len(to.idle) > 0 {
		u.closeLocked(u.popLocked(to, 0))
	}
}

// closeIdleSince closes the idle connections to an endpoint that were last used before an instant: if one fell
// silent since then, it may not be the only one.
func (u *Upstream) closeIdleSince(to *target, before time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := len(to.idle) - 1; i >= 0; i-- {
		if to.idle[i].idleSince.Before(before) {
			u.closeLocked(u.popLocked(to, i))
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

// sweep closes connections that have been idle for too long or that the endpoint has closed.
func (u *Upstream) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for to := range u.idle {
		for i := len(to.idle) - 1; i >= 0; i-- {
			if !u.usable(to.idle[i]) {
				u.closeLocked(u.popLocked(to, i))
			}
		}
	}
}

// idleState looks, without waiting, whether an idle connection is open and quiet, or the endpoint has sent
// something unsolicited on it. A request written to one that is not quiet would be lost and might have run.
func (c *conn) idleState() (quiet, spoke bool) {
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
		spoke = err == nil && n > 0
		return true
	})
	return err == nil && quiet, err == nil && spoke
}

// clearReadDeadline removes the deadline of reads. It fails on a closed connection alone, where reads fail as well.
func (c *conn) clearReadDeadline() { _ = c.SetReadDeadline(time.Time{}) }
