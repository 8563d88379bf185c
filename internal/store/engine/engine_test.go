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

	"birchmoor/internal/lab/relay"
	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/usage"
)

// cluster runs replicas in one process, over loopback with keys.
type cluster struct {
	t    *testing.T
	dir  string
	addr map[string]string
	all  map[string]*Engine

	relays map[string]*relay.Link // inbound traffic of each replica passes through one, unless nil
	disk   map[string]disk.Options
	tune   func(*Config) // changes the configuration of each replica that is started, unless nil
}

func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	return (&cluster{t: t}).begin(names...)
}

func (c *cluster) begin(names ...string) *cluster {
	t := c.t
	t.Helper()
	c.dir, c.addr, c.all = t.TempDir(), map[string]string{}, map[string]*Engine{}
	c.must(keys.Init(c.keys(), "test"))
	for i, name := range names {
		c.must(keys.Issue(c.keys(), name, time.Hour, false))
		c.start(name, i > 0)
		if i > 0 {
			c.add(names[0], name)
		}
	}
	t.Cleanup(func() {
		for _, e := range c.all {
			_ = e.Kill() // the test may have killed it
		}
	})
	return c
}

func (c *cluster) keys() string { return filepath.Join(c.dir, "keys") }

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err, c.describe())
	}
}

// describe returns the status of each replica, for the message of a failed test. If a loop does not answer, it includes
// the stacks of all goroutines.
func (c *cluster) describe() string {
	var out strings.Builder
	stuck := false
	for _, name := range slices.Sorted(maps.Keys(c.all)) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		s, err := c.all[name].Status(ctx)
		cancel()
		stuck = stuck || errors.Is(err, context.DeadlineExceeded)
		fmt.Fprintf(&out, "\n%s: member %d, leader %d, term %d, commit %d, applied %d, %d pending", name,
			s.Self.MemberID, s.LeaderID, s.Term, s.Commit, s.Applied, s.PendingRequests)
		fmt.Fprintf(&out, "; messages: %d sent, %d received, %d dropped", s.MessagesSent, s.MessagesReceived,
			s.MessagesDropped)
		fmt.Fprintf(&out, "; %d hellos rejected, stopped by %q, status %v", s.PeersRejected, s.Failed, err)
	}
	if stuck {
		b := make([]byte, 1<<20)
		fmt.Fprintf(&out, "\n%s", b[:runtime.Stack(b, true)])
	}
	return out.String()
}

// lead makes a replica the leader.
func (c *cluster) lead(name string) {
	c.t.Helper()
	for ctx := c.ctx(); ; {
		for n, e := range c.all {
			s, err := e.Status(ctx)
			c.must(err)
			if s.Leading && n == name {
				return
			}
			c.must(e.TransferLeadership(ctx)) // a follower does nothing
		}
	}
}

func (c *cluster) start(name string, join bool) *Engine {
	c.t.Helper()
	at := c.addr[name]
	if at == "" {
		at = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", at)
	c.must(err)
	c.addr[name] = ln.Addr().String()
	if c.relays != nil {
		in, err := net.Listen("tcp", "127.0.0.1:0")
		c.must(err)
		c.relays[name] = relay.New(c.addr[name], 1, relay.Conditions{})
		c.relays[name].Listen(in)
		c.t.Cleanup(c.relays[name].Close)
		c.addr[name] = in.Addr().String()
	}
	pair, err := keys.Open(c.keys(), name)
	c.must(err)
	o, ok := c.disk[name]
	if !ok {
		o.NoSync = true
	}
	cfg := Config{
		Name: name, Dir: filepath.Join(c.dir, name), Address: c.addr[name], Join: join, Keys: pair, Listener: ln,
		TickInterval: 10 * time.Millisecond, ElectionTicks: 20, DiskOptions: o,
		TuneReplica: func(r *replica.Config) { r.SnapshotLogBytes, r.RetainedEntries = 20000, 50 },
	}
	if c.tune != nil {
		c.tune(&cfg)
	}
	e, err := Open(cfg)
	c.must(err)
	c.all[name] = e
	return e
}

func (c *cluster) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	c.t.Cleanup(cancel)
	return ctx
}

