package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// instance is an entry of the list, in the form of PROTOCOL, "Discovery".
type instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

type list struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// firstGeneration is the version of the list at the start.
const firstGeneration = 40

// discovery is a stand-in for discovery: the whole list, and watches on changes.
type discovery struct {
	rec  *record
	addr string

	mu       sync.Mutex
	current  list
	versions map[string]int       // version of the latest change of each entry
	written  map[string]time.Time // when a drain was first written to a watch, by id
	changed  chan struct{}        // closed at the next change
	down     bool
	delay    time.Duration // of the answer to each call; set before the first
}

func newDiscovery(rec *record, entries []instance) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{rec: rec, addr: ln.Addr().String(), changed: make(chan struct{}),
		versions: map[string]int{}, written: map[string]time.Time{}}
	d.current = list{Generation: firstGeneration, Reset: true, Instances: entries}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.serve)
	go func() { _ = http.Serve(ln, mux) }()
	return d, nil
}

// snapshot returns the whole list.
func (d *discovery) snapshot() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.current
	l.Instances = append([]instance(nil), l.Instances...)
	return l
}

// drain marks a slot server as draining. With goesDown, discovery goes down at the same time: each watch tells the
// change and ends, and calls fail until comeBack.
func (d *discovery) drain(id string, goesDown bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current.Generation++
	d.current.Instances = append([]instance(nil), d.current.Instances...)
	for i := range d.current.Instances {
		if e := &d.current.Instances[i]; e.ID == id {
			e.Lifecycle = "draining"
			d.versions[id] = d.current.Generation
		}
	}
	d.down = goesDown
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) comeBack() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = false
}

// writtenAt returns when the drain of a slot server was written to the sidecar.
func (d *discovery) writtenAt(id string) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok = d.written[id]
	return at, ok
}

func (d *discovery) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down
}

// changesAfter returns the entries that changed after a version, or the whole list for an unknown one.
func (d *discovery) changesAfter(generation int) (list, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Generation: d.current.Generation, Instances: []instance{}}
	l.Reset = generation < firstGeneration || generation > d.current.Generation
	for _, e := range d.current.Instances {
		if l.Reset || d.versions[e.ID] > generation {
			l.Instances = append(l.Instances, e)
		}
	}
	return l, d.changed
}

// noteWritten records the drains of a list that was written.
func (d *discovery) noteWritten(l list) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range l.Instances {
		if _, ok := d.written[e.ID]; !ok && e.Lifecycle == "draining" {
			d.written[e.ID] = time.Now()
		}
	}
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(d.delay)
	if d.isDown() {
		d.rec.add("discovery: 503 to %s", r.RemoteAddr)
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if r.FormValue("watch") == "" {
		l := d.snapshot()
		d.rec.add("discovery: the whole list to %s", r.RemoteAddr)
		_ = json.NewEncoder(w).Encode(l)
		d.noteWritten(l)
		return
	}
	d.watch(w, r)
}

// watch answers a watch until its connection ends or discovery goes down. In the latter case the answer ends as any
// answer over HTTP does: what is still to be told and the end of the answer go out together.
func (d *discovery) watch(w http.ResponseWriter, r *http.Request) {
	generation := 0
	_ = json.Unmarshal([]byte(r.FormValue("after")), &generation)
	d.rec.add("discovery: %s watches after version %d", r.RemoteAddr, generation)
	control := http.NewResponseController(w)
	idle := time.NewTicker(2 * time.Second)
	defer idle.Stop()
	l, changed := d.changesAfter(generation)
	for {
		if l.Generation > 0 {
			text, _ := json.Marshal(l)
			_, _ = w.Write(append(text, '\n'))
			d.rec.add("discovery: to %s: %s", r.RemoteAddr, text)
			generation = l.Generation
		}
		if d.isDown() {
			d.noteWritten(l)
			d.rec.add("discovery: the watch of %s ends", r.RemoteAddr)
			return
		}
		if control.Flush() != nil {
			return
		}
		d.noteWritten(l)
		select {
		case <-r.Context().Done():
			return
		case <-idle.C:
			l = list{}
			_, _ = w.Write([]byte("\n"))
		case <-changed:
			l, changed = d.changesAfter(generation)
		}
	}
}
