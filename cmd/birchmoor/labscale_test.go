package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"birchmoor/internal/controlplane/operatorconfig"
	"birchmoor/internal/lab/scale"
	"birchmoor/internal/testutil/processtest"
)

// hollowDefectEnv is the environment variable that names the injected defect of hollow sidecars in tests.
const hollowDefectEnv = "BIRCHMOOR_TEST_HOLLOW"

// readHollowDefect sets hollowDefects from the environment of this process.
func readHollowDefect() {
	switch os.Getenv(hollowDefectEnv) {
	case "renewed-twice":
		hollowDefects.SecondSession = true
	case "picture-for-each":
		hollowDefects.SnapshotPerDaemon = true
	case "part-left-out":
		hollowDefects.NoLimits = true
	case "pictures-to-all":
		hollowDefects.AllSnapshots = true
	}
}

// runSizes runs fleets of the given sizes at once, each until every sidecar has saved a module snapshot. It injects
// defect into the hollow sidecars, unless that is "".
func runSizes(t *testing.T, defect string, sizes ...int) []*scale.Result {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	results, errs := make([]*scale.Result, len(sizes)), make([]error, len(sizes))
	var wg sync.WaitGroup
	for i, n := range sizes {
		dir, snapshots, interest := t.TempDir(), uint64(n), ""
		if defect == "interest-all" {
			interest = operatorconfig.InterestAll
		}
		if defect == "picture-for-each" {
			snapshots *= uint64(n) // in one round each hollow sidecar saves one more for each daemon of the fleet
		}
		wg.Go(func() {
			results[i], errs[i] = scale.Run(t.Context(), scale.Options{
				Program:         self,
				Env:             []string{asProgramEnv + "=1", hollowDefectEnv + "=" + defect},
				Dir:             dir,
				Sidecars:        n,
				Real:            1,
				Replicas:        1,
				Services:        scale.CallsPerService + 1,
				QuietDuration:   6 * time.Second,
				Seed:            1,
				ChangesPerDay:   86400 / 6,
				StubsPerProcess: 100,
				StartsPerSecond: 40,
				Interest:        interest,
				Until: func(c scale.Counts) bool {
					return c.Applied["pictures"] >= snapshots && c.RealOut["shares"] >= 3 &&
						c.Applied["sessions"] >= uint64(4*n)
				},
			})
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			t.Fatal(err)
		}
	}
	return results
}

// The messages, bytes and log entries of the control plane for each sidecar do not grow with the size of the fleet.
// scale.Judge reports when they do, when a session costs twice as much, and when hollow sidecars lack a component of
// the real ones.
func TestLabScaleJudgesCost(t *testing.T) {
	for _, c := range []struct {
		defect string
		sizes  []int
		want   []string
	}{
		{"", []int{6, 24}, nil},
		{"renewed-twice", []int{6}, []string{"entries of sessions are over"}},
		{"picture-for-each", []int{5, 32}, []string{"entries of pictures for each daemon and second grow"}},
		{"part-left-out", []int{6}, []string{"messages of shares, and hollow ones none"}},
		{"pictures-to-all", []int{24}, []string{
			"messages of pictures to sidecars are over",
			"bytes of pictures to sidecars are over",
		}},
		{"interest-all", []int{6, 24}, []string{
			"24 sidecars: messages of pictures to sidecars are over",
			"24 sidecars: bytes of pictures to sidecars are over",
			"24 sidecars: messages of shares to sidecars are over",
			"messages of shares to each sidecar and second grow",
			"bytes of shares to each sidecar and second grow",
			"messages of pictures to each sidecar and second grow",
		}},
	} {
		t.Run("defect "+c.defect, func(t *testing.T) {
			t.Parallel()
			results := runSizes(t, c.defect, c.sizes...)
			broken := strings.Join(scale.Judge(results...), "\n")
			if len(c.want) == 0 && broken != "" {
				t.Errorf("Judge reports %q without a defect", broken)
			}
			for _, want := range c.want {
				if !strings.Contains(broken, want) {
					t.Errorf("Judge does not report %q, only %q", want, broken)
				}
			}
			for _, x := range results {
				t.Logf("%d sidecars: %+v", x.Sidecars, x.Counts)
				if x.Converged != x.Sidecars-x.Real || x.Settings.Changes == 0 || x.Settings.N == 0 {
					t.Errorf("%d sidecars: %d hollow ones have the right state at the end; settings: %+v",
						x.Sidecars, x.Converged, x.Settings)
				}
			}
		})
	}
}

// Invalid flags, and sizes that do not fit the machine, are reported with the flag and its value, and nothing is
// started.
func TestLabScaleRejectsInvalidFlags(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"--sizes 75,x", `--sizes: "75,x" is not a list of sizes`},
		{"--sizes=", `--sizes: "" is not a list of sizes`},
		{"--sizes 150,75", `--sizes: "150,75" is not in rising order`},
		{"--sizes 75,,150", `--sizes: "75,,150" is not a list of sizes`},
		{"--sidecars 20 --real 21", "--real: 21 is above the smallest size, 20"},
		{"--sizes 10,20 --real 11 --services 20", "--real: 11 is above the smallest size, 10"},
		{"--fault flood", `--fault: "flood" is none of start, leader`},
		{"--sidecars 4900 --each 50", "--sidecars: 4900 need"},
		{"--sidecars 2 --real 1", "--sidecars: 2 is not within 5 and 5000"},
		{"--interest some", `--interest: "some" is not "own" or "all"`},
		{"--replicas 0", "--replicas: 0 is not within 1 and 9"},
		{"--for 1ms", "--for: 1ms is not within 1s and 1h"},
	} {
		dir := t.TempDir()
		code, out, errs := birchmoor(append([]string{"lab", "scale", "--dir", dir}, strings.Fields(c.args)...)...)
		if code != exitUsage || !strings.HasPrefix(errs, "birchmoor: "+c.want) || strings.Count(errs, "\n") != 1 ||
			out != "" {
			t.Errorf("%s: exit %d, %q", c.args, code, errs)
		}
		if left, err := os.ReadDir(dir); err != nil || len(left) > 0 {
			t.Errorf("%s: files are left: %v, %v", c.args, left, err)
		}
	}
}

