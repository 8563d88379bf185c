package maintenance

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// slowStore is a Store whose Save hangs until the disk responds, as on a machine that writes much else.
type slowStore struct {
	responds chan struct{} // closed when the disk responds

	mu    sync.Mutex
	saves [][]Override // what was saved, in order
	err   error        // returned by Save
}

func newSlowStore() *slowStore { return &slowStore{responds: make(chan struct{})} }

func (s *slowStore) Load() ([]Override, error) { return nil, nil }

func (s *slowStore) Save(overrides []Override) error {
	<-s.responds
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saves = append(s.saves, overrides)
	return s.err
}

// setBefore calls Set with a deadline.
func setBefore(t *testing.T, r *Registry, timeout time.Duration, id string, drained bool) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return r.Set(ctx, id, drained)
}

// Guards against an operator's call that fails with "context deadline exceeded" because an earlier override is still
// being saved on a slow disk. The later override is in effect, and is saved once the disk responds, before Close
// returns.
func TestSetSucceedsWhileSaveHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 900 * time.Millisecond
		store, sidecar := newSlowStore(), &fakeSidecar{}
		r := NewRegistry(store, time.Minute, sidecar.apply, discardLog)
		drained := make(chan error, 1)
		go func() { drained <- setBefore(t, r, timeout, "s-1", true) }()
		synctest.Wait()
		for _, drained := range []bool{false, true, false} {
			if err := setBefore(t, r, timeout, "s-1", drained); err != nil {
				t.Errorf("a call behind a slow save: %v", err)
			}
		}
		close(store.responds)
		if err := <-drained; err != nil {
			t.Errorf("the call whose override was being saved: %v", err)
		}
		sidecar.expectApplied(t, "s-1 true", "s-1 false", "s-1 true", "s-1 false")
		r.Close()
		last := store.saves[len(store.saves)-1]
		if len(last) != 1 || last[0].Drained {
			t.Errorf("saved last: %+v, want s-1 in service", last)
		}
		if len(store.saves) != 2 {
			t.Errorf("saved %d times, want 2: changes during a save are saved together", len(store.saves))
		}
	})
}

// While the disk responds, a call returns only once its override is saved. So does a repeated call.
func TestSetReturnsOnceSaved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSlowStore()
		r := NewRegistry(store, time.Minute, (&fakeSidecar{}).apply, discardLog)
		returned := make(chan error, 2)
		for range cap(returned) {
			go func() { returned <- r.Set(t.Context(), "s-1", true) }()
		}
		synctest.Wait()
		if len(returned) > 0 {
			t.Error("a call returned before its override was saved")
		}
		close(store.responds)
		for range cap(returned) {
			if err := <-returned; err != nil {
				t.Error(err)
			}
		}
	})
}

// Peers are notified of an override although it cannot be saved yet, and they reply in time although their own disk is
// slow, too. An override that is not saved yet, and one that cannot be saved, are logged.
func TestSlowDiskDoesNotDelayPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const replyTimeout = 700 * time.Millisecond // of a handover
		storeA, storeB, sidecarB := newSlowStore(), newSlowStore(), &fakeSidecar{}
		storeA.err = errors.New("no space left")
		var log strings.Builder
		a := NewRegistry(storeA, time.Minute, (&fakeSidecar{}).apply, slog.New(slog.NewTextHandler(&log, nil)))
		b := NewRegistry(storeB, time.Minute, sidecarB.apply, discardLog)
		a.AddPeer(func(ctx context.Context, o Override) error {
			ctx, cancel := context.WithTimeout(ctx, replyTimeout)
			defer cancel()
			err := b.Merge(ctx, o)
			return errors.Join(err, ctx.Err())
		})
		if err := setBefore(t, a, 900*time.Millisecond, "s-1", true); err != nil {
			t.Error(err)
		}
		sidecarB.expectApplied(t, "s-1 true")
		if text := log.String(); strings.Contains(text, "cannot pass") || !strings.Contains(text, "not saved yet") {
			t.Errorf("logged %q, want that the override is not saved yet, and no peer that failed", text)
		}
		close(storeA.responds)
		close(storeB.responds)
		a.Close()
		b.Close()
		if !strings.Contains(log.String(), "cannot be saved") {
			t.Errorf("logged %q, want that the overrides cannot be saved", log.String())
		}
	})
}
