package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/testutil/sidecartest"
)

// sharedSocket is a listening socket that the platform holds: whoever closes a listener on it leaves the socket alone.
type sharedSocket struct{ ln *net.TCPListener }

func (h sharedSocket) Listen() (net.Listener, error) {
	f, err := h.ln.File()
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return net.FileListener(f)
}

// startProcess is a sidecar that shares a socket and a folder with others.
func startProcess(t *testing.T, c *config.Config, socket handover.Socket, dir string) *testSidecar {
	t.Helper()
	desk, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &testSidecar{addr: socket.(sharedSocket).ln.Addr().String(), management: desk, stop: stop, ended: make(chan error, 1),
		reload: make(chan os.Signal, 1), config: make(chan *config.Config, 1)}
	go func() {
		s.ended <- Run(ctx, c, Host{Socket: socket, Management: desk, Overrides: maintenance.File{Path: filepath.Join(dir, "b")},
			HandoverPath: filepath.Join(dir, "s"), Reload: s.reload, ReadConfig: s.read, Log: sidecartest.DiscardLog})
		close(s.ended)
	}()
	t.Cleanup(func() { stop(); <-s.ended })
	for end := time.Now().Add(sidecartest.WaitTimeout); s.manage(t, "status") != "YES\n"; {
		if time.Now().After(end) {
			t.Fatal("it does not say yes: " + s.manage(t, "status"))
		}
	}
	return s
}

// A new process takes over under load: bans go along, calls bind in both, the old one answers what it has and
// ends by itself, and nobody is turned back.
func TestHandoverUnderLoad(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dir, err := os.MkdirTemp("", "h") //nolint:usetesting // t.TempDir is too long for the path of a Unix socket
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	taken, release := make(chan struct{}, 1), make(chan struct{})
	let := sync.OnceFunc(func() { close(release) })
	t.Cleanup(let)
	addr := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			taken <- struct{}{}
			<-release
		}
	})
	c := sidecartest.Configure(t, sidecartest.ClosedAddress(t), []discovery.Instance{sidecartest.ReadyInstance("s-1", addr), sidecartest.ReadyInstance("s-2", addr), sidecartest.ReadyInstance("s-3", addr)},
		`"ramp-time":10000000`, `"ramp-time":1`, `"give-up":1000000`, `"give-up":5000000`)
	socket := sharedSocket{ln.(*net.TCPListener)}
	old := startProcess(t, c, socket, dir)
	old.wantReply(t, "maint-on s-1", "YES")
	kept, err := net.Dial("tcp", old.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	if resp, _ := old.doOn(t, kept, sidecartest.IdempotentRequest(900)); resp.Close {
		t.Error("a connection was not kept")
	}
	open := make(chan *http.Response, 1)
	go func() {
		resp, _ := old.do(t, sidecartest.Request("POST", "/pay", "pay", 5000, "x"))
		open <- resp
	}()
	sidecartest.Receive(t, taken, "attempt")

	fresh := startProcess(t, c, socket, dir)
	fresh.wantMetric(t, "cluster_unhealthy", 1)
	old.wantReply(t, "status", "NO stopping")
	old.wantReply(t, "maint-on s-2", "YES")
	fresh.wantMetric(t, "cluster_unhealthy", 2)
	fresh.wantReply(t, "maint-off s-1", "YES")
	old.wantMetric(t, "cluster_unhealthy", 1)
	if resp, _ := old.doOn(t, kept, sidecartest.IdempotentRequest(900)); !resp.Close {
		t.Error("the old process keeps a connection")
	}
	before := fresh.metric(t, `answered_total{group="look"}`)
	if resp, _ := fresh.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode != 200 {
		t.Error("after the handover:", resp.Status)
	}
	fresh.wantMetric(t, `answered_total{group="look"}`, before+1)
	let()
	if resp := sidecartest.Receive(t, open, "answer"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("taken before: %s, close %v", resp.Status, resp.Close)
	}
	if err := sidecartest.Receive(t, old.ended, "end of the old process"); err != nil {
		t.Error(err)
	}
	fresh.wantReply(t, "status", "YES")
}

// noSocket is a socket that is not there.
type noSocket struct{}

func (noSocket) Listen() (net.Listener, error) { return nil, errors.New("none") }

// A new process that fails to begin leaves the old one serving.
func TestFailedStartLeavesOldProcessServing(t *testing.T) {
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	c := sidecartest.Configure(t, sidecartest.ClosedAddress(t), []discovery.Instance{sidecartest.ReadyInstance("s-1", addr)})
	dir, err := os.MkdirTemp("", "h") //nolint:usetesting // t.TempDir is too long for the path of a Unix socket
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	old := startIn(t, c, dir)
	err = Run(t.Context(), c, Host{Socket: noSocket{}, Overrides: maintenance.Discard{}, HandoverPath: dir + "/sock", Log: sidecartest.DiscardLog})
	if err == nil {
		t.Error("it began without a socket")
	}
	old.wantReply(t, "status", "YES")
	if resp, _ := old.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode != 200 || resp.Close {
		t.Errorf("%s, close %v", resp.Status, resp.Close)
	}
}
