// Package discovery gets the list of endpoints from discovery, and watches its changes. It may import balancer.
package discovery

import (
	"slices"

	"birchmoor/balancer"
)

// List is discovery's form of the list of endpoints, or of what changed in it.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // the list is complete
	Instances  []Instance `json:"instances"`
}

// Instance is an entry of a List.
type Instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      uint16  `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float32 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
	Protocol  string  `json:"protocol,omitempty"` // empty: HTTP
}

// lifecycleRemoved is the lifecycle of an endpoint that is no longer there.
const lifecycleRemoved = "removed"

// LifecycleStates maps lifecycles to states. An unknown lifecycle has none: its endpoint gets nothing new.
var LifecycleStates = map[string]balancer.State{
	"up":             balancer.Ready,
	"draining":       balancer.Draining,
	lifecycleRemoved: balancer.Removed,
}

// Process identifies one process of an endpoint: after a restart, or at another address, it is another.
type Process struct {
	ID, Addr  string
	StartedMs int64
}

// ForProtocol returns the list as it concerns one protocol. In a list of changes, an entry of another protocol says
// that the endpoint, if it was known, is no longer there.
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
