// Package sidecartest has what tests of the data plane share: a small configuration, endpoints, and a scripted
// discovery service.
package sidecartest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/lab/address"
)

// WaitTimeout is the timeout of every wait for an expected event. It is long because a process may not run for seconds
// on a busy machine, and no test result may depend on that.
const WaitTimeout = time.Minute

// Settings are the settings of a small site without probes. Its classes are look, which is idempotent, book, which has
// an idempotency key, and pay, which is not idempotent.
const Settings = `{"peers-total":1,"areas":["a","b"],"skus":["m1"],"discovery":"automatic",
	"classes":[
	{"name":"look","repeat":"pure","target":500000,"give-up":1000000,"credit":1.0},
	{"name":"book","repeat":"token","group":"cell","window":400000,"target":500000,"give-up":1000000,"credit":5.0},
	{"name":"pay","repeat":"side_effect","target":500000,"give-up":1000000,"credit":5.0}],
	"contract":{"drain-grace":250000,"cold-from":0.2,"ramp-time":10000000,"fall-multiple":2.5,
	"overload-for":2000000,"ask-within":10000000},
	"limits":{"cancel":true,"probes":false,"second-copies":true,"retry-after":true,"most-tries":3,
	"most-held":1000,"max-retry-after":400000,"dial-timeout":1000000,"keepalive":15000000},
	"reporting":{"how":"probe","fields":["busy_reqs","served_ps","cpu_share"]},
	"tenants":[{"name":"acme","allowance-per-s":100.0,"share":1.0}]}`

// Configure returns the configuration of a sidecar with the given address of discovery and initial endpoint list. edits
// are pairs of old and new text, which are replaced in Settings.
func Configure(tb testing.TB, discoveryAddr string, instances []discovery.Instance, edits ...string) *config.Config {
	tb.Helper()
	c, err := config.Parse(ConfigText(tb, discoveryAddr, instances, edits...), func(string) string { return "" })
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

// ConfigText returns the text of the configuration file that Configure parses.
func ConfigText(tb testing.TB, discoveryAddr string, instances []discovery.Instance, edits ...string) []byte {
	tb.Helper()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": discoveryAddr,
		"seed": "8c1f30d27a5be964", "limits": map[string]int{"memory_mb": 192, "sockets": 1024},
		"known":    discovery.List{Generation: 7, Reset: true, Instances: instances},
		"settings": json.RawMessage(strings.NewReplacer(edits...).Replace(Settings))})
	if err != nil {
		tb.Fatal(err)
	}
	return text
}

// ReadyInstance returns the entry of an endpoint list for an endpoint that is ready.
func ReadyInstance(id, addr string) discovery.Instance {
	return discovery.Instance{ID: id, Addr: addr, Zone: "a", Kind: "m1", Cell: 1, Lifecycle: "up", Weight: 1}
}

// Instances returns an endpoint list of ready endpoints s-1, s-2 and so on at the addresses.
func Instances(addrs ...string) []discovery.Instance {
	var instances []discovery.Instance
	for i, addr := range addrs {
		instances = append(instances, ReadyInstance(fmt.Sprintf("s-%d", i+1), addr))
	}
	return instances
}

// DiscardLog is a logger that discards all lines.
var DiscardLog = slog.New(slog.DiscardHandler)

// ClosedAddress returns an address at which connections are refused. No other process listens there in the meantime, as
// it might at a port that was free.
func ClosedAddress(tb testing.TB) string {
	tb.Helper()
	return address.Next()
}

// HTTPEndpoint starts an HTTP endpoint, which is closed when the test ends, and returns its address.
func HTTPEndpoint(tb testing.TB, handler http.HandlerFunc) string {
	tb.Helper()
	s := httptest.NewServer(handler)
	tb.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// RawEndpoint starts a TCP endpoint and returns its address. Each connection is passed to handle in a goroutine of its
// own, and closed when handle returns.
func RawEndpoint(tb testing.TB, handle func(c *net.TCPConn, r *bufio.Reader)) string {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// ReadRequest reads a request and all of its body.
func ReadRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	return req, err
}

// IdempotentRequest returns a request of the idempotent class look, with a timeout in milliseconds.
func IdempotentRequest(timeoutMs int) *http.Request {
	return Request(http.MethodGet, "/look/1", "look", timeoutMs, "")
}

var lastRequestID atomic.Uint32

// Request returns a request with a unique ID and a timeout in milliseconds. A request of the class book has an
// idempotency key, which is the same for all.
func Request(method, path, class string, timeoutMs int, body string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if body == "" {
		r.Body = http.NoBody // otherwise its length would be unknown
	}
	r.Header.Set("X-Trace-Id", fmt.Sprintf("9b1f03aa%08x", lastRequestID.Add(1)))
	r.Header.Set("X-Qos", class)
	r.Header.Set("X-Customer", "acme")
	r.Header.Set("X-Expires-In-Ms", fmt.Sprint(timeoutMs))
	if class == "book" {
		r.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	}
	return r
}

// Receive returns the next value from a channel. It fails the test if there is none within WaitTimeout; name then says
// what the test has waited for.
func Receive[T any](tb testing.TB, ch <-chan T, name string) T {
	tb.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(WaitTimeout):
		tb.Fatalf("timed out waiting for %s", name)
		panic("unreachable")
	}
}

// Discovery is a discovery service whose watches the test scripts.
type Discovery struct {
	Addr    string
	Watches chan string // receives the parameters watch and after of each call, separated by a space
	Lines   chan string // lines that the test sends to the open watch; an empty line ends the watch
}

// NewDiscovery starts a discovery service, which is closed when the test ends.
func NewDiscovery(tb testing.TB) *Discovery {
	tb.Helper()
	d := &Discovery{Watches: make(chan string, 16), Lines: make(chan string)}
	d.Addr = HTTPEndpoint(tb, func(w http.ResponseWriter, r *http.Request) {
		d.Watches <- r.FormValue("watch") + " " + r.FormValue("after")
		_ = http.NewResponseController(w).Flush()
		for {
			select {
			case line := <-d.Lines:
				if line == "" {
					return
				}
				if _, err := io.WriteString(w, line+"\n"); err != nil {
					return
				}
				_ = http.NewResponseController(w).Flush()
			case <-r.Context().Done():
				return
			}
		}
	})
	return d
}

// ListLine returns an endpoint list as discovery sends it, without a newline.
func ListLine(generation int64, reset bool, instances ...discovery.Instance) string {
	text, _ := json.Marshal(discovery.List{Generation: generation, Reset: reset, Instances: instances})
	return string(text)
}

// OKResponse is a complete HTTP response with the body "ok".
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
