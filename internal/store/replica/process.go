package replica

import (
	"bytes"
	"fmt"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Process handles what the calls of other methods since the last Process caused: it starts reads, writes to disk, for
// which it waits, and applies committed entries. It returns the messages and completions that the owner hands on.
func (n *Node) Process() Output {
	n.startReadRound()
	for n.failure == nil && n.raft.HasReady() {
		n.runRaft(n.processReady)
		n.proposeConfirmation()
	}
	if n.failure != nil {
		n.failPending()
	}
	if n.failure == nil && !n.snapshotRunning && (n.logBytes >= n.cfg.SnapshotLogBytes || n.snapshotWanted) {
		n.output.Snapshot = n.newSnapshotJob()
	}
	output := n.output
	n.output = Output{}
	return output
}

// failPending completes all pending requests with an error after the replica has failed. It discards the messages that
// are not sent yet, because what they promise may not be on disk.
func (n *Node) failPending() {
	if !n.cfg.Defects.has(AckBeforeSync | LeadAfterFailure) {
		n.output.Messages = nil
	}
	for _, request := range n.pending {
		if request.done {
			continue
		}
		err := n.failure
		if request.isProposal() {
			err = fmt.Errorf("%w; %w", ErrOutcomeUnknown, n.failure)
		}
		n.complete(request, store.Result{}, err)
	}
	n.pending, n.queuedReads, n.pendingByID = nil, nil, map[store.RequestID]*pendingRequest{}
}

// processReady processes one Ready of raft. It writes to disk, queues messages, and applies committed entries, in this
// order.
func (n *Node) processReady() error {
	ready := n.raft.Ready()
	if ready.SoftState != nil {
		n.setLeader(ready.Lead, ready.RaftState == raft.StateLeader)
	}
	if n.cfg.Defects.has(AckBeforeSync) {
		n.output.Messages = append(n.output.Messages, ready.Messages...)
	}
	if err := n.persist(&ready); err != nil {
		n.fail(err)
		return nil
	}
	if !n.cfg.Defects.has(AckBeforeSync) {
		n.output.Messages = append(n.output.Messages, ready.Messages...)
	}
	for _, message := range ready.Messages {
		if message.GetType() == raftpb.MsgVoteResp && !message.GetReject() {
			n.resetElectionTimer()
		}
	}
	for _, readState := range ready.ReadStates {
		n.confirmRead(readState)
	}
	for _, entry := range ready.CommittedEntries {
		if err := n.apply(entry); err != nil {
			n.fail(err)
			return nil
		}
	}
	n.completeReads()
	n.raft.Advance(ready)
	return nil
}

// persist writes the leader's snapshot, the hard state and new entries of a Ready to disk.
func (n *Node) persist(ready *raft.Ready) error {
	hardState := n.applyForgetVote(ready.HardState)
	if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
		if err := n.installSnapshot(ready.Snapshot, hardState); err != nil {
			return err
		}
		hardState = nil // installSnapshot has written it with the snapshot
	}
	// A new commit index alone need not be written, because after a restart the replica learns it from the leader.
	if len(ready.Entries) > 0 || hardState != nil && ready.MustSync {
		if hardState == nil {
			hardState = n.applyForgetVote(n.raft.BasicStatus().HardState)
		}
		if err := n.disk.Append(hardState, ready.Entries); err != nil {
			return err
		}
	}
	for _, entry := range ready.Entries {
		n.logBytes += len(entry.Data)
	}
	return n.raftLog.Append(ready.Entries)
}

// applyForgetVote removes the vote from a hard state if the defect ForgetVote is injected. Otherwise it returns the
// hard state unchanged.
func (n *Node) applyForgetVote(hardState *raftpb.HardState) *raftpb.HardState {
	if hardState == nil || !n.cfg.Defects.has(ForgetVote) {
		return hardState
	}
	withoutVote := proto.CloneOf(hardState)
	withoutVote.Vote = proto.Uint64(0)
	return withoutVote
}

// installSnapshot replaces the state and the log, in memory and on disk, by a snapshot from the leader. It writes the
// hard state with it, unless that is nil.
func (n *Node) installSnapshot(snapshot *raftpb.Snapshot, hardState *raftpb.HardState) error {
	state, err := store.Load(bytes.NewReader(snapshot.Data))
	if err != nil {
		return fmt.Errorf("cannot load the leader's snapshot: %w", err)
	}
	if err := n.checkLevel(state); err != nil {
		return fmt.Errorf("cannot use the leader's snapshot: %w", err)
	}
	meta := snapshotMetaOf(snapshot.Metadata)
	if err := n.disk.Install(meta, hardState, snapshot.Data); err != nil {
		return err
	}
	if err := n.raftLog.ApplySnapshot(&raftpb.Snapshot{Metadata: snapshot.Metadata}); err != nil {
		return err
	}
	n.state, n.confState = state, meta.confState()
	n.appliedIndex, n.appliedTerm = meta.Index, meta.Term
	n.confChangeIndex, n.startLastIndex, n.logBytes = meta.Index, 0, 0
	n.output.StateReplaced = true
	n.completeFromSnapshot(state)
	return nil
}

// completeFromSnapshot completes the pending proposals whose results are cached in a state from the leader.
func (n *Node) completeFromSnapshot(state *store.State) {
	for _, request := range n.pending {
		if request.done || !request.isProposal() {
			continue
		}
		if result, ok := state.CachedResult(request.id); ok {
			n.complete(request, result, nil)
		}
	}
}
