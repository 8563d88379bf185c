package serverstate

import (
	"errors"
	"strings"

	"birchmoor/internal/store"

	"github.com/fxamacker/cbor/v2"
)

// ExclusionKind says why a server is excluded.
type ExclusionKind string

// The kinds of exclusions. Their values are part of the keys in the store.
const (
	// Drain excludes one process that is draining according to discovery. The server in the key is its
	// Process.ServerName.
	Drain ExclusionKind = "drain"
	// AdminDrain excludes a server that an operator drained. The server in the key is the server's ID.
	AdminDrain ExclusionKind = "ban"
)

// ExclusionPrefix is the prefix of the keys of excluded servers, which have the form out/KIND/SERVER.
const ExclusionPrefix = "out/"

// maxExclusions is the number of exclusions of all kinds at which Guard.Observe rejects further ones. Exclusions that
// the store reports are never rejected.
const maxExclusions = 65536

// Errors that the methods of a Guard return.
var (
	// ErrRevisionRegressed reports a store state that is older than a revision that the guard has acted on.
	ErrRevisionRegressed = errors.New("store state is older than a revision that was already acted on")
	// ErrNotReported reports that the store has no committed exclusion of the server, so that there is none to end.
	ErrNotReported = errors.New("the store has no committed exclusion of the server")
	// ErrTooManyExclusions reports that the guard holds the maximum number of exclusions.
	ErrTooManyExclusions = errors.New("too many servers are excluded")
	// ErrInvalidServerName reports an unknown kind, an empty name, or a server that the guard does not cover.
	ErrInvalidServerName = errors.New("invalid server name")
)

// ExclusionRecord is the value of a key with ExclusionPrefix.
type ExclusionRecord struct {
	ReportedBy string `cbor:"1,keyasint" json:"by"` // name of the daemon that reported the exclusion
}

// Exclusion describes the exclusion of a server to operators.
type Exclusion struct {
	Kind       ExclusionKind `json:"kind"`
	Server     string        `json:"server"`
	Committed  bool          `json:"agreed"` // the store has it; if not, only this daemon excludes the server
	ReportedBy string        `json:"by"`     // name of the daemon that reported the exclusion last
	// AgeMillis is the time since the report reached this daemon's copy of the store. It is -1 if the report arrived
	// before this start of the daemon, or has not arrived.
	AgeMillis int64 `json:"age_ms"`
}

// ExclusionKey returns the key whose presence in the store excludes a server.
func ExclusionKey(kind ExclusionKind, server string) string {
	return ExclusionPrefix + string(kind) + "/" + server
}

// parseExclusionKey parses an ExclusionKey. ok is false for an unknown kind and for an empty server.
func parseExclusionKey(key string) (kind ExclusionKind, server string, ok bool) {
	rest, ok := strings.CutPrefix(key, ExclusionPrefix)
	kindName, server, found := strings.Cut(rest, "/")
	kind = ExclusionKind(kindName)
	known := kind == Drain || kind == AdminDrain
	return kind, server, ok && found && known && server != ""
}

// IsServerKey reports whether a key belongs to the reports that daemons exchange about servers: exclusions, starts and
// module snapshots.
func IsServerKey(key string) bool {
	for _, prefix := range []string{ExclusionPrefix, StartPrefix, SnapshotPrefix} {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// exclusionOp returns the operation that puts an exclusion key on behalf of a daemon.
func exclusionOp(key, daemon string) *store.Op {
	value, err := cbor.Marshal(ExclusionRecord{ReportedBy: daemon})
	if err != nil {
		panic(err) // unreachable: a string can always be encoded
	}
	return &store.Op{Key: key, Value: value}
}

// DecodeExclusion decodes the value of an exclusion. A value that cannot be decoded yields an empty record, because the
// key alone excludes the server.
func DecodeExclusion(value []byte) ExclusionRecord {
	var record ExclusionRecord
	if err := recordDecoder.Unmarshal(value, &record); err != nil {
		return ExclusionRecord{}
	}
	return record
}
