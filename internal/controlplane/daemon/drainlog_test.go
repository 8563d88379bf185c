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

// A drain that a daemon observed is in effect after it was killed, whether or not the store had it, until the copy is
// up to date; then it is reported. A line that is cut off and invalid lines are ignored.
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
	one := discovery.Process{ID: "s 1", Addr: "127.0.0.1:1", StartedMs: 5}
	two := discovery.Process{ID: "s2", Addr: "[::1]:2"}
	d, kill := begin()
	d.ReportProcessDrain(one, true)
	d.ReportProcessDrain(two, true)
	d.ReportProcessDrain(two, false)
	kill()
	path := filepath.Join(dir, drainLogName)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	invalid := "nonsense\n\n+out/ban/x\n+" + drainKey(serverstate.Process(two))
	if err := os.WriteFile(path, append(text, invalid...), 0o600); err != nil {
		t.Fatal(err)
	}
	d, kill = begin()
	if known := fmt.Sprint(d.DrainingProcesses()); known != fmt.Sprint([]discovery.Process{one}) {
		t.Errorf("a restarted daemon knows %s", known)
	}
	if owed := d.guard.TakeRetries(); len(owed) != 0 {
		t.Error("reported before the copy is up to date:", owed)
	}
	d.CaughtUp()
	owed := d.guard.TakeRetries()
	if len(owed) != 1 || !strings.Contains(owed[0].Key, "s+1") || len(d.DrainingProcesses()) != 1 {
		t.Error("owed:", owed)
	}
	kill()
	if text, err := os.ReadFile(path); err != nil || string(text) != "+"+drainKey(serverstate.Process(one))+"\n" {
		t.Errorf("kept: %q, %v", text, err)
	}
	if err := os.Chmod(path, 0); err == nil && os.Getuid() != 0 {
		if err := NewDrains("a", slog.New(slog.DiscardHandler)).OpenDrainLog(dir); err == nil {
			t.Error("a file that cannot be read is ignored")
		}
	}
}

// The file stays small however many drains begin and end.
func TestDrainLogIsCompacted(t *testing.T) {
	dir := t.TempDir()
	d := NewDrains("a", slog.New(slog.DiscardHandler))
	if err := d.OpenDrainLog(dir); err != nil {
		t.Fatal(err)
	}
	l := d.drainLog
	l.rewrite()
	maxBytes := 0
	for i := range 20_000 {
		key := drainKey(serverstate.Process{ID: fmt.Sprint("s", i), Addr: "127.0.0.1:1"})
		l.write("+" + key + "\n")
		l.write("-" + key + "\n")
		maxBytes = max(maxBytes, l.bytes)
	}
	l.close()
	const limit = minCompactionBytes + 200
	if info, err := os.Stat(l.path); err != nil || info.Size() > limit || maxBytes > limit {
		t.Error(maxBytes, err)
	}
}
