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

// testSidecar is a sidecar under test.
type testSidecar struct {
	addr       string
	management net.Listener
	stop       context.CancelFunc
	ended      chan error

	reload chan os.Signal
	config chan *config.Config // what a reload reads; nil is an error
}

// singleListener is a socket of the test's own.
type singleListener struct{ net.Listener }

func (s singleListener) Listen() (net.Listener, error) { return s.Listener, nil }

// launchSidecar runs a sidecar that keeps its files in dir. It is stopped with the test.
func launchSidecar(t *testing.T, c *config.Config, socket handover.Socket, addr, dir string) *testSidecar {
	t.Helper()
	management, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &testSidecar{
		addr:       addr,
		management: management,
		stop:       stop,
		ended:      make(chan error, 1),
		reload:     make(chan os.Signal, 1),
		config:     make(chan *config.Config, 1),
	}
	host := Host{
		Socket:       socket,
		Management:   management,
		Overrides:    maintenance.File{Path: filepath.Join(dir, "bans.json")},
		HandoverPath: filepath.Join(dir, "sock"),
		Reload:       s.reload,
		ReadConfig:   s.read,
		Log:          sidecartest.DiscardLog,
	}
	go func() {
		s.ended <- Run(ctx, c, host)
		close(s.ended)
	}()
	t.Cleanup(func() {
		stop()
		if err := <-s.ended; err != nil {
			t.Error("the sidecar ended with:", err)
		}
	})
	return s
}

// startIn runs a sidecar that keeps its files in dir, and waits until it is ready.
func startIn(t *testing.T, c *config.Config, dir string) *testSidecar {
	t.Helper()
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		t.Fatal(err)
	}
	s := launchSidecar(t, c, singleListener{ln}, ln.Addr().String(), dir)
	for end := time.Now().Add(sidecartest.WaitTimeout); ; {
		resp, err := http.Get("http://" + s.addr + "/-/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK && s.manage(t, "status") == "YES\n" {
				return s
			}
		}
		if time.Now().After(end) {
			t.Fatal("the sidecar does not become ready")
		}
	}
}

func startSidecar(t *testing.T, c *config.Config) *testSidecar {
	t.Helper()
	return startIn(t, c, t.TempDir())
}

// configure returns a configuration that lists endpoints s-1, s-2 and so on at addrs, and whose discovery is down.
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

func (s *testSidecar) read() (*config.Config, error) {
	if c := <-s.config; c != nil {
		return c, nil
	}
	return nil, errors.New("invalid configuration")
}

// do sends a request to the sidecar on a connection of its own and returns the complete answer.
func (s *testSidecar) do(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return s.doOn(t, c, r)
}

// tryDo sends a request on a connection of its own to a sidecar that may not accept it.
func (s *testSidecar) tryDo(r *http.Request) (*http.Response, error) {
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := r.Write(c); err != nil {
		return nil, err
	}
	if err := c.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout)); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

func (s *testSidecar) doOn(t *testing.T, c net.Conn, r *http.Request) (*http.Response, string) {
	t.Helper()
	if err := r.Write(c); err != nil {
		t.Fatal(err)
	}
	setReadDeadline(t, c, sidecartest.WaitTimeout)
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("incomplete answer: %v", err)
	}
	return resp, string(body)
}

// dial connects to the sidecar until the test ends.
func (s *testSidecar) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func setReadDeadline(t *testing.T, c net.Conn, timeout time.Duration) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
}

// namedEndpoint returns an endpoint that answers with a text.
func namedEndpoint(t *testing.T, id, text string) discovery.Instance {
	t.Helper()
	addr := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) })
	return sidecartest.ReadyInstance(id, addr)
}
