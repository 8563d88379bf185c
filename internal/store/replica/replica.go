// Package replica is one replica of the store: the state of package store, replicated by raft (Ongaro and Ousterhout,
// "In Search of an Understandable Consensus Algorithm", 2014; go.etcd.io/raft).
//
// It does no I/O of its own, has no clock and draws only from the random source that it is given. The owner of a Node
// calls Tick at a steady rate, Step with each message of another replica, and Process after either. Process writes to
// the Disk, for which it waits, and returns the messages to be sent and the requests that were completed. A simulation
// can therefore run many replicas from one seed and reproduce a failing run. The package imports only package store and
// raft.
//
// The election timeout is drawn here, because raft would draw its own from the system's random source: followers count
// ticks without starting an election (RawNode.TickQuiesced), and are made to campaign when the timeout has passed.
package replica

import (
	"errors"
	"fmt"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Errors of a request to a replica, besides the outcomes of package store.
var (
	// ErrNoLeader reports that the request was not accepted because no leader is known.
	ErrNoLeader = errors.New("no leader is known")
	// ErrBusy reports that the request was not accepted, because too many are pending or the membership is changing.
	ErrBusy = errors.New("too busy")
	// ErrOutcomeUnknown reports that a change may have been made or may yet be made. A retry with the same ID is
	// applied once.
	ErrOutcomeUnknown = errors.New("no answer in time: the change may have been made or not")
	// ErrStopped reports that the replica has stopped, because its disk or its state cannot be relied on.
	ErrStopped = errors.New("the replica has stopped")
)

// RequestToken identifies a request to this replica. The caller assigns it.
type RequestToken uint64

// Completion completes a request. Err is of this package, or nil; the outcome of a command is in Result.
type Completion struct {
	Token  RequestToken
	Result store.Result
	Err    error
}

// Output is what Process did and what is left to do. Messages may be sent in any order, and may be lost.
type Output struct {
	Messages       []*raftpb.Message
	Completions    []Completion
	AppliedEntries int
	StateReplaced  bool         // by a snapshot of the leader: State returns another one
	Snapshot       *SnapshotJob // to be run, concurrently with further calls, and then passed to SnapshotDone
}

// Node is one replica. It is for one goroutine.
type Node struct {
	cfg       Config
	self      Identity
	raft      *raft.RawNode
	log       *logStorage
	disk      Disk
	state     *store.State
	confState *raftpb.ConfState
	failed    error
	out       Output

	applied        uint64 // index of the last entry applied
	term           uint64 // and its term
	startLastIndex uint64 // last entry of the log at the start

	now             int64 // ticks since the start
	electionElapsed int   // ticks since a message of the leader
	electionTimeout int   // ticks
	leaderID        uint64
	leading         bool

	pending         []*pendingRequest // by deadline; includes requests that are done
	pendingByID     map[store.RequestID]*pendingRequest
	queuedReads     []*pendingRequest // for the next round
	openRounds      map[uint64]*readRound
	lastRound       uint64
	confirmedRounds []*readRound // until their index is applied

	lastReceived    map[uint64]int64 // tick of the last message of each other replica
	leaseDeadlines  map[uint64]int64 // ticks, while this replica leads
	revokeRetryAt   map[uint64]int64 // tick from which the end of an expired lease is proposed again
	registered      bool             // the registration of this start is committed
	lastMaintenance int64            // tick

	logBytes        int    // of the log since the last snapshot
	confIndex       uint64 // of the last configuration change
	snapshotWanted  bool   // one from after confIndex
	snapshotRunning bool
}

// pendingRequest is a proposal or, with the zero ID, a read.
type pendingRequest struct {
	token    RequestToken
	id       store.RequestID
	deadline int64 // tick
	done     bool
}

func (r *pendingRequest) isProposal() bool { return r.id != (store.RequestID{}) }

// Failed returns why the replica stopped, or nil.
func (n *Node) Failed() error { return n.failed }

// State returns the committed state as far as this replica has applied it. It is valid until the next call of Process.
func (n *Node) State() *store.State { return n.state }

// Self returns the identity of the replica's disk.
func (n *Node) Self() Identity { return n.self }

// Leading reports whether this replica leads, as far as it knows.
func (n *Node) Leading() bool { return n.leading }

// Term returns the current term of raft.
func (n *Node) Term() uint64 { return n.raft.BasicStatus().GetTerm() }

// CaughtUp reports whether the state includes all entries that the log had at the start.
func (n *Node) CaughtUp() bool { return n.applied >= n.startLastIndex }

// Uncommitted calls f with the commands of the log that are not applied. At a start they may be committed or not.
func (n *Node) Uncommitted(f func(*store.Command)) {
	const noLimit = 1 << 62 // bytes
	last, err := n.log.LastIndex()
	if err != nil || last <= n.applied {
		return
	}
	entries, err := n.log.Entries(n.applied+1, last+1, noLimit)
	if err != nil {
		return
	}
	for _, e := range entries {
		if e.GetType() != raftpb.EntryNormal || len(e.Data) == 0 {
			continue
		}
		if c, err := store.DecodeCommand(e.Data); err == nil {
			f(c)
		}
	}
}

// fail stops the replica for good.
func (n *Node) fail(err error) {
	if n.failed == nil {
		n.failed = fmt.Errorf("%w: %w", ErrStopped, err)
		n.cfg.Log.Error("store replica stopped", "error", err)
	}
}

// runRaft calls raft and stops the replica if raft fails. A dropped proposal is no failure.
func (n *Node) runRaft(f func() error) {
	if err := catchPanic(f); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		n.fail(err)
	}
}

// catchPanic turns a panic of raft, with which it reports a violation of its invariants, into an error.
func catchPanic(f func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("raft: %v", r)
		}
	}()
	return f()
}
