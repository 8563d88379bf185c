// Package snapshot carries the state of a sidecar's decision module from one process to the next, as bytes and as a
// file.
//
// The form is a header of fixed size (magic, version, length, checksum) and a body in CBOR (RFC 8949). Data that is
// damaged, truncated, of another form or of a later version is an *Error that says so, and nothing of it is used: a
// start without it is correct, too. How much of the state still holds is not decided here: see balancer.Recall. The
// package may import balancer.
package snapshot

import (
	"errors"
	"fmt"
	"math"

	"birchmoor/balancer"
)

const (
	maxNames     = 4096 // endpoints
	maxNameBytes = 1024
)

// Saved is a saved snapshot: the module's state, and the names of the endpoints that the state numbers.
type Saved struct {
	Sidecar   string             `cbor:"1,keyasint"` // whose it is
	Clock     Clock              `cbor:"2,keyasint"` // when it was taken
	State     *balancer.Snapshot `cbor:"3,keyasint"`
	Names     []string           `cbor:"4,keyasint"`           // of State.Endpoints, in their order
	RunID     uint64             `cbor:"5,keyasint,omitempty"` // in a capture: identifies the process
	Addresses []string           `cbor:"6,keyasint,omitempty"` // of State.Endpoints, for other hosts; no file has them
}

// check returns what is inconsistent.
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

// Renumber gives the endpoints the numbers that another process uses for their names and, where known, addresses.
// Endpoints that it does not know get numbers that it does not use.
func (s *Saved) Renumber(number func(name, address string) (uint32, bool)) {
	for i, name := range s.Names {
		address := ""
		if i < len(s.Addresses) {
			address = s.Addresses[i]
		}
		n, known := number(name, address)
		if !known {
			n = math.MaxUint32 - uint32(i)
		}
		s.State.Endpoints[i].ID = n
	}
	// A process learns of administrative drains from the operators' overrides.
	s.State.Drains, s.State.Undrained = nil, nil
}
