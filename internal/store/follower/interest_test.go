package follower

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/engine"
)

// startReplica is one copy alone that serves followers.
func startReplica(t *testing.T) (*engine.Engine, string) {
	t.Helper()
	e, err := engine.Open(engine.Config{Name: "a", Dir: t.TempDir(), TickInterval: 10 * time.Millisecond, DiskOptions: disk.Options{NoSync: true}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Kill() })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o, err := admin.ServeFollowers(ln, e, admin.FollowerConfig{Allowed: func(store.Op, string) bool { return true },
		SnapshotAges: func() map[string]time.Duration { return nil }}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { o.Close() })
	return e, ln.Addr().String()
}

// proxyOfOldVersion passes on to a replica as one of a version that knows of no interests answers.
func proxyOfOldVersion(t *testing.T, addr string) string {
	t.Helper()
	p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: addr})
	p.FlushInterval = -1
	direct := p.Director
	p.Director = func(r *http.Request) {
		direct(r)
		q := r.URL.Query()
		for _, k := range []string{"prefix", "key", "sum"} {
			q.Del(k)
		}
		r.URL.RawQuery = q.Encode()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: p, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	go s.Serve(ln)
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

func put(t *testing.T, e interface {
	Do(context.Context, store.Command) (store.Result, error)
}, key, value string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if _, err := e.Do(ctx, store.Command{Txn: &store.Txn{Then: []store.Op{{Key: key, Value: []byte(value)}}}}); err != nil {
		t.Fatal(err)
	}
}

func prefixes(all ...string) *store.Interest { return &store.Interest{Prefixes: all} }

type testFollower struct {
	*Follower
	needs  atomic.Pointer[changefeed.Subscription]
	sum    atomic.Int64
	resets atomic.Int64
}

func open(t *testing.T, dir string, n changefeed.Subscription, addrs ...string) *testFollower {
	t.Helper()
	p := &testFollower{}
	p.needs.Store(&n)
	cfg := Config{Name: "h", Dir: dir, FirstCopyTimeout: time.Minute, Log: slog.New(slog.DiscardHandler), Subscription: func() changefeed.Subscription { return *p.needs.Load() },
		OnPrefixSize: func(_ string, n store.PrefixSize) { p.sum.Store(int64(n.Keys)) }, OnReset: func(*store.State) { p.resets.Add(1) }}
	for _, a := range addrs {
		cfg.Replicas = append(cfg.Replicas, Replica{Name: "a", Addr: a})
	}
	f, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	p.Follower = f
	return p
}

// read is a key as a follower has it, and what became of the reading.
func (p *testFollower) read(t *testing.T, key string, stale bool) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	got := ""
	_, err := p.View(ctx, stale, func(s *store.State) {
		got = "none"
		if i, ok := s.Get(key); ok {
			got = string(i.Value)
		}
	})
	return got, err
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for begun := time.Now(); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begun) > time.Minute {
			t.Fatalf("not soon: %s", what)
		}
	}
}

func isNotHeld(err error) bool { return errors.As(err, new(*store.NotHeldError)) }

