package serverstate

import (
	"errors"
	"fmt"
	"net/url"
	"strings"

	"birchmoor/internal/store"

	"github.com/fxamacker/cbor/v2"
)

// SnapshotPrefix is that of the keys that hold what sidecars' decision modules know: known/SIDECAR/PROTOCOL.
const SnapshotPrefix = "known/"

// MaxSnapshots bounds those in the store.
const MaxSnapshots = 1024

// ModuleSnapshot is what one sidecar's module knows of one protocol's servers, in package snapshot's form. The store does not read
// it.
type ModuleSnapshot struct {
	Format     uint64 `cbor:"1,keyasint"`
	ReportedBy string `cbor:"2,keyasint"` // daemon
	Data       []byte `cbor:"3,keyasint"`
}

// SnapshotKey is that of a sidecar's protocol; "" is HTTP.
func SnapshotKey(sidecar, protocol string) string {
	return SnapshotPrefix + url.QueryEscape(sidecar) + "/" + url.QueryEscape(protocol)
}

// SnapshotPrefixOf is the prefix of a sidecar's.
func SnapshotPrefixOf(sidecar string) string { return SnapshotPrefix + url.QueryEscape(sidecar) + "/" }

// ParseSnapshotKey reads such a key.
func ParseSnapshotKey(key string) (sidecar, protocol string, ok bool) {
	rest, ok := strings.CutPrefix(key, SnapshotPrefix)
	a, b, found := strings.Cut(rest, "/")
	if !ok || !found {
		return "", "", false
	}
	sidecar, err := url.QueryUnescape(a)
	protocol, err2 := url.QueryUnescape(b)
	return sidecar, protocol, err == nil && err2 == nil && sidecar != ""
}

// PutTxn is the transaction that keeps a picture.
func (p ModuleSnapshot) PutTxn(key string) *store.Txn {
	p.Format = Format
	b, err := cbor.Marshal(p)
	if err != nil {
		panic(err) // strings and bytes always can be written
	}
	return &store.Txn{Then: []store.Op{{Key: key, Value: b}}, KeyLimits: []store.KeyLimit{{Prefix: SnapshotPrefix, MaxKeys: MaxSnapshots}}}
}

// DecodeModuleSnapshot reads a record. What is of a later format is ErrFormat.
func DecodeModuleSnapshot(b []byte) (p ModuleSnapshot, err error) {
	if err := recordDecoder.Unmarshal(b, &p); err != nil {
		return ModuleSnapshot{}, fmt.Errorf("picture: %w", err)
	}
	if p.Format > Format {
		return ModuleSnapshot{}, fmt.Errorf("picture: %w: %d", ErrFormat, p.Format)
	}
	if p.Format == 0 || len(p.Data) == 0 {
		return ModuleSnapshot{}, errors.New("picture: empty")
	}
	return p, nil
}

const (
	minSnapshotInterval    = int64(10e9) // nanoseconds between two of one sidecar, at least,
	snapshotBytesPerSecond = 64 << 10    // and so many bytes a second of all sidecars together
)

// SnapshotInterval is how long a sidecar waits between two pictures where those of all take so many bytes: what the store writes
// does not grow with the number of sidecars. In nanoseconds.
func SnapshotInterval(bytes int) int64 {
	return max(minSnapshotInterval, int64(float64(bytes)/snapshotBytesPerSecond*1e9))
}
