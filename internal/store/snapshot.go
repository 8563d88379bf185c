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
	completeMagic = "bmstore1"
	subsetMagic   = "bmstore2"
)

const (
	recordFooter = iota
	recordHeader
	recordMember
	recordLease
	recordItem
	recordHistoryEvent
	recordResult
)

// MaxSavedRecordBytes bounds a record of a saved state, in bytes.
const MaxSavedRecordBytes = maxCommandBytes

// CorruptedError says where a saved state is not what was saved.
type CorruptedError struct {
	Offset int64
	Reason string
}

func (e *CorruptedError) Error() string {
	return fmt.Sprintf("damaged at byte %d: %s", e.Offset, e.Reason)
}

type savedHeader struct {
	Limits        Limits `cbor:"1,keyasint"`
	Cluster       uint64 `cbor:"2,keyasint"`
	Revision      uint64 `cbor:"3,keyasint"`
	Level         uint64 `cbor:"4,keyasint"`
	Index         uint64 `cbor:"5,keyasint"`
	LastID        uint64 `cbor:"6,keyasint"`
	HistoryOldest uint64 `cbor:"7,keyasint"` // of the history
	ResultsOldest uint64 `cbor:"8,keyasint"` // of the results

	Interest *Interest `cbor:"9,keyasint,omitempty"` // what it holds; nil: all
}

type savedResult struct {
	ID        RequestID `cbor:"1,keyasint"`
	Index     uint64    `cbor:"2,keyasint"`
	Revision  uint64    `cbor:"3,keyasint"`
	Succeeded bool      `cbor:"4,keyasint,omitempty"`
	LeaseID   uint64    `cbor:"5,keyasint,omitempty"`
	MemberID  uint64    `cbor:"6,keyasint,omitempty"`
	ErrorCode uint8     `cbor:"7,keyasint,omitempty"`
}

// storedErrors gives the errors of Apply the numbers by which they are saved and sent. They are only added to.
var storedErrors = []error{nil, ErrTooLarge, ErrFull, ErrLeaseNotFound, ErrBadKey, ErrRequestExpired, ErrUnknownMember, ErrLevel, ErrUnknownCommand}

// Save writes the state. It may be called on a Clone while the state itself goes on.
func (s *State) Save(w io.Writer) error {
	sum := crc32.New(crcTable)
	b := bufio.NewWriterSize(w, 64<<10)
	out := &saver{w: io.MultiWriter(b, sum)}
	head, part := completeMagic, s.Interest()
	if part != nil {
		head = subsetMagic
	}
	out.bytes([]byte(head))
	out.record(recordHeader, &savedHeader{Limits: s.limits, Cluster: s.cluster, Revision: s.revision, Level: s.level,
		Index: s.index, LastID: s.lastID, HistoryOldest: s.history.oldest, ResultsOldest: s.results.ring.oldest, Interest: part})
	for i := range s.members {
		out.record(recordMember, &s.members[i])
	}
	for _, l := range s.Leases() {
		out.record(recordLease, &l)
	}
	s.items.Ascend(func(i *Item) bool { out.record(recordItem, i); return out.err == nil })
	for i := range s.history.len() {
		out.record(recordHistoryEvent, s.history.at(i))
	}
	for i := range s.results.ring.len() {
		d := s.results.ring.at(i)
		v := d.Result
		at := max(0, slices.IndexFunc(storedErrors, func(e error) bool { return e == v.Err }))
		out.record(recordResult, &savedResult{d.ID, v.Index, v.Revision, v.Succeeded, v.LeaseID, v.MemberID, uint8(at)})
	}
	var foot [4]byte
	binary.BigEndian.PutUint32(foot[:], sum.Sum32())
	out.raw(recordFooter, foot[:])
	if out.err != nil {
		return out.err
	}
	return b.Flush()
}

var crcTable = crc32.MakeTable(crc32.Castagnoli)

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
	b, err := encMode.Marshal(v)
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
	if err == nil && s.subset != nil {
		return nil, &CorruptedError{Reason: "it holds a part of a store alone"}
	}
	return s, err
}

// LoadSubset reads what Save wrote of a state that holds all, or a part; see Load.
func LoadSubset(r io.Reader) (*State, error) {
	l := &loader{r: bufio.NewReaderSize(r, 64<<10), sum: crc32.New(crcTable)}
	s, err := l.load()
	if err != nil {
		return nil, &CorruptedError{Offset: l.offset, Reason: err.Error()}
	}
	return s, nil
}

