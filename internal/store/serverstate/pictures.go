package serverstate

import (
	"errors"
	"fmt"
	"net/url"
	"strings"

	"birchmoor/internal/store"

	"github.com/fxamacker/cbor/v2"
)

// PicturePrefix is that of the keys that hold what sidecars' decision modules know: known/SIDECAR/PROTOCOL.
const PicturePrefix = "known/"

// PicturesMost bounds those in the store.
const PicturesMost = 1024

// Picture is what one sidecar's module knows of one protocol's servers, in package snapshot's form. The store does not read
// it.
type Picture struct {
	Format uint64 `cbor:"1,keyasint"`
	By     string `cbor:"2,keyasint"` // daemon
	Known  []byte `cbor:"3,keyasint"`
}

// PictureKey is that of a sidecar's protocol; "" is HTTP.
func PictureKey(sidecar, protocol string) string {
	return PicturePrefix + url.QueryEscape(sidecar) + "/" + url.QueryEscape(protocol)
}

// PicturesOf is the prefix of a sidecar's.
func PicturesOf(sidecar string) string { return PicturePrefix + url.QueryEscape(sidecar) + "/" }

// ParsePicture reads such a key.
func ParsePicture(key string) (sidecar, protocol string, ok bool) {
	rest, ok := strings.CutPrefix(key, PicturePrefix)
	a, b, found := strings.Cut(rest, "/")
	if !ok || !found {
		return "", "", false
	}
	sidecar, err := url.QueryUnescape(a)
	protocol, err2 := url.QueryUnescape(b)
	return sidecar, protocol, err == nil && err2 == nil && sidecar != ""
}

// Put is the transaction that keeps a picture.
func (p Picture) Put(key string) *store.Txn {
	p.Format = Format
	b, err := cbor.Marshal(p)
	if err != nil {
		panic(err) // strings and bytes always can be written
	}
	return &store.Txn{Then: []store.Op{{Key: key, Value: b}}, Bounds: []store.Bound{{Prefix: PicturePrefix, Most: PicturesMost}}}
}

// DecodePicture reads a record. What is of a later format is ErrFormat.
func DecodePicture(b []byte) (p Picture, err error) {
	if err := record.Unmarshal(b, &p); err != nil {
		return Picture{}, fmt.Errorf("picture: %w", err)
	}
	if p.Format > Format {
		return Picture{}, fmt.Errorf("picture: %w: %d", ErrFormat, p.Format)
	}
	if p.Format == 0 || len(p.Known) == 0 {
		return Picture{}, errors.New("picture: empty")
	}
	return p, nil
}

const (
	pictureLeast = int64(10e9) // nanoseconds between two of one sidecar, at least,
	picturePace  = 64 << 10    // and so many bytes a second of all sidecars together
)

// PictureWait is how long a sidecar waits between two pictures where those of all take so many bytes: what the store writes
// does not grow with the number of sidecars. In nanoseconds.
func PictureWait(bytes int) int64 {
	return max(pictureLeast, int64(float64(bytes)/picturePace*1e9))
}
