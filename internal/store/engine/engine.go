// Package engine runs one replica of the store: its loop, disk and transport. Any goroutine may call its methods.
//
// The loop takes a bounded number of inputs, has the replica process them together, which waits for the disk only once,
// and completes the requests. It yields between rounds, so that a busy store does not starve the rest of the process.
//
// It joins the packages replica, disk and peer. Besides these it imports store, serverstate, usage and platform/keys.
package engine

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/peer"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/usage"

	"go.etcd.io/raft/v3/raftpb"
)

// Config configures an engine.
type Config struct {
	Name             string            // of this replica
	Dir              string            // of its disk
	Address          string            // at which other replicas reach it; empty: that of Listener
	Join             bool              // an empty disk waits to be added to a cluster, instead of founding one
	Limits           store.Limits      // of a cluster that it founds; zero: store.DefaultLimits
	AddressOverrides map[string]string // by name of a replica, to dial in place of its address
	Keys             *keys.Pair        // nil: plain TCP, on loopback only
	Listener         net.Listener      // nil: the replica is the only one, without a network
	TickInterval     time.Duration     // 100 ms if zero
	ElectionTicks    int               // minimum election timeout; zero: the default of package replica
	Log              *slog.Logger      // nil: nothing is logged
	TuneReplica      func(*replica.Config)
	DiskOptions      disk.Options
	Usage            *usage.Recorder // of messages, commands and writes; nil: nothing is counted

	// OnEvent is called with each change in order, and OnReset with each new state that replaces the former one. All
	// hooks but OnUncommitted are called by the loop and must not block.
	OnEvent func(store.Event)
	OnReset func(*store.State)
	// OnUncommitted is called at the start with each command of the log that is not known to be committed, OnCaughtUp
	// once when all entries that the log had at the start are applied.
	OnUncommitted func(*store.Command)
	OnCaughtUp    func()
	// OnConfirmed is called each time that a quorum has confirmed that the copy was current so long ago. Changes that
	// are applied after the call were acknowledged after that moment.
	OnConfirmed func(ago time.Duration)
}

const (
	defaultTickInterval = 100 * time.Millisecond
	inboxSize           = 1024 // calls, and messages, that wait for the loop
	maxTransferAttempts = 30   // of leadership, before the engine closes without
	transferTimeout     = time.Second
)

// ErrClosed reports that the engine was closed.
var ErrClosed = errors.New("the store is closed")

// Engine is a running replica.
type Engine struct {
	cfg       Config
	disk      *disk.Disk
	transport *peer.Transport // nil without a network
	clientID  uint64          // of requests without an ID
	seq       atomic.Uint64   // of the last of them
	startedAt time.Time

	calls  chan func()
	inbox  chan *raftpb.Message
	done   chan struct{} // closed when the loop has ended
	cancel context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup

	confirmedAfter  atomic.Int64                  // ns from startedAt to the last confirmation, plus one; or 0
	revisionChanged atomic.Pointer[chan struct{}] // closed when the revision changes

	// The fields below belong to the loop.

	node       *replica.Node // nil while an empty disk waits to be added to a cluster
	caughtUp   bool
	assigned   replica.Identity     // that a peer gave to an empty disk
	helloPeers map[uint64]peer.Peer // that connected while no members were known
	handlers   map[replica.RequestToken]func(replica.Completion)
	lastToken  replica.RequestToken
	peersHash  uint64 // of the peers that the transport knows
}

// Open starts a replica. It must be closed.
func Open(cfg Config) (*Engine, error) {
	if err := keys.CheckName(cfg.Name); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	d, err := disk.Open(cfg.Dir, cfg.DiskOptions)
	if err != nil {
		return nil, err
	}
	e := newEngine(cfg, d)
	if err := e.start(); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return e, nil
}

