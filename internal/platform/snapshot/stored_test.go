package snapshot

import (
	"encoding/base64"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// The stored form of snapshots must not change without a new Version. testdata/known.snapshot.base64 is a file that
// version 7105f7a wrote.
func TestFileKeepsStoredForm(t *testing.T) {
	text, err := os.ReadFile("testdata/known.snapshot.base64")
	if err != nil {
		t.Fatal(err)
	}
	stored, err := base64.StdEncoding.DecodeString(strings.ReplaceAll(string(text), "\n", ""))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "known.snapshot")
	if err := os.WriteFile(path, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	saved, err := File{path}.Load()
	if err != nil {
		t.Fatal(err)
	}
	clock := Clock{WallMicros: 1_700_000_000_000_000, BootID: "b", UptimeMicros: 77}
	if saved.Sidecar != "n3" || saved.Clock != clock || saved.RunID != 987654321 {
		t.Errorf("decoded %q, %+v, run %d", saved.Sidecar, saved.Clock, saved.RunID)
	}
	if want := []string{"s-0", "s-1"}; !slices.Equal(saved.Names, want) {
		t.Errorf("decoded names %q, want %q", saved.Names, want)
	}
	if want := []string{"10.0.0.1:80", "10.0.0.2:80"}; !slices.Equal(saved.Addresses, want) {
		t.Errorf("decoded addresses %q, want %q", saved.Addresses, want)
	}
	s := saved.State
	if s.At != 1_700_000_000_004_000 || len(s.Rules) != 1 || len(s.Classes) != 1 || len(s.RequestSlots) == 0 {
		t.Errorf("decoded a state taken at %d with %d rules, %d classes, %d slots",
			s.At, len(s.Rules), len(s.Classes), len(s.RequestSlots))
	}
	if len(s.Endpoints) != 2 || s.Endpoints[0].ID != 1 || s.Endpoints[1].ID != 2 {
		t.Errorf("decoded endpoints %+v", s.Endpoints)
	}
	if encoded, err := Encode(saved); err != nil || string(encoded) != string(stored) {
		t.Errorf("encoded to %d bytes that differ from the stored %d, error %v", len(encoded), len(stored), err)
	}
}
