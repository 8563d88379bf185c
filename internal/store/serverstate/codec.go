package serverstate

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// RecordFormat is the version of the encoding of start reports and module snapshots. A reader skips records of a later
// version.
const RecordFormat = 1

// ErrUnsupportedFormat reports a record that a newer build wrote in a later version of the encoding.
var ErrUnsupportedFormat = errors.New("record format is newer than this build supports")

// recordDecoder decodes values that other builds may have written: it ignores fields that this build does not know.
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
		panic(err) // unreachable: the options are constant and valid
	}
	return mode
}
