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

// testDaemon is a daemon with a replica and without a sidecar, run in this process until the test ends or stop is
// called.
type testDaemon struct {
	file, socket, address string
	stop                  func()
}

func newTestDaemon(t *testing.T, dir, name string, join bool, extra ...string) *testDaemon {
	t.Helper()
	d := &testDaemon{
		file:    filepath.Join(dir, name+".toml"),
		socket:  filepath.Join(dir, name+".sock"),
		address: processtest.Address(t),
	}
	text := fmt.Sprintf("[store]\nname = %q\ndir = %q\nsocket = %q\nlisten = %q\nplain = true\njoin = %v\n"+
		"tick = \"10ms\"\n",
		name, filepath.Join(dir, name), d.socket, d.address, join)
	if err := os.WriteFile(d.file, []byte(text+strings.Join(extra, "")), 0o600); err != nil {
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
	d.waitUntil(t, "the daemon replies", func() bool { code, _, _ := d.runStore("status"); return code == 0 })
}

// waitUntil polls until done returns true. After a timeout the test fails with what, the expected event.
func (d *testDaemon) waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	processtest.Until(t, d.file+": "+what, done)
}

// runStore runs a store command against this daemon.
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

// A write without a quorum ends at its timeout, with exit code 2 and a report that its outcome is unknown. A retry with
// the same request id makes the change only once.
func TestPutWithoutQuorumReportsUnknownOutcome(t *testing.T) {
	dir := t.TempDir()
	a, b := newTestDaemon(t, dir, "a", false), newTestDaemon(t, dir, "b", true)
	a.start(t)
	b.start(t)
	a.waitUntil(t, "a first write", func() bool { code, _, _ := a.runStore("put", "k", "0"); return code == 0 })
	a.mustRunStore(t, "add", "b", b.address)
	a.waitUntil(t, "b is a voter", func() bool {
		_, out, _ := a.runStore("members")
		_, status, _ := a.runStore("status")
		return strings.Count(out, "votes")+strings.Count(out, "leads") == 2 &&
			regexp.MustCompile(`members settled +true`).MatchString(status)
	})
	// On a busy machine the leader may step down before the write reaches it. Then nothing was changed, and the test
	// tries again.
	var failure changeFailure
	var errs string
	for attempt := 0; failure.Outcome != "unknown" && attempt < 20; attempt++ {
		if attempt > 0 {
			b.start(t)
			a.waitUntil(t, "a leader", func() bool { code, _, _ := a.runStore("put", "other", "0"); return code == 0 })
		}
		b.stop()
		var code int
		var out string
		code, out, errs = a.runStore("put", "k", "1", "--timeout", "300ms", "--json")
		if err := json.Unmarshal([]byte(out), &failure); err != nil || code != exitUsage {
			t.Fatalf("put without a quorum: exit code %d, %q, %s", code, out, errs)
		}
		if failure.Outcome == "unchanged" && !strings.Contains(errs, "nothing was changed") {
			t.Errorf("put without a quorum: the JSON has %+v, the error is %s", failure, errs)
		}
	}
	if failure.Outcome != "unknown" || failure.Request == "" || !strings.Contains(errs, "the outcome is unknown") ||
		!strings.Contains(errs, "--request "+failure.Request) {
		t.Errorf("put without a quorum: want an unknown outcome, got %+v; %s", failure, errs)
	}
	b.start(t)
	a.waitUntil(t, "the retry succeeds", func() bool {
		code, _, _ := a.runStore("put", "k", "1", "--request", failure.Request)
		return code == 0
	})
	if out := a.mustRunStore(t, "get", "k"); !strings.Contains(out, "1") {
		t.Error(out)
	}
	revision := func() string { return strings.Fields(a.mustRunStore(t, "get", "k"))[2] }
	before := revision()
	a.mustRunStore(t, "put", "k", "1", "--request", failure.Request)
	if after := revision(); after != before {
		t.Errorf("a retry made the change twice: revision %s, then %s", before, after)
	}
}

