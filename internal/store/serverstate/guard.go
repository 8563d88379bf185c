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

const mostWords = 65536 // servers that are out, for all kinds

// ExclusionRecord is the value of a key under Prefix.
type ExclusionRecord struct {
	By string `cbor:"1,keyasint" json:"by"` // daemon that told it
}

// IsServerKey says whether a key is one by which daemons tell each other of servers.
func IsServerKey(key string) bool {
	return strings.HasPrefix(key, ExclusionPrefix) || strings.HasPrefix(key, StartPrefix) || strings.HasPrefix(key, SnapshotPrefix)
}

// DecodeExclusion reads a mark; what is none is an empty one.
func DecodeExclusion(b []byte) (m ExclusionRecord) {
	if record.Unmarshal(b, &m) != nil {
		return ExclusionRecord{}
	}
	return m
}

// Exclusion is a server that is out.
type Exclusion struct {
	Kind   Kind   `json:"kind"`
	Server string `json:"server"`
	Agreed bool   `json:"agreed"` // the quorum knows; if not, it is this daemon's word alone
	By     string `json:"by"`     // the daemon that told it, latest
	AgeMs  int64  `json:"age_ms"` // since that word came to this copy; -1: before this start, or not at all
}

// Guard holds which servers are out. The zero value is not of use; it is for one goroutine.
type Guard struct {
	by    string
	words map[string]*word // by key
	floor uint64
	eager bool
	only  func(kind Kind, server string) bool // the others are another's; nil: all
}

type word struct {
	agreed  uint64 // revision of the store that says so, or 0
	by      string // as the store says
	pending bool   // a word was heard here, whose writing is under way or owed
	again   bool   // and another since that writing began
	owed    bool   // it is to be proposed once more

	tail bool // the log's end said so at the start, and the copy has not come to that end yet
	said bool // but the store has spoken of it since
}

func (w *word) binds() bool { return w.agreed > 0 || w.pending || w.tail }

// NewGuard returns the guard of a daemon that knows nothing yet.
func NewGuard(by string) *Guard { return &Guard{by: by, words: map[string]*word{}} }

// Only has the guard hold some servers alone; the words of others pass it by. It is called before anything else.
func (g *Guard) Only(only func(kind Kind, server string) bool) { g.only = only }

// PlantEagerReturn has a server serve again at this daemon's own word: a fault for tests.
func (g *Guard) PlantEagerReturn() { g.eager = true }

// ExclusionKey is that of a server that is out.
func ExclusionKey(kind Kind, server string) string {
	return ExclusionPrefix + string(kind) + "/" + server
}

// parse reads a key that is this guard's.
func (g *Guard) parse(key string) (Kind, string, bool) {
	kind, server, ok := parse(key)
	return kind, server, ok && (g.only == nil || g.only(kind, server))
}

func parse(key string) (Kind, string, bool) {
	rest, ok := strings.CutPrefix(key, ExclusionPrefix)
	kind, server, found := strings.Cut(rest, "/")
	return Kind(kind), server, ok && found && server != "" && (Kind(kind) == Drain || Kind(kind) == AdminDrain)
}

// Out says whether a server is out, whoever says so.
func (g *Guard) Out(server string) bool { return g.is(Drain, server) || g.is(AdminDrain, server) }

// Is says whether a server is out for a reason.
func (g *Guard) is(kind Kind, server string) bool {
	w := g.words[ExclusionKey(kind, server)]
	return w != nil && w.binds()
}

// Hear takes a word that this daemon heard itself. It binds from now on. The operation, if there is one, is to be
// proposed, and Wrote called with what became of it.
func (g *Guard) Hear(kind Kind, server string) (*store.Op, error) {
	key := ExclusionKey(kind, server)
	if _, _, ok := g.parse(key); !ok {
		return nil, ErrInvalidServerName
	}
	w := g.words[key]
	if w == nil {
		if len(g.words) >= mostWords {
			return nil, ErrTooManyExclusions
		}
		w = &word{}
		g.words[key] = w
	}
	// Also when the store says so already, or a writing is under way: a return that was made elsewhere meanwhile must
	// not undo what was heard after it.
	if w.pending && !w.owed {
		w.again = true
		return nil, nil
	}
	w.tail = false // it is heard here, which says more
	w.pending, w.owed = true, false
	return g.put(key), nil
}

func (g *Guard) put(key string) *store.Op {
	b, err := cbor.Marshal(ExclusionRecord{By: g.by})
	if err != nil {
		panic(err) // a string always can be written
	}
	return &store.Op{Key: key, Value: b}
}

// Wrote says whether an operation of Hear or Owed was agreed on. If not, it is owed: its word goes on binding.
func (g *Guard) Wrote(key string, ok bool) {
	w := g.words[key]
	if w == nil || !w.pending {
		return
	}
	if !ok || w.again {
		w.owed, w.again = true, false
		return
	}
	w.pending, w.owed = false, false
	g.tidy(key, w)
}

