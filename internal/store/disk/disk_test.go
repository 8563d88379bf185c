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

func entries(from, to, term uint64) (all []*raftpb.Entry) {
	for i := from; i <= to; i++ {
		all = append(all, &raftpb.Entry{
			Index: proto.Uint64(i),
			Term:  proto.Uint64(term),
			Type:  raftpb.EntryNormal.Enum(),
			Data:  bytes.Repeat([]byte{byte(i)}, 100),
		})
	}
	return all
}

func reopen(t *testing.T, dir string) (*Disk, replica.DiskContents) {
	t.Helper()
	d, err := Open(dir, Options{NoSync: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	s, err := d.Load()
	if err != nil {
		t.Fatal(err)
	}
	return d, s
}

func hard(term, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(2), Commit: proto.Uint64(commit)}
}

// writeBytes returns a function that writes a snapshot.
func writeBytes(b []byte) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := w.Write(b)
		return err
	}
}

func check(t *testing.T, errs ...error) {
	t.Helper()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
}

func TestReopenLoadsWhatWasWritten(t *testing.T) {
	dir := t.TempDir()
	d, s := reopen(t, dir)
	if s.Identity.DiskID == 0 || s.Identity.Boot != 1 {
		t.Fatal(s.Identity)
	}
	big := bytes.Repeat([]byte("0123456789"), 300_000)
	check(t, d.SetIdentity(replica.Identity{ClusterID: 7, MemberID: 2}),
		d.Append(hard(1, 3), entries(1, 9000, 1)),
		d.Append(hard(2, 3), entries(8000, 8100, 2)), // those of another leader replace the rest of the log
		d.SaveSnapshot(replica.SnapshotMeta{Index: 6000, Term: 1, Voters: []uint64{2}}, writeBytes(big)),
		d.Compact(5900, 1), d.Close())
	d, s = reopen(t, dir)
	if s.Identity.ClusterID != 7 || s.Identity.Boot != 2 || s.Base.Index != 5900 || len(s.Entries) != 2200 ||
		s.HardState.GetTerm() != 2 || s.Entries[2199].GetTerm() != 2 || s.Snapshot.Index != 6000 {
		t.Fatalf("%+v: %d entries", s.Identity, len(s.Entries))
	}
	if _, data, err := d.Snapshot(); err != nil || !bytes.Equal(data, big) {
		t.Fatal(err)
	}
	check(t, d.Install(replica.SnapshotMeta{Index: 9000, Term: 3}, hard(3, 9000), []byte("x")),
		d.Append(nil, entries(9001, 9002, 3)),
		// An older snapshot, begun before that of the leader was installed, does not replace it.
		d.SaveSnapshot(replica.SnapshotMeta{Index: 7000, Term: 1}, writeBytes(big)),
		d.Close())
	_, s = reopen(t, dir)
	if s.Base.Index != 9000 || len(s.Entries) != 2 || s.Snapshot.Index != 9000 {
		t.Fatalf("%+v: %d entries", s.Base, len(s.Entries))
	}
}

func TestUnfinishedSnapshotIsIgnored(t *testing.T) {
	dir := t.TempDir()
	d, _ := reopen(t, dir)
	check(t, d.SaveSnapshot(replica.SnapshotMeta{Index: 1, Term: 1}, writeBytes([]byte("first"))))
	failed := errors.New("the process ended")
	err := d.SaveSnapshot(replica.SnapshotMeta{Index: 2, Term: 1}, func(w io.Writer) error {
		if _, err := w.Write(make([]byte, 5<<20)); err != nil {
			return err
		}
		return failed
	})
	if !errors.Is(err, failed) {
		t.Fatal(err)
	}
	check(t, d.Close())
	d, s := reopen(t, dir)
	if _, data, err := d.Snapshot(); err != nil || string(data) != "first" || s.Snapshot.Index != 1 {
		t.Fatal(err, s.Snapshot)
	}
}

// Whichever byte is flipped, either the file is rejected or its contents are those that were written.
func TestFlippedBytesAreDetectedOrHarmless(t *testing.T) {
	dir := t.TempDir()
	d, _ := reopen(t, dir)
	check(t, d.Append(hard(1, 3), entries(1, 40, 1)),
		d.SaveSnapshot(replica.SnapshotMeta{Index: 3, Term: 1}, writeBytes(bytes.Repeat([]byte("s"), 2000))),
		d.Close())
	original, err := os.ReadFile(filepath.Join(dir, "store.db"))
	check(t, err)
	rejected := 0
	other := t.TempDir()
	path := filepath.Join(other, "store.db")
	for at := 0; at < len(original); at += 31 {
		b := bytes.Clone(original)
		b[at] ^= 0x10
		check(t, os.WriteFile(path, b, 0o600))
		if !loadsUnchanged(t, other) {
			rejected++
		}
	}
	if rejected < 20 {
		t.Fatalf("only %d flipped bytes were detected: the test covers too little", rejected)
	}
}

// loadsUnchanged reports whether the file is accepted. The test fails if what is read differs from what was written.
func loadsUnchanged(t *testing.T, dir string) bool {
	t.Helper()
	d, err := Open(dir, Options{NoSync: true})
	if err != nil {
		return false
	}
	defer func() { _ = d.Close() }()
	s, err := d.Load()
	if err != nil {
		return false
	}
	_, data, err := d.Snapshot()
	if err != nil {
		return false
	}
	want := entries(s.Base.Index+1, s.Base.Index+uint64(len(s.Entries)), 1)
	for i, e := range s.Entries {
		if !proto.Equal(e, want[i]) {
			t.Fatalf("entry %d differs", i)
		}
	}
	if len(data) > 0 && !bytes.Equal(data, bytes.Repeat([]byte("s"), 2000)) {
		t.Fatal("the snapshot differs")
	}
	return true
}

func TestOpenRejectsSharedOrLockedFile(t *testing.T) {
	dir := t.TempDir()
	d, _ := reopen(t, dir)
	if _, err := Open(dir, Options{}); !errors.Is(err, ErrLocked) {
		t.Fatal(err)
	}
	check(t, d.Close(), os.Chmod(filepath.Join(dir, "store.db"), 0o640))
	if _, err := Open(dir, Options{}); err == nil {
		t.Fatal("a file that others may read was opened")
	}
}
