// Package follower keeps a copy of the store in a daemon without a replica, that is, on a host that does not vote. The
// follower fetches the state from one of several replicas once, receives changes, and saves the copy to a file for the
// next start. It sends its own changes to any replica that answers.
//
// A follower costs the cluster one stream of changes. It is not part of a quorum, so no write waits for it, however
// many followers there are. While it is partitioned from the replicas, it serves its copy and reports the copy's age.
//
// The copy may be partial (package changefeed; docs/design/interest.md). A read of other keys is served from a
// replica's state, or fails: a follower never reports a key as absent that its copy does not hold.
//
// The package may import the store's packages and package keys.
package follower

import (
	"context"
	"crypto/rand"
	"crypto/tls"
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
	"birchmoor/internal/platform/streamhttp"
	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/usage"
)

const maxIdleConnsPerReplica = 4

// Replica is a replica that a follower may connect to.
type Replica struct {
	Name string // name in its certificate; unused without keys
	Addr string // host and port
}

// Config configures a Follower. The hooks may be nil. They must not block, and must not call the follower.
type Config struct {
	Name     string // name of this daemon
	Dir      string // directory of the copy's file; created if it is missing
	Replicas []Replica
	Keys     *keys.Pair // nil: plain TCP on loopback
	Log      *slog.Logger
	Usage    *usage.Recorder // counts messages and writes to the copy's file; nil: nothing is counted

	// FirstCopyTimeout is how long Open waits for a replica's state if there is no usable file.
	FirstCopyTimeout time.Duration

	// OnEvent is called with each change, in order. OnReset is called with each state that replaces the copy. The two
	// are never called concurrently.
	OnEvent func(store.Event)
	OnReset func(*store.State)
	// OnCaughtUp is called once, when a quorum first confirms the copy.
	OnCaughtUp func()
	// OnConfirmed is called each time that a replica reports that a quorum has confirmed the copy, with the time since
	// that confirmation.
	OnConfirmed func(ago time.Duration)
	// OnSnapshotAge is called with the key of a module snapshot and the time since it was put, by a replica's clock.
	OnSnapshotAge func(key string, age time.Duration)

	// Subscription returns the keys that the copy must hold. It is called by Open, after each state that replaces the
	// copy, and by UpdateInterest. If it is nil, the copy holds all keys.
	Subscription func() changefeed.Subscription
	// OnPrefixSize is called with the size of one of the subscription's SizePrefixes when it has changed.
	OnPrefixSize func(prefix string, size store.PrefixSize)
}

// Follower keeps the copy up to date. Its methods are safe for concurrent use.
type Follower struct {
	cfg        Config
	clientID   uint64
	seq        atomic.Uint64  // sequence number of the last request
	clients    []*http.Client // by index of the replica
	streams    []*http.Client // for streams, by index of the replica
	startedAt  time.Time
	ctx        context.Context // cancelled by Close
	cancel     context.CancelFunc
	background sync.WaitGroup

	firstHeartbeat chan struct{} // closed after the first heartbeat

	fileMu        sync.Mutex
	writtenNumber uint64 // number of the copy in the file

	mu              sync.Mutex
	mirror          *changefeed.Mirror
	subscription    changefeed.Subscription
	interestChanged chan struct{} // closed and replaced when the subscription's interest changes
	advanced        chan struct{} // closed and replaced when the copy changes
	connectedTo     string        // address of the replica that sent the last heartbeat of the current stream; or empty
	confirmedAt     time.Duration // time from startedAt to the last confirmation by a quorum; 0: none
	unsaved         bool          // the file lacks a change of the copy
	copyNumber      uint64        // number of the last copy taken for the file
	fileWrittenAt   time.Time     // when the file that was restored was written; zero: there was none
}

// Open starts a follower. If the directory has a usable file, Open returns at once with the copy in it. Otherwise it
// waits for a replica's state, for at most FirstCopyTimeout; it is not an error if none arrives. The caller must call
// Close.
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
	if err := f.createHTTPClients(); err != nil {
		return nil, err
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	restored, err := f.restore()
	if err != nil {
		cfg.Log.Error("loading the saved copy of the store failed; starting without it", "file", f.copyPath(),
			"error", err)
	}
	f.background.Go(f.run)
	f.background.Go(f.saveLoop)
	if !restored && cfg.FirstCopyTimeout > 0 {
		f.awaitFirstHeartbeat()
	}
	return f, nil
}

// newClientID returns a random ID for this process as a client of the store. It is odd, and so not 0, and fits an
// int64.
func newClientID() (uint64, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(random[:])>>1 | 1, nil
}

func (f *Follower) createHTTPClients() error {
	for _, replica := range f.cfg.Replicas {
		var tlsConfig *tls.Config
		if f.cfg.Keys != nil {
			var err error
			if tlsConfig, err = f.cfg.Keys.Client(replica.Name); err != nil {
				return fmt.Errorf("follower: replica %q: %w", replica.Name, err)
			}
		}
		f.clients = append(f.clients, &http.Client{Transport: &http.Transport{
			DialContext:         f.dial,
			MaxIdleConnsPerHost: maxIdleConnsPerReplica,
			TLSHandshakeTimeout: requestTimeout,
			TLSClientConfig:     tlsConfig,
		}})
		f.streams = append(f.streams, &http.Client{Transport: &streamhttp.Transport{
			Dial:             f.dial,
			TLS:              tlsConfig,
			HandshakeTimeout: requestTimeout,
		}})
	}
	return nil
}

// dial opens a connection whose bytes are counted by Config.Usage.
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
		f.cfg.Log.Warn("no replica sent a copy of the store in time; starting without one",
			"waited", f.cfg.FirstCopyTimeout)
	}
}

// Close stops the follower and saves the copy if its file lacks a change. It must be called only once.
func (f *Follower) Close() error {
	f.cancel()
	f.background.Wait()
	return f.save()
}

// UpdateInterest calls Config.Subscription and requests other keys from a replica if the interest has changed. The
// hooks must not call it: the follower updates the subscription itself after OnReset.
func (f *Follower) UpdateInterest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateSubscription()
}

// updateSubscription adopts the current result of Config.Subscription. The caller holds the lock, or is Open before any
// goroutine is started.
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

// stateReplaced wakes waiters, calls OnReset and updates the subscription after a state has replaced the copy. The
// caller holds the lock.
func (f *Follower) stateReplaced() {
	f.notifyAdvanced()
	if f.cfg.OnReset != nil {
		f.cfg.OnReset(f.mirror.State())
	}
	f.updateSubscription()
}

// notifyAdvanced wakes the goroutines that wait for a change of the copy. The caller holds the lock.
func (f *Follower) notifyAdvanced() {
	close(f.advanced)
	f.advanced = make(chan struct{})
}

// pause waits for the next delay of a backoff, or until ctx or the follower ends.
func (f *Follower) pause(ctx context.Context, b *backoff) {
	select {
	case <-ctx.Done():
	case <-f.ctx.Done():
	case <-time.After(b.next()):
	}
}
