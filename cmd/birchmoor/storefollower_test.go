package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/operatorconfig"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/lab/address"
	"birchmoor/internal/lab/fleetlab"
	"birchmoor/internal/store"
	"birchmoor/internal/testutil/processtest"
)

// The copy of a follower holds the keys that its daemon needs. Other keys are read from a replica, or the reply says
// that the copy does not hold them. A follower with interest = "all" holds all keys, as followers of the previous
// version do.
func TestFollowerStoresOnlyItsInterest(t *testing.T) {
	t.Parallel()
	discardLog, dir, serve := slog.New(slog.DiscardHandler), shortDir(t), address.Next()
	_, end := openDaemon(t, dir, "a", fmt.Sprintf("listen = %q\nserve = %q", address.Next(), serve), discardLog)
	endReplica := sync.OnceFunc(end)
	defer endReplica()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	clients := map[string]*adminapi.Client{"a": adminapi.Dial(filepath.Join(dir, "a.sock"))}
	processtest.Until(t, "limit put succeeds", func() bool {
		_, err := clients["a"].PutLimits(ctx, partitionedRateLimit())
		return err == nil
	})
	var stopping sync.WaitGroup
	defer stopping.Wait()
	for name, more := range map[string]string{"h0": "", "h1": "", "h2": "interest = \"all\"\n"} {
		_, end := openDaemon(t, dir, name, fmt.Sprintf("follow = [\"a=%s\"]\n%s", serve, more), discardLog)
		defer stopping.Go(end)
		clients[name] = adminapi.Dial(filepath.Join(dir, name+".sock"))
	}
	demand := url.Values{"prefix": {quota.DemandPrefix}}
	processtest.Until(t, "every daemon reports its demand", func() bool {
		page, err := clients["a"].Range(ctx, demand)
		return err == nil && len(page.Items) == 4
	})
	processtest.Until(t, "the interest of h0 covers its own demand alone", func() bool {
		status, err := clients["h0"].Status(ctx)
		return err == nil && status.Interest != nil && status.Interest.Covers(quota.DemandPrefix+"h0/1") &&
			!status.Interest.Covers(quota.DemandPrefix+"h1/1")
	})
	checkPartialCopy(ctx, t, clients["h0"])
	stale := url.Values{"prefix": {quota.DemandPrefix}, "stale": {"true"}}
	if page, err := clients["h2"].Range(ctx, stale); err != nil || len(page.Items) != 4 {
		t.Errorf("stale read at a follower with all keys: %d items, %v", len(page.Items), err)
	}
	if limits, err := clients["h0"].Limits(ctx, ""); err != nil || limits.Fault != "" || len(limits.Limits) != 1 ||
		len(limits.Limits[0].NodeStatuses[0].Processes) != 4 {
		t.Errorf("limits at a follower: %+v, %v", limits, err)
	}
	processtest.Until(t, "every daemon has a queue entry in the fleet task", func() bool {
		all, err := clients["h0"].Tasks(ctx, daemon.FleetTask)
		return err == nil && len(all) == 1 && len(all[0].Queue) == 4
	})
	socket := filepath.Join(dir, "h0.sock")
	if code, _, errs := birchmoor("store", "watch", "limit/", "--socket", socket); code != 2 ||
		!strings.Contains(errs, "a replica has to be asked") {
		t.Errorf("store watch outside the interest: exit code %d, %s", code, errs)
	}
	if code, out, errs := birchmoor("store", "status", "--socket", socket); code != 0 ||
		!strings.Contains(out, "; a part: ") || !strings.Contains(out, " limit/grant/h0/ ") {
		t.Errorf("store status of a follower: exit code %d, %s %s", code, out, errs)
	}
	endReplica()
	if limits, err := clients["h0"].Limits(ctx, ""); err != nil ||
		!strings.Contains(limits.Fault, "no replica tells of the others") {
		t.Errorf("limits at a follower without a replica: %+v, %v", limits, err)
	}
}

// checkPartialCopy checks that a follower reads keys outside its interest from a replica, and that stale reads and
// watches of them are errors.
func checkPartialCopy(ctx context.Context, t *testing.T, client *adminapi.Client) {
	t.Helper()
	demand := url.Values{"prefix": {quota.DemandPrefix}}
	stale := url.Values{"prefix": {quota.DemandPrefix}, "stale": {"true"}}
	if page, err := client.Range(ctx, demand); err != nil || len(page.Items) != 4 {
		t.Errorf("read through a replica: %d items, %v", len(page.Items), err)
	}
	if page, err := client.Range(ctx, stale); err == nil || !strings.Contains(err.Error(), "does not hold") {
		t.Errorf("stale read of keys that the copy does not hold: %d items, %v", len(page.Items), err)
	}
	if err := client.Watch(ctx, demand, func(store.Event) error { return nil }); err == nil ||
		!strings.Contains(err.Error(), "does not hold") {
		t.Errorf("watch of keys that the copy does not hold: %v", err)
	}
}

// openDaemon starts a daemon without a sidecar in this process. extra is added to the [store] section of its operator
// file. end shuts the daemon down.
func openDaemon(tb testing.TB, dir, name, extra string, log *slog.Logger) (services *fleetServices, end func()) {
	tb.Helper()
	file := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf("[store]\nname = %q\ndir = %q\nsocket = %q\nplain = true\n%s\n[limits]\n",
		name, name, name+".sock", extra)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
	f, err := operatorconfig.Read(file)
	if err != nil {
		tb.Fatal(err)
	}
	if services, end, err = openControlPlane(f, false, nil, log); err != nil {
		tb.Fatal(err)
	}
	return services, end
}

