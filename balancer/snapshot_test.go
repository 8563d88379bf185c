package balancer

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// history plays random events to one balancer, and later to a second one, and records the actions of each.
type history struct {
	t      *rapid.T
	now    Micros
	last   uint64
	both   []*Balancer
	said   [2][]string
	timers []struct {
		at    Micros
		token uint32
	}
	out    []Outcome // attempts that have no outcome yet
	probes []uint32
}

// side records the actions of one of the balancers. Those of the first are carried out for both.
type side struct {
	h  *history
	at int
}

func (s side) say(format string, args ...any) {
	s.h.said[s.at] = append(s.h.said[s.at], fmt.Sprintf(format, args...))
}

func (s side) Send(id uint64, e uint32, wait Micros) {
	s.say("send %d %d %d", id, e, wait)
	if s.at == 0 {
		n := 0
		for _, line := range s.h.said[0] {
			var a, b uint64
			if k, _ := fmt.Sscanf(line, "send %d %d", &a, &b); k == 2 && a == id {
				n++
			}
		}
		s.h.out = append(s.h.out, Outcome{ID: id, Attempt: n - 1, Endpoint: e, Latency: s.h.now})
	}
}
func (s side) Reject(id uint64, after Micros) { s.say("refuse %d %d", id, after) }
func (s side) Fail(id uint64)                 { s.say("fail %d", id) }
func (s side) Cancel(id uint64, attempt int)  { s.say("cancel %d %d", id, attempt) }
func (s side) Watch(on bool)                  { s.say("watch %v", on) }
func (s side) Log(line string)                { s.say("log %s", line) }
func (s side) Timer(delay Micros, token uint32) {
	s.say("timer %d %d", delay, token)
	if s.at == 0 {
		s.h.timers = append(s.h.timers, struct {
			at    Micros
			token uint32
		}{s.h.now + delay, token})
	}
}
func (s side) Probe(e uint32) {
	s.say("probe %d", e)
	if s.at == 0 {
		s.h.probes = append(s.h.probes, e)
	}
}

func (h *history) each(f func(b *Balancer)) {
	for _, b := range h.both {
		f(b)
	}
}

