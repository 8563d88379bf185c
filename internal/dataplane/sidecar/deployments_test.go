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

// deployment has settings whose names, values and order of classes differ from those of sidecartest.Configure.
type deployment struct {
	name     string
	settings string

	idempotent, keyed, notIdempotent string         // names of the classes by their idempotency
	timeoutMs                        map[string]int // by class
	maxAttempts                      int
	retryAfter                       bool // whether rejections have a Retry-After
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
	tenant               = "t-8"
	maxOpenRequests      = 5     // limit in the settings of all deployments
	maxRetryAfterSeconds = 0.077 // upper limit in the settings of the second deployment

	// maxBusyDelayMs is the time in milliseconds that a busy machine may take from the last byte of a request to its
	// attempt.
	maxBusyDelayMs = 25_000
)

// recordingEndpoint is an endpoint that records the requests that it receives.
type recordingEndpoint struct {
	addr     string
	received chan *http.Request
	breaks   chan struct{} // one value for each attempt whose connection the endpoint breaks
	release  chan struct{} // closed to answer the requests that have the query key "hold"
}

func newRecordingEndpoint(t *testing.T) *recordingEndpoint {
	t.Helper()
	endpoint := &recordingEndpoint{
		received: make(chan *http.Request, 64),
		breaks:   make(chan struct{}, 64),
		release:  make(chan struct{}),
	}
	endpoint.addr = sidecartest.RawEndpoint(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		for {
			req, err := sidecartest.ReadRequest(reader)
			if err != nil {
				return
			}
			endpoint.received <- req
			if req.URL.Query().Has("hold") {
				<-endpoint.release
			}
			select {
			case <-endpoint.breaks:
				return
			default:
				_, _ = io.WriteString(conn, sidecartest.OKResponse)
			}
		}
	})
	return endpoint
}

// count returns the number of requests received since the last call.
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
		entry := sidecartest.ReadyInstance(fmt.Sprint("i-", i), addr)
		entry.StartedMs, entry.Zone, entry.Kind = 1, "nowhere", "nothing"
		known = append(known, entry)
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
	cfg, err := config.Parse(text, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// method returns the HTTP method for a class.
func (d *deployment) method(class string) string {
	if class == d.idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

// request returns a request of a class with a timeout in milliseconds.
func (d *deployment) request(class, path string, ms int) *http.Request {
	r := sidecartest.Request(d.method(class), path, class, ms, "")
	r.Header.Set("X-Customer", tenant)
	if class == d.keyed {
		r.Header.Set("Idempotency-Key", "k")
	}
	return r
}

// The sidecar must take classes, methods, idempotency keys, timeouts, numbers of attempts, limits and Retry-After from
// the settings of its deployment. Nothing may be left of the settings of the other tests.
func TestSettingsOfOtherDeployments(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			endpoint := newRecordingEndpoint(t)
			defer close(endpoint.release)
			sidecar := startSidecar(t, d.configure(t, endpoint.addr))
			d.checkClasses(t, sidecar, endpoint)
			d.checkUnknownRequests(t, sidecar)
			d.checkAttempts(t, sidecar, endpoint)
			d.checkLimit(t, sidecar, endpoint)
			if n := endpoint.count(); n > 0 {
				t.Errorf("the endpoint received %d probes or further requests, want none", n)
			}
		})
	}
}

// checkClasses checks the timeout and the method of each class. The class's timeout applies even if the client would
// wait longer.
func (d *deployment) checkClasses(t *testing.T, sidecar *testSidecar, endpoint *recordingEndpoint) {
	t.Helper()
	for class, timeoutMs := range d.timeoutMs {
		resp, body := sidecar.do(t, d.request(class, "/"+class+"/7", 3*timeoutMs))
		if resp.StatusCode != http.StatusOK || body != "ok" {
			t.Fatalf("request of class %s: %s with body %q, want 200 with ok", class, resp.Status, body)
		}
		received := <-endpoint.received
		leftMs, err := strconv.Atoi(received.Header.Get("X-Expires-In-Ms"))
		if err != nil || leftMs > timeoutMs || leftMs < timeoutMs-maxBusyDelayMs {
			t.Errorf("request of class %s: the endpoint has %d ms left, want the class's %d", class, leftMs, timeoutMs)
		}
		wrongMethod := d.request(class, "/"+class, timeoutMs)
		wrongMethod.Method = http.MethodGet
		if class == d.idempotent {
			wrongMethod.Method = http.MethodPost
		}
		if resp, _ := sidecar.do(t, wrongMethod); resp.StatusCode != http.StatusMethodNotAllowed {
			t.Errorf("request of class %s with method %s: %s, want 405", class, wrongMethod.Method, resp.Status)
		}
	}
}

// checkUnknownRequests checks that classes of other settings are unknown, and that the keyed class requires a key.
func (d *deployment) checkUnknownRequests(t *testing.T, sidecar *testSidecar) {
	t.Helper()
	for _, class := range []string{"look", "book", "pay", "slot-search", "confirm"} {
		resp, _ := sidecar.do(t, sidecartest.Request("GET", "/"+class, class, 900, ""))
		if resp.StatusCode != http.StatusNotFound {
			t.Errorf("request of class %q of other settings: %s, want 404", class, resp.Status)
		}
	}
	withoutKey := d.request(d.keyed, "/"+d.keyed, 900)
	withoutKey.Header.Del("Idempotency-Key")
	if resp, _ := sidecar.do(t, withoutKey); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("request of the keyed class without an idempotency key: %s, want 400", resp.Status)
	}
}

// checkAttempts breaks the connections of all attempts once these are sent. An idempotent request must then have as
// many attempts as the settings allow, and a request that is not idempotent only one.
func (d *deployment) checkAttempts(t *testing.T, sidecar *testSidecar, endpoint *recordingEndpoint) {
	t.Helper()
	for class, want := range map[string]int{d.idempotent: d.maxAttempts, d.notIdempotent: 1} {
		for range want {
			endpoint.breaks <- struct{}{}
		}
		resp, _ := sidecar.do(t, d.request(class, "/"+class, 20_000))
		if n := endpoint.count(); n != want || resp.StatusCode == http.StatusOK {
			t.Errorf("request of class %s: %d attempts and answer %s, want %d attempts and an error",
				class, n, resp.Status, want)
		}
	}
}

// checkLimit checks that one request more than the limit on open requests is rejected.
func (d *deployment) checkLimit(t *testing.T, sidecar *testSidecar, endpoint *recordingEndpoint) {
	t.Helper()
	for range maxOpenRequests {
		r := d.request(d.notIdempotent, "/"+d.notIdempotent+"?hold", 20_000)
		go func() { _, _ = sidecar.tryDo(r) }() // not answered before the end of the test
		<-endpoint.received
	}
	resp, _ := sidecar.do(t, d.request(d.idempotent, "/"+d.idempotent, 20_000))
	retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != http.StatusServiceUnavailable || (err == nil) != d.retryAfter ||
		retryAfter > maxRetryAfterSeconds {
		t.Errorf("request over the limit: %s, Retry-After %q, want 503", resp.Status, resp.Header.Get("Retry-After"))
	}
}
