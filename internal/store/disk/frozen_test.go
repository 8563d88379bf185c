package disk

import (
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"birchmoor/internal/store/replica"

	"github.com/google/go-cmp/cmp"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
)

// frozenBuckets has a bucket, a key and a value in each line, as commit 7105f7a wrote them.
const frozenBuckets = "testdata/frozen/buckets.txt"

var frozenMeta = replica.SnapshotMeta{Index: 5, Term: 3, Voters: []uint64{1, 2}, Learners: []uint64{4}}

const frozenState = "the state"

func TestFrozenFileIsWritten(t *testing.T) {
	d, _ := openAndLoad(t, t.TempDir())
	d.identity.DiskID = 0x77 // replaces a random ID
	mustSucceed(t,
		d.update(func(tx *bbolt.Tx) error { return d.putCBOR(tx.Bucket(identityBucket), identityKey, d.identity) }),
		d.SetIdentity(replica.Identity{ClusterID: 0x99, MemberID: 2}),
		d.Append(hardState(3, 5), logEntries(1, 6, 3)),
		d.SaveSnapshot(frozenMeta, func(w io.Writer) error {
			_, err := io.WriteString(w, frozenState)
			return err
		}),
		d.Compact(4, 3))
	var out strings.Builder
	mustSucceed(t, d.db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				_, err := fmt.Fprintf(&out, "%s %s: %x\n", name, printableKey(k), v)
				return err
			})
		})
	}))
	frozen, err := os.ReadFile(frozenBuckets)
	mustSucceed(t, err)
	if d := cmp.Diff(string(frozen), out.String()); d != "" {
		t.Error(d)
	}
}

// printableKey returns a key as text: in hexadecimal if it is of an entry or a part of a snapshot.
func printableKey(k []byte) string {
	if k[0] == 0 {
		return "0x" + hex.EncodeToString(k)
	}
	return string(k)
}

func TestFrozenFileIsRead(t *testing.T) {
	dir := t.TempDir()
	writeFrozenFile(t, filepath.Join(dir, FileName))
	d, contents := openAndLoad(t, dir)
	want := replica.Identity{ClusterID: 0x99, MemberID: 2, DiskID: 0x77, Boot: 2} // Boot is 1 in the frozen file
	if contents.Identity != want {
		t.Errorf("identity %+v is not that of the frozen file", contents.Identity)
	}
	base := replica.SnapshotMeta{Index: 4, Term: 3}
	if !cmp.Equal(contents.Base, base) || !cmp.Equal(contents.Snapshot, frozenMeta) {
		t.Errorf("base %+v or snapshot %+v is not that of the frozen file", contents.Base, contents.Snapshot)
	}
	if !proto.Equal(contents.HardState, hardState(3, 5)) {
		t.Errorf("hard state %v is not that of the frozen file", contents.HardState)
	}
	wantEntries := logEntries(5, 6, 3)
	if len(contents.Entries) != len(wantEntries) {
		t.Fatalf("loaded %d entries from the frozen file", len(contents.Entries))
	}
	for i, e := range contents.Entries {
		if !proto.Equal(e, wantEntries[i]) {
			t.Errorf("loaded entry %v, want %v", e, wantEntries[i])
		}
	}
	meta, data, err := d.Snapshot()
	if err != nil || !cmp.Equal(meta, frozenMeta) || string(data) != frozenState {
		t.Errorf("snapshot with meta %+v and data %q is not that of the frozen file: %v", meta, data, err)
	}
}

// writeFrozenFile writes the frozen buckets to a new file. It uses no code of this package but the test helpers.
func writeFrozenFile(t *testing.T, path string) {
	t.Helper()
	text, err := os.ReadFile(frozenBuckets)
	mustSucceed(t, err)
	db, err := bbolt.Open(path, 0o600, nil)
	mustSucceed(t, err)
	mustSucceed(t, db.Update(func(tx *bbolt.Tx) error {
		for line := range strings.Lines(string(text)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			bucket, key, _ := strings.Cut(name, " ")
			b, err := tx.CreateBucketIfNotExists([]byte(bucket))
			mustSucceed(t, err)
			if digits, ok := strings.CutPrefix(key, "0x"); ok {
				raw, err := hex.DecodeString(digits)
				mustSucceed(t, err)
				key = string(raw)
			}
			raw, err := hex.DecodeString(value)
			mustSucceed(t, err, b.Put([]byte(key), raw))
		}
		return nil
	}), db.Close())
}
