// Package engine runs one replica of the store: its loop, disk and network. All methods may be called by any goroutine.
//
// The loop takes what came, up to a bound, lets the replica work on it, which waits for the disk once for all of it,
// and hands out what was answered. It yields between rounds, so that a busy store does not hold up what else runs in
// the process.
package engine

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	mathrand "math/rand/v2"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/peer"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/serverstate"
	"birchmoor/internal/store/usage"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3/raftpb"
)

// Config is what a store runs by.
type Config struct {
	Name             string // of this replica
	Dir              string // of its disk
	Address          string // by which others reach it; of Listener, if empty
	Join             bool   // an empty disk waits to be taken in; else it founds a cluster of its own
	Limits           store.Limits
	AddressOverrides map[string]string // where this replica reaches others, by name, if it is not where all do
	Keys             *keys.Pair        // nil: plain TCP on loopback
	Listener         net.Listener      // nil: one copy alone, reached by no one
	TickInterval     time.Duration
	ElectionTicks    int // ticks
	Log              *slog.Logger
	TuneReplica      func(*replica.Config) // for tests
	DiskOptions      disk.Options
	Meter            *usage.Recorder // of messages, entries and what is written; nil: nothing is counted

	// OnEvent is told of each change in order, Reset of a whole new state, both by the loop. They must not wait.
	OnEvent func(store.Event)
	OnReset func(*store.State)
	// OnUncommitted is told at the start what the log's end says that is not known to be agreed on, Settled once when the copy
	// has come to that end, by the loop.
	OnUncommitted func(*store.Command)
	OnCaughtUp    func()
	// OnConfirmed is told by the loop, each time that a quorum confirms the copy, how long ago that was asked: what changes from now
	// on was written after it.
	OnConfirmed func(ago time.Duration)
}

const (
	maxRoundInputs     = 256 // inputs of one round
	inboxSize          = 1024
	minRetryDelay      = 20 * time.Millisecond
	maxRetryDelay      = 500 * time.Millisecond
	confirmInterval    = time.Second // how often a quorum is asked to confirm the copy
	maxConfirmationAge = 3 * confirmInterval
)

// ErrClosed says that the store has ended.
var ErrClosed = errors.New("the store is closed")

// UnknownError says that a change may have been made. ID finds it out: the same request may be sent again.
type UnknownError struct{ ID store.RequestID }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("%v; request %x-%d", replica.ErrOutcomeUnknown, e.ID.Client, e.ID.Seq)
}

func (e *UnknownError) Unwrap() error { return replica.ErrOutcomeUnknown }

// Engine is a running replica.
type Engine struct {
	cfg       Config
	disk      *disk.Disk
	transport *peer.Transport
	clientID  uint64
	seq       atomic.Uint64

	calls  chan func()
	inbox  chan *raftpb.Message
	done   chan struct{}
	cancel context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup

	node       *replica.Node // nil while an empty disk waits to be taken in
	caughtUp   bool
	assigned   replica.Identity
	helloPeers map[uint64][2]string // who greeted while no members were known: they are answered
	handlers   map[replica.RequestToken]func(replica.Completion)
	lastToken  replica.RequestToken
	peersHash  uint64 // a sum of the members that the network was told of

	confirmedAfter  atomic.Int64 // when a quorum last confirmed the copy, by the process's clock; 0 never
	startedAt       time.Time
	revisionChanged atomic.Pointer[chan struct{}] // closed when the revision goes on
}

// Open starts a replica. It must be closed.
func Open(cfg Config) (*Engine, error) {
	if cfg.TickInterval == 0 {
		cfg.TickInterval = 100 * time.Millisecond
	}
	if cfg.Limits == (store.Limits{}) {
		cfg.Limits = store.DefaultLimits
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if err := keys.CheckName(cfg.Name); err != nil {
		return nil, err
	}
	if cfg.Address == "" && cfg.Listener != nil {
		cfg.Address = cfg.Listener.Addr().String()
	}
	cfg.DiskOptions.Meter = cfg.Meter
	d, err := disk.Open(cfg.Dir, cfg.DiskOptions)
	if err != nil {
		return nil, err
	}
	e := &Engine{cfg: cfg, disk: d, clientID: randomID(), calls: make(chan func(), inboxSize), inbox: make(chan *raftpb.Message, inboxSize),
		done: make(chan struct{}), handlers: map[replica.RequestToken]func(replica.Completion){}, startedAt: time.Now()}
	first := make(chan struct{})
	e.revisionChanged.Store(&first)
	e.ctx, e.cancel = context.WithCancel(context.Background())
	if d.Identity().ClusterID == 0 && !cfg.Join {
		if err := replica.Bootstrap(d, randomID(), cfg.Name, cfg.Address, cfg.Limits); err != nil {
			return nil, errors.Join(err, d.Close())
		}
	}
	if d.Identity().ClusterID != 0 {
		if err := e.startNode(); err != nil {
			return nil, errors.Join(err, d.Close())
		}
	}
	if cfg.Listener != nil {
		if e.transport, err = peer.New(cfg.Name, cfg.Address, cfg.Listener, (*host)(e), cfg.Keys, cfg.Log, cfg.Meter); err != nil {
			return nil, errors.Join(err, d.Close())
		}
		e.updatePeers()
	}
	e.wg.Add(1)
	go e.loop()
	return e, nil
}

func randomID() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.BigEndian.Uint64(b[:])>>1 | 1
}

