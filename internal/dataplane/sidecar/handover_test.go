package sidecar

import (
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
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

// newSharedSocket returns a listening socket, and a directory for the files of the processes that share it. Both exist
// until the test ends.
func newSharedSocket(t *testing.T) (socket sharedSocket, dir string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	dir, err = os.MkdirTemp("", "h") //nolint:usetesting // t.TempDir is too long for the path of a Unix socket
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return sharedSocket{ln.(*net.TCPListener)}, dir
}

// startProcess starts a process of a sidecar that shares a socket and a directory with others, and waits until it
// serves.
func startProcess(t *testing.T, cfg *config.Config, socket sharedSocket, dir string) *testSidecar {
	t.Helper()
	sidecar := launchSidecar(t, cfg, socket, socket.ln.Addr().String(), dir)
	for end := time.Now().Add(sidecartest.WaitTimeout); sidecar.manage(t, "status") != "YES\n"; {
		if time.Now().After(end) {
			t.Fatal("the process does not serve in time: " + sidecar.manage(t, "status"))
		}
	}
	return sidecar
}

// A new process takes over under load: it must have the old process's administrative drains, overrides must apply in
// both processes, and the old process must answer its open requests and then end by itself. No client may be rejected.
func TestHandoverUnderLoad(t *testing.T) {
	socket, dir := newSharedSocket(t)
	received, release := make(chan struct{}, 1), make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseOnce)
	addr := sidecartest.HTTPEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			received <- struct{}{}
			<-release
		}
	})
	cfg := configure(t, []string{addr, addr, addr},
		`"ramp-time":10000000`, `"ramp-time":1`, `"give-up":1000000`, `"give-up":5000000`)
	old := startProcess(t, cfg, socket, dir)
	old.wantReply(t, "maint-on s-1", "YES")
	keptConn, err := net.Dial("tcp", old.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer keptConn.Close()
	if resp, _ := old.doOnConn(t, keptConn, sidecartest.IdempotentRequest(900)); resp.Close {
		t.Error("the old process closed a connection after its answer before the handover")
	}
	openAnswer := make(chan *http.Response, 1)
	go func() {
		resp, _ := old.do(t, sidecartest.Request("POST", "/pay", "pay", 5000, "x"))
		openAnswer <- resp
	}()
	sidecartest.Receive(t, received, "attempt")

	next := startProcess(t, cfg, socket, dir)
	next.wantMetric(t, "cluster_unhealthy", 1)
	old.wantReply(t, "status", "NO stopping")
	old.wantReply(t, "maint-on s-2", "YES")
	next.wantMetric(t, "cluster_unhealthy", 2)
	next.wantReply(t, "maint-off s-1", "YES")
	old.wantMetric(t, "cluster_unhealthy", 1)
	if resp, _ := old.doOnConn(t, keptConn, sidecartest.IdempotentRequest(900)); !resp.Close {
		t.Error("the old process did not close a connection after its answer during the handover")
	}
	answeredBefore := next.metric(t, `answered_total{group="look"}`)
	if resp, _ := next.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode != http.StatusOK {
		t.Error("request to the new process after the handover:", resp.Status)
	}
	next.wantMetric(t, `answered_total{group="look"}`, answeredBefore+1)
	releaseOnce()
	if resp := sidecartest.Receive(t, openAnswer, "answer"); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("request from before the handover: %s, close %v, want 200 and close", resp.Status, resp.Close)
	}
	if err := sidecartest.Receive(t, old.ended, "end of the old process"); err != nil {
		t.Error(err)
	}
	next.wantReply(t, "status", "YES")
}

