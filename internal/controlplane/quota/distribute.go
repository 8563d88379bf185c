package quota

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// limitAllocation is the allocation of one limit under way.
type limitAllocation struct {
	*Allocator
	now       int64
	limit     *Limit
	keys      []string  // by node
	all       []Process // live and gone
	live      []Process
	cells     [][]cell // by node, and then as in live
	children  [][]int  // by node
	committed []Amount // by node, with its parts
	rotation  int64    // of the processes that take turns

	// blocked says that quotas of another generation are in use, so that no quota may grow.
	blocked bool
}

// cell is a live process's quota of a node.
type cell struct {
	committed Amount // counts as taken
	granted   Amount // by its present grant
	wanted    Amount
	inUse     Amount
	target    Amount // that it should be granted
}

// allocateLimit adds to grants what is to be changed of one limit. Quotas that are too large are reduced first; what is
// free, by what processes have acknowledged, is granted.
func (a *Allocator) allocateLimit(now int64, l *Limit, processes []Process, grants map[Process]Grant) {
	v := &limitAllocation{
		Allocator: a,
		now:       now,
		limit:     l,
		keys:      make([]string, len(l.Nodes)),
		all:       processes,
		children:  make([][]int, len(l.Nodes)),
		rotation:  now / rotationInterval,
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
			v.live = append(v.live, p)
		}
	}
	if len(v.live) == 0 {
		return
	}
	v.blocked = v.usesOtherGeneration()
	v.fillCells()
	if len(l.Nodes) > 1 && !v.anyDemand() {
		return
	}
	v.sumCommitted()
	short := v.distribute(0, l.Nodes[0].Capacity-v.committedToGone())
	v.writeGrants(short || v.scarce(), grants)
}

// usesOtherGeneration reports whether a process may still use a quota of another generation of the limit.
func (v *limitAllocation) usesOtherGeneration() bool {
	for _, p := range v.all {
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
		v.cells[node] = make([]cell, len(v.live))
		for i, p := range v.live {
			state := v.processes[p]
			demand := state.demand.Nodes[key]
			c := cell{
				committed: v.committedAmount(state, key),
				granted:   state.grant.Quotas[key].Amount,
				wanted:    demand.Wanted,
				inUse:     demand.InUse,
			}
			if c.granted == 0 && !v.knowsConfig(state) {
				c.wanted = 0 // its demand is not of this limit
			}
			v.cells[node][i] = c
		}
	}
}

