package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/usage"
)

const (
	maxFollowers         = 512 // concurrent streams of a replica
	maxConcurrentChanges = 256 // of all followers together
	maxFeedEvents        = 256 // read from the history in one call
	followerHeaderBytes  = 32 << 10
	followerIdleTimeout  = time.Minute
	prefixSizeInterval   = time.Second            // how long a prefix's size is cached
	prefixSizeRetention  = 2 * prefixSizeInterval // after which a cached size is removed
)

var errNoCopy = errors.New("this replica has no copy of the store yet")

// FollowerConfig configures a FollowerServer.
type FollowerConfig struct {
	// Allowed reports whether a follower may make an operation that does not change server state. owner is the owner of
	// the transaction, which is the follower's name or empty.
	Allowed func(op store.Op, owner string) bool
	// SnapshotAges returns the time since each module snapshot arrived at this daemon, by key.
	SnapshotAges func() map[string]time.Duration
	// Usage counts messages; nil counts nothing.
	Usage *usage.Recorder
}

// FollowerServer serves followers, that is, daemons without a replica. They connect by TLS with the cluster's keys, or
// by plain TCP on loopback. They may do less than operators: fetch a copy, receive changes, read the revision that a
// quorum confirms, and change server state, leases that they own and what FollowerConfig allows.
type FollowerServer struct {
	engine      *engine.Engine
	cfg         FollowerConfig
	http        *http.Server
	streamSlots chan struct{} // holds a value for each stream
	changeSlots chan struct{} // holds a value for each change in progress
	feed        *changefeed.Feed
	cancel      context.CancelFunc
	background  sync.WaitGroup

	mu          sync.Mutex
	prefixSizes map[string]cachedPrefixSize
}

type cachedPrefixSize struct {
	store.PrefixSize
	readAt time.Time
}

// ServeFollowers serves followers of a replica until Close, which also closes the listener. If pair is nil, it uses
// plain TCP, and the listener must have a loopback address.
func ServeFollowers(
	listener net.Listener, replica *engine.Engine, cfg FollowerConfig, pair *keys.Pair,
) (*FollowerServer, error) {
	if pair == nil && !isLoopback(listener.Addr()) {
		return nil, fmt.Errorf("store: plain TCP on %s, which is not a loopback address", listener.Addr())
	}
	ctx, cancel := context.WithCancel(context.Background())
	age, err := replica.View(ctx, true, func(*store.State) {})
	if err != nil {
		cancel()
		return nil, err
	}
	s := &FollowerServer{
		engine:      replica,
		cfg:         cfg,
		streamSlots: make(chan struct{}, maxFollowers),
		changeSlots: make(chan struct{}, maxConcurrentChanges),
		feed:        changefeed.New(age.Revision, changefeed.NoDefect),
		cancel:      cancel,
		prefixSizes: map[string]cachedPrefixSize{},
	}
	s.background.Go(func() { s.distribute(ctx) })
	s.http = &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       followerIdleTimeout,
		MaxHeaderBytes:    followerHeaderBytes,
	}
	listener = cfg.Usage.WrapListener(listener)
	if pair == nil {
		go func() { _ = s.http.Serve(listener) }() // until Close
		return s, nil
	}
	s.http.TLSConfig = pair.Server()
	go func() { _ = s.http.ServeTLS(listener, "", "") }() // until Close
	return s, nil
}

func isLoopback(addr net.Addr) bool {
	tcp, ok := addr.(*net.TCPAddr)
	return ok && tcp.IP.IsLoopback()
}

func (s *FollowerServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+CopyPath, s.countUsage(usage.Snapshots, s.copy))
	mux.HandleFunc("GET "+StreamPath, s.countUsage(usage.Heartbeats, s.stream))
	mux.HandleFunc("GET "+RevisionPath, s.countUsage(usage.ConfirmationRequests, callHandler(s.confirmedRevision)))
	mux.HandleFunc("POST "+ChangePath, s.countUsage(usage.Other, callHandler(s.change)))
	return mux
}

