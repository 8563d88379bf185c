package core

import (
	"context"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

// The state of the decision module is kept for the next process: it is handed over while both run, and saved to a file
// in case this one is killed. The module decides what of it the next one uses.

// Snapshot returns the encoded state for a process on this host. Only taking it occupies the loop.
func (l *EventLoop) Snapshot(ctx context.Context) ([]byte, error) {
	return l.encodeSnapshot(ctx, false)
}

// PortableSnapshot returns the encoded state for other hosts, which know servers by name and address.
func (l *EventLoop) PortableSnapshot(ctx context.Context) ([]byte, error) {
	return l.encodeSnapshot(ctx, true)
}

func (l *EventLoop) encodeSnapshot(ctx context.Context, withAddresses bool) ([]byte, error) {
	var saved *snapshot.Saved
	err := l.do(ctx, func(now balancer.Micros) { saved = l.takeSnapshot(now, withAddresses) })
	if err != nil {
		return nil, err
	}
	saved.Clock = snapshot.ReadClock()
	return snapshot.Encode(saved)
}

// takeSnapshot returns the module's state with the names of its endpoints, and their addresses if asked for.
func (l *EventLoop) takeSnapshot(now balancer.Micros, withAddresses bool) *snapshot.Saved {
	state := l.balancer.Snapshot(now, false)
	saved := &snapshot.Saved{Sidecar: l.config.Name, State: state, Names: make([]string, 0, len(state.Endpoints))}
	var addrs []string
	// Endpoints that have left the list, and still owe an answer, have no name any more and are left out.
	named := state.Endpoints[:0]
	newIndex := make([]int, len(state.Endpoints)) // -1: left out
	for i, endpoint := range state.Endpoints {
		e := l.byNumber[endpoint.ID]
		if e == nil {
			newIndex[i] = -1
			continue
		}
		newIndex[i] = len(named)
		named = append(named, endpoint)
		saved.Names = append(saved.Names, e.entry.ID)
		addrs = append(addrs, e.addr)
	}
	pool := state.Pool[:0]
	for _, i := range state.Pool {
		if newIndex[i] >= 0 {
			pool = append(pool, newIndex[i])
		}
	}
	state.Endpoints, state.Pool = named, pool
	if withAddresses {
		saved.Addresses = addrs
	}
	return saved
}

// Restore passes the state of an earlier process on to the module. Its age is that by the clocks that both processes
// share. State of another sidecar, or that the module rejects, is ignored: the process starts without it.
func (l *EventLoop) Restore(ctx context.Context, saved *snapshot.Saved, from string) {
	l.RestoreAged(ctx, saved, from, snapshot.ReadClock().Since(saved.Clock))
}

// RestoreAged does so with state of a known age. It returns the number of endpoints that were restored.
func (l *EventLoop) RestoreAged(ctx context.Context, saved *snapshot.Saved, from string, age balancer.Micros) (
	endpoints int) {
	if saved.Sidecar != l.config.Name {
		l.log.Warn("snapshot of another sidecar ignored", "from", from, "its name", saved.Sidecar)
		return 0
	}
	var rejected error
	err := l.do(ctx, func(now balancer.Micros) {
		saved.Renumber(l.endpointNumber)
		endpoints, rejected = l.balancer.Restore(now, saved.State, age)
	})
	switch {
	case err != nil: // the loop has ended
	case rejected != nil:
		l.log.Warn("snapshot ignored", "from", from, "error", rejected)
	default:
		l.log.Info("restored the state of an earlier process", "from", from,
			"endpoints", endpoints, "of", len(saved.Names), "age", time.Duration(age)*time.Microsecond)
	}
	return endpoints
}

// endpointNumber returns the number of an endpoint with a name and, unless that is empty, an address.
func (l *EventLoop) endpointNumber(name, addr string) (number uint32, ok bool) {
	e := l.byName[name]
	if e == nil || addr != "" && addr != e.addr {
		return 0, false
	}
	return e.number, true
}
