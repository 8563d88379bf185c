// Package sidecartest holds what tests of the data plane share: a small configuration, endpoints, and a scripted
// discovery.
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
)

// WaitTimeout bounds every wait for an expected event. It is long, since a busy machine may stop a process for
// seconds, and no verdict may depend on that.
const WaitTimeout = time.Minute

// Settings are those of a small site without probes: a class that is idempotent, one with an idempotency key, and
// one that is not idempotent.
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

// Configure returns a configuration. Edits to the settings are pairs of old and new text.
func Configure(tb testing.TB, server string, known []discovery.Instance, edits ...string) *config.Config {
	tb.Helper()
	c, err := config.Parse(ConfigText(tb, server, known, edits...), func(string) string { return "" })
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

// ConfigText returns the text of the file that Configure parses.
func ConfigText(tb testing.TB, server string, known []discovery.Instance, edits ...string) []byte {
	tb.Helper()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": server,
		"seed": "8c1f30d27a5be964", "limits": map[string]int{"memory_mb": 192, "sockets": 1024},
		"known":    discovery.List{Generation: 7, Reset: true, Instances: known},
		"settings": json.RawMessage(strings.NewReplacer(edits...).Replace(Settings))})
	if err != nil {
		tb.Fatal(err)
	}
	return text
}

// ReadyInstance returns the list entry of an endpoint that is ready.
func ReadyInstance(id, addr string) discovery.Instance {
	return discovery.Instance{ID: id, Addr: addr, Zone: "a", Kind: "m1", Cell: 1, Lifecycle: "up", Weight: 1}
}

// DiscardLog discards all log lines.
var DiscardLog = slog.New(slog.DiscardHandler)

// ClosedAddress returns an address that refuses connections.
func ClosedAddress(tb testing.TB) string {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ln.Close()
	return ln.Addr().String()
}

// HTTPEndpoint starts an endpoint with a handler and returns its address.
func HTTPEndpoint(tb testing.TB, h http.HandlerFunc) string {
	tb.Helper()
	s := httptest.NewServer(h)
	tb.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// RawEndpoint starts an endpoint whose connections are handled one by one, and closed when the handler returns.
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

// ReadRequest reads a complete request.
func ReadRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	return req, err
}

// IdempotentRequest returns a request of the idempotent class.
func IdempotentRequest(ms int) *http.Request {
	return Request(http.MethodGet, "/look/1", "look", ms, "")
}

var lastID atomic.Uint32

// Request returns a request with an ID of its own and a timeout in milliseconds.
func Request(method, path, class string, ms int, body string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if body == "" {
		r.Body = http.NoBody // else the length would be unknown
	}
	r.Header.Set("X-Trace-Id", fmt.Sprintf("9b1f03aa%08x", lastID.Add(1)))
	r.Header.Set("X-Qos", class)
	r.Header.Set("X-Customer", "acme")
	r.Header.Set("X-Expires-In-Ms", fmt.Sprint(ms))
	if class == "book" {
		r.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	}
	return r
}

// Receive returns the next value of a channel, and fails the test if none comes.
func Receive[T any](tb testing.TB, ch <-chan T, what string) T {
	tb.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(WaitTimeout):
		tb.Fatalf("%s: nothing came", what)
		panic("unreachable")
	}
}

// Discovery is a discovery service whose watches are scripted by the test.
type Discovery struct {
	Addr    string
	Watches chan string // parameters of each watch
	Lines   chan string // written to the open watch; an empty one ends it
}

// NewDiscovery starts a discovery service, which ends with the test.
func NewDiscovery(tb testing.TB) *Discovery {
	tb.Helper()
	b := &Discovery{Watches: make(chan string, 16), Lines: make(chan string)}
	b.Addr = HTTPEndpoint(tb, func(w http.ResponseWriter, r *http.Request) {
		b.Watches <- r.FormValue("watch") + " " + r.FormValue("after")
		_ = http.NewResponseController(w).Flush()
		for {
			select {
			case line := <-b.Lines:
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
	return b
}

// ListLine returns a list as discovery writes it.
func ListLine(generation int64, reset bool, instances ...discovery.Instance) string {
	text, _ := json.Marshal(discovery.List{Generation: generation, Reset: reset, Instances: instances})
	return string(text)
}

// OKAnswer is a complete answer of an endpoint.
const OKAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
