package rig

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"birchmoor/internal/lab/address"
	"birchmoor/internal/lab/model"
	"birchmoor/internal/lab/trace"
)

const quietLine = 2 * time.Second // an empty line comes this often on a watch while nothing changes

// list and instance are discovery's form on the sockets.
type list struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

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

// list puts discovery's word as this sidecar is told it.
func (r *rig) list(sidecar int, u model.Update) list {
	l := list{Generation: u.Generation, Reset: u.Reset, Instances: []instance{}}
	for _, e := range u.Entries {
		s := r.w.Servers[e.Server]
		x := instance{ID: s.Name, Addr: r.slots[e.Server].addrs[sidecar], Zone: r.s.Fleet.Zones[s.Zone],
			Kind: s.Spec.Kind, Cell: s.Cell, Weight: 1, Lifecycle: "up"}
		switch e.State {
		case trace.Draining:
			x.Lifecycle = "draining"
		case trace.Removed:
			x.Lifecycle = "removed"
		}
		if e.Started > 0 {
			x.StartedMs = r.q.StartTime().Add(time.Duration(e.Started) * time.Microsecond).UnixMilli()
		}
		l.Instances = append(l.Instances, x)
	}
	return l
}

// word is what goes out on a watch.
type word struct {
	u    model.Update
	told model.UpdateSent
	end  bool
}

const wordsMost = 256 // that a watch may be behind

// desk answers one sidecar's calls of discovery.
type desk struct {
	r       *rig
	sidecar int
	ln      net.Listener
	server  *http.Server
	watch   chan word // of the open watch; nil for none. It belongs to the queue's goroutine
}

func newDesk(r *rig, sidecar int) (*desk, error) {
	ln, err := address.Listen()
	if err != nil {
		return nil, err
	}
	d := &desk{r: r, sidecar: sidecar, ln: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.targets)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	r.wg.Go(func() { d.server.Serve(ln) })
	return d, nil
}

func (d *desk) targets(w http.ResponseWriter, q *http.Request) {
	r := d.r
	keep := q.URL.Query().Get("watch") == "1"
	after, _ := strconv.ParseInt(q.URL.Query().Get("after"), 10, 64)
	if !keep {
		after = 0
	}
	words := make(chan word, wordsMost)
	first := make(chan list, 1)
	failed := make(chan struct{}, 1)
	r.post(func() {
		r.w.Discovery.Call(d.sidecar, after, keep, func(u model.Update, ok bool) {
			if !ok {
				failed <- struct{}{}
				return
			}
			if keep {
				if d.watch != nil {
					close(d.watch) // a new watch takes the place of the old
				}
				d.watch = words
			}
			first <- r.list(d.sidecar, u)
		})
	})
	defer r.post(func() {
		if d.watch == words {
			d.watch = nil
			r.w.Discovery.Unwatch(d.sidecar)
		}
	})
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	select {
	case l := <-first:
		w.Header().Set("Content-Type", "application/json")
		if out.Encode(l) != nil || flush.Flush() != nil || !keep {
			return
		}
	case <-failed:
		http.Error(w, "discovery is busy", http.StatusServiceUnavailable)
		return
	case <-q.Context().Done():
		return
	case <-r.ctx.Done():
		return
	}
	quiet := time.NewTicker(quietLine)
	defer quiet.Stop()
	for {
		select {
		case word, open := <-words:
			if !open || word.end {
				panic(http.ErrAbortHandler) // the watch ends in the middle of its answer
			}
			if out.Encode(r.list(d.sidecar, word.u)) != nil || flush.Flush() != nil {
				return
			}
			r.post(word.told)
		case <-quiet.C:
			if _, err := io.WriteString(w, "\n"); err != nil || flush.Flush() != nil {
				return
			}
		case <-q.Context().Done():
			return
		case <-r.ctx.Done():
			return
		}
	}
}

// say sends a word on the open watch; it is called on the queue's goroutine.
func (d *desk) say(x word) {
	if d.watch == nil {
		return
	}
	select {
	case d.watch <- x:
	default:
		close(d.watch) // it does not read: the watch ends, and the next one tells it all
		d.watch = nil
	}
	if x.end {
		d.watch = nil
	}
}
