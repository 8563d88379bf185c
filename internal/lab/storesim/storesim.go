// Package storesim simulates clusters of the replicated store in virtual time. Replicas, their disks, the network
// between them, their clocks, clients and operators are all driven by one seed, and the same seed gives the same run.
//
// The faults are crashes in any write, failing writes, disks that lose their data, links that are cut in one direction,
// slow, lossy or duplicating, clocks of different rates, paused processes, members that are added and removed, and
// disks that come back empty or with old contents. Each step checks that a term has one leader, that entries are
// applied in one order without gaps, that equal indexes mean equal states, that a server that is known to be excluded
// gets no requests, and that a renewed lease does not expire. At the end all faults are over except one disk, which
// fails permanently; the other replicas must answer meanwhile (failed.go). Then every request must have ended, and the
// history of all requests must be linearizable (Herlihy and Wing, 1990), which package porcupine checks.
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

// Options are the settings of a run. Zero values stand for the defaults named here: a cluster of three replicas that
// changes its members from time to time.
type Options struct {
	Replicas        int // at the start; default 3
	Clients         int // default 4
	Keys            int // that clients write; default 4
	Ops             int // requests of each client; default 60
	Faults          int // number of injected faults; default 24
	Gap             int // milliseconds between two faults; default 300
	ReplicaDefects  replica.Defects
	DaemonDefect    DaemonDefect
	Holders         int  // daemons that hold tasks; 0: none
	HolderTTLMillis int  // TTL of their sessions in milliseconds; default 400
	Calm            bool // injects no faults
	HolderDefects   HolderDefects
	Mixed           bool // hosts start with a build that knows command level 1, and change to this build and back
}

// fill sets the defaults.
func (o *Options) fill() {
	for _, x := range []struct {
		v *int
		d int
	}{{&o.Replicas, 3}, {&o.Clients, 4}, {&o.Keys, 4}, {&o.Ops, 60}, {&o.Faults, 24}, {&o.Gap, 300},
		{&o.HolderTTLMillis, 400}} {
		if *x.v == 0 {
			*x.v = x.d
		}
	}
	if o.Calm {
		o.Faults = 0
	}
}

// Result is the outcome of a run. Its JSON is part of the output of store sim and task sim.
type Result struct {
	Seed                uint64   `json:"seed"`
	Broken              []string `json:"broken"` // violations found, the first of each kind
	Ops                 int      `json:"ops"`
	Unknown             int      `json:"unknown"` // responses with an unknown outcome; the request was sent again
	Crashes             int      `json:"crashes"`
	Cuts                int      `json:"cuts"`
	Joined              int      `json:"joined"`
	Left                int      `json:"left"`
	Elected             int      `json:"elected"` // terms with a leader
	Snapshots           int      `json:"snapshots"`
	Installs            int      `json:"installs"`    // of snapshots from a leader
	HandshakesRefused   int      `json:"refused"`     // handshakes that failed replica.Node.Admit
	DrainsReported      int      `json:"drains_told"` // changes of the store that report a draining process
	DrainsEnded         int      `json:"drains_over"` // changes of the store that end a drain
	RequestsSent        int      `json:"sent"`        // requests that sidecars sent to servers
	Raised              int64    `json:"raised"`      // virtual ms until the cluster used command level 2; 0: never
	BuildChanges        int      `json:"steps"`       // changes of hosts between the two builds
	Actions             int      `json:"acts"`        // actions of task holders
	LateActions         int      `json:"late"`        // actions of stopped processes after one with a higher token
	FailureState        string   `json:"failed"`      // state of the replica whose disk failed at the end; empty: none
	WritesDuringFailure int      `json:"beside"`      // writes that the other replicas answered meanwhile
	SlowestWriteMicros  int64    `json:"slowest_us"`  // longest response time of those writes
	Entries             uint64   `json:"entries"`
	Micros              int64    `json:"virtual_us"`

	EntriesPerS float64 `json:"entries_per_s,omitempty"` // in the second half of a run without faults
	BytesPerS   float64 `json:"bytes_per_s,omitempty"`
	Events      int     `json:"events"`
	Trace       uint64  `json:"trace"` // hash of faults, requests, responses and the final state; equal for equal runs
}

const (
	milli        = int64(1000) // in microseconds
	tickMicros   = 10 * milli
	second       = eventqueue.Second
	maxRunMicros = 40 * second

	maxEvents = 200_000
)

