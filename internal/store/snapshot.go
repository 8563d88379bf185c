package store

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"hash/crc32"
	"io"
	"slices"
)

// A saved state is a head, records and a foot. The head is eight bytes that name the format. A record is its length in
// four bytes, big endian, a kind in one, and CBOR. The foot is a record of kind 0 with the CRC-32C of all before it.
// Equal states are saved as equal bytes. A state that holds a part has a head of its own, so that nobody takes it for a whole one.

const (
	savedHead = "bmstore1"
	savedPart = "bmstore2"
)

const (
	recFoot = iota
	recHead
	recMember
	recLease
	recItem
	recEvent
	recDone
)

// MaxSavedRecordBytes bounds a record of a saved state, in bytes.
const MaxSavedRecordBytes = commandMost

// CorruptedError says where a saved state is not what was saved.
type CorruptedError struct {
	Offset int64
	Reason string
}

func (e *CorruptedError) Error() string {
	return fmt.Sprintf("damaged at byte %d: %s", e.Offset, e.Reason)
}

type savedState struct {
	Limits    Limits `cbor:"1,keyasint"`
	Cluster   uint64 `cbor:"2,keyasint"`
	Revision  uint64 `cbor:"3,keyasint"`
	Level     uint64 `cbor:"4,keyasint"`
	Index     uint64 `cbor:"5,keyasint"`
	LastID    uint64 `cbor:"6,keyasint"`
	Oldest    uint64 `cbor:"7,keyasint"` // of the history
	Forgotten uint64 `cbor:"8,keyasint"` // of the results

	Part *Interest `cbor:"9,keyasint,omitempty"` // what it holds; nil: all
}

type savedDone struct {
	ID       RequestID `cbor:"1,keyasint"`
	Index    uint64    `cbor:"2,keyasint"`
	Revision uint64    `cbor:"3,keyasint"`
	Held     bool      `cbor:"4,keyasint,omitempty"`
	Lease    uint64    `cbor:"5,keyasint,omitempty"`
	Member   uint64    `cbor:"6,keyasint,omitempty"`
	Err      uint8     `cbor:"7,keyasint,omitempty"`
}

// outcomes gives the errors of Apply the numbers by which they are saved and sent. They are only added to.
var outcomes = []error{nil, ErrTooLarge, ErrFull, ErrLeaseNotFound, ErrBadKey, ErrRequestExpired, ErrUnknownMember, ErrLevel, ErrUnknownCommand}

// Save writes the state. It may be called on a Clone while the state itself goes on.
func (s *State) Save(w io.Writer) error {
	sum := crc32.New(castagnoli)
	b := bufio.NewWriterSize(w, 64<<10)
	out := &saver{w: io.MultiWriter(b, sum)}
	head, part := savedHead, s.Interest()
	if part != nil {
		head = savedPart
	}
	out.bytes([]byte(head))
	out.record(recHead, &savedState{Limits: s.limits, Cluster: s.cluster, Revision: s.revision, Level: s.level,
		Index: s.index, LastID: s.lastID, Oldest: s.history.oldest, Forgotten: s.results.ring.oldest, Part: part})
	for i := range s.members {
		out.record(recMember, &s.members[i])
	}
	for _, l := range s.Leases() {
		out.record(recLease, &l)
	}
	s.items.Ascend(func(i *Item) bool { out.record(recItem, i); return out.err == nil })
	for i := range s.history.len() {
		out.record(recEvent, s.history.at(i))
	}
	for i := range s.results.ring.len() {
		d := s.results.ring.at(i)
		v := d.Result
		at := max(0, slices.IndexFunc(outcomes, func(e error) bool { return e == v.Err }))
		out.record(recDone, &savedDone{d.ID, v.Index, v.Revision, v.Held, v.Lease, v.Member, uint8(at)})
	}
	var foot [4]byte
	binary.BigEndian.PutUint32(foot[:], sum.Sum32())
	out.raw(recFoot, foot[:])
	if out.err != nil {
		return out.err
	}
	return b.Flush()
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type saver struct {
	w   io.Writer
	err error
}

func (o *saver) bytes(b []byte) {
	if o.err == nil {
		_, o.err = o.w.Write(b)
	}
}

func (o *saver) record(kind byte, v any) {
	b, err := encoding.Marshal(v)
	if o.err == nil {
		o.err = err
	}
	o.raw(kind, b)
}

func (o *saver) raw(kind byte, b []byte) {
	var head [5]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(b)))
	head[4] = kind
	o.bytes(head[:])
	o.bytes(b)
}

