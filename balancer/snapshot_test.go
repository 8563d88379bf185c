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

// eventPlayer sends the same random events to one balancer, and later to a second one as well, and records the actions
// of each.
type eventPlayer struct {
	t           *rapid.T
	now         Micros
	lastRequest uint64
	balancers   []*Balancer
	actions     [2][]string
	timers      []struct {
		at    Micros
		token uint32
	}
	pending []Outcome // attempts without outcome; Latency holds when they were sent
	probes  []uint32
}

// actionLog records the actions of one balancer. The player carries out those of the first balancer, for both.
type actionLog struct {
	player *eventPlayer
	index  int
}

func (l actionLog) record(format string, args ...any) {
	l.player.actions[l.index] = append(l.player.actions[l.index], fmt.Sprintf(format, args...))
}

func (l actionLog) Send(id uint64, e uint32, timeout Micros) {
	l.record("send %d %d %d", id, e, timeout)
	if l.index == 0 {
		n := 0
		for _, line := range l.player.actions[0] {
			var a, b uint64
			if k, _ := fmt.Sscanf(line, "send %d %d", &a, &b); k == 2 && a == id {
				n++
			}
		}
		l.player.pending = append(l.player.pending, Outcome{ID: id, Attempt: n - 1, Endpoint: e, Latency: l.player.now})
	}
}
func (l actionLog) Reject(id uint64, retryAfter Micros) { l.record("reject %d %d", id, retryAfter) }
func (l actionLog) Fail(id uint64)                      { l.record("fail %d", id) }
func (l actionLog) Cancel(id uint64, attempt int)       { l.record("cancel %d %d", id, attempt) }
func (l actionLog) Watch(on bool)                       { l.record("watch %v", on) }
func (l actionLog) Log(line string)                     { l.record("log %s", line) }
func (l actionLog) Timer(delay Micros, token uint32) {
	l.record("timer %d %d", delay, token)
	if l.index == 0 {
		l.player.timers = append(l.player.timers, struct {
			at    Micros
			token uint32
		}{l.player.now + delay, token})
	}
}
func (l actionLog) Probe(e uint32) {
	l.record("probe %d", e)
	if l.index == 0 {
		l.player.probes = append(l.player.probes, e)
	}
}

// each calls f for each of the balancers.
func (p *eventPlayer) each(f func(b *Balancer)) {
	for _, b := range p.balancers {
		f(b)
	}
}

