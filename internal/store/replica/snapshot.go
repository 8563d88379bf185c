package replica

import (
	"errors"
	"fmt"
	"slices"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
)

// SnapshotJob writes a snapshot of the state at the time when Process returned the job. Another goroutine than that of
// the Node may call Run.
type SnapshotJob struct {
	Meta  SnapshotMeta
	state *store.State
	disk  Disk
}

// Run writes the snapshot to disk.
func (j *SnapshotJob) Run() error { return j.disk.SaveSnapshot(j.Meta, j.state.Save) }

func (n *Node) newSnapshotJob() *SnapshotJob {
	n.snapshotRunning, n.snapshotWanted, n.logBytes = true, false, 0
	return &SnapshotJob{
		Meta: SnapshotMeta{
			Index:    n.appliedIndex,
			Term:     n.appliedTerm,
			Voters:   slices.Clone(n.confState.GetVoters()),
			Learners: slices.Clone(n.confState.GetLearners()),
		},
		state: n.state.Clone(),
		disk:  n.disk,
	}
}

// isStaleSnapshot reports whether the snapshot at an index is older than the last configuration change. If it is, the
// next Process returns a job for a new one.
func (n *Node) isStaleSnapshot(index uint64) bool {
	stale := index < n.confChangeIndex
	n.snapshotWanted = n.snapshotWanted || stale
	return stale
}

// SnapshotDone records the result of running a job. After a success it compacts the log up to RetainedEntries entries
// before the snapshot. After an error the replica stops.
func (n *Node) SnapshotDone(job *SnapshotJob, err error) {
	n.snapshotRunning = false
	if n.failure != nil {
		return
	}
	if err != nil {
		n.fail(fmt.Errorf("cannot write a snapshot: %w", err))
		return
	}
	retainedEntries := uint64(n.cfg.RetainedEntries)
	if job.Meta.Index <= retainedEntries {
		return
	}
	compactTo := job.Meta.Index - retainedEntries
	if n.cfg.Defects.has(CompactBeyondSnapshot) {
		compactTo = min(n.appliedIndex, job.Meta.Index+2)
	}
	if err := n.compactLog(compactTo); err != nil {
		n.fail(err)
	}
}

// compactLog drops the entries of the log up to and including lastDropped.
func (n *Node) compactLog(lastDropped uint64) error {
	firstIndex, err := n.raftLog.FirstIndex()
	if err != nil {
		return err
	}
	if lastDropped < firstIndex {
		return nil
	}
	term, err := n.raftLog.Term(lastDropped)
	if err != nil {
		return nil //nolint:nilerr // a snapshot of the leader has replaced the log in the meantime
	}
	if err := n.disk.Compact(lastDropped, term); err != nil {
		return err
	}
	if err := n.raftLog.Compact(lastDropped); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}
