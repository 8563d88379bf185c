package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"birchmoor/internal/lab/figures"
)

// birchmoor runs a command line in this process, and returns its exit code and what it printed on each stream.
func birchmoor(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// writeFile writes a file in a temporary folder of its own, and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

const tinyScenario = `name = "tiny"
length = "3s"
[[servers]]
count = 4
[[class]]
name = "look"
work = "5ms"
[load]
rate = 50
`

// lab sim writes a result, and lab report turns it into one HTML file without scripts or external resources.
func TestLabSimWritesResultThatReportDraws(t *testing.T) {
	dir := t.TempDir()
	code, out, errs := birchmoor("lab", "sim", writeFile(t, "tiny.toml", tinyScenario), "--out", dir, "--seed", "4")
	if code != 0 || !strings.HasSuffix(out, "service 1.00, rules kept\n") {
		t.Fatalf("lab sim: exit %d\n%s\n%s", code, out, errs)
	}
	var result figures.Result
	text, err := os.ReadFile(filepath.Join(dir, "result.json"))
	if err == nil {
		err = json.Unmarshal(text, &result)
	}
	if err != nil || result.Seed != 4 || result.Verdict.Counts.Requests < 100 {
		t.Errorf("result.json: %v, %+v", err, result.Verdict)
	}
	code, out, errs = birchmoor("lab", "report", dir)
	if code != 0 {
		t.Fatalf("lab report: exit %d, %s", code, errs)
	}
	page, err := os.ReadFile(strings.TrimSpace(out))
	if err != nil || strings.Count(string(page), "<svg") < 8 || strings.Contains(string(page), "<script") ||
		strings.Contains(string(page), "src=") || !strings.Contains(string(page), "service 1.00, rules kept") {
		t.Errorf("the report file: %v, %d bytes, %d plots", err, len(page), strings.Count(string(page), "<svg"))
	}
}

// The exit codes for a missed figure, for invalid input and for an interrupt differ.
func TestLabSimExitCodeByOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		code int
		want string
	}{
		"missed figure": {tinyScenario + "[keep]\np99_most = \"1ms\"\n", exitFailure, "missed: p99 in ms"},
		"unknown key":   {tinyScenario + "[keep]\nservices = 0.5\n", exitUsage, ":11: keep.services"},
		"other host":    {"hosts = [\"run\"]\n" + tinyScenario, exitUsage, "supports only the hosts [run]"},
	} {
		code, out, errs := birchmoor("lab", "sim", writeFile(t, "x.toml", c.text))
		if code != c.code || !strings.Contains(out+errs, c.want) {
			t.Errorf("%s: exit %d, want %d\n%s\n%s", name, code, c.code, out, errs)
		}
	}
	if code, _, _ := birchmoor("lab", "sim", "no-such-file.toml"); code != exitUsage {
		t.Errorf("a scenario file that does not exist: exit %d", code)
	}
	if code, out, _ := birchmoor("lab", "--help"); code != 0 || !strings.Contains(out, "compare") {
		t.Errorf("lab --help: exit %d, %s", code, out)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	args := []string{"lab", "sim", writeFile(t, "x.toml", tinyScenario)}
	if code := run(ctx, args, &bytes.Buffer{}, &bytes.Buffer{}); code != exitInterrupted {
		t.Errorf("lab sim after an interrupt: exit %d", code)
	}
}

// lab compare finds a difference between different scenarios, and none between equal ones.
func TestLabCompareFindsOnlyRealDifferences(t *testing.T) {
	a := writeFile(t, "a.toml", tinyScenario)
	b := writeFile(t, "b.toml", strings.Replace(tinyScenario, `"5ms"`, `"50ms"`, 1))
	code, out, errs := birchmoor("lab", "compare", a, b, "--seeds", "5", "--json", "-")
	var result comparison
	if err := json.Unmarshal([]byte(out), &result); code != 0 || err != nil {
		t.Fatalf("lab compare: exit %d, %v\n%s", code, err, errs)
	}
	if d := result.Figures["p50_ms"]; !d.Significant || d.Mean < 20 {
		t.Errorf("ten times the work makes no difference: %+v", d)
	}
	if d := result.Figures["failed"]; d.Significant {
		t.Errorf("no request fails on either side, yet a difference is found: %+v", d)
	}
	_, out, _ = birchmoor("lab", "compare", a, a, "--seeds", "4")
	if !strings.Contains(out, "no difference found") || strings.Contains(out, "B is") {
		t.Errorf("a scenario compared with itself:\n%s", out)
	}
	one, other := writeFile(t, "one.json", `{"limits":{"most-tries":1}}`), writeFile(t, "other.json", `{}`)
	if code, out, errs := birchmoor("lab", "compare", one, other, "--scenario", a, "--seeds", "2"); code != 0 {
		t.Errorf("comparing settings: exit %d\n%s%s", code, out, errs)
	}
	bad := writeFile(t, "bad.json", `{"limits":{"most-tires":1}}`)
	if code, _, errs := birchmoor("lab", "compare", bad, other, "--scenario", a); code != exitUsage ||
		!strings.Contains(errs, "limits.most-tires") {
		t.Errorf("an unknown setting: exit %d, %s", code, errs)
	}
	if code, _, _ := birchmoor("lab", "compare", a, one); code != exitUsage {
		t.Errorf("comparing a scenario with settings: exit %d", code)
	}
}
