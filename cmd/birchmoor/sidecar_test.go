package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/dataplane/capture"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/processtest"
)

const singleSidecarSettings = `{"peers-total":1,"areas":["a"],"skus":["m"],"discovery":"automatic",
	"classes":[{"name":"look","repeat":"pure","target":500000,"give-up":1000000,"credit":1.0}],
	"contract":{"drain-grace":250000,"cold-from":0.2,"ramp-time":10000000,"fall-multiple":2.5,"overload-for":2000000,
	"ask-within":10000000},"limits":{"cancel":true,"probes":false,"most-tries":3,"most-held":1000,"dial-timeout":1000000},
	"reporting":{"how":"none"},"tenants":[{"name":"acme","allowance-per-s":100.0,"share":1.0}]}`

// startSidecar starts a sidecar as a process with one server in its endpoint list, waits until it is ready, and returns
// its address, its log and a function that kills it.
func startSidecar(t *testing.T, operatorFile, server string) (addr string, log *processtest.Log, kill func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	addr = listener.Addr().String()
	// The sidecar inherits the socket, so that no other process can take the address in the meantime.
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	instance := discovery.Instance{ID: "s-1", Addr: server, Zone: "a", Kind: "m", Cell: 1, Lifecycle: "up", Weight: 1}
	config, err := json.Marshal(map[string]any{
		"name":      "n0",
		"listen":    addr,
		"discovery": "127.0.0.1:1",
		"seed":      "8c1f30d27a5be964",
		"known":     discovery.List{Generation: 1, Reset: true, Instances: []discovery.Instance{instance}},
		"settings":  json.RawMessage(singleSidecarSettings),
	})
	if err != nil {
		t.Fatal(err)
	}
	env := []string{
		asProgramEnv + "=1",
		"ROUTER_CONFIG=" + writeFile(t, "config.json", string(config)),
		"ROUTER_FD=3",
		"TMPDIR=" + t.TempDir(),
	}
	cmd := processtest.Self(t, env, "sidecar", "--operator", operatorFile)
	cmd.ExtraFiles, log = []*os.File{file}, &processtest.Log{}
	process := processtest.Start(t, cmd, log)
	processtest.Until(t, "readiness", func() bool {
		resp, err := http.Get("http://" + addr + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, log.String)
	return addr, log, process.Kill
}

// A killed sidecar leaves a capture that can be replayed, and a state that the next process restores.
func TestKilledSidecarLeavesCaptureAndState(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	dir := t.TempDir()
	operatorFile := filepath.Join(dir, "op.toml")
	text := "[keep]\ndir = \"state\"\n[capture]\ndir = \"captures\"\nsegment = \"1s\"\n"
	if err := os.WriteFile(operatorFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	addr, log, kill := startSidecar(t, operatorFile, strings.TrimPrefix(server.URL, "http://"))
	client := http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	captureSize := func() int64 {
		list, err := capture.Files(filepath.Join(dir, "captures"), "n0")
		if err != nil || len(list) == 0 {
			return 0
		}
		info, err := os.Stat(list[0])
		if err != nil {
			t.Fatal(err)
		}
		return info.Size()
	}
	snapshotPath := filepath.Join(dir, "state", "n0.snapshot")
	startedAt := time.Now()
	for n := 0; ; n++ {
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/look/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Trace-Id", fmt.Sprintf("%020x", n+1))
		req.Header.Set("X-Qos", "look")
		req.Header.Set("X-Customer", "acme")
		req.Header.Set("X-Expires-In-Ms", "900")
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if _, err := os.Stat(snapshotPath); err == nil && captureSize() > 2000 {
			break
		}
		if time.Since(startedAt) > processtest.WaitTimeout {
			t.Fatalf("the capture has %d bytes, or no state is stored: %s %s", captureSize(), resp.Status, log)
		}
	}
	kill()
	code, out, errs := birchmoor("replay", filepath.Join(dir, "captures"))
	// The kernel may end the process during a write. Then the replay reports that the file is cut.
	if strings.Contains(out, "differences") || code != 0 && !strings.Contains(out, ": cut:") ||
		!strings.Contains(out, "segments") {
		t.Errorf("replay of the capture: exit %d\n%s\n%s", code, out, errs)
	}
	_, log, kill = startSidecar(t, operatorFile, strings.TrimPrefix(server.URL, "http://"))
	kill()
	if !strings.Contains(log.String(), "restored the state of an earlier process") ||
		!strings.Contains(log.String(), "endpoints=1 of=1") {
		t.Errorf("the log of the second process:\n%s", log)
	}
}

// birchmoor sidecar reports an unknown key of the operator file with its line.
func TestSidecarRejectsUnknownOperatorKey(t *testing.T) {
	code, _, errs := birchmoor("sidecar", "--operator", writeFile(t, "op.toml", "[capture]\ndirr = \"x\"\n"))
	if code != exitUsage || !strings.Contains(errs, ":2: capture.dirr") {
		t.Errorf("sidecar with an unknown operator key: exit %d: %s", code, errs)
	}
}
