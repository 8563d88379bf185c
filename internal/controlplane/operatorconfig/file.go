// Package operatorconfig reads the operator file: what a process does beyond what the platform configures. Without the
// file all of it is off.
//
// The file is TOML, strictly read: an unknown key or a value out of range is an error that names file, line and
// key. The package may import lease, keys and stricttoml alone.
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

// StateSnapshot is where what a decision module has learned is stored for the next start.
type StateSnapshot struct {
	Dir string `toml:"dir"` // one file for each sidecar's name
}

// Capture is a recording of what the decision module is given and answers.
type Capture struct {
	Dir              string   `toml:"dir"`
	BudgetMB         int      `toml:"budget_mb"` // of all files of a sidecar
	MaxFileMB        int      `toml:"file_mb"`   // after which a new file begins
	MaxFileAge       Duration `toml:"file_age"`  // after which a new file begins
	SnapshotInterval Duration `toml:"segment"`
	MaxQueuedBatches int      `toml:"queue"` // batches of 24 KiB on their way to the disk
	RetryDelay       Duration `toml:"retry"` // after the disk failed
}

// Limits configures how the fleet's limits are shared by the store.
type Limits struct {
	SessionTTL               Duration `toml:"lease"` // after which the quotas of a silent sidecar end
	ReportInterval           Duration `toml:"tell"`  // between two reports of a sidecar, at least
	ReportIntervalPerProcess Duration `toml:"each"`  // for each sidecar of the fleet, if that makes a longer interval
}

// Duration is a time.Duration in the text form of Go, such as "5m".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Error is an error of the file.
type Error = stricttoml.Error

// Read reads a file, sets defaults and checks all values. Relative folders are within the file's own. Errors of the
// content are joined, each an *Error.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator file: %w", err)
	}
	f := &File{}
	decodeErr := stricttoml.Decode(path, "operator files", text, f)
	var invalid *Error
	if decodeErr != nil && (!errors.As(decodeErr, &invalid) || !invalid.UnknownKey) {
		return nil, decodeErr // the rest of the file was not read
	}
	if err := errors.Join(decodeErr, f.check(path)); err != nil {
		return nil, err
	}
	return f, nil
}

// check sets defaults and returns what is out of range.
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
			c.invalid("limits", "are shared by the store: [store] is missing")
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
