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
	ID            RequestID      `cbor:"1,keyasint"`
	SinceIndex    uint64         `cbor:"2,keyasint,omitempty"` // the index applied when the request was first made
	Txn           *Txn           `cbor:"3,keyasint,omitempty"`
	GrantLease    *GrantLease    `cbor:"4,keyasint,omitempty"`
	RevokeLease   *RevokeLease   `cbor:"5,keyasint,omitempty"`
	AddMember     *AddMember     `cbor:"6,keyasint,omitempty"`
	RegisterStart *RegisterStart `cbor:"7,keyasint,omitempty"`
	RemoveMember  *RemoveMember  `cbor:"8,keyasint,omitempty"`
	RaiseLevel    *RaiseLevel    `cbor:"9,keyasint,omitempty"`
	RenewLease    *RenewLease    `cbor:"11,keyasint,omitempty"`
	Newer         any            `cbor:"10,keyasint,omitempty"` // a command of a later level: no replica of this one may go on
}

// Txn compares and then does one list of operations or the other, all or none.
type Txn struct {
	If   []Compare `cbor:"1,keyasint,omitempty" json:"if,omitempty"`
	Then []Op      `cbor:"2,keyasint,omitempty" json:"then,omitempty"`
	Else []Op      `cbor:"3,keyasint,omitempty" json:"else,omitempty"`

	// KeyLimits are checked with what Then or Else would leave; one that would be passed is ErrFull, and nothing is done.
	// Since level 2.
	KeyLimits []KeyLimit `cbor:"4,keyasint,omitempty" json:"bounds,omitempty"`

	// Owner, if it is not empty, may tie keys to leases of its own alone; another's is ErrNoLease. Since level 3.
	Owner string `cbor:"5,keyasint,omitempty" json:"owner,omitempty"`
}

// KeyLimit says that no more than so many keys may have a prefix.
type KeyLimit struct {
	Prefix  string `cbor:"1,keyasint" json:"prefix"`
	MaxKeys int    `cbor:"2,keyasint" json:"most"`
}

// Compare holds if the key was last put at a revision; 0 means that there is no such key.
type Compare struct {
	Key         string `cbor:"1,keyasint" json:"key"`
	ModRevision uint64 `cbor:"2,keyasint" json:"modified"`
}

// Op puts a key, or deletes one key or a range of them.
type Op struct {
	Key      string `cbor:"1,keyasint" json:"key"`
	Value    []byte `cbor:"2,keyasint,omitempty" json:"value,omitempty"`
	LeaseID  uint64 `cbor:"3,keyasint,omitempty" json:"lease,omitempty"`
	Delete   bool   `cbor:"4,keyasint,omitempty" json:"delete,omitempty"`
	RangeEnd string `cbor:"5,keyasint,omitempty" json:"end,omitempty"` // of the range to delete, not itself in it
}

// Bounds of leases of owners, in milliseconds. Daemons hold to them; a state takes any.
const (
	MinOwnedTTLMillis = 300
	MaxOwnedTTLMillis = 60_000
)

// GrantLease makes a lease.
type GrantLease struct {
	TTLMillis uint64 `cbor:"1,keyasint"`           // milliseconds
	Owner     string `cbor:"2,keyasint,omitempty"` // who alone may renew and end it; empty: anybody. Since level 3
}

// RenewLease keeps a lease for another TTL from now on, by the leader's clock. A lease of another owner is ErrNoLease.
type RenewLease struct {
	LeaseID uint64 `cbor:"1,keyasint"`
	Owner   string `cbor:"2,keyasint,omitempty"` // since level 3
}

// RevokeLease ends a lease, with its keys. One that fell silent ends only if it was not renewed meanwhile: a renewal that
// was answered holds, whoever leads.
type RevokeLease struct {
	LeaseID  uint64 `cbor:"1,keyasint"`
	Expired  bool   `cbor:"2,keyasint,omitempty"` // then only if
	Renewals uint64 `cbor:"3,keyasint,omitempty"` // it was renewed so often
	Owner    string `cbor:"4,keyasint,omitempty"` // as of Renew, unless Silent is set. Since level 3
}

// AddMember makes a place for a member, who is a learner until it is made a voter. A name that is a member's is refused.
type AddMember struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// RegisterStart is the first word of a start of a member: which disk holds it, how often that was started, and what level of
// commands it knows. A place that is held by another disk is not given, nor to an older start of the same.
type RegisterStart struct {
	MemberID uint64 `cbor:"1,keyasint"`
	DiskID   uint64 `cbor:"2,keyasint"`
	Boot     uint64 `cbor:"3,keyasint"`
	Level    uint64 `cbor:"4,keyasint"`
}