// sumCommitted sums what is committed of each node and its parts, to live processes and others.
func (v *limitAllocation) sumCommitted() {
	v.committed = make([]Amount, len(v.limit.Nodes))
	for node, key := range v.keys {
		for i, p := range v.live {
			c := &v.cells[node][i]
			if v.ignored(v.now, v.processes[p]) {
				c.committed = 0
			}
			v.committed[node] += c.committed
		}
		for _, p := range v.all {
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

// anyDemand reports whether a live process wants or holds something of the limit.
func (v *limitAllocation) anyDemand() bool {
	for _, cells := range v.cells {
		if slices.ContainsFunc(cells, func(c cell) bool { return c.wanted > 0 || c.committed > 0 }) {
			return true
		}
	}
	return false
}

// committedToGone returns what is committed to processes that are gone.
func (v *limitAllocation) committedToGone() (sum Amount) {
	for _, p := range v.all {
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

// claim is what a part, or the processes of a node themselves, have a claim to.
type claim struct {
	wanted   Amount
	inUse    Amount
	allotted Amount
	weight   float64
}

// isShort reports whether an amount is less than what is wanted by more than a fiftieth.
func isShort(amount, wanted Amount) bool { return amount < wanted-wanted/50 }

// ownClaim returns the claim of a node's processes, without its parts.
func (v *limitAllocation) ownClaim(node int) claim {
	own := claim{weight: 1}
	for _, c := range v.cells[node] {
		own.wanted += max(c.wanted, c.inUse)
		own.inUse += c.inUse
	}
	return own
}

// claim returns the claim of a node with its parts, within its capacity.
func (v *limitAllocation) claim(node int) claim {
	total := v.ownClaim(node)
	total.weight = v.limit.Nodes[node].Weight
	for _, child := range v.children[node] {
		part := v.claim(child)
		total.wanted += part.wanted
		total.inUse += part.inUse
	}
	if v.defect != IgnoreParts {
		total.wanted = min(total.wanted, v.limit.Nodes[node].Capacity)
	}
	return total
}

// distribute divides an amount among a node's own processes and its parts: what is in use first, then guarantees,
// then by weight. It reports whether anybody gets less than it wants.
func (v *limitAllocation) distribute(node int, amount Amount) (short bool) {
	amount = max(0, amount)
	if v.defect != IgnoreParts || node == 0 {
		amount = min(amount, v.limit.Nodes[node].Capacity)
	}
	children := v.children[node]
	claims := make([]claim, 0, len(children)+1)
	for _, child := range children {
		claims = append(claims, v.claim(child))
	}
	claims = append(claims, v.ownClaim(node))
	own := &claims[len(children)]

	allot := func(c *claim, wanted Amount) {
		allotted := max(0, min(wanted, amount))
		c.allotted += allotted
		amount -= allotted
	}
	for i := range claims {
		allot(&claims[i], claims[i].inUse)
	}
	for i, child := range children {
		c := &claims[i]
		allot(c, min(v.limit.Nodes[child].Guaranteed, c.wanted)-c.allotted)
	}
	for i, extra := range fairExtras(amount, claims) {
		c := &claims[i]
		allot(c, extra)
		short = short || isShort(c.allotted, c.wanted)
	}
	if !short && amount > 0 { // what nobody wants is lent to where it may be wanted next
		for i, child := range children {
			allot(&claims[i], v.limit.Nodes[child].Guaranteed-claims[i].allotted)
		}
		allot(own, amount)
	}
	for i, child := range children {
		partShort := v.distribute(child, claims[i].allotted)
		short = short || partShort
	}
	ownShort := v.distributeToProcesses(node, own.allotted)
	return short || ownShort
}

// fairExtras divides an amount by weight among claims that have less than they want.
func fairExtras(amount Amount, claims []claim) []Amount {
	missing := make([]Amount, len(claims))
	weights := make([]float64, len(claims))
	for i, c := range claims {
		missing[i] = max(0, c.wanted-c.allotted)
		weights[i] = c.weight
	}
	return maxMinFair(amount, missing, weights)
}

// distributeToProcesses sets the targets of a node's processes within an amount. It reports whether a process gets less
// than it wants.
func (v *limitAllocation) distributeToProcesses(node int, amount Amount) (short bool) {
	cells := v.cells[node]
	amount = v.limit.roundDown(amount)
	missing := make([]Amount, len(cells))
	for i := range cells {
		c := &cells[i]
		c.target = min(c.inUse, amount)
		amount -= c.target
		missing[i] = max(0, c.wanted-c.target)
	}
	distributed := amount // beyond what is in use
	for i, extra := range maxMinFair(amount, missing, nil) {
		extra = v.limit.roundDown(extra)
		cells[i].target += extra
		amount -= extra
		short = short || isShort(extra, missing[i])
	}
	amount = v.rotateUselessQuotas(cells, amount)
	if amount > 0 {
		v.lend(cells, amount, distributed-amount)
	}
	return short
}

// rotateUselessQuotas takes quotas by which no request is ever admitted, and gives useful ones to as many of those
// processes as possible, by lot and in turns. It returns the amount that is left.
func (v *limitAllocation) rotateUselessQuotas(cells []cell, amount Amount) Amount {
	minUseful := v.limit.minUseful()
	var useless []int
	for i := range cells {
		c := &cells[i]
		if c.wanted > 0 && c.target < minUseful && c.inUse == 0 {
			amount += c.target
			c.target = 0
			useless = append(useless, i)
		}
	}
	slices.SortFunc(useless, func(i, j int) int { return cmp.Compare(v.lot(v.live[i]), v.lot(v.live[j])) })
	for _, i := range useless {
		if amount < minUseful {
			break
		}
		cells[i].target = minUseful
		amount -= minUseful
	}
	return amount
}

// lot returns the process's place among those that take turns.
func (v *limitAllocation) lot(p Process) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%v %d", p, v.rotation))
}

// lend adds an amount that nobody wants to targets: three quarters in proportion to targets, since demand is
// uneven, and the rest in equal parts, so that a process that was idle has a quota at once. The sum of targets
// beyond what is in use is distributed.
func (v *limitAllocation) lend(cells []cell, amount, distributed Amount) {
	proportional := amount / 4 * 3
	for i := range cells {
		c := &cells[i]
		if distributed <= 0 || c.target <= 0 {
			continue
		}
		extra := min(Amount(float64(proportional)*float64(c.target)/float64(distributed)), amount)
		extra = v.limit.roundDown(extra)
		c.target += extra
		amount -= extra
	}
	equal := v.limit.roundDown(amount / Amount(len(cells)))
	if equal < v.limit.minUseful() {
		return
	}
	for i := range cells {
		cells[i].target = max(cells[i].target, equal)
	}
}
