package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"birchmoor/internal/store/usage"
	"birchmoor/internal/testutil/processtest"
)

// testDaemon runs a replica in this process until the test ends or stop is called.
type testDaemon struct {
	file, socket, address string
	stop                  func()
}

func newTestDaemon(t *testing.T, dir, name string, join bool, more ...string) *testDaemon {
	t.Helper()
	d := &testDaemon{
		file:    filepath.Join(dir, name+".toml"),
		socket:  filepath.Join(dir, name+".sock"),
		address: processtest.Address(t),
	}
	text := fmt.Sprintf("[store]\nname = %q\ndir = %q\nsocket = %q\nlisten = %q\nplain = true\njoin = %v\n"+
		"tick = \"10ms\"\n",
		name, filepath.Join(dir, name), d.socket, d.address, join)
	if err := os.WriteFile(d.file, []byte(text+strings.Join(more, "")), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if d.stop != nil {
			d.stop()
		}
	})
	return d
}

func (d *testDaemon) start(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan int, 1)
	var errs bytes.Buffer
	go func() { ended <- run(ctx, []string{"run", "--config", d.file}, &bytes.Buffer{}, &errs) }()
	d.stop = func() {
		cancel()
		<-ended
		d.stop = nil
	}
	d.until(t, "is up", func() bool { code, _, _ := d.runStore("status"); return code == 0 })
}

// until waits for what must come.
func (d *testDaemon) until(t *testing.T, what string, done func() bool) {
	t.Helper()
	processtest.Until(t, d.file+": "+what, done)
}

// runStore runs a command of the store's at this daemon.
func (d *testDaemon) runStore(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = run(context.Background(), append(append([]string{"store"}, args...), "--socket", d.socket), &o, &e)
	return code, o.String(), e.String()
}

func (d *testDaemon) mustRunStore(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errs := d.runStore(args...)
	if code != 0 {
		t.Fatalf("%v: exit code %d, %s", args, code, errs)
	}
	return strings.TrimSpace(out)
}

// A write without a quorum ends by its timeout, with exit code 2 and the report that its outcome is unknown.
// Retried with its request id, it is made once.
func TestPutWithoutQuorumReportsUnknownOutcome(t *testing.T) {
	dir := t.TempDir()
	a, b := newTestDaemon(t, dir, "a", false), newTestDaemon(t, dir, "b", true)
	a.start(t)
	b.start(t)
	a.until(t, "a first write", func() bool { code, _, _ := a.runStore("put", "k", "0"); return code == 0 })
	a.mustRunStore(t, "add", "b", b.address)
	a.until(t, "b's vote", func() bool {
		_, out, _ := a.runStore("members")
		_, status, _ := a.runStore("status")
		return strings.Count(out, "votes")+strings.Count(out, "leads") == 2 &&
			regexp.MustCompile(`members settled +true`).MatchString(status)
	})
	// A machine that is busy may let the leader step down before the write reaches it: then nothing was changed,
	// and it is tried again.
	var x changeFailure
	var errs string
	for try := 0; x.Outcome != "unknown" && try < 20; try++ {
		if try > 0 {
			b.start(t)
			a.until(t, "a leader", func() bool { code, _, _ := a.runStore("put", "other", "0"); return code == 0 })
		}
		b.stop()
		var code int
		var out string
		code, out, errs = a.runStore("put", "k", "1", "--timeout", "300ms", "--json")
		if err := json.Unmarshal([]byte(out), &x); err != nil || code != exitUsage {
			t.Fatalf("exit code %d, %q, %s", code, out, errs)
		}
		if x.Outcome == "unchanged" && !strings.Contains(errs, "nothing was changed") {
			t.Errorf("%+v; %s", x, errs)
		}
	}
	if x.Outcome != "unknown" || x.Request == "" || !strings.Contains(errs, "the outcome is unknown") ||
		!strings.Contains(errs, "--request "+x.Request) {
		t.Errorf("%+v; %s", x, errs)
	}
	b.start(t)
	a.until(t, "the write", func() bool {
		code, _, _ := a.runStore("put", "k", "1", "--request", x.Request)
		return code == 0
	})
	if out := a.mustRunStore(t, "get", "k"); !strings.Contains(out, "1") {
		t.Error(out)
	}
	revision := func() string { return strings.Fields(a.mustRunStore(t, "get", "k"))[2] }
	before := revision()
	a.mustRunStore(t, "put", "k", "1", "--request", x.Request)
	if got := revision(); got != before {
		t.Errorf("made twice: revision %s, then %s", before, got)
	}
}

