package quota

import (
	"fmt"
	"strconv"
	"strings"

	"birchmoor/internal/store"

	"github.com/fxamacker/cbor/v2"
)

// Keys of the store. Process.String is appended to DemandPrefix and GrantPrefix.
const (
	Prefix        = "limit/"       // of all keys below
	ConfigKey     = "limit/conf"   // holds a Config as JSON
	AllocationKey = "limit/turn"   // changes with each allocation, which is conditional on the previous one
	DemandPrefix  = "limit/need/"  // holds the Demand of a process, which is deleted with its session
	GrantPrefix   = "limit/grant/" // holds the Grant of a process
)

// Bounds of the records in the store.
const (
	MaxProcesses   = 8192     // that report demand
	MaxRecordBytes = 64 << 10 // of an encoded Demand

	maxMapPairs     = 1 << 14
	maxNestedLevels = 6
)

// Process identifies a process that shares limits, by the name of its daemon and by its session. No other process ever
// has the same session.
type Process struct {
	Host    string `json:"Host"`
	Session uint64 `json:"Session"`
}

// String returns HOST/SESSION, as the keys of the store contain it.
func (p Process) String() string { return p.Host + "/" + strconv.FormatUint(p.Session, 10) }

// DemandKey returns the key of the process's Demand.
func (p Process) DemandKey() string { return DemandPrefix + p.String() }

// GrantKey returns the key of the process's Grant.
func (p Process) GrantKey() string { return GrantPrefix + p.String() }

// parseProcess parses the form HOST/SESSION that Process.String returns.
func parseProcess(text string) (p Process, ok bool) {
	host, number, found := strings.Cut(text, "/")
	session, err := strconv.ParseUint(number, 10, 64)
	return Process{Host: host, Session: session}, found && err == nil && host != "" && session > 0
}

// Demand is a process's report of its demand. It also acknowledges the process's grant.
type Demand struct {
	ConfigVersion uint64                `cbor:"1,keyasint"`           // of the limits that the process enforces
	SeenRevision  uint64                `cbor:"2,keyasint"`           // of the newest Grant that the process enforces
	Nodes         map[string]NodeDemand `cbor:"3,keyasint,omitempty"` // by Limit.Key
}

// NodeDemand is a process's demand for one node.
type NodeDemand struct {
	Wanted   Amount `cbor:"1,keyasint,omitempty" json:"want"`    // the quota that the process could use
	InUse    Amount `cbor:"2,keyasint,omitempty" json:"floor"`   // spent in the window, or in flight; 0 for a rate
	Admitted uint64 `cbor:"3,keyasint,omitempty" json:"taken"`   // number of requests since the process's start
	Rejected uint64 `cbor:"4,keyasint,omitempty" json:"refused"` // number of requests since the process's start
}

// Grant holds the quotas of a process. The grant of a departed process stays in the store until no quota of it counts.
type Grant struct {
	Quotas           map[string]Quota `cbor:"1,keyasint,omitempty"` // by Limit.Key
	DepartedForNanos int64            `cbor:"2,keyasint,omitempty"` // least time since the departure, when written
}

// Quota is a process's quota of one node.
type Quota struct {
	Amount   Amount `cbor:"1,keyasint,omitempty" json:"amount"`
	Previous Amount `cbor:"2,keyasint,omitempty" json:"was"` // counts, if larger, until the process acknowledges Amount

	// Linger is for how many nanoseconds the quota counts after the process has departed.
	Linger int64 `cbor:"3,keyasint,omitempty" json:"linger,omitempty"`
}

var (
	encodeMode = must(cbor.CoreDetEncOptions().EncMode())
	decodeMode = must(cbor.DecOptions{
		DupMapKey:       cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels: maxNestedLevels,
		MaxMapPairs:     maxMapPairs,
		IndefLength:     cbor.IndefLengthForbidden,
		TagsMd:          cbor.TagsForbidden,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode encodes a Demand or a Grant as deterministic CBOR.
func Encode(record any) []byte {
	b, err := encodeMode.Marshal(record)
	if err != nil {
		panic(err) // neither of them has a field that CBOR cannot encode
	}
	return b
}

// DecodeDemand decodes a Demand that Encode wrote.
func DecodeDemand(b []byte) (Demand, error) {
	var d Demand
	if err := decodeMode.Unmarshal(b, &d); err != nil {
		return d, fmt.Errorf("decode demand: %w", err)
	}
	return d, nil
}

// DecodeGrant decodes a Grant that Encode wrote.
func DecodeGrant(b []byte) (Grant, error) {
	var g Grant
	if err := decodeMode.Unmarshal(b, &g); err != nil {
		return g, fmt.Errorf("decode grant: %w", err)
	}
	return g, nil
}

// Allowed reports whether the daemon named owner, which has no replica, may do an operation on the keys of limits. It
// may only write the demand of its own processes, bound to their sessions, and delete it.
func Allowed(op store.Op, owner string) bool {
	name, isDemand := strings.CutPrefix(op.Key, DemandPrefix)
	if !isDemand || owner == "" {
		return false
	}
	p, ok := parseProcess(name)
	if !ok || p.Host != owner {
		return false
	}
	return op.Delete || op.LeaseID == p.Session && len(op.Value) <= MaxRecordBytes
}
