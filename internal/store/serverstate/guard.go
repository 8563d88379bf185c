// Package serverstate decides what a daemon may believe of servers that several daemons tell of through the store. It is
// free of I/O: what was told, committed and proven comes in, what binds comes out.
//
// The rule is asymmetric. That a server is out, draining or banned, binds at the first word from anyone: from the
// daemon's own ears, before the store has it, or from the store. That it may serve again needs proof from a quorum: a
// change of the store that was agreed on, and that no word heard here came after. A daemon that is cut off keeps every
// word and adds its own.
//
// The revisions of the store only go up. A Guard never acts on one that is lower than one it has acted on.
package serverstate

import (
	"cmp"
	"errors"
	"slices"
	"strings"

	"birchmoor/internal/store"

	"github.com/fxamacker/cbor/v2"
)

// Kind says why a server is out.
type Kind string

// The kinds.
const (
	Drain      Kind = "drain" // discovery told that a process of it drains; the server is a Process
	AdminDrain Kind = "ban"   // operators took it out
)

// ExclusionPrefix is that of the keys that tell of servers that are out: out/KIND/SERVER.
const ExclusionPrefix = "out/"

// Errors of a Guard.
var (
	ErrRevisionRegressed = errors.New("the store shows an older revision than one that was acted on")
	ErrNotReported       = errors.New("the store does not know yet that it is out")
	ErrTooManyExclusions = errors.New("too many servers are out")
	ErrInvalidServerName = errors.New("not the name of a server")
)

const maxExclusions = 65536 // servers that are out, for all kinds

// ExclusionRecord is the value of a key under Prefix.
type ExclusionRecord struct {
	ReportedBy string `cbor:"1,keyasint" json:"by"` // daemon that told it
}

// IsServerKey says whether a key is one by which daemons tell each other of servers.
func IsServerKey(key string) bool {
	return strings.HasPrefix(key, ExclusionPrefix) || strings.HasPrefix(key, StartPrefix) || strings.HasPrefix(key, SnapshotPrefix)
}

// DecodeExclusion reads a mark; what is none is an empty one.
func DecodeExclusion(b []byte) (m ExclusionRecord) {
	if recordDecoder.Unmarshal(b, &m) != nil {
		return ExclusionRecord{}
	}
	return m
}

// Exclusion is a server that is out.
type Exclusion struct {
	Kind       Kind   `json:"kind"`
	Server     string `json:"server"`
	Committed  bool   `json:"agreed"` // the quorum knows; if not, it is this daemon's word alone
	ReportedBy string `json:"by"`     // the daemon that told it, latest
	AgeMillis  int64  `json:"age_ms"` // since that word came to this copy; -1: before this start, or not at all
}

// Guard holds which servers are out. The zero value is not of use; it is for one goroutine.
type Guard struct {
	daemon           string
	exclusions       map[string]*exclusionState // by key
	revision         uint64
	eagerReadmission bool
	covers           func(kind Kind, server string) bool // the others are another's; nil: all
}

type exclusionState struct {
	committedRevision uint64 // revision of the store that says so, or 0
	committedBy       string // as the store says
	pending           bool   // a word was heard here, whose writing is under way or owed
	again             bool   // and another since that writing began
	owed              bool   // it is to be proposed once more

	inLogTail   bool // the log's end said so at the start, and the copy has not come to that end yet
	seenInStore bool // but the store has spoken of it since
}

func (w *exclusionState) excludes() bool { return w.committedRevision > 0 || w.pending || w.inLogTail }

// NewGuard returns the guard of a daemon that knows nothing yet.
func NewGuard(by string) *Guard { return &Guard{daemon: by, exclusions: map[string]*exclusionState{}} }

// Restrict has the guard hold some servers alone; the words of others pass it by. It is called before anything else.
func (g *Guard) Restrict(only func(kind Kind, server string) bool) { g.covers = only }

// InjectEagerReadmission has a server serve again at this daemon's own word: a fault for tests.
func (g *Guard) InjectEagerReadmission() { g.eagerReadmission = true }

// ExclusionKey is that of a server that is out.
func ExclusionKey(kind Kind, server string) string {
	return ExclusionPrefix + string(kind) + "/" + server
}

