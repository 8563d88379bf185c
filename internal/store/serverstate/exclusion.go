package serverstate

import (
	"errors"
	"strings"

	"birchmoor/internal/store"

	"github.com/fxamacker/cbor/v2"
)

// Kind says why a server is excluded.
type Kind string

// The kinds. The values are part of keys of the store.
const (
	Drain      Kind = "drain" // discovery reports that a process of the server drains; the server is named by a Process
	AdminDrain Kind = "ban"   // operators drained the server
)

// ExclusionPrefix begins the keys of excluded servers: out/KIND/SERVER.
const ExclusionPrefix = "out/"

// maxExclusions bounds the servers that a Guard holds, of all kinds together.
const maxExclusions = 65536

// Errors of a Guard.
var (
	ErrRevisionRegressed = errors.New("the store shows an older revision than one that was acted on")
	ErrNotReported       = errors.New("the store does not know yet that the server is excluded")
	ErrTooManyExclusions = errors.New("too many servers are excluded")
	ErrInvalidServerName = errors.New("not the name of a server")
)

// ExclusionRecord is the value of a key under ExclusionPrefix.
type ExclusionRecord struct {
	ReportedBy string `cbor:"1,keyasint" json:"by"` // the daemon that reported the exclusion
}

// Exclusion is an excluded server as operators see it.
type Exclusion struct {
	Kind       Kind   `json:"kind"`
	Server     string `json:"server"`
	Committed  bool   `json:"agreed"` // in the store; if not, this daemon alone excludes the server
	ReportedBy string `json:"by"`     // the daemon that reported it last
	AgeMillis  int64  `json:"age_ms"` // since the report reached this copy; -1: before this start, or not at all
}

// ExclusionKey is the key that excludes a server.
func ExclusionKey(kind Kind, server string) string {
	return ExclusionPrefix + string(kind) + "/" + server
}

func parseExclusionKey(key string) (kind Kind, server string, ok bool) {
	rest, ok := strings.CutPrefix(key, ExclusionPrefix)
	name, server, found := strings.Cut(rest, "/")
	kind = Kind(name)
	known := kind == Drain || kind == AdminDrain
	return kind, server, ok && found && known && server != ""
}

// IsServerKey reports whether daemons exchange reports on servers by a key.
func IsServerKey(key string) bool {
	for _, prefix := range []string{ExclusionPrefix, StartPrefix, SnapshotPrefix} {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// putExclusion is the operation that excludes the server of a key.
func putExclusion(key, daemon string) *store.Op {
	value, err := cbor.Marshal(ExclusionRecord{ReportedBy: daemon})
	if err != nil {
		panic(err) // a string can always be encoded
	}
	return &store.Op{Key: key, Value: value}
}

// DecodeExclusion decodes the value of an exclusion. A value that cannot be decoded yields an empty record: the
// key alone excludes the server.
func DecodeExclusion(value []byte) ExclusionRecord {
	var record ExclusionRecord
	if err := recordDecoder.Unmarshal(value, &record); err != nil {
		return ExclusionRecord{}
	}
	return record
}
