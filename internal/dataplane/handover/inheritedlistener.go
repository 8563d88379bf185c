package handover

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// inheritedListener is a listener on a TCP socket that other processes hold, too. It calls accept only when a
// connection waits, since accept may block: the mode of a socket is common to all processes that hold it, and each of
// them can clear O_NONBLOCK. The package os/exec does so when it passes a socket to a child, and os.File.Fd whenever it
// returns the descriptor of a nonblocking file. A blocked accept returns when the next client connects, however long
// ago the listener's deadline has passed or the listener was closed.
type inheritedListener struct {
	listener *net.TCPListener
	queue    *os.File // a duplicate of the listener's descriptor, for waiting
	rawQueue syscall.RawConn
	closed   atomic.Bool
}

// newInheritedListener returns a listener that takes ownership of ln.
func newInheritedListener(ln *net.TCPListener) (*inheritedListener, error) {
	queue, err := ln.File()
	if err != nil {
		return nil, err
	}
	rawQueue, err := queue.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, queue.Close())
	}
	return &inheritedListener{listener: ln, queue: queue, rawQueue: rawQueue}, nil
}

// Accept waits for the next connection and returns it.
func (l *inheritedListener) Accept() (net.Conn, error) {
	err := l.rawQueue.Read(connectionWaits)
	switch {
	case l.closed.Load():
		return nil, net.ErrClosed
	case err != nil:
		return nil, err
	}
	return l.listener.Accept()
}

// Close stops listening in this process. It leaves the socket open for other processes.
func (l *inheritedListener) Close() error {
	l.closed.Store(true)
	return errors.Join(l.queue.Close(), l.listener.Close())
}

// Addr returns the address of the socket.
func (l *inheritedListener) Addr() net.Addr { return l.listener.Addr() }

// SetDeadline sets the time from which on Accept fails.
func (l *inheritedListener) SetDeadline(at time.Time) error {
	return errors.Join(l.queue.SetReadDeadline(at), l.listener.SetDeadline(at))
}

// pollFD is the system's struct pollfd.
type pollFD struct {
	fd      int32
	events  int16
	revents int16
}

const pollIn = 1 // POLLIN in Linux

// connectionWaits reports whether accept on a socket returns at once: with a connection, or with the socket's error.
func connectionWaits(fd uintptr) bool {
	poll := pollFD{fd: int32(fd), events: pollIn}
	var noWait syscall.Timespec
	for {
		ready, _, errno := syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&poll)), 1,
			uintptr(unsafe.Pointer(&noWait)), 0, 0, 0)
		if errno != syscall.EINTR {
			return errno != 0 || ready > 0
		}
	}
}
