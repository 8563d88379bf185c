// Package tcpstate reads the state of a TCP connection from the kernel, which tells that the peer has ended its sending
// even while bytes before that end are unread. The package imports only the standard library.
package tcpstate

import (
	"encoding/binary"
	"syscall"
)

const established = 1 // TCP_ESTABLISHED in Linux

// IsEstablished reports whether a socket is in state ESTABLISHED: neither side has ended its sending. The error is that
// of the system call.
func IsEstablished(fd uintptr) (bool, error) {
	info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	var state [4]byte // the first bytes of struct tcp_info; byte 0 is the state
	binary.NativeEndian.PutUint32(state[:], uint32(info))
	return state[0] == established, err
}

// IsClosedByPeer reports whether the other side of a connection has ended its sending, or the connection is closed on
// this side. It reads nothing from the connection.
func IsClosedByPeer(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	_ = raw.Control(func(fd uintptr) { // fails on a connection that is closed on this side
		isOpen, err := IsEstablished(fd)
		closed = err != nil || !isOpen
	})
	return closed
}
