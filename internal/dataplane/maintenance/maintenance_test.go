package maintenance

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var discardLog = slog.New(slog.DiscardHandler)

// fakeSidecar records the overrides that are applied to it. It does not know the endpoint "unknown".
type fakeSidecar struct{ applied []string }

func (s *fakeSidecar) apply(_ context.Context, o Override, force bool) error {
	if o.ID == "unknown" && !force {
		return ErrUnknownEndpoint
	}
	s.applied = append(s.applied, fmt.Sprint(o.ID, " ", o.Drained))
	return nil
}

func (s *fakeSidecar) expectApplied(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(s.applied, want) {
		t.Errorf("applied %q, want %q", s.applied, want)
	}
}

// A second drain or return of an endpoint is not applied again, and the return of an endpoint in service is no error.
// An unknown ID is an error.
func TestSetIgnoresRepeats(t *testing.T) {
	s := &fakeSidecar{}
	f := File{filepath.Join(t.TempDir(), "bans.json")}
	r := NewRegistry(f, time.Minute, s.apply, discardLog)
	for _, drained := range []bool{true, true, false, false} {
		if err := r.Set(t.Context(), "s-1", drained); err != nil {
			t.Error(err)
		}
	}
	s.expectApplied(t, "s-1 true", "s-1 false")
	if err := r.Set(t.Context(), "s-2", false); err != nil {
		t.Error(err)
	}
	for _, drained := range []bool{true, false} {
		if err := r.Set(t.Context(), "unknown", drained); !errors.Is(err, ErrUnknownEndpoint) {
			t.Errorf("set an unknown endpoint: error %v, want ErrUnknownEndpoint", err)
		}
	}
}

// A registry loads the overrides that an earlier process saved. The override of an endpoint that returned to service is
// dropped after the retention; that of a drained endpoint stays.
func TestOverridesSurviveRestartUntilRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := File{filepath.Join(t.TempDir(), "bans.json")}
		r := NewRegistry(f, time.Minute, (&fakeSidecar{}).apply, discardLog)
		for _, id := range []string{"s-2", "s-1"} {
			if err := r.Set(t.Context(), id, true); err != nil {
				t.Error(err)
			}
		}
		if err := r.Set(t.Context(), "s-2", false); err != nil {
			t.Error(err)
		}
		got := NewRegistry(f, time.Minute, (&fakeSidecar{}).apply, discardLog).Overrides()
		if len(got) != 2 || got[0].ID != "s-1" || !got[0].Drained {
			t.Fatalf("after a restart: overrides %+v, want s-1 drained and s-2 in service", got)
		}
		if got[1].ID != "s-2" || got[1].Drained || got[1].UnixMicros == 0 {
			t.Errorf("after a restart: override of s-2 %+v, want in service with a timestamp", got)
		}
		time.Sleep(2 * time.Minute)
		if got := r.Overrides(); len(got) != 1 || got[0].ID != "s-1" {
			t.Errorf("after the retention: overrides %+v, want s-1 alone", got)
		}
	})
}

// A damaged file is logged and does not prevent the start. The next override replaces it.
func TestNewRegistryReportsDamagedFile(t *testing.T) {
	for _, text := range []string{"", "{", `{"version":2}`, `{"version":1,"marks":[{"id":3}]}`, "\x00\xff"} {
		path := filepath.Join(t.TempDir(), "bans.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var log strings.Builder
		r := NewRegistry(File{path}, time.Minute, (&fakeSidecar{}).apply, slog.New(slog.NewTextHandler(&log, nil)))
		if !strings.Contains(log.String(), "cannot load the stored overrides") {
			t.Errorf("file %q: the damage was not logged", text)
		}
		if err := r.Set(t.Context(), "s-1", true); err != nil {
			t.Errorf("file %q: set an override: %v", text, err)
		}
		if got, err := (File{path}).Load(); err != nil || len(got) != 1 {
			t.Errorf("file %q: after an override loaded %v, error %v, want one override", text, got, err)
		}
	}
}

// An override that cannot be saved is in effect nevertheless, and no temporary file remains.
func TestSetAppliesWhenSaveFails(t *testing.T) {
	s := &fakeSidecar{}
	dir := t.TempDir()
	r := NewRegistry(File{filepath.Join(dir, "no", "bans.json")}, time.Minute, s.apply, discardLog)
	if err := r.Set(t.Context(), "s-1", true); err != nil {
		t.Error(err)
	}
	s.expectApplied(t, "s-1 true")
	if files, err := os.ReadDir(dir); err != nil || len(files) != 0 {
		t.Error("left", files, err)
	}
}

// Peers apply the overrides of which they are notified, also for endpoints that they do not know. Of two overrides the
// later one prevails, in whatever order they arrive. A peer that does not respond does not make Set fail.
func TestSetNotifiesPeers(t *testing.T) {
	sidecarA, sidecarB := &fakeSidecar{}, &fakeSidecar{}
	dir := t.TempDir()
	a := NewRegistry(File{filepath.Join(dir, "a")}, time.Minute, sidecarA.apply, discardLog)
	b := NewRegistry(File{filepath.Join(dir, "b")}, time.Minute, sidecarB.apply, discardLog)
	removePeer := a.AddPeer(func(ctx context.Context, o Override) error { return b.Merge(ctx, o) })
	a.AddPeer(func(context.Context, Override) error { return errors.New("hung") })
	if err := a.Set(t.Context(), "s-1", true); err != nil {
		t.Error(err)
	}
	sidecarB.expectApplied(t, "s-1 true")
	latest := a.Overrides()[0]
	earlier := Override{ID: "s-1", Drained: false, UnixMicros: latest.UnixMicros - 1}
	unknown := Override{ID: "unknown", Drained: true, UnixMicros: 1}
	if err := b.Merge(t.Context(), earlier, unknown); err != nil {
		t.Error(err)
	}
	sidecarB.expectApplied(t, "s-1 true", "unknown true")
	removePeer()
	if err := a.Set(t.Context(), "s-1", false); err != nil {
		t.Error(err)
	}
	sidecarB.expectApplied(t, "s-1 true", "unknown true")
}

// A call that waits behind a hung one returns at its own deadline.
func TestSetBehindHungCallTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRegistry(Discard{}, time.Minute, func(ctx context.Context, _ Override, _ bool) error {
			<-ctx.Done()
			return ctx.Err()
		}, discardLog)
		go func() {
			if err := r.Set(t.Context(), "s-1", true); !errors.Is(err, context.Canceled) {
				t.Errorf("the hung call returned error %v, want context.Canceled", err)
			}
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := r.Set(ctx, "s-2", true); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("the call behind it returned error %v, want context.DeadlineExceeded", err)
		}
	})
}