func (c *cluster) add(by, name string) {
	c.t.Helper()
	_, err := c.all[by].Do(c.ctx(), store.Command{AddMember: &store.AddMember{Name: name, Address: c.addr[name]}})
	c.must(err)
	c.until(by, func(s Status) bool { return s.MembershipStable && len(s.Peers) > 1 })
}

// until polls the status of a replica, without sleeping, until ok returns true.
func (c *cluster) until(name string, ok func(Status) bool) {
	c.t.Helper()
	for ctx := c.ctx(); ; {
		s, err := c.all[name].Status(ctx)
		c.must(err)
		if ok(s) {
			return
		}
		c.must(c.all[name].run(ctx, func() {}))
	}
}

func put(key, value string) store.Command {
	return store.Command{Txn: &store.Txn{Then: []store.Op{{Key: key, Value: []byte(value)}}}}
}

func (c *cluster) get(name, key string) string {
	c.t.Helper()
	var v string
	_, err := c.all[name].View(c.ctx(), false, func(s *store.State) {
		i, _ := s.Get(key)
		v = string(i.Value)
	})
	c.must(err)
	return v
}

// No acknowledged write is lost while each replica in turn is killed and started again.
func TestAcknowledgedWritesSurviveRollingKills(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	var mu sync.Mutex
	answered := map[string]string{}
	at := func(name string) *Engine { mu.Lock(); defer mu.Unlock(); return c.all[name] }
	stop, wg := make(chan struct{}), sync.WaitGroup{}
	names := []string{"a", "b", "c"}
	for w := range 3 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				cmd := put(fmt.Sprintf("w%d/%d", w, i%50), fmt.Sprint(i))
				cmd.ID = store.RequestID{Client: uint64(w + 1), Seq: uint64(i + 1)}
				for n := i; ; n++ { // the same request, at whoever answers
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					_, err := at(names[n%3]).Do(ctx, cmd)
					cancel()
					if err == nil {
						break
					}
				}
				mu.Lock()
				answered[cmd.Txn.Then[0].Key] = fmt.Sprint(i)
				mu.Unlock()
			}
		}()
	}
	count := func() int { mu.Lock(); defer mu.Unlock(); return len(answered) }
	for _, name := range names {
		before := count()
		c.must(at(name).Kill())
		for count() < min(150, before+20) { // the others still acknowledge writes
			c.must(at(names[(1+indexOf(names, name))%3]).run(c.ctx(), func() {}))
		}
		mu.Lock()
		c.start(name, true)
		mu.Unlock()
		c.until(name, func(s Status) bool { return s.LeaderID != 0 })
	}
	close(stop)
	wg.Wait()
	for key, v := range answered {
		if got := c.get("b", key); got != v {
			t.Fatalf("%s is %q, and %q was answered", key, got, v)
		}
	}
}

func indexOf(all []string, x string) int {
	for i, v := range all {
		if v == x {
			return i
		}
	}
	return -1
}

func TestLaggingReplicaCatchesUpBySnapshot(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.must(c.all["c"].Kill())
	for i := range 400 {
		_, err := c.all["a"].Do(c.ctx(), put(fmt.Sprint("k", i%40), fmt.Sprintf("%0500d", i)))
		c.must(err)
	}
	c.start("c", false)
	if v := c.get("c", "k39"); v != fmt.Sprintf("%0500d", 399) {
		t.Fatalf("%.20q", v)
	}
}

