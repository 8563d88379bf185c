// Package snapshot carries what a sidecar's decision module knows from one process to the next, as bytes and as a
// file.
//
// The form is a head of fixed size (magic, version, length, checksum) and a body in CBOR (RFC 8949). What is
// damaged, cut short, foreign or of a later version is an *Error that says so, and nothing of it is used: a start
// without it is as good as any. What of it is still worth believing is not decided here: see balancer.Recall.
package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"birchmoor/balancer"
)

// Version is that of the body's schema. A field that an older reader would misread makes a new one.
const Version = 1

const (
	magic        = "BMsn"
	headSize     = 16      // magic, version, length, checksum of what follows the checksum's place
	maxBodyBytes = 8 << 20 // bytes of a body; 1,000 servers take well under one MiB
	maxNames     = 4096    // endpoints
	maxNameBytes = 1024    // bytes of a name
)

// Saved is what is carried: the module's state, and the names that its numbers stand for.
type Saved struct {
	Sidecar   string             `cbor:"1,keyasint"` // whose it is
	Clock     Clock              `cbor:"2,keyasint"` // when it was taken
	State     *balancer.Snapshot `cbor:"3,keyasint"`
	Names     []string           `cbor:"4,keyasint"`           // of State.Endpoints, in their order
	RunID     uint64             `cbor:"5,keyasint,omitempty"` // of a capture: names the process
	Addresses []string           `cbor:"6,keyasint,omitempty"` // of State.Endpoints, where another host is to read it; no file has them
}

// Error says what is wrong with a snapshot.
type Error struct {
	Offset int // of the byte from which on it is not readable
	Reason string
	Err    error
}

// Error names the offset.
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
	decoder = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 16,
		MaxArrayElements: 1 << 20, MaxMapPairs: 4096}.DecMode())
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are ours
	}
	return v
}

// Marshal writes a value in the canonical form that snapshots use: equal values give equal bytes.
func Marshal(v any) ([]byte, error) { return encoder.Marshal(v) }

// Unmarshal reads such a value strictly: unknown and repeated keys, tags and open lengths are errors.
func Unmarshal(data []byte, v any) error { return decoder.Unmarshal(data, v) }

// Checksum is the CRC-32C (RFC 3720) that guards heads and bodies.
func Checksum(parts ...[]byte) uint32 {
	sum := uint32(0)
	for _, p := range parts {
		sum = crc32.Update(sum, castagnoli, p)
	}
	return sum
}

// Encode returns the bytes of k.
func Encode(k *Saved) ([]byte, error) {
	body, err := Marshal(k)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if len(body) > maxBodyBytes {
		return nil, &Error{0, fmt.Sprintf("%d bytes are over %d", len(body), maxBodyBytes), nil}
	}
	out := make([]byte, headSize, headSize+len(body))
	copy(out, magic)
	binary.BigEndian.PutUint32(out[4:], Version)
	binary.BigEndian.PutUint32(out[8:], uint32(len(body)))
	binary.BigEndian.PutUint32(out[12:], Checksum(out[:12], body))
	return append(out, body...), nil
}

// Decode reads what Encode wrote, all of it or nothing.
func Decode(data []byte) (*Saved, error) {
	bad := func(at int, reason string, err error) (*Saved, error) { return nil, &Error{at, reason, err} }
	if len(data) < headSize {
		return bad(len(data), fmt.Sprintf("cut: the head takes %d bytes", headSize), nil)
	}
	if string(data[:4]) != magic {
		return bad(0, "foreign: no snapshot of ours begins so", nil)
	}
	version, length := binary.BigEndian.Uint32(data[4:]), binary.BigEndian.Uint32(data[8:])
	if version > Version {
		return bad(4, fmt.Sprintf("newer: of version %d, read up to %d", version, Version), nil)
	}
	body := data[headSize:]
	switch {
	case version == 0 || length > maxBodyBytes:
		return bad(4, "damaged: the head makes no sense", nil)
	case len(body) < int(length):
		return bad(len(data), fmt.Sprintf("cut: the body takes %d bytes", length), nil)
	case len(body) > int(length):
		return bad(headSize+int(length), "damaged: bytes follow the body", nil)
	case Checksum(data[:12], body) != binary.BigEndian.Uint32(data[12:]):
		return bad(12, "damaged: the checksum does not hold", nil)
	}
	k := &Saved{}
	if err := Unmarshal(body, k); err != nil {
		return bad(headSize, "damaged: the body is not readable", err)
	}
	if err := k.check(); err != nil {
		return bad(headSize, "damaged", err)
	}
	return k, nil
}