// RemoveMember ends a membership; the id is never given again.
type RemoveMember struct {
	MemberID uint64 `cbor:"1,keyasint"`
}

// RaiseLevel has commands of a level used, once every member knows it.
type RaiseLevel struct {
	Level uint64 `cbor:"1,keyasint"`
}

// Result answers a command.
type Result struct {
	Index     uint64 // of the command
	Revision  uint64 // after it
	Succeeded bool   // of a Txn: the comparisons held
	LeaseID   uint64 // of a Grant
	MemberID  uint64 // of a Join
	Duplicate bool   // the request had been done before; this is what it was answered then
	Err       error  // one of this package's
}

// Level is the version of commands that this build knows. A build that knows more goes on using this one until every
// member knows more.
const Level = 3

// Levels of commands.
const (
	levelInitial   = 1
	levelKeyLimits = 2 // Txn.Bounds
	LevelOwners    = 3 // leases of owners, and with them tasks
)

// RequiredLevel is the least level of commands by which this one can be read. Until the cluster uses it, the command is refused.
func (c *Command) RequiredLevel() uint64 {
	switch {
	case c.Txn != nil && c.Txn.Owner != "", c.GrantLease != nil && c.GrantLease.Owner != "", c.RenewLease != nil && c.RenewLease.Owner != "",
		c.RevokeLease != nil && c.RevokeLease.Owner != "":
		return LevelOwners
	case c.Txn != nil && len(c.Txn.KeyLimits) > 0:
		return levelKeyLimits
	}
	return levelInitial
}

const maxCommandBytes = 16 << 20 // bytes of a command

