package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"birchmoor/internal/dataplane/replay"
	"birchmoor/internal/lab/soak"
	"birchmoor/internal/lab/tasklab"
)

// asProgramEnv makes the test binary run as the program. Tests use it for daemons and as another build.
const asProgramEnv = "BIRCHMOOR_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgramEnv) != "" {
		processFaults = tasklab.ReadProcessFaults()
		readHollowDefect()
		if err := soak.InjectDefect(); err != nil {
			panic(err)
		}
		main()
	}
	os.Exit(m.Run())
}

func captureDir(name string) string { return filepath.Join("..", "..", "lab", "captures", name) }

// Replaying a capture of the repository gives the recorded decisions.
func TestReplayOfRecordedCaptureMatches(t *testing.T) {
	svg := filepath.Join(t.TempDir(), "t.svg")
	code, out, errs := birchmoor("replay", captureDir("gray-failure"), "--from", "12s", "--to", "13s", "--explain", "700",
		"--timeline", "fast-2.1", "--out", svg)
	if code != 0 || !strings.Contains(out, "all decisions are as recorded") ||
		!strings.Contains(out, "decided: send 700") {
		t.Fatalf("replay --explain: exit %d\n%s\n%s", code, out, errs)
	}
	if text, err := os.ReadFile(svg); err != nil || !strings.Contains(string(text), "<svg") {
		t.Errorf("the timeline file: %v", err)
	}
	code, out, _ = birchmoor("replay", captureDir("gray-failure"), "--json", "-")
	var report replay.Report
	if err := json.Unmarshal([]byte(out), &report); code != 0 || err != nil || report.Decisions == 0 {
		t.Errorf("replay --json: exit %d, %v", code, err)
	}
}

// replay --against reports that another build makes the same decisions, and replays with other settings in open loop.
func TestReplayAgainstOtherBuildOrSettings(t *testing.T) {
	t.Setenv(asProgramEnv, "1")
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	code, out, errs := birchmoor("replay", captureDir("discovery-down"), "--against", self, "--from", "3s", "--to", "6s")
	if code != 0 || !strings.Contains(out, "both builds make the same decisions") {
		t.Errorf("replay against the same build: exit %d\n%s\n%s", code, out, errs)
	}
	other := writeFile(t, "other.json", `{"classes":[{"name":"slot-search","repeat":"pure","target":1,"give-up":2}]}`)
	code, out, errs = birchmoor("replay", captureDir("discovery-down"), "--against", other)
	if code != 0 || !strings.Contains(out, "open loop") {
		t.Errorf("replay against other settings: exit %d\n%s\n%s", code, out, errs)
	}
}

// A damaged capture is reported with the position of the damage. Invalid arguments exit with the code for invalid
// input.
func TestReplayRejectsDamagedOrInvalidInput(t *testing.T) {
	dir := captureDir("gray-failure")
	list, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(dir, list[0].Name()))
	if err != nil {
		t.Fatal(err)
	}
	path := writeFile(t, "cut.capture", string(data[:len(data)/2]))
	if code, out, _ := birchmoor("replay", path); code != exitFailure || !strings.Contains(out, "not readable") ||
		!strings.Contains(out, "byte") {
		t.Errorf("replay of a truncated capture: exit %d: %s", code, out)
	}
	for _, args := range [][]string{{writeFile(t, "x.capture", "no capture")}, {t.TempDir()}, {path, "--from", "noon"},
		{path, "--against", writeFile(t, "bad.json", `{"classes":[]}`)}} {
		if code, _, errs := birchmoor(append([]string{"replay"}, args...)...); code != exitUsage || errs == "" {
			t.Errorf("%v: exit %d, %s", args, code, errs)
		}
	}
}
