package sidecar

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/sidecartest"
)

// deployment is a deployment whose settings have other names, sizes and orders than sidecartest.Configure's.
type deployment struct {
	name     string
	settings string

	idempotent, keyed, notIdempotent string         // classes
	timeoutMs                        map[string]int // of a class
	maxAttempts                      int
	retryAfter                       bool // rejections have one
}

var deployments = []deployment{
	{
		name:          "keyed first, long deadlines, one attempt, no tenants, no reports",
		idempotent:    "views",
		keyed:         "permits",
		notIdempotent: "erasures",
		timeoutMs:     map[string]int{"views": 41_000, "permits": 52_000, "erasures": 63_000},
		maxAttempts:   1,
		settings: `{"peers-total":77,"position":3,"areas":["x9"],"skus":["q","r","s"],"discovery":"subscribe","zone":0,
	"classes":[
	{"name":"permits","repeat":"token","group":"all","window":30000000,
	"target":9000000,"give-up":52000000,"credit":0.25},
	{"name":"erasures","repeat":"side_effect","target":8000000,"give-up":63000000,"credit":40.0},
	{"name":"views","repeat":"pure","target":7000000,"give-up":41000000,"credit":3.0}],
	"contract":{"drain-grace":9000000,"cold-from":0.9,"ramp-time":1000,"fall-multiple":9,"overload-for":100000,
	"ask-within":70000000},
	"limits":{"cancel":false,"probes":false,"second-copies":false,"retry-after":false,"most-tries":1,
	"most-held":5,"max-retry-after":0,"dial-timeout":8000000,"keepalive":3000000},
	"reporting":{"how":"none"},"tenants":[]}`,
	},
	{
		name:          "not idempotent first, four attempts, other tenants and reports",
		idempotent:    "zz",
		keyed:         "look2",
		notIdempotent: "a",
		timeoutMs:     map[string]int{"zz": 30_000, "look2": 31_000, "a": 32_000},
		maxAttempts:   4,
		retryAfter:    true,
		settings: `{"peers-total":1,"areas":["n","m","l","k"],"skus":["z"],"discovery":"automatic",
	"classes":[
	{"name":"a","repeat":"side_effect","target":5000000,"give-up":32000000,"credit":1.0},
	{"name":"zz","repeat":"pure","target":5000000,"give-up":30000000,"credit":1.0},
	{"name":"look2","repeat":"token","group":"all","window":25000000,
	"target":5000000,"give-up":31000000,"credit":1.0}],
	"contract":{"drain-grace":100000,"cold-from":0.9,"ramp-time":1000,"fall-multiple":9,"overload-for":100000,
	"ask-within":1000000},
	"limits":{"cancel":true,"probes":false,"second-copies":true,"retry-after":true,"most-tries":4,
	"most-held":5,"max-retry-after":77000,"dial-timeout":4000000,"keepalive":70000000},
	"reporting":{"how":"answers","fields":["pending"]},
	"tenants":[{"name":"t-9","allowance-per-s":1.0,"share":0.1},{"name":"t-8","allowance-per-s":9.0,"share":0.9}]}`,
	},
}

const (
	tenant   = "t-8"
	maxOpen  = 5     // requests, of all deployments
	maxDelay = 0.077 // seconds of Retry-After

	// busyMs is the time in milliseconds that a busy machine may take from the last byte of a request to its attempt.
	busyMs = 25_000
)

// recordingEndpoint records the requests that it receives.
type recordingEndpoint struct {
	addr     string
	received chan *http.Request
	breaks   chan struct{} // one for each attempt whose connection is to break
	release  chan struct{} // is closed to answer the requests with the query "hold"
}

func newRecordingEndpoint(t *testing.T) *recordingEndpoint {
	t.Helper()
	e := &recordingEndpoint{
		received: make(chan *http.Request, 64),
		breaks:   make(chan struct{}, 64),
		release:  make(chan struct{}),
	}
	e.addr = sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			req, err := sidecartest.ReadRequest(r)
			if err != nil {
				return
			}
			e.received <- req
			if req.URL.Query().Has("hold") {
				<-e.release
			}
			select {
			case <-e.breaks:
				return
			default:
				_, _ = io.WriteString(c, sidecartest.OKResponse)
			}
		}
	})
	return e
}

// count returns how many requests were received since the last call.
func (e *recordingEndpoint) count() (n int) {
	for ; len(e.received) > 0; n++ {
		<-e.received
	}
	return n
}

