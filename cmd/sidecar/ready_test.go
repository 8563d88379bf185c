package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"birchmoor/internal/testutil/processtest"
)

// A sidecar must become ready and serve from its configured list while discovery refuses calls, fails them or never
// responds. Here several start at the same time, with clients that connect before they listen.
func TestReadyWithoutDiscovery(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(
		func(w http.ResponseWriter, _ *http.Request) { writeAll(w, "served") }))
	defer endpoint.Close()
	calls := make(chan struct{}, 1024) // receives a value for each call that a discovery has read
	startDiscovery := func(response string) (addr string) {
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
					_, _ = http.ReadRequest(bufio.NewReader(c))
					select {
					case calls <- struct{}{}:
					default:
					}
					writeAll(c, response)
					if response == "" {
						_, _ = io.Copy(io.Discard, c) // returns when the caller gives up
					}
				}()
			}
		}()
		return ln.Addr().String()
	}
	type sidecarProcess struct {
		addr string
		log  *processtest.Log
	}
	var sidecars []sidecarProcess
	for name, discoveryAddr := range map[string]string{
		"refuses": processtest.Address(t), "never answers": startDiscovery(""),
		"fails": startDiscovery("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")} {
		for mode := range 2 {
			text := strings.NewReplacer(
				`"discovery":"127.0.0.1:1"`, `"discovery":"`+discoveryAddr+`","limits":{"sockets":64}`,
				`"discovery":"automatic"`, []string{`"discovery":"automatic"`, `"discovery":"subscribe"`}[mode],
				`"127.0.0.1:1","lifecycle"`, `"`+endpoint.Listener.Addr().String()+`","lifecycle"`,
				`"ask-within":10000000`, `"ask-within":1000000`).Replace(validConfig)
			file := filepath.Join(t.TempDir(), fmt.Sprintf("%s-%d.json", strings.Fields(name)[0], mode))
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			p := sidecarProcess{processtest.Address(t), &processtest.Log{}}
			openIdleConns(t, p.addr, 40)
			env := []string{"ROUTER_CONFIG=" + file, "ROUTER_LISTEN=" + p.addr, "TMPDIR="}
			processtest.Start(t, processtest.Self(t, env), p.log)
			sidecars = append(sidecars, p)
		}
	}
	newConnClient := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	responseBody := func(addr, path string) string {
		r, _ := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
		r.Header.Set("X-Trace-Id", "1")
		r.Header.Set("X-Qos", "look")
		resp, err := newConnClient.Do(r)
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		return string(body)
	}
	for _, p := range sidecars {
		processtest.Until(t, "readiness",
			func() bool { return responseBody(p.addr, "/-/ready") == "ready\n" }, p.log.String)
		processtest.Until(t, "a response", func() bool { return responseBody(p.addr, "/look") == "served" },
			p.log.String)
	}
	<-calls // at least one call reached a discovery
}
