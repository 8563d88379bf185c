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

// countingServer is a slot server that counts the requests from each daemon and records the time of the last one.
type countingServer struct {
	*httptest.Server
	mu            sync.Mutex
	requestsFrom  map[string]int
	lastRequestAt time.Time
}

func newCountingServer(t *testing.T) *countingServer {
	t.Helper()
	c := &countingServer{requestsFrom: map[string]int{}}
	c.Server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.requestsFrom[r.Header.Get("X-From")]++
		c.lastRequestAt = time.Now()
	}))
	t.Cleanup(c.Close)
	return c
}

// instance returns the server as discovery lists it, with this id and lifecycle.
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
	return c.requestsFrom[from]
}

// daemonProcess is a daemon with a replica and a sidecar, which a test kills and restarts as a process.
type daemonProcess struct {
	name, dir, listenAddress, storeAddress, discoveryAddress string
	known                                                    []discovery.Instance
	process                                                  *processtest.Process // nil while it is not running
	log                                                      processtest.Log
}

func newDaemonProcess(t *testing.T, dir, name, discoveryAddress string, known ...discovery.Instance) *daemonProcess {
	t.Helper()
	d := &daemonProcess{name: name, dir: dir, discoveryAddress: discoveryAddress, known: known}
	d.listenAddress, d.storeAddress = processtest.Address(t), processtest.Address(t)
	return d
}

func (d *daemonProcess) path(suffix string) string { return filepath.Join(d.dir, d.name+suffix) }

