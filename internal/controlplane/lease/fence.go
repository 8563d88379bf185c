package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// Fence guards a resource: it rejects actions whose fencing token is lower than one it has seen. A zero Fence
// remembers tokens in memory; one from OpenFence also remembers them across restarts. It is safe for concurrent
// use.
type Fence struct {
	mu      sync.Mutex
	path    string // empty: in memory only
	highest map[string]uint64
	defect  FenceDefect
}

// FenceDefect is a fault injected into a Fence, so that a test can show that the fault is detected.
type FenceDefect int

// The defects of a Fence.
const (
	NoFenceDefect   FenceDefect = iota
	AdmitAllTokens              // lower tokens are admitted
	ForgetOnRestart             // the file is not read at start
)

const maxFencedTasks = 4096

// ErrFenceUnavailable says that a fence has reached its number of tasks, or could not store a token.
var ErrFenceUnavailable = errors.New("the fence cannot store the token")

// NewFence returns a fence that remembers tokens in memory.
func NewFence(d FenceDefect) *Fence { return &Fence{defect: d} }

// OpenFence returns a fence that keeps its tokens in the file at path, and reads those of an earlier one.
func OpenFence(path string, d FenceDefect) (*Fence, error) {
	f := &Fence{path: path, defect: d}
	if d == ForgetOnRestart {
		return f, nil
	}
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
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

// Admit returns nil if an action with this token may take effect, and ErrStaleToken if a higher token of the task was
// admitted before. A new token is stored before it is admitted, so that no lower one passes after a crash.
func (f *Fence) Admit(task string, token uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	highest, known := f.highest[task]
	if token < highest && f.defect != AdmitAllTokens {
		return fmt.Errorf("%w: %d of %s, after %d", ErrStaleToken, token, task, highest)
	}
	if token <= highest {
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
		f.highest[task] = highest
		if !known {
			delete(f.highest, task)
		}
		return fmt.Errorf("%w: %w", ErrFenceUnavailable, err)
	}
	return nil
}

// save replaces the file atomically and returns once it is on the disk.
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
	err = errors.Join(err, w.Sync(), w.Close())
	if err == nil {
		err = os.Rename(w.Name(), f.path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(w.Name()))
	}
	return syncDir(filepath.Dir(f.path))
}

// syncDir makes a rename within the directory durable.
func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
