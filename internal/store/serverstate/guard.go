// Package serverstate decides which state a daemon assumes for servers about which several daemons report through the
// store. It does no I/O and reads no clock: its callers pass in reports, committed changes and the outcomes of
// proposals, and act on the decisions that it returns. Of this module it may import package store only.
//
// The rule for exclusions is asymmetric. An exclusion of a server, by a drain or by operators, takes effect with the
// first report of it: either this daemon observed it, and the store does not have it yet, or another daemon's report is
// committed to the store. Readmission needs a quorum: a committed change that no later report of this daemon
// contradicts. A daemon that is partitioned from the quorum keeps every exclusion and adds its own.
//
// The revisions of the store only increase. A Guard never acts on a revision that is lower than one that it has acted
// on.
package serverstate

import (
	"cmp"
	"slices"

	"birchmoor/internal/store"
)

// Guard tracks which servers are excluded. NewGuard creates one. It is not safe for concurrent use.
type Guard struct {
	daemon     string                     // name under which it reports
	exclusions map[string]*exclusionState // by key
	// highest revision of the store that the guard has acted on
	actedRevision uint64
	covers        func(kind ExclusionKind, server string) bool // nil: all servers

	eagerReadmission bool // injected defect of InjectEagerReadmission
}

// exclusionState is the state of one exclusion key: one server, excluded for one reason.
type exclusionState struct {
	committedRevision uint64 // revision of the store's record; 0: the store has none
	committedBy       string // name of the daemon that wrote the store's record
	proposal          proposalState

	inLogTail   bool // found at the start in the uncommitted tail of the log, which the copy has not reached
	seenInStore bool // a change of the key was applied since the start
}

// proposalState is the progress of this daemon's own report on its way to the store.
type proposalState uint8

const (
	noProposal         proposalState = iota
	proposalInFlight                 // a proposal was handed out, and ProposalDone has not been called for it
	proposalSuperseded               // in flight, and to be repeated: the exclusion was observed again since it began
	proposalDue                      // TakeRetries will return it
)

// isActive reports whether the server is excluded, either by the store or by this daemon alone.
func (e *exclusionState) isActive() bool {
	return e.committedRevision > 0 || e.proposal != noProposal || e.inLogTail
}

// NewGuard returns a guard that excludes no server. daemon is the name under which it reports exclusions.
func NewGuard(daemon string) *Guard {
	return &Guard{daemon: daemon, exclusions: map[string]*exclusionState{}}
}

// Restrict makes the guard ignore the servers for which covers returns false. It must be called before any other
// method.
func (g *Guard) Restrict(covers func(kind ExclusionKind, server string) bool) { g.covers = covers }

// InjectEagerReadmission injects a defect for tests: Readmit ends an exclusion before the change is committed.
func (g *Guard) InjectEagerReadmission() { g.eagerReadmission = true }

// coveredServer returns the server of an exclusion key. ok is false if the key is invalid or the guard does not cover
// the server.
func (g *Guard) coveredServer(key string) (server string, ok bool) {
	kind, server, ok := parseExclusionKey(key)
	if ok && g.covers != nil {
		ok = g.covers(kind, server)
	}
	return server, ok
}

// Excluded reports whether a server is excluded for any reason.
func (g *Guard) Excluded(server string) bool {
	return g.excludedBy(Drain, server) || g.excludedBy(AdminDrain, server)
}

func (g *Guard) excludedBy(kind ExclusionKind, server string) bool {
	exclusion := g.exclusions[ExclusionKey(kind, server)]
	return exclusion != nil && exclusion.isActive()
}

// Observe records an exclusion that this daemon observed itself. It takes effect at once. If the operation is not nil,
// the caller proposes it to the store and then calls ProposalDone with the outcome. The errors are ErrInvalidServerName
// and ErrTooManyExclusions.
func (g *Guard) Observe(kind ExclusionKind, server string) (*store.Op, error) {
	key := ExclusionKey(kind, server)
	if _, ok := g.coveredServer(key); !ok {
		return nil, ErrInvalidServerName
	}
	exclusion := g.exclusions[key]
	if exclusion == nil {
		if len(g.exclusions) >= maxExclusions {
			return nil, ErrTooManyExclusions
		}
		exclusion = &exclusionState{}
		g.exclusions[key] = exclusion
	}
	// The exclusion is proposed even if the store already has it or a proposal is in flight: another daemon may have
	// readmitted the server in the meantime, and that must not undo an observation made after it.
	if exclusion.proposal == proposalInFlight || exclusion.proposal == proposalSuperseded {
		exclusion.proposal = proposalSuperseded
		return nil, nil
	}
	exclusion.inLogTail = false
	exclusion.proposal = proposalInFlight
	return exclusionOp(key, g.daemon), nil
}