// parseKey reads a key that is this guard's.
func (g *Guard) parseKey(key string) (Kind, string, bool) {
	kind, server, ok := parseExclusionKey(key)
	return kind, server, ok && (g.covers == nil || g.covers(kind, server))
}

func parseExclusionKey(key string) (Kind, string, bool) {
	rest, ok := strings.CutPrefix(key, ExclusionPrefix)
	kind, server, found := strings.Cut(rest, "/")
	return Kind(kind), server, ok && found && server != "" && (Kind(kind) == Drain || Kind(kind) == AdminDrain)
}

// Excluded says whether a server is out, whoever says so.
func (g *Guard) Excluded(server string) bool {
	return g.excludedAs(Drain, server) || g.excludedAs(AdminDrain, server)
}

// Is says whether a server is out for a reason.
func (g *Guard) excludedAs(kind Kind, server string) bool {
	w := g.exclusions[ExclusionKey(kind, server)]
	return w != nil && w.excludes()
}

// Observe takes a word that this daemon heard itself. It binds from now on. The operation, if there is one, is to be
// proposed, and Wrote called with what became of it.
func (g *Guard) Observe(kind Kind, server string) (*store.Op, error) {
	key := ExclusionKey(kind, server)
	if _, _, ok := g.parseKey(key); !ok {
		return nil, ErrInvalidServerName
	}
	w := g.exclusions[key]
	if w == nil {
		if len(g.exclusions) >= maxExclusions {
			return nil, ErrTooManyExclusions
		}
		w = &exclusionState{}
		g.exclusions[key] = w
	}
	// Also when the store says so already, or a writing is under way: a return that was made elsewhere meanwhile must
	// not undo what was heard after it.
	if w.pending && !w.owed {
		w.again = true
		return nil, nil
	}
	w.inLogTail = false // it is heard here, which says more
	w.pending, w.owed = true, false
	return g.putOp(key), nil
}

func (g *Guard) putOp(key string) *store.Op {
	b, err := cbor.Marshal(ExclusionRecord{ReportedBy: g.daemon})
	if err != nil {
		panic(err) // a string always can be written
	}
	return &store.Op{Key: key, Value: b}
}

// ProposalDone says whether an operation of Hear or Owed was agreed on. If not, it is owed: its word goes on binding.
func (g *Guard) ProposalDone(key string, ok bool) {
	w := g.exclusions[key]
	if w == nil || !w.pending {
		return
	}
	if !ok || w.again {
		w.owed, w.again = true, false
		return
	}
	w.pending, w.owed = false, false
	g.removeIfServing(key, w)
}

// TakeRetries returns the operations that are to be proposed again.
func (g *Guard) TakeRetries() []store.Op {
	var ops []store.Op
	for key, w := range g.exclusions {
		if w.owed {
			w.owed = false
			ops = append(ops, *g.putOp(key))
		}
	}
	slices.SortFunc(ops, func(a, b store.Op) int { return cmp.Compare(a.Key, b.Key) })
	return ops
}

// Readmit asks that a server serve again. The transaction is to be proposed; nothing changes here until Applied shows
// that it was agreed on. It undoes the word that the store has now: not one that comes after.
func (g *Guard) Readmit(kind Kind, server string) (*store.Txn, error) {
	key := ExclusionKey(kind, server)
	w := g.exclusions[key]
	if w == nil || w.committedRevision == 0 {
		return nil, ErrNotReported
	}
	t := &store.Txn{If: []store.Compare{{Key: key, ModRevision: w.committedRevision}}, Then: []store.Op{{Key: key, Delete: true}}}
	if g.eagerReadmission {
		w.committedRevision, w.pending, w.again, w.owed = 0, false, false, false
	}
	return t, nil
}

// Apply takes a change of the store, in their order. It says whether what binds has changed.
func (g *Guard) Apply(e store.Event) bool {
	if e.Revision < g.revision {
		return false
	}
	g.revision = e.Revision
	_, server, ok := g.parseKey(e.Item.Key)
	if !ok {
		return false
	}
	before := g.Excluded(server)
	w := g.exclusions[e.Item.Key]
	switch {
	case w == nil && e.Deleted:
		return false
	case w == nil:
		w = &exclusionState{}
		g.exclusions[e.Item.Key] = w // the store bounds them
		w.committedRevision = e.Revision
	case e.Deleted:
		w.committedRevision = 0
	default:
		w.committedRevision = e.Revision
	}
	w.committedBy = DecodeExclusion(e.Item.Value).ReportedBy
	w.seenInStore = true
	g.removeIfServing(e.Item.Key, w)
	return before != g.Excluded(server)
}

