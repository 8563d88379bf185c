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
	"syscall"
	"testing"
	"time"

	"birchmoor/internal/dataplane/maintenance"
)

var quiet = slog.New(slog.DiscardHandler)

// process is a sidecar that records which of its methods are called.
type process struct {
	did  chan string
	mu   sync.Mutex
	peer Peer
}

func newProcess() *process { return &process{did: make(chan string, 32)} }

func (p *process) AddPeer(other Peer) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peer = other
	p.did <- "joined"
	return func() { p.did <- "left" }
}

func (p *process) State(context.Context) (State, error) {
	overrides := []maintenance.Override{{ID: "s-1", Drained: true, UnixMicros: 5}}
	return State{Overrides: overrides, List: []byte(`{"generation":3}`)}, nil
}

func (p *process) Merge(_ context.Context, overrides ...maintenance.Override) error {
	if overrides[0].ID == "bad" {
		return maintenance.ErrUnknownEndpoint
	}
	p.did <- fmt.Sprint("override ", overrides[0].ID, " ", overrides[0].Drained)
	return nil
}

func (p *process) ApplyEjections(list []Ejection) {
	p.did <- fmt.Sprint("eject ", list[0].ID, " ", list[0].LeftMicros)
}

func (p *process) StopAccepting()   { p.did <- "stop" }
func (p *process) ResumeAccepting() { p.did <- "resume" }

func (p *process) expect(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		select {
		case got := <-p.did:
			if got != w {
				t.Errorf("it did %q, want %q", got, w)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("it did not %q", w)
		}
	}
}

// startOldProcess serves an old process at a new path.
func startOldProcess(t *testing.T) (path string, p *process, stop func()) {
	t.Helper()
	dir, err := os.MkdirTemp("", "h") //nolint:usetesting // t.TempDir is too long for the path of a Unix socket
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	path = filepath.Join(dir, "sock")
	ln, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	p = newProcess()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Serve(ctx, ln, p, quiet)
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	t.Cleanup(stop)
	return path, p, stop
}

// The complete handover: the new process gets the state of the old one, overrides are in effect in both, and the
// old one stops accepting.
func TestTakeOverMovesServiceToNewProcess(t *testing.T) {
	path, old, stop := startOldProcess(t)
	fresh := newProcess()
	o, state := Join(t.Context(), path, fresh, quiet)
	if o == nil || len(state.Overrides) != 1 || state.Overrides[0].ID != "s-1" {
		t.Fatalf("joined %v, state %+v", o, state)
	}
	if string(state.List) != `{"generation":3}` {
		t.Errorf("list %s", state.List)
	}
	old.expect(t, "joined")
	fresh.expect(t, "joined")
	if err := old.peer.ApplyOverride(t.Context(), maintenance.Override{ID: "s-2", Drained: true}); err != nil {
		t.Error(err)
	}
	fresh.expect(t, "override s-2 true")
	if err := fresh.peer.ApplyOverride(t.Context(), maintenance.Override{ID: "s-3"}); err != nil {
		t.Error(err)
	}
	old.expect(t, "override s-3 false")
	err := fresh.peer.ApplyOverride(t.Context(), maintenance.Override{ID: "bad"})
	if err == nil || !strings.Contains(err.Error(), "unknown id") {
		t.Error("an error of the other process was lost:", err)
	}
	for from, to := range map[*process]*process{old: fresh, fresh: old} {
		if err := from.peer.ReportEjections(t.Context(), []Ejection{{"s-4", 900}}); err != nil {
			t.Error(err)
		}
		to.expect(t, "eject s-4 900")
	}
	o.TakeOver(t.Context(), quiet)
	old.expect(t, "stop")
	// The new process is found from now on; the end of the old one does not remove its path.
	ln, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	stop()
	fresh.expect(t, "left")
	if _, err := os.Stat(path); err != nil {
		t.Error(err)
	}
}

// A new process that dies leaves the old one serving, whether it had taken over or not.
func TestServeResumesWhenNewProcessDies(t *testing.T) {
	path, old, _ := startOldProcess(t)
	o, _ := Join(t.Context(), path, newProcess(), quiet)
	old.expect(t, "joined")
	o.Close()
	old.expect(t, "left")
	for {
		// The old process talks to one at a time, and may not have seen yet that the first is gone.
		var state State
		if o, state = Join(t.Context(), path, newProcess(), quiet); len(state.Overrides) > 0 {
			break
		}
		if o != nil {
			o.Close()
		}
	}
	old.expect(t, "joined")
	o.TakeOver(t.Context(), quiet)
	old.expect(t, "stop")
	o.Close()
	old.expect(t, "left", "resume")
}

// The socket of a dead process, and a path without one, are no old process.
func TestJoinIgnoresStaleSocket(t *testing.T) {
	path, _, stop := startOldProcess(t)
	stop()
	for _, p := range []string{path, path + ".none"} {
		if o, _ := Join(t.Context(), p, newProcess(), quiet); o != nil {
			t.Errorf("%s: found a process", p)
		}
	}
	if ln, err := Listen(path); err != nil {
		t.Error(err)
	} else {
		ln.Close()
	}
}

// An old process that is hung, or sends nonsense, does not keep the new one from starting. The budgets that a hung
// one holds count until it is gone.
func TestJoinContinuesWithoutHungProcess(t *testing.T) {
	for _, sent := range []string{"", "nonsense\n", "{}\n"} {
		path := filepath.Join(t.TempDir(), "s")
		ln, err := net.Listen("unix", path)
		if err != nil {
			t.Skip("the directory's name is too long for a socket:", err)
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
		p := newProcess()
		o, state := Join(t.Context(), path, p, quiet)
		if o == nil || len(state.Overrides) > 0 {
			t.Fatalf("%q: joined %v, state %+v", sent, o, state)
		}
		p.expect(t, "joined")
		o.TakeOver(t.Context(), quiet)
		close(kill)
		p.expect(t, "left")
		ln.Close()
	}
}

// A connection that sends nonsense changes nothing.
func TestServeIgnoresStrangers(t *testing.T) {
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
		_, _ = bufio.NewReader(c).ReadString('\n') // an error reply, or the end
		c.Close()
	}
	for {
		o, state := Join(t.Context(), path, newProcess(), quiet)
		if len(state.Overrides) > 0 {
			break
		}
		if o != nil {
			o.Close()
		}
	}
	var did []string
	for len(old.did) > 0 {
		did = append(did, <-old.did)
	}
	if slices.Contains(did, "stop") || slices.Contains(did, "resume") {
		t.Error("it did", did)
	}
}

// Closing a copy of the inherited socket does not close the socket.
func TestInheritedSocketOutlivesItsCopies(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	file, err := held.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	fd, err := syscall.Dup(int(file.Fd())) // Inherit owns what it is given
	if err != nil {
		t.Fatal(err)
	}
	s, err := Inherit(fmt.Sprint(fd))
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		ln, err := s.Listen()
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", held.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		got, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		got.Close()
		c.Close()
		ln.Close()
	}
	for _, text := range []string{"", "x", "-1", "1000000"} {
		if _, err := Inherit(text); err == nil {
			t.Errorf("%q was accepted as a socket", text)
		}
	}
}
