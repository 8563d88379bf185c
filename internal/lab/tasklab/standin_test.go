package tasklab

import (
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"birchmoor/internal/controlplane/lease"
)

// The stand-in finds what it is there for: two who act at once, and a fence that lets a lower token through or forgets what it saw.
func TestStandinJudges(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fence   lease.FenceDefect
		again   bool // it is started anew before the last action
		stopped bool
		broken  string
	}{
		{"two at once", lease.NoFenceDefect, false, false, "two at once"},
		{"of one that was stopped", lease.NoFenceDefect, false, true, ""},
		{"an open fence", lease.AdmitAllTokens, false, true, "token order"},
		{"a start between", lease.NoFenceDefect, true, true, ""},
		{"a fence that forgets", lease.ForgetOnRestart, true, true, "token order"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "fence")
			s, err := newStandin(path, tc.fence)
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
				s.mayBeLate("a")
			}
			if tc.again {
				if s.fence, err = lease.OpenFence(path, tc.fence); err != nil {
					t.Fatal(err)
				}
			}
			taken := act("a", "5") == http.StatusOK
			broken, _, _ := s.judge(nil)
			if text := strings.Join(broken, "; "); (text == "") != (tc.broken == "") || !strings.Contains(text, tc.broken) {
				t.Errorf("judged %q, want %q", text, tc.broken)
			}
			if want := tc.fence != lease.NoFenceDefect; taken != want {
				t.Errorf("the late action took effect: %v", taken)
			}
		})
	}
}