var (
	encMode = must(cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode())
	decMode = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 1 << 16,
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
	b, err := encMode.Marshal(c)
	if err == nil && len(b) >= maxCommandBytes {
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
	if len(b) == 0 || len(b) > maxCommandBytes {
		return nil, fmt.Errorf("command: %d bytes", len(b))
	}
	if b[0] > Level {
		return nil, fmt.Errorf("%w: level %d, and this build knows %d", ErrUnknownCommand, b[0], Level)
	}
	c := &Command{}
	if err := decMode.Unmarshal(b[1:], c); err != nil {
		var field *cbor.UnknownFieldError
		if errors.As(err, &field) {
			return nil, fmt.Errorf("%w: %v", ErrUnknownCommand, err)
		}
		return nil, fmt.Errorf("command: %w", err)
	}
	set := 0
	for _, is := range []bool{c.Txn != nil, c.GrantLease != nil, c.RevokeLease != nil, c.AddMember != nil, c.RegisterStart != nil, c.RemoveMember != nil,
		c.RaiseLevel != nil, c.RenewLease != nil} {
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

// Validate says what is wrong with a command before it is sent to all. Apply finds the same, and changes nothing.
func (s *State) Validate(c *Command) error {
	if c.RequiredLevel() > s.level {
		return ErrLevel
	}
	if c.GrantLease != nil && len(c.GrantLease.Owner) > s.limits.KeyBytes {
		return ErrTooLarge
	}
	if c.Txn == nil {
		return nil
	}
	t := c.Txn
	if max(len(t.If), len(t.Then), len(t.Else), len(t.KeyLimits)) > s.limits.TxnOps {
		return ErrTooLarge
	}
	for _, b := range t.KeyLimits {
		if b.Prefix == "" || len(b.Prefix) > s.limits.KeyBytes || b.MaxKeys < 1 {
			return ErrBadKey
		}
	}
	for _, q := range t.If {
		if q.Key == "" || len(q.Key) > s.limits.KeyBytes {
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
			if len(o.Key) > s.limits.KeyBytes || len(o.Value) > s.limits.ValueBytes {
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
			r.Duplicate = true
			return r
		}
		if c.SinceIndex < s.results.ring.oldest {
			return Result{Index: index, Revision: s.revision, Err: ErrRequestExpired}
		}
	}
	r := s.execute(c)
	r.Index, r.Revision = index, s.revision
	if c.ID != (RequestID{}) {
		s.results.add(c.ID, r, s.limits.Results)
	}
	return r
}

// SkipIndex counts an entry of the log that holds no command.
func (s *State) SkipIndex(index uint64) { s.index = index }

func (s *State) execute(c *Command) Result {
	if err := s.Validate(c); err != nil {
		return Result{Err: err}
	}
	switch {
	case c.Txn != nil:
		return s.applyTxn(c.Txn)
	case c.GrantLease != nil:
		if len(s.leases) >= s.limits.Leases {
			return Result{Err: ErrFull}
		}
		s.lastID++
		s.leases[s.lastID] = &lease{Lease: Lease{ID: s.lastID, TTLMillis: c.GrantLease.TTLMillis, Owner: c.GrantLease.Owner}, keys: map[string]struct{}{}}
		return Result{LeaseID: s.lastID}
	case c.RevokeLease != nil:
		l := s.leases[c.RevokeLease.LeaseID]
		if l != nil && c.RevokeLease.Expired && l.Renewals != c.RevokeLease.Renewals {
			return Result{LeaseID: l.ID}
		}
		if l != nil && !c.RevokeLease.Expired && l.Owner != c.RevokeLease.Owner {
			return Result{Err: ErrLeaseNotFound}
		}
		return s.endLease(c.RevokeLease.LeaseID)
	case c.RenewLease != nil:
		l := s.leases[c.RenewLease.LeaseID]
		if l == nil || l.Owner != c.RenewLease.Owner {
			return Result{Err: ErrLeaseNotFound}
		}
		l.Renewals++
		return Result{LeaseID: l.ID}
	case c.AddMember != nil:
		return s.addMember(c.AddMember)
	case c.RegisterStart != nil:
		return s.registerStart(c.RegisterStart)
	case c.RemoveMember != nil:
		at := s.memberIndex(c.RemoveMember.MemberID)
		if at < 0 || len(s.members) == 1 {
			return Result{Err: ErrUnknownMember}
		}
		s.members = slices.Delete(slices.Clone(s.members), at, at+1)
		return Result{MemberID: c.RemoveMember.MemberID}
	case c.RaiseLevel != nil:
		for _, m := range s.members {
			if m.Level < c.RaiseLevel.Level {
				return Result{Err: ErrLevel}
			}
		}
		s.level = max(s.level, c.RaiseLevel.Level)
		return Result{}
	}
	return Result{Err: ErrUnknownCommand}
}

func (s *State) applyTxn(t *Txn) Result {
	held := true
	for _, q := range t.If {
		var at uint64
		if i, ok := s.items.Get(&Item{Key: q.Key}); ok {
			at = i.ModRevision
		}
		held = held && at == q.ModRevision
	}
	ops := t.Then
	if !held {
		ops = t.Else
	}
	// All or none: what could go wrong is looked for first. Deletions in the same transaction make no room.
	for _, b := range t.KeyLimits {
		if s.exceeds(b, ops) {
			return Result{Succeeded: held, Err: ErrFull}
		}
	}
	grown := 0
	for _, o := range ops {
		if o.Delete {
			continue
		}
		if l, ok := s.leases[o.LeaseID]; o.LeaseID != 0 && (!ok || t.Owner != "" && l.Owner != t.Owner) {
			return Result{Succeeded: held, Err: ErrLeaseNotFound}
		}
		grown += len(o.Key) + len(o.Value) + itemOverheadBytes
		if old, ok := s.items.Get(&Item{Key: o.Key}); ok {
			grown -= old.size()
		}
	}
	if grown > 0 && s.size+grown > s.limits.TotalBytes {
		return Result{Succeeded: held, Err: ErrFull}
	}
	rev := s.revision + 1
	for _, o := range ops {
		switch {
		case !o.Delete:
			s.put(rev, o)
		case o.RangeEnd == "":
			s.remove(rev, o.Key)
		default:
			var keys []string
			s.Range(o.Key, o.RangeEnd, func(i Item) bool { keys = append(keys, i.Key); return true })
			for _, k := range keys {
				s.remove(rev, k)
			}
		}
	}
	return Result{Succeeded: held}
}

// exceeds says whether operations would leave more keys under a prefix than it may have. A bound that was lowered under what
// is there refuses new keys alone.
func (s *State) exceeds(b KeyLimit, ops []Op) bool {
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
	s.Range(b.Prefix, PrefixEnd(b.Prefix), func(Item) bool { n++; return n <= b.MaxKeys })
	return n > b.MaxKeys
}

func (s *State) put(rev uint64, o Op) {
	n := &Item{Key: o.Key, Value: o.Value, CreateRevision: rev, ModRevision: rev, Version: 1, LeaseID: o.LeaseID}
	if old, ok := s.items.Get(n); ok {
		n.CreateRevision, n.Version = old.CreateRevision, old.Version+1
		s.size -= old.size()
		s.detach(old)
	}
	if l := s.leases[n.LeaseID]; l != nil {
		l.keys[n.Key] = struct{}{}
	}
	s.size += n.size()
	s.items.ReplaceOrInsert(n)
	s.recordEvent(Event{Revision: rev, Item: *n})
}

func (s *State) remove(rev uint64, key string) {
	old, ok := s.items.Delete(&Item{Key: key})
	if !ok {
		return
	}
	s.size -= old.size()
	s.detach(old)
	s.recordEvent(Event{Revision: rev, Deleted: true, Item: Item{Key: key}})
}

func (s *State) detach(i *Item) {
	if l := s.leases[i.LeaseID]; l != nil {
		delete(l.keys, i.Key)
	}
}

// recordEvent adds to the history; the first event of a revision is what counts it.
func (s *State) recordEvent(e Event) {
	s.revision = e.Revision
	s.appendHistory(e)
	if s.onEvent != nil {
		s.onEvent(e)
	}
}

// appendHistory adds to the history within its bounds.
func (s *State) appendHistory(e Event) {
	h, events, bytes := &s.history, s.limits.HistoryEvents, s.limits.HistoryBytes
	if s.subset != nil {
		events, bytes = min(events, maxSubsetEvents), min(bytes, maxSubsetHistoryBytes)
	}
	h.push(e, e.Item.size())
	for h.len() > 1 && (h.len() > events || h.bytes > bytes) {
		h.drop(h.at(0).Item.size(), h.at(0).Revision)
	}
}

func (s *State) endLease(id uint64) Result {
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
	return Result{LeaseID: id}
}

func (s *State) addMember(j *AddMember) Result {
	if j.Name == "" || len(j.Name)+len(j.Address) > s.limits.KeyBytes {
		return Result{Err: ErrBadKey}
	}
	if len(s.members) >= s.limits.Members {
		return Result{Err: ErrFull}
	}
	for _, m := range s.members {
		if m.Name == j.Name {
			return Result{MemberID: m.ID, Err: ErrUnknownMember}
		}
	}
	s.lastID++
	s.members = append(slices.Clone(s.members), Member{ID: s.lastID, Name: j.Name, Address: j.Address, Learner: true})
	return Result{MemberID: s.lastID}
}

func (s *State) registerStart(p *RegisterStart) Result {
	at := s.memberIndex(p.MemberID)
	if at < 0 {
		return Result{Err: ErrUnknownMember}
	}
	m := s.members[at]
	if m.DiskID != 0 && m.DiskID != p.DiskID || m.Boot > p.Boot {
		return Result{MemberID: p.MemberID, Err: ErrUnknownMember}
	}
	m.DiskID, m.Boot, m.Level = p.DiskID, p.Boot, p.Level
	s.members = slices.Clone(s.members)
	s.members[at] = m
	return Result{MemberID: p.MemberID}
}

// SetVoter says whether a member has a vote, as a change of the cluster's makeup that was agreed on says.
func (s *State) SetVoter(id uint64, voter bool) {
	if at := s.memberIndex(id); at >= 0 {
		s.members = slices.Clone(s.members)
		s.members[at].Learner = !voter
	}
}

// Bootstrap makes the first member of a new cluster, a voter with the id 1.
func (s *State) Bootstrap(name, address string, disk uint64) {
	s.lastID++
	s.members = []Member{{ID: s.lastID, Name: name, Address: address, DiskID: disk, Level: Level}}
}

// results remembers what requests were answered.
type results struct {
	ring ring[cachedResult]
	byID map[RequestID]Result
}

type cachedResult struct {
	ID     RequestID
	Result Result
}

func (r *results) find(id RequestID) (Result, bool) {
	v, ok := r.byID[id]
	return v, ok
}

func (r *results) add(id RequestID, v Result, most int) {
	if r.byID == nil {
		r.byID = map[RequestID]Result{}
	}
	r.byID[id] = v
	r.ring.push(cachedResult{id, v}, 0)
	for r.ring.len() > most {
		old := r.ring.at(0)
		delete(r.byID, old.ID)
		r.ring.drop(0, old.Result.Index)
	}
}

// clone is for saving alone: it finds nothing.
func (r *results) clone() results { return results{ring: r.ring.clone()} }
