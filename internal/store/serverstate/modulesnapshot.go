package serverstate

import (
	"errors"
	"fmt"
	"net/url"
	"strings"

	"birchmoor/internal/store"

	"github.com/fxamacker/cbor/v2"
)

// SnapshotPrefix is the prefix of the keys of module snapshots, which have the form known/SIDECAR/PROTOCOL.
const SnapshotPrefix = "known/"

// MaxSnapshots is the maximum number of module snapshots in the store. A transaction that adds one more is rejected.
const MaxSnapshots = 1024

// All sidecars together write at most snapshotBytesPerSecond to the store, and each sidecar writes at most one snapshot
// per minSnapshotInterval.
const (
	minSnapshotInterval    = int64(10e9) // nanoseconds
	snapshotBytesPerSecond = 64 << 10
)

// ModuleSnapshot is the saved state of the decision module of one sidecar for the servers of one protocol. Data is
// encoded by package snapshot; the store does not interpret it.
type ModuleSnapshot struct {
	Format     uint64 `cbor:"1,keyasint"`
	ReportedBy string `cbor:"2,keyasint"` // name of the daemon that wrote the snapshot
	Data       []byte `cbor:"3,keyasint"`
}

// SnapshotKey returns the key of the snapshot of a sidecar's module for a protocol. The empty protocol is HTTP.
func SnapshotKey(sidecar, protocol string) string {
	return SnapshotPrefixOf(sidecar) + url.QueryEscape(protocol)
}

// SnapshotPrefixOf returns the prefix of the keys of all snapshots of a sidecar.
func SnapshotPrefixOf(sidecar string) string { return SnapshotPrefix + url.QueryEscape(sidecar) + "/" }

// ParseSnapshotKey parses a SnapshotKey. ok is false if the key is malformed or the sidecar is empty.
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

// PutTxn returns the transaction that stores the snapshot under a key, in the current format.
func (s ModuleSnapshot) PutTxn(key string) *store.Txn {
	s.Format = RecordFormat
	value, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // unreachable: strings and bytes can always be encoded
	}
	return &store.Txn{
		Then:      []store.Op{{Key: key, Value: value}},
		KeyLimits: []store.KeyLimit{{Prefix: SnapshotPrefix, MaxKeys: MaxSnapshots}},
	}
}

// DecodeModuleSnapshot decodes a record. For a record of a later version the error wraps ErrUnsupportedFormat.
func DecodeModuleSnapshot(value []byte) (ModuleSnapshot, error) {
	var snapshot ModuleSnapshot
	if err := recordDecoder.Unmarshal(value, &snapshot); err != nil {
		return ModuleSnapshot{}, fmt.Errorf("module snapshot: %w", err)
	}
	if snapshot.Format > RecordFormat {
		return ModuleSnapshot{}, fmt.Errorf("module snapshot: %w: %d", ErrUnsupportedFormat, snapshot.Format)
	}
	if snapshot.Format == 0 || len(snapshot.Data) == 0 {
		return ModuleSnapshot{}, errors.New("module snapshot: record has no format or no data")
	}
	return snapshot, nil
}

// SnapshotInterval returns how long a sidecar waits between two snapshots, in nanoseconds. totalBytes is the size of
// the snapshots of all sidecars: the interval grows with it, so that the rate of writes to the store does not grow with
// the number of sidecars.
func SnapshotInterval(totalBytes int) int64 {
	return max(minSnapshotInterval, int64(float64(totalBytes)/snapshotBytesPerSecond*1e9))
}