func (c *Config) setDefaults() {
	if c.TickInterval == 0 {
		c.TickInterval = defaultTickInterval
	}
	if c.Limits == (store.Limits{}) {
		c.Limits = store.DefaultLimits
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Address == "" && c.Listener != nil {
		c.Address = c.Listener.Addr().String()
	}
	c.DiskOptions.Usage = c.Usage
}

func newEngine(cfg Config, d *disk.Disk) *Engine {
	e := &Engine{
		cfg:       cfg,
		disk:      d,
		clientID:  randomID(),
		startedAt: time.Now(),
		calls:     make(chan func(), inboxSize),
		inbox:     make(chan *raftpb.Message, inboxSize),
		done:      make(chan struct{}),
		handlers:  map[replica.RequestToken]func(replica.Completion){},
	}
	first := make(chan struct{})
	e.revisionChanged.Store(&first)
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

func (e *Engine) start() error {
	if e.disk.Identity().ClusterID == 0 && !e.cfg.Join {
		err := replica.Bootstrap(e.disk, randomID(), e.cfg.Name, e.cfg.Address, e.cfg.Limits)
		if err != nil {
			return err
		}
	}
	if e.disk.Identity().ClusterID != 0 {
		if err := e.startNode(); err != nil {
			return err
		}
	}
	if e.cfg.Listener != nil {
		cfg := &e.cfg
		transport, err := peer.New(cfg.Name, cfg.Address, cfg.Listener, host{e}, cfg.Keys, cfg.Log, cfg.Usage)
		if err != nil {
			return err
		}
		e.transport = transport
		e.updatePeers()
	}
	e.wg.Add(1)
	go e.loop()
	return nil
}

// randomID returns a random number that is not 0 and fits 63 bits.
func randomID() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.BigEndian.Uint64(b[:])>>1 | 1
}

// startNode starts the replica on a disk that belongs to a cluster.
func (e *Engine) startNode() error {
	cfg := replica.Config{
		Rand:          mathrand.New(mathrand.NewPCG(randomID(), randomID())),
		Log:           e.cfg.Log,
		ElectionTicks: e.cfg.ElectionTicks,
		TickMillis:    int(e.cfg.TickInterval / time.Millisecond),
		OnProposed:    e.cfg.Usage.CountProposal,
		OnApplied:     e.cfg.Usage.CountApplied,
	}
	if e.cfg.TuneReplica != nil {
		e.cfg.TuneReplica(&cfg)
	}
	n, err := replica.New(cfg, e.disk)
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

// attachState installs the hooks on a new state of the replica.
func (e *Engine) attachState() {
	s := e.node.State()
	if e.cfg.OnReset != nil {
		e.cfg.OnReset(s)
	}
	s.OnEvent(func(event store.Event) {
		if e.cfg.OnEvent != nil {
			e.cfg.OnEvent(event)
		}
	})
}

// Close transfers leadership if it can, stops the replica and closes its disk. Open requests end with ErrClosed.
func (e *Engine) Close() error {
	for range maxTransferAttempts {
		transferred, err := e.tryTransfer()
		if err != nil || transferred {
			break
		}
		time.Sleep(e.cfg.TickInterval / 2)
	}
	return e.Kill()
}

// tryTransfer starts to transfer leadership. It reports whether this replica does not lead, or is the only one.
func (e *Engine) tryTransfer() (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	transferred := true
	err := e.run(ctx, func() {
		if e.node != nil && len(e.node.State().Members()) > 1 {
			transferred = e.node.TransferLeadership()
		}
	})
	return transferred, err
}

// Kill stops at once, without transferring leadership.
func (e *Engine) Kill() error {
	e.cancel()
	<-e.done
	if e.transport != nil {
		e.transport.Close()
	}
	e.wg.Wait()
	return e.disk.Close()
}

// TransferLeadership starts to transfer leadership, if this replica leads.
func (e *Engine) TransferLeadership(ctx context.Context) error {
	return e.run(ctx, func() {
		if e.node != nil {
			e.node.TransferLeadership()
		}
	})
}
