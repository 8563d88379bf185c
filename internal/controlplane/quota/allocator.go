package quota

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"birchmoor/internal/store"
)

// Allocator divides the limits among the processes that a copy of the store shows. The owner keeps the copy up to date
// by Event and Reset, and writes what Allocate returns as one transaction. A transaction that was rejected, or whose
// outcome is unknown, needs no handling: the next allocation is based on a newer copy. An Allocator is not safe for
// concurrent use. Instants are nanoseconds of a clock that does not step.
type Allocator struct {
	rules        Rules
	defect       Defect
	config       *Config
	revision     uint64 // of AllocationKey, as the last allocation left it; 0 before the first
	processes    map[Process]*processState
	decodeErrors map[string]string // by key of the record that cannot be decoded

	dirty               bool              // the copy or the configuration has changed since the last allocation
	allocatedAt         int64             // when Allocate last considered all limits
	smallChangesAt      int64             // when an allocation last made small changes
	smallChangesAllowed bool              // the current allocation makes small changes, too
	changedAt           map[Process]int64 // when this allocator last changed the process's quotas

	started       bool   // Allocate has been called
	firstRevision uint64 // lower bound of the revisions of this allocator's grants, for IgnorePredecessor
}

// processState is what the copy of the store shows of a process.
type processState struct {
	demand        Demand
	alive         bool  // its demand is in the store, so its session has not ended
	reportedAt    int64 // when its last report came to this copy
	grant         Grant
	grantRevision uint64 // 0 if it has no grant
	departed      bool   // it is not alive, and departedAt is known
	departedAt    int64  // by this clock, no earlier than it departed
}

// recordDeparture records that the process had departed by the given instant.
func (s *processState) recordDeparture(at int64) {
	if !s.departed || at < s.departedAt {
		s.departed = true
		s.departedAt = at
	}
}

const (
	// maxOpsPerAllocation is the largest number of operations in one transaction.
	maxOpsPerAllocation = 100

	// minChangeInterval is the shortest time between two changes of a process's quotas.
	minChangeInterval = int64(150 * time.Millisecond)

	// ageWriteInterval is the shortest time between two updates of Grant.DepartedForNanos. ageWritesPerLinger is how
	// many there are at most during the shortest linger in a grant.
	ageWriteInterval   = int64(time.Second)
	ageWritesPerLinger = 20

	// smallChangeInterval is the shortest time between two allocations that make changes below minRelativeChange.
	smallChangeInterval = int64(2 * time.Second)

	// idleInterval is the time between two allocations while neither the copy nor the configuration changes.
	idleInterval = int64(time.Second)

	// rotationInterval is for how long a process keeps its quota if processes take turns.
	rotationInterval = int64(2 * time.Second)

	// minRelativeChange is the fraction of a quota by which its target must differ for the quota to be changed.
	minRelativeChange = 0.1
)

// NewAllocator returns an allocator without limits or processes.
func NewAllocator(rules Rules, defect Defect) *Allocator {
	return &Allocator{
		rules:        rules,
		defect:       defect,
		config:       &Config{},
		processes:    map[Process]*processState{},
		decodeErrors: map[string]string{},
		changedAt:    map[Process]int64{},
	}
}

// SetConfig replaces the limits in force. The config must not be changed afterwards.
func (a *Allocator) SetConfig(config *Config) {
	a.config = config
	a.dirty = true
}

// Event applies a change of the store to the copy. Keys that are not of limits are ignored.
func (a *Allocator) Event(now int64, e store.Event) {
	a.dirty = true
	key := e.Item.Key
	if key == AllocationKey {
		a.revision = e.Revision
		return
	}
	if name, ok := strings.CutPrefix(key, DemandPrefix); ok {
		a.applyDemand(now, name, e.Item, e.Deleted)
		return
	}
	if name, ok := strings.CutPrefix(key, GrantPrefix); ok {
		a.applyGrant(now, name, e.Item, e.Deleted)
	}
}

// Reset replaces the copy of the store. Departures that the previous copy knew keep their instants.
func (a *Allocator) Reset(now int64, s *store.State) {
	previous := a.processes
	a.dirty = true
	a.processes = map[Process]*processState{}
	a.revision = 0
	clear(a.decodeErrors)
	if item, ok := s.Get(AllocationKey); ok {
		a.revision = item.ModRevision
	}
	s.Range(DemandPrefix, store.PrefixEnd(DemandPrefix), func(item store.Item) bool {
		a.applyDemand(now, strings.TrimPrefix(item.Key, DemandPrefix), item, false)
		return true
	})
	s.Range(GrantPrefix, store.PrefixEnd(GrantPrefix), func(item store.Item) bool {
		a.applyGrant(now, strings.TrimPrefix(item.Key, GrantPrefix), item, false)
		return true
	})
	for p, state := range a.processes {
		old := previous[p]
		if old != nil && old.departed && !state.alive {
			state.recordDeparture(old.departedAt)
		}
	}
}

