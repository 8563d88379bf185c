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
	maxNoteBytes    = 256         // of a claim's note and of a stored error
	nonceBytes      = 8           // random bytes in the keys of the queue entries of one acquisition
	minEntryTimeout = time.Second // minimum timeout of the transaction that creates a queue entry
)

// Claim describes a lease to acquire with Runner.Acquire.
type Claim struct {
	Task  string
	Slots int           // how many leases of the task may be held at once; all claims of a task must agree. 0: one
	TTL   time.Duration // of the session: if this daemon stops renewing, another may hold the task after this time
	Note  string        // shown to operators
}

// check sets the default of Slots and returns an error if a field other than TTL is invalid.
func (c *Claim) check() error {
	if err := lease.CheckName(c.Task); err != nil {
		return fmt.Errorf("%q: %w", c.Task, err)
	}
	if c.Slots == 0 {
		c.Slots = 1
	}
	if c.Slots < 1 || c.Slots > lease.MaxSlots {
		return fmt.Errorf("slots: %d is not between 1 and %d", c.Slots, lease.MaxSlots)
	}
	if len(c.Note) > maxNoteBytes {
		return fmt.Errorf("the note is longer than %d bytes", maxNoteBytes)
	}
	return nil
}

// Acquire waits in the task's queue until this daemon holds the task, and returns the lease, which the caller must
// release. It returns an error if the claim is invalid, if ctx ends or if the Runner is closed first. If onWait is not
// nil, Acquire calls it when the number of queue entries that must leave the queue first has changed, and whenever
// something else delays the acquisition, with the reason. The number is -1 while the claim has no queue entry. onWait
// must not block.
func (r *Runner) Acquire(ctx context.Context, claim Claim, onWait func(ahead int, reason error)) (*Lease, error) {
	if err := claim.check(); err != nil {
		return nil, err
	}
	var nonce [nonceBytes]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return nil, err
	}
	s, err := r.joinSession(claim.TTL)
	if err != nil {
		return nil, err
	}
	l := &Lease{runner: r, claim: claim, session: s}
	w := waiter{lease: l, nonce: hex.EncodeToString(nonce[:]), onWait: onWait, lastAhead: -1, retryDelay: minRetryDelay}
	if err := w.wait(ctx); err != nil {
		l.Release()
		return nil, err
	}
	return l, nil
}

// putEntry creates the lease's queue entry, bound to the session with sessionID, and the task's config if the copy of
// the store shows none. A transaction whose conditions fail is not an error: the key exists already, and the copy
// will show it.
func (r *Runner) putEntry(ctx context.Context, l *Lease, sessionID uint64) error {
	task := l.claim.Task
	r.mu.Lock()
	slots := r.table.Slots(task)
	r.mu.Unlock()
	if slots != 0 && slots != l.claim.Slots {
		return fmt.Errorf("%w: %d, and the claim has %d", lease.ErrSlotsMismatch, slots, l.claim.Slots)
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

// removeEntry deletes a queue entry of this daemon from the store.
func (r *Runner) removeEntry(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	txn := &store.Txn{Owner: r.cfg.Host, Then: []store.Op{{Key: key, Delete: true}}}
	_, err := r.store.Do(ctx, store.Command{Txn: txn})
	return err
}
