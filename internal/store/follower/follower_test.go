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

// Without a replica a follower starts with its file, and its changes and reads end with errors that say that
// nothing was sent.
func TestFollowerWithoutReplicaServesItsFile(t *testing.T) {
	path := saveTestCopy(t)
	resets := 0
	f := openAlone(t, path, &resets)
	value := ""
	age, err := f.View(t.Context(), true, func(state *store.State) {
		item, _ := state.Get("k")
		value = string(item.Value)
	})
	if err != nil || value != "v" || resets != 1 || !age.Stale {
		t.Errorf("%q, %v, %+v, %d resets", value, err, age, resets)
	}
	checkCallsFailUnsent(t, f)
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	file, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Load(bytes.NewReader(file)); err != nil {
		t.Errorf("the file is damaged: %v", err)
	}
	if _, err := Open(Config{Name: "h", Dir: t.TempDir()}); err == nil {
		t.Error("a follower without replicas")
	}
}

// A damaged file is not used, and left as it is.
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
	f := openAlone(t, path, &resets)
	age, err := f.View(t.Context(), true, func(*store.State) { t.Error("a damaged file is read") })
	if !errors.Is(err, replica.ErrNoLeader) || resets != 0 || !age.Stale {
		t.Errorf("%v, %+v, %d resets", err, age, resets)
	}
	checkCallsFailUnsent(t, f)
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	if left, err := os.ReadFile(path); err != nil || !bytes.Equal(left, file) {
		t.Errorf("the file is another now: %v", err)
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

// openAlone opens a follower with a file, whose replica cannot be reached.
func openAlone(t *testing.T, path string, resets *int) *Follower {
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

// checkCallsFailUnsent checks that changes and reads of a follower without a replica fail, and say that nothing
// was sent.
func checkCallsFailUnsent(t *testing.T, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	checkUnsent(ctx, t, f)
	if _, err := f.View(ctx, false, func(*store.State) {}); err == nil {
		t.Error("a read is up to date without a replica")
	}
	if _, err := f.Do(t.Context(), store.Command{GrantLease: &store.GrantLease{TTLMillis: 5}}); err == nil {
		t.Error("a follower was granted a lease without an owner")
	}
	status, err := f.Status(t.Context())
	if err != nil || !status.Follower || status.Following != "" || !status.CopyAge.Stale {
		t.Errorf("%+v, %v", status, err)
	}
}

// checkUnsent checks that a change fails, and that its outcome is known.
func checkUnsent(ctx context.Context, t *testing.T, f *Follower) {
	t.Helper()
	_, err := f.Do(ctx, putCommand("out/ban/x", ""))
	var unknown *engine.OutcomeUnknownError
	if err == nil || errors.As(err, &unknown) {
		t.Errorf("a change that was not sent: %v", err)
	}
}

// A change whose time is up while a replica is still being connected to was not sent.
func TestTimeoutBeforeConnectionMeansNotSent(t *testing.T) {
	listener := listen(t, "127.0.0.1:0") // it accepts connections, and never answers their TLS handshake
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
	checkUnsent(ctx, t, f)
}
