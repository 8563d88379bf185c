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

// replaceFile replaces an open file by a device, under the same descriptor. /dev/full accepts no byte (ENOSPC);
// /dev/null discards all, and fails to sync. Neither has a size: if the first write that fails needs more pages than
// the file has free, bbolt fails earlier, when it checks the size.
func replaceFile(t *testing.T, f *os.File, device string) {
	t.Helper()
	to, err := os.OpenFile(device, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = to.Close() }()
	if err := syscall.Dup3(int(to.Fd()), int(f.Fd()), syscall.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
}

// drainCommand drains the nth server.
func drainCommand(n int) store.Command {
	server := serverstate.Process{ID: fmt.Sprint("s", n), Addr: "127.0.0.1:1", StartedMs: 1}.ServerName()
	key := serverstate.ExclusionKey(serverstate.Drain, server)
	return store.Command{Txn: &store.Txn{Then: []store.Op{{Key: key, Value: []byte{0xa0}}}}}
}

func drainKey(n int) string { return drainCommand(n).Txn.Then[0].Key }

// A replica whose file fails while drains are written, because the disk is full or a sync fails, stops and reports why.
// The other replicas continue, no acknowledged drain is lost, and after a restart on the same file the replica knows at
// once all drains that it had applied.
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

type diskFailure struct {
	name, device, reason string
	leads                bool // the replica leads when its file fails
	grows                bool // the failing write needs more pages than are free
}

func (f diskFailure) run(t *testing.T) {
	const drains = 60
	c := &cluster{t: t, disk: map[string]disk.Options{}}
	var file *os.File
	c.disk["b"] = disk.Options{OnOpen: func(f *os.File) { file = f }}
	c.begin("a", "b", "c")
	for n := range drains {
		if n == drains/2 {
			if got := c.get("b", drainKey(n-1)); got == "" {
				t.Fatal("b lacks the previous drain")
			}
			f.inject(c, file)
		}
		if _, err := c.all["a"].Do(c.ctx(), drainCommand(n)); err != nil {
			t.Fatal(n, err, c.describe())
		}
	}
	f.checkStopped(c, file)
	_, err := c.all["b"].Do(c.ctx(), drainCommand(drains))
	if !errors.Is(err, replica.ErrStopped) && !errors.Is(err, replica.ErrOutcomeUnknown) {
		t.Errorf("a stopped replica returns %v", err)
	}
	_ = c.all["b"].Kill() // its file cannot be closed without an error
	delete(c.disk, "b")
	f.checkRestart(c, drains)
}

// inject has the file of b fail.
func (f diskFailure) inject(c *cluster, file *os.File) {
	c.t.Helper()
	if f.leads {
		c.lead("b")
	}
	replaceFile(c.t, file, f.device)
	if f.grows {
		_, err := c.all["a"].Do(c.ctx(), put("big", strings.Repeat("x", 200<<10)))
		c.must(err)
	}
}

// checkStopped waits until b has stopped, and checks that it reports the failure and the file.
func (f diskFailure) checkStopped(c *cluster, file *os.File) {
	c.t.Helper()
	const noSize = "file size too small"
	var failed string
	c.until("b", func(s Status) bool {
		failed = s.Failed
		return failed != ""
	})
	if !strings.Contains(failed, f.reason) && !strings.Contains(failed, noSize) {
		c.t.Errorf("b stopped by %q, and its file failed by %q or %q", failed, f.reason, noSize)
	}
	if !strings.Contains(failed, file.Name()) {
		c.t.Errorf("b stopped by %q, and its file is %s", failed, file.Name())
	}
}

// checkRestart starts b again on the file.
func (diskFailure) checkRestart(c *cluster, drains int) {
	c.t.Helper()
	guard := serverstate.NewGuard("b")
	c.tune = func(cfg *Config) {
		cfg.OnReset = func(s *store.State) {
			if err := guard.Reset(s); err != nil {
				c.t.Error(err)
			}
		}
		cfg.OnUncommitted = func(c *store.Command) { guard.Uncommitted(c) }
	}
	b := c.start("b", true)
	c.tune = nil
	prefix := serverstate.ExclusionKey(serverstate.Drain, "")
	for n := range drains / 2 {
		if !guard.Excluded(strings.TrimPrefix(drainKey(n), prefix)) {
			c.t.Fatalf("after the restart b does not know drain %d at once", n)
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
		c.t.Errorf("%d of %d acknowledged drains were found: %v", found, drains, err)
	}
}
