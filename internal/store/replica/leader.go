package replica

import (
	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// setLeader records the ID of the leader, 0 if none is known, and whether this replica is the leader.
func (n *Node) setLeader(leaderID uint64, leading bool) {
	if leading && !n.leading {
		n.restartLeaseTimers()
	}
	if n.leaderID != leaderID {
		if leaderID != 0 {
			n.handleLeaderChange()
		}
		// Proposals of maintain to the former leader may be lost. The next tick repeats them.
		n.lastMaintenanceTick = n.nowTick - int64(n.cfg.ElectionTicks)
	}
	n.leaderID, n.leading = leaderID, leading
}

// handleLeaderChange completes the proposals to the former leader with ErrOutcomeUnknown, because they may be lost. It
// also lets the open rounds time out, so that their reads start a new round with the new leader.
func (n *Node) handleLeaderChange() {
	for _, request := range n.pending {
		if !request.done && request.isProposal() {
			n.complete(request, store.Result{}, ErrOutcomeUnknown)
		}
	}
	for _, round := range n.openRounds {
		round.startTick = n.nowTick - 2*int64(n.cfg.ElectionTicks)
	}
}

// TransferLeadership starts to transfer leadership to the active follower with the most entries, if this replica leads.
// It reports whether this replica does not lead. Before a planned stop, the owner calls it until it returns true.
func (n *Node) TransferLeadership() bool {
	if n.failure != nil || !n.leading {
		return true
	}
	var target, targetMatch uint64
	n.raft.WithProgress(func(id uint64, progressType raft.ProgressType, progress tracker.Progress) {
		if id == n.identity.MemberID || progressType != raft.ProgressTypePeer || !n.recentlyActive(id) {
			return
		}
		if target == 0 || progress.Match > targetMatch {
			target, targetMatch = id, progress.Match
		}
	})
	if target != 0 {
		n.runRaft(func() error {
			n.raft.TransferLeader(target)
			return nil
		})
	}
	return false
}

// sendStaleHeartbeats implements the defect LeadAfterFailure: a leader whose disk failed sends heartbeats.
func (n *Node) sendStaleHeartbeats() {
	if !n.leading {
		return
	}
	for _, id := range n.confState.GetVoters() {
		if id == n.identity.MemberID {
			continue
		}
		n.output.Messages = append(n.output.Messages, &raftpb.Message{
			Type:   raftpb.MsgHeartbeat.Enum(),
			From:   proto.Uint64(n.identity.MemberID),
			To:     proto.Uint64(id),
			Term:   proto.Uint64(n.Term()),
			Commit: proto.Uint64(0),
		})
	}
}
