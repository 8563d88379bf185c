package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/testutil/sidecartest"
)

// A new configuration must move the watch at once to the discovery that the file names. Nothing may be carried over
// from the old discovery: the first watch names no generation, and endpoints that only the old one listed are removed.
func TestReloadMovesWatch(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		t.Run(mode, func(t *testing.T) {
			one, two := namedEndpoint(t, "s-1", "one"), namedEndpoint(t, "s-2", "two")
			three := namedEndpoint(t, "s-3", "three")
			for _, entry := range []*discovery.Instance{&one, &two, &three} {
				entry.StartedMs = 1 // long ago, since an endpoint that is warming up may get few requests
			}
			configured := func(addr string) *config.Config {
				return sidecartest.Configure(t, addr, []discovery.Instance{one},
					`"discovery":"automatic"`, `"discovery":"`+mode+`"`)
			}
			old, next := sidecartest.NewDiscovery(t), sidecartest.NewDiscovery(t)
			// ROUTER_DISCOVERY sets Discovery this way: it applies until a new file names another discovery.
			cfg := configured(sidecartest.ClosedAddress(t))
			cfg.Discovery = old.Addr
			sidecar := startSidecar(t, cfg)
			wantWatch := func(discoveryServer *sidecartest.Discovery, want string) {
				t.Helper()
				if got := sidecartest.Receive(t, discoveryServer.Watches, "call of discovery"); got != want {
					t.Errorf("discovery was called for the watch %q, want %q", got, want)
				}
			}
			wantWatch(old, "1 7")

			// An invalid file and one that names the same discovery do not move the watch.
			same := *cfg
			for _, cfg := range []*config.Config{nil, &same} {
				sidecar.reload <- syscall.SIGHUP
				sidecar.nextConfig <- cfg
			}
			old.Lines <- sidecartest.ListLine(9, true, one, two)

			sidecar.reload <- syscall.SIGHUP
			sidecar.nextConfig <- configured(next.Addr)
			wantWatch(next, " ")
			next.Lines <- sidecartest.ListLine(3, false, two)
			next.Lines <- ""
			wantWatch(next, "1 3")
			sidecar.waitUntilServedBy(t, "two")
			next.Lines <- sidecartest.ListLine(4, true, three)
			sidecar.waitUntilServedBy(t, "three")
		})
	}
}

// waitUntilServedBy waits until five requests in a row are answered by the endpoint whose answer is want.
func (s *testSidecar) waitUntilServedBy(t *testing.T, want string) {
	t.Helper()
	for end, consecutive := time.Now().Add(sidecartest.WaitTimeout), 0; consecutive < 5; {
		_, got := s.do(t, sidecartest.IdempotentRequest(900))
		if consecutive++; got != want {
			consecutive = 0
		}
		if time.Now().After(end) {
			t.Fatalf("not served by the expected endpoint in time: answered by %q, want %q", got, want)
		}
	}
}

// A configuration that arrives while the sidecar stops must be applied, and the sidecar must still end without an
// error.
func TestReloadWhileStopping(t *testing.T) {
	discoveryServer := sidecartest.NewDiscovery(t)
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	cfg := configure(t, []string{addr})
	sidecar := startSidecar(t, cfg)
	sidecar.stop()
	sidecar.reload <- syscall.SIGHUP
	sidecar.nextConfig <- sidecartest.Configure(t, discoveryServer.Addr, nil)
	sidecartest.Receive(t, discoveryServer.Watches, "call of discovery")
	if err := sidecartest.Receive(t, sidecar.ended, "end"); err != nil {
		t.Error(err)
	}
}

