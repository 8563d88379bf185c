// Package follower keeps a copy of the store in a daemon without a replica: one whose host does not vote. It
// fetches the state from one of several replicas once, receives what changes, and saves the copy to a file for
// the next start. What it changes in the store goes through any replica that answers.
//
// A follower costs the cluster one stream of changes. It takes no part in a quorum, and no write waits for a
// follower, however many there are. Partitioned from the replicas it continues with what it has, and says how
// old that is.
//
// It may hold a part of the state alone (package changefeed; docs/design/interest.md). A read of more is served
// from a copy of a replica, or fails: a follower never reports a key as absent that its copy does not hold.
//
// It may import the store's packages and package keys.
package follower

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/usage"
)

const maxIdleConnsPerReplica = 4

// Replica is a replica that may be followed.
type Replica struct {
	Name string // in its certificate; unused without keys
	Addr string
}

// Config is the configuration of a follower. The hooks must not block, and must not call the follower.
type Config struct {
	Name     string // of this daemon
	Dir      string // of the copy's file
	Replicas []Replica
	Keys     *keys.Pair // nil: plain TCP on loopback
	Log      *slog.Logger
	Usage    *usage.Recorder // of messages and the copy's file; nil: nothing is counted

	// FirstCopyTimeout is how long Open waits for a replica's copy if there is no file.
	FirstCopyTimeout time.Duration

	// OnEvent is called with each change, OnReset with each state that replaces the copy, one after
	// the other.
	OnEvent func(store.Event)
	OnReset func(*store.State)
	// OnCaughtUp is called once, when a quorum first confirms the copy.
	OnCaughtUp func()
	// OnConfirmed is called each time that a quorum confirms the copy, with how long ago it did.
	OnConfirmed func(ago time.Duration)
	// OnSnapshotAge is called with how long ago, by a replica's clock, a module snapshot of the copy was put.
	OnSnapshotAge func(key string, age time.Duration)

	// Subscription returns what the copy is to hold. It is called at the start, after each state that replaces
	// the copy, and by UpdateInterest. nil: all keys.
	Subscription func() changefeed.Subscription
	// OnPrefixSize is called with the sizes of the subscription's prefixes, as they change.
	OnPrefixSize func(prefix string, size store.PrefixSize)
}

// Follower is a running copy. All methods may be called by any goroutine.
type Follower struct {
	cfg        Config
	clientID   uint64
	seq        atomic.Uint64  // of requests
	clients    []*http.Client // by replica
	startedAt  time.Time
	ctx        context.Context // ends with Close
	cancel     context.CancelFunc
	background sync.WaitGroup

	firstHeartbeat chan struct{} // closed with the first heartbeat

	fileMu        sync.Mutex
	writtenNumber uint64 // number of the copy in the file

	mu              sync.Mutex
	mirror          *changefeed.Mirror
	subscription    changefeed.Subscription
	interestChanged chan struct{} // closed and replaced when the copy is to hold another interest
	advanced        chan struct{} // closed and replaced when the copy changes
	connectedTo     string        // address of the replica whose stream is received
	confirmedAt     time.Duration // when a quorum last confirmed the copy, since startedAt; 0: never
	unsaved         bool          // the copy has something that the file lacks
	copyNumber      uint64        // counts the copies that are taken for the file
	fileWrittenAt   time.Time     // of the file with which this start began; zero: there was none
}

// Open starts a follower. With a file it starts with that at once; without one it waits for a replica's copy, for
// FirstCopyTimeout at most. That none came is not an error.
func Open(cfg Config) (*Follower, error) {
	if len(cfg.Replicas) == 0 {
		return nil, errors.New("follower: no replicas are configured")
	}
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("follower: %w", err)
	}
	clientID, err := newClientID()
	if err != nil {
		return nil, err
	}
	f := &Follower{
		cfg:             cfg,
		clientID:        clientID,
		startedAt:       time.Now(),
		advanced:        make(chan struct{}),
		firstHeartbeat:  make(chan struct{}),
		interestChanged: make(chan struct{}),
		mirror:          changefeed.NewMirror(nil, changefeed.NoDefect),
	}
	f.updateSubscription()
	if err := f.createClients(); err != nil {
		return nil, err
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	restored, err := f.restore()
	if err != nil {
		cfg.Log.Error("cannot use the saved copy of the store", "file", f.copyPath(), "error", err)
	}
	f.background.Go(f.run)
	f.background.Go(f.saveLoop)
	if !restored && cfg.FirstCopyTimeout > 0 {
		f.awaitFirstHeartbeat()
	}
	return f, nil
}

// newClientID draws the id of this process as a client: positive, and odd, so that it is not 0.
func newClientID() (uint64, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(random[:])>>1 | 1, nil
}

func (f *Follower) createClients() error {
	for _, replica := range f.cfg.Replicas {
		transport := &http.Transport{
			DialContext:         f.dial,
			MaxIdleConnsPerHost: maxIdleConnsPerReplica,
			TLSHandshakeTimeout: requestTimeout,
		}
		if f.cfg.Keys != nil {
			tlsConfig, err := f.cfg.Keys.Client(replica.Name)
			if err != nil {
				return fmt.Errorf("follower: replica %q: %w", replica.Name, err)
			}
			transport.TLSClientConfig = tlsConfig
		}
		f.clients = append(f.clients, &http.Client{Transport: transport})
	}
	return nil
}

// dial opens a connection that is counted.
func (f *Follower) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: requestTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return f.cfg.Usage.WrapConn(conn), nil
}

func (f *Follower) awaitFirstHeartbeat() {
	select {
	case <-f.firstHeartbeat:
	case <-time.After(f.cfg.FirstCopyTimeout):
		f.cfg.Log.Warn("no replica sent its copy of the store in time: starting without one",
			"waited", f.cfg.FirstCopyTimeout)
	}
}

// Close ends the follower, and saves what its file lacks.
func (f *Follower) Close() error {
	f.cancel()
	f.background.Wait()
	return f.save()
}

// UpdateInterest takes what Config.Subscription returns now. The hooks must not call it: they are followed by
// such an update.
func (f *Follower) UpdateInterest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateSubscription()
}

// updateSubscription takes what the copy is to hold. The lock is held, or nothing runs yet.
func (f *Follower) updateSubscription() {
	if f.cfg.Subscription == nil {
		return
	}
	f.subscription = f.cfg.Subscription()
	if f.mirror.SetInterest(f.subscription.Interest) {
		close(f.interestChanged)
		f.interestChanged = make(chan struct{})
	}
}

// stateReplaced reports a state that replaced the copy. The lock is held.
func (f *Follower) stateReplaced() {
	f.notifyAdvanced()
	if f.cfg.OnReset != nil {
		f.cfg.OnReset(f.mirror.State())
	}
	f.updateSubscription()
}

// notifyAdvanced wakes those that wait for a change. The lock is held.
func (f *Follower) notifyAdvanced() {
	close(f.advanced)
	f.advanced = make(chan struct{})
}

// pause waits, for a duration drawn around that of the backoff and until one of the contexts ends.
func (f *Follower) pause(ctx context.Context, b *backoff) {
	select {
	case <-ctx.Done():
	case <-f.ctx.Done():
	case <-time.After(b.next()):
	}
}