// startNode starts the node on a disk that belongs to a cluster.
func (e *Engine) startNode() error {
	rc := replica.Config{Rand: mathrand.New(mathrand.NewPCG(randomID(), randomID())), Log: e.cfg.Log, ElectionTicks: e.cfg.ElectionTicks,
		TickMillis: int(e.cfg.TickInterval / time.Millisecond), OnProposed: e.cfg.Meter.CountProposal, OnApplied: e.cfg.Meter.CountApplied}
	if e.cfg.TuneReplica != nil {
		e.cfg.TuneReplica(&rc)
	}
	n, err := replica.New(rc, e.disk)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	e.node = n
	e.attachState()
	if e.cfg.OnUncommitted != nil {
		n.Uncommitted(e.cfg.OnUncommitted)
	}
	return nil
}

// attachState listens to a state that is new as a whole.
func (e *Engine) attachState() {
	if e.cfg.OnReset != nil {
		e.cfg.OnReset(e.node.State())
	}
	e.node.State().OnEvent(func(x store.Event) {
		if e.cfg.OnEvent != nil {
			e.cfg.OnEvent(x)
		}
	})
}

// Close hands leadership over if it can, stops the replica and closes its disk. What is open is answered ErrClosed.
func (e *Engine) Close() error {
	for range 30 {
		led := false
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err := e.run(ctx, func() {
			if e.node != nil && len(e.node.State().Members()) > 1 {
				led = !e.node.TransferLeadership()
			}
		})
		cancel()
		if err != nil || !led {
			break
		}
		time.Sleep(e.cfg.TickInterval / 2)
	}
	return e.Kill()
}

// Kill stops at once, as a crash would but for the disk, which is closed.
func (e *Engine) Kill() error {
	e.cancel()
	<-e.done
	if e.transport != nil {
		e.transport.Close()
	}
	e.wg.Wait()
	return e.disk.Close()
}

func (e *Engine) loop() {
	defer e.wg.Done()
	defer close(e.done)
	t := time.NewTicker(e.cfg.TickInterval)
	defer t.Stop()
	var lastProof time.Time
	for {
		select {
		case <-e.ctx.Done():
			for t, f := range e.handlers {
				f(replica.Completion{Token: t, Err: ErrClosed})
			}
			return
		case <-t.C:
			if e.node != nil {
				e.node.Tick()
				if now := time.Now(); now.Sub(lastProof) >= confirmInterval {
					lastProof = now
					e.read(func(d replica.Completion) {
						if d.Err == nil {
							e.confirmedAfter.Store(int64(now.Sub(e.startedAt)) + 1)
							if e.cfg.OnConfirmed != nil {
								e.cfg.OnConfirmed(time.Since(now))
							}
						}
					})
				}
			}
		case f := <-e.calls:
			f()
		case m := <-e.inbox:
			e.handleMessage(m)
		}
		for range maxRoundInputs { // what else came meanwhile is written together
			select {
			case f := <-e.calls:
				f()
				continue
			case m := <-e.inbox:
				e.handleMessage(m)
				continue
			default:
			}
			break
		}
		if e.node != nil {
			e.process()
		}
		runtime.Gosched()
	}
}

// handleMessage takes a message; the first one that comes to an empty disk begins its replica.
func (e *Engine) handleMessage(m *raftpb.Message) {
	if e.node == nil {
		if e.assigned.MemberID == 0 || m.GetTo() != e.assigned.MemberID {
			return
		}
		err := e.disk.SetIdentity(e.assigned)
		if err == nil {
			err = e.startNode()
		}
		if err != nil {
			e.cfg.Log.Error("the store cannot join", "error", err)
			return
		}
		e.updatePeers()
		e.cfg.Log.Info("the store was taken into a cluster", "member", e.assigned.MemberID)
	}
	e.node.Step(m)
}

