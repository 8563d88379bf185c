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

// The sidecar may reject a request only if it knows that the request never ran. Otherwise the request has failed, even
// if the endpoint answered 503.
func TestRejectedOnlyIfRequestNeverRan(t *testing.T) {
	rejectsNeverRan := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	rejectsMayHaveRun := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	cutsBody := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "9")
		_, _ = io.WriteString(w, "half")
	}
	for _, tc := range []struct {
		name     string
		handler  http.HandlerFunc // of the endpoint; nil for a closed address
		class    string
		rejected bool
	}{
		{"rejected, not idempotent", rejectsNeverRan, "pay", true},
		{"rejected, with an idempotency key", rejectsNeverRan, "book", true},
		{"rejected, idempotent", rejectsNeverRan, "look", true},
		{"503, not idempotent", rejectsMayHaveRun, "pay", false},
		{"503, with an idempotency key", rejectsMayHaveRun, "book", false},
		{"half a body, not idempotent", cutsBody, "pay", false},
		{"no connection, not idempotent", nil, "pay", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := sidecartest.ClosedAddress(t)
			if tc.handler != nil {
				addr = sidecartest.HTTPEndpoint(t, tc.handler)
			}
			sidecar := startWithEndpoints(t, []string{addr})
			method := "POST"
			if tc.class == "look" {
				method = "GET"
			}
			resp, _ := sidecar.do(t, sidecartest.Request(method, "/"+tc.class, tc.class, 900, ""))
			if got := resp.StatusCode == http.StatusServiceUnavailable; got != tc.rejected ||
				resp.StatusCode < http.StatusInternalServerError {
				t.Errorf("answered %s, want 503: %v, and a server error in any case", resp.Status, tc.rejected)
			}
			retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if tc.rejected != (err == nil && retryAfter > 0) {
				t.Errorf("Retry-After %q, want a delay if and only if the request is rejected",
					resp.Header.Get("Retry-After"))
			}
		})
	}
}

// A request that may have run must not be retried if it is not idempotent. With an idempotency key it may be retried,
// but only in the same cell.
func TestRetriesFollowIdempotency(t *testing.T) {
	for _, tc := range []struct {
		class       string
		cell        uint16 // cell of the second endpoint
		maxAttempts int32
		served      bool
	}{
		{"pay", 1, 1, false},
		{"book", 2, 1, false},
		{"book", 1, 2, true},
	} {
		t.Run(fmt.Sprint(tc.class, tc.cell), func(t *testing.T) {
			var attempts atomic.Int32
			// The first endpoint that receives the request closes its connection.
			endpoint := func() string {
				return sidecartest.RawEndpoint(t, func(conn *net.TCPConn, reader *bufio.Reader) {
					if _, err := sidecartest.ReadRequest(reader); err == nil && attempts.Add(1) > 1 {
						_, _ = io.WriteString(conn, sidecartest.OKResponse)
					}
				})
			}
			other := sidecartest.ReadyInstance("s-2", endpoint())
			other.Cell = tc.cell
			known := []discovery.Instance{sidecartest.ReadyInstance("s-1", endpoint()), other}
			sidecar := startSidecar(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), known))
			resp, _ := sidecar.do(t, sidecartest.Request("POST", "/"+tc.class, tc.class, 900, "x"))
			if n := attempts.Load(); n > tc.maxAttempts {
				t.Errorf("%d attempts were sent, want at most %d", n, tc.maxAttempts)
			}
			if got := resp.StatusCode == http.StatusOK; got != tc.served ||
				resp.StatusCode == http.StatusServiceUnavailable {
				t.Errorf("answered %s, want 200: %v, and 503 in no case", resp.Status, tc.served)
			}
		})
	}
}

// If an endpoint does not answer, the sidecar must answer the client and close the connection to the endpoint. Package
// core tests in virtual time that the answer comes by the deadline.
func TestSilentEndpointIsClosedAtDeadline(t *testing.T) {
	ended := make(chan error, 3)
	addr := sidecartest.RawEndpoint(t, func(_ *net.TCPConn, reader *bufio.Reader) {
		if _, err := sidecartest.ReadRequest(reader); err != nil {
			return
		}
		_, err := reader.ReadByte()
		ended <- err
	})
	sidecar := startWithEndpoints(t, []string{addr})
	for _, tc := range []struct {
		class string
		want  int
	}{{"pay", 504}, {"book", 504}} {
		resp, _ := sidecar.do(t, sidecartest.Request("POST", "/"+tc.class, tc.class, 200, "x"))
		if resp.StatusCode != tc.want {
			t.Errorf("request of class %s to a silent endpoint: %s, want %d", tc.class, resp.Status, tc.want)
		}
		if err := sidecartest.Receive(t, ended, "end of the attempt"); !errors.Is(err, io.EOF) {
			t.Errorf("request of class %s: the endpoint's connection ended with %v, want EOF", tc.class, err)
		}
	}
	// A request must not run if its deadline has passed, or if no more than the 5 ms that are kept for its answer are
	// left.
	for _, ms := range []int{0, 5} {
		resp, _ := sidecar.do(t, sidecartest.Request("POST", "/pay", "pay", ms, "x"))
		if resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("request with a timeout of %d ms: %s, want 503", ms, resp.Status)
		}
	}
}