// ProposalDone records the outcome of an operation that Observe or TakeRetries returned. An operation that was not
// committed is due again, and its server stays excluded.
func (g *Guard) ProposalDone(key string, committed bool) {
	exclusion := g.exclusions[key]
	if exclusion == nil || exclusion.proposal == noProposal {
		return
	}
	if !committed || exclusion.proposal == proposalSuperseded {
		exclusion.proposal = proposalDue
		return
	}
	exclusion.proposal = noProposal
	g.removeIfInactive(key, exclusion)
}

// TakeRetries returns the operations that the caller is to propose again, ordered by key, and marks them as in flight.
func (g *Guard) TakeRetries() []store.Op {
	var ops []store.Op
	for key, exclusion := range g.exclusions {
		if exclusion.proposal == proposalDue {
			exclusion.proposal = proposalInFlight
			ops = append(ops, *exclusionOp(key, g.daemon))
		}
	}
	slices.SortFunc(ops, func(a, b store.Op) int { return cmp.Compare(a.Key, b.Key) })
	return ops
}

// Readmit returns the transaction that ends the exclusion that the store has now; it fails on one that is reported
// later. The caller proposes it, and the server stays excluded until Apply receives the committed change. The error is
// ErrNotReported if the store has no such exclusion.
func (g *Guard) Readmit(kind ExclusionKind, server string) (*store.Txn, error) {
	key := ExclusionKey(kind, server)
	exclusion := g.exclusions[key]
	if exclusion == nil || exclusion.committedRevision == 0 {
		return nil, ErrNotReported
	}
	txn := &store.Txn{
		If:   []store.Compare{{Key: key, ModRevision: exclusion.committedRevision}},
		Then: []store.Op{{Key: key, Delete: true}},
	}
	if g.eagerReadmission {
		exclusion.committedRevision = 0
		exclusion.proposal = noProposal
	}
	return txn, nil
}

// Apply applies a committed change of the store. Changes must be passed in the order of their revisions. It reports
// whether the change excluded or readmitted a server.
func (g *Guard) Apply(event store.Event) (changed bool) {
	if event.Revision < g.actedRevision {
		return false
	}
	g.actedRevision = event.Revision
	key := event.Item.Key
	server, ok := g.coveredServer(key)
	if !ok {
		return false
	}
	exclusion := g.exclusions[key]
	if exclusion == nil && event.Deleted {
		return false
	}
	wasExcluded := g.Excluded(server)
	if exclusion == nil {
		exclusion = &exclusionState{} // accepted beyond maxExclusions, too: the store bounds its keys
		g.exclusions[key] = exclusion
	}
	exclusion.committedRevision = event.Revision
	if event.Deleted {
		exclusion.committedRevision = 0
	}
	exclusion.committedBy = DecodeExclusion(event.Item.Value).ReportedBy
	exclusion.seenInStore = true
	g.removeIfInactive(key, exclusion)
	return wasExcluded != g.Excluded(server)
}

// removeIfInactive forgets an exclusion that no longer excludes its server.
func (g *Guard) removeIfInactive(key string, exclusion *exclusionState) {
	if !exclusion.isActive() {
		delete(g.exclusions, key)
	}
}

// Reset replaces what the store reported by a complete state, at a start or after the leader sent a snapshot.
// Exclusions that this daemon observed stay. If the state is older than a revision that the guard has acted on, the
// error is ErrRevisionRegressed and nothing changes.
func (g *Guard) Reset(state *store.State) error {
	if state.Revision() < g.actedRevision {
		return ErrRevisionRegressed
	}
	g.actedRevision = state.Revision()
	for key, exclusion := range g.exclusions {
		exclusion.committedRevision = 0
		if item, ok := state.Get(key); ok {
			exclusion.committedRevision = item.ModRevision
			exclusion.committedBy = DecodeExclusion(item.Value).ReportedBy
		}
		g.removeIfInactive(key, exclusion)
	}
	state.Range(ExclusionPrefix, store.PrefixEnd(ExclusionPrefix), func(item store.Item) bool {
		if _, ok := g.coveredServer(item.Key); ok && g.exclusions[item.Key] == nil {
			g.exclusions[item.Key] = &exclusionState{
				committedRevision: item.ModRevision,
				committedBy:       DecodeExclusion(item.Value).ReportedBy,
			}
		}
		return true
	})
	return nil
}

