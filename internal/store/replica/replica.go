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
	Rand         *rand.Rand
	Log          *slog.Logger
	ElectTicks   int    // silence of the leader after which another is elected, up to twice as long by chance; 10
	TickMillis   int    // of a tick, for leases; 100
	WaitTicks    int    // after which a request is told that its outcome is unknown; 50
	Pending      int    // requests that may wait; 8192
	SnapshotLog  int    // bytes of log after which a snapshot is taken; 16 MiB
	KeepEntries  int    // behind a snapshot, for followers that are a little late; 4096
	MessageBytes int    // of entries in one message; 1 MiB
	Knows        uint64 // level of commands, for tests of earlier builds; store.Level
	Planted      Defects

	Observe func(*raftpb.Entry) // told of every entry before it is applied, or nil

	Proposed func(*store.Command)             // told of every command that raft took here, for the log or the leader, or nil
	Applied  func(c *store.Command, size int) // told of every command before it is applied, with its encoded bytes, or nil
}

// Defects are faults that are put in so that a test can show that it finds them. None is set elsewhere.
type Defects uint32

// The faults.
const (
	AckBeforeSync   Defects = 1 << iota // messages go out before the disk has what they promise
	ForgetVote                          // the vote is not written
	StaleRead                           // a read is answered without asking the quorum
	ApplyTwice                          // after a start the snapshot's last entries are applied again
	ForgetResults                       // a request sent again is done again
	BlindLease                          // a silent lease ends although it was renewed meanwhile
	LostSnapshotLog                     // a snapshot begins the log behind what it holds
	SkipCheck                           // an empty disk is let in under an old name
	EagerReturn                         // a server may serve again at one copy's word
	AnyLevel                            // a command is sent although a voter does not know its level
	LeaseRest                           // a new leader takes leases to have been renewed long before it led
	LeadsOn                             // a leader whose disk failed goes on telling that it leads
)

