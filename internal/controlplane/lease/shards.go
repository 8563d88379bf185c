package lease

import "github.com/cespare/xxhash/v2"

// AssignedShards returns, sorted, which of n shards of a task a member is to claim. It uses rendezvous hashing
// (Thaler and Ravishankar, 1998) with a bound on each member's load: all members compute the same assignment, and
// few shards move when one joins or leaves. Members may be in any order and must be distinct.
//
// An assignment grants nothing. Each shard has a lease of its own, which keeps two members from holding it: the one
// that is to give it up releases it, and the one that is to have it waits in the queue.
func AssignedShards(task string, n int, members []string, self string) []int {
	if len(members) == 0 || n <= 0 {
		return nil
	}
	maxLoad := (n + len(members) - 1) / len(members)
	load := make(map[string]int, len(members))
	var assigned []int
	for shard := range n {
		owner, highest := "", uint64(0)
		for _, member := range members {
			if load[member] >= maxLoad {
				continue
			}
			weight := xxhash.Sum64String(task + "\x00" + member + "\x00" + string(rune(shard)))
			if owner == "" || weight > highest || weight == highest && member < owner {
				owner, highest = member, weight
			}
		}
		load[owner]++
		if owner == self {
			assigned = append(assigned, shard)
		}
	}
	return assigned
}