// Uncommitted records a command in the tail of the log that may or may not be committed. It is called during a start.
// The servers that the command excludes stay excluded until CaughtUp is called, whatever the store reports until then:
// this daemon may have acted on the command before it was killed, and the changes that it applies while it catches up
// may be older. Readmissions in the command have no effect. It returns the keys of the exclusions.
func (g *Guard) Uncommitted(command *store.Command) (keys []string) {
	if command.Txn == nil {
		return nil
	}
	for _, op := range slices.Concat(command.Txn.Then, command.Txn.Else) {
		if _, ok := g.coveredServer(op.Key); !ok || op.Delete {
			continue
		}
		exclusion := g.exclusions[op.Key]
		if exclusion == nil {
			exclusion = &exclusionState{}
			g.exclusions[op.Key] = exclusion
		}
		exclusion.inLogTail = true
		keys = append(keys, op.Key)
	}
	return keys
}

// CaughtUp records that the copy has reached the end that the log had at the start. If no change of an exclusion's key
// was applied on the way, its report was lost with the tail of the log; it is due to be proposed again, because the
// daemon that reported it may rely on it. CaughtUp returns the sorted keys of the exclusions that ended.
func (g *Guard) CaughtUp() (ended []string) {
	for key, exclusion := range g.exclusions {
		if !exclusion.inLogTail {
			continue
		}
		exclusion.inLogTail = false
		if exclusion.committedRevision == 0 && !exclusion.seenInStore && exclusion.proposal == noProposal {
			exclusion.proposal = proposalDue
		}
		g.removeIfInactive(key, exclusion)
		if g.exclusions[key] == nil {
			ended = append(ended, key)
		}
	}
	slices.Sort(ended)
	return ended
}

// Revision returns the highest revision of the store that the guard has acted on, or 0.
func (g *Guard) Revision() uint64 { return g.actedRevision }

// Exclusions returns the excluded servers, ordered by name and kind. The guard does not know the ages of the reports
// and sets them to -1.
func (g *Guard) Exclusions() []Exclusion {
	exclusions := make([]Exclusion, 0, len(g.exclusions))
	for key, state := range g.exclusions {
		kind, server, _ := parseExclusionKey(key)
		exclusion := Exclusion{Kind: kind, Server: server, ReportedBy: g.daemon, AgeMillis: -1}
		if state.committedRevision > 0 {
			exclusion.Committed = true
			exclusion.ReportedBy = state.committedBy
		}
		exclusions = append(exclusions, exclusion)
	}
	slices.SortFunc(exclusions, func(a, b Exclusion) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Kind, b.Kind))
	})
	return exclusions
}

// Pending reports whether the exclusion of a key takes effect on this daemon without being known to be committed:
// either this daemon observed it, or it comes from the uncommitted tail of the log.
func (g *Guard) Pending(key string) bool {
	exclusion := g.exclusions[key]
	return exclusion != nil && (exclusion.proposal != noProposal || exclusion.inLogTail)
}

// IsDraining reports whether a process is draining according to this daemon or the store.
func (g *Guard) IsDraining(process Process) bool { return g.excludedBy(Drain, process.ServerName()) }

// DrainRevision returns the revision of the store's record of a draining process, or 0 if the store has none.
func (g *Guard) DrainRevision(process Process) uint64 {
	exclusion := g.exclusions[ExclusionKey(Drain, process.ServerName())]
	if exclusion == nil {
		return 0
	}
	return exclusion.committedRevision
}

// Draining lists the processes that are draining according to this daemon or the store.
func (g *Guard) Draining() []Process {
	var processes []Process
	for _, exclusion := range g.Exclusions() {
		process, ok := ParseProcess(exclusion.Server)
		if ok && exclusion.Kind == Drain {
			processes = append(processes, process)
		}
	}
	return processes
}
