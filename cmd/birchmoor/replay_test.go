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

// asProgramEnv makes the test binary run as the command, which stands for another build and for daemons.
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

// A capture in the repository replays with the decisions that it records.
func TestReplayOfRecordedCaptureMatches(t *testing.T) {
	svg := filepath.Join(t.TempDir(), "t.svg")
	code, out, errs := birchmoor("replay", captureDir("gray-failure"), "--from", "12s", "--to", "13s", "--explain", "700",
		"--timeline", "fast-2.1", "--out", svg)
	if code != 0 || !strings.Contains(out, "all decisions are as recorded") ||
		!strings.Contains(out, "decided: send 700") {
		t.Fatalf("exit %d\n%s\n%s", code, out, errs)
	}
	if text, err := os.ReadFile(svg); err != nil || !strings.Contains(string(text), "<svg") {
		t.Errorf("the timeline: %v", err)
	}
	code, out, _ = birchmoor("replay", captureDir("gray-failure"), "--json", "-")
	var r replay.Report
	if err := json.Unmarshal([]byte(out), &r); code != 0 || err != nil || r.Decisions == 0 {
		t.Errorf("exit %d, %v", code, err)
	}
}

// Another build that decides the same is reported as such; other settings are replayed open loop.
func TestReplayAgainstOtherBuildOrSettings(t *testing.T) {
	t.Setenv(asProgramEnv, "1")
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	code, out, errs := birchmoor("replay", captureDir("discovery-down"), "--against", self, "--from", "3s", "--to", "6s")
	if code != 0 || !strings.Contains(out, "both builds decide the same") {
		t.Errorf("exit %d\n%s\n%s", code, out, errs)
	}
	other := writeFile(t, "other.json", `{"classes":[{"name":"slot-search","repeat":"pure","target":1,"give-up":2}]}`)
	code, out, errs = birchmoor("replay", captureDir("discovery-down"), "--against", other)
	if code != 0 || !strings.Contains(out, "open loop") {
		t.Errorf("exit %d\n%s\n%s", code, out, errs)
	}
}

// A damaged capture is reported with the position of the damage, and invalid arguments are bad input.
func TestReplayRejectsDamagedOrInvalidInput(t *testing.T) {
	cut := captureDir("gray-failure")
	list, err := os.ReadDir(cut)
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(cut, list[0].Name()))
	if err != nil {
		t.Fatal(err)
	}
	path := writeFile(t, "cut.capture", string(data[:len(data)/2]))
	if code, out, _ := birchmoor("replay", path); code != exitFailure || !strings.Contains(out, "not readable") ||
		!strings.Contains(out, "byte") {
		t.Errorf("exit %d: %s", code, out)
	}
	for _, args := range [][]string{{writeFile(t, "x.capture", "no capture")}, {t.TempDir()}, {path, "--from", "noon"},
		{path, "--against", writeFile(t, "bad.json", `{"classes":[]}`)}} {
		if code, _, errs := birchmoor(append([]string{"replay"}, args...)...); code != exitUsage || errs == "" {
			t.Errorf("%v: exit %d, %s", args, code, errs)
		}
	}
}
