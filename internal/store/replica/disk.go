package replica

import (
	"io"

	"go.etcd.io/raft/v3/raftpb"
)

// Identity identifies a disk, and the member and the cluster to which it belongs.
type Identity struct {
	ClusterID uint64 `cbor:"1,keyasint" json:"Cluster"` // 0 until the disk belongs to a cluster
	MemberID  uint64 `cbor:"2,keyasint" json:"Member"`
	DiskID    uint64 `cbor:"3,keyasint" json:"Disk"` // drawn at random when the disk is used for the first time
	Boot      uint64 `cbor:"4,keyasint" json:"Boot"` // number of starts from the disk, this one included
}

// SnapshotMeta describes the state that a snapshot contains: the last entry that it includes, and the configuration.
type SnapshotMeta struct {
	Index    uint64   `cbor:"1,keyasint"`
	Term     uint64   `cbor:"2,keyasint"`
	Voters   []uint64 `cbor:"3,keyasint"`
	Learners []uint64 `cbor:"4,keyasint,omitempty"`
}

// DiskContents is what a disk contains when a replica starts.
type DiskContents struct {
	Identity  Identity
	HardState *raftpb.HardState
	Base      SnapshotMeta    // index and term of the entry before the first one in Entries
	Entries   []*raftpb.Entry // in order, without gaps
	Snapshot  SnapshotMeta    // zero if there is no snapshot
}

// Disk stores what a replica has promised to others. Every method that writes returns only when its writes would
// survive a loss of power. After an error the replica stops, because it can promise nothing more. One goroutine calls
// Append and Compact; SaveSnapshot may run concurrently with both.
type Disk interface {
	// Load returns what the disk contains, apart from the data of the snapshot.
	Load() (DiskContents, error)
	// SetIdentity writes the identity. It is called once, when the disk is assigned to a member.
	SetIdentity(id Identity) error
	// Append writes the hard state, unless it is nil, and appends entries to the log. They replace the log's entries
	// from the index of the first one on.
	Append(hard *raftpb.HardState, entries []*raftpb.Entry) error
	// SaveSnapshot atomically replaces the snapshot by one whose data write produces.
	SaveSnapshot(meta SnapshotMeta, write func(io.Writer) error) error
	// Install atomically replaces the snapshot by one from the leader, and the log by an empty one that begins after
	// it.
	Install(meta SnapshotMeta, hard *raftpb.HardState, data []byte) error
	// Snapshot returns the snapshot, with its checksums verified.
	Snapshot() (SnapshotMeta, []byte, error)
	// Compact drops the entries of the log up to and including the one with an index and a term.
	Compact(index, term uint64) error
}