func (d *deployment) configure(t *testing.T, addr string) *config.Config {
	t.Helper()
	var known []discovery.Instance
	for i := range 5 {
		in := sidecartest.ReadyInstance(fmt.Sprint("i-", i), addr)
		in.StartedMs, in.Zone, in.Kind = 1, "nowhere", "nothing"
		known = append(known, in)
	}
	text, err := json.Marshal(map[string]any{
		"name":      "n7",
		"listen":    "127.0.0.1:0",
		"discovery": sidecartest.ClosedAddress(t),
		"seed":      "1",
		"limits":    map[string]int{"memory_mb": 33, "sockets": 99},
		"known":     discovery.List{Reset: true, Instances: known},
		"settings":  json.RawMessage(d.settings),
	})
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse(text, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (d *deployment) method(class string) string {
	if class == d.idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

func (d *deployment) request(class, path string, ms int) *http.Request {
	r := sidecartest.Request(d.method(class), path, class, ms, "")
	r.Header.Set("X-Customer", tenant)
	if class == d.keyed {
		r.Header.Set("Idempotency-Key", "k")
	}
	return r
}

// Classes, methods, keys, times, attempts, limits and advice are those of the settings, and nothing is left of another
// deployment's.
func TestSettingsOfOtherDeployments(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			endpoint := newRecordingEndpoint(t)
			defer close(endpoint.release)
			s := startSidecar(t, d.configure(t, endpoint.addr))
			d.checkClasses(t, s, endpoint)
			d.checkUnknownRequests(t, s)
			d.checkAttempts(t, s, endpoint)
			d.checkLimit(t, s, endpoint)
			if n := endpoint.count(); n > 0 {
				t.Errorf("%d probes or further requests", n)
			}
		})
	}
}

// checkClasses checks the time and the method of each class. A client may wait longer than its class allows.
func (d *deployment) checkClasses(t *testing.T, s *testSidecar, endpoint *recordingEndpoint) {
	t.Helper()
	for class, timeoutMs := range d.timeoutMs {
		resp, body := s.do(t, d.request(class, "/"+class+"/7", 3*timeoutMs))
		if resp.StatusCode != http.StatusOK || body != "ok" {
			t.Fatalf("%s: %s %q", class, resp.Status, body)
		}
		received := <-endpoint.received
		ms, err := strconv.Atoi(received.Header.Get("X-Expires-In-Ms"))
		if err != nil || ms > timeoutMs || ms < timeoutMs-busyMs {
			t.Errorf("%s: the endpoint has %d ms, want the class's %d", class, ms, timeoutMs)
		}
		wrong := d.request(class, "/"+class, timeoutMs)
		wrong.Method = http.MethodGet
		if class == d.idempotent {
			wrong.Method = http.MethodPost
		}
		if resp, _ := s.do(t, wrong); resp.StatusCode != http.StatusMethodNotAllowed {
			t.Errorf("%s by %s: %s", class, wrong.Method, resp.Status)
		}
	}
}

func (d *deployment) checkUnknownRequests(t *testing.T, s *testSidecar) {
	t.Helper()
	for _, class := range []string{"look", "book", "pay", "slot-search", "confirm"} {
		resp, _ := s.do(t, sidecartest.Request("GET", "/"+class, class, 900, ""))
		if resp.StatusCode != http.StatusNotFound {
			t.Errorf("class %q of another deployment: %s", class, resp.Status)
		}
	}
	withoutKey := d.request(d.keyed, "/"+d.keyed, 900)
	withoutKey.Header.Del("Idempotency-Key")
	if resp, _ := s.do(t, withoutKey); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("without an idempotency key: %s", resp.Status)
	}
}

// checkAttempts breaks all attempts once they are sent: an idempotent request has as many as the settings allow, one
// that is not idempotent a single one.
func (d *deployment) checkAttempts(t *testing.T, s *testSidecar, endpoint *recordingEndpoint) {
	t.Helper()
	for class, want := range map[string]int{d.idempotent: d.maxAttempts, d.notIdempotent: 1} {
		for range want {
			endpoint.breaks <- struct{}{}
		}
		resp, _ := s.do(t, d.request(class, "/"+class, 20_000))
		if n := endpoint.count(); n != want || resp.StatusCode == http.StatusOK {
			t.Errorf("%s: %d attempts, answered %s, want %d", class, n, resp.Status, want)
		}
	}
}

// checkLimit checks that one request more than the limit is rejected.
func (d *deployment) checkLimit(t *testing.T, s *testSidecar, endpoint *recordingEndpoint) {
	t.Helper()
	for range maxOpen {
		r := d.request(d.notIdempotent, "/"+d.notIdempotent+"?hold", 20_000)
		go func() { _, _ = s.tryDo(r) }() // is not answered before the end of the test
		<-endpoint.received
	}
	resp, _ := s.do(t, d.request(d.idempotent, "/"+d.idempotent, 20_000))
	retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != http.StatusServiceUnavailable || (err == nil) != d.retryAfter || retryAfter > maxDelay {
		t.Errorf("over the limit: %s, Retry-After %q", resp.Status, resp.Header.Get("Retry-After"))
	}
}