// A run that is canceled leaves no process and no file.
func TestLabScaleCleansUpWhenCanceled(t *testing.T) {
	t.Parallel()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		_, err := scale.Run(ctx, scale.Options{
			Program:         self,
			Env:             []string{asProgramEnv + "=1"},
			Dir:             dir,
			Sidecars:        6,
			Real:            1,
			Replicas:        1,
			Services:        scale.CallsPerService + 1,
			QuietDuration:   time.Hour,
			Seed:            1,
			StubsPerProcess: 100,
			StartsPerSecond: 40,
		})
		ended <- err
	}()
	processes := func() (n int) {
		all, err := filepath.Glob("/proc/[0-9]*/cmdline")
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range all {
			if text, err := os.ReadFile(path); err == nil && bytes.Contains(text, []byte(dir)) {
				n++
			}
		}
		return n
	}
	processtest.Until(t, "replicas, links and hollow sidecars are running",
		func() bool { return processes() >= 1+1+8+5 })
	cancel()
	if err := <-ended; err == nil {
		t.Error("the canceled run returned no error")
	}
	if n := processes(); n > 0 {
		t.Errorf("%d processes are left after the run", n)
	}
	if left, err := os.ReadDir(dir); err != nil || len(left) > 0 {
		t.Errorf("files are left: %v, %v", left, err)
	}
}

// Without --services there is one service for each ten sidecars of the largest size, as in docs/CAPACITY.md.
func TestLabScaleDefaultsToOneServicePerTenSidecars(t *testing.T) {
	for _, tc := range []struct{ given, size, largest, want int }{
		{0, 75, 75, 7},
		{0, 1200, 1200, 120},
		{0, 75, 1200, 7},
		{0, 20, 20, 5},
		{30, 60, 60, 30},
	} {
		k := scaleCommand{Services: tc.given}
		if o, err := k.options(tc.size, tc.largest); err != nil || o.Services != tc.want {
			t.Errorf("%+v: %d services, %v", tc, o.Services, err)
		}
	}
}
