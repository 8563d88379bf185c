package balancer

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// checker implements Actions as a host does and checks every action against the rules of the module.
type checker struct {
	settings      Settings
	now           Micros
	listed        map[uint32]Endpoint
	slowStarts    map[uint32]Micros          // by endpoint ID: start as listed
	slowStartWork map[uint32]float64         // by endpoint ID: requests sent during slow start
	requests      map[uint64]*checkedRequest // by ID: open and ended ones
	violations    []string
	timers        []pendingTimer
	probes        []uint32
}

// checkedRequest is a request as the client and the endpoints have seen it.
type checkedRequest struct {
	request      Request
	finalAnswers int
	ended        bool // its client has the final answer or has disconnected
	attempts     []checkedAttempt
}

type checkedAttempt struct {
	endpoint   Endpoint
	sentAt     Micros
	pending    bool
	mayHaveRun bool
}

type pendingTimer struct {
	dueAt Micros
	token uint32
}

// addViolation records a broken rule.
func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("at %d: ", c.now)+fmt.Sprintf(format, args...))
}

// firstThatMayHaveRun returns the first attempt that may have run, or nil.
func (r *checkedRequest) firstThatMayHaveRun() *checkedAttempt {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return &r.attempts[i]
		}
	}
	return nil
}

func (c *checker) Send(id uint64, endpoint uint32, _ Micros) {
	r := c.requests[id]
	if r == nil {
		c.addViolation("sent unknown request %d", id)
		return
	}
	e, known := c.listed[endpoint]
	class := c.settings.Classes[r.request.Class]
	if r.finalAnswers > 0 || r.ended {
		c.addViolation("sent request %d after its end", id)
	}
	if !known || e.State != Ready {
		c.addViolation("sent to endpoint %d, which is unknown or in state %d", endpoint, e.State)
	}
	if len(r.attempts) >= c.settings.Limits.MaxAttempts {
		c.addViolation("attempt %d (from 0) of request %d exceeds the limit", len(r.attempts), id)
	}
	for _, a := range r.attempts {
		if a.pending && !c.settings.Limits.HedgedRequests {
			c.addViolation("hedged request %d, which the limits do not permit", id)
		}
	}
	if first := r.firstThatMayHaveRun(); first != nil && class.Idempotency != Idempotent {
		same := class.DedupScope == DedupAll || class.DedupScope == DedupZone && first.endpoint.Zone == e.Zone ||
			class.DedupScope == DedupCell && first.endpoint.Cell == e.Cell
		if class.Idempotency == NotIdempotent || !same || c.now > first.sentAt+class.DedupWindow {
			c.addViolation("repeat of request %d (%s) may have a second effect", id, class.Name)
		}
	}
	if _, warmingUp := c.slowStarts[endpoint]; warmingUp {
		c.slowStartWork[endpoint]++
	}
	r.attempts = append(r.attempts, checkedAttempt{endpoint: e, sentAt: c.now, pending: true, mayHaveRun: true})
}

func (c *checker) finalAnswer(id uint64) *checkedRequest {
	r := c.requests[id]
	if r == nil || r.finalAnswers > 0 || r.ended {
		c.addViolation("final answer for request %d, which is not open", id)
		return nil
	}
	r.finalAnswers++
	return r
}

func (c *checker) Reject(id uint64, _ Micros) {
	if r := c.finalAnswer(id); r != nil && r.firstThatMayHaveRun() != nil {
		class := c.settings.Classes[r.request.Class]
		if class.Idempotency == NotIdempotent || class.Idempotency == WithIdempotencyKey &&
			class.DedupScope != DedupAll {
			c.addViolation("rejected request %d (%s), which may have run", id, class.Name)
		}
	}
}

func (c *checker) Fail(id uint64) { c.finalAnswer(id) }

func (c *checker) Cancel(id uint64, attempt int) {
	if r := c.requests[id]; r == nil || attempt >= len(r.attempts) {
		c.addViolation("cancelled attempt %d of request %d, which was never made", attempt, id)
	}
}

