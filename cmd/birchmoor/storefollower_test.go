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

// A follower's copy has what its daemon needs. Other keys are read by way of a replica, or the answer says that
// they are not held. A follower whose interest is all has all keys, as those of the version before.
func TestFollowerStoresOnlyItsInterest(t *testing.T) {
	t.Parallel()
	quiet, dir, serve := slog.New(slog.DiscardHandler), shortDir(t), address.Next()
	_, end := openDaemon(t, dir, "a", fmt.Sprintf("listen = %q\nserve = %q", address.Next(), serve), quiet)
	over := sync.OnceFunc(end)
	defer over()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	clients := map[string]*adminapi.Client{"a": adminapi.Dial(filepath.Join(dir, "a.sock"))}
	processtest.Until(t, "limits are put", func() bool {
		_, err := clients["a"].PutLimits(ctx, partitionedRateLimit())
		return err == nil
	})
	var ending sync.WaitGroup
	defer ending.Wait()
	for name, more := range map[string]string{"h0": "", "h1": "", "h2": "interest = \"all\"\n"} {
		_, end := openDaemon(t, dir, name, fmt.Sprintf("follow = [\"a=%s\"]\n%s", serve, more), quiet)
		defer ending.Go(end)
		clients[name] = adminapi.Dial(filepath.Join(dir, name+".sock"))
	}
	demand := url.Values{"prefix": {quota.DemandPrefix}}
	processtest.Until(t, "all tell", func() bool {
		i, err := clients["a"].Range(ctx, demand)
		return err == nil && len(i.Items) == 4
	})
	processtest.Until(t, "each holds its own", func() bool {
		st, err := clients["h0"].Status(ctx)
		return err == nil && st.Interest != nil && st.Interest.Covers(quota.DemandPrefix+"h0/1") &&
			!st.Interest.Covers(quota.DemandPrefix+"h1/1")
	})
	checkPartialCopy(ctx, t, clients["h0"])
	stale := url.Values{"prefix": {quota.DemandPrefix}, "stale": {"true"}}
	if i, err := clients["h2"].Range(ctx, stale); err != nil || len(i.Items) != 4 {
		t.Errorf("a copy of all: %d, %v", len(i.Items), err)
	}
	if l, err := clients["h0"].Limits(ctx, ""); err != nil || l.Fault != "" || len(l.Limits) != 1 ||
		len(l.Limits[0].NodeStatuses[0].Processes) != 4 {
		t.Errorf("limits: %+v, %v", l, err)
	}
	processtest.Until(t, "all take part", func() bool {
		all, err := clients["h0"].Tasks(ctx, daemon.FleetTask)
		return err == nil && len(all) == 1 && len(all[0].Queue) == 4
	})
	socket := filepath.Join(dir, "h0.sock")
	if code, _, errs := birchmoor("store", "watch", "limit/", "--socket", socket); code != 2 ||
		!strings.Contains(errs, "a replica has to be asked") {
		t.Errorf("%d %s", code, errs)
	}
	if code, out, errs := birchmoor("store", "status", "--socket", socket); code != 0 ||
		!strings.Contains(out, "; a part: ") || !strings.Contains(out, " limit/grant/h0/ ") {
		t.Errorf("%d %s %s", code, out, errs)
	}
	over()
	if l, err := clients["h0"].Limits(ctx, ""); err != nil ||
		!strings.Contains(l.Fault, "no replica tells of the others") {
		t.Errorf("limits with no replica: %+v, %v", l, err)
	}
}

// checkPartialCopy checks that a follower reads keys outside its interest by way of a replica, and that its own
// copy and a watch do not have them.
func checkPartialCopy(ctx context.Context, t *testing.T, client *adminapi.Client) {
	t.Helper()
	demand := url.Values{"prefix": {quota.DemandPrefix}}
	stale := url.Values{"prefix": {quota.DemandPrefix}, "stale": {"true"}}
	if i, err := client.Range(ctx, demand); err != nil || len(i.Items) != 4 {
		t.Errorf("by way of a replica: %d, %v", len(i.Items), err)
	}
	if i, err := client.Range(ctx, stale); err == nil || !strings.Contains(err.Error(), "does not hold") {
		t.Errorf("its own copy: %d, %v", len(i.Items), err)
	}
	if err := client.Watch(ctx, demand, func(store.Event) error { return nil }); err == nil ||
		!strings.Contains(err.Error(), "does not hold") {
		t.Errorf("a watch: %v", err)
	}
}

