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

// maxDescriptorsEnv is the environment variable that limits the descriptors of a program that a test starts.
const maxDescriptorsEnv = "TEST_NOFILE"

// TestMain runs the program in place of the tests if a test has started this binary as a sidecar.
func TestMain(m *testing.M) {
	if os.Getenv("ROUTER_CONFIG") != "" {
		if maxDescriptors, err := strconv.ParseUint(os.Getenv(maxDescriptorsEnv), 10, 64); err == nil {
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE,
				&syscall.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}); err != nil {
				panic(err)
			}
		}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// validConfig has one idempotent class, look, and one endpoint, s-1.
const validConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
	"known":{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up"}]},
	"settings":{"peers-total":1,"areas":["a"],"skus":["m1"],"discovery":"automatic",
	"classes":[{"name":"look","repeat":"pure","target":500000,"give-up":1000000,"credit":1.0}],
	"contract":{"drain-grace":250000,"cold-from":0.2,"ramp-time":10000000,"fall-multiple":2.5,
	"overload-for":2000000,"ask-within":10000000},
	"limits":{"cancel":true,"most-tries":3,"most-held":1000,"dial-timeout":1000000,"keepalive":15000000}}}`

// startSidecar writes validConfig to file and starts the program with it and with dir as its private directory.
// waitReady waits until the program is ready, and log receives its output. The program is killed when the test ends.
func startSidecar(t *testing.T, file, dir string) (p *processtest.Process, waitReady func(), log *processtest.Log) {
	t.Helper()
	addr := processtest.Address(t)
	if err := os.WriteFile(file, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	log = &processtest.Log{}
	p = processtest.Start(t,
		processtest.Self(t, []string{"ROUTER_CONFIG=" + file, "ROUTER_LISTEN=" + addr, "TMPDIR=" + dir}), log)
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

// SIGHUP does not end the program, even if the configuration file is invalid by then. SIGTERM ends it with exit code 0.
func TestSignals(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	p, waitReady, _ := startSidecar(t, file, "")
	waitReady()
	for _, text := range []string{validConfig, "{"} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p.Signal(syscall.SIGHUP)
		waitReady()
	}
	p.Signal(syscall.SIGTERM)
	if code := p.ExitCode(); code != 0 {
		t.Errorf("exit code %d after SIGTERM:\n%s", code, p.Log())
	}
}

// If the handover's Unix socket cannot be created, the program logs once that a new process will not find this one, and
// serves nevertheless.
func TestServesWithoutUnixSocket(t *testing.T) {
	longDir := filepath.Join(t.TempDir(), strings.Repeat("long", 40)) // too long for the path of a Unix socket
	if err := os.Mkdir(longDir, 0o700); err != nil {
		t.Fatal(err)
	}
	p, waitReady, log := startSidecar(t, filepath.Join(t.TempDir(), "config.json"), longDir)
	waitReady()
	p.Signal(syscall.SIGTERM)
	if code := p.ExitCode(); code != 0 {
		t.Errorf("exit code %d after SIGTERM:\n%s", code, p.Log())
	}
	if n := strings.Count(log.String(), "a new process will not find this one"); n != 1 {
		t.Errorf("%d log lines say that a new process will not find this one, want 1:\n%s", n, log)
	}
}

// The sidecar must not link the store or any layer above it, nor any third-party package but a CBOR codec.
func TestImports(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.ImportPath}}{{end}}", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	allowedModules := []string{"github.com/fxamacker/cbor/v2", "github.com/x448/float16"}
	disallowedLayers := []string{"store", "controlplane", "lab", "testutil"}
	for _, p := range strings.Fields(string(out)) {
		internalPath, isInternal := strings.CutPrefix(p, "birchmoor/internal/")
		layer, _, _ := strings.Cut(internalPath, "/")
		if isInternal && slices.Contains(disallowedLayers, layer) ||
			!strings.HasPrefix(p, "birchmoor/") && !slices.Contains(allowedModules, p) {
			t.Errorf("the sidecar links package %s", p)
		}
	}
}
