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

// hollowDefectEnv names the defect of a test's hollow sidecars.
const hollowDefectEnv = "BIRCHMOOR_TEST_HOLLOW"

// readHollowDefect sets the defect of this process by its environment.
func readHollowDefect() {
	switch os.Getenv(hollowDefectEnv) {
	case "renewed-twice":
		hollowDefects.Twice = true
	case "picture-for-each":
		hollowDefects.All = true
	case "part-left-out":
		hollowDefects.None = true
	case "pictures-to-all":
		hollowDefects.Told = true
	}
}

// runSizes runs small sizes side by side, long enough for a module snapshot of each sidecar. It injects a defect
// into the hollow ones, unless that is empty.
func runSizes(t *testing.T, defect string, sizes ...int) []*scale.Result {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	all, faults := make([]*scale.Result, len(sizes)), make([]error, len(sizes))
	var wg sync.WaitGroup
	for i, n := range sizes {
		dir, pictures, interest := t.TempDir(), uint64(n), ""
		if defect == "interest-all" {
			interest = operatorconfig.InterestAll
		}
		if defect == "picture-for-each" {
			pictures *= uint64(n) // of one round, of each that is hollow as many as there are daemons, and one more
		}
		wg.Go(func() {
			all[i], faults[i] = scale.Run(t.Context(), scale.Options{
				Program:  self,
				Env:      []string{asProgramEnv + "=1", hollowDefectEnv + "=" + defect},
				Dir:      dir,
				Sidecars: n,
				Real:     1,
				Replicas: 1,
				Services: scale.Calls + 1,
				For:      6 * time.Second,
				Seed:     1,
				Changes:  86400 / 6,
				Each:     100,
				Begin:    40,
				Interest: interest,
				Until: func(c scale.Counts) bool {
					return c.Applied["pictures"] >= pictures && c.RealOut["shares"] >= 3 && c.Applied["sessions"] >= uint64(4*n)
				},
			})
		})
	}
	wg.Wait()
	for _, err := range faults {
		if err != nil {
			t.Fatal(err)
		}
	}
	return all
}

// By counts, what the control plane sends and writes for each sidecar does not grow with their number. The judge
// finds it when it does, when a session costs twice, and when a hollow sidecar leaves out what a real one does.
func TestLabScaleJudgesCost(t *testing.T) {
	for _, c := range []struct {
		plant string
		sizes []int
		want  []string
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
		t.Run("plant "+c.plant, func(t *testing.T) {
			t.Parallel()
			all := runSizes(t, c.plant, c.sizes...)
			broken := strings.Join(scale.Judge(all...), "\n")
			if len(c.want) == 0 && broken != "" {
				t.Errorf("it says %q", broken)
			}
			for _, want := range c.want {
				if !strings.Contains(broken, want) {
					t.Errorf("%q is to be found, and it says %q", want, broken)
				}
			}
			for _, x := range all {
				t.Logf("%d sidecars: %+v", x.Sidecars, x.Counts)
				if x.Right != x.Sidecars-x.Real || x.Settings.Changes == 0 || x.Settings.N == 0 {
					t.Errorf("%d sidecars: %d are right at the end; settings: %+v", x.Sidecars, x.Right, x.Settings)
				}
			}
		})
	}
}

// Flags that are invalid, or sizes that do not fit the machine, are reported with flag and value, and nothing is
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
			t.Errorf("%s: %v is left, %v", c.args, left, err)
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
			Program:  self,
			Env:      []string{asProgramEnv + "=1"},
			Dir:      dir,
			Sidecars: 6,
			Real:     1,
			Replicas: 1,
			Services: scale.Calls + 1,
			For:      time.Hour,
			Seed:     1,
			Each:     100,
			Begin:    40,
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
	processtest.Until(t, "that replicas, links and hollow sidecars run", func() bool { return processes() >= 1+1+8+5 })
	cancel()
	if err := <-ended; err == nil {
		t.Error("it ended well")
	}
	if n := processes(); n > 0 {
		t.Errorf("%d processes are left", n)
	}
	if left, err := os.ReadDir(dir); err != nil || len(left) > 0 {
		t.Errorf("%v is left, %v", left, err)
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
