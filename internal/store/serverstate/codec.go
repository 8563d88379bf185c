package serverstate

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// Format is the version of the records of starts and module snapshots. A reader skips records of a later one.
const Format = 1

// ErrFormat reports a record of a later version.
var ErrFormat = errors.New("of a later format than this build reads")

// recordDecoder decodes values that other builds wrote: it ignores fields that it does not know.
var recordDecoder = newRecordDecoder()

func newRecordDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      64,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant and valid
	}
	return mode
}
