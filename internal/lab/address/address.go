// Package address hands out loopback addresses for processes that get their address from a configuration, and
// listen there again after a restart. It imports only the standard library.
package address

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// Next hands out the ports from firstPort on, before it starts again.
const (
	firstPort = 10_000
	ports     = 55_000
)

// handedOut counts the addresses handed out so far.
var handedOut atomic.Uint32

// host is an IP address in 127.0.0.0/8 that no other process uses, since it is derived from the process ID. It is
// never 127.0.0.1, which is the source address of outgoing loopback connections.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>15&63, pid>>7&255, 1+pid&127)
}

// Next returns an address that this process has not handed out before, or not for the last 55,000 calls. It is safe
// for concurrent use.
//
// The port is not tried first: a child process that another goroutine forks at that moment inherits the listening
// socket until it executes its program, and a second listen on the port fails while it does.
func Next() string {
	return fmt.Sprintf("%s:%d", host(), firstPort+handedOut.Add(1)%ports)
}

// Release closes a listener so that its address can be listened on again at once. After a plain Close a child process
// that another goroutine is starting may still hold the socket, listening; a shutdown ends that for all who hold it.
func Release(listener net.Listener) error {
	if conn, ok := listener.(syscall.Conn); ok {
		if raw, err := conn.SyscallConn(); err == nil {
			// It fails on a listener that is closed already, as Close does.
			_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_RD) })
		}
	}
	return listener.Close()
}

// Listen listens on the address that Next returns.
func Listen() (net.Listener, error) { return net.Listen("tcp", Next()) }
