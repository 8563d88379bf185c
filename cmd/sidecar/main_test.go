package main

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"birchmoor/internal/testutil/processtest"
)

// nofile names the variable that gives the descriptors that the system lets the program have.
const nofile = "TEST_NOFILE"

// TestMain runs the program itself where a test has started this binary for that.
func TestMain(m *testing.M) {
	if os.Getenv("ROUTER_CONFIG") != "" {
		if most, err := strconv.ParseUint(os.Getenv(nofile), 10, 64); err == nil {
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: most, Max: most}); err != nil {
				panic(err)
			}
		}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const sound = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
	"known":{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up"}]},
	"settings":{"peers-total":1,"areas":["a"],"skus":["m1"],"discovery":"automatic",
	"classes":[{"name":"look","repeat":"pure","target":500000,"give-up":1000000,"credit":1.0}],
	"contract":{"drain-grace":250000,"cold-from":0.2,"ramp-time":10000000,"fall-multiple":2.5,
	"overload-for":2000000,"ask-within":10000000},
	"limits":{"cancel":true,"most-tries":3,"most-held":1000,"dial-timeout":1000000,"keepalive":15000000}}}`

// program runs the program with a configuration file and a folder of its own, and returns it with what waits until
// it is ready and what it logs. It is killed at the test's end.
func program(t *testing.T, file, tmp string) (p *processtest.Process, ready func(), log *processtest.Log) {
	t.Helper()
	addr := processtest.Address(t)
	if err := os.WriteFile(file, []byte(sound), 0o600); err != nil {
		t.Fatal(err)
	}
	log = &processtest.Log{}
	p = processtest.Start(t, processtest.Self(t, []string{"ROUTER_CONFIG=" + file, "ROUTER_LISTEN=" + addr, "TMPDIR=" + tmp}), log)
	return p, func() {
		t.Helper()
		processtest.Until(t, "readiness", func() bool {
			resp, err := http.Get("http://" + addr + "/-/ready")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}, log.String)
	}, log
}

// SIGHUP does not end the program, whatever the file holds by then; SIGTERM ends it with 0.
func TestSignals(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	p, ready, _ := program(t, file, "")
	ready()
	for _, text := range []string{sound, "{"} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p.Signal(syscall.SIGHUP)
		ready()
	}
	p.Signal(syscall.SIGTERM)
	if code := p.ExitCode(); code != 0 {
		t.Errorf("exit code %d after SIGTERM:\n%s", code, p.Log())
	}
}

// Where no Unix socket can be had, a line says that a new process will not find this one, and all else goes on.
func TestServesWithoutUnixSocket(t *testing.T) {
	tmp := filepath.Join(t.TempDir(), strings.Repeat("long", 40)) // no path of a socket may be so long
	if err := os.Mkdir(tmp, 0o700); err != nil {
		t.Fatal(err)
	}
	p, ready, log := program(t, filepath.Join(t.TempDir(), "config.json"), tmp)
	ready()
	p.Signal(syscall.SIGTERM)
	if code := p.ExitCode(); code != 0 {
		t.Errorf("exit code %d after SIGTERM:\n%s", code, p.Log())
	}
	if n := strings.Count(log.String(), "a new process will not find this one"); n != 1 {
		t.Errorf("%d lines say so, want one:\n%s", n, log)
	}
}

// The platform's program links nothing of the store or of what stands on it, and nothing from elsewhere but a CBOR
// codec.
func TestImports(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.ImportPath}}{{end}}", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	codec := []string{"github.com/fxamacker/cbor/v2", "github.com/x448/float16"}
	above := []string{"store", "controlplane", "lab", "testutil"}
	for _, p := range strings.Fields(string(out)) {
		inner, ours := strings.CutPrefix(p, "birchmoor/internal/")
		part, _, _ := strings.Cut(inner, "/")
		if ours && slices.Contains(above, part) || !strings.HasPrefix(p, "birchmoor/") && !slices.Contains(codec, p) {
			t.Errorf("the program links %s", p)
		}
	}
}