// Close closes the listener, aborts all requests and ends all streams.
func (s *FollowerServer) Close() error {
	s.cancel()
	err := s.http.Close()
	s.background.Wait()
	return err
}

// distribute passes the replica's changes to the feed until ctx ends.
func (s *FollowerServer) distribute(ctx context.Context) {
	for {
		position, _ := s.feed.Position()
		events, through, err := s.engine.NextChanges(ctx, "", position, maxFeedEvents)
		if err == nil {
			s.feed.Advance(events, through)
			continue
		}
		var compacted *store.CompactedError
		if !errors.As(err, &compacted) {
			return
		}
		age, err := s.engine.View(ctx, true, func(*store.State) {}) // a snapshot of the leader replaced the state
		if err != nil {
			return
		}
		s.feed.Skip(age.Revision)
	}
}

// awaitFeed waits until the feed has distributed all changes up to a revision, for at most heartbeatInterval.
func (s *FollowerServer) awaitFeed(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	for {
		position, advanced := s.feed.Position()
		if position >= revision {
			return
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return
		}
	}
}

// copy sends the keys of an interest in the state of this replica. It does not wait for a quorum, because followers
// must be able to start without one.
func (s *FollowerServer) copy(w http.ResponseWriter, r *http.Request) {
	interest, err := parseInterest(r.URL.Query())
	if err != nil {
		WriteError(w, err)
		return
	}
	var copied *store.State
	_, err = s.engine.View(r.Context(), true, func(state *store.State) {
		if interest == nil {
			copied = state.Clone()
			return
		}
		copied = state.Subset(*interest)
	})
	if err != nil || copied == nil {
		WriteError(w, errors.Join(errNoCopy, err))
		return
	}
	writeState(w, copied)
}

// confirmedRevision answers with a revision at which a copy includes every change that was acknowledged before the
// call.
func (s *FollowerServer) confirmedRevision(ctx context.Context, _ http.ResponseWriter, _ *http.Request) (any, error) {
	age, err := s.engine.View(ctx, false, func(*store.State) {})
	if err != nil {
		return nil, err
	}
	return age, nil
}

// change executes a change for a follower.
func (s *FollowerServer) change(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	var request ChangeRequest
	err := DecodeJSON(unwrapCounted(w), r, &request)
	command := request.command()
	purpose := s.cfg.Usage.CommandPurpose(&command)
	setPurpose(w, purpose)
	s.cfg.Usage.Count(purpose, usage.In, 1, int(max(0, r.ContentLength)))
	if err != nil {
		return nil, err
	}
	if err := checkFollowerRequest(&request, requesterName(r, &request), s.cfg.Allowed); err != nil {
		return nil, err
	}
	select {
	case s.changeSlots <- struct{}{}:
		defer func() { <-s.changeSlots }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	result, err := s.engine.Do(ctx, command)
	if err != nil {
		return nil, err
	}
	return ChangeResponse{Revision: result.Revision, Succeeded: result.Succeeded, LeaseID: result.LeaseID}, nil
}

// prefixSize returns the number and size of the keys with a prefix. The result is cached for prefixSizeInterval and
// shared by all followers.
func (s *FollowerServer) prefixSize(ctx context.Context, prefix string) (store.PrefixSize, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	cached, ok := s.prefixSizes[prefix]
	if ok && now.Sub(cached.readAt) < prefixSizeInterval {
		return cached.PrefixSize, nil
	}
	for cachedPrefix, size := range s.prefixSizes {
		if now.Sub(size.readAt) >= prefixSizeRetention {
			delete(s.prefixSizes, cachedPrefix)
		}
	}
	size := cachedPrefixSize{readAt: now}
	_, err := s.engine.View(ctx, true, func(state *store.State) { size.PrefixSize = state.PrefixSize(prefix) })
	if err == nil {
		s.prefixSizes[prefix] = size
	}
	return size.PrefixSize, err
}