// Load reads what Save wrote of a state that holds all. All of it is checked; what is damaged, cut or of another format is an error
// that says where, and no state.
func Load(r io.Reader) (*State, error) {
	s, err := LoadSubset(r)
	if err == nil && s.part != nil {
		return nil, &CorruptedError{Reason: "it holds a part of a store alone"}
	}
	return s, err
}

// LoadSubset reads what Save wrote of a state that holds all, or a part; see Load.
func LoadSubset(r io.Reader) (*State, error) {
	l := &loader{r: bufio.NewReaderSize(r, 64<<10), sum: crc32.New(castagnoli)}
	s, err := l.load()
	if err != nil {
		return nil, &CorruptedError{Offset: l.at, Reason: err.Error()}
	}
	return s, nil
}

type loader struct {
	r   io.Reader
	sum hash.Hash32
	at  int64 // where the record begins that is read
	buf []byte
}

func (l *loader) read(n int) ([]byte, error) {
	if cap(l.buf) < n {
		l.buf = make([]byte, n)
	}
	b := l.buf[:n]
	if _, err := io.ReadFull(l.r, b); err != nil {
		return nil, fmt.Errorf("cut off: %w", err)
	}
	return b, nil
}

func (l *loader) load() (*State, error) {
	head, err := l.read(len(savedHead))
	if err != nil {
		return nil, err
	}
	part := string(head) == savedPart
	if string(head) != savedHead && !part {
		return nil, errors.New("not a saved store of this format")
	}
	l.sum.Write(head)
	l.at = int64(len(head))
	var s *State
	last := byte(recHead)
	for {
		before := l.sum.Sum32()
		head, err := l.read(5)
		if err != nil {
			return nil, err
		}
		n, kind := binary.BigEndian.Uint32(head), head[4]
		if n > MaxSavedRecordBytes {
			return nil, fmt.Errorf("a record of %d bytes", n)
		}
		l.sum.Write(head)
		b, err := l.read(int(n))
		if err != nil {
			return nil, err
		}
		l.sum.Write(b)
		switch {
		case kind == recFoot && s != nil:
			if len(b) != 4 || binary.BigEndian.Uint32(b) != before {
				return nil, errors.New("the checksum is another")
			}
			if _, err := l.r.Read(head[:1]); err != io.EOF {
				return nil, errors.New("goes on after its end")
			}
			return s, nil
		case kind == recHead && s == nil:
			if s, err = loadHead(b); err != nil {
				return nil, err
			}
			if part != (s.part != nil) {
				return nil, errors.New("what it holds is not what its head says")
			}
		case s == nil || kind <= recHead || kind < last || kind > recDone:
			return nil, fmt.Errorf("a record of kind %d where none belongs", kind)
		default:
			if err := s.loadRecord(kind, b); err != nil {
				return nil, err
			}
			last = kind
		}
		l.at += int64(n) + 5
	}
}

func loadHead(b []byte) (*State, error) {
	var h savedState
	if err := decoding.Unmarshal(b, &h); err != nil {
		return nil, err
	}
	if err := h.Limits.check(); err != nil {
		return nil, err
	}
	s := New(h.Cluster, h.Limits)
	s.revision, s.level, s.index, s.lastID = h.Revision, h.Level, h.Index, h.LastID
	s.history.oldest, s.results.ring.oldest = h.Oldest, h.Forgotten
	if h.Part != nil {
		s.part = &partial{of: *h.Part}
	}
	return s, nil
}

