// Package maintenance keeps which endpoints operators have taken out of service. A Book carries each call to
// the sidecar that must obey it, to a store that outlives the process, and to the processes beside this one.
package maintenance

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Override is the latest that operators said of one endpoint. One that was called back is kept for a while, since
// it is cold.
type Override struct {
	ID         string `json:"id"`
	Drained    bool   `json:"out"`
	UnixMicros int64  `json:"at_us"` // Unix time in microseconds
}

// Store keeps the marks.
type Store interface {
	Load() ([]Override, error)
	Save([]Override) error
}

// ErrUnknownEndpoint is an ID that nobody has.
var ErrUnknownEndpoint = errors.New("unknown id")

// Registry is the marks of one process.
type Registry struct {
	store     Store
	retention time.Duration // for marks of endpoints that were called back
	now       func() time.Time
	log       *slog.Logger

	// apply makes a mark bind in this process, and returns once it does. With force it takes an ID that this
	// process has not heard of yet; else that is ErrUnknown.
	apply func(ctx context.Context, m Override, force bool) error

	fleet FleetOverrides // nil for nothing

	turn      chan struct{} // one call at a time
	mu        sync.Mutex
	overrides map[string]Override
	peers     map[any]func(context.Context, Override) error // the processes beside this one
}

// NewRegistry returns a book that holds what the store does. That the store's content is damaged is logged and no
// reason not to serve.
func NewRegistry(store Store, keep time.Duration, apply func(context.Context, Override, bool) error, log *slog.Logger) *Registry {
	b := &Registry{store: store, retention: keep, now: time.Now, log: log, apply: apply, turn: make(chan struct{}, 1),
		overrides: map[string]Override{}, peers: map[any]func(context.Context, Override) error{}}
	marks, err := store.Load()
	if err != nil {
		log.Error("the bans kept from before are not readable", "error", err)
	}
	for _, m := range marks {
		b.overrides[m.ID] = m
	}
	return b
}

// Overrides returns all marks that still tell something, sorted by ID.
func (b *Registry) Overrides() []Override {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := b.now().Add(-b.retention).UnixMicro()
	var marks []Override
	for id, m := range b.overrides {
		if !m.Drained && m.UnixMicros < oldest {
			delete(b.overrides, id)
			continue
		}
		marks = append(marks, m)
	}
	slices.SortFunc(marks, func(x, y Override) int { return cmp.Compare(x.ID, y.ID) })
	return marks
}

// FleetOverrides is what all daemons agree on: that an endpoint is out binds at the first word, that it may serve again needs
// their agreement.
type FleetOverrides interface {
	// Subscribe gives the way in which what others say binds here.
	Subscribe(agree func(ctx context.Context, id string, out bool) error)
	// ReportDrain passes on that an endpoint is out here. It does not wait.
	ReportDrain(id string)
	// RequestReturn asks for an endpoint to serve again, and returns once that is agreed on and binds here. It says no to
	// asked if the others do not know that it is out: then it is for this process alone to say.
	RequestReturn(ctx context.Context, id string) (asked bool, err error)
}

// JoinFleet has calls go through what daemons agree on.
func (b *Registry) JoinFleet(s FleetOverrides) {
	b.fleet = s
	s.Subscribe(b.applyAgreed)
}

// applyAgreed makes bind here what was agreed on. It counts as later than all that was said here: clocks of hosts differ.
func (b *Registry) applyAgreed(ctx context.Context, id string, out bool) error {
	b.mu.Lock()
	at := max(b.now().UnixMicro(), b.overrides[id].UnixMicros+1)
	b.mu.Unlock()
	return b.Merge(ctx, Override{ID: id, Drained: out, UnixMicros: at})
}

