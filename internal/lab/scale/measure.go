package scale

import (
	"cmp"
	"context"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"birchmoor/internal/store/usage"
)

// Roles of processes, which are measured separately. A replica counts as leader or voter, whichever it is at the time;
// the process that allocates the shares of limits counts as allocator as well. Figures are for one process, and for one
// sidecar with RoleStub and RoleDiscovery.
const (
	RoleLeader    = "leader"
	RoleVoter     = "voter"
	RoleAllocator = "divider"
	RoleReal      = "sidecar (real)"
	RoleStub      = "sidecar (hollow)"
	RoleDiscovery = "discovery"          // stub discovery servers
	RoleLinks     = "links (of the rig)" // links of a zone: a cost of the simulation, which a real fleet does not have
)

// Role holds the cost of one role: figures by name, such as cpu (share of a core), bytes_in and bytes_in.sessions (per
// second) and heap_mb.
type Role map[string]Spread

// Spread is the distribution of a figure over processes and seconds.
type Spread struct {
	Mean  float64 `json:"mean"`
	P99   float64 `json:"p99"`
	Worst float64 `json:"worst"`
}

// instantFigures are the figures that hold at an instant; all others are rates per second.
var instantFigures = map[string]bool{"resident_mb": true, "heap_mb": true, "descriptors": true, "goroutines": true}

// sampler reads the usage of all processes once a second, between start and stop.
type sampler struct {
	run    *run
	cancel context.CancelFunc
	done   chan struct{}

	latest      map[string]usage.Reading       // by process
	first       map[string]usage.Reading       // by process
	samples     map[string]map[string][]sample // by role and figure
	startedAt   time.Time
	cpuAtStart  [2]uint64 // see cpuTimes
	endedAt     time.Time
	cpuAtEnd    [2]uint64
	firstStore  storeState // zero until a leader was read
	latestStore storeState
	leader      int    // index of the replica that leads; -1 if not known
	allocator   string // name of the daemon that allocates limits; "" if not known
	listBytes   uint64 // sent by the stub discovery servers
	listBytesAt time.Time

	mu      sync.Mutex // guards first, latest and skipped
	skipped []*process // stopped processes, which would not answer in time
}

// setSkipped sets the processes that are not read; nil: all are read.
func (s *sampler) setSkipped(processes []*process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipped = processes
}

// sample is the value of a figure between two readings of a process, for one of its sidecars. The weight is their
// number.
type sample struct{ value, weight float64 }

// storeState is the state of the store at its leader.
type storeState struct {
	revision, applied uint64
	keys, bytes       int
}

func newSampler(r *run) *sampler { return &sampler{run: r} }

