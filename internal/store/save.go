package store

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"slices"
)

// A saved state consists of a magic number of eight bytes, records and a footer. A record consists of the length of its
// data in four bytes, big endian, its kind in one byte, and its data in CBOR. The footer is a record of kind
// recordFooter with the CRC-32C of all bytes before it. Equal states are saved as equal bytes. A subset has a different
// magic number, so that it cannot be mistaken for a complete state.

const (
	completeMagic = "bmstore1"
	subsetMagic   = "bmstore2"
)

// Kinds of records. Records are saved in the order of their kinds, except that the footer is last.
const (
	recordFooter = iota
	recordHeader
	recordMember
	recordLease
	recordItem
	recordHistoryEvent
	recordResult
)

const (
	recordPrefixBytes = 5 // length and kind of a record
	saveBufferBytes   = 64 << 10
)

// MaxSavedRecordBytes bounds the data of a record of a saved state.
const MaxSavedRecordBytes = maxCommandBytes

// savedHeader is the data of the record with which a saved state begins.
type savedHeader struct {
	Limits             Limits    `cbor:"1,keyasint"`
	Cluster            uint64    `cbor:"2,keyasint"`
	Revision           uint64    `cbor:"3,keyasint"`
	Level              uint64    `cbor:"4,keyasint"`
	Index              uint64    `cbor:"5,keyasint"`
	LastID             uint64    `cbor:"6,keyasint"`
	HistoryLastDropped uint64    `cbor:"7,keyasint"`
	ResultsLastDropped uint64    `cbor:"8,keyasint"`
	Interest           *Interest `cbor:"9,keyasint,omitempty"` // keys of a subset; nil: the state is complete
}

// savedResult is the data of a record with a cached result.
type savedResult struct {
	ID        RequestID `cbor:"1,keyasint"`
	Index     uint64    `cbor:"2,keyasint"`
	Revision  uint64    `cbor:"3,keyasint"`
	Succeeded bool      `cbor:"4,keyasint,omitempty"`
	LeaseID   uint64    `cbor:"5,keyasint,omitempty"`
	MemberID  uint64    `cbor:"6,keyasint,omitempty"`
	ErrorCode uint8     `cbor:"7,keyasint,omitempty"` // index in storedErrors
}

// storedErrors lists the errors of commands by the code under which they are saved. Codes must not change, so errors
// may only be appended.
var storedErrors = []error{
	nil,
	ErrTooLarge,
	ErrFull,
	ErrLeaseNotFound,
	ErrBadKey,
	ErrRequestExpired,
	ErrInvalidMember,
	ErrUnsupportedLevel,
	ErrUnknownCommand,
}

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Save writes the state in the format that Load and LoadSubset read. On a Clone it may run while the original changes.
func (s *State) Save(w io.Writer) error {
	checksum := crc32.New(crcTable)
	buffered := bufio.NewWriterSize(w, saveBufferBytes)
	out := &saver{w: io.MultiWriter(buffered, checksum)}
	s.saveRecords(out)
	var footer [4]byte
	binary.BigEndian.PutUint32(footer[:], checksum.Sum32())
	out.rawRecord(recordFooter, footer[:])
	if out.err != nil {
		return out.err
	}
	return buffered.Flush()
}

func (s *State) saveRecords(w *saver) {
	magic, interest := completeMagic, s.Interest()
	if interest != nil {
		magic = subsetMagic
	}
	w.write([]byte(magic))
	w.record(recordHeader, &savedHeader{
		Limits:             s.limits,
		Cluster:            s.cluster,
		Revision:           s.revision,
		Level:              s.level,
		Index:              s.index,
		LastID:             s.lastID,
		HistoryLastDropped: s.history.lastDropped,
		ResultsLastDropped: s.results.ring.lastDropped,
		Interest:           interest,
	})
	for i := range s.members {
		w.record(recordMember, &s.members[i])
	}
	for _, l := range s.Leases() {
		w.record(recordLease, &l)
	}
	s.items.Ascend(func(i *Item) bool {
		w.record(recordItem, i)
		return w.err == nil
	})
	for i := range s.history.len() {
		w.record(recordHistoryEvent, s.history.at(i))
	}
	for i := range s.results.ring.len() {
		w.record(recordResult, s.results.ring.at(i).saved())
	}
}

// saved returns the result in the form in which it is saved.
func (c *cachedResult) saved() *savedResult {
	r := c.Result
	code := max(0, slices.Index(storedErrors, r.Err))
	return &savedResult{
		ID:        c.ID,
		Index:     r.Index,
		Revision:  r.Revision,
		Succeeded: r.Succeeded,
		LeaseID:   r.LeaseID,
		MemberID:  r.MemberID,
		ErrorCode: uint8(code),
	}
}

// saver writes records. After the first error, which it keeps in err, it writes nothing more.
type saver struct {
	w   io.Writer
	err error
}

func (s *saver) write(b []byte) {
	if s.err == nil {
		_, s.err = s.w.Write(b)
	}
}

func (s *saver) record(kind byte, v any) {
	data, err := encMode.Marshal(v)
	if s.err == nil {
		s.err = err
	}
	s.rawRecord(kind, data)
}

func (s *saver) rawRecord(kind byte, data []byte) {
	var prefix [recordPrefixBytes]byte
	binary.BigEndian.PutUint32(prefix[:], uint32(len(data)))
	prefix[4] = kind
	s.write(prefix[:])
	s.write(data)
}
