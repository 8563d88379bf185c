package quota

import (
	"fmt"
	"strconv"
	"strings"

	"birchmoor/internal/store"

	"github.com/fxamacker/cbor/v2"
)

// Keys of limits.
const (
	Prefix        = "limit/"
	ConfigKey     = "limit/conf"   // Conf, as JSON
	AllocationKey = "limit/turn"   // each division is one on the last
	DemandPrefix  = "limit/need/"  // HOST/SESSION: Need; it goes with the session
	GrantPrefix   = "limit/grant/" // HOST/SESSION: Grant
)

// Bounds of what the store keeps.
const (
	MaxProcesses   = 8192
	MaxRecordBytes = 64 << 10 // bytes of a Need or a Grant
)

// Process is one that shares limits: a daemon's name and its session, which no other process ever has.
type Process struct {
	Host    string
	Session uint64
}

func (p Process) String() string { return p.Host + "/" + strconv.FormatUint(p.Session, 10) }

// DemandKey is where it tells of itself, GrantKey where its shares are.
func (p Process) DemandKey() string { return DemandPrefix + p.String() }

// GrantKey is of NeedKey.
func (p Process) GrantKey() string { return GrantPrefix + p.String() }

// parseProcess reads a key behind its prefix.
func parseProcess(rest string) (Process, bool) {
	host, text, ok := strings.Cut(rest, "/")
	n, err := strconv.ParseUint(text, 10, 64)
	return Process{host, n}, ok && err == nil && host != "" && n > 0
}

// Demand is what a process tells.
type Demand struct {
	ConfigVersion uint64                `cbor:"1,keyasint"` // the version of the limits that it goes by
	SeenRevision  uint64                `cbor:"2,keyasint"` // the revision of the Grant that it goes by: of no larger one from now on
	Nodes         map[string]NodeDemand `cbor:"3,keyasint,omitempty"`
}

// NodeDemand are those of one share.
type NodeDemand struct {
	Wanted   Amount `cbor:"1,keyasint,omitempty" json:"want"`    // that it could use
	InUse    Amount `cbor:"2,keyasint,omitempty" json:"floor"`   // that it has in use, or has spent in the window
	Admitted uint64 `cbor:"3,keyasint,omitempty" json:"taken"`   // requests since its start
	Rejected uint64 `cbor:"4,keyasint,omitempty" json:"refused"` // and of those that this share had too little for
}

// Grant is a process's shares.
type Grant struct {
	Quotas        map[string]Quota `cbor:"1,keyasint,omitempty"`
	OutlivedNanos int64            `cbor:"2,keyasint,omitempty"` // nanoseconds that it is known to have outlived its process
}

// Quota is one share.
type Quota struct {
	Amount   Amount `cbor:"1,keyasint,omitempty" json:"amount"`
	Previous Amount `cbor:"2,keyasint,omitempty" json:"was"` // it counts for as much until the process has seen it
	Linger   int64  `cbor:"3,keyasint,omitempty" json:"linger,omitempty"`
}

var (
	encode = must(cbor.CoreDetEncOptions().EncMode())
	decode = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 6, MaxMapPairs: 1 << 14,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode writes a Need or a Grant.
func Encode(v any) []byte {
	b, err := encode.Marshal(v)
	if err != nil {
		panic(err) // such records always can be written
	}
	return b
}

// DecodeDemand reads what Encode wrote.
func DecodeDemand(b []byte) (n Demand, err error) {
	if err = decode.Unmarshal(b, &n); err != nil {
		err = fmt.Errorf("need: %w", err)
	}
	return n, err
}

// DecodeGrant reads what Encode wrote.
func DecodeGrant(b []byte) (g Grant, err error) {
	if err = decode.Unmarshal(b, &g); err != nil {
		err = fmt.Errorf("grant: %w", err)
	}
	return g, err
}

// Allowed says whether an operation is a daemon's own part in limits: what its processes tell, for as long as their sessions.
func Allowed(op store.Op, owner string) bool {
	rest, ok := strings.CutPrefix(op.Key, DemandPrefix)
	p, is := parseProcess(rest)
	return ok && is && owner != "" && p.Host == owner && (op.Delete || op.LeaseID == p.Session && len(op.Value) <= MaxRecordBytes)
}
