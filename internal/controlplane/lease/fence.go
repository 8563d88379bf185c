package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// Fence is the half of what is acted upon: it lets nothing take effect that is of a lower token than it has seen. A zero Fence
// remembers for as long as it lives; OpenFence over starts. Any goroutine may use it.
type Fence struct {
	mu    sync.Mutex
	path  string
	seen  map[string]uint64
	plant FenceDefect
}

// FenceDefect is a fault of a Fence.
type FenceDefect int

// The faults.
const (
	NoFenceDefect FenceDefect = iota
	FenceOpen                 // it lets all pass
	FenceForget               // it does not keep what it has seen
)

const fenceMost = 4096 // tasks; one more is refused

// ErrFenceUnavailable says that a fence has no room for another task, or cannot keep what it has seen.
var ErrFenceUnavailable = errors.New("the fence cannot keep the token")

// NewFence returns one that remembers for as long as it lives.
func NewFence(p FenceDefect) *Fence { return &Fence{plant: p} }

// OpenFence reads what an earlier one at this path has seen.
func OpenFence(path string, p FenceDefect) (*Fence, error) {
	f := &Fence{path: path, plant: p}
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) || p == FenceForget {
		return f, nil
	}
	if err == nil {
		err = json.Unmarshal(b, &f.seen)
	}
	if err != nil {
		return nil, fmt.Errorf("fence: %s: %w", path, err)
	}
	return f, nil
}

// Admit says whether an action with a token may take effect, and is ErrStale if one with a higher token did. A token that is new
// is kept before it is admitted: what is let pass after a crash is never lower.
func (f *Fence) Admit(task string, token uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen, known := f.seen[task]
	if token < seen && f.plant != FenceOpen {
		return fmt.Errorf("%w: %d of %s, after %d", ErrStaleToken, token, task, seen)
	}
	if token <= seen {
		return nil
	}
	if !known && len(f.seen) >= fenceMost {
		return fmt.Errorf("%w: %d tasks", ErrFenceUnavailable, len(f.seen))
	}
	if f.seen == nil {
		f.seen = map[string]uint64{}
	}
	f.seen[task] = token
	if err := f.keep(); err != nil {
		if f.seen[task] = seen; !known {
			delete(f.seen, task)
		}
		return fmt.Errorf("%w: %w", ErrFenceUnavailable, err)
	}
	return nil
}

// keep writes what was seen, and waits until it is on the disk.
func (f *Fence) keep() error {
	if f.path == "" {
		return nil
	}
	b, err := json.Marshal(f.seen)
	if err != nil {
		return err
	}
	w, err := os.CreateTemp(filepath.Dir(f.path), ".fence-*")
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	if err = errors.Join(err, w.Sync(), w.Close()); err == nil {
		err = os.Rename(w.Name(), f.path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(w.Name()))
	}
	d, err := os.Open(filepath.Dir(f.path))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