func TestEmptyDiskUnderOldNameIsRejectedUntilAddedAnew(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.must(c.all["c"].Kill())
	delete(c.all, "c")
	c.addr["c2"] = c.addr["c"]
	old := c.dir
	c.dir = t.TempDir() // an empty disk
	c.must(keys.Init(filepath.Join(c.dir, "unused"), "x"))
	pair, err := keys.Open(filepath.Join(old, "keys"), "c")
	c.must(err)
	ln, err := net.Listen("tcp", c.addr["c"])
	c.must(err)
	e, err := Open(Config{
		Name: "c", Dir: filepath.Join(c.dir, "c"), Join: true, Keys: pair, Listener: ln,
		TickInterval: 10 * time.Millisecond, ElectionTicks: 20, DiskOptions: disk.Options{NoSync: true},
	})
	c.must(err)
	c.all["c"] = e
	rejected := func(s Status) bool { return s.PeersRejected > 0 }
	both := func() bool {
		x, err := c.all["a"].Status(c.ctx())
		c.must(err)
		y, err := c.all["b"].Status(c.ctx())
		c.must(err)
		return rejected(x) || rejected(y)
	}
	for !both() {
		_, err := c.all["a"].Do(c.ctx(), put("k", "v"))
		c.must(err)
	}
	if s, err := e.Status(c.ctx()); err != nil || !s.WaitingToJoin {
		t.Fatalf("%+v %v", s, err)
	}
	_, err = c.all["a"].Do(c.ctx(), store.Command{RemoveMember: &store.RemoveMember{MemberID: 3}})
	c.must(err)
	c.until("a", func(s Status) bool { return s.MembershipStable && len(s.Peers) == 2 })
	c.add("a", "c")
	c.until("a", func(s Status) bool { return s.MembershipStable && len(s.Peers) == 3 })
	if v := c.get("c", "k"); v != "v" {
		t.Fatal(v)
	}
}

// A member that was added and never started is removed, and another can be added. Until then writes are acknowledged.
func TestMemberThatNeverStartedIsRemoved(t *testing.T) {
	c := newCluster(t, "a", "b")
	r, err := c.all["a"].Do(c.ctx(), store.Command{AddMember: &store.AddMember{Name: "gone", Address: "127.0.0.1:1"}})
	c.must(err)
	_, err = c.all["b"].Do(c.ctx(), put("k", "v"))
	c.must(err)
	_, err = c.all["a"].Do(c.ctx(), store.Command{RemoveMember: &store.RemoveMember{MemberID: r.MemberID}})
	c.must(err)
	c.until("a", func(s Status) bool { return s.MembershipStable && len(s.Peers) == 2 })
	c.must(keys.Issue(c.keys(), "c", time.Hour, false))
	c.start("c", true)
	c.add("a", "c")
	if v := c.get("c", "k"); v != "v" {
		t.Fatal(v)
	}
}

// The leader can send, but receives nothing: a partition of one direction. Another replica becomes the leader, and the
// former one serves no stale read.
func TestLeaderWithoutInboundTrafficIsReplacedAndServesNoStaleRead(t *testing.T) {
	c := (&cluster{t: t, relays: map[string]*relay.Link{}}).begin("a", "b", "c")
	_, err := c.all["a"].Do(c.ctx(), put("k", "old"))
	c.must(err)
	lead, other := "", ""
	for lead == "" {
		for name, e := range c.all {
			s, err := e.Status(c.ctx())
			c.must(err)
			if s.Leading {
				lead = name
			} else {
				other = name
			}
		}
	}
	c.relays[lead].Update(func(x *relay.Conditions) { x.BlackHole = true })
	_, err = c.all[other].Do(c.ctx(), put("k", "new"))
	c.must(err)
	short, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := c.all[lead].View(short, false, func(s *store.State) {
		if i, _ := s.Get("k"); string(i.Value) != "new" {
			t.Errorf("the old leader reads %q", i.Value)
		}
	}); err == nil {
		t.Log("it was let in again already")
	}
	c.relays[lead].Update(func(x *relay.Conditions) { x.BlackHole = false })
	if v := c.get(lead, "k"); v != "new" {
		t.Fatal(v)
	}
}

