package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"birchmoor/internal/store/replica"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
)

// Format is the version of the file's layout. A file of a newer one is not opened.
const Format = 1

// Names of buckets and keys.
var (
	identityBucket = []byte("identity")
	logBucket      = []byte("log")
	stateBucket    = []byte("state")
	formatKey      = []byte("format")   // in the identity bucket, without a checksum
	identityKey    = []byte("identity") // replica.Identity in CBOR
	hardStateKey   = []byte("hard")     // raftpb.HardState in protobuf
	baseKey        = []byte("base")     // replica.SnapshotMeta in CBOR
	snapshotKey    = []byte("snapshot") // snapshotRecord in CBOR
)

const snapshotBucketPrefix = "snapshot-"

func snapshotBucketName(number uint64) []byte {
	return fmt.Appendf(nil, "%s%d", snapshotBucketPrefix, number)
}

// snapshotRecord describes the current snapshot.
type snapshotRecord struct {
	Bucket uint64               `cbor:"1,keyasint"` // number of its bucket
	Meta   replica.SnapshotMeta `cbor:"2,keyasint"`
	Parts  int                  `cbor:"3,keyasint"`
	Bytes  int64                `cbor:"4,keyasint"`
}

// indexKey is the key of an entry of the log, or of a part of a snapshot.
func indexKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

const checksumBytes = 4

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// seal returns a value after its CRC-32C.
func seal(b []byte) []byte {
	sealed := make([]byte, 0, checksumBytes+len(b))
	sealed = binary.BigEndian.AppendUint32(sealed, crc32.Checksum(b, crcTable))
	return append(sealed, b...)
}

// unseal returns the value that was sealed. The error of one that has changed names it.
func (d *Disk) unseal(what string, sealed []byte) ([]byte, error) {
	if len(sealed) < checksumBytes {
		return nil, d.corrupted("the checksum of %s", what)
	}
	b := sealed[checksumBytes:]
	if crc32.Checksum(b, crcTable) != binary.BigEndian.Uint32(sealed) {
		return nil, d.corrupted("the checksum of %s", what)
	}
	return b, nil
}

func (d *Disk) corrupted(format string, args ...any) error {
	return &CorruptedError{d.path, fmt.Sprintf(format, args...)}
}

// put writes a value in CBOR.
func (d *Disk) put(b *bbolt.Bucket, key []byte, v any) error {
	encoded, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	return b.Put(key, seal(encoded))
}

// get reads a value in CBOR. It leaves v unchanged if there is none.
func (d *Disk) get(b *bbolt.Bucket, key []byte, v any) error {
	sealed := b.Get(key)
	if sealed == nil {
		return nil
	}
	encoded, err := d.unseal(string(key), sealed)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(encoded, v); err != nil {
		return d.corrupted("%s: %v", key, err)
	}
	return nil
}
