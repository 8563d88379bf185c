package dnslab

import (
	"encoding/json"
	"path/filepath"
	"testing"
)

// Every scenario keeps the rules, at a quarter of its load, since time is real here and the race detector slows it. Its
// figures are for lab dns.
func TestScenariosKeepTheRules(t *testing.T) {
	files, err := filepath.Glob("../../../lab/dns/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
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
				t.Errorf("%s, %d stray", r.Verdict, r.Stray)
			}
		})
	}
}
