package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/sidecartest"
)

// A rejection promises that the request never ran. Where that is not known the request failed, whatever the endpoint
// answered.
func TestRejectionPromisesThatRequestNeverRan(t *testing.T) {
	never := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	perhaps := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	broken := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "9")
		_, _ = io.WriteString(w, "half")
	}
	for _, tc := range []struct {
		name     string
		h        http.HandlerFunc
		class    string
		rejected bool
	}{
		{"rejected, not idempotent", never, "pay", true},
		{"rejected, with an idempotency key", never, "book", true},
		{"rejected, idempotent", never, "look", true},
		{"503, not idempotent", perhaps, "pay", false},
		{"503, with an idempotency key", perhaps, "book", false},
		{"half a body, not idempotent", broken, "pay", false},
		{"no connection, not idempotent", nil, "pay", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := sidecartest.ClosedAddress(t)
			if tc.h != nil {
				addr = sidecartest.HTTPEndpoint(t, tc.h)
			}
			s := startWithEndpoints(t, []string{addr})
			method := "POST"
			if tc.class == "look" {
				method = "GET"
			}
			resp, _ := s.do(t, sidecartest.Request(method, "/"+tc.class, tc.class, 900, ""))
			if got := resp.StatusCode == http.StatusServiceUnavailable; got != tc.rejected || resp.StatusCode < http.StatusInternalServerError {
				t.Errorf("%s, rejected should be %v", resp.Status, tc.rejected)
			}
			retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if tc.rejected != (err == nil && retryAfter > 0) {
				t.Errorf("Retry-After %q", resp.Header.Get("Retry-After"))
			}
		})
	}
}

// A request that may have run is not retried if it is not idempotent, and only in the same cell if it has an
// idempotency key.
func TestRetriesFollowIdempotency(t *testing.T) {
	for _, tc := range []struct {
		class     string
		cell      uint16 // of the second endpoint
		maxCopies int32
		served    bool
	}{
		{"pay", 1, 1, false},
		{"book", 2, 1, false},
		{"book", 1, 2, true},
	} {
		t.Run(fmt.Sprint(tc.class, tc.cell), func(t *testing.T) {
			var copies atomic.Int32
			// The first to receive the request closes its connection.
			endpoint := func() string {
				return sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
					if _, err := sidecartest.ReadRequest(r); err == nil && copies.Add(1) > 1 {
						_, _ = io.WriteString(c, sidecartest.OKResponse)
					}
				})
			}
			other := sidecartest.ReadyInstance("s-2", endpoint())
			other.Cell = tc.cell
			known := []discovery.Instance{sidecartest.ReadyInstance("s-1", endpoint()), other}
			s := startSidecar(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), known))
			resp, _ := s.do(t, sidecartest.Request("POST", "/"+tc.class, tc.class, 900, "x"))
			if n := copies.Load(); n > tc.maxCopies {
				t.Errorf("%d copies, want at most %d", n, tc.maxCopies)
			}
			if got := resp.StatusCode == http.StatusOK; got != tc.served || resp.StatusCode == http.StatusServiceUnavailable {
				t.Errorf("%s, served should be %v", resp.Status, tc.served)
			}
		})
	}
}

// An endpoint that does not answer keeps neither the client waiting forever nor the connection open. That the answer
// comes at the deadline is tested in virtual time, in package core.
func TestSilentEndpointIsClosedAtDeadline(t *testing.T) {
	ended := make(chan error, 3)
	addr := sidecartest.RawEndpoint(t, func(_ *net.TCPConn, r *bufio.Reader) {
		if _, err := sidecartest.ReadRequest(r); err != nil {
			return
		}
		_, err := r.ReadByte()
		ended <- err
	})
	s := startWithEndpoints(t, []string{addr})
	for _, tc := range []struct {
		class string
		want  int
	}{{"pay", 504}, {"book", 504}} {
		resp, _ := s.do(t, sidecartest.Request("POST", "/"+tc.class, tc.class, 200, "x"))
		if resp.StatusCode != tc.want {
			t.Errorf("%s: %s, want %d", tc.class, resp.Status, tc.want)
		}
		if err := sidecartest.Receive(t, ended, "end of the attempt"); !errors.Is(err, io.EOF) {
			t.Errorf("%s: the connection is still open: %v", tc.class, err)
		}
	}
	// A request whose deadline has passed, or is within the 5 ms that are left for its answer, never runs.
	for _, ms := range []int{0, 5} {
		resp, _ := s.do(t, sidecartest.Request("POST", "/pay", "pay", ms, "x"))
		if resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("%d ms: %s, want 503", ms, resp.Status)
		}
	}
}

