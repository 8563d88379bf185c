// Package replay plays captures: it gives a decision module the recorded events and compares its actions with the
// recorded ones. Given the same events the module must answer with the same actions, byte for byte.
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

// Files plays the files of a capture in order. What cannot be read is listed in the report, and ends its file. An
// error means that nothing could be replayed.
func Files(ctx context.Context, paths []string, o Options) (*Report, error) {
	p := &player{options: o, digest: xxhash.New(), names: map[uint32]string{}}
	start, err := lastSnapshotBefore(paths, o.From)
	if err != nil {
		return nil, err
	}
	seen := 0
	for _, path := range paths {
		over, err := p.playFile(ctx, path, func(x *capture.Record) bool {
			if x.Kind == capture.KindSnapshot {
				seen++
			}
			return seen >= start // records before the last snapshot are not needed
		})
		if err != nil {
			return nil, err
		}
		if over {
			break
		}
	}
	p.compareActions()
	p.report.Digest = fmt.Sprintf("%016x", p.digest.Sum64())
	if p.report.Segments == 0 && len(p.report.Faults) == 0 {
		return nil, errors.New("replay: nothing is recorded there")
	}
	return &p.report, nil
}

// lastSnapshotBefore returns the number, from 1, of the last snapshot before an instant; 0 to play all.
func lastSnapshotBefore(paths []string, from balancer.Micros) (int, error) {
	seen, last := 0, 0
	if from == 0 {
		return 0, nil
	}
	for _, path := range paths {
		err := forEachRecord(path, func(x *capture.Record) error {
			if x.Kind == capture.KindSnapshot {
				seen++
				if x.At <= from {
					last = seen
				}
			}
			return nil
		})
		var unreadable *capture.Error
		if err != nil && !errors.As(err, &unreadable) {
			return 0, err
		}
	}
	return last, nil
}

// forEachRecord calls do with the records of a file, until it returns an error.
func forEachRecord(path string, do func(*capture.Record) error) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("replay: %w", err)
	}
	defer func() { _ = f.Close() }() // it was only read
	in, err := capture.NewReader(f)
	for err == nil {
		var x capture.Record
		if x, err = in.Next(); err == nil {
			err = do(&x)
		}
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// errEndOfRange ends a replay at the end of what is to be played.
var errEndOfRange = errors.New("the end of the range is reached")

// playFile plays one file, and reports whether the end of what is to be played was reached.
func (p *player) playFile(ctx context.Context, path string, wanted func(*capture.Record) bool) (over bool, err error) {
	err = forEachRecord(path, func(x *capture.Record) error {
		if !wanted(x) {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		return p.record(x)
	})
	if errors.Is(err, errEndOfRange) {
		return true, nil
	}
	var unreadable *capture.Error
	if errors.As(err, &unreadable) {
		p.compareActions()
		p.balancer = nil
		p.complete = false
		p.report.Faults = append(p.report.Faults, path+": "+err.Error())
		return false, nil
	}
	return false, err
}
