package sidecar

import (
	"context"
	"time"

	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/platform/recovery"
)

// Fleet is the exchange of information about servers among daemons: which processes drain, which started recently, and
// the state of the daemons' decision modules. Its methods do not block, except SaveSnapshots.
type Fleet interface {
	// DrainingProcesses returns the processes that are known to drain when the sidecar starts.
	DrainingProcesses() []discovery.Process
	// ReportProcessDrain reports to other daemons whether a process drains according to this sidecar's discovery.
	ReportProcessDrain(process discovery.Process, draining bool)
	// OnDrain sets the function that is called with the drain reports of other daemons.
	OnDrain(apply func(ctx context.Context, process discovery.Process, draining bool) error)

	// RecentStarts returns the recent starts of processes that are known when the sidecar starts.
	RecentStarts() []core.ProcessStart
	// ReportStart reports to other daemons the start of a process that this sidecar observed. age is the time since the
	// start, warmUp the whole time for which a process is warming up.
	ReportStart(process discovery.Process, age, warmUp time.Duration)
	// OnStart sets the function that is called with the start reports of other daemons.
	OnStart(apply func(ctx context.Context, start core.ProcessStart) error)

	// RestoreCandidates returns the snapshots from which a sidecar may restore the state of a protocol.
	RestoreCandidates(sidecar, protocol string) []recovery.Candidate
	// RecordRestore records the snapshot from which a sidecar restored the state of a protocol, and the number of
	// servers whose state was restored.
	RecordRestore(protocol string, choice recovery.Choice, servers int)
	// SaveSnapshots saves the snapshots that take returns, until ctx ends. While paused returns true it saves nothing,
	// because another process does.
	SaveSnapshots(ctx context.Context, sidecar, protocol string, take func(context.Context) ([]byte, error),
		paused func() bool)
}
