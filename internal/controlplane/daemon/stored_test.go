package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/rollout"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/store"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/serverstate"
)

// recordingStore is a Store that applies commands to its own state and appends each of them to text.
type recordingStore struct {
	state    *store.State
	index    uint64
	text     bytes.Buffer
	onChange func(*store.State) // called after each change; may be nil
}

// newRecordingStore returns a store whose replicas support all commands, with queue entries of the daemons h and i.
func newRecordingStore(t *testing.T) *recordingStore {
	t.Helper()
	r := &recordingStore{state: store.New(1, store.DefaultLimits)}
	if err := r.apply(&store.Command{RaiseLevel: &store.RaiseLevel{Level: store.LevelOwners}}).Err; err != nil {
		t.Fatal(err)
	}
	entry := &store.Txn{}
	for _, host := range []string{"h", "i"} {
		entry.Then = append(entry.Then, store.Op{Key: lease.QueueEntryKey(FleetTask, host, "n")})
	}
	if err := r.apply(&store.Command{Txn: entry}).Err; err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *recordingStore) apply(c *store.Command) store.Result {
	r.index++
	return r.state.Apply(r.index, c)
}

// clockTime matches the only part of the records that depends on the clock.
var clockTime = regexp.MustCompile(`"at":"[^"]*"`)

func (r *recordingStore) Do(_ context.Context, c store.Command) (store.Result, error) {
	switch {
	case c.GrantLease != nil:
		fmt.Fprintf(&r.text, "grant ttl=%d\n", c.GrantLease.TTLMillis)
	case c.RevokeLease != nil:
		fmt.Fprintf(&r.text, "revoke lease=%d\n", c.RevokeLease.LeaseID)
	case c.Txn != nil:
		fmt.Fprintf(&r.text, "txn owner=%q else=%d\n", c.Txn.Owner, len(c.Txn.Else))
		for _, cmp := range c.Txn.If {
			fmt.Fprintf(&r.text, "  if %s modified=%d\n", cmp.Key, cmp.ModRevision)
		}
		for _, op := range c.Txn.Then {
			value := fmt.Sprintf("%x", op.Value)
			if json.Valid(op.Value) {
				value = clockTime.ReplaceAllString(string(op.Value), `"at":"-"`)
			}
			fmt.Fprintf(&r.text, "  then %s end=%q delete=%v lease=%d %s\n",
				op.Key, op.RangeEnd, op.Delete, op.LeaseID, value)
		}
		for _, b := range c.Txn.KeyLimits {
			fmt.Fprintf(&r.text, "  bound %s %d\n", b.Prefix, b.MaxKeys)
		}
	}
	result := r.apply(&c)
	if r.onChange != nil {
		r.onChange(r.state)
	}
	return result, result.Err
}

func (r *recordingStore) View(_ context.Context, _ bool, f func(*store.State)) (engine.CopyAge, error) {
	f(r.state)
	return engine.CopyAge{}, nil
}

func (r *recordingStore) NextChanges(context.Context, string, uint64, int) ([]store.Event, uint64, error) {
	return nil, 0, context.Canceled
}

