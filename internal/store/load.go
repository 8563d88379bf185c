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

// CorruptedError reports that data to be loaded is not a state as Save writes it.
type CorruptedError struct {
	Offset int64 // in bytes, of the record with the fault
	Reason string
}

// Error implements error.
func (e *CorruptedError) Error() string {
	return fmt.Sprintf("saved state is corrupted at byte %d: %s", e.Offset, e.Reason)
}

// Load reads a complete state that Save wrote, and verifies its checksum. If any byte is missing or changed, or if the
// state is a subset, the error is a *CorruptedError.
func Load(r io.Reader) (*State, error) {
	s, err := LoadSubset(r)
	if err != nil {
		return nil, err
	}
	if s.subset != nil {
		return nil, &CorruptedError{Reason: "the state is a subset, not a complete state"}
	}
	return s, nil
}

// LoadSubset is Load for a state that may be a subset, that is, a partial copy. State.Interest tells them apart.
func LoadSubset(r io.Reader) (*State, error) {
	l := &loader{r: bufio.NewReaderSize(r, saveBufferBytes), checksum: crc32.New(crcTable)}
	s, err := l.load()
	if err != nil {
		return nil, &CorruptedError{Offset: l.offset, Reason: err.Error()}
	}
	return s, nil
}

// loader reads one saved state.
type loader struct {
	r        io.Reader
	checksum hash.Hash32
	offset   int64 // of the record that is being read
	buf      []byte
	state    *State // nil until the header has been read
	lastKind byte   // kind of the previous record
}

// savedRecord is a record of a saved state. Its data is valid until the next read.
type savedRecord struct {
	kind           byte
	data           []byte
	checksumBefore uint32 // CRC-32C of all bytes before the record
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
		return false, errors.New("the magic number is not that of a saved state")
	}
	l.offset = int64(len(magic))
	return isSubset, nil
}

// read returns the next n bytes and adds them to the checksum. The returned slice is valid until the next read.
func (l *loader) read(n int) ([]byte, error) {
	if cap(l.buf) < n {
		l.buf = make([]byte, n)
	}
	b := l.buf[:n]
	if _, err := io.ReadFull(l.r, b); err != nil {
		return nil, fmt.Errorf("the data is truncated: %w", err)
	}
	l.checksum.Write(b) // a hash never returns an error
	return b, nil
}

func (l *loader) readRecord() (savedRecord, error) {
	record := savedRecord{checksumBefore: l.checksum.Sum32()}
	prefix, err := l.read(recordPrefixBytes)
	if err != nil {
		return record, err
	}
	dataBytes := binary.BigEndian.Uint32(prefix)
	record.kind = prefix[4]
	if dataBytes > MaxSavedRecordBytes {
		return record, fmt.Errorf("record of %d bytes exceeds the limit of %d", dataBytes, MaxSavedRecordBytes)
	}
	record.data, err = l.read(int(dataBytes))
	return record, err
}

// checkFooter verifies that the footer has the checksum of all bytes before it and ends the data.
func (l *loader) checkFooter(footer savedRecord) error {
	if len(footer.data) != 4 || binary.BigEndian.Uint32(footer.data) != footer.checksumBefore {
		return errors.New("checksum mismatch")
	}
	var next [1]byte
	if _, err := l.r.Read(next[:]); !errors.Is(err, io.EOF) {
		return errors.New("there is data after the footer")
	}
	return nil
}

// loadRecord adds a record other than the footer to the state. It requires that the header is the first record and that
// the kinds of the other records are in ascending order.
func (l *loader) loadRecord(record savedRecord, isSubset bool) error {
	if l.state == nil && record.kind == recordHeader {
		state, err := loadHeader(record.data)
		if err != nil {
			return err
		}
		if isSubset != (state.subset != nil) {
			return errors.New("the header and the magic number disagree on whether the state is a subset")
		}
		l.state = state
		return nil
	}
	if l.state == nil || record.kind <= recordHeader || record.kind < l.lastKind || record.kind > recordResult {
		return fmt.Errorf("record of kind %d at an unexpected position", record.kind)
	}
	l.lastKind = record.kind
	return l.state.loadRecord(record.kind, record.data)
}

