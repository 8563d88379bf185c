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

// keepaliveInterval is how often an empty line is sent on a watch without changes.
const keepaliveInterval = 2 * time.Second

// instanceList is an endpoint list, or a change of one, in the format of discovery.
type instanceList struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// instance is an endpoint in the format of discovery.
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

// discoveryList converts an update of the model to the list that one sidecar receives, with the addresses of the links
// from that sidecar to the servers.
func (r *rig) discoveryList(sidecar int, update model.Update) instanceList {
	list := instanceList{Generation: update.Generation, Reset: update.Reset, Instances: []instance{}}
	for _, entry := range update.Entries {
		server := r.world.Servers[entry.Server]
		listed := instance{
			ID:        server.Name,
			Addr:      r.servers[entry.Server].addrs[sidecar],
			Zone:      r.scenario.Fleet.Zones[server.Zone],
			Kind:      server.Spec.Kind,
			Cell:      server.Cell,
			Weight:    1,
			Lifecycle: "up",
		}
		switch entry.State {
		case trace.Draining:
			listed.Lifecycle = "draining"
		case trace.Removed:
			listed.Lifecycle = "removed"
		}
		if entry.Started > 0 {
			listed.StartedMs = r.queue.StartTime().Add(time.Duration(entry.Started) * time.Microsecond).UnixMilli()
		}
		list.Instances = append(list.Instances, listed)
	}
	return list
}

// watchEvent is an update to send on a watch, or the end of the watch.
type watchEvent struct {
	update    model.Update
	onSent    model.UpdateSent // called on the queue's goroutine once the update has been sent
	endsWatch bool
}

// maxQueuedEvents is the maximum number of unsent events of a watch. A watch that has more is ended.
const maxQueuedEvents = 256

// discoveryServer serves the polls and watches of one sidecar.
type discoveryServer struct {
	rig      *rig
	sidecar  int
	listener net.Listener
	server   *http.Server
	watch    chan watchEvent // of the open watch, or nil; used only on the queue's goroutine
}

func newDiscoveryServer(r *rig, sidecar int) (*discoveryServer, error) {
	listener, err := address.Listen()
	if err != nil {
		return nil, err
	}
	d := &discoveryServer{rig: r, sidecar: sidecar, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.serveTargets)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	r.wg.Go(func() { d.server.Serve(listener) })
	return d, nil
}

// serveTargets serves a poll, or a watch until either side ends it.
func (d *discoveryServer) serveTargets(w http.ResponseWriter, request *http.Request) {
	r := d.rig
	isWatch := request.URL.Query().Get("watch") == "1"
	afterGeneration, _ := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
	if !isWatch {
		afterGeneration = 0
	}
	events := make(chan watchEvent, maxQueuedEvents)
	firstList := make(chan instanceList, 1)
	failed := make(chan struct{}, 1)
	r.post(func() {
		r.world.Discovery.Call(d.sidecar, afterGeneration, isWatch, func(update model.Update, ok bool) {
			if !ok {
				failed <- struct{}{}
				return
			}
			if isWatch {
				if d.watch != nil {
					close(d.watch) // a new watch replaces the open one
				}
				d.watch = events
			}
			firstList <- r.discoveryList(d.sidecar, update)
		})
	})
	defer r.post(func() {
		if d.watch == events {
			d.watch = nil
			r.world.Discovery.Unwatch(d.sidecar)
		}
	})
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	select {
	case list := <-firstList:
		w.Header().Set("Content-Type", "application/json")
		if encoder.Encode(list) != nil || controller.Flush() != nil || !isWatch {
			return
		}
	case <-failed:
		http.Error(w, "discovery is busy", http.StatusServiceUnavailable)
		return
	case <-request.Context().Done():
		return
	case <-r.ctx.Done():
		return
	}
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	for {
		select {
		case event, open := <-events:
			if !open || event.endsWatch {
				panic(http.ErrAbortHandler) // closes the connection in the middle of the response
			}
			if encoder.Encode(r.discoveryList(d.sidecar, event.update)) != nil || controller.Flush() != nil {
				return
			}
			r.post(event.onSent)
		case <-keepalive.C:
			if _, err := io.WriteString(w, "\n"); err != nil || controller.Flush() != nil {
				return
			}
		case <-request.Context().Done():
			return
		case <-r.ctx.Done():
			return
		}
	}
}

// sendEvent sends an event on the open watch, if there is one. It must be called on the queue's goroutine.
func (d *discoveryServer) sendEvent(event watchEvent) {
	if d.watch == nil {
		return
	}
	select {
	case d.watch <- event:
	default:
		close(d.watch) // the sidecar does not read; its next watch begins with the whole list
		d.watch = nil
	}
	if event.endsWatch {
		d.watch = nil
	}
}
