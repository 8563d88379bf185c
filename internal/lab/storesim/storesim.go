// Package storesim plays clusters of the replicated store in virtual time: replicas, their disks, the network between
// them, their clocks, clients and operators all come from one seed, and the same seed plays the same run again.
//
// Faults are crashes in any write, writes that fail, pages that are lost with the disk, links that are cut one way,
// slow, lossy or doubling, clocks that run apart and processes that pause, members that come and go, and disks that
// come back empty or old. At each step it is checked that a term has one leader, that entries are applied in one order
// without holes, that equal positions mean equal states, that no server serves that is known to be out, and that a
// lease that was renewed does not end. At the end the cluster is healed but for one disk that fails for good, beside which
// the others must answer (failed.go): every request must end, and the history of all must be linearizable (Herlihy and
// Wing, 1990), which porcupine decides.
package storesim

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"birchmoor/internal/lab/eventqueue"
	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/serverstate"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Options say what is played. The zero value is a cluster of three that changes its members now and then.
type Options struct {
	Replicas int // at the start; 3
	Clients  int // 4
	Keys     int // that clients write; 4
	Ops      int // requests of each client; 60
	Faults   int // that are caused, one after another; 24
	Gap      int // milliseconds between two of them; 300
	Planted  replica.Defects
	Watch    Watch // a fault of daemons
	Holders  int   // daemons that hold tasks; none unless it is told
	HoldTTL  int   // milliseconds of their sessions; 400
	Calm     bool  // no faults at all
	Holder   HolderPlant
	Mixed    bool // hosts begin with a build of level 1 of commands, and go to this one and back in turn
}

func (o *Options) fill() {
	for _, x := range []struct {
		v *int
		d int
	}{{&o.Replicas, 3}, {&o.Clients, 4}, {&o.Keys, 4}, {&o.Ops, 60}, {&o.Faults, 24}, {&o.Gap, 300}, {&o.HoldTTL, 400}} {
		if *x.v == 0 {
			*x.v = x.d
		}
	}
	if o.Calm {
		o.Faults = 0
	}
}

// Result is what a run came to.
type Result struct {
	Seed     uint64   `json:"seed"`
	Broken   []string `json:"broken"` // what was found, the first of each kind; none means that all held
	Ops      int      `json:"ops"`
	Unknown  int      `json:"unknown"` // answers that left the outcome open, after which the request was sent again
	Crashes  int      `json:"crashes"`
	Cuts     int      `json:"cuts"`
	Joined   int      `json:"joined"`
	Left     int      `json:"left"`
	Elected  int      `json:"elected"` // terms with a leader
	Snaps    int      `json:"snapshots"`
	Installs int      `json:"installs"`    // of a leader's snapshot
	Refused  int      `json:"refused"`     // greetings
	Told     int      `json:"drains_told"` // changes of the store that say that a process drains
	Over     int      `json:"drains_over"`
	Sent     int      `json:"sent"`       // requests to servers
	Raised   int64    `json:"raised"`     // when the cluster came to level 2, in virtual ms; 0: never
	Steps    int      `json:"steps"`      // changes of a host's build
	Acts     int      `json:"acts"`       // of holders of tasks
	Late     int      `json:"late"`       // of those, after a higher token, by processes that had been stopped
	Failed   string   `json:"failed"`     // what the replica did whose disk failed for good at the end; empty: none did
	Beside   int      `json:"beside"`     // writes that the others answered meanwhile
	Slowest  int64    `json:"slowest_us"` // of those
	Entries  uint64   `json:"entries"`
	Micros   int64    `json:"virtual_us"`

	EntriesPerS float64 `json:"entries_per_s,omitempty"` // of a run without faults, once all have settled
	BytesPerS   float64 `json:"bytes_per_s,omitempty"`
	Events      int     `json:"events"`
	Trace       uint64  `json:"trace"` // of all that was applied and answered: equal runs have equal ones
}

const (
	milli   = int64(1000)
	tick    = 10 * milli
	second  = eventqueue.Second
	mostRun = 40 * second

	mostEvents = 200_000
)

type world struct {
	o       Options
	q       *eventqueue.Queue
	rng     *rand.Rand
	r       Result
	hosts   []*host
	log     map[uint64]uint64 // entries applied anywhere, by index
	top     uint64
	bytes   int            // of all entries
	leader  map[uint64]int // of a term
	states  map[uint64]uint64
	links   map[[2]int]*link
	clean   bool // no faults any more
	net     netFaults
	cl      []*client
	ops     []*outs
	sum     *xxhash.Digest
	kinds   map[string]bool
	leases  []*leaseUser
	over    bool
	holders []*daemonSim
	acted   *things
	s       servers
	level   uint64 // of commands that the cluster uses, by the log
	failed  failedDisk
}

