package replica

import (
	"errors"
	"fmt"
	"slices"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
)

// SnapshotJob writes the state as of the time when the job was made. Run may be called by another goroutine.
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
			Index:    n.applied,
			Term:     n.term,
			Voters:   slices.Clone(n.confState.GetVoters()),
			Learners: slices.Clone(n.confState.GetLearners()),
		},
		state: n.state.Clone(),
		disk:  n.disk,
	}
}

// isStaleSnapshot reports whether a snapshot is older than the last configuration change. If it is, a new one is
// wanted.
func (n *Node) isStaleSnapshot(index uint64) bool {
	stale := index < n.confIndex
	n.snapshotWanted = n.snapshotWanted || stale
	return stale
}

// SnapshotDone reports how Run of a job ended. After a success the log is compacted up to RetainedEntries before the
// snapshot.
func (n *Node) SnapshotDone(j *SnapshotJob, err error) {
	n.snapshotRunning = false
	if n.failed != nil {
		return
	}
	if err != nil {
		n.fail(fmt.Errorf("snapshot: %w", err))
		return
	}
	retained := uint64(n.cfg.RetainedEntries)
	if j.Meta.Index <= retained {
		return
	}
	to := j.Meta.Index - retained
	if n.cfg.Defects.has(CompactBeyondSnapshot) {
		to = min(n.applied, j.Meta.Index+2)
	}
	if err := n.compactLog(to); err != nil {
		n.fail(err)
	}
}

// compactLog drops the entries of the log up to an index.
func (n *Node) compactLog(to uint64) error {
	first, err := n.log.FirstIndex()
	if err != nil {
		return err
	}
	if to < first {
		return nil
	}
	term, err := n.log.Term(to)
	if err != nil {
		return nil //nolint:nilerr // a snapshot of the leader has replaced the log in the meantime
	}
	if err := n.disk.Compact(to, term); err != nil {
		return err
	}
	if err := n.log.Compact(to); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}
