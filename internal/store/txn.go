package store

import "strings"

func (s *State) applyTxn(t *Txn) Result {
	succeeded := s.compareAll(t.If)
	ops := t.Then
	if !succeeded {
		ops = t.Else
	}
	// Whatever can fail is checked before the first change. Space that the transaction's own deletions free does not
	// count.
	if err := s.checkOps(t, ops); err != nil {
		return Result{Succeeded: succeeded, Err: err}
	}
	revision := s.revision + 1
	for _, o := range ops {
		s.applyOp(revision, o)
	}
	return Result{Succeeded: succeeded}
}

func (s *State) compareAll(comparisons []Compare) bool {
	for _, cmp := range comparisons {
		var modRevision uint64
		if i, ok := s.items.Get(&Item{Key: cmp.Key}); ok {
			modRevision = i.ModRevision
		}
		if modRevision != cmp.ModRevision {
			return false
		}
	}
	return true
}

// checkOps returns ErrFull if the operations would exceed a key limit or the state's size, and ErrLeaseNotFound if they
// attach a key to a lease that does not exist or has another owner.
func (s *State) checkOps(t *Txn, ops []Op) error {
	for _, l := range t.KeyLimits {
		if s.exceeds(l, ops) {
			return ErrFull
		}
	}
	grown := 0
	for _, o := range ops {
		if o.Delete {
			continue
		}
		if !s.mayAttach(o.LeaseID, t.Owner) {
			return ErrLeaseNotFound
		}
		grown += len(o.Key) + len(o.Value) + itemOverheadBytes
		if old, ok := s.items.Get(&Item{Key: o.Key}); ok {
			grown -= old.size()
		}
	}
	if grown > 0 && s.size+grown > s.limits.TotalBytes {
		return ErrFull
	}
	return nil
}

// mayAttach reports whether a transaction of an owner may attach a key to a lease; 0 is no lease.
func (s *State) mayAttach(leaseID uint64, owner string) bool {
	if leaseID == 0 {
		return true
	}
	l, ok := s.leases[leaseID]
	return ok && (owner == "" || l.Owner == owner)
}

// exceeds reports whether the operations would leave more keys under a prefix than its limit. If the limit was lowered
// below the present number of keys, only new keys are rejected.
func (s *State) exceeds(l KeyLimit, ops []Op) bool {
	added := 0
	for _, o := range ops {
		if o.Delete || !strings.HasPrefix(o.Key, l.Prefix) {
			continue
		}
		if _, ok := s.items.Get(&Item{Key: o.Key}); !ok {
			added++
		}
	}
	if added == 0 {
		return false
	}
	keys := added
	s.Range(l.Prefix, PrefixEnd(l.Prefix), func(Item) bool {
		keys++
		return keys <= l.MaxKeys
	})
	return keys > l.MaxKeys
}

func (s *State) applyOp(revision uint64, o Op) {
	switch {
	case !o.Delete:
		s.put(revision, o)
	case o.RangeEnd == "":
		s.remove(revision, o.Key)
	default:
		s.removeRange(revision, o.Key, o.RangeEnd)
	}
}

func (s *State) put(revision uint64, o Op) {
	item := &Item{
		Key: o.Key, Value: o.Value, CreateRevision: revision, ModRevision: revision, Version: 1, LeaseID: o.LeaseID,
	}
	if old, ok := s.items.Get(item); ok {
		item.CreateRevision, item.Version = old.CreateRevision, old.Version+1
		s.size -= old.size()
		s.detach(old)
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
	s.detach(old)
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

// detach removes an item's key from its lease.
func (s *State) detach(i *Item) {
	if l := s.leases[i.LeaseID]; l != nil {
		delete(l.keys, i.Key)
	}
}
