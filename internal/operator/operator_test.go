package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func read(t *testing.T, text string) (*File, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "op.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Read(path)
}

func TestReadFillsWhatIsNotGiven(t *testing.T) {
	f, err := read(t, "[capture]\ndir = \"c\"\nbudget_mb = 8\nsegment = \"1m\"\n")
	if err != nil {
		t.Fatal(err)
	}
	c := f.Capture
	if f.Keep != nil || !filepath.IsAbs(c.Dir) || c.FileMB != 2 || time.Duration(c.Segment) != time.Minute || c.Queue != 32 {
		t.Errorf("%+v", c)
	}
	if f, err := read(t, ""); err != nil || f.Capture != nil {
		t.Error("an empty file turns something on:", err)
	}
}

func TestReadNamesFaults(t *testing.T) {
	for text, want := range map[string]string{
		"[capture]\ndir=\"c\"\nbugdet_mb=3\n":       ":3: capture.bugdet_mb: is not a key",
		"[capture]\n":                               "capture.dir: is missing",
		"[capture]\ndir=\"c\"\nfile_mb=900\n":       "capture.file_mb: is over",
		"[capture]\ndir=\"c\"\nsegment=\"often\"\n": ":3: ",
		"[capture]\ndir=\"c\"\nqueue=-1\n":          "capture.queue: -1 is not within",
		"[keep]\n":                                  "keep.dir: is missing",
		"capture = 3\n":                             ":1",
	} {
		if _, err := read(t, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	if _, err := Read("nowhere.toml"); err == nil {
		t.Error("read a file that is not there")
	}
}

// The file that is given along turns nothing on by itself, and all that it shows is known.
func TestGivenFile(t *testing.T) {
	path := filepath.Join("..", "..", "deploy", "operator.toml")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if f, err := Read(path); err != nil || f.Capture != nil || f.Keep != nil {
		t.Errorf("%+v, %v", f, err)
	}
	shown := strings.NewReplacer("\n#[", "\n[", "\n#", "\n").Replace("\n" + string(text))
	lines := strings.Split(shown, "\n")
	kept := lines[:0]
	for _, line := range lines {
		if !strings.HasPrefix(line, " ") {
			kept = append(kept, line)
		}
	}
	if f, err := read(t, strings.Join(kept, "\n")); err != nil || f.Capture == nil || f.Keep == nil {
		t.Errorf("%+v, %v", f, err)
	}
}

func TestAllFaultsOfAStoreAreNamed(t *testing.T) {
	_, err := read(t, "[store]\nname = \"A\"\nlisten = \"192.0.2.1:7\"\nplain = true\nfoo = 1\n")
	for _, want := range []string{"store.foo", "store.name", "store.dir", "store.socket", "store.plain"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s is not named: %v", want, err)
		}
	}
}
