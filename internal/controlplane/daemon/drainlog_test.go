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

// Guards against a killed daemon that forgets a drain which the store did not have yet. After the restart the drain is
// in effect, and it is reported once the copy is up to date. Incomplete and invalid lines are ignored.
func TestDrainLogRestoresDrainsAfterKill(t *testing.T) {
	dir := t.TempDir()
	start := func() (d *Drains, kill func()) {
		d = NewDrains("a", slog.New(slog.DiscardHandler))
		if err := d.OpenDrainLog(dir); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { d.drainLog.run(ctx.Done()); close(ended) }()
		return d, func() { cancel(); <-ended }
	}
	draining := discovery.Process{ID: "s 1", Addr: "127.0.0.1:1", StartedMs: 5}
	drainEnded := discovery.Process{ID: "s2", Addr: "[::1]:2"}
	d, kill := start()
	d.ReportProcessDrain(draining, true)
	d.ReportProcessDrain(drainEnded, true)
	d.ReportProcessDrain(drainEnded, false)
	kill()
	path := filepath.Join(dir, drainLogName)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	invalid := "nonsense\n\n+out/ban/x\n+" + drainKey(serverstate.Process(drainEnded))
	if err := os.WriteFile(path, append(text, invalid...), 0o600); err != nil {
		t.Fatal(err)
	}
	d, kill = start()
	if known := fmt.Sprint(d.DrainingProcesses()); known != fmt.Sprint([]discovery.Process{draining}) {
		t.Errorf("draining processes of the restarted daemon: %s", known)
	}
	if retries := d.guard.TakeRetries(); len(retries) != 0 {
		t.Error("reports queued before the copy is up to date:", retries)
	}
	d.CaughtUp()
	retries := d.guard.TakeRetries()
	if len(retries) != 1 || !strings.Contains(retries[0].Key, "s+1") || len(d.DrainingProcesses()) != 1 {
		t.Error("owed:", retries)
	}
	kill()
	if text, err := os.ReadFile(path); err != nil || string(text) != "+"+drainKey(serverstate.Process(draining))+"\n" {
		t.Errorf("drain log after the second kill is %q, error %v", text, err)
	}
	if err := os.Chmod(path, 0); err == nil && os.Getuid() != 0 {
		if err := NewDrains("a", slog.New(slog.DiscardHandler)).OpenDrainLog(dir); err == nil {
			t.Error("OpenDrainLog ignores a file that cannot be read")
		}
	}
}

// Guards against a drain log that grows with each drain that begins and ends until it fills the disk.
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