type world struct {
	options        Options
	queue          *eventqueue.Queue
	rng            *rand.Rand
	result         Result
	hosts          []*host
	entryHashes    map[uint64]uint64 // hashes of the entries that any replica applied, by index
	lastIndex      uint64            // highest applied index
	entryBytes     int               // of all applied entries
	leaders        map[uint64]int    // number of the leading host, by term
	stateHashes    map[uint64]uint64 // hashes of the state, by index
	links          map[[2]int]*link  // by numbers of the sending and the receiving host
	faultsOver     bool              // no more faults are injected
	net            netFaults
	clients        []*client
	drainOperators []*drainOperator
	traceHash      *xxhash.Digest  // of Result.Trace
	reportedKinds  map[string]bool // of reported violations
	leaseUsers     []*leaseUser
	finished       bool
	holders        []*holder
	targets        *actionTargets
	servers        serverSim
	commandLevel   uint64 // command level that the cluster uses, by the log
	failedDisk     failedDisk
}

// netFaults are the probabilities of faults for a message between replicas.
type netFaults struct{ loss, duplicate, delayed float64 }

type link struct{ cut bool }

// host is a machine with a replica: its disk and, unless it is down, its process.
type host struct {
	world        *world
	number       int
	disk         *disk
	node         *replica.Node
	boot         int     // number of starts and crashes; events of an earlier process do nothing
	clockRate    float64 // of its clock, relative to true time
	paused       bool
	removed      bool // its member was removed
	inChange     bool // operators are adding, removing or replacing its member
	guard        *serverstate.Guard
	appliedIndex uint64
	pending      map[replica.RequestToken]func(replica.Completion) // handlers of open requests
	lastToken    replica.RequestToken
	exclusions   map[string]uint64 // revisions of the exclusions that this process was told of, by key

	daemon      *hostDaemon     // nil before the first start
	shownDrains map[string]bool // keys of drains that a copy on this disk has shown, but not their end
	restarting  bool
	caughtUp    bool // the guard was told that the copy is up to date
	seq         uint64
	oldBuild    bool // runs the build that knows command level 1 only
}

// Run simulates one seed. It is safe for concurrent use.
func Run(seed uint64, options Options) Result {
	options.fill()
	w := &world{options: options, queue: eventqueue.NewVirtual(), rng: rand.New(rand.NewPCG(seed, 0x6269726368)),
		entryHashes: map[uint64]uint64{}, leaders: map[uint64]int{}, stateHashes: map[uint64]uint64{},
		links: map[[2]int]*link{}, traceHash: xxhash.New(), reportedKinds: map[string]bool{}}
	w.result.Seed = seed
	w.failedDisk = failedDisk{world: w, rng: rand.New(rand.NewPCG(seed, 0x6661696c))}
	w.simulate()
	w.result.Micros, w.result.Trace = w.queue.Now(), w.traceHash.Sum64()
	w.result.Elected, w.result.Entries = len(w.leaders), w.lastIndex
	return w.result
}

// reportViolation adds a violation to the result, unless one of its kind is there already.
func (w *world) reportViolation(kind, format string, args ...any) {
	if !w.reportedKinds[kind] {
		w.reportedKinds[kind] = true
		w.result.Broken = append(w.result.Broken,
			fmt.Sprintf("%s at %d ms: %s", kind, w.queue.Now()/milli, fmt.Sprintf(format, args...)))
	}
}

func (w *world) config(h *host) replica.Config {
	return replica.Config{Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 1)), ElectionTicks: 10,
		TickMillis: int(tickMicros / milli), RequestTimeoutTicks: 60, SnapshotLogBytes: 2000,
		RetainedEntries: 8 + w.rng.IntN(40), MaxMessageBytes: 4096,
		Defects: w.options.ReplicaDefects, KnownLevel: h.knownLevel(),
		OnEntry: func(e *raftpb.Entry) { h.checkEntry(e) }}
}