// Two processes of a sidecar that start at the same time may both miss the other at the start. They must still find
// each other, and only one may keep serving.
func TestOneOfTwoProcessesStartedTogetherServes(t *testing.T) {
	socket, dir := newSharedSocket(t)
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	cfg := configure(t, []string{addr})
	// The lock stops both processes once they are ready, so that neither has found the other at the start.
	unlock, err := handover.Lock(t.Context(), filepath.Join(dir, "sock"))
	if err != nil {
		t.Fatal(err)
	}
	var sidecars []*testSidecar
	for range 2 {
		sidecars = append(sidecars, launchSidecar(t, cfg, socket, socket.ln.Addr().String(), dir))
	}
	for _, sidecar := range sidecars {
		waitFor(t, "a process has an endpoint", func() bool { return sidecar.metric(t, "cluster_size") > 0 })
	}
	unlock()
	waitFor(t, "one of the processes serves", func() bool {
		return slices.ContainsFunc(sidecars, func(sidecar *testSidecar) bool {
			answer, err := sidecar.tryManage("status") // fails at the process that has ended, as one of them should
			return err == nil && answer == "YES\n"
		})
	})
	remaining := sidecars[1]
	select {
	case err := <-sidecars[0].ended:
		if err != nil {
			t.Error(err)
		}
	case err := <-sidecars[1].ended:
		if err != nil {
			t.Error(err)
		}
		remaining = sidecars[0]
	case <-time.After(sidecartest.WaitTimeout):
		t.Fatal("no process ended: both still serve")
	}
	waitFor(t, "the remaining process serves", func() bool { return remaining.manage(t, "status") == "YES\n" })
	if resp, _ := remaining.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode != http.StatusOK {
		t.Error("request to the remaining process:", resp.Status)
	}
}

// TestProcessStartedDuringHandoverReplacesOldOne guards against two processes that both serve for good, because the old
// one let another new process join first, which then ended.
func TestProcessStartedDuringHandoverReplacesOldOne(t *testing.T) {
	socket, dir := newSharedSocket(t)
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	cfg := configure(t, []string{addr})
	old := startProcess(t, cfg, socket, dir)
	joined, err := net.Dial("unix", filepath.Join(dir, "sock"))
	if err != nil {
		t.Fatal(err)
	}
	defer joined.Close()
	if _, err := joined.Write([]byte(`{"op":"join","seq":1}` + "\n")); err != nil {
		t.Fatal(err)
	}
	if _, err := joined.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}

	next := launchSidecar(t, cfg, socket, socket.ln.Addr().String(), dir)
	time.Sleep(time.Second) // longer than a new process waits for its turn before it starts without the state
	_ = joined.Close()
	if err := sidecartest.Receive(t, old.ended, "end of the old process"); err != nil {
		t.Error(err)
	}
	waitFor(t, "the new process serves", func() bool { return next.manage(t, "status") == "YES\n" })
}

// waitFor waits until condition returns true, and fails the test if that takes longer than sidecartest.WaitTimeout.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(sidecartest.WaitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", description)
		}
	}
}

// failingSocket is a handover.Socket that fails to listen.
type failingSocket struct{}

func (failingSocket) Listen() (net.Listener, error) { return nil, errors.New("none") }

// If a new process fails to start, the old process must keep serving and must not close its connections.
func TestFailedStartLeavesOldProcessServing(t *testing.T) {
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	cfg := configure(t, []string{addr})
	dir, err := os.MkdirTemp("", "h") //nolint:usetesting // t.TempDir is too long for the path of a Unix socket
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	old := startSidecarIn(t, cfg, dir)
	host := Host{
		Socket:       failingSocket{},
		Overrides:    maintenance.Discard{},
		HandoverPath: filepath.Join(dir, "sock"),
		Log:          sidecartest.DiscardLog,
	}
	if err := Run(t.Context(), cfg, host); err == nil {
		t.Error("the new process started without a socket")
	}
	old.wantReply(t, "status", "YES")
	if resp, _ := old.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode != http.StatusOK || resp.Close {
		t.Errorf("request to the old process: %s, close %v, want 200 without close", resp.Status, resp.Close)
	}
}