// A write that the daemon rejects, or that finds no daemon, changes nothing, and that is reported.
func TestRejectedWriteChangesNothing(t *testing.T) {
	a := newTestDaemon(t, t.TempDir(), "a", false)
	if code, _, errs := a.runStore("put", "k", "1"); code != exitUsage || !strings.Contains(errs, "nothing was changed") {
		t.Errorf("without a daemon: exit code %d, %s", code, errs)
	}
	a.start(t)
	a.until(t, "a first write", func() bool { code, _, _ := a.runStore("put", "k", "0"); return code == 0 })
	for _, args := range [][]string{
		{"put", "k", "1", "--lease", "99"},
		{"lease", "renew", "99"},
		{"lease", "grant", "1ms"},
		{"put", "k", "1", "--timeout", "0s"},
		{"put", "", "1"},
	} {
		if code, _, errs := a.runStore(args...); code != exitUsage || errs == "" {
			t.Errorf("%v: exit code %d, %s", args, code, errs)
		}
	}
	for _, args := range [][]string{
		{"put", "k", "1", "--if", "12345"},
		{"put", "k", "1", "--if", "12345", "--json"},
		{"delete", "k", "--if", "12345", "--json"},
	} {
		if code, _, _ := a.runStore(args...); code != exitFailure {
			t.Errorf("%v, whose condition does not hold: exit code %d", args, code)
		}
	}
	if got := a.mustRunStore(t, "get", "k"); !strings.Contains(got, "0") {
		t.Error(got)
	}
}

// A lease's keys are deleted when it is revoked, and when it is not renewed.
func TestKeysEndWithTheirLease(t *testing.T) {
	a := newTestDaemon(t, t.TempDir(), "a", false)
	a.start(t)
	a.until(t, "a first write", func() bool { code, _, _ := a.runStore("put", "other", "0"); return code == 0 })
	long, short := a.mustRunStore(t, "lease", "grant", "1h"), a.mustRunStore(t, "lease", "grant", "1s")
	a.mustRunStore(t, "put", "hosts/a", "up", "--lease", long)
	a.mustRunStore(t, "put", "hosts/b", "up", "--lease", short)
	if out := a.mustRunStore(t, "lease", "list"); !strings.Contains(out, "hosts/a") || !strings.Contains(out, "1h0m0s") {
		t.Error(out)
	}
	a.mustRunStore(t, "lease", "renew", long)
	a.until(t, "the end of the silent one", func() bool {
		code, _, _ := a.runStore("get", "hosts/b")
		return code == exitFailure
	})
	a.mustRunStore(t, "get", "hosts/a")
	a.mustRunStore(t, "lease", "end", long)
	if code, _, _ := a.runStore("get", "hosts/a"); code != exitFailure {
		t.Errorf("its key outlives a lease: exit code %d", code)
	}
	if out := a.mustRunStore(t, "lease", "list", "--json"); strings.Contains(out, "hosts/") ||
		strings.Contains(out, "3600000") {
		t.Error(out) // the daemon's own stays
	}
	a.mustRunStore(t, "get", "other")
}

// The meter shows the usage of the control plane by purpose, and as JSON the same figures or later ones.
func TestStoreMeterReportsUsageByPurpose(t *testing.T) {
	a := newTestDaemon(t, t.TempDir(), "a", false)
	a.start(t)
	a.until(t, "a write", func() bool { code, _, _ := a.runStore("put", "out/ban/x", "{}"); return code == 0 })
	table := a.mustRunStore(t, "meter")
	for _, row := range []string{
		`(?m)^PURPOSE +MESSAGES IN +BYTES IN +MESSAGES OUT`, `(?m)^words +0 +0 +0 +0 +[1-9]\d* +[1-9]\d* +[1-9]\d*$`,
		`(?m)^pictures( +0){7}$`,
		`(?m)^connections \(\d+ opened\)`,
		`(?m)^log +[1-9]\d* +[1-9]\d*$`,
		`(?m)^copy +0 +0$`, `(?m)^seconds +\d+\.\d$`, `(?m)^cpu user seconds +\d`,
		`(?m)^resident bytes +[1-9]`, `(?m)^descriptors +[1-9]`} {
		if !regexp.MustCompile(row).MatchString(table) {
			t.Errorf("no %s in\n%s", row, table)
		}
	}
	var r usage.Reading
	if err := json.Unmarshal([]byte(a.mustRunStore(t, "meter", "--json")), &r); err != nil {
		t.Fatal(err)
	}
	if w := r.Purposes[usage.ServerReports]; w.Purpose != "words" || w.Applied == 0 || w.AppliedBytes == 0 ||
		r.Seconds <= 0 || r.Process.Goroutines == 0 ||
		r.Written[usage.LogFile].Syncs == 0 {
		t.Errorf("%+v", r)
	}
	a.stop()
	if code, _, errs := a.runStore("meter"); code != exitUsage || errs == "" {
		t.Errorf("of nobody: exit code %d, %q", code, errs)
	}
}
