package follower

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/usage"
)

const testTimeout = time.Minute

// listen returns a TCP listener, which the caller closes or serves.
func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// refusedAddress returns a loopback address that refuses connections.
func refusedAddress(t *testing.T) string {
	t.Helper()
	listener := listen(t, "127.0.0.2:0")
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// startReplica starts a cluster of one replica that serves followers, and returns the replica and the address for
// followers. A nil recorder is valid.
func startReplica(t *testing.T, recorder *usage.Recorder) (*engine.Engine, string) {
	t.Helper()
	replica, err := engine.Open(engine.Config{
		Name: "a", Dir: t.TempDir(), TickInterval: 5 * time.Millisecond, DiskOptions: disk.Options{NoSync: true},
		Usage: recorder,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = replica.Kill() })
	listener := listen(t, "127.0.0.1:0")
	cfg := admin.FollowerConfig{
		Allowed:      func(store.Op, string) bool { return true },
		SnapshotAges: func() map[string]time.Duration { return nil },
		Usage:        recorder,
	}
	server, err := admin.ServeFollowers(listener, replica, cfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return replica, listener.Addr().String()
}

// startOldVersionProxy starts a proxy to a replica that removes interests from requests, as if the replica had a
// version that ignores them. It returns the proxy's address.
func startOldVersionProxy(t *testing.T, addr string) string {
	t.Helper()
	proxy := &httputil.ReverseProxy{
		FlushInterval: -1, // flushes each line at once
		ErrorLog:      slog.NewLogLogger(slog.DiscardHandler, 0),
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: addr})
			query := r.In.URL.Query()
			for _, param := range []string{"prefix", "key", "sum"} {
				query.Del(param)
			}
			r.Out.URL.RawQuery = query.Encode()
		},
	}
	listener := listen(t, "127.0.0.1:0")
	server := &http.Server{Handler: proxy, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// proposer is a follower or a replica.
type proposer interface {
	Do(ctx context.Context, command store.Command) (store.Result, error)
}

func put(t *testing.T, p proposer, key, value string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if _, err := p.Do(ctx, putCommand(key, value)); err != nil {
		t.Fatal(err)
	}
}

func putCommand(key, value string) store.Command {
	return store.Command{Txn: &store.Txn{Then: []store.Op{{Key: key, Value: []byte(value)}}}}
}

func prefixInterest(prefixes ...string) *store.Interest { return &store.Interest{Prefixes: prefixes} }

// testFollower is a follower whose subscription a test can change.
type testFollower struct {
	*Follower
	currentSubscription atomic.Pointer[changefeed.Subscription]
	prefixKeyCount      atomic.Int64 // last reported number of keys of the subscription's size prefix
}

func openFollower(t *testing.T, dir string, subscription changefeed.Subscription, addrs ...string) *testFollower {
	t.Helper()
	f := &testFollower{}
	f.currentSubscription.Store(&subscription)
	cfg := Config{
		Name: "h", Dir: dir, FirstCopyTimeout: testTimeout, Log: slog.New(slog.DiscardHandler),
		Subscription: func() changefeed.Subscription { return *f.currentSubscription.Load() },
		OnPrefixSize: func(_ string, size store.PrefixSize) { f.prefixKeyCount.Store(int64(size.Keys)) },
	}
	for _, addr := range addrs {
		cfg.Replicas = append(cfg.Replicas, Replica{Name: "a", Addr: addr})
	}
	var err error
	f.Follower, err = Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// subscribe changes the subscription of the follower.
func (f *testFollower) subscribe(subscription changefeed.Subscription) {
	f.currentSubscription.Store(&subscription)
	f.UpdateInterest()
}

// absentValue is the result of read for a key that does not exist.
const absentValue = "none"

// read returns the value of a key, or absentValue. stale allows the value of the follower's own copy.
func (f *testFollower) read(t *testing.T, key string, stale bool) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	value := ""
	_, err := f.View(ctx, stale, func(state *store.State) {
		value = absentValue
		if item, ok := state.Get(key); ok {
			value = string(item.Value)
		}
	})
	return value, err
}

// eventuallyReads waits until the follower's own copy has a value for a key.
func (f *testFollower) eventuallyReads(t *testing.T, key, want string) {
	t.Helper()
	eventually(t, key+" is "+want, func() bool {
		value, err := f.read(t, key, true)
		return err == nil && value == want
	})
}

// eventuallyNotHeld waits until the follower's own copy does not hold a key.
func (f *testFollower) eventuallyNotHeld(t *testing.T, key string) {
	t.Helper()
	eventually(t, key+" is not held", func() bool {
		_, err := f.read(t, key, true)
		return isNotHeld(err)
	})
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for started := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(started) > testTimeout {
			t.Fatalf("condition was not met in time: %s", what)
		}
	}
}

func isNotHeld(err error) bool {
	var notHeld *store.NotHeldError
	return errors.As(err, &notHeld)
}