// step has something happen.
func (h *history) step(s *Settings) {
	h.now += Micros(rapid.IntRange(0, 40_000).Draw(h.t, "passes"))
	for i := 0; i < len(h.timers); i++ {
		if x := h.timers[i]; x.at <= h.now {
			h.timers = slices.Delete(h.timers, i, i+1)
			h.each(func(b *Balancer) { b.Timer(h.now, x.token) })
			i = -1
		}
	}
	entry := func() Endpoint {
		id := rapid.Uint32Range(1, 8).Draw(h.t, "endpoint")
		return Endpoint{ID: id, Zone: uint8(id / 3), Cell: uint16(id / 2), State: State(rapid.IntRange(0,
			2).Draw(h.t, "state")),
			StartTime: Micros(rapid.IntRange(0, 1).Draw(h.t, "started")) * (h.now - second)}
	}
	switch rapid.IntRange(0, 15).Draw(h.t, "what") {
	case 0, 1, 2, 3, 4:
		h.last++
		r := Request{ID: h.last, Class: uint8(rapid.IntRange(0, 4).Draw(h.t, "class")), Deadline: h.now + second,
			Tenant: uint16(rapid.IntRange(0, 2).Draw(h.t, "tenant")), BodyStreaming: rapid.IntRange(0, 9).Draw(h.t,
				"flows") == 0}
		if r.HasHint = rapid.Bool().Draw(h.t, "hinted"); r.HasHint {
			r.Hint = Micros(rapid.IntRange(1, 200_000).Draw(h.t, "hint"))
		}
		h.each(func(b *Balancer) { b.Request(h.now, r) })
	case 5, 6, 7, 8, 9:
		if len(h.out) == 0 {
			return
		}
		at := rapid.IntRange(0, len(h.out)-1).Draw(h.t, "which")
		o := h.out[at]
		h.out = slices.Delete(h.out, at, at+1)
		o.Latency = h.now - o.Latency
		o.Status = Status(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 3, 4, 5}).Draw(h.t, "status"))
		o.Answered = o.Status == OK
		h.each(func(b *Balancer) { b.Outcome(h.now, o) })
	case 10, 11, 12:
		if len(h.probes) == 0 {
			return
		}
		e := h.probes[0]
		h.probes = h.probes[1:]
		load := []float32{float32(rapid.IntRange(0, 5).Draw(h.t, "load"))}
		h.each(func(b *Balancer) { b.ProbeCompleted(h.now, e, OK, 1000, load) })
	case 13:
		list := []Endpoint{entry()}
		h.each(func(b *Balancer) { b.UpdateEndpoints(h.now, ListDelta, list) })
	case 14:
		id := rapid.Uint32Range(1, 8).Draw(h.t, "banned")
		if out := rapid.Bool().Draw(h.t, "out"); out {
			h.each(func(b *Balancer) { b.DrainEndpoint(id, h.now) })
		} else {
			h.each(func(b *Balancer) { b.UndrainEndpoint(h.now, id, h.now) })
		}
	case 15:
		switch rapid.IntRange(0, 4).Draw(h.t, "rare") {
		case 0:
			next := *s
			next.Classes = slices.Clone(s.Classes)
			next.Classes[0].Name = rapid.SampledFrom([]string{"read", "other"}).Draw(h.t, "name")
			next.Tenants = []Tenant{{Name: "b", Allowance: 3}, {Name: "c", Allowance: 9}}
			h.each(func(b *Balancer) {
				if _, err := b.Reload(next); err != nil {
					h.t.Error(err)
				}
			})
		case 1:
			h.each(func(b *Balancer) { b.ClientDisconnected(h.now, h.last) })
		case 2:
			h.each(func(b *Balancer) { b.ResponseStarted(h.now, h.last, 0, 1000) })
		case 3:
			h.each(func(b *Balancer) { b.UploadComplete(h.now, h.last, h.now+second) })
		case 4:
			part := rapid.SampledFrom([]float64{0.5, 1}).Draw(h.t, "part")
			h.each(func(b *Balancer) { b.SetCapacityShare(part) })
		}
	}
}

// A balancer made from a snapshot continues as the one that it was taken of, whatever was under way.
func TestResumeContinuesExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings()
		s.Subscribe = rapid.Bool().Draw(t, "subscribe")
		s.Tenants = []Tenant{{Name: "a", Allowance: 5}, {Name: "b", Allowance: 5}}
		s.Prices.Probe = rapid.SampledFrom([]float64{1000, 0.001}).Draw(t, "price")
		h := &history{t: t, now: 1_700_000_000 * second}
		first, err := New(s, 7, side{h, 0})
		if err != nil {
			t.Fatal(err)
		}
		h.both = []*Balancer{first}
		first.Start(h.now)
		first.UpdateEndpoints(h.now, ListCached, ready(6))
		for range rapid.IntRange(0, 120).Draw(t, "before") {
			h.step(&s)
		}
		second, err := Resume(first.Snapshot(h.now, true), side{h, 1})
		if err != nil {
			t.Fatal(err)
		}
		cut := len(h.said[0])
		h.both = append(h.both, second)
		for range 80 {
			h.step(&s)
		}
		if diff := cmp.Diff(h.said[0][cut:], h.said[1]); diff != "" {
			t.Fatalf("decisions differ (-pictured +resumed):\n%s", diff)
		}
		if diff := cmp.Diff(first.Snapshot(h.now, true), second.Snapshot(h.now, true),
			cmp.AllowUnexported(Rules{})); diff != "" {
			t.Fatalf("states differ:\n%s", diff)
		}
	})
}