func (c *Config) fill() {
	def := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	def(&c.ElectTicks, 10)
	def(&c.TickMillis, 100)
	def(&c.WaitTicks, 50)
	def(&c.Pending, 8192)
	def(&c.SnapshotLog, 16<<20)
	def(&c.KeepEntries, 4096)
	def(&c.MessageBytes, 1<<20)
	if c.Knows == 0 {
		c.Knows = store.Level
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
	Messages []*raftpb.Message
	Done     []Completion
	Applied  int          // entries
	Renewed  bool         // the state was replaced by a leader's snapshot: State is another one
	Snapshot *SnapshotJob // to be run, also beside further calls, then given to Saved
}

// Node is one replica. It is for one goroutine.
type Node struct {
	cfg   Config
	self  Identity
	raw   *raft.RawNode
	log   *logStore
	disk  Disk
	state *store.State
	conf  *raftpb.ConfState

	applied uint64
	tail    uint64 // last entry of the log at the start
	term    uint64 // of the last entry applied
	failed  error

	now              int64 // ticks
	elapsed, timeout int   // since the leader was heard
	lead             uint64
	leading          bool

	waiting map[store.RequestID]*wait
	order   []*wait // by deadline; those answered are passed over
	reads   []*wait // not yet sent to the leader
	asked   map[uint64]*round
	round   uint64
	ready   []*round // confirmed, until their index is applied

	heard    map[uint64]int64 // when each other replica last sent something
	deadline map[uint64]int64 // of leases, while this one leads
	ending   map[uint64]int64 // when the end of a lease was proposed
	placed   bool             // our own place was confirmed
	tried    int64            // when members or the place were last proposed

	logged int    // bytes of log since the last snapshot
	seated uint64 // entry of the last change of who votes
	wanted bool   // a snapshot from after that is
	saving bool
	out    Output
}

type wait struct {
	token    RequestToken
	id       store.RequestID
	deadline int64
	done     bool
}

// round is one question to the quorum, for all reads that came until it was asked.
type round struct {
	ctx   uint64
	index uint64
	asked int64
	waits []*wait
}

// Bootstrap makes of an empty disk the first member of a new cluster.
func Bootstrap(disk Disk, cluster uint64, name, address string, limits store.Limits) error {
	saved, err := disk.Load()
	if err != nil {
		return err
	}
	if saved.Identity.Cluster != 0 {
		return fmt.Errorf("the disk belongs to cluster %x already", saved.Identity.Cluster)
	}
	s := store.New(cluster, limits)
	s.Bootstrap(name, address, saved.Identity.Disk)
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
	if err := disk.Install(Meta{Index: 1, Term: 1, Voters: []uint64{m[0].ID}}, hard, b.Bytes()); err != nil {
		return err
	}
	self.Cluster, self.Member = s.Cluster(), m[0].ID
	return disk.Belong(self)
}

// New starts a replica from its disk, which must belong to a cluster.
func New(cfg Config, disk Disk) (*Node, error) {
	cfg.fill()
	saved, err := disk.Load()
	if err != nil {
		return nil, err
	}
	if saved.Identity.Cluster == 0 {
		return nil, errors.New("the disk belongs to no cluster yet")
	}
	n := &Node{cfg: cfg, self: saved.Identity, disk: disk, waiting: map[store.RequestID]*wait{},
		asked: map[uint64]*round{}, heard: map[uint64]int64{}, deadline: map[uint64]int64{}, ending: map[uint64]int64{}}
	n.log = &logStore{MemoryStorage: raft.NewMemoryStorage(), disk: disk, hard: saved.Hard, fail: n.fail}
	if saved.Snapshot.Index == 0 {
		// A member that was just taken in: it knows nothing, not even who the others are, until the leader tells.
		n.state, n.conf = store.New(saved.Identity.Cluster, store.DefaultLimits), &raftpb.ConfState{}
	} else {
		_, data, err := disk.Snapshot()
		if err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		if n.state, err = store.Load(bytes.NewReader(data)); err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		n.conf = saved.Snapshot.conf()
	}
	if err := n.knows(n.state); err != nil {
		return nil, err
	}
	n.log.conf, n.seated = n.conf, saved.Snapshot.Index
	n.log.stale = func(index uint64) bool {
		n.wanted = n.wanted || index < n.seated
		return index < n.seated
	}
	n.applied, n.term = saved.Snapshot.Index, saved.Snapshot.Term
	if n.log.hard == nil {
		n.log.hard = &raftpb.HardState{}
	}
	// What a snapshot holds was agreed on, also where the word of it was not written.
	n.log.hard.Commit = proto.Uint64(max(n.log.hard.GetCommit(), n.applied))
	if saved.Base.Index > 0 {
		if err := n.log.ApplySnapshot(&raftpb.Snapshot{Metadata: Meta{Index: saved.Base.Index, Term: saved.Base.Term}.proto()}); err != nil {
			return nil, err
		}
	}
	if err := n.log.Append(saved.Entries); err != nil {
		return nil, err
	}
	n.tail, _ = n.log.LastIndex()
	for _, e := range saved.Entries {
		if e.GetIndex() > n.applied {
			n.logged += len(e.Data)
		}
	}
	if cfg.Planted&ApplyTwice != 0 && n.applied > saved.Base.Index+2 {
		n.applied -= 2
	}
	err = guard(func() (err error) {
		n.raw, err = raft.NewRawNode(&raft.Config{ID: n.self.Member, ElectionTick: cfg.ElectTicks, HeartbeatTick: 1,
			Storage: n.log, Applied: n.applied, MaxSizePerMsg: uint64(cfg.MessageBytes), MaxInflightMsgs: 64,
			MaxInflightBytes: 16 * uint64(cfg.MessageBytes), MaxUncommittedEntriesSize: 64 << 20,
			MaxCommittedSizePerReady: 4 << 20, CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe,
			Logger: quiet{cfg.Log}})
		return err
	})
	if err != nil {
		return nil, err
	}
	n.rest()
	if v := n.conf.GetVoters(); len(v) == 1 && v[0] == n.self.Member && !slices.ContainsFunc(saved.Entries, func(e *raftpb.Entry) bool {
		return e.GetIndex() > n.applied && e.GetType() != raftpb.EntryNormal
	}) {
		n.must(n.raw.Campaign) // there is nobody to wait for
	}
	return n, n.failed
}

// knows says whether this build can go on from a state: whether it knows the commands that the cluster uses.
func (n *Node) knows(s *store.State) error {
	if s.Level() > n.cfg.Knows {
		return fmt.Errorf("%w: the cluster uses commands of level %d, and this build knows %d: start a newer build on this disk, nothing is lost",
			store.ErrUnknownCommand, s.Level(), n.cfg.Knows)
	}
	return nil
}

// guard makes of a panic of raft, which finds its own invariants broken, an error: this replica is not to go on.
func guard(f func() error) (err error) {
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

// rest begins the wait for the leader anew.
func (n *Node) rest() {
	n.elapsed = 0
	n.timeout = n.cfg.ElectTicks + n.cfg.Rand.IntN(n.cfg.ElectTicks)
}

// Tick counts time.
func (n *Node) Tick() {
	if n.failed != nil {
		if n.cfg.Planted&LeadsOn != 0 {
			n.leadOn()
		}
		return
	}
	n.now++
	if n.leading {
		n.raw.Tick()
	} else {
		n.raw.TickQuiesced()
		if n.elapsed++; n.elapsed >= n.timeout {
			n.rest()
			n.must(n.raw.Campaign)
		}
	}
	n.expire()
	n.tend()
}

func (n *Node) must(f func() error) {
	if err := guard(f); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		n.fail(err)
	}
}

// Step takes what another replica sent.
func (n *Node) Step(m *raftpb.Message) {
	if n.failed != nil || raft.IsLocalMsg(m.GetType()) {
		return
	}
	if m.GetTo() != n.self.Member {
		return
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= n.raw.BasicStatus().HardState.GetTerm() {
			n.rest()
		}
	}
	if _, ok := n.state.Member(m.GetFrom()); ok {
		n.heard[m.GetFrom()] = n.now
	}
	err := guard(func() error { return n.raw.Step(m) })
	if err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		n.fail(err)
	}
}

