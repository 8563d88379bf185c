package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"birchmoor/internal/store/replica"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
)

// Format is the version of the file's layout. Open rejects a file of a newer version.
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

// snapshotBucketName returns the name of the bucket of the snapshot with a number.
func snapshotBucketName(number uint64) []byte {
	return fmt.Appendf(nil, "%s%d", snapshotBucketPrefix, number)
}

// snapshotRecord describes the current snapshot. It is stored under snapshotKey.
type snapshotRecord struct {
	Bucket uint64               `cbor:"1,keyasint"` // number of its bucket; 0: there is no snapshot
	Meta   replica.SnapshotMeta `cbor:"2,keyasint"`
	Parts  int                  `cbor:"3,keyasint"`
	Bytes  int64                `cbor:"4,keyasint"`
}

// indexKey returns the key of the entry of the log, or of the part of a snapshot, with an index.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

const checksumBytes = 4

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// addChecksum returns a value preceded by its CRC-32C.
func addChecksum(value []byte) []byte {
	checksummed := make([]byte, 0, checksumBytes+len(value))
	checksummed = binary.BigEndian.AppendUint32(checksummed, crc32.Checksum(value, crcTable))
	return append(checksummed, value...)
}

// verifyChecksum returns the value that was passed to addChecksum. If the value or the checksum has changed, the error
// is a *CorruptedError with the name of the value.
func (d *Disk) verifyChecksum(name string, checksummed []byte) ([]byte, error) {
	if len(checksummed) < checksumBytes {
		return nil, d.newCorruptedError("wrong checksum of %s", name)
	}
	value := checksummed[checksumBytes:]
	if crc32.Checksum(value, crcTable) != binary.BigEndian.Uint32(checksummed) {
		return nil, d.newCorruptedError("wrong checksum of %s", name)
	}
	return value, nil
}

// newCorruptedError returns a *CorruptedError for the disk's file.
func (d *Disk) newCorruptedError(format string, args ...any) error {
	return &CorruptedError{d.path, fmt.Sprintf(format, args...)}
}

// putCBOR writes a value in CBOR with a checksum.
func (d *Disk) putCBOR(bucket *bbolt.Bucket, key []byte, v any) error {
	encoded, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	return bucket.Put(key, addChecksum(encoded))
}

// getCBOR reads a value that putCBOR wrote into v, and verifies its checksum. It leaves v unchanged if there is no
// value.
func (d *Disk) getCBOR(bucket *bbolt.Bucket, key []byte, v any) error {
	checksummed := bucket.Get(key)
	if checksummed == nil {
		return nil
	}
	encoded, err := d.verifyChecksum(string(key), checksummed)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(encoded, v); err != nil {
		return d.newCorruptedError("%s: %v", key, err)
	}
	return nil
}
