// Package serverstate decides what a daemon believes of servers on which several daemons report through the
// store. It does no I/O and reads no clock: reports, committed changes and confirmations come in, decisions
// come out. It may import package store and nothing else of birchmoor.
//
// The rule is asymmetric. An exclusion of a server, by a drain or by operators, takes effect with the first
// report of it: observed by this daemon, before the store has it, or committed to the store by another.
// Readmission needs a quorum: a committed change that no later report of this daemon contradicts. A daemon that
// is partitioned from the quorum keeps every exclusion and adds its own.
//
// The revisions of the store only increase. A Guard never acts on one that is lower than one that it has acted on.
package serverstate

import (
	"cmp"
	"slices"

	"birchmoor/internal/store"
)

// Guard holds which servers are excluded. Create it with NewGuard. It is not safe for concurrent use.
type Guard struct {
	daemon     string
	exclusions map[string]*exclusionState // by key
	revision   uint64                     // the highest that was acted on
	covers     func(kind Kind, server string) bool

	eagerReadmission bool // injected defect
}

// exclusionState is what is known of one server that is excluded for one reason.
type exclusionState struct {
	committedRevision uint64 // of the store's record; 0: the store has none
	committedBy       string
	proposal          proposalState

	inLogTail   bool // found in the uncommitted end of the log at the start, which the copy has not reached yet
	seenInStore bool // the store has changed the key since then
}

// proposalState is how far this daemon's own report has come on its way to the store.
type proposalState uint8

const (
	noProposal       proposalState = iota
	proposing                      // a proposal is under way
	proposingOutdone               // and the exclusion was observed again since it began, so that it has to be repeated
	proposalDue                    // to be proposed again
)

func (e *exclusionState) excludes() bool {
	return e.committedRevision > 0 || e.proposal != noProposal || e.inLogTail
}

// NewGuard returns the guard of a daemon that excludes no server yet.
func NewGuard(daemon string) *Guard {
	return &Guard{daemon: daemon, exclusions: map[string]*exclusionState{}}
}

// Restrict makes the guard ignore all servers but those that covers reports. Call it before any other method.
func (g *Guard) Restrict(covers func(kind Kind, server string) bool) { g.covers = covers }

// InjectEagerReadmission readmits servers before the store has committed it: a defect for tests.
func (g *Guard) InjectEagerReadmission() { g.eagerReadmission = true }

// coveredServer returns the server of an exclusion key. ok is false also for servers that the guard does not cover.
func (g *Guard) coveredServer(key string) (server string, ok bool) {
	kind, server, ok := parseExclusionKey(key)
	if ok && g.covers != nil {
		ok = g.covers(kind, server)
	}
	return server, ok
}

// Excluded reports whether a server is excluded for any reason.
func (g *Guard) Excluded(server string) bool {
	return g.excludedAs(Drain, server) || g.excludedAs(AdminDrain, server)
}

func (g *Guard) excludedAs(kind Kind, server string) bool {
	exclusion := g.exclusions[ExclusionKey(kind, server)]
	return exclusion != nil && exclusion.excludes()
}

// Observe takes an exclusion that this daemon observed itself, which takes effect at once. The operation,
// unless it is nil, is to be proposed to the store, and ProposalDone called with the outcome. The errors are
// ErrInvalidServerName and ErrTooManyExclusions.
func (g *Guard) Observe(kind Kind, server string) (*store.Op, error) {
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
	// It is proposed also if the store has it already, or a proposal is under way: a readmission that another
	// daemon made meanwhile must not undo what was observed after it.
	if exclusion.proposal == proposing || exclusion.proposal == proposingOutdone {
		exclusion.proposal = proposingOutdone
		return nil, nil
	}
	exclusion.inLogTail = false
	exclusion.proposal = proposing
	return putExclusion(key, g.daemon), nil
}

// ProposalDone takes the outcome of an operation of Observe or TakeRetries. One that was not committed is due
// again; until then its server stays excluded.
func (g *Guard) ProposalDone(key string, committed bool) {
	exclusion := g.exclusions[key]
	if exclusion == nil || exclusion.proposal == noProposal {
		return
	}
	if !committed || exclusion.proposal == proposingOutdone {
		exclusion.proposal = proposalDue
		return
	}
	exclusion.proposal = noProposal
	g.removeIfServing(key, exclusion)
}

// TakeRetries returns the operations that are to be proposed again, in the order of their keys, and counts them
// as under way.
func (g *Guard) TakeRetries() []store.Op {
	var ops []store.Op
	for key, exclusion := range g.exclusions {
		if exclusion.proposal == proposalDue {
			exclusion.proposal = proposing
			ops = append(ops, *putExclusion(key, g.daemon))
		}
	}
	slices.SortFunc(ops, func(a, b store.Op) int { return cmp.Compare(a.Key, b.Key) })
	return ops
}