func (c *checker) Timer(delay Micros, token uint32) {
	if delay <= 0 {
		c.addViolation("timer delay %d is not positive", delay)
	}
	c.timers = append(c.timers, pendingTimer{c.now + delay, token})
}

func (c *checker) Probe(e uint32) {
	if _, known := c.listed[e]; !known {
		c.addViolation("probed unknown endpoint %d", e)
	}
	c.probes = append(c.probes, e)
}

func (c *checker) Watch(bool) {
	if !c.settings.Subscribe {
		c.addViolation("called Watch although discovery sends lists without a subscription")
	}
}

func (c *checker) Log(string) {}

// playRandomEvents sends a balancer valid random events, drawn from a seed, and returns the broken rules.
func playRandomEvents(t *testing.T, s Settings, seed int64) []string {
	t.Helper()
	rnd := rand.New(rand.NewSource(seed))
	c := &checker{settings: s, now: 1_000_000, listed: map[uint32]Endpoint{}, slowStarts: map[uint32]Micros{},
		slowStartWork: map[uint32]float64{}, requests: map[uint64]*checkedRequest{}}
	b, err := New(s, uint64(seed), c)
	if err != nil {
		t.Fatal(err)
	}
	updateEndpoints := func(kind ListKind, entries []Endpoint) {
		if kind != ListDelta && kind != ListFailed {
			clear(c.listed)
		}
		for _, e := range entries {
			c.listed[e.ID] = e
		}
		b.UpdateEndpoints(c.now, kind, entries)
	}
	b.Start(c.now)
	list := readyEndpoints(1 + rnd.Intn(6))
	updateEndpoints(ListCached, slices.Clone(list))
	var open []uint64
	next := uint64(1)
	statuses := []Status{OK, OK, OK, Error, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent}
	for range 3000 {
		c.now += Micros(rnd.Intn(20_000))
		for i := 0; i < len(c.timers); {
			if p := c.timers[i]; p.dueAt <= c.now {
				c.timers = slices.Delete(c.timers, i, i+1)
				b.Timer(c.now, p.token)
				continue
			}
			i++
		}
		switch n := rnd.Intn(20); {
		case n < 8:
			in := Request{ID: next, Class: uint8(rnd.Intn(len(s.Classes))),
				Deadline: c.now + Micros(rnd.Intn(1_000_000)) - 50_000}
			next++
			c.requests[in.ID] = &checkedRequest{request: in}
			open = append(open, in.ID)
			b.Request(c.now, in)
		case n < 15 && len(open) > 0:
			index := rnd.Intn(len(open))
			r := c.requests[open[index]]
			for i := range r.attempts {
				a := &r.attempts[i]
				if !a.pending {
					continue
				}
				a.pending = false
				status := statuses[rnd.Intn(len(statuses))]
				if status == Rejected || status == ConnectFailed || status == NotSent {
					a.mayHaveRun = false
				}
				if status == OK && r.finalAnswers == 0 && !r.ended {
					r.ended = true
				}
				settled := r.finalAnswers > 0 || r.ended
				b.Outcome(c.now, Outcome{ID: r.request.ID, Attempt: i, Endpoint: a.endpoint.ID, Status: status,
					Latency: c.now - a.sentAt, Answered: settled})
				break
			}
		case n < 16 && len(open) > 0:
			r := c.requests[open[rnd.Intn(len(open))]]
			if r.finalAnswers == 0 {
				r.ended = true
			}
			b.ClientDisconnected(c.now, r.request.ID)
		case n < 18:
			for _, e := range c.probes {
				b.ProbeCompleted(c.now, e, statuses[rnd.Intn(len(statuses))], 500, []float32{float32(rnd.Intn(8))})
			}
			c.probes = c.probes[:0]
		default:
			e := &list[rnd.Intn(len(list))]
			e.State = State(rnd.Intn(3))
			if rnd.Intn(4) == 0 {
				e.State, e.StartTime = Ready, c.now-Micros(rnd.Intn(1_000_000))
			}
			if e.State == Ready && rnd.Intn(4) == 0 {
				e.Zone = uint8(rnd.Intn(3))
			}
			switch rnd.Intn(6) {
			case 0:
				updateEndpoints(ListFull, slices.Clone(list[:rnd.Intn(len(list)+1)]))
			case 1:
				updateEndpoints(ListFailed, nil)
			default:
				updateEndpoints(ListDelta, []Endpoint{*e, *e})
			}
		}
	}
	// All requests that are still open must get their final answer by their deadline.
	for range 400 {
		c.now += 5000
		for i := 0; i < len(c.timers); {
			if p := c.timers[i]; p.dueAt <= c.now && p.token >= firstRequestToken {
				c.timers = slices.Delete(c.timers, i, i+1)
				b.Timer(c.now, p.token)
				continue
			}
			i++
		}
	}
	for id, r := range c.requests {
		if r.finalAnswers == 0 && !r.ended {
			c.addViolation("request %d got no final answer", id)
		}
	}
	return c.violations
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range int64(40) {
		s := testSettings()
		s.Subscribe = seed%2 == 0
		s.Limits.HedgedRequests = seed%3 != 0
		s.Limits.Probes = seed%5 != 0
		s.Limits.MaxAttempts = 1 + int(seed%4)
		s.Prices.Probe *= float64(seed % 7 / 3) // 0 for some seeds, so that requests wait for probes
		for i, violation := range playRandomEvents(t, s, seed) {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, violation)
			}
		}
	}
}