// When a client disconnects, the sidecar must close the connection of its attempt.
func TestAttemptEndsWhenClientDisconnects(t *testing.T) {
	received, ended := make(chan struct{}), make(chan error, 1)
	addr := sidecartest.RawEndpoint(t, func(_ *net.TCPConn, reader *bufio.Reader) {
		if _, err := sidecartest.ReadRequest(reader); err != nil {
			t.Error(err)
		}
		close(received)
		_, err := reader.ReadByte()
		ended <- err
	})
	cfg := configure(t, []string{addr}, `"give-up":1000000`, `"give-up":60000000`)
	sidecar := startSidecar(t, cfg)
	conn, err := net.Dial("tcp", sidecar.addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := sidecartest.Request("POST", "/pay", "pay", 60000, "x").Write(conn); err != nil {
		t.Fatal(err)
	}
	sidecartest.Receive(t, received, "attempt")
	conn.Close()
	if err := sidecartest.Receive(t, ended, "end of the attempt"); !errors.Is(err, io.EOF) {
		t.Errorf("the endpoint's connection ended with %v, want EOF", err)
	}
}

// An endpoint that does not answer the requests of one class, or rejects those of one tenant, must get few of these,
// but still its part of all other requests.
func TestEndpointFailingOneClassOrTenantServesOthers(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fails  func(request *http.Request) bool
		handle func(w http.ResponseWriter, request *http.Request)
		other  func() *http.Request // a request that the endpoint serves
	}{
		{"class", func(request *http.Request) bool { return request.URL.Path == "/look/1" },
			func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() },
			func() *http.Request { return sidecartest.Request("POST", "/pay", "pay", 900, "x") }},
		{"tenant", func(request *http.Request) bool { return request.Header.Get("X-Customer") == "zeta" },
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Never-Ran", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			},
			// of the same class, but another tenant
			func() *http.Request { return sidecartest.IdempotentRequest(900) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var failed, served atomic.Int32
			partial := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, request *http.Request) {
				if tc.fails(request) {
					failed.Add(1)
					tc.handle(w, request)
					return
				}
				served.Add(1)
			})
			healthy := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
			sidecar := startWithEndpoints(t, []string{partial, healthy},
				`"tenants":[`, `"tenants":[{"name":"zeta","allowance-per-s":100.0,"share":1.0},`)
			const rounds = 40
			for range rounds {
				request := sidecartest.IdempotentRequest(60)
				request.Header.Set("X-Customer", "zeta")
				sidecar.do(t, request)
				for range 5 {
					sidecar.do(t, tc.other())
				}
			}
			if n := failed.Load(); n > rounds/3 { // some requests test whether the endpoint serves them again
				t.Errorf("%d of %d requests went to the endpoint that fails them, want at most a third", n, rounds)
			}
			if n := served.Load(); n < rounds/4 {
				t.Errorf("%d of %d other requests went to that endpoint, want at least a twentieth", n, 5*rounds)
			}
		})
	}
}

// Idle connections may become silent without being closed. An idempotent request on such a connection must be retried
// at another endpoint well before its deadline, and the other connections that have been idle as long must not be used.
func TestRequestOnSilentConnectionIsRetried(t *testing.T) {
	var silent atomic.Bool
	var unanswered atomic.Int32
	endpoint := func(becomesSilent bool) string {
		return sidecartest.RawEndpoint(t, func(conn *net.TCPConn, reader *bufio.Reader) {
			turnsSilent := becomesSilent && !silent.Load()
			for {
				if _, err := sidecartest.ReadRequest(reader); err != nil {
					return
				}
				if turnsSilent && silent.Load() {
					unanswered.Add(1)
					continue
				}
				_, _ = io.WriteString(conn, sidecartest.OKResponse)
			}
		})
	}
	sidecar := startWithEndpoints(t, []string{endpoint(true), endpoint(false)})
	for range 40 { // opens several connections, and gives the sidecar latencies for its timeouts
		var concurrent sync.WaitGroup
		for range 8 {
			concurrent.Go(func() { sidecar.do(t, sidecartest.IdempotentRequest(900)) })
		}
		concurrent.Wait()
	}
	silent.Store(true)
	for i := range 60 {
		// The circuit breaker may reject a few requests, as latencies without a network vary by more than its factor.
		if resp, _ := sidecar.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode != http.StatusOK &&
			resp.Header.Get("Retry-After") == "" {
			t.Errorf("request %d after connections became silent: %s, want 200 or a rejection", i, resp.Status)
		}
	}
	if n := unanswered.Load(); n != 1 {
		t.Errorf("%d requests were sent on silent connections, want 1", n)
	}
}

// If a service answers in microseconds, attempts have short timeouts, but none may time out before it was sent.
func TestRequestsToFastServiceAreServed(t *testing.T) {
	var list []discovery.Instance
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		list = append(list, namedEndpoint(t, id, "found"))
	}
	sidecar := startSidecar(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), list,
		`"probes":false`, `"probes":true`))
	conn := sidecar.dial(t)
	notServed := 0
	for range 1000 {
		if resp, _ := sidecar.doOnConn(t, conn, sidecartest.IdempotentRequest(1000)); resp.StatusCode != http.StatusOK {
			notServed++
		}
	}
	if notServed > 10 { // the circuit breaker may reject a few
		t.Errorf("%d of 1000 requests to healthy endpoints were not served, want at most 10", notServed)
	}
}
