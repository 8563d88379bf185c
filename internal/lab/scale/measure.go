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

// Roles by which a run counts apart. A replica is leader or voter by who leads at the time; the one that divides limits counts as
// divider besides. Figures are of one process, and of RoleHollow of one sidecar.
const (
	RoleLeader  = "leader"
	RoleVoter   = "voter"
	RoleDivider = "divider"
	RoleReal    = "sidecar (real)"
	RoleHollow  = "sidecar (hollow)"
	RoleList    = "discovery"          // the stand-in: of one sidecar
	RoleLinks   = "links (of the rig)" // a zone's: what they take is the machine's, and no role's of a fleet
)

// Role is what one role costs: figures by name, such as cpu (part of a core), bytes_in and bytes_in.sessions (a second), heap_mb.
type Role map[string]Spread

// Spread is how a figure lies over processes and seconds.
type Spread struct {
	Mean  float64 `json:"mean"`
	P99   float64 `json:"p99"`
	Worst float64 `json:"worst"`
}

// levels are figures that stand at an instant; all others are by second.
var levels = map[string]bool{"resident_mb": true, "heap_mb": true, "descriptors": true, "goroutines": true}

// sampler reads all processes once a second.
type sampler struct {
	r      *run
	cancel context.CancelFunc
	done   chan struct{}

	last    map[string]usage.Reading // by process
	firsts  map[string]usage.Reading
	samples map[string]map[string][]sample
	at      time.Time
	cpu     [2]uint64 // of the machine, busy and all, at the beginning
	ended   time.Time
	now     [2]uint64
	first   stored
	stored  stored
	lead    int
	divider string
	sent    uint64
	sentAt  time.Time

	mu     sync.Mutex // of firsts, last and passed
	passed []*process // that are stopped, and would answer late
}

// passOver has processes not be read; nil: all are.
func (s *sampler) passOver(all []*process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passed = all
}

// sample is a figure of a process over some seconds, for so many sidecars.
type sample struct{ v, weight float64 }

// stored is how the store stands.
type stored struct {
	revision, applied uint64
	keys, bytes       int
}

func newSampler(r *run) *sampler { return &sampler{r: r} }

