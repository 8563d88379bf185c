package core

import (
	"context"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/dataplane/maintenance"
)

// do runs a function of the loop's ahead of all that requests bring, and returns once it has run.
func (l *EventLoop) do(ctx context.Context, do func(now balancer.Micros)) error {
	done := make(chan struct{})
	select {
	case l.urgent <- func(now balancer.Micros) { do(now); close(done) }:
		<-done
		return nil
	case <-l.done:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// List returns the list as it is held now.
func (l *EventLoop) List(ctx context.Context) (discovery.List, error) {
	held := discovery.List{Reset: true}
	err := l.do(ctx, func(balancer.Micros) {
		for _, e := range l.byName {
			held.Instances = append(held.Instances, e.entry)
		}
	})
	return held, err
}

// gaugeInterval is how old a gauge that only the loop can read may get.
const gaugeInterval = 100 * time.Millisecond

// updateGauges shows how many endpoints are avoided, again and again.
func (l *EventLoop) updateGauges(now balancer.Micros) {
	l.metrics.UnhealthyEndpoints.Set(int64(l.balancer.ExcludedCount(now)))
	l.reportEjections(now)
	l.setTimer(now+gaugeInterval.Microseconds(), l.updateGauges)
}

// ApplyOverride makes what operators said of an endpoint bind, and returns once it does. With force, an ID that was
// never listed is taken, too.
func (l *EventLoop) ApplyOverride(ctx context.Context, m maintenance.Override, force bool) error {
	var answer error
	if err := l.do(ctx, func(now balancer.Micros) { answer = l.setOverride(now, m, force) }); err != nil {
		return err
	}
	return answer
}

// setOverride bans an endpoint or ends that. The module holds the ban; here what waits for a connection is kept in.
func (l *EventLoop) setOverride(now balancer.Micros, m maintenance.Override, force bool) error {
	e := l.byName[m.ID]
	number, banned := l.adminDrained[m.ID]
	switch {
	case e == nil && !banned && !force && !l.recentNames.has(m.ID):
		return maintenance.ErrUnknownEndpoint
	case m.Drained && !banned:
		if e != nil {
			number = e.number
			e.adminDrained = true
			e.stopAt.Store(1)
			// Its idle connections will not be used, and whatever waits for a new one finds the target gone.
			e.target.Close()
			e.target = l.upstream.Target(e.addr)
		} else {
			l.lastNumber++
			number = l.lastNumber
		}
		l.adminDrained[m.ID] = number
		l.balancer.DrainEndpoint(now, number, min(now, m.UnixMicros))
	case !m.Drained && (banned || force && e != nil):
		delete(l.adminDrained, m.ID)
		if e != nil {
			number = e.number
			e.adminDrained = false
			l.setState(now, m.ID, e, e.state) // one that drains stays shut: its grace was over long ago
		}
		l.balancer.UndrainEndpoint(now, number, min(now, m.UnixMicros))
	}
	l.metrics.UnhealthyEndpoints.Set(int64(l.balancer.ExcludedCount(now)))
	return nil
}

// recentSet is a bounded set of names: operators may name an endpoint that has just left the list.
type recentSet struct {
	names map[string]struct{}
	order []string
}

const maxRecentNames = 1024

func (r *recentSet) add(name string) {
	if r.has(name) {
		return
	}
	if len(r.order) == maxRecentNames {
		delete(r.names, r.order[0])
		r.order = r.order[1:]
	}
	r.names[name] = struct{}{}
	r.order = append(r.order, name)
}

func (r *recentSet) has(name string) bool {
	_, ok := r.names[name]
	return ok
}
