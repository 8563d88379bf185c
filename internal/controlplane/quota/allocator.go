package quota

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"birchmoor/internal/store"
)

// Allocator divides the limits among the processes of a copy of the store. It is for one goroutine at a time. Its owner
// writes what Allocate returns as one transaction. A transaction that was rejected, or whose outcome is not known, was
// based on a copy that is out of date by now, and does no harm.
type Allocator struct {
	rules        Rules
	defect       Defect
	config       *Config
	revision     uint64 // of the last allocation
	processes    map[Process]*processState
	decodeErrors map[string]string // by key

	dirty       bool              // something has changed since the last allocation
	allocatedAt int64             // when Allocate last looked at all limits
	settledAt   int64             // when small differences were last evened out
	settling    bool              // this allocation evens out small differences
	changedAt   map[Process]int64 // when a process's quotas were last changed

	started       bool
	firstRevision uint64 // of this allocator's own allocations, for IgnorePredecessor
}

// processState is what the copy of the store shows of a process.
type processState struct {
	demand        Demand
	alive         bool // it reports
	reportedAt    int64
	grant         Grant
	grantRevision uint64 // 0: there is no grant
	departed      bool   // it is not alive, and departedAt is known
	departedAt    int64  // by this clock, no earlier than it departed
}

// departedBy notes that the process had departed by an instant.
func (s *processState) departedBy(at int64) {
	if !s.departed || at < s.departedAt {
		s.departed = true
		s.departedAt = at
	}
}

const (
	maxOpsPerAllocation = 100
	minChangeInterval   = int64(150 * time.Millisecond) // between two changes of a process's quotas
	ageWriteInterval    = int64(time.Second)            // between two updates of Grant.OutlivedNanos, at least
	ageWritesPerLinger  = 20                            // of the shortest linger of a grant, at most
	settleInterval      = int64(2 * time.Second)
	idleInterval        = int64(time.Second)     // between two allocations where nothing has changed
	rotationInterval    = int64(2 * time.Second) // for which processes that take turns keep a quota
	minRelativeChange   = 0.1                    // of a quota, below which it stays as it is
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

// SetConfig replaces the limits in force.
func (a *Allocator) SetConfig(config *Config) {
	a.config = config
	a.dirty = true
}

// Event applies a change of the copy.
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

// Reset replaces the copy.
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
			state.departedBy(old.departedAt)
		}
	}
}

// applyDemand applies a change of the demand of the process with a name. One that cannot be decoded leaves the demand
// before it, and acknowledges nothing.
func (a *Allocator) applyDemand(now int64, name string, item store.Item, deleted bool) {
	p, ok := parseProcess(name)
	if !ok {
		return
	}
	state := a.state(p)
	delete(a.decodeErrors, item.Key)
	if deleted {
		state.alive = false
		state.departedBy(now)
		a.forgetIfUnknown(p)
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

// applyGrant applies a change of the grant of the process with a name. The age that an allocator wrote to the grant of a
// departed process is how long it had departed by then, at least.
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
		a.forgetIfUnknown(p)
		return
	}
	state.grantRevision = item.ModRevision
	grant, err := DecodeGrant(item.Value)
	if err != nil {
		a.decodeErrors[item.Key] = err.Error()
	} else {
		state.grant = grant
		if !state.alive {
			state.departedBy(now - grant.OutlivedNanos)
		}
	}
	a.forgetIfUnknown(p)
}

// state returns the state of a process, a new one if it is not known.
func (a *Allocator) state(p Process) *processState {
	state := a.processes[p]
	if state == nil {
		state = &processState{}
		a.processes[p] = state
	}
	return state
}

// forgetIfUnknown drops a process that has neither a demand nor a grant.
func (a *Allocator) forgetIfUnknown(p Process) {
	state := a.processes[p]
	if !state.alive && state.grantRevision == 0 {
		delete(a.processes, p)
		delete(a.changedAt, p)
	}
}

// Fault returns why nothing can be allocated by this copy, or "". A record that cannot be decoded, such as a newer
// version's, may count for any amount.
func (a *Allocator) Fault() string {
	if len(a.decodeErrors) == 0 {
		return ""
	}
	key := slices.Min(slices.Collect(maps.Keys(a.decodeErrors)))
	return key + ": " + a.decodeErrors[key]
}

// committedAmount returns how much of a node counts as taken by a process: the most that it may use by what it has
// acknowledged.
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

// acknowledged reports whether the process keeps to its grant.
func (s *processState) acknowledged() bool {
	return s.alive && s.demand.SeenRevision >= s.grantRevision
}

// age returns for how many nanoseconds a process has been gone, at least.
func (a *Allocator) age(now int64, state *processState) int64 {
	state.departedBy(now)
	age := now - state.departedAt
	if a.defect == CountAgeTwice {
		age += state.grant.OutlivedNanos
	}
	return age
}

// lingerOf returns for how many nanoseconds a quota counts after its process is gone, by any clock.
func (a *Allocator) lingerOf(q Quota) int64 {
	if a.defect == NoLinger {
		return 0
	}
	return int64(float64(q.Linger) * (1 + a.rules.MaxClockSkew))
}

// ignored reports whether an injected defect has the allocator not count a process.
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

// sortedProcesses returns all processes in the order of their names and sessions.
func (a *Allocator) sortedProcesses() []Process {
	return slices.SortedFunc(maps.Keys(a.processes), compareProcesses)
}

func compareProcesses(p, q Process) int {
	return cmp.Or(cmp.Compare(p.Host, q.Host), cmp.Compare(p.Session, q.Session))
}
