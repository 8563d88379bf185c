package httpfront

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"birchmoor/internal/platform/tcpstate"
)

// pastDeadline is a read deadline that wakes a blocked read at once.
var pastDeadline = time.Unix(1, 0)

// Read reads what the client sends. While no request is open, it reads under the mutex of clients, so that a read and
// the closing of the connection cannot overlap: a request is served if and only if some of it was read before the
// connection was given up.
func (c *client) Read(b []byte) (n int, err error) {
	if c.hasRequest || c.raw == nil {
		n, err = c.Conn.Read(b)
		if n > 0 {
			c.noteRead()
		}
		return n, err
	}
	n, err = c.readOwned(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.clients.mayClose(c) {
		// The read was woken to close the connection. If bytes have arrived by now, a request has begun, and it is
		// served.
		c.setReadDeadline(time.Now().Add(RequestTimeout))
		n, err = c.readOwned(b)
	}
	return n, err
}

// readOwned reads under the mutex of clients, and sets the connection's state by the result.
func (c *client) readOwned(b []byte) (n int, err error) {
	waitErr := c.raw.Read(func(fd uintptr) bool {
		c.clients.mu.Lock()
		defer c.clients.mu.Unlock()
		switch {
		case c.state >= stateLingering:
			err = net.ErrClosed
			return true
		case c.abortReading:
			err = os.ErrDeadlineExceeded
			return true
		}
		n, err = syscall.Read(int(fd), b)
		for errors.Is(err, syscall.EINTR) {
			n, err = syscall.Read(int(fd), b)
		}
		n = max(n, 0)
		switch {
		case n > 0:
			c.noteRead()
			if c.closeRequested {
				// The read was woken to close the connection, but a request has begun.
				c.setReadDeadline(time.Now().Add(RequestTimeout))
			}
			c.state = stateReading
			c.closeRequested = false
		case errors.Is(err, syscall.EAGAIN) && c.closeRequested:
			c.state = stateLingering
			err = net.ErrClosed
			c.clients.moveLocked(c, c.clients.lingering)
		case errors.Is(err, syscall.EAGAIN):
			err = nil
			return false
		case err == nil:
			err = io.EOF
		}
		return true
	})
	if n == 0 && err == nil {
		err = waitErr
	}
	return n, err
}

// watch returns a channel that gets one error: why reading from the client ended, or nil if the client sent something
// before its answer. To end the watch, set pastDeadline.
func (c *client) watch() <-chan error {
	c.setReadDeadline(time.Time{})
	c.limit.N = 1
	result := make(chan error, 1)
	go func() {
		_, err := c.reader.Peek(1)
		result <- err
	}()
	return result
}

// hasLeft reports whether the client has closed its connection or its sending side, even if unread bytes precede that,
// or the connection was closed on this side. Any goroutine may call it, also during a read.
func (c *client) hasLeft() bool {
	if c.raw == nil {
		return false
	}
	left := true
	_ = c.raw.Control(func(fd uintptr) { // fails once the connection is closed on this side
		var b [1]byte
		switch n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case errors.Is(err, syscall.EAGAIN):
			left = false
		case n > 0:
			left = !isEstablished(fd)
		}
	})
	return left
}

// isEstablished reports whether neither side of a connection has ended its sending, even if bytes are unread. It
// returns true if the system does not report the state.
func isEstablished(fd uintptr) bool {
	established, err := tcpstate.IsEstablished(fd)
	return err != nil || established
}

const (
	writeTimeout   = time.Second
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 64 << 10
)

// reject answers a request that is not submitted to the event loop. The response announces that the connection closes;
// the caller closes it.
func (c *client) reject(code int, reason string) { c.write(newResponse(code, reason), true) }

// linger reads and discards what the client still sends for a while, for longer if the body of an answered request is
// still arriving.
func (c *client) linger() {
	limit, span := int64(maxLingerBytes), lingerTimeout
	if c.bodyArrives {
		limit, span = 2*MaxBodyBytes, bodyGrace
	}
	c.setReadDeadline(time.Now().Add(span))
	_, _ = io.CopyN(io.Discard, c.Conn, limit) // neither the bytes nor an error matter any more
}

// setReadDeadline sets the deadline of reads. Its error is ignored: it fails only on a closed connection, where reads
// fail as well.
func (c *client) setReadDeadline(at time.Time) { _ = c.SetReadDeadline(at) }
