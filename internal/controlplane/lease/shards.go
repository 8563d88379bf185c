package lease

import "github.com/cespare/xxhash/v2"

// AssignedShards returns the numbers of the shards of a task, of shardCount in all, that the member named self must
// claim, in ascending order. It uses rendezvous hashing (Thaler and Ravishankar, 1998) with a maximum number of
// shards a member: all members compute the same assignment, and few shards move when a member joins or leaves.
// Members may be in any order and must be distinct.
//
// An assignment alone does not entitle a member to act on a shard. Each shard has a lease of its own, which keeps two
// members from holding it: the member that had the shard releases the lease, and the new one waits for it in the queue.
func AssignedShards(task string, shardCount int, members []string, self string) []int {
	if len(members) == 0 || shardCount <= 0 {
		return nil
	}
	maxShardsPerMember := (shardCount + len(members) - 1) / len(members)
	shardsOfMember := make(map[string]int, len(members))
	var assigned []int
	for shard := range shardCount {
		owner, highestWeight := "", uint64(0)
		for _, member := range members {
			if shardsOfMember[member] >= maxShardsPerMember {
				continue
			}
			weight := xxhash.Sum64String(task + "\x00" + member + "\x00" + string(rune(shard)))
			if owner == "" || weight > highestWeight || weight == highestWeight && member < owner {
				owner, highestWeight = member, weight
			}
		}
		shardsOfMember[owner]++
		if owner == self {
			assigned = append(assigned, shard)
		}
	}
	return assigned
}
