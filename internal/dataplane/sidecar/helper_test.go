package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/testutil/sidecartest"
)

// testSidecar is a sidecar under test. stop begins to stop it; ended receives the result of Run.
type testSidecar struct {
	addr       string
	management net.Listener
	stop       context.CancelFunc
	ended      chan error

	reload     chan os.Signal
	nextConfig chan *config.Config // configuration that the next reload reads; nil makes the reload fail
}

// listenerSocket is a handover.Socket with one existing listener.
type listenerSocket struct{ net.Listener }

func (s listenerSocket) Listen() (net.Listener, error) { return s.Listener, nil }

// launchSidecar starts a sidecar that keeps its files in dir. The sidecar is stopped when the test ends, and must not
// end with an error.
func launchSidecar(t *testing.T, cfg *config.Config, socket handover.Socket, addr, dir string) *testSidecar {
	t.Helper()
	management, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	sidecar := &testSidecar{
		addr:       addr,
		management: management,
		stop:       stop,
		ended:      make(chan error, 1),
		reload:     make(chan os.Signal, 1),
		nextConfig: make(chan *config.Config, 1),
	}
	host := Host{
		Socket:       socket,
		Management:   management,
		Overrides:    maintenance.File{Path: filepath.Join(dir, "bans.json")},
		HandoverPath: filepath.Join(dir, "sock"),
		Reload:       sidecar.reload,
		ReadConfig:   sidecar.readConfig,
		Log:          sidecartest.DiscardLog,
	}
	go func() {
		sidecar.ended <- Run(ctx, cfg, host)
		close(sidecar.ended)
	}()
	t.Cleanup(func() {
		stop()
		if err := <-sidecar.ended; err != nil {
			t.Error("the sidecar ended with an error:", err)
		}
	})
	return sidecar
}

// startSidecarIn starts a sidecar that keeps its files in dir, and waits until it is ready.
func startSidecarIn(t *testing.T, cfg *config.Config, dir string) *testSidecar {
	t.Helper()
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	sidecar := launchSidecar(t, cfg, listenerSocket{ln}, ln.Addr().String(), dir)
	for end := time.Now().Add(sidecartest.WaitTimeout); ; {
		resp, err := http.Get("http://" + sidecar.addr + "/-/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK && sidecar.manage(t, "status") == "YES\n" {
				return sidecar
			}
		}
		if time.Now().After(end) {
			t.Fatal("the sidecar did not become ready in time")
		}
	}
}

func startSidecar(t *testing.T, c *config.Config) *testSidecar {
	t.Helper()
	return startSidecarIn(t, c, t.TempDir())
}

// configure returns a configuration whose initial list has endpoints s-1, s-2 and so on at addrs, and whose discovery
// is down. edits are pairs of old and new text in the settings.
func configure(t *testing.T, addrs []string, edits ...string) *config.Config {
	t.Helper()
	var known []discovery.Instance
	for i, addr := range addrs {
		known = append(known, sidecartest.ReadyInstance(fmt.Sprint("s-", i+1), addr))
	}
	return sidecartest.Configure(t, sidecartest.ClosedAddress(t), known, edits...)
}

func startWithEndpoints(t *testing.T, addrs []string, edits ...string) *testSidecar {
	t.Helper()
	return startSidecar(t, configure(t, addrs, edits...))
}

func (s *testSidecar) readConfig() (*config.Config, error) {
	if c := <-s.nextConfig; c != nil {
		return c, nil
	}
	return nil, errors.New("invalid configuration")
}

// do sends a request to the sidecar on a new connection, and returns the complete answer.
func (s *testSidecar) do(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return s.doOnConn(t, conn, r)
}

// tryDo sends a request on a new connection, and returns an error if the sidecar does not accept or answer it.
func (s *testSidecar) tryDo(r *http.Request) (*http.Response, error) {
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := r.Write(conn); err != nil {
		return nil, err
	}
	if err := conn.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout)); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// doOnConn sends a request on an open connection, and returns the complete answer.
func (s *testSidecar) doOnConn(t *testing.T, conn net.Conn, r *http.Request) (*http.Response, string) {
	t.Helper()
	if err := r.Write(conn); err != nil {
		t.Fatal(err)
	}
	setReadDeadline(t, conn, sidecartest.WaitTimeout)
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		t.Fatalf("cannot read the answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("cannot read the body of the answer: %v", err)
	}
	return resp, string(body)
}

// dial connects to the sidecar. The connection is closed when the test ends.
func (s *testSidecar) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func setReadDeadline(t *testing.T, conn net.Conn, timeout time.Duration) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
}

// namedEndpoint starts an endpoint that answers all requests with a text, and returns its list entry.
func namedEndpoint(t *testing.T, id, text string) discovery.Instance {
	t.Helper()
	addr := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) })
	return sidecartest.ReadyInstance(id, addr)
}
