package bench

import (
	"context"
	"encoding/json"
	"net/http"
	"path/filepath"
	"testing"
	"time"
)

// The parties answer what is asked of them, and the sidecar refuses nothing of an idle, instant service, which it once
// did with every fifth request.
func TestParties(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	behind, err := servers("4")
	if err != nil {
		t.Fatal(err)
	}
	text, _ := json.Marshal(behind)
	proxy, err := reverseProxy(string(text))
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	if err := configure(config, behind); err != nil {
		t.Fatal(err)
	}
	ours, err := runSidecar(ctx, config)
	if err != nil {
		t.Fatal(err)
	}
	if err := ready(ctx, ours[0]); err != nil {
		t.Fatal(err)
	}
	for name, addrs := range map[string][]string{"direct": behind, "reverse-proxy": proxy, "sidecar": ours} {
		for _, conns := range []int{1, 8} {
			l := &load{addrs: addrs}
			l.run(conns, 300*time.Millisecond)
			if l.requests < 20 || l.broken > 0 || l.refused > l.requests/50 {
				t.Errorf("%s, %d connections: %d requests, %d not served, %d connections broke", name, conns, l.requests, l.refused, l.broken)
			}
		}
	}
	resp, err := http.Get("http://" + behind[0] + "/-/load")
	if err != nil || resp.StatusCode != http.StatusOK || resp.ContentLength != int64(len("TEXT busy_reqs=0, cpu_share=0.1, served_ps=100.00")) {
		t.Errorf("a probe is answered with %v, %v", resp, err)
	}
}

func TestBadParties(t *testing.T) {
	for _, c := range [][2]string{{"nobody", ""}, {"servers", "0"}, {"servers", "many"}, {"reverse-proxy", "{"}, {"sidecar", "/no/such/file"}} {
		if err := Peer(context.Background(), c[0], c[1], nil, nil); err == nil {
			t.Errorf("%v runs", c)
		}
	}
}