// The checker must detect each kind of broken rule, or TestRulesUnderRandomEvents would prove nothing.
func TestCheckerDetectsBrokenRules(t *testing.T) {
	newChecker := func() *checker {
		c := &checker{settings: testSettings(), listed: map[uint32]Endpoint{}, requests: map[uint64]*checkedRequest{}}
		for _, e := range readyEndpoints(4) {
			c.listed[e.ID] = e
		}
		for class := range uint8(5) {
			c.requests[uint64(class)] = &checkedRequest{request: testRequest(uint64(class), class, 0)}
		}
		return c
	}
	for name, breakRule := range map[string]func(*checker){
		"two final answers":  func(c *checker) { c.Reject(0, 0); c.Fail(0) },
		"send after the end": func(c *checker) { c.Fail(0); c.Send(0, 1, 0) },
		"send to a draining endpoint": func(c *checker) {
			c.listed[1] = Endpoint{ID: 1, State: Draining}
			c.Send(0, 1, 0)
		},
		"not idempotent, sent twice":            func(c *checker) { c.Send(4, 1, 0); c.Send(4, 2, 0) },
		"not idempotent, rejected after a send": func(c *checker) { c.Send(4, 1, 0); c.Reject(4, 0) },
		"repeat outside the zone of its key":    func(c *checker) { c.Send(2, 1, 0); c.Send(2, 3, 0) },
		"repeat outside the cell of its key":    func(c *checker) { c.Send(3, 1, 0); c.Send(3, 3, 0) },
		"repeat after its dedup window": func(c *checker) {
			c.Send(1, 1, 0)
			c.now = second
			c.Send(1, 2, 0)
		},
		"too many attempts": func(c *checker) {
			c.Send(0, 1, 0)
			c.Send(0, 2, 0)
			c.Send(0, 3, 0)
			c.Send(0, 4, 0)
		},
	} {
		c := newChecker()
		if breakRule(c); len(c.violations) == 0 {
			t.Errorf("%s: the checker reported no broken rule", name)
		}
	}
}

// Checks the repeats of a request of each kind of idempotency, for each status of its first attempt.
func TestRepeatsByIdempotencyAndFirstStatus(t *testing.T) {
	neverRan := map[Status]bool{Rejected: true, ConnectFailed: true, NotSent: true}
	for class := range uint8(5) {
		for status := Error; status <= NotSent; status++ {
			s := testSettings()
			b, r := startBalancer(t, s, readyEndpoints(4)) // endpoints 1 and 2 share a zone and a cell, as do 3 and 4
			b.Request(1000, testRequest(1, class, 1000))
			a := b.requests[1].attempts[0]
			b.Outcome(2000, Outcome{ID: 1, Endpoint: a.endpoint.ID, Status: status, Latency: 1000})
			sends := len(r.sends)
			switch settings := s.Classes[class]; {
			case settings.Idempotency == NotIdempotent && !neverRan[status]:
				if sends != 1 || len(r.failed) != 1 {
					t.Errorf("not idempotent, status %d: %d sends, %d failed, want one of each",
						status, sends, len(r.failed))
				}
			case sends != 2:
				t.Errorf("class %d, status %d: %d sends, want 2", class, status, sends)
			case settings.Idempotency == WithIdempotencyKey && settings.DedupScope != DedupAll && !neverRan[status]:
				if (r.sends[0].endpoint-1)/2 != (r.sends[1].endpoint-1)/2 {
					t.Errorf("class %d, status %d: repeat sent outside the scope of deduplication", class, status)
				}
			}
		}
	}
}

