package tcpstate

import (
	"net"
	"testing"
	"time"
)

// The end of the peer's sending is seen behind unread bytes, and so is a close on this side.
func TestIsClosedByPeer(t *testing.T) {
	for name, end := range map[string]func(near, far *net.TCPConn) error{
		"peer ends its sending": func(_, far *net.TCPConn) error { return far.CloseWrite() },
		"peer closes":           func(_, far *net.TCPConn) error { return far.Close() },
		"closed on this side":   func(near, _ *net.TCPConn) error { return near.Close() },
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		far, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		near, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := far.Write([]byte("unread")); err != nil {
			t.Fatal(err)
		}
		if IsClosedByPeer(near.(*net.TCPConn)) {
			t.Errorf("%s: closed before that", name)
		}
		if err := end(near.(*net.TCPConn), far.(*net.TCPConn)); err != nil {
			t.Fatal(err)
		}
		for until := time.Now().Add(time.Minute); !IsClosedByPeer(near.(*net.TCPConn)); {
			if time.Now().After(until) {
				t.Fatalf("%s: still open", name)
			}
			time.Sleep(time.Millisecond)
		}
		_ = near.Close()
		_ = far.Close()
		_ = ln.Close()
	}
}