// checkEntry checks each entry before it is applied.
func (h *host) checkEntry(e *raftpb.Entry) {
	w := h.world
	sum := xxhash.Sum64(append([]byte(fmt.Sprintf("%d %d ", e.GetTerm(), e.GetType())), e.Data...))
	if previous, ok := w.entryHashes[e.GetIndex()]; ok && previous != sum {
		w.reportViolation("order", "host %d applies another entry %d than was applied before", h.number, e.GetIndex())
	}
	if _, before := w.entryHashes[e.GetIndex()]; !before {
		w.entryBytes += len(e.Data)
	}
	w.entryHashes[e.GetIndex()] = sum
	h.observeLevel(e)
	w.lastIndex = max(w.lastIndex, e.GetIndex())
	if e.GetIndex() != h.appliedIndex+1 {
		w.reportViolation("hole", "host %d applies entry %d after %d", h.number, e.GetIndex(), h.appliedIndex)
	}
	h.appliedIndex = e.GetIndex()
}

// simulate sets up the cluster, its clients and the faults, and runs them.
func (w *world) simulate() {
	startAt := int64(w.options.Replicas) * 600 * milli
	w.startServers(startAt)
	first := w.addHost()
	if err := replica.Bootstrap(first.disk, 7, "r0", "r0",
		store.Limits{KeyBytes: 64, ValueBytes: 256, TotalBytes: 1 << 20, TxnOps: 16,
			HistoryEvents: max(200, 4*w.options.Holders),
			HistoryBytes:  1 << 16, Leases: 64 + 2*w.options.Holders, Results: 20000, Members: 7}); err != nil {
		panic(err)
	}
	first.start()
	for i := 1; i < w.options.Replicas; i++ {
		w.queue.After(int64(i)*400*milli, func() { w.addMember() })
	}
	for i := range w.options.Clients {
		c := &client{world: w, id: uint64(100 + i)}
		w.clients = append(w.clients, c)
		w.queue.After(startAt+w.rng.Int64N(50*milli), c.next)
	}
	for i := range 2 {
		l := &leaseUser{world: w, id: uint64(200 + i)}
		w.leaseUsers = append(w.leaseUsers, l)
		w.queue.After(startAt, l.grant)
	}
	for i := range 2 {
		u := &drainOperator{world: w, id: uint64(300 + i)}
		w.drainOperators = append(w.drainOperators, u)
		w.queue.After(startAt, u.next)
	}
	w.startHolders(startAt)
	keyLimits := &keyLimitClient{world: w, id: 500}
	w.queue.After(startAt, keyLimits.next)
	if w.options.Mixed {
		w.queue.After(startAt, w.changeBuild)
	}
	for i := range w.options.Faults {
		w.queue.After(startAt+int64(i+1)*w.gap()+w.rng.Int64N(200*milli), w.injectFault)
	}
	if w.options.Calm {
		w.measure(startAt)
	}
	w.queue.After(startAt+int64(w.options.Faults+2)*w.gap(), w.endFaults)
	w.run()
}

// run runs all events until endFaults finishes the run, or reports a standstill after maxRunMicros or maxEvents.
func (w *world) run() {
	scale := 1 + int(int64(w.options.Faults)*w.gap()/maxRunMicros) + w.options.Holders/4
	done := func() bool {
		w.result.Events++
		return w.finished || w.queue.Now() > maxRunMicros*int64(scale) || w.result.Events > maxEvents*scale
	}
	_ = w.queue.Run(context.Background(), done)
	if !w.finished {
		w.reportViolation("standstill", "requests are open: %s", w.describeOpen())
	}
	w.checkResults()
}

// measure counts the log's entries and bytes in the second half of a run without faults, when the cluster has settled.
func (w *world) measure(startAt int64) {
	var firstIndex uint64
	var firstBytes int
	w.queue.After(startAt+w.gap(), func() { firstIndex, firstBytes = w.lastIndex, w.entryBytes })
	w.queue.After(startAt+2*w.gap()-1, func() {
		seconds := float64(w.gap()) / float64(second)
		w.result.EntriesPerS, w.result.BytesPerS = float64(w.lastIndex-firstIndex)/seconds,
			float64(w.entryBytes-firstBytes)/seconds
	})
}

// gap returns the microseconds between two faults.
func (w *world) gap() int64 { return int64(w.options.Gap) * milli }

// describeOpen describes the open clients and the replicas, for the report of a standstill.
func (w *world) describeOpen() string {
	openClients, leaders := 0, 0
	for _, c := range w.clients {
		if !c.finished {
			openClients++
		}
	}
	for _, h := range w.hosts {
		if h.node != nil && h.node.Leading() {
			leaders++
		}
	}
	text := fmt.Sprintf("%d clients, %d leaders;", openClients, leaders)
	for _, h := range w.hosts {
		switch {
		case h.removed:
		case h.node == nil:
			text += fmt.Sprintf(" %d down", h.number)
		default:
			text += fmt.Sprintf(" %d applied %d", h.number, h.appliedIndex)
		}
	}
	return text
}