func TestDedupWindowStartsAtFirstAttemptThatMayHaveRun(t *testing.T) {
	s := testSettings()
	s.Limits.HedgedRequests = false
	b, r := startBalancer(t, s, readyEndpoints(2))
	b.Request(1000, testRequest(1, 3, 1000))
	first := r.sends[0].endpoint
	b.Outcome(1000+s.Classes[3].DedupWindow, Outcome{ID: 1, Endpoint: first, Status: Reset})
	if len(r.sends) != 1 || len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Errorf("after the window: sends %v, failed %v, rejected %v, want one send and one failure",
			r.sends, r.failed, r.rejected)
	}
}

func TestNoEndpointMeansRejection(t *testing.T) {
	b, r := startBalancer(t, testSettings(), nil)
	b.Request(1000, testRequest(1, 4, 1000))
	b.Request(1000, Request{ID: 2, Deadline: 500})
	if len(r.rejected) != 2 || b.openRequests != 0 || len(b.requests) != 0 {
		t.Errorf("rejected %v, want requests 1 and 2; %d open, want none", r.rejected, b.openRequests)
	}
}

func TestUnansweredAttemptEndsAtTheDeadline(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(1))
	b.Request(1000, testRequest(1, 4, 1000))
	token := b.requests[1].token
	b.Timer(1000+second, token)
	if len(r.failed) != 1 || len(r.cancels) != 1 {
		t.Fatalf("after the deadline: failed %v, cancelled %v, want one of each", r.failed, r.cancels)
	}
	b.Outcome(2*second, Outcome{ID: 1, Endpoint: 1, Status: OK, Latency: second, Answered: true})
	if b.endpoints[0].breaker.accepts != 1 || b.endpoints[0].inflight != 0 || len(b.requests) != 0 {
		t.Error("an outcome after the deadline was not counted, or its request is still recorded")
	}
	b.Request(3*second, testRequest(2, 0, 3*second))
	b.Timer(3*second, token) // timer of the ended request, whose slot is used again
	if len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Error("a timer of an ended request ended another request")
	}
}

func TestDrainingEndpointGetsNothing(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(2))
	b.UpdateEndpoints(1000, ListDelta, []Endpoint{{ID: 1, State: Draining}})
	b.UpdateEndpoints(1000, ListFull, []Endpoint{{ID: 1, State: Draining}, {ID: 3, State: Ready}})
	for id := range uint64(20) {
		b.Request(2000, testRequest(id, 0, 2000))
	}
	for _, s := range r.sends {
		if s.endpoint == 1 || s.endpoint == 2 {
			t.Fatalf("request sent to endpoint %d, which is draining or removed", s.endpoint)
		}
	}
}

