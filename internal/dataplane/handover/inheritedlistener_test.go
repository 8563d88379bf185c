package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// inheritSocket returns a TCP socket as another process holds it, and the same socket as this process inherits it.
func inheritSocket(t *testing.T) (original *net.TCPListener, inherited *Inherited) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	original = ln.(*net.TCPListener)
	file, err := original.File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	fd, err := syscall.Dup(int(file.Fd())) // Inherit takes ownership of the descriptor
	if err != nil {
		t.Fatal(err)
	}
	inherited, err = Inherit(fmt.Sprint(fd))
	if err != nil {
		t.Fatal(err)
	}
	return original, inherited
}

// setNonblock sets the mode of a socket, which is common to all processes that hold it.
func setNonblock(t *testing.T, ln *net.TCPListener, nonblocking bool) {
	t.Helper()
	raw, err := ln.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var setErr error
	err = raw.Control(func(fd uintptr) { setErr = syscall.SetNonblock(int(fd), nonblocking) })
	if err := errors.Join(err, setErr); err != nil {
		t.Fatal(err)
	}
}

func dialListener(t *testing.T, ln net.Listener) {
	t.Helper()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
}

// Guards against a process that cannot stop accepting until another client connects, since another process has put the
// socket into blocking mode, as the platform does when it starts the next process.
func TestAcceptOnBlockingSocketEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		end  func(net.Listener) error
		want error
	}{
		"at its deadline": {func(ln net.Listener) error {
			return ln.(interface{ SetDeadline(time.Time) error }).SetDeadline(time.Now())
		}, os.ErrDeadlineExceeded},
		"when it is closed": {net.Listener.Close, net.ErrClosed},
	} {
		t.Run(name, func(t *testing.T) {
			original, inherited := inheritSocket(t)
			ln, err := inherited.Listen()
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			setNonblock(t, original, false)
			dialListener(t, original)
			first, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			first.Close()
			accepted := make(chan error, 1)
			go func() {
				conn, err := ln.Accept()
				if err == nil {
					conn.Close()
				}
				accepted <- err
			}()
			const timeToBlock = 50 * time.Millisecond
			time.Sleep(timeToBlock)
			setNonblock(t, original, true) // the next process does so before it listens
			ended := make(chan error, 1)   // closing waits for a blocked Accept
			go func() { ended <- tc.end(ln) }()
			select {
			case err := <-accepted:
				if !errors.Is(err, tc.want) {
					t.Errorf("Accept returned %v, want %v", err, tc.want)
				}
			case <-time.After(10 * time.Second):
				t.Error("Accept is blocked until the next client connects")
				dialListener(t, original)
				t.Log("after the next client has connected, it returned", <-accepted)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// Connections that arrive together, before Accept is called and while it waits, are all accepted.
func TestInheritedListenerAcceptsAllConnections(t *testing.T) {
	const burst = 20
	original, inherited := inheritSocket(t)
	ln, err := inherited.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for range burst {
		dialListener(t, original)
	}
	accepted := make(chan error, 2*burst)
	go func() {
		for range 2 * burst {
			conn, err := ln.Accept()
			if err == nil {
				conn.Close()
			}
			accepted <- err
		}
	}()
	for range burst {
		dialListener(t, original)
	}
	for range 2 * burst {
		select {
		case err := <-accepted:
			if err != nil {
				t.Fatal(err)
			}
		case <-time.After(testTimeout):
			t.Fatal("a connection was not accepted")
		}
	}
}
