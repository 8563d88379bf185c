package replica_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"birchmoor/internal/store"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/replica"

	"go.etcd.io/raft/v3/raftpb"
)

const maxTestTicks = 1000 // bounds the wait for an expected event

// testNetwork runs replicas in one goroutine. A message is delivered in the round after it was sent.
type testNetwork struct {
	t        *testing.T
	defects  replica.Defects
	nodes    map[uint64]*replica.Node // by member ID
	messages []*raftpb.Message
}

// add starts a replica on an empty disk, under a member ID, and returns its node.
func (w *testNetwork) add(memberID uint64) *replica.Node {
	w.t.Helper()
	opened, err := disk.Open(w.t.TempDir(), disk.Options{NoSync: true})
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { opened.Close() })
	if len(w.nodes) == 0 {
		err = replica.Bootstrap(opened, 7, "r1", "r1", store.DefaultLimits)
	} else {
		err = opened.SetIdentity(replica.Identity{ClusterID: 7, MemberID: memberID, DiskID: opened.Identity().DiskID,
			Boot: opened.Identity().Boot})
	}
	if err != nil {
		w.t.Fatal(err)
	}
	node, err := replica.New(replica.Config{Rand: rand.New(rand.NewPCG(memberID, 1)), Defects: w.defects}, opened)
	if err != nil {
		w.t.Fatal(err)
	}
	w.nodes[node.Self().MemberID] = node
	return node
}

// round delivers the messages of the round before, and has each replica process them. With tick, time advances.
func (w *testNetwork) round(tick bool) (completions []replica.Completion) {
	delivered := w.messages
	w.messages = nil
	for _, message := range delivered {
		recipient := w.nodes[message.GetTo()]
		if recipient == nil {
			continue
		}
		recipient.Step(message)
		if sender := w.nodes[message.GetFrom()]; sender != nil && message.GetType() == raftpb.MsgSnap {
			sender.ReportSnapshot(message.GetTo(), true)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.nodes)) {
		node := w.nodes[id]
		if tick {
			node.Tick()
		}
		out := node.Process()
		w.messages = append(w.messages, out.Messages...)
		completions = append(completions, out.Completions...)
		if out.Snapshot != nil {
			node.SnapshotDone(out.Snapshot, out.Snapshot.Run())
		}
		if err := node.Failed(); err != nil {
			w.t.Fatal(err)
		}
	}
	return completions
}

// until runs rounds, a tick every other round, until done returns true, and fails the test if that takes too long.
func (w *testNetwork) until(what string, done func([]replica.Completion) bool) {
	w.t.Helper()
	if !w.within(maxTestTicks, done) {
		w.t.Fatalf("%s: not within %d ticks", what, maxTestTicks)
	}
}

// within runs rounds, a tick every other round, and reports whether done returned true within so many ticks.
func (w *testNetwork) within(ticks int, done func([]replica.Completion) bool) bool {
	for i := range 2 * ticks {
		if done(w.round(i%2 == 1)) {
			return true
		}
	}
	return false
}

// addMember adds a member at the leader and returns its ID. It does not wait until it is a voter.
func (w *testNetwork) addMember(leader *replica.Node, name string) (memberID uint64) {
	w.t.Helper()
	const token = 1
	command := store.Command{ID: store.RequestID{Client: 9, Seq: uint64(len(w.nodes))},
		AddMember: &store.AddMember{Name: name, Address: name}}
	leader.Propose(token, &command)
	w.until("adding "+name, func(completions []replica.Completion) bool {
		for _, completion := range completions {
			if completion.Err != nil || completion.Result.Err != nil {
				w.t.Fatalf("adding %s: %+v", name, completion)
			}
			memberID = completion.Result.MemberID
		}
		return memberID != 0
	})
	return memberID
}

// electsLeaderWithoutFirst adds two members to a first replica, loses that as soon as it reports them as settled, with
// all that it sent last, and reports whether the two others elect a leader.
func electsLeaderWithoutFirst(t *testing.T, defects replica.Defects) bool {
	t.Helper()
	network := &testNetwork{t: t, defects: defects, nodes: map[uint64]*replica.Node{}}
	first := network.add(0)
	network.until("the first leader", func([]replica.Completion) bool { return first.Leading() })
	for _, name := range []string{"r2", "r3"} {
		network.add(network.addMember(first, name))
		network.until(name+" is settled", func([]replica.Completion) bool {
			status := first.Status()
			return status.MembershipStable && len(status.Peers) == len(network.nodes)
		})
	}
	delete(network.nodes, first.Self().MemberID)
	network.messages = nil
	return network.within(maxTestTicks, func([]replica.Completion) bool {
		for _, node := range network.nodes {
			if node.Leading() {
				return true
			}
		}
		return false
	})
}

// TestSettledMembersElectLeaderWithoutFormerOne guards against a cluster without a leader, although two of three
// replicas live, because the first one died right after it had reported the new members as settled.
func TestSettledMembersElectLeaderWithoutFormerOne(t *testing.T) {
	if !electsLeaderWithoutFirst(t, 0) {
		t.Error("two of three replicas live and elect no leader")
	}
	if electsLeaderWithoutFirst(t, replica.SettleUnconfirmed) {
		t.Error("the test does not find the injected defect SettleUnconfirmed")
	}
}
