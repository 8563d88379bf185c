package core

import (
	"cmp"
	"context"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
)

const lifecycleDraining = "draining" // of an entry of discovery's list

// drainExchange is what daemons report to each other of draining processes.
type drainExchange struct {
	report      func(p discovery.Process, drains bool) // nil where there is no exchange
	draining    map[discovery.Process]bool             // by other daemons
	latestStart map[serverAddr]int64                   // of those, in milliseconds
}

// ShareDrains starts the exchange of drains with other daemons. report is called with what this sidecar's discovery
// says and must not block; known are the processes that drain already. It is called before Run.
func (l *EventLoop) ShareDrains(known []discovery.Process, report func(p discovery.Process, drains bool)) {
	l.drains = drainExchange{
		report:      report,
		draining:    map[discovery.Process]bool{},
		latestStart: map[serverAddr]int64{},
	}
	for _, p := range known {
		l.drains.apply(p, true)
	}
}

// ApplyDrain applies another daemon's report on a process, and returns once it is in effect. A report that the process
// drains no more has no effect while this sidecar's own discovery says that it does.
func (l *EventLoop) ApplyDrain(ctx context.Context, p discovery.Process, drains bool) error {
	return l.do(ctx, func(now balancer.Micros) {
		l.drains.apply(p, drains)
		l.reapplyEntry(now, p)
	})
}

// reapplyEntry applies the latest entry of a process's server again, after other daemons reported something of it.
func (l *EventLoop) reapplyEntry(now balancer.Micros, p discovery.Process) {
	if e := l.byName[p.ID]; e != nil && e.addr == p.Addr {
		l.applyList(now, balancer.ListDelta, discovery.List{Instances: []discovery.Instance{e.entry}})
	}
}

func (d *drainExchange) apply(p discovery.Process, drains bool) {
	at := serverAddr{p.ID, p.Addr}
	if drains {
		d.draining[p] = true
		d.latestStart[at] = max(d.latestStart[at], p.StartedMs)
		return
	}
	delete(d.draining, p)
	delete(d.latestStart, at)
	for other := range d.draining {
		if (serverAddr{other.ID, other.Addr}) == at {
			d.latestStart[at] = max(d.latestStart[at], other.StartedMs)
		}
	}
}

// drainState reports to other daemons what the latest entry says of a drain, and returns the state that applies here.
// The entry of a drain may lack everything else; it is then about the process of the entry before.
func (l *EventLoop) drainState(e *endpoint, state balancer.State) balancer.State {
	p := e.process()
	drainListed := e.entry.Lifecycle == lifecycleDraining
	if drainListed && state != balancer.Removed {
		p.StartedMs = cmp.Or(p.StartedMs, e.drainedStartMs)
	} else {
		e.drainedStartMs = e.entry.StartedMs
	}
	l.reportDrain(e, p, drainListed && state == balancer.Draining)
	// Other daemons may know of a later process than this sidecar's list. That one is reached at the address, so that
	// it matters whether it drains, and not whether the one before it did.
	at := serverAddr{p.ID, p.Addr}
	p.StartedMs = max(p.StartedMs, l.starts.byPeers[at].startedMs, l.drains.latestStart[at])
	if state == balancer.Ready && l.drains.draining[p] {
		return balancer.Draining
	}
	return state
}

// reportDrain reports that a process drains, and that the one reported before does so no more.
func (l *EventLoop) reportDrain(e *endpoint, p discovery.Process, drains bool) {
	none := discovery.Process{}
	if e.reportedDrain != none && (!drains || e.reportedDrain != p) {
		l.drains.report(e.reportedDrain, false)
		e.reportedDrain = none
	}
	if drains && e.reportedDrain == none {
		e.reportedDrain = p
		l.drains.report(p, true)
	}
}
