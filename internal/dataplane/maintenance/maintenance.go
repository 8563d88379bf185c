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

// Mark is the latest that operators said of one endpoint. One that was called back is kept for a while, since
// it is cold.
type Mark struct {
	ID  string `json:"id"`
	Out bool   `json:"out"`
	At  int64  `json:"at_us"` // Unix time in microseconds
}

// Store keeps the marks.
type Store interface {
	Load() ([]Mark, error)
	Save([]Mark) error
}

// ErrUnknown is an ID that nobody has.
var ErrUnknown = errors.New("unknown id")

// Book is the marks of one process.
type Book struct {
	store Store
	keep  time.Duration // for marks of endpoints that were called back
	now   func() time.Time
	log   *slog.Logger

	// apply makes a mark bind in this process, and returns once it does. With force it takes an ID that this
	// process has not heard of yet; else that is ErrUnknown.
	apply func(ctx context.Context, m Mark, force bool) error

	shared Shared // nil for nothing

	turn  chan struct{} // one call at a time
	mu    sync.Mutex
	marks map[string]Mark
	tell  map[any]func(context.Context, Mark) error // the processes beside this one
}

// NewBook returns a book that holds what the store does. That the store's content is damaged is logged and no
// reason not to serve.
func NewBook(store Store, keep time.Duration, apply func(context.Context, Mark, bool) error, log *slog.Logger) *Book {
	b := &Book{store: store, keep: keep, now: time.Now, log: log, apply: apply, turn: make(chan struct{}, 1),
		marks: map[string]Mark{}, tell: map[any]func(context.Context, Mark) error{}}
	marks, err := store.Load()
	if err != nil {
		log.Error("the bans kept from before are not readable", "error", err)
	}
	for _, m := range marks {
		b.marks[m.ID] = m
	}
	return b
}

// Marks returns all marks that still tell something, sorted by ID.
func (b *Book) Marks() []Mark {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldest := b.now().Add(-b.keep).UnixMicro()
	var marks []Mark
	for id, m := range b.marks {
		if !m.Out && m.At < oldest {
			delete(b.marks, id)
			continue
		}
		marks = append(marks, m)
	}
	slices.SortFunc(marks, func(x, y Mark) int { return cmp.Compare(x.ID, y.ID) })
	return marks
}

// Shared is what all daemons agree on: that an endpoint is out binds at the first word, that it may serve again needs
// their agreement.
type Shared interface {
	// Begin gives the way in which what others say binds here.
	Begin(agree func(ctx context.Context, id string, out bool) error)
	// TakenOut passes on that an endpoint is out here. It does not wait.
	TakenOut(id string)
	// Return asks for an endpoint to serve again, and returns once that is agreed on and binds here. It says no to
	// asked if the others do not know that it is out: then it is for this process alone to say.
	Return(ctx context.Context, id string) (asked bool, err error)
}

// Share has calls go through what daemons agree on.
func (b *Book) Share(s Shared) {
	b.shared = s
	s.Begin(b.agree)
}

// agree makes bind here what was agreed on. It counts as later than all that was said here: clocks of hosts differ.
func (b *Book) agree(ctx context.Context, id string, out bool) error {
	b.mu.Lock()
	at := max(b.now().UnixMicro(), b.marks[id].At+1)
	b.mu.Unlock()
	return b.Merge(ctx, Mark{ID: id, Out: out, At: at})
}

// Set takes an endpoint out or calls it back, and returns once that binds here and in the processes beside.
func (b *Book) Set(ctx context.Context, id string, out bool) error {
	if b.shared != nil && !out {
		if asked, err := b.shared.Return(ctx, id); err != nil || asked {
			return err
		}
	}
	m := Mark{ID: id, Out: out, At: b.now().UnixMicro()}
	if err := b.put(ctx, m, false); err != nil {
		return err
	}
	if b.shared != nil && out {
		b.shared.TakenOut(id)
	}
	b.mu.Lock()
	tell := make([]func(context.Context, Mark) error, 0, len(b.tell))
	for _, t := range b.tell {
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
func (b *Book) Merge(ctx context.Context, marks ...Mark) error {
	for _, m := range marks {
		b.mu.Lock()
		old, have := b.marks[m.ID]
		b.mu.Unlock()
		if have && old.At >= m.At {
			continue
		}
		if err := b.put(ctx, m, true); err != nil {
			return err
		}
	}
	return nil
}

// put makes a mark bind in this process and keeps it.
func (b *Book) put(ctx context.Context, m Mark, force bool) error {
	select {
	case b.turn <- struct{}{}:
		defer func() { <-b.turn }()
	case <-ctx.Done():
		return ctx.Err()
	}
	b.mu.Lock()
	old, have := b.marks[m.ID]
	b.mu.Unlock()
	// A repeat changes nothing: an endpoint does not get colder by being called back twice.
	repeat := have && old.Out == m.Out || !have && !m.Out && !force
	if !repeat || !have {
		if err := b.apply(ctx, m, force); err != nil {
			return fmt.Errorf("%s: %w", m.ID, err)
		}
	}
	if repeat {
		return nil
	}
	b.mu.Lock()
	b.marks[m.ID] = m
	b.mu.Unlock()
	if err := b.store.Save(b.Marks()); err != nil {
		b.log.Error("a call binds but is not kept", "id", m.ID, "out", m.Out, "error", err)
	}
	return nil
}

// Beside adds a process that is to be told of each call from now on, until the returned function is called.
func (b *Book) Beside(tell func(context.Context, Mark) error) (leave func()) {
	key := new(byte)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tell[key] = tell
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.tell, key)
	}
}

// File is a Store in one file, replaced as a whole.
type File struct{ Path string }

// file is the form of the file.
type file struct {
	Version int    `json:"version"`
	Marks   []Mark `json:"marks"`
}

const version = 1

// Load reads the file; that there is none is no error.
func (f File) Load() ([]Mark, error) {
	text, err := os.ReadFile(f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("load bans: %w", err)
	}
	var content file
	if err := json.Unmarshal(text, &content); err != nil {
		return nil, fmt.Errorf("load bans: %s: %w", f.Path, err)
	}
	if content.Version != version {
		return nil, fmt.Errorf("load bans: %s: version %d is not known", f.Path, content.Version)
	}
	return content.Marks, nil
}

// Save replaces the file. A reader, or a crash, finds the old content or the new.
func (f File) Save(marks []Mark) error {
	text, err := json.Marshal(file{version, marks})
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

// Nowhere is a Store that keeps nothing, for a place without a folder of its own.
type Nowhere struct{}

// Load returns nothing.
func (Nowhere) Load() ([]Mark, error) { return nil, nil }

// Save keeps nothing.
func (Nowhere) Save([]Mark) error { return nil }