func TestForeignCertificateIsRejected(t *testing.T) {
	c := newCluster(t, "a")
	foreign := filepath.Join(c.dir, "foreign")
	c.must(keys.Init(foreign, "other"))
	c.must(keys.Issue(foreign, "b", time.Hour, false))
	pair, err := keys.Open(foreign, "b")
	c.must(err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.must(err)
	e, err := Open(Config{
		Name: "b", Dir: filepath.Join(c.dir, "b"), Join: true, Keys: pair, Listener: ln,
		DiskOptions: disk.Options{NoSync: true},
	})
	c.must(err)
	defer func() { _ = e.Kill() }()
	_, err = c.all["a"].Do(c.ctx(), store.Command{AddMember: &store.AddMember{Name: "b", Address: ln.Addr().String()}})
	c.must(err)
	c.until("a", func(s Status) bool { return s.ConnectionsRejected > 0 })
	if s, err := e.Status(c.ctx()); err != nil || !s.WaitingToJoin {
		t.Fatalf("%+v %v", s, err)
	}
}

func TestNextReturnsAllChangesOrCompacted(t *testing.T) {
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
	var gone *store.CompactedError
	if _, _, err := e.Next(ctx, "k", 3, 5); !errors.As(err, &gone) || gone.Oldest != 11 {
		t.Fatal(err)
	}
	at, n := uint64(10), 0
	for at < 30 {
		events, to, err := e.Next(ctx, "k", at, 3)
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range events {
			if n++; x.Revision != uint64(10+n) {
				t.Fatalf("revision %d after %d", x.Revision, 9+n)
			}
		}
		at = to
	}
	if n != 20 {
		t.Fatal(n)
	}
}

// What one replica counts as sent the other counts as received, in messages and bytes. Both count what they apply and
// write.
func TestMetersOfReplicasAgree(t *testing.T) {
	meters := map[string]*usage.Recorder{"a": usage.New(), "b": usage.New()}
	c := (&cluster{t: t, tune: func(cfg *Config) { cfg.Usage = meters[cfg.Name] }}).begin("a", "b")
	c.until("b", func(s Status) bool { return s.MembershipStable && len(s.Peers) == 2 })
	for i := range 5 {
		_, err := c.all["b"].Do(c.ctx(), put("k", fmt.Sprint(i)))
		c.must(err)
	}
	agreed := func(p usage.Purpose, a, b usage.Reading) bool {
		x, y := a.Purposes[p], b.Purposes[p]
		return x.MessagesOut == y.MessagesIn && x.BytesOut == y.BytesIn &&
			y.MessagesOut == x.MessagesIn && y.BytesOut == x.BytesIn
	}
	var a, b usage.Reading
	c.until("a", func(Status) bool { // at any one time, a heartbeat may be in flight
		a, b = meters["a"].Read(), meters["b"].Read()
		return agreed(usage.Raft, a, b) && agreed(usage.Snapshots, a, b) && agreed(usage.Other, a, b) &&
			a.Purposes[usage.Other].Applied == b.Purposes[usage.Other].Applied
	})
	if x := a.Purposes[usage.Snapshots]; x.MessagesOut == 0 || x.BytesOut < 100*x.MessagesOut {
		t.Errorf("b began with %+v", x)
	}
	x, y := a.Purposes[usage.Other], b.Purposes[usage.Other]
	if y.Proposed < 5 || y.Applied < 5 || x.AppliedBytes != y.AppliedBytes {
		t.Errorf("%+v, %+v", x, y)
	}
	for name, r := range map[string]usage.Reading{"a": a, "b": b} {
		log, snapshot := r.Written[usage.LogFile], r.Written[usage.SnapshotFile]
		if log.Bytes == 0 || snapshot.Bytes == 0 {
			t.Errorf("%s: %+v, %+v", name, log, snapshot)
		}
		if r.Purposes[usage.Raft].BytesOut == 0 || r.Connections.BytesOut == 0 {
			t.Errorf("%s: %+v, %+v", name, r.Purposes[usage.Raft], r.Connections)
		}
	}
}
