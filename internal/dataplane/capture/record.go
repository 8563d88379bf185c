// Package capture records the events that a sidecar's decision module gets and the actions that it answers with,
// and reads such records.
//
// A capture is a sequence of files. Each holds frames, and a frame holds compressed records under a length and a
// checksum. A segment is a sequence of frames that begins with a snapshot of the module, so that it can be replayed
// without what came before; it ends where the next one begins. Where the disk was slow or full a complete stretch
// is missing, and the next segment begins with a record of the gap. Paths, queries, bodies, clients' IDs and keys
// are not recorded: requests are numbers.
package capture

import (
	"fmt"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

// Kind says what a record is of.
type Kind uint8

// The kinds: what begins a segment, events of the module, and its actions. Their numbers are stored.
const (
	KindGap      Kind = iota + 1 // Count records are missing, for the reason in Line
	KindSnapshot                 // Blob: a snapshot. Flag: it continues the segment before

	KindUpdateEndpoints
	KindRequest
	KindResponseStarted
	KindUploadComplete
	KindOutcome
	KindClientDisconnected
	KindTimer
	KindProbeCompleted
	KindDrainEndpoint
	KindUndrainEndpoint
	KindSetCapacityShare
	KindReload // Blob: the settings
	KindPeerEjected
	KindRestore // Blob: the snapshot. Time: its age

	KindSend
	KindReject
	KindFail
	KindCancel
	KindSetTimer
	KindProbe
	KindWatch
	KindLog
	kindCount
)

// kindNames are printed in decision logs and results.
var kindNames = [kindCount]string{
	KindGap:                "gap",
	KindSnapshot:           "snapshot",
	KindUpdateEndpoints:    "members",
	KindRequest:            "request",
	KindResponseStarted:    "headers",
	KindUploadComplete:     "uploaded",
	KindOutcome:            "outcome",
	KindClientDisconnected: "client-gone",
	KindTimer:              "timer",
	KindProbeCompleted:     "probed",
	KindDrainEndpoint:      "take-out",
	KindUndrainEndpoint:    "call-back",
	KindSetCapacityShare:   "share",
	KindReload:             "reload",
	KindPeerEjected:        "heard",
	KindRestore:            "recall",
	KindSend:               "send",
	KindReject:             "refuse",
	KindFail:               "fail",
	KindCancel:             "cancel",
	KindSetTimer:           "set-timer",
	KindProbe:              "probe",
	KindWatch:              "watch",
	KindLog:                "log",
}

// String returns the kind's printed name.
func (k Kind) String() string {
	if k < kindCount && kindNames[k] != "" {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// IsAction reports whether a record is an action of the module; all others begin a segment or are events.
func (k Kind) IsAction() bool { return k >= KindSend && k < kindCount }

// Record is one record. Which fields are set depends on the kind.
type Record struct {
	Kind          Kind
	At            balancer.Micros // of the event; an action has that of the event before
	ID            uint64          // of the request
	Endpoint      uint32
	Attempt       int
	Token         uint32
	Time          balancer.Micros // a delay, an age, a latency, a retry-after, or the age of an operator's order
	Status        balancer.Status
	List          balancer.ListKind
	Flag          bool // of an outcome: answered; of a watch: on
	NotReplayable bool
	Part          float64
	Count         uint64
	Line          string
	Blob          []byte
	Load          []float32
	Entries       []balancer.Endpoint
	Names         []string // of Entries
	Request       balancer.Request
	Rules         []byte // of a request that arrived under earlier rules: balancer.RulesState in CBOR
}

// Limits of what a record may hold.
const (
	maxLineBytes   = 4 << 10
	maxBlobBytes   = 16 << 20
	maxLoadFigures = 256
	maxEntries     = 1 << 16
	maxNameBytes   = 1024
)

// Bytes returns the record's canonical form, by which two are compared.
func (r *Record) Bytes() []byte { return r.append(nil, r.At) }

// String returns a line for operators and for decision logs.
func (r *Record) String() string {
	if r.Kind.IsAction() {
		return r.actionString()
	}
	return r.eventString()
}

func (r *Record) eventString() string {
	switch r.Kind {
	case KindGap:
		return fmt.Sprintf("gap: %d records lost: %s", r.Count, r.Line)
	case KindSnapshot, KindReload, KindRestore:
		return fmt.Sprintf("%v of %d bytes, %08x", r.Kind, len(r.Blob), snapshot.Checksum(r.Blob))
	case KindUpdateEndpoints:
		return fmt.Sprintf("members: kind %d, %d entries", r.List, len(r.Entries))
	case KindRequest:
		q := &r.Request
		return fmt.Sprintf("request %d: class %d, tenant %d, %d us", q.ID, q.Class, q.Tenant, q.Deadline-r.At)
	case KindResponseStarted:
		return fmt.Sprintf("headers of request %d, attempt %d", r.ID, r.Attempt)
	case KindOutcome:
		return fmt.Sprintf("outcome of request %d, attempt %d at %d: status %d after %d us",
			r.ID, r.Attempt, r.Endpoint, r.Status, r.Time)
	case KindUploadComplete, KindClientDisconnected:
		return fmt.Sprintf("%v: request %d", r.Kind, r.ID)
	case KindTimer:
		return fmt.Sprintf("timer %d", r.Token)
	case KindProbeCompleted:
		return fmt.Sprintf("probed %d: status %d after %d us, %v", r.Endpoint, r.Status, r.Time, r.Load)
	case KindDrainEndpoint, KindUndrainEndpoint, KindPeerEjected:
		return fmt.Sprintf("%v %d", r.Kind, r.Endpoint)
	case KindSetCapacityShare:
		return fmt.Sprintf("share %v", r.Part)
	default:
		return r.Kind.String()
	}
}

func (r *Record) actionString() string {
	switch r.Kind {
	case KindSend:
		return fmt.Sprintf("send %d to %d within %d us", r.ID, r.Endpoint, r.Time)
	case KindReject:
		return fmt.Sprintf("refuse %d, again after %d us", r.ID, r.Time)
	case KindFail:
		return fmt.Sprintf("fail %d", r.ID)
	case KindCancel:
		return fmt.Sprintf("cancel %d, attempt %d", r.ID, r.Attempt)
	case KindSetTimer:
		return fmt.Sprintf("set timer %d in %d us", r.Token, r.Time)
	case KindProbe:
		return fmt.Sprintf("probe %d", r.Endpoint)
	case KindWatch:
		return fmt.Sprintf("watch %v", r.Flag)
	case KindLog:
		return "log " + r.Line
	default:
		return r.Kind.String()
	}
}
