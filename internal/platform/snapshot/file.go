package snapshot

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// File stores one snapshot. The zero File stores nothing.
type File struct{ Path string }

// Save replaces the stored snapshot by data. Whenever the process ends, the file has either snapshot, complete.
// Save does not wait for the disk: the snapshot is to outlive the process, not the machine.
func (f File) Save(data []byte) error {
	if f.Path == "" {
		return nil
	}
	temporary := fmt.Sprintf("%s.%d", f.Path, os.Getpid())
	err := os.WriteFile(temporary, data, 0o600)
	if err == nil {
		err = os.Rename(temporary, f.Path)
	}
	if err != nil {
		_ = os.Remove(temporary) // it may fill the disk
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// Load returns the stored snapshot, nil if there is none. Errors name the file.
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
	f.removeTemporaries()
	data, err := io.ReadAll(io.LimitReader(in, headerBytes+maxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s, err := Decode(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.Path, err)
	}
	return s, nil
}

// removeTemporaries removes the files of processes that were killed while they saved.
func (f File) removeTemporaries() {
	paths, err := filepath.Glob(f.Path + ".*")
	if err != nil {
		return // the path is no pattern
	}
	for _, path := range paths {
		_ = os.Remove(path) // the next Load retries it
	}
}
