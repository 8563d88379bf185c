// Package replica implements one replica of the store: the state of package store, replicated by raft (Ongaro and
// Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014; go.etcd.io/raft).
//
// The package does no I/O of its own, has no clock and draws only from the random source that it is given. The owner of
// a Node calls Tick at a steady rate, Step with each message from another replica, and Process after either. Process
// writes to the Disk, waits for the writes, and returns the messages to send and the requests that were completed. A
// simulation can therefore run many replicas from one seed and reproduce a failing run. Of this module, the package
// imports only package store.
//
// The package draws the election timeouts itself, because raft would draw them from the system's random source.
// Followers count ticks without starting an election (RawNode.TickQuiesced), and the package makes them campaign when
// the timeout has passed.
package replica

import (
	"errors"
	"fmt"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Errors with which a request to a replica is completed. Errors of the command itself are in store.Result.
var (
	// ErrNoLeader reports that the request was not accepted because no leader is known.
	ErrNoLeader = errors.New("no leader is known")
	// ErrBusy reports that the request was not accepted, because too many are pending or the membership is changing.
	ErrBusy = errors.New("replica is too busy to accept the request")
	// ErrOutcomeUnknown reports that the change may have been made already, or may still be made. A retry with the same
	// ID is safe, because the change is applied at most once.
	ErrOutcomeUnknown = errors.New("no answer in time: the change may have been made or not")
	// ErrStopped reports that the replica has stopped, because its disk or its state can no longer be relied on.
	ErrStopped = errors.New("the replica has stopped")
)

// RequestToken identifies a request to this replica until its completion. The caller assigns it.
type RequestToken uint64

// Completion is the end of a request. If Err is nil, Result has the outcome, which for a command may be an error, too.
// Otherwise Err is or wraps one of the errors of this package.
type Completion struct {
	Token  RequestToken
	Result store.Result
	Err    error
}

// Output is what Process did and what it leaves to the owner. Messages may be sent in any order, and may be lost.
type Output struct {
	Messages       []*raftpb.Message
	Completions    []Completion
	AppliedEntries int          // number of log entries that were applied
	StateReplaced  bool         // a snapshot from the leader replaced the state: State returns another one
	Snapshot       *SnapshotJob // unless nil, the owner runs it and then passes it to SnapshotDone
}

// Node is one replica. New creates one. It is not safe for concurrent use.
type Node struct {
	cfg       Config
	identity  Identity // of the disk
	raft      *raft.RawNode
	raftLog   *logStorage
	disk      Disk
	state     *store.State
	confState *raftpb.ConfState
	failure   error  // why the replica has stopped; wraps ErrStopped
	output    Output // of the next Process

	appliedIndex   uint64 // index of the last entry that was applied
	appliedTerm    uint64 // term of that entry
	startLastIndex uint64 // index of the last entry of the log at the start

	nowTick              int64 // number of ticks since the start
	electionElapsedTicks int   // ticks since the election timer was reset
	electionTimeoutTicks int
	leaderID             uint64 // 0: no leader is known
	leading              bool   // this replica is the leader

	pending         []*pendingRequest                   // ordered by deadline; includes requests that are done
	pendingByID     map[store.RequestID]*pendingRequest // proposals that are not done
	queuedReads     []*pendingRequest                   // reads for the next round
	openRounds      map[uint64]*readRound               // by number; not confirmed yet
	lastRound       uint64                              // number of the last round
	confirmedRounds []*readRound                        // rounds whose required index is not applied yet

	lastReceivedTick    map[uint64]int64 // tick of the last message from each other replica, by member
	leaseDeadlineTick   map[uint64]int64 // tick at which a lease expires, by lease; used while this replica leads
	revokeRetryTick     map[uint64]int64 // tick from which an expired lease may be revoked again, by lease
	registered          bool             // the registration of this start is committed and applied
	lastMaintenanceTick int64            // tick of the last proposals of maintain, apart from revocations

	logBytes        int    // size of the log since the last snapshot
	confChangeIndex uint64 // index of the last configuration change
	confirmation    confirmationState
	snapshotWanted  bool // raft needs a snapshot that is not older than confChangeIndex
	snapshotRunning bool // a SnapshotJob was handed out, and SnapshotDone has not been called for it
}

// pendingRequest is a request that was accepted: a proposal or, if the ID is zero, a read.
type pendingRequest struct {
	token        RequestToken
	id           store.RequestID
	deadlineTick int64
	done         bool
}

func (r *pendingRequest) isProposal() bool { return r.id != (store.RequestID{}) }

// Failed returns why the replica has stopped, or nil. The error wraps ErrStopped.
func (n *Node) Failed() error { return n.failure }

// State returns the committed state as far as this replica has applied it. It is valid until the next call of Process.
func (n *Node) State() *store.State { return n.state }

// Self returns the identity of the replica's disk.
func (n *Node) Self() Identity { return n.identity }

// Leading reports whether this replica is the leader as far as it knows. Another one may have been elected already.
func (n *Node) Leading() bool { return n.leading }

// Term returns the current term of raft.
func (n *Node) Term() uint64 { return n.raft.BasicStatus().GetTerm() }

// CaughtUp reports whether the state includes all entries that the log contained at the start.
func (n *Node) CaughtUp() bool { return n.appliedIndex >= n.startLastIndex }

// Uncommitted calls visit with each command in the log that is not applied, in order. After a start it is unknown which
// of them are committed.
func (n *Node) Uncommitted(visit func(*store.Command)) {
	const noLimit = 1 << 62 // bytes
	lastIndex, err := n.raftLog.LastIndex()
	if err != nil || lastIndex <= n.appliedIndex {
		return
	}
	entries, err := n.raftLog.Entries(n.appliedIndex+1, lastIndex+1, noLimit)
	if err != nil {
		return
	}
	for _, entry := range entries {
		if entry.GetType() != raftpb.EntryNormal || len(entry.Data) == 0 {
			continue
		}
		if command, err := store.DecodeCommand(entry.Data); err == nil {
			visit(command)
		}
	}
}

// fail stops the replica permanently. Only the first error is recorded.
func (n *Node) fail(err error) {
	if n.failure == nil {
		n.failure = fmt.Errorf("%w: %w", ErrStopped, err)
		n.cfg.Log.Error("store replica stopped", "error", err)
	}
}

// runRaft runs a call of raft, and stops the replica if it panics or returns an error other than that a proposal was
// dropped.
func (n *Node) runRaft(call func() error) {
	if err := catchPanic(call); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		n.fail(err)
	}
}

// catchPanic runs a call of raft and turns a panic, by which raft reports that an invariant is violated, into an error.
func catchPanic(call func() error) (err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			err = fmt.Errorf("raft panicked: %v", panicValue)
		}
	}()
	return call()
}
