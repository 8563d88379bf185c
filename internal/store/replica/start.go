package replica

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Limits that are passed to raft and are not configurable.
const (
	maxInflightMessages    = 64       // messages with entries on the way to one follower
	maxUncommittedBytes    = 64 << 20 // uncommitted entries in the leader's log
	maxCommittedReadyBytes = 4 << 20  // committed entries in one Ready
)

// Bootstrap makes an empty disk the first member of a new cluster. It returns an error if the disk already belongs to
// one.
func Bootstrap(disk Disk, clusterID uint64, name, address string, limits store.Limits) error {
	saved, err := disk.Load()
	if err != nil {
		return err
	}
	if saved.Identity.ClusterID != 0 {
		return fmt.Errorf("the disk belongs to cluster %x already", saved.Identity.ClusterID)
	}
	state := store.New(clusterID, limits)
	state.Bootstrap(name, address, saved.Identity.DiskID)
	return BootstrapFrom(disk, saved.Identity, state)
}

// BootstrapFrom makes an empty disk the first member of a new cluster that starts with a given state. The state must
// have exactly one member.
func BootstrapFrom(disk Disk, identity Identity, state *store.State) error {
	members := state.Members()
	if len(members) != 1 {
		return fmt.Errorf("a new cluster must have one member, and the state has %d", len(members))
	}
	state.SkipIndex(1)
	var data bytes.Buffer
	if err := state.Save(&data); err != nil {
		return err
	}
	firstID := members[0].ID
	hardState := &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1), Vote: proto.Uint64(0)}
	if err := disk.Install(
		SnapshotMeta{Index: 1, Term: 1, Voters: []uint64{firstID}}, hardState, data.Bytes(),
	); err != nil {
		return err
	}
	identity.ClusterID, identity.MemberID = state.Cluster(), firstID
	return disk.SetIdentity(identity)
}

// New starts a replica from its disk, which must belong to a cluster. A replica that is the only voter campaigns at
// once.
func New(cfg Config, disk Disk) (*Node, error) {
	cfg.setDefaults()
	saved, err := disk.Load()
	if err != nil {
		return nil, err
	}
	if saved.Identity.ClusterID == 0 {
		return nil, errors.New("the disk belongs to no cluster yet")
	}
	n := &Node{
		cfg:               cfg,
		identity:          saved.Identity,
		disk:              disk,
		pendingByID:       map[store.RequestID]*pendingRequest{},
		openRounds:        map[uint64]*readRound{},
		lastReceivedTick:  map[uint64]int64{},
		leaseDeadlineTick: map[uint64]int64{},
		revokeRetryTick:   map[uint64]int64{},
	}
	if err := n.loadState(&saved); err != nil {
		return nil, err
	}
	if err := n.loadLog(&saved); err != nil {
		return nil, err
	}
	if cfg.Defects.has(ApplyTwice) && n.appliedIndex > saved.Base.Index+2 {
		n.appliedIndex -= 2
	}
	if err := n.startRaft(); err != nil {
		return nil, err
	}
	n.resetElectionTimer()
	if n.isOnlyVoter(saved.Entries) {
		n.runRaft(n.raft.Campaign)
	}
	return n, n.failure
}

// loadState loads the state from the snapshot on disk. A member that was just added has none. It starts with an empty
// state, in which it does not know the other members, until the leader sends a snapshot.
func (n *Node) loadState(saved *DiskContents) error {
	n.state, n.confState = store.New(saved.Identity.ClusterID, store.DefaultLimits), &raftpb.ConfState{}
	if saved.Snapshot.Index != 0 {
		_, data, err := n.disk.Snapshot()
		if err != nil {
			return fmt.Errorf("cannot read the snapshot: %w", err)
		}
		n.state, err = store.Load(bytes.NewReader(data))
		if err != nil {
			return fmt.Errorf("cannot load the snapshot: %w", err)
		}
		n.confState = saved.Snapshot.confState()
	}
	n.confChangeIndex = saved.Snapshot.Index
	n.appliedIndex, n.appliedTerm = saved.Snapshot.Index, saved.Snapshot.Term
	return n.checkLevel(n.state)
}

// checkLevel returns an error if a state is at a level of commands that this build does not know.
func (n *Node) checkLevel(state *store.State) error {
	if state.Level() <= n.cfg.KnownLevel {
		return nil
	}
	return fmt.Errorf("%w: the cluster uses commands of level %d, and this build knows %d: "+
		"start a newer build on this disk, nothing is lost", store.ErrUnknownCommand, state.Level(), n.cfg.KnownLevel)
}

// loadLog builds raft's log from the entries on disk. It must be called after loadState.
func (n *Node) loadLog(saved *DiskContents) error {
	hardState := saved.HardState
	if hardState == nil {
		hardState = &raftpb.HardState{}
	}
	// The entries that a snapshot includes are committed, even if their commit index was not written to disk.
	hardState.Commit = proto.Uint64(max(hardState.GetCommit(), n.appliedIndex))
	n.raftLog = &logStorage{
		MemoryStorage: raft.NewMemoryStorage(),
		hardState:     hardState,
		confState:     n.confState,
		disk:          n.disk,
		onError:       n.fail,
		isStale:       n.isStaleSnapshot,
	}
	if saved.Base.Index > 0 {
		base := SnapshotMeta{Index: saved.Base.Index, Term: saved.Base.Term}
		if err := n.raftLog.ApplySnapshot(&raftpb.Snapshot{Metadata: base.proto()}); err != nil {
			return err
		}
	}
	if err := n.raftLog.Append(saved.Entries); err != nil {
		return err
	}
	n.startLastIndex, _ = n.raftLog.LastIndex() // a log in memory never returns an error
	for _, entry := range saved.Entries {
		if entry.GetIndex() > n.appliedIndex {
			n.logBytes += len(entry.Data)
		}
	}
	return nil
}

// startRaft creates the raft node on the loaded log.
func (n *Node) startRaft() error {
	maxMessageBytes := uint64(n.cfg.MaxMessageBytes)
	cfg := &raft.Config{
		ID:                        n.identity.MemberID,
		ElectionTick:              n.cfg.ElectionTicks,
		HeartbeatTick:             1,
		Storage:                   n.raftLog,
		Applied:                   n.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxInflightBytes:          16 * maxMessageBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxCommittedSizePerReady:  maxCommittedReadyBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		Logger:                    raftLogger{n.cfg.Log},
	}
	return catchPanic(func() (err error) {
		n.raft, err = raft.NewRawNode(cfg)
		return err
	})
}

// isOnlyVoter reports whether this replica is the only voter, and no entry of its log can change that. Such a replica
// need not wait for a leader.
func (n *Node) isOnlyVoter(logEntries []*raftpb.Entry) bool {
	voters := n.confState.GetVoters()
	if len(voters) != 1 || voters[0] != n.identity.MemberID {
		return false
	}
	return !slices.ContainsFunc(logEntries, func(entry *raftpb.Entry) bool {
		return entry.GetIndex() > n.appliedIndex && entry.GetType() != raftpb.EntryNormal
	})
}