// A write that the daemon rejects, or for which there is no daemon, changes nothing, and the error says so.
func TestRejectedWriteChangesNothing(t *testing.T) {
	a := newTestDaemon(t, t.TempDir(), "a", false)
	if code, _, errs := a.runStore("put", "k", "1"); code != exitUsage || !strings.Contains(errs, "nothing was changed") {
		t.Errorf("put without a daemon: exit code %d, %s", code, errs)
	}
	a.start(t)
	a.waitUntil(t, "a first write", func() bool { code, _, _ := a.runStore("put", "k", "0"); return code == 0 })
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
			t.Errorf("%v with an unmet condition: exit code %d", args, code)
		}
	}
	if got := a.mustRunStore(t, "get", "k"); !strings.Contains(got, "0") {
		t.Error(got)
	}
}

// The keys of a lease are deleted when it is revoked, and when it is not renewed.
func TestKeysEndWithTheirLease(t *testing.T) {
	a := newTestDaemon(t, t.TempDir(), "a", false)
	a.start(t)
	a.waitUntil(t, "a first write", func() bool { code, _, _ := a.runStore("put", "other", "0"); return code == 0 })
	long, short := a.mustRunStore(t, "lease", "grant", "1h"), a.mustRunStore(t, "lease", "grant", "1s")
	a.mustRunStore(t, "put", "hosts/a", "up", "--lease", long)
	a.mustRunStore(t, "put", "hosts/b", "up", "--lease", short)
	if out := a.mustRunStore(t, "lease", "list"); !strings.Contains(out, "hosts/a") || !strings.Contains(out, "1h0m0s") {
		t.Error(out)
	}
	a.mustRunStore(t, "lease", "renew", long)
	a.waitUntil(t, "the end of the lease that is not renewed", func() bool {
		code, _, _ := a.runStore("get", "hosts/b")
		return code == exitFailure
	})
	a.mustRunStore(t, "get", "hosts/a")
	a.mustRunStore(t, "lease", "end", long)
	if code, _, _ := a.runStore("get", "hosts/a"); code != exitFailure {
		t.Errorf("a key outlives its revoked lease: exit code %d", code)
	}
	if out := a.mustRunStore(t, "lease", "list", "--json"); strings.Contains(out, "hosts/") ||
		strings.Contains(out, "3600000") {
		t.Error(out) // the lease of the daemon's own session stays
	}
	a.mustRunStore(t, "get", "other")
}

// store meter prints the usage of the control plane by purpose, as a table and as JSON.
func TestStoreMeterReportsUsageByPurpose(t *testing.T) {
	a := newTestDaemon(t, t.TempDir(), "a", false)
	a.start(t)
	a.waitUntil(t, "a write", func() bool { code, _, _ := a.runStore("put", "out/ban/x", "{}"); return code == 0 })
	table := a.mustRunStore(t, "meter")
	for _, row := range []string{
		`(?m)^PURPOSE +MESSAGES IN +BYTES IN +MESSAGES OUT`, `(?m)^words +0 +0 +0 +0 +[1-9]\d* +[1-9]\d* +[1-9]\d*$`,
		`(?m)^pictures( +0){7}$`,
		`(?m)^connections \(\d+ opened\)`,
		`(?m)^log +[1-9]\d* +[1-9]\d*$`,
		`(?m)^copy +0 +0$`, `(?m)^seconds +\d+\.\d$`, `(?m)^cpu user seconds +\d`,
		`(?m)^resident bytes +[1-9]`, `(?m)^descriptors +[1-9]`} {
		if !regexp.MustCompile(row).MatchString(table) {
			t.Errorf("no line matches %s in\n%s", row, table)
		}
	}
	var reading usage.Reading
	if err := json.Unmarshal([]byte(a.mustRunStore(t, "meter", "--json")), &reading); err != nil {
		t.Fatal(err)
	}
	if purpose := reading.Purposes[usage.ServerReports]; purpose.Purpose != "words" ||
		purpose.Applied == 0 || purpose.AppliedBytes == 0 || reading.Seconds <= 0 || reading.Process.Goroutines == 0 ||
		reading.Written[usage.LogFile].Syncs == 0 {
		t.Errorf("store meter --json: %+v", reading)
	}
	a.stop()
	if code, _, errs := a.runStore("meter"); code != exitUsage || errs == "" {
		t.Errorf("store meter without a daemon: exit code %d, %q", code, errs)
	}
}
