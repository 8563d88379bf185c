package sidecar

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"birchmoor/internal/testutil/sidecartest"
)

// After the stop signal, clients still connect for a while. The sidecar must answer their requests, with Connection:
// close, must finish open requests, and must end without an error.
func TestStopAnswersNewAndOpenRequests(t *testing.T) {
	received, release := make(chan struct{}, 1), make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseOnce)
	addr := sidecartest.HTTPEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			received <- struct{}{}
			<-release
		}
	})
	sidecar := startWithEndpoints(t, []string{addr})
	idle := sidecar.dial(t)
	if resp, _ := sidecar.doOnConn(t, idle, sidecartest.IdempotentRequest(900)); resp.Close {
		t.Error("a connection was closed after its answer before the stop signal")
	}
	var openRequest sync.WaitGroup
	defer openRequest.Wait()
	defer releaseOnce()
	openRequest.Go(func() {
		resp, _ := sidecar.do(t, sidecartest.Request("POST", "/pay", "pay", 1000, "x"))
		if resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("request that was open at the stop signal: %s, close %v, want 200 and close", resp.Status,
				resp.Close)
		}
	})
	sidecartest.Receive(t, received, "attempt")
	start := time.Now()
	sidecar.stop()
	setReadDeadline(t, idle, sidecartest.WaitTimeout)
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("reading from an idle connection after the stop signal: %v, want EOF", err)
	}
	// The sidecar must accept connections for at least 500 ms after the stop signal.
	for n := 0; ; n++ {
		resp, err := sidecar.tryDo(sidecartest.IdempotentRequest(900))
		if err != nil {
			if took := time.Since(start); took < 500*time.Millisecond {
				t.Fatalf("request %d, %v after the stop signal: %v, want an answer", n, took, err)
			}
			break
		}
		if resp.StatusCode != http.StatusOK && resp.Header.Get("Retry-After") == "" || !resp.Close {
			t.Fatalf("request after the stop signal: %s, close %v, want 200 or a rejection, and close", resp.Status,
				resp.Close)
		}
		if n == 3 {
			resp, err := sidecar.tryDo(sidecartest.Request("GET", "/-/ready", "", 900, ""))
			if err == nil && resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("readiness after the stop signal: %s, want 503", resp.Status)
			}
		}
	}
	releaseOnce()
	if err := sidecartest.Receive(t, sidecar.ended, "end"); err != nil {
		t.Errorf("the sidecar ended with %v, want no error", err)
	}
	if took := time.Since(start); took < 500*time.Millisecond {
		t.Errorf("the sidecar ended %v after the stop signal, want at least 500 ms", took)
	}
}

// The kill comes 0.7 s plus the longest timeout of a class, of which at most 3 s count, after the stop signal. The time
// by which all requests must be answered follows from that and thus from the settings.
func TestCloseDelayFollowsSettings(t *testing.T) {
	for timeout, want := range map[string]time.Duration{
		"1000000": 1550 * time.Millisecond, "400000": 950 * time.Millisecond, "22405243": 3550 * time.Millisecond} {
		c := sidecartest.Configure(t, sidecartest.ClosedAddress(t), nil, `"give-up":1000000`, `"give-up":`+timeout)
		if got := closeDelay(&c.Settings); got != want {
			t.Errorf("close delay for a timeout of %s us: %v, want %v", timeout, got, want)
		}
	}
}

// Open requests must be answered before the kill, even if their clients would wait for longer.
func TestStopAnswersOpenRequestsBeforeKill(t *testing.T) {
	received, release := make(chan struct{}, 1), make(chan struct{})
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {
		received <- struct{}{}
		<-release
	})
	defer close(release)
	sidecar := startWithEndpoints(t, []string{addr},
		`"give-up":1000000`, `"give-up":600000000`)
	answers := make(chan *http.Response, 1)
	go func() {
		resp, err := sidecar.tryDo(sidecartest.Request("POST", "/pay", "pay", 600_000, "x"))
		if err != nil {
			t.Error(err)
		}
		answers <- resp
	}()
	sidecartest.Receive(t, received, "attempt")
	sidecar.stop()
	if resp := sidecartest.Receive(t, answers, "answer"); resp == nil || resp.StatusCode != http.StatusBadGateway ||
		!resp.Close {
		t.Errorf("open request answered %+v, want 502 and close", resp)
	}
	if err := sidecartest.Receive(t, sidecar.ended, "end"); err != nil {
		t.Errorf("the sidecar ended with %v, want no error", err)
	}
}
