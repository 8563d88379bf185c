package replica

import (
	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// setLeader records which replica leads.
func (n *Node) setLeader(leaderID uint64, leading bool) {
	if leading && !n.leading {
		n.restartLeaseTimers()
	}
	if n.leaderID != leaderID {
		if leaderID != 0 {
			n.failUncertain()
		}
		// Proposals to the former leader may be lost: the next tick proposes anew.
		n.lastMaintenance = n.now - int64(n.cfg.ElectionTicks)
	}
	n.leaderID, n.leading = leaderID, leading
}

// failUncertain completes the proposals to the former leader, which may be lost, and has open reads start a new round.
func (n *Node) failUncertain() {
	for _, r := range n.pending {
		if !r.done && r.isProposal() {
			n.complete(r, store.Result{}, ErrOutcomeUnknown)
		}
	}
	for _, round := range n.openRounds {
		round.startedAt = n.now - 2*int64(n.cfg.ElectionTicks)
	}
}

// TransferLeadership starts to transfer leadership to the active follower with the most entries. It reports whether
// this replica does not lead. Before a planned stop it is called until it returns true.
func (n *Node) TransferLeadership() bool {
	if n.failed != nil || !n.leading {
		return true
	}
	var best, bestMatch uint64
	n.raft.WithProgress(func(id uint64, t raft.ProgressType, p tracker.Progress) {
		if id == n.self.MemberID || t != raft.ProgressTypePeer || !n.recentlyActive(id) {
			return
		}
		if best == 0 || p.Match > bestMatch {
			best, bestMatch = id, p.Match
		}
	})
	if best != 0 {
		n.runRaft(func() error {
			n.raft.TransferLeader(best)
			return nil
		})
	}
	return false
}

// sendStaleHeartbeats implements the defect LeadAfterFailure: heartbeats of a leader that no longer writes.
func (n *Node) sendStaleHeartbeats() {
	if !n.leading {
		return
	}
	for _, id := range n.confState.GetVoters() {
		if id == n.self.MemberID {
			continue
		}
		n.out.Messages = append(n.out.Messages, &raftpb.Message{
			Type:   raftpb.MsgHeartbeat.Enum(),
			From:   proto.Uint64(n.self.MemberID),
			To:     proto.Uint64(id),
			Term:   proto.Uint64(n.Term()),
			Commit: proto.Uint64(0),
		})
	}
}