func (e *Engine) process() {
	before := e.node.State().Revision()
	out := e.node.Process()
	if out.StateReplaced {
		e.attachState()
	}
	if !e.caughtUp && e.node.CaughtUp() {
		if e.caughtUp = true; e.cfg.OnCaughtUp != nil {
			e.cfg.OnCaughtUp()
		}
	}
	if e.transport != nil {
		e.transport.Send(out.Messages)
	}
	for _, d := range out.Completions {
		if f := e.handlers[d.Token]; f != nil {
			delete(e.handlers, d.Token)
			f(d)
		}
	}
	if j := out.Snapshot; j != nil {
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			err := j.Run()
			select {
			case e.calls <- func() { e.node.SnapshotDone(j, err) }:
			case <-e.done:
			}
		}()
	}
	if out.AppliedEntries > 0 || out.StateReplaced {
		e.updatePeers()
	}
	if out.StateReplaced || e.node.State().Revision() != before {
		next := make(chan struct{})
		close(*e.revisionChanged.Swap(&next))
	}
}

// updatePeers tells the network who the members are.
func (e *Engine) updatePeers() {
	if e.transport == nil || e.node == nil {
		return
	}
	all := map[uint64][2]string{}
	members := e.node.State().Members()
	if len(members) == 0 {
		all = maps.Clone(e.helloPeers)
	}
	sum := uint64(len(all)) + 1
	for _, m := range members {
		sum = sum*31 + xxhash.Sum64String(fmt.Sprint(m.ID, m.Name, m.Address))
		if m.ID != e.node.Self().MemberID {
			all[m.ID] = [2]string{m.Name, m.Address}
		}
	}
	for id, p := range all {
		if via := e.cfg.AddressOverrides[p[0]]; via != "" {
			all[id] = [2]string{p[0], via}
		}
	}
	if sum != e.peersHash {
		e.peersHash = sum
		e.transport.SetPeers(all)
	}
}

// run has the loop run f, and waits for it. f does not run after do has returned.
func (e *Engine) run(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	var taken atomic.Bool // by the loop, or by the one who gave up
	call := func() {
		if taken.CompareAndSwap(false, true) {
			f()
			close(ran)
		}
	}
	giveUp := func(err error) error {
		if taken.CompareAndSwap(false, true) {
			return err
		}
		<-ran // it is at it
		return nil
	}
	select {
	case e.calls <- call:
	case <-ctx.Done():
		return ctx.Err()
	case <-e.done:
		return ErrClosed
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return giveUp(ctx.Err())
	case <-e.done:
		return giveUp(ErrClosed)
	}
}

func (e *Engine) onCompletion(f func(replica.Completion)) replica.RequestToken {
	e.lastToken++
	e.handlers[e.lastToken] = f
	return e.lastToken
}

func (e *Engine) read(f func(replica.Completion)) { e.node.Read(e.onCompletion(f)) }

// request has the loop put a request to the node and waits for its answer.
func (e *Engine) request(ctx context.Context, put func(replica.RequestToken)) (replica.Completion, error) {
	answer := make(chan replica.Completion, 1)
	err := e.run(ctx, func() {
		if e.node == nil {
			answer <- replica.Completion{Err: replica.ErrNoLeader}
			return
		}
		put(e.onCompletion(func(d replica.Completion) { answer <- d }))
	})
	if err != nil {
		return replica.Completion{}, err
	}
	select {
	case d := <-answer:
		return d, nil
	case <-ctx.Done():
		return replica.Completion{}, ctx.Err()
	case <-e.done:
		return replica.Completion{Err: ErrClosed}, nil
	}
}

