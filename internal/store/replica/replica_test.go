package replica_test

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"

	"birchmoor/internal/store"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/replica"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// singleReplica runs the only replica of a cluster on a real file.
type singleReplica struct {
	t    *testing.T
	dir  string
	disk *disk.Disk
	node *replica.Node
	next replica.RequestToken
	seq  uint64
}

func newSingleReplica(t *testing.T) *singleReplica {
	t.Helper()
	a := &singleReplica{t: t, dir: t.TempDir()}
	a.open()
	if err := replica.Bootstrap(a.disk, 7, "a", "a", store.DefaultLimits); err != nil {
		t.Fatal(err)
	}
	return a
}

func (a *singleReplica) open() {
	a.t.Helper()
	d, err := disk.Open(a.dir, disk.Options{NoSync: true})
	if err != nil {
		a.t.Fatal(err)
	}
	a.t.Cleanup(func() { d.Close() })
	a.disk = d
}

// start starts a build that knows commands up to a level.
func (a *singleReplica) start(knownLevel uint64) error {
	cfg := replica.Config{Rand: rand.New(rand.NewPCG(1, 1)), KnownLevel: knownLevel, SnapshotLogBytes: 1 << 20}
	n, err := replica.New(cfg, a.disk)
	a.node = n
	return err
}

func (a *singleReplica) stop() { a.disk.Close() }

// do proposes a change and processes until it is completed.
func (a *singleReplica) do(c store.Command) replica.Completion {
	a.t.Helper()
	a.next++
	a.seq++
	c.ID = store.RequestID{Client: 1, Seq: a.seq}
	a.node.Propose(a.next, &c)
	for range 1000 {
		for _, d := range a.node.Process().Completions {
			if d.Token == a.next {
				return d
			}
		}
		a.node.Tick()
	}
	a.t.Fatal("no answer")
	panic("unreachable")
}

func (a *singleReplica) ticks(n int) {
	for range n {
		a.node.Tick()
		a.node.Process()
	}
}

// putWithKeyLimit is a command of level 2.
func putWithKeyLimit(key string) store.Command {
	limits := []store.KeyLimit{{Prefix: "p/", MaxKeys: 1}}
	return store.Command{Txn: &store.Txn{Then: []store.Op{{Key: key}}, KeyLimits: limits}}
}

// An older build works in a cluster that uses only the level that it knows, and rejects commands of a later one.
// Started on the file of a newer build after the cluster's level was raised, it stops with an error and changes
// nothing.
func TestOlderBuildStopsBeforeApplyingLaterLevel(t *testing.T) {
	a := newSingleReplica(t)
	if err := a.start(1); err != nil {
		t.Fatal(err)
	}
	a.ticks(40)
	if d := a.do(putWithKeyLimit("p/1")); !errors.Is(d.Result.Err, store.ErrUnsupportedLevel) || a.node.State().Level() != 1 {
		t.Fatal("at level 1:", d, a.node.State().Level())
	}
	a.stop()
	a.open()
	if err := a.start(2); err != nil { // one step up
		t.Fatal(err)
	}
	a.ticks(80)
	if d := a.do(putWithKeyLimit("p/1")); d.Err != nil || d.Result.Err != nil {
		t.Fatal("at level 2:", d)
	}
	if d := a.do(putWithKeyLimit("p/2")); !errors.Is(d.Result.Err, store.ErrFull) {
		t.Fatal("over the key limit:", d)
	}
	revision, applied := a.node.State().Revision(), a.node.Status().Applied
	a.stop()
	a.open()
	err := a.start(1) // and one back
	for range 100 {
		if err == nil {
			a.node.Tick()
			a.node.Process()
			err = a.node.Failed()
		}
	}
	if err == nil || !strings.Contains(err.Error(), "level 2, and this build knows 1") {
		t.Fatal(err)
	}
	a.stop()
	a.open()
	if err := a.start(2); err != nil {
		t.Fatal(err)
	}
	a.ticks(40)
	if s := a.node.State(); s.Revision() != revision || a.node.Status().Applied < applied {
		t.Errorf("revision %d of %d, entry %d of %d", s.Revision(), revision, a.node.Status().Applied, applied)
	}
}

// A replica ignores local messages of raft, messages to other replicas, and messages of replicas that are not members.
func TestStepIgnoresStrayMessages(t *testing.T) {
	a := newSingleReplica(t)
	if err := a.start(0); err != nil {
		t.Fatal(err)
	}
	a.ticks(40)
	term := a.node.Term()
	for _, m := range []*raftpb.Message{
		{Type: raftpb.MsgHup.Enum(), To: proto.Uint64(1)},
		{Type: raftpb.MsgApp.Enum(), To: proto.Uint64(2), From: proto.Uint64(3), Term: proto.Uint64(99)},
		{Type: raftpb.MsgAppResp.Enum(), To: proto.Uint64(1), From: proto.Uint64(55), Term: proto.Uint64(term)},
	} {
		a.node.Step(m)
		a.node.Process()
	}
	if a.node.Failed() != nil || a.node.Term() != term || !a.node.Leading() {
		t.Error(a.node.Failed(), a.node.Term(), a.node.Leading())
	}
	if d := a.do(store.Command{Txn: &store.Txn{Then: []store.Op{{Key: "k"}}}}); d.Err != nil || d.Result.Err != nil {
		t.Error(d)
	}
}
