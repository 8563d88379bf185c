package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// RequestID names a request, so that one sent again is not done again. A client is a random number, Seq counts up.
type RequestID struct {
	Client uint64 `cbor:"1,keyasint"`
	Seq    uint64 `cbor:"2,keyasint"`
}

// Command is one change of the state: exactly one of its pointers is set.
type Command struct {
	ID    RequestID      `cbor:"1,keyasint"`
	Since uint64         `cbor:"2,keyasint,omitempty"` // the index applied when the request was first made
	Txn   *Txn           `cbor:"3,keyasint,omitempty"`
	Grant *GrantLease    `cbor:"4,keyasint,omitempty"`
	End   *RevokeLease   `cbor:"5,keyasint,omitempty"`
	Join  *AddMember     `cbor:"6,keyasint,omitempty"`
	Place *RegisterStart `cbor:"7,keyasint,omitempty"`
	Leave *RemoveMember  `cbor:"8,keyasint,omitempty"`
	Raise *RaiseLevel    `cbor:"9,keyasint,omitempty"`
	Renew *RenewLease    `cbor:"11,keyasint,omitempty"`
	Newer any            `cbor:"10,keyasint,omitempty"` // a command of a later level: no replica of this one may go on
}

// Txn compares and then does one list of operations or the other, all or none.
type Txn struct {
	If   []Compare `cbor:"1,keyasint,omitempty" json:"if,omitempty"`
	Then []Op      `cbor:"2,keyasint,omitempty" json:"then,omitempty"`
	Else []Op      `cbor:"3,keyasint,omitempty" json:"else,omitempty"`

	// Bounds are checked with what Then or Else would leave; one that would be passed is ErrFull, and nothing is done.
	// Since level 2.
	Bounds []KeyLimit `cbor:"4,keyasint,omitempty" json:"bounds,omitempty"`

	// Owner, if it is not empty, may tie keys to leases of its own alone; another's is ErrNoLease. Since level 3.
	Owner string `cbor:"5,keyasint,omitempty" json:"owner,omitempty"`
}

// KeyLimit says that no more than so many keys may have a prefix.
type KeyLimit struct {
	Prefix string `cbor:"1,keyasint" json:"prefix"`
	Most   int    `cbor:"2,keyasint" json:"most"`
}

// Compare holds if the key was last put at a revision; 0 means that there is no such key.
type Compare struct {
	Key      string `cbor:"1,keyasint" json:"key"`
	Modified uint64 `cbor:"2,keyasint" json:"modified"`
}

// Op puts a key, or deletes one key or a range of them.
type Op struct {
	Key    string `cbor:"1,keyasint" json:"key"`
	Value  []byte `cbor:"2,keyasint,omitempty" json:"value,omitempty"`
	Lease  uint64 `cbor:"3,keyasint,omitempty" json:"lease,omitempty"`
	Delete bool   `cbor:"4,keyasint,omitempty" json:"delete,omitempty"`
	End    string `cbor:"5,keyasint,omitempty" json:"end,omitempty"` // of the range to delete, not itself in it
}

// Bounds of leases of owners, in milliseconds. Daemons hold to them; a state takes any.
const (
	MinOwnedTTLMillis = 300
	MaxOwnedTTLMillis = 60_000
)

// GrantLease makes a lease.
type GrantLease struct {
	TTL   uint64 `cbor:"1,keyasint"`           // milliseconds
	Owner string `cbor:"2,keyasint,omitempty"` // who alone may renew and end it; empty: anybody. Since level 3
}

// RenewLease keeps a lease for another TTL from now on, by the leader's clock. A lease of another owner is ErrNoLease.
type RenewLease struct {
	Lease uint64 `cbor:"1,keyasint"`
	Owner string `cbor:"2,keyasint,omitempty"` // since level 3
}

// RevokeLease ends a lease, with its keys. One that fell silent ends only if it was not renewed meanwhile: a renewal that
// was answered holds, whoever leads.
type RevokeLease struct {
	Lease   uint64 `cbor:"1,keyasint"`
	Silent  bool   `cbor:"2,keyasint,omitempty"` // then only if
	Renewed uint64 `cbor:"3,keyasint,omitempty"` // it was renewed so often
	Owner   string `cbor:"4,keyasint,omitempty"` // as of Renew, unless Silent is set. Since level 3
}

// AddMember makes a place for a member, who is a learner until it is made a voter. A name that is a member's is refused.
type AddMember struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// RegisterStart is the first word of a start of a member: which disk holds it, how often that was started, and what level of
// commands it knows. A place that is held by another disk is not given, nor to an older start of the same.
type RegisterStart struct {
	Member uint64 `cbor:"1,keyasint"`
	Disk   uint64 `cbor:"2,keyasint"`
	Boot   uint64 `cbor:"3,keyasint"`
	Level  uint64 `cbor:"4,keyasint"`
}