// taught returns a balancer that has learned something of each of n endpoints: the odd ones are slow.
func taught(t *testing.T, n int, status func(e uint32) Status) (*Balancer, Micros) {
	t.Helper()
	b, r := start(t, testSettings(), ready(n))
	now := Micros(0)
	for id := uint64(1); id <= 400; id++ {
		now += 5000
		b.Request(now, request0(id, 0, now))
		for len(r.sends) > 0 {
			s := r.sends[0]
			r.sends = r.sends[1:]
			b.Outcome(now, Outcome{ID: s.id, Endpoint: s.endpoint, Status: status(s.endpoint), Answered: true,
				Latency: 10_000 + 40_000*Micros(s.endpoint%2)})
		}
	}
	return b, now
}

func fresh(t *testing.T, now Micros, list []Endpoint) *Balancer {
	t.Helper()
	b, err := New(testSettings(), 9, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	b.Start(now)
	b.UpdateEndpoints(now, ListCached, list)
	return b
}

func TestRestoreKeepsPacesOfRemainingEndpoints(t *testing.T) {
	b, now := taught(t, 6, func(uint32) Status { return OK })
	list := ready(6)
	list[2].StartTime = now - 500 // started again meanwhile
	n := fresh(t, now+1000, list)
	known, err := n.Restore(now+1000, b.Snapshot(now, false), 1000)
	if err != nil || known != 5 {
		t.Fatalf("known %d, %v", known, err)
	}
	for id, e := range n.byID {
		was := b.byID[id]
		if id == 3 {
			if e.pace.samples > 0 || !e.warmingUp {
				t.Error("the restarted endpoint still has its record")
			}
			continue
		}
		if e.pace != was.pace || e.breaker.base != was.breaker.base ||
			e.breaker.requests != was.breaker.requests {
			t.Errorf("endpoint %d: pace %v of %v", id, e.pace, was.pace)
		}
	}
	if len(n.requests) != 0 || n.open != 0 {
		t.Error("requests were carried over")
	}
}

// Belief fades: what is old changes less, and beyond its time nothing.
func TestRestoreFadesWithAge(t *testing.T) {
	b, now := taught(t, 6, func(uint32) Status { return OK })
	for range 400 {
		b.byID[6].breaker.count(now, 0, 1)
	}
	if b.byID[6].breaker.errorChance(now) == 0 {
		t.Fatal("endpoint 6 does not look sick")
	}
	b.latencyTrend, b.rejectionRate.value = 4, 0.5
	s := b.Snapshot(now, false)
	last := 4.0
	for _, age := range []Micros{second / 10, second, 5 * second, 20 * second} {
		n := fresh(t, now+age, ready(6))
		if _, err := n.Restore(now+age, s, age); err != nil {
			t.Fatal(err)
		}
		if !(n.latencyTrend < last && n.latencyTrend > 1) {
			t.Errorf("after %d the trend is %v, was %v", age, n.latencyTrend, last)
		}
		last = n.latencyTrend
		if sick := n.byID[6].breaker.errorChance(now+age) > 0; sick != (age < window) {
			t.Errorf("after %d the breaker of endpoint 6: %v", age, sick)
		}
	}
	for _, age := range []Micros{-second, maxRestoreAge + 1} {
		n := fresh(t, now, ready(6))
		if known, err := n.Restore(now, s, age); known != 0 || err != nil {
			t.Errorf("age %d: %d, %v", age, known, err)
		}
	}
}

// A process that thought all endpoints sick teaches a new one no failure.
func TestRestoreDropsFailuresWhereMostFailed(t *testing.T) {
	b, now := taught(t, 6, func(uint32) Status { return Error })
	n := fresh(t, now, ready(6))
	known, err := n.Restore(now, b.Snapshot(now, false), 0)
	if err != nil || known != 6 {
		t.Fatal(known, err)
	}
	for id, e := range n.byID {
		if e.ejectedUntil > now || e.failures.streak > 0 || e.breaker.errorChance(now) > 0 {
			t.Errorf("endpoint %d is thought sick", id)
		}
	}
	if n.latencyTrend != 1 || n.rejectionRate.value != 0 || n.retryBudget != maxRetryBudget {
		t.Errorf("trend %v, refused %v, credit %v", n.latencyTrend, n.rejectionRate.value, n.retryBudget)
	}
}

// What an earlier process still has at an endpoint is load of others there.
func TestRestoreCountsTheEarlierProcessRequests(t *testing.T) {
	b, r := start(t, testSettings(), ready(4))
	for id := uint32(1); id <= 4; id++ {
		b.ProbeCompleted(1000, id, OK, 1000, []float32{1})
	}
	for id := uint64(1); id <= 8; id++ {
		b.Request(2000, request0(id, 0, 2000))
	}
	n := fresh(t, 3000, ready(4))
	if _, err := n.Restore(3000, b.Snapshot(2500, false), 500); err != nil {
		t.Fatal(err)
	}
	total := 0.0
	for _, e := range n.byID {
		total += e.othersLoad
	}
	if len(r.sends) != 8 || total != 12 || len(n.pool) != 4 {
		t.Errorf("%d sent, %v held by others, %d in the pool", len(r.sends), total, len(n.pool))
	}
}

func TestPeerEjectionKeepsHalfInUse(t *testing.T) {
	b, _ := start(t, testSettings(), ready(4))
	for id := uint32(1); id <= 4; id++ {
		b.PeerEjected(0, id, 100*second)
	}
	told := map[uint32]Micros{}
	b.Ejections(0, func(id uint32, left Micros) { told[id] = left })
	if want := map[uint32]Micros{1: 2 * window, 2: 2 * window}; !cmp.Equal(told, want) {
		t.Errorf("ejected %v, want %v", told, want)
	}
	b.PeerEjected(0, 99, second) // not known
}

// Two processes that share slow-start budgets start with no more than one of them had saved.
func TestCapacityShareSplitsSavedBudget(t *testing.T) {
	b, _ := start(t, testSettings(), ready(1))
	b.endpoints[0].slowStartBudget = 8
	b.SetCapacityShare(0.5)
	if b.endpoints[0].slowStartBudget != 4 {
		t.Errorf("room %v", b.endpoints[0].slowStartBudget)
	}
	if b.SetCapacityShare(1); b.endpoints[0].slowStartBudget != 4 {
		t.Errorf("room %v after the other has gone", b.endpoints[0].slowStartBudget)
	}
}

func TestResumeNamesInvalidField(t *testing.T) {
	b, now := taught(t, 4, func(uint32) Status { return OK })
	for field, spoil := range map[string]func(*Snapshot){
		"Rules":              func(s *Snapshot) { s.Rules = nil },
		"Rules.Slots":        func(s *Snapshot) { s.Rules[0].Slots = []int{9, 1, 2, 3, 4} },
		"Pool":               func(s *Snapshot) { s.Pool = []int{77} },
		"Endpoints.ID":       func(s *Snapshot) { s.Endpoints[1].ID = s.Endpoints[0].ID },
		"Endpoints.Head":     func(s *Snapshot) { s.Endpoints[1].Head = -1 },
		"Trend":              func(s *Snapshot) { s.LatencyTrend = 0 },
		"Slots.Token":        func(s *Snapshot) { s.Slots[0].Token = 0 },
		"Free":               func(s *Snapshot) { s.Free = []int{-1} },
		"Endpoints.Inflight": func(s *Snapshot) { s.Endpoints[0].Inflight = -1 },
	} {
		s := b.Snapshot(now, true)
		s.Rules[0].Slots = slices.Clone(s.Rules[0].Slots)
		spoil(s)
		_, err := Resume(s, &recorder{})
		var bad *SnapshotError
		if !errors.As(err, &bad) {
			t.Errorf("%s: %v", field, err)
			continue
		}
		headIsInstant := field == "Endpoints.Head" && bad.Field == "Endpoints"
		if bad.Field != field && !headIsInstant {
			t.Errorf("%s: %v", field, err)
		}
	}
}

func init() {
	// The same verdict every time; the command line goes before it.
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
