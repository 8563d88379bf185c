package store

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"hash/crc32"
	"io"
)

// CorruptedError reports where a saved state differs from what Save writes.
type CorruptedError struct {
	Offset int64 // of the record, in bytes
	Reason string
}

// Error implements error.
func (e *CorruptedError) Error() string {
	return fmt.Sprintf("corrupted at byte %d: %s", e.Offset, e.Reason)
}

// Load reads a complete state that Save wrote. It checks all of it: if any byte is missing or changed, the error is a
// *CorruptedError.
func Load(r io.Reader) (*State, error) {
	s, err := LoadSubset(r)
	if err != nil {
		return nil, err
	}
	if s.subset != nil {
		return nil, &CorruptedError{Reason: "it is a subset of a state, not a complete one"}
	}
	return s, nil
}

// LoadSubset is Load for a state that may be a subset.
func LoadSubset(r io.Reader) (*State, error) {
	l := &loader{r: bufio.NewReaderSize(r, saveBufferBytes), sum: crc32.New(crcTable)}
	s, err := l.load()
	if err != nil {
		return nil, &CorruptedError{Offset: l.offset, Reason: err.Error()}
	}
	return s, nil
}

type loader struct {
	r        io.Reader
	sum      hash.Hash32
	offset   int64 // of the record that is being read
	buf      []byte
	state    *State // nil before the header was read
	lastKind byte
}

// savedRecord is a record as it was read. Its data is valid until the next read.
type savedRecord struct {
	kind      byte
	data      []byte
	sumBefore uint32 // CRC-32C of all bytes before the record
}

func (l *loader) load() (*State, error) {
	isSubset, err := l.readMagic()
	if err != nil {
		return nil, err
	}
	l.lastKind = recordHeader
	for {
		record, err := l.readRecord()
		if err != nil {
			return nil, err
		}
		if record.kind == recordFooter && l.state != nil {
			return l.state, l.checkFooter(record)
		}
		if err := l.loadRecord(record, isSubset); err != nil {
			return nil, err
		}
		l.offset += int64(len(record.data)) + recordPrefixBytes
	}
}

func (l *loader) readMagic() (isSubset bool, err error) {
	magic, err := l.read(len(completeMagic))
	if err != nil {
		return false, err
	}
	isSubset = string(magic) == subsetMagic
	if !isSubset && string(magic) != completeMagic {
		return false, errors.New("not a saved store of this format")
	}
	l.offset = int64(len(magic))
	return isSubset, nil
}

// read returns the next n bytes and adds them to the checksum. They are valid until the next read.
func (l *loader) read(n int) ([]byte, error) {
	if cap(l.buf) < n {
		l.buf = make([]byte, n)
	}
	b := l.buf[:n]
	if _, err := io.ReadFull(l.r, b); err != nil {
		return nil, fmt.Errorf("truncated: %w", err)
	}
	l.sum.Write(b) // a hash returns no error
	return b, nil
}

func (l *loader) readRecord() (savedRecord, error) {
	record := savedRecord{sumBefore: l.sum.Sum32()}
	prefix, err := l.read(recordPrefixBytes)
	if err != nil {
		return record, err
	}
	n := binary.BigEndian.Uint32(prefix)
	record.kind = prefix[4]
	if n > MaxSavedRecordBytes {
		return record, fmt.Errorf("record of %d bytes exceeds %d", n, MaxSavedRecordBytes)
	}
	record.data, err = l.read(int(n))
	return record, err
}

func (l *loader) checkFooter(footer savedRecord) error {
	if len(footer.data) != 4 || binary.BigEndian.Uint32(footer.data) != footer.sumBefore {
		return errors.New("checksum mismatch")
	}
	var next [1]byte
	if _, err := l.r.Read(next[:]); !errors.Is(err, io.EOF) {
		return errors.New("data after the footer")
	}
	return nil
}

// loadRecord adds a record other than the footer to the state. The header comes first, and the kinds of the others
// are in ascending order.
func (l *loader) loadRecord(record savedRecord, isSubset bool) error {
	if l.state == nil && record.kind == recordHeader {
		state, err := loadHeader(record.data)
		if err != nil {
			return err
		}
		if isSubset != (state.subset != nil) {
			return errors.New("header does not match the magic number")
		}
		l.state = state
		return nil
	}
	if l.state == nil || record.kind <= recordHeader || record.kind < l.lastKind || record.kind > recordResult {
		return fmt.Errorf("unexpected record of kind %d", record.kind)
	}
	l.lastKind = record.kind
	return l.state.loadRecord(record.kind, record.data)
}

func loadHeader(b []byte) (*State, error) {
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
		return s.loadMember(b)
	case recordLease:
		return s.loadLease(b)
	case recordItem:
		return s.loadItem(b)
	case recordHistoryEvent:
		return s.loadEvent(b)
	case recordResult:
		return s.loadResult(b)
	}
	return nil
}

func (s *State) loadMember(b []byte) error {
	var m Member
	if err := decMode.Unmarshal(b, &m); err != nil {
		return err
	}
	if len(s.members) >= s.limits.Members || s.memberIndex(m.ID) >= 0 {
		return fmt.Errorf("member %d is one too many or a duplicate", m.ID)
	}
	s.members = append(s.members, m)
	return nil
}

func (s *State) loadLease(b []byte) error {
	var l Lease
	if err := decMode.Unmarshal(b, &l); err != nil {
		return err
	}
	if len(s.leases) >= s.limits.Leases || s.leases[l.ID] != nil {
		return fmt.Errorf("lease %d is one too many or a duplicate", l.ID)
	}
	s.leases[l.ID] = newLease(l)
	return nil
}

func (s *State) loadItem(b []byte) error {
	item := &Item{}
	if err := decMode.Unmarshal(b, item); err != nil {
		return err
	}
	if last, ok := s.items.Max(); ok && last.Key >= item.Key {
		return fmt.Errorf("key %q out of order", item.Key)
	}
	if s.subset != nil && !s.subset.interest.Covers(item.Key) {
		return fmt.Errorf("key %q is not of the subset", item.Key)
	}
	if item.LeaseID != 0 {
		l := s.leases[item.LeaseID]
		if l == nil {
			return fmt.Errorf("key %q has lease %d, which does not exist", item.Key, item.LeaseID)
		}
		l.keys[item.Key] = struct{}{}
	}
	s.size += item.size()
	if s.size > s.limits.TotalBytes {
		return fmt.Errorf("items exceed %d bytes", s.limits.TotalBytes)
	}
	s.items.ReplaceOrInsert(item)
	return nil
}

func (s *State) loadEvent(b []byte) error {
	var e Event
	if err := decMode.Unmarshal(b, &e); err != nil {
		return err
	}
	n := s.history.len()
	if e.Revision > s.revision || n > 0 && s.history.at(n-1).Revision > e.Revision {
		return fmt.Errorf("event of revision %d out of order", e.Revision)
	}
	s.history.push(e, e.Item.size())
	return nil
}

func (s *State) loadResult(b []byte) error {
	var r savedResult
	if err := decMode.Unmarshal(b, &r); err != nil {
		return err
	}
	if int(r.ErrorCode) >= len(storedErrors) {
		return fmt.Errorf("unknown error code %d", r.ErrorCode)
	}
	s.results.add(r.ID, Result{
		Index:     r.Index,
		Revision:  r.Revision,
		Succeeded: r.Succeeded,
		LeaseID:   r.LeaseID,
		MemberID:  r.MemberID,
		Err:       storedErrors[r.ErrorCode],
	}, s.limits.Results)
	return nil
}