// recordSettings puts versions of settings, rolls back to one, runs a rollout that is cancelled and one that completes,
// and checks candidates with and without a sidecar.
func recordSettings(t *testing.T, r *recordingStore) {
	t.Helper()
	ctx := t.Context()
	settings := NewSettings("h", checkSettings, slog.New(slog.DiscardHandler))
	settings.Attach(r)
	settings.SetAnswerCounter(func() (served, notServed uint64, err error) { return 7, 2, nil })
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	_, err := settings.Put(ctx, json.RawMessage(`{"x":1}`), "first")
	must(err)
	_, err = settings.Put(ctx, json.RawMessage(`{"x":2}`), "")
	must(err)
	_, err = settings.Rollback(ctx, 1)
	must(err)
	r.text.WriteString("rollout\n")
	steps := []rollout.Step{{Count: 1}, {Fraction: 1}}
	_, err = settings.StartRollout(ctx, json.RawMessage(`{"x":3}`), steps, time.Second, "in steps")
	must(err)
	doTxn := func(ctx context.Context, txn store.Txn) (store.Result, error) {
		return r.Do(ctx, store.Command{Txn: &txn})
	}
	must(settings.AdvanceRollout(ctx, 5, doTxn))
	settings.Reset(r.state)
	settings.reportProgress(ctx)
	must(settings.CancelRollout(ctx, "operator"))
	r.text.WriteString("rollout to its end\n")
	_, err = settings.StartRollout(ctx, json.RawMessage(`{"x":4}`), []rollout.Step{{Fraction: 1}},
		100*time.Millisecond, "")
	must(err)
	must(settings.AdvanceRollout(ctx, 6, doTxn))
	settings.Reset(r.state)
	settings.reportProgress(ctx)
	otherReport, err := json.Marshal(rollout.Report{PlanID: settings.rollout.plan.ID, Step: 0, Served: 9})
	must(err)
	must(r.apply(&store.Command{Txn: &store.Txn{Then: []store.Op{{Key: ReportKey("i"), Value: otherReport}}}}).Err)
	must(settings.AdvanceRollout(ctx, 6, doTxn)) // waits: the settling time is not over
	time.Sleep(110 * time.Millisecond)
	must(settings.AdvanceRollout(ctx, 6, doTxn))
	r.text.WriteString("verdicts\n")
	for _, text := range []string{`{"x":5}`, `{"bad":5}`} {
		r.apply(&store.Command{Txn: &store.Txn{Then: []store.Op{{Key: keyCandidate, Value: []byte(text)}}}})
		settings.Reset(r.state)
		settings.checkCandidate(ctx)
	}
	withoutSidecar := NewSettings("no sidecar", nil, slog.New(slog.DiscardHandler))
	withoutSidecar.Attach(r)
	withoutSidecar.Reset(r.state)
	withoutSidecar.checkCandidate(ctx)
}

