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

// Store stores overrides beyond the life of a process.
type Store interface {
	Load() ([]Override, error)
	Save([]Override) error
}

// File is a Store in one file, which each Save replaces.
type File struct{ Path string }

// fileContent is the JSON of the file.
type fileContent struct {
	Version   int        `json:"version"`
	Overrides []Override `json:"marks"`
}

const fileVersion = 1

// Load reads the file. A file that does not exist is no error.
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
		return nil, fmt.Errorf("load overrides: %s: version %d is not known", f.Path, content.Version)
	}
	return content.Overrides, nil
}

// Save replaces the file. A reader, or a start after a crash, finds the old content or the new.
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

// Discard is a Store that stores nothing, for a sidecar without a directory of its own.
type Discard struct{}

// Load returns nothing.
func (Discard) Load() ([]Override, error) { return nil, nil }

// Save stores nothing.
func (Discard) Save([]Override) error { return nil }
