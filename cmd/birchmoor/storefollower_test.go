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
// once none can be reached; and it says so. What drains by their word is sent nothing, though its own list says
// that it serves.
func TestFollowerStartsFromReplicaOrOwnDisk(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	f, err := fleetlab.Begin(ctx, fleetlab.Config{Program: self, Args: []string{"run", "--config"}, Env: []string{asProgramEnv + "=1"},
		Dir: t.TempDir(), Replicas: 1, Follow: 1, Servers: 3, Starts: true, Seed: 1, Wait: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	defer f.End()
	a, b := f.Daemons[0], f.Daemons[1]
	drained := f.Servers[0]
	in := drained.Now()
	in.Lifecycle = "draining"
	drained.Set(in)
	a.Tell(in)
	for known := false; !known; {
		facts, err := b.Client.Servers(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range facts {
			known = known || x.ID == in.ID && x.Kind == "drains" && x.Committed && x.By == "d0"
		}
	}
	b.Deaf(true)
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	start := func(what, from string) {
		t.Helper()
		b.Kill()
		if from != "own disk" {
			if err := b.Lose(); err != nil {
				t.Fatal(err)
			}
		}
		before := drained.Count(1)
		if err := b.Start(); err != nil {
			t.Fatal(err)
		}
		if err := b.Ready(ctx); err != nil {
			t.Fatalf("%v\n%s", err, b.Log())
		}
		for n := range 100 {
			b.Ask(ctx, c, fmt.Sprintf("%020x", n+before+int(time.Now().UnixNano())))
		}
		if n := drained.Count(1) - before; n > 0 {
			t.Errorf("%s: %d requests to a server that drains\n%s", what, n, b.Log())
		}
		s, err := b.Client.Status(ctx)
		if err != nil || s.Startup.From != from || s.Startup.Exclusions != 1 || !s.Follower || (s.Startup.Age != "") != (from == "own disk") {
			t.Errorf("%s: %+v, %v", what, s.Startup, err)
		}
	}
	start("an empty disk", "another replica")
	socket := b.Socket()
	if code, out, _ := birchmoor("store", "servers", in.ID, "--socket", socket); code != 0 || !strings.Contains(out, "drains") {
		t.Errorf("servers: %d %s", code, out)
	}
	if code, _, errs := birchmoor("store", "servers", "nobody", "--socket", socket); code != 1 || !strings.Contains(errs, "nothing is known") {
		t.Errorf("of no server: %d %s", code, errs)
	}
	if code, _, errs := birchmoor("store", "put", "config/current", "{}", "--socket", socket); code != 2 || !strings.Contains(errs, "nothing was changed") {
		t.Errorf("a follower changed the settings: %d %s", code, errs)
	}
	for kept := false; !kept; { // its file is written a moment after the copy came
		kept = slices.Contains(fileNames(t, b.Dir()), "copy")
	}
	a.Kill()
	start("no replica to be reached", "own disk")
	if code, out, _ := birchmoor("store", "status", "--socket", socket); code != 0 || !strings.Contains(out, "own disk at revision") ||
		!strings.Contains(out, "hears no replica") {
		t.Errorf("status: %d %s", code, out)
	}
	if code, _, errs := birchmoor("store", "put", "out/ban/x", "y", "--timeout", "300ms", "--socket", socket); code != 2 || !strings.Contains(errs, "nothing was changed") {
		t.Errorf("a change with no replica: %d %s", code, errs)
	}
}

func fileNames(t *testing.T, dir string) (names []string) {
	all, err := os.ReadDir(dir)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	for _, f := range all {
		names = append(names, f.Name())
	}
	return names
}
