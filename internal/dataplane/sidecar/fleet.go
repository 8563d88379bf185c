package sidecar

import (
	"context"
	"time"

	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/platform/recovery"
)

// Fleet is how daemons share what they know of servers: which processes drain, which started a short while ago, and the
// state of their decision modules. Its methods do not block, except SaveSnapshots.
type Fleet interface {
	// DrainingProcesses returns the processes that are known to drain before this sidecar has received anything.
	DrainingProcesses() []discovery.Process
	// Observe reports what this sidecar's discovery says of a drain.
	Observe(p discovery.Process, drains bool)
	// OnDrain sets how the reports of other daemons are applied.
	OnDrain(apply func(ctx context.Context, p discovery.Process, drains bool) error)

	// RecentStarts returns the recent starts that are known before this sidecar has observed anything.
	RecentStarts() []core.Start
	// ReportStart reports a start that this sidecar observed, its age, and how long the process is warming up in all.
	ReportStart(p discovery.Process, age, warmUp time.Duration)
	// OnStart sets how the reports of other daemons are applied.
	OnStart(apply func(ctx context.Context, s core.Start) error)

	// RestoreCandidates returns the snapshots of a protocol from which a sidecar may restore its state.
	RestoreCandidates(sidecar, protocol string) []recovery.Candidate
	// RecordRestore reports what a sidecar restored its state from, and the number of servers in that.
	RecordRestore(protocol string, c recovery.Choice, servers int)
	// SaveSnapshots saves the snapshots that take returns until ctx ends. While paused returns true, another process
	// saves them.
	SaveSnapshots(ctx context.Context, sidecar, protocol string, take func(context.Context) ([]byte, error),
		paused func() bool)
}
