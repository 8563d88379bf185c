package follower

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/replica"
)

// A follower that reaches no replica serves the copy in its file. Its changes and up-to-date reads fail with errors
// that report that no replica received them.
func TestFollowerWithoutReplicaServesItsFile(t *testing.T) {
	path := saveTestCopy(t)
	resets := 0
	f := openWithoutReplica(t, path, &resets)
	value := ""
	age, err := f.View(t.Context(), true, func(state *store.State) {
		item, _ := state.Get("k")
		value = string(item.Value)
	})
	if err != nil || value != "v" || resets != 1 || !age.Stale {
		t.Errorf("stale read: value %q, error %v, age %+v, %d resets; want \"v\", nil, stale, 1", value, err, age,
			resets)
	}
	checkCallsFail(t, f)
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	file, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Load(bytes.NewReader(file)); err != nil {
		t.Errorf("the file is damaged after Close: %v", err)
	}
	if _, err := Open(Config{Name: "h", Dir: t.TempDir()}); err == nil {
		t.Error("Open accepted a configuration without replicas")
	}
}

// A follower does not use a damaged file, and does not change it.
func TestFollowerDoesNotUseDamagedFile(t *testing.T) {
	path := saveTestCopy(t)
	file, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	file[len(file)/2] ^= 1
	if err := os.WriteFile(path, file, 0o600); err != nil {
		t.Fatal(err)
	}
	resets := 0
	f := openWithoutReplica(t, path, &resets)
	age, err := f.View(t.Context(), true, func(*store.State) { t.Error("View read the copy of a damaged file") })
	if !errors.Is(err, replica.ErrNoLeader) || resets != 0 || !age.Stale {
		t.Errorf("stale read: error %v, age %+v, %d resets; want ErrNoLeader, stale, 0", err, age, resets)
	}
	checkCallsFail(t, f)
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	if content, err := os.ReadFile(path); err != nil || !bytes.Equal(content, file) {
		t.Errorf("the follower changed the damaged file, or reading it failed: %v", err)
	}
}

// saveTestCopy writes a file with one key, and returns its path.
func saveTestCopy(t *testing.T) string {
	t.Helper()
	state := store.New(7, store.DefaultLimits)
	state.Bootstrap("a", "a", 1)
	command := putCommand("k", "v")
	state.Apply(1, &command)
	path := filepath.Join(t.TempDir(), "copy")
	if err := writeFile(path, state, nil); err != nil {
		t.Fatal(err)
	}
	return path
}

// openWithoutReplica opens a follower with the file at path and a replica that cannot be reached. It counts calls of
// OnReset.
func openWithoutReplica(t *testing.T, path string, resets *int) *Follower {
	t.Helper()
	f, err := Open(Config{
		Name: "h", Dir: filepath.Dir(path), Replicas: []Replica{{Name: "a", Addr: refusedAddress(t)}},
		FirstCopyTimeout: time.Millisecond, Log: slog.New(slog.DiscardHandler),
		OnReset: func(*store.State) { *resets++ },
	})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// checkCallsFail checks that changes and up-to-date reads of a follower that reaches no replica fail, and that its
// status reports a stale copy.
func checkCallsFail(t *testing.T, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	checkChangeNotSent(ctx, t, f)
	if _, err := f.View(ctx, false, func(*store.State) {}); err == nil {
		t.Error("an up-to-date read succeeded without a replica")
	}
	if _, err := f.Do(t.Context(), store.Command{GrantLease: &store.GrantLease{TTLMillis: 5}}); err == nil {
		t.Error("the follower accepted a lease without an owner")
	}
	status, err := f.Status(t.Context())
	if err != nil || !status.Follower || status.Following != "" || !status.CopyAge.Stale {
		t.Errorf("status %+v, error %v; want a follower that is not connected and has a stale copy", status, err)
	}
}

// checkChangeNotSent checks that a change fails with a known outcome, since no replica received it.
func checkChangeNotSent(ctx context.Context, t *testing.T, f *Follower) {
	t.Helper()
	_, err := f.Do(ctx, putCommand("out/ban/x", ""))
	var unknown *engine.OutcomeUnknownError
	if err == nil || errors.As(err, &unknown) {
		t.Errorf("change without a replica: error %v, want one with a known outcome", err)
	}
}

// A change whose context ends during the TLS handshake with a replica was not sent, so its outcome is known.
func TestTimeoutBeforeConnectionMeansNotSent(t *testing.T) {
	listener := listen(t, "127.0.0.1:0") // accepts connections but never answers the TLS handshake
	defer func() { _ = listener.Close() }()
	dir := t.TempDir()
	if err := errors.Join(keys.Init(dir, "c"), keys.Issue(dir, "h", time.Hour, false)); err != nil {
		t.Fatal(err)
	}
	pair, err := keys.Open(dir, "h")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Open(Config{
		Name: "h", Dir: t.TempDir(), Replicas: []Replica{{Name: "a", Addr: listener.Addr().String()}}, Keys: pair,
		FirstCopyTimeout: time.Millisecond, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	checkChangeNotSent(ctx, t, f)
}
