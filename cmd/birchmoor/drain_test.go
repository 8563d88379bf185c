package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/processtest"
)

// countingServer is a slot server that counts which daemon's requests it got, and when the last came.
type countingServer struct {
	*httptest.Server
	mu   sync.Mutex
	from map[string]int
	last time.Time
}

func newCountingServer(t *testing.T) *countingServer {
	c := &countingServer{from: map[string]int{}}
	c.Server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.from[r.Header.Get("X-From")]++
		c.last = time.Now()
	}))
	t.Cleanup(c.Close)
	return c
}

func (c *countingServer) count(from string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.from[from]
}

// daemonProcess is a process with a replica and a sidecar.
type daemonProcess struct {
	name, dir, listen, store, discovery string
	known                               []discovery.Instance
	process                             *processtest.Process // nil while it does not run
	log                                 processtest.Log
}

func newDaemonProcess(t *testing.T, dir, name, at string, known ...discovery.Instance) *daemonProcess {
	t.Helper()
	w := &daemonProcess{name: name, dir: dir, discovery: at, known: known}
	w.listen, w.store = processtest.Address(t), processtest.Address(t)
	return w
}

func (w *daemonProcess) path(of string) string { return filepath.Join(w.dir, w.name+of) }

func (w *daemonProcess) start(t *testing.T, join bool) {
	t.Helper()
	config, err := json.Marshal(map[string]any{"name": w.name, "listen": w.listen, "discovery": w.discovery, "seed": "8c1f30d27a5be964",
		"known": discovery.List{Generation: 1, Reset: true, Instances: w.known}, "settings": json.RawMessage(singleSidecarSettings)})
	if err != nil {
		t.Fatal(err)
	}
	file := fmt.Sprintf("[store]\nname = %q\ndir = %q\nsocket = %q\nlisten = %q\nplain = true\njoin = %v\ntick = \"20ms\"\n", w.name,
		w.path(""), w.path(".sock"), w.store, join)
	for name, text := range map[string]string{".json": string(config), ".toml": file} {
		if err := os.WriteFile(w.path(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	// A temporary folder that the next start has not.
	cmd := processtest.Self(t, []string{asProgramEnv + "=1", "ROUTER_CONFIG=" + w.path(".json"), "TMPDIR=" + t.TempDir()}, "run", "--config", w.path(".toml"))
	w.process = processtest.Start(t, cmd, &w.log)
	w.until(t, "readiness", func() bool {
		resp, err := http.Get("http://" + w.listen + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
}

func (w *daemonProcess) kill() {
	if w.process != nil {
		w.process.Kill()
		w.process = nil
	}
}

func (w *daemonProcess) until(t *testing.T, what string, done func() bool) {
	t.Helper()
	processtest.Until(t, w.name+": "+what, done, w.log.String)
}

var traces struct {
	sync.Mutex
	n int
}

// sendRequests sends requests through its sidecar.
func (w *daemonProcess) sendRequests(t *testing.T, n int) {
	t.Helper()
	for range n {
		req, err := http.NewRequest("GET", "http://"+w.listen+"/look/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		traces.Lock()
		traces.n++
		id := fmt.Sprintf("%020x", traces.n)
		traces.Unlock()
		for name, value := range map[string]string{"X-Trace-Id": id, "X-Qos": "look", "X-Customer": "acme", "X-Expires-In-Ms": "900", "X-From": w.name} {
			req.Header.Set(name, value)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%s: %v\n%s", w.name, err, w.log.String())
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

func (w *daemonProcess) runStore(args ...string) (int, string) {
	code, out, errs := birchmoor(append(append([]string{"store"}, args...), "--socket", w.path(".sock"))...)
	return code, out + errs
}

// Three copies, of which only one hears discovery, and each is killed outright in turn: no copy that a drain has
// reached ever sends the server another request, also not a start whose own list is older than the drain.
func TestRestartedReplicasSendNothingToDrainedServer(t *testing.T) {
	drained, other := newCountingServer(t), newCountingServer(t)
	in := func(id string, s *countingServer, lifecycle string) discovery.Instance {
		return discovery.Instance{ID: id, Addr: s.Listener.Addr().String(), Zone: "a", Kind: "m", Cell: 1, Lifecycle: lifecycle, Weight: 1, StartedMs: 1}
	}
	known := []discovery.Instance{in("s-1", drained, "up"), in("s-2", other, "up")}
	tell := make(chan discovery.List)
	board := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).Flush()
		for {
			select {
			case l := <-tell:
				json.NewEncoder(w).Encode(l)
			case <-time.After(time.Second):
				io.WriteString(w, "\n")
			case <-r.Context().Done():
				return
			}
			http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(board.CloseClientConnections) // the processes are killed after it
	dir := t.TempDir()
	a := newDaemonProcess(t, dir, "a", strings.TrimPrefix(board.URL, "http://"), known...)
	b, c := newDaemonProcess(t, dir, "b", "127.0.0.1:1", known...), newDaemonProcess(t, dir, "c", "127.0.0.1:1", known...)
	all := []*daemonProcess{a, b, c}
	for i, w := range all {
		w.start(t, i > 0)
		if i == 0 {
			a.until(t, "a store", func() bool { code, _ := a.runStore("put", "k", "v"); return code == 0 })
			continue
		}
		a.until(t, w.name+" in the cluster", func() bool { code, _ := a.runStore("add", w.name, w.store); return code == 0 })
		a.until(t, w.name+"'s vote", func() bool {
			_, out := a.runStore("members")
			_, status := a.runStore("status")
			return strings.Count(out, "votes")+strings.Count(out, "leads") == i+1 && strings.Contains(status, "members settled      true")
		})
	}
	for _, w := range all {
		w.until(t, "traffic at both servers", func() bool {
			w.sendRequests(t, 10)
			return drained.count(w.name) > 0 && other.count(w.name) > 0
		})
	}
	told := time.Now()
	tell <- discovery.List{Generation: 2, Instances: []discovery.Instance{in("s-1", drained, "draining")}}
	// It has reached a copy once none of many requests goes there.
	reached := func(w *daemonProcess) {
		w.until(t, "the drain", func() bool {
			before := drained.count(w.name)
			w.sendRequests(t, 60)
			return drained.count(w.name) == before
		})
	}
	for _, w := range all {
		reached(w)
	}
	t.Logf("the last request came %v after the word", drained.last.Sub(told).Round(time.Millisecond))
	before := map[string]int{}
	for _, w := range all {
		before[w.name] = drained.count(w.name)
	}
	check := func(when string) {
		t.Helper()
		for _, w := range all {
			if w.process == nil {
				continue
			}
			w.sendRequests(t, 100)
			if got := drained.count(w.name); got != before[w.name] {
				t.Errorf("%s: %s sent %d requests to the server that drains\n%s", when, w.name, got-before[w.name], w.log.String())
			}
		}
	}
	for _, w := range []*daemonProcess{b, c} {
		w.kill()
		check(w.name + " killed")
		w.start(t, true)
		check(w.name + " back, with its old list")
	}
	for _, w := range all {
		w.kill()
	}
	c.start(t, true)
	check("all killed, and c alone is back")
	b.start(t, true)
	check("b is back, too")
}
