// Package engine runs one replica of the store: its loop, its disk and its transport. The methods of an Engine may be
// called by any goroutine.
//
// A goroutine, the loop, owns the replica. In each round it takes a bounded number of inputs, has the replica process
// them together, so that they wait for the disk only once, and completes the requests. The loop yields between rounds,
// so that a busy store does not starve the rest of the process.
//
// The package connects the packages replica, disk and peer. Besides these it imports store, serverstate, usage and
// platform/keys.
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

// Config configures an Engine. Only Name and Dir are required.
type Config struct {
	Name             string                // name of this replica
	Dir              string                // directory of its disk
	Address          string                // where other replicas reach it; empty: that of Listener
	Join             bool                  // with an empty disk, wait to be added to a cluster instead of founding one
	Limits           store.Limits          // limits of a cluster that it founds; zero: store.DefaultLimits
	AddressOverrides map[string]string     // by name of a replica; dialled instead of the member's address
	Keys             *keys.Pair            // nil: plain TCP, on loopback only
	Listener         net.Listener          // nil: the replica is the only one and has no network
	TickInterval     time.Duration         // zero: 100 ms
	ElectionTicks    int                   // minimum election timeout; zero: the default of package replica
	Log              *slog.Logger          // nil: nothing is logged
	TuneReplica      func(*replica.Config) // changes the replica's configuration, unless nil
	DiskOptions      disk.Options
	Usage            *usage.Recorder // counts messages, commands and writes; nil: nothing is counted

	// The hooks below are not called if nil. Open calls OnReset and OnUncommitted for the contents of a disk that
	// belongs to a cluster; all other calls are made by the loop. The hooks must not block.

	// OnEvent is called with each change, in order. OnReset is called with the first state, and with each state that
	// replaces the former one.
	OnEvent func(store.Event)
	OnReset func(*store.State)
	// OnUncommitted is called at the start with each command in the log that may be uncommitted. OnCaughtUp is called
	// once, when all entries that the log had at the start are applied.
	OnUncommitted func(*store.Command)
	OnCaughtUp    func()
	// OnConfirmed is called each time that a quorum has confirmed that the copy includes every change acknowledged up
	// to a moment, which precedes the call by ago. Changes applied after the call were acknowledged after that moment.
	OnConfirmed func(ago time.Duration)
}

const (
	defaultTickInterval = 100 * time.Millisecond
	queueCapacity       = 1024 // calls, and messages, that can wait for the loop
	maxTransferAttempts = 30   // transfers of leadership that Close tries
	transferTimeout     = time.Second
)

// ErrClosed reports that the engine is closed, or was closed before the call completed.
var ErrClosed = errors.New("the store is closed")

// Engine runs one replica. Its methods are safe for concurrent use.
type Engine struct {
	cfg       Config
	disk      *disk.Disk
	transport *peer.Transport // nil without a network
	clientID  uint64          // client of requests to Do without an ID
	lastSeq   atomic.Uint64   // sequence number of the last of them
	startedAt time.Time

	calls  chan func()          // functions that the loop is to call
	inbox  chan *raftpb.Message // messages of other replicas
	done   chan struct{}        // closed when the loop has ended
	cancel context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup

	confirmedAfterNanos atomic.Int64                  // time from startedAt to the last confirmation, plus 1; 0: none
	revisionChanged     atomic.Pointer[chan struct{}] // closed, and replaced, when the revision changes

	// The fields below are used by start and, once the loop runs, by the loop only.

	node             *replica.Node // nil while an empty disk waits to be added to a cluster
	caughtUp         bool
	assignedIdentity replica.Identity     // identity that a peer assigned to an empty disk
	helloPeers       map[uint64]peer.Peer // peers that connected while no members were known, by member ID
	handlers         map[replica.RequestToken]func(replica.Completion)
	lastToken        replica.RequestToken
	peersHash        uint64 // hash of the peers that were passed to the transport
}

// Open starts a replica. The caller must call Close or Kill.
func Open(cfg Config) (*Engine, error) {
	if err := keys.CheckName(cfg.Name); err != nil {
		return nil, err
	}
	cfg.setDefaults()
	openedDisk, err := disk.Open(cfg.Dir, cfg.DiskOptions)
	if err != nil {
		return nil, err
	}
	e := newEngine(cfg, openedDisk)
	if err := e.start(); err != nil {
		return nil, errors.Join(err, openedDisk.Close())
	}
	return e, nil
}

// setDefaults replaces zero values by their defaults, and passes Usage to the disk.
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

func newEngine(cfg Config, openedDisk *disk.Disk) *Engine {
	e := &Engine{
		cfg:       cfg,
		disk:      openedDisk,
		clientID:  randomID(),
		startedAt: time.Now(),
		calls:     make(chan func(), queueCapacity),
		inbox:     make(chan *raftpb.Message, queueCapacity),
		done:      make(chan struct{}),
		handlers:  map[replica.RequestToken]func(replica.Completion){},
	}
	revisionChanged := make(chan struct{})
	e.revisionChanged.Store(&revisionChanged)
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// start founds a cluster if the disk is empty and need not wait to join one, and starts the replica if the disk belongs
// to a cluster. It then starts the transport and the loop.
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

// randomID returns a random odd number below 1<<63, which is never 0.
func randomID() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.BigEndian.Uint64(b[:])>>1 | 1
}

// startNode starts the replica from a disk that belongs to a cluster.
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
	node, err := replica.New(cfg, e.disk)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	e.node = node
	e.attachState()
	if e.cfg.OnUncommitted != nil {
		node.Uncommitted(e.cfg.OnUncommitted)
	}
	return nil
}

// attachState calls OnReset with the replica's new state and installs OnEvent on it.
func (e *Engine) attachState() {
	state := e.node.State()
	if e.cfg.OnReset != nil {
		e.cfg.OnReset(state)
	}
	state.OnEvent(func(event store.Event) {
		if e.cfg.OnEvent != nil {
			e.cfg.OnEvent(event)
		}
	})
}

// Close transfers leadership if this replica leads and another one takes over in time, stops the replica and closes its
// disk. Requests in flight end with ErrClosed.
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

// tryTransfer starts to transfer leadership. It reports whether no transfer is needed, because this replica does not
// lead or is the only one.
func (e *Engine) tryTransfer() (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	transferred := true
	err := e.runInLoop(ctx, func() {
		if e.node != nil && len(e.node.State().Members()) > 1 {
			transferred = e.node.TransferLeadership()
		}
	})
	return transferred, err
}

// Kill stops the replica without transferring leadership and closes its disk.
func (e *Engine) Kill() error {
	e.cancel()
	<-e.done
	if e.transport != nil {
		e.transport.Close()
	}
	e.wg.Wait()
	return e.disk.Close()
}

// TransferLeadership starts to transfer leadership to another replica if this one leads. It does not wait for the
// transfer to end.
func (e *Engine) TransferLeadership(ctx context.Context) error {
	return e.runInLoop(ctx, func() {
		if e.node != nil {
			e.node.TransferLeadership()
		}
	})
}