// Propose asks for a change. It is answered by Drive, once.
func (n *Node) Propose(t RequestToken, c *store.Command) {
	if err := n.propose(t, c); err != nil {
		n.out.Done = append(n.out.Done, Completion{Token: t, Err: err})
	}
}

func (n *Node) propose(t RequestToken, c *store.Command) error {
	if n.failed != nil {
		return n.failed
	}
	if len(n.waiting) >= n.cfg.Pending {
		return ErrBusy
	}
	if err := n.state.Validate(c); err != nil && !(errors.Is(err, store.ErrLevel) && n.cfg.Planted&AnyLevel != 0) {
		n.out.Done = append(n.out.Done, Completion{Token: t, Result: store.Result{Revision: n.state.Revision(), Err: err}})
		return nil
	}
	if r, ok := n.state.CachedResult(c.ID); ok && n.cfg.Planted&ForgetResults == 0 {
		r.Duplicate = true
		n.out.Done = append(n.out.Done, Completion{Token: t, Result: r})
		return nil
	}
	if c.AddMember != nil && !n.settled() || c.RemoveMember != nil && !n.settled() && !n.settledBut(c.RemoveMember.MemberID) {
		return ErrBusy // one at a time, but for the end of one that never came to vote
	}
	if c.SinceIndex == 0 {
		c.SinceIndex = max(1, n.applied)
	}
	data, err := c.Encode()
	if err != nil {
		n.out.Done = append(n.out.Done, Completion{Token: t, Result: store.Result{Err: store.ErrTooLarge}})
		return nil
	}
	if old := n.waiting[c.ID]; old != nil {
		return ErrBusy
	}
	if err := guard(func() error { return n.raw.Propose(data) }); err != nil {
		if errors.Is(err, raft.ErrProposalDropped) {
			if n.lead == 0 {
				return ErrNoLeader
			}
			return ErrBusy
		}
		n.fail(err)
		return n.failed
	}
	if n.cfg.Proposed != nil {
		n.cfg.Proposed(c)
	}
	w := &wait{token: t, id: c.ID, deadline: n.now + int64(n.cfg.WaitTicks)}
	n.waiting[c.ID] = w
	n.order = append(n.order, w)
	return nil
}

// Read asks for the moment from which the state shows all that was answered before the call. It is answered by Drive.
func (n *Node) Read(t RequestToken) {
	switch {
	case n.failed != nil:
		n.out.Done = append(n.out.Done, Completion{Token: t, Err: n.failed})
	case n.cfg.Planted&StaleRead != 0:
		n.out.Done = append(n.out.Done, Completion{Token: t})
	case len(n.reads) >= n.cfg.Pending:
		n.out.Done = append(n.out.Done, Completion{Token: t, Err: ErrBusy})
	default:
		w := &wait{token: t, deadline: n.now + int64(n.cfg.WaitTicks)}
		n.reads = append(n.reads, w)
		n.order = append(n.order, w)
	}
}

