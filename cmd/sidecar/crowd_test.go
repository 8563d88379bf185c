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

// writeAll writes a text to a peer, and ignores the error if the peer has closed.
func writeAll(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// openIdleConns keeps the given number of idle connections to addr open until the test ends. It opens a new one for
// each that is closed or refused.
func openIdleConns(t *testing.T, addr string, conns int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for range conns {
		clients.Go(func() {
			for range 2000 {
				if ctx.Err() != nil {
					return
				}
				if c, err := net.Dial("tcp", addr); err == nil {
					stop := context.AfterFunc(ctx, func() { c.Close() })
					_, _ = io.Copy(io.Discard, c) // returns when the connection is closed
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
		clients.Wait()
	})
}

// Idle clients must not use up the descriptors that the process needs for itself. Here they connect before the process
// listens, and open more connections than it has descriptors, while discovery is down or never responds. The operating
// system allows as many descriptors as the settings, or in one case fewer. The process becomes ready, serves a client,
// answers operators, sends probes, and uses the endpoint list once discovery is back.
func TestIdleClientsFillDescriptors(t *testing.T) {
	for _, tc := range []struct {
		name           string
		maxDescriptors int  // in the settings
		hangs          bool // whether discovery accepts calls and never responds; else it is down
	}{{"down", 64, false}, {"never responds, and the system allows fewer descriptors than the settings", 1024, true}} {
		t.Run(tc.name, func(t *testing.T) {
			var probes atomic.Int32
			startEndpoint := func(name string) (addr string) {
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if strings.HasPrefix(r.URL.Path, "/-/") {
						probes.Add(1)
					}
					writeAll(w, name)
				}))
				t.Cleanup(s.Close)
				return s.Listener.Addr().String()
			}
			endpointOne, endpointTwo := startEndpoint("one"), startEndpoint("two")
			list := `{"generation":9,"reset":true,"instances":[{"instanceId":"s-2","hostPort":"` + endpointTwo +
				`","lifecycle":"up"}]}`
			var discoveryUp atomic.Bool
			startDiscovery := func(discoveryAddr string) {
				ln, err := net.Listen("tcp", discoveryAddr)
				if err != nil {
					t.Fatal(err)
				}
				s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if discoveryUp.Load() {
						writeAll(w, list+"\n")
						_ = http.NewResponseController(w).Flush()
					}
					<-r.Context().Done()
				})}
				go func() { _ = s.Serve(ln) }() // returns when s is closed
				t.Cleanup(func() { s.Close() })
			}
			discoveryAddr := processtest.Address(t)
			if tc.hangs {
				startDiscovery(discoveryAddr)
			}
			addr, management, log := processtest.Address(t), processtest.Address(t), &processtest.Log{}
			text := strings.NewReplacer(
				`"discovery":"127.0.0.1:1"`,
				fmt.Sprintf(`"discovery":"%s","mgmt":"%s","limits":{"sockets":%d}`, discoveryAddr, management,
					tc.maxDescriptors),
				`"127.0.0.1:1","lifecycle"`, `"`+endpointOne+`","lifecycle"`,
				`"cancel":true`, `"cancel":true,"probes":true`).Replace(validConfig)
			file := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			openIdleConns(t, addr, 150)
			env := []string{"ROUTER_CONFIG=" + file, "ROUTER_LISTEN=" + addr, "TMPDIR=", maxDescriptorsEnv + "=64"}
			p := processtest.Start(t, processtest.Self(t, env), log)
			newConnClient := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			processtest.Until(t, "readiness", func() bool {
				resp, err := newConnClient.Get("http://" + addr + "/-/ready")
				if err == nil {
					resp.Body.Close()
				}
				return err == nil && resp.StatusCode == http.StatusOK
			}, log.String)

			var lastRequestID atomic.Int32
			keepAliveClient := &http.Client{}
			sendRequest := func() string {
				r, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/look", nil)
				r.Header.Set("X-Trace-Id", fmt.Sprint(lastRequestID.Add(1)))
				r.Header.Set("X-Qos", "look")
				resp, err := keepAliveClient.Do(r)
				if err != nil {
					return err.Error()
				}
				defer resp.Body.Close()
				body, _ := io.ReadAll(resp.Body)
				return string(body)
			}
			// A client with a connection is served on it, or on a new one if the process closed it between requests.
			expectResponseFrom := func(endpoint string) {
				t.Helper()
				processtest.Until(t, "a response of endpoint "+endpoint,
					func() bool { return sendRequest() == endpoint }, log.String)
			}
			probes.Store(0)
			for range 20 {
				expectResponseFrom("one")
			}
			statusIsYes := func() bool {
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
				processtest.Until(t, "the answer YES to an operator's status call", statusIsYes, log.String)
			}
			processtest.Until(t, "a probe", func() bool { return probes.Load() > 0 }, log.String)
			discoveryUp.Store(true)
			if !tc.hangs {
				startDiscovery(discoveryAddr)
			}
			expectResponseFrom("two")
			if text := p.Log(); strings.Contains(text, "too many open files") {
				t.Errorf("the process ran out of descriptors:\n%s", text)
			}
		})
	}
}
