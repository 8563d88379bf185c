// Package replica is one copy of the replicated store: the state of package store, kept in step with the other copies
// by raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014; go.etcd.io/raft).
//
// It does no I/O of its own, knows no clock and draws from the randomness that it is given. The one who holds a Node
// calls Tick at an even pace, Step with what other replicas sent, and Drive after either; Drive writes to the Disk,
// which it waits for, and returns what is to be sent and what was answered. So a simulation can run many of them from
// one seed, and the same failing run again.
//
// The election time-out is drawn here, for raft draws its own from the system's randomness: followers are let count
// without ending (RawNode.TickQuiesced), and are told to campaign.
package replica

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// What a request to a replica may end with, beside the outcomes of package store.
var (
	// ErrNoLeader says that the request was not taken, for no leader is known.
	ErrNoLeader = errors.New("no leader is known")
	// ErrBusy says that the request was not taken, for as many as may wait do, or the members are about to change.
	ErrBusy = errors.New("too busy")
	// ErrOutcomeUnknown says that a change may have been made or may yet be. Sent again with the same id it is made once.
	ErrOutcomeUnknown = errors.New("no answer in time: the change may have been made or not")
	// ErrStopped says that the replica has stopped, because its disk or its memory is not to be relied on.
	ErrStopped = errors.New("the replica has stopped")
)

// Config is what a replica runs by. Ticks are of the caller's pace.
type Config struct {
	Rand                *rand.Rand
	Log                 *slog.Logger
	ElectionTicks       int    // silence of the leader after which another is elected, up to twice as long by chance; 10
	TickMillis          int    // of a tick, for leases; 100
	RequestTimeoutTicks int    // after which a request is told that its outcome is unknown; 50
	MaxPending          int    // requests that may wait; 8192
	SnapshotLogBytes    int    // bytes of log after which a snapshot is taken; 16 MiB
	RetainedEntries     int    // behind a snapshot, for followers that are a little late; 4096
	MaxMessageBytes     int    // of entries in one message; 1 MiB
	KnownLevel          uint64 // level of commands, for tests of earlier builds; store.Level
	Defects             Defects

	OnEntry func(*raftpb.Entry) // told of every entry before it is applied, or nil

	OnProposed func(*store.Command)             // told of every command that raft took here, for the log or the leader, or nil
	OnApplied  func(c *store.Command, size int) // told of every command before it is applied, with its encoded bytes, or nil
}

// Defects are faults that are put in so that a test can show that it finds them. None is set elsewhere.
type Defects uint32

// The faults.
const (
	AckBeforeSync          Defects = 1 << iota // messages go out before the disk has what they promise
	ForgetVote                                 // the vote is not written
	StaleRead                                  // a read is answered without asking the quorum
	ApplyTwice                                 // after a start the snapshot's last entries are applied again
	ForgetResults                              // a request sent again is done again
	RevokeRenewedLease                         // a silent lease ends although it was renewed meanwhile
	CompactBeyondSnapshot                      // a snapshot begins the log behind what it holds
	SkipAdmission                              // an empty disk is let in under an old name
	EagerReturn                                // a server may serve again at one copy's word
	IgnoreLevel                                // a command is sent although a voter does not know its level
	ShortenInheritedLeases                     // a new leader takes leases to have been renewed long before it led
	LeadAfterFailure                           // a leader whose disk failed goes on telling that it leads
)

