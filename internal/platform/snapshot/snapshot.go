// Package snapshot encodes the state of a sidecar's decision module, so that the next process of the sidecar can
// restore it, and stores it in a file.
//
// The encoded form is a header of fixed size (magic, version, length, checksum) and a body in CBOR (RFC 8949). Decoding
// data that is damaged, truncated, in another form or of a later version returns an *Error and nothing of the data: a
// sidecar also starts correctly without a snapshot. This package does not decide how much of a snapshot still holds at
// its age; see balancer.Recall. The package may import balancer.
package snapshot

import (
	"errors"
	"fmt"
	"math"

	"birchmoor/balancer"
)

const (
	maxNames     = 4096 // of endpoints
	maxNameBytes = 1024 // of a name or an address
)

// Saved is a saved snapshot: the state of a decision module, and the names of the endpoints, which the state identifies
// by number.
type Saved struct {
	Sidecar   string             `cbor:"1,keyasint"` // name of the sidecar that saved it
	Clock     Clock              `cbor:"2,keyasint"` // when it was taken
	State     *balancer.Snapshot `cbor:"3,keyasint"`
	Names     []string           `cbor:"4,keyasint"`           // of State.Endpoints, in the same order
	RunID     uint64             `cbor:"5,keyasint,omitempty"` // in a capture: identifies the process
	Addresses []string           `cbor:"6,keyasint,omitempty"` // of State.Endpoints, for other hosts; not in files
}

// check returns an error if the snapshot is incomplete or inconsistent.
func (s *Saved) check() error {
	if s.State == nil {
		return errors.New("no state")
	}
	if len(s.Names) != len(s.State.Endpoints) || len(s.Names) > maxNames {
		return fmt.Errorf("%d names for %d endpoints", len(s.Names), len(s.State.Endpoints))
	}
	seen := make(map[string]bool, len(s.Names))
	for _, name := range s.Names {
		if name == "" || len(name) > maxNameBytes || seen[name] {
			return fmt.Errorf("the name %.40q is empty, too long, or there twice", name)
		}
		seen[name] = true
	}
	if len(s.Addresses) > 0 && len(s.Addresses) != len(s.Names) {
		return fmt.Errorf("%d addresses for %d endpoints", len(s.Addresses), len(s.Names))
	}
	for _, address := range s.Addresses {
		if len(address) > maxNameBytes {
			return fmt.Errorf("the address %.40q is too long", address)
		}
	}
	return nil
}

// Renumber replaces the endpoints' numbers by those of another process. idOf returns its number for a name and an
// address, which is empty if the snapshot has none, or false if it does not know the endpoint. Unknown endpoints get
// high numbers that the process does not use. Renumber also removes administrative drains from the state.
func (s *Saved) Renumber(idOf func(name, address string) (uint32, bool)) {
	for i, name := range s.Names {
		address := ""
		if i < len(s.Addresses) {
			address = s.Addresses[i]
		}
		id, known := idOf(name, address)
		if !known {
			id = math.MaxUint32 - uint32(i)
		}
		s.State.Endpoints[i].ID = id
	}
	// The other process gets administrative drains from the operators' overrides.
	s.State.Drains, s.State.Undrained = nil, nil
}
