package sidecar

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"birchmoor/internal/dataplane/config"
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
	config chan *config.Config // what is read at a reload; nil is an error
}

// startSidecar runs a sidecar and waits until it is ready. It is stopped with the test.
func startSidecar(t *testing.T, c *config.Config) *testSidecar {
	t.Helper()
	return startIn(t, c, t.TempDir())
}

// singleListener is a listener of the test's own.
type singleListener struct{ net.Listener }

func (o singleListener) Listen() (net.Listener, error) { return o.Listener, nil }

// startIn runs a sidecar that keeps its files in dir.
func startIn(t *testing.T, c *config.Config, dir string) *testSidecar {
	t.Helper()
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	desk, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testSidecar{addr: ln.Addr().String(), management: desk, stop: stop, ended: make(chan error, 1),
		reload: make(chan os.Signal, 1), config: make(chan *config.Config, 1)}
	go func() {
		s.ended <- Run(ctx, c, Host{Socket: singleListener{ln}, Management: s.management, Overrides: maintenance.File{Path: dir + "/bans.json"}, HandoverPath: dir + "/sock",
			Reload: s.reload, ReadConfig: s.read, Log: sidecartest.DiscardLog})
		close(s.ended)
	}()
	t.Cleanup(func() {
		stop()
		<-s.ended
	})
	for end := time.Now().Add(sidecartest.WaitTimeout); ; {
		resp, err := http.Get("http://" + s.addr + "/-/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 && s.manage(t, "status") == "YES\n" {
				return s
			}
		}
		if time.Now().After(end) {
			t.Fatal("the sidecar does not become ready")
		}
	}
}

func (s *testSidecar) read() (*config.Config, error) {
	if c := <-s.config; c != nil {
		return c, nil
	}
	return nil, errors.New("no sense")
}

// do sends a request to the sidecar on a connection of its own and returns the whole answer.
func (s *testSidecar) do(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return s.doOn(t, c, r)
}

// tryDo sends a request on a connection of its own to a sidecar that may take none any more.
func (s *testSidecar) tryDo(r *http.Request) (*http.Response, error) {
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := r.Write(c); err != nil {
		return nil, err
	}
	c.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
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
	c.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("the answer is not whole: %v", err)
	}
	return resp, string(body)
}
