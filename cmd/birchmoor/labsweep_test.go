package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A sweep runs each size and prints how figures grow, the same with runs at once or one by one. Sizes that cannot be
// run are rejected before the first run.
func TestLabSweepReportsGrowthAndRejectsInvalidSizes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "small.toml")
	if err := os.WriteFile(file, []byte(`name = "small"
length = "3s"
[fleet]
sidecars = 4
[[servers]]
count = 6
[[class]]
name = "look"
aim = "300ms"
[load]
rate = 60.0
[[fault]]
kind = "kill"
at = "1s"
for = "200ms"
sidecars = [1]
[keep.fleet_most]
calls_mean = 0.01
`), 0o600); err != nil {
		t.Fatal(err)
	}
	sweep := []string{"lab", "sweep", file, "--sidecars", "2,4", "--servers", "6,12", "--seeds", "2"}
	code, out, errs := birchmoor(sweep...)
	if code != 1 || !strings.Contains(out, "2, 0") || !strings.Contains(out, "of servers, 4 sidecars") ||
		!strings.Contains(out, "missed: calls_mean (calls of discovery a second)") {
		t.Errorf("sweep: exit code %d\n%s\n%s", code, out, errs)
	}
	again, same, _ := birchmoor(append(sweep, "--beside", "1")...)
	if again != code || same != out {
		t.Errorf("runs at once print another table than runs one by one:\n%s\n%s", out, same)
	}
	for args, want := range map[string]string{
		"--sidecars 4,2":             "2 does not come after 4",
		"--sidecars 0":               "0 is not within 1 and 10000",
		"--sidecars 4 --servers 6,6": "does not come after",
		"--sidecars 4 --seeds 0":     "not both above 0", "--sidecars 10000 --servers 2000": "more than the lab holds",
		"--sidecars 1,4": "1 is not a sidecar's number", "--sidecars x": "--sidecars",
	} {
		code, _, errs := birchmoor(append([]string{"lab", "sweep", file}, strings.Fields(args)...)...)
		if code != 2 || !strings.Contains(errs, want) {
			t.Errorf("%s: exit code %d, %s", args, code, errs)
		}
	}
}
