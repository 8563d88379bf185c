package httpfront

import (
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"birchmoor/internal/testutil/sidecartest"
)

// lateListener is a listener whose last connection is accepted late: between the moment at which a deadline is set and
// its expiry, and not before release is closed.
type lateListener struct {
	net.Listener
	stopping chan struct{} // closed when the deadline is set
	release  chan struct{}
	once     sync.Once
	accepted bool
}

func (l *lateListener) SetDeadline(time.Time) error {
	l.once.Do(func() { close(l.stopping) })
	return nil
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.release
	if l.accepted {
		return nil, os.ErrDeadlineExceeded
	}
	l.accepted = true
	return l.Listener.Accept()
}

// TestSecondStopWaitsForLastAcceptedConnection guards against a process that ends, because a shutdown and a handover
// stop accepting at the same time, while it still accepts a connection: its request got no answer.
func TestSecondStopWaitsForLastAcceptedConnection(t *testing.T) {
	endpoint := newTestEndpoint(t)
	endpoint.mayAnswer <- struct{}{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &lateListener{Listener: ln, stopping: make(chan struct{}), release: make(chan struct{})}
	front := startFrontOn(t, listener, readyInstances(endpoint.addr))
	request := sidecartest.IdempotentRequest(900_000)
	conn := front.connect(t)
	write(t, conn, encode(t, request))
	releaseOnce := sync.OnceFunc(func() { close(listener.release) })
	t.Cleanup(releaseOnce)

	go front.StopAccepting()
	sidecartest.Receive(t, listener.stopping, "first call of StopAccepting")
	secondReturned := make(chan struct{})
	go func() {
		front.StopAccepting()
		close(secondReturned)
	}()
	const timeToReturnEarly = 100 * time.Millisecond
	select {
	case <-secondReturned:
		t.Error("the second call returned before the last connection was accepted")
	case <-time.After(timeToReturnEarly):
	}
	releaseOnce()
	sidecartest.Receive(t, secondReturned, "second call of StopAccepting")
	front.stop()
	if resp, body := readAnswer(t, conn, request); resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("answer %s %q, want 200 OK and ok", resp.Status, body)
	}
	front.Wait()
}