// Do makes a change and returns its outcome. A request without an id gets one. It is sent again until its outcome is
// known or ctx ends; then the error is an UnknownError if the change may have been made.
func (e *Engine) Do(ctx context.Context, c store.Command) (store.Result, error) {
	if c.ID == (store.RequestID{}) {
		c.ID = store.RequestID{Client: e.clientID, Seq: e.seq.Add(1)}
	}
	if c.SinceIndex == 0 {
		if err := e.run(ctx, func() {
			if e.node != nil {
				c.SinceIndex = max(1, e.node.State().Index())
			}
		}); err != nil {
			return store.Result{}, err
		}
	}
	sent, wait := false, minRetryDelay
	var last error
	for {
		d, err := e.request(ctx, func(t replica.RequestToken) { x := c; e.node.Propose(t, &x) })
		switch {
		case err == nil && d.Err == nil && !sent && errors.Is(d.Result.Err, store.ErrRequestExpired):
			// It was never sent before: its beginning was told by a copy that is far behind, not by an old request.
			last = d.Result.Err
			if err := e.run(ctx, func() {
				if e.node != nil {
					c.SinceIndex = max(1, e.node.State().Index())
				}
			}); err != nil {
				return store.Result{}, err
			}
		case err == nil && d.Err == nil:
			return d.Result, d.Result.Err
		case err == nil && (errors.Is(d.Err, replica.ErrNoLeader) || errors.Is(d.Err, replica.ErrBusy)):
			last = d.Err
		default:
			sent = true
			if last = err; err == nil {
				last = d.Err
			}
		}
		if errors.Is(last, ErrClosed) || errors.Is(last, replica.ErrStopped) || ctx.Err() != nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-e.done:
		case <-time.After(wait/2 + mathrand.N(wait)):
		}
		wait = min(2*wait, maxRetryDelay)
	}
	if sent {
		return store.Result{}, &UnknownError{c.ID}
	}
	return store.Result{}, last
}

// CopyAge is how old a copy may be.
type CopyAge struct {
	Revision  uint64        `json:"revision"`
	Confirmed bool          `json:"proved"` // a quorum confirmed the copy since the start,
	Age       time.Duration `json:"age_ns"` // so long ago
	Stale     bool          `json:"stale"`  // longer than a few questions to the quorum take
}

// View has f read the state. If stale is not set, it shows all that was answered to anyone before the call; else it is
// this copy as it is, whose age is told. f runs in the loop and must be short. Of a copy that holds a part (follow.Follower) f may be
// called again, and begins anew then.
func (e *Engine) View(ctx context.Context, stale bool, f func(*store.State)) (CopyAge, error) {
	for wait := minRetryDelay; !stale; wait = min(2*wait, maxRetryDelay) {
		d, err := e.request(ctx, func(t replica.RequestToken) { e.node.Read(t) })
		if err == nil && d.Err == nil {
			break
		}
		if err == nil {
			err = d.Err
		}
		if errors.Is(err, ErrClosed) || errors.Is(err, replica.ErrStopped) {
			return CopyAge{}, err
		}
		select {
		case <-ctx.Done():
			return CopyAge{}, fmt.Errorf("%w: %w", err, ctx.Err())
		case <-e.done:
		case <-time.After(wait/2 + mathrand.N(wait)):
		}
	}
	var a CopyAge
	err := e.run(ctx, func() {
		if e.node == nil {
			return
		}
		a = e.copyAge()
		a.Revision = e.node.State().Revision()
		f(e.node.State())
	})
	return a, err
}

func (e *Engine) copyAge() CopyAge {
	var a CopyAge
	if p := e.confirmedAfter.Load(); p != 0 {
		a.Confirmed, a.Age = true, time.Since(e.startedAt)-time.Duration(p)
	}
	a.Stale = serverstate.Staleness{Confirmed: a.Confirmed, Age: int64(a.Age), Allowed: int64(maxConfirmationAge)}.Stale()
	return a
}

// Next returns the changes of keys with a prefix after a revision, waiting for one, and the revision up to which they
// go. The error is a *store.ErrCompacted if the history no longer reaches back. A reader that does not come costs nothing.
func (e *Engine) Next(ctx context.Context, prefix string, after uint64, most int) ([]store.Event, uint64, error) {
	for {
		changed := *e.revisionChanged.Load()
		var events []store.Event
		var to uint64
		var gone error
		if err := e.run(ctx, func() {
			if to = after; e.node != nil {
				events, to, gone = e.node.State().Changes(nil, prefix, after, most)
			}
		}); err != nil {
			return nil, after, err
		}
		if gone != nil || len(events) > 0 {
			return events, to, gone
		}
		after = max(after, to)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-e.done:
			return nil, after, ErrClosed
		}
	}
}

