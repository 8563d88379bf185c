package replica

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// logStorage is the log from which raft reads. The entries are in memory, and the snapshot is read from disk.
type logStorage struct {
	*raft.MemoryStorage
	hardState *raftpb.HardState // hard state at the start
	confState *raftpb.ConfState // configuration of the snapshot at the start
	disk      Disk
	onError   func(error)             // is called if the snapshot cannot be read
	isStale   func(index uint64) bool // reports whether a snapshot is older than the last configuration change
}

// InitialState implements raft.Storage.
func (l *logStorage) InitialState() (*raftpb.HardState, *raftpb.ConfState, error) {
	return l.hardState, l.confState, nil
}

// Snapshot implements raft.Storage. It returns the snapshot to send to a follower that needs entries from before the
// first one of the log. A follower ignores a snapshot in whose configuration it is not a member. Snapshot therefore
// fails while the last snapshot is older than the last configuration change, until a new one has been taken.
func (l *logStorage) Snapshot() (*raftpb.Snapshot, error) {
	meta, data, err := l.disk.Snapshot()
	if err != nil {
		l.onError(err)
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	if l.isStale(meta.Index) {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return &raftpb.Snapshot{Data: data, Metadata: meta.proto()}, nil
}

func (m SnapshotMeta) proto() *raftpb.SnapshotMetadata {
	return &raftpb.SnapshotMetadata{
		Index:     proto.Uint64(m.Index),
		Term:      proto.Uint64(m.Term),
		ConfState: m.confState(),
	}
}

func (m SnapshotMeta) confState() *raftpb.ConfState {
	return &raftpb.ConfState{Voters: m.Voters, Learners: m.Learners}
}

func snapshotMetaOf(m *raftpb.SnapshotMetadata) SnapshotMeta {
	return SnapshotMeta{
		Index:    m.GetIndex(),
		Term:     m.GetTerm(),
		Voters:   m.GetConfState().GetVoters(),
		Learners: m.GetConfState().GetLearners(),
	}
}
