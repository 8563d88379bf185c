package serverstate

import (
	"errors"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// StartPrefix is the prefix of the keys of start reports, which have the form start/PROCESS.
const StartPrefix = "start/"

// MaxStarts is the maximum number of start reports in the store. A transaction that adds one more is rejected.
const MaxStarts = 16384

// maxStartMillis is the upper bound of both durations of a start report, one day.
const maxStartMillis = 24 * 3600 * 1000

// StartReport reports that a process of a server started. It matters while the process is warming up, and contains how
// long that takes, so that the result does not depend on the reader's configuration.
type StartReport struct {
	Format       uint64 `cbor:"1,keyasint" json:"-"`
	ReportedBy   string `cbor:"2,keyasint" json:"by"`     // name of the daemon that wrote the report
	AgeMillis    int64  `cbor:"3,keyasint" json:"ago_ms"` // from the start of the process until the report was written
	WarmupMillis int64  `cbor:"4,keyasint" json:"for_ms"` // from the start of the process until it has warmed up
}

// StartKey returns the key of the start report of a process.
func StartKey(process Process) string { return StartPrefix + process.ServerName() }

// ParseStart parses a StartKey. ok is false if the key is malformed.
func ParseStart(key string) (process Process, ok bool) {
	name, ok := strings.CutPrefix(key, StartPrefix)
	if !ok {
		return Process{}, false
	}
	return ParseProcess(name)
}

// Encode encodes the report in the current format.
func (r StartReport) Encode() []byte {
	r.Format = RecordFormat
	value, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // unreachable: strings and numbers can always be encoded
	}
	return value
}

// DecodeStartReport decodes a report and checks the range of its durations. For a report of a later version the error
// wraps ErrUnsupportedFormat.
func DecodeStartReport(value []byte) (StartReport, error) {
	var report StartReport
	if err := recordDecoder.Unmarshal(value, &report); err != nil {
		return StartReport{}, fmt.Errorf("start report: %w", err)
	}
	if report.Format > RecordFormat {
		return StartReport{}, fmt.Errorf("start report: %w: %d", ErrUnsupportedFormat, report.Format)
	}
	validAge := 0 <= report.AgeMillis && report.AgeMillis <= maxStartMillis
	validWarmup := 0 < report.WarmupMillis && report.WarmupMillis <= maxStartMillis
	if report.Format == 0 || !validAge || !validWarmup {
		return StartReport{}, errors.New("start report: format or duration out of range")
	}
	return report, nil
}