// recordServers has each component that reports on servers write a report and delete it.
func recordServers(t *testing.T, r *recordingStore) {
	t.Helper()
	ctx := t.Context()
	servers := NewServers("h", slog.New(slog.DiscardHandler))
	for _, component := range servers.Components() {
		component.Attach(r)
	}
	r.onChange = func(state *store.State) {
		for _, component := range servers.Components() {
			component.Reset(state)
		}
	}
	servers.Subscribe(func(context.Context, string, bool) error { return nil })
	writeNext := func(o *outbox) {
		t.Helper()
		w := <-o.pending
		if err := w.write(ctx); err != nil {
			t.Fatal(err)
		}
		if w.done != nil {
			o.mu.Lock()
			w.done(true)
			o.mu.Unlock()
		}
	}
	r.text.WriteString("administrative drain\n")
	servers.ReportDrain("s/1 ä")
	writeNext(&servers.AdminDrains.outbox)
	if _, err := servers.RequestReturn(ctx, "s/1 ä"); err != nil {
		t.Fatal(err)
	}
	r.text.WriteString("drain\n")
	p := discovery.Process{ID: "s/1 ä@", Addr: "[::1]:2", StartedMs: 5}
	servers.ReportProcessDrain(p, true)
	servers.Drains.enqueueDue(time.Now().Add(time.Second))
	writeNext(&servers.Drains.outbox)
	r.text.WriteString("start\n")
	servers.ReportStart(p, time.Minute, time.Hour)
	servers.Starts.enqueueDue(time.Now().Add(time.Second))
	w := <-servers.Starts.pending
	if err := w.write(ctx); err != nil {
		t.Fatal(err)
	}
	r.text.WriteString("snapshot\n")
	takeSnapshot := func(context.Context) ([]byte, error) { return []byte("known"), nil }
	for _, key := range []string{serverstate.SnapshotKey("side car", ""), serverstate.SnapshotKey("side car", "dns")} {
		if err := servers.save(ctx, key, takeSnapshot); err != nil {
			t.Fatal(err)
		}
	}
	r.text.WriteString("expired\n")
	for _, component := range servers.Components() {
		if e, ok := component.(Expirer); ok {
			later := time.Now().Add(24 * time.Hour)
			for _, txn := range e.Expired(later) {
				if _, err := r.Do(ctx, store.Command{Txn: txn}); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

// startAge matches the value of a start's report, in which the time between its observation and its write differs.
var startAge = regexp.MustCompile(`(?m)^(  then start/.* )[0-9a-f]+$`)

// jsonRecords returns, of each type that is encoded as JSON, a record with all fields and an empty one.
func jsonRecords() []any {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	restored := RestoredState{Protocol: "dns", Source: "the store: x", Snapshots: 2, Servers: 3, Age: 4 * time.Second}
	return []any{
		&ServerFact{ID: "s", Addr: "a:1", StartedMs: 5, Kind: "cold", ReportedBy: "h", Sidecars: 2, AgeMs: 3,
			RemainingMs: 4, Committed: true, Partial: true},
		&ServerFact{},
		&StartupState{Source: "own disk", Revision: 9, Exclusions: 1, Starts: 2, Snapshots: 3, Settings: true,
			Age: "1s", Restored: []RestoredState{restored, {}}},
		&StartupState{},
		&Counts{Exclusions: 1, Starts: 2, Snapshots: 3, SnapshotBytes: 4, PendingWrites: 5},
		&Version{Version: 3, Settings: json.RawMessage(`{"x":1}`), PutBy: "h", Note: "n", PutAt: at, Revision: 8},
		&Version{},
		&verdict{Candidate: 4, Error: "e", Note: "n"},
		&verdict{},
	}
}

// recordJSON returns jsonRecords encoded, one a line.
func recordJSON(t *testing.T) string {
	t.Helper()
	var text strings.Builder
	for _, v := range jsonRecords() {
		b, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%s\n", b)
	}
	return text.String()
}

// recordDrainLog returns the drain log of a daemon that observed three drains, one of which ended.
func recordDrainLog(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	d := NewDrains("h", slog.New(slog.DiscardHandler))
	if err := d.OpenDrainLog(dir); err != nil {
		t.Fatal(err)
	}
	d.ReportProcessDrain(discovery.Process{ID: "s/1 ä@", Addr: "[::1]:2", StartedMs: 5}, true)
	d.ReportProcessDrain(discovery.Process{ID: "s2", Addr: "127.0.0.1:1"}, true)
	d.ReportProcessDrain(discovery.Process{ID: "s2", Addr: "127.0.0.1:1"}, false)
	d.ReportProcessDrain(discovery.Process{ID: "s3", Addr: "127.0.0.1:3"}, true)
	done := make(chan struct{})
	close(done)
	d.drainLog.run(done)
	text, err := os.ReadFile(filepath.Join(dir, "words"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against changed encodings: builds of different age share stores, disks and JSON. Each file of testdata was
// written by the build of commit 7105f7a.
func TestStoredFormsAreThoseOfEarlierBuilds(t *testing.T) {
	settings, servers := newRecordingStore(t), newRecordingStore(t)
	recordSettings(t, settings)
	recordServers(t, servers)
	for name, got := range map[string]string{
		"settings.txt": settings.text.String(),
		"servers.txt":  startAge.ReplaceAllString(servers.text.String(), "$1-"),
		"json.txt":     recordJSON(t),
		"drains.txt":   recordDrainLog(t),
	} {
		want, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		if got != string(want) {
			t.Errorf("%s differs: got\n%s\nwant\n%s", name, got, want)
		}
	}
}

func TestJSONOfEarlierBuildsIsDecoded(t *testing.T) {
	text, err := os.ReadFile("testdata/json.txt")
	if err != nil {
		t.Fatal(err)
	}
	records := jsonRecords()
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(lines) != len(records) {
		t.Fatalf("testdata/json.txt has %d records, want %d", len(lines), len(records))
	}
	for i, want := range records {
		got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if err := json.Unmarshal([]byte(lines[i]), got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("decode %s: got %+v, error %v, want %+v", lines[i], got, err, want)
		}
	}
}

func TestDrainLogOfEarlierBuildIsRestored(t *testing.T) {
	text, err := os.ReadFile("testdata/drains.txt")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "words"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	d := NewDrains("h", slog.New(slog.DiscardHandler))
	if err := d.OpenDrainLog(dir); err != nil {
		t.Fatal(err)
	}
	want := []discovery.Process{
		{ID: "s/1 ä@", Addr: "[::1]:2", StartedMs: 5},
		{ID: "s3", Addr: "127.0.0.1:3"},
	}
	if got := d.DrainingProcesses(); !slices.Equal(got, want) {
		t.Errorf("draining processes after the restore: %v, want %v", got, want)
	}
}
