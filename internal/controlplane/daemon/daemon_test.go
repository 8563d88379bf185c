package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/engine"
)

// testDaemon is a daemon with a sidecar that records which drains were applied to it.
type testDaemon struct {
	settings *Settings
	frame    *Daemon
	servers  *Servers
	engine   *engine.Engine
	addr     string
	stop     context.CancelFunc

	mu      sync.Mutex
	bound   map[string]bool
	changed chan struct{} // closed when a drain is applied
}

func (s *testDaemon) bind(_ context.Context, id string, out bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound[id] = out
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// waitUntil waits for a server to be drained, or not to be.
func (s *testDaemon) waitUntil(t *testing.T, id string, out bool) {
	t.Helper()
	for {
		s.mu.Lock()
		is, fresh := s.bound[id], s.changed
		s.mu.Unlock()
		if is == out {
			return
		}
		select {
		case <-fresh:
		case <-time.After(time.Minute):
			t.Fatalf("%s: drained %v", id, is)
		}
	}
}

func checkSettings(settings json.RawMessage) error {
	if strings.Contains(string(settings), "bad") {
		return errors.New("settings.x: is bad")
	}
	return nil
}

func startDaemon(t *testing.T, name, dir, addr string, join bool) *testDaemon {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s := &testDaemon{bound: map[string]bool{}, changed: make(chan struct{}), addr: ln.Addr().String()}
	check := SettingsCheck(checkSettings)
	if name == "c" {
		check = nil // no sidecar runs
	}
	log := slog.New(slog.DiscardHandler)
	s.settings = NewSettings(name, check, log)
	s.servers = NewServers(name, log)
	s.frame = New(log, append(s.servers.Components(), s.settings)...)
	cfg := engine.Config{
		Name:          name,
		Dir:           dir,
		Join:          join,
		Listener:      ln,
		TickInterval:  10 * time.Millisecond,
		ElectionTicks: 20,
		DiskOptions:   disk.Options{NoSync: true},
	}
	s.frame.InstallHooks(&cfg)
	if s.engine, err = engine.Open(cfg); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	s.frame.Attach(s.engine)
	wg.Go(func() { s.frame.Run(ctx) })
	s.stop = sync.OnceFunc(func() {
		cancel()
		_ = s.engine.Kill() // what a crash leaves is the point
		wg.Wait()
	})
	s.servers.Subscribe(s.bind)
	t.Cleanup(s.stop)
	return s
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func startCluster(t *testing.T) (all []*testDaemon, dirs []string) {
	t.Helper()
	ctx := testContext(t)
	for i, name := range []string{"a", "b", "c"} {
		dirs = append(dirs, t.TempDir())
		all = append(all, startDaemon(t, name, dirs[i], "127.0.0.1:0", i > 0))
		if i > 0 {
			member := &store.AddMember{Name: name, Address: all[i].addr}
			if _, err := all[0].engine.Do(ctx, store.Command{AddMember: member}); err != nil {
				t.Fatal(err)
			}
		}
	}
	for {
		s, err := all[0].engine.Status(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if s.MembershipStable && len(s.Peers) == 3 {
			return all, dirs
		}
	}
}

func TestAdminDrainReachesAllDaemonsAndReturnNeedsQuorum(t *testing.T) {
	all, dirs := startCluster(t)
	ctx := testContext(t)
	all[0].servers.ReportDrain("s1")
	for _, s := range all {
		s.waitUntil(t, "s1", true)
	}
	for {
		if asked, err := all[1].servers.RequestReturn(ctx, "s1"); err == nil && asked {
			break
		} else if !errors.Is(err, ErrNotReplicated) && !errors.Is(err, ErrExcludedAgain) {
			t.Fatal(asked, err)
		}
	}
	for _, s := range all {
		s.waitUntil(t, "s1", false)
	}
	// Without a quorum a daemon still adds drains, and lets no server return.
	for _, id := range []string{"s2", "s4"} {
		all[1].servers.ReportDrain(id)
		all[0].waitUntil(t, id, true)
	}
	all[1].stop()
	all[2].stop()
	all[0].servers.ReportDrain("s3")
	short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	// The outcome of this one is not known: it may be committed once the others are back.
	if _, err := all[0].servers.RequestReturn(short, "s4"); err == nil {
		t.Fatal("a server returned without a quorum")
	}
	if _, err := all[0].servers.RequestReturn(ctx, "s3"); !errors.Is(err, ErrNotReplicated) {
		t.Fatal(err)
	}
	exclusions := fmt.Sprint(all[0].servers.Exclusions())
	if !strings.Contains(exclusions, "s2 true") || !strings.Contains(exclusions, "s3 false") {
		t.Fatal(exclusions)
	}
	// The others return: they receive the drain that they missed and still know the one from before.
	b := startDaemon(t, "b", dirs[1], all[1].addr, true)
	c := startDaemon(t, "c", dirs[2], all[2].addr, true)
	for _, s := range []*testDaemon{b, c} {
		s.waitUntil(t, "s2", true)
		s.waitUntil(t, "s3", true)
	}
}

func TestSettingsAreCheckedByAllReplicasAndRolledBack(t *testing.T) {
	all, _ := startCluster(t)
	ctx := testContext(t)
	for i, text := range []string{`{"x":1}`, `{"x":2}`} {
		v, err := all[i].settings.Put(ctx, json.RawMessage(text), "try")
		if err != nil || v.Version != uint64(i+1) {
			t.Fatal(v, err)
		}
	}
	_, err := all[2].settings.Put(ctx, json.RawMessage(`{"bad":1}`), "")
	if err == nil || !strings.Contains(err.Error(), "a: settings.x: is bad") {
		t.Fatal(err)
	}
	if v, err := all[1].settings.Rollback(ctx, 1); err != nil || v.Version != 3 {
		t.Fatal(v, err)
	}
	for _, s := range all {
		if _, err := s.engine.View(ctx, false, func(*store.State) {}); err != nil {
			t.Fatal(err)
		}
		if got := string(s.settings.Current()); got != `{"x":1}` {
			t.Fatal(got)
		}
		<-s.settings.Reload()
	}
	if h, err := all[0].settings.History(ctx); err != nil || len(h) != 3 || h[0].Note != "rollback to version 1" {
		t.Fatal(h, err)
	}
}
