package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// Fence protects a resource from holders whose lease has ended: it rejects an action whose fencing token is lower than
// the highest token that it has admitted for the same task. The zero Fence keeps tokens in memory only; one from
// OpenFence keeps them across restarts. It is safe for concurrent use.
type Fence struct {
	mu      sync.Mutex
	path    string            // empty: tokens are kept in memory only
	highest map[string]uint64 // highest admitted token by task
	defect  FenceDefect
}

// FenceDefect is a defect injected into a Fence, so that a test can show that it is detected.
type FenceDefect int

// Injected defects of a Fence.
const (
	NoFenceDefect   FenceDefect = iota
	AdmitAllTokens              // tokens below the highest one are admitted too
	ForgetOnRestart             // OpenFence does not read the stored tokens
)

// maxFencedTasks bounds the memory and the file of a Fence.
const maxFencedTasks = 4096

// ErrFenceUnavailable is returned for an action that a Fence rejects because it cannot record the token: it tracks the
// maximum number of tasks already, or its file could not be written.
var ErrFenceUnavailable = errors.New("the fence cannot store the token")

// NewFence returns a Fence that keeps tokens in memory only.
func NewFence(defect FenceDefect) *Fence { return &Fence{defect: defect} }

// OpenFence returns a Fence that keeps its tokens in the file at path, and loads the tokens that an earlier Fence
// stored there. A missing file is the same as one without tokens.
func OpenFence(path string, defect FenceDefect) (*Fence, error) {
	f := &Fence{path: path, defect: defect}
	if defect == ForgetOnRestart {
		return f, nil
	}
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return f, nil
	}
	if err == nil {
		err = json.Unmarshal(content, &f.highest)
	}
	if err != nil {
		return nil, fmt.Errorf("fence: %s: %w", path, err)
	}
	return f, nil
}

// Admit returns nil if an action with this token may take effect, ErrStaleToken if a higher token of the task was
// admitted before, and ErrFenceUnavailable if the token cannot be recorded. A higher token than before is stored before
// it is admitted, so that no lower token is admitted after a crash.
func (f *Fence) Admit(task string, token uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	highest, known := f.highest[task]
	if token < highest && f.defect != AdmitAllTokens {
		return fmt.Errorf("%w: token %d for task %s, highest token %d", ErrStaleToken, token, task, highest)
	}
	if token <= highest {
		return nil
	}
	if !known && len(f.highest) >= maxFencedTasks {
		return fmt.Errorf("%w: it tracks %d tasks already", ErrFenceUnavailable, len(f.highest))
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

// save replaces the file of a Fence atomically, and returns once the new contents are on disk. The lock must be held.
func (f *Fence) save() error {
	if f.path == "" {
		return nil
	}
	content, err := json.Marshal(f.highest)
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(f.path), ".fence-*")
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	err = errors.Join(err, file.Sync(), file.Close())
	if err == nil {
		err = os.Rename(file.Name(), f.path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(file.Name()))
	}
	return syncDir(filepath.Dir(f.path))
}

// syncDir makes earlier renames within a directory durable.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