func (c *Config) setDefaults() {
	def := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	def(&c.ElectionTicks, 10)
	def(&c.TickMillis, 100)
	def(&c.RequestTimeoutTicks, 50)
	def(&c.MaxPending, 8192)
	def(&c.SnapshotLogBytes, 16<<20)
	def(&c.RetainedEntries, 4096)
	def(&c.MaxMessageBytes, 1<<20)
	if c.KnownLevel == 0 {
		c.KnownLevel = store.Level
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
}

// RequestToken names a request to this replica, chosen by its caller.
type RequestToken uint64

// Completion answers a request. Err is of this package, or nil; the outcome of a command is in Result.
type Completion struct {
	Token  RequestToken
	Result store.Result
	Err    error
}

// Output is what Drive did and what is to be done. Messages go to the other replicas in any order and may be lost.
type Output struct {
	Messages       []*raftpb.Message
	Completions    []Completion
	AppliedEntries int          // entries
	StateReplaced  bool         // the state was replaced by a leader's snapshot: State is another one
	Snapshot       *SnapshotJob // to be run, also beside further calls, then given to Saved
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

	applied        uint64
	startLastIndex uint64 // last entry of the log at the start
	term           uint64 // of the last entry applied
	failed         error

	now                              int64 // ticks
	electionElapsed, electionTimeout int   // since the leader was heard
	leaderID                         uint64
	leading                          bool

	pendingByID     map[store.RequestID]*pendingRequest
	pending         []*pendingRequest // by deadline; those answered are passed over
	queuedReads     []*pendingRequest // not yet sent to the leader
	openRounds      map[uint64]*readRound
	lastRound       uint64
	confirmedRounds []*readRound // confirmed, until their index is applied

	lastReceived    map[uint64]int64 // when each other replica last sent something
	leaseDeadlines  map[uint64]int64 // of leases, while this one leads
	revokeRetryAt   map[uint64]int64 // when the end of a lease was proposed
	registered      bool             // our own place was confirmed
	lastMaintenance int64            // when members or the place were last proposed

	logBytes        int    // bytes of log since the last snapshot
	confIndex       uint64 // entry of the last change of who votes
	snapshotWanted  bool   // a snapshot from after that is
	snapshotRunning bool
	out             Output
}

type pendingRequest struct {
	token    RequestToken
	id       store.RequestID
	deadline int64
	done     bool
}

// readRound is one question to the quorum, for all reads that came until it was asked.
type readRound struct {
	number    uint64
	index     uint64
	startedAt int64
	requests  []*pendingRequest
}

// Bootstrap makes of an empty disk the first member of a new cluster.
func Bootstrap(disk Disk, cluster uint64, name, address string, limits store.Limits) error {
	saved, err := disk.Load()
	if err != nil {
		return err
	}
	if saved.Identity.ClusterID != 0 {
		return fmt.Errorf("the disk belongs to cluster %x already", saved.Identity.ClusterID)
	}
	s := store.New(cluster, limits)
	s.Bootstrap(name, address, saved.Identity.DiskID)
	return BootstrapFrom(disk, saved.Identity, s)
}

// BootstrapFrom makes of an empty disk the first member of a new cluster that begins with a state.
func BootstrapFrom(disk Disk, self Identity, s *store.State) error {
	m := s.Members()
	if len(m) != 1 {
		return errors.New("a cluster begins with one member")
	}
	s.SkipIndex(1)
	var b bytes.Buffer
	if err := s.Save(&b); err != nil {
		return err
	}
	hard := &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1), Vote: proto.Uint64(0)}
	if err := disk.Install(SnapshotMeta{Index: 1, Term: 1, Voters: []uint64{m[0].ID}}, hard, b.Bytes()); err != nil {
		return err
	}
	self.ClusterID, self.MemberID = s.Cluster(), m[0].ID
	return disk.SetIdentity(self)
}