func (d *daemonProcess) start(t *testing.T, join bool) {
	t.Helper()
	config, err := json.Marshal(map[string]any{
		"name":      d.name,
		"listen":    d.listenAddress,
		"discovery": d.discoveryAddress,
		"seed":      "8c1f30d27a5be964",
		"known":     discovery.List{Generation: 1, Reset: true, Instances: d.known},
		"settings":  json.RawMessage(singleSidecarSettings),
	})
	if err != nil {
		t.Fatal(err)
	}
	file := fmt.Sprintf("[store]\nname = %q\ndir = %q\nsocket = %q\nlisten = %q\nplain = true\njoin = %v\n"+
		"tick = \"20ms\"\n",
		d.name, d.path(""), d.path(".sock"), d.storeAddress, join)
	for name, text := range map[string]string{".json": string(config), ".toml": file} {
		if err := os.WriteFile(d.path(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	env := []string{
		asProgramEnv + "=1",
		"ROUTER_CONFIG=" + d.path(".json"),
		"TMPDIR=" + t.TempDir(), // the next start gets another one
	}
	d.process = processtest.Start(t, processtest.Self(t, env, "run", "--config", d.path(".toml")), &d.log)
	d.waitUntil(t, "readiness", func() bool {
		resp, err := http.Get("http://" + d.listenAddress + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (d *daemonProcess) kill() {
	if d.process != nil {
		d.process.Kill()
		d.process = nil
	}
}

func (d *daemonProcess) waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	processtest.Until(t, d.name+": "+what, done, d.log.String)
}

// traceIDs counts the requests sent through all daemons, so that their trace ids differ.
var traceIDs struct {
	sync.Mutex
	n int
}

// sendRequests sends n requests through the sidecar, one after the other. Replies of any status are accepted.
func (d *daemonProcess) sendRequests(t *testing.T, n int) {
	t.Helper()
	for range n {
		req, err := http.NewRequest(http.MethodGet, "http://"+d.listenAddress+"/look/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		traceIDs.Lock()
		traceIDs.n++
		id := fmt.Sprintf("%020x", traceIDs.n)
		traceIDs.Unlock()
		req.Header.Set("X-Trace-Id", id)
		req.Header.Set("X-Qos", "look")
		req.Header.Set("X-Customer", "acme")
		req.Header.Set("X-Expires-In-Ms", "900")
		req.Header.Set("X-From", d.name)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%s: %v\n%s", d.name, err, d.log.String())
		}
		_, _ = io.Copy(io.Discard, resp.Body) // a truncated reply is no error here
		resp.Body.Close()
	}
}

func (d *daemonProcess) runStore(args ...string) (int, string) {
	code, out, errs := birchmoor(append(append([]string{"store"}, args...), "--socket", d.path(".sock"))...)
	return code, out + errs
}

// Guards against requests to a draining server after a restart. Only one of three replicas watches discovery, and the
// replicas are killed in turn. A replica that knows of the drain sends the server no more requests, and neither does
// one that starts with an endpoint list older than the drain.
func TestRestartedReplicasSendNothingToDrainedServer(t *testing.T) {
	drained, other := newCountingServer(t), newCountingServer(t)
	known := []discovery.Instance{drained.instance("s-1", "up"), other.instance("s-2", "up")}
	events := make(chan discovery.List)
	dir := t.TempDir()
	const noDiscovery = "127.0.0.1:1"
	a := newDaemonProcess(t, dir, "a", serveDiscovery(t, events), known...)
	b := newDaemonProcess(t, dir, "b", noDiscovery, known...)
	c := newDaemonProcess(t, dir, "c", noDiscovery, known...)
	daemons := []*daemonProcess{a, b, c}
	formCluster(t, daemons)
	for _, d := range daemons {
		d.waitUntil(t, "requests at both servers", func() bool {
			d.sendRequests(t, 10)
			return drained.count(d.name) > 0 && other.count(d.name) > 0
		})
	}
	reportedAt := time.Now()
	events <- discovery.List{Generation: 2, Instances: []discovery.Instance{drained.instance("s-1", "draining")}}
	for _, d := range daemons {
		// A replica knows of the drain once none of many requests goes to the server.
		d.waitUntil(t, "no requests to the draining server", func() bool {
			before := drained.count(d.name)
			d.sendRequests(t, 60)
			return drained.count(d.name) == before
		})
	}
	t.Logf("the last request came %v after discovery reported the drain",
		drained.lastRequestAt.Sub(reportedAt).Round(time.Millisecond))
	before := map[string]int{}
	for _, d := range daemons {
		before[d.name] = drained.count(d.name)
	}
	checkNothingSent := func(when string) {
		t.Helper()
		for _, d := range daemons {
			if d.process == nil {
				continue
			}
			d.sendRequests(t, 100)
			if got := drained.count(d.name); got != before[d.name] {
				t.Errorf("%s: %s sent %d requests to the draining server\n%s", when, d.name, got-before[d.name],
					d.log.String())
			}
		}
	}
	for _, d := range []*daemonProcess{b, c} {
		d.kill()
		checkNothingSent(d.name + " killed")
		d.start(t, true)
		checkNothingSent(d.name + " restarted with its old list")
	}
	for _, d := range daemons {
		d.kill()
	}
	c.start(t, true)
	checkNothingSent("all killed, only c restarted")
	b.start(t, true)
	checkNothingSent("b restarted too")
}

// serveDiscovery serves the watch of discovery until the test ends, and returns its address. The watch sends each list
// from events, and an empty line in each second without one.
func serveDiscovery(t *testing.T, events <-chan discovery.List) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		flush := func() { _ = http.NewResponseController(w).Flush() } // fails only if the client has disconnected
		flush()
		for {
			var err error
			select {
			case list := <-events:
				err = json.NewEncoder(w).Encode(list)
			case <-time.After(time.Second):
				_, err = io.WriteString(w, "\n")
			case <-r.Context().Done():
				return
			}
			if err != nil {
				return // the client has disconnected
			}
			flush()
		}
	}))
	t.Cleanup(server.CloseClientConnections) // before the processes are killed, since cleanups run in reverse order
	return strings.TrimPrefix(server.URL, "http://")
}

// formCluster starts the daemons and adds all of them to the cluster of the first one.
func formCluster(t *testing.T, daemons []*daemonProcess) {
	t.Helper()
	a := daemons[0]
	a.start(t, false)
	a.waitUntil(t, "a first write", func() bool {
		code, _ := a.runStore("put", "k", "v")
		return code == 0
	})
	for i, d := range daemons[1:] {
		d.start(t, true)
		a.waitUntil(t, d.name+" is added to the cluster", func() bool {
			code, _ := a.runStore("add", d.name, d.storeAddress)
			return code == 0
		})
		a.waitUntil(t, d.name+" is a voter", func() bool {
			_, members := a.runStore("members")
			_, status := a.runStore("status")
			voters := strings.Count(members, "votes") + strings.Count(members, "leads")
			return voters == i+2 && strings.Contains(status, "members settled      true")
		})
	}
}
