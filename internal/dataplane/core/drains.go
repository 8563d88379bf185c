package core

import (
	"cmp"
	"context"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
)

// lifecycleDraining is the lifecycle of a draining process in an entry of discovery's list.
const lifecycleDraining = "draining"

// drainExchange holds what daemons report to each other about draining processes.
type drainExchange struct {
	report      func(process discovery.Process, draining bool) // nil without an exchange
	draining    map[discovery.Process]bool                     // processes that drain by other daemons' reports
	latestStart map[serverKey]int64                            // latest StartedMs of those processes
}

// ShareDrains starts the exchange of drains with other daemons. draining are the processes that are known to drain. The
// loop calls report, which must not block, when a process begins or ceases to drain according to this sidecar's own
// discovery. ShareDrains must be called before Run.
func (l *EventLoop) ShareDrains(draining []discovery.Process, report func(process discovery.Process, draining bool)) {
	l.drains = drainExchange{
		report:      report,
		draining:    map[discovery.Process]bool{},
		latestStart: map[serverKey]int64{},
	}
	for _, process := range draining {
		l.drains.apply(process, true)
	}
}

// ApplyDrain applies another daemon's report that a process drains or no longer drains, and returns once the report is
// in effect. A report that the process no longer drains has no effect while this sidecar's own discovery says that it
// drains.
func (l *EventLoop) ApplyDrain(ctx context.Context, process discovery.Process, draining bool) error {
	return l.runUrgent(ctx, func(now balancer.Micros) {
		l.drains.apply(process, draining)
		l.reapplyEntry(now, process)
	})
}

// reapplyEntry applies the latest entry of a process's server again, because reports of other daemons may have changed
// its meaning.
func (l *EventLoop) reapplyEntry(now balancer.Micros, process discovery.Process) {
	if endpoint := l.endpointsByName[process.ID]; endpoint != nil && endpoint.addr == process.Addr {
		l.applyList(now, balancer.ListDelta, discovery.List{Instances: []discovery.Instance{endpoint.entry}})
	}
}

// apply records another daemon's report.
func (d *drainExchange) apply(process discovery.Process, draining bool) {
	server := serverKey{process.ID, process.Addr}
	if draining {
		d.draining[process] = true
		d.latestStart[server] = max(d.latestStart[server], process.StartedMs)
		return
	}
	delete(d.draining, process)
	delete(d.latestStart, server)
	for other := range d.draining {
		if (serverKey{other.ID, other.Addr}) == server {
			d.latestStart[server] = max(d.latestStart[server], other.StartedMs)
		}
	}
}

// drainState reports to other daemons whether the latest entry describes a drain, and returns the state that applies in
// this sidecar. The entry of a drain may lack all other fields; it then describes the same process as the entry before.
func (l *EventLoop) drainState(endpoint *endpointState, state balancer.State) balancer.State {
	process := endpoint.process()
	listedDraining := endpoint.entry.Lifecycle == lifecycleDraining
	if listedDraining && state != balancer.Removed {
		process.StartedMs = cmp.Or(process.StartedMs, endpoint.startMsBeforeDrain)
	} else {
		endpoint.startMsBeforeDrain = endpoint.entry.StartedMs
	}
	l.reportDrain(endpoint, process, listedDraining && state == balancer.Draining)
	// Other daemons may have reported a later process than this sidecar's list has. It is the later process that now
	// listens at the address, so only its drain matters and not that of the earlier process.
	server := serverKey{process.ID, process.Addr}
	process.StartedMs = max(process.StartedMs, l.starts.byPeers[server].startedMs, l.drains.latestStart[server])
	if state == balancer.Ready && l.drains.draining[process] {
		return balancer.Draining
	}
	return state
}

// reportDrain reports to other daemons that a process drains, if it does and was not reported yet. First it reports the
// end of the endpoint's earlier drain, if that has ended or was another process's.
func (l *EventLoop) reportDrain(endpoint *endpointState, process discovery.Process, draining bool) {
	none := discovery.Process{}
	if endpoint.reportedDrain != none && (!draining || endpoint.reportedDrain != process) {
		l.drains.report(endpoint.reportedDrain, false)
		endpoint.reportedDrain = none
	}
	if draining && endpoint.reportedDrain == none {
		endpoint.reportedDrain = process
		l.drains.report(process, true)
	}
}