type loader struct {
	r      io.Reader
	sum    hash.Hash32
	offset int64 // where the record begins that is read
	buf    []byte
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
	head, err := l.read(len(completeMagic))
	if err != nil {
		return nil, err
	}
	part := string(head) == subsetMagic
	if string(head) != completeMagic && !part {
		return nil, errors.New("not a saved store of this format")
	}
	l.sum.Write(head)
	l.offset = int64(len(head))
	var s *State
	last := byte(recordHeader)
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
		case kind == recordFooter && s != nil:
			if len(b) != 4 || binary.BigEndian.Uint32(b) != before {
				return nil, errors.New("the checksum is another")
			}
			if _, err := l.r.Read(head[:1]); err != io.EOF {
				return nil, errors.New("goes on after its end")
			}
			return s, nil
		case kind == recordHeader && s == nil:
			if s, err = loadHead(b); err != nil {
				return nil, err
			}
			if part != (s.subset != nil) {
				return nil, errors.New("what it holds is not what its head says")
			}
		case s == nil || kind <= recordHeader || kind < last || kind > recordResult:
			return nil, fmt.Errorf("a record of kind %d where none belongs", kind)
		default:
			if err := s.loadRecord(kind, b); err != nil {
				return nil, err
			}
			last = kind
		}
		l.offset += int64(n) + 5
	}
}

func loadHead(b []byte) (*State, error) {
	var h savedHeader
	if err := decMode.Unmarshal(b, &h); err != nil {
		return nil, err
	}
	if err := h.Limits.validate(); err != nil {
		return nil, err
	}
	s := New(h.Cluster, h.Limits)
	s.revision, s.level, s.index, s.lastID = h.Revision, h.Level, h.Index, h.LastID
	s.history.oldest, s.results.ring.oldest = h.HistoryOldest, h.ResultsOldest
	if h.Interest != nil {
		s.subset = &subset{interest: *h.Interest}
	}
	return s, nil
}

func (s *State) loadRecord(kind byte, b []byte) error {
	switch kind {
	case recordMember:
		var m Member
		if err := decMode.Unmarshal(b, &m); err != nil {
			return err
		}
		if len(s.members) >= s.limits.Members || s.memberIndex(m.ID) >= 0 {
			return errors.New("a member too many")
		}
		s.members = append(s.members, m)
	case recordLease:
		var l Lease
		if err := decMode.Unmarshal(b, &l); err != nil {
			return err
		}
		if len(s.leases) >= s.limits.Leases || s.leases[l.ID] != nil {
			return errors.New("a lease too many")
		}
		s.leases[l.ID] = &lease{Lease: l, keys: map[string]struct{}{}}
	case recordItem:
		i := &Item{}
		if err := decMode.Unmarshal(b, i); err != nil {
			return err
		}
		if last, ok := s.items.Max(); ok && last.Key >= i.Key {
			return errors.New("keys out of order")
		}
		if s.subset != nil && !s.subset.interest.Covers(i.Key) {
			return errors.New("a key that it does not hold")
		}
		if i.LeaseID != 0 {
			l := s.leases[i.LeaseID]
			if l == nil {
				return errors.New("a key of a lease that is not there")
			}
			l.keys[i.Key] = struct{}{}
		}
		if s.size += i.size(); s.size > s.limits.TotalBytes {
			return errors.New("more than the store may hold")
		}
		s.items.ReplaceOrInsert(i)
	case recordHistoryEvent:
		var e Event
		if err := decMode.Unmarshal(b, &e); err != nil {
			return err
		}
		if n := s.history.len(); n > 0 && s.history.at(n-1).Revision > e.Revision || e.Revision > s.revision {
			return errors.New("events out of order")
		}
		s.history.push(e, e.Item.size())
	case recordResult:
		var d savedResult
		if err := decMode.Unmarshal(b, &d); err != nil {
			return err
		}
		if int(d.ErrorCode) >= len(storedErrors) {
			return errors.New("an outcome that is not known")
		}
		s.results.add(d.ID, Result{Index: d.Index, Revision: d.Revision, Succeeded: d.Succeeded, LeaseID: d.LeaseID,
			MemberID: d.MemberID, Err: storedErrors[d.ErrorCode]}, s.limits.Results)
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
		s.endLease(l.ID)
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
	s.leases[s.lastID] = &lease{Lease: Lease{ID: s.lastID, TTLMillis: ttl, Owner: key}, keys: map[string]struct{}{}}
	s.put(s.revision+1, Op{Key: key, Value: value, LeaseID: s.lastID})
}
