package store

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// maxCommandBytes bounds an encoded command.
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

// Encode returns one byte with the command's RequiredLevel, followed by the command in CBOR. Equal commands have equal
// encodings.
func (c *Command) Encode() ([]byte, error) {
	encoded, err := encMode.Marshal(c)
	if err == nil && len(encoded) >= maxCommandBytes {
		err = ErrTooLarge
	}
	if err != nil {
		return nil, fmt.Errorf("command: %w", err)
	}
	return append([]byte{byte(c.RequiredLevel())}, encoded...), nil
}

// CommandLevel returns the level that an encoded command requires, or 0 for an empty one.
func CommandLevel(encoded []byte) uint64 {
	if len(encoded) == 0 {
		return 0
	}
	return uint64(encoded[0])
}

// DecodeCommand decodes a command that Encode returned. The error wraps ErrUnknownCommand if this build does not know
// the command's level: a replica that finds such a command in its log must stop, because its state would differ from
// those of the other replicas if it skipped the command.
func DecodeCommand(encoded []byte) (*Command, error) {
	if len(encoded) == 0 || len(encoded) > maxCommandBytes {
		return nil, fmt.Errorf("command of %d bytes is empty or too large", len(encoded))
	}
	if encoded[0] > Level {
		return nil, fmt.Errorf("%w: level %d, and this build knows %d", ErrUnknownCommand, encoded[0], Level)
	}
	command := &Command{}
	if err := decMode.Unmarshal(encoded[1:], command); err != nil {
		var unknown *cbor.UnknownFieldError
		if errors.As(err, &unknown) {
			return nil, fmt.Errorf("%w: %w", ErrUnknownCommand, err)
		}
		return nil, fmt.Errorf("command: %w", err)
	}
	if command.Newer != nil {
		return nil, ErrUnknownCommand
	}
	if n := command.countActions(); n != 1 {
		return nil, fmt.Errorf("command has %d actions instead of one", n)
	}
	return command, nil
}

// countActions returns the number of actions that are set in the command.
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
