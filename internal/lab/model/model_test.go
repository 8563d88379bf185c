package model

import (
	"context"
	"fmt"
	"math"
	"testing"

	"birchmoor/internal/lab/eventqueue"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/trace"
)

// fakeHost is a host without sidecars. It passes clients' requests to answer; without it, requests get no answer.
type fakeHost struct {
	answer       func(*Request)
	updates      []Update
	endedWatches int
	abandoned    int
	faults       []string
}

func (n *fakeHost) SendRequest(request *Request) {
	if n.answer != nil {
		n.answer(request)
	}
}
func (n *fakeHost) AbandonRequest(*Request) { n.abandoned++ }
func (n *fakeHost) ServerStarted(int)       {}
func (n *fakeHost) ServerStopped(int)       {}
func (n *fakeHost) SetFault(f *scenario.Fault, on bool) {
	n.faults = append(n.faults, fmt.Sprint(f.Kind, on))
}
func (n *fakeHost) SetAdministrativeDrain(server int, out bool) {
	n.faults = append(n.faults, fmt.Sprint(server, out))
}
func (n *fakeHost) SendUpdate(_ int, u Update, sent UpdateSent) {
	n.updates = append(n.updates, u)
	sent()
}
func (n *fakeHost) WatchEnded(int) { n.endedWatches++ }
func (n *fakeHost) appendTo(list *[]trace.Event) trace.Sink {
	return trace.Func(func(e trace.Event) { *list = append(*list, e) })
}

