package core

import (
	"context"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
)

// Where daemons exchange starts, a server process whose start one of them observed is warming up for all of them: also
// for daemons whose own list is late, for daemons that start later and find the process in their first list, and where
// discovery reports no starts. A start that this sidecar observed itself takes precedence.

const (
	// maxPeerStarts limits the number of servers for which reports of other daemons are kept.
	maxPeerStarts = 16384

	microsPerMilli = 1000
)

// ProcessStart is an observed start of a server process; Age is the time since then.
type ProcessStart struct {
	Process discovery.Process
	Age     time.Duration
}

// serverKey identifies a server, at which one process follows another.
type serverKey struct{ id, addr string }

// peerStart is the start of the latest process of a server by the reports of other daemons.
type peerStart struct {
	startedMs int64           // start time by discovery; 0 if discovery has none
	startedAt balancer.Micros // start time on this process's clock, by the age in the report
}

// time returns the start time by discovery if there is one, else that on this process's clock.
func (s peerStart) time() balancer.Micros {
	if s.startedMs != 0 {
		return s.startedMs * microsPerMilli
	}
	return s.startedAt
}

// isAfter reports whether s is the start of a later process than other, or a later start time of the same process.
func (s peerStart) isAfter(other peerStart) bool {
	if s.startedMs != other.startedMs {
		return s.startedMs > other.startedMs
	}
	return s.startedAt > other.startedAt
}

// startExchange holds what daemons report to each other about starts of processes.
type startExchange struct {
	report       func(process discovery.Process, age, warmUp time.Duration) // nil without an exchange
	byPeers      map[serverKey]peerStart
	listReceived bool // a complete list has come from discovery, so that new entries in later lists are starts
}

// ShareStarts starts the exchange of starts with other daemons. recent are the recent starts that are known. The loop
// calls report, which must not block, for each start that this sidecar observes, with the age of the process and the
// time for which a process is warming up. ShareStarts must be called before Run.
func (l *EventLoop) ShareStarts(recent []ProcessStart,
	report func(process discovery.Process, age, warmUp time.Duration)) {
	l.starts.report, l.starts.byPeers = report, map[serverKey]peerStart{}
	now := l.clock.Now()
	for _, s := range recent {
		l.addPeerStart(now, s)
	}
}

// ApplyStart applies another daemon's report of a start, and returns once the report is in effect.
func (l *EventLoop) ApplyStart(ctx context.Context, s ProcessStart) error {
	return l.runUrgent(ctx, func(now balancer.Micros) {
		if l.addPeerStart(now, s) {
			l.reapplyEntry(now, s.Process)
		}
	})
}

// addPeerStart records another daemon's report of a start. It returns false if that is no later than the known start of
// the server, or if maxPeerStarts servers are recorded already.
func (l *EventLoop) addPeerStart(now balancer.Micros, reported ProcessStart) bool {
	starts := l.starts.byPeers
	server := serverKey{reported.Process.ID, reported.Process.Addr}
	start := peerStart{reported.Process.StartedMs, now - reported.Age.Microseconds()}
	if known, ok := starts[server]; ok && !start.isAfter(known) {
		return false
	}
	if len(starts) >= maxPeerStarts {
		l.removeOldPeerStarts(now)
	}
	if len(starts) >= maxPeerStarts {
		return false
	}
	starts[server] = start
	return true
}

// removeOldPeerStarts removes the starts of servers that are not listed and whose slow start is over.
func (l *EventLoop) removeOldPeerStarts(now balancer.Micros) {
	for server, start := range l.starts.byPeers {
		if now-start.startedAt > l.config.Settings.Contract.SlowStartDuration && l.endpointsByName[server.id] == nil {
			delete(l.starts.byPeers, server)
		}
	}
}

// startTime returns the time at which the process of an endpoint's latest entry started, for the module, or 0 if it is
// unknown or now. It reports a start that this sidecar observes to other daemons. isNew is true for a new endpoint or a
// new address; previousStartMs is the start time in the entry before.
func (l *EventLoop) startTime(now balancer.Micros, endpoint *endpointState, isNew bool, previousStartMs int64,
) balancer.Micros {
	listedStartMs := endpoint.entry.StartedMs
	fromPeers, reported := l.starts.byPeers[serverKey{endpoint.entry.ID, endpoint.addr}]
	observed := l.starts.listReceived && (isNew || listedStartMs != previousStartMs && listedStartMs != 0)
	warmUp := l.config.Settings.Contract.SlowStartDuration
	if listedStartMs != 0 {
		age := now - listedStartMs*microsPerMilli
		if observed && age < warmUp {
			l.reportStart(endpoint, max(0, age))
		}
		if reported && fromPeers.startedMs > listedStartMs { // this sidecar's list is out of date
			return fromPeers.startedMs * microsPerMilli
		}
		return listedStartMs * microsPerMilli
	}
	if observed {
		l.reportStart(endpoint, 0)
		endpoint.startObserved = true
		return 0 // for the module the process starts now
	}
	if reported && !endpoint.startObserved && endpoint.peerStartTime == 0 && now-fromPeers.startedAt < warmUp {
		endpoint.peerStartTime = fromPeers.time()
	}
	return endpoint.peerStartTime
}

// reportStart reports a start that this sidecar observed to other daemons.
func (l *EventLoop) reportStart(endpoint *endpointState, age balancer.Micros) {
	warmUp := l.config.Settings.Contract.SlowStartDuration
	l.starts.report(endpoint.process(), time.Duration(age)*time.Microsecond, time.Duration(warmUp)*time.Microsecond)
}
