package engine

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"birchmoor/internal/lab/address"
	"birchmoor/internal/lab/relay"
	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/usage"
)

// cluster runs replicas in one process. They are connected over loopback by TLS, with keys of a test authority.
type cluster struct {
	t         *testing.T
	dir       string
	addresses map[string]string
	engines   map[string]*Engine

	relays      map[string]*relay.Link // relay of the inbound traffic of each replica; nil: no relays
	diskOptions map[string]disk.Options
	tuneConfig  func(*Config) // changes the configuration of each replica before its start, unless nil
}

func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	return (&cluster{t: t}).startMembers(names...)
}

func (c *cluster) startMembers(names ...string) *cluster {
	t := c.t
	t.Helper()
	c.dir, c.addresses, c.engines = t.TempDir(), map[string]string{}, map[string]*Engine{}
	c.must(keys.Init(c.keysDir(), "test"))
	for i, name := range names {
		c.must(keys.Issue(c.keysDir(), name, time.Hour, false))
		c.start(name, i > 0)
		if i > 0 {
			c.addMember(names[0], name)
		}
	}
	t.Cleanup(func() {
		for _, e := range c.engines {
			_ = e.Kill() // fails if the test has killed the replica
		}
	})
	return c
}

func (c *cluster) keysDir() string { return filepath.Join(c.dir, "keys") }

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err, c.describe())
	}
}

// describe returns the status of each replica, for the message of a failed test. If the loop of a replica does not
// respond in time, the description includes the stacks of all goroutines.
func (c *cluster) describe() string {
	var out strings.Builder
	stuck := false
	for _, name := range slices.Sorted(maps.Keys(c.engines)) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		s, err := c.engines[name].Status(ctx)
		cancel()
		stuck = stuck || errors.Is(err, context.DeadlineExceeded)
		fmt.Fprintf(&out, "\n%s: member %d, leader %d, term %d, commit %d, applied %d, %d pending", name,
			s.Self.MemberID, s.LeaderID, s.Term, s.Commit, s.Applied, s.PendingRequests)
		fmt.Fprintf(&out, "; messages: %d sent, %d received, %d dropped", s.MessagesSent, s.MessagesReceived,
			s.MessagesDropped)
		fmt.Fprintf(&out, "; %d hellos rejected, failure %q, error of Status %v", s.PeersRejected, s.Failed, err)
	}
	if stuck {
		b := make([]byte, 1<<20)
		fmt.Fprintf(&out, "\n%s", b[:runtime.Stack(b, true)])
	}
	return out.String()
}

// makeLeader transfers leadership until the named replica leads.
func (c *cluster) makeLeader(name string) {
	c.t.Helper()
	for ctx := c.ctx(); ; {
		for engineName, e := range c.engines {
			s, err := e.Status(ctx)
			c.must(err)
			if s.Leading && engineName == name {
				return
			}
			c.must(e.TransferLeadership(ctx)) // has no effect on a replica that does not lead
		}
	}
}

func (c *cluster) start(name string, join bool) *Engine {
	c.t.Helper()
	listenAddress := c.addresses[name]
	if listenAddress == "" {
		listenAddress = address.Next() // stays free for this test while the replica is down
	}
	listener, err := net.Listen("tcp", listenAddress)
	c.must(err)
	c.addresses[name] = listener.Addr().String()
	if c.relays != nil {
		relayListener, err := net.Listen("tcp", "127.0.0.1:0")
		c.must(err)
		c.relays[name] = relay.New(c.addresses[name], 1, relay.Conditions{})
		c.relays[name].Listen(relayListener)
		c.t.Cleanup(c.relays[name].Close)
		c.addresses[name] = relayListener.Addr().String()
	}
	pair, err := keys.Open(c.keysDir(), name)
	c.must(err)
	options, ok := c.diskOptions[name]
	if !ok {
		options.NoSync = true
	}
	cfg := Config{
		Name: name, Dir: filepath.Join(c.dir, name), Address: c.addresses[name], Join: join, Keys: pair,
		Listener:     listener,
		TickInterval: 10 * time.Millisecond, ElectionTicks: 20, DiskOptions: options,
		TuneReplica: func(replicaConfig *replica.Config) {
			replicaConfig.SnapshotLogBytes, replicaConfig.RetainedEntries = 20000, 50
		},
	}
	if c.tuneConfig != nil {
		c.tuneConfig(&cfg)
	}
	e, err := Open(cfg)
	c.must(err)
	c.engines[name] = e
	return e
}

func (c *cluster) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	c.t.Cleanup(cancel)
	return ctx
}

