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

// Read reads what the client sends. As long as no request is taken, whether something is read or the connection is given
// up is decided under the mutex, one or the other: what was read has its request served, and what was not is not.
func (c *client) Read(b []byte) (n int, err error) {
	if c.hasRequest || c.raw == nil {
		n, err = c.Conn.Read(b)
		c.noteRead(n)
		return n, err
	}
	n, err = c.readOwned(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.clients.mayEnd(c) {
		// Woken to leave: a last look at what has come decides.
		c.setReadDeadline(time.Now().Add(RequestTimeout))
		n, err = c.readOwned(b)
	}
	return n, err
}

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
		for err == syscall.EINTR {
			n, err = syscall.Read(int(fd), b)
		}
		n = max(n, 0)
		c.noteRead(n)
		switch {
		case n > 0:
			if c.askedToEnd {
				c.setReadDeadline(time.Now().Add(RequestTimeout)) // woken, and read all the same
			}
			c.state, c.askedToEnd = stateReading, false
		case err == syscall.EAGAIN && c.askedToEnd:
			c.state, err = stateLingering, net.ErrClosed
			c.clients.moveLocked(c, c.clients.lingering)
		case err == syscall.EAGAIN:
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

func (c *client) noteRead(n int) {
	if n > 0 {
		c.lastReadAt.Store(time.Now().UnixMicro())
	}
}

// watch returns a channel on which one error comes when the client leaves, or nil when it sends something
// before it has its answer. To end the watch, set a deadline in the past.
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

// watchDuringUpload watches for the leaving of a client whose body still comes, and must not be read yet: its end stands behind what
// it has sent, but the system has it. Left is closed then. Stop ends the watch, and must be called before anybody reads.
func (c *client) watchDuringUpload() (left <-chan struct{}, stop func()) {
	if c.raw == nil {
		return nil, func() {}
	}
	gone, over := make(chan struct{}), make(chan struct{})
	c.setReadDeadline(time.Time{})
	go func() {
		defer close(over)
		// Asked at each change of the connection.
		if err := c.raw.Read(func(fd uintptr) bool { return !isEstablished(fd) }); err == nil {
			close(gone)
		}
	}()
	return gone, sync.OnceFunc(func() {
		c.setReadDeadline(past)
		<-over
	})
}

// hasLeft looks whether the client has closed its connection, or ended its sending, also behind bytes that nobody has read. Any
// goroutine may ask, also beside a read; of a connection that is closed here it says that it has.
func (c *client) hasLeft() bool {
	if c.raw == nil {
		return false
	}
	gone := true
	c.raw.Control(func(fd uintptr) {
		var b [1]byte
		switch n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case err == syscall.EAGAIN:
			gone = false
		case n > 0:
			gone = !isEstablished(fd)
		}
	})
	return gone
}

// isEstablished says whether neither side of a connection has ended, whatever stands unread on it. Where the system does not tell it does.
func isEstablished(fd uintptr) bool {
	info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	var state [4]byte // the first of what the system tells
	binary.NativeEndian.PutUint32(state[:], uint32(info))
	return err != nil || state[0] == tcpEstablished
}

const tcpEstablished = 1 // of a TCP connection's states, the one in which neither side has ended

const (
	writeTimeout   = time.Second
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 64 << 10
)

// reject answers what is not taken, and ends the connection's use.
func (c *client) reject(code int, reason string) { c.write(newResponse(code, reason), true) }

// linger reads what the client may still be sending, for a while.
func (c *client) linger(r io.Reader, most int64, span time.Duration) {
	c.lingered, c.paced.readTimeout = true, 0
	c.setReadDeadline(time.Now().Add(span))
	io.CopyN(io.Discard, r, most)
}

// setReadDeadline sets the deadline of reads. It fails on a closed connection alone, where reads fail as well.
func (c *client) setReadDeadline(at time.Time) { _ = c.SetReadDeadline(at) }

// setWriteDeadline sets the deadline of writes. It fails on a closed connection alone, where writes fail as well.
func (c *client) setWriteDeadline(at time.Time) { _ = c.SetWriteDeadline(at) }
