package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/lab/fleetlab"
)

// A daemon without a replica starts with what others know: with an empty disk from a replica, and from its own disk
// once no replica can be reached; and it says so. A server that drains by their reports is sent nothing, though the
// daemon's own list says that it serves.
func TestFollowerStartsFromReplicaOrOwnDisk(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	f, err := fleetlab.Begin(ctx, fleetlab.Config{
		Program:  self,
		Args:     []string{"run", "--config"},
		Env:      []string{asProgramEnv + "=1"},
		Dir:      t.TempDir(),
		Replicas: 1,
		Follow:   1,
		Servers:  3,
		Starts:   true,
		Seed:     1,
		Wait:     time.Minute,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.End()
	replica, follower := f.Daemons[0], f.Daemons[1]
	s := &followerStarts{ctx: ctx, follower: follower, drained: f.Servers[0]}
	drain := s.drained.Now()
	drain.Lifecycle = "draining"
	s.drained.Set(drain)
	replica.Tell(drain)
	for known := false; !known; {
		facts, err := follower.Client.Servers(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range facts {
			known = known || x.ID == drain.ID && x.Kind == "drains" && x.Committed && x.By == "d0"
		}
	}
	follower.Deaf(true)
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
		if err := s.follower.Lose(); err != nil {
			t.Fatal(err)
		}
	}
	before := s.drained.Count(1)
	if err := s.follower.Start(); err != nil {
		t.Fatal(err)
	}
	if err := s.follower.Ready(s.ctx); err != nil {
		t.Fatalf("%v\n%s", err, s.follower.Log())
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := range 100 {
		s.follower.Ask(s.ctx, client, fmt.Sprintf("%020x", n+before+int(time.Now().UnixNano())))
	}
	if n := s.drained.Count(1) - before; n > 0 {
		t.Errorf("%s: %d requests to a server that drains\n%s", what, n, s.follower.Log())
	}
	status, err := s.follower.Client.Status(s.ctx)
	startup := status.Startup
	if err != nil || startup.From != from || startup.Exclusions != 1 || !status.Follower ||
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