func (c *cluster) addMember(proposer, name string) {
	c.t.Helper()
	_, err := c.engines[proposer].Do(c.ctx(),
		store.Command{AddMember: &store.AddMember{Name: name, Address: c.addresses[name]}})
	c.must(err)
	c.waitUntil(proposer, func(s Status) bool { return s.MembershipStable && len(s.Peers) > 1 })
}

// waitUntil polls the status of a replica, without sleeping, until ok returns true for it.
func (c *cluster) waitUntil(name string, ok func(Status) bool) {
	c.t.Helper()
	for ctx := c.ctx(); ; {
		s, err := c.engines[name].Status(ctx)
		c.must(err)
		if ok(s) {
			return
		}
		c.must(c.engines[name].runInLoop(ctx, func() {}))
	}
}

func put(key, value string) store.Command {
	return store.Command{Txn: &store.Txn{Then: []store.Op{{Key: key, Value: []byte(value)}}}}
}

func (c *cluster) get(name, key string) string {
	c.t.Helper()
	var value string
	_, err := c.engines[name].View(c.ctx(), false, func(s *store.State) {
		item, _ := s.Get(key)
		value = string(item.Value)
	})
	c.must(err)
	return value
}

// TestAcknowledgedWritesSurviveRollingKills kills and restarts each replica in turn while clients write. No
// acknowledged write may be lost.
func TestAcknowledgedWritesSurviveRollingKills(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	var mu sync.Mutex
	acknowledged := map[string]string{}
	engineOf := func(name string) *Engine { mu.Lock(); defer mu.Unlock(); return c.engines[name] }
	stop, wg := make(chan struct{}), sync.WaitGroup{}
	names := []string{"a", "b", "c"}
	for writer := range 3 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				command := put(fmt.Sprintf("w%d/%d", writer, i%50), fmt.Sprint(i))
				command.ID = store.RequestID{Client: uint64(writer + 1), Seq: uint64(i + 1)}
				for attempt := i; ; attempt++ { // retries the same request at one replica after another
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					_, err := engineOf(names[attempt%3]).Do(ctx, command)
					cancel()
					if err == nil {
						break
					}
				}
				mu.Lock()
				acknowledged[command.Txn.Then[0].Key] = fmt.Sprint(i)
				mu.Unlock()
			}
		}()
	}
	countAcknowledged := func() int { mu.Lock(); defer mu.Unlock(); return len(acknowledged) }
	for _, name := range names {
		countBefore := countAcknowledged()
		c.must(engineOf(name).Kill())
		// The other replicas acknowledge writes.
		next := engineOf(names[(1+indexOf(names, name))%3])
		for ctx := c.ctx(); countAcknowledged() < min(150, countBefore+20); {
			c.must(next.runInLoop(ctx, func() {}))
			time.Sleep(time.Millisecond)
		}
		mu.Lock()
		c.start(name, true)
		mu.Unlock()
		c.waitUntil(name, func(s Status) bool { return s.LeaderID != 0 })
	}
	close(stop)
	wg.Wait()
	for key, value := range acknowledged {
		if got := c.get("b", key); got != value {
			t.Fatalf("key %s is %q, but the write of %q was acknowledged last", key, got, value)
		}
	}
}

func indexOf(names []string, name string) int {
	for i, candidate := range names {
		if candidate == name {
			return i
		}
	}
	return -1
}

func TestLaggingReplicaCatchesUpBySnapshot(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.must(c.engines["c"].Kill())
	for i := range 400 {
		_, err := c.engines["a"].Do(c.ctx(), put(fmt.Sprint("k", i%40), fmt.Sprintf("%0500d", i)))
		c.must(err)
	}
	c.start("c", false)
	if value := c.get("c", "k39"); value != fmt.Sprintf("%0500d", 399) {
		t.Fatalf("%.20q", value)
	}
}

