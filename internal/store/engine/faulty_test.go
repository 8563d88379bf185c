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

// become puts a device in the place of an open file, under the same descriptor: /dev/full takes no byte (ENOSPC), /dev/null
// takes all and keeps none, and says so when it is synced. Neither has a size: if the first write that fails is one that needs
// more pages than the file has free, bbolt looks at the size before it writes, and that is what fails.
func become(t *testing.T, f *os.File, device string) {
	t.Helper()
	to, err := os.OpenFile(device, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	if err := syscall.Dup3(int(to.Fd()), int(f.Fd()), syscall.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
}

// A real file whose disk is full, or whose syncs fail, in the middle of drains being written: that replica stops and says why,
// the others go on, nothing that was answered is lost, and started again on the same file it knows all that it had acted on.
func TestReplicaStopsWhenItsFileFails(t *testing.T) {
	const noSize = "file size too small"
	for _, x := range []struct {
		name, device, reason string
		leads, grows         bool // whether it leads then; whether the write needs more pages than are free
	}{
		{"full", "/dev/full", "no space left", false, false},
		{"null", "/dev/null", "invalid argument", true, false},
		{"full_as_it_leads_and_grows", "/dev/full", "no space left", true, true},
		{"null_as_it_grows", "/dev/null", "invalid argument", false, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := &cluster{t: t, disk: map[string]disk.Options{}}
			var file *os.File
			c.disk["b"] = disk.Options{OnOpen: func(f *os.File) { file = f }}
			c.begin("a", "b", "c")
			drain := func(n int) store.Command {
				key := serverstate.ExclusionKey(serverstate.Drain, serverstate.Process{ID: fmt.Sprint("s", n), Addr: "127.0.0.1:1", StartedMs: 1}.ServerName())
				return store.Command{Txn: &store.Txn{Then: []store.Op{{Key: key, Value: []byte{0xa0}}}}}
			}
			const drains = 60
			for n := range drains {
				if n == drains/2 {
					if got := c.get("b", drain(n - 1).Txn.Then[0].Key); got == "" {
						t.Fatal("b does not have the drain before")
					}
					if x.leads {
						c.lead("b")
					}
					become(t, file, x.device)
					if x.grows {
						_, err := c.all["a"].Do(c.ctx(), put("big", strings.Repeat("x", 200<<10)))
						c.must(err)
					}
				}
				if _, err := c.all["a"].Do(c.ctx(), drain(n)); err != nil {
					t.Fatal(n, err, c.stands())
				}
			}
			var why string
			c.until("b", func(s Status) bool { why = s.Failed; return why != "" })
			if !strings.Contains(why, x.reason) && !strings.Contains(why, noSize) || !strings.Contains(why, file.Name()) {
				t.Errorf("it says that it stopped by %q, and its file %s failed by %q or %q", why, file.Name(), x.reason, noSize)
			}
			if _, err := c.all["b"].Do(c.ctx(), drain(drains)); !errors.Is(err, replica.ErrStopped) && !errors.Is(err, replica.ErrOutcomeUnknown) {
				t.Errorf("a stopped replica answers %v", err)
			}
			c.all["b"].Kill() // whose disk cannot be closed well
			delete(c.disk, "b")
			guard := serverstate.NewGuard("b")
			c.first = func(cfg *Config) {
				cfg.OnReset = func(s *store.State) { guard.Reset(s) }
				cfg.OnUncommitted = func(c *store.Command) { guard.Uncommitted(c) }
			}
			b := c.start("b", true)
			c.first = nil
			for n := range drains / 2 {
				if key := drain(n).Txn.Then[0].Key; !guard.Excluded(strings.TrimPrefix(key, serverstate.ExclusionKey(serverstate.Drain, ""))) {
					t.Fatalf("started again, it does not know drain %d at once", n)
				}
			}
			var there int
			if _, err := b.View(c.ctx(), false, func(s *store.State) {
				s.Range(serverstate.ExclusionPrefix, store.PrefixEnd(serverstate.ExclusionPrefix), func(store.Item) bool { there++; return true })
			}); err != nil || there < drains {
				t.Errorf("%d of %d drains that were answered are there: %v", there, drains, err)
			}
		})
	}
}
