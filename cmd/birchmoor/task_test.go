package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/lab/tasklab"
	"birchmoor/internal/testutil/processtest"
)

// runTaskTorture runs locks at daemons as processes of this binary under each kind of blow in turn.
func runTaskTorture(t *testing.T, blows int, change func(*tasklab.Torture)) *tasklab.Tortured {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	x := &tasklab.Torture{Program: self, Env: []string{asProgramEnv + "=1"}, Dir: t.TempDir(), Replicas: 3, Follow: 1, Holders: 1, TTL: 1500 * time.Millisecond, Inside: true,
		Blows: blows, Seed: 1, Say: func(s string) { t.Log(s) }}
	if change != nil {
		change(x)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	r, err := x.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Three replicas and a follower, a lock at each, and every kind of blow once: the stand-in that checks tokens sees
// them in order, the one that checks nothing sees two act at once only where what acted was stopped itself; after
// each blow somebody acts.
func TestTaskHoldersNeverOverlapUnderFaults(t *testing.T) {
	t.Parallel()
	r := runTaskTorture(t, len(tasklab.Faults), nil)
	if len(r.Broken) > 0 {
		t.Errorf("%q", r.Broken)
	}
	if r.Acts == 0 || r.Holders < 4 {
		t.Errorf("%d acts of %d holders", r.Acts, r.Holders)
	}
	if r.History < 100 {
		t.Errorf("the history of the store has %d operations", r.History)
	}
	t.Logf("%d acts of %d holders, %d late of stopped actors, %d operations of the store", r.Acts, r.Holders, r.Late, r.History)
}

// A lock gives its command the token, ends it with all that it started, and tells its exit codes apart.
func TestLockRunsCommandOnlyWhileHeld(t *testing.T) {
	dir := t.TempDir()
	a := newTestDaemon(t, dir, "a", false)
	a.start(t)
	lock := func(log *processtest.Log, args ...string) *processtest.Process {
		return processtest.Start(t, processtest.Self(t, []string{asProgramEnv + "=1"}, append([]string{"lock", "--socket", a.socket}, args...)...), log)
	}
	var log processtest.Log
	if code := lock(&log, "job", "--", "sh", "-c", `echo "$BIRCHMOOR_TASK $BIRCHMOOR_TOKEN"; exit 7`).ExitCode(); code != 7 || !strings.Contains(log.String(), "job ") {
		t.Fatalf("exit code %d:\n%s", code, log.String())
	}
	// The second is not got while the first runs, and gets it once that is killed outright, with all that it started.
	one, two := filepath.Join(dir, "one"), filepath.Join(dir, "two")
	holder := lock(&log, "job", "--ttl", "1s", "--", "sh", "-c", "(trap '' TERM; while :; do echo x >> "+one+"; sleep 0.01; done) & wait")
	processtest.Until(t, "the first one's work", func() bool { _, err := os.Stat(one); return err == nil }, log.String)
	if code := lock(&log, "job", "--ttl", "1s", "--wait", "300ms", "--", "touch", two).ExitCode(); code != exitLockNotAcquired {
		t.Errorf("exit code %d for a lock that is held", code)
	}
	if code, out, errs := birchmoor("task", "show", "job", "--socket", a.socket); code != 0 || !strings.Contains(out, "holds") {
		t.Errorf("exit code %d: %s%s", code, out, errs)
	}
	holder.Kill()
	size := func() int64 {
		info, err := os.Stat(one)
		if err != nil {
			t.Fatal(err)
		}
		return info.Size()
	}
	if code := lock(&log, "job", "--ttl", "20s", "--", "cp", one, two).ExitCode(); code != 0 {
		t.Fatalf("exit code %d after the first was killed:\n%s", code, log.String())
	}
	after := size()
	if info, err := os.Stat(two); err != nil || info.Size() != after {
		t.Errorf("what the killed lock ran goes on: %d bytes, then %d", info.Size(), after)
	}
	// A paused task is nobody's: its holder is ended.
	holder = lock(&log, "job", "--ttl", "1s", "--", "sleep", "1000")
	held := func() bool {
		_, out, _ := birchmoor("task", "show", "job", "--socket", a.socket)
		return strings.Contains(out, "holds")
	}
	processtest.Until(t, "the next holder", held, log.String)
	if code, _, errs := birchmoor("task", "pause", "job", "--socket", a.socket); code != 0 {
		t.Fatal(errs)
	}
	if code := holder.ExitCode(); code != exitLockLost {
		t.Errorf("exit code %d of one whose task was paused", code)
	}
	if _, out, _ := birchmoor("task", "list", "--socket", a.socket); !strings.Contains(out, "it is paused") {
		t.Error(out)
	}
	if code, _, _ := birchmoor("task", "resume", "job", "--socket", a.socket); code != 0 {
		t.Error("not resumed")
	}
	for _, args := range [][]string{{"Bad Name", "--", "true"}, {"job", "--ttl", "1ms", "--", "true"}, {"job", "--slots", "3", "--", "true"}, {"job", "--", "no-such-command"}} {
		if code := lock(&log, append([]string{"--wait", "20s"}, args...)...).ExitCode(); code == 0 {
			t.Errorf("%v: exit code 0", args)
		}
	}
}
