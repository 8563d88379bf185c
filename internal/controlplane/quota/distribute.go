package quota

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// limitAllocation is the state of Allocate for one limit. It is used for a single allocation.
type limitAllocation struct {
	*Allocator
	now           int64
	limit         *Limit
	keys          []string  // by node
	allProcesses  []Process // live and departed
	liveProcesses []Process
	cells         [][]cell // by node, and then by the index in liveProcesses
	children      [][]int  // by node
	committed     []Amount // by node, including its parts
	rotation      int64    // number of the current turn, for processes that take turns

	// increasesBlocked is set while a process may still use quotas of another generation. No quota is raised until
	// then.
	increasesBlocked bool
}

// cell holds the quota of one node for one live process.
type cell struct {
	committed Amount // see Allocator.committedAmount
	granted   Amount // by its newest grant
	wanted    Amount // as last reported
	inUse     Amount // as last reported
	target    Amount // the quota that it should have
}

// allocateLimit adds the changes of one limit's quotas to grants. Quotas that are too large are reduced first. Only
// what is free, given what processes have acknowledged, is granted to others.
func (a *Allocator) allocateLimit(now int64, l *Limit, processes []Process, grants map[Process]Grant) {
	v := &limitAllocation{
		Allocator:    a,
		now:          now,
		limit:        l,
		keys:         make([]string, len(l.Nodes)),
		allProcesses: processes,
		children:     make([][]int, len(l.Nodes)),
		rotation:     now / rotationInterval,
	}
	for node := range l.Nodes {
		v.keys[node] = l.Key(node)
		if node > 0 {
			parent := l.Nodes[node].Parent
			v.children[parent] = append(v.children[parent], node)
		}
	}
	for _, p := range processes {
		if a.processes[p].alive {
			v.liveProcesses = append(v.liveProcesses, p)
		}
	}
	if len(v.liveProcesses) == 0 {
		return
	}
	v.increasesBlocked = v.usesOtherGeneration()
	v.fillCells()
	if len(l.Nodes) > 1 && !v.anyDemand() {
		return
	}
	v.sumCommitted()
	unmetDemand := v.distribute(0, l.Nodes[0].Capacity-v.committedToDeparted())
	v.writeGrants(unmetDemand || v.headroomInsufficient(), grants)
}

// usesOtherGeneration reports whether a process may still use a quota of another generation of the limit.
func (v *limitAllocation) usesOtherGeneration() bool {
	for _, p := range v.allProcesses {
		state := v.processes[p]
		if v.ignored(v.now, state) || state.alive && v.knowsConfig(state) {
			continue
		}
		for key, quota := range state.grant.Quotas {
			otherGeneration := limitNameOf(key) == v.limit.Name && !strings.HasPrefix(key, v.keys[0])
			if otherGeneration && (quota.Amount > 0 || quota.Previous > 0) {
				return true
			}
		}
	}
	return false
}

// knowsConfig reports whether a process enforces the limits in force.
func (a *Allocator) knowsConfig(state *processState) bool {
	return state.demand.ConfigVersion >= a.config.Version
}

func (v *limitAllocation) fillCells() {
	v.cells = make([][]cell, len(v.limit.Nodes))
	for node, key := range v.keys {
		v.cells[node] = make([]cell, len(v.liveProcesses))
		for i, p := range v.liveProcesses {
			state := v.processes[p]
			demand := state.demand.Nodes[key]
			c := cell{
				committed: v.committedAmount(state, key),
				granted:   state.grant.Quotas[key].Amount,
				wanted:    demand.Wanted,
				inUse:     demand.InUse,
			}
			if c.granted == 0 && !v.knowsConfig(state) {
				c.wanted = 0 // its demand may be for another generation of the limit
			}
			v.cells[node][i] = c
		}
	}
}

