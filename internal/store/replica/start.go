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

// Limits of raft that are not configurable.
const (
	maxInflightMessages    = 64
	maxUncommittedBytes    = 64 << 20
	maxCommittedReadyBytes = 4 << 20
)

// Bootstrap makes an empty disk the first member of a new cluster.
func Bootstrap(disk Disk, cluster uint64, name, address string, limits store.Limits) error {
	saved, err := disk.Load()
	if err != nil {
		return err
	}
	if saved.Identity.ClusterID != 0 {
		return fmt.Errorf("the disk belongs to cluster %x already", saved.Identity.ClusterID)
	}
	s := store.New(cluster, limits)
	s.Bootstrap(name, address, saved.Identity.DiskID)
	return BootstrapFrom(disk, saved.Identity, s)
}

// BootstrapFrom makes an empty disk the first member of a new cluster that starts with a state.
func BootstrapFrom(disk Disk, self Identity, s *store.State) error {
	members := s.Members()
	if len(members) != 1 {
		return fmt.Errorf("a new cluster has one member, and the state has %d", len(members))
	}
	s.SkipIndex(1)
	var data bytes.Buffer
	if err := s.Save(&data); err != nil {
		return err
	}
	first := members[0].ID
	hard := &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1), Vote: proto.Uint64(0)}
	if err := disk.Install(SnapshotMeta{Index: 1, Term: 1, Voters: []uint64{first}}, hard, data.Bytes()); err != nil {
		return err
	}
	self.ClusterID, self.MemberID = s.Cluster(), first
	return disk.SetIdentity(self)
}

// New starts a replica from its disk, which must belong to a cluster.
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
		cfg:            cfg,
		self:           saved.Identity,
		disk:           disk,
		pendingByID:    map[store.RequestID]*pendingRequest{},
		openRounds:     map[uint64]*readRound{},
		lastReceived:   map[uint64]int64{},
		leaseDeadlines: map[uint64]int64{},
		revokeRetryAt:  map[uint64]int64{},
	}
	if err := n.loadState(&saved); err != nil {
		return nil, err
	}
	if err := n.loadLog(&saved); err != nil {
		return nil, err
	}
	if cfg.Defects.has(ApplyTwice) && n.applied > saved.Base.Index+2 {
		n.applied -= 2
	}
	if err := n.startRaft(); err != nil {
		return nil, err
	}
	n.resetElectionTimer()
	if n.isOnlyVoter(saved.Entries) {
		n.runRaft(n.raft.Campaign)
	}
	return n, n.failed
}

// loadState loads the state from the snapshot. A member that was just added has none: it starts empty, without
// knowing the other members, until the leader sends a snapshot.
func (n *Node) loadState(saved *DiskContents) error {
	n.state, n.confState = store.New(saved.Identity.ClusterID, store.DefaultLimits), &raftpb.ConfState{}
	if saved.Snapshot.Index != 0 {
		_, data, err := n.disk.Snapshot()
		if err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
		n.state, err = store.Load(bytes.NewReader(data))
		if err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
		n.confState = saved.Snapshot.confState()
	}
	n.confIndex = saved.Snapshot.Index
	n.applied, n.term = saved.Snapshot.Index, saved.Snapshot.Term
	return n.checkLevel(n.state)
}

// checkLevel returns an error if the cluster uses commands that this build does not know.
func (n *Node) checkLevel(s *store.State) error {
	if s.Level() <= n.cfg.KnownLevel {
		return nil
	}
	return fmt.Errorf("%w: the cluster uses commands of level %d, and this build knows %d: "+
		"start a newer build on this disk, nothing is lost", store.ErrUnknownCommand, s.Level(), n.cfg.KnownLevel)
}

// loadLog builds the log of raft. It follows loadState.
func (n *Node) loadLog(saved *DiskContents) error {
	hard := saved.HardState
	if hard == nil {
		hard = &raftpb.HardState{}
	}
	// The entries of a snapshot are committed, even if the commit index of that time was not written.
	hard.Commit = proto.Uint64(max(hard.GetCommit(), n.applied))
	n.log = &logStorage{
		MemoryStorage: raft.NewMemoryStorage(),
		hardState:     hard,
		confState:     n.confState,
		disk:          n.disk,
		onError:       n.fail,
		isStale:       n.isStaleSnapshot,
	}
	if saved.Base.Index > 0 {
		base := SnapshotMeta{Index: saved.Base.Index, Term: saved.Base.Term}
		if err := n.log.ApplySnapshot(&raftpb.Snapshot{Metadata: base.proto()}); err != nil {
			return err
		}
	}
	if err := n.log.Append(saved.Entries); err != nil {
		return err
	}
	n.startLastIndex, _ = n.log.LastIndex() // a log in memory returns no error
	for _, e := range saved.Entries {
		if e.GetIndex() > n.applied {
			n.logBytes += len(e.Data)
		}
	}
	return nil
}

func (n *Node) startRaft() error {
	maxMessageBytes := uint64(n.cfg.MaxMessageBytes)
	cfg := &raft.Config{
		ID:                        n.self.MemberID,
		ElectionTick:              n.cfg.ElectionTicks,
		HeartbeatTick:             1,
		Storage:                   n.log,
		Applied:                   n.applied,
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

// isOnlyVoter reports whether this replica is the only voter, and no entry of its log may change that. It need not
// wait for a leader then.
func (n *Node) isOnlyVoter(log []*raftpb.Entry) bool {
	voters := n.confState.GetVoters()
	if len(voters) != 1 || voters[0] != n.self.MemberID {
		return false
	}
	return !slices.ContainsFunc(log, func(e *raftpb.Entry) bool {
		return e.GetIndex() > n.applied && e.GetType() != raftpb.EntryNormal
	})
}
