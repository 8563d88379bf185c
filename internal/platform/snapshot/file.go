package snapshot

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// File keeps one snapshot. The zero File keeps nothing.
type File struct{ Path string }

// Save puts data in the place of what is kept. A process that ends at any moment leaves the old file or the new
// one, whole. It is not forced to the disk: what must outlive is the process, not the machine.
func (f File) Save(data []byte) error {
	if f.Path == "" {
		return nil
	}
	fresh := fmt.Sprintf("%s.%d", f.Path, os.Getpid())
	err := os.WriteFile(fresh, data, 0o600)
	if err == nil {
		err = os.Rename(fresh, f.Path)
	}
	if err != nil {
		os.Remove(fresh) // it may take the last of the room
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// Load returns what is kept, nil if nothing is. Errors name the file.
func (f File) Load() (*Saved, error) {
	if f.Path == "" {
		return nil, nil
	}
	in, err := os.Open(f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer in.Close()
	// Processes that were killed while they saved left these.
	if left, err := filepath.Glob(f.Path + ".*"); err == nil {
		for _, path := range left {
			os.Remove(path)
		}
	}
	data, err := io.ReadAll(io.LimitReader(in, headSize+maxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	k, err := Decode(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.Path, err)
	}
	return k, nil
}