// RemoveMember ends a membership; the id is never given again.
type RemoveMember struct {
	Member uint64 `cbor:"1,keyasint"`
}

// RaiseLevel has commands of a level used, once every member knows it.
type RaiseLevel struct {
	Level uint64 `cbor:"1,keyasint"`
}

// Result answers a command.
type Result struct {
	Index    uint64 // of the command
	Revision uint64 // after it
	Held     bool   // of a Txn: the comparisons held
	Lease    uint64 // of a Grant
	Member   uint64 // of a Join
	Again    bool   // the request had been done before; this is what it was answered then
	Err      error  // one of this package's
}

// Level is the version of commands that this build knows. A build that knows more goes on using this one until every
// member knows more.
const Level = 3

// Levels of commands.
const (
	levelFirst  = 1
	levelBounds = 2 // Txn.Bounds
	LevelOwners = 3 // leases of owners, and with them tasks
)

// RequiredLevel is the least level of commands by which this one can be read. Until the cluster uses it, the command is refused.
func (c *Command) RequiredLevel() uint64 {
	switch {
	case c.Txn != nil && c.Txn.Owner != "", c.Grant != nil && c.Grant.Owner != "", c.Renew != nil && c.Renew.Owner != "",
		c.End != nil && c.End.Owner != "":
		return LevelOwners
	case c.Txn != nil && len(c.Txn.Bounds) > 0:
		return levelBounds
	}
	return levelFirst
}

const commandMost = 16 << 20 // bytes of a command

