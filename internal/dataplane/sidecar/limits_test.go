package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/httpfront"
	"birchmoor/internal/testutil/sidecartest"
)

// Requests over the limit of the settings are rejected without an attempt.
func TestRequestsOverLimitAreRejected(t *testing.T) {
	taken, release := make(chan struct{}, 2), make(chan struct{})
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {
		taken <- struct{}{}
		<-release
	})
	s := startWithEndpoints(t, []string{addr}, `"most-held":1000`, `"most-held":1`)
	first := make(chan int)
	c := s.dial(t)
	go func() {
		resp, _ := s.doOn(t, c, sidecartest.Request("POST", "/pay", "pay", 900, "x"))
		first <- resp.StatusCode
	}()
	sidecartest.Receive(t, taken, "first attempt")
	resp, _ := s.do(t, sidecartest.Request("POST", "/pay", "pay", 900, "x"))
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("second: %s, want 503", resp.Status)
	}
	close(release)
	if code := sidecartest.Receive(t, first, "first answer"); code != http.StatusOK {
		t.Errorf("first: %d, want 200", code)
	}
	if len(taken) != 0 {
		t.Error("the second request was sent")
	}
}

// Connections without requests make room for those with requests, the longest idle first, and none takes a descriptor
// that the sidecar needs.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	taken, release := make(chan struct{}, 1), make(chan struct{})
	addr := sidecartest.HTTPEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			taken <- struct{}{}
			<-release
		}
	})
	cfg := configure(t, []string{addr})
	cfg.MaxDescriptors = config.MinDescriptors
	s := startSidecar(t, cfg)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	waiting := make(chan int, 1)
	c := dial()
	go func() {
		resp, _ := s.doOn(t, c, sidecartest.Request("POST", "/pay", "pay", 1000, "x"))
		waiting <- resp.StatusCode
	}()
	sidecartest.Receive(t, taken, "attempt")
	var idle []net.Conn
	for range 2 * cfg.MaxClientConns(1) {
		idle = append(idle, dial())
	}
	busy := dial()
	for range 3 {
		if resp, _ := s.doOn(t, busy, sidecartest.IdempotentRequest(900)); resp.StatusCode != http.StatusOK || resp.Close {
			t.Fatalf("beside idle connections: %s, close %v", resp.Status, resp.Close)
		}
	}
	first := idle[0]
	setReadDeadline(t, first, httpfront.RequestTimeout/2)
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection idle for longest: %v, want it closed", err)
	}
	last := idle[len(idle)-1]
	if resp, _ := s.doOn(t, last, sidecartest.IdempotentRequest(900)); resp.StatusCode != http.StatusOK {
		t.Errorf("a connection idle for a moment: %s", resp.Status)
	}
	close(release)
	if code := sidecartest.Receive(t, waiting, "answer"); code != http.StatusOK {
		t.Errorf("the open request: %d", code)
	}
}

// A client that sends an incomplete request is answered or disconnected within 3 s, so that a stopping sidecar does not
// wait for it.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) { t.Error("an attempt was made") })
	s := startWithEndpoints(t, []string{addr})
	for _, text := range []string{
		"",
		"GET /look/1 HT",
		"GET /look/1 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: 1\r\n",
		"POST /pay HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: 1\r\nX-Qos: pay\r\nContent-Length: 20\r\n\r\nhalf",
	} {
		t.Run(fmt.Sprint(len(text)), func(t *testing.T) {
			t.Parallel()
			c := s.dial(t)
			_, _ = io.WriteString(c, text)
			setReadDeadline(t, c, 3*time.Second)
			got, err := io.ReadAll(c)
			if err != nil || (len(got) > 0) != (text != "") || text != "" && !strings.HasPrefix(string(got), "HTTP/1.1 4") {
				t.Errorf("answered %q, %v", got, err)
			}
		})
	}
}

// An endpoint could not tell two requests of one ID apart.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	taken, release := make(chan struct{}, 2), make(chan struct{})
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {
		taken <- struct{}{}
		<-release
	})
	s := startWithEndpoints(t, []string{addr})
	c := s.dial(t)
	first := make(chan int, 1)
	r := sidecartest.IdempotentRequest(900)
	go func() {
		resp, _ := s.doOn(t, c, r)
		first <- resp.StatusCode
	}()
	sidecartest.Receive(t, taken, "attempt")
	again := sidecartest.IdempotentRequest(900)
	again.Header.Set("X-Trace-Id", r.Header.Get("X-Trace-Id"))
	if resp, _ := s.do(t, again); resp.StatusCode != http.StatusConflict {
		t.Errorf("the ID of an open request: %s, want 409", resp.Status)
	}
	close(release)
	if code := sidecartest.Receive(t, first, "answer"); code != http.StatusOK {
		t.Errorf("the open request: %d, want 200", code)
	}
	if resp, _ := s.do(t, again); resp.StatusCode != http.StatusOK {
		t.Errorf("an ID that is free again: %s", resp.Status)
	}
}
