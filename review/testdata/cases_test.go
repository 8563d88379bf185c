// Package testdata names the cases of an independent review as tests. Each is a script that starts sidecars and
// stand-ins; it runs only on request, since it takes up to a minute and is expected to fail. The folder's name keeps the
// package out of "./..." and so out of CI.
package testdata

import (
	"os"
	"os/exec"
	"testing"
)

// runScript runs a script if REVIEW_CASES is set, after the build of deploy/balancer.toml and build.sh.
func runScript(t *testing.T, path string) {
	t.Helper()
	if os.Getenv("REVIEW_CASES") == "" {
		t.Skip("REVIEW_CASES is not set")
	}
	out, err := exec.CommandContext(t.Context(), path).CombinedOutput()
	if err != nil {
		t.Errorf("%s: %v\n%s", path, err, out)
	}
}

// The cases of this review.

func TestTrailerWithoutEnd(t *testing.T) { runScript(t, "../1/run.sh") }

func TestLateSecondAnswer(t *testing.T) { runScript(t, "../2/run.sh") }

func TestHiddenRequest(t *testing.T) { runScript(t, "../3/run.sh") }

// Lesser faults that it found.

func TestNothingWasChanged(t *testing.T) { runScript(t, "../unchanged.sh") }

func TestChangeRepeatedLate(t *testing.T) { runScript(t, "../repeat.sh") }

func TestDrainPushedToNewProcess(t *testing.T) { runScript(t, "../push.sh") }

func TestSlowLongAnswer(t *testing.T) { runScript(t, "../slow.sh") }

// What an earlier sitting of this review found.

func TestDrainToldAtEndOfWatch(t *testing.T) { runScript(t, "../former/1/run.sh") }

func TestMemoryOfHeadsWithoutEnd(t *testing.T) { runScript(t, "../former/2/run.sh") }

func TestAnswerDuringCrowdOfStalledBodies(t *testing.T) { runScript(t, "../former/3/run.sh") }

func TestUploadToHungServer(t *testing.T) { runScript(t, "../upload.sh") }
