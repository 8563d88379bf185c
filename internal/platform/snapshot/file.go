package snapshot

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// File stores one snapshot in a file. The zero File stores nothing.
type File struct{ Path string }

// Save replaces the stored snapshot by data. If the process ends during Save, the file has either the old snapshot or
// the new one, complete. Save does not sync the file to disk, because the snapshot must outlive only the process, not a
// crash of the host.
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
		_ = os.Remove(temporary) // an incomplete file may fill the disk
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// Load returns the stored snapshot, or nil if there is none. Errors name the file. Load also removes temporary files of
// earlier processes.
func (f File) Load() (*Saved, error) {
	if f.Path == "" {
		return nil, nil
	}
	file, err := os.Open(f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	defer file.Close()
	f.removeTemporaries()
	data, err := io.ReadAll(io.LimitReader(file, headerBytes+maxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s, err := Decode(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.Path, err)
	}
	return s, nil
}

// removeTemporaries removes the temporary files of processes that were killed during Save.
func (f File) removeTemporaries() {
	paths, err := filepath.Glob(f.Path + ".*")
	if err != nil {
		return // the path is not a valid pattern
	}
	for _, path := range paths {
		_ = os.Remove(path) // on a failure, the next Load tries again
	}
}
