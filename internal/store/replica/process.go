package replica

import (
	"bytes"
	"fmt"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Process does what the calls since the last one require. It waits for the disk.
func (n *Node) Process() Output {
	n.startReadRound()
	for n.failed == nil && n.raft.HasReady() {
		n.runRaft(n.processReady)
	}
	if n.failed != nil {
		n.failPending()
	}
	if n.failed == nil && !n.snapshotRunning && (n.logBytes >= n.cfg.SnapshotLogBytes || n.snapshotWanted) {
		n.out.Snapshot = n.newSnapshotJob()
	}
	out := n.out
	n.out = Output{}
	return out
}

// failPending completes all pending requests after a failure. No message is sent, because what it promises may not be
// on disk.
func (n *Node) failPending() {
	if !n.cfg.Defects.has(AckBeforeSync | LeadAfterFailure) {
		n.out.Messages = nil
	}
	for _, r := range n.pending {
		if r.done {
			continue
		}
		err := n.failed
		if r.isProposal() {
			err = fmt.Errorf("%w; %w", ErrOutcomeUnknown, n.failed)
		}
		n.complete(r, store.Result{}, err)
	}
	n.pending, n.queuedReads, n.pendingByID = nil, nil, map[store.RequestID]*pendingRequest{}
}

// processReady processes one Ready of raft: it writes, then sends, then applies.
func (n *Node) processReady() error {
	rd := n.raft.Ready()
	if rd.SoftState != nil {
		n.setLeader(rd.Lead, rd.RaftState == raft.StateLeader)
	}
	if n.cfg.Defects.has(AckBeforeSync) {
		n.out.Messages = append(n.out.Messages, rd.Messages...)
	}
	if err := n.persist(&rd); err != nil {
		n.fail(err)
		return nil
	}
	if !n.cfg.Defects.has(AckBeforeSync) {
		n.out.Messages = append(n.out.Messages, rd.Messages...)
	}
	for _, m := range rd.Messages {
		if m.GetType() == raftpb.MsgVoteResp && !m.GetReject() {
			n.resetElectionTimer()
		}
	}
	for _, s := range rd.ReadStates {
		n.confirmRead(s)
	}
	for _, e := range rd.CommittedEntries {
		if err := n.apply(e); err != nil {
			n.fail(err)
			return nil
		}
	}
	n.completeReads()
	n.raft.Advance(rd)
	return nil
}

// persist writes a snapshot of the leader, the hard state and new entries to disk.
func (n *Node) persist(rd *raft.Ready) error {
	hard := n.withoutVote(rd.HardState)
	if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
		if err := n.installSnapshot(rd.Snapshot, hard); err != nil {
			return err
		}
		hard = nil // is written with the snapshot
	}
	// A commit index alone need not be written at once: after a restart it is learned from the leader.
	if len(rd.Entries) > 0 || hard != nil && rd.MustSync {
		if hard == nil {
			hard = n.withoutVote(n.raft.BasicStatus().HardState)
		}
		if err := n.disk.Append(hard, rd.Entries); err != nil {
			return err
		}
	}
	for _, e := range rd.Entries {
		n.logBytes += len(e.Data)
	}
	return n.log.Append(rd.Entries)
}

// withoutVote returns the hard state as it is, unless the defect ForgetVote is injected.
func (n *Node) withoutVote(hard *raftpb.HardState) *raftpb.HardState {
	if hard == nil || !n.cfg.Defects.has(ForgetVote) {
		return hard
	}
	c := proto.CloneOf(hard)
	c.Vote = proto.Uint64(0)
	return c
}

// installSnapshot replaces the state and the log by a snapshot of the leader.
func (n *Node) installSnapshot(snapshot *raftpb.Snapshot, hard *raftpb.HardState) error {
	s, err := store.Load(bytes.NewReader(snapshot.Data))
	if err != nil {
		return fmt.Errorf("the leader's snapshot: %w", err)
	}
	if err := n.checkLevel(s); err != nil {
		return fmt.Errorf("the leader's snapshot: %w", err)
	}
	meta := snapshotMetaOf(snapshot.Metadata)
	if err := n.disk.Install(meta, hard, snapshot.Data); err != nil {
		return err
	}
	if err := n.log.ApplySnapshot(&raftpb.Snapshot{Metadata: snapshot.Metadata}); err != nil {
		return err
	}
	n.state, n.confState = s, meta.confState()
	n.applied, n.term = meta.Index, meta.Term
	n.confIndex, n.startLastIndex, n.logBytes = meta.Index, 0, 0
	n.out.StateReplaced = true
	n.completeFromSnapshot(s)
	return nil
}

// completeFromSnapshot completes the proposals whose results are in a snapshot of the leader.
func (n *Node) completeFromSnapshot(s *store.State) {
	for _, r := range n.pending {
		if r.done || !r.isProposal() {
			continue
		}
		if result, ok := s.CachedResult(r.id); ok {
			n.complete(r, result, nil)
		}
	}
}