func TestEmptyDiskUnderOldNameIsRejectedUntilAddedAnew(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.must(c.engines["c"].Kill())
	delete(c.engines, "c")
	c.addresses["c2"] = c.addresses["c"]
	oldDir := c.dir
	c.dir = t.TempDir() // has no disk of c
	c.must(keys.Init(filepath.Join(c.dir, "unused"), "x"))
	pair, err := keys.Open(filepath.Join(oldDir, "keys"), "c")
	c.must(err)
	listener, err := net.Listen("tcp", c.addresses["c"])
	c.must(err)
	emptyReplica, err := Open(Config{
		Name: "c", Dir: filepath.Join(c.dir, "c"), Join: true, Keys: pair, Listener: listener,
		TickInterval: 10 * time.Millisecond, ElectionTicks: 20, DiskOptions: disk.Options{NoSync: true},
	})
	c.must(err)
	c.engines["c"] = emptyReplica
	rejected := func(s Status) bool { return s.PeersRejected > 0 }
	eitherRejected := func() bool {
		statusA, err := c.engines["a"].Status(c.ctx())
		c.must(err)
		statusB, err := c.engines["b"].Status(c.ctx())
		c.must(err)
		return rejected(statusA) || rejected(statusB)
	}
	for !eitherRejected() {
		_, err := c.engines["a"].Do(c.ctx(), put("k", "v"))
		c.must(err)
	}
	if s, err := emptyReplica.Status(c.ctx()); err != nil || !s.WaitingToJoin {
		t.Fatalf("the replica is not waiting to join: status %+v, error %v", s, err)
	}
	_, err = c.engines["a"].Do(c.ctx(), store.Command{RemoveMember: &store.RemoveMember{MemberID: 3}})
	c.must(err)
	c.waitUntil("a", func(s Status) bool { return s.MembershipStable && len(s.Peers) == 2 })
	c.addMember("a", "c")
	c.waitUntil("a", func(s Status) bool { return s.MembershipStable && len(s.Peers) == 3 })
	if value := c.get("c", "k"); value != "v" {
		t.Fatal(value)
	}
}

// TestMemberThatNeverStartedIsRemoved adds a member that never starts. Writes must still be acknowledged, the member
// can be removed, and another member can be added.
func TestMemberThatNeverStartedIsRemoved(t *testing.T) {
	c := newCluster(t, "a", "b")
	added, err := c.engines["a"].Do(c.ctx(),
		store.Command{AddMember: &store.AddMember{Name: "gone", Address: "127.0.0.1:1"}})
	c.must(err)
	_, err = c.engines["b"].Do(c.ctx(), put("k", "v"))
	c.must(err)
	_, err = c.engines["a"].Do(c.ctx(), store.Command{RemoveMember: &store.RemoveMember{MemberID: added.MemberID}})
	c.must(err)
	c.waitUntil("a", func(s Status) bool { return s.MembershipStable && len(s.Peers) == 2 })
	c.must(keys.Issue(c.keysDir(), "c", time.Hour, false))
	c.start("c", true)
	c.addMember("a", "c")
	if value := c.get("c", "k"); value != "v" {
		t.Fatal(value)
	}
}

// TestLeaderWithoutInboundTrafficIsReplacedAndServesNoStaleRead drops the inbound traffic of the leader, which can
// still send. Another replica must become the leader, and the former leader must not serve a stale read.
func TestLeaderWithoutInboundTrafficIsReplacedAndServesNoStaleRead(t *testing.T) {
	c := (&cluster{t: t, relays: map[string]*relay.Link{}}).startMembers("a", "b", "c")
	_, err := c.engines["a"].Do(c.ctx(), put("k", "old"))
	c.must(err)
	leader, follower := "", ""
	for leader == "" {
		for name, e := range c.engines {
			s, err := e.Status(c.ctx())
			c.must(err)
			if s.Leading {
				leader = name
			} else {
				follower = name
			}
		}
	}
	c.relays[leader].Update(func(conditions *relay.Conditions) { conditions.BlackHole = true })
	_, err = c.engines[follower].Do(c.ctx(), put("k", "new"))
	c.must(err)
	shortCtx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := c.engines[leader].View(shortCtx, false, func(s *store.State) {
		if item, _ := s.Get("k"); string(item.Value) != "new" {
			t.Errorf("a read at the former leader returned %q, want the new value", item.Value)
		}
	}); err == nil {
		t.Log("the former leader completed a read although its inbound traffic is dropped")
	}
	c.relays[leader].Update(func(conditions *relay.Conditions) { conditions.BlackHole = false })
	if value := c.get(leader, "k"); value != "new" {
		t.Fatal(value)
	}
}

