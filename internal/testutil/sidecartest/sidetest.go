// Package sidecartest holds what the tests of a sidecar's parts share: a small site, endpoints, and a discovery by hand.
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

// Soon bounds every wait of these tests for something that must come. It is long: a busy machine may stop a process for
// seconds, and nothing that a test asserts is to depend on that.
const Soon = time.Minute

// Settings is a small site without probes: a safe class, a keyed one and an unsafe one.
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

// Configure makes a configuration, with edits to the settings as pairs of old and new text.
func Configure(t testing.TB, server string, known []discovery.Instance, edits ...string) *config.Config {
	t.Helper()
	c, err := config.Parse(ConfigText(t, server, known, edits...), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// ConfigText is the file that configure reads.
func ConfigText(t testing.TB, server string, known []discovery.Instance, edits ...string) []byte {
	t.Helper()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": server,
		"seed": "8c1f30d27a5be964", "limits": map[string]int{"memory_mb": 192, "sockets": 1024},
		"known":    discovery.List{Generation: 7, Reset: true, Instances: known},
		"settings": json.RawMessage(strings.NewReplacer(edits...).Replace(Settings))})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Up is an endpoint that serves.
func Up(id, addr string) discovery.Instance {
	return discovery.Instance{ID: id, Addr: addr, Zone: "a", Kind: "m1", Cell: 1, Lifecycle: "up", Weight: 1}
}

// Quiet logs nothing.
var Quiet = slog.New(slog.DiscardHandler)

// Nowhere is an address that refuses connections.
func Nowhere(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return ln.Addr().String()
}

// Web starts an endpoint that speaks plain HTTP.
func Web(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Raw starts an endpoint whose connections are handled by hand, and closed when the handler returns.
func Raw(t testing.TB, handle func(c *net.TCPConn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
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

// Take reads a whole request.
func Take(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	return req, err
}

// Look makes a request of the safe class.
func Look(ms int) *http.Request { return Request("GET", "/look/1", "look", ms, "") }

var lastID atomic.Uint32

// Request makes a request with an ID of its own, for ms milliseconds.
func Request(method, path, class string, ms int, body string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if body == "" {
		r.Body = http.NoBody // or its length is not known
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

// Within returns what comes on a channel, and fails the test if nothing does.
func Within[T any](t testing.TB, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(Soon):
		t.Fatalf("%s: nothing came", what)
		panic("unreachable")
	}
}

// Board is a discovery whose watches are written by hand.
type Board struct {
	Addr    string
	Asked   chan string   // what each watch asked for
	Lines   chan string   // to write to the watch that is open; an empty text ends it
	written chan struct{} // a line is out
}

// NewBoard starts one. It ends with the test.
func NewBoard(t *testing.T) *Board {
	b := &Board{Asked: make(chan string, 16), Lines: make(chan string), written: make(chan struct{}, 16)}
	b.Addr = Web(t, func(w http.ResponseWriter, r *http.Request) {
		b.Asked <- r.FormValue("watch") + " " + r.FormValue("after")
		http.NewResponseController(w).Flush()
		for {
			select {
			case line := <-b.Lines:
				if line == "" {
					return
				}
				io.WriteString(w, line+"\n")
				http.NewResponseController(w).Flush()
			case <-r.Context().Done():
				return
			}
		}
	})
	return b
}

// Line is a list as discovery writes it.
func Line(generation int64, reset bool, instances ...discovery.Instance) string {
	text, _ := json.Marshal(discovery.List{Generation: generation, Reset: reset, Instances: instances})
	return string(text)
}

// OKAnswer is a whole answer of an endpoint.
const OKAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