func (k *Saved) check() error {
	if k.State == nil {
		return errors.New("no state")
	}
	if len(k.Names) != len(k.State.Endpoints) || len(k.Names) > maxNames {
		return fmt.Errorf("%d names for %d endpoints", len(k.Names), len(k.State.Endpoints))
	}
	met := make(map[string]bool, len(k.Names))
	for _, name := range k.Names {
		if name == "" || len(name) > maxNameBytes || met[name] {
			return fmt.Errorf("the name %.40q is empty, too long, or there twice", name)
		}
		met[name] = true
	}
	if len(k.Addresses) > 0 && len(k.Addresses) != len(k.Names) {
		return fmt.Errorf("%d addresses for %d endpoints", len(k.Addresses), len(k.Names))
	}
	for _, addr := range k.Addresses {
		if len(addr) > maxNameBytes {
			return fmt.Errorf("the address %.40q is too long", addr)
		}
	}
	return nil
}

// Renumber gives the endpoints the numbers that another process has for their names and, where these are told, addresses;
// those that it does not know get numbers that it does not use.
func (k *Saved) Renumber(number func(name, addr string) (uint32, bool)) {
	for i, name := range k.Names {
		addr := ""
		if i < len(k.Addresses) {
			addr = k.Addresses[i]
		}
		n, known := number(name, addr)
		if !known {
			n = math.MaxUint32 - uint32(i)
		}
		k.State.Endpoints[i].ID = n
	}
	k.State.Drains, k.State.Undrained = nil, nil // whoever starts learns of these from the operators' book
}

// Clock is an instant by the clocks that two processes of a machine have in common.
type Clock struct {
	WallMicros   int64  `cbor:"1,keyasint"`           // microseconds of Unix time: it may be set
	BootID       string `cbor:"2,keyasint,omitempty"` // names the machine's start; empty if not known
	UptimeMicros int64  `cbor:"3,keyasint,omitempty"` // microseconds since that: it only goes forward
}

// ReadClock reads the clocks.
func ReadClock() Clock {
	c := Clock{WallMicros: time.Now().UnixMicro()}
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	up, err2 := os.ReadFile("/proc/uptime")
	if err != nil || err2 != nil {
		return c // the wall clock must do
	}
	first, _, _ := strings.Cut(string(up), " ")
	if s, err := strconv.ParseFloat(first, 64); err == nil {
		c.BootID, c.UptimeMicros = strings.TrimSpace(string(id)), int64(s*1e6)
	}
	return c
}

// uptimeGrainMicros is how coarsely the time since the machine's start is told.
const uptimeGrainMicros = 10_000

// Since is the time from then to c, in microseconds. Within one start of the machine a wall clock that was set in
// between does not matter; else it is believed, and the result is negative if it was set back.
func (c Clock) Since(then Clock) int64 {
	if c.BootID == "" || c.BootID != then.BootID {
		return c.WallMicros - then.WallMicros
	}
	up := c.UptimeMicros - then.UptimeMicros
	if wall := c.WallMicros - then.WallMicros; wall >= up-uptimeGrainMicros && wall <= up+uptimeGrainMicros {
		return max(0, wall) // the finer of two that agree
	}
	return up
}
