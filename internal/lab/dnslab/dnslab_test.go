package dnslab

import (
	"encoding/json"
	"path/filepath"
	"testing"
)

// Every scenario keeps the checker's rules and brings clients no stray message. The load is a quarter of the
// scenario's, because the run takes place in real time and the race detector slows it. The required figures are checked
// by lab dns only.
func TestScenariosKeepTheRules(t *testing.T) {
	files, err := filepath.Glob("../../../lab/dns/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios in lab/dns:", err)
	}
	for _, path := range files {
		s, err := Read(path)
		if err != nil {
			t.Error(err)
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			s.Load.Rate /= 4
			s.Load.Flood /= 4
			r, err := Run(t.Context(), s, Options{Seed: 7})
			if err != nil {
				t.Fatal(err)
			}
			text, _ := json.Marshal(r)
			t.Logf("%s", text)
			if !r.Verdict.Passed() || r.Stray > 0 {
				t.Errorf("%s; clients received %d stray messages, want 0", r.Verdict, r.Stray)
			}
		})
	}
}
