package serverstate

import (
	"errors"
	"fmt"
	"net/url"
	"strings"

	"birchmoor/internal/store"

	"github.com/fxamacker/cbor/v2"
)

// SnapshotPrefix begins the keys of the snapshots of sidecars' decision modules: known/SIDECAR/PROTOCOL.
const SnapshotPrefix = "known/"

// MaxSnapshots bounds the module snapshots in the store.
const MaxSnapshots = 1024

// All sidecars together write at most snapshotBytesPerSecond, and one sidecar at most one snapshot in
// minSnapshotInterval.
const (
	minSnapshotInterval    = int64(10e9) // nanoseconds
	snapshotBytesPerSecond = 64 << 10
)

// ModuleSnapshot is what the decision module of one sidecar knows of the servers of one protocol. Data has the
// form of package snapshot; the store does not read it.
type ModuleSnapshot struct {
	Format     uint64 `cbor:"1,keyasint"`
	ReportedBy string `cbor:"2,keyasint"` // the daemon that wrote it
	Data       []byte `cbor:"3,keyasint"`
}

// SnapshotKey is the key of the snapshot of a sidecar's module for a protocol; the empty protocol is HTTP.
func SnapshotKey(sidecar, protocol string) string {
	return SnapshotPrefixOf(sidecar) + url.QueryEscape(protocol)
}

// SnapshotPrefixOf begins the keys of all snapshots of a sidecar.
func SnapshotPrefixOf(sidecar string) string { return SnapshotPrefix + url.QueryEscape(sidecar) + "/" }

// ParseSnapshotKey parses a SnapshotKey.
func ParseSnapshotKey(key string) (sidecar, protocol string, ok bool) {
	rest, ok := strings.CutPrefix(key, SnapshotPrefix)
	escapedSidecar, escapedProtocol, found := strings.Cut(rest, "/")
	if !ok || !found {
		return "", "", false
	}
	sidecar, sidecarErr := url.QueryUnescape(escapedSidecar)
	protocol, protocolErr := url.QueryUnescape(escapedProtocol)
	return sidecar, protocol, sidecarErr == nil && protocolErr == nil && sidecar != ""
}

// PutTxn is the transaction that stores the snapshot under a key.
func (s ModuleSnapshot) PutTxn(key string) *store.Txn {
	s.Format = Format
	value, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // strings and bytes can always be encoded
	}
	return &store.Txn{
		Then:      []store.Op{{Key: key, Value: value}},
		KeyLimits: []store.KeyLimit{{Prefix: SnapshotPrefix, MaxKeys: MaxSnapshots}},
	}
}

// DecodeModuleSnapshot decodes a record. The error wraps ErrFormat for one of a later version.
func DecodeModuleSnapshot(value []byte) (ModuleSnapshot, error) {
	var snapshot ModuleSnapshot
	if err := recordDecoder.Unmarshal(value, &snapshot); err != nil {
		return ModuleSnapshot{}, fmt.Errorf("module snapshot: %w", err)
	}
	if snapshot.Format > Format {
		return ModuleSnapshot{}, fmt.Errorf("module snapshot: %w: %d", ErrFormat, snapshot.Format)
	}
	if snapshot.Format == 0 || len(snapshot.Data) == 0 {
		return ModuleSnapshot{}, errors.New("module snapshot: empty")
	}
	return snapshot, nil
}

// SnapshotInterval is how long a sidecar waits, in nanoseconds, between two snapshots if those of all sidecars
// take so many bytes: the rate at which the store writes does not grow with the number of sidecars.
func SnapshotInterval(totalBytes int) int64 {
	return max(minSnapshotInterval, int64(float64(totalBytes)/snapshotBytesPerSecond*1e9))
}
