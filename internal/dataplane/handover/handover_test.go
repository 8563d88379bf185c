package handover

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"birchmoor/internal/dataplane/maintenance"
)

var discardLog = slog.New(slog.DiscardHandler)

// fakeProcess is a Process that records the calls of its methods.
type fakeProcess struct {
	calls chan string
	mu    sync.Mutex // guards peer
	peer  Peer       // argument of the latest AddPeer
}

func newFakeProcess() *fakeProcess { return &fakeProcess{calls: make(chan string, 32)} }

func (p *fakeProcess) AddPeer(other Peer) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peer = other
	p.calls <- "joined"
	return func() { p.calls <- "left" }
}

func (p *fakeProcess) State(context.Context) (State, error) {
	overrides := []maintenance.Override{{ID: "s-1", Drained: true, UnixMicros: 5}}
	return State{Overrides: overrides, List: []byte(`{"generation":3}`)}, nil
}

func (p *fakeProcess) Merge(_ context.Context, overrides ...maintenance.Override) error {
	if overrides[0].ID == "bad" {
		return maintenance.ErrUnknownEndpoint
	}
	p.calls <- fmt.Sprint("override ", overrides[0].ID, " ", overrides[0].Drained)
	return nil
}

func (p *fakeProcess) ApplyEjections(list []Ejection) {
	p.calls <- fmt.Sprint("eject ", list[0].ID, " ", list[0].RemainingMicros)
}

func (p *fakeProcess) ApplyRequests(keys []string) { p.calls <- fmt.Sprint("ids ", keys) }

func (p *fakeProcess) StopAccepting()   { p.calls <- "stop" }
func (p *fakeProcess) ResumeAccepting() { p.calls <- "resume" }

