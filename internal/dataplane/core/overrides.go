package core

import (
	"context"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/maintenance"
)

// ApplyOverride applies an operator's override of an endpoint, and returns once the override is in effect. It fails
// with maintenance.ErrUnknownEndpoint if the endpoint's ID was not listed recently, unless force is set.
func (l *EventLoop) ApplyOverride(ctx context.Context, override maintenance.Override, force bool) error {
	var rejected error
	if err := l.runUrgent(ctx, func(now balancer.Micros) {
		rejected = l.setOverride(now, override, force)
	}); err != nil {
		return err
	}
	return rejected
}

// setOverride begins or ends the administrative drain of an endpoint, if that changes anything.
func (l *EventLoop) setOverride(now balancer.Micros, override maintenance.Override, force bool) error {
	endpoint := l.endpointsByName[override.ID]
	_, drained := l.drainedNumbers[override.ID]
	if endpoint == nil && !drained && !force && !l.recentNames.has(override.ID) {
		return maintenance.ErrUnknownEndpoint
	}
	switch {
	case override.Drained && !drained:
		l.drainEndpoint(now, endpoint, override)
	case !override.Drained && (drained || force && endpoint != nil):
		l.undrainEndpoint(now, endpoint, override)
	}
	l.exportExcluded(now)
	return nil
}

// drainEndpoint begins the administrative drain of an endpoint, which is nil if it is not listed. The module stops
// choosing the endpoint for attempts; drainEndpoint keeps attempts that wait for a connection from being sent.
func (l *EventLoop) drainEndpoint(now balancer.Micros, endpoint *endpointState, override maintenance.Override) {
	var number uint32
	if endpoint == nil {
		l.lastEndpointNumber++
		number = l.lastEndpointNumber
	} else {
		number = endpoint.number
		endpoint.adminDrained = true
		endpoint.stopAt.Store(stoppedLongAgo)
		// This closes the idle connections, which will not be used, and attempts that wait for one find the target
		// closed.
		endpoint.target.Close()
		endpoint.target = l.upstream.Target(endpoint.addr)
	}
	l.drainedNumbers[override.ID] = number
	l.balancer.DrainEndpoint(now, number, min(now, override.UnixMicros))
}

// undrainEndpoint ends the administrative drain of an endpoint, which is nil if it is not listed. If the endpoint also
// drains by discovery, its stopAt stays stoppedLongAgo, as its grace period was over long ago.
func (l *EventLoop) undrainEndpoint(now balancer.Micros, endpoint *endpointState, override maintenance.Override) {
	number := l.drainedNumbers[override.ID]
	delete(l.drainedNumbers, override.ID)
	if endpoint != nil {
		number = endpoint.number
		endpoint.adminDrained = false
		l.setState(now, override.ID, endpoint, endpoint.state)
	}
	l.balancer.UndrainEndpoint(now, number, min(now, override.UnixMicros))
}

// maxRecentNames is the maximum number of names in a recentSet.
const maxRecentNames = 1024

// recentSet holds the names that were added last, so that operators may name an endpoint that has just left the list.
type recentSet struct {
	names map[string]struct{}
	order []string
}

func newRecentSet() recentSet { return recentSet{names: map[string]struct{}{}} }

func (s *recentSet) add(name string) {
	if s.has(name) {
		return
	}
	if len(s.order) == maxRecentNames {
		delete(s.names, s.order[0])
		s.order = s.order[1:]
	}
	s.names[name] = struct{}{}
	s.order = append(s.order, name)
}

func (s *recentSet) has(name string) bool {
	_, ok := s.names[name]
	return ok
}