// step lets some time pass, fires the timers that are due and sends one random event.
func (p *eventPlayer) step(s *Settings) {
	p.now += Micros(rapid.IntRange(0, 40_000).Draw(p.t, "passes"))
	for i := 0; i < len(p.timers); i++ {
		if x := p.timers[i]; x.at <= p.now {
			p.timers = slices.Delete(p.timers, i, i+1)
			p.each(func(b *Balancer) { b.Timer(p.now, x.token) })
			i = -1
		}
	}
	entry := func() Endpoint {
		id := rapid.Uint32Range(1, 8).Draw(p.t, "endpoint")
		return Endpoint{ID: id, Zone: uint8(id / 3), Cell: uint16(id / 2), State: State(rapid.IntRange(0,
			2).Draw(p.t, "state")),
			StartTime: Micros(rapid.IntRange(0, 1).Draw(p.t, "started")) * (p.now - second)}
	}
	switch rapid.IntRange(0, 15).Draw(p.t, "what") {
	case 0, 1, 2, 3, 4:
		p.lastRequest++
		r := Request{ID: p.lastRequest, Class: uint8(rapid.IntRange(0, 4).Draw(p.t, "class")), Deadline: p.now + second,
			Tenant: uint16(rapid.IntRange(0, 2).Draw(p.t, "tenant")), BodyStreaming: rapid.IntRange(0, 9).Draw(p.t,
				"flows") == 0}
		if r.HasHint = rapid.Bool().Draw(p.t, "hinted"); r.HasHint {
			r.Hint = Micros(rapid.IntRange(1, 200_000).Draw(p.t, "hint"))
		}
		p.each(func(b *Balancer) { b.Request(p.now, r) })
	case 5, 6, 7, 8, 9:
		if len(p.pending) == 0 {
			return
		}
		index := rapid.IntRange(0, len(p.pending)-1).Draw(p.t, "which")
		o := p.pending[index]
		p.pending = slices.Delete(p.pending, index, index+1)
		o.Latency = p.now - o.Latency
		o.Status = Status(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 3, 4, 5}).Draw(p.t, "status"))
		o.Answered = o.Status == OK
		p.each(func(b *Balancer) { b.Outcome(p.now, o) })
	case 10, 11, 12:
		if len(p.probes) == 0 {
			return
		}
		e := p.probes[0]
		p.probes = p.probes[1:]
		load := []float32{float32(rapid.IntRange(0, 5).Draw(p.t, "load"))}
		p.each(func(b *Balancer) { b.ProbeCompleted(p.now, e, OK, 1000, load) })
	case 13:
		list := []Endpoint{entry()}
		p.each(func(b *Balancer) { b.UpdateEndpoints(p.now, ListDelta, list) })
	case 14:
		id := rapid.Uint32Range(1, 8).Draw(p.t, "banned")
		if out := rapid.Bool().Draw(p.t, "out"); out {
			p.each(func(b *Balancer) { b.DrainEndpoint(id, p.now) })
		} else {
			p.each(func(b *Balancer) { b.UndrainEndpoint(p.now, id, p.now) })
		}
	case 15:
		switch rapid.IntRange(0, 4).Draw(p.t, "rare") {
		case 0:
			next := *s
			next.Classes = slices.Clone(s.Classes)
			next.Classes[0].Name = rapid.SampledFrom([]string{"read", "other"}).Draw(p.t, "name")
			next.Tenants = []Tenant{{Name: "b", Allowance: 3}, {Name: "c", Allowance: 9}}
			p.each(func(b *Balancer) {
				if _, err := b.Reload(next); err != nil {
					p.t.Error(err)
				}
			})
		case 1:
			p.each(func(b *Balancer) { b.ClientDisconnected(p.now, p.lastRequest) })
		case 2:
			p.each(func(b *Balancer) { b.ResponseStarted(p.now, p.lastRequest, 0, 1000) })
		case 3:
			p.each(func(b *Balancer) { b.UploadComplete(p.now, p.lastRequest, p.now+second) })
		case 4:
			part := rapid.SampledFrom([]float64{0.5, 1}).Draw(p.t, "part")
			p.each(func(b *Balancer) { b.SetCapacityShare(part) })
		}
	}
}

// A balancer made from a snapshot must call the same actions as the original balancer, whatever requests, probes and
// drains the snapshot includes.
func TestResumeContinuesExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings()
		s.Subscribe = rapid.Bool().Draw(t, "subscribe")
		s.Tenants = []Tenant{{Name: "a", Allowance: 5}, {Name: "b", Allowance: 5}}
		s.Prices.Probe = rapid.SampledFrom([]float64{1000, 0.001}).Draw(t, "price")
		player := &eventPlayer{t: t, now: 1_700_000_000 * second}
		original, err := New(s, 7, actionLog{player, 0})
		if err != nil {
			t.Fatal(err)
		}
		player.balancers = []*Balancer{original}
		original.Start(player.now)
		original.UpdateEndpoints(player.now, ListCached, readyEndpoints(6))
		for range rapid.IntRange(0, 120).Draw(t, "before") {
			player.step(&s)
		}
		resumed, err := Resume(original.Snapshot(player.now, true), actionLog{player, 1})
		if err != nil {
			t.Fatal(err)
		}
		resumedAt := len(player.actions[0])
		player.balancers = append(player.balancers, resumed)
		for range 80 {
			player.step(&s)
		}
		if diff := cmp.Diff(player.actions[0][resumedAt:], player.actions[1]); diff != "" {
			t.Fatalf("actions differ (-original +resumed):\n%s", diff)
		}
		if diff := cmp.Diff(original.Snapshot(player.now, true), resumed.Snapshot(player.now, true),
			cmp.AllowUnexported(Rules{})); diff != "" {
			t.Fatalf("states differ (-original +resumed):\n%s", diff)
		}
	})
}