// expectCalls fails the test unless the next calls are the given ones, in order.
func (p *fakeProcess) expectCalls(t *testing.T, want ...string) {
	t.Helper()
	for _, call := range want {
		select {
		case got := <-p.calls:
			if got != call {
				t.Errorf("the process was called with %q, want %q", got, call)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("the process was not called with %q within 10 s", call)
		}
	}
}

// startOldProcess serves an old process at a path of its own, until stop is called or the test ends.
func startOldProcess(t *testing.T) (path string, p *fakeProcess, stop func()) {
	t.Helper()
	path = socketPath(t)
	ln, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	p = newFakeProcess()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Serve(ctx, ln, p, discardLog)
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	t.Cleanup(stop)
	return path, p, stop
}

// In a complete handover, the new process gets the old one's state, both exchange overrides and ejections, and the old
// process stops accepting connections.
func TestTakeOverMovesServiceToNewProcess(t *testing.T) {
	path, old, stop := startOldProcess(t)
	successor := newFakeProcess()
	predecessor, state := Join(t.Context(), path, successor, discardLog)
	if predecessor == nil || len(state.Overrides) != 1 || state.Overrides[0].ID != "s-1" {
		t.Fatalf("joined %v with state %+v, want a process with the override of s-1", predecessor, state)
	}
	if string(state.List) != `{"generation":3}` {
		t.Errorf("got the list %s, want that of generation 3", state.List)
	}
	old.expectCalls(t, "joined")
	successor.expectCalls(t, "joined")
	if err := old.peer.ApplyOverride(t.Context(), maintenance.Override{ID: "s-2", Drained: true}); err != nil {
		t.Error(err)
	}
	successor.expectCalls(t, "override s-2 true")
	if err := successor.peer.ApplyOverride(t.Context(), maintenance.Override{ID: "s-3"}); err != nil {
		t.Error(err)
	}
	old.expectCalls(t, "override s-3 false")
	err := successor.peer.ApplyOverride(t.Context(), maintenance.Override{ID: "bad"})
	if err == nil || !strings.Contains(err.Error(), "unknown id") {
		t.Error("override that the other process rejects: error", err)
	}
	for from, to := range map[*fakeProcess]*fakeProcess{old: successor, successor: old} {
		if err := from.peer.ReportEjections(t.Context(), []Ejection{{"s-4", 900}}); err != nil {
			t.Error(err)
		}
		to.expectCalls(t, "eject s-4 900")
		if err := from.peer.ReportRequests(t.Context(), []string{"0a"}); err != nil {
			t.Error(err)
		}
		to.expectCalls(t, "ids [0a]")
	}
	predecessor.TakeOver(t.Context(), discardLog)
	old.expectCalls(t, "stop")
	// The new process now listens at the path. The end of the old process must not remove the new socket.
	ln, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	stop()
	successor.expectCalls(t, "left")
	if _, err := os.Stat(path); err != nil {
		t.Error(err)
	}
}

// When the new process ends before taking over, the old one keeps accepting; when it ends after taking over, the old
// one resumes accepting.
func TestServeResumesWhenNewProcessDies(t *testing.T) {
	path, old, _ := startOldProcess(t)
	predecessor, _ := Join(t.Context(), path, newFakeProcess(), discardLog)
	old.expectCalls(t, "joined")
	predecessor.Close()
	old.expectCalls(t, "left")
	for {
		// The old process serves one connection at a time, and may not have seen the end of the first one yet.
		var state State
		if predecessor, state = Join(t.Context(), path, newFakeProcess(), discardLog); len(state.Overrides) > 0 {
			break
		}
		if predecessor != nil {
			predecessor.Close()
		}
	}
	old.expectCalls(t, "joined")
	predecessor.TakeOver(t.Context(), discardLog)
	old.expectCalls(t, "stop")
	predecessor.Close()
	old.expectCalls(t, "left", "resume")
}

// Join finds no old process at a path without a socket, or at the socket of a process that has ended. Listen replaces
// such a socket.
func TestJoinIgnoresStaleSocket(t *testing.T) {
	path, _, stop := startOldProcess(t)
	stop()
	for _, socketPath := range []string{path, path + ".none"} {
		if predecessor, _ := Join(t.Context(), socketPath, newFakeProcess(), discardLog); predecessor != nil {
			t.Errorf("%s: joined an old process, want none", socketPath)
		}
	}
	if ln, err := Listen(path); err != nil {
		t.Error(err)
	} else {
		ln.Close()
	}
}

// An old process that does not reply, or sends invalid lines, does not prevent the new one from starting. The budgets
// stay shared until the old process ends.
func TestJoinContinuesWithoutHungProcess(t *testing.T) {
	for _, sent := range []string{"", "nonsense\n", "{}\n"} {
		path := filepath.Join(t.TempDir(), "s")
		ln, err := net.Listen("unix", path)
		if err != nil {
			t.Skip("the temporary directory's path is too long for a Unix socket:", err)
		}
		kill := make(chan struct{})
		go func() {
			c, err := ln.Accept()
			if err == nil {
				if _, err := io.WriteString(c, sent); err != nil {
					t.Error(err)
				}
				<-kill
				_ = c.Close()
			}
		}()
		p := newFakeProcess()
		predecessor, state := Join(t.Context(), path, p, discardLog)
		if predecessor == nil || len(state.Overrides) > 0 {
			t.Fatalf("old process that sends %q: joined %v with state %+v, want a process without state",
				sent, predecessor, state)
		}
		p.expectCalls(t, "joined")
		predecessor.TakeOver(t.Context(), discardLog)
		close(kill)
		p.expectCalls(t, "left")
		ln.Close()
	}
}

// A connection that sends malformed lines or invalid requests does not affect the old process, and a new process can
// join afterwards.
func TestServeIgnoresInvalidRequests(t *testing.T) {
	path, old, _ := startOldProcess(t)
	for _, sent := range []string{"nonsense\n", `{"op":"yield","seq":1}` + "\n", `{"op":"mark","seq":1}` + "\n"} {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, sent); err != nil {
			t.Error(err)
		}
		if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Error(err)
		}
		_, _ = bufio.NewReader(c).ReadString('\n') // an error reply, or the connection's end
		c.Close()
	}
	for {
		predecessor, state := Join(t.Context(), path, newFakeProcess(), discardLog)
		if len(state.Overrides) > 0 {
			break
		}
		if predecessor != nil {
			predecessor.Close()
		}
	}
	var calls []string
	for len(old.calls) > 0 {
		calls = append(calls, <-old.calls)
	}
	if slices.Contains(calls, "stop") || slices.Contains(calls, "resume") {
		t.Error("invalid requests made the old process stop or resume accepting; its calls:", calls)
	}
}

// Closing a listener on an inherited socket does not close the socket, so that it can be listened on again. A
// descriptor number that is invalid or not open is an error.
func TestInheritedSocketOutlivesItsCopies(t *testing.T) {
	original, s := inheritSocket(t)
	for range 2 {
		ln, err := s.Listen()
		if err != nil {
			t.Fatal(err)
		}
		client, err := net.Dial("tcp", original.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted.Close()
		client.Close()
		ln.Close()
	}
	for _, text := range []string{"", "x", "-1", "1000000"} {
		if _, err := Inherit(text); err == nil {
			t.Errorf("Inherit accepted the descriptor number %q", text)
		}
	}
}
