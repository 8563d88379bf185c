package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// instance is an entry of a list, as discovery sends it.
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

// list is what discovery writes: the whole list, or the entries that changed.
type list struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// discovery is a stand-in for discovery. It keeps all changes, so that a watch begins with what changed after the
// version that it names.
type discovery struct {
	env  *env
	addr string

	turn atomic.Int64 // nanoseconds for which a call waits for its turn

	mu         sync.Mutex
	ln         net.Listener
	generation int
	first      int // version of the first list
	entries    map[string]instance
	changed    map[string]int // generation of each entry's last change
	order      []string
	watches    map[net.Conn]bool
}

func newDiscovery(e *env, servers []*server) *discovery { return newDiscoveryAt(e, servers, 41) }

// newDiscoveryAt starts discovery with the version that its list has at first.
func newDiscoveryAt(e *env, servers []*server, generation int) *discovery {
	d := &discovery{env: e, generation: generation, first: generation, entries: map[string]instance{}, changed: map[string]int{},
		watches: map[net.Conn]bool{}}
	for i, s := range servers {
		d.entries[s.id] = instance{ID: s.id, Addr: s.addr, Zone: []string{"petrzalka", "trnava"}[i%2],
			Kind: []string{"fast-2", "mid-3", "slow-3"}[i%3], Cell: i, Lifecycle: "up", Weight: 1}
		d.changed[s.id] = generation
		d.order = append(d.order, s.id)
	}
	ln := listen()
	d.addr = ln.Addr().String()
	d.serve(ln)
	return d
}

// after returns what changed after a version.
func (d *discovery) after(generation int) list {
	l := list{Generation: d.generation, Instances: []instance{}}
	for _, id := range d.order {
		if d.changed[id] > generation {
			l.Instances = append(l.Instances, d.entries[id])
		}
	}
	return l
}

// whole returns the whole list, without what was removed.
func (d *discovery) whole() list {
	l := list{Generation: d.generation, Reset: true, Instances: []instance{}}
	for _, id := range d.order {
		if in := d.entries[id]; in.Lifecycle != "removed" {
			l.Instances = append(l.Instances, in)
		}
	}
	return l
}

// known returns the whole list for a configuration.
func (d *discovery) known() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole()
}

func (d *discovery) serve(ln net.Listener) {
	d.ln = ln
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go d.handle(c)
		}
	}()
}

func (d *discovery) handle(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	q := r.URL.Query()
	if turn := time.Duration(d.turn.Load()); turn > 0 {
		d.env.logf("discovery: a call waits for its turn")
		time.Sleep(turn)
	}
	d.mu.Lock()
	if q.Get("watch") != "1" {
		text, _ := json.Marshal(d.whole())
		d.env.logf("discovery: whole list asked for, version %d", d.generation)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		d.mu.Unlock()
		return
	}
	after, _ := strconv.Atoi(q.Get("after"))
	first := d.after(after)
	if after < d.first || after > d.generation { // a version that it doesn't know
		first = d.whole()
	}
	d.env.logf("discovery: watch after version %d opened, told version %d with %d entries", after, d.generation,
		len(first.Instances))
	text, _ := json.Marshal(first)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n%s", chunk(text))
	d.watches[c] = true
	d.mu.Unlock()
	for {
		time.Sleep(2 * time.Second)
		d.mu.Lock()
		open := d.watches[c]
		if open {
			_, err = c.Write([]byte("1\r\n\n\r\n"))
		}
		if !open || err != nil {
			delete(d.watches, c)
			d.mu.Unlock()
			return
		}
		d.mu.Unlock()
	}
}

func chunk(text []byte) []byte {
	return fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(text)+1, text)
}

// change makes a change and writes it to all watches. It returns when it was told, and to how many watches.
func (d *discovery) change(id string, edit func(*instance)) (told time.Time, watches int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	in := d.entries[id]
	edit(&in)
	d.entries[id] = in
	d.changed[id] = d.generation
	text, _ := json.Marshal(list{Generation: d.generation, Instances: []instance{in}})
	for c := range d.watches {
		if _, err := c.Write(chunk(text)); err == nil {
			watches++
		}
	}
	told = time.Now()
	d.env.logf("discovery: version %d written to %d watches: %s", d.generation, watches, text)
	return told, watches
}

// goDownLocked ends all watches and refuses connections, as a process that ends does.
func (d *discovery) goDownLocked() {
	d.ln.Close()
	for c := range d.watches {
		delete(d.watches, c)
		c.Close()
	}
	d.env.logf("discovery: down")
}
