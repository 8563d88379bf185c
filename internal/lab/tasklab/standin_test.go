package tasklab

import (
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"birchmoor/internal/controlplane/lease"
)

// The target finds two holders that act at once, and a fence that admits a lower token or forgets the highest one when
// it restarts.
func TestTargetFindsViolations(t *testing.T) {
	for _, tc := range []struct {
		name          string
		fence         lease.FenceDefect
		fenceRestarts bool // the fence is restarted before the last action
		stopped       bool
		broken        string
	}{
		{"two at once", lease.NoFenceDefect, false, false, "two at once"},
		{"late action of a stopped actor", lease.NoFenceDefect, false, true, ""},
		{"fence admits all tokens", lease.AdmitAllTokens, false, true, "token order"},
		{"fence restarts", lease.NoFenceDefect, true, true, ""},
		{"fence forgets on restart", lease.ForgetOnRestart, true, true, "token order"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "fence")
			s, err := newTarget(path, tc.fence)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { s.Close() }()
			act := func(who, token string) int {
				resp, err := http.Post(s.URL+"/?who="+who+"&token="+token, "", nil)
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				return resp.StatusCode
			}
			act("a", "5")
			act("b", "9")
			if tc.stopped {
				s.markStopped("a")
			}
			if tc.fenceRestarts {
				if s.fence, err = lease.OpenFence(path, tc.fence); err != nil {
					t.Fatal(err)
				}
			}
			taken := act("a", "5") == http.StatusOK
			broken, _, _ := s.check(nil)
			if text := strings.Join(broken, "; "); (text == "") != (tc.broken == "") || !strings.Contains(text, tc.broken) {
				t.Errorf("violations = %q, want %q", text, tc.broken)
			}
			if want := tc.fence != lease.NoFenceDefect; taken != want {
				t.Errorf("late action took effect at the fenced half = %v", taken)
			}
		})
	}
}