// The attempt of a client that leaves ends.
func TestAttemptEndsWhenClientLeaves(t *testing.T) {
	taken, ended := make(chan struct{}), make(chan error, 1)
	addr := sidecartest.RawEndpoint(t, func(_ *net.TCPConn, r *bufio.Reader) {
		if _, err := sidecartest.ReadRequest(r); err != nil {
			t.Error(err)
		}
		close(taken)
		_, err := r.ReadByte()
		ended <- err
	})
	cfg := configure(t, []string{addr}, `"give-up":1000000`, `"give-up":60000000`)
	s := startSidecar(t, cfg)
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := sidecartest.Request("POST", "/pay", "pay", 60000, "x").Write(c); err != nil {
		t.Fatal(err)
	}
	sidecartest.Receive(t, taken, "attempt")
	c.Close()
	if err := sidecartest.Receive(t, ended, "end of the attempt"); !errors.Is(err, io.EOF) {
		t.Errorf("the connection is still open: %v", err)
	}
}

// An endpoint that does not answer one class, or rejects one tenant, gets few requests of that, and still the rest.
func TestEndpointFailingOneClassOrTenantServesOthers(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fails  func(r *http.Request) bool
		handle func(w http.ResponseWriter, r *http.Request)
		rest   func() *http.Request
	}{
		{"class", func(r *http.Request) bool { return r.URL.Path == "/look/1" },
			func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
			func() *http.Request { return sidecartest.Request("POST", "/pay", "pay", 900, "x") }},
		{"tenant", func(r *http.Request) bool { return r.Header.Get("X-Customer") == "zeta" },
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Never-Ran", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			},
			func() *http.Request { return sidecartest.IdempotentRequest(900) }}, // of the same class
	} {
		t.Run(tc.name, func(t *testing.T) {
			var failed, served atomic.Int32
			partial := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
				if tc.fails(r) {
					failed.Add(1)
					tc.handle(w, r)
					return
				}
				served.Add(1)
			})
			healthy := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
			s := startWithEndpoints(t, []string{partial, healthy},
				`"tenants":[`, `"tenants":[{"name":"zeta","allowance-per-s":100.0,"share":1.0},`)
			const rounds = 40
			for range rounds {
				r := sidecartest.IdempotentRequest(60)
				r.Header.Set("X-Customer", "zeta")
				s.do(t, r)
				for range 5 {
					s.do(t, tc.rest())
				}
			}
			if n := failed.Load(); n > rounds/3 { // it is probed now and then
				t.Errorf("%d of %d requests went to the endpoint that fails them", n, rounds)
			}
			if n := served.Load(); n < rounds/4 {
				t.Errorf("%d of %d other requests went there", n, 5*rounds)
			}
		})
	}
}

// Idle connections may become silent. An idempotent request on one is retried elsewhere long before its deadline, and
// the others that have been idle for as long are not used.
func TestRequestOnSilentConnectionIsRetried(t *testing.T) {
	var silent atomic.Bool
	var lost atomic.Int32
	endpoint := func(becomesSilent bool) string {
		return sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
			old := becomesSilent && !silent.Load()
			for {
				if _, err := sidecartest.ReadRequest(r); err != nil {
					return
				}
				if old && silent.Load() {
					lost.Add(1)
					continue
				}
				_, _ = io.WriteString(c, sidecartest.OKResponse)
			}
		})
	}
	s := startWithEndpoints(t, []string{endpoint(true), endpoint(false)})
	for range 40 { // the sidecar learns how long requests take, on several connections
		var several sync.WaitGroup
		for range 8 {
			several.Go(func() { s.do(t, sidecartest.IdempotentRequest(900)) })
		}
		several.Wait()
	}
	silent.Store(true)
	for i := range 60 {
		// The circuit breaker may reject a few: latencies without a network vary by more than its factor.
		if resp, _ := s.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode != http.StatusOK && resp.Header.Get("Retry-After") == "" {
			t.Errorf("request %d: %s", i, resp.Status)
		}
	}
	if n := lost.Load(); n != 1 {
		t.Errorf("%d requests went to silent connections, want 1", n)
	}
}

// A service that answers in microseconds leaves attempts little time, but none may be cancelled before it was sent.
func TestFastServiceIsServed(t *testing.T) {
	var list []discovery.Instance
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		list = append(list, namedEndpoint(t, id, "found"))
	}
	s := startSidecar(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), list, `"probes":false`, `"probes":true`))
	c := s.dial(t)
	notServed := 0
	for range 1000 {
		if resp, _ := s.doOn(t, c, sidecartest.IdempotentRequest(1000)); resp.StatusCode != http.StatusOK {
			notServed++
		}
	}
	if notServed > 10 { // rejected by the circuit breaker
		t.Errorf("%d of 1000 requests to healthy endpoints were not served", notServed)
	}
}