func (s *State) loadRecord(kind byte, b []byte) error {
	switch kind {
	case recMember:
		var m Member
		if err := decoding.Unmarshal(b, &m); err != nil {
			return err
		}
		if len(s.members) >= s.limits.Members || s.memberAt(m.ID) >= 0 {
			return errors.New("a member too many")
		}
		s.members = append(s.members, m)
	case recLease:
		var l Lease
		if err := decoding.Unmarshal(b, &l); err != nil {
			return err
		}
		if len(s.leases) >= s.limits.Leases || s.leases[l.ID] != nil {
			return errors.New("a lease too many")
		}
		s.leases[l.ID] = &lease{Lease: l, keys: map[string]struct{}{}}
	case recItem:
		i := &Item{}
		if err := decoding.Unmarshal(b, i); err != nil {
			return err
		}
		if last, ok := s.items.Max(); ok && last.Key >= i.Key {
			return errors.New("keys out of order")
		}
		if s.part != nil && !s.part.of.Covers(i.Key) {
			return errors.New("a key that it does not hold")
		}
		if i.Lease != 0 {
			l := s.leases[i.Lease]
			if l == nil {
				return errors.New("a key of a lease that is not there")
			}
			l.keys[i.Key] = struct{}{}
		}
		if s.size += i.size(); s.size > s.limits.Total {
			return errors.New("more than the store may hold")
		}
		s.items.ReplaceOrInsert(i)
	case recEvent:
		var e Event
		if err := decoding.Unmarshal(b, &e); err != nil {
			return err
		}
		if n := s.history.len(); n > 0 && s.history.at(n-1).Revision > e.Revision || e.Revision > s.revision {
			return errors.New("events out of order")
		}
		s.history.push(e, e.Item.size())
	case recDone:
		var d savedDone
		if err := decoding.Unmarshal(b, &d); err != nil {
			return err
		}
		if int(d.Err) >= len(outcomes) {
			return errors.New("an outcome that is not known")
		}
		s.results.keep(d.ID, Result{Index: d.Index, Revision: d.Revision, Held: d.Held, Lease: d.Lease,
			Member: d.Member, Err: outcomes[d.Err]}, s.limits.Results)
	}
	return nil
}

// MaxRevision bounds what Renew may take revisions and ids to: numbers that JSON's readers keep exactly.
const MaxRevision = 1 << 52

// Reinitialize makes of a loaded state that of a new cluster: with another number and its one member, and none of the
// outcomes and leases of the old one, whose holders cannot reach it.
//
// Revisions and ids go on at least at floor, up to RevisionMost. The old cluster went on after the state was saved, and gave
// numbers that this state does not know of; floor is to be above all of them, so that no watch sees a revision twice, and
// that a token that was given then is not given again. What watches could read of before is compacted.
func (s *State) Reinitialize(cluster, floor uint64) {
	for _, l := range s.Leases() {
		s.end(l.ID)
	}
	s.cluster, s.members, s.index, s.results = cluster, nil, 0, results{}
	floor = min(floor, MaxRevision)
	s.lastID = max(s.lastID, floor)
	if s.revision < floor {
		s.revision, s.history = floor, ring[Event]{oldest: floor}
	}
}

// Seed puts keys into a state that Renew made, before it runs: the first under a lease of its own for so many milliseconds, which
// nobody can renew.
func (s *State) Seed(key string, value []byte, ttl uint64) {
	s.lastID++
	s.leases[s.lastID] = &lease{Lease: Lease{ID: s.lastID, TTL: ttl, Owner: key}, keys: map[string]struct{}{}}
	s.put(s.revision+1, Op{Key: key, Value: value, Lease: s.lastID})
}
