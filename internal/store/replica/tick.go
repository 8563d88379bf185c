package replica

import (
	"errors"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Tick advances the replica's time by one tick.
func (n *Node) Tick() {
	if n.failed != nil {
		if n.cfg.Defects.has(LeadAfterFailure) {
			n.sendStaleHeartbeats()
		}
		return
	}
	n.now++
	if n.leading {
		n.raft.Tick()
	} else {
		n.tickElection()
	}
	n.expireRequests()
	n.maintain()
}

func (n *Node) tickElection() {
	n.raft.TickQuiesced()
	n.electionElapsed++
	if n.electionElapsed >= n.electionTimeout {
		n.resetElectionTimer()
		n.runRaft(n.raft.Campaign)
	}
}

// resetElectionTimer draws a new election timeout, which starts now.
func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// Step handles a message of another replica. It ignores messages that are not for this one.
func (n *Node) Step(m *raftpb.Message) {
	if n.failed != nil || raft.IsLocalMsg(m.GetType()) || m.GetTo() != n.self.MemberID {
		return
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= n.Term() {
			n.resetElectionTimer()
		}
	}
	if _, ok := n.state.Member(m.GetFrom()); ok {
		n.lastReceived[m.GetFrom()] = n.now
	}
	err := catchPanic(func() error { return n.raft.Step(m) })
	if err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		n.fail(err)
	}
}

// recentlyActive reports whether another replica sent a message within the minimum election timeout. Raft's
// RecentActive is of no use here: raft resets it at regular ticks, which are the ones at which a leader would look at
// it.
func (n *Node) recentlyActive(id uint64) bool {
	received, ok := n.lastReceived[id]
	return ok && n.now-received < int64(n.cfg.ElectionTicks)
}

// ReportUnreachable reports that a message to a replica was not delivered.
func (n *Node) ReportUnreachable(id uint64) {
	if n.failed != nil {
		return
	}
	n.runRaft(func() error {
		n.raft.ReportUnreachable(id)
		return nil
	})
}

// ReportSnapshot reports whether a snapshot was sent to a replica.
func (n *Node) ReportSnapshot(id uint64, ok bool) {
	if n.failed != nil {
		return
	}
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	n.runRaft(func() error {
		n.raft.ReportSnapshot(id, status)
		return nil
	})
}
