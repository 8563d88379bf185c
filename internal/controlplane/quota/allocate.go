package quota

import (
	"cmp"
	"maps"
	"slices"

	"birchmoor/internal/store"
)

// Allocation is a transaction of the store that changes grants. It applies only if no other allocation was applied
// since the copy of the store that it is based on.
type Allocation struct {
	If   []store.Compare
	Then []store.Op
}

// Allocate returns the changes of grants that are due, or nil. It returns nil while Fault reports a fault.
func (a *Allocator) Allocate(now int64) *Allocation {
	if !a.dirty && now-a.allocatedAt < idleInterval || len(a.decodeErrors) > 0 {
		return nil
	}
	a.dirty = false
	a.allocatedAt = now
	a.smallChangesAllowed = now-a.smallChangesAt >= smallChangeInterval
	if !a.started {
		a.started = true
		a.firstRevision = a.revision + 1
	}
	processes := a.sortedProcesses()
	grants := map[Process]Grant{}
	expired := a.expireGrants(now, processes, grants)
	for _, l := range a.config.Limits {
		a.allocateLimit(now, l, processes, grants)
	}
	if a.smallChangesAllowed {
		a.smallChangesAt = now
	}
	a.dropEmptyQuotas(grants)
	if len(grants) == 0 && len(expired) == 0 {
		return nil
	}
	return a.transaction(now, grants, expired)
}

// expireGrants returns the departed processes whose quotas all have stopped counting. To grants it adds the grants of
// departed processes of which some quotas have stopped counting, or whose stored age is due for an update. What expires
// in one allocation is free in the next.
func (a *Allocator) expireGrants(now int64, processes []Process, grants map[Process]Grant) (expired []Process) {
	for _, p := range processes {
		state := a.processes[p]
		if state.alive || state.grantRevision == 0 {
			continue
		}
		age := a.age(now, state)
		lingering, shortestLinger := a.lingeringQuotas(age, state.grant.Quotas)
		switch {
		case len(lingering) == 0:
			expired = append(expired, p)
		case len(lingering) < len(state.grant.Quotas),
			age-state.grant.DepartedForNanos >= max(ageWriteInterval, shortestLinger/ageWritesPerLinger):
			grants[p] = Grant{Quotas: lingering, DepartedForNanos: age}
		}
	}
	return expired
}

// lingeringQuotas returns the quotas of a departed process that still count at the given age, and the shortest of their
// lingers in nanoseconds.
func (a *Allocator) lingeringQuotas(age int64, quotas map[string]Quota) (lingering map[string]Quota, shortest int64) {
	lingering = map[string]Quota{}
	for key, quota := range quotas {
		linger := a.lingerOf(quota)
		if age >= linger {
			continue
		}
		if len(lingering) == 0 || linger < shortest {
			shortest = linger
		}
		lingering[key] = quota
	}
	return lingering, shortest
}

// dropEmptyQuotas removes quotas that are zero and leave nothing to acknowledge from the new grants of live processes.
func (a *Allocator) dropEmptyQuotas(grants map[Process]Grant) {
	for p, grant := range grants {
		if !a.processes[p].alive {
			continue
		}
		maps.DeleteFunc(grant.Quotas, func(_ string, q Quota) bool { return q.Amount == 0 && q.Previous == 0 })
	}
}

// transaction returns the transaction that deletes the grants of expired processes and writes the new grants, in this
// order and up to maxOpsPerAllocation operations. Processes that have waited longest for a change come first.
func (a *Allocator) transaction(now int64, grants map[Process]Grant, expired []Process) *Allocation {
	allocation := &Allocation{
		If:   []store.Compare{{Key: AllocationKey, ModRevision: a.revision}},
		Then: []store.Op{{Key: AllocationKey, Value: []byte{1}}},
	}
	if a.defect == UncheckedRevision {
		allocation.If = nil
	}
	for _, p := range expired {
		if len(allocation.Then) < maxOpsPerAllocation {
			allocation.Then = append(allocation.Then, store.Op{Key: p.GrantKey(), Delete: true})
		}
		delete(grants, p)
	}
	changed := slices.SortedFunc(maps.Keys(grants), func(p, q Process) int {
		return cmp.Or(cmp.Compare(a.changedAt[p], a.changedAt[q]), compareProcesses(p, q))
	})
	for _, p := range changed {
		if len(allocation.Then) >= maxOpsPerAllocation {
			break
		}
		allocation.Then = append(allocation.Then, store.Op{Key: p.GrantKey(), Value: Encode(grants[p])})
		a.changedAt[p] = now
	}
	return allocation
}