type netFaults struct{ loss, double, delayed float64 }

type link struct{ cut bool }

// host is a place where a replica runs: its disk and, unless it crashed, the process.
type host struct {
	w       *world
	number  int
	disk    *disk
	node    *replica.Node
	boot    int // of the host, so that events of an earlier process find it gone
	pace    float64
	paused  bool
	retired bool // its member was removed
	joining bool
	guard   *serverstate.Guard
	index   uint64
	waits   map[replica.RequestToken]func(replica.Completion)
	token   replica.RequestToken
	mirror  map[string]uint64 // servers that are out, as the truth of what this process was told

	watch      *watcher        // nil before the first start
	acted      map[string]bool // drains that a copy on this disk has shown, and whose end it has not
	restarting bool
	settled    bool
	seq        uint64
	old        bool // of the earlier build
}

// Run plays a seed.
func Run(seed uint64, o Options) Result {
	o.fill()
	w := &world{o: o, q: eventqueue.NewVirtual(), rng: rand.New(rand.NewPCG(seed, 0x6269726368)), log: map[uint64]uint64{},
		leader: map[uint64]int{}, states: map[uint64]uint64{}, links: map[[2]int]*link{}, sum: xxhash.New(),
		kinds: map[string]bool{}}
	w.r.Seed = seed
	w.failed = failedDisk{w: w, rng: rand.New(rand.NewPCG(seed, 0x6661696c))}
	w.play()
	w.r.Micros, w.r.Trace = w.q.Now(), w.sum.Sum64()
	w.r.Elected, w.r.Entries = len(w.leader), w.top
	return w.r
}

func (w *world) broken(kind, format string, args ...any) {
	if !w.kinds[kind] {
		w.kinds[kind] = true
		w.r.Broken = append(w.r.Broken, fmt.Sprintf("%s at %d ms: %s", kind, w.q.Now()/milli, fmt.Sprintf(format, args...)))
	}
}

func (w *world) config(h *host) replica.Config {
	return replica.Config{Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 1)), ElectionTicks: 10, TickMillis: int(tick / milli), RequestTimeoutTicks: 60,
		SnapshotLogBytes: 2000, RetainedEntries: 8 + w.rng.IntN(40), MaxMessageBytes: 4096, Defects: w.o.Planted,
		KnownLevel: h.knows(), OnEntry: func(e *raftpb.Entry) { h.observe(e) }}
}

// observe checks each entry before it is applied.
func (h *host) observe(e *raftpb.Entry) {
	w := h.w
	sum := xxhash.Sum64(append([]byte(fmt.Sprintf("%d %d ", e.GetTerm(), e.GetType())), e.Data...))
	if was, ok := w.log[e.GetIndex()]; ok && was != sum {
		w.broken("order", "host %d applies another entry %d than was applied before", h.number, e.GetIndex())
	}
	if _, before := w.log[e.GetIndex()]; !before {
		w.bytes += len(e.Data)
	}
	w.log[e.GetIndex()] = sum
	h.level(e)
	w.top = max(w.top, e.GetIndex())
	if e.GetIndex() != h.index+1 {
		w.broken("hole", "host %d applies entry %d after %d", h.number, e.GetIndex(), h.index)
	}
	h.index = e.GetIndex()
}

func (w *world) play() {
	begin := int64(w.o.Replicas) * 600 * milli
	w.beginServers(begin)
	first := w.addHost()
	if err := replica.Bootstrap(first.disk, 7, "r0", "r0", store.Limits{KeyBytes: 64, ValueBytes: 256, TotalBytes: 1 << 20, TxnOps: 16, HistoryEvents: max(200, 4*w.o.Holders),
		HistoryBytes: 1 << 16, Leases: 64 + 2*w.o.Holders, Results: 20000, Members: 7}); err != nil {
		panic(err)
	}
	first.start()
	for i := 1; i < w.o.Replicas; i++ {
		w.q.After(int64(i)*400*milli, func() { w.join() })
	}
	for i := range w.o.Clients {
		c := &client{w: w, id: uint64(100 + i)}
		w.cl = append(w.cl, c)
		w.q.After(begin+w.rng.Int64N(50*milli), c.next)
	}
	for i := range 2 {
		l := &leaseUser{w: w, id: uint64(200 + i)}
		w.leases = append(w.leases, l)
		w.q.After(begin, l.begin)
	}
	for i := range 2 {
		u := &outs{w: w, id: uint64(300 + i)}
		w.ops = append(w.ops, u)
		w.q.After(begin, u.next)
	}
	w.beginHolders(begin)
	b := &bounds{w: w, id: 500}
	w.q.After(begin, b.next)
	if w.o.Mixed {
		w.q.After(begin, w.step)
	}
	for i := range w.o.Faults {
		w.q.After(begin+int64(i+1)*w.gap()+w.rng.Int64N(200*milli), w.cause)
	}
	if w.o.Calm {
		w.measure(begin)
	}
	w.q.After(begin+int64(w.o.Faults+2)*w.gap(), w.heal)
	w.run()
}

