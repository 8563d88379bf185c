package core

import (
	"context"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/platform/snapshot"
)

// What this process knows is kept for the next one: handed over while both run, and in a file for the case that it
// is killed. What of it the next one believes, the module decides.

const (
	minSaveInterval       = 2 * time.Second // between two files, at least,
	saveTimeFactor        = 200             // and no more than such a part of a core goes into them,
	maxSaveBytesPerSecond = 64 << 10        // nor more bytes a second than this
	maxReportedEjections  = 1024            // ejections told at once
	ejectionReportTimeout = 500 * time.Millisecond
)

// takeSnapshot is the module's state with the names of its endpoints, and their addresses if it goes abroad. The loop's goroutine
// takes it.
func (l *EventLoop) takeSnapshot(now balancer.Micros, abroad bool) *snapshot.Saved {
	k := &snapshot.Saved{Sidecar: l.config.Name, State: l.balancer.Snapshot(now, false)}
	var addrs []string
	k.Names = make([]string, 0, len(k.State.Endpoints))
	known := k.State.Endpoints[:0]
	places := make([]int, len(k.State.Endpoints))
	for i, e := range k.State.Endpoints {
		places[i] = -1
		// One that has left the list, and still owes an answer, has no name any more.
		if named := l.byNumber[e.ID]; named != nil {
			places[i] = len(known)
			known = append(known, e)
			k.Names = append(k.Names, named.entry.ID)
			addrs = append(addrs, named.addr)
		}
	}
	pool := k.State.Pool[:0]
	for _, at := range k.State.Pool {
		if places[at] >= 0 {
			pool = append(pool, places[at])
		}
	}
	k.State.Endpoints, k.State.Pool = known, pool
	if abroad {
		k.Addresses = addrs
	}
	return k
}

// Snapshot returns the picture as bytes. Only taking it holds the loop.
func (l *EventLoop) Snapshot(ctx context.Context) ([]byte, error) {
	return l.encodeSnapshot(ctx, false)
}

// PortableSnapshot returns it for readers on other hosts, who know servers by name and address.
func (l *EventLoop) PortableSnapshot(ctx context.Context) ([]byte, error) {
	return l.encodeSnapshot(ctx, true)
}

func (l *EventLoop) encodeSnapshot(ctx context.Context, abroad bool) ([]byte, error) {
	var k *snapshot.Saved
	if err := l.do(ctx, func(now balancer.Micros) { k = l.takeSnapshot(now, abroad) }); err != nil {
		return nil, err
	}
	k.Clock = snapshot.ReadClock()
	return snapshot.Encode(k)
}

// Restore tells the module what an earlier process knew, by the clocks that both have in common. What is not of this
// sidecar, or makes no sense, is passed over: a start without it is as good as any.
func (l *EventLoop) Restore(ctx context.Context, k *snapshot.Saved, from string) {
	l.RestoreAged(ctx, k, from, snapshot.ReadClock().Since(k.Clock))
}

// RestoreAged does so with a picture of a known age. It returns how many servers it knew.
func (l *EventLoop) RestoreAged(ctx context.Context, k *snapshot.Saved, from string, age balancer.Micros) (known int) {
	if k.Sidecar != l.config.Name {
		l.log.Warn("snapshot of another sidecar passed over", "from", from, "its name", k.Sidecar)
		return 0
	}
	var err error
	failed := l.do(ctx, func(now balancer.Micros) {
		k.Renumber(func(name, addr string) (uint32, bool) {
			if e := l.byName[name]; e != nil && (addr == "" || addr == e.addr) {
				return e.number, true
			}
			return 0, false
		})
		known, err = l.balancer.Restore(now, k.State, age)
	})
	switch {
	case failed != nil:
	case err != nil:
		l.log.Warn("snapshot passed over", "from", from, "error", err)
	default:
		l.log.Info("recalled what an earlier process knew", "from", from, "endpoints", known, "of", len(k.Names),
			"age", time.Duration(age)*time.Microsecond)
	}
	return known
}

// ReportEjections has the process beside this one told of ejections, until forget is called.
func (l *EventLoop) ReportEjections(eject func(context.Context, []handover.Ejection) error) (forget func()) {
	tell := newEjectionReporter(eject)
	l.reportPeer.Store(&tell)
	return func() { l.reportPeer.CompareAndSwap(&tell, nil) }
}

// reportEjections tells the process beside this one whom the module has ejected, if there is one to tell.
func (l *EventLoop) reportEjections(now balancer.Micros) {
	tell := l.reportPeer.Load()
	if tell == nil {
		return
	}
	var list []handover.Ejection
	l.balancer.Ejections(now, func(id uint32, left balancer.Micros) {
		if e := l.byNumber[id]; e != nil && len(list) < maxReportedEjections {
			list = append(list, handover.Ejection{ID: e.entry.ID, Left: left})
		}
	})
	if len(list) > 0 {
		(*tell)(list)
	}
}

// ApplyEjections passes on whom the process beside this one has ejected.
func (l *EventLoop) ApplyEjections(list []handover.Ejection) {
	l.post(func(now balancer.Micros) {
		for _, x := range list[:min(len(list), maxReportedEjections)] {
			if e := l.byName[x.ID]; e != nil && x.Left > 0 {
				l.balancer.PeerEjected(now, e.number, x.Left)
			}
		}
	})
}

// SnapshotSaver keeps the picture in a file.
type SnapshotSaver struct {
	Loop *EventLoop
	File snapshot.File
}

// Run keeps on until ctx ends. While paused says so another process is the one to keep it.
func (k SnapshotSaver) Run(ctx context.Context, paused func() bool) {
	if k.File.Path == "" {
		return
	}
	wait := minSaveInterval
	failing := false
	for {
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if paused() {
			continue
		}
		began := time.Now()
		data, err := k.Loop.Snapshot(ctx)
		if err == nil {
			err = k.File.Save(data)
		}
		wait = saveInterval(time.Since(began), len(data))
		if err != nil && ctx.Err() == nil && !failing {
			k.Loop.log.Warn("what is known here is not kept", "error", err)
		}
		failing = err != nil
	}
}

// saveInterval is how long to wait after a file that took so long and has so many bytes.
func saveInterval(took time.Duration, bytes int) time.Duration {
	return max(minSaveInterval, saveTimeFactor*took, time.Duration(bytes)*time.Second/maxSaveBytesPerSecond)
}

// newEjectionReporter returns what hands ejections to another process one after the other: while one list is under way, later
// ones are dropped, since the next is soon made.
func newEjectionReporter(eject func(context.Context, []handover.Ejection) error) func([]handover.Ejection) {
	busy := make(chan struct{}, 1)
	return func(list []handover.Ejection) {
		select {
		case busy <- struct{}{}:
			go func() {
				defer func() { <-busy }()
				ctx, cancel := context.WithTimeout(context.Background(), ejectionReportTimeout)
				defer cancel()
				eject(ctx, list) // one that does not hear finds out by itself
			}()
		default:
		}
	}
}
