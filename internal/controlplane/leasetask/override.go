package leasetask

import (
	"context"
	"encoding/json"
	"fmt"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store"
)

const maxOverrideBytes = 3 * maxNoteBytes // of its texts together

// SetOverride replaces the operators' override of a task; an empty one removes it.
func (r *Runner) SetOverride(ctx context.Context, task string, o lease.TaskOverride) error {
	if err := lease.CheckName(task); err != nil {
		return fmt.Errorf("%q: %w", task, err)
	}
	if len(o.Note)+len(o.Operator)+len(o.PreferredHost) > maxOverrideBytes {
		return fmt.Errorf("the override has more than %d bytes", maxOverrideBytes)
	}
	op := store.Op{Key: lease.OverridePrefix + task, Delete: true}
	if o.Pause || o.PreferredHost != "" {
		value, err := json.Marshal(o)
		if err != nil {
			return err
		}
		op = store.Op{Key: op.Key, Value: value}
	}
	txn := &store.Txn{
		Then:      []store.Op{op},
		KeyLimits: []store.KeyLimit{{Prefix: lease.OverridePrefix, MaxKeys: lease.MaxTasks}},
	}
	_, err := r.store.Do(ctx, store.Command{Txn: txn})
	return err
}