// Status is how the store stands.
type Status struct {
	replica.Status
	WaitingToJoin bool   `json:"waiting_to_join,omitempty"`
	Follower      bool   `json:"follower,omitempty"` // has no replica: a copy of others'
	Following     string `json:"follows,omitempty"`  // the replica that it hears now, or "" for none

	Interest *store.Interest `json:"holds,omitempty"` // what a follower's copy holds; nil: all

	CopyAge             CopyAge `json:"copy"`
	DiskBytes           int64   `json:"disk_bytes"`
	PeersRejected       int64   `json:"peers_refused"`
	ConnectionsRejected int64   `json:"connections_refused"`
	MessagesDropped     int64   `json:"messages_dropped"`
	MessagesSent        int64   `json:"messages_sent"`
	MessagesReceived    int64   `json:"messages_received"`
}

// Status returns it.
func (e *Engine) Status(ctx context.Context) (Status, error) {
	var s Status
	err := e.run(ctx, func() {
		if e.node == nil {
			s.WaitingToJoin, s.Name, s.Self = true, e.cfg.Name, e.disk.Identity()
			return
		}
		s.Status = e.node.Status()
		s.CopyAge = e.copyAge()
		s.CopyAge.Revision = s.Revision
	})
	s.DiskBytes = e.disk.Size()
	if e.transport != nil {
		st := &e.transport.Stats
		s.PeersRejected, s.ConnectionsRejected, s.MessagesDropped = st.HellosRejected.Load(), st.ConnectionsRejected.Load(), st.MessagesDropped.Load()
		s.MessagesSent, s.MessagesReceived = st.MessagesSent.Load(), st.MessagesReceived.Load()
	}
	return s, err
}

// Save returns a copy of the state, to be saved elsewhere.
func (e *Engine) Save(ctx context.Context) (*store.State, error) {
	var s *store.State
	_, err := e.View(ctx, false, func(now *store.State) { s = now.Clone() })
	if err == nil && s == nil {
		err = replica.ErrNoLeader
	}
	return s, err
}

// TransferLeadership gives leadership away.
func (e *Engine) TransferLeadership(ctx context.Context) error {
	return e.run(ctx, func() {
		if e.node != nil {
			e.node.TransferLeadership()
		}
	})
}

// host is the engine as the network sees it.
type host Engine

func (h *host) Hello() replica.Hello {
	e := (*Engine)(h)
	var out replica.Hello
	_ = e.run(e.ctx, func() {
		out = replica.Hello{Identity: e.disk.Identity(), Name: e.cfg.Name}
		if e.assigned.MemberID != 0 { // a disk that was greeted answers as the member that it is to become
			out.ClusterID, out.MemberID = e.assigned.ClusterID, e.assigned.MemberID
		}
		if e.node != nil {
			out = e.node.Hello()
		}
	})
	return out
}

func (h *host) Admit(x peer.Hello) error {
	e := (*Engine)(h)
	var verdict error
	err := e.run(e.ctx, func() {
		switch {
		case e.node != nil:
			if x.RecipientID != 0 && x.RecipientID != e.node.Self().MemberID {
				verdict = fmt.Errorf("this is member %d, and %d was meant", e.node.Self().MemberID, x.RecipientID)
				return
			}
			if verdict = e.node.Admit(x.From); verdict == nil {
				e.rememberPeer(x)
			}
		case x.RecipientID == 0 || x.From.ClusterID == 0:
			verdict = errors.New("this replica waits to be taken into a cluster")
		default:
			e.assigned = replica.Identity{ClusterID: x.From.ClusterID, MemberID: x.RecipientID}
			e.rememberPeer(x)
		}
	})
	return errors.Join(err, verdict)
}

// rememberPeer keeps where a greeter is reached, until the members are known.
func (e *Engine) rememberPeer(x peer.Hello) {
	if e.node != nil && len(e.node.State().Members()) > 0 || x.Address == "" || len(e.helloPeers) >= 16 {
		return
	}
	if e.helloPeers == nil {
		e.helloPeers = map[uint64][2]string{}
	}
	e.helloPeers[x.From.MemberID] = [2]string{x.Name, x.Address}
	e.updatePeers()
}

func (h *host) Deliver(ctx context.Context, m *raftpb.Message) {
	select {
	case h.inbox <- m:
	case <-ctx.Done():
	case <-h.done:
	}
}

func (h *host) ReportUnreachable(member uint64) {
	h.post(func(n *replica.Node) { n.ReportUnreachable(member) })
}

func (h *host) ReportSnapshot(member uint64, ok bool) {
	h.post(func(n *replica.Node) { n.ReportSnapshot(member, ok) })
}

// post leaves word with the loop if there is room. It is called by the loop itself, too, which must not wait.
func (h *host) post(f func(*replica.Node)) {
	select {
	case h.calls <- func() {
		if h.node != nil {
			f(h.node)
		}
	}:
	default:
	}
}
