package sidecar

import (
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/testutil/sidecartest"
)

// sharedSocket is a listening socket that the platform holds: closing a listener on it does not close the socket.
type sharedSocket struct{ ln *net.TCPListener }

func (s sharedSocket) Listen() (net.Listener, error) {
	f, err := s.ln.File()
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return net.FileListener(f)
}

// startProcess runs a sidecar that shares a socket and a folder with others, and waits until it serves.
func startProcess(t *testing.T, c *config.Config, socket sharedSocket, dir string) *testSidecar {
	t.Helper()
	s := launchSidecar(t, c, socket, socket.ln.Addr().String(), dir)
	for end := time.Now().Add(sidecartest.WaitTimeout); s.manage(t, "status") != "YES\n"; {
		if time.Now().After(end) {
			t.Fatal("it does not serve: " + s.manage(t, "status"))
		}
	}
	return s
}

// A new process takes over under load: it has the old one's drains, overrides apply in both, the old one answers its
// open requests and ends by itself, and no client is rejected.
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
	addr := sidecartest.HTTPEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			taken <- struct{}{}
			<-release
		}
	})
	c := configure(t, []string{addr, addr, addr},
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
		t.Error("a connection was closed with its answer")
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
		t.Error("the old process leaves a connection open")
	}
	before := fresh.metric(t, `answered_total{group="look"}`)
	if resp, _ := fresh.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode != http.StatusOK {
		t.Error("after the handover:", resp.Status)
	}
	fresh.wantMetric(t, `answered_total{group="look"}`, before+1)
	let()
	if resp := sidecartest.Receive(t, open, "answer"); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("a request from before: %s, close %v", resp.Status, resp.Close)
	}
	if err := sidecartest.Receive(t, old.ended, "end of the old process"); err != nil {
		t.Error(err)
	}
	fresh.wantReply(t, "status", "YES")
}

// Guards against two processes of one sidecar that serve for good: started together, neither found the other.
func TestOneOfTwoProcessesStartedTogetherServes(t *testing.T) {
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
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	c := configure(t, []string{addr})
	socket := sharedSocket{ln.(*net.TCPListener)}
	// The lock holds both up once they are ready, so that neither has found the other by then.
	unlock, err := handover.Lock(t.Context(), filepath.Join(dir, "sock"))
	if err != nil {
		t.Fatal(err)
	}
	var all []*testSidecar
	for range 2 {
		all = append(all, launchSidecar(t, c, socket, ln.Addr().String(), dir))
	}
	for _, s := range all {
		until(t, "an endpoint is known", func() bool { return s.metric(t, "cluster_size") > 0 })
	}
	unlock()
	until(t, "one serves", func() bool {
		return all[0].manage(t, "status") == "YES\n" || all[1].manage(t, "status") == "YES\n"
	})
	left := all[1]
	select {
	case err := <-all[0].ended:
		if err != nil {
			t.Error(err)
		}
	case err := <-all[1].ended:
		if err != nil {
			t.Error(err)
		}
		left = all[0]
	case <-time.After(sidecartest.WaitTimeout):
		t.Fatal("both serve")
	}
	until(t, "the other one serves", func() bool { return left.manage(t, "status") == "YES\n" })
	if resp, _ := left.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode != http.StatusOK {
		t.Error("after the handover:", resp.Status)
	}
}

// until waits for a condition that must become true.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(sidecartest.WaitTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// noSocket is a socket that cannot be listened on.
type noSocket struct{}

func (noSocket) Listen() (net.Listener, error) { return nil, errors.New("none") }

// A new process that fails to start leaves the old one serving.
func TestFailedStartLeavesOldProcessServing(t *testing.T) {
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	c := configure(t, []string{addr})
	dir, err := os.MkdirTemp("", "h") //nolint:usetesting // t.TempDir is too long for the path of a Unix socket
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	old := startIn(t, c, dir)
	host := Host{
		Socket:       noSocket{},
		Overrides:    maintenance.Discard{},
		HandoverPath: filepath.Join(dir, "sock"),
		Log:          sidecartest.DiscardLog,
	}
	if err := Run(t.Context(), c, host); err == nil {
		t.Error("it started without a socket")
	}
	old.wantReply(t, "status", "YES")
	if resp, _ := old.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode != http.StatusOK || resp.Close {
		t.Errorf("%s, close %v", resp.Status, resp.Close)
	}
}
