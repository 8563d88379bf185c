package core

import (
	"context"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/dataplane/maintenance"
)

// call runs a function of the loop's ahead of all that requests bring, and returns once it has run.
func (l *Loop) call(ctx context.Context, do func(now balancer.Micros)) error {
	done := make(chan struct{})
	select {
	case l.urgent <- func(now balancer.Micros) { do(now); close(done) }:
		<-done
		return nil
	case <-l.over:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// List returns the list as it is held now.
func (l *Loop) List(ctx context.Context) (discovery.List, error) {
	held := discovery.List{Reset: true}
	err := l.call(ctx, func(balancer.Micros) {
		for _, e := range l.byName {
			held.Instances = append(held.Instances, e.told)
		}
	})
	return held, err
}

// gaugeEvery is how old a gauge that only the loop can read may get.
const gaugeEvery = 100 * time.Millisecond

// gauge shows how many endpoints are avoided, again and again.
func (l *Loop) gauge(now balancer.Micros) {
	l.figures.Unhealthy.Set(int64(l.balancer.ExcludedCount(now)))
	l.ejections(now)
	l.at(now+gaugeEvery.Microseconds(), l.gauge)
}

// Mark makes what operators said of an endpoint bind, and returns once it does. With force, an ID that was
// never listed is taken, too.
func (l *Loop) Mark(ctx context.Context, m maintenance.Override, force bool) error {
	var answer error
	if err := l.call(ctx, func(now balancer.Micros) { answer = l.setMark(now, m, force) }); err != nil {
		return err
	}
	return answer
}

// setMark bans an endpoint or ends that. The module holds the ban; here what waits for a connection is kept in.
func (l *Loop) setMark(now balancer.Micros, m maintenance.Override, force bool) error {
	e := l.byName[m.ID]
	number, banned := l.bans[m.ID]
	switch {
	case e == nil && !banned && !force && !l.met.has(m.ID):
		return maintenance.ErrUnknownEndpoint
	case m.Drained && !banned:
		if e != nil {
			number = e.number
			e.banned = true
			e.stopAt.Store(1)
			// Its idle connections will not be used, and whatever waits for a new one finds the target gone.
			e.to.Drop()
			e.to = l.upstream.Target(e.addr)
		} else {
			l.numbers++
			number = l.numbers
		}
		l.bans[m.ID] = number
		l.balancer.DrainEndpoint(now, number, min(now, m.UnixMicros))
	case !m.Drained && (banned || force && e != nil):
		delete(l.bans, m.ID)
		if e != nil {
			number = e.number
			e.banned = false
			l.setState(now, m.ID, e, e.state) // one that drains stays shut: its grace was over long ago
		}
		l.balancer.UndrainEndpoint(now, number, min(now, m.UnixMicros))
	}
	l.figures.Unhealthy.Set(int64(l.balancer.ExcludedCount(now)))
	return nil
}

// recent is a bounded set of names: operators may name an endpoint that has just left the list.
type recent struct {
	names map[string]struct{}
	order []string
}

const recentMost = 1024

func (r *recent) add(name string) {
	if r.has(name) {
		return
	}
	if len(r.order) == recentMost {
		delete(r.names, r.order[0])
		r.order = r.order[1:]
	}
	r.names[name] = struct{}{}
	r.order = append(r.order, name)
}

func (r *recent) has(name string) bool {
	_, ok := r.names[name]
	return ok
}
