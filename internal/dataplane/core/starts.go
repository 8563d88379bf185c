package core

import (
	"context"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
)

// Where several daemons share what they know, a process of a server that one of them saw begin is cold to all: to those whose
// own list comes late, to those that start and find it on their first list, and where discovery does not tell starts at all.
// What this sidecar saw itself goes before what others say.

// Start is a process of a server that began a while ago.
type Start struct {
	Process discovery.Process
	Age     time.Duration
}

// serverAddr is where processes of a server begin one after the other.
type serverAddr struct{ id, addr string }

// peerStart is the latest process of a seat by others' word.
type peerStart struct {
	startedMs int64           // its start as discovery tells it; 0 where it does not
	at        balancer.Micros // when it began, on this process's clock
}

type startExchange struct {
	byPeers      map[serverAddr]peerStart
	report       func(p discovery.Process, ago, cold time.Duration) // nil where nobody tells
	listReceived bool                                               // a whole list has come from discovery: what is new on the next one began
}

const maxPeerStarts = 16384 // seats that others may tell of

// ShareStarts begins, before Run, the exchange with other daemons of processes that begin: began is told what this sidecar sees,
// at once and without waiting for it, and known began already.
func (l *EventLoop) ShareStarts(known []Start, began func(p discovery.Process, ago, cold time.Duration)) {
	l.starts.report, l.starts.byPeers = began, map[serverAddr]peerStart{}
	now := l.clock.Now()
	for _, s := range known {
		l.notePeerStart(now, s)
	}
}

// ApplyStart takes another's word that a process began, and returns once it counts.
func (l *EventLoop) ApplyStart(ctx context.Context, s Start) error {
	return l.do(ctx, func(now balancer.Micros) {
		if !l.notePeerStart(now, s) {
			return
		}
		if e := l.byName[s.Process.ID]; e != nil && e.addr == s.Process.Addr {
			l.applyList(now, balancer.ListDelta, discovery.List{Instances: []discovery.Instance{e.entry}})
		}
	})
}

// notePeerStart notes another's word, if it is newer than what is known; what is over makes room.
func (l *EventLoop) notePeerStart(now balancer.Micros, s Start) bool {
	o := l.starts.byPeers
	at, b := serverAddr{s.Process.ID, s.Process.Addr}, peerStart{s.Process.StartedMs, now - s.Age.Microseconds()}
	if was, ok := o[at]; ok && (b.startedMs < was.startedMs || b.startedMs == was.startedMs && b.at <= was.at) {
		return false
	}
	if len(o) >= maxPeerStarts {
		for k, x := range o {
			if now-x.at > l.config.Settings.Contract.SlowStartDuration && l.byName[k.id] == nil {
				delete(o, k)
			}
		}
		if len(o) >= maxPeerStarts {
			return false
		}
	}
	o[at] = b
	return true
}

// startTime is when an entry's process began, for the module, and tells others of one that this sidecar sees begin. before is
// the start that was told of it until now.
func (l *EventLoop) startTime(now balancer.Micros, e *endpoint, fresh bool, before int64) balancer.Micros {
	in, cold := &e.entry, l.config.Settings.Contract.SlowStartDuration
	other, told := l.starts.byPeers[serverAddr{in.ID, e.addr}]
	sees := l.starts.listReceived && (fresh || in.StartedMs != before && in.StartedMs != 0)
	switch {
	case in.StartedMs != 0:
		if ago := now - in.StartedMs*1000; sees && ago < cold {
			l.starts.report(e.process(), time.Duration(max(0, ago))*time.Microsecond, time.Duration(cold)*time.Microsecond)
		}
		if told && other.startedMs > in.StartedMs { // the list is late
			return other.startedMs * 1000
		}
		return in.StartedMs * 1000
	case sees: // the module takes it to begin now
		l.starts.report(e.process(), 0, time.Duration(cold)*time.Microsecond)
		e.startObserved = true
		return 0
	case told && !e.startObserved && e.peerStart == 0 && now-other.at < cold:
		if e.peerStart = other.at; other.startedMs != 0 {
			e.peerStart = other.startedMs * 1000
		}
	}
	return e.peerStart
}
