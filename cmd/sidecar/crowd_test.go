package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"birchmoor/internal/testutil/processtest"
)

// writeAll writes a text to a peer, which may be gone.
func writeAll(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// crowd keeps idle connections open to addr, far more than its descriptors, until the test ends. Closed ones are
// opened again.
func crowd(t *testing.T, addr string, conns int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for range conns {
		all.Go(func() {
			for range 2000 {
				if ctx.Err() != nil {
					return
				}
				if c, err := net.Dial("tcp", addr); err == nil {
					stop := context.AfterFunc(ctx, func() { c.Close() })
					_, _ = io.Copy(io.Discard, c) // until it is closed
					stop()
					c.Close()
				}
				select {
				case <-ctx.Done():
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		all.Wait()
	})
}

// Idle clients come before the process listens, and open more connections than it has descriptors, while discovery
// is down, or accepts calls and never answers. The process becomes ready; a client continues to be served;
// operators are answered; probes go out; and when discovery returns its list is used. The system allows no more
// descriptors than the limit, and in one case fewer.
func TestIdleClientsFillDescriptors(t *testing.T) {
	for _, tc := range []struct {
		name    string
		sockets int // by the settings
		hangs   bool
	}{{"down", 64, false}, {"never answers, and the system gives less than the settings say", 1024, true}} {
		t.Run(tc.name, func(t *testing.T) {
			var probes atomic.Int32
			server := func(name string) (addr string) {
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if strings.HasPrefix(r.URL.Path, "/-/") {
						probes.Add(1)
					}
					writeAll(w, name)
				}))
				t.Cleanup(s.Close)
				return s.Listener.Addr().String()
			}
			one, two := server("one"), server("two")
			list := `{"generation":9,"reset":true,"instances":[{"instanceId":"s-2","hostPort":"` + two + `","lifecycle":"up"}]}`
			var back atomic.Bool
			discovery := func(at string) {
				ln, err := net.Listen("tcp", at)
				if err != nil {
					t.Fatal(err)
				}
				s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if back.Load() {
						writeAll(w, list+"\n")
						_ = http.NewResponseController(w).Flush()
					}
					<-r.Context().Done()
				})}
				go func() { _ = s.Serve(ln) }() // until it is closed
				t.Cleanup(func() { s.Close() })
			}
			at := processtest.Address(t)
			if tc.hangs {
				discovery(at)
			}
			addr, management, log := processtest.Address(t), processtest.Address(t), &processtest.Log{}
			text := strings.NewReplacer(
				`"discovery":"127.0.0.1:1"`,
				fmt.Sprintf(`"discovery":"%s","mgmt":"%s","limits":{"sockets":%d}`, at, management, tc.sockets),
				`"127.0.0.1:1","lifecycle"`, `"`+one+`","lifecycle"`, `"cancel":true`, `"cancel":true,"probes":true`).Replace(sound)
			file := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			crowd(t, addr, 150)
			env := []string{"ROUTER_CONFIG=" + file, "ROUTER_LISTEN=" + addr, "TMPDIR=", nofile + "=64"}
			p := processtest.Start(t, processtest.Self(t, env), log)
			web := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			processtest.Until(t, "readiness", func() bool {
				resp, err := web.Get("http://" + addr + "/-/ready")
				if err == nil {
					resp.Body.Close()
				}
				return err == nil && resp.StatusCode == http.StatusOK
			}, log.String)

			var ids atomic.Int32
			known := &http.Client{}
			look := func() string {
				r, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/look", nil)
				r.Header.Set("X-Trace-Id", fmt.Sprint(ids.Add(1)))
				r.Header.Set("X-Qos", "look")
				resp, err := known.Do(r)
				if err != nil {
					return err.Error()
				}
				defer resp.Body.Close()
				body, _ := io.ReadAll(resp.Body)
				return string(body)
			}
			// A client that has a connection is served on it, or on another if it was closed between two requests.
			serve := func(by string) {
				t.Helper()
				processtest.Until(t, "an answer of "+by, func() bool { return look() == by }, log.String)
			}
			probes.Store(0)
			for range 20 {
				serve("one")
			}
			status := func() bool {
				c, err := net.Dial("tcp", management)
				if err != nil {
					return false
				}
				defer c.Close()
				writeAll(c, "status\n")
				line, _ := bufio.NewReader(c).ReadString('\n')
				return line == "YES\n"
			}
			for range 20 {
				processtest.Until(t, "the operators' answer", status, log.String)
			}
			processtest.Until(t, "a probe", func() bool { return probes.Load() > 0 }, log.String)
			back.Store(true)
			if !tc.hangs {
				discovery(at)
			}
			serve("two")
			if text := p.Log(); strings.Contains(text, "too many open files") {
				t.Errorf("descriptors ran out:\n%s", text)
			}
		})
	}
}