// Readmit returns the transaction that ends the exclusion that the store has now, and not one that is reported
// later. It is to be proposed; the server stays excluded until Apply takes the committed change. The error is
// ErrNotReported if the store has no such exclusion.
func (g *Guard) Readmit(kind Kind, server string) (*store.Txn, error) {
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

// Apply takes a committed change of the store; changes come in their order. It reports whether it excluded or
// readmitted a server.
func (g *Guard) Apply(event store.Event) (changed bool) {
	if event.Revision < g.revision {
		return false
	}
	g.revision = event.Revision
	key := event.Item.Key
	server, ok := g.coveredServer(key)
	if !ok {
		return false
	}
	exclusion := g.exclusions[key]
	if exclusion == nil && event.Deleted {
		return false
	}
	before := g.Excluded(server)
	if exclusion == nil {
		exclusion = &exclusionState{} // not counted against maxExclusions: the store bounds its own
		g.exclusions[key] = exclusion
	}
	exclusion.committedRevision = event.Revision
	if event.Deleted {
		exclusion.committedRevision = 0
	}
	exclusion.committedBy = DecodeExclusion(event.Item.Value).ReportedBy
	exclusion.seenInStore = true
	g.removeIfServing(key, exclusion)
	return before != g.Excluded(server)
}

func (g *Guard) removeIfServing(key string, exclusion *exclusionState) {
	if !exclusion.excludes() {
		delete(g.exclusions, key)
	}
}

// Reset takes a complete state, at a start or when the leader sent a snapshot. Exclusions that this daemon
// observed stay. The error is ErrRevisionRegressed, and nothing changes, if the state is older than what was
// acted on.
func (g *Guard) Reset(state *store.State) error {
	if state.Revision() < g.revision {
		return ErrRevisionRegressed
	}
	g.revision = state.Revision()
	for key, exclusion := range g.exclusions {
		exclusion.committedRevision = 0
		if item, ok := state.Get(key); ok {
			exclusion.committedRevision = item.ModRevision
			exclusion.committedBy = DecodeExclusion(item.Value).ReportedBy
		}
		g.removeIfServing(key, exclusion)
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

// Uncommitted takes a command at the end of the log of which a start does not know whether it is committed. The
// servers that it excludes are excluded until CaughtUp, whatever the store says meanwhile: this daemon may have
// acted on the command before it was killed, and the changes that it applies on the way there may be older.
// Readmissions have no effect. It returns the keys of the exclusions.
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

// CaughtUp says that the copy has reached the end that the log had at the start. An exclusion of which the
// store showed nothing on the way was lost with the end of the log; it is due to be proposed again, since
// whoever reported it may rely on it. It returns the keys of the exclusions that ended, in order.
func (g *Guard) CaughtUp() (ended []string) {
	for key, exclusion := range g.exclusions {
		if !exclusion.inLogTail {
			continue
		}
		exclusion.inLogTail = false
		if exclusion.committedRevision == 0 && !exclusion.seenInStore && exclusion.proposal == noProposal {
			exclusion.proposal = proposalDue
		}
		g.removeIfServing(key, exclusion)
		if g.exclusions[key] == nil {
			ended = append(ended, key)
		}
	}
	slices.Sort(ended)
	return ended
}

// Revision is the highest revision of the store that was acted on.
func (g *Guard) Revision() uint64 { return g.revision }

// Exclusions returns the excluded servers, in the order of their names and kinds. Their ages are not known
// here: -1.
func (g *Guard) Exclusions() []Exclusion {
	all := make([]Exclusion, 0, len(g.exclusions))
	for key, state := range g.exclusions {
		kind, server, _ := parseExclusionKey(key)
		exclusion := Exclusion{Kind: kind, Server: server, ReportedBy: g.daemon, AgeMillis: -1}
		if state.committedRevision > 0 {
			exclusion.Committed = true
			exclusion.ReportedBy = state.committedBy
		}
		all = append(all, exclusion)
	}
	slices.SortFunc(all, func(a, b Exclusion) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Kind, b.Kind))
	})
	return all
}

// Pending reports whether an exclusion takes effect here that is not known to be committed: one that this
// daemon observed, or one of the uncommitted end of the log.
func (g *Guard) Pending(key string) bool {
	exclusion := g.exclusions[key]
	return exclusion != nil && (exclusion.proposal != noProposal || exclusion.inLogTail)
}

// IsDraining reports whether a process is known to drain, by this daemon or by the store.
func (g *Guard) IsDraining(process Process) bool { return g.excludedAs(Drain, process.ServerName()) }

// DrainRevision is the revision of the store's record that a process drains, or 0.
func (g *Guard) DrainRevision(process Process) uint64 {
	exclusion := g.exclusions[ExclusionKey(Drain, process.ServerName())]
	if exclusion == nil {
		return 0
	}
	return exclusion.committedRevision
}

// Draining lists the processes that are known to drain.
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