// trainedBalancer returns a balancer that has learned the pace of n endpoints, and the current instant. Endpoints with
// odd IDs are slow; status gives the status of the attempts at each endpoint.
func trainedBalancer(t *testing.T, n int, status func(e uint32) Status) (*Balancer, Micros) {
	t.Helper()
	b, r := startBalancer(t, testSettings(), readyEndpoints(n))
	now := Micros(0)
	for id := uint64(1); id <= 400; id++ {
		now += 5000
		b.Request(now, testRequest(id, 0, now))
		for len(r.sends) > 0 {
			s := r.sends[0]
			r.sends = r.sends[1:]
			b.Outcome(now, Outcome{ID: s.id, Endpoint: s.endpoint, Status: status(s.endpoint), Answered: true,
				Latency: 10_000 + 40_000*Micros(s.endpoint%2)})
		}
	}
	return b, now
}

// newProcess returns a balancer that has just started and has learned nothing.
func newProcess(t *testing.T, now Micros, list []Endpoint) *Balancer {
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
	b, now := trainedBalancer(t, 6, func(uint32) Status { return OK })
	list := readyEndpoints(6)
	list[2].StartTime = now - 500 // restarted meanwhile
	restored := newProcess(t, now+1000, list)
	known, err := restored.Restore(now+1000, b.Snapshot(now, false), 1000)
	if err != nil || known != 5 {
		t.Fatalf("Restore: %d endpoints known, want 5; error %v", known, err)
	}
	for id, e := range restored.byID {
		before := b.byID[id]
		if id == 3 {
			if e.pace.samples > 0 || !e.warmingUp {
				t.Error("the state of the restarted endpoint's earlier process was restored")
			}
			continue
		}
		if e.pace != before.pace || e.breaker.baseLatency != before.breaker.baseLatency ||
			e.breaker.requests != before.breaker.requests {
			t.Errorf("endpoint %d: pace %v or breaker not restored, want pace %v", id, e.pace, before.pace)
		}
	}
	if len(restored.requests) != 0 || restored.openRequests != 0 {
		t.Error("requests of the earlier process were restored")
	}
}

// Restored conditions such as the latency trend and failures count less the older the snapshot is, and a snapshot of
// invalid age has no effect.
func TestRestoredStateFadesWithAge(t *testing.T) {
	b, now := trainedBalancer(t, 6, func(uint32) Status { return OK })
	for range 400 {
		b.byID[6].breaker.count(now, 0, 1)
	}
	if b.byID[6].breaker.errorChance(now) == 0 {
		t.Fatal("the breaker of endpoint 6 is closed, want it open")
	}
	b.latencyTrend, b.rejectionRate.value = 4, 0.5
	s := b.Snapshot(now, false)
	lastTrend := 4.0
	for _, age := range []Micros{second / 10, second, 5 * second, 20 * second} {
		restored := newProcess(t, now+age, readyEndpoints(6))
		if _, err := restored.Restore(now+age, s, age); err != nil {
			t.Fatal(err)
		}
		if !(restored.latencyTrend < lastTrend && restored.latencyTrend > 1) {
			t.Errorf("snapshot of age %d µs: latency trend %v, want it between 1 and %v",
				age, restored.latencyTrend, lastTrend)
		}
		lastTrend = restored.latencyTrend
		if breakerOpen := restored.byID[6].breaker.errorChance(now+age) > 0; breakerOpen != (age < breakerWindow) {
			t.Errorf("snapshot of age %d µs: breaker of endpoint 6 open: %v", age, breakerOpen)
		}
	}
	for _, age := range []Micros{-second, maxRestoreAge + 1} {
		restored := newProcess(t, now, readyEndpoints(6))
		if known, err := restored.Restore(now, s, age); known != 0 || err != nil {
			t.Errorf("snapshot of age %d µs: %d endpoints known, want 0; error %v", age, known, err)
		}
	}
}

// If all endpoints failed for the earlier process, no failure may be restored: the cause was not the endpoints.
func TestRestoreDropsFailuresWhereMostFailed(t *testing.T) {
	b, now := trainedBalancer(t, 6, func(uint32) Status { return Error })
	restored := newProcess(t, now, readyEndpoints(6))
	known, err := restored.Restore(now, b.Snapshot(now, false), 0)
	if err != nil || known != 6 {
		t.Fatal(known, err)
	}
	for id, e := range restored.byID {
		if e.ejectedUntil > now || e.failures.streak > 0 || e.breaker.errorChance(now) > 0 {
			t.Errorf("endpoint %d is ejected, has failures or an open breaker after Restore", id)
		}
	}
	if restored.latencyTrend != 1 || restored.rejectionRate.value != 0 || restored.retryBudget != maxRetryBudget {
		t.Errorf("latency trend %v, rejection rate %v, retry budget %v, want those of a new process",
			restored.latencyTrend, restored.rejectionRate.value, restored.retryBudget)
	}
}

