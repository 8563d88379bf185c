// Package cicheck tests the project's own CI checks: the import rules between packages, the architecture page, and the
// list of tests that are known to fail.
package cicheck

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The script .ci/known-red prints the tests that KNOWN-RED.txt lists as known to fail. It rejects an entry that lacks
// the test, the command that runs it, the observed failure or the issue that will fix it, and an entry of a test that
// does not exist.
func TestKnownRed(t *testing.T) {
	const entry = "./internal/cicheck TestKnownRed | go test, seed 1 | what was seen | issue 1\n"
	const printed = "./internal/cicheck TestKnownRed\n"
	for _, tc := range []struct{ name, file, wantOut, wantErr string }{
		{"empty", "", "", ""},
		{"one", entry, printed, ""},
		{"without a last newline", strings.TrimSpace(entry), printed, ""},
		{"four", strings.Repeat(entry, 4), strings.Repeat(printed, 4), ""},
		{"too long", entry + strings.Replace(entry, "seen", strings.Repeat("seen ", 60), 1), "", "characters, more than 300"},
		{"no issue", "./internal/cicheck TestKnownRed | go test | what was seen\n", "", "1: not of the form"},
		{"no command", "./internal/cicheck TestKnownRed | | what was seen | issue 1\n", "", "1: not of the form"},
		{"nothing seen", "./internal/cicheck TestKnownRed | go test | | issue 1\n", "", "1: not of the form"},
		{"the earlier form", "./internal/cicheck TestKnownRed | a cause | an issue\n", "", "1: not of the form"},
		{"a pattern in place of a test", entry + strings.Replace(entry, "TestKnownRed", "Test.*", 1), "",
			"2: not of the form"},
		{"a subtest", strings.Replace(entry, "TestKnownRed", "TestKnownRed/one", 1), "", "1: not of the form"},
		{"an empty line", entry + "\n", "", "2: not of the form"},
		{"no such test", strings.Replace(entry, "TestKnownRed", "TestKnown", 1), "", "1: there is no test TestKnown in"},
		{"no such package", strings.Replace(entry, "cicheck", "nothing", 1), "", "1: there is no test TestKnownRed in"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			if err := os.WriteFile(file, []byte(tc.file), 0o600); err != nil {
				t.Fatal(err)
			}
			var stdout, stderr strings.Builder
			cmd := exec.Command("bash", ".ci/known-red", file)
			cmd.Dir, cmd.Stdout, cmd.Stderr = "../..", &stdout, &stderr
			err := cmd.Run()
			if (err != nil) != (tc.wantErr != "") || !strings.Contains(stderr.String(), tc.wantErr) {
				t.Errorf("error %v with message %s, want a message with %q", err, stderr.String(), tc.wantErr)
			}
			if err == nil && stdout.String() != tc.wantOut {
				t.Errorf("printed %q, want %q", stdout.String(), tc.wantOut)
			}
		})
	}
	cmd := exec.Command("bash", ".ci/known-red", "no-such-file")
	cmd.Dir = "../.."
	if output, err := cmd.CombinedOutput(); err != nil || len(output) > 0 {
		t.Errorf("without a list: error %v, printed %s, want neither", err, output)
	}
}
