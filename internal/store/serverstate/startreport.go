package serverstate

import (
	"errors"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// StartPrefix begins the keys of processes of servers that started recently: start/PROCESS.
const StartPrefix = "start/"

// MaxStarts bounds the starts in the store; a transaction that adds one more is rejected.
const MaxStarts = 16384

// maxStartMillis bounds both figures of a report: a day.
const maxStartMillis = 24 * 3600 * 1000

// StartReport says that a process of a server started. It is of use while the process is warming up, and says
// itself how long that is, so that the configuration of the reader does not matter.
type StartReport struct {
	Format       uint64 `cbor:"1,keyasint" json:"-"`
	ReportedBy   string `cbor:"2,keyasint" json:"by"`     // the daemon that wrote it
	AgoMillis    int64  `cbor:"3,keyasint" json:"ago_ms"` // from the start to the writing of the report
	WarmupMillis int64  `cbor:"4,keyasint" json:"for_ms"` // from the start to the end of warming up
}

// StartKey is the key of the report on a process.
func StartKey(process Process) string { return StartPrefix + process.ServerName() }

// ParseStart parses a StartKey.
func ParseStart(key string) (process Process, ok bool) {
	name, ok := strings.CutPrefix(key, StartPrefix)
	if !ok {
		return Process{}, false
	}
	return ParseProcess(name)
}

// Encode encodes the report in the current format.
func (r StartReport) Encode() []byte {
	r.Format = Format
	value, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return value
}

// DecodeStartReport decodes a report and checks its figures. The error wraps ErrFormat for one of a later version.
func DecodeStartReport(value []byte) (StartReport, error) {
	var report StartReport
	if err := recordDecoder.Unmarshal(value, &report); err != nil {
		return StartReport{}, fmt.Errorf("start report: %w", err)
	}
	if report.Format > Format {
		return StartReport{}, fmt.Errorf("start report: %w: %d", ErrFormat, report.Format)
	}
	validAgo := 0 <= report.AgoMillis && report.AgoMillis <= maxStartMillis
	validWarmup := 0 < report.WarmupMillis && report.WarmupMillis <= maxStartMillis
	if report.Format == 0 || !validAgo || !validWarmup {
		return StartReport{}, errors.New("start report: a figure is out of range")
	}
	return report, nil
}
