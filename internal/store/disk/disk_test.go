package disk

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"birchmoor/internal/store/replica"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// logEntries returns entries with the indices from first to last.
func logEntries(first, last, term uint64) (built []*raftpb.Entry) {
	for i := first; i <= last; i++ {
		built = append(built, &raftpb.Entry{
			Index: proto.Uint64(i),
			Term:  proto.Uint64(term),
			Type:  raftpb.EntryNormal.Enum(),
			Data:  bytes.Repeat([]byte{byte(i)}, 100),
		})
	}
	return built
}

func openAndLoad(t *testing.T, dir string) (*Disk, replica.DiskContents) {
	t.Helper()
	d, err := Open(dir, Options{NoSync: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	contents, err := d.Load()
	if err != nil {
		t.Fatal(err)
	}
	return d, contents
}

func hardState(term, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(2), Commit: proto.Uint64(commit)}
}

// snapshotOf returns a function for SaveSnapshot that writes b.
func snapshotOf(b []byte) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := w.Write(b)
		return err
	}
}

func mustSucceed(t *testing.T, errs ...error) {
	t.Helper()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
}

func TestReopenLoadsWhatWasWritten(t *testing.T) {
	dir := t.TempDir()
	d, contents := openAndLoad(t, dir)
	if contents.Identity.DiskID == 0 || contents.Identity.Boot != 1 {
		t.Fatal(contents.Identity)
	}
	largeState := bytes.Repeat([]byte("0123456789"), 300_000)
	mustSucceed(t, d.SetIdentity(replica.Identity{ClusterID: 7, MemberID: 2}),
		d.Append(hardState(1, 3), logEntries(1, 9000, 1)),
		d.Append(hardState(2, 3), logEntries(8000, 8100, 2)), // entries of a new leader replace the rest of the log
		d.SaveSnapshot(replica.SnapshotMeta{Index: 6000, Term: 1, Voters: []uint64{2}}, snapshotOf(largeState)),
		d.Compact(5900, 1), d.Close())
	d, contents = openAndLoad(t, dir)
	if contents.Identity.ClusterID != 7 || contents.Identity.Boot != 2 || contents.Base.Index != 5900 ||
		len(contents.Entries) != 2200 || contents.HardState.GetTerm() != 2 ||
		contents.Entries[2199].GetTerm() != 2 || contents.Snapshot.Index != 6000 {
		t.Fatalf("reopened disk has identity %+v, %d entries, or other state than was written",
			contents.Identity, len(contents.Entries))
	}
	if _, data, err := d.Snapshot(); err != nil || !bytes.Equal(data, largeState) {
		t.Fatal(err)
	}
	mustSucceed(t, d.Install(replica.SnapshotMeta{Index: 9000, Term: 3}, hardState(3, 9000), []byte("x")),
		d.Append(nil, logEntries(9001, 9002, 3)),
		// A snapshot that was begun before the leader's was installed is older, and must not replace it.
		d.SaveSnapshot(replica.SnapshotMeta{Index: 7000, Term: 1}, snapshotOf(largeState)),
		d.Close())
	_, contents = openAndLoad(t, dir)
	if contents.Base.Index != 9000 || len(contents.Entries) != 2 || contents.Snapshot.Index != 9000 {
		t.Fatalf("after Install, reopened disk has base %+v, %d entries, or an older snapshot",
			contents.Base, len(contents.Entries))
	}
}

func TestUnfinishedSnapshotIsIgnored(t *testing.T) {
	dir := t.TempDir()
	d, _ := openAndLoad(t, dir)
	mustSucceed(t, d.SaveSnapshot(replica.SnapshotMeta{Index: 1, Term: 1}, snapshotOf([]byte("first"))))
	errInterrupted := errors.New("the snapshot was interrupted")
	err := d.SaveSnapshot(replica.SnapshotMeta{Index: 2, Term: 1}, func(w io.Writer) error {
		if _, err := w.Write(make([]byte, 5<<20)); err != nil {
			return err
		}
		return errInterrupted
	})
	if !errors.Is(err, errInterrupted) {
		t.Fatal(err)
	}
	mustSucceed(t, d.Close())
	d, contents := openAndLoad(t, dir)
	if _, data, err := d.Snapshot(); err != nil || string(data) != "first" || contents.Snapshot.Index != 1 {
		t.Fatal(err, contents.Snapshot)
	}
}

// TestFlippedBytesAreDetectedOrHarmless flips a bit in one byte of the file at a time. Either the file must be rejected
// or its contents must be those that were written.
func TestFlippedBytesAreDetectedOrHarmless(t *testing.T) {
	dir := t.TempDir()
	d, _ := openAndLoad(t, dir)
	mustSucceed(t, d.Append(hardState(1, 3), logEntries(1, 40, 1)),
		d.SaveSnapshot(replica.SnapshotMeta{Index: 3, Term: 1}, snapshotOf(bytes.Repeat([]byte("s"), 2000))),
		d.Close())
	original, err := os.ReadFile(filepath.Join(dir, "store.db"))
	mustSucceed(t, err)
	rejected := 0
	flippedDir := t.TempDir()
	path := filepath.Join(flippedDir, "store.db")
	for offset := 0; offset < len(original); offset += 31 {
		flipped := bytes.Clone(original)
		flipped[offset] ^= 0x10
		mustSucceed(t, os.WriteFile(path, flipped, 0o600))
		if !loadsUnchanged(t, flippedDir) {
			rejected++
		}
	}
	if rejected < 20 {
		t.Fatalf("only %d flipped bytes were detected, so the test flips too few that matter", rejected)
	}
}

// loadsUnchanged reports whether the file in dir is accepted. The test fails if the file is accepted with contents
// other than those that were written.
func loadsUnchanged(t *testing.T, dir string) bool {
	t.Helper()
	d, err := Open(dir, Options{NoSync: true})
	if err != nil {
		return false
	}
	defer func() { _ = d.Close() }()
	contents, err := d.Load()
	if err != nil {
		return false
	}
	_, data, err := d.Snapshot()
	if err != nil {
		return false
	}
	want := logEntries(contents.Base.Index+1, contents.Base.Index+uint64(len(contents.Entries)), 1)
	for i, entry := range contents.Entries {
		if !proto.Equal(entry, want[i]) {
			t.Fatalf("entry %d of the accepted file differs from the one written", i)
		}
	}
	if len(data) > 0 && !bytes.Equal(data, bytes.Repeat([]byte("s"), 2000)) {
		t.Fatal("the snapshot of the accepted file differs from the one written")
	}
	return true
}

func TestOpenRejectsSharedOrLockedFile(t *testing.T) {
	dir := t.TempDir()
	d, _ := openAndLoad(t, dir)
	if _, err := Open(dir, Options{}); !errors.Is(err, ErrLocked) {
		t.Fatal(err)
	}
	mustSucceed(t, d.Close(), os.Chmod(filepath.Join(dir, "store.db"), 0o640))
	if _, err := Open(dir, Options{}); err == nil {
		t.Fatal("Open accepted a file that the group may read")
	}
}
