package main

import (
	"context"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/controlplane/adminapi"

	"birchmoor/internal/controlplane/rollout"
	"birchmoor/internal/lab/fleetlab"
	"birchmoor/internal/testutil/processtest"
)

// Settings are rolled out in steps over three replicas and two followers under load. Good settings reach all daemons,
// although the daemon that drives the rollout is killed and another one continues it. Bad settings reach only the
// daemons of the first step and are rolled back.
func TestConfigPutRollsOutInStepsAndRollsBackBadSettings(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	f := newRolloutFleet(ctx, t)
	defer f.End()
	loadCtx, stopLoad := context.WithCancel(ctx)
	clients := f.Load(loadCtx, 1, 10*time.Millisecond)
	defer clients.Wait()
	defer stopLoad()
	processtest.Until(t, "a queue entry of every daemon in the task sweep", f.ready, f.logs)
	done := make(chan rolloutResult, 1)
	go func() { done <- f.put("700ms", `"most-held":1000`, `"most-held":900`) }()
	// The daemon that drives the rollout is killed once the first step is in effect.
	var p rollout.Plan
	processtest.Until(t, "the first step of the rollout", func() bool {
		var err error
		p, err = f.client().Rollout(ctx)
		return err == nil && p.Step >= 0
	}, f.logs)
	f.restartDriver()
	if result := <-done; result.code != 0 || !strings.Contains(result.out, "done") {
		t.Fatalf("config put of good settings: exit code %d:\n%s\n%s", result.code, result.out, f.logs())
	}
	now, err := f.client().Rollout(ctx)
	if err != nil || now.State != rollout.Completed || now.Token <= p.Token {
		t.Errorf("rollout %+v after the driver with token %d was killed, %v", now, p.Token, err)
	}
	newSettings := func() bool { return f.inForce(`"most-held":900`) }
	processtest.Until(t, "the new settings at all daemons", newSettings, f.logs)
	// Settings with which no request can be answered in time.
	processtest.Until(t, "a queue entry of every daemon in the task sweep after the restart", f.ready, f.logs)
	result := f.put("1s", `"target":500000,"give-up":1000000`, `"target":1000,"give-up":2000`)
	if result.code != exitFailure || !strings.Contains(result.out, "taken back: step 1:") {
		t.Errorf("config put of bad settings: exit code %d:\n%s\n%s", result.code, result.out, f.logs())
	}
	if !newSettings() {
		t.Error("the settings before the failed rollout are not in effect at all daemons")
	}
	if code, _, _ := birchmoor("config", "plan", "--socket", f.socket()); code != 0 {
		t.Error("config plan fails after the rollout has ended")
	}
	if code, _, errs := birchmoor("config", "plan", "--call-off", "--socket", f.socket()); code == 0 {
		t.Errorf("config plan --call-off succeeds after the rollout has ended: %s", errs)
	}
}

// rolloutFleet is a fleet in which a test rolls out settings.
type rolloutFleet struct {
	*fleetlab.Fleet
	t   *testing.T
	ctx context.Context // of the test
}

// rolloutResult is the exit code of config put, and what it printed on both streams.
type rolloutResult struct {
	code int
	out  string
}

func newRolloutFleet(ctx context.Context, t *testing.T) *rolloutFleet {
	t.Helper()
	return &rolloutFleet{startFleet(ctx, t, fleetlab.Config{Replicas: 3, Followers: 2, Servers: 4}), t, ctx}
}

func (f *rolloutFleet) client() *adminapi.Client { return f.Daemons[0].Client }

func (f *rolloutFleet) socket() string { return f.Daemons[0].Socket() }

// ready reports whether every daemon has a queue entry in the task sweep.
func (f *rolloutFleet) ready() bool {
	all, err := f.client().Tasks(f.ctx, "sweep")
	return err == nil && len(all) == 1 && len(all[0].Queue) >= len(f.Daemons)
}

func (f *rolloutFleet) logs() string {
	var b strings.Builder
	for _, d := range f.Daemons {
		b.WriteString(d.Name() + ":\n" + d.Log())
	}
	return b.String()
}

// put runs config put in three steps. The settings are those of the lab with edits, pairs of an old text and its
// replacement.
func (f *rolloutFleet) put(settle string, edits ...string) rolloutResult {
	file := writeFile(f.t, "s.json", fleetlab.Settings(edits...))
	code, out, errs := birchmoor("config", "put", file, "--steps", "1,50%,all", "--settle", settle, "--socket", f.socket())
	return rolloutResult{code, out + errs}
}

// restartDriver kills the daemon that drives the rollout, and starts it again.
func (f *rolloutFleet) restartDriver() {
	f.t.Helper()
	all, err := f.client().Tasks(f.ctx, "rollout")
	if err != nil {
		f.t.Fatal(err)
	}
	host, _ := taskHolder(all[0])
	for _, d := range f.Daemons {
		if d.Name() != host {
			continue
		}
		d.Kill()
		if err := d.Start(); err != nil {
			f.t.Fatal(err)
		}
		if err := d.Ready(f.ctx); err != nil {
			f.t.Fatal(err)
		}
	}
}

// inForce reports whether the settings at all daemons contain text.
func (f *rolloutFleet) inForce(text string) bool {
	for _, d := range f.Daemons {
		_, out, _ := birchmoor("config", "get", "--socket", d.Socket())
		if !strings.Contains(out, text) {
			return false
		}
	}
	return true
}

// Guards against settings that pass the checks of config put and are then rejected by every sidecar. That happened with
// settings that lack an optional key which the settings in effect have.
func TestConfigPutRejectsSettingsThatSidecarsWouldReject(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	f := &rolloutFleet{startFleet(ctx, t, fleetlab.Config{Replicas: 1, Servers: 1}), t, ctx}
	defer f.End()
	d := f.Daemons[0]
	if err := d.Ready(ctx); err != nil {
		t.Fatalf("%v\n%s", err, d.Log())
	}
	const optional = `"cancel":true,`
	for _, steps := range [][]string{nil, {"--steps", "all", "--settle", "300ms"}} {
		file := writeFile(t, "s.json", fleetlab.Settings(optional, ""))
		args := append([]string{"config", "put", file, "--socket", f.socket()}, steps...)
		code, out, errs := birchmoor(args...)
		if code == 0 || !strings.Contains(errs, "settings.limits.cancel: is missing") {
			t.Errorf("%v: exit code %d: %s%s\n%s", steps, code, out, errs, d.Log())
		}
	}
	file := writeFile(t, "s.json", fleetlab.Settings())
	if code, _, errs := birchmoor("config", "put", file, "--socket", f.socket()); code != 0 {
		t.Errorf("config put with the optional key: exit code %d: %s", code, errs)
	}
	processtest.Until(t, "the sidecar applies the settings", func() bool {
		return strings.Contains(d.Log(), "configuration applied")
	}, d.Log)
	if strings.Contains(d.Log(), "configuration rejected") {
		t.Errorf("the sidecar rejected settings that config put accepted\n%s", d.Log())
	}
}
