package main

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/controlplane/rollout"
	"birchmoor/internal/lab/fleetlab"
	"birchmoor/internal/testutil/processtest"
)

// Settings come in force in steps over three replicas and two followers under load: good ones at all, though the
// daemon that drives is killed on the way and another goes on; bad ones at the first step alone, and are taken
// back.
func TestConfigPutRollsOutInStepsAndTakesBackBadSettings(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	f, err := fleetlab.Begin(ctx, fleetlab.Config{Program: self, Args: []string{"run", "--config"}, Env: []string{asProgramEnv + "=1"}, Dir: t.TempDir(), Replicas: 3, Follow: 2,
		Servers: 4, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer f.End()
	load, stop := context.WithCancel(ctx)
	wg := f.Load(load, 1, 10*time.Millisecond)
	defer wg.Wait()
	defer stop()
	socket := f.Daemons[0].Socket()
	logs := func() string {
		var b strings.Builder
		for _, d := range f.Daemons {
			b.WriteString(d.Name() + ":\n" + d.Log())
		}
		return b.String()
	}
	ready := func() bool {
		all, err := f.Daemons[0].Client.Tasks(ctx, "sweep")
		return err == nil && len(all) == 1 && len(all[0].Queue) >= len(f.Daemons)
	}
	processtest.Until(t, "every daemon's part in the fleet", ready, logs)
	put := func(settle string, edits ...string) (code int, out string) {
		code, o, e := birchmoor("config", "put", writeFile(t, "s.json", fleetlab.Settings(edits...)), "--steps", "1,50%,all", "--settle", settle, "--socket", socket)
		return code, o + e
	}
	type ended struct {
		code int
		out  string
	}
	done := make(chan ended, 1)
	go func() {
		code, out := put("700ms", `"most-held":1000`, `"most-held":900`)
		done <- ended{code, out}
	}()
	// The daemon that drives is killed once the first step is in force.
	var p rollout.Plan
	processtest.Until(t, "the first step", func() bool { p, err = f.Daemons[0].Client.Rollout(ctx); return err == nil && p.Step >= 0 }, logs)
	all, err := f.Daemons[0].Client.Tasks(ctx, "rollout")
	if err != nil {
		t.Fatal(err)
	}
	host, _ := taskHolder(all[0])
	for _, d := range f.Daemons {
		if d.Name() != host {
			continue
		}
		d.Kill()
		if err := d.Start(); err != nil {
			t.Fatal(err)
		}
		if err := d.Ready(ctx); err != nil {
			t.Fatal(err)
		}
	}
	if x := <-done; x.code != 0 || !strings.Contains(x.out, "done") {
		t.Fatalf("exit code %d:\n%s\n%s", x.code, x.out, logs())
	}
	if now, err := f.Daemons[0].Client.Rollout(ctx); err != nil || now.State != rollout.Completed || now.Token <= p.Token {
		t.Errorf("%+v after the driver with token %d was killed, %v", now, p.Token, err)
	}
	in := func(text string) func() bool {
		return func() bool {
			for _, d := range f.Daemons {
				if _, out, _ := birchmoor("config", "get", "--socket", d.Socket()); !strings.Contains(out, text) {
					return false
				}
			}
			return true
		}
	}
	processtest.Until(t, "the new settings at all", in(`"most-held":900`), logs)
	// Settings with which nothing can be answered in time.
	processtest.Until(t, "every daemon's part in the fleet again", ready, logs)
	if code, out := put("1s", `"target":500000,"give-up":1000000`, `"target":1000,"give-up":2000`); code != exitFailure || !strings.Contains(out, "taken back: step 1:") {
		t.Errorf("exit code %d:\n%s\n%s", code, out, logs())
	}
	if !in(`"most-held":900`)() {
		t.Error("the settings of before are not in force")
	}
	if code, _, _ := birchmoor("config", "plan", "--socket", socket); code != 0 {
		t.Error("the plan is not shown")
	}
	if code, _, errs := birchmoor("config", "plan", "--call-off", "--socket", socket); code == 0 {
		t.Errorf("called off what has ended: %s", errs)
	}
}