// ask puts the question of all waiting reads to the quorum, again if no answer came.
func (n *Node) ask() {
	var late []uint64
	for ctx, r := range n.asked {
		if n.now-r.asked > int64(n.cfg.ElectTicks) {
			late = append(late, ctx)
		}
	}
	slices.Sort(late)
	for _, ctx := range late {
		n.reads = append(n.reads, n.asked[ctx].waits...)
		delete(n.asked, ctx)
	}
	n.reads = slices.DeleteFunc(n.reads, func(w *wait) bool { return w.done })
	if len(n.reads) == 0 || n.lead == 0 || len(n.asked) >= 16 {
		return
	}
	n.round++
	r := &round{ctx: n.round, asked: n.now, waits: n.reads}
	n.reads = nil
	n.asked[r.ctx] = r
	// The context must differ from those of earlier starts, whose answers may still be under way.
	ctx := binary.BigEndian.AppendUint64(nil, n.self.Member)
	ctx = binary.BigEndian.AppendUint64(ctx, n.self.Boot)
	ctx = binary.BigEndian.AppendUint64(ctx, r.ctx)
	n.must(func() error { n.raw.ReadIndex(ctx); return nil })
}

// expire answers those who waited too long.
func (n *Node) expire() {
	for len(n.order) > 0 && (n.order[0].done || n.order[0].deadline <= n.now) {
		w := n.order[0]
		n.order = n.order[1:]
		if w.done {
			continue
		}
		w.done = true
		err := ErrOutcomeUnknown
		if w.id == (store.RequestID{}) {
			err = ErrNoLeader
		}
		delete(n.waiting, w.id)
		n.out.Done = append(n.out.Done, Completion{Token: w.token, Err: err})
	}
}

// Process does what the calls since the last one left to do. It waits for the disk.
func (n *Node) Process() Output {
	n.ask()
	for n.failed == nil && n.raw.HasReady() {
		n.must(n.step)
	}
	if n.failed != nil {
		n.stop()
	}
	if n.failed == nil && !n.saving && (n.logged >= n.cfg.SnapshotLog || n.wanted) {
		n.out.Snapshot = n.snapshot()
	}
	out := n.out
	n.out = Output{}
	return out
}

func (n *Node) stop() {
	if n.cfg.Planted&(AckBeforeSync|LeadsOn) == 0 {
		n.out.Messages = nil
	}
	for _, w := range n.order {
		if !w.done {
			w.done = true
			err := n.failed
			if w.id != (store.RequestID{}) {
				err = fmt.Errorf("%w; %w", ErrOutcomeUnknown, n.failed)
			}
			n.out.Done = append(n.out.Done, Completion{Token: w.token, Err: err})
		}
	}
	n.order, n.reads, n.waiting = nil, nil, map[store.RequestID]*wait{}
}

// leadOn is the planted fault LeadsOn: heartbeats of a leader that writes nothing any more.
func (n *Node) leadOn() {
	if !n.leading {
		return
	}
	for _, id := range n.conf.GetVoters() {
		if id != n.self.Member {
			n.out.Messages = append(n.out.Messages, &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), From: proto.Uint64(n.self.Member),
				To: proto.Uint64(id), Term: proto.Uint64(n.Term()), Commit: proto.Uint64(0)})
		}
	}
}

// step does one Ready of raft: write, send, apply, in this order.
func (n *Node) step() error {
	rd := n.raw.Ready()
	if rd.SoftState != nil {
		n.led(rd.SoftState.Lead, rd.SoftState.RaftState == raft.StateLeader)
	}
	if n.cfg.Planted&AckBeforeSync != 0 {
		n.out.Messages = append(n.out.Messages, rd.Messages...)
	}
	if err := n.write(&rd); err != nil {
		n.fail(err)
		return nil
	}
	if n.cfg.Planted&AckBeforeSync == 0 {
		n.out.Messages = append(n.out.Messages, rd.Messages...)
	}
	for _, m := range rd.Messages {
		if m.GetType() == raftpb.MsgVoteResp && !m.GetReject() {
			n.rest()
		}
	}
	for _, r := range rd.ReadStates {
		n.confirmed(r)
	}
	for _, e := range rd.CommittedEntries {
		if err := n.apply(e); err != nil {
			n.fail(err)
			return nil
		}
	}
	n.release()
	n.raw.Advance(rd)
	return nil
}