// A reload must add and remove classes; open requests of a removed class keep the rules with which they came. An
// invalid file must change nothing and be counted.
func TestReloadChangesClasses(t *testing.T) {
	received, release := make(chan struct{}, 8), make(chan struct{})
	releaseOnce := sync.OnceFunc(func() { close(release) })
	addr := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			received <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	})
	t.Cleanup(releaseOnce)
	known := []discovery.Instance{sidecartest.ReadyInstance("s-1", addr)}
	sidecar := startSidecar(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), known))
	reload := func(cfg *config.Config, metric string, want int) {
		t.Helper()
		sidecar.reload <- syscall.SIGHUP
		sidecar.nextConfig <- cfg
		sidecar.awaitMetric(t, metric, want)
	}
	openStatus := make(chan int, 1)
	go func() {
		resp, _ := sidecar.do(t, sidecartest.Request("POST", "/pay", "pay", 1000, "x"))
		openStatus <- resp.StatusCode
	}()
	sidecartest.Receive(t, received, "attempt")
	const pay = `{"name":"pay","repeat":"side_effect"`
	next := sidecartest.Configure(t, sidecartest.ClosedAddress(t), known,
		pay, `{"name":"sell","repeat":"pure"`, `"most-tries":3`, `"most-tries":2`)
	reload(next, "conf_loaded_total", 1)
	resp, text := sidecar.do(t, sidecartest.Request("GET", "/sell", "sell", 900, ""))
	if resp.StatusCode != http.StatusOK || text != "ok" {
		t.Errorf("request of the new class: %s, want 200", resp.Status)
	}
	resp, _ = sidecar.do(t, sidecartest.Request("POST", "/pay", "pay", 900, "x"))
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("request of the removed class: %s, want 404", resp.Status)
	}
	releaseOnce()
	if code := sidecartest.Receive(t, openStatus, "answer"); code != http.StatusOK {
		t.Errorf("request of the removed class from before the reload: status %d, want 200", code)
	}
	sidecar.wantMetric(t, `answered_total{group="pay"}`, 1)
	sidecar.wantMetric(t, `answered_total{group="sell"}`, 1)
	reload(nil, "conf_invalid_total", 1)
	if resp, _ := sidecar.do(t, sidecartest.Request("GET", "/sell", "sell",
		900, "")); resp.StatusCode != http.StatusOK {
		t.Errorf("request after an invalid file: %s, want 200", resp.Status)
	}
}

// Any fault in a file must be found before any part of the file is applied, and the error must name its key.
func TestInvalidConfigurationChangesNothing(t *testing.T) {
	known := []discovery.Instance{sidecartest.ReadyInstance("s-1", "127.0.0.1:2")}
	cfg := sidecartest.Configure(t, "127.0.0.1:1", known)
	good := sidecartest.ConfigText(t, "127.0.0.1:1", known)
	registry, applied := metrics.New(), 0
	r := &reloader{config: cfg, metrics: registry, log: sidecartest.DiscardLog,
		apply: func(context.Context, *config.Config) error { applied++; return nil }}
	for _, tc := range []struct{ key, old, new string }{
		{"file", string(good), ""},
		{"file", string(good), "{}"[:1]},
		{"file", string(good), string(good[:len(good)/2])},
		{"settings", `"settings":{`, `"other":{`},
		{"settings", `"classes":[`, `"sorts":[`},
		{"settings", `"give-up":1000000`, `"give-up":0`},
		{"settings", `"give-up":1000000`, `"give-up":-5`},
		{"settings", `"give-up":1000000`, `"give-up":0.5`},
		{"settings.classes.0.give-up", `"give-up":1000000`, `"give-up":"1000000"`},
		{"settings", `"give-up":1000000`, `"give-up":"soon"`},
		{"settings", `"give-up":1000000`, `"give-up":null`},
		{"settings", `"give-up":1000000,`, ``},
		{"settings.limits.most-tries", `"most-tries":3,`, ``},
		{"settings", `"most-tries":3`, `"most-tries":0`},
		{"settings", `"most-tries":3`, `"most-tries":"many"`},
		{"settings.limits.most-tries", `"most-tries":3`, `"most-tries":"3"`},
		{"settings.contract.drain-grace", `"drain-grace":250000,`, ``},
		{"limits.sockets", `,"sockets":1024`, ``},
		{"seed", `"seed"`, `"need"`},
	} {
		text := strings.Replace(string(good), tc.old, tc.new, 1)
		if text == string(good) {
			t.Fatalf("case %s: the valid file lacks %q", tc.key, tc.old)
		}
		r.readConfig = func() (*config.Config, error) {
			return config.Parse([]byte(text), func(string) string { return "" })
		}
		err := r.reload(t.Context())
		if bad := (*config.Error)(nil); !errors.As(err, &bad) || bad.Key != tc.key {
			t.Errorf("file with %q: got %v, want an error for key %s", tc.new, err, tc.key)
		}
	}
	if applied > 0 {
		t.Errorf("%d invalid files were applied", applied)
	}
	r.readConfig = func() (*config.Config, error) { return config.Parse(good, func(string) string { return "" }) }
	if err := r.reload(t.Context()); err != nil || applied != 1 {
		t.Errorf("reload of the valid file: error %v, or the file was not applied once", err)
	}
}
