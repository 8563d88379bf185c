// Package replay plays captures: it passes the recorded events to a decision module (package balancer) and compares the
// module's actions with the recorded ones. On the same events the module must respond with the same actions, byte for
// byte.
package replay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/cespare/xxhash/v2"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/capture"
)

// Play plays the files of a capture in the order of paths. A record that cannot be read ends its file; the replay
// continues with the next snapshot of the following file, and the report lists the error in Faults. Play returns an
// error if a file cannot be opened, if an event cannot be played, if ctx ends, or if there is nothing to replay.
func Play(ctx context.Context, paths []string, options Options) (*Report, error) {
	p := &player{options: options, digest: xxhash.New(), names: map[uint32]string{}}
	firstSnapshot, err := lastSnapshotBefore(paths, options.From)
	if err != nil {
		return nil, err
	}
	snapshots := 0
	for _, path := range paths {
		reachedEnd, err := p.playFile(ctx, path, func(rec *capture.Record) bool {
			if rec.Kind == capture.KindSnapshot {
				snapshots++
			}
			return snapshots >= firstSnapshot // earlier records are not needed
		})
		if err != nil {
			return nil, err
		}
		if reachedEnd {
			break
		}
	}
	p.compareActions()
	p.report.Digest = fmt.Sprintf("%016x", p.digest.Sum64())
	if p.report.Segments == 0 && len(p.report.Faults) == 0 {
		return nil, errors.New("replay: the files contain no snapshot to start from")
	}
	return &p.report, nil
}

// lastSnapshotBefore returns the number of the last snapshot that was taken no later than an instant, counted from 1 in
// the order of the files; 0 to play all records.
func lastSnapshotBefore(paths []string, from balancer.Micros) (int, error) {
	snapshots, last := 0, 0
	if from == 0 {
		return 0, nil
	}
	for _, path := range paths {
		err := forEachRecord(path, func(rec *capture.Record) error {
			if rec.Kind == capture.KindSnapshot {
				snapshots++
				if rec.At <= from {
					last = snapshots
				}
			}
			return nil
		})
		var captureErr *capture.Error
		if err != nil && !errors.As(err, &captureErr) {
			return 0, err
		}
	}
	return last, nil
}

// forEachRecord calls visit with each record of a file, until visit returns an error, which it then returns. Other
// errors are *capture.Error or those of opening the file.
func forEachRecord(path string, visit func(*capture.Record) error) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("replay: %w", err)
	}
	defer func() { _ = f.Close() }() // the file was only read
	reader, err := capture.NewReader(f)
	for err == nil {
		var rec capture.Record
		if rec, err = reader.Next(); err == nil {
			err = visit(&rec)
		}
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// errEndOfRange ends forEachRecord once no more records are needed.
var errEndOfRange = errors.New("the end of the range is reached")

// playFile plays the wanted records of one file, and reports whether the end of the range (Options.To) was reached.
func (p *player) playFile(ctx context.Context, path string,
	wanted func(*capture.Record) bool) (reachedEnd bool, err error) {
	err = forEachRecord(path, func(rec *capture.Record) error {
		if !wanted(rec) {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		return p.playRecord(rec)
	})
	if errors.Is(err, errEndOfRange) {
		return true, nil
	}
	var captureErr *capture.Error
	if errors.As(err, &captureErr) {
		p.compareActions()
		p.balancer = nil
		p.complete = false
		p.report.Faults = append(p.report.Faults, path+": "+err.Error())
		return false, nil
	}
	return false, err
}
