package maintenance

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// The stored form of overrides must not change, since a new version reads the file of an old one. testdata/bans.json is
// a file that version 7105f7a wrote.
func TestFileKeepsStoredForm(t *testing.T) {
	fixturePath := filepath.Join("testdata", "bans.json")
	want := []Override{
		{ID: "s-1", Drained: true, UnixMicros: 1700000000000001},
		{ID: "10.0.0.2:80", Drained: false, UnixMicros: 1700000000000002},
	}
	if got, err := (File{fixturePath}).Load(); err != nil || !slices.Equal(got, want) {
		t.Errorf("loaded %+v, error %v, want %+v", got, err, want)
	}
	path := filepath.Join(t.TempDir(), "bans.json")
	if err := (File{path}).Save(want); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	fixture, err := os.ReadFile(fixturePath)
	if err != nil || string(written) != string(fixture) {
		t.Errorf("saved %s, want %s, error %v", written, fixture, err)
	}
}