// Owed returns the operations that are to be proposed again.
func (g *Guard) Owed() []store.Op {
	var ops []store.Op
	for key, w := range g.words {
		if w.owed {
			w.owed = false
			ops = append(ops, *g.put(key))
		}
	}
	slices.SortFunc(ops, func(a, b store.Op) int { return cmp.Compare(a.Key, b.Key) })
	return ops
}

// Return asks that a server serve again. The transaction is to be proposed; nothing changes here until Applied shows
// that it was agreed on. It undoes the word that the store has now: not one that comes after.
func (g *Guard) Return(kind Kind, server string) (*store.Txn, error) {
	key := ExclusionKey(kind, server)
	w := g.words[key]
	if w == nil || w.agreed == 0 {
		return nil, ErrNotReported
	}
	t := &store.Txn{If: []store.Compare{{Key: key, ModRevision: w.agreed}}, Then: []store.Op{{Key: key, Delete: true}}}
	if g.eager {
		w.agreed, w.pending, w.again, w.owed = 0, false, false, false
	}
	return t, nil
}

// Applied takes a change of the store, in their order. It says whether what binds has changed.
func (g *Guard) Applied(e store.Event) bool {
	if e.Revision < g.floor {
		return false
	}
	g.floor = e.Revision
	_, server, ok := g.parse(e.Item.Key)
	if !ok {
		return false
	}
	before := g.Out(server)
	w := g.words[e.Item.Key]
	switch {
	case w == nil && e.Deleted:
		return false
	case w == nil:
		w = &word{}
		g.words[e.Item.Key] = w // the store bounds them
		w.agreed = e.Revision
	case e.Deleted:
		w.agreed = 0
	default:
		w.agreed = e.Revision
	}
	w.by = DecodeExclusion(e.Item.Value).By
	w.said = true
	g.tidy(e.Item.Key, w)
	return before != g.Out(server)
}

func (g *Guard) tidy(key string, w *word) {
	if !w.binds() {
		delete(g.words, key)
	}
}

// Reset takes the whole of a state, at a start or when the leader sent one. Words of this daemon's own stay. A state
// that is older than what was acted on is refused.
func (g *Guard) Reset(s *store.State) error {
	if s.Revision() < g.floor {
		return ErrRevisionRegressed
	}
	g.floor = s.Revision()
	for key, w := range g.words {
		w.agreed = 0
		if i, ok := s.Get(key); ok {
			w.agreed, w.by = i.ModRevision, DecodeExclusion(i.Value).By
		}
		g.tidy(key, w)
	}
	s.Range(ExclusionPrefix, store.PrefixEnd(ExclusionPrefix), func(i store.Item) bool {
		if _, _, ok := g.parse(i.Key); ok && g.words[i.Key] == nil {
			g.words[i.Key] = &word{agreed: i.ModRevision, by: DecodeExclusion(i.Value).By}
		}
		return true
	})
	return nil
}

// Unsettled takes the commands at the end of the log that are not known to be agreed on: a start finds them. What they say is
// out binds, whatever the store says of it meanwhile, until Settled: the copy may have acted on it before it was killed, and
// what it applies on its way there may be older. What they let return does not return. It returns the keys of what binds.
func (g *Guard) Unsettled(c *store.Command) (keys []string) {
	if c.Txn == nil {
		return nil
	}
	for _, o := range slices.Concat(c.Txn.Then, c.Txn.Else) {
		if _, _, ok := g.parse(o.Key); !ok || o.Delete {
			continue
		}
		w := g.words[o.Key]
		if w == nil {
			w = &word{}
			g.words[o.Key] = w
		}
		w.tail = true
		keys = append(keys, o.Key)
	}
	return keys
}

// Settled says that the copy has come to where the log ended at the start. What the store has not spoken of on the way was
// lost with the log's end, and is owed, since whoever said it may have gone by that. It returns the keys of words that bind no
// more.
func (g *Guard) Settled() (over []string) {
	for key, w := range g.words {
		if !w.tail {
			continue
		}
		w.tail = false
		if w.agreed == 0 && !w.said && !w.pending {
			w.pending, w.owed = true, true
		}
		if g.tidy(key, w); g.words[key] == nil {
			over = append(over, key)
		}
	}
	slices.Sort(over)
	return over
}

// Floor is the highest revision that was acted on.
func (g *Guard) Floor() uint64 { return g.floor }

// All returns the servers that are out, in order.
func (g *Guard) All() []Exclusion {
	all := make([]Exclusion, 0, len(g.words))
	for key, w := range g.words {
		kind, server, _ := parse(key)
		o := Exclusion{Kind: kind, Server: server, Agreed: w.agreed > 0, By: g.by, AgeMs: -1}
		if o.Agreed {
			o.By = w.by
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
	w := g.words[key]
	return w != nil && (w.pending || w.tail)
}
