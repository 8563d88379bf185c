package replica

import (
	"slices"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// maxPromotionLag is how many entries a learner may lack of the committed ones when it is made a voter.
const maxPromotionLag = 64

// maintain proposes what the cluster needs: this replica's registration and, from the leader, the end of expired
// leases, one step of a change of the members at a time, and a higher level of commands.
func (n *Node) maintain() {
	if n.failed != nil || n.leaderID == 0 {
		return
	}
	if n.leading {
		n.revokeExpiredLeases()
	}
	if n.now-n.lastMaintenance < int64(n.cfg.ElectionTicks) {
		return
	}
	if _, isMember := n.state.Member(n.self.MemberID); isMember && !n.registered {
		n.lastMaintenance = n.now
		registration := n.registration(n.cfg.KnownLevel)
		n.proposeInternal(&store.Command{RegisterStart: &registration})
	}
	if !n.leading {
		return
	}
	n.lastMaintenance = n.now
	if change := n.nextConfChange(); change != nil {
		n.runRaft(func() error { return n.raft.ProposeConfChange(change) })
		return
	}
	if level := n.commonLevel(); level > n.state.Level() {
		n.proposeInternal(&store.Command{RaiseLevel: &store.RaiseLevel{Level: level}})
	}
}

// registration is the registration of this start.
func (n *Node) registration(level uint64) store.RegisterStart {
	return store.RegisterStart{MemberID: n.self.MemberID, DiskID: n.self.DiskID, Boot: n.self.Boot, Level: level}
}

// commonLevel returns the highest level of commands that every member knows.
func (n *Node) commonLevel() uint64 {
	level := n.cfg.KnownLevel
	for _, m := range n.state.Members() {
		level = min(level, m.Level)
	}
	return level
}

// nextConfChange returns the next step from raft's configuration to the members of the state, or nil.
func (n *Node) nextConfChange() *raftpb.ConfChange {
	st := n.raft.Status()
	if joint := st.Config.Voters[1]; len(joint) > 0 {
		return nil
	}
	for _, m := range n.state.Members() {
		progress, configured := st.Progress[m.ID]
		if !configured {
			return newConfChange(raftpb.ConfChangeAddLearnerNode, m.ID)
		}
		if n.canPromote(m, progress, st.GetCommit()) {
			return newConfChange(raftpb.ConfChangeAddNode, m.ID)
		}
	}
	return n.nextRemoval(st.Progress)
}

func newConfChange(t raftpb.ConfChangeType, id uint64) *raftpb.ConfChange {
	return &raftpb.ConfChange{Type: t.Enum(), NodeId: proto.Uint64(id)}
}

// canPromote reports whether a member is a learner that can be made a voter: registered, active and nearly caught up.
func (n *Node) canPromote(m store.Member, p tracker.Progress, commit uint64) bool {
	return p.IsLearner && m.DiskID != 0 && n.recentlyActive(m.ID) && p.State == tracker.StateReplicate &&
		p.Match+maxPromotionLag >= commit
}

// nextRemoval returns the removal of a replica that is no longer a member. This replica is removed only after it has
// transferred leadership.
func (n *Node) nextRemoval(progress map[uint64]tracker.Progress) *raftpb.ConfChange {
	var removed []uint64
	for id := range progress {
		if _, ok := n.state.Member(id); !ok {
			removed = append(removed, id)
			delete(n.lastReceived, id)
		}
	}
	if len(removed) == 0 {
		return nil
	}
	first := slices.Min(removed)
	if first == n.self.MemberID && !n.TransferLeadership() {
		return nil
	}
	return newConfChange(raftpb.ConfChangeRemoveNode, first)
}

// applyConfChange applies a committed configuration change.
func (n *Node) applyConfChange(change *raftpb.ConfChange) {
	n.confState, n.confIndex = n.raft.ApplyConfChange(change), n.applied
	if change.GetType() != raftpb.ConfChangeRemoveNode {
		n.state.SetVoter(change.GetNodeId(), change.GetType() == raftpb.ConfChangeAddNode)
	}
}

// membershipStable reports whether raft's configuration matches the members of the state, and all of them vote.
func (n *Node) membershipStable() bool { return n.membershipStableExcept(0) }

// membershipStableExcept is membershipStable without a member that does not vote, such as one that was added and was
// never started.
func (n *Node) membershipStableExcept(id uint64) bool {
	voters, learners := n.confState.GetVoters(), n.confState.GetLearners()
	others := 0
	for _, m := range n.state.Members() {
		if m.ID == id {
			continue
		}
		others++
		if !slices.Contains(voters, m.ID) {
			return false
		}
	}
	otherLearner := slices.ContainsFunc(learners, func(learner uint64) bool { return learner != id })
	return len(voters) == others && !slices.Contains(voters, id) && !otherLearner
}

// matchIndex returns the last entry that a replica is known to have, if this one leads.
func (n *Node) matchIndex(id uint64) uint64 {
	var match uint64
	n.raft.WithProgress(func(other uint64, _ raft.ProgressType, p tracker.Progress) {
		if other == id {
			match = p.Match
		}
	})
	return match
}
