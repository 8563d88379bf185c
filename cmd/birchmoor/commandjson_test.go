package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/testutil/processtest"
)

var updateCommandJSON = flag.Bool("update-command-json", false, "write testdata/command-json.txt")

// operatorCommands are the commands that the test runs with --json against a daemon, in this order. SETTINGS and LIMITS
// stand for files that the test writes.
var operatorCommands = [][]string{
	{"store", "put", "a", "1"},
	{"store", "get", "a"},
	{"store", "get", "--prefix", "a"},
	{"store", "delete", "a"},
	{"store", "members"},
	{"store", "lease", "grant", "1m"},
	{"store", "lease", "list"},
	{"store", "servers"},
	{"config", "put", "SETTINGS", "--note", "first"},
	{"config", "get"},
	{"config", "history"},
	{"limit", "put", "LIMITS"},
	{"limit", "list"},
	{"limit", "show", "all"},
	{"limit", "explain", "all"},
	{"task", "pause", "sweep", "--note", "by hand"},
	{"task", "list"},
	{"task", "show", "sweep"},
	{"task", "resume", "sweep"},
}

// Guards against a change of the JSON that programs of operators read: the keys and types that commands print with
// --json must be those in testdata/command-json.txt.
func TestCommandJSONKeepsKeysAndTypes(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	files := map[string]string{"SETTINGS": `{"x":1}`, "LIMITS": "[limit.all]\nrate = 1000.0\n"}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	d := newTestDaemon(t, dir, "a", false, "[limits]\nlease = \"1s\"\n")
	d.start(t)
	d.waitUntil(t, "the daemon holds the tasks sweep and limits", func() bool {
		_, out, _ := birchmoor("task", "list", "--socket", d.socket)
		return strings.Contains(out, "sweep") && strings.Contains(out, "limits")
	})
	golden := readCommandJSON(t)
	var all strings.Builder
	for _, command := range operatorCommands {
		args := slices.Clone(command)
		for i, arg := range args {
			if _, isFile := files[arg]; isFile {
				args[i] = filepath.Join(dir, arg)
			}
		}
		name := strings.Join(command, " ")
		var got string
		matches := func() bool {
			code, out, errs := birchmoor(append(args, "--json", "--socket", d.socket)...)
			if code != 0 {
				t.Fatalf("%s: exit code %d: %s", name, code, errs)
			}
			got = keysAndTypes(t, out)
			return got == golden[name]
		}
		if !matches() && isRead(command) && !*updateCommandJSON {
			// The output depends on what the daemon has done so far, so reads are repeated until it matches.
			for end := time.Now().Add(processtest.WaitTimeout); !matches() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
		}
		if got != golden[name] {
			t.Errorf("%s prints\n%s\nwant\n%s", name, got, golden[name])
		}
		fmt.Fprintf(&all, "%s\n%s", name, got)
	}
	if *updateCommandJSON {
		if err := os.WriteFile(commandJSONFile, []byte(all.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

const commandJSONFile = "testdata/command-json.txt"

// readCommandJSON returns the keys and types in testdata/command-json.txt, by command.
func readCommandJSON(t *testing.T) map[string]string {
	t.Helper()
	text, err := os.ReadFile(commandJSONFile)
	if err != nil {
		t.Fatal(err)
	}
	sections := map[string]string{}
	name := ""
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "\t") {
			sections[name] += line
			continue
		}
		name = strings.TrimSuffix(line, "\n")
	}
	return sections
}

// isRead reports whether a command only reads from the daemon.
func isRead(command []string) bool {
	verb := command[1]
	if verb == "lease" {
		verb = command[2]
	}
	return slices.Contains([]string{"get", "members", "list", "servers", "history", "show", "explain"}, verb)
}

// keysAndTypes returns the path and type of each value in text, which is one or more JSON values, as sorted lines.
func keysAndTypes(t *testing.T, text string) string {
	t.Helper()
	found := map[string]bool{}
	decoder := json.NewDecoder(bufio.NewReader(strings.NewReader(text)))
	for decoder.More() {
		var v any
		if err := decoder.Decode(&v); err != nil {
			t.Fatalf("%v in %s", err, text)
		}
		addKeysAndTypes(found, "", v)
	}
	lines := ""
	for _, line := range slices.Sorted(maps.Keys(found)) {
		lines += "\t" + line + "\n"
	}
	return lines
}

func addKeysAndTypes(found map[string]bool, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, value := range v {
			addKeysAndTypes(found, path+"."+key, value)
		}
	case []any:
		for _, value := range v {
			addKeysAndTypes(found, path+"[]", value)
		}
	default:
		found[fmt.Sprintf("%s %T", path, v)] = true
	}
}
