package quota

import (
	"cmp"
	"maps"
	"slices"

	"birchmoor/internal/store"
)

// Allocation is a transaction of the store.
type Allocation struct {
	If   []store.Compare
	Then []store.Op
}

// Allocate returns the changes that are due, or nil.
func (a *Allocator) Allocate(now int64) *Allocation {
	if !a.dirty && now-a.allocatedAt < idleInterval || len(a.decodeErrors) > 0 {
		return nil
	}
	a.dirty = false
	a.allocatedAt = now
	a.settling = now-a.settledAt >= settleInterval
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
	if a.settling {
		a.settledAt = now
	}
	a.dropEmptyQuotas(grants)
	if len(grants) == 0 && len(expired) == 0 {
		return nil
	}
	return a.transaction(now, grants, expired)
}

// expireGrants returns the processes none of whose quotas counts any longer, and adds to grants those of which some do
// not, or whose age is to be updated. What expires in an allocation is free in the next.
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
			age-state.grant.OutlivedNanos >= max(ageWriteInterval, shortestLinger/ageWritesPerLinger):
			grants[p] = Grant{Quotas: lingering, OutlivedNanos: age}
		}
	}
	return expired
}

// lingeringQuotas returns those quotas of a process that is gone which still count, and the shortest time for which one
// of them counts in all.
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

// dropEmptyQuotas drops quotas that count for nothing from the new grants of live processes.
func (a *Allocator) dropEmptyQuotas(grants map[Process]Grant) {
	for p, grant := range grants {
		if !a.processes[p].alive {
			continue
		}
		maps.DeleteFunc(grant.Quotas, func(_ string, q Quota) bool { return q.Amount == 0 && q.Previous == 0 })
	}
}

// transaction returns what writes the new grants and deletes the expired, as far as there is space: the processes
// that have waited longest for a change come first.
func (a *Allocator) transaction(now int64, grants map[Process]Grant, expired []Process) *Allocation {
	t := &Allocation{
		If:   []store.Compare{{Key: AllocationKey, ModRevision: a.revision}},
		Then: []store.Op{{Key: AllocationKey, Value: []byte{1}}},
	}
	if a.defect == UncheckedRevision {
		t.If = nil
	}
	for _, p := range expired {
		if len(t.Then) < maxOpsPerAllocation {
			t.Then = append(t.Then, store.Op{Key: p.GrantKey(), Delete: true})
		}
		delete(grants, p)
	}
	changed := slices.SortedFunc(maps.Keys(grants), func(p, q Process) int {
		return cmp.Or(cmp.Compare(a.changedAt[p], a.changedAt[q]), compareProcesses(p, q))
	})
	for _, p := range changed {
		if len(t.Then) >= maxOpsPerAllocation {
			break
		}
		t.Then = append(t.Then, store.Op{Key: p.GrantKey(), Value: Encode(grants[p])})
		a.changedAt[p] = now
	}
	return t
}