// newWorld returns the prepared world of a scenario's text, with its host and the list that its events are appended to.
func newWorld(t *testing.T, text string) (*World, *fakeHost, *[]trace.Event) {
	t.Helper()
	s, err := scenario.Parse("x.toml", []byte(`name = "x"`+"\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	host, events := &fakeHost{}, &[]trace.Event{}
	w := New(eventqueue.NewVirtual(), s, 1, host, host.appendTo(events))
	w.Prepare()
	return w, host, events
}

// runUntil runs the queue until an instant.
func runUntil(t *testing.T, w *World, until Micros) {
	t.Helper()
	w.Queue.At(until, func() {})
	if err := w.Queue.Run(context.Background(), func() bool { return w.Queue.Now() >= until }); err != nil {
		t.Fatal(err)
	}
}

const oneServer = "[[servers]]\ncores = 2\nslots_per_core = 2\nqueue = 1\ncold_from = [0.25]\ncold_for = \"10s\"\n%s\n[[class]]\nname = \"look\"\n[[class]]\nname = \"pay\"\nunsafe = true\n"

// beginJobs begins n attempts of 100 ms each. It returns a slice that holds the end of each once the queue has run, and
// 0 for a rejected one.
func beginJobs(s *Server, n int) []Micros {
	ends := make([]Micros, n)
	for i := range n {
		j := &Job{Request: uint64(i + 1), Work: 100_000}
		j.Done = func(Outcome) { ends[i] = s.world.Queue.Now() }
		if !s.Begin(j) {
			ends[i] = 0
		}
	}
	return ends
}

func TestCoresAreShared(t *testing.T) {
	for _, c := range []struct {
		n    int
		want []Micros
	}{
		{1, []Micros{100_000}},
		{2, []Micros{100_000, 100_000}},
		{4, []Micros{200_000, 200_000, 200_000, 200_000}},
		{6, []Micros{200_000, 200_000, 200_000, 200_000, 300_000, 0}}, // the fifth waits, the sixth is rejected
	} {
		w, _, _ := newWorld(t, fmt.Sprintf(oneServer, ""))
		ends := beginJobs(w.Servers[0], c.n)
		runUntil(t, w, 5*eventqueue.Second)
		for i := range c.want {
			if math.Abs(float64(ends[i]-c.want[i])) > 10 {
				t.Errorf("%d jobs: job %d ended at %d, want %d", c.n, i, ends[i], c.want[i])
			}
		}
	}
}

func TestColdServerIsSlow(t *testing.T) {
	w, _, list := newWorld(t, fmt.Sprintf(oneServer, ""))
	s := w.Servers[0]
	w.restart(s)
	if got := s.Warmth(w.Queue.Now()); got != 0.25 {
		t.Fatalf("warmth at the start is %v, want 0.25", got)
	}
	ends := beginJobs(s, 1)
	runUntil(t, w, 10*eventqueue.Second)
	// The speed after t seconds is 0.25 + 0.075 t. The job ends where 0.1 = 0.25 t + 0.0375 t^2, at t = 0.378.
	if math.Abs(float64(ends[0]-378_000)) > 10_000 || s.Warmth(w.Queue.Now()) != 1 {
		t.Errorf("100 ms of work took %d µs; warmth after the ramp is %v", ends[0], s.Warmth(w.Queue.Now()))
	}
	n := 0
	for _, e := range *list {
		if e.Kind == trace.ServerStarted && e.ColdFrom == 0.25 && e.ColdFor == 10*eventqueue.Second {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d cold starts were recorded, want 1", n)
	}
}

func TestColdServerCollapsesUnderOverload(t *testing.T) {
	w, _, list := newWorld(t, fmt.Sprintf(oneServer, "")+"[rules]\noverload_for = \"1s\"\n")
	s := w.Servers[0]
	w.restart(s)
	// The cold server does 0.5 s of work per second. It is sent 4 s within 0.8 s: more than three times as much with
	// the slack of a quarter and four mean requests.
	for i := range 40 {
		w.Queue.At(Micros(i)*20_000,
			func() { s.Begin(&Job{Request: uint64(i + 1), Work: 100_000, Done: func(Outcome) {}}) })
	}
	runUntil(t, w, 2*eventqueue.Second)
	collapsed := false
	for _, e := range *list {
		collapsed = collapsed || e.Kind == trace.ServerCollapsed
	}
	if !collapsed || s.Running {
		t.Errorf("overloaded cold server: collapse recorded %v, process running %v", collapsed, s.Running)
	}
}

func TestCancel(t *testing.T) {
	for kind, want := range map[string][2]bool{"none": {false, false}, "queued": {false, true}, "all": {true, true}} {
		w, _, _ := newWorld(t, fmt.Sprintf(oneServer, "cancel = \""+kind+"\""))
		s := w.Servers[0]
		var list []*Job
		for i := range 5 {
			j := &Job{Request: uint64(i + 1), Work: 100_000, Done: func(Outcome) {}}
			s.Begin(j)
			list = append(list, j)
		}
		// The waiting job is cancelled first, because it would start once a running one was cancelled.
		if waiting, working := s.Cancel(list[4]), s.Cancel(list[0]); working != want[0] || waiting != want[1] {
			t.Errorf("cancel = %s: running job was freed %v, waiting job was freed %v", kind, working, waiting)
		}
		runUntil(t, w, 5*eventqueue.Second)
		if s.heldRequests() != 0 || s.Cancel(list[1]) {
			t.Errorf("cancel = %s: %d requests are held after all ended, or a finished job was cancelled",
				kind, s.heldRequests())
		}
	}
}

func TestOverloadedServerIsChokedUntilItRecovers(t *testing.T) {
	w, _, _ := newWorld(t, fmt.Sprintf(oneServer,
		"choke = { at = 2.0, over = \"500ms\", slower = 4.0, below = 0.1, rest = \"1s\", most = \"60s\" }"))
	s := w.Servers[0]
	for range 5 {
		s.Begin(&Job{Request: 1, Work: 1e6, Done: func(Outcome) {}})
	}
	runUntil(t, w, 400_000)
	if s.Choked() {
		t.Fatal("choked before the overload lasted 500 ms")
	}
	runUntil(t, w, 700_000)
	if !s.Choked() {
		t.Fatal("not choked after an overload of more than 500 ms")
	}
	runUntil(t, w, 11_000_000) // the jobs left take four times as long, until 10.5 s; recovery takes 1 s more
	if !s.Choked() {
		t.Error("the choke ended before the recovery had lasted 1 s")
	}
	runUntil(t, w, 12_000_000)
	if s.Choked() {
		t.Error("still choked after the recovery")
	}
}

func TestHangGrayErrorsAndSlowness(t *testing.T) {
	w, _, _ := newWorld(t, fmt.Sprintf(oneServer, "")+`
[[fault]]
kind = "hang"
at = "1s"
for = "1s"
[[fault]]
kind = "gray-errors"
at = "4s"
for = "1s"
class = "pay"
sidecars = [1]
share = 1.0
[[fault]]
kind = "slow"
at = "6s"
for = "1s"
factor = 3.0
[load]
rate = 0.001
`)
	w.Begin()
	s := w.Servers[0]
	var hung, slow Micros
	outcomes := map[string]Outcome{}
	begin := func(at Micros, j Job, done func(Outcome)) {
		w.Queue.At(at, func() { j.Request, j.Work, j.Done = 1, 100_000, done; s.Begin(&j) })
	}
	begin(1500_000, Job{}, func(Outcome) { hung = w.Queue.Now() })
	begin(4200_000, Job{Class: 0, Sidecar: 1}, func(o Outcome) { outcomes["other class"] = o })
	begin(4200_000, Job{Class: 1, Sidecar: 0}, func(o Outcome) { outcomes["other sidecar"] = o })
	begin(4500_000, Job{Class: 1, Sidecar: 1}, func(o Outcome) { outcomes["both"] = o })
	begin(6100_000, Job{}, func(Outcome) { slow = w.Queue.Now() })
	runUntil(t, w, 10*eventqueue.Second)
	if math.Abs(float64(hung-2100_000)) > 100 || math.Abs(float64(slow-6400_000)) > 100 {
		t.Errorf("job at the hanging server ended at %d, job at the slow one at %d", hung, slow)
	}
	if outcomes["other class"] != Succeeded || outcomes["other sidecar"] != Succeeded || outcomes["both"] != Errored {
		t.Errorf("outcomes under gray errors are %v, want only that of both to be an error", outcomes)
	}
}

func TestCrashBreaksJobs(t *testing.T) {
	w, _, _ := newWorld(t, fmt.Sprintf(oneServer, ""))
	s := w.Servers[0]
	broken := 0
	for range 5 {
		s.Begin(&Job{Request: 1, Work: 100_000, Done: func(o Outcome) {
			if o == ConnectionBroken {
				broken++
			}
		}})
	}
	s.Open(0)
	s.stop()
	if broken != 5 || s.connections != 0 || s.Begin(&Job{Request: 2, Done: func(Outcome) {}}) {
		t.Errorf("%d of 5 jobs broke and %d connections are left, or a job began after the stop", broken, s.connections)
	}
}

const twoServers = "[[servers]]\ncount = 2\n[[class]]\nname = \"look\"\n[[class]]\nname = \"pay\"\nunsafe = true\n"

func TestDiscovery(t *testing.T) {
	w, h, list := newWorld(t, twoServers+"[discovery]\nnotice = \"1s\"\ncapacity = 1\ncall = \"20ms\"\n")
	d := w.Discovery
	var first Update
	d.Call(0, 0, true, func(u Update, ok bool) { first = u })
	runUntil(t, w, 100_000)
	if !first.Reset || len(first.Entries) != 2 {
		t.Fatalf("the full list is %+v, want a reset with 2 entries", first)
	}
	d.scheduleChange(1, trace.Draining, 0, eventqueue.Second)
	runUntil(t, w, 2*eventqueue.Second)
	if len(h.updates) != 1 || h.updates[0].Reset || h.updates[0].Entries[0].State != trace.Draining {
		t.Fatalf("updates on the watch are %+v, want one with a draining server", h.updates)
	}
	lastEvent := (*list)[len(*list)-1]
	if lastEvent.Kind != trace.ServerListed || lastEvent.Server != 1 || lastEvent.At < 700_000 {
		t.Errorf("the last event is %+v, want the delayed update of server 1", lastEvent)
	}
	// A watch from an earlier generation gets the changes since, one from the future the full list.
	if u := d.changesSince(0, firstGeneration); u.Reset || len(u.Entries) != 1 {
		t.Errorf("changes since the first generation: %+v", u)
	}
	if u := d.changesSince(0, 999); !u.Reset || len(u.Entries) != 2 {
		t.Errorf("changes since a future generation: %+v", u)
	}
	d.setDown(true)
	failed := false
	d.Call(0, 0, false, func(_ Update, ok bool) { failed = !ok })
	d.scheduleChange(0, trace.Removed, 0, 0)
	runUntil(t, w, 4*eventqueue.Second)
	if h.endedWatches != 1 || !failed || len(h.updates) != 1 {
		t.Errorf("discovery down: %d watches ended, call failed %v, %d updates; want 1, true, 1",
			h.endedWatches, failed, len(h.updates))
	}
	d.setDown(false)
	var afterOutage Update
	d.Call(0, firstGeneration, false, func(u Update, ok bool) { afterOutage = u })
	runUntil(t, w, 5*eventqueue.Second)
	if len(afterOutage.Entries) != 2 || afterOutage.Entries[0].State != trace.Removed {
		t.Errorf("after the outage, the changes are %+v", afterOutage)
	}
	// Calls queue for discovery's capacity, and those that would wait too long fail.
	slow := 0
	for range 100 {
		d.Call(1, 0, false, func(_ Update, ok bool) {
			if !ok {
				slow++
			}
		})
	}
	runUntil(t, w, 9*eventqueue.Second)
	if slow == 0 || slow > 99 {
		t.Errorf("%d of 100 concurrent calls failed, want some but not all", slow)
	}
}

// Arrivals depend on the seed alone: not on the outcomes of earlier requests, nor on draws from other streams.
func TestArrivalsAreOpenLoop(t *testing.T) {
	arrivals := func(text string, answer func(*World, *Request)) (list []string) {
		w, h, events := newWorld(t, twoServers+"[load]\nrate = 50.0\n[fleet]\nsidecars = 2\n"+text)
		if answer != nil {
			h.answer = func(request *Request) { answer(w, request) }
		}
		w.Begin()
		runUntil(t, w, 30*eventqueue.Second)
		for _, e := range *events {
			if e.Kind == trace.RequestSent && !e.Retry {
				list = append(list, fmt.Sprint(e.At, e.Task, e.Class, e.Work))
			}
		}
		return list
	}
	alone := arrivals("", nil)
	served := arrivals("[net]\nsame = \"1ms\"\n", func(w *World, request *Request) {
		w.Queue.After(1000, func() { w.Answer(request, w.Queue.Now(), trace.Rejected, 5000) })
	})
	if len(alone) < 800 || len(alone) > 1200 || len(alone) != len(served) {
		t.Fatalf("%d and %d arrivals in 20 s at 50 per second, want the same number near 1000", len(alone), len(served))
	}
	for i := range alone {
		if alone[i] != served[i] {
			t.Fatalf("arrival %d differs: %s without answers, %s with answers", i, alone[i], served[i])
		}
	}
}

// Clients retry as often as configured, but not after a failure in an unsafe class, and each task ends.
func TestClientsRetryByVerdictAndClass(t *testing.T) {
	for _, c := range []struct {
		v          trace.Verdict
		safe, paid int // requests per task, in a safe class and in an unsafe one
	}{{trace.Served, 1, 1}, {trace.Rejected, 3, 3}, {trace.Failed, 3, 1}} {
		w, h, list := newWorld(t, twoServers+"[load]\nrate = 20.0\n[clients]\nretries = 2\nbackoff = \"1ms\"\n")
		h.answer = func(y *Request) { w.Queue.After(1000, func() { w.Answer(y, w.Queue.Now(), c.v, 0) }) }
		w.Begin()
		runUntil(t, w, 30*eventqueue.Second)
		requests := map[uint64]int{}
		class := map[uint64]uint8{}
		for _, e := range *list {
			if e.Kind == trace.RequestSent {
				requests[e.Task]++
				class[e.Task] = e.Class
			}
		}
		for id, n := range requests {
			if want := []int{c.safe, c.paid}[class[id]]; n != want {
				t.Errorf("verdict %d, class %d: %d requests for a task, want %d", c.v, class[id], n, want)
			}
		}
		if !w.Done() || w.Open() != 0 {
			t.Errorf("%d tasks have not ended", w.Open())
		}
	}
}

func TestRequestsTimeOutWithoutAnswer(t *testing.T) {
	w, h, list := newWorld(t, twoServers+"[load]\nrate = 20.0\n")
	w.Begin() // requests get no answer
	runUntil(t, w, 30*eventqueue.Second)
	sent, abandoned := 0, 0
	for _, e := range *list {
		sent += btoi(e.Kind == trace.RequestSent)
		abandoned += btoi(e.Kind == trace.RequestAbandoned)
	}
	if !w.Done() || sent != abandoned || h.abandoned != abandoned || abandoned == 0 {
		t.Errorf("%d requests, %d timeouts recorded, %d reported to the host, %d tasks open",
			sent, abandoned, h.abandoned, w.Open())
	}
}

func btoi(yes bool) int { return int(boolToMicros(yes)) }

func TestReportsAreLate(t *testing.T) {
	w, _, _ := newWorld(t, fmt.Sprintf(oneServer, "report = { every = \"10ms\", delay = \"50ms\" }"))
	s := w.Servers[0]
	w.Queue.At(1000, func() { s.Report() })
	w.Queue.At(100_000, func() { beginJobs(s, 2); s.Report() })
	var soon, later float64
	w.Queue.At(120_000, func() { soon = s.Report().Inflight })
	w.Queue.At(175_000, func() { later = s.Report().Inflight })
	runUntil(t, w, eventqueue.Second)
	if soon != 0 || later != 2 {
		t.Errorf("the report counts %v requests 20 ms after two arrived and %v after 75 ms, want 0 and 2", soon, later)
	}
}