func (n *Node) write(rd *raft.Ready) error {
	hard := rd.HardState
	if n.cfg.Planted&ForgetVote != 0 && hard != nil {
		hard = proto.Clone(hard).(*raftpb.HardState)
		hard.Vote = proto.Uint64(0)
	}
	if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
		s, err := store.Load(bytes.NewReader(rd.Snapshot.Data))
		if err != nil {
			return fmt.Errorf("the leader's snapshot: %w", err)
		}
		if err := n.knows(s); err != nil {
			return fmt.Errorf("the leader's snapshot: %w", err)
		}
		meta := metaOf(rd.Snapshot.Metadata)
		if err := n.disk.Install(meta, hard, rd.Snapshot.Data); err != nil {
			return err
		}
		if err := n.log.ApplySnapshot(&raftpb.Snapshot{Metadata: rd.Snapshot.Metadata}); err != nil {
			return err
		}
		n.state, n.conf, n.applied, n.term, n.logged = s, meta.conf(), meta.Index, meta.Term, 0
		n.seated, n.tail = meta.Index, 0
		n.out.Renewed = true
		n.answerFrom(s)
		hard = nil
	}
	// A commit index alone need not be written at once: it is learned anew, and what it tells is in the log.
	if len(rd.Entries) > 0 || hard != nil && rd.MustSync {
		full := hard
		if full == nil {
			full = n.raw.BasicStatus().HardState
			if n.cfg.Planted&ForgetVote != 0 {
				full = proto.Clone(full).(*raftpb.HardState)
				full.Vote = proto.Uint64(0)
			}
		}
		if err := n.disk.Append(full, rd.Entries); err != nil {
			return err
		}
	}
	for _, e := range rd.Entries {
		n.logged += len(e.Data)
	}
	return n.log.Append(rd.Entries)
}

// answerFrom answers requests that a snapshot of the leader shows to have been done.
func (n *Node) answerFrom(s *store.State) {
	for _, w := range n.order {
		if r, ok := s.CachedResult(w.id); ok && !w.done && w.id != (store.RequestID{}) {
			n.answer(w, r)
		}
	}
}

func (n *Node) answer(w *wait, r store.Result) {
	w.done = true
	delete(n.waiting, w.id)
	n.out.Done = append(n.out.Done, Completion{Token: w.token, Result: r})
}

func (n *Node) apply(e *raftpb.Entry) error {
	if e.GetIndex() <= n.applied {
		return nil
	}
	n.applied, n.term = e.GetIndex(), e.GetTerm()
	n.out.Applied++
	if n.cfg.Observe != nil {
		n.cfg.Observe(e)
	}
	switch {
	case e.GetType() == raftpb.EntryConfChange:
		var cc raftpb.ConfChange
		if err := proto.Unmarshal(e.Data, &cc); err != nil {
			return fmt.Errorf("entry %d: %w", n.applied, err)
		}
		n.seat(&cc)
		n.state.SkipIndex(n.applied)
	case e.GetType() == raftpb.EntryConfChangeV2:
		return fmt.Errorf("entry %d: a joint change of members, which this build does not make", n.applied)
	case len(e.Data) == 0:
		n.state.SkipIndex(n.applied)
	default:
		if l := store.CommandLevel(e.Data); l > n.cfg.Knows {
			return fmt.Errorf("entry %d: %w: level %d, and this build knows %d", n.applied, store.ErrUnknownCommand, l, n.cfg.Knows)
		}
		c, err := store.DecodeCommand(e.Data)
		if err != nil {
			return fmt.Errorf("entry %d: %w", n.applied, err)
		}
		if c.RaiseLevel != nil && c.RaiseLevel.Level > n.cfg.Knows { // it was started on an older build since it said what it knows
			return fmt.Errorf("entry %d: %w: the cluster goes to level %d, and this build knows %d", n.applied, store.ErrUnknownCommand,
				c.RaiseLevel.Level, n.cfg.Knows)
		}
		if n.cfg.Applied != nil {
			n.cfg.Applied(c, len(e.Data))
		}
		if n.cfg.Planted&ForgetResults != 0 {
			id := c.ID
			c.ID = store.RequestID{}
			r := n.state.Apply(n.applied, c)
			c.ID = id
			n.follow(c, r)
			break
		}
		n.follow(c, n.state.Apply(n.applied, c))
	}
	return nil
}