// openDaemon starts a daemon in this process, without a sidecar; more is added to its [store].
func openDaemon(tb testing.TB, dir, name, more string, log *slog.Logger) (x *fleetServices, end func()) {
	tb.Helper()
	file := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf("[store]\nname = %q\ndir = %q\nsocket = %q\nplain = true\n%s\n[limits]\n",
		name, name, name+".sock", more)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
	f, err := operatorconfig.Read(file)
	if err != nil {
		tb.Fatal(err)
	}
	if x, end, err = openControlPlane(f, false, nil, log); err != nil {
		tb.Fatal(err)
	}
	return x, end
}

// shortDir is a folder with a path short enough for those of Unix sockets in it.
func shortDir(tb testing.TB) string {
	tb.Helper()
	dir, err := os.MkdirTemp("", "f") //nolint:usetesting // t.TempDir is too long for the path of a Unix socket
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// partitionedRateLimit is a limit whose parts are the classes class0 to class3.
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

// A daemon without a replica starts with what others know: with an empty disk from a replica, and from its own disk
// once no replica can be reached; and it says so. A server that drains by their reports is sent nothing, though the
// daemon's own list says that it serves.
func TestFollowerStartsFromReplicaOrOwnDisk(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	f := startFleet(ctx, t, fleetlab.Config{Replicas: 1, Followers: 1, Servers: 3, ReportStarts: true, FirstCopyTimeout: time.Minute})
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
		t.Errorf("servers: %d %s", code, out)
	}
	code, _, errs := birchmoor("store", "servers", "nobody", "--socket", socket)
	if code != 1 || !strings.Contains(errs, "nothing is known") {
		t.Errorf("of no server: %d %s", code, errs)
	}
	code, _, errs = birchmoor("store", "put", "config/current", "{}", "--socket", socket)
	if code != 2 || !strings.Contains(errs, "nothing was changed") {
		t.Errorf("a follower changed the settings: %d %s", code, errs)
	}
	for stored := false; !stored; { // its file is written a moment after the copy came
		stored = slices.Contains(fileNames(t, follower.Dir()), "copy")
	}
	replica.Kill()
	s.start(t, "no replica to be reached", "own disk")
	code, out, _ := birchmoor("store", "status", "--socket", socket)
	if code != 0 || !strings.Contains(out, "own disk at revision") || !strings.Contains(out, "hears no replica") {
		t.Errorf("status: %d %s", code, out)
	}
	code, _, errs = birchmoor("store", "put", "out/ban/x", "y", "--timeout", "300ms", "--socket", socket)
	if code != 2 || !strings.Contains(errs, "nothing was changed") {
		t.Errorf("a change with no replica: %d %s", code, errs)
	}
}

// startFleet starts a fleet of processes of this binary.
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

// followerStarts starts a follower again and again while a server drains.
type followerStarts struct {
	ctx      context.Context // that of the test
	follower *fleetlab.Daemon
	drained  *fleetlab.Server
}

// start starts the follower anew, and checks where it has its state from and that it sends nothing to the drained
// server. It loses its disk unless that is where the state is to come from.
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
		t.Errorf("%s: %d requests to a server that drains\n%s", what, n, s.follower.Log())
	}
	status, err := s.follower.Client.Status(s.ctx)
	startup := status.Startup
	if err != nil || startup.Source != from || startup.Exclusions != 1 || !status.Follower ||
		(startup.Age != "") != ownDisk {
		t.Errorf("%s: %+v, %v", what, startup, err)
	}
}

// fileNames are the names of a folder's files; there are none if there is no folder.
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
