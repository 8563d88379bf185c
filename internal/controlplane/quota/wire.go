package quota

import (
	"fmt"
	"strconv"
	"strings"

	"birchmoor/internal/store"

	"github.com/fxamacker/cbor/v2"
)

// Keys of the store.
const (
	Prefix        = "limit/"
	ConfigKey     = "limit/conf"   // a Config as JSON
	AllocationKey = "limit/turn"   // changes with each allocation, which is conditional on the previous one
	DemandPrefix  = "limit/need/"  // HOST/SESSION: a Demand, which goes with the session
	GrantPrefix   = "limit/grant/" // HOST/SESSION: a Grant
)

// Bounds of what the store holds.
const (
	MaxProcesses   = 8192
	MaxRecordBytes = 64 << 10 // of a Demand or a Grant

	maxMapPairs     = 1 << 14
	maxNestedLevels = 6
)

// Process identifies a process that shares limits: its daemon's name and its session, which no other process ever has.
type Process struct {
	Host    string `json:"Host"`
	Session uint64 `json:"Session"`
}

// String returns HOST/SESSION, as in keys of the store.
func (p Process) String() string { return p.Host + "/" + strconv.FormatUint(p.Session, 10) }

// DemandKey returns the key under which the process reports its Demand.
func (p Process) DemandKey() string { return DemandPrefix + p.String() }

// GrantKey returns the key of the process's Grant.
func (p Process) GrantKey() string { return GrantPrefix + p.String() }

// parseProcess parses what String returns.
func parseProcess(text string) (p Process, ok bool) {
	host, number, found := strings.Cut(text, "/")
	session, err := strconv.ParseUint(number, 10, 64)
	return Process{Host: host, Session: session}, found && err == nil && host != "" && session > 0
}

// Demand is a process's report.
type Demand struct {
	ConfigVersion uint64                `cbor:"1,keyasint"`           // of the limits that it enforces
	SeenRevision  uint64                `cbor:"2,keyasint"`           // of the Grant that it keeps to from now on
	Nodes         map[string]NodeDemand `cbor:"3,keyasint,omitempty"` // by Limit.Key
}

// NodeDemand is a process's demand of one node.
type NodeDemand struct {
	Wanted   Amount `cbor:"1,keyasint,omitempty" json:"want"`    // that it could use
	InUse    Amount `cbor:"2,keyasint,omitempty" json:"floor"`   // now, or spent in the window
	Admitted uint64 `cbor:"3,keyasint,omitempty" json:"taken"`   // requests since its start
	Rejected uint64 `cbor:"4,keyasint,omitempty" json:"refused"` // requests since its start, for lack of quota
}

// Grant is a process's quotas.
type Grant struct {
	Quotas        map[string]Quota `cbor:"1,keyasint,omitempty"` // by Limit.Key
	OutlivedNanos int64            `cbor:"2,keyasint,omitempty"` // since its process is gone, as far as known
}

// Quota is a process's quota of one node.
type Quota struct {
	Amount   Amount `cbor:"1,keyasint,omitempty" json:"amount"`
	Previous Amount `cbor:"2,keyasint,omitempty" json:"was"` // counts, if larger, until the process has seen Amount
	Linger   int64  `cbor:"3,keyasint,omitempty" json:"linger,omitempty"`
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

// Encode encodes a Demand or a Grant.
func Encode(record any) []byte {
	b, err := encodeMode.Marshal(record)
	if err != nil {
		panic(err) // neither holds a type that CBOR cannot encode
	}
	return b
}

// DecodeDemand decodes a Demand that Encode wrote.
func DecodeDemand(b []byte) (Demand, error) {
	var d Demand
	if err := decodeMode.Unmarshal(b, &d); err != nil {
		return d, fmt.Errorf("demand: %w", err)
	}
	return d, nil
}

// DecodeGrant decodes a Grant that Encode wrote.
func DecodeGrant(b []byte) (Grant, error) {
	var g Grant
	if err := decodeMode.Unmarshal(b, &g); err != nil {
		return g, fmt.Errorf("grant: %w", err)
	}
	return g, nil
}

// Allowed reports whether a daemon without a replica may do an operation on limits: it may write and delete the
// demand of its own processes, bound to their sessions.
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
