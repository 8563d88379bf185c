package store

// MaxRevision bounds the revisions and IDs that Reinitialize sets. Below it, readers of JSON that use floating-point
// numbers represent them exactly.
const MaxRevision = 1 << 52

// Reinitialize turns a loaded state into that of a new cluster, for a restore from a snapshot. It removes the members,
// the leases with their keys, and the cached results, because the replicas and clients of the old cluster cannot reach
// the new one.
//
// Revisions and IDs continue from floor, which is capped at MaxRevision, unless they are higher already. The old
// cluster may have continued after the state was saved, so floor must be above every revision and ID that it can have
// reached. Otherwise a watch could see a revision twice and a fencing token could be issued twice. If the revision is
// raised, the history is discarded as compacted.
func (s *State) Reinitialize(cluster, floor uint64) {
	for _, l := range s.Leases() {
		s.endLease(s.leases[l.ID])
	}
	s.cluster, s.members, s.index, s.results = cluster, nil, 0, results{}
	floor = min(floor, MaxRevision)
	s.lastID = max(s.lastID, floor)
	if s.revision < floor {
		s.revision, s.history = floor, ring[Event]{lastDropped: floor}
	}
}

// Seed puts a key into a state between Reinitialize and the first use of the state. It attaches the key to a new lease,
// which no client can renew because its owner is the key and not a client.
func (s *State) Seed(key string, value []byte, ttlMillis uint64) {
	s.lastID++
	s.leases[s.lastID] = newLease(Lease{ID: s.lastID, TTLMillis: ttlMillis, Owner: key})
	s.put(s.revision+1, Op{Key: key, Value: value, LeaseID: s.lastID})
}
