package leasetask

import (
	"context"
	"encoding/json"
	"fmt"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store"
)

const maxOverrideBytes = 3 * maxNoteBytes // of the texts of an override together

// SetOverride replaces the operator's override of a task. An override that neither pauses the task nor prefers a host
// removes it.
func (r *Runner) SetOverride(ctx context.Context, task string, override lease.TaskOverride) error {
	if err := lease.CheckName(task); err != nil {
		return fmt.Errorf("%q: %w", task, err)
	}
	if len(override.Note)+len(override.Operator)+len(override.PreferredHost) > maxOverrideBytes {
		return fmt.Errorf("the texts of the override are longer than %d bytes together", maxOverrideBytes)
	}
	op := store.Op{Key: lease.OverridePrefix + task, Delete: true}
	if override.Pause || override.PreferredHost != "" {
		value, err := json.Marshal(override)
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
