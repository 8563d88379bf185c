package store

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const maxCommandBytes = 16 << 20

var (
	encMode = must(cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   8,
		MaxArrayElements:  1 << 16,
		MaxMapPairs:       1 << 10,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the command's RequiredLevel in one byte, followed by the command in CBOR.
func (c *Command) Encode() ([]byte, error) {
	b, err := encMode.Marshal(c)
	if err == nil && len(b) >= maxCommandBytes {
		err = ErrTooLarge
	}
	if err != nil {
		return nil, fmt.Errorf("command: %w", err)
	}
	return append([]byte{byte(c.RequiredLevel())}, b...), nil
}

// CommandLevel returns the level that an encoded command requires, or 0 if b is empty.
func CommandLevel(b []byte) uint64 {
	if len(b) == 0 {
		return 0
	}
	return uint64(b[0])
}

// DecodeCommand decodes what Encode returned. A command of a later level is ErrUnknownCommand: a replica that finds
// one in its log must stop, because skipping it would make its state differ from the others'.
func DecodeCommand(b []byte) (*Command, error) {
	if len(b) == 0 || len(b) > maxCommandBytes {
		return nil, fmt.Errorf("command: %d bytes", len(b))
	}
	if b[0] > Level {
		return nil, fmt.Errorf("%w: level %d, and this build knows %d", ErrUnknownCommand, b[0], Level)
	}
	c := &Command{}
	if err := decMode.Unmarshal(b[1:], c); err != nil {
		var unknown *cbor.UnknownFieldError
		if errors.As(err, &unknown) {
			return nil, fmt.Errorf("%w: %w", ErrUnknownCommand, err)
		}
		return nil, fmt.Errorf("command: %w", err)
	}
	if c.Newer != nil {
		return nil, ErrUnknownCommand
	}
	if n := c.countActions(); n != 1 {
		return nil, fmt.Errorf("command: %d actions instead of one", n)
	}
	return c, nil
}

// countActions returns how many of the command's pointers are set.
func (c *Command) countActions() int {
	n := 0
	for _, set := range []bool{
		c.Txn != nil,
		c.GrantLease != nil,
		c.RevokeLease != nil,
		c.AddMember != nil,
		c.RegisterStart != nil,
		c.RemoveMember != nil,
		c.RaiseLevel != nil,
		c.RenewLease != nil,
	} {
		if set {
			n++
		}
	}
	return n
}
