package maintenance

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// testdata/bans.json is a file of version 7105f7a.
func TestFileKeepsStoredForm(t *testing.T) {
	stored := filepath.Join("testdata", "bans.json")
	want := []Override{
		{ID: "s-1", Drained: true, UnixMicros: 1700000000000001},
		{ID: "10.0.0.2:80", Drained: false, UnixMicros: 1700000000000002},
	}
	if got, err := (File{stored}).Load(); err != nil || !slices.Equal(got, want) {
		t.Errorf("decoded %+v, %v, want %+v", got, err, want)
	}
	path := filepath.Join(t.TempDir(), "bans.json")
	if err := (File{path}).Save(want); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	before, err := os.ReadFile(stored)
	if err != nil || string(written) != string(before) {
		t.Errorf("wrote %s, want %s, error %v", written, before, err)
	}
}
