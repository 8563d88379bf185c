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

var quiet = slog.New(slog.DiscardHandler)

// sidecar records the overrides that are applied to it.
type sidecar struct{ applied []string }

func (s *sidecar) apply(_ context.Context, m Override, force bool) error {
	if m.ID == "unknown" && !force {
		return ErrUnknownEndpoint
	}
	s.applied = append(s.applied, fmt.Sprint(m.ID, " ", m.Drained))
	return nil
}

func (s *sidecar) expect(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(s.applied, want) {
		t.Errorf("applied %q, want %q", s.applied, want)
	}
}

// Two drains need one return to service; the return of an endpoint that is in service is harmless; unknown IDs are
// an error.
func TestSetIgnoresRepeats(t *testing.T) {
	s := &sidecar{}
	f := File{filepath.Join(t.TempDir(), "bans.json")}
	b := NewRegistry(f, time.Minute, s.apply, quiet)
	for _, drained := range []bool{true, true, false, false} {
		if err := b.Set(t.Context(), "s-1", drained); err != nil {
			t.Error(err)
		}
	}
	s.expect(t, "s-1 true", "s-1 false")
	if err := b.Set(t.Context(), "s-2", false); err != nil {
		t.Error(err)
	}
	for _, drained := range []bool{true, false} {
		if err := b.Set(t.Context(), "unknown", drained); !errors.Is(err, ErrUnknownEndpoint) {
			t.Errorf("got %v", err)
		}
	}
}

// A new process finds the overrides of the old one, and no return to service once the endpoint is warm.
func TestOverridesSurviveRestartUntilRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := File{filepath.Join(t.TempDir(), "bans.json")}
		b := NewRegistry(f, time.Minute, (&sidecar{}).apply, quiet)
		for _, id := range []string{"s-2", "s-1"} {
			if err := b.Set(t.Context(), id, true); err != nil {
				t.Error(err)
			}
		}
		if err := b.Set(t.Context(), "s-2", false); err != nil {
			t.Error(err)
		}
		got := NewRegistry(f, time.Minute, (&sidecar{}).apply, quiet).Overrides()
		if len(got) != 2 || got[0].ID != "s-1" || !got[0].Drained {
			t.Fatalf("stored %+v", got)
		}
		if got[1].ID != "s-2" || got[1].Drained || got[1].UnixMicros == 0 {
			t.Errorf("stored %+v", got)
		}
		time.Sleep(2 * time.Minute)
		if got := b.Overrides(); len(got) != 1 || got[0].ID != "s-1" {
			t.Errorf("later stored %+v", got)
		}
	})
}

// A damaged file is reported and does not keep the process from serving; the next override replaces it.
func TestNewRegistryReportsDamagedFile(t *testing.T) {
	for _, text := range []string{"", "{", `{"version":2}`, `{"version":1,"marks":[{"id":3}]}`, "\x00\xff"} {
		path := filepath.Join(t.TempDir(), "bans.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var log strings.Builder
		b := NewRegistry(File{path}, time.Minute, (&sidecar{}).apply, slog.New(slog.NewTextHandler(&log, nil)))
		if !strings.Contains(log.String(), "cannot be read") {
			t.Errorf("%q: the damage was not reported", text)
		}
		if err := b.Set(t.Context(), "s-1", true); err != nil {
			t.Errorf("%q: %v", text, err)
		}
		if got, err := (File{path}).Load(); err != nil || len(got) != 1 {
			t.Errorf("%q: then stored %v, %v", text, got, err)
		}
	}
}

// An override that cannot be stored is in effect all the same, and no temporary file is left.
func TestSetAppliesWhenSaveFails(t *testing.T) {
	s := &sidecar{}
	dir := t.TempDir()
	b := NewRegistry(File{filepath.Join(dir, "no", "bans.json")}, time.Minute, s.apply, quiet)
	if err := b.Set(t.Context(), "s-1", true); err != nil {
		t.Error(err)
	}
	s.expect(t, "s-1 true")
	if left, err := os.ReadDir(dir); err != nil || len(left) != 0 {
		t.Error("left", left, err)
	}
}

// Peers are notified and obey, also for endpoints that they do not know; of two overrides the later one counts,
// whichever comes first; a hung peer is no reason to fail.
func TestSetNotifiesPeers(t *testing.T) {
	one, two := &sidecar{}, &sidecar{}
	dir := t.TempDir()
	a := NewRegistry(File{filepath.Join(dir, "a")}, time.Minute, one.apply, quiet)
	b := NewRegistry(File{filepath.Join(dir, "b")}, time.Minute, two.apply, quiet)
	leave := a.AddPeer(func(ctx context.Context, m Override) error { return b.Merge(ctx, m) })
	a.AddPeer(func(context.Context, Override) error { return errors.New("hung") })
	if err := a.Set(t.Context(), "s-1", true); err != nil {
		t.Error(err)
	}
	two.expect(t, "s-1 true")
	late := a.Overrides()[0]
	early := Override{ID: "s-1", Drained: false, UnixMicros: late.UnixMicros - 1}
	unknown := Override{ID: "unknown", Drained: true, UnixMicros: 1}
	if err := b.Merge(t.Context(), early, unknown); err != nil {
		t.Error(err)
	}
	two.expect(t, "s-1 true", "unknown true")
	leave()
	if err := a.Set(t.Context(), "s-1", false); err != nil {
		t.Error(err)
	}
	two.expect(t, "s-1 true", "unknown true")
}

// A call behind one that does not return ends with its own deadline.
func TestSetBehindHungCallTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewRegistry(Discard{}, time.Minute, func(ctx context.Context, _ Override, _ bool) error {
			<-ctx.Done()
			return ctx.Err()
		}, quiet)
		go func() {
			if err := b.Set(t.Context(), "s-1", true); !errors.Is(err, context.Canceled) {
				t.Errorf("the hung call: %v", err)
			}
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := b.Set(ctx, "s-2", true); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v", err)
		}
	})
}
