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

// singleReplica runs a cluster of one replica on a real disk file, which survives restarts of the replica.
type singleReplica struct {
	t         *testing.T
	dir       string
	disk      *disk.Disk
	node      *replica.Node
	lastToken replica.RequestToken
	lastSeq   uint64 // of the request IDs
}

func newSingleReplica(t *testing.T) *singleReplica {
	t.Helper()
	single := &singleReplica{t: t, dir: t.TempDir()}
	single.open()
	if err := replica.Bootstrap(single.disk, 7, "a", "a", store.DefaultLimits); err != nil {
		t.Fatal(err)
	}
	return single
}

func (s *singleReplica) open() {
	s.t.Helper()
	opened, err := disk.Open(s.dir, disk.Options{NoSync: true})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { opened.Close() })
	s.disk = opened
}

// start starts the replica as a build that knows commands up to a level; 0 is the current level.
func (s *singleReplica) start(knownLevel uint64) error {
	cfg := replica.Config{Rand: rand.New(rand.NewPCG(1, 1)), KnownLevel: knownLevel, SnapshotLogBytes: 1 << 20}
	node, err := replica.New(cfg, s.disk)
	s.node = node
	return err
}

func (s *singleReplica) stop() { s.disk.Close() }

// do proposes a command and calls Process and Tick until the request is completed.
func (s *singleReplica) do(command store.Command) replica.Completion {
	s.t.Helper()
	s.lastToken++
	s.lastSeq++
	command.ID = store.RequestID{Client: 1, Seq: s.lastSeq}
	s.node.Propose(s.lastToken, &command)
	for range 1000 {
		for _, completion := range s.node.Process().Completions {
			if completion.Token == s.lastToken {
				return completion
			}
		}
		s.node.Tick()
	}
	s.t.Fatal("the proposal was not completed within 1000 ticks")
	panic("unreachable")
}

func (s *singleReplica) tick(count int) {
	for range count {
		s.node.Tick()
		s.node.Process()
	}
}

// putWithKeyLimit returns a command of level 2, which limits the prefix p/ to one key.
func putWithKeyLimit(key string) store.Command {
	limits := []store.KeyLimit{{Prefix: "p/", MaxKeys: 1}}
	return store.Command{Txn: &store.Txn{Then: []store.Op{{Key: key}}, KeyLimits: limits}}
}

// An older build works in a cluster whose level it knows, and rejects commands of a later level. If it is started on
// the disk of a newer build after the cluster's level was raised, it stops with an error and changes nothing on disk.
func TestOlderBuildStopsBeforeApplyingLaterLevel(t *testing.T) {
	single := newSingleReplica(t)
	if err := single.start(1); err != nil {
		t.Fatal(err)
	}
	single.tick(40)
	if got := single.do(putWithKeyLimit("p/1")); !errors.Is(got.Result.Err, store.ErrUnsupportedLevel) ||
		single.node.State().Level() != 1 {
		t.Fatal("put with a key limit at level 1: want ErrLevel:", got, single.node.State().Level())
	}
	single.stop()
	single.open()
	if err := single.start(2); err != nil { // upgrade to a build that knows level 2
		t.Fatal(err)
	}
	single.tick(80)
	if got := single.do(putWithKeyLimit("p/1")); got.Err != nil || got.Result.Err != nil {
		t.Fatal("put with a key limit at level 2:", got)
	}
	if got := single.do(putWithKeyLimit("p/2")); !errors.Is(got.Result.Err, store.ErrFull) {
		t.Fatal("second put with a limit of one key: want ErrFull:", got)
	}
	revision, applied := single.node.State().Revision(), single.node.Status().Applied
	single.stop()
	single.open()
	err := single.start(1) // downgrade to a build that knows level 1 only
	for range 100 {
		if err == nil {
			single.node.Tick()
			single.node.Process()
			err = single.node.Failed()
		}
	}
	if err == nil || !strings.Contains(err.Error(), "level 2, and this build knows 1") {
		t.Fatal(err)
	}
	single.stop()
	single.open()
	if err := single.start(2); err != nil {
		t.Fatal(err)
	}
	single.tick(40)
	if state := single.node.State(); state.Revision() != revision || single.node.Status().Applied < applied {
		t.Errorf("after the downgrade and upgrade: revision %d, want %d; applied index %d, want at least %d",
			state.Revision(), revision, single.node.Status().Applied, applied)
	}
}

// Step ignores raft's local messages, messages to other replicas, and messages from replicas that are not members.
func TestStepIgnoresStrayMessages(t *testing.T) {
	single := newSingleReplica(t)
	if err := single.start(0); err != nil {
		t.Fatal(err)
	}
	single.tick(40)
	term := single.node.Term()
	for _, message := range []*raftpb.Message{
		{Type: raftpb.MsgHup.Enum(), To: proto.Uint64(1)},
		{Type: raftpb.MsgApp.Enum(), To: proto.Uint64(2), From: proto.Uint64(3), Term: proto.Uint64(99)},
		{Type: raftpb.MsgAppResp.Enum(), To: proto.Uint64(1), From: proto.Uint64(55), Term: proto.Uint64(term)},
	} {
		single.node.Step(message)
		single.node.Process()
	}
	if single.node.Failed() != nil || single.node.Term() != term || !single.node.Leading() {
		t.Error(single.node.Failed(), single.node.Term(), single.node.Leading())
	}
	if got := single.do(store.Command{Txn: &store.Txn{Then: []store.Op{{Key: "k"}}}}); got.Err != nil ||
		got.Result.Err != nil {
		t.Error(got)
	}
}