// New starts a replica from its disk, which must belong to a cluster.
func New(cfg Config, disk Disk) (*Node, error) {
	cfg.setDefaults()
	saved, err := disk.Load()
	if err != nil {
		return nil, err
	}
	if saved.Identity.ClusterID == 0 {
		return nil, errors.New("the disk belongs to no cluster yet")
	}
	n := &Node{cfg: cfg, self: saved.Identity, disk: disk, pendingByID: map[store.RequestID]*pendingRequest{},
		openRounds: map[uint64]*readRound{}, lastReceived: map[uint64]int64{}, leaseDeadlines: map[uint64]int64{}, revokeRetryAt: map[uint64]int64{}}
	n.log = &logStorage{MemoryStorage: raft.NewMemoryStorage(), disk: disk, hardState: saved.HardState, onError: n.fail}
	if saved.Snapshot.Index == 0 {
		// A member that was just taken in: it knows nothing, not even who the others are, until the leader tells.
		n.state, n.confState = store.New(saved.Identity.ClusterID, store.DefaultLimits), &raftpb.ConfState{}
	} else {
		_, data, err := disk.Snapshot()
		if err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		if n.state, err = store.Load(bytes.NewReader(data)); err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		n.confState = saved.Snapshot.confState()
	}
	if err := n.checkLevel(n.state); err != nil {
		return nil, err
	}
	n.log.confState, n.confIndex = n.confState, saved.Snapshot.Index
	n.log.isStale = func(index uint64) bool {
		n.snapshotWanted = n.snapshotWanted || index < n.confIndex
		return index < n.confIndex
	}
	n.applied, n.term = saved.Snapshot.Index, saved.Snapshot.Term
	if n.log.hardState == nil {
		n.log.hardState = &raftpb.HardState{}
	}
	// What a snapshot holds was agreed on, also where the word of it was not written.
	n.log.hardState.Commit = proto.Uint64(max(n.log.hardState.GetCommit(), n.applied))
	if saved.Base.Index > 0 {
		if err := n.log.ApplySnapshot(&raftpb.Snapshot{Metadata: SnapshotMeta{Index: saved.Base.Index, Term: saved.Base.Term}.proto()}); err != nil {
			return nil, err
		}
	}
	if err := n.log.Append(saved.Entries); err != nil {
		return nil, err
	}
	n.startLastIndex, _ = n.log.LastIndex()
	for _, e := range saved.Entries {
		if e.GetIndex() > n.applied {
			n.logBytes += len(e.Data)
		}
	}
	if cfg.Defects&ApplyTwice != 0 && n.applied > saved.Base.Index+2 {
		n.applied -= 2
	}
	err = catchPanic(func() (err error) {
		n.raft, err = raft.NewRawNode(&raft.Config{ID: n.self.MemberID, ElectionTick: cfg.ElectionTicks, HeartbeatTick: 1,
			Storage: n.log, Applied: n.applied, MaxSizePerMsg: uint64(cfg.MaxMessageBytes), MaxInflightMsgs: 64,
			MaxInflightBytes: 16 * uint64(cfg.MaxMessageBytes), MaxUncommittedEntriesSize: 64 << 20,
			MaxCommittedSizePerReady: 4 << 20, CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe,
			Logger: raftLogger{cfg.Log}})
		return err
	})
	if err != nil {
		return nil, err
	}
	n.resetElectionTimer()
	if v := n.confState.GetVoters(); len(v) == 1 && v[0] == n.self.MemberID && !slices.ContainsFunc(saved.Entries, func(e *raftpb.Entry) bool {
		return e.GetIndex() > n.applied && e.GetType() != raftpb.EntryNormal
	}) {
		n.runRaft(n.raft.Campaign) // there is nobody to wait for
	}
	return n, n.failed
}

// checkLevel says whether this build can go on from a state: whether it knows the commands that the cluster uses.
func (n *Node) checkLevel(s *store.State) error {
	if s.Level() > n.cfg.KnownLevel {
		return fmt.Errorf("%w: the cluster uses commands of level %d, and this build knows %d: start a newer build on this disk, nothing is lost",
			store.ErrUnknownCommand, s.Level(), n.cfg.KnownLevel)
	}
	return nil
}

// catchPanic makes of a panic of raft, which finds its own invariants broken, an error: this replica is not to go on.
func catchPanic(f func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("raft: %v", r)
		}
	}()
	return f()
}

