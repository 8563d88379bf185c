package core

import (
	"context"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

// The state of the decision module is kept for the sidecar's next process: this process hands it over while both run,
// and saves it to a file in case it is killed. The decision module of the next process decides which parts it uses.

// Snapshot returns the encoded state for a process on this host. It is encoded on the caller's goroutine, so that the
// loop is occupied only while the state is copied.
func (l *EventLoop) Snapshot(ctx context.Context) ([]byte, error) {
	return l.encodeSnapshot(ctx, false)
}

// PortableSnapshot returns the encoded state for sidecars on other hosts, which match servers by name and address.
func (l *EventLoop) PortableSnapshot(ctx context.Context) ([]byte, error) {
	return l.encodeSnapshot(ctx, true)
}

func (l *EventLoop) encodeSnapshot(ctx context.Context, withAddresses bool) ([]byte, error) {
	var saved *snapshot.Saved
	err := l.runUrgent(ctx, func(now balancer.Micros) { saved = l.takeSnapshot(now, withAddresses) })
	if err != nil {
		return nil, err
	}
	saved.Clock = snapshot.ReadClock()
	return snapshot.Encode(saved)
}

// takeSnapshot returns the module's state with the names of its endpoints, and with their addresses if withAddresses is
// set.
func (l *EventLoop) takeSnapshot(now balancer.Micros, withAddresses bool) *snapshot.Saved {
	state := l.balancer.Snapshot(now, false)
	saved := &snapshot.Saved{Sidecar: l.config.Name, State: state, Names: make([]string, 0, len(state.Endpoints))}
	var addrs []string
	// Endpoints that have left the list while attempts were in flight have no name any more, and are left out.
	named := state.Endpoints[:0]
	newIndex := make([]int, len(state.Endpoints)) // -1 for an endpoint that is left out
	for i, endpointSnapshot := range state.Endpoints {
		listed := l.endpointsByNumber[endpointSnapshot.ID]
		if listed == nil {
			newIndex[i] = -1
			continue
		}
		newIndex[i] = len(named)
		named = append(named, endpointSnapshot)
		saved.Names = append(saved.Names, listed.entry.ID)
		addrs = append(addrs, listed.addr)
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

// Restore passes the state of an earlier process on this host on to the module, with its age by the clocks that both
// processes share. State of another sidecar, or state that the module rejects, is logged and otherwise ignored. source
// names the origin of the state in log lines.
func (l *EventLoop) Restore(ctx context.Context, saved *snapshot.Saved, source string) {
	l.RestoreAged(ctx, saved, source, snapshot.ReadClock().Since(saved.Clock))
}

// RestoreAged does the same as Restore for state of a known age, also from other hosts. It returns the number of
// endpoints whose state was restored.
func (l *EventLoop) RestoreAged(ctx context.Context, saved *snapshot.Saved, source string, age balancer.Micros) (
	endpoints int) {
	if saved.Sidecar != l.config.Name {
		l.log.Warn("snapshot of another sidecar ignored", "from", source, "its name", saved.Sidecar)
		return 0
	}
	var rejected error
	err := l.runUrgent(ctx, func(now balancer.Micros) {
		saved.Renumber(l.endpointNumber)
		endpoints, rejected = l.balancer.Restore(now, saved.State, age)
	})
	switch {
	case err != nil: // the loop or ctx has ended
	case rejected != nil:
		l.log.Warn("snapshot ignored", "from", source, "error", rejected)
	default:
		l.log.Info("restored the state of an earlier process", "from", source,
			"endpoints", endpoints, "of", len(saved.Names), "age", time.Duration(age)*time.Microsecond)
	}
	return endpoints
}

// endpointNumber returns the number of the listed endpoint with a name and, unless addr is empty, that address.
func (l *EventLoop) endpointNumber(name, addr string) (number uint32, ok bool) {
	endpoint := l.endpointsByName[name]
	if endpoint == nil || addr != "" && addr != endpoint.addr {
		return 0, false
	}
	return endpoint.number, true
}
