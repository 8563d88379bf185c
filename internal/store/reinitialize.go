package store

// MaxRevision bounds the revisions and IDs that Reinitialize sets, so that readers of JSON represent them exactly.
const MaxRevision = 1 << 52

// Reinitialize turns a loaded state into that of a new cluster without members, leases or cached results: the clients
// of the old cluster cannot reach the new one.
//
// Revisions and IDs continue at floor or above, up to MaxRevision. The old cluster may have gone on after the state
// was saved, so floor must be above all revisions and IDs that it can have reached: no watch sees a revision twice
// then, and no fencing token is issued twice. The history before floor is compacted.
func (s *State) Reinitialize(cluster, floor uint64) {
	for _, l := range s.Leases() {
		s.endLease(s.leases[l.ID])
	}
	s.cluster, s.members, s.index, s.results = cluster, nil, 0, results{}
	floor = min(floor, MaxRevision)
	s.lastID = max(s.lastID, floor)
	if s.revision < floor {
		s.revision, s.history = floor, ring[Event]{oldest: floor}
	}
}

// Seed puts a key into a state after Reinitialize, before the state is used. The key has a lease of its own with a
// TTL in milliseconds, which cannot be renewed because its owner is no client.
func (s *State) Seed(key string, value []byte, ttlMillis uint64) {
	s.lastID++
	s.leases[s.lastID] = newLease(Lease{ID: s.lastID, TTLMillis: ttlMillis, Owner: key})
	s.put(s.revision+1, Op{Key: key, Value: value, LeaseID: s.lastID})
}