func loadHeader(data []byte) (*State, error) {
	var header savedHeader
	if err := decMode.Unmarshal(data, &header); err != nil {
		return nil, err
	}
	if err := header.Limits.validate(); err != nil {
		return nil, err
	}
	state := New(header.Cluster, header.Limits)
	state.revision, state.level, state.index, state.lastID = header.Revision, header.Level, header.Index, header.LastID
	state.history.lastDropped, state.results.ring.lastDropped = header.HistoryLastDropped, header.ResultsLastDropped
	if header.Interest != nil {
		state.subset = &subset{interest: *header.Interest}
	}
	return state, nil
}

func (s *State) loadRecord(kind byte, data []byte) error {
	switch kind {
	case recordMember:
		return s.loadMember(data)
	case recordLease:
		return s.loadLease(data)
	case recordItem:
		return s.loadItem(data)
	case recordHistoryEvent:
		return s.loadEvent(data)
	case recordResult:
		return s.loadResult(data)
	}
	return nil
}

func (s *State) loadMember(data []byte) error {
	var m Member
	if err := decMode.Unmarshal(data, &m); err != nil {
		return err
	}
	if len(s.members) >= s.limits.Members || s.memberIndex(m.ID) >= 0 {
		return fmt.Errorf("member %d is a duplicate or exceeds the limit of members", m.ID)
	}
	s.members = append(s.members, m)
	return nil
}

func (s *State) loadLease(data []byte) error {
	var l Lease
	if err := decMode.Unmarshal(data, &l); err != nil {
		return err
	}
	if len(s.leases) >= s.limits.Leases || s.leases[l.ID] != nil {
		return fmt.Errorf("lease %d is a duplicate or exceeds the limit of leases", l.ID)
	}
	s.leases[l.ID] = newLease(l)
	return nil
}

func (s *State) loadItem(data []byte) error {
	item := &Item{}
	if err := decMode.Unmarshal(data, item); err != nil {
		return err
	}
	if last, ok := s.items.Max(); ok && last.Key >= item.Key {
		return fmt.Errorf("key %q is out of order", item.Key)
	}
	if s.subset != nil && !s.subset.interest.Covers(item.Key) {
		return fmt.Errorf("key %q is not covered by the interest of the subset", item.Key)
	}
	if item.LeaseID != 0 {
		itemLease := s.leases[item.LeaseID]
		if itemLease == nil {
			return fmt.Errorf("key %q is attached to lease %d, which does not exist", item.Key, item.LeaseID)
		}
		itemLease.keys[item.Key] = struct{}{}
	}
	s.size += item.size()
	if s.size > s.limits.TotalBytes {
		return fmt.Errorf("items exceed the limit of %d bytes", s.limits.TotalBytes)
	}
	s.items.ReplaceOrInsert(item)
	return nil
}

func (s *State) loadEvent(data []byte) error {
	var event Event
	if err := decMode.Unmarshal(data, &event); err != nil {
		return err
	}
	loadedEvents := s.history.len()
	if event.Revision > s.revision || loadedEvents > 0 && s.history.at(loadedEvents-1).Revision > event.Revision {
		return fmt.Errorf("event of revision %d is out of order", event.Revision)
	}
	s.history.push(event, event.Item.size())
	return nil
}

func (s *State) loadResult(data []byte) error {
	var result savedResult
	if err := decMode.Unmarshal(data, &result); err != nil {
		return err
	}
	if int(result.ErrorCode) >= len(storedErrors) {
		return fmt.Errorf("result has the unknown error code %d", result.ErrorCode)
	}
	s.results.add(result.ID, Result{
		Index:     result.Index,
		Revision:  result.Revision,
		Succeeded: result.Succeeded,
		LeaseID:   result.LeaseID,
		MemberID:  result.MemberID,
		Err:       storedErrors[result.ErrorCode],
	}, s.limits.Results)
	return nil
}
