// Package discovery fetches the endpoint list from the discovery service and watches it for changes. It may import
// balancer.
package discovery

import (
	"slices"

	"birchmoor/balancer"
)

// List is an endpoint list as discovery sends it: either a complete one, or the changes since the previous
// generation.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // whether the list is complete; false: it has only the changed entries
	Instances  []Instance `json:"instances"`
}

// Instance is one endpoint in a List.
type Instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      uint16  `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float32 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
	Protocol  string  `json:"protocol,omitempty"` // empty for HTTP
}

// lifecycleRemoved is the lifecycle of an endpoint that has left the endpoint list.
const lifecycleRemoved = "removed"

// LifecycleStates maps discovery's lifecycles to the balancer's states. An endpoint whose lifecycle is not in the map
// gets no new requests.
var LifecycleStates = map[string]balancer.State{
	"up":             balancer.Ready,
	"draining":       balancer.Draining,
	lifecycleRemoved: balancer.Removed,
}

// Process identifies one server process of an endpoint. An endpoint that restarts or changes its address is a
// different process with the same ID.
type Process struct {
	ID, Addr  string
	StartedMs int64
}

// ForProtocol returns the list for the endpoints of one protocol. In a list of changes, an entry of another protocol
// becomes a removal, because the endpoint may have served this protocol before.
func (l List) ForProtocol(protocol string) List {
	foreign := func(in Instance) bool { return in.Protocol != protocol }
	if !slices.ContainsFunc(l.Instances, foreign) {
		return l
	}
	instances := make([]Instance, 0, len(l.Instances))
	for _, in := range l.Instances {
		switch {
		case !foreign(in):
			instances = append(instances, in)
		case !l.Reset:
			instances = append(instances, Instance{ID: in.ID, Lifecycle: lifecycleRemoved})
		}
	}
	l.Instances = instances
	return l
}