var (
	encoding = must(cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode())
	decoding = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 1 << 16,
		MaxMapPairs: 1 << 10, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode writes a command as its first byte, the level that it needs, and CBOR.
func (c *Command) Encode() ([]byte, error) {
	b, err := encoding.Marshal(c)
	if err == nil && len(b) >= commandMost {
		err = ErrTooLarge
	}
	if err != nil {
		return nil, fmt.Errorf("command: %w", err)
	}
	return append([]byte{byte(c.RequiredLevel())}, b...), nil
}

// CommandLevel is the level that an encoded command needs, 0 if it is none.
func CommandLevel(b []byte) uint64 {
	if len(b) == 0 {
		return 0
	}
	return uint64(b[0])
}

// DecodeCommand reads what Encode wrote. A command of a newer level is ErrUnknownOp: a replica that meets one in its
// log must stop, for to leave it out would make it differ from the others.
func DecodeCommand(b []byte) (*Command, error) {
	if len(b) == 0 || len(b) > commandMost {
		return nil, fmt.Errorf("command: %d bytes", len(b))
	}
	if b[0] > Level {
		return nil, fmt.Errorf("%w: level %d, and this build knows %d", ErrUnknownCommand, b[0], Level)
	}
	c := &Command{}
	if err := decoding.Unmarshal(b[1:], c); err != nil {
		var field *cbor.UnknownFieldError
		if errors.As(err, &field) {
			return nil, fmt.Errorf("%w: %v", ErrUnknownCommand, err)
		}
		return nil, fmt.Errorf("command: %w", err)
	}
	set := 0
	for _, is := range []bool{c.Txn != nil, c.Grant != nil, c.End != nil, c.Join != nil, c.Place != nil, c.Leave != nil,
		c.Raise != nil, c.Renew != nil} {
		if is {
			set++
		}
	}
	if c.Newer != nil {
		return nil, ErrUnknownCommand
	}
	if set != 1 {
		return nil, fmt.Errorf("command: %d things to do", set)
	}
	return c, nil
}

// Check says what is wrong with a command before it is sent to all. Apply finds the same, and changes nothing.
func (s *State) Check(c *Command) error {
	if c.RequiredLevel() > s.level {
		return ErrLevel
	}
	if c.Grant != nil && len(c.Grant.Owner) > s.limits.Key {
		return ErrTooLarge
	}
	if c.Txn == nil {
		return nil
	}
	t := c.Txn
	if max(len(t.If), len(t.Then), len(t.Else), len(t.Bounds)) > s.limits.Ops {
		return ErrTooLarge
	}
	for _, b := range t.Bounds {
		if b.Prefix == "" || len(b.Prefix) > s.limits.Key || b.Most < 1 {
			return ErrBadKey
		}
	}
	for _, q := range t.If {
		if q.Key == "" || len(q.Key) > s.limits.Key {
			return ErrBadKey
		}
	}
	for _, ops := range [][]Op{t.Then, t.Else} {
		seen := map[string]bool{}
		for _, o := range ops {
			if o.Key == "" || seen[o.Key] {
				return ErrBadKey
			}
			seen[o.Key] = true
			if len(o.Key) > s.limits.Key || len(o.Value) > s.limits.Value {
				return ErrTooLarge
			}
		}
	}
	return nil
}

// Apply does a command that stands at an index of the log. A command that is refused changes nothing but the index,
// and the memory of what it was answered.
func (s *State) Apply(index uint64, c *Command) Result {
	s.index = index
	if c.ID != (RequestID{}) {
		if r, ok := s.results.find(c.ID); ok {
			r.Again = true
			return r
		}
		if c.Since < s.results.ring.oldest {
			return Result{Index: index, Revision: s.revision, Err: ErrRequestExpired}
		}
	}
	r := s.do(c)
	r.Index, r.Revision = index, s.revision
	if c.ID != (RequestID{}) {
		s.results.keep(c.ID, r, s.limits.Results)
	}
	return r
}

// SkipIndex counts an entry of the log that holds no command.
func (s *State) SkipIndex(index uint64) { s.index = index }

func (s *State) do(c *Command) Result {
	if err := s.Check(c); err != nil {
		return Result{Err: err}
	}
	switch {
	case c.Txn != nil:
		return s.txn(c.Txn)
	case c.Grant != nil:
		if len(s.leases) >= s.limits.Leases {
			return Result{Err: ErrFull}
		}
		s.lastID++
		s.leases[s.lastID] = &lease{Lease: Lease{ID: s.lastID, TTL: c.Grant.TTL, Owner: c.Grant.Owner}, keys: map[string]struct{}{}}
		return Result{Lease: s.lastID}
	case c.End != nil:
		l := s.leases[c.End.Lease]
		if l != nil && c.End.Silent && l.Renewed != c.End.Renewed {
			return Result{Lease: l.ID}
		}
		if l != nil && !c.End.Silent && l.Owner != c.End.Owner {
			return Result{Err: ErrLeaseNotFound}
		}
		return s.end(c.End.Lease)
	case c.Renew != nil:
		l := s.leases[c.Renew.Lease]
		if l == nil || l.Owner != c.Renew.Owner {
			return Result{Err: ErrLeaseNotFound}
		}
		l.Renewed++
		return Result{Lease: l.ID}
	case c.Join != nil:
		return s.join(c.Join)
	case c.Place != nil:
		return s.place(c.Place)
	case c.Leave != nil:
		at := s.memberAt(c.Leave.Member)
		if at < 0 || len(s.members) == 1 {
			return Result{Err: ErrUnknownMember}
		}
		s.members = slices.Delete(slices.Clone(s.members), at, at+1)
		return Result{Member: c.Leave.Member}
	case c.Raise != nil:
		for _, m := range s.members {
			if m.Level < c.Raise.Level {
				return Result{Err: ErrLevel}
			}
		}
		s.level = max(s.level, c.Raise.Level)
		return Result{}
	}
	return Result{Err: ErrUnknownCommand}
}

func (s *State) txn(t *Txn) Result {
	held := true
	for _, q := range t.If {
		var at uint64
		if i, ok := s.items.Get(&Item{Key: q.Key}); ok {
			at = i.Modified
		}
		held = held && at == q.Modified
	}
	ops := t.Then
	if !held {
		ops = t.Else
	}
	// All or none: what could go wrong is looked for first. Deletions in the same transaction make no room.
	for _, b := range t.Bounds {
		if s.over(b, ops) {
			return Result{Held: held, Err: ErrFull}
		}
	}
	grown := 0
	for _, o := range ops {
		if o.Delete {
			continue
		}
		if l, ok := s.leases[o.Lease]; o.Lease != 0 && (!ok || t.Owner != "" && l.Owner != t.Owner) {
			return Result{Held: held, Err: ErrLeaseNotFound}
		}
		grown += len(o.Key) + len(o.Value) + itemCost
		if old, ok := s.items.Get(&Item{Key: o.Key}); ok {
			grown -= old.size()
		}
	}
	if grown > 0 && s.size+grown > s.limits.Total {
		return Result{Held: held, Err: ErrFull}
	}
	rev := s.revision + 1
	for _, o := range ops {
		switch {
		case !o.Delete:
			s.put(rev, o)
		case o.End == "":
			s.remove(rev, o.Key)
		default:
			var keys []string
			s.Range(o.Key, o.End, func(i Item) bool { keys = append(keys, i.Key); return true })
			for _, k := range keys {
				s.remove(rev, k)
			}
		}
	}
	return Result{Held: held}
}

// over says whether operations would leave more keys under a prefix than it may have. A bound that was lowered under what
// is there refuses new keys alone.
func (s *State) over(b KeyLimit, ops []Op) bool {
	added := 0
	for _, o := range ops {
		if !o.Delete && strings.HasPrefix(o.Key, b.Prefix) {
			if _, ok := s.items.Get(&Item{Key: o.Key}); !ok {
				added++
			}
		}
	}
	if added == 0 {
		return false
	}
	n := added
	s.Range(b.Prefix, PrefixEnd(b.Prefix), func(Item) bool { n++; return n <= b.Most })
	return n > b.Most
}

func (s *State) put(rev uint64, o Op) {
	n := &Item{Key: o.Key, Value: o.Value, Created: rev, Modified: rev, Version: 1, Lease: o.Lease}
	if old, ok := s.items.Get(n); ok {
		n.Created, n.Version = old.Created, old.Version+1
		s.size -= old.size()
		s.detach(old)
	}
	if l := s.leases[n.Lease]; l != nil {
		l.keys[n.Key] = struct{}{}
	}
	s.size += n.size()
	s.items.ReplaceOrInsert(n)
	s.happened(Event{Revision: rev, Item: *n})
}

func (s *State) remove(rev uint64, key string) {
	old, ok := s.items.Delete(&Item{Key: key})
	if !ok {
		return
	}
	s.size -= old.size()
	s.detach(old)
	s.happened(Event{Revision: rev, Deleted: true, Item: Item{Key: key}})
}

func (s *State) detach(i *Item) {
	if l := s.leases[i.Lease]; l != nil {
		delete(l.keys, i.Key)
	}
}

// happened adds to the history; the first event of a revision is what counts it.
func (s *State) happened(e Event) {
	s.revision = e.Revision
	s.remember(e)
	if s.fresh != nil {
		s.fresh(e)
	}
}

// remember adds to the history within its bounds.
func (s *State) remember(e Event) {
	h, events, bytes := &s.history, s.limits.Events, s.limits.History
	if s.part != nil {
		events, bytes = min(events, partEvents), min(bytes, partHistory)
	}
	h.push(e, e.Item.size())
	for h.len() > 1 && (h.len() > events || h.bytes > bytes) {
		h.drop(h.at(0).Item.size(), h.at(0).Revision)
	}
}

func (s *State) end(id uint64) Result {
	l, ok := s.leases[id]
	if !ok {
		return Result{Err: ErrLeaseNotFound}
	}
	delete(s.leases, id)
	keys := make([]string, 0, len(l.keys))
	for k := range l.keys {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	rev := s.revision + 1
	for _, k := range keys {
		s.remove(rev, k)
	}
	return Result{Lease: id}
}

func (s *State) join(j *AddMember) Result {
	if j.Name == "" || len(j.Name)+len(j.Address) > s.limits.Key {
		return Result{Err: ErrBadKey}
	}
	if len(s.members) >= s.limits.Members {
		return Result{Err: ErrFull}
	}
	for _, m := range s.members {
		if m.Name == j.Name {
			return Result{Member: m.ID, Err: ErrUnknownMember}
		}
	}
	s.lastID++
	s.members = append(slices.Clone(s.members), Member{ID: s.lastID, Name: j.Name, Address: j.Address, Learner: true})
	return Result{Member: s.lastID}
}

func (s *State) place(p *RegisterStart) Result {
	at := s.memberAt(p.Member)
	if at < 0 {
		return Result{Err: ErrUnknownMember}
	}
	m := s.members[at]
	if m.Disk != 0 && m.Disk != p.Disk || m.Boot > p.Boot {
		return Result{Member: p.Member, Err: ErrUnknownMember}
	}
	m.Disk, m.Boot, m.Level = p.Disk, p.Boot, p.Level
	s.members = slices.Clone(s.members)
	s.members[at] = m
	return Result{Member: p.Member}
}

// SetVoter says whether a member has a vote, as a change of the cluster's makeup that was agreed on says.
func (s *State) SetVoter(id uint64, voter bool) {
	if at := s.memberAt(id); at >= 0 {
		s.members = slices.Clone(s.members)
		s.members[at].Learner = !voter
	}
}

// Bootstrap makes the first member of a new cluster, a voter with the id 1.
func (s *State) Bootstrap(name, address string, disk uint64) {
	s.lastID++
	s.members = []Member{{ID: s.lastID, Name: name, Address: address, Disk: disk, Level: Level}}
}

// results remembers what requests were answered.
type results struct {
	ring ring[done]
	by   map[RequestID]Result
}

type done struct {
	ID     RequestID
	Result Result
}

func (r *results) find(id RequestID) (Result, bool) {
	v, ok := r.by[id]
	return v, ok
}

func (r *results) keep(id RequestID, v Result, most int) {
	if r.by == nil {
		r.by = map[RequestID]Result{}
	}
	r.by[id] = v
	r.ring.push(done{id, v}, 0)
	for r.ring.len() > most {
		old := r.ring.at(0)
		delete(r.by, old.ID)
		r.ring.drop(0, old.Result.Index)
	}
}

// clone is for saving alone: it finds nothing.
func (r *results) clone() results { return results{ring: r.ring.clone()} }
