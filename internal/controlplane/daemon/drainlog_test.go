package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/store/serverstate"
)

// A drain that one daemon heard binds after it was killed, whether or not the store had it, until the store is up to date and
// says otherwise; then it is told. A line that the process died in, and lines that are none, are passed over.
func TestDrainLogRestoresDrainsAfterKill(t *testing.T) {
	dir := t.TempDir()
	begin := func() (d *Drains, kill func()) {
		d = NewDrains("a", slog.New(slog.DiscardHandler))
		if err := d.OpenDrainLog(dir); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { d.drainLog.run(ctx.Done()); close(ended) }()
		return d, func() { cancel(); <-ended }
	}
	one, two := discovery.Process{ID: "s 1", Addr: "127.0.0.1:1", StartedMs: 5}, discovery.Process{ID: "s2", Addr: "[::1]:2"}
	d, kill := begin()
	d.Observe(one, true)
	d.Observe(two, true)
	d.Observe(two, false)
	kill()
	path := filepath.Join(dir, drainLogName)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, append(text, []byte("nonsense\n\n+out/ban/x\n+"+drainKey(serverstate.Process(two)))...), 0o600); err != nil {
		t.Fatal(err)
	}
	d, kill = begin()
	if known := fmt.Sprint(d.DrainingProcesses()); known != fmt.Sprint([]discovery.Process{one}) {
		t.Errorf("a start knows %s", known)
	}
	if owed := d.guard.TakeRetries(); len(owed) != 0 {
		t.Error("told before the store is up to date:", owed)
	}
	d.CaughtUp()
	if owed := d.guard.TakeRetries(); len(owed) != 1 || !strings.Contains(owed[0].Key, "s+1") || len(d.DrainingProcesses()) != 1 {
		t.Error("owed:", owed)
	}
	kill()
	if text, err := os.ReadFile(path); err != nil || string(text) != "+"+drainKey(serverstate.Process(one))+"\n" {
		t.Errorf("kept: %q, %v", text, err)
	}
	if err := os.Chmod(path, 0); err == nil && os.Getuid() != 0 {
		if err := NewDrains("a", slog.New(slog.DiscardHandler)).OpenDrainLog(dir); err == nil {
			t.Error("a file that cannot be read is passed over")
		}
	}
}

// The file stays small however many drains come and go.
func TestDrainLogIsCompacted(t *testing.T) {
	dir := t.TempDir()
	d := NewDrains("a", slog.New(slog.DiscardHandler))
	if err := d.OpenDrainLog(dir); err != nil {
		t.Fatal(err)
	}
	j := d.drainLog
	j.rewrite()
	most := 0
	for i := range 20_000 {
		key := drainKey(serverstate.Process{ID: fmt.Sprint("s", i), Addr: "127.0.0.1:1"})
		j.write("+" + key + "\n")
		j.write("-" + key + "\n")
		most = max(most, j.bytes)
	}
	j.close()
	if info, err := os.Stat(j.path); err != nil || info.Size() > minCompactionBytes+200 || most > minCompactionBytes+200 {
		t.Error(most, err)
	}
}