// slowStartSends counts the requests sent within the overload window after some endpoints start, under a steady load:
// those to each of the starting endpoints that got any, and the mean of the ten warm ones.
func slowStartSends(t *testing.T, rate int, starting int) (warmingUp []int, warm float64) {
	t.Helper()
	s := testSettings()
	list := readyEndpoints(10)
	b, r := startBalancer(t, s, list)
	id, seen := uint64(0), 0
	counts := map[uint32]int{}
	run := func(from, to Micros) {
		for now := from; now < to; now += second / Micros(rate) {
			for e := range uint32(12) {
				b.ProbeCompleted(now, e+1, OK, 500, []float32{0})
			}
			id++
			b.Request(now, testRequest(id, 0, now))
			for ; seen < len(r.sends); seen++ {
				counts[r.sends[seen].endpoint]++
				b.Outcome(now, Outcome{ID: r.sends[seen].id, Endpoint: r.sends[seen].endpoint, Status: OK,
					Latency: 30_000, Answered: true})
			}
		}
	}
	run(0, 5*second)
	clear(counts)
	for i := range starting {
		b.UpdateEndpoints(5*second, ListDelta, []Endpoint{{ID: uint32(11 + i), State: Ready,
			StartTime: 5 * second}})
	}
	run(5*second, 6*second)
	for e, n := range counts {
		if e >= 11 {
			warmingUp = append(warmingUp, n)
		} else {
			warm += float64(n) / 10
		}
	}
	return warmingUp, warm
}

func TestSlowStartEndpointGetsItsShare(t *testing.T) {
	for _, c := range []struct{ rate, starting int }{{100, 1}, {500, 1}, {500, 2}, {2000, 2}} {
		warmingUp, warm := slowStartSends(t, c.rate, c.starting)
		for _, n := range warmingUp {
			// The guaranteed capacity grows from 0.2 to 0.28 in this second. One request may be added by rounding.
			if float64(n) > 0.28*warm+1 {
				t.Errorf("%d requests per second: %d sent to an endpoint in slow start, %.1f to a warm one",
					c.rate, n, warm)
			}
		}
	}
}

func TestRestartOfTheOnlyEndpoint(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(1)[:1])
	b.UpdateEndpoints(second, ListDelta, []Endpoint{{ID: 1, State: Ready, StartTime: second}})
	for i := range uint64(400) {
		now := second + Micros(i)*10_000
		b.Request(now, testRequest(i, 0, now))
		if n := len(r.sends); n > 0 && b.requests[i] != nil {
			b.Outcome(now, Outcome{ID: i, Endpoint: 1, Status: OK, Latency: 10_000, Answered: true})
		}
	}
	if n := len(r.sends); n < 20 || n > 250 {
		t.Errorf("%d of 400 requests sent to the only endpoint during its slow start, want 20 to 250", n)
	}
}

func TestBrokenSubscriptionIsRetried(t *testing.T) {
	s := testSettings()
	s.Subscribe = true
	b, r := startBalancer(t, s, readyEndpoints(2))
	now := Micros(0)
	fireDiscoveryTimer := func() {
		for i, token := range r.timers {
			if token == tokenDiscovery {
				now += r.delays[i]
				r.timers, r.delays = nil, nil
				b.Timer(now, tokenDiscovery)
				return
			}
		}
		t.Fatal("no timer for a poll of discovery is set")
	}
	fireDiscoveryTimer()
	for n := 1; n < 8; n++ {
		if r.watches != n {
			t.Fatalf("%d calls of Watch, want %d", r.watches, n)
		}
		before := now
		if n%2 == 0 {
			b.UpdateEndpoints(now, ListFailed, nil)
		} // else the answer is lost
		fireDiscoveryTimer()
		if now-before > s.Contract.PollInterval {
			t.Fatalf("discovery was polled only after %d µs, want at most the poll interval", now-before)
		}
	}
	if len(b.endpoints) != 2 {
		t.Error("a failed discovery call changed the endpoint list")
	}
	b.UpdateEndpoints(now, ListDelta, nil)
	n := r.watches
	b.Timer(now+100*second, tokenDiscovery)
	if r.watches != n {
		t.Error("discovery was polled while subscribed")
	}
}

