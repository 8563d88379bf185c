package core

import (
	"context"
	"fmt"
	"math"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
)

const (
	// drainGraceMarginMicros is the part of a drain's grace period that is kept for the first byte to arrive.
	drainGraceMarginMicros = 50_000
	// stoppedLongAgo is the value of endpointState.stopAt if nothing may be sent to the endpoint any more.
	stoppedLongAgo = 1
)

// endpointState is an endpoint of discovery's list. Attempts read stopAt on their own goroutines; only the loop's
// goroutine accesses the other fields.
type endpointState struct {
	number       uint32 // identifies the endpoint to the decision module
	addr         string
	target       Target
	state        balancer.State
	entry        discovery.Instance // the latest entry
	adminDrained bool
	stopAt       atomic.Int64 // no first byte is sent from this time on, on the loop's clock; 0 for no such time

	startMsBeforeDrain int64             // start of the process in the latest entry that does not drain
	reportedDrain      discovery.Process // drain that was reported to other daemons; zero once its end was reported too
	peerStartTime      balancer.Micros   // start by other daemons' reports, if discovery has no starts; 0 if unknown
	startObserved      bool              // whether this sidecar observed the start, where discovery has no starts
}

// process returns the process that the latest entry describes.
func (e *endpointState) process() discovery.Process {
	return discovery.Process{ID: e.entry.ID, Addr: e.addr, StartedMs: e.entry.StartedMs}
}

// endpointName returns the name of an endpoint by its number, or "" if it is not listed.
func (l *EventLoop) endpointName(number uint32) string {
	if endpoint := l.endpointsByNumber[number]; endpoint != nil {
		return endpoint.entry.ID
	}
	return ""
}

// List returns the latest entries of all listed endpoints.
func (l *EventLoop) List(ctx context.Context) (discovery.List, error) {
	list := discovery.List{Reset: true}
	err := l.runUrgent(ctx, func(balancer.Micros) {
		for _, endpoint := range l.endpointsByName {
			list.Instances = append(list.Instances, endpoint.entry)
		}
	})
	return list, err
}

// WatchEvent applies an endpoint list that a watch of discovery received, unless the watch's context has ended by the
// time at which the loop handles the list.
func (l *EventLoop) WatchEvent(watch context.Context, list discovery.List) {
	kind := balancer.ListDelta
	if list.Reset {
		kind = balancer.ListFull
	}
	l.post(func(now balancer.Micros) {
		if watch.Err() == nil {
			l.applyList(now, kind, list)
		}
	})
}

// WatchFailed tells the decision module that a call of discovery failed.
func (l *EventLoop) WatchFailed() {
	l.post(func(now balancer.Micros) { l.balancer.UpdateEndpoints(now, balancer.ListFailed, nil) })
}

// applyList applies a list from discovery, and passes it on to the module, which knows endpoints by number.
func (l *EventLoop) applyList(now balancer.Micros, kind balancer.ListKind, list discovery.List) {
	entries := make([]balancer.Endpoint, 0, len(list.Instances))
	listed := map[string]bool{}
	var faults []string
	for _, instance := range list.Instances {
		state, entryFaults, ok := checkEntry(instance)
		faults = append(faults, entryFaults...)
		if !ok {
			continue
		}
		if listed[instance.ID] {
			faults = append(faults, fmt.Sprintf("%q: listed twice, the later entry applies", instance.ID))
		}
		listed[instance.ID] = true
		if entry, ok := l.applyEntry(now, instance, state); ok {
			entries = append(entries, entry)
		}
	}
	l.starts.listReceived = l.starts.listReceived || kind == balancer.ListFull
	if kind != balancer.ListDelta {
		l.removeUnlisted(now, listed)
	}
	if len(faults) > 0 { // one log line for each list
		l.log.Warn("endpoint list with invalid entries", "generation", list.Generation, "invalid", len(faults),
			"first", faults[0])
	}
	l.balancer.UpdateEndpoints(now, kind, entries)
	l.metrics.Endpoints.Set(int64(len(l.endpointsByName)))
	l.exportExcluded(now)
	l.updateReady()
}

// checkEntry returns the state that an entry describes and the faults of the entry. If ok is false the entry must be
// ignored. A drain or a removal applies even without a valid address.
func checkEntry(instance discovery.Instance) (state balancer.State, faults []string, ok bool) {
	state, known := discovery.LifecycleStates[instance.Lifecycle]
	if !known {
		state = balancer.Draining
		faults = append(faults, fmt.Sprintf("%q: unknown lifecycle %q, treated as draining", instance.ID,
			instance.Lifecycle))
	}
	_, _, err := net.SplitHostPort(instance.Addr)
	if instance.ID == "" || err != nil && state == balancer.Ready {
		fault := fmt.Sprintf("%q: entry ignored: its ID is empty or its address %q is invalid", instance.ID,
			instance.Addr)
		return state, append(faults, fault), false
	}
	return state, faults, true
}

