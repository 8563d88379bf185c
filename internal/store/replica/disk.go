package replica

import (
	"io"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Identity is what a disk knows of whose it is.
type Identity struct {
	ClusterID uint64 `cbor:"1,keyasint" json:"Cluster"` // 0 before it belongs to one
	MemberID  uint64 `cbor:"2,keyasint" json:"Member"`
	DiskID    uint64 `cbor:"3,keyasint" json:"Disk"` // drawn when the disk was first used
	Boot      uint64 `cbor:"4,keyasint" json:"Boot"` // starts of a replica from it, this one included
}

// SnapshotMeta says which state a snapshot holds.
type SnapshotMeta struct {
	Index    uint64   `cbor:"1,keyasint"`
	Term     uint64   `cbor:"2,keyasint"`
	Voters   []uint64 `cbor:"3,keyasint"`
	Learners []uint64 `cbor:"4,keyasint,omitempty"`
}

// DiskContents is what a disk holds when a replica starts.
type DiskContents struct {
	Identity  Identity
	HardState *raftpb.HardState
	Base      SnapshotMeta    // the entry before the first of the log: index and term alone
	Entries   []*raftpb.Entry // in order, without holes
	Snapshot  SnapshotMeta
}

// Disk keeps what a replica has promised. Every method that writes returns only when what it wrote would outlive a
// loss of power; after an error nothing may be promised any more, and the replica stops. Append and Compact are called
// by one goroutine; SaveSnapshot and Compact may run beside Append.
type Disk interface {
	Load() (DiskContents, error)
	SetIdentity(Identity) error // written once, when the disk becomes a member's
	// Append writes the hard state, if it is not nil, and entries, which replace those of the log from the first of them on.
	Append(hard *raftpb.HardState, entries []*raftpb.Entry) error
	// SaveSnapshot takes the place of the snapshot before, at once and as a whole.
	SaveSnapshot(meta SnapshotMeta, write func(io.Writer) error) error
	// Install does the same with a snapshot from the leader, and begins the log anew behind it.
	Install(meta SnapshotMeta, hard *raftpb.HardState, data []byte) error
	// Snapshot reads the whole snapshot, checked.
	Snapshot() (SnapshotMeta, []byte, error)
	// Compact lets go of the log up to an entry.
	Compact(index, term uint64) error
}

// logStorage is the log as raft reads it: its newer part in memory, its snapshot on disk.
type logStorage struct {
	*raft.MemoryStorage
	hardState *raftpb.HardState
	confState *raftpb.ConfState // as of the snapshot, at the start
	disk      Disk
	onError   func(error)

	isStale func(index uint64) bool // whether a snapshot is from before the last change of who votes
}

func (l *logStorage) InitialState() (*raftpb.HardState, *raftpb.ConfState, error) {
	return l.hardState, l.confState, nil
}

// Snapshot reads what is to be sent to a follower that the log no longer reaches. One that does not know the follower
// as a member would be ignored by it: then a new one is to be taken first.
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
	return &raftpb.SnapshotMetadata{Index: proto.Uint64(m.Index), Term: proto.Uint64(m.Term), ConfState: m.confState()}
}

func (m SnapshotMeta) confState() *raftpb.ConfState {
	return &raftpb.ConfState{Voters: m.Voters, Learners: m.Learners}
}

func snapshotMetaOf(m *raftpb.SnapshotMetadata) SnapshotMeta {
	return SnapshotMeta{Index: m.GetIndex(), Term: m.GetTerm(), Voters: m.GetConfState().GetVoters(),
		Learners: m.GetConfState().GetLearners()}
}
