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

// countingServer is a slot server that counts the requests of each daemon, and notes when the last came.
type countingServer struct {
	*httptest.Server
	mu   sync.Mutex
	from map[string]int
	last time.Time
}

func newCountingServer(t *testing.T) *countingServer {
	t.Helper()
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

// instance is the server as discovery lists it.
func (c *countingServer) instance(id, lifecycle string) discovery.Instance {
	return discovery.Instance{
		ID:        id,
		Addr:      c.Listener.Addr().String(),
		Zone:      "a",
		Kind:      "m",
		Cell:      1,
		Lifecycle: lifecycle,
		Weight:    1,
		StartedMs: 1,
	}
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
	config, err := json.Marshal(map[string]any{
		"name":      w.name,
		"listen":    w.listen,
		"discovery": w.discovery,
		"seed":      "8c1f30d27a5be964",
		"known":     discovery.List{Generation: 1, Reset: true, Instances: w.known},
		"settings":  json.RawMessage(singleSidecarSettings),
	})
	if err != nil {
		t.Fatal(err)
	}
	file := fmt.Sprintf("[store]\nname = %q\ndir = %q\nsocket = %q\nlisten = %q\nplain = true\njoin = %v\n"+
		"tick = \"20ms\"\n",
		w.name, w.path(""), w.path(".sock"), w.store, join)
	for name, text := range map[string]string{".json": string(config), ".toml": file} {
		if err := os.WriteFile(w.path(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	env := []string{
		asProgramEnv + "=1",
		"ROUTER_CONFIG=" + w.path(".json"),
		"TMPDIR=" + t.TempDir(), // which the next start does not share
	}
	w.process = processtest.Start(t, processtest.Self(t, env, "run", "--config", w.path(".toml")), &w.log)
	w.until(t, "readiness", func() bool {
		resp, err := http.Get("http://" + w.listen + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
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

// traces counts the requests of all daemons, whose ids are to differ.
var traces struct {
	sync.Mutex
	n int
}

// sendRequests sends n requests through the sidecar.
func (w *daemonProcess) sendRequests(t *testing.T, n int) {
	t.Helper()
	for range n {
		req, err := http.NewRequest(http.MethodGet, "http://"+w.listen+"/look/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		traces.Lock()
		traces.n++
		id := fmt.Sprintf("%020x", traces.n)
		traces.Unlock()
		req.Header.Set("X-Trace-Id", id)
		req.Header.Set("X-Qos", "look")
		req.Header.Set("X-Customer", "acme")
		req.Header.Set("X-Expires-In-Ms", "900")
		req.Header.Set("X-From", w.name)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%s: %v\n%s", w.name, err, w.log.String())
		}
		_, _ = io.Copy(io.Discard, resp.Body) // an answer may be cut; it counts all the same
		resp.Body.Close()
	}
}

func (w *daemonProcess) runStore(args ...string) (int, string) {
	code, out, errs := birchmoor(append(append([]string{"store"}, args...), "--socket", w.path(".sock"))...)
	return code, out + errs
}

// Of three replicas one alone watches discovery, and each is killed in turn: no replica that a drain has reached
// sends the server another request, nor does one that starts with a list older than the drain.
func TestRestartedReplicasSendNothingToDrainedServer(t *testing.T) {
	drained, other := newCountingServer(t), newCountingServer(t)
	known := []discovery.Instance{drained.instance("s-1", "up"), other.instance("s-2", "up")}
	events := make(chan discovery.List)
	dir := t.TempDir()
	const noDiscovery = "127.0.0.1:1"
	a := newDaemonProcess(t, dir, "a", serveDiscovery(t, events), known...)
	b := newDaemonProcess(t, dir, "b", noDiscovery, known...)
	c := newDaemonProcess(t, dir, "c", noDiscovery, known...)
	all := []*daemonProcess{a, b, c}
	formCluster(t, all)
	for _, w := range all {
		w.until(t, "traffic at both servers", func() bool {
			w.sendRequests(t, 10)
			return drained.count(w.name) > 0 && other.count(w.name) > 0
		})
	}
	sent := time.Now()
	events <- discovery.List{Generation: 2, Instances: []discovery.Instance{drained.instance("s-1", "draining")}}
	for _, w := range all {
		// The drain has reached a replica once none of many requests goes to the server.
		w.until(t, "the drain", func() bool {
			before := drained.count(w.name)
			w.sendRequests(t, 60)
			return drained.count(w.name) == before
		})
	}
	t.Logf("the last request came %v after the word", drained.last.Sub(sent).Round(time.Millisecond))
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

// serveDiscovery serves the watch of discovery with the lists that come from events, and returns its address.
func serveDiscovery(t *testing.T, events <-chan discovery.List) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		flush := func() { _ = http.NewResponseController(w).Flush() } // the client may be gone
		flush()
		for {
			var err error
			select {
			case l := <-events:
				err = json.NewEncoder(w).Encode(l)
			case <-time.After(time.Second):
				_, err = io.WriteString(w, "\n")
			case <-r.Context().Done():
				return
			}
			if err != nil {
				return // the client is gone
			}
			flush()
		}
	}))
	t.Cleanup(server.CloseClientConnections) // the processes are killed after it
	return strings.TrimPrefix(server.URL, "http://")
}

// formCluster starts the replicas, and makes the first one's cluster one of all of them.
func formCluster(t *testing.T, all []*daemonProcess) {
	t.Helper()
	a := all[0]
	a.start(t, false)
	a.until(t, "a store", func() bool {
		code, _ := a.runStore("put", "k", "v")
		return code == 0
	})
	for i, w := range all[1:] {
		w.start(t, true)
		a.until(t, w.name+" in the cluster", func() bool {
			code, _ := a.runStore("add", w.name, w.store)
			return code == 0
		})
		a.until(t, w.name+"'s vote", func() bool {
			_, members := a.runStore("members")
			_, status := a.runStore("status")
			voters := strings.Count(members, "votes") + strings.Count(members, "leads")
			return voters == i+2 && strings.Contains(status, "members settled      true")
		})
	}
}