// sumCommitted sums what is committed of each node and its parts, to live and departed processes.
func (v *limitAllocation) sumCommitted() {
	v.committed = make([]Amount, len(v.limit.Nodes))
	for node, key := range v.keys {
		for i, p := range v.liveProcesses {
			c := &v.cells[node][i]
			if v.ignored(v.now, v.processes[p]) {
				c.committed = 0
			}
			v.committed[node] += c.committed
		}
		for _, p := range v.allProcesses {
			state := v.processes[p]
			if !state.alive && !v.ignored(v.now, state) && v.defect != ForgetSilent {
				v.committed[node] += v.committedAmount(state, key)
			}
		}
	}
	for node := len(v.limit.Nodes) - 1; node > 0; node-- {
		v.committed[v.limit.Nodes[node].Parent] += v.committed[node]
	}
}

// anyDemand reports whether a live process wants some of the limit, or has some committed to it.
func (v *limitAllocation) anyDemand() bool {
	for _, cells := range v.cells {
		if slices.ContainsFunc(cells, func(c cell) bool { return c.wanted > 0 || c.committed > 0 }) {
			return true
		}
	}
	return false
}

// committedToDeparted returns how much of the limit, with all its parts, is committed to departed processes.
func (v *limitAllocation) committedToDeparted() (sum Amount) {
	for _, p := range v.allProcesses {
		state := v.processes[p]
		if state.alive {
			continue
		}
		for _, key := range v.keys {
			sum += v.committedAmount(state, key)
		}
	}
	return sum
}

// claimant is one of those among which a node's amount is divided: one of its parts, or its own processes together,
// whose requests are in no part.
type claimant struct {
	wanted    Amount
	inUse     Amount
	allocated Amount
	weight    float64
}

// isUnmet reports whether an amount falls short of what is wanted by more than a fiftieth.
func isUnmet(amount, wanted Amount) bool { return amount < wanted-wanted/50 }

// ownClaimant returns the claimant for the node's own processes, without its parts.
func (v *limitAllocation) ownClaimant(node int) claimant {
	own := claimant{weight: 1}
	for _, c := range v.cells[node] {
		own.wanted += max(c.wanted, c.inUse)
		own.inUse += c.inUse
	}
	return own
}

// subtreeClaimant returns the claimant for a node with all its parts. It wants no more than the node's capacity.
func (v *limitAllocation) subtreeClaimant(node int) claimant {
	total := v.ownClaimant(node)
	total.weight = v.limit.Nodes[node].Weight
	for _, child := range v.children[node] {
		part := v.subtreeClaimant(child)
		total.wanted += part.wanted
		total.inUse += part.inUse
	}
	if v.defect != IgnoreParts {
		total.wanted = min(total.wanted, v.limit.Nodes[node].Capacity)
	}
	return total
}

// distribute sets the targets of all processes in a node and its parts, within an amount. It divides the amount among
// the node's own processes and its parts: first they get what is in use, then the guarantees, then the rest by weight.
// It reports whether any process gets less than it wants.
func (v *limitAllocation) distribute(node int, amount Amount) (unmetDemand bool) {
	amount = max(0, amount)
	if v.defect != IgnoreParts || node == 0 {
		amount = min(amount, v.limit.Nodes[node].Capacity)
	}
	children := v.children[node]
	claimants := make([]claimant, 0, len(children)+1)
	for _, child := range children {
		claimants = append(claimants, v.subtreeClaimant(child))
	}
	claimants = append(claimants, v.ownClaimant(node))
	own := &claimants[len(children)]

	allocate := func(c *claimant, wanted Amount) {
		added := max(0, min(wanted, amount))
		c.allocated += added
		amount -= added
	}
	for i := range claimants {
		allocate(&claimants[i], claimants[i].inUse)
	}
	for i, child := range children {
		c := &claimants[i]
		allocate(c, min(v.limit.Nodes[child].Guaranteed, c.wanted)-c.allocated)
	}
	for i, extra := range fairShares(amount, claimants) {
		c := &claimants[i]
		allocate(c, extra)
		unmetDemand = unmetDemand || isUnmet(c.allocated, c.wanted)
	}
	if !unmetDemand && amount > 0 { // lends the surplus, so that new demand finds a quota
		for i, child := range children {
			allocate(&claimants[i], v.limit.Nodes[child].Guaranteed-claimants[i].allocated)
		}
		allocate(own, amount)
	}
	for i, child := range children {
		partUnmet := v.distribute(child, claimants[i].allocated)
		unmetDemand = unmetDemand || partUnmet
	}
	ownUnmet := v.distributeToProcesses(node, own.allocated)
	return unmetDemand || ownUnmet
}

