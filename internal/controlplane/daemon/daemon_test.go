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

// testDaemon is a daemon whose sidecar is a map of the exclusions and starts that were applied to it.
type testDaemon struct {
	settings *Settings
	daemon   *Daemon
	servers  *Servers
	engine   *engine.Engine
	addr     string
	stop     context.CancelFunc

	mu      sync.Mutex
	applied map[string]bool
	changed chan struct{} // closed at each change of applied
}

func (s *testDaemon) apply(_ context.Context, id string, excluded bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied[id] = excluded
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// waitForState waits until the latest state that was applied for an ID is want, for a minute at most.
func (s *testDaemon) waitForState(t *testing.T, id string, want bool) {
	t.Helper()
	for {
		s.mu.Lock()
		got, changed := s.applied[id], s.changed
		s.mu.Unlock()
		if got == want {
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Minute):
			t.Fatalf("applied state of %s is still %v after a minute", id, got)
		}
	}
}

func checkSettings(settings json.RawMessage) error {
	if strings.Contains(string(settings), "bad") {
		return errors.New("settings.x: is bad")
	}
	return nil
}

// startDaemon starts a daemon with a replica that listens on addr. With join set, a replica with an empty disk waits to
// be added to a cluster. The daemon named c has no sidecar that checks settings.
func startDaemon(t *testing.T, name, dir, addr string, join bool) *testDaemon {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s := &testDaemon{applied: map[string]bool{}, changed: make(chan struct{}), addr: ln.Addr().String()}
	check := SettingsCheck(checkSettings)
	if name == "c" {
		check = nil // no sidecar runs beside this daemon
	}
	log := slog.New(slog.DiscardHandler)
	s.settings = NewSettings(name, check, log)
	s.servers = NewServers(name, log)
	s.daemon = New(log, append(s.servers.Components(), s.settings)...)
	cfg := engine.Config{
		Name:          name,
		Dir:           dir,
		Join:          join,
		Listener:      ln,
		TickInterval:  10 * time.Millisecond,
		ElectionTicks: 20,
		DiskOptions:   disk.Options{NoSync: true},
	}
	s.daemon.InstallHooks(&cfg)
	if s.engine, err = engine.Open(cfg); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	s.daemon.Attach(s.engine)
	wg.Go(func() { s.daemon.Run(ctx) })
	s.stop = sync.OnceFunc(func() {
		cancel()
		_ = s.engine.Kill() // like a crash: no leadership is transferred
		wg.Wait()
	})
	s.servers.Subscribe(s.apply)
	t.Cleanup(s.stop)
	return s
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// startCluster starts the daemons a, b and c of one cluster, and returns them with the folders of their disks.
func startCluster(t *testing.T) (daemons []*testDaemon, dirs []string) {
	t.Helper()
	ctx := testContext(t)
	for i, name := range []string{"a", "b", "c"} {
		dirs = append(dirs, t.TempDir())
		daemons = append(daemons, startDaemon(t, name, dirs[i], "127.0.0.1:0", i > 0))
		if i > 0 {
			member := &store.AddMember{Name: name, Address: daemons[i].addr}
			if _, err := daemons[0].engine.Do(ctx, store.Command{AddMember: member}); err != nil {
				t.Fatal(err)
			}
		}
	}
	for {
		s, err := daemons[0].engine.Status(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if s.MembershipStable && len(s.Peers) == 3 {
			return daemons, dirs
		}
	}
}

// A drain takes effect without a quorum at the daemon that it is set at, and at all others once they are back; a server
// returns only with a quorum. Guards against drains that are lost while replicas are down, and against a cut-off daemon
// that returns a server to service.
func TestAdminDrainReachesAllDaemonsAndReturnNeedsQuorum(t *testing.T) {
	daemons, dirs := startCluster(t)
	ctx := testContext(t)
	daemons[0].servers.ReportDrain("s1")
	for _, s := range daemons {
		s.waitForState(t, "s1", true)
	}
	for {
		if requested, err := daemons[1].servers.RequestReturn(ctx, "s1"); err == nil && requested {
			break
		} else if !errors.Is(err, ErrNotReplicated) && !errors.Is(err, ErrExcludedAgain) {
			t.Fatal(requested, err)
		}
	}
	for _, s := range daemons {
		s.waitForState(t, "s1", false)
	}
	// Without a quorum a daemon still drains servers, but none returns to service.
	for _, id := range []string{"s2", "s4"} {
		daemons[1].servers.ReportDrain(id)
		daemons[0].waitForState(t, id, true)
	}
	daemons[1].stop()
	daemons[2].stop()
	daemons[0].servers.ReportDrain("s3")
	short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	// The outcome of this return is unknown: it may be committed once the other replicas are back.
	if _, err := daemons[0].servers.RequestReturn(short, "s4"); err == nil {
		t.Fatal("a server returned without a quorum")
	}
	if _, err := daemons[0].servers.RequestReturn(ctx, "s3"); !errors.Is(err, ErrNotReplicated) {
		t.Fatal(err)
	}
	exclusions := fmt.Sprint(daemons[0].servers.Exclusions())
	if !strings.Contains(exclusions, "s2 true") || !strings.Contains(exclusions, "s3 false") {
		t.Fatal(exclusions)
	}
	// After their restart the other daemons still know the drain of s2, and receive that of s3, which they missed.
	b := startDaemon(t, "b", dirs[1], daemons[1].addr, true)
	c := startDaemon(t, "c", dirs[2], daemons[2].addr, true)
	for _, s := range []*testDaemon{b, c} {
		s.waitForState(t, "s2", true)
		s.waitForState(t, "s3", true)
	}
}

// Settings that one replica rejects are not committed, even if the daemon at which they are put cannot check them. A
// rollback commits the settings of an earlier version again, which all daemons then run.
func TestSettingsAreCheckedByAllReplicasAndRolledBack(t *testing.T) {
	daemons, _ := startCluster(t)
	ctx := testContext(t)
	for i, text := range []string{`{"x":1}`, `{"x":2}`} {
		version, err := daemons[i].settings.Put(ctx, json.RawMessage(text), "try")
		if err != nil || version.Version != uint64(i+1) {
			t.Fatal(version, err)
		}
	}
	_, err := daemons[2].settings.Put(ctx, json.RawMessage(`{"bad":1}`), "")
	if err == nil || !strings.Contains(err.Error(), "a: settings.x: is bad") {
		t.Fatal(err)
	}
	if version, err := daemons[1].settings.Rollback(ctx, 1); err != nil || version.Version != 3 {
		t.Fatal(version, err)
	}
	for _, s := range daemons {
		if _, err := s.engine.View(ctx, false, func(*store.State) {}); err != nil {
			t.Fatal(err)
		}
		if got := string(s.settings.Current()); got != `{"x":1}` {
			t.Fatal(got)
		}
		<-s.settings.Reload()
	}
	if history, err := daemons[0].settings.History(ctx); err != nil || len(history) != 3 ||
		history[0].Note != "rollback to version 1" {
		t.Fatal(history, err)
	}
}