// applyDemand applies a change of the demand of the named process. If a demand cannot be decoded, the previous one
// stays in force, so that it acknowledges nothing new.
func (a *Allocator) applyDemand(now int64, name string, item store.Item, deleted bool) {
	p, ok := parseProcess(name)
	if !ok {
		return
	}
	state := a.state(p)
	delete(a.decodeErrors, item.Key)
	if deleted {
		state.alive = false
		state.recordDeparture(now)
		a.deleteIfEmpty(p)
		return
	}
	state.alive = true
	state.reportedAt = now
	state.departed = false
	demand, err := DecodeDemand(item.Value)
	if err != nil {
		a.decodeErrors[item.Key] = err.Error()
		return
	}
	state.demand = demand
}

// applyGrant applies a change of the grant of the named process. The age that an allocator wrote to the grant of a
// departed process is the least time for which the process had been departed by then.
func (a *Allocator) applyGrant(now int64, name string, item store.Item, deleted bool) {
	p, ok := parseProcess(name)
	if !ok {
		return
	}
	state := a.state(p)
	delete(a.decodeErrors, item.Key)
	if deleted {
		state.grant = Grant{}
		state.grantRevision = 0
		a.deleteIfEmpty(p)
		return
	}
	state.grantRevision = item.ModRevision
	grant, err := DecodeGrant(item.Value)
	if err != nil {
		a.decodeErrors[item.Key] = err.Error()
	} else {
		state.grant = grant
		if !state.alive {
			state.recordDeparture(now - grant.DepartedForNanos)
		}
	}
	a.deleteIfEmpty(p)
}

// state returns the state of a process, which is created if the process is not known.
func (a *Allocator) state(p Process) *processState {
	state := a.processes[p]
	if state == nil {
		state = &processState{}
		a.processes[p] = state
	}
	return state
}

// deleteIfEmpty deletes the state of a process that has neither a demand nor a grant.
func (a *Allocator) deleteIfEmpty(p Process) {
	state := a.processes[p]
	if !state.alive && state.grantRevision == 0 {
		delete(a.processes, p)
		delete(a.changedAt, p)
	}
}

// Fault returns why this copy of the store allows no allocation, or "" if it does. A record that cannot be decoded,
// such as one that a newer version wrote, may count for any amount.
func (a *Allocator) Fault() string {
	if len(a.decodeErrors) == 0 {
		return ""
	}
	key := slices.Min(slices.Collect(maps.Keys(a.decodeErrors)))
	return key + ": " + a.decodeErrors[key]
}

// committedAmount returns how much of a node counts as committed to a process: the most that the process may use or
// have in use, given what it has acknowledged.
func (a *Allocator) committedAmount(state *processState, key string) Amount {
	quota := state.grant.Quotas[key]
	inUse := Amount(0)
	if state.alive {
		inUse = state.demand.Nodes[key].InUse
	}
	if state.acknowledged() || a.defect == IgnoreUnacknowledged {
		return max(quota.Amount, inUse)
	}
	return max(quota.Amount, quota.Previous, inUse)
}

// acknowledged reports whether the process is alive and has acknowledged its newest grant.
func (s *processState) acknowledged() bool {
	return s.alive && s.demand.SeenRevision >= s.grantRevision
}

// age returns the least number of nanoseconds for which a process has been departed.
func (a *Allocator) age(now int64, state *processState) int64 {
	state.recordDeparture(now)
	age := now - state.departedAt
	if a.defect == CountAgeTwice {
		age += state.grant.DepartedForNanos
	}
	return age
}

// lingerOf returns for how many nanoseconds of this clock a quota counts after its process has departed. It allows for
// the largest clock skew.
func (a *Allocator) lingerOf(q Quota) int64 {
	if a.defect == NoLinger {
		return 0
	}
	return int64(float64(q.Linger) * (1 + a.rules.MaxClockSkew))
}

// ignored reports whether an injected defect makes the allocator not count a process.
func (a *Allocator) ignored(now int64, state *processState) bool {
	switch a.defect {
	case IgnorePredecessor:
		return state.grantRevision < a.firstRevision
	case ForgetSilent:
		return now-state.reportedAt > a.rules.ReportInterval*8
	default:
		return false
	}
}

// sortedProcesses returns all processes, live and departed, ordered by host and session.
func (a *Allocator) sortedProcesses() []Process {
	return slices.SortedFunc(maps.Keys(a.processes), compareProcesses)
}

func compareProcesses(p, q Process) int {
	return cmp.Or(cmp.Compare(p.Host, q.Host), cmp.Compare(p.Session, q.Session))
}