// requestsDone reports whether all faults are over and all clients have finished.
func (w *world) requestsDone() bool {
	for _, c := range w.clients {
		if !c.finished {
			return false
		}
	}
	return w.faultsOver
}

func (w *world) addHost() *host {
	h := &host{world: w, number: len(w.hosts), disk: newDisk(w.rng), clockRate: 0.9 + 0.2*w.rng.Float64(),
		shownDrains: map[string]bool{}, oldBuild: w.options.Mixed}
	w.hosts = append(w.hosts, h)
	return h
}

// start starts a process on the host's disk.
func (h *host) start() {
	w := h.world
	h.boot++
	h.disk.open()
	h.pending, h.paused = map[replica.RequestToken]func(replica.Completion){}, false
	n, err := replica.New(w.config(h), h.disk)
	if err != nil {
		if h.oldBuild && errors.Is(err, store.ErrUnknownCommand) { // as designed: operators start the newer build
			h.oldBuild = false
			h.restartLater()
			return
		}
		w.reportViolation("start", "host %d: %v", h.number, err)
		return
	}
	h.node, h.appliedIndex = n, n.State().Index()
	h.guard, h.exclusions = serverstate.NewGuard(fmt.Sprint(h.number)), map[string]uint64{}
	if w.options.ReplicaDefects&replica.EagerReturn != 0 {
		h.guard.InjectEagerReadmission()
	}
	h.restarting, h.caughtUp = true, false
	h.startDaemon()
	h.resetCopy()
	if w.options.DaemonDefect != IgnoreUncommitted {
		n.Uncommitted(func(c *store.Command) { h.guard.Uncommitted(c) })
	}
	h.restarting = false
	boot := h.boot
	var onTick func()
	onTick = func() {
		if h.boot != boot || h.node == nil || w.finished {
			return
		}
		if !h.paused {
			h.node.Tick()
			h.processNode()
			if h.boot == boot && h.node != nil {
				h.tickDaemon()
			}
		}
		w.queue.After(int64(float64(tickMicros)*h.clockRate), onTick)
	}
	w.queue.After(w.rng.Int64N(tickMicros), onTick)
}

// resetCopy takes over the whole state, after a start or an installed snapshot.
func (h *host) resetCopy() {
	if err := h.guard.Reset(h.node.State()); err != nil {
		h.world.reportViolation("guard", "host %d: %v", h.number, err)
	}
	for s := range h.exclusions {
		delete(h.exclusions, s)
	}
	h.node.State().Range(serverstate.ExclusionPrefix, store.PrefixEnd(serverstate.ExclusionPrefix), func(i store.Item) bool {
		h.exclusions[i.Key] = i.ModRevision
		return true
	})
	h.resetDrains()
	h.node.State().OnEvent(h.applyEvent)
}

// applyEvent handles a change of the state.
func (h *host) applyEvent(e store.Event) {
	h.guard.Apply(e)
	if e.Deleted {
		delete(h.exclusions, e.Item.Key)
	} else if len(e.Item.Key) > 4 && e.Item.Key[:4] == serverstate.ExclusionPrefix {
		h.exclusions[e.Item.Key] = e.Revision
	}
	h.observeDrainEvent(e)
	for _, l := range h.world.leaseUsers {
		l.checkEvent(e)
	}
}

// checkExclusions checks that the guard excludes every server that this process knows to be excluded.
func (h *host) checkExclusions() {
	for _, u := range h.world.drainOperators {
		for key, at := range u.observed {
			if at.host == h.number && at.boot == h.boot && !h.guard.Excluded(at.server) {
				h.world.reportViolation("stale drain", "host %d lets %s serve, which it heard to be out", h.number, key)
			}
		}
	}
	for key := range h.exclusions {
		if !h.guard.Excluded(key[len("out/drain/"):]) {
			h.world.reportViolation("stale drain", "host %d lets serve what its copy says is out: %s", h.number, key)
		}
	}
}

// crash ends the process, which loses what it had not written.
func (h *host) crash() {
	h.boot++
	h.node = nil
	h.world.result.Crashes++
	h.disk.closeCrashed()
}

