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

// running is a sidecar under test.
type running struct {
	addr  string
	mgmt  net.Listener
	stop  context.CancelFunc
	ended chan error

	reload chan os.Signal
	config chan *config.Config // what is read at a reload; nil is an error
}

// start runs a sidecar and waits until it is ready. It is stopped with the test.
func start(t *testing.T, c *config.Config) *running {
	t.Helper()
	return startIn(t, c, t.TempDir())
}

// only is a listener of the test's own.
type only struct{ net.Listener }

func (o only) Listen() (net.Listener, error) { return o.Listener, nil }

// startIn runs a sidecar that keeps its files in dir.
func startIn(t *testing.T, c *config.Config, dir string) *running {
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
	s := &running{addr: ln.Addr().String(), mgmt: desk, stop: stop, ended: make(chan error, 1),
		reload: make(chan os.Signal, 1), config: make(chan *config.Config, 1)}
	go func() {
		s.ended <- Run(ctx, c, Host{Socket: only{ln}, Mgmt: s.mgmt, Bans: maintenance.File{Path: dir + "/bans.json"}, Handover: dir + "/sock",
			Reload: s.reload, Read: s.read, Log: sidecartest.Quiet})
		close(s.ended)
	}()
	t.Cleanup(func() {
		stop()
		<-s.ended
	})
	for end := time.Now().Add(sidecartest.Soon); ; {
		resp, err := http.Get("http://" + s.addr + "/-/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 && s.call(t, "status") == "YES\n" {
				return s
			}
		}
		if time.Now().After(end) {
			t.Fatal("the sidecar does not become ready")
		}
	}
}

func (s *running) read() (*config.Config, error) {
	if c := <-s.config; c != nil {
		return c, nil
	}
	return nil, errors.New("no sense")
}

// ask sends a request to the sidecar on a connection of its own and returns the whole answer.
func (s *running) ask(t *testing.T, r *http.Request) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return s.askOn(t, c, r)
}

// try sends a request on a connection of its own to a sidecar that may take none any more.
func (s *running) try(r *http.Request) (*http.Response, error) {
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := r.Write(c); err != nil {
		return nil, err
	}
	c.SetReadDeadline(time.Now().Add(sidecartest.Soon))
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

func (s *running) askOn(t *testing.T, c net.Conn, r *http.Request) (*http.Response, string) {
	t.Helper()
	if err := r.Write(c); err != nil {
		t.Fatal(err)
	}
	c.SetReadDeadline(time.Now().Add(sidecartest.Soon))
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
