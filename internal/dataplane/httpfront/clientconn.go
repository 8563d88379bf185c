package httpfront

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// Read reads what the client sends. While no request is open, whether something is read or the connection is given
// up is decided under the mutex: a request of which something was read is served, and no other.
func (c *client) Read(b []byte) (n int, err error) {
	if c.hasRequest || c.raw == nil {
		n, err = c.Conn.Read(b)
		c.noteRead(n)
		return n, err
	}
	n, err = c.readOwned(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.clients.mayEnd(c) {
		// Woken to end: what has come by now decides.
		c.setReadDeadline(time.Now().Add(RequestTimeout))
		n, err = c.readOwned(b)
	}
	return n, err
}

// readOwned reads under the mutex, and changes the state by what has come.
func (c *client) readOwned(b []byte) (n int, err error) {
	wait := c.raw.Read(func(fd uintptr) bool {
		c.clients.mu.Lock()
		defer c.clients.mu.Unlock()
		switch {
		case c.state >= stateLingering:
			err = net.ErrClosed
			return true
		case c.endsReading:
			err = os.ErrDeadlineExceeded
			return true
		}
		n, err = syscall.Read(int(fd), b)
		for errors.Is(err, syscall.EINTR) {
			n, err = syscall.Read(int(fd), b)
		}
		n = max(n, 0)
		c.noteRead(n)
		switch {
		case n > 0:
			if c.askedToEnd {
				c.setReadDeadline(time.Now().Add(RequestTimeout)) // woken to end, but a request has begun
			}
			c.state = stateReading
			c.askedToEnd = false
		case errors.Is(err, syscall.EAGAIN) && c.askedToEnd:
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
		err = wait
	}
	return n, err
}

// noteRead notes that n bytes have come.
func (c *client) noteRead(n int) {
	if n > 0 {
		c.lastReadAt.Store(time.Now().UnixMicro())
	}
}

// watch returns a channel that gets one error: why the client left, or nil if it sent something before its answer.
// To end the watch, set a deadline in the past.
func (c *client) watch() <-chan error {
	c.setReadDeadline(time.Time{})
	c.limit.N = 1
	gone := make(chan error, 1)
	go func() {
		_, err := c.r.Peek(1)
		gone <- err
	}()
	return gone
}

// watchDuringUpload watches for the leaving of a client whose body is still coming and must not be read yet: its
// end is behind unread bytes, but the system knows of it. left is closed then. stop ends the watch, and must be
// called before anything is read.
func (c *client) watchDuringUpload() (left <-chan struct{}, stop func()) {
	if c.raw == nil {
		return nil, func() {}
	}
	gone, over := make(chan struct{}), make(chan struct{})
	c.setReadDeadline(time.Time{})
	go func() {
		defer close(over)
		// The function is called at each change of the connection.
		if err := c.raw.Read(func(fd uintptr) bool { return !isEstablished(fd) }); err == nil {
			close(gone)
		}
	}()
	return gone, sync.OnceFunc(func() {
		c.setReadDeadline(past)
		<-over
	})
}

// hasLeft reports whether the client has closed its connection or ended its sending, also behind unread bytes, or
// the connection was closed here. Any goroutine may call it, also beside a read.
func (c *client) hasLeft() bool {
	if c.raw == nil {
		return false
	}
	gone := true
	_ = c.raw.Control(func(fd uintptr) { // fails once the connection is closed here
		var b [1]byte
		switch n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case errors.Is(err, syscall.EAGAIN):
			gone = false
		case n > 0:
			gone = !isEstablished(fd)
		}
	})
	return gone
}

// isEstablished reports whether neither side of a connection has ended, whatever is unread on it. Where the system
// does not say, it returns true.
func isEstablished(fd uintptr) bool {
	info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	var state [4]byte // the first bytes of struct tcp_info, of which the state is the first
	binary.NativeEndian.PutUint32(state[:], uint32(info))
	return err != nil || state[0] == tcpEstablished
}

const tcpEstablished = 1 // TCP_ESTABLISHED of Linux

const (
	writeTimeout   = time.Second
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 64 << 10
)

// reject answers what is not submitted, and closes the connection.
func (c *client) reject(code int, reason string) { c.write(newResponse(code, reason), true) }

// linger discards what the client may still be sending, for a while.
func (c *client) linger(r io.Reader, limit int64, span time.Duration) {
	c.lingered = true
	c.paced.readTimeout = 0
	c.setReadDeadline(time.Now().Add(span))
	_, _ = io.CopyN(io.Discard, r, limit) // what comes, or fails to, does not matter
}

// setReadDeadline sets the deadline of reads. It fails on a closed connection alone, where reads fail as well.
func (c *client) setReadDeadline(at time.Time) { _ = c.SetReadDeadline(at) }

// setWriteDeadline sets the deadline of writes. It fails on a closed connection alone, where writes fail as well.
func (c *client) setWriteDeadline(at time.Time) { _ = c.SetWriteDeadline(at) }
