package quota

import (
	"maps"
	"strings"
)

// writeGrants adds the grants that bring processes to their targets. If no process is short of quota, quotas that
// are too large stay: they are in nobody's way. Reductions go first.
func (v *limitAllocation) writeGrants(short bool, grants map[Process]Grant) {
	for node := range v.limit.Nodes {
		for i, p := range v.live {
			c := &v.cells[node][i]
			if c.target < c.granted && v.mayChange(p) && v.mustReduce(node, c, short) {
				v.setQuota(node, p, c, c.target, grants)
			}
		}
	}
	if v.blocked {
		return
	}
	for node := range v.limit.Nodes {
		for i, p := range v.live {
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

// mayChange reports whether the last change of a process's quotas is long enough ago. A process cannot acknowledge
// changes faster than it reports.
func (v *limitAllocation) mayChange(p Process) bool {
	interval := max(minChangeInterval, v.rules.reportInterval(len(v.live)))
	return v.changedAt[p] == 0 || v.now-v.changedAt[p] >= interval
}

// minChange returns the difference to its target by which a quota is changed.
func (v *limitAllocation) minChange(c *cell) Amount {
	relative := minRelativeChange
	if v.settling {
		relative = minRelativeChange / 10
	}
	return Amount(relative * float64(c.granted))
}

// mustReduce reports whether a quota over its target is to be reduced.
func (v *limitAllocation) mustReduce(node int, c *cell, short bool) bool {
	if v.overcommitted(node) {
		return true
	}
	if !short {
		return false
	}
	return c.target == 0 || c.granted-c.target >= v.minChange(c)
}

// raisedAmount returns the quota that is to be granted to a process below its target: the present one, or a larger
// one for which there is headroom.
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
	if c.granted+raise < v.limit.minUseful() {
		return c.granted
	}
	return c.granted + raise
}

// setQuota sets a process's quota of a node in its new grant.
func (v *limitAllocation) setQuota(node int, p Process, c *cell, amount Amount, grants map[Process]Grant) {
	grant, ok := grants[p]
	if !ok {
		grant = v.renewedGrant(v.processes[p])
		grants[p] = grant
	}
	if v.defect == RoundUp {
		minUseful := v.limit.minUseful()
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

// normalized drops a previous amount that does not count.
func (q Quota) normalized() Quota {
	if q.Previous <= q.Amount {
		q.Previous = 0
	}
	return q
}

// renewedGrant returns a copy of a process's grant in which all that it may still use counts until it has seen the
// copy. Quotas of no limit in force are dropped.
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

// isStale reports whether a key is of no limit in force, or of another generation of one.
func (a *Allocator) isStale(key string) bool {
	l := a.config.Find(limitNameOf(key))
	return l == nil || !strings.HasPrefix(key, l.Key(0))
}

// scarce reports whether the headroom does not suffice for processes below their targets, so that others must give.
func (v *limitAllocation) scarce() bool {
	missing := make([]Amount, len(v.limit.Nodes))
	for node := len(v.limit.Nodes) - 1; node >= 0; node-- {
		for _, c := range v.cells[node] {
			wanted := min(c.wanted, c.target)
			if wanted > c.granted+c.granted/20 {
				missing[node] += wanted - c.committed
			}
		}
		if missing[node] > v.headroom(node) {
			return true
		}
		if node > 0 {
			missing[v.limit.Nodes[node].Parent] += max(0, missing[node])
		}
	}
	return false
}

// overcommitted reports whether more is committed of a node, or of one above it, than its capacity.
func (v *limitAllocation) overcommitted(node int) bool {
	for ancestor := range v.limit.pathToRoot(node) {
		if v.committed[ancestor] > v.limit.Nodes[ancestor].Capacity {
			return true
		}
	}
	return false
}

// headroom returns by how much the quotas of a node may grow, with regard to all nodes above it.
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
