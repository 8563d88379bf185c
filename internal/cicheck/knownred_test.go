// Package cicheck tests what the checks of a landing do themselves.
package cicheck

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The list of tests that are known to fail is short, and each line says of which test, why and where that is to be mended.
func TestKnownRed(t *testing.T) {
	const here = "./internal/cicheck TestKnownRed | a cause | an issue\n"
	for _, tc := range []struct{ name, file, out, fault string }{
		{"empty", "", "", ""},
		{"one", here, "./internal/cicheck TestKnownRed\n", ""},
		{"without a last newline", strings.TrimSpace(here), "./internal/cicheck TestKnownRed\n", ""},
		{"three", here + here + here, strings.Repeat("./internal/cicheck TestKnownRed\n", 3), ""},
		{"a fourth", here + here + here + here, "", "4: more than three"},
		{"no issue", "./internal/cicheck TestKnownRed | a cause\n", "", "1: not of the form"},
		{"no cause", "./internal/cicheck TestKnownRed | | an issue\n", "", "1: not of the form"},
		{"a pattern in place of a test", here + "./internal/cicheck Test.* | a cause | an issue\n", "", "2: not of the form"},
		{"a subtest", "./internal/cicheck TestKnownRed/one | a cause | an issue\n", "", "1: not of the form"},
		{"an empty line", here + "\n", "", "2: not of the form"},
		{"no such test", "./internal/cicheck TestKnown | a cause | an issue\n", "", "1: there is no test TestKnown in"},
		{"no such package", "./internal/nothing TestKnownRed | a cause | an issue\n", "", "1: there is no test TestKnownRed in"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			if err := os.WriteFile(file, []byte(tc.file), 0o600); err != nil {
				t.Fatal(err)
			}
			var out, fault strings.Builder
			cmd := exec.Command("bash", ".ci/known-red", file)
			cmd.Dir, cmd.Stdout, cmd.Stderr = "../..", &out, &fault
			err := cmd.Run()
			if (err != nil) != (tc.fault != "") || !strings.Contains(fault.String(), tc.fault) {
				t.Errorf("%v: %s, want %q", err, fault.String(), tc.fault)
			}
			if err == nil && out.String() != tc.out {
				t.Errorf("printed %q, want %q", out.String(), tc.out)
			}
		})
	}
	cmd := exec.Command("bash", ".ci/known-red", "no-such-file")
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil || len(out) > 0 {
		t.Errorf("no list: %v %s", err, out)
	}
}
