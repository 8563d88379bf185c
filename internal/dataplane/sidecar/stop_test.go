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

// After the order to stop clients still connect for a while. Their requests are answered, with Connection: close, open
// requests are finished, and the sidecar ends without an error.
func TestStopAnswersNewAndOpenRequests(t *testing.T) {
	taken, release := make(chan struct{}, 1), make(chan struct{})
	let := sync.OnceFunc(func() { close(release) })
	t.Cleanup(let)
	addr := sidecartest.HTTPEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			taken <- struct{}{}
			<-release
		}
	})
	s := startWithEndpoints(t, []string{addr})
	idle := s.dial(t)
	if resp, _ := s.doOn(t, idle, sidecartest.IdempotentRequest(900)); resp.Close {
		t.Error("a connection was closed with its answer")
	}
	var before sync.WaitGroup
	defer before.Wait()
	defer let()
	before.Go(func() {
		resp, _ := s.do(t, sidecartest.Request("POST", "/pay", "pay", 1000, "x"))
		if resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("the open request: %s, close %v", resp.Status, resp.Close)
		}
	})
	sidecartest.Receive(t, taken, "attempt")
	begun := time.Now()
	s.stop()
	setReadDeadline(t, idle, sidecartest.WaitTimeout)
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v, want it closed", err)
	}
	// It must accept for at least 500 ms after the order.
	for n := 0; ; n++ {
		resp, err := s.tryDo(sidecartest.IdempotentRequest(900))
		if err != nil {
			if took := time.Since(begun); took < 500*time.Millisecond {
				t.Fatalf("request %d after the order, after %v: %v", n, took, err)
			}
			break
		}
		if resp.StatusCode != http.StatusOK && resp.Header.Get("Retry-After") == "" || !resp.Close {
			t.Fatalf("after the order: %s, close %v", resp.Status, resp.Close)
		}
		if n == 3 {
			resp, err := s.tryDo(sidecartest.Request("GET", "/-/ready", "", 900, ""))
			if err == nil && resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("ready: %s after the order to stop", resp.Status)
			}
		}
	}
	let()
	if err := sidecartest.Receive(t, s.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
	if took := time.Since(begun); took < 500*time.Millisecond {
		t.Errorf("stopped accepting after %v", took)
	}
}

// The kill comes 0.7 s and the longest timeout of a request, of which at most 3 s count, after the order to stop: the
// time in which all requests must be answered follows from the settings.
func TestEndDelayFollowsSettings(t *testing.T) {
	for timeout, want := range map[string]time.Duration{"1000000": 1550 * time.Millisecond, "400000": 950 * time.Millisecond,
		"22405243": 3550 * time.Millisecond} {
		c := sidecartest.Configure(t, sidecartest.ClosedAddress(t), nil, `"give-up":1000000`, `"give-up":`+timeout)
		if got := endDelay(&c.Settings); got != want {
			t.Errorf("timeout of %s us: %v, want %v", timeout, got, want)
		}
	}
}

// Open requests are answered before the kill, however long their clients would wait.
func TestStopAnswersOpenRequestsBeforeKill(t *testing.T) {
	taken, release := make(chan struct{}, 1), make(chan struct{})
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {
		taken <- struct{}{}
		<-release
	})
	defer close(release)
	s := startWithEndpoints(t, []string{addr},
		`"give-up":1000000`, `"give-up":600000000`)
	answers := make(chan *http.Response, 1)
	go func() {
		resp, err := s.tryDo(sidecartest.Request("POST", "/pay", "pay", 600_000, "x"))
		if err != nil {
			t.Error(err)
		}
		answers <- resp
	}()
	sidecartest.Receive(t, taken, "attempt")
	s.stop()
	if resp := sidecartest.Receive(t, answers, "answer"); resp == nil || resp.StatusCode != http.StatusBadGateway || !resp.Close {
		t.Errorf("answered %+v", resp)
	}
	if err := sidecartest.Receive(t, s.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}
