package store

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"slices"
)

// A saved state is a magic number of eight bytes, records and a footer. A record is its length in four bytes, big
// endian, its kind in one byte, and CBOR. The footer is a record of kind recordFooter with the CRC-32C of all bytes
// before it. Equal states are saved as equal bytes. A subset has a magic number of its own, so that it cannot be
// taken for a complete state.

const (
	completeMagic = "bmstore1"
	subsetMagic   = "bmstore2"
)

// Kinds of records, in the order in which they follow the header. The footer is last.
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
	recordPrefixBytes = 5 // length and kind
	saveBufferBytes   = 64 << 10
)

// MaxSavedRecordBytes bounds a record of a saved state.
const MaxSavedRecordBytes = maxCommandBytes

type savedHeader struct {
	Limits        Limits    `cbor:"1,keyasint"`
	Cluster       uint64    `cbor:"2,keyasint"`
	Revision      uint64    `cbor:"3,keyasint"`
	Level         uint64    `cbor:"4,keyasint"`
	Index         uint64    `cbor:"5,keyasint"`
	LastID        uint64    `cbor:"6,keyasint"`
	HistoryOldest uint64    `cbor:"7,keyasint"`
	ResultsOldest uint64    `cbor:"8,keyasint"`
	Interest      *Interest `cbor:"9,keyasint,omitempty"` // of a subset; nil: the state is complete
}

type savedResult struct {
	ID        RequestID `cbor:"1,keyasint"`
	Index     uint64    `cbor:"2,keyasint"`
	Revision  uint64    `cbor:"3,keyasint"`
	Succeeded bool      `cbor:"4,keyasint,omitempty"`
	LeaseID   uint64    `cbor:"5,keyasint,omitempty"`
	MemberID  uint64    `cbor:"6,keyasint,omitempty"`
	ErrorCode uint8     `cbor:"7,keyasint,omitempty"` // index in storedErrors
}

// storedErrors lists the errors of Apply by the code under which they are saved. Errors may only be appended.
var storedErrors = []error{
	nil,
	ErrTooLarge,
	ErrFull,
	ErrLeaseNotFound,
	ErrBadKey,
	ErrRequestExpired,
	ErrUnknownMember,
	ErrLevel,
	ErrUnknownCommand,
}

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Save writes the state. Called on a Clone, it may run while the original changes.
func (s *State) Save(w io.Writer) error {
	sum := crc32.New(crcTable)
	buffered := bufio.NewWriterSize(w, saveBufferBytes)
	out := &saver{w: io.MultiWriter(buffered, sum)}
	s.saveRecords(out)
	var footer [4]byte
	binary.BigEndian.PutUint32(footer[:], sum.Sum32())
	out.rawRecord(recordFooter, footer[:])
	if out.err != nil {
		return out.err
	}
	return buffered.Flush()
}

func (s *State) saveRecords(out *saver) {
	magic, interest := completeMagic, s.Interest()
	if interest != nil {
		magic = subsetMagic
	}
	out.write([]byte(magic))
	out.record(recordHeader, &savedHeader{
		Limits:        s.limits,
		Cluster:       s.cluster,
		Revision:      s.revision,
		Level:         s.level,
		Index:         s.index,
		LastID:        s.lastID,
		HistoryOldest: s.history.oldest,
		ResultsOldest: s.results.ring.oldest,
		Interest:      interest,
	})
	for i := range s.members {
		out.record(recordMember, &s.members[i])
	}
	for _, l := range s.Leases() {
		out.record(recordLease, &l)
	}
	s.items.Ascend(func(i *Item) bool {
		out.record(recordItem, i)
		return out.err == nil
	})
	for i := range s.history.len() {
		out.record(recordHistoryEvent, s.history.at(i))
	}
	for i := range s.results.ring.len() {
		out.record(recordResult, s.results.ring.at(i).saved())
	}
}

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

// saver writes records until the first error, which it keeps.
type saver struct {
	w   io.Writer
	err error
}

func (o *saver) write(b []byte) {
	if o.err == nil {
		_, o.err = o.w.Write(b)
	}
}

func (o *saver) record(kind byte, v any) {
	b, err := encMode.Marshal(v)
	if o.err == nil {
		o.err = err
	}
	o.rawRecord(kind, b)
}

func (o *saver) rawRecord(kind byte, b []byte) {
	var prefix [recordPrefixBytes]byte
	binary.BigEndian.PutUint32(prefix[:], uint32(len(b)))
	prefix[4] = kind
	o.write(prefix[:])
	o.write(b)
}
