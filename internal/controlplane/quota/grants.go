package quota

import (
	"maps"
	"strings"
)

// writeGrants adds to grants what moves the quotas of live processes to their targets. Reductions go first. If no
// demand is unmet, quotas above their targets stay, since no other process needs the amount.
func (v *limitAllocation) writeGrants(unmetDemand bool, grants map[Process]Grant) {
	for node := range v.limit.Nodes {
		for i, p := range v.liveProcesses {
			c := &v.cells[node][i]
			if c.target < c.granted && v.mayChange(p) && v.mustReduce(node, c, unmetDemand) {
				v.setQuota(node, p, c, c.target, grants)
			}
		}
	}
	if v.increasesBlocked {
		return
	}
	for node := range v.limit.Nodes {
		for i, p := range v.liveProcesses {
			c := &v.cells[node][i]
			if c.target <= c.granted || !v.mayChange(p) {
				continue
			}
			if amount := v.raisedAmount(node, c); amount > c.granted {
				v.setQuota(node, p, c, amount, grants)
			}
		}
	}
}

// mayChange reports whether the last change of a process's quotas is long enough ago for another. A process cannot
// acknowledge changes faster than it reports.
func (v *limitAllocation) mayChange(p Process) bool {
	interval := max(minChangeInterval, v.rules.reportInterval(len(v.liveProcesses)))
	return v.changedAt[p] == 0 || v.now-v.changedAt[p] >= interval
}

// minChange returns the smallest difference between a quota and its target for which the quota is changed.
func (v *limitAllocation) minChange(c *cell) Amount {
	relative := minRelativeChange
	if v.smallChangesAllowed {
		relative = minRelativeChange / 10
	}
	return Amount(relative * float64(c.granted))
}

// mustReduce reports whether a quota above its target is to be reduced in this allocation.
func (v *limitAllocation) mustReduce(node int, c *cell, unmetDemand bool) bool {
	if v.overcommitted(node) {
		return true
	}
	if !unmetDemand {
		return false
	}
	return c.target == 0 || c.granted-c.target >= v.minChange(c)
}

// raisedAmount returns the quota that a process below its target is to have: its granted one, or a larger one as far as
// there is headroom.
func (v *limitAllocation) raisedAmount(node int, c *cell) Amount {
	raise := c.target - c.granted
	if raise < v.minChange(c) {
		return c.granted
	}
	raise = min(raise, c.committed+v.headroom(node)-c.granted)
	if raise <= 0 {
		return c.granted
	}
	raise = v.limit.roundDown(raise)
	if c.granted+raise < v.limit.minUsefulAmount() {
		return c.granted
	}
	return c.granted + raise
}

// setQuota sets a process's quota of a node in its new grant, which it adds to grants if there is none yet. It counts
// what the new quota commits, so that headroom shrinks.
func (v *limitAllocation) setQuota(node int, p Process, c *cell, amount Amount, grants map[Process]Grant) {
	grant, ok := grants[p]
	if !ok {
		grant = v.renewedGrant(v.processes[p])
		grants[p] = grant
	}
	if v.defect == RoundUp {
		minUseful := v.limit.minUsefulAmount()
		amount = (amount + 2*minUseful - 1) / minUseful * minUseful
	}
	quota := Quota{Amount: amount, Previous: c.committed, Linger: v.limit.linger()}
	grant.Quotas[v.keys[node]] = quota.normalized()
	if amount > c.committed {
		for ancestor := range v.limit.pathToRoot(node) {
			v.committed[ancestor] += amount - c.committed
		}
	}
}

// normalized returns the quota with Previous set to 0 if it is not larger than Amount, and so does not count.
func (q Quota) normalized() Quota {
	if q.Previous <= q.Amount {
		q.Previous = 0
	}
	return q
}

// renewedGrant returns a copy of a process's grant as the basis of a new one. All that the process may still use counts
// as previous amounts until it acknowledges the new grant. Quotas of limits that are not in force are set to zero.
func (a *Allocator) renewedGrant(state *processState) Grant {
	grant := Grant{Quotas: maps.Clone(state.grant.Quotas)}
	if grant.Quotas == nil {
		grant.Quotas = map[string]Quota{}
	}
	for key, quota := range grant.Quotas {
		quota.Previous = a.committedAmount(state, key)
		if a.isStale(key) {
			quota.Amount = 0
			if a.knowsConfig(state) {
				quota.Previous = 0
			}
		}
		grant.Quotas[key] = quota.normalized()
	}
	return grant
}

// isStale reports whether a key belongs to no limit in force, or to another generation of one.
func (a *Allocator) isStale(key string) bool {
	l := a.config.Find(limitNameOf(key))
	return l == nil || !strings.HasPrefix(key, l.Key(0))
}

// headroomInsufficient reports whether processes below their targets need more than the headroom, so that quotas of
// other processes must be reduced.
func (v *limitAllocation) headroomInsufficient() bool {
	unmet := make([]Amount, len(v.limit.Nodes))
	for node := len(v.limit.Nodes) - 1; node >= 0; node-- {
		for _, c := range v.cells[node] {
			wanted := min(c.wanted, c.target)
			if wanted > c.granted+c.granted/20 {
				unmet[node] += wanted - c.committed
			}
		}
		if unmet[node] > v.headroom(node) {
			return true
		}
		if node > 0 {
			unmet[v.limit.Nodes[node].Parent] += max(0, unmet[node])
		}
	}
	return false
}

// overcommitted reports whether more than its capacity is committed of a node or of one of its ancestors.
func (v *limitAllocation) overcommitted(node int) bool {
	for ancestor := range v.limit.pathToRoot(node) {
		if v.committed[ancestor] > v.limit.Nodes[ancestor].Capacity {
			return true
		}
	}
	return false
}

// headroom returns by how much the quotas of a node may grow within its capacity and those of all its ancestors.
func (v *limitAllocation) headroom(node int) Amount {
	headroom := v.limit.Nodes[0].Capacity - v.committed[0]
	for ancestor := range v.limit.pathToRoot(node) {
		if ancestor == 0 || v.defect == IgnoreParts {
			break
		}
		headroom = min(headroom, v.limit.Nodes[ancestor].Capacity-v.committed[ancestor])
	}
	return max(0, headroom)
}
