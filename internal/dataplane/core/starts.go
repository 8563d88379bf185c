package core

import (
	"context"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
)

// Where daemons share what they know, a server's process that one of them observed starting is warming up for all: for
// those whose own list is late, for those that start and find it on their first list, and where discovery has no
// starts. What this sidecar observed itself takes precedence.

const (
	// maxPeerStarts bounds the servers of which other daemons may report a start.
	maxPeerStarts = 16384

	microsPerMilli = 1000
)

// Start is a process of a server, and the time since it started.
type Start struct {
	Process discovery.Process
	Age     time.Duration
}

// serverAddr identifies a server whose processes follow each other.
type serverAddr struct{ id, addr string }

// peerStart is the latest process of a server, as reported by other daemons.
type peerStart struct {
	startedMs int64           // as discovery has it; 0 where it has none
	at        balancer.Micros // on this process's clock
}

// time returns the start as discovery has it, else by this process's clock.
func (s peerStart) time() balancer.Micros {
	if s.startedMs != 0 {
		return s.startedMs * microsPerMilli
	}
	return s.at
}

// isAfter reports whether s is a later process than other, or a later start of the same.
func (s peerStart) isAfter(other peerStart) bool {
	if s.startedMs != other.startedMs {
		return s.startedMs > other.startedMs
	}
	return s.at > other.at
}

// startExchange is what daemons report to each other of processes that start.
type startExchange struct {
	report       func(p discovery.Process, age, warmUp time.Duration) // nil where there is no exchange
	byPeers      map[serverAddr]peerStart
	listReceived bool // a complete list has come from discovery, so that new entries of later ones are starts
}

// ShareStarts starts the exchange of starts with other daemons. report is called with what this sidecar observes and
// must not block; known are the recent starts. It is called before Run.
func (l *EventLoop) ShareStarts(known []Start, report func(p discovery.Process, age, warmUp time.Duration)) {
	l.starts.report, l.starts.byPeers = report, map[serverAddr]peerStart{}
	now := l.clock.Now()
	for _, s := range known {
		l.addPeerStart(now, s)
	}
}

// ApplyStart applies another daemon's report of a start, and returns once it is in effect.
func (l *EventLoop) ApplyStart(ctx context.Context, s Start) error {
	return l.do(ctx, func(now balancer.Micros) {
		if l.addPeerStart(now, s) {
			l.reapplyEntry(now, s.Process)
		}
	})
}

// addPeerStart notes a report of another daemon, and returns whether it is later than what is known and there was room.
func (l *EventLoop) addPeerStart(now balancer.Micros, s Start) bool {
	starts := l.starts.byPeers
	at := serverAddr{s.Process.ID, s.Process.Addr}
	start := peerStart{s.Process.StartedMs, now - s.Age.Microseconds()}
	if known, ok := starts[at]; ok && !start.isAfter(known) {
		return false
	}
	if len(starts) >= maxPeerStarts {
		l.removeOldPeerStarts(now)
	}
	if len(starts) >= maxPeerStarts {
		return false
	}
	starts[at] = start
	return true
}

// removeOldPeerStarts removes the starts of servers that are not listed and warm by now.
func (l *EventLoop) removeOldPeerStarts(now balancer.Micros) {
	for at, start := range l.starts.byPeers {
		if now-start.at > l.config.Settings.Contract.SlowStartDuration && l.byName[at.id] == nil {
			delete(l.starts.byPeers, at)
		}
	}
}

// startTime returns when the process of an endpoint's latest entry started, for the module, and reports a start that
// this sidecar observes. isNew is set for a new endpoint or address; startedBefore is the start in the entry before.
func (l *EventLoop) startTime(now balancer.Micros, e *endpoint, isNew bool, startedBefore int64) balancer.Micros {
	listed := e.entry.StartedMs
	byPeers, reported := l.starts.byPeers[serverAddr{e.entry.ID, e.addr}]
	observed := l.starts.listReceived && (isNew || listed != startedBefore && listed != 0)
	warmUp := l.config.Settings.Contract.SlowStartDuration
	if listed != 0 {
		age := now - listed*microsPerMilli
		if observed && age < warmUp {
			l.reportStart(e, max(0, age))
		}
		if reported && byPeers.startedMs > listed { // this sidecar's list is late
			return byPeers.startedMs * microsPerMilli
		}
		return listed * microsPerMilli
	}
	if observed {
		l.reportStart(e, 0)
		e.startObserved = true
		return 0 // the module takes it to start now
	}
	if reported && !e.startObserved && e.peerStart == 0 && now-byPeers.at < warmUp {
		e.peerStart = byPeers.time()
	}
	return e.peerStart
}

func (l *EventLoop) reportStart(e *endpoint, age balancer.Micros) {
	warmUp := l.config.Settings.Contract.SlowStartDuration
	l.starts.report(e.process(), time.Duration(age)*time.Microsecond, time.Duration(warmUp)*time.Microsecond)
}
