package httpfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"birchmoor/internal/dataplane/core"
)

type conn struct {
	net.Conn
	paced     pacedConn
	limit     io.LimitedReader // what an answer may still take, head and all
	r         *bufio.Reader
	target    *target
	idleSince time.Time // since when
}

func newConn(nc net.Conn, to *target) *conn {
	c := &conn{Conn: nc, target: to, paced: pacedConn{Conn: nc}}
	c.limit.R = &c.paced
	c.r = bufio.NewReaderSize(&c.limit, 4096)
	return c
}

// get returns the idle connection used last, since the others may then grow old, or a new one. One that has rested for a
// moment goes first: an endpoint may send more than one answer to a request, some milliseconds apart, and behind the next
// request the second would pass for that one's. Where any has done so of late, none goes before it has rested.
func (u *Upstream) get(ctx context.Context, to *target) (*conn, error) {
	u.mu.Lock()
	for !to.removed && len(to.idle) > 0 {
		at, rested := len(to.idle)-1, time.Now().Add(-minRest)
		for at > 0 && to.idle[at].idleSince.After(rested) {
			at--
		}
		if to.idle[at].idleSince.After(rested) {
			at = len(to.idle) - 1
		}
		c := u.popLocked(to, at)
		if wait := c.idleSince.Sub(rested); wait > 0 && !u.unsolicitedAt.IsZero() && time.Since(u.unsolicitedAt) < unsolicitedMemory {
			u.mu.Unlock()
			u.pause(ctx, wait)
			u.mu.Lock()
		}
		if !to.removed && u.usable(c) {
			u.mu.Unlock()
			return c, nil
		}
		u.closeLocked(c)
	}
	err := error(nil)
	switch {
	case to.removed:
		err = core.ErrEndpointRemoved
	case u.conns >= u.maxConns && !u.evictLocked(): // descriptors must not run out: one idle elsewhere makes room
		err = core.ErrConnectionsExhausted
	default:
		u.conns++
	}
	u.mu.Unlock()
	if err != nil {
		return nil, err
	}
	nc, err := u.dial(ctx, "tcp", to.addr)
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		u.conns--
		return nil, err
	}
	c := newConn(nc, to)
	if to.removed {
		u.closeLocked(c) // another may listen there by now
		return nil, core.ErrEndpointRemoved
	}
	return c, nil
}

// usable says whether an idle connection may serve a request. It is called with the mutex held.
func (u *Upstream) usable(c *conn) bool {
	quiet, spoke := c.idleState()
	if spoke {
		u.unsolicitedAt = time.Now()
	}
	return quiet && time.Since(c.idleSince) < u.maxIdle
}

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

func (u *Upstream) discard(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeLocked(c)
}

func (u *Upstream) closeLocked(c *conn) {
	c.Conn.Close()
	u.conns--
}

// popLocked takes an idle connection out.
func (u *Upstream) popLocked(to *target, i int) *conn {
	c := to.idle[i]
	if to.idle = slices.Delete(to.idle, i, i+1); len(to.idle) == 0 {
		delete(u.idle, to)
	}
	return c
}

// evictLocked closes the connection that has been idle for longest.
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

// removeTarget ends the use of a target. What is out there goes on.
func (u *Upstream) removeTarget(to *target) {
	u.mu.Lock()
	defer u.mu.Unlock()
	to.removed = true
	for len(to.idle) > 0 {
		u.closeLocked(u.popLocked(to, 0))
	}
}

// closeIdleSince closes the idle connections to an endpoint that were last used before an instant: one that has been
// silent since then may not be the only one.
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
func (u *Upstream) resize(most int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxConns = most
	for u.conns > most && u.evictLocked() {
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

// idleState looks, without waiting, whether an idle connection is open and quiet, or the endpoint has sent something on it
// unasked. A request written to one that is neither would be lost and might have run.
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
		quiet, spoke = err == syscall.EAGAIN, err == nil && n > 0
		return true
	})
	return err == nil && quiet, err == nil && spoke
}