// applyEntry applies one entry, and returns the entry for the module. ok is false for the removal of an unknown
// endpoint, which the module need not know.
func (l *EventLoop) applyEntry(now balancer.Micros, instance discovery.Instance, state balancer.State) (
	entry balancer.Endpoint, ok bool) {
	endpoint := l.endpointsByName[instance.ID]
	isNew := endpoint == nil
	if isNew && state == balancer.Removed {
		return balancer.Endpoint{}, false
	}
	if isNew {
		endpoint = l.addEndpoint(instance)
	}
	if instance.Addr != "" && instance.Addr != endpoint.addr {
		endpoint.target.Close()
		endpoint.addr, endpoint.target = instance.Addr, l.upstream.Target(instance.Addr)
		endpoint.peerStartTime, isNew = 0, true // a new address means another process
	}
	previousStartMs := endpoint.entry.StartedMs
	if !isNew && instance.StartedMs > previousStartMs {
		endpoint.target.CloseUnusedSince(time.Now()) // idle connections lead to the process before
	}
	endpoint.entry = instance
	startTime := instance.StartedMs * microsPerMilli
	if l.starts.report != nil {
		startTime = l.startTime(now, endpoint, isNew, previousStartMs)
	}
	if l.drains.report != nil {
		state = l.drainState(endpoint, state)
	}
	l.setState(now, instance.ID, endpoint, state)
	return balancer.Endpoint{
		ID:        endpoint.number,
		Zone:      settingsIndex(l.config.Zones, instance.Zone),
		Kind:      settingsIndex(l.config.Kinds, instance.Kind),
		Cell:      instance.Cell,
		State:     state,
		Weight:    instance.Weight,
		StartTime: startTime,
	}, true
}

// addEndpoint adds an endpoint. If operators have drained its name, it gets the number under which the module knows the
// drain.
func (l *EventLoop) addEndpoint(instance discovery.Instance) *endpointState {
	number, drained := l.drainedNumbers[instance.ID]
	if !drained {
		l.lastEndpointNumber++
		number = l.lastEndpointNumber
	}
	endpoint := &endpointState{
		number:       number,
		adminDrained: drained,
		addr:         instance.Addr,
		target:       l.upstream.Target(instance.Addr),
	}
	l.endpointsByName[instance.ID], l.endpointsByNumber[endpoint.number] = endpoint, endpoint
	l.recentNames.add(instance.ID)
	return endpoint
}

// removeUnlisted removes the endpoints that are missing from a complete list, even if they still answer.
func (l *EventLoop) removeUnlisted(now balancer.Micros, listed map[string]bool) {
	for name, endpoint := range l.endpointsByName {
		if !listed[name] {
			l.setState(now, name, endpoint, balancer.Removed)
		}
	}
}

// updateReady makes the process ready once any list, including the configured one, has a ready endpoint. It does not
// wait for an answer of discovery or of a server, so that a restarted process is ready soon.
func (l *EventLoop) updateReady() {
	for _, endpoint := range l.endpointsByName {
		if endpoint.state == balancer.Ready {
			l.ready.Store(true)
			return
		}
	}
}

// setState sets the state of an endpoint and, unless it is ready, the time from which on nothing new may be sent to it.
// The module chooses the endpoint for no further attempts at once; the time applies to attempts that are waiting for a
// connection. A removed endpoint is deleted.
func (l *EventLoop) setState(now balancer.Micros, name string, endpoint *endpointState, state balancer.State) {
	switch {
	case endpoint.adminDrained:
		endpoint.stopAt.Store(stoppedLongAgo)
	case state == balancer.Ready:
		endpoint.stopAt.Store(0)
	case endpoint.state == balancer.Ready:
		endpoint.stopAt.Store(max(stoppedLongAgo, now+l.config.Settings.Contract.DrainGrace-drainGraceMarginMicros))
	}
	endpoint.state = state
	if state != balancer.Removed {
		return
	}
	if l.drains.report != nil {
		l.drainState(endpoint, state)
	}
	endpoint.target.Close()
	delete(l.endpointsByName, name)
	delete(l.endpointsByNumber, endpoint.number)
}

// settingsIndex returns the index of a name in a list of the settings, or math.MaxUint8 if the list lacks it.
func settingsIndex(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 {
		return uint8(i)
	}
	return math.MaxUint8
}
