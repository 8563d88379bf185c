package maintenance

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// Store keeps overrides beyond the end of the process. A Registry calls Load once and never calls Save concurrently.
type Store interface {
	Load() ([]Override, error)
	Save([]Override) error
}

// File is a Store in a single JSON file.
type File struct{ Path string }

// fileContent is the content of a File.
type fileContent struct {
	Version   int        `json:"version"`
	Overrides []Override `json:"marks"`
}

const fileVersion = 1

// Load reads the overrides from the file. It returns none if the file does not exist.
func (f File) Load() ([]Override, error) {
	text, err := os.ReadFile(f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("load overrides: %w", err)
	}
	var content fileContent
	if err := json.Unmarshal(text, &content); err != nil {
		return nil, fmt.Errorf("load overrides: %s: %w", f.Path, err)
	}
	if content.Version != fileVersion {
		return nil, fmt.Errorf("load overrides: %s: unsupported version %d", f.Path, content.Version)
	}
	return content.Overrides, nil
}

// Save replaces the file atomically: a concurrent reader, or a process that starts after a crash, sees either the old
// content or the new one.
func (f File) Save(overrides []Override) error {
	text, err := json.Marshal(fileContent{fileVersion, overrides})
	if err != nil {
		return fmt.Errorf("save overrides: %w", err)
	}
	temporary, err := os.CreateTemp(filepath.Dir(f.Path), filepath.Base(f.Path)+".*")
	if err != nil {
		return fmt.Errorf("save overrides: %w", err)
	}
	_, err = temporary.Write(append(text, '\n'))
	if err == nil {
		err = temporary.Sync()
	}
	err = cmp.Or(err, temporary.Close())
	if err == nil {
		err = os.Rename(temporary.Name(), f.Path)
	}
	if err != nil {
		_ = os.Remove(temporary.Name())
		return fmt.Errorf("save overrides: %w", err)
	}
	return nil
}

// Discard is a Store that keeps nothing, for a sidecar without a private directory.
type Discard struct{}

// Load returns no overrides.
func (Discard) Load() ([]Override, error) { return nil, nil }

// Save drops the overrides.
func (Discard) Save([]Override) error { return nil }
