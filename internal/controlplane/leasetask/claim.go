package leasetask

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store"
)

const (
	maxNoteBytes    = 256
	nonceBytes      = 8
	minEntryTimeout = time.Second // of the change that creates a queue entry
)

// Claim describes a lease to acquire.
type Claim struct {
	Task  string
	Slots int           // how many may hold it at once; all claims of a task must agree. 0: one
	TTL   time.Duration // after which another may hold it if this daemon stops renewing
	Note  string        // shown to operators
}

// check sets defaults and returns what is invalid.
func (c *Claim) check() error {
	if err := lease.CheckName(c.Task); err != nil {
		return fmt.Errorf("%q: %w", c.Task, err)
	}
	if c.Slots == 0 {
		c.Slots = 1
	}
	if c.Slots < 1 || c.Slots > lease.MaxSlots {
		return fmt.Errorf("%d slots are not within 1 and %d", c.Slots, lease.MaxSlots)
	}
	if len(c.Note) > maxNoteBytes {
		return fmt.Errorf("the note has more than %d bytes", maxNoteBytes)
	}
	return nil
}

// Acquire waits in the task's queue until this daemon holds the task, or ctx ends. If onWait is not nil, it is
// called when the number of queue entries that must go first changes (-1: there is no entry yet), or when something
// else delays the acquisition; it must not block. The lease must be released.
func (r *Runner) Acquire(ctx context.Context, c Claim, onWait func(ahead int, reason error)) (*Lease, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	var nonce [nonceBytes]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return nil, err
	}
	s, err := r.joinSession(c.TTL)
	if err != nil {
		return nil, err
	}
	l := &Lease{runner: r, claim: c, session: s}
	w := waiter{lease: l, nonce: hex.EncodeToString(nonce[:]), onWait: onWait, lastAhead: -1, retryDelay: minRetryDelay}
	if err := w.wait(ctx); err != nil {
		l.Release()
		return nil, err
	}
	return l, nil
}

// putEntry creates the lease's queue entry, and the task's config if there is none yet. A transaction whose
// conditions fail is no error: the copy of the store shows what is there.
func (r *Runner) putEntry(ctx context.Context, l *Lease, sessionID uint64) error {
	task := l.claim.Task
	r.mu.Lock()
	slots := r.table.Slots(task)
	r.mu.Unlock()
	if slots != 0 && slots != l.claim.Slots {
		return fmt.Errorf("%w: %d, and not %d", lease.ErrSlotsMismatch, slots, l.claim.Slots)
	}
	record := lease.QueueRecord{Session: sessionID, TTLMillis: l.claim.TTL.Milliseconds(), Note: l.claim.Note}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	txn := &store.Txn{
		Owner:     r.cfg.Host,
		If:        []store.Compare{{Key: l.key}},
		Then:      []store.Op{{Key: l.key, Value: value, LeaseID: sessionID}},
		KeyLimits: []store.KeyLimit{{Prefix: lease.QueuePrefix + task + "/", MaxKeys: lease.MaxQueueEntries}},
	}
	if slots == 0 {
		config, err := json.Marshal(lease.TaskConfig{Slots: l.claim.Slots})
		if err != nil {
			return err
		}
		key := lease.TaskConfigPrefix + task
		txn.If = append(txn.If, store.Compare{Key: key})
		txn.Then = append(txn.Then, store.Op{Key: key, Value: config})
		txn.KeyLimits = append(txn.KeyLimits, store.KeyLimit{Prefix: lease.TaskConfigPrefix, MaxKeys: lease.MaxTasks})
	}
	ctx, cancel := context.WithTimeout(ctx, max(l.claim.TTL/2, minEntryTimeout))
	defer cancel()
	_, err = r.store.Do(ctx, store.Command{Txn: txn})
	return err
}

// removeEntry deletes a queue entry.
func (r *Runner) removeEntry(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	txn := &store.Txn{Owner: r.cfg.Host, Then: []store.Op{{Key: key, Delete: true}}}
	_, err := r.store.Do(ctx, store.Command{Txn: txn})
	return err
}
