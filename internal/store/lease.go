package store

import (
	"cmp"
	"slices"
)

// Lease is a lease to which keys can be attached. If it is not renewed for its TTL, it ends and its keys are deleted.
// Only the leader measures that time, by its own clock; the state has the TTL, and a lease ends in it by RevokeLease.
type Lease struct {
	ID        uint64 `cbor:"1,keyasint" json:"id"`
	TTLMillis uint64 `cbor:"2,keyasint" json:"ttl_ms"`
	Renewals  uint64 `cbor:"3,keyasint,omitempty" json:"renewed"` // number of renewals since the grant

	// Owner is the only client that may renew and revoke the lease. If it is empty, any client may.
	Owner string `cbor:"4,keyasint,omitempty" json:"owner,omitempty"`
}

// lease is a Lease with the keys that are attached to it.
type lease struct {
	Lease
	keys map[string]struct{}
}

func newLease(l Lease) *lease { return &lease{Lease: l, keys: map[string]struct{}{}} }

// Leases returns the leases that have not ended, sorted by ID. A partial copy has only the leases of its keys.
func (s *State) Leases() []Lease {
	s.subset.track(rangeInterest("", ""))
	leases := make([]Lease, 0, len(s.leases))
	for _, l := range s.leases {
		leases = append(leases, l.Lease)
	}
	slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.ID, b.ID) })
	return leases
}

// Lease returns the lease with an ID and whether there is one that has not ended.
func (s *State) Lease(id uint64) (Lease, bool) {
	s.subset.track(rangeInterest("", ""))
	l, ok := s.leases[id]
	if !ok {
		return Lease{}, false
	}
	return l.Lease, true
}

func (s *State) grantLease(grant *GrantLease) Result {
	if len(s.leases) >= s.limits.Leases {
		return Result{Err: ErrFull}
	}
	s.lastID++
	s.leases[s.lastID] = newLease(Lease{ID: s.lastID, TTLMillis: grant.TTLMillis, Owner: grant.Owner})
	return Result{LeaseID: s.lastID}
}

func (s *State) renewLease(renew *RenewLease) Result {
	l := s.leases[renew.LeaseID]
	if l == nil || l.Owner != renew.Owner {
		return Result{Err: ErrLeaseNotFound}
	}
	l.Renewals++
	return Result{LeaseID: l.ID}
}

func (s *State) revokeLease(revoke *RevokeLease) Result {
	l := s.leases[revoke.LeaseID]
	if l == nil {
		return Result{Err: ErrLeaseNotFound}
	}
	if revoke.Expired && l.Renewals != revoke.Renewals {
		return Result{LeaseID: l.ID}
	}
	if !revoke.Expired && l.Owner != revoke.Owner {
		return Result{Err: ErrLeaseNotFound}
	}
	s.endLease(l)
	return Result{LeaseID: l.ID}
}

// endLease deletes a lease and, at one new revision, its keys.
func (s *State) endLease(l *lease) {
	delete(s.leases, l.ID)
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	revision := s.revision + 1
	for _, key := range keys {
		s.remove(revision, key)
	}
}
