package core

import (
	"context"
	"fmt"
	"math"
	"net"
	"slices"
	"sync/atomic"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
)

const (
	// drainGraceMargin is the part of a drain's grace in microseconds that is left for the first byte to arrive.
	drainGraceMargin = 50_000
	// stoppedLongAgo is the instant endpoint.stopAt of one to which nothing may be sent at all.
	stoppedLongAgo = 1
)

// endpoint is an entry of discovery's list. Attempts read stopAt on their own goroutines; the rest belongs to the loop.
type endpoint struct {
	number       uint32 // by which the module knows it
	addr         string
	target       Target
	state        balancer.State
	entry        discovery.Instance // the latest one
	adminDrained bool
	stopAt       atomic.Int64 // nothing new is sent from this instant on; 0: no such instant

	drainedStartMs int64             // start of the process by the latest entry that does not drain
	reportedDrain  discovery.Process // that was reported to other daemons, until it drains no more
	peerStart      balancer.Micros   // by other daemons, where discovery has no starts; 0: not known
	startObserved  bool              // this sidecar observed the start
}

// process returns the process that the latest entry is about.
func (e *endpoint) process() discovery.Process {
	return discovery.Process{ID: e.entry.ID, Addr: e.addr, StartedMs: e.entry.StartedMs}
}

func (l *EventLoop) endpointName(number uint32) string {
	if e := l.byNumber[number]; e != nil {
		return e.entry.ID
	}
	return ""
}

// List returns the current list.
func (l *EventLoop) List(ctx context.Context) (discovery.List, error) {
	list := discovery.List{Reset: true}
	err := l.do(ctx, func(balancer.Micros) {
		for _, e := range l.byName {
			list.Instances = append(list.Instances, e.entry)
		}
	})
	return list, err
}

// WatchEvent applies a list that a watch received, unless the watch has ended by then.
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

// WatchFailed reports that a call of discovery failed.
func (l *EventLoop) WatchFailed() {
	l.post(func(now balancer.Micros) { l.balancer.UpdateEndpoints(now, balancer.ListFailed, nil) })
}

// applyList applies a list from discovery, and passes it on to the module with numbers in place of names.
func (l *EventLoop) applyList(now balancer.Micros, kind balancer.ListKind, list discovery.List) {
	entries := make([]balancer.Endpoint, 0, len(list.Instances))
	listed := map[string]bool{}
	var faults []string
	for _, in := range list.Instances {
		state, entryFaults, ok := checkEntry(in)
		faults = append(faults, entryFaults...)
		if !ok {
			continue
		}
		if listed[in.ID] {
			faults = append(faults, fmt.Sprintf("%q: listed twice, the latter counts", in.ID))
		}
		listed[in.ID] = true
		if entry, ok := l.applyEntry(now, in, state); ok {
			entries = append(entries, entry)
		}
	}
	l.starts.listReceived = l.starts.listReceived || kind == balancer.ListFull
	if kind != balancer.ListDelta {
		l.removeUnlisted(now, listed)
	}
	if len(faults) > 0 { // one line for a list, however many they are
		l.log.Warn("endpoint list with invalid entries", "generation", list.Generation, "invalid", len(faults),
			"first", faults[0])
	}
	l.balancer.UpdateEndpoints(now, kind, entries)
	l.metrics.Endpoints.Set(int64(len(l.byName)))
	l.exportExcluded(now)
	l.updateReady()
}

// checkEntry returns the state that an entry asks for and what is wrong with it. An entry that is not ok is ignored. A
// drain applies whatever its address is.
func checkEntry(in discovery.Instance) (state balancer.State, faults []string, ok bool) {
	state, known := discovery.LifecycleStates[in.Lifecycle]
	if !known {
		state = balancer.Draining
		faults = append(faults, fmt.Sprintf("%q: unknown lifecycle %q, taken as draining", in.ID, in.Lifecycle))
	}
	_, _, err := net.SplitHostPort(in.Addr)
	if in.ID == "" || err != nil && state == balancer.Ready {
		fault := fmt.Sprintf("%q: ignored, no ID or no valid address in %q", in.ID, in.Addr)
		return state, append(faults, fault), false
	}
	return state, faults, true
}

// applyEntry applies one entry, and returns it for the module. It is not ok for the removal of an unknown endpoint.
func (l *EventLoop) applyEntry(now balancer.Micros, in discovery.Instance, state balancer.State) (
	entry balancer.Endpoint, ok bool) {
	e := l.byName[in.ID]
	isNew := e == nil
	if isNew && state == balancer.Removed {
		return balancer.Endpoint{}, false
	}
	if isNew {
		e = l.addEndpoint(in)
	}
	if in.Addr != "" && in.Addr != e.addr {
		e.target.Close()
		e.addr, e.target = in.Addr, l.upstream.Target(in.Addr)
		e.peerStart, isNew = 0, true // another process
	}
	startedBefore := e.entry.StartedMs
	e.entry = in
	startTime := in.StartedMs * microsPerMilli
	if l.starts.report != nil {
		startTime = l.startTime(now, e, isNew, startedBefore)
	}
	if l.drains.report != nil {
		state = l.drainState(e, state)
	}
	l.setState(now, in.ID, e, state)
	return balancer.Endpoint{
		ID:        e.number,
		Zone:      settingsIndex(l.config.Zones, in.Zone),
		Kind:      settingsIndex(l.config.Kinds, in.Kind),
		Cell:      in.Cell,
		State:     state,
		Weight:    in.Weight,
		StartTime: startTime,
	}, true
}

// addEndpoint adds an endpoint, which keeps the number by which operators drained it.
func (l *EventLoop) addEndpoint(in discovery.Instance) *endpoint {
	number, drained := l.adminDrained[in.ID]
	if !drained {
		l.lastNumber++
		number = l.lastNumber
	}
	e := &endpoint{number: number, adminDrained: drained, addr: in.Addr, target: l.upstream.Target(in.Addr)}
	l.byName[in.ID], l.byNumber[e.number] = e, e
	l.recentNames.add(in.ID)
	return e
}

// removeUnlisted removes the endpoints that a complete list does not have, even if they still answer.
func (l *EventLoop) removeUnlisted(now balancer.Micros, listed map[string]bool) {
	for name, e := range l.byName {
		if !listed[name] {
			l.setState(now, name, e, balancer.Removed)
		}
	}
}

// updateReady makes the process ready once an endpoint is known to serve, by whichever list, also the configured one.
// It does not wait for an answer of discovery or a server, so that a restarted process is ready soon.
func (l *EventLoop) updateReady() {
	for _, e := range l.byName {
		if e.state == balancer.Ready {
			l.ready.Store(true)
			return
		}
	}
}

// setState notes from when on nothing new may be sent to an endpoint. The module stops at once; this is for attempts
// that are waiting for a connection.
func (l *EventLoop) setState(now balancer.Micros, name string, e *endpoint, state balancer.State) {
	switch {
	case e.adminDrained:
		e.stopAt.Store(stoppedLongAgo)
	case state == balancer.Ready:
		e.stopAt.Store(0)
	case e.state == balancer.Ready:
		e.stopAt.Store(max(stoppedLongAgo, now+l.config.Settings.Contract.DrainGrace-drainGraceMargin))
	}
	e.state = state
	if state != balancer.Removed {
		return
	}
	if l.drains.report != nil {
		l.drainState(e, state)
	}
	e.target.Close()
	delete(l.byName, name)
	delete(l.byNumber, e.number)
}

// settingsIndex returns the index of a name in the settings, or one past all indices.
func settingsIndex(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 {
		return uint8(i)
	}
	return math.MaxUint8
}