// Whatever Contract.PollInterval is, the backoff after a failed discovery call must be neither long nor so short that
// calls follow each other without a pause, and the first call must be soon.
func TestPollBackoffIsBounded(t *testing.T) {
	for _, interval := range []Micros{0, 1, second / 2, 2 * second, 10 * second, 3600 * second,
		math.MaxInt64 / 4} {
		s := testSettings()
		s.Subscribe, s.Contract.PollInterval = true, interval
		b, r := startBalancer(t, s, readyEndpoints(2))
		nextDelay := func() Micros {
			index := slices.Index(r.timers, tokenDiscovery)
			delay := r.delays[index]
			r.timers, r.delays = nil, nil
			return delay
		}
		now := nextDelay()
		if now > second+1 {
			t.Errorf("poll interval %d: first poll after %d µs, want at most a second", interval, now)
		}
		for n := range 40 {
			took := []Micros{0, second, 5 * second / 4, 60 * second}[n%4] // time until the call fails
			b.Timer(now, tokenDiscovery)
			if retryDelay := nextDelay(); retryDelay < MinPollInterval {
				t.Errorf("poll interval %d: next poll already after %d µs", interval, retryDelay)
			}
			b.UpdateEndpoints(now+took, ListFailed, nil)
			pause := nextDelay()
			if r.watches != n+1 || pause > max(MaxPollInterval*3/2-took, PollJitter)+1 ||
				took+pause < MinPollInterval/2 {
				t.Errorf("poll interval %d: call %d, next poll %d µs after it failed, which took %d µs",
					interval, r.watches, pause, took)
			}
			now += took + pause
		}
	}
}

func TestStreamedAnswerHasNoDeadlineAndNoRetry(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(2))
	b.Request(1000, testRequest(1, 0, 1000))
	b.ResponseStarted(2000, 1, 0, 1000)
	b.Timer(2*second, b.requests[1].token)
	if len(r.sends) != 1 || len(r.rejected)+len(r.failed) != 0 {
		t.Error("a request whose answer is being streamed was retried or ended")
	}
	b.Outcome(3*second, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: OK, Latency: 3 * second,
		Answered: true})
	if len(b.requests) != 0 {
		t.Error("the record of the ended request is still kept")
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() *recorder {
		b, r := startBalancer(t, testSettings(), readyEndpoints(5))
		for i := range uint64(200) {
			now := Micros(i) * 7000
			b.Request(now, testRequest(i, uint8(i%5), now))
			if i%3 == 0 {
				b.Timer(now, tokenProbe)
				b.ProbeCompleted(now, uint32(i%5+1), OK, 500, []float32{float32(i % 4)})
			}
			last := r.sends[len(r.sends)-1]
			b.Outcome(now, Outcome{ID: last.id, Endpoint: last.endpoint, Status: Status(i % 7), Latency: 3000})
		}
		return r
	}
	if a, b := fmt.Sprint(run()), fmt.Sprint(run()); a != b {
		t.Error("two runs with the same seed and events called different actions")
	}
}

func TestSteadyStateDoesNotAllocate(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(5))
	id := uint64(0)
	once := func() {
		id++
		r.sends, r.timers, r.delays = r.sends[:0], r.timers[:0], r.delays[:0]
		b.Request(1000, testRequest(id, 0, 1000))
		b.Outcome(2000, Outcome{ID: id, Endpoint: r.sends[0].endpoint, Status: OK, Latency: 1000, Answered: true})
	}
	for range 100 {
		once()
	}
	if n := testing.AllocsPerRun(200, once); n > 0.1 {
		t.Errorf("%v allocations per request, want none", n)
	}
}

// Guards against a request without a final answer because the settings do not have its class.
func TestRequestOfUnknownClassIsRejected(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(2))
	b.Request(1000, testRequest(1, 99, 1000))
	if len(r.rejected) != 1 || len(r.sends) != 0 || len(b.requests) != 0 {
		t.Errorf("rejected %v, sends %v, want the request rejected", r.rejected, r.sends)
	}
}

// Operators must be told why requests are rejected, in one log line per second and not in thousands.
func TestRejectionsAreLoggedOnceASecond(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(1))
	b.ProbeCompleted(1000, 1, OK, 500, []float32{50})
	for id := range uint64(200) {
		now := second + 5000*Micros(id)
		b.ProbeCompleted(now, 1, OK, 500, []float32{50})
		b.Request(now, testRequest(id, 0, now))
	}
	if len(r.rejected) < 150 {
		t.Fatalf("%d of 200 requests rejected, want at least 150", len(r.rejected))
	}
	if len(r.logs) != 1 || !strings.Contains(r.logs[0], "endpoint 1, would take") {
		t.Errorf("log lines %q, want one for endpoint 1", r.logs)
	}
}
