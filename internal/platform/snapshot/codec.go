package snapshot

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the body's schema. It must be increased for a change that an older reader would misread.
const Version = 1

// Layout of the header: magic, version, length of the body, and the checksum of these three and the body.
const (
	magic          = "BMsn"
	versionOffset  = 4
	lengthOffset   = 8
	checksumOffset = 12
	headerBytes    = 16
)

const maxBodyBytes = 8 << 20 // 1,000 endpoints take well under 1 MiB

// Error is the reason why a snapshot cannot be decoded or encoded.
type Error struct {
	Offset int    // of the first byte that cannot be decoded
	Reason string // begins with "cut", "foreign", "newer" or "damaged" if the snapshot cannot be decoded
	Err    error  // the cause; may be nil
}

// Error implements error and names the offset.
func (e *Error) Error() string {
	s := fmt.Sprintf("snapshot: byte %d: %s", e.Offset, e.Reason)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	encoder = must(cbor.EncOptions{Sort: cbor.SortCoreDeterministic, ShortestFloat: cbor.ShortestFloat16}.EncMode())
	decoder = must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   16,
		MaxArrayElements:  1 << 20,
		MaxMapPairs:       4096,
	}.DecMode())
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// must returns v. It panics on an error, which constant, valid options cannot cause.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal encodes a value in canonical CBOR, as in snapshots: equal values give equal bytes.
func Marshal(v any) ([]byte, error) { return encoder.Marshal(v) }

// Unmarshal decodes CBOR strictly: unknown and repeated keys, tags and indefinite lengths are errors.
func Unmarshal(data []byte, v any) error { return decoder.Unmarshal(data, v) }

// Checksum returns the CRC-32C (RFC 3720) of the concatenated parts.
func Checksum(parts ...[]byte) uint32 {
	sum := uint32(0)
	for _, part := range parts {
		sum = crc32.Update(sum, castagnoli, part)
	}
	return sum
}

// Encode returns the encoded form of a snapshot, with its header. A body of more than maxBodyBytes is an *Error.
func Encode(s *Saved) ([]byte, error) {
	body, err := Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if len(body) > maxBodyBytes {
		return nil, &Error{Reason: fmt.Sprintf("a body of %d bytes exceeds the limit of %d", len(body), maxBodyBytes)}
	}
	return encodeBody(Version, body), nil
}

// encodeBody returns the body with its header prepended.
func encodeBody(version uint32, body []byte) []byte {
	out := make([]byte, headerBytes, headerBytes+len(body))
	copy(out, magic)
	binary.BigEndian.PutUint32(out[versionOffset:], version)
	binary.BigEndian.PutUint32(out[lengthOffset:], uint32(len(body)))
	binary.BigEndian.PutUint32(out[checksumOffset:], Checksum(out[:checksumOffset], body))
	return append(out, body...)
}

// Decode decodes what Encode returned. On an error, which is an *Error, it returns nothing of the snapshot.
func Decode(data []byte) (*Saved, error) {
	body, err := checkHeader(data)
	if err != nil {
		return nil, err
	}
	s := &Saved{}
	if err := Unmarshal(body, s); err != nil {
		return nil, &Error{headerBytes, "damaged: the body is not readable", err}
	}
	if err := s.check(); err != nil {
		return nil, &Error{headerBytes, "damaged", err}
	}
	return s, nil
}

// checkHeader returns the body if the header is valid and the checksum matches.
func checkHeader(data []byte) (body []byte, err error) {
	if len(data) < headerBytes {
		return nil, &Error{Offset: len(data), Reason: fmt.Sprintf("cut: the header takes %d bytes", headerBytes)}
	}
	if string(data[:len(magic)]) != magic {
		return nil, &Error{Reason: "foreign: the data does not begin like a snapshot"}
	}
	version := binary.BigEndian.Uint32(data[versionOffset:])
	length := binary.BigEndian.Uint32(data[lengthOffset:])
	checksum := binary.BigEndian.Uint32(data[checksumOffset:])
	body = data[headerBytes:]
	switch {
	case version > Version:
		reason := fmt.Sprintf("newer: of version %d, but only versions up to %d are supported", version, Version)
		return nil, &Error{Offset: versionOffset, Reason: reason}
	case version == 0 || length > maxBodyBytes:
		return nil, &Error{Offset: versionOffset, Reason: "damaged: the header is invalid"}
	case len(body) < int(length):
		return nil, &Error{Offset: len(data), Reason: fmt.Sprintf("cut: the body takes %d bytes", length)}
	case len(body) > int(length):
		return nil, &Error{Offset: headerBytes + int(length), Reason: "damaged: bytes follow the body"}
	case Checksum(data[:checksumOffset], body) != checksum:
		return nil, &Error{Offset: checksumOffset, Reason: "damaged: the checksum does not match"}
	}
	return body, nil
}
