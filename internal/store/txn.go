package store

import "strings"

func (s *State) applyTxn(txn *Txn) Result {
	succeeded := s.compareAll(txn.If)
	ops := txn.Then
	if !succeeded {
		ops = txn.Else
	}
	// All checks precede the first change, so that a transaction that fails changes nothing. They do not subtract the
	// keys and bytes that the transaction itself deletes.
	if err := s.checkOps(txn, ops); err != nil {
		return Result{Succeeded: succeeded, Err: err}
	}
	revision := s.revision + 1
	for _, op := range ops {
		s.applyOp(revision, op)
	}
	return Result{Succeeded: succeeded}
}

func (s *State) compareAll(comparisons []Compare) bool {
	for _, comparison := range comparisons {
		var modRevision uint64
		if item, ok := s.items.Get(&Item{Key: comparison.Key}); ok {
			modRevision = item.ModRevision
		}
		if modRevision != comparison.ModRevision {
			return false
		}
	}
	return true
}

// checkOps returns ErrFull if the operations would exceed a key limit or Limits.TotalBytes, and ErrLeaseNotFound if
// they attach a key to a lease that does not exist or, if the transaction has an owner, is not owned by it.
func (s *State) checkOps(txn *Txn, ops []Op) error {
	for _, limit := range txn.KeyLimits {
		if s.exceedsKeyLimit(limit, ops) {
			return ErrFull
		}
	}
	addedBytes := 0
	for _, op := range ops {
		if op.Delete {
			continue
		}
		if !s.mayAttach(op.LeaseID, txn.Owner) {
			return ErrLeaseNotFound
		}
		addedBytes += len(op.Key) + len(op.Value) + itemOverheadBytes
		if old, ok := s.items.Get(&Item{Key: op.Key}); ok {
			addedBytes -= old.size()
		}
	}
	if addedBytes > 0 && s.size+addedBytes > s.limits.TotalBytes {
		return ErrFull
	}
	return nil
}

// mayAttach reports whether a transaction of an owner may attach a key to a lease. leaseID 0 stands for no lease, and
// an empty owner may use any lease that exists.
func (s *State) mayAttach(leaseID uint64, owner string) bool {
	if leaseID == 0 {
		return true
	}
	l, ok := s.leases[leaseID]
	return ok && (owner == "" || l.Owner == owner)
}

// exceedsKeyLimit reports whether the operations would create a key with the limit's prefix so that there are more than
// MaxKeys of them. Where MaxKeys was lowered below the present number of keys, existing keys can still be put.
func (s *State) exceedsKeyLimit(limit KeyLimit, ops []Op) bool {
	added := 0
	for _, op := range ops {
		if op.Delete || !strings.HasPrefix(op.Key, limit.Prefix) {
			continue
		}
		if _, ok := s.items.Get(&Item{Key: op.Key}); !ok {
			added++
		}
	}
	if added == 0 {
		return false
	}
	keys := added
	s.Range(limit.Prefix, PrefixEnd(limit.Prefix), func(Item) bool {
		keys++
		return keys <= limit.MaxKeys
	})
	return keys > limit.MaxKeys
}

func (s *State) applyOp(revision uint64, op Op) {
	switch {
	case !op.Delete:
		s.put(revision, op)
	case op.RangeEnd == "":
		s.remove(revision, op.Key)
	default:
		s.removeRange(revision, op.Key, op.RangeEnd)
	}
}

func (s *State) put(revision uint64, op Op) {
	item := &Item{
		Key: op.Key, Value: op.Value, CreateRevision: revision, ModRevision: revision, Version: 1, LeaseID: op.LeaseID,
	}
	if old, ok := s.items.Get(item); ok {
		item.CreateRevision, item.Version = old.CreateRevision, old.Version+1
		s.size -= old.size()
		s.detachFromLease(old)
	}
	if l := s.leases[item.LeaseID]; l != nil {
		l.keys[item.Key] = struct{}{}
	}
	s.size += item.size()
	s.items.ReplaceOrInsert(item)
	s.recordEvent(Event{Revision: revision, Item: *item})
}

func (s *State) remove(revision uint64, key string) {
	old, ok := s.items.Delete(&Item{Key: key})
	if !ok {
		return
	}
	s.size -= old.size()
	s.detachFromLease(old)
	s.recordEvent(Event{Revision: revision, Deleted: true, Item: Item{Key: key}})
}

func (s *State) removeRange(revision uint64, from, end string) {
	var keys []string
	s.Range(from, end, func(i Item) bool {
		keys = append(keys, i.Key)
		return true
	})
	for _, key := range keys {
		s.remove(revision, key)
	}
}

// detachFromLease removes an item's key from the keys of its lease, if it is attached to one.
func (s *State) detachFromLease(item *Item) {
	if l := s.leases[item.LeaseID]; l != nil {
		delete(l.keys, item.Key)
	}
}