// A follower holds what it needs, reads a replica for what else is asked, never says of that that it is not
// there, and holds more or less while it runs; what it keeps is of use to its next start, and is not taken for
// all.
func TestPartialFollowerReadsTheRestFromReplica(t *testing.T) {
	e, addr := startReplica(t)
	for i := range 5 {
		put(t, e, fmt.Sprint("a/", i), "v")
		put(t, e, fmt.Sprint("b/", i), "w")
	}
	dir := t.TempDir()
	needs := changefeed.Subscription{Interest: prefixes("a/"), Retained: store.Interest{Keys: []string{"a/1"}}, SizePrefixes: []string{"b/"}}
	f := open(t, dir, needs, addr)
	eventually(t, "how many there are beside", func() bool { return f.sum.Load() == 5 })
	put(t, e, "b/new", "n")
	put(t, e, "a/1", "changed")
	for key, want := range map[string]string{"a/1": "changed", "a/9": "none", "b/1": "w", "b/new": "n", "b/9": "none"} {
		if got, err := f.read(t, key, false); err != nil || got != want {
			t.Errorf("%s: %q, %v", key, got, err)
		}
		got, err := f.read(t, key, true)
		if strings.HasPrefix(key, "a/") && (err != nil || got != want) || strings.HasPrefix(key, "b/") && !isNotHeld(err) {
			t.Errorf("%s, as this copy has it: %q, %v", key, got, err)
		}
	}
	eventually(t, "one more", func() bool { return f.sum.Load() == 6 })
	if _, _, err := f.Next(t.Context(), "b/", 0, 1); !isNotHeld(err) {
		t.Errorf("a watch of what is not held: %v", err)
	}
	if s, err := f.Save(t.Context()); err != nil || s.Len() != 11 || s.Interest() != nil {
		t.Errorf("the whole: %v", err)
	}
	if st, err := f.Status(t.Context()); err != nil || st.Interest == nil || st.Keys != 5 {
		t.Errorf("%+v, %v", st, err)
	}
	all := 0
	if _, err := f.View(t.Context(), false, func(s *store.State) {
		all = 0
		s.Range("a/", "c", func(store.Item) bool { all++; return true })
	}); err != nil || all != 11 {
		t.Errorf("a range over more than it holds: %d, %v", all, err)
	}

	wide := needs
	wide.Interest = prefixes("a/", "b/")
	f.needs.Store(&wide)
	f.UpdateInterest()
	eventually(t, "more is held", func() bool { got, err := f.read(t, "b/1", true); return err == nil && got == "w" })
	put(t, e, "b/1", "again")
	eventually(t, "and told of", func() bool { got, _ := f.read(t, "b/1", true); return got == "again" })
	f.needs.Store(&needs)
	f.UpdateInterest()
	eventually(t, "less is held", func() bool { _, err := f.read(t, "b/1", true); return isNotHeld(err) })
	put(t, e, "a/1", "last")
	eventually(t, "and told of", func() bool { got, _ := f.read(t, "a/1", true); return got == "last" })
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}

	b, err := os.ReadFile(filepath.Join(dir, "copy"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Load(bytes.NewReader(b)); err == nil {
		t.Error("a part is taken for a whole store")
	}
	f = open(t, dir, needs, refusedAddress(t))
	if got, err := f.read(t, "a/1", true); err != nil || got != "last" {
		t.Errorf("what was kept: %q, %v", got, err)
	}
	if got, err := f.read(t, "a/2", true); !isNotHeld(err) {
		t.Errorf("what was not: %q, %v", got, err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	f = open(t, dir, needs, addr)
	defer f.Close()
	eventually(t, "the rest is taken", func() bool { got, err := f.read(t, "a/2", true); return err == nil && got == "v" })
}

// Where a replica is of a version that knows of no interests, a follower holds all, as one of that version
// does; with the next replica that does, a part. What one of that version keeps is of use to this one. One that
// asks as that version does is told as it was.
func TestFollowerOfReplicasOfTwoVersions(t *testing.T) {
	e, addr := startReplica(t)
	put(t, e, "a/1", "v")
	put(t, e, "b/1", "w")
	needs, dir, old := changefeed.Subscription{Interest: prefixes("a/"), Retained: *prefixes("a/")}, t.TempDir(), proxyOfOldVersion(t, addr)
	for i, x := range []struct {
		addr string
		all  bool
	}{{old, true}, {addr, false}, {old, true}, {old, true}, {addr, false}, {addr, false}} {
		f := open(t, dir, needs, x.addr)
		eventually(t, fmt.Sprint("all, or a part: ", i), func() bool {
			st, err := f.Status(t.Context())
			return err == nil && st.Following != "" && (st.Interest == nil) == x.all
		})
		value := fmt.Sprint("v", i)
		put(t, e, "a/1", value)
		put(t, e, "b/1", value)
		eventually(t, "what changes", func() bool { got, _ := f.read(t, "a/1", true); return got == value })
		eventually(t, "what else does", func() bool {
			got, err := f.read(t, "b/1", true)
			return x.all && got == value || !x.all && isNotHeld(err)
		})
		put(t, f, "a/2", value) // by way of the replica, and seen here
		if got, err := f.read(t, "a/2", true); err != nil || got != value {
			t.Errorf("%q, %v", got, err)
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
	}

	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/follow?after=1", nil)
	if err != nil {
		t.Fatal(err)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	events, beats := 0, 0
	for lines := bufio.NewScanner(a.Body); events < 3 || beats < 2; {
		if !lines.Scan() {
			t.Fatal(lines.Err())
		}
		var l admin.StreamLine
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil || len(l.Events) > 0 || l.Through > 0 {
			t.Fatalf("%s, %v", lines.Text(), err)
		}
		if l.Event != nil {
			events++
		}
		if l.Heartbeat != nil {
			beats++
		}
	}
	if a.Header.Get(admin.ScopedHeader) != "" {
		t.Error("who asked for all is told a part")
	}
}

// An interest that is out of bounds is refused with its reason.
func TestInterestOutOfBoundsIsRejected(t *testing.T) {
	_, addr := startReplica(t)
	many := url.Values{}
	for i := range store.MaxInterestEntries + 1 {
		many.Add("prefix", fmt.Sprint(i, "/"))
	}
	long := url.Values{}
	for range 20 {
		long.Add("key", strings.Repeat("k", store.DefaultLimits.KeyBytes))
	}
	for want, q := range map[string]url.Values{"129 prefixes and keys are more than 128": many, "10240 bytes are more than 8192": long,
		"is not of 1 to 512 bytes": {"prefix": {""}}, "5 prefixes are more than 4": {"sum": {"a", "b", "c", "d", "e"}}} {
		a, err := http.Get("http://" + addr + "/v1/follow?" + q.Encode())
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(a.Body)
		a.Body.Close()
		if a.StatusCode != http.StatusBadRequest || !strings.Contains(string(b), want) {
			t.Errorf("%s: %s %s", want, a.Status, b)
		}
	}
}

// What a first copy had is kept for the next start also where less is held a moment later, until something of
// what is kept changes.
func TestFirstCopyIsSavedBeforeItIsNarrowed(t *testing.T) {
	e, addr := startReplica(t)
	put(t, e, "a/1", "v")
	put(t, e, "b/1", "w")
	dir := t.TempDir()
	wide := changefeed.Subscription{Interest: prefixes("a/", "b/"), Retained: *prefixes("a/", "b/")}
	narrow := changefeed.Subscription{Interest: prefixes("a/"), Retained: *prefixes("a/")}
	next := func(change string) string {
		f := open(t, dir, wide, addr)
		f.needs.Store(&narrow)
		f.UpdateInterest()
		eventually(t, "less is held", func() bool { _, err := f.read(t, "b/1", true); return isNotHeld(err) })
		if change != "" {
			put(t, f, "a/1", change)
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
		f = open(t, dir, narrow, refusedAddress(t))
		defer f.Close()
		got, err := f.read(t, "b/1", true)
		if isNotHeld(err) {
			return "not held"
		}
		return got
	}
	if got := next(""); got != "w" {
		t.Errorf("the next start has %q", got)
	}
	if got := next("changed"); got != "not held" {
		t.Errorf("after a change it has %q", got)
	}
}
