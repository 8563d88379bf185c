package operatorconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// readText reads an operator file with the given text.
func readText(t *testing.T, text string) (*File, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "op.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Read(path)
}

func TestReadSetsDefaults(t *testing.T) {
	f, err := readText(t, "[capture]\ndir = \"c\"\nbudget_mb = 8\nsegment = \"1m\"\n")
	if err != nil {
		t.Fatal(err)
	}
	capture := f.Capture
	if f.StateSnapshot != nil {
		t.Errorf("state snapshot %+v without a section of the file, want nil", f.StateSnapshot)
	}
	if !filepath.IsAbs(capture.Dir) || capture.MaxFileMB != 2 || capture.MaxQueuedBatches != 32 ||
		capture.SnapshotInterval != Duration(time.Minute) {
		t.Errorf("capture %+v, want an absolute folder, defaults of 2 MB and 32 batches, and segments of 1m", capture)
	}
	if f, err := readText(t, ""); err != nil || f.Capture != nil {
		t.Error("reading an empty file fails or turns capture on:", err)
	}
}

func TestReadNamesInvalidKeys(t *testing.T) {
	for text, want := range map[string]string{
		"[capture]\ndir=\"c\"\nbugdet_mb=3\n":       ":3: capture.bugdet_mb: is not a key",
		"[capture]\n":                               "capture.dir: is missing",
		"[capture]\ndir=\"c\"\nfile_mb=900\n":       "capture.file_mb: is over",
		"[capture]\ndir=\"c\"\nsegment=\"often\"\n": ":3: ",
		"[capture]\ndir=\"c\"\nqueue=-1\n":          "capture.queue: -1 is not within",
		"[keep]\n":                                  "keep.dir: is missing",
		"capture = 3\n":                             ":1",
	} {
		if _, err := readText(t, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("reading %q: error %v, want one with %s", text, err, want)
		}
	}
	if _, err := Read("nowhere.toml"); err == nil {
		t.Error("reading a missing file succeeds")
	}
}

// Guards against a deployed operator file that turns features on, or that shows unknown keys or invalid values in its
// commented sections.
func TestDeployedFileTurnsNothingOn(t *testing.T) {
	path := filepath.Join("..", "..", "..", "deploy", "operator.toml")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if f, err := Read(path); err != nil || f.Capture != nil || f.StateSnapshot != nil {
		t.Errorf("the deployed file reads as %+v, error %v, want all features off", f, err)
	}
	uncommented := strings.NewReplacer("\n#[", "\n[", "\n#", "\n").Replace("\n" + string(text))
	lines := strings.Split(uncommented, "\n")
	keyLines := lines[:0]
	for _, line := range lines {
		if !strings.HasPrefix(line, " ") {
			keyLines = append(keyLines, line)
		}
	}
	if f, err := readText(t, strings.Join(keyLines, "\n")); err != nil || f.Capture == nil || f.StateSnapshot == nil {
		t.Errorf("the uncommented file reads as %+v, error %v, want its features on", f, err)
	}
}

func TestReadNamesAllInvalidKeysOfStore(t *testing.T) {
	_, err := readText(t, "[store]\nname = \"A\"\nlisten = \"192.0.2.1:7\"\nplain = true\nfoo = 1\n")
	for _, want := range []string{"store.foo", "store.name", "store.dir", "store.socket", "store.plain"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s is not named in the error: %v", want, err)
		}
	}
}

// A daemon without a replica names the replicas that it follows, with their addresses, and sets no key that is for
// replicas. A replica sets no key that is for followers.
func TestReadChecksKeysOfFollowers(t *testing.T) {
	requiredKeys := "[store]\nname = \"h\"\ndir = \"d\"\nsocket = \"s\"\n"
	f, err := readText(t, requiredKeys+"plain = true\nfollow = [\"a=127.0.0.1:1\", \"b=[::1]:2\"]\n")
	if err != nil {
		t.Fatal(err)
	}
	store := f.Store
	if len(store.Follow) != 2 || store.Interest != InterestOwn ||
		store.FirstCopyTimeout != Duration(500*time.Millisecond) {
		t.Errorf("store section of a follower is %+v, want two replicas and the defaults", store)
	}
	for text, want := range map[string]string{
		"plain = true\nfollow = [\"127.0.0.1:1\"]\n":                             "store.follow[0]",
		"plain = true\nfollow = [\"a=127.0.0.1:1\", \"b=127.0.0.1:1\"]\n":        "store.follow[1]",
		"plain = true\nfollow = [\"a=192.0.2.1:1\"]\n":                           "store.plain",
		"follow = [\"a=127.0.0.1:1\"]\n":                                         "store.keys",
		"plain = true\nlisten = \"127.0.0.1:3\"\nfollow = [\"a=127.0.0.1:1\"]\n": "store.follow",
		"plain = true\nlisten = \"127.0.0.1:3\"\nserve = \"nowhere\"\n":          "store.serve",
		"plain = true\nlisten = \"127.0.0.1:3\"\nserve = \"192.0.2.1:4\"\n":      "store.plain",
		"plain = true\nserve = \"127.0.0.1:4\"\n":                                "store.listen",
		"plain = true\nfollow = [\"a=127.0.0.1:1\"]\nwait = \"2h\"\n":            "store.wait",
		"plain = true\nfollow = [\"a=127.0.0.1:1\"]\ninterest = \"some\"\n":      "store.interest",
		"plain = true\nlisten = \"127.0.0.1:3\"\ninterest = \"all\"\n":           "store.interest",
	} {
		if _, err := readText(t, requiredKeys+text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("reading %q: error %v, want one that names %s", text, err, want)
		}
	}
}
