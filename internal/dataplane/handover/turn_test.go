package handover

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

const testTimeout = time.Minute // bounds the waits for expected events

// slowToLeaveProcess is a process that takes until left is closed to notice that a new process has ended.
type slowToLeaveProcess struct {
	*fakeProcess
	leaving chan struct{} // closed when the end of the first new process is being handled
	left    chan struct{}
	once    sync.Once
}

func (p *slowToLeaveProcess) AddPeer(other Peer) func() {
	remove := p.fakeProcess.AddPeer(other)
	return func() {
		p.once.Do(func() { close(p.leaving) })
		<-p.left
		remove()
	}
}

// socketPath returns the path of a Unix socket in a directory of the test's own.
func socketPath(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "h") //nolint:usetesting // t.TempDir is too long for the path of a Unix socket
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return filepath.Join(dir, "sock")
}

// serveAt serves an old process at a path until the test ends. A new process waits for its turn for as long as the test.
func serveAt(t *testing.T, path string, p Process) {
	t.Helper()
	ln, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		serveWithTurnTimeout(ctx, ln, p, testTimeout, discardLog)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// dialAndSend connects to a path and sends one line.
func dialAndSend(t *testing.T, path, line string) net.Conn {
	t.Helper()
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, line); err != nil {
		t.Errorf("sending %q: %v", line, err)
	}
	return conn
}

const joinLine = `{"op":"join","seq":1}` + "\n"

// expectState fails the test unless the next line is a reply with a state.
func expectState(t *testing.T, conn net.Conn) {
	t.Helper()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || !strings.Contains(line, `"state"`) {
		t.Errorf("reply to join: %q, error %v, want the state", line, err)
	}
}

// TestNewProcessWaitsUntilEarlierOneHasLeft guards against a new process that is disconnected, and starts without the
// old one's state, because the one before it has just ended.
func TestNewProcessWaitsUntilEarlierOneHasLeft(t *testing.T) {
	path := socketPath(t)
	old := &slowToLeaveProcess{fakeProcess: newFakeProcess(), leaving: make(chan struct{}), left: make(chan struct{})}
	serveAt(t, path, old)
	first := dialAndSend(t, path, joinLine)
	expectState(t, first)
	_ = first.Close()
	<-old.leaving
	second := dialAndSend(t, path, joinLine)
	const timeToBeDisconnected = 50 * time.Millisecond
	time.AfterFunc(timeToBeDisconnected, func() { close(old.left) })
	expectState(t, second)
	_ = second.Close()
	old.expectCalls(t, "joined", "left", "joined")
}

// TestSilentConnectionDoesNotPreventJoin guards against a connection that keeps new processes from joining without
// sending anything.
func TestSilentConnectionDoesNotPreventJoin(t *testing.T) {
	path := socketPath(t)
	serveAt(t, path, newFakeProcess())
	dialAndSend(t, path, "")
	expectState(t, dialAndSend(t, path, joinLine))
}

// TestHungProcessStopsAcceptingOnceItContinues guards against two processes that both accept connections for good,
// because the old one hung when the new one joined.
func TestHungProcessStopsAcceptingOnceItContinues(t *testing.T) {
	path := socketPath(t)
	ln, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	predecessor, state := Join(t.Context(), path, newFakeProcess(), discardLog)
	if predecessor == nil || len(state.Overrides) > 0 || predecessor.HasEnded() {
		t.Fatalf("joined %v with state %+v, want a process that does not reply", predecessor, state)
	}
	predecessor.TakeOver(t.Context(), discardLog)
	old := newFakeProcess()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go Serve(ctx, ln, old, discardLog)
	var calls []string
	for range 2 { // in either order
		select {
		case call := <-old.calls:
			calls = append(calls, call)
		case <-time.After(testTimeout):
			t.Fatalf("the old process continued with the calls %q, want joined and stop", calls)
		}
	}
	if got := strings.Join(calls, ", "); got != "joined, stop" && got != "stop, joined" {
		t.Errorf("the old process continued with the calls %q, want joined and stop", got)
	}
}
