package operatorconfig

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

func TestReadSetsDefaults(t *testing.T) {
	f, err := read(t, "[capture]\ndir = \"c\"\nbudget_mb = 8\nsegment = \"1m\"\n")
	if err != nil {
		t.Fatal(err)
	}
	c := f.Capture
	if f.StateSnapshot != nil {
		t.Errorf("%+v", f.StateSnapshot)
	}
	if !filepath.IsAbs(c.Dir) || c.MaxFileMB != 2 || c.MaxQueuedBatches != 32 ||
		c.SnapshotInterval != Duration(time.Minute) {
		t.Errorf("%+v", c)
	}
	if f, err := read(t, ""); err != nil || f.Capture != nil {
		t.Error("an empty file turns something on:", err)
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
		if _, err := read(t, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	if _, err := Read("nowhere.toml"); err == nil {
		t.Error("read a file that is not there")
	}
}

// The operator file of deploy/ turns nothing on by itself, and all keys in its comments are known.
func TestDeployedFileTurnsNothingOn(t *testing.T) {
	path := filepath.Join("..", "..", "..", "deploy", "operator.toml")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if f, err := Read(path); err != nil || f.Capture != nil || f.StateSnapshot != nil {
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
	if f, err := read(t, strings.Join(kept, "\n")); err != nil || f.Capture == nil || f.StateSnapshot == nil {
		t.Errorf("%+v, %v", f, err)
	}
}

func TestReadNamesAllInvalidKeysOfStore(t *testing.T) {
	_, err := read(t, "[store]\nname = \"A\"\nlisten = \"192.0.2.1:7\"\nplain = true\nfoo = 1\n")
	for _, want := range []string{"store.foo", "store.name", "store.dir", "store.socket", "store.plain"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s is not named: %v", want, err)
		}
	}
}

// A daemon without a replica has replicas to follow, by name and address, and no key of a replica.
func TestReadChecksKeysOfFollowers(t *testing.T) {
	base := "[store]\nname = \"h\"\ndir = \"d\"\nsocket = \"s\"\n"
	f, err := read(t, base+"plain = true\nfollow = [\"a=127.0.0.1:1\", \"b=[::1]:2\"]\n")
	if err != nil {
		t.Fatal(err)
	}
	s := f.Store
	if len(s.Follow) != 2 || s.Interest != InterestOwn || s.FirstCopyTimeout != Duration(500*time.Millisecond) {
		t.Errorf("%+v", s)
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
		if _, err := read(t, base+text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s named", text, err, want)
		}
	}
}