func (n *Node) fail(err error) {
	if n.failed == nil {
		n.failed = fmt.Errorf("%w: %w", ErrStopped, err)
		n.cfg.Log.Error("the replica of the store stops", "error", err)
	}
}

// Failed says why the replica stopped, or nil.
func (n *Node) Failed() error { return n.failed }

// State is what was agreed on as far as this replica knows. It must not be kept over a call of Drive.
func (n *Node) State() *store.State { return n.state }

// Self is whose disk this is.
func (n *Node) Self() Identity { return n.self }

// resetElectionTimer begins the wait for the leader anew.
func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand.IntN(n.cfg.ElectionTicks)
}

// Tick counts time.
func (n *Node) Tick() {
	if n.failed != nil {
		if n.cfg.Defects&LeadAfterFailure != 0 {
			n.sendStaleHeartbeats()
		}
		return
	}
	n.now++
	if n.leading {
		n.raft.Tick()
	} else {
		n.raft.TickQuiesced()
		if n.electionElapsed++; n.electionElapsed >= n.electionTimeout {
			n.resetElectionTimer()
			n.runRaft(n.raft.Campaign)
		}
	}
	n.expireRequests()
	n.maintain()
}

func (n *Node) runRaft(f func() error) {
	if err := catchPanic(f); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		n.fail(err)
	}
}