// start begins a measurement; stop ends it.
func (s *sampler) start(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.done, s.latest, s.first, s.samples = make(chan struct{}), map[string]usage.Reading{}, map[string]usage.Reading{},
		map[string]map[string][]sample{}
	s.startedAt, s.leader = time.Now(), -1
	s.cpuAtStart, s.firstStore, s.latestStore = cpuTimes(), storeState{}, storeState{}
	s.listBytesAt = time.Time{}
	go func() {
		defer close(s.done)
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for n := 0; ; n++ {
			s.readAll(ctx, n)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	}()
}

func (s *sampler) stop() *sampler {
	s.cancel()
	<-s.done
	s.endedAt, s.cpuAtEnd = time.Now(), cpuTimes()
	return s
}

// readAll reads the usage of every process and adds the samples. round counts the calls.
func (s *sampler) readAll(ctx context.Context, round int) {
	fleetRun := s.run
	var mu sync.Mutex
	var wg sync.WaitGroup
	readings := map[string]usage.Reading{}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	for i, d := range fleetRun.fleet.Daemons {
		wg.Go(func() {
			reading, err := d.Client.Usage(ctx)
			if err != nil {
				return
			}
			mu.Lock()
			readings[d.Name()] = reading
			mu.Unlock()
			if i >= fleetRun.options.Replicas {
				return
			}
			if status, err := d.Client.Status(ctx); err == nil && status.Leading {
				mu.Lock()
				s.leader, s.latestStore = i, storeState{status.Revision, status.Applied, status.Keys, status.Bytes}
				if s.firstStore == (storeState{}) {
					s.firstStore = s.latestStore
				}
				mu.Unlock()
			}
			if i == int(fleetRun.adminReplica.Load()) && round%5 == 0 {
				if tasks, err := d.Client.Tasks(ctx, "limits"); err == nil && len(tasks) > 0 &&
					len(tasks[0].Queue) > 0 &&
					tasks[0].Queue[0].Holds {
					mu.Lock()
					s.allocator = tasks[0].Queue[0].Host
					mu.Unlock()
				}
			}
		})
	}
	stubs := fleetRun.stubProcesses()
	processes := slices.Concat(stubs, fleetRun.links)
	s.mu.Lock()
	skipped := s.skipped
	s.mu.Unlock()
	for _, p := range processes {
		if !p.running() || slices.Contains(skipped, p) {
			continue
		}
		wg.Go(func() {
			if reply, err := p.call(ctx, command{Name: "read"}); err == nil && reply.Usage != nil {
				mu.Lock()
				readings[p.name] = *reply.Usage
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for i, d := range fleetRun.fleet.Daemons {
		role := RoleReal
		switch {
		case i < fleetRun.options.Replicas && i == s.leader:
			role = RoleLeader
		case i < fleetRun.options.Replicas:
			role = RoleVoter
		}
		if reading, ok := readings[d.Name()]; ok {
			previous, hasPrevious := s.latest[d.Name()]
			s.addReading(role, previous, reading, hasPrevious, 1)
			if d.Name() == s.allocator {
				s.addReading(RoleAllocator, previous, reading, hasPrevious, 1)
			}
		}
	}
	for _, p := range processes {
		if reading, ok := readings[p.name]; ok {
			previous, hasPrevious := s.latest[p.name]
			if len(p.sidecars) > 0 {
				s.addReading(RoleStub, previous, reading, hasPrevious, float64(len(p.sidecars)))
			} else {
				s.addReading(RoleLinks, previous, reading, hasPrevious, 1)
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, reading := range readings {
		if _, ok := s.first[name]; !ok {
			s.first[name] = reading
		}
		s.latest[name] = reading
	}
	var listBytes uint64
	for _, b := range fleetRun.discoveryServers {
		listBytes += b.BytesSent()
	}
	now := time.Now()
	if dt := now.Sub(s.listBytesAt).Seconds(); !s.listBytesAt.IsZero() &&
		fleetRun.options.Sidecars > fleetRun.options.Real {
		s.addSample(RoleDiscovery, "bytes_out.list",
			float64(listBytes-s.listBytes)/dt/float64(fleetRun.options.Sidecars-fleetRun.options.Real), 1)
	}
	s.listBytes, s.listBytesAt = listBytes, now
}

func (s *sampler) addSample(role, name string, v, weight float64) {
	if s.samples[role] == nil {
		s.samples[role] = map[string][]sample{}
	}
	s.samples[role][name] = append(s.samples[role][name], sample{v, weight})
}

// addReading adds the samples of a process from its previous and present readings, for each of its sidecars. Without a
// previous reading only figures of an instant are added.
func (s *sampler) addReading(role string, previous, reading usage.Reading, hasPrevious bool, sidecars float64) {
	const mb = 1 << 20
	usedByProcess := reading.Process
	s.addSample(role, "resident_mb", float64(usedByProcess.ResidentBytes)/mb/sidecars, sidecars)
	s.addSample(role, "heap_mb", float64(usedByProcess.HeapBytes)/mb/sidecars, sidecars)
	s.addSample(role, "descriptors", float64(usedByProcess.Descriptors)/sidecars, sidecars)
	s.addSample(role, "goroutines", float64(usedByProcess.Goroutines)/sidecars, sidecars)
	seconds := reading.Seconds - previous.Seconds
	if !hasPrevious || seconds < 0.2 { // a restarted process, or a delayed reading
		return
	}
	rate := func(name string, a, b uint64) float64 {
		v := float64(b-min(a, b)) / seconds / sidecars
		s.addSample(role, name, v, sidecars)
		return v
	}
	cpu := usedByProcess.CPUUserSeconds + usedByProcess.CPUSystemSeconds -
		previous.Process.CPUUserSeconds - previous.Process.CPUSystemSeconds
	s.addSample(role, "cpu", max(0, cpu)/seconds/sidecars, sidecars)
	rate("bytes_in", previous.Connections.BytesIn, reading.Connections.BytesIn)
	rate("bytes_out", previous.Connections.BytesOut, reading.Connections.BytesOut)
	var in, out, applied float64
	for i, counted := range reading.Purposes {
		before := previous.Purposes[i]
		in += rate("messages_in."+counted.Purpose, before.MessagesIn, counted.MessagesIn)
		out += rate("messages_out."+counted.Purpose, before.MessagesOut, counted.MessagesOut)
		rate("bytes_in."+counted.Purpose, before.BytesIn, counted.BytesIn)
		rate("bytes_out."+counted.Purpose, before.BytesOut, counted.BytesOut)
		applied += rate("entries."+counted.Purpose, before.Applied, counted.Applied)
	}
	s.addSample(role, "messages_in", in, sidecars)
	s.addSample(role, "messages_out", out, sidecars)
	s.addSample(role, "entries", applied, sidecars)
	var syncs, bytes float64
	for i, counted := range reading.Written {
		syncs += rate("syncs."+counted.File, previous.Written[i].Syncs, counted.Syncs)
		bytes += rate("disk."+counted.File, previous.Written[i].Bytes, counted.Bytes)
	}
	s.addSample(role, "syncs", syncs, sidecars)
	s.addSample(role, "disk", bytes, sidecars)
}

func (s *sampler) seconds() float64 { return s.endedAt.Sub(s.startedAt).Seconds() }

// busy returns the share of the machine's CPU time that was used, by any process.
func (s *sampler) busy() float64 {
	if all := s.cpuAtEnd[1] - s.cpuAtStart[1]; all > 0 {
		return float64(s.cpuAtEnd[0]-s.cpuAtStart[0]) / float64(all)
	}
	return 0
}

// cpuTimes returns the busy and the total CPU time of the machine since its boot, in ticks. Both are 0 if they cannot
// be read.
func cpuTimes() (times [2]uint64) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return times
	}
	line, _, _ := strings.Cut(string(text), "\n")
	for i, f := range strings.Fields(line)[1:] {
		n, _ := strconv.ParseUint(f, 10, 64) // the kernel writes numbers only
		if times[1] += n; i != 3 && i != 4 {
			times[0] += n
		}
	}
	return times
}

// roles summarises the samples by role. Figures that are always 0 are left out.
func (s *sampler) roles() map[string]Role {
	all := map[string]Role{}
	for role, figures := range s.samples {
		all[role] = Role{}
		for name, list := range figures {
			slices.SortFunc(list, func(a, b sample) int { return cmp.Compare(a.value, b.value) })
			var sum, weight float64
			for _, x := range list {
				sum, weight = sum+x.value*x.weight, weight+x.weight
			}
			if spread := (Spread{sum / weight, list[min(len(list)-1, len(list)*99/100)].value,
				list[len(list)-1].value}); spread.Worst > 0 {
				all[role][name] = spread
			}
		}
	}
	return all
}

// counts returns totals since start: entries applied by the replica that applied the most of a purpose, and messages
// and bytes of all stub sidecars together.
func (s *sampler) counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counts{Applied: map[string]uint64{}, In: map[string]uint64{}, Out: map[string]uint64{},
		Read: map[string]uint64{}, Sent: map[string]uint64{}, RealOut: map[string]uint64{}}
	eachPurpose := func(name string, f func(latest, previous *usage.PurposeUsage)) (seconds float64) {
		previous, latest := s.first[name], s.latest[name]
		for i := range previous.Purposes {
			f(&latest.Purposes[i], &previous.Purposes[i])
		}
		return latest.Seconds - previous.Seconds
	}
	for i, d := range s.run.fleet.Daemons {
		c.Seconds = max(c.Seconds, eachPurpose(d.Name(), func(latest, previous *usage.PurposeUsage) {
			if i < s.run.options.Replicas {
				c.Applied[latest.Purpose] = max(c.Applied[latest.Purpose], latest.Applied-previous.Applied)
			} else {
				c.RealOut[latest.Purpose] += latest.MessagesOut - previous.MessagesOut
			}
		}))
	}
	for _, p := range s.run.stubProcesses() {
		c.Seconds = max(c.Seconds, eachPurpose(p.name, func(latest, previous *usage.PurposeUsage) {
			c.In[latest.Purpose] += latest.MessagesIn - previous.MessagesIn
			c.Out[latest.Purpose] += latest.MessagesOut - previous.MessagesOut
			c.Read[latest.Purpose] += latest.BytesIn - previous.BytesIn
			c.Sent[latest.Purpose] += latest.BytesOut - previous.BytesOut
		}))
	}
	return c
}

func (s *sampler) store() Store {
	seconds := s.seconds()
	return Store{Keys: s.latestStore.keys, Bytes: s.latestStore.bytes,
		Entries:   float64(s.latestStore.applied-min(s.latestStore.applied, s.firstStore.applied)) / seconds,
		Revisions: float64(s.latestStore.revision-min(s.latestStore.revision, s.firstStore.revision)) / seconds}
}

// Result is the result of a run with one size of fleet.
type Result struct {
	Sidecars       int     `json:"sidecars"`
	Real           int     `json:"real"`
	Replicas       int     `json:"replicas"`
	Services       int     `json:"services"`
	Seed           uint64  `json:"seed"`
	Processes      int     `json:"processes"`
	StartupSeconds float64 `json:"began_s"` // from the start of the first sidecar until the fleet had converged
	Seconds        float64 `json:"seconds"` // length of the quiet phase
	// stub sidecars that had converged at its end or within a minute of it
	Converged     int             `json:"right"`
	Busy          float64         `json:"busy"`   // share of the machine's CPU time during the quiet phase
	FailedChanges int             `json:"failed"` // changes of the settings that failed
	Store         Store           `json:"store"`
	Roles         map[string]Role `json:"roles"`
	Counts        Counts          `json:"counts"`
	StubAccuracy  []RealStubPair  `json:"honest,omitempty"`
	Settings      AdoptionDelays  `json:"settings"`

	Burst      *AdoptionDelays `json:"burst,omitempty"`
	BurstRoles map[string]Role `json:"burst_roles,omitempty"`
	Fault      *FaultResult    `json:"fault,omitempty"`
	Took       float64         `json:"took_s"`
}

// Counts holds totals of the quiet phase, by purpose.
type Counts struct {
	Seconds float64           `json:"seconds"`
	Applied map[string]uint64 `json:"applied"`  // log entries
	In      map[string]uint64 `json:"in"`       // messages to all stub sidecars together
	Out     map[string]uint64 `json:"out"`      // messages from all stub sidecars together
	Read    map[string]uint64 `json:"read"`     // bytes of the messages in In
	Sent    map[string]uint64 `json:"sent"`     // bytes of the messages in Out
	RealOut map[string]uint64 `json:"real_out"` // messages from all real sidecars together
}

// Store holds the size of the store and the growth of its log. Entries and Revisions are per second.
type Store struct {
	Keys      int     `json:"keys"`
	Bytes     int     `json:"bytes"`
	Entries   float64 `json:"entries"`
	Revisions float64 `json:"revisions"`
}

// FaultResult holds the cost of a fault.
type FaultResult struct {
	Name               string  `json:"name"`
	What               string  `json:"what"`
	ConvergenceSeconds float64 `json:"right_s"` // from the end of the fault until the fleet had converged
	// Copies counts the snapshots that stub sidecars received during the measurement.
	Copies  uint64          `json:"copies"`
	Missed  string          `json:"missed,omitempty"` // why the fleet did not converge; "" if it did
	Seconds float64         `json:"seconds"`          // length of the measurement
	Roles   map[string]Role `json:"roles"`
}

// RealStubPair compares the mean of a figure between the real sidecars and the stub sidecars.
type RealStubPair struct {
	Figure string  `json:"figure"`
	Real   float64 `json:"real"`
	Stub   float64 `json:"hollow"`
	Ratio  float64 `json:"ratio"` // stub over real; 0 if the real value is 0
}

// compareRealWithStubs compares the means of the figures that should agree if stub sidecars behave as real ones do.
func compareRealWithStubs(real, stubs Role) (pairs []RealStubPair) {
	if real == nil || stubs == nil {
		return nil
	}
	names := []string{"cpu", "heap_mb", "resident_mb", "bytes_in", "bytes_out", "messages_in", "messages_out", "disk",
		"syncs"}
	for _, p := range []string{"sessions", "words", "pictures", "settings", "shares", "tasks", "beats", "requests"} {
		names = append(names, "bytes_in."+p, "bytes_out."+p)
	}
	for _, n := range names {
		a, b := real[n].Mean, stubs[n].Mean
		if a > 0 || b > 0 {
			p := RealStubPair{Figure: n, Real: a, Stub: b}
			if a > 0 {
				p.Ratio = b / a
			}
			pairs = append(pairs, p)
		}
	}
	return pairs
}

// AdoptionDelays is the distribution of the time from an operator's change of the settings until a stub sidecar has
// adopted them, or newer ones.
type AdoptionDelays struct {
	Changes int     `json:"changes"`
	N       int     `json:"n"`       // adoptions, over sidecars and changes
	Missing int     `json:"missing"` // adoptions that had not happened yet
	Put     float64 `json:"put_s"`   // mean time until the operator's change was answered
	P50     float64 `json:"p50_s"`
	P99     float64 `json:"p99_s"`
	Worst   float64 `json:"worst_s"`
}

// settingsChanges records when settings were changed and when stub sidecars adopted them. Any goroutine may use it.
type settingsChanges struct {
	mu            sync.Mutex
	written       map[int][2]time.Time       // by version: when the change was sent and answered
	adoptions     map[int][]settingsAdoption // by sidecar
	baseVersion   int                        // the newest version at the last reset
	newestVersion int
}

func newSettingsChanges() *settingsChanges {
	return &settingsChanges{written: map[int][2]time.Time{}, adoptions: map[int][]settingsAdoption{}}
}

func (c *settingsChanges) recordChange(version int, asked, answered time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written[version] = [2]time.Time{asked, answered}
	c.newestVersion = max(c.newestVersion, version)
}

func (c *settingsChanges) recordAdoption(f settingsAdoption) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adoptions[f.Sidecar] = append(c.adoptions[f.Sidecar], f)
}

// newest returns the version of the newest settings.
func (c *settingsChanges) newest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestVersion
}

// reset excludes the changes and adoptions so far from later results.
func (c *settingsChanges) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.baseVersion = c.newestVersion
	clear(c.adoptions)
}

// result summarises the adoptions since the last reset. A sidecar has adopted a change with the first settings that
// have its version or a newer one.
func (c *settingsChanges) result(sidecars int) (summary AdoptionDelays) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var delays []float64
	for version := c.baseVersion + 1; version <= c.newestVersion; version++ {
		put, ok := c.written[version]
		if !ok {
			continue
		}
		summary.Changes++
		summary.Put += put[1].Sub(put[0]).Seconds()
		for _, ofSidecar := range c.adoptions {
			adoptedAtNanos := int64(0)
			for _, adoption := range ofSidecar {
				if adoption.Version >= version && (adoptedAtNanos == 0 || adoption.AtNanos < adoptedAtNanos) {
					adoptedAtNanos = adoption.AtNanos
				}
			}
			if adoptedAtNanos != 0 {
				delays = append(delays, float64(adoptedAtNanos-put[0].UnixNano())/1e9)
			}
		}
	}
	if summary.Changes > 0 {
		summary.Put /= float64(summary.Changes)
	}
	summary.N, summary.Missing = len(delays), summary.Changes*sidecars-len(delays)
	if slices.Sort(delays); len(delays) > 0 {
		summary.P50, summary.P99, summary.Worst = delays[len(delays)/2], delays[min(len(delays)-1, len(delays)*99/100)],
			delays[len(delays)-1]
	}
	return summary
}
