package bench

import (
	"context"
	"encoding/json"
	"net/http"
	"path/filepath"
	"testing"
	"time"
)

// Checks that all parties serve requests. It guards against a sidecar that rejects requests to idle servers that answer
// at once, as it once did with every fifth request.
func TestPartiesServeRequests(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	backend, err := startServers("4")
	if err != nil {
		t.Fatal(err)
	}
	text, _ := json.Marshal(backend)
	proxy, err := startReverseProxy(string(text))
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	if err := writeConfig(config, backend); err != nil {
		t.Fatal(err)
	}
	sidecar, err := startSidecar(ctx, config)
	if err != nil {
		t.Fatal(err)
	}
	if err := waitReady(ctx, sidecar[0]); err != nil {
		t.Fatal(err)
	}
	for name, addrs := range map[string][]string{"direct": backend, "reverse-proxy": proxy, "sidecar": sidecar} {
		for _, conns := range []int{1, 8} {
			generator := &loadGenerator{addrs: addrs}
			generator.run(conns, 300*time.Millisecond)
			if generator.requests < 20 || generator.brokenConns > 0 || generator.rejected > generator.requests/50 {
				t.Errorf("%s with %d connections: %d requests, %d of them not served, %d connections failed",
					name, conns, generator.requests, generator.rejected, generator.brokenConns)
			}
		}
	}
	response, err := http.Get("http://" + backend[0] + "/-/load")
	if err != nil || response.StatusCode != http.StatusOK ||
		response.ContentLength != int64(len("TEXT busy_reqs=0, cpu_share=0.1, served_ps=100.00")) {
		t.Errorf("a probe of a server returned %v, %v", response, err)
	}
}

func TestPeerRefusesBadRoleOrConfig(t *testing.T) {
	for _, c := range [][2]string{
		{"nobody", ""},
		{"servers", "0"},
		{"servers", "many"},
		{"reverse-proxy", "{"},
		{"sidecar", "/no/such/file"},
	} {
		if err := Peer(context.Background(), c[0], c[1], nil, nil); err == nil {
			t.Errorf("Peer returned no error for role and configuration %q", c)
		}
	}
}