// follow does what follows from a command.
func (n *Node) follow(c *store.Command, r store.Result) {
	if n.leading && r.Err == nil {
		switch {
		case c.GrantLease != nil, c.RenewLease != nil:
			n.keep(r.LeaseID)
		case c.RevokeLease != nil:
			if _, ok := n.state.Lease(c.RevokeLease.LeaseID); !ok {
				delete(n.deadline, c.RevokeLease.LeaseID)
			}
			delete(n.ending, c.RevokeLease.LeaseID)
		}
	}
	if c.RegisterStart != nil && c.RegisterStart.MemberID == n.self.Member && c.RegisterStart.DiskID == n.self.Disk && c.RegisterStart.Boot == n.self.Boot {
		if n.placed = r.Err == nil; !n.placed {
			n.fail(fmt.Errorf("the place of member %d is held by another disk or a later start", n.self.Member))
		}
	}
	if w := n.waiting[c.ID]; w != nil && c.ID != (store.RequestID{}) {
		n.answer(w, r)
	}
}

// confirmed is the quorum's word that this replica's question was put to the leader of now.
func (n *Node) confirmed(s raft.ReadState) {
	if len(s.RequestCtx) != 24 || binary.BigEndian.Uint64(s.RequestCtx) != n.self.Member ||
		binary.BigEndian.Uint64(s.RequestCtx[8:]) != n.self.Boot {
		return
	}
	if r := n.asked[binary.BigEndian.Uint64(s.RequestCtx[16:])]; r != nil {
		delete(n.asked, r.ctx)
		r.index = s.Index
		n.ready = append(n.ready, r)
	}
}

func (n *Node) release() {
	n.ready = slices.DeleteFunc(n.ready, func(r *round) bool {
		if r.index > n.applied {
			return false
		}
		for _, w := range r.waits {
			if !w.done {
				w.done = true
				n.out.Done = append(n.out.Done, Completion{Token: w.token, Result: store.Result{Index: n.applied, Revision: n.state.Revision()}})
			}
		}
		return true
	})
}

// SnapshotJob writes the state as it was when the job was made. Run may be called by another goroutine.
type SnapshotJob struct {
	Meta  Meta
	state *store.State
	disk  Disk
}

// Run writes the snapshot.
func (j *SnapshotJob) Run() error { return j.disk.SaveSnapshot(j.Meta, j.state.Save) }

func (n *Node) snapshot() *SnapshotJob {
	n.saving, n.wanted, n.logged = true, false, 0
	return &SnapshotJob{Meta: Meta{Index: n.applied, Term: n.term, Voters: slices.Clone(n.conf.GetVoters()),
		Learners: slices.Clone(n.conf.GetLearners())}, state: n.state.Clone(), disk: n.disk}
}

// Saved says how a job ended. After a success the log is cut behind it.
func (n *Node) Saved(j *SnapshotJob, err error) {
	n.saving = false
	if n.failed != nil {
		return
	}
	if err != nil {
		n.fail(fmt.Errorf("snapshot: %w", err))
		return
	}
	first, _ := n.log.FirstIndex()
	to := j.Meta.Index
	if keep := uint64(n.cfg.KeepEntries); to > keep {
		to -= keep
	} else {
		return
	}
	if n.cfg.Planted&LostSnapshotLog != 0 {
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

// Unreachable says that a message to a replica was not delivered, Sent how the sending of a snapshot ended.
func (n *Node) Unreachable(id uint64) {
	if n.failed == nil {
		n.must(func() error { n.raw.ReportUnreachable(id); return nil })
	}
}

// Sent says how the sending of a snapshot to a replica ended.
func (n *Node) Sent(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	if n.failed == nil {
		n.must(func() error { n.raw.ReportSnapshot(id, status); return nil })
	}
}

// quiet gives raft's words to a slog.Logger: what it does often at debug level. Its panics go on.
type quiet struct{ log *slog.Logger }

func (q quiet) Debug(v ...any)            {}
func (q quiet) Debugf(f string, v ...any) {}
func (q quiet) Info(v ...any)             { q.log.Debug(fmt.Sprint(v...)) }
func (q quiet) Infof(f string, v ...any)  { q.log.Debug(fmt.Sprintf(f, v...)) }
func (q quiet) Warning(v ...any)          { q.log.Debug(fmt.Sprint(v...)) }
func (q quiet) Warningf(f string, v ...any) {
	q.log.Debug(fmt.Sprintf(f, v...))
}
func (q quiet) Error(v ...any)            { q.log.Warn(fmt.Sprint(v...)) }
func (q quiet) Errorf(f string, v ...any) { q.log.Warn(fmt.Sprintf(f, v...)) }
func (q quiet) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (q quiet) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (q quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (q quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// CaughtUp says whether the state has come to where the log ended at the start, so that it says all that it ever said.
func (n *Node) CaughtUp() bool { return n.applied >= n.tail }

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