// processNode runs the node's pending work, and handles its output.
func (h *host) processNode() {
	n, w := h.node, h.world
	if n == nil {
		return
	}
	out := n.Process()
	if n.Leading() && n.Failed() == nil {
		term := n.Term()
		if previous, ok := w.leaders[term]; ok && previous != h.number {
			w.reportViolation("two leaders", "term %d is led by hosts %d and %d", term, previous, h.number)
		}
		w.leaders[term] = h.number
	}
	for _, m := range out.Messages {
		h.send(m)
	}
	if out.StateReplaced {
		w.result.Installs++
		h.appliedIndex = n.State().Index()
		h.resetCopy()
	}
	if !h.caughtUp && n.CaughtUp() {
		h.caughtUp = true
		h.guard.CaughtUp()
	}
	if out.AppliedEntries > 0 || out.StateReplaced {
		h.checkExclusions()
		h.compareState()
		h.checkKeyLimit()
	}
	for _, d := range out.Completions {
		if f := h.pending[d.Token]; f != nil {
			delete(h.pending, d.Token)
			f(d)
		}
	}
	if j := out.Snapshot; j != nil {
		w.result.Snapshots++
		boot := h.boot
		w.queue.After(w.rng.Int64N(60*milli), func() {
			if h.boot == boot && h.node != nil {
				h.node.SnapshotDone(j, j.Run())
				h.processNode()
			}
		})
	}
	if err := n.Failed(); err != nil && h.node == n {
		if h.disk.failed && h == w.failedDisk.victim {
			return // failedDisk restarts it later
		}
		if h.oldBuild && errors.Is(err, store.ErrUnknownCommand) {
			if w.commandLevel < store.Level {
				w.reportViolation("level",
					"host %d was sent what its build does not know, and the cluster uses level %d: %v", h.number,
					w.commandLevel, err)
			}
			h.oldBuild = false // it stopped before it applied the unknown command, so operators start the newer build
		}
		if h.disk.failed || h.disk.crashed || h.removed || h.inChange ||
			w.options.Mixed && errors.Is(err, store.ErrUnknownCommand) {
			h.crash() // as its supervisor does, which starts it again
			h.restartLater()
			return
		}
		if w.options.ReplicaDefects == 0 {
			w.reportViolation("stopped", "host %d: %v", h.number, err)
		}
		h.crash()
		h.restartLater()
	}
}

// restartLater starts the process after a random delay.
func (h *host) restartLater() {
	boot := h.boot
	after := h.world.rng.Int64N(800 * milli)
	if h.world.rng.IntN(2) == 0 {
		after /= 32 // soon, within the election in which it voted
	}
	h.world.queue.After(after, func() {
		if h.boot == boot && h.node == nil && !h.removed {
			h.start()
		}
	})
}

// compareState compares the state with that of other replicas at the same index.
func (h *host) compareState() {
	s := h.node.State()
	if s.Index()%16 != 0 {
		return
	}
	var b bytes.Buffer
	if err := s.Save(&b); err != nil {
		panic(err)
	}
	sum := xxhash.Sum64(b.Bytes())
	if previous, ok := h.world.stateHashes[s.Index()]; ok && previous != sum {
		h.world.reportViolation("states differ", "host %d at entry %d", h.number, s.Index())
	}
	h.world.stateHashes[s.Index()] = sum
}

// send sends a message to another host in its encoded form.
func (h *host) send(m *raftpb.Message) {
	w := h.world
	to := w.hostOfMember(m.GetTo())
	if to == nil {
		return
	}
	if m.GetType() == raftpb.MsgVote && !w.faultsOver && w.rng.IntN(6) == 0 {
		w.cutLinkBriefly(h, to) // the receiver misses the election
	}
	l := w.links[[2]int{h.number, to.number}]
	if l != nil && l.cut || w.rng.Float64() < w.net.loss {
		if m.GetType() == raftpb.MsgSnap {
			h.afterDelay(func() { h.node.ReportSnapshot(m.GetTo(), false) })
		}
		return
	}
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	if m.GetType() == raftpb.MsgVoteResp && !m.GetReject() && !w.faultsOver && w.rng.IntN(4) == 0 {
		// The voter crashes right after its vote and is back during the same election. The candidate's messages may be
		// lost.
		boot := h.boot
		if w.rng.IntN(2) == 0 {
			for _, x := range w.hosts {
				w.cutLinkBriefly(to, x)
			}
		}
		w.queue.After(milli, func() {
			if h.boot == boot && h.node != nil && !h.removed && !h.inChange {
				h.crash()
				h.start()
			}
		})
	}
	hello := h.node.Hello()
	copies := 1
	if w.rng.Float64() < w.net.duplicate {
		copies = 2
	}
	for range copies {
		delay := 200 + w.rng.Int64N(2*milli)
		if w.rng.Float64() < w.net.delayed {
			delay += w.rng.Int64N(150 * milli)
		}
		w.queue.After(delay, func() { to.receive(hello, h, data) })
	}
	if m.GetType() == raftpb.MsgSnap {
		h.afterDelay(func() { h.node.ReportSnapshot(m.GetTo(), true) })
	}
}