func (w *world) run() {
	long := 1 + int(int64(w.o.Faults)*w.gap()/mostRun) + w.o.Holders/4
	done := func() bool {
		w.r.Events++
		return w.over || w.q.Now() > mostRun*int64(long) || w.r.Events > mostEvents*long
	}
	_ = w.q.Run(context.Background(), done)
	if !w.over {
		w.broken("standstill", "requests are open: %s", w.open())
	}
	w.judge()
}

// measure counts what the log takes in the second half of a run without faults, when all have settled.
func (w *world) measure(begin int64) {
	var top uint64
	var bytes int
	w.q.After(begin+w.gap(), func() { top, bytes = w.top, w.bytes })
	w.q.After(begin+2*w.gap()-1, func() {
		seconds := float64(w.gap()) / float64(second)
		w.r.EntriesPerS, w.r.BytesPerS = float64(w.top-top)/seconds, float64(w.bytes-bytes)/seconds
	})
}

// gap is the time between two faults.
func (w *world) gap() int64 { return int64(w.o.Gap) * milli }

func (w *world) open() string {
	n, l := 0, 0
	for _, c := range w.cl {
		if !c.finished {
			n++
		}
	}
	for _, h := range w.hosts {
		if h.node != nil && h.node.Leading() {
			l++
		}
	}
	s := fmt.Sprintf("%d clients, %d leaders;", n, l)
	for _, h := range w.hosts {
		switch {
		case h.retired:
		case h.node == nil:
			s += fmt.Sprintf(" %d down", h.number)
		default:
			s += fmt.Sprintf(" %d applied %d", h.number, h.index)
		}
	}
	return s
}

// quiet says whether all requests have ended.
func (w *world) quiet() bool {
	for _, c := range w.cl {
		if !c.finished {
			return false
		}
	}
	return w.clean
}

func (w *world) addHost() *host {
	h := &host{w: w, number: len(w.hosts), disk: newDisk(w.rng), pace: 0.9 + 0.2*w.rng.Float64(), acted: map[string]bool{},
		old: w.o.Mixed}
	w.hosts = append(w.hosts, h)
	return h
}

// start begins a process on the host's disk.
func (h *host) start() {
	w := h.w
	h.boot++
	h.disk.begin()
	h.waits, h.paused = map[replica.RequestToken]func(replica.Completion){}, false
	n, err := replica.New(w.config(h), h.disk)
	if err != nil {
		if h.old && errors.Is(err, store.ErrUnknownCommand) { // as it should: operators start the newer build
			h.old = false
			h.again()
			return
		}
		w.broken("start", "host %d: %v", h.number, err)
		return
	}
	h.node, h.index = n, n.State().Index()
	h.guard, h.mirror = serverstate.NewGuard(fmt.Sprint(h.number)), map[string]uint64{}
	if w.o.Planted&replica.EagerReturn != 0 {
		h.guard.InjectEagerReadmission()
	}
	h.restarting, h.settled = true, false
	h.beginWatch()
	h.adopt()
	if w.o.Watch != ForgetDisk {
		n.Uncommitted(func(c *store.Command) { h.guard.Uncommitted(c) })
	}
	h.restarting = false
	boot := h.boot
	var beat func()
	beat = func() {
		if h.boot != boot || h.node == nil || w.over {
			return
		}
		if !h.paused {
			h.node.Tick()
			h.drive()
			if h.boot == boot && h.node != nil {
				h.beat()
			}
		}
		w.q.After(int64(float64(tick)*h.pace), beat)
	}
	w.q.After(w.rng.Int64N(tick), beat)
}

// adopt takes a whole state.
func (h *host) adopt() {
	if err := h.guard.Reset(h.node.State()); err != nil {
		h.w.broken("guard", "host %d: %v", h.number, err)
	}
	for s := range h.mirror {
		delete(h.mirror, s)
	}
	h.node.State().Range(serverstate.ExclusionPrefix, store.PrefixEnd(serverstate.ExclusionPrefix), func(i store.Item) bool {
		h.mirror[i.Key] = i.ModRevision
		return true
	})
	h.watchAdopt()
	h.node.State().OnEvent(h.event)
}

