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

// Requests over the settings' limit on open requests must be rejected without an attempt.
func TestRequestsOverLimitAreRejected(t *testing.T) {
	received, release := make(chan struct{}, 2), make(chan struct{})
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {
		received <- struct{}{}
		<-release
	})
	sidecar := startWithEndpoints(t, []string{addr}, `"most-held":1000`, `"most-held":1`)
	first := make(chan int)
	conn := sidecar.dial(t)
	go func() {
		resp, _ := sidecar.doOnConn(t, conn, sidecartest.Request("POST", "/pay", "pay", 900, "x"))
		first <- resp.StatusCode
	}()
	sidecartest.Receive(t, received, "first attempt")
	resp, _ := sidecar.do(t, sidecartest.Request("POST", "/pay", "pay", 900, "x"))
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("request over the limit: %s, want 503", resp.Status)
	}
	close(release)
	if code := sidecartest.Receive(t, first, "first answer"); code != http.StatusOK {
		t.Errorf("request within the limit: status %d, want 200", code)
	}
	if len(received) != 0 {
		t.Error("the request over the limit was sent to the endpoint")
	}
}

// When clients open more connections than the sidecar's descriptors allow, it must close idle connections, the longest
// idle first, so that connections with requests and the sidecar itself get the descriptors that they need.
func TestIdleConnectionsAreClosedForNewOnes(t *testing.T) {
	received, release := make(chan struct{}, 1), make(chan struct{})
	addr := sidecartest.HTTPEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			received <- struct{}{}
			<-release
		}
	})
	cfg := configure(t, []string{addr})
	cfg.MaxDescriptors = config.MinDescriptors
	sidecar := startSidecar(t, cfg)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", sidecar.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	openStatus := make(chan int, 1)
	conn := dial()
	go func() {
		resp, _ := sidecar.doOnConn(t, conn, sidecartest.Request("POST", "/pay", "pay", 1000, "x"))
		openStatus <- resp.StatusCode
	}()
	sidecartest.Receive(t, received, "attempt")
	var idle []net.Conn
	for range 2 * cfg.MaxClientConns(1) {
		idle = append(idle, dial())
	}
	busy := dial()
	for range 3 {
		if resp, _ := sidecar.doOnConn(t, busy, sidecartest.IdempotentRequest(900)); resp.StatusCode != http.StatusOK ||
			resp.Close {
			t.Fatalf("request while other connections are idle: %s, close %v, want 200 without close", resp.Status,
				resp.Close)
		}
	}
	first := idle[0]
	setReadDeadline(t, first, httpfront.RequestTimeout/2)
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("reading from the longest idle connection: %v, want EOF", err)
	}
	last := idle[len(idle)-1]
	if resp, _ := sidecar.doOnConn(t, last, sidecartest.IdempotentRequest(900)); resp.StatusCode != http.StatusOK {
		t.Errorf("request on the connection that was opened last: %s, want 200", resp.Status)
	}
	close(release)
	if code := sidecartest.Receive(t, openStatus, "answer"); code != http.StatusOK {
		t.Errorf("request that was open meanwhile: status %d, want 200", code)
	}
}

// The sidecar must answer or disconnect a client that sends an incomplete request within 3 s, so that it does not wait
// for the client when it stops.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {
		t.Error("an incomplete request was sent to the endpoint")
	})
	sidecar := startWithEndpoints(t, []string{addr})
	for _, text := range []string{
		"",
		"GET /look/1 HT",
		"GET /look/1 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: 1\r\n",
		"POST /pay HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: 1\r\nX-Qos: pay\r\nContent-Length: 20\r\n\r\nhalf",
	} {
		t.Run(fmt.Sprint(len(text)), func(t *testing.T) {
			t.Parallel()
			conn := sidecar.dial(t)
			_, _ = io.WriteString(conn, text)
			setReadDeadline(t, conn, 3*time.Second)
			got, err := io.ReadAll(conn)
			if err != nil || (len(got) > 0) != (text != "") || text != "" && !strings.HasPrefix(string(got), "HTTP/1.1 4") {
				t.Errorf("received %q, error %v, want a 4xx, or nothing if nothing was sent, and the end", got, err)
			}
		})
	}
}

// A request with the ID of an open request must be rejected, because endpoints could not tell the two apart.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	received, release := make(chan struct{}, 2), make(chan struct{})
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {
		received <- struct{}{}
		<-release
	})
	sidecar := startWithEndpoints(t, []string{addr})
	conn := sidecar.dial(t)
	first := make(chan int, 1)
	request := sidecartest.IdempotentRequest(900)
	go func() {
		resp, _ := sidecar.doOnConn(t, conn, request)
		first <- resp.StatusCode
	}()
	sidecartest.Receive(t, received, "attempt")
	again := sidecartest.IdempotentRequest(900)
	again.Header.Set("X-Trace-Id", request.Header.Get("X-Trace-Id"))
	if resp, _ := sidecar.do(t, again); resp.StatusCode != http.StatusConflict {
		t.Errorf("request with the ID of an open request: %s, want 409", resp.Status)
	}
	close(release)
	if code := sidecartest.Receive(t, first, "answer"); code != http.StatusOK {
		t.Errorf("first request: status %d, want 200", code)
	}
	if resp, _ := sidecar.do(t, again); resp.StatusCode != http.StatusOK {
		t.Errorf("request with the ID of an answered request: %s, want 200", resp.Status)
	}
}