// cutLinkBriefly cuts a link in one direction for 200 to 400 ms.
func (w *world) cutLinkBriefly(from, to *host) {
	l := w.link(from, to)
	l.cut = true
	w.queue.After(200*milli+w.rng.Int64N(200*milli), func() { l.cut = false })
}

// afterDelay calls f after 5 ms, unless the process has ended by then.
func (h *host) afterDelay(f func()) {
	boot := h.boot
	h.world.queue.After(5*milli, func() {
		if h.boot == boot && h.node != nil {
			f()
		}
	})
}

// receive handles an encoded message and the sender's handshake at the time it was sent.
func (h *host) receive(hello replica.Hello, from *host, data []byte) {
	if h.node == nil || h.paused {
		return
	}
	var m raftpb.Message
	if err := proto.Unmarshal(data, &m); err != nil {
		panic(err)
	}
	// Both sides check the other's handshake, as they do when a connection is established. Once faults are over, links
	// stay up and a process sends one handshake only, so a message is not refused because a later one overtook it.
	if h.world.faultsOver && from.node != nil && from.node.Hello().Identity == hello.Identity {
		hello = from.node.Hello()
	}
	if err := h.node.Admit(hello); err != nil {
		h.world.result.HandshakesRefused++
		return
	}
	if from.node != nil {
		if err := from.node.Admit(h.node.Hello()); err != nil {
			h.world.result.HandshakesRefused++
			return
		}
	}
	h.node.Step(&m)
	h.processNode()
}

// hostOfMember returns the host whose disk belongs to a member, or nil. A host with an empty disk in place of the
// member's counts as well.
func (w *world) hostOfMember(id uint64) *host {
	for _, h := range slices.Backward(w.hosts) {
		if h.disk.contents.Identity.MemberID == id && !h.removed {
			return h
		}
	}
	return nil
}

// randomUpHost returns a random host whose process runs, or nil.
func (w *world) randomUpHost() *host {
	var up []*host
	for _, h := range w.hosts {
		if h.node != nil && !h.paused && !h.removed && !h.inChange {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.rng.IntN(len(up))]
}

// propose proposes a command at the host. It calls handle once, also if the process ends before it responds.
func (h *host) propose(c store.Command, handle func(replica.Completion)) {
	h.call(func(t replica.RequestToken) { h.node.Propose(t, &c) }, handle)
}

// read starts a linearizable read at the host, and calls handle as propose does.
func (h *host) read(handle func(replica.Completion)) {
	h.call(func(t replica.RequestToken) { h.node.Read(t) }, handle)
}

// call submits a request to the node, and calls handle once, with an unknown outcome if the process ends before.
func (h *host) call(submit func(replica.RequestToken), handle func(replica.Completion)) {
	h.lastToken++
	t, boot, answered := h.lastToken, h.boot, false
	h.pending[t] = func(d replica.Completion) { answered = true; handle(d) }
	if h.node == nil {
		h.world.queue.After(1, func() { handle(replica.Completion{Token: t, Err: replica.ErrNoLeader}) })
		return
	}
	submit(t)
	h.processNode()
	// The caller's connection breaks when the process ends.
	var checkProcess func()
	checkProcess = func() {
		switch {
		case answered:
		case h.boot != boot:
			handle(replica.Completion{Token: t, Err: replica.ErrOutcomeUnknown})
		default:
			h.world.queue.After(100*milli, checkProcess)
		}
	}
	h.world.queue.After(100*milli, checkProcess)
}