// fairShares divides an amount by weight among claimants that have less than they want. It returns the addition for
// each.
func fairShares(amount Amount, claimants []claimant) []Amount {
	unmet := make([]Amount, len(claimants))
	weights := make([]float64, len(claimants))
	for i, c := range claimants {
		unmet[i] = max(0, c.wanted-c.allocated)
		weights[i] = c.weight
	}
	return maxMinFair(amount, unmet, weights)
}

// distributeToProcesses sets the targets of a node's own processes within an amount. It reports whether any of them
// gets less than it wants.
func (v *limitAllocation) distributeToProcesses(node int, amount Amount) (unmetDemand bool) {
	cells := v.cells[node]
	amount = v.limit.roundDown(amount)
	unmet := make([]Amount, len(cells))
	for i := range cells {
		c := &cells[i]
		c.target = min(c.inUse, amount)
		amount -= c.target
		unmet[i] = max(0, c.wanted-c.target)
	}
	available := amount // what is left beyond the amounts in use
	for i, extra := range maxMinFair(amount, unmet, nil) {
		extra = v.limit.roundDown(extra)
		cells[i].target += extra
		amount -= extra
		unmetDemand = unmetDemand || isUnmet(extra, unmet[i])
	}
	amount = v.rotateUselessQuotas(cells, amount)
	if amount > 0 {
		v.lend(cells, amount, available-amount)
	}
	return unmetDemand
}

// rotateUselessQuotas takes back targets that are too small to admit any request, and gives targets of minUsefulAmount
// to as many of those processes as possible. They take turns in a pseudorandom order that changes with the rotation. It
// returns the amount that is left.
func (v *limitAllocation) rotateUselessQuotas(cells []cell, amount Amount) Amount {
	minUseful := v.limit.minUsefulAmount()
	var useless []int
	for i := range cells {
		c := &cells[i]
		if c.wanted > 0 && c.target < minUseful && c.inUse == 0 {
			amount += c.target
			c.target = 0
			useless = append(useless, i)
		}
	}
	slices.SortFunc(useless, func(i, j int) int {
		return cmp.Compare(v.rotationRank(v.liveProcesses[i]), v.rotationRank(v.liveProcesses[j]))
	})
	for _, i := range useless {
		if amount < minUseful {
			break
		}
		cells[i].target = minUseful
		amount -= minUseful
	}
	return amount
}

// rotationRank returns the sort key of a process among those that take turns in the current rotation.
func (v *limitAllocation) rotationRank(p Process) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%v %d", p, v.rotation))
}

// lend adds an amount that no process wants to the targets: three quarters in proportion to targets, since demand is
// uneven, and the rest in equal parts, so that a process that was idle has a quota as soon as it gets requests.
// extraSum is the sum of the targets beyond the amounts in use.
func (v *limitAllocation) lend(cells []cell, amount, extraSum Amount) {
	proportional := amount / 4 * 3
	for i := range cells {
		c := &cells[i]
		if extraSum <= 0 || c.target <= 0 {
			continue
		}
		extra := min(Amount(float64(proportional)*float64(c.target)/float64(extraSum)), amount)
		extra = v.limit.roundDown(extra)
		c.target += extra
		amount -= extra
	}
	equal := v.limit.roundDown(amount / Amount(len(cells)))
	if equal < v.limit.minUsefulAmount() {
		return
	}
	for i := range cells {
		cells[i].target = max(cells[i].target, equal)
	}
}
