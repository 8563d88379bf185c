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

// runTaskTorture runs locks at daemons as processes of this binary under so many kinds of faults in turn.
func runTaskTorture(t *testing.T, faults int, change func(*tasklab.FaultRun)) *tasklab.Result {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	x := &tasklab.FaultRun{
		Program:          self,
		Env:              []string{asProgramEnv + "=1"},
		Dir:              t.TempDir(),
		Replicas:         3,
		Followers:        1,
		Holders:          1,
		TTL:              1500 * time.Millisecond,
		HasProcessFaults: true,
		FaultCount:       faults,
		Seed:             1,
		Progress:         func(s string) { t.Log(s) },
	}
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

// Three replicas and a follower with a lock each get every kind of fault once. The stand-in that checks tokens sees
// them in order; the one that checks nothing sees two act at once only where what acted was itself stopped; and
// after each fault one acts.
func TestTaskHoldersNeverOverlapUnderFaults(t *testing.T) {
	t.Parallel()
	r := runTaskTorture(t, len(tasklab.Faults), nil)
	if len(r.Broken) > 0 {
		t.Errorf("%q", r.Broken)
	}
	if r.Actions == 0 || r.Holders < 4 {
		t.Errorf("%d acts of %d holders", r.Actions, r.Holders)
	}
	if r.StoreOperations < 100 {
		t.Errorf("the history of the store has %d operations", r.StoreOperations)
	}
	t.Logf("%d acts of %d holders, %d late of stopped actors, %d operations of the store",
		r.Actions, r.Holders, r.LateActions, r.StoreOperations)
}

// A lock gives its command the token, ends it with all that it started, and exits with different codes by what
// happened.
func TestLockRunsCommandOnlyWhileHeld(t *testing.T) {
	dir := t.TempDir()
	a := newTestDaemon(t, dir, "a", false)
	a.start(t)
	var log processtest.Log
	lock := func(args ...string) *processtest.Process {
		args = append([]string{"lock", "--socket", a.socket}, args...)
		return processtest.Start(t, processtest.Self(t, []string{asProgramEnv + "=1"}, args...), &log)
	}
	code := lock("job", "--", "sh", "-c", `echo "$BIRCHMOOR_TASK $BIRCHMOOR_TOKEN"; exit 7`).ExitCode()
	if code != 7 || !strings.Contains(log.String(), "job ") {
		t.Fatalf("exit code %d:\n%s", code, log.String())
	}
	// The second is not acquired while the first runs, and is once that is killed, with all that it started.
	one, two := filepath.Join(dir, "one"), filepath.Join(dir, "two")
	work := "(trap '' TERM; while :; do echo x >> " + one + "; sleep 0.01; done) & wait"
	holder := lock("job", "--ttl", "1s", "--", "sh", "-c", work)
	begun := func() bool {
		_, err := os.Stat(one)
		return err == nil
	}
	processtest.Until(t, "the first one's work", begun, log.String)
	code = lock("job", "--ttl", "1s", "--wait", "300ms", "--", "touch", two).ExitCode()
	if code != exitLockNotAcquired {
		t.Errorf("exit code %d for a lock that is held", code)
	}
	if code, out, errs := birchmoor("task", "show", "job", "--socket", a.socket); code != 0 ||
		!strings.Contains(out, "holds") {
		t.Errorf("exit code %d: %s%s", code, out, errs)
	}
	holder.Kill()
	if code := lock("job", "--ttl", "20s", "--", "cp", one, two).ExitCode(); code != 0 {
		t.Fatalf("exit code %d after the first was killed:\n%s", code, log.String())
	}
	after, err := os.Stat(one)
	if err != nil {
		t.Fatal(err)
	}
	if copied, err := os.Stat(two); err != nil || copied.Size() != after.Size() {
		t.Errorf("what the killed lock ran goes on: its output has %d bytes, and the copy %v, %v", after.Size(), copied, err)
	}
	checkPause(t, a, lock("job", "--ttl", "1s", "--", "sleep", "1000"), &log)
	for _, args := range [][]string{
		{"Bad Name", "--", "true"},
		{"job", "--ttl", "1ms", "--", "true"},
		{"job", "--slots", "3", "--", "true"},
		{"job", "--", "no-such-command"},
	} {
		if code := lock(append([]string{"--wait", "20s"}, args...)...).ExitCode(); code == 0 {
			t.Errorf("%v: exit code 0", args)
		}
	}
}

// checkPause pauses the task job once holder has it: a paused task has no holder, so that the process is ended.
func checkPause(t *testing.T, a *testDaemon, holder *processtest.Process, log *processtest.Log) {
	t.Helper()
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
}