// begin begins to count; end ends it.
func (s *sampler) begin(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.done, s.last, s.firsts, s.samples = make(chan struct{}), map[string]usage.Reading{}, map[string]usage.Reading{}, map[string]map[string][]sample{}
	s.at, s.lead = time.Now(), -1
	s.cpu, s.first, s.stored = machine(), stored{}, stored{}
	s.sentAt = time.Time{}
	go func() {
		defer close(s.done)
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for n := 0; ; n++ {
			s.look(ctx, n)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	}()
}

func (s *sampler) end() *sampler {
	s.cancel()
	<-s.done
	s.ended, s.now = time.Now(), machine()
	return s
}

// look reads every process.
func (s *sampler) look(ctx context.Context, n int) {
	r := s.r
	var mu sync.Mutex
	var wg sync.WaitGroup
	took := map[string]usage.Reading{}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	for i, d := range r.fleet.Daemons {
		wg.Go(func() {
			x, err := d.Client.Usage(ctx)
			if err != nil {
				return
			}
			mu.Lock()
			took[d.Name()] = x
			mu.Unlock()
			if i >= r.o.Replicas {
				return
			}
			if st, err := d.Client.Status(ctx); err == nil && st.Leading {
				mu.Lock()
				s.lead, s.stored = i, stored{st.Revision, st.Applied, st.Keys, st.Bytes}
				if s.first == (stored{}) {
					s.first = s.stored
				}
				mu.Unlock()
			}
			if i == int(r.entry.Load()) && n%5 == 0 {
				if all, err := d.Client.Tasks(ctx, "limits"); err == nil && len(all) > 0 && len(all[0].Queue) > 0 && all[0].Queue[0].Holds {
					mu.Lock()
					s.divider = all[0].Queue[0].Host
					mu.Unlock()
				}
			}
		})
	}
	hollow := r.processes()
	all := slices.Concat(hollow, r.links)
	s.mu.Lock()
	passed := s.passed
	s.mu.Unlock()
	for _, p := range all {
		if !p.runs() || slices.Contains(passed, p) {
			continue
		}
		wg.Go(func() {
			if w, err := p.tell(ctx, order{Do: "read"}); err == nil && w.Read != nil {
				mu.Lock()
				took[p.name] = *w.Read
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for i, d := range r.fleet.Daemons {
		role := RoleReal
		switch {
		case i < r.o.Replicas && i == s.lead:
			role = RoleLeader
		case i < r.o.Replicas:
			role = RoleVoter
		}
		if x, ok := took[d.Name()]; ok {
			was, before := s.last[d.Name()]
			s.add(role, was, x, before, 1)
			if d.Name() == s.divider {
				s.add(RoleDivider, was, x, before, 1)
			}
		}
	}
	for _, p := range all {
		if x, ok := took[p.name]; ok {
			was, before := s.last[p.name]
			if len(p.of) > 0 {
				s.add(RoleHollow, was, x, before, float64(len(p.of)))
			} else {
				s.add(RoleLinks, was, x, before, 1)
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, x := range took {
		if _, ok := s.firsts[name]; !ok {
			s.firsts[name] = x
		}
		s.last[name] = x
	}
	var sent uint64
	for _, b := range r.boards {
		sent += b.BytesSent()
	}
	now := time.Now()
	if dt := now.Sub(s.sentAt).Seconds(); !s.sentAt.IsZero() && r.o.Sidecars > r.o.Real {
		s.put(RoleList, "bytes_out.list", float64(sent-s.sent)/dt/float64(r.o.Sidecars-r.o.Real), 1)
	}
	s.sent, s.sentAt = sent, now
}

func (s *sampler) put(role, name string, v, weight float64) {
	if s.samples[role] == nil {
		s.samples[role] = map[string][]sample{}
	}
	s.samples[role][name] = append(s.samples[role][name], sample{v, weight})
}

// add counts what a process did between two readings, for each of so many sidecars.
func (s *sampler) add(role string, was, now usage.Reading, before bool, of float64) {
	const mb = 1 << 20
	p := now.Process
	s.put(role, "resident_mb", float64(p.ResidentBytes)/mb/of, of)
	s.put(role, "heap_mb", float64(p.HeapBytes)/mb/of, of)
	s.put(role, "descriptors", float64(p.Descriptors)/of, of)
	s.put(role, "goroutines", float64(p.Goroutines)/of, of)
	dt := now.Seconds - was.Seconds
	if !before || dt < 0.2 { // another process, or a reading that came late
		return
	}
	rate := func(name string, a, b uint64) float64 {
		v := float64(b-min(a, b)) / dt / of
		s.put(role, name, v, of)
		return v
	}
	cpu := p.CPUUserSeconds + p.CPUSystemSeconds - was.Process.CPUUserSeconds - was.Process.CPUSystemSeconds
	s.put(role, "cpu", max(0, cpu)/dt/of, of)
	rate("bytes_in", was.Connections.BytesIn, now.Connections.BytesIn)
	rate("bytes_out", was.Connections.BytesOut, now.Connections.BytesOut)
	var in, out, applied float64
	for i, f := range now.Purposes {
		w := was.Purposes[i]
		in += rate("messages_in."+f.Purpose, w.MessagesIn, f.MessagesIn)
		out += rate("messages_out."+f.Purpose, w.MessagesOut, f.MessagesOut)
		rate("bytes_in."+f.Purpose, w.BytesIn, f.BytesIn)
		rate("bytes_out."+f.Purpose, w.BytesOut, f.BytesOut)
		applied += rate("entries."+f.Purpose, w.Applied, f.Applied)
	}
	s.put(role, "messages_in", in, of)
	s.put(role, "messages_out", out, of)
	s.put(role, "entries", applied, of)
	var syncs, bytes float64
	for i, f := range now.Written {
		syncs += rate("syncs."+f.File, was.Written[i].Syncs, f.Syncs)
		bytes += rate("disk."+f.File, was.Written[i].Bytes, f.Bytes)
	}
	s.put(role, "syncs", syncs, of)
	s.put(role, "disk", bytes, of)
}

func (s *sampler) seconds() float64 { return s.ended.Sub(s.at).Seconds() }

// busy is which part of the machine's processor time was used, by anybody.
func (s *sampler) busy() float64 {
	if all := s.now[1] - s.cpu[1]; all > 0 {
		return float64(s.now[0]-s.cpu[0]) / float64(all)
	}
	return 0
}

// machine is how long its processors were busy, and all.
func machine() (m [2]uint64) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return m
	}
	line, _, _ := strings.Cut(string(text), "\n")
	for i, f := range strings.Fields(line)[1:] {
		n, _ := strconv.ParseUint(f, 10, 64) // the system's own text
		if m[1] += n; i != 3 && i != 4 {
			m[0] += n
		}
	}
	return m
}

// roles sums the samples up. Figures that are nothing throughout are left out.
func (s *sampler) roles() map[string]Role {
	all := map[string]Role{}
	for role, figures := range s.samples {
		all[role] = Role{}
		for name, list := range figures {
			slices.SortFunc(list, func(a, b sample) int { return cmp.Compare(a.v, b.v) })
			var sum, weight float64
			for _, x := range list {
				sum, weight = sum+x.v*x.weight, weight+x.weight
			}
			if sp := (Spread{sum / weight, list[min(len(list)-1, len(list)*99/100)].v, list[len(list)-1].v}); sp.Worst > 0 {
				all[role][name] = sp
			}
		}
	}
	return all
}

// counts are what was counted in all, and for how long: at the replica that has applied the most, and at all hollow sidecars together.
func (s *sampler) counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counts{Applied: map[string]uint64{}, In: map[string]uint64{}, Out: map[string]uint64{}, Read: map[string]uint64{}, Sent: map[string]uint64{}, RealOut: map[string]uint64{}}
	since := func(name string, f func(now, was *usage.PurposeUsage)) (seconds float64) {
		was, now := s.firsts[name], s.last[name]
		for i := range was.Purposes {
			f(&now.Purposes[i], &was.Purposes[i])
		}
		return now.Seconds - was.Seconds
	}
	for i, d := range s.r.fleet.Daemons {
		c.Seconds = max(c.Seconds, since(d.Name(), func(now, was *usage.PurposeUsage) {
			if i < s.r.o.Replicas {
				c.Applied[now.Purpose] = max(c.Applied[now.Purpose], now.Applied-was.Applied)
			} else {
				c.RealOut[now.Purpose] += now.MessagesOut - was.MessagesOut
			}
		}))
	}
	for _, p := range s.r.processes() {
		c.Seconds = max(c.Seconds, since(p.name, func(now, was *usage.PurposeUsage) {
			c.In[now.Purpose] += now.MessagesIn - was.MessagesIn
			c.Out[now.Purpose] += now.MessagesOut - was.MessagesOut
			c.Read[now.Purpose] += now.BytesIn - was.BytesIn
			c.Sent[now.Purpose] += now.BytesOut - was.BytesOut
		}))
	}
	return c
}

func (s *sampler) store() Store {
	d := s.seconds()
	return Store{Keys: s.stored.keys, Bytes: s.stored.bytes, Entries: float64(s.stored.applied-min(s.stored.applied, s.first.applied)) / d,
		Revisions: float64(s.stored.revision-min(s.stored.revision, s.first.revision)) / d}
}

// Result is one size.
type Result struct {
	Sidecars  int             `json:"sidecars"`
	Real      int             `json:"real"`
	Replicas  int             `json:"replicas"`
	Services  int             `json:"services"`
	Seed      uint64          `json:"seed"`
	Processes int             `json:"processes"`
	Began     float64         `json:"began_s"` // from the first sidecar's start until all were right
	Seconds   float64         `json:"seconds"` // of the quiet phase
	Right     int             `json:"right"`   // hollow sidecars, at its end or within a minute of it
	Busy      float64         `json:"busy"`    // part of the machine, meanwhile
	Failed    int             `json:"failed"`  // changes of the settings
	Store     Store           `json:"store"`
	Roles     map[string]Role `json:"roles"`
	Counts    Counts          `json:"counts"`
	Honest    []Pair          `json:"honest,omitempty"`
	Settings  InForce         `json:"settings"`

	Burst      *InForce        `json:"burst,omitempty"`
	BurstRoles map[string]Role `json:"burst_roles,omitempty"`
	Fault      *FaultResult    `json:"fault,omitempty"`
	Took       float64         `json:"took_s"`
}

// Counts are of the quiet phase, by purpose.
type Counts struct {
	Seconds float64           `json:"seconds"`
	Applied map[string]uint64 `json:"applied"`  // entries of the log
	In      map[string]uint64 `json:"in"`       // messages to all hollow sidecars together
	Out     map[string]uint64 `json:"out"`      // and from them
	Read    map[string]uint64 `json:"read"`     // bytes of those to them
	Sent    map[string]uint64 `json:"sent"`     // and of those from them
	RealOut map[string]uint64 `json:"real_out"` // messages from all real ones
}

// Store is what the store holds, and how its log grows by second.
type Store struct {
	Keys      int     `json:"keys"`
	Bytes     int     `json:"bytes"`
	Entries   float64 `json:"entries"`
	Revisions float64 `json:"revisions"`
}

// FaultResult is what a fault cost.
type FaultResult struct {
	Name    string          `json:"name"`
	What    string          `json:"what"`
	Right   float64         `json:"right_s"` // from when all could be reached again until all were right
	Copies  uint64          `json:"copies"`  // whole ones that hollow sidecars took meanwhile
	Missed  string          `json:"missed,omitempty"`
	Seconds float64         `json:"seconds"` // that were measured
	Roles   map[string]Role `json:"roles"`
}

// Pair is one figure of the real sidecars and of the hollow ones.
type Pair struct {
	Figure string  `json:"figure"`
	Real   float64 `json:"real"`
	Hollow float64 `json:"hollow"`
	Ratio  float64 `json:"ratio"` // hollow by real
}

// honest compares means.
func honest(real, hollow Role) (all []Pair) {
	if real == nil || hollow == nil {
		return nil
	}
	names := []string{"cpu", "heap_mb", "resident_mb", "bytes_in", "bytes_out", "messages_in", "messages_out", "disk", "syncs"}
	for _, p := range []string{"sessions", "words", "pictures", "settings", "shares", "tasks", "beats", "requests"} {
		names = append(names, "bytes_in."+p, "bytes_out."+p)
	}
	for _, n := range names {
		a, b := real[n].Mean, hollow[n].Mean
		if a > 0 || b > 0 {
			p := Pair{Figure: n, Real: a, Hollow: b}
			if a > 0 {
				p.Ratio = b / a
			}
			all = append(all, p)
		}
	}
	return all
}

// ---- Settings --------------------------------------------------------------

// InForce is how long after an operator's word settings were in force at hollow sidecars.
type InForce struct {
	Changes int     `json:"changes"`
	N       int     `json:"n"`
	Missing int     `json:"missing"` // of sidecars and changes, that had not come
	Put     float64 `json:"put_s"`   // until the operator was answered, on average
	P50     float64 `json:"p50_s"`
	P99     float64 `json:"p99_s"`
	Worst   float64 `json:"worst_s"`
}

// changes notes when settings were put and came in force. Any goroutine may use it.
type changes struct {
	mu    sync.Mutex
	puts  map[int][2]time.Time // by mark: asked, and answered
	words map[int][]inForce    // by sidecar
	from  int                  // the newest mark when it was reset
	top   int
}

func newChanges() *changes { return &changes{puts: map[int][2]time.Time{}, words: map[int][]inForce{}} }

func (c *changes) put(mark int, asked, answered time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.puts[mark] = [2]time.Time{asked, answered}
	c.top = max(c.top, mark)
}

func (c *changes) came(f inForce) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.words[f.Sidecar] = append(c.words[f.Sidecar], f)
}

// newest is the mark of the newest settings that were put.
func (c *changes) newest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.top
}

// reset has what came until now count no more.
func (c *changes) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.from = c.top
	clear(c.words)
}

// result sums up: settings count as in force with the first that are as new.
func (c *changes) result(sidecars int) (x InForce) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []float64
	for mark := c.from + 1; mark <= c.top; mark++ {
		put, ok := c.puts[mark]
		if !ok {
			continue
		}
		x.Changes++
		x.Put += put[1].Sub(put[0]).Seconds()
		for _, list := range c.words {
			at := int64(0)
			for _, f := range list {
				if f.Mark >= mark && (at == 0 || f.At < at) {
					at = f.At
				}
			}
			if at != 0 {
				all = append(all, float64(at-put[0].UnixNano())/1e9)
			}
		}
	}
	if x.Changes > 0 {
		x.Put /= float64(x.Changes)
	}
	x.N, x.Missing = len(all), x.Changes*sidecars-len(all)
	if slices.Sort(all); len(all) > 0 {
		x.P50, x.P99, x.Worst = all[len(all)/2], all[min(len(all)-1, len(all)*99/100)], all[len(all)-1]
	}
	return x
}
