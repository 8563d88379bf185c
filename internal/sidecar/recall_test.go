package sidecar

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/handover"
	"birchmoor/internal/maintenance"
	"birchmoor/internal/metrics"
	"birchmoor/internal/snapshot"
)

// lone is a loop without sockets. It ends with the test.
func lone(t *testing.T, c *Config, log *slog.Logger) *loop {
	t.Helper()
	clk, figures := clock{time.Now()}, metrics.New(c.Classes...)
	l, err := newLoop(c, clk, newUpstream(c, clk, &figures.Sends, log), func(bool) {}, figures, nil, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { l.run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return l
}

// answers has endpoints answer a probe after their own round trips.
func answers(t *testing.T, l *loop, trips map[string]balancer.Micros) {
	t.Helper()
	l.call(t.Context(), func(now balancer.Micros) {
		for name, trip := range trips {
			l.balancer.Probed(now, l.byName[name].number, balancer.OK, trip, []float32{0, 0, 0})
		}
	})
}

func trips(t *testing.T, l *loop) map[string]float64 {
	t.Helper()
	got := map[string]float64{}
	l.call(t.Context(), func(now balancer.Micros) {
		k := l.picture(now)
		for i, name := range k.Names {
			got[name] = k.State.Endpoints[i].RTT.V
		}
	})
	return got
}

// What one process learned of an endpoint the next one knows by its name, whatever its number there.
func TestRecallGoesByName(t *testing.T) {
	old := lone(t, configure(t, nowhere(t), []Instance{up("s-1", "127.0.0.1:1"), up("s-2", "127.0.0.1:2"), up("s-3", "127.0.0.1:3")}), quiet)
	answers(t, old, map[string]balancer.Micros{"s-1": 1000, "s-2": 2000, "s-3": 3000})
	data, err := old.pictured(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	k, err := snapshot.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	var said bytes.Buffer
	log := slog.New(slog.NewTextHandler(&said, nil))
	c := configure(t, nowhere(t), []Instance{up("s-9", "127.0.0.1:9"), up("s-3", "127.0.0.1:3"), up("s-2", "127.0.0.1:2")})
	fresh := lone(t, c, log)
	fresh.recall(t.Context(), k, "a file")
	if got := trips(t, fresh); got["s-2"] != 2000 || got["s-3"] != 3000 || got["s-9"] != 0 || len(got) != 3 {
		t.Errorf("round trips %v", got)
	}
	k.Sidecar = "n7"
	fresh.recall(t.Context(), k, "a file")
	if !strings.Contains(said.String(), "endpoints=2 of=3") || !strings.Contains(said.String(), "another sidecar") {
		t.Error(said.String())
	}
}

// Two processes side by side tell each other whom they have ejected.
func TestEjectionsReachTheOther(t *testing.T) {
	known := []Instance{up("s-1", "127.0.0.1:1"), up("s-2", "127.0.0.1:2"), up("s-3", "127.0.0.1:3")}
	a, b := lone(t, configure(t, nowhere(t), known), quiet), lone(t, configure(t, nowhere(t), known[1:]), quiet)
	told := make(chan []handover.Ejection, 1)
	tell := teller(func(_ context.Context, list []handover.Ejection) error { told <- list; return nil })
	a.tell.Store(&tell)
	a.call(t.Context(), func(now balancer.Micros) {
		a.balancer.Heard(now, a.byName["s-2"].number, 3_000_000)
		a.ejections(now)
	})
	list := within(t, told, "word of the ejection")
	if len(list) != 1 || list[0].ID != "s-2" || list[0].Left <= 0 {
		t.Fatalf("told %+v", list)
	}
	b.heard(append(list, handover.Ejection{ID: "s-1", Left: 1_000_000}, handover.Ejection{ID: "s-3", Left: -1}))
	b.call(t.Context(), func(balancer.Micros) {}) // the loop takes what is urgent first:
	for end := time.Now().Add(soon); ; {
		var n int
		b.call(t.Context(), func(now balancer.Micros) { n = b.balancer.Avoided(now) })
		if n == 1 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d are avoided", n)
		}
	}
}

func TestKeeperKeepsAtItsPace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "known")
	synctest.Test(t, func(t *testing.T) {
		l := lone(t, configure(t, "127.0.0.1:1", []Instance{up("s-1", "127.0.0.1:1")}), quiet)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		var paused atomic.Bool
		paused.Store(true)
		go func() {
			keeper{l, snapshot.File{Path: path}}.run(ctx, paused.Load)
			close(done)
		}()
		time.Sleep(keepEvery + 1)
		synctest.Wait()
		if _, err := os.Stat(path); err == nil {
			t.Error("kept while paused")
		}
		paused.Store(false)
		time.Sleep(keepEvery)
		synctest.Wait()
		k, err := snapshot.File{Path: path}.Load()
		if err != nil || k == nil || len(k.Names) != 1 || k.Sidecar != "n0" {
			t.Errorf("kept %+v, %v", k, err)
		}
		cancel()
		<-done
	})
	if keepWait(0, 0) != keepEvery || keepWait(time.Second, 0) != 200*time.Second || keepWait(0, 640<<10) != 10*time.Second {
		t.Error("a file that takes long or is large is kept as often as a small one")
	}
}

// runKept runs a sidecar with the given bytes kept for it, and returns what it logged once it was ready.
func runKept(t *testing.T, c *Config, data []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "known")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var said bytes.Buffer
	ctx, stop := context.WithCancel(t.Context())
	serving := make(chan struct{}, 1)
	log := slog.New(slog.NewTextHandler(writer(func(p []byte) {
		said.Write(p)
		if bytes.Contains(p, []byte("msg=serving")) {
			serving <- struct{}{}
		}
	}), nil))
	ended := make(chan error, 1)
	go func() {
		ended <- Run(ctx, c, Host{Socket: only{ln}, Bans: maintenance.Nowhere{}, Kept: snapshot.File{Path: path}, Log: log})
	}()
	within(t, serving, "start")
	stop()
	if err := within(t, ended, "end"); err != nil {
		t.Error(err)
	}
	return said.String()
}

type writer func(p []byte)

func (w writer) Write(p []byte) (int, error) { w(p); return len(p), nil }

// A start reads what was kept; whatever the file holds, it starts.
func TestStartWithWhatWasKept(t *testing.T) {
	c := configure(t, nowhere(t), []Instance{up("s-1", "127.0.0.1:1"), up("s-2", "127.0.0.1:2")})
	old := lone(t, c, quiet)
	answers(t, old, map[string]balancer.Micros{"s-1": 1000})
	data, err := old.pictured(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	newer := bytes.Clone(data)
	newer[7]++
	for _, x := range []struct {
		data []byte
		want string
	}{{data, "endpoints=2 of=2"}, {data[:len(data)/2], "cut"}, {newer, "newer"}, {[]byte(strings.Repeat("x", 99)), "foreign"}} {
		if said := runKept(t, c, x.data); !strings.Contains(said, x.want) {
			t.Errorf("want %q in:\n%s", x.want, said)
		}
	}
}
