package replica

import (
	"slices"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// maxPromotionLag is the maximum number of committed entries that a learner may lack when it is made a voter.
const maxPromotionLag = 64

// maintain proposes the commands that replicas issue themselves. Every replica proposes the registration of its start.
// The leader also proposes to revoke expired leases, one configuration change at a time and its confirmation, and a
// higher level of commands. Tick calls it. All but revocations are proposed at most once per minimum election timeout.
func (n *Node) maintain() {
	if n.failure != nil || n.leaderID == 0 {
		return
	}
	if n.leading {
		n.revokeExpiredLeases()
	}
	if n.nowTick-n.lastMaintenanceTick < int64(n.cfg.ElectionTicks) {
		return
	}
	if _, isMember := n.state.Member(n.identity.MemberID); isMember && !n.registered {
		n.lastMaintenanceTick = n.nowTick
		registration := n.registration(n.cfg.KnownLevel)
		n.proposeInternal(&store.Command{RegisterStart: &registration})
	}
	if !n.leading {
		return
	}
	n.lastMaintenanceTick = n.nowTick
	if n.confirmation != confirmed {
		n.confirmation = unconfirmed // an earlier confirmation may be lost
		n.proposeConfirmation()
		return
	}
	if change := n.nextConfChange(); change != nil {
		n.runRaft(func() error { return n.raft.ProposeConfChange(change) })
		return
	}
	if level := n.commonLevel(); level > n.state.Level() {
		n.proposeInternal(&store.Command{RaiseLevel: &store.RaiseLevel{Level: level}})
	}
}

// registration returns the command that registers this start with a level of commands.
func (n *Node) registration(level uint64) store.RegisterStart {
	return store.RegisterStart{
		MemberID: n.identity.MemberID,
		DiskID:   n.identity.DiskID,
		Boot:     n.identity.Boot,
		Level:    level,
	}
}

// commonLevel returns the highest level of commands that every member knows.
func (n *Node) commonLevel() uint64 {
	level := n.cfg.KnownLevel
	for _, member := range n.state.Members() {
		level = min(level, member.Level)
	}
	return level
}

// nextConfChange returns the next step that brings raft's configuration closer to the members of the state. It returns
// nil if there is none.
func (n *Node) nextConfChange() *raftpb.ConfChange {
	status := n.raft.Status()
	if joint := status.Config.Voters[1]; len(joint) > 0 {
		return nil
	}
	for _, member := range n.state.Members() {
		progress, configured := status.Progress[member.ID]
		if !configured {
			return newConfChange(raftpb.ConfChangeAddLearnerNode, member.ID)
		}
		if n.canPromote(member, progress, status.GetCommit()) {
			return newConfChange(raftpb.ConfChangeAddNode, member.ID)
		}
	}
	return n.nextRemoval(status.Progress)
}

func newConfChange(changeType raftpb.ConfChangeType, id uint64) *raftpb.ConfChange {
	return &raftpb.ConfChange{Type: changeType.Enum(), NodeId: proto.Uint64(id)}
}

// canPromote reports whether a member is a learner that can be made a voter, because it is registered, active and lacks
// at most maxPromotionLag entries.
func (n *Node) canPromote(member store.Member, progress tracker.Progress, commitIndex uint64) bool {
	return progress.IsLearner && member.DiskID != 0 && n.recentlyActive(member.ID) &&
		progress.State == tracker.StateReplicate && progress.Match+maxPromotionLag >= commitIndex
}

// nextRemoval returns the configuration change that removes a replica that is no longer a member, or nil. If that is
// this replica, it starts to transfer leadership and returns nil, so that the next leader makes the change.
func (n *Node) nextRemoval(progress map[uint64]tracker.Progress) *raftpb.ConfChange {
	var removed []uint64
	for id := range progress {
		if _, ok := n.state.Member(id); !ok {
			removed = append(removed, id)
			delete(n.lastReceivedTick, id)
		}
	}
	if len(removed) == 0 {
		return nil
	}
	first := slices.Min(removed)
	if first == n.identity.MemberID && !n.TransferLeadership() {
		return nil
	}
	return newConfChange(raftpb.ConfChangeRemoveNode, first)
}

// applyConfChange applies a committed configuration change to raft and to the state.
func (n *Node) applyConfChange(change *raftpb.ConfChange) {
	n.confState, n.confChangeIndex = n.raft.ApplyConfChange(change), n.appliedIndex
	n.confirmation = unconfirmed
	if change.GetType() != raftpb.ConfChangeRemoveNode {
		n.state.SetVoter(change.GetNodeId(), change.GetType() == raftpb.ConfChangeAddNode)
	}
}

// membershipStable reports whether raft's configuration matches the members of the state, all members are voters, and a
// majority of them knows that the last configuration change is committed, so that they elect a leader without this
// replica.
func (n *Node) membershipStable() bool {
	known := n.confirmation == confirmed || n.cfg.Defects.has(SettleUnconfirmed)
	return known && n.membershipStableExcept(0)
}

// membershipStableExcept is membershipStable, but ignores a member that is not a voter, such as one that was added and
// never started.
func (n *Node) membershipStableExcept(excludedID uint64) bool {
	voters, learners := n.confState.GetVoters(), n.confState.GetLearners()
	others := 0
	for _, member := range n.state.Members() {
		if member.ID == excludedID {
			continue
		}
		others++
		if !slices.Contains(voters, member.ID) {
			return false
		}
	}
	otherLearner := slices.ContainsFunc(learners, func(learner uint64) bool { return learner != excludedID })
	return len(voters) == others && !slices.Contains(voters, excludedID) && !otherLearner
}

// matchIndex returns the index of the last entry that a replica is known to have. Only the leader knows it; on other
// replicas it is 0.
func (n *Node) matchIndex(id uint64) uint64 {
	var match uint64
	n.raft.WithProgress(func(other uint64, _ raft.ProgressType, progress tracker.Progress) {
		if other == id {
			match = progress.Match
		}
	})
	return match
}
