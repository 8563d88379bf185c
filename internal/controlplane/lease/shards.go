package lease

import "github.com/cespare/xxhash/v2"

// AssignedShards says which of n shards a member is to want, by rendezvous hashing (Thaler and Ravishankar, 1998) with a bound on each
// one's load: all members reckon the same, and when one comes or goes few shards move. Members are in any order, without doubles;
// the answer is sorted.
//
// It is a wish alone. That no shard is held twice is by a lease for each: who is to give one away releases it, and who is to have
// it waits for its place.
func AssignedShards(task string, n int, members []string, me string) []int {
	if len(members) == 0 || n <= 0 {
		return nil
	}
	most := (n + len(members) - 1) / len(members)
	load := make(map[string]int, len(members))
	var mine []int
	for shard := range n {
		best, top := "", uint64(0)
		for _, m := range members {
			if load[m] >= most {
				continue
			}
			if w := xxhash.Sum64String(task + "\x00" + m + "\x00" + string(rune(shard))); best == "" || w > top || w == top && m < best {
				best, top = m, w
			}
		}
		load[best]++
		if best == me {
			mine = append(mine, shard)
		}
	}
	return mine
}
