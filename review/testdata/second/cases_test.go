// Package second names the cases of the second independent review as tests. Each is a script that starts sidecars and
// stand-ins; it runs only on request, since it takes up to half a minute and is expected to fail. A folder named testdata
// keeps the package out of "./..." and so out of CI.
package second

import (
	"os"
	"os/exec"
	"testing"
)

// runScript runs a script if REVIEW_CASES is set, after the build of deploy/balancer.toml and build-2.sh.
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

func TestListsOfMovedDiscovery(t *testing.T) { runScript(t, "../../6/run.sh") }

func TestSlowPiecesOfChunkedAnswer(t *testing.T) { runScript(t, "../../7/run.sh") }

func TestDrainPushedToRestartedProcess(t *testing.T) { runScript(t, "../../8/run.sh") }