// shortDir returns a temporary folder whose path is short enough for Unix sockets in it.
func shortDir(tb testing.TB) string {
	tb.Helper()
	dir, err := os.MkdirTemp("", "f") //nolint:usetesting // t.TempDir is too long for the path of a Unix socket
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// partitionedRateLimit returns a configuration with one rate limit, whose parts are the classes class0 to class3.
func partitionedRateLimit() *quota.Config {
	l := &quota.Limit{
		Name:        "all",
		Kind:        quota.Rate,
		Unit:        quota.Requests,
		Window:      1e8,
		Fallback:    quota.Strict,
		PartitionBy: []string{"class"},
		Nodes:       []quota.Node{{Capacity: 10000 * quota.AmountUnit, Weight: 1}},
	}
	for i := range 4 {
		l.Nodes = append(l.Nodes, quota.Node{Path: fmt.Sprint("class", i), Capacity: 5000 * quota.AmountUnit, Weight: 1})
	}
	return &quota.Config{Limits: []*quota.Limit{l}}
}

// A follower starts with the state of a replica if its disk is empty, and with that of its own disk if no replica can
// be reached, and its status names the source. It sends nothing to a server that drains by that state, although its own
// endpoint list says that the server is up.
func TestFollowerStartsFromReplicaOrOwnDisk(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	f := startFleet(ctx, t, fleetlab.Config{Replicas: 1, Followers: 1, Servers: 3, ReportStarts: true,
		FirstCopyTimeout: time.Minute})
	defer f.End()
	replica, follower := f.Daemons[0], f.Daemons[1]
	s := &followerStarts{ctx: ctx, follower: follower, drained: f.Servers[0]}
	drain := s.drained.Instance()
	drain.Lifecycle = "draining"
	s.drained.SetInstance(drain)
	replica.Report(drain)
	for known := false; !known; {
		facts, err := follower.Client.Servers(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range facts {
			known = known || x.ID == drain.ID && x.Kind == "drains" && x.Committed && x.ReportedBy == "d0"
		}
	}
	follower.SetDiscoverySilent(true)
	s.start(t, "an empty disk", "another replica")
	socket := follower.Socket()
	if code, out, _ := birchmoor("store", "servers", drain.ID, "--socket", socket); code != 0 ||
		!strings.Contains(out, "drains") {
		t.Errorf("store servers: exit code %d, %s", code, out)
	}
	code, _, errs := birchmoor("store", "servers", "nobody", "--socket", socket)
	if code != 1 || !strings.Contains(errs, "nothing is known") {
		t.Errorf("store servers of an unknown server: exit code %d, %s", code, errs)
	}
	code, _, errs = birchmoor("store", "put", "config/current", "{}", "--socket", socket)
	if code != 2 || !strings.Contains(errs, "nothing was changed") {
		t.Errorf("a follower changed the settings: exit code %d, %s", code, errs)
	}
	for stored := false; !stored; { // the file of the copy is written shortly after the copy arrives
		stored = slices.Contains(fileNames(t, follower.Dir()), "copy")
	}
	replica.Kill()
	s.start(t, "no reachable replica", "own disk")
	code, out, _ := birchmoor("store", "status", "--socket", socket)
	if code != 0 || !strings.Contains(out, "own disk at revision") || !strings.Contains(out, "hears no replica") {
		t.Errorf("store status: exit code %d, %s", code, out)
	}
	code, _, errs = birchmoor("store", "put", "out/ban/x", "y", "--timeout", "300ms", "--socket", socket)
	if code != 2 || !strings.Contains(errs, "nothing was changed") {
		t.Errorf("store put without a reachable replica: exit code %d, %s", code, errs)
	}
}

// startFleet starts a fleet of processes of this binary. It sets the fields of config that are the same in all tests.
func startFleet(ctx context.Context, t *testing.T, config fleetlab.Config) *fleetlab.Fleet {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	config.Program = self
	config.Args = []string{"run", "--config"}
	config.Env = []string{asProgramEnv + "=1"}
	config.Dir = t.TempDir()
	config.Seed = 1
	f, err := fleetlab.Begin(ctx, config)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// followerStarts restarts a follower while a server drains.
type followerStarts struct {
	ctx      context.Context // of the test
	follower *fleetlab.Daemon
	drained  *fleetlab.Server
}

// start restarts the follower, and checks that its state is from the given source and that it sends nothing to the
// drained server. Unless the source is "own disk", it deletes the follower's disk before. what describes the case in
// errors.
func (s *followerStarts) start(t *testing.T, what, from string) {
	t.Helper()
	ownDisk := from == "own disk"
	s.follower.Kill()
	if !ownDisk {
		if err := s.follower.RemoveData(); err != nil {
			t.Fatal(err)
		}
	}
	before := s.drained.RequestCount(1)
	if err := s.follower.Start(); err != nil {
		t.Fatal(err)
	}
	if err := s.follower.Ready(s.ctx); err != nil {
		t.Fatalf("%v\n%s", err, s.follower.Log())
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := range 100 {
		s.follower.SendRequest(s.ctx, client, fmt.Sprintf("%020x", n+before+int(time.Now().UnixNano())))
	}
	if n := s.drained.RequestCount(1) - before; n > 0 {
		t.Errorf("%s: %d requests to the draining server\n%s", what, n, s.follower.Log())
	}
	status, err := s.follower.Client.Status(s.ctx)
	startup := status.Startup
	if err != nil || startup.Source != from || startup.Exclusions != 1 || !status.Follower ||
		(startup.Age != "") != ownDisk {
		t.Errorf("%s: the startup state is %+v, %v", what, startup, err)
	}
}

// fileNames returns the names of the files in a folder, none if the folder does not exist.
func fileNames(t *testing.T, dir string) (names []string) {
	t.Helper()
	all, err := os.ReadDir(dir)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	for _, f := range all {
		names = append(names, f.Name())
	}
	return names
}
