package follower

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/replica"
)

// refusedAddress is an address that refuses connections.
func refusedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return ln.Addr().String()
}

// Without a replica a follower starts with its file; a damaged one is not used, and left as it is; and what it
// is asked ends with the word that nothing was sent.
func TestFollowerWithoutReplicaServesItsFile(t *testing.T) {
	s := store.New(7, store.DefaultLimits)
	s.Bootstrap("a", "a", 1)
	s.Apply(1, &store.Command{Txn: &store.Txn{Then: []store.Op{{Key: "k", Value: []byte("v")}}}})
	for _, damaged := range []bool{false, true} {
		dir := t.TempDir()
		path := filepath.Join(dir, "copy")
		if err := writeFile(path, s, nil); err != nil {
			t.Fatal(err)
		}
		if damaged {
			b, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			b[len(b)/2] ^= 1
			if err := os.WriteFile(path, b, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		resets := 0
		f, err := Open(Config{Name: "h", Dir: dir, Replicas: []Replica{{Name: "a", Addr: refusedAddress(t)}}, FirstCopyTimeout: time.Millisecond,
			Log: slog.New(slog.DiscardHandler), OnReset: func(*store.State) { resets++ }})
		if err != nil {
			t.Fatal(err)
		}
		got := ""
		age, err := f.View(t.Context(), true, func(s *store.State) { i, _ := s.Get("k"); got = string(i.Value) })
		if damaged && (!errors.Is(err, replica.ErrNoLeader) || resets != 0) || !damaged && (err != nil || got != "v" || resets != 1) || !age.Stale {
			t.Errorf("damaged %v: %q, %v, %+v, %d whole copies", damaged, got, err, age, resets)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		_, err = f.Do(ctx, store.Command{Txn: &store.Txn{Then: []store.Op{{Key: "out/ban/x"}}}})
		var unknown *engine.UnknownError
		if err == nil || errors.As(err, &unknown) {
			t.Errorf("a change that went nowhere: %v", err)
		}
		if _, err := f.View(ctx, false, func(*store.State) {}); err == nil {
			t.Error("it is up to date without a replica")
		}
		cancel()
		if _, err := f.Do(t.Context(), store.Command{GrantLease: &store.GrantLease{TTLMillis: 5}}); err == nil {
			t.Error("a follower was given a lease")
		}
		if st, err := f.Status(t.Context()); err != nil || !st.Follower || st.Following != "" || !st.CopyAge.Stale {
			t.Errorf("%+v, %v", st, err)
		}
		if err := f.Close(); err != nil {
			t.Error(err)
		}
		left, err := os.ReadFile(path)
		if _, bad := store.Load(bytes.NewReader(left)); err != nil || (bad != nil) != damaged {
			t.Errorf("damaged %v: the file is another now: %v %v", damaged, err, bad)
		}
	}
	if _, err := Open(Config{Name: "h", Dir: t.TempDir()}); err == nil {
		t.Error("a follower of nobody")
	}
}

// A change whose time is up while a replica is still being connected to was not sent.
func TestTimeoutBeforeConnectionMeansNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // it takes connections, and never answers their greeting
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dir := t.TempDir()
	if err := errors.Join(keys.Init(dir, "c"), keys.Issue(dir, "h", time.Hour, false)); err != nil {
		t.Fatal(err)
	}
	pair, err := keys.Open(dir, "h")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Open(Config{Name: "h", Dir: t.TempDir(), Replicas: []Replica{{Name: "a", Addr: ln.Addr().String()}}, Keys: pair, FirstCopyTimeout: time.Millisecond,
		Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = f.Do(ctx, store.Command{Txn: &store.Txn{Then: []store.Op{{Key: "out/ban/x"}}}})
	if unknown := (*engine.UnknownError)(nil); err == nil || errors.As(err, &unknown) {
		t.Errorf("a change that went nowhere: %v", err)
	}
}
