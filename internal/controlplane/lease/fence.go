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
	mu      sync.Mutex
	path    string
	highest map[string]uint64
	defect  FenceDefect
}

// FenceDefect is a fault of a Fence.
type FenceDefect int

// The faults.
const (
	NoFenceDefect   FenceDefect = iota
	AdmitAllTokens              // it lets all pass
	ForgetOnRestart             // it does not keep what it has seen
)

const maxFencedTasks = 4096 // tasks; one more is refused

// ErrFenceUnavailable says that a fence has no room for another task, or cannot keep what it has seen.
var ErrFenceUnavailable = errors.New("the fence cannot keep the token")

// NewFence returns one that remembers for as long as it lives.
func NewFence(p FenceDefect) *Fence { return &Fence{defect: p} }

// OpenFence reads what an earlier one at this path has seen.
func OpenFence(path string, p FenceDefect) (*Fence, error) {
	f := &Fence{path: path, defect: p}
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) || p == ForgetOnRestart {
		return f, nil
	}
	if err == nil {
		err = json.Unmarshal(b, &f.highest)
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
	seen, known := f.highest[task]
	if token < seen && f.defect != AdmitAllTokens {
		return fmt.Errorf("%w: %d of %s, after %d", ErrStaleToken, token, task, seen)
	}
	if token <= seen {
		return nil
	}
	if !known && len(f.highest) >= maxFencedTasks {
		return fmt.Errorf("%w: %d tasks", ErrFenceUnavailable, len(f.highest))
	}
	if f.highest == nil {
		f.highest = map[string]uint64{}
	}
	f.highest[task] = token
	if err := f.save(); err != nil {
		if f.highest[task] = seen; !known {
			delete(f.highest, task)
		}
		return fmt.Errorf("%w: %w", ErrFenceUnavailable, err)
	}
	return nil
}

// save writes what was seen, and waits until it is on the disk.
func (f *Fence) save() error {
	if f.path == "" {
		return nil
	}
	b, err := json.Marshal(f.highest)
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
