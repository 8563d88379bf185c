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

const frozenBuckets = "testdata/frozen/buckets.txt" // bucket, key and value of each line, as commit 7105f7a wrote them

var frozenMeta = replica.SnapshotMeta{Index: 5, Term: 3, Voters: []uint64{1, 2}, Learners: []uint64{4}}

const frozenState = "the state"

func TestFrozenFileIsWritten(t *testing.T) {
	d, _ := reopen(t, t.TempDir())
	d.identity.DiskID = 0x77 // drawn at random
	check(t,
		d.update(func(tx *bbolt.Tx) error { return d.put(tx.Bucket(identityBucket), identityKey, d.identity) }),
		d.SetIdentity(replica.Identity{ClusterID: 0x99, MemberID: 2}),
		d.Append(hard(3, 5), entries(1, 6, 3)),
		d.SaveSnapshot(frozenMeta, func(w io.Writer) error {
			_, err := io.WriteString(w, frozenState)
			return err
		}),
		d.Compact(4, 3))
	var out strings.Builder
	check(t, d.db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				_, err := fmt.Fprintf(&out, "%s %s: %x\n", name, printableKey(k), v)
				return err
			})
		})
	}))
	frozen, err := os.ReadFile(frozenBuckets)
	check(t, err)
	if d := cmp.Diff(string(frozen), out.String()); d != "" {
		t.Error(d)
	}
}

// printableKey writes the keys of entries and of parts of snapshots in hexadecimal.
func printableKey(k []byte) string {
	if k[0] == 0 {
		return "0x" + hex.EncodeToString(k)
	}
	return string(k)
}

func TestFrozenFileIsRead(t *testing.T) {
	dir := t.TempDir()
	writeFrozenFile(t, filepath.Join(dir, FileName))
	d, contents := reopen(t, dir)
	want := replica.Identity{ClusterID: 0x99, MemberID: 2, DiskID: 0x77, Boot: 2} // the frozen one was the first start
	if contents.Identity != want {
		t.Errorf("identity %+v", contents.Identity)
	}
	base := replica.SnapshotMeta{Index: 4, Term: 3}
	if !cmp.Equal(contents.Base, base) || !cmp.Equal(contents.Snapshot, frozenMeta) {
		t.Errorf("base %+v, snapshot %+v", contents.Base, contents.Snapshot)
	}
	if !proto.Equal(contents.HardState, hard(3, 5)) {
		t.Errorf("hard state %v", contents.HardState)
	}
	wantEntries := entries(5, 6, 3)
	if len(contents.Entries) != len(wantEntries) {
		t.Fatalf("%d entries", len(contents.Entries))
	}
	for i, e := range contents.Entries {
		if !proto.Equal(e, wantEntries[i]) {
			t.Errorf("entry %v, want %v", e, wantEntries[i])
		}
	}
	meta, data, err := d.Snapshot()
	if err != nil || !cmp.Equal(meta, frozenMeta) || string(data) != frozenState {
		t.Errorf("snapshot %+v %q: %v", meta, data, err)
	}
}

// writeFrozenFile writes the frozen buckets without any code of this package.
func writeFrozenFile(t *testing.T, path string) {
	t.Helper()
	text, err := os.ReadFile(frozenBuckets)
	check(t, err)
	db, err := bbolt.Open(path, 0o600, nil)
	check(t, err)
	check(t, db.Update(func(tx *bbolt.Tx) error {
		for line := range strings.Lines(string(text)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			bucket, key, _ := strings.Cut(name, " ")
			b, err := tx.CreateBucketIfNotExists([]byte(bucket))
			check(t, err)
			if digits, ok := strings.CutPrefix(key, "0x"); ok {
				raw, err := hex.DecodeString(digits)
				check(t, err)
				key = string(raw)
			}
			raw, err := hex.DecodeString(value)
			check(t, err, b.Put([]byte(key), raw))
		}
		return nil
	}), db.Close())
}
