package replica

import (
	"io"

	"go.etcd.io/raft/v3/raftpb"
)

// Identity says to which member of which cluster a disk belongs.
type Identity struct {
	ClusterID uint64 `cbor:"1,keyasint" json:"Cluster"` // 0 before the disk belongs to one
	MemberID  uint64 `cbor:"2,keyasint" json:"Member"`
	DiskID    uint64 `cbor:"3,keyasint" json:"Disk"` // drawn at random when the disk was first used
	Boot      uint64 `cbor:"4,keyasint" json:"Boot"` // number of starts from the disk, this one included
}

// SnapshotMeta says which state a snapshot contains.
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
	Base      SnapshotMeta    // index and term of the entry before the first of the log
	Entries   []*raftpb.Entry // in order, without gaps
	Snapshot  SnapshotMeta
}

// Disk stores what a replica has promised. Every method that writes returns only when its writes would survive a loss
// of power. After an error nothing more may be promised, and the replica stops. One goroutine calls Append and Compact;
// SaveSnapshot may run concurrently with both.
type Disk interface {
	// Load returns what the disk contains, apart from the data of the snapshot.
	Load() (DiskContents, error)
	// SetIdentity writes the identity, once, when the disk becomes a member's.
	SetIdentity(id Identity) error
	// Append writes the hard state, unless it is nil, and entries, which replace those of the log from the first of
	// them on.
	Append(hard *raftpb.HardState, entries []*raftpb.Entry) error
	// SaveSnapshot atomically replaces the snapshot by what write writes.
	SaveSnapshot(meta SnapshotMeta, write func(io.Writer) error) error
	// Install atomically replaces the snapshot by one of the leader and the log by an empty one after it.
	Install(meta SnapshotMeta, hard *raftpb.HardState, data []byte) error
	// Snapshot returns the snapshot, with its checksums verified.
	Snapshot() (SnapshotMeta, []byte, error)
	// Compact drops the entries of the log up to one with an index and a term.
	Compact(index, term uint64) error
}