func (g *Guard) removeIfServing(key string, w *exclusionState) {
	if !w.excludes() {
		delete(g.exclusions, key)
	}
}

// Reset takes the whole of a state, at a start or when the leader sent one. Words of this daemon's own stay. A state
// that is older than what was acted on is refused.
func (g *Guard) Reset(s *store.State) error {
	if s.Revision() < g.revision {
		return ErrRevisionRegressed
	}
	g.revision = s.Revision()
	for key, w := range g.exclusions {
		w.committedRevision = 0
		if i, ok := s.Get(key); ok {
			w.committedRevision, w.committedBy = i.ModRevision, DecodeExclusion(i.Value).ReportedBy
		}
		g.removeIfServing(key, w)
	}
	s.Range(ExclusionPrefix, store.PrefixEnd(ExclusionPrefix), func(i store.Item) bool {
		if _, _, ok := g.parseKey(i.Key); ok && g.exclusions[i.Key] == nil {
			g.exclusions[i.Key] = &exclusionState{committedRevision: i.ModRevision, committedBy: DecodeExclusion(i.Value).ReportedBy}
		}
		return true
	})
	return nil
}

// Uncommitted takes the commands at the end of the log that are not known to be agreed on: a start finds them. What they say is
// out binds, whatever the store says of it meanwhile, until Settled: the copy may have acted on it before it was killed, and
// what it applies on its way there may be older. What they let return does not return. It returns the keys of what binds.
func (g *Guard) Uncommitted(c *store.Command) (keys []string) {
	if c.Txn == nil {
		return nil
	}
	for _, o := range slices.Concat(c.Txn.Then, c.Txn.Else) {
		if _, _, ok := g.parseKey(o.Key); !ok || o.Delete {
			continue
		}
		w := g.exclusions[o.Key]
		if w == nil {
			w = &exclusionState{}
			g.exclusions[o.Key] = w
		}
		w.inLogTail = true
		keys = append(keys, o.Key)
	}
	return keys
}

// CaughtUp says that the copy has come to where the log ended at the start. What the store has not spoken of on the way was
// lost with the log's end, and is owed, since whoever said it may have gone by that. It returns the keys of words that bind no
// more.
func (g *Guard) CaughtUp() (over []string) {
	for key, w := range g.exclusions {
		if !w.inLogTail {
			continue
		}
		w.inLogTail = false
		if w.committedRevision == 0 && !w.seenInStore && !w.pending {
			w.pending, w.owed = true, true
		}
		if g.removeIfServing(key, w); g.exclusions[key] == nil {
			over = append(over, key)
		}
	}
	slices.Sort(over)
	return over
}

// Revision is the highest revision that was acted on.
func (g *Guard) Revision() uint64 { return g.revision }

// Exclusions returns the servers that are out, in order.
func (g *Guard) Exclusions() []Exclusion {
	all := make([]Exclusion, 0, len(g.exclusions))
	for key, w := range g.exclusions {
		kind, server, _ := parseExclusionKey(key)
		o := Exclusion{Kind: kind, Server: server, Committed: w.committedRevision > 0, ReportedBy: g.daemon, AgeMillis: -1}
		if o.Committed {
			o.ReportedBy = w.committedBy
		}
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b Exclusion) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Kind, b.Kind))
	})
	return all
}

// Staleness says how far a daemon's copy may be behind, from the time, on its own clock, since a quorum last confirmed
// it; none at all is the longest. Durations are nanoseconds of a clock that does not step.
type Staleness struct {
	Confirmed bool  // ever, since the start
	Age       int64 // since then
	Allowed   int64 // up to which a copy counts as fresh
}

// Stale says whether operators are to be told that the copy may be behind.
func (s Staleness) Stale() bool { return !s.Confirmed || s.Age > s.Allowed }

// Pending says whether a word heard here is not agreed on yet.
func (g *Guard) Pending(key string) bool {
	w := g.exclusions[key]
	return w != nil && (w.pending || w.inLogTail)
}
