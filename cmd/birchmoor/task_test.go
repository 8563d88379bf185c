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

// runTaskTorture runs task torture with processes of this binary, and with the first faults kinds of faults, once each.
// change, unless it is nil, changes the options before the run.
func runTaskTorture(t *testing.T, faults int, change func(*tasklab.FaultRun)) *tasklab.Result {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	torture := &tasklab.FaultRun{
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
		change(torture)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	r, err := torture.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Three replicas and a follower with one lock each get every kind of fault once. The test resource that checks tokens
// admits them in rising order. The one that does not check them sees two holders act at once only if an actor was
// itself stopped. After each fault a holder acts again.
func TestTaskHoldersNeverOverlapUnderFaults(t *testing.T) {
	t.Parallel()
	result := runTaskTorture(t, len(tasklab.Faults), nil)
	if len(result.Broken) > 0 {
		t.Errorf("broken rules: %q", result.Broken)
	}
	if result.Actions == 0 || result.Holders < 4 {
		t.Errorf("%d actions of %d holders", result.Actions, result.Holders)
	}
	if result.StoreOperations < 100 {
		t.Errorf("the history of the store has %d operations", result.StoreOperations)
	}
	t.Logf("%d actions of %d holders, %d late by stopped actors, %d operations of the store",
		result.Actions, result.Holders, result.LateActions, result.StoreOperations)
}

// lock passes the token to its command and runs it only while the lock is held. It ends the command with all processes
// that it started, and its exit code depends on the outcome.
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
		t.Fatalf("lock that runs a command with exit code 7: exit code %d:\n%s", code, log.String())
	}
	// The second lock is not acquired while the first one runs. It is once the first one is killed, which ends the
	// processes of its command.
	one, two := filepath.Join(dir, "one"), filepath.Join(dir, "two")
	work := "(trap '' TERM; while :; do echo x >> " + one + "; sleep 0.01; done) & wait"
	holder := lock("job", "--ttl", "1s", "--", "sh", "-c", work)
	begun := func() bool {
		_, err := os.Stat(one)
		return err == nil
	}
	processtest.Until(t, "output of the first command", begun, log.String)
	code = lock("job", "--ttl", "1s", "--wait", "300ms", "--", "touch", two).ExitCode()
	if code != exitLockNotAcquired {
		t.Errorf("lock that another process holds: exit code %d", code)
	}
	if code, out, errs := birchmoor("task", "show", "job", "--socket", a.socket); code != 0 ||
		!strings.Contains(out, "holds") {
		t.Errorf("task show of a held lock: exit code %d: %s%s", code, out, errs)
	}
	holder.Kill()
	if code := lock("job", "--ttl", "20s", "--", "cp", one, two).ExitCode(); code != 0 {
		t.Fatalf("lock after its holder was killed: exit code %d\n%s", code, log.String())
	}
	after, err := os.Stat(one)
	if err != nil {
		t.Fatal(err)
	}
	if copied, err := os.Stat(two); err != nil || copied.Size() != after.Size() {
		t.Errorf("the command of the killed lock still runs: its output has %d bytes, the copy is %v, %v",
			after.Size(), copied, err)
	}
	checkPause(t, a, lock("job", "--ttl", "1s", "--", "sleep", "1000"), &log)
	for _, args := range [][]string{
		{"Bad Name", "--", "true"},
		{"job", "--ttl", "1ms", "--", "true"},
		{"job", "--slots", "3", "--", "true"},
		{"job", "--", "no-such-command"},
	} {
		if code := lock(append([]string{"--wait", "20s"}, args...)...).ExitCode(); code == 0 {
			t.Errorf("lock with invalid arguments %v: exit code 0", args)
		}
	}
}

// checkPause pauses the task job once the lock process holder holds it. A paused task has no holder, so the process
// must exit.
func checkPause(t *testing.T, a *testDaemon, holder *processtest.Process, log *processtest.Log) {
	t.Helper()
	held := func() bool {
		_, out, _ := birchmoor("task", "show", "job", "--socket", a.socket)
		return strings.Contains(out, "holds")
	}
	processtest.Until(t, "the next holder of the lock", held, log.String)
	if code, _, errs := birchmoor("task", "pause", "job", "--socket", a.socket); code != 0 {
		t.Fatal(errs)
	}
	if code := holder.ExitCode(); code != exitLockLost {
		t.Errorf("lock whose task was paused: exit code %d", code)
	}
	if _, out, _ := birchmoor("task", "list", "--socket", a.socket); !strings.Contains(out, "it is paused") {
		t.Error(out)
	}
	if code, _, _ := birchmoor("task", "resume", "job", "--socket", a.socket); code != 0 {
		t.Error("task resume fails")
	}
}
