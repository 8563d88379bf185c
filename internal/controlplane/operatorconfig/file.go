// Package operatorconfig reads the operator file, which configures the features of a process that the platform's
// configuration does not cover. Without the file all of them are off.
//
// The file is TOML and read strictly: an unknown key or a value out of range is an error that names the file, the key
// and, where it is known, the line. Of birchmoor the package may import only lease, keys and stricttoml.
package operatorconfig

import (
	"errors"
	"fmt"
	"os"
	"time"

	"birchmoor/internal/platform/stricttoml"
)

// File is an operator file. A section that is not in the file is nil, and its feature is off.
type File struct {
	StateSnapshot *StateSnapshot `toml:"keep"`
	Capture       *Capture       `toml:"capture"`
	Store         *Store         `toml:"store"`
	Limits        *Limits        `toml:"limits"`
	DNS           *DNS           `toml:"dns"`
}

// StateSnapshot configures where a sidecar stores the state of its decision module for its next start.
type StateSnapshot struct {
	Dir string `toml:"dir"` // holds one file for each sidecar, by its name
}

// Capture configures the recording of the inputs and decisions of the decision module, for a later replay.
type Capture struct {
	Dir              string   `toml:"dir"`
	BudgetMB         int      `toml:"budget_mb"` // size of all files of a sidecar; the oldest are deleted first
	MaxFileMB        int      `toml:"file_mb"`   // size after which a new file begins
	MaxFileAge       Duration `toml:"file_age"`  // age after which a new file begins
	SnapshotInterval Duration `toml:"segment"`   // between snapshots, from each of which a replay can begin
	MaxQueuedBatches int      `toml:"queue"`     // batches of about 24 KiB that wait to be written to the disk
	RetryDelay       Duration `toml:"retry"`     // after a failed write to the disk
}

// Limits configures how sidecars share the fleet's limits through the store.
type Limits struct {
	SessionTTL               Duration `toml:"lease"` // of a sidecar's session, after which its quotas end
	ReportInterval           Duration `toml:"tell"`  // shortest time between two reports of a sidecar's demand
	ReportIntervalPerProcess Duration `toml:"each"`  // times the number of sidecars: the interval, if longer
}

// Duration is a time.Duration in the text form of Go, such as "5m".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Error is an error of the content of an operator file.
type Error = stricttoml.Error

// Read reads a file, sets the defaults and checks all values. Relative paths are relative to the file's folder. Errors
// of the content are joined, each an *Error.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read operator file: %w", err)
	}
	f := &File{}
	decodeErr := stricttoml.Decode(path, "operator files", text, f)
	var invalid *Error
	if decodeErr != nil && (!errors.As(decodeErr, &invalid) || !invalid.UnknownKey) {
		return nil, decodeErr // the values after the error are not decoded, so that they cannot be checked
	}
	if err := errors.Join(decodeErr, f.check(path)); err != nil {
		return nil, err
	}
	return f, nil
}

// check sets the defaults of all sections, and returns the joined errors of values that are missing or out of range.
func (f *File) check(path string) error {
	c := &checker{path: path}
	if f.StateSnapshot != nil {
		c.dir("keep.dir", &f.StateSnapshot.Dir)
	}
	if f.Capture != nil {
		f.Capture.check(c)
	}
	if f.Store != nil {
		f.Store.check(c)
	}
	if f.Limits != nil {
		if f.Store == nil {
			c.invalid("limits", "requires a [store] section, through which limits are shared")
		}
		f.Limits.check(c)
	}
	if f.DNS != nil {
		f.DNS.check(c)
	}
	return errors.Join(c.errs...)
}

func (c *Capture) check(ck *checker) {
	ck.dir("capture.dir", &c.Dir)
	ck.number("capture.budget_mb", &c.BudgetMB, 256, 1, 1<<20)
	ck.number("capture.file_mb", &c.MaxFileMB, min(16, max(1, c.BudgetMB/4)), 1, 4096)
	ck.number("capture.queue", &c.MaxQueuedBatches, 32, 2, 4096)
	ck.duration("capture.file_age", &c.MaxFileAge, 30*time.Minute, time.Second, 24*time.Hour)
	ck.duration("capture.segment", &c.SnapshotInterval, 5*time.Minute, time.Second, time.Hour)
	ck.duration("capture.retry", &c.RetryDelay, 5*time.Second, 100*time.Millisecond, time.Hour)
	if c.MaxFileMB > c.BudgetMB {
		ck.invalid("capture.file_mb", "is over capture.budget_mb")
	}
}

func (l *Limits) check(c *checker) {
	c.duration("limits.lease", &l.SessionTTL, 5*time.Second, minLeaseTTL, maxLeaseTTL)
	c.duration("limits.tell", &l.ReportInterval, 250*time.Millisecond, 10*time.Millisecond, time.Minute)
	c.duration("limits.each", &l.ReportIntervalPerProcess, 5*time.Millisecond, 100*time.Microsecond, time.Second)
}