// Requests of the earlier process may still be at an endpoint. Restore must count them as other balancers' load.
func TestRestoreCountsRequestsOfTheEarlierProcess(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(4))
	for id := uint32(1); id <= 4; id++ {
		b.ProbeCompleted(1000, id, OK, 1000, []float32{1})
	}
	for id := uint64(1); id <= 8; id++ {
		b.Request(2000, testRequest(id, 0, 2000))
	}
	restored := newProcess(t, 3000, readyEndpoints(4))
	if _, err := restored.Restore(3000, b.Snapshot(2500, false), 500); err != nil {
		t.Fatal(err)
	}
	total := 0.0
	for _, e := range restored.byID {
		total += e.othersLoad
	}
	if len(r.sends) != 8 || total != 12 || len(restored.pool) != 4 {
		t.Errorf("%d requests sent, want 8; load of others %v, want 12; %d reports in the pool, want 4",
			len(r.sends), total, len(restored.pool))
	}
}

func TestPeerEjectionKeepsHalfInUse(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(4))
	for id := uint32(1); id <= 4; id++ {
		b.PeerEjected(0, id, 100*second)
	}
	ejections := map[uint32]Micros{}
	b.Ejections(0, func(id uint32, remaining Micros) { ejections[id] = remaining })
	if want := map[uint32]Micros{1: 2 * breakerWindow, 2: 2 * breakerWindow}; !cmp.Equal(ejections, want) {
		t.Errorf("ejections after reports of four: %v, want %v", ejections, want)
	}
	b.PeerEjected(0, 99, second) // not listed
}

// Two processes that divide the slow-start budgets must not have more saved up than one of them had.
func TestCapacityShareSplitsSavedBudget(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(1))
	b.endpoints[0].slowStartBudget = 8
	b.SetCapacityShare(0.5)
	if b.endpoints[0].slowStartBudget != 4 {
		t.Errorf("slow-start budget %v at half of the capacity share, want 4", b.endpoints[0].slowStartBudget)
	}
	if b.SetCapacityShare(1); b.endpoints[0].slowStartBudget != 4 {
		t.Errorf("slow-start budget %v at the whole capacity share again, want 4", b.endpoints[0].slowStartBudget)
	}
}

func TestResumeNamesInvalidField(t *testing.T) {
	b, now := trainedBalancer(t, 4, func(uint32) Status { return OK })
	for field, invalidate := range map[string]func(*Snapshot){
		"Rules":              func(s *Snapshot) { s.Rules = nil },
		"Rules.Slots":        func(s *Snapshot) { s.Rules[0].ClassSlots = []int{9, 1, 2, 3, 4} },
		"Pool":               func(s *Snapshot) { s.Pool = []int{77} },
		"Endpoints.ID":       func(s *Snapshot) { s.Endpoints[1].ID = s.Endpoints[0].ID },
		"Endpoints.Head":     func(s *Snapshot) { s.Endpoints[1].Head = -1 },
		"Trend":              func(s *Snapshot) { s.LatencyTrend = 0 },
		"Slots.Token":        func(s *Snapshot) { s.RequestSlots[0].Token = 0 },
		"Free":               func(s *Snapshot) { s.FreeRequestSlots = []int{-1} },
		"Endpoints.Inflight": func(s *Snapshot) { s.Endpoints[0].Inflight = -1 },
	} {
		s := b.Snapshot(now, true)
		s.Rules[0].ClassSlots = slices.Clone(s.Rules[0].ClassSlots)
		invalidate(s)
		_, err := Resume(s, &recorder{})
		var snapshotErr *SnapshotError
		if !errors.As(err, &snapshotErr) {
			t.Errorf("Resume with an invalid %s: got error %v, want a SnapshotError", field, err)
			continue
		}
		headIsInstant := field == "Endpoints.Head" && snapshotErr.Field == "Endpoints"
		if snapshotErr.Field != field && !headIsInstant {
			t.Errorf("Resume with an invalid %s: got error %v, want one for that field", field, err)
		}
	}
}

func init() {
	// A fixed seed makes the test reproducible. A seed on the command line takes precedence.
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
