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

// Several processes start at the same time, with clients that were there before them, and discovery refuses all
// calls, fails them or never answers: each becomes ready, and serves, without anything from discovery.
func TestReadyWhateverOthersDo(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeAll(w, "served") }))
	defer server.Close()
	calls := make(chan struct{}, 1024) // that a discovery has taken
	discovery := func(answer string) (addr string) {
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
					writeAll(c, answer)
					if answer == "" {
						_, _ = io.Copy(io.Discard, c) // until the caller gives up
					}
				}()
			}
		}()
		return ln.Addr().String()
	}
	type one struct {
		addr string
		log  *processtest.Log
	}
	var all []one
	for name, at := range map[string]string{"refuses": processtest.Address(t), "never answers": discovery(""),
		"fails": discovery("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")} {
		for mode := range 2 {
			text := strings.NewReplacer(`"discovery":"127.0.0.1:1"`, `"discovery":"`+at+`","limits":{"sockets":64}`,
				`"discovery":"automatic"`, []string{`"discovery":"automatic"`, `"discovery":"subscribe"`}[mode],
				`"127.0.0.1:1","lifecycle"`, `"`+server.Listener.Addr().String()+`","lifecycle"`,
				`"ask-within":10000000`, `"ask-within":1000000`).Replace(sound)
			file := filepath.Join(t.TempDir(), fmt.Sprintf("%s-%d.json", strings.Fields(name)[0], mode))
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			p := one{processtest.Address(t), &processtest.Log{}}
			crowd(t, p.addr, 40)
			env := []string{"ROUTER_CONFIG=" + file, "ROUTER_LISTEN=" + p.addr, "TMPDIR="}
			processtest.Start(t, processtest.Self(t, env), p.log)
			all = append(all, p)
		}
	}
	web := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	get := func(addr, path string) string {
		r, _ := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
		r.Header.Set("X-Trace-Id", "1")
		r.Header.Set("X-Qos", "look")
		resp, err := web.Do(r)
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		return string(body)
	}
	for _, p := range all {
		processtest.Until(t, "readiness", func() bool { return get(p.addr, "/-/ready") == "ready\n" }, p.log.String)
		processtest.Until(t, "an answer", func() bool { return get(p.addr, "/look") == "served" }, p.log.String)
	}
	<-calls // calls were made, and brought nothing
}
