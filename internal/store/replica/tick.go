package replica

import (
	"errors"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Tick advances the replica's time by one tick. The owner calls it every Config.TickMillis milliseconds.
func (n *Node) Tick() {
	if n.failure != nil {
		if n.cfg.Defects.has(LeadAfterFailure) {
			n.sendStaleHeartbeats()
		}
		return
	}
	n.nowTick++
	if n.leading {
		n.raft.Tick()
	} else {
		n.tickElection()
	}
	n.expireRequests()
	n.maintain()
}

// tickElection starts an election if this replica has not heard from a leader for the election timeout.
func (n *Node) tickElection() {
	n.raft.TickQuiesced()
	n.electionElapsedTicks++
	if n.electionElapsedTicks >= n.electionTimeoutTicks {
		n.resetElectionTimer()
		n.runRaft(n.raft.Campaign)
	}
}

// resetElectionTimer draws a new election timeout, which begins now.
func (n *Node) resetElectionTimer() {
	n.electionElapsedTicks = 0
	n.electionTimeoutTicks = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// Step handles a message from another replica. It ignores raft's local messages and messages to other replicas.
func (n *Node) Step(message *raftpb.Message) {
	if n.failure != nil || raft.IsLocalMsg(message.GetType()) || message.GetTo() != n.identity.MemberID {
		return
	}
	switch message.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if message.GetTerm() >= n.Term() {
			n.resetElectionTimer()
		}
	}
	if _, ok := n.state.Member(message.GetFrom()); ok {
		n.lastReceivedTick[message.GetFrom()] = n.nowTick
	}
	err := catchPanic(func() error { return n.raft.Step(message) })
	if err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		n.fail(err)
	}
}

// recentlyActive reports whether another replica has sent a message within the minimum election timeout. Raft's
// RecentActive cannot be used, because raft resets it periodically, at the same ticks at which a leader would read it.
func (n *Node) recentlyActive(id uint64) bool {
	lastTick, ok := n.lastReceivedTick[id]
	return ok && n.nowTick-lastTick < int64(n.cfg.ElectionTicks)
}

// ReportUnreachable tells raft that a message to a member was not delivered.
func (n *Node) ReportUnreachable(id uint64) {
	if n.failure != nil {
		return
	}
	n.runRaft(func() error {
		n.raft.ReportUnreachable(id)
		return nil
	})
}

// ReportSnapshot tells raft whether a snapshot was sent to a member.
func (n *Node) ReportSnapshot(id uint64, sent bool) {
	if n.failure != nil {
		return
	}
	status := raft.SnapshotFinish
	if !sent {
		status = raft.SnapshotFailure
	}
	n.runRaft(func() error {
		n.raft.ReportSnapshot(id, status)
		return nil
	})
}
