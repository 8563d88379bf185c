package core

import (
	"context"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/maintenance"
)

// ApplyOverride applies an operator's override of an endpoint, and returns once it is in effect.
// maintenance.ErrUnknownEndpoint says that its ID was not listed lately; with force that is no error.
func (l *EventLoop) ApplyOverride(ctx context.Context, o maintenance.Override, force bool) error {
	var rejected error
	if err := l.do(ctx, func(now balancer.Micros) { rejected = l.setOverride(now, o, force) }); err != nil {
		return err
	}
	return rejected
}

// setOverride drains an endpoint or ends that.
func (l *EventLoop) setOverride(now balancer.Micros, o maintenance.Override, force bool) error {
	e := l.byName[o.ID]
	_, drained := l.adminDrained[o.ID]
	if e == nil && !drained && !force && !l.recentNames.has(o.ID) {
		return maintenance.ErrUnknownEndpoint
	}
	switch {
	case o.Drained && !drained:
		l.drainEndpoint(now, e, o)
	case !o.Drained && (drained || force && e != nil):
		l.undrainEndpoint(now, e, o)
	}
	l.exportExcluded(now)
	return nil
}

// drainEndpoint drains an endpoint, which is nil if it is not listed. The module holds the drain; here attempts that
// wait for a connection are kept from being sent.
func (l *EventLoop) drainEndpoint(now balancer.Micros, e *endpoint, o maintenance.Override) {
	var number uint32
	if e == nil {
		l.lastNumber++
		number = l.lastNumber
	} else {
		number = e.number
		e.adminDrained = true
		e.stopAt.Store(stoppedLongAgo)
		// Idle connections will not be used, and attempts that wait for a new one find the target closed.
		e.target.Close()
		e.target = l.upstream.Target(e.addr)
	}
	l.adminDrained[o.ID] = number
	l.balancer.DrainEndpoint(now, number, min(now, o.UnixMicros))
}

// undrainEndpoint ends the drain of an endpoint, which is nil if it is not listed. One that drains by discovery too
// stays stopped, since its grace was over long ago.
func (l *EventLoop) undrainEndpoint(now balancer.Micros, e *endpoint, o maintenance.Override) {
	number := l.adminDrained[o.ID]
	delete(l.adminDrained, o.ID)
	if e != nil {
		number = e.number
		e.adminDrained = false
		l.setState(now, o.ID, e, e.state)
	}
	l.balancer.UndrainEndpoint(now, number, min(now, o.UnixMicros))
}

// maxRecentNames bounds a recentSet.
const maxRecentNames = 1024

// recentSet is a bounded set of names: operators may name an endpoint that has just left the list.
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