// event is a change of the state, which this process is told of.
func (h *host) event(e store.Event) {
	h.guard.Apply(e)
	if e.Deleted {
		delete(h.mirror, e.Item.Key)
	} else if len(e.Item.Key) > 4 && e.Item.Key[:4] == serverstate.ExclusionPrefix {
		h.mirror[e.Item.Key] = e.Revision
	}
	h.watchEvent(e)
	for _, l := range h.w.leases {
		l.saw(e)
	}
}

// look checks that what is known to be out does not serve here.
func (h *host) look() {
	for _, u := range h.w.ops {
		for key, at := range u.heard {
			if at.host == h.number && at.boot == h.boot && !h.guard.Excluded(at.server) {
				h.w.broken("stale drain", "host %d lets %s serve, which it heard to be out", h.number, key)
			}
		}
	}
	for key := range h.mirror {
		if !h.guard.Excluded(key[len("out/drain/"):]) {
			h.w.broken("stale drain", "host %d lets serve what its copy says is out: %s", h.number, key)
		}
	}
}

// crash ends the process; what it had not written is gone.
func (h *host) crash() {
	h.boot++
	h.node = nil
	h.w.r.Crashes++
	h.disk.end()
}

// drive lets the node work, and does what it asks for.
func (h *host) drive() {
	n, w := h.node, h.w
	if n == nil {
		return
	}
	out := n.Process()
	if n.Leading() && n.Failed() == nil {
		term := n.Term()
		if was, ok := w.leader[term]; ok && was != h.number {
			w.broken("two leaders", "term %d is led by hosts %d and %d", term, was, h.number)
		}
		w.leader[term] = h.number
	}
	for _, m := range out.Messages {
		h.send(m)
	}
	if out.StateReplaced {
		w.r.Installs++
		h.index = n.State().Index()
		h.adopt()
	}
	if !h.settled && n.CaughtUp() {
		h.settled = true
		h.guard.CaughtUp()
	}
	if out.AppliedEntries > 0 || out.StateReplaced {
		h.look()
		h.compare()
		h.boundsHeld()
	}
	for _, d := range out.Completions {
		if f := h.waits[d.Token]; f != nil {
			delete(h.waits, d.Token)
			f(d)
		}
	}
	if j := out.Snapshot; j != nil {
		w.r.Snaps++
		boot := h.boot
		w.q.After(w.rng.Int64N(60*milli), func() {
			if h.boot == boot && h.node != nil {
				h.node.SnapshotDone(j, j.Run())
				h.drive()
			}
		})
	}
	if err := n.Failed(); err != nil && h.node == n {
		if h.disk.broke && h == w.failed.victim {
			return // nobody starts it again, for now
		}
		if h.old && errors.Is(err, store.ErrUnknownCommand) {
			if w.level < store.Level {
				w.broken("level", "host %d was sent what its build does not know, and the cluster uses level %d: %v", h.number, w.level, err)
			}
			h.old = false // it stopped before it applied what it does not know, and said so: a newer build is started
		}
		if h.disk.broke || h.disk.dead || h.retired || h.joining || w.o.Mixed && errors.Is(err, store.ErrUnknownCommand) {
			h.crash() // as its own supervisor would have it; the world starts it again
			h.again()
			return
		}
		if w.o.Planted == 0 {
			w.broken("stopped", "host %d: %v", h.number, err)
		}
		h.crash()
		h.again()
	}
}

// again starts the process after a while.
func (h *host) again() {
	boot := h.boot
	after := h.w.rng.Int64N(800 * milli)
	if h.w.rng.IntN(2) == 0 {
		after /= 32 // at once, within the election that it voted in
	}
	h.w.q.After(after, func() {
		if h.boot == boot && h.node == nil && !h.retired {
			h.start()
		}
	})
}

// compare holds the state against that of others at the same entry.
func (h *host) compare() {
	s := h.node.State()
	if s.Index()%16 != 0 {
		return
	}
	var b bytes.Buffer
	if err := s.Save(&b); err != nil {
		panic(err)
	}
	sum := xxhash.Sum64(b.Bytes())
	if was, ok := h.w.states[s.Index()]; ok && was != sum {
		h.w.broken("states differ", "host %d at entry %d", h.number, s.Index())
	}
	h.w.states[s.Index()] = sum
}