func TestForeignCertificateIsRejected(t *testing.T) {
	c := newCluster(t, "a")
	foreignKeysDir := filepath.Join(c.dir, "foreign")
	c.must(keys.Init(foreignKeysDir, "other"))
	c.must(keys.Issue(foreignKeysDir, "b", time.Hour, false))
	pair, err := keys.Open(foreignKeysDir, "b")
	c.must(err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.must(err)
	foreignReplica, err := Open(Config{
		Name: "b", Dir: filepath.Join(c.dir, "b"), Join: true, Keys: pair, Listener: listener,
		DiskOptions: disk.Options{NoSync: true},
	})
	c.must(err)
	defer func() { _ = foreignReplica.Kill() }()
	_, err = c.engines["a"].Do(c.ctx(),
		store.Command{AddMember: &store.AddMember{Name: "b", Address: listener.Addr().String()}})
	c.must(err)
	c.waitUntil("a", func(s Status) bool { return s.ConnectionsRejected > 0 })
	if s, err := foreignReplica.Status(c.ctx()); err != nil || !s.WaitingToJoin {
		t.Fatalf("the replica is not waiting to join: status %+v, error %v", s, err)
	}
}

func TestNextChangesReturnsAllOrCompacted(t *testing.T) {
	e, err := Open(Config{
		Name: "a", Dir: t.TempDir(), DiskOptions: disk.Options{NoSync: true}, TickInterval: 10 * time.Millisecond,
		Limits: store.Limits{
			KeyBytes: 64, ValueBytes: 64, TotalBytes: 1 << 20, TxnOps: 8, HistoryEvents: 20, HistoryBytes: 1 << 20,
			Leases: 8, Results: 100, Members: 3,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for i := range 30 {
		if _, err := e.Do(ctx, put(fmt.Sprint("k", i), "v")); err != nil {
			t.Fatal(err)
		}
	}
	var compacted *store.CompactedError
	if _, _, err := e.NextChanges(ctx, "k", 3, 5); !errors.As(err, &compacted) || compacted.Oldest != 11 {
		t.Fatal(err)
	}
	revision, received := uint64(10), 0
	for revision < 30 {
		events, completeRevision, err := e.NextChanges(ctx, "k", revision, 3)
		if err != nil {
			t.Fatal(err)
		}
		for _, event := range events {
			if received++; event.Revision != uint64(10+received) {
				t.Fatalf("event of revision %d after revision %d", event.Revision, 9+received)
			}
		}
		revision = completeRevision
	}
	if received != 20 {
		t.Fatal(received)
	}
}

// TestUsageCountsOfReplicasAgree checks that one replica counts as received the messages and bytes that the other
// counts as sent, and that both count the commands they apply and the bytes they write.
func TestUsageCountsOfReplicasAgree(t *testing.T) {
	recorders := map[string]*usage.Recorder{"a": usage.New(), "b": usage.New()}
	c := (&cluster{t: t, tuneConfig: func(cfg *Config) { cfg.Usage = recorders[cfg.Name] }}).startMembers("a", "b")
	c.waitUntil("b", func(s Status) bool { return s.MembershipStable && len(s.Peers) == 2 })
	for i := range 5 {
		_, err := c.engines["b"].Do(c.ctx(), put("k", fmt.Sprint(i)))
		c.must(err)
	}
	countsAgree := func(purpose usage.Purpose, readingA, readingB usage.Reading) bool {
		usageA, usageB := readingA.Purposes[purpose], readingB.Purposes[purpose]
		return usageA.MessagesOut == usageB.MessagesIn && usageA.BytesOut == usageB.BytesIn &&
			usageB.MessagesOut == usageA.MessagesIn && usageB.BytesOut == usageA.BytesIn
	}
	var readingA, readingB usage.Reading
	c.waitUntil("a", func(Status) bool { // polls because a heartbeat may be in flight at any time
		readingA, readingB = recorders["a"].Read(), recorders["b"].Read()
		return countsAgree(usage.Raft, readingA, readingB) && countsAgree(usage.Snapshots, readingA, readingB) &&
			countsAgree(usage.Other, readingA, readingB) &&
			readingA.Purposes[usage.Other].Applied == readingB.Purposes[usage.Other].Applied
	})
	if usageA := readingA.Purposes[usage.Snapshots]; usageA.MessagesOut == 0 ||
		usageA.BytesOut < 100*usageA.MessagesOut {
		t.Errorf("a counted for the snapshot it sent to b: %+v", usageA)
	}
	usageA, usageB := readingA.Purposes[usage.Other], readingB.Purposes[usage.Other]
	if usageB.Proposed < 5 || usageB.Applied < 5 || usageA.AppliedBytes != usageB.AppliedBytes {
		t.Errorf("commands counted by a: %+v, by b: %+v", usageA, usageB)
	}
	for name, reading := range map[string]usage.Reading{"a": readingA, "b": readingB} {
		log, snapshot := reading.Written[usage.LogFile], reading.Written[usage.SnapshotFile]
		if log.Bytes == 0 || snapshot.Bytes == 0 {
			t.Errorf("%s counted as written to the log %+v, to the snapshot %+v", name, log, snapshot)
		}
		if reading.Purposes[usage.Raft].BytesOut == 0 || reading.Connections.BytesOut == 0 {
			t.Errorf("%s counted for raft messages %+v, for connections %+v",
				name, reading.Purposes[usage.Raft], reading.Connections)
		}
	}
}
