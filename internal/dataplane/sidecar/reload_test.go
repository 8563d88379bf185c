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

// A new configuration moves the watch to the discovery that its file names, at once and without anything from the old
// one: generations are its own, and endpoints that it does not list are removed.
func TestReloadMovesWatch(t *testing.T) {
	for _, mode := range []string{"automatic", "subscribe"} {
		t.Run(mode, func(t *testing.T) {
			one, two := namedEndpoint(t, "s-1", "one"), namedEndpoint(t, "s-2", "two")
			three := namedEndpoint(t, "s-3", "three")
			for _, in := range []*discovery.Instance{&one, &two, &three} {
				in.StartedMs = 1 // long ago: one that is warming up may get few requests
			}
			configured := func(at string) *config.Config {
				return sidecartest.Configure(t, at, []discovery.Instance{one},
					`"discovery":"automatic"`, `"discovery":"`+mode+`"`)
			}
			old, next := sidecartest.NewDiscovery(t), sidecartest.NewDiscovery(t)
			// As with ROUTER_DISCOVERY, which applies at the start, until a file names another.
			c := configured(sidecartest.ClosedAddress(t))
			c.Discovery = old.Addr
			s := startSidecar(t, c)
			expect := func(b *sidecartest.Discovery, want string) {
				t.Helper()
				if got := sidecartest.Receive(t, b.Watches, "call of discovery"); got != want {
					t.Errorf("called with %q, want %q", got, want)
				}
			}
			expect(old, "1 7")

			// An invalid file and one that names the same discovery do not move the watch.
			same := *c
			for _, c := range []*config.Config{nil, &same} {
				s.reload <- syscall.SIGHUP
				s.config <- c
			}
			old.Lines <- sidecartest.ListLine(9, true, one, two)

			s.reload <- syscall.SIGHUP
			s.config <- configured(next.Addr)
			expect(next, " ")
			next.Lines <- sidecartest.ListLine(3, false, two)
			next.Lines <- ""
			expect(next, "1 3")
			s.waitServedBy(t, "two")
			next.Lines <- sidecartest.ListLine(4, true, three)
			s.waitServedBy(t, "three")
		})
	}
}

// waitServedBy waits until only the endpoint of this name answers.
func (s *testSidecar) waitServedBy(t *testing.T, want string) {
	t.Helper()
	for end, times := time.Now().Add(sidecartest.WaitTimeout), 0; times < 5; {
		_, got := s.do(t, sidecartest.IdempotentRequest(900))
		if times++; got != want {
			times = 0
		}
		if time.Now().After(end) {
			t.Fatalf("answered by %q, want %q", got, want)
		}
	}
}

// A configuration may arrive while the sidecar stops.
func TestReloadWhileStopping(t *testing.T) {
	b := sidecartest.NewDiscovery(t)
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	c := configure(t, []string{addr})
	s := startSidecar(t, c)
	s.stop()
	s.reload <- syscall.SIGHUP
	s.config <- sidecartest.Configure(t, b.Addr, nil)
	sidecartest.Receive(t, b.Watches, "call of discovery")
	if err := sidecartest.Receive(t, s.ended, "end"); err != nil {
		t.Error(err)
	}
}

// A reload adds and removes classes, with rules of their own. An invalid file changes nothing and is counted.
func TestReloadChangesClasses(t *testing.T) {
	taken, release := make(chan struct{}, 8), make(chan struct{})
	let := sync.OnceFunc(func() { close(release) })
	addr := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			taken <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	})
	t.Cleanup(let)
	known := []discovery.Instance{sidecartest.ReadyInstance("s-1", addr)}
	s := startSidecar(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), known))
	reload := func(c *config.Config, metric string, want int) {
		t.Helper()
		s.reload <- syscall.SIGHUP
		s.config <- c
		s.awaitMetric(t, metric, want)
	}
	open := make(chan int, 1)
	go func() {
		resp, _ := s.do(t, sidecartest.Request("POST", "/pay", "pay", 1000, "x"))
		open <- resp.StatusCode
	}()
	sidecartest.Receive(t, taken, "attempt")
	const pay = `{"name":"pay","repeat":"side_effect"`
	next := sidecartest.Configure(t, sidecartest.ClosedAddress(t), known,
		pay, `{"name":"sell","repeat":"pure"`, `"most-tries":3`, `"most-tries":2`)
	reload(next, "conf_loaded_total", 1)
	resp, text := s.do(t, sidecartest.Request("GET", "/sell", "sell", 900, ""))
	if resp.StatusCode != http.StatusOK || text != "ok" {
		t.Errorf("the new class: %s", resp.Status)
	}
	resp, _ = s.do(t, sidecartest.Request("POST", "/pay", "pay", 900, "x"))
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("the dropped class: %s", resp.Status)
	}
	let()
	if code := sidecartest.Receive(t, open, "answer"); code != http.StatusOK {
		t.Errorf("the open request: %d", code)
	}
	s.wantMetric(t, `answered_total{group="pay"}`, 1)
	s.wantMetric(t, `answered_total{group="sell"}`, 1)
	reload(nil, "conf_invalid_total", 1)
	if resp, _ := s.do(t, sidecartest.Request("GET", "/sell", "sell", 900, "")); resp.StatusCode != http.StatusOK {
		t.Errorf("after an invalid file: %s", resp.Status)
	}
}

// Whatever is wrong with a file is found before any of it is applied, and its key is named.
func TestInvalidConfigurationChangesNothing(t *testing.T) {
	known := []discovery.Instance{sidecartest.ReadyInstance("s-1", "127.0.0.1:2")}
	c := sidecartest.Configure(t, "127.0.0.1:1", known)
	good := sidecartest.ConfigText(t, "127.0.0.1:1", known)
	registry, applied := metrics.New(), 0
	r := &reloader{config: c, metrics: registry, log: sidecartest.DiscardLog,
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
			t.Fatalf("%s: %q is not in the file", tc.key, tc.old)
		}
		r.read = func() (*config.Config, error) { return config.Parse([]byte(text), func(string) string { return "" }) }
		err := r.reload(t.Context())
		if bad := (*config.Error)(nil); !errors.As(err, &bad) || bad.Key != tc.key {
			t.Errorf("%q: got %v, want an error for %s", tc.new, err, tc.key)
		}
	}
	if applied > 0 {
		t.Errorf("%d invalid files were applied", applied)
	}
	r.read = func() (*config.Config, error) { return config.Parse(good, func(string) string { return "" }) }
	if err := r.reload(t.Context()); err != nil || applied != 1 {
		t.Errorf("the valid file: %v", err)
	}
}
