package core

import (
	"cmp"
	"context"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
)

// ShareDrains begins, before Run, the exchange with other daemons of what drains: hear is told what this sidecar's discovery
// says, at once and without waiting for it, and known drains from the beginning.
func (l *EventLoop) ShareDrains(known []discovery.Process, hear func(p discovery.Process, drains bool)) {
	l.reportDrain, l.peerDrains, l.peerLatestStart = hear, map[discovery.Process]bool{}, map[serverAddr]int64{}
	for _, p := range known {
		l.notePeerDrain(p, true)
	}
}

// ApplyDrain makes another's word on a process bind, and returns once it does. That one drains no more by others' word
// changes nothing where this sidecar's own discovery says that it does.
func (l *EventLoop) ApplyDrain(ctx context.Context, p discovery.Process, drains bool) error {
	return l.do(ctx, func(now balancer.Micros) {
		l.notePeerDrain(p, drains)
		if e := l.byName[p.ID]; e != nil && e.addr == p.Addr {
			l.applyList(now, balancer.ListDelta, discovery.List{Instances: []discovery.Instance{e.entry}})
		}
	})
}

// notePeerDrain notes others' word on a process.
func (l *EventLoop) notePeerDrain(p discovery.Process, drains bool) {
	at := serverAddr{p.ID, p.Addr}
	if drains {
		l.peerDrains[p] = true
		l.peerLatestStart[at] = max(l.peerLatestStart[at], p.StartedMs)
		return
	}
	delete(l.peerDrains, p)
	delete(l.peerLatestStart, at)
	for o := range l.peerDrains {
		if (serverAddr{o.ID, o.Addr}) == at {
			l.peerLatestStart[at] = max(l.peerLatestStart[at], o.StartedMs)
		}
	}
}

// process is who an entry is about.
func (e *endpoint) process() discovery.Process {
	return discovery.Process{ID: e.entry.ID, Addr: e.addr, StartedMs: e.entry.StartedMs}
}

// drainState tells others what the latest entry says, and returns the state that binds here. An entry that drains may lack what
// does not matter to a drain; it is of the process that was told before.
func (l *EventLoop) drainState(e *endpoint, state balancer.State) balancer.State {
	none := discovery.Process{}
	p := e.process()
	if e.entry.Lifecycle == "draining" && state != balancer.Removed {
		p.StartedMs = cmp.Or(p.StartedMs, e.entryStartedMs)
	} else {
		e.entryStartedMs = e.entry.StartedMs
	}
	told := e.entry.Lifecycle == "draining" && state == balancer.Draining
	if e.reportedDrain != none && (!told || e.reportedDrain != p) {
		l.reportDrain(e.reportedDrain, false)
		e.reportedDrain = none
	}
	if told && e.reportedDrain == none {
		e.reportedDrain = p
		l.reportDrain(p, true)
	}
	// Where others know of a newer process than this sidecar's list, it is the one that is reached there: whether that
	// drains counts, and no more whether the one before it did.
	at := serverAddr{p.ID, p.Addr}
	p.StartedMs = max(p.StartedMs, l.starts.byPeers[at].startedMs, l.peerLatestStart[at])
	if state == balancer.Ready && l.peerDrains[p] {
		return balancer.Draining
	}
	return state
}