// send takes a message to another host, as its bytes.
func (h *host) send(m *raftpb.Message) {
	w := h.w
	to := w.byMember(m.GetTo())
	if to == nil {
		return
	}
	if m.GetType() == raftpb.MsgVote && !w.clean && w.rng.IntN(6) == 0 {
		w.deafen(h, to) // one does not hear of an election
	}
	l := w.links[[2]int{h.number, to.number}]
	if l != nil && l.cut || w.rng.Float64() < w.net.loss {
		if m.GetType() == raftpb.MsgSnap {
			h.later(func() { h.node.ReportSnapshot(m.GetTo(), false) })
		}
		return
	}
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	if m.GetType() == raftpb.MsgVoteResp && !m.GetReject() && !w.clean && w.rng.IntN(4) == 0 {
		// It dies right after it voted, and is back while that election goes on; the one elected may not be heard.
		boot := h.boot
		if w.rng.IntN(2) == 0 {
			for _, x := range w.hosts {
				w.deafen(to, x)
			}
		}
		w.q.After(milli, func() {
			if h.boot == boot && h.node != nil && !h.retired && !h.joining {
				h.crash()
				h.start()
			}
		})
	}
	hello := h.node.Hello()
	copies := 1
	if w.rng.Float64() < w.net.double {
		copies = 2
	}
	for range copies {
		delay := 200 + w.rng.Int64N(2*milli)
		if w.rng.Float64() < w.net.delayed {
			delay += w.rng.Int64N(150 * milli)
		}
		w.q.After(delay, func() { to.receive(hello, h, b) })
	}
	if m.GetType() == raftpb.MsgSnap {
		h.later(func() { h.node.ReportSnapshot(m.GetTo(), true) })
	}
}

// deafen cuts a link one way for a while.
func (w *world) deafen(from, to *host) {
	l := w.link(from, to)
	l.cut = true
	w.q.After(200*milli+w.rng.Int64N(200*milli), func() { l.cut = false })
}

func (h *host) later(f func()) {
	boot := h.boot
	h.w.q.After(5*milli, func() {
		if h.boot == boot && h.node != nil {
			f()
		}
	})
}

func (h *host) receive(hello replica.Hello, from *host, b []byte) {
	if h.node == nil || h.paused {
		return
	}
	var m raftpb.Message
	if err := proto.Unmarshal(b, &m); err != nil {
		panic(err)
	}
	// Both sides judge the other's greeting, as they do when a connection comes up. Once links hold, a process greets once: what it
	// sends is not refused because a later answer of its overtook it.
	if h.w.clean && from.node != nil && from.node.Hello().Identity == hello.Identity {
		hello = from.node.Hello()
	}
	if err := h.node.Admit(hello); err != nil {
		h.w.r.Refused++
		return
	}
	if from.node != nil {
		if err := from.node.Admit(h.node.Hello()); err != nil {
			h.w.r.Refused++
			return
		}
	}
	h.node.Step(&m)
	h.drive()
}

// byMember finds the host whose disk is a member's. A member's place that an empty disk claims is that host's.
func (w *world) byMember(id uint64) *host {
	for _, h := range slices.Backward(w.hosts) {
		if h.disk.saved.Identity.MemberID == id && !h.retired {
			return h
		}
	}
	return nil
}

// up returns a host whose process runs, or nil.
func (w *world) up() *host {
	var up []*host
	for _, h := range w.hosts {
		if h.node != nil && !h.paused && !h.retired && !h.joining {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.rng.IntN(len(up))]
}

// propose gives a host a command; f is called once, also if the process ends before it answers.
func (h *host) propose(c store.Command, f func(replica.Completion)) {
	h.call(func(t replica.RequestToken) { h.node.Propose(t, &c) }, f)
}

func (h *host) read(f func(replica.Completion)) {
	h.call(func(t replica.RequestToken) { h.node.Read(t) }, f)
}

func (h *host) call(do func(replica.RequestToken), f func(replica.Completion)) {
	h.token++
	t, boot, answered := h.token, h.boot, false
	h.waits[t] = func(d replica.Completion) { answered = true; f(d) }
	if h.node == nil {
		h.w.q.After(1, func() { f(replica.Completion{Token: t, Err: replica.ErrNoLeader}) })
		return
	}
	do(t)
	h.drive()
	// The caller gives up on a process that is gone.
	var watch func()
	watch = func() {
		switch {
		case answered:
		case h.boot != boot:
			f(replica.Completion{Token: t, Err: replica.ErrOutcomeUnknown})
		default:
			h.w.q.After(100*milli, watch)
		}
	}
	h.w.q.After(100*milli, watch)
}
