// Package capture records the events that a sidecar's decision module (package balancer) receives and the actions with
// which it responds, and reads such captures.
//
// A capture is a sequence of files. A file is a sequence of frames, and a frame holds compressed records with their
// length and checksum. A segment is a sequence of frames that begins with a snapshot of the module, so that it can be
// replayed without the segments before it; it ends where the next one begins. If the disk was slow or full, all records
// up to the next segment are missing, and that segment begins with a record of the gap. Paths, queries, bodies,
// clients' IDs and keys are not recorded: a request is identified by a number.
package capture

import (
	"fmt"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

// Kind is the kind of a record.
type Kind uint8

// Kinds of records: first those that begin a segment, then the module's events, then its actions. Captures contain
// their numbers, so that they must not change.
const (
	KindGap      Kind = iota + 1 // Count: number of missing records. Line: the reason
	KindSnapshot                 // Blob: a snapshot. Flag: no record is missing between it and the previous segment

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
	KindReload // Blob: the new settings
	KindPeerEjected
	KindRestore // Blob: the snapshot that is restored. Time: its age

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

// kindNames are the names in decision logs and results of replays.
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

// String returns the kind's name in decision logs and results of replays.
func (k Kind) String() string {
	if k < kindCount && kindNames[k] != "" {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// IsAction reports whether the kind is that of an action of the module. All others begin a segment or are events.
func (k Kind) IsAction() bool { return k >= KindSend && k < kindCount }

// Record is one record of a capture. Its kind determines which fields are set.
type Record struct {
	Kind          Kind
	At            balancer.Micros // instant of the event; an action has that of the event before it
	ID            uint64          // of the request
	Endpoint      uint32          // ID of the endpoint
	Attempt       int             // number of the attempt within its request
	Token         uint32          // of the timer
	Time          balancer.Micros // a delay, a timeout, a remaining time, a latency, a Retry-After, or an age
	Status        balancer.Status
	List          balancer.ListKind
	Flag          bool // KindOutcome: answered; KindWatch: on; KindSnapshot: no record is missing before it
	NotReplayable bool
	Part          float64             // the capacity share: greater than 0, up to 1
	Count         uint64              // KindGap: number of missing records
	Line          string              // a line of the module's log, or the reason for a gap
	Blob          []byte              // a snapshot or settings, as package snapshot encodes them
	Load          []float32           // a load report; nil for none
	Entries       []balancer.Endpoint // the endpoint list
	Names         []string            // names of Entries, in the same order
	Request       balancer.Request
	Rules         []byte // balancer.RulesState in CBOR for a request that arrived under earlier rules; nil otherwise
}

// Maximum sizes of a record's fields. Longer ones are damage.
const (
	maxLineBytes  = 4 << 10
	maxBlobBytes  = 16 << 20
	maxLoadValues = 256
	maxEntries    = 1 << 16
	maxNameBytes  = 1024
)

// Bytes returns the record's encoding with its instant left out. Replays compare records by it.
func (r *Record) Bytes() []byte { return r.append(nil, r.At) }

// String describes the record in a line for operators and for decision logs. Digests of replays depend on its text.
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
		req := &r.Request
		return fmt.Sprintf("request %d: class %d, tenant %d, %d us", req.ID, req.Class, req.Tenant, req.Deadline-r.At)
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