// Step takes what another replica sent.
func (n *Node) Step(m *raftpb.Message) {
	if n.failed != nil || raft.IsLocalMsg(m.GetType()) {
		return
	}
	if m.GetTo() != n.self.MemberID {
		return
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= n.raft.BasicStatus().HardState.GetTerm() {
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

// Propose asks for a change. It is answered by Drive, once.
func (n *Node) Propose(t RequestToken, c *store.Command) {
	if err := n.propose(t, c); err != nil {
		n.out.Completions = append(n.out.Completions, Completion{Token: t, Err: err})
	}
}

func (n *Node) propose(t RequestToken, c *store.Command) error {
	if n.failed != nil {
		return n.failed
	}
	if len(n.pendingByID) >= n.cfg.MaxPending {
		return ErrBusy
	}
	if err := n.state.Validate(c); err != nil && !(errors.Is(err, store.ErrLevel) && n.cfg.Defects&IgnoreLevel != 0) {
		n.out.Completions = append(n.out.Completions, Completion{Token: t, Result: store.Result{Revision: n.state.Revision(), Err: err}})
		return nil
	}
	if r, ok := n.state.CachedResult(c.ID); ok && n.cfg.Defects&ForgetResults == 0 {
		r.Duplicate = true
		n.out.Completions = append(n.out.Completions, Completion{Token: t, Result: r})
		return nil
	}
	if c.AddMember != nil && !n.membershipStable() || c.RemoveMember != nil && !n.membershipStable() && !n.membershipStableExcept(c.RemoveMember.MemberID) {
		return ErrBusy // one at a time, but for the end of one that never came to vote
	}
	if c.SinceIndex == 0 {
		c.SinceIndex = max(1, n.applied)
	}
	data, err := c.Encode()
	if err != nil {
		n.out.Completions = append(n.out.Completions, Completion{Token: t, Result: store.Result{Err: store.ErrTooLarge}})
		return nil
	}
	if old := n.pendingByID[c.ID]; old != nil {
		return ErrBusy
	}
	if err := catchPanic(func() error { return n.raft.Propose(data) }); err != nil {
		if errors.Is(err, raft.ErrProposalDropped) {
			if n.leaderID == 0 {
				return ErrNoLeader
			}
			return ErrBusy
		}
		n.fail(err)
		return n.failed
	}
	if n.cfg.OnProposed != nil {
		n.cfg.OnProposed(c)
	}
	w := &pendingRequest{token: t, id: c.ID, deadline: n.now + int64(n.cfg.RequestTimeoutTicks)}
	n.pendingByID[c.ID] = w
	n.pending = append(n.pending, w)
	return nil
}

// Read asks for the moment from which the state shows all that was answered before the call. It is answered by Drive.
func (n *Node) Read(t RequestToken) {
	switch {
	case n.failed != nil:
		n.out.Completions = append(n.out.Completions, Completion{Token: t, Err: n.failed})
	case n.cfg.Defects&StaleRead != 0:
		n.out.Completions = append(n.out.Completions, Completion{Token: t})
	case len(n.queuedReads) >= n.cfg.MaxPending:
		n.out.Completions = append(n.out.Completions, Completion{Token: t, Err: ErrBusy})
	default:
		w := &pendingRequest{token: t, deadline: n.now + int64(n.cfg.RequestTimeoutTicks)}
		n.queuedReads = append(n.queuedReads, w)
		n.pending = append(n.pending, w)
	}
}

// startReadRound puts the question of all waiting reads to the quorum, again if no answer came.
func (n *Node) startReadRound() {
	var late []uint64
	for ctx, r := range n.openRounds {
		if n.now-r.startedAt > int64(n.cfg.ElectionTicks) {
			late = append(late, ctx)
		}
	}
	slices.Sort(late)
	for _, ctx := range late {
		n.queuedReads = append(n.queuedReads, n.openRounds[ctx].requests...)
		delete(n.openRounds, ctx)
	}
	n.queuedReads = slices.DeleteFunc(n.queuedReads, func(w *pendingRequest) bool { return w.done })
	if len(n.queuedReads) == 0 || n.leaderID == 0 || len(n.openRounds) >= 16 {
		return
	}
	n.lastRound++
	r := &readRound{number: n.lastRound, startedAt: n.now, requests: n.queuedReads}
	n.queuedReads = nil
	n.openRounds[r.number] = r
	// The context must differ from those of earlier starts, whose answers may still be under way.
	ctx := binary.BigEndian.AppendUint64(nil, n.self.MemberID)
	ctx = binary.BigEndian.AppendUint64(ctx, n.self.Boot)
	ctx = binary.BigEndian.AppendUint64(ctx, r.number)
	n.runRaft(func() error { n.raft.ReadIndex(ctx); return nil })
}

// expireRequests answers those who waited too long.
func (n *Node) expireRequests() {
	for len(n.pending) > 0 && (n.pending[0].done || n.pending[0].deadline <= n.now) {
		w := n.pending[0]
		n.pending = n.pending[1:]
		if w.done {
			continue
		}
		w.done = true
		err := ErrOutcomeUnknown
		if w.id == (store.RequestID{}) {
			err = ErrNoLeader
		}
		delete(n.pendingByID, w.id)
		n.out.Completions = append(n.out.Completions, Completion{Token: w.token, Err: err})
	}
}

// Process does what the calls since the last one left to do. It waits for the disk.
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

func (n *Node) failPending() {
	if n.cfg.Defects&(AckBeforeSync|LeadAfterFailure) == 0 {
		n.out.Messages = nil
	}
	for _, w := range n.pending {
		if !w.done {
			w.done = true
			err := n.failed
			if w.id != (store.RequestID{}) {
				err = fmt.Errorf("%w; %w", ErrOutcomeUnknown, n.failed)
			}
			n.out.Completions = append(n.out.Completions, Completion{Token: w.token, Err: err})
		}
	}
	n.pending, n.queuedReads, n.pendingByID = nil, nil, map[store.RequestID]*pendingRequest{}
}

// sendStaleHeartbeats is the planted fault LeadsOn: heartbeats of a leader that writes nothing any more.
func (n *Node) sendStaleHeartbeats() {
	if !n.leading {
		return
	}
	for _, id := range n.confState.GetVoters() {
		if id != n.self.MemberID {
			n.out.Messages = append(n.out.Messages, &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), From: proto.Uint64(n.self.MemberID),
				To: proto.Uint64(id), Term: proto.Uint64(n.Term()), Commit: proto.Uint64(0)})
		}
	}
}

// processReady does one Ready of raft: write, send, apply, in this order.
func (n *Node) processReady() error {
	rd := n.raft.Ready()
	if rd.SoftState != nil {
		n.setLeader(rd.SoftState.Lead, rd.SoftState.RaftState == raft.StateLeader)
	}
	if n.cfg.Defects&AckBeforeSync != 0 {
		n.out.Messages = append(n.out.Messages, rd.Messages...)
	}
	if err := n.persist(&rd); err != nil {
		n.fail(err)
		return nil
	}
	if n.cfg.Defects&AckBeforeSync == 0 {
		n.out.Messages = append(n.out.Messages, rd.Messages...)
	}
	for _, m := range rd.Messages {
		if m.GetType() == raftpb.MsgVoteResp && !m.GetReject() {
			n.resetElectionTimer()
		}
	}
	for _, r := range rd.ReadStates {
		n.confirmRead(r)
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

func (n *Node) persist(rd *raft.Ready) error {
	hard := rd.HardState
	if n.cfg.Defects&ForgetVote != 0 && hard != nil {
		hard = proto.Clone(hard).(*raftpb.HardState)
		hard.Vote = proto.Uint64(0)
	}
	if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
		s, err := store.Load(bytes.NewReader(rd.Snapshot.Data))
		if err != nil {
			return fmt.Errorf("the leader's snapshot: %w", err)
		}
		if err := n.checkLevel(s); err != nil {
			return fmt.Errorf("the leader's snapshot: %w", err)
		}
		meta := snapshotMetaOf(rd.Snapshot.Metadata)
		if err := n.disk.Install(meta, hard, rd.Snapshot.Data); err != nil {
			return err
		}
		if err := n.log.ApplySnapshot(&raftpb.Snapshot{Metadata: rd.Snapshot.Metadata}); err != nil {
			return err
		}
		n.state, n.confState, n.applied, n.term, n.logBytes = s, meta.confState(), meta.Index, meta.Term, 0
		n.confIndex, n.startLastIndex = meta.Index, 0
		n.out.StateReplaced = true
		n.completeFromSnapshot(s)
		hard = nil
	}
	// A commit index alone need not be written at once: it is learned anew, and what it tells is in the log.
	if len(rd.Entries) > 0 || hard != nil && rd.MustSync {
		full := hard
		if full == nil {
			full = n.raft.BasicStatus().HardState
			if n.cfg.Defects&ForgetVote != 0 {
				full = proto.Clone(full).(*raftpb.HardState)
				full.Vote = proto.Uint64(0)
			}
		}
		if err := n.disk.Append(full, rd.Entries); err != nil {
			return err
		}
	}
	for _, e := range rd.Entries {
		n.logBytes += len(e.Data)
	}
	return n.log.Append(rd.Entries)
}

// completeFromSnapshot answers requests that a snapshot of the leader shows to have been done.
func (n *Node) completeFromSnapshot(s *store.State) {
	for _, w := range n.pending {
		if r, ok := s.CachedResult(w.id); ok && !w.done && w.id != (store.RequestID{}) {
			n.complete(w, r)
		}
	}
}

func (n *Node) complete(w *pendingRequest, r store.Result) {
	w.done = true
	delete(n.pendingByID, w.id)
	n.out.Completions = append(n.out.Completions, Completion{Token: w.token, Result: r})
}

func (n *Node) apply(e *raftpb.Entry) error {
	if e.GetIndex() <= n.applied {
		return nil
	}
	n.applied, n.term = e.GetIndex(), e.GetTerm()
	n.out.AppliedEntries++
	if n.cfg.OnEntry != nil {
		n.cfg.OnEntry(e)
	}
	switch {
	case e.GetType() == raftpb.EntryConfChange:
		var cc raftpb.ConfChange
		if err := proto.Unmarshal(e.Data, &cc); err != nil {
			return fmt.Errorf("entry %d: %w", n.applied, err)
		}
		n.applyConfChange(&cc)
		n.state.SkipIndex(n.applied)
	case e.GetType() == raftpb.EntryConfChangeV2:
		return fmt.Errorf("entry %d: a joint change of members, which this build does not make", n.applied)
	case len(e.Data) == 0:
		n.state.SkipIndex(n.applied)
	default:
		if l := store.CommandLevel(e.Data); l > n.cfg.KnownLevel {
			return fmt.Errorf("entry %d: %w: level %d, and this build knows %d", n.applied, store.ErrUnknownCommand, l, n.cfg.KnownLevel)
		}
		c, err := store.DecodeCommand(e.Data)
		if err != nil {
			return fmt.Errorf("entry %d: %w", n.applied, err)
		}
		if c.RaiseLevel != nil && c.RaiseLevel.Level > n.cfg.KnownLevel { // it was started on an older build since it said what it knows
			return fmt.Errorf("entry %d: %w: the cluster goes to level %d, and this build knows %d", n.applied, store.ErrUnknownCommand,
				c.RaiseLevel.Level, n.cfg.KnownLevel)
		}
		if n.cfg.OnApplied != nil {
			n.cfg.OnApplied(c, len(e.Data))
		}
		if n.cfg.Defects&ForgetResults != 0 {
			id := c.ID
			c.ID = store.RequestID{}
			r := n.state.Apply(n.applied, c)
			c.ID = id
			n.afterApply(c, r)
			break
		}
		n.afterApply(c, n.state.Apply(n.applied, c))
	}
	return nil
}

// afterApply does what follows from a command.
func (n *Node) afterApply(c *store.Command, r store.Result) {
	if n.leading && r.Err == nil {
		switch {
		case c.GrantLease != nil, c.RenewLease != nil:
			n.startLeaseTimer(r.LeaseID)
		case c.RevokeLease != nil:
			if _, ok := n.state.Lease(c.RevokeLease.LeaseID); !ok {
				delete(n.leaseDeadlines, c.RevokeLease.LeaseID)
			}
			delete(n.revokeRetryAt, c.RevokeLease.LeaseID)
		}
	}
	if c.RegisterStart != nil && c.RegisterStart.MemberID == n.self.MemberID && c.RegisterStart.DiskID == n.self.DiskID && c.RegisterStart.Boot == n.self.Boot {
		if n.registered = r.Err == nil; !n.registered {
			n.fail(fmt.Errorf("the place of member %d is held by another disk or a later start", n.self.MemberID))
		}
	}
	if w := n.pendingByID[c.ID]; w != nil && c.ID != (store.RequestID{}) {
		n.complete(w, r)
	}
}

// confirmRead is the quorum's word that this replica's question was put to the leader of now.
func (n *Node) confirmRead(s raft.ReadState) {
	if len(s.RequestCtx) != 24 || binary.BigEndian.Uint64(s.RequestCtx) != n.self.MemberID ||
		binary.BigEndian.Uint64(s.RequestCtx[8:]) != n.self.Boot {
		return
	}
	if r := n.openRounds[binary.BigEndian.Uint64(s.RequestCtx[16:])]; r != nil {
		delete(n.openRounds, r.number)
		r.index = s.Index
		n.confirmedRounds = append(n.confirmedRounds, r)
	}
}

func (n *Node) completeReads() {
	n.confirmedRounds = slices.DeleteFunc(n.confirmedRounds, func(r *readRound) bool {
		if r.index > n.applied {
			return false
		}
		for _, w := range r.requests {
			if !w.done {
				w.done = true
				n.out.Completions = append(n.out.Completions, Completion{Token: w.token, Result: store.Result{Index: n.applied, Revision: n.state.Revision()}})
			}
		}
		return true
	})
}

// SnapshotJob writes the state as it was when the job was made. Run may be called by another goroutine.
type SnapshotJob struct {
	Meta  SnapshotMeta
	state *store.State
	disk  Disk
}

// Run writes the snapshot.
func (j *SnapshotJob) Run() error { return j.disk.SaveSnapshot(j.Meta, j.state.Save) }

func (n *Node) newSnapshotJob() *SnapshotJob {
	n.snapshotRunning, n.snapshotWanted, n.logBytes = true, false, 0
	return &SnapshotJob{Meta: SnapshotMeta{Index: n.applied, Term: n.term, Voters: slices.Clone(n.confState.GetVoters()),
		Learners: slices.Clone(n.confState.GetLearners())}, state: n.state.Clone(), disk: n.disk}
}

// SnapshotDone says how a job ended. After a success the log is cut behind it.
func (n *Node) SnapshotDone(j *SnapshotJob, err error) {
	n.snapshotRunning = false
	if n.failed != nil {
		return
	}
	if err != nil {
		n.fail(fmt.Errorf("snapshot: %w", err))
		return
	}
	first, _ := n.log.FirstIndex()
	to := j.Meta.Index
	if keep := uint64(n.cfg.RetainedEntries); to > keep {
		to -= keep
	} else {
		return
	}
	if n.cfg.Defects&CompactBeyondSnapshot != 0 {
		to = min(n.applied, j.Meta.Index+2)
	}
	if to < first {
		return
	}
	term, err := n.log.Term(to)
	if err != nil {
		return // a snapshot of the leader came meanwhile
	}
	if err := n.disk.Compact(to, term); err != nil {
		n.fail(err)
		return
	}
	if err := n.log.Compact(to); err != nil && !errors.Is(err, raft.ErrCompacted) {
		n.fail(err)
	}
}

// ReportUnreachable says that a message to a replica was not delivered, Sent how the sending of a snapshot ended.
func (n *Node) ReportUnreachable(id uint64) {
	if n.failed == nil {
		n.runRaft(func() error { n.raft.ReportUnreachable(id); return nil })
	}
}

// ReportSnapshot says how the sending of a snapshot to a replica ended.
func (n *Node) ReportSnapshot(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	if n.failed == nil {
		n.runRaft(func() error { n.raft.ReportSnapshot(id, status); return nil })
	}
}

// raftLogger gives raft's words to a slog.Logger: what it does often at debug level. Its panics go on.
type raftLogger struct{ log *slog.Logger }

func (q raftLogger) Debug(v ...any)            {}
func (q raftLogger) Debugf(f string, v ...any) {}
func (q raftLogger) Info(v ...any)             { q.log.Debug(fmt.Sprint(v...)) }
func (q raftLogger) Infof(f string, v ...any)  { q.log.Debug(fmt.Sprintf(f, v...)) }
func (q raftLogger) Warning(v ...any)          { q.log.Debug(fmt.Sprint(v...)) }
func (q raftLogger) Warningf(f string, v ...any) {
	q.log.Debug(fmt.Sprintf(f, v...))
}
func (q raftLogger) Error(v ...any)            { q.log.Warn(fmt.Sprint(v...)) }
func (q raftLogger) Errorf(f string, v ...any) { q.log.Warn(fmt.Sprintf(f, v...)) }
func (q raftLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (q raftLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (q raftLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (q raftLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// CaughtUp says whether the state has come to where the log ended at the start, so that it says all that it ever said.
func (n *Node) CaughtUp() bool { return n.applied >= n.startLastIndex }

// Uncommitted calls f with the commands at the end of the log that are not applied: at a start, what may have been
// agreed on and may not.
func (n *Node) Uncommitted(f func(*store.Command)) {
	last, _ := n.log.LastIndex()
	if last <= n.applied {
		return
	}
	entries, err := n.log.Entries(n.applied+1, last+1, 1<<62)
	if err != nil {
		return
	}
	for _, e := range entries {
		if e.GetType() == raftpb.EntryNormal && len(e.Data) > 0 {
			if c, err := store.DecodeCommand(e.Data); err == nil {
				f(c)
			}
		}
	}
}
