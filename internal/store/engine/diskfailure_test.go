package engine

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"

	"birchmoor/internal/store"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/serverstate"
)

// replaceFile has the descriptor of an open file refer to a device instead. Writes to /dev/full fail with ENOSPC;
// /dev/null discards writes, and fails to sync with EINVAL. Neither device has a size: if a write needs more pages than
// are free in the file, bbolt fails before the write, when it checks the size.
func replaceFile(t *testing.T, f *os.File, device string) {
	t.Helper()
	deviceFile, err := os.OpenFile(device, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = deviceFile.Close() }()
	if err := syscall.Dup3(int(deviceFile.Fd()), int(f.Fd()), syscall.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
}

// drainCommand returns the command that drains server n.
func drainCommand(n int) store.Command {
	server := serverstate.Process{ID: fmt.Sprint("s", n), Addr: "127.0.0.1:1", StartedMs: 1}.ServerName()
	key := serverstate.ExclusionKey(serverstate.Drain, server)
	return store.Command{Txn: &store.Txn{Then: []store.Op{{Key: key, Value: []byte{0xa0}}}}}
}

func drainKey(n int) string { return drainCommand(n).Txn.Then[0].Key }

// TestReplicaStopsWhenItsFileFails has the file of one replica fail while drains are written, because the disk is full
// or a sync fails. The replica must stop and report why, the others must continue, no acknowledged drain may be lost,
// and the replica that restarts on the same file must know all drains that it had applied as soon as Open returns.
func TestReplicaStopsWhenItsFileFails(t *testing.T) {
	for _, tc := range []diskFailure{
		{"full", "/dev/full", "no space left", false, false},
		{"null", "/dev/null", "invalid argument", true, false},
		{"full_as_it_leads_and_grows", "/dev/full", "no space left", true, true},
		{"null_as_it_grows", "/dev/null", "invalid argument", false, true},
	} {
		t.Run(tc.name, tc.run)
	}
}

// diskFailure is a way in which the file of replica b fails.
type diskFailure struct {
	name, device, reason string // reason is part of the error that the replica reports
	leads                bool   // b leads when its file fails
	grows                bool   // the write that fails needs more pages than are free in the file
}

func (f diskFailure) run(t *testing.T) {
	const drains = 60
	c := &cluster{t: t, diskOptions: map[string]disk.Options{}}
	var file *os.File
	c.diskOptions["b"] = disk.Options{OnOpen: func(f *os.File) { file = f }}
	c.startMembers("a", "b", "c")
	for n := range drains {
		if n == drains/2 {
			if got := c.get("b", drainKey(n-1)); got == "" {
				t.Fatal("b does not have the drain that was acknowledged last")
			}
			f.inject(c, file)
		}
		if _, err := c.engines["a"].Do(c.ctx(), drainCommand(n)); err != nil {
			t.Fatal(n, err, c.describe())
		}
	}
	f.checkStopped(c, file)
	_, err := c.engines["b"].Do(c.ctx(), drainCommand(drains))
	if !errors.Is(err, replica.ErrStopped) && !errors.Is(err, replica.ErrOutcomeUnknown) {
		t.Errorf("Do on the stopped replica b returned %v, want ErrStopped or ErrOutcomeUnknown", err)
	}
	_ = c.engines["b"].Kill() // its file cannot be closed without an error
	delete(c.diskOptions, "b")
	f.checkRestart(c, drains)
}

// inject makes the file of b fail from now on.
func (f diskFailure) inject(c *cluster, file *os.File) {
	c.t.Helper()
	if f.leads {
		c.makeLeader("b")
	}
	replaceFile(c.t, file, f.device)
	if f.grows {
		_, err := c.engines["a"].Do(c.ctx(), put("big", strings.Repeat("x", 200<<10)))
		c.must(err)
	}
}

// checkStopped waits until b has stopped, and checks that it reports the failure and the file.
func (f diskFailure) checkStopped(c *cluster, file *os.File) {
	c.t.Helper()
	const fileTooSmall = "file size too small"
	var failure string
	c.waitUntil("b", func(s Status) bool {
		failure = s.Failed
		return failure != ""
	})
	if !strings.Contains(failure, f.reason) && !strings.Contains(failure, fileTooSmall) {
		c.t.Errorf("b stopped with %q, want the reason %q or %q in it", failure, f.reason, fileTooSmall)
	}
	if !strings.Contains(failure, file.Name()) {
		c.t.Errorf("b stopped with %q, want the path %s in it", failure, file.Name())
	}
}

// checkRestart starts b again on the same file and checks that it knows the drains that it had applied as soon as Open
// returns, and that a read finds all acknowledged drains.
func (diskFailure) checkRestart(c *cluster, drains int) {
	c.t.Helper()
	guard := serverstate.NewGuard("b")
	c.tuneConfig = func(cfg *Config) {
		cfg.OnReset = func(s *store.State) {
			if err := guard.Reset(s); err != nil {
				c.t.Error(err)
			}
		}
		cfg.OnUncommitted = func(c *store.Command) { guard.Uncommitted(c) }
	}
	b := c.start("b", true)
	c.tuneConfig = nil
	prefix := serverstate.ExclusionKey(serverstate.Drain, "")
	for n := range drains / 2 {
		if !guard.Excluded(strings.TrimPrefix(drainKey(n), prefix)) {
			c.t.Fatalf("b does not know drain %d right after the restart", n)
		}
	}
	found := 0
	_, err := b.View(c.ctx(), false, func(s *store.State) {
		end := store.PrefixEnd(serverstate.ExclusionPrefix)
		s.Range(serverstate.ExclusionPrefix, end, func(store.Item) bool {
			found++
			return true
		})
	})
	if err != nil || found < drains {
		c.t.Errorf("after the restart b has %d of %d acknowledged drains: %v", found, drains, err)
	}
}