// Set takes an endpoint out or calls it back, and returns once that binds here and in the processes beside.
func (b *Registry) Set(ctx context.Context, id string, out bool) error {
	if b.fleet != nil && !out {
		if asked, err := b.fleet.RequestReturn(ctx, id); err != nil || asked {
			return err
		}
	}
	m := Override{ID: id, Drained: out, UnixMicros: b.now().UnixMicro()}
	if err := b.update(ctx, m, false); err != nil {
		return err
	}
	if b.fleet != nil && out {
		b.fleet.ReportDrain(id)
	}
	b.mu.Lock()
	tell := make([]func(context.Context, Override) error, 0, len(b.peers))
	for _, t := range b.peers {
		tell = append(tell, t)
	}
	b.mu.Unlock()
	for _, t := range tell {
		if err := t(ctx, m); err != nil {
			// A process that is hung or dead must not keep operators from their work.
			b.log.Error("a process beside this one was not told of a call", "id", id, "out", out, "error", err)
		}
	}
	return nil
}

// Merge takes over marks from a process beside this one; of two for an endpoint, the later one holds.
func (b *Registry) Merge(ctx context.Context, marks ...Override) error {
	for _, m := range marks {
		b.mu.Lock()
		old, have := b.overrides[m.ID]
		b.mu.Unlock()
		if have && old.UnixMicros >= m.UnixMicros {
			continue
		}
		if err := b.update(ctx, m, true); err != nil {
			return err
		}
	}
	return nil
}

// update makes a mark bind in this process and keeps it.
func (b *Registry) update(ctx context.Context, m Override, force bool) error {
	select {
	case b.turn <- struct{}{}:
		defer func() { <-b.turn }()
	case <-ctx.Done():
		return ctx.Err()
	}
	b.mu.Lock()
	old, have := b.overrides[m.ID]
	b.mu.Unlock()
	// A repeat changes nothing: an endpoint does not get colder by being called back twice.
	repeat := have && old.Drained == m.Drained || !have && !m.Drained && !force
	if !repeat || !have {
		if err := b.apply(ctx, m, force); err != nil {
			return fmt.Errorf("%s: %w", m.ID, err)
		}
	}
	if repeat {
		return nil
	}
	b.mu.Lock()
	b.overrides[m.ID] = m
	b.mu.Unlock()
	if err := b.store.Save(b.Overrides()); err != nil {
		b.log.Error("a call binds but is not kept", "id", m.ID, "out", m.Drained, "error", err)
	}
	return nil
}

// AddPeer adds a process that is to be told of each call from now on, until the returned function is called.
func (b *Registry) AddPeer(tell func(context.Context, Override) error) (leave func()) {
	key := new(byte)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[key] = tell
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.peers, key)
	}
}

// File is a Store in one file, replaced as a whole.
type File struct{ Path string }

// fileContent is the form of the file.
type fileContent struct {
	Version   int        `json:"version"`
	Overrides []Override `json:"marks"`
}

const fileVersion = 1

// Load reads the file; that there is none is no error.
func (f File) Load() ([]Override, error) {
	text, err := os.ReadFile(f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("load bans: %w", err)
	}
	var content fileContent
	if err := json.Unmarshal(text, &content); err != nil {
		return nil, fmt.Errorf("load bans: %s: %w", f.Path, err)
	}
	if content.Version != fileVersion {
		return nil, fmt.Errorf("load bans: %s: version %d is not known", f.Path, content.Version)
	}
	return content.Overrides, nil
}

// Save replaces the file. A reader, or a crash, finds the old content or the new.
func (f File) Save(marks []Override) error {
	text, err := json.Marshal(fileContent{fileVersion, marks})
	if err != nil {
		return fmt.Errorf("save bans: %w", err)
	}
	t, err := os.CreateTemp(filepath.Dir(f.Path), filepath.Base(f.Path)+".*")
	if err != nil {
		return fmt.Errorf("save bans: %w", err)
	}
	_, err = t.Write(append(text, '\n'))
	if err == nil {
		err = t.Sync()
	}
	err = cmp.Or(err, t.Close())
	if err == nil {
		err = os.Rename(t.Name(), f.Path)
	}
	if err != nil {
		os.Remove(t.Name())
		return fmt.Errorf("save bans: %w", err)
	}
	return nil
}

// Discard is a Store that keeps nothing, for a place without a folder of its own.
type Discard struct{}

// Load returns nothing.
func (Discard) Load() ([]Override, error) { return nil, nil }

// Save keeps nothing.
func (Discard) Save([]Override) error { return nil }
