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

// nobody is a host without sidecars: what is asked is answered by answer, or not at all.
type nobody struct {
	answer  func(*Try)
	updates []Update
	ended   int
	left    int
	faults  []string
}

func (n *nobody) Ask(y *Try) {
	if n.answer != nil {
		n.answer(y)
	}
}
func (n *nobody) GiveUp(*Try)       { n.left++ }
func (n *nobody) ServerStarted(int) {}
func (n *nobody) ServerStopped(int) {}
func (n *nobody) Fault(f *scenario.Fault, on bool) {
	n.faults = append(n.faults, fmt.Sprint(f.Kind, on))
}
func (n *nobody) Operate(server int, out bool)       { n.faults = append(n.faults, fmt.Sprint(server, out)) }
func (n *nobody) Update(_ int, u Update, after Told) { n.updates = append(n.updates, u); after() }
func (n *nobody) WatchEnded(int)                     { n.ended++ }
func (n *nobody) take(list *[]trace.Event) trace.Sink {
	return trace.Func(func(e trace.Event) { *list = append(*list, e) })
}

func world(t *testing.T, text string) (*World, *nobody, *[]trace.Event) {
	t.Helper()
	s, err := scenario.Parse("x.toml", []byte(`name = "x"`+"\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	h, list := &nobody{}, &[]trace.Event{}
	w := New(eventqueue.NewVirtual(), s, 1, h, h.take(list))
	w.Prepare()
	return w, h, list
}

func run(t *testing.T, w *World, until Micros) {
	t.Helper()
	w.Q.At(until, func() {})
	if err := w.Q.Run(context.Background(), func() bool { return w.Q.Now() >= until }); err != nil {
		t.Fatal(err)
	}
}

const oneServer = "[[servers]]\ncores = 2\nslots_per_core = 2\nqueue = 1\ncold_from = [0.25]\ncold_for = \"10s\"\n%s\n[[class]]\nname = \"look\"\n[[class]]\nname = \"pay\"\nunsafe = true\n"

// jobs begins n jobs of 100 ms now and returns when each ended, 0 for turned away.
func jobs(s *Server, n int) []Micros {
	ends := make([]Micros, n)
	for i := range n {
		j := &Job{Request: uint64(i + 1), Work: 100_000}
		j.Done = func(Outcome) { ends[i] = s.w.Q.Now() }
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
		{6, []Micros{200_000, 200_000, 200_000, 200_000, 300_000, 0}}, // one waits, one is turned away
	} {
		w, _, _ := world(t, fmt.Sprintf(oneServer, ""))
		ends := jobs(w.Servers[0], c.n)
		run(t, w, 5*eventqueue.Second)
		for i := range c.want {
			if math.Abs(float64(ends[i]-c.want[i])) > 10 {
				t.Errorf("%d jobs: job %d ended at %d, want %d", c.n, i, ends[i], c.want[i])
			}
		}
	}
}

func TestColdServerIsSlow(t *testing.T) {
	w, _, list := world(t, fmt.Sprintf(oneServer, ""))
	s := w.Servers[0]
	w.restart(s)
	if got := s.Warmth(w.Q.Now()); got != 0.25 {
		t.Fatalf("it starts at %v", got)
	}
	ends := jobs(s, 1)
	run(t, w, 10*eventqueue.Second)
	// Its speed is 0.25 + 0.075 t: 0.1 = 0.25 t + 0.0375 t^2 at t = 0.378.
	if math.Abs(float64(ends[0]-378_000)) > 10_000 || s.Warmth(w.Q.Now()) != 1 {
		t.Errorf("100 ms of work took %d µs; warmth after the ramp is %v", ends[0], s.Warmth(w.Q.Now()))
	}
	n := 0
	for _, e := range *list {
		if e.Kind == trace.Started && e.ColdFrom == 0.25 && e.ColdFor == 10*eventqueue.Second {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d cold starts were told", n)
	}
}

func TestPushedOver(t *testing.T) {
	w, _, list := world(t, fmt.Sprintf(oneServer, "")+"[rules]\noverload_for = \"1s\"\n")
	s := w.Servers[0]
	w.restart(s)
	// It can do 0.5 s of work a second; three times that, a quarter more for chance and four mean works are too much.
	for i := range 40 {
		w.Q.At(Micros(i)*20_000, func() { s.Begin(&Job{Request: uint64(i + 1), Work: 100_000, Done: func(Outcome) {}}) })
	}
	run(t, w, 2*eventqueue.Second)
	fell := false
	for _, e := range *list {
		fell = fell || e.Kind == trace.Fell
	}
	if !fell || s.Running {
		t.Errorf("it was sent too much and stands: fell %v, runs %v", fell, s.Running)
	}
}

func TestCancel(t *testing.T) {
	for kind, want := range map[string][2]bool{"none": {false, false}, "queued": {false, true}, "all": {true, true}} {
		w, _, _ := world(t, fmt.Sprintf(oneServer, "cancel = \""+kind+"\""))
		s := w.Servers[0]
		var list []*Job
		for i := range 5 {
			j := &Job{Request: uint64(i + 1), Work: 100_000, Done: func(Outcome) {}}
			s.Begin(j)
			list = append(list, j)
		}
		// The waiting one first: the end of one in work would take it in.
		if waiting, working := s.Cancel(list[4]), s.Cancel(list[0]); working != want[0] || waiting != want[1] {
			t.Errorf("cancel = %s frees one in work %v, one that waits %v", kind, working, waiting)
		}
		run(t, w, 5*eventqueue.Second)
		if s.holds() != 0 || s.Cancel(list[1]) {
			t.Errorf("cancel = %s: %d are held after the end", kind, s.holds())
		}
	}
}

func TestChoke(t *testing.T) {
	w, _, _ := world(t, fmt.Sprintf(oneServer, "choke = { at = 2.0, over = \"500ms\", slower = 4.0, below = 0.1, rest = \"1s\", most = \"60s\" }"))
	s := w.Servers[0]
	for range 5 {
		s.Begin(&Job{Request: 1, Work: 1e6, Done: func(Outcome) {}})
	}
	run(t, w, 400_000)
	if s.Choked() {
		t.Fatal("choked too soon")
	}
	run(t, w, 700_000)
	if !s.Choked() {
		t.Fatal("held too many for too long, and is not choked")
	}
	run(t, w, 11_000_000) // what is left takes four times as long, until 10.5 s; then it must rest for a second
	if !s.Choked() {
		t.Error("let go without rest")
	}
	run(t, w, 12_000_000)
	if s.Choked() {
		t.Error("it has rested, and is choked")
	}
}

func TestBehaviours(t *testing.T) {
	w, _, _ := world(t, fmt.Sprintf(oneServer, "")+`
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
	how := map[string]Outcome{}
	begin := func(at Micros, j Job, done func(Outcome)) {
		w.Q.At(at, func() { j.Request, j.Work, j.Done = 1, 100_000, done; s.Begin(&j) })
	}
	begin(1500_000, Job{}, func(Outcome) { hung = w.Q.Now() })
	begin(4200_000, Job{Class: 0, Sidecar: 1}, func(o Outcome) { how["other class"] = o })
	begin(4200_000, Job{Class: 1, Sidecar: 0}, func(o Outcome) { how["other sidecar"] = o })
	begin(4500_000, Job{Class: 1, Sidecar: 1}, func(o Outcome) { how["both"] = o })
	begin(6100_000, Job{}, func(Outcome) { slow = w.Q.Now() })
	run(t, w, 10*eventqueue.Second)
	if math.Abs(float64(hung-2100_000)) > 100 || math.Abs(float64(slow-6400_000)) > 100 {
		t.Errorf("hung until %d, slow until %d", hung, slow)
	}
	if how["other class"] != Good || how["other sidecar"] != Good || how["both"] != Bad {
		t.Errorf("gray errors: %v", how)
	}
}

func TestCrashBreaksJobs(t *testing.T) {
	w, _, _ := world(t, fmt.Sprintf(oneServer, ""))
	s := w.Servers[0]
	broken := 0
	for range 5 {
		s.Begin(&Job{Request: 1, Work: 100_000, Done: func(o Outcome) {
			if o == Broken {
				broken++
			}
		}})
	}
	s.Open(0)
	s.stop()
	if broken != 5 || s.conns != 0 || s.Begin(&Job{Request: 2, Done: func(Outcome) {}}) {
		t.Errorf("%d of 5 jobs broke, %d connections are left", broken, s.conns)
	}
}

const twoServers = "[[servers]]\ncount = 2\n[[class]]\nname = \"look\"\n[[class]]\nname = \"pay\"\nunsafe = true\n"

func TestDiscovery(t *testing.T) {
	w, h, list := world(t, twoServers+"[discovery]\nnotice = \"1s\"\ncapacity = 1\ncall = \"20ms\"\n")
	d := w.Disc
	var first Update
	d.Call(0, 0, true, func(u Update, ok bool) { first = u })
	run(t, w, 100_000)
	if !first.Reset || len(first.Entries) != 2 {
		t.Fatalf("the whole list is %+v", first)
	}
	d.change(1, trace.Draining, 0, eventqueue.Second)
	run(t, w, 2*eventqueue.Second)
	if len(h.updates) != 1 || h.updates[0].Reset || h.updates[0].Entries[0].State != trace.Draining {
		t.Fatalf("the watch told %+v", h.updates)
	}
	told := (*list)[len(*list)-1]
	if told.Kind != trace.Told || told.Server != 1 || told.At < 700_000 {
		t.Errorf("the last event is %+v", told)
	}
	// A watch from an earlier version is told what it missed, one from the future all.
	if u := d.since(0, firstGeneration); u.Reset || len(u.Entries) != 1 {
		t.Errorf("since the first: %+v", u)
	}
	if u := d.since(0, 999); !u.Reset || len(u.Entries) != 2 {
		t.Errorf("since the future: %+v", u)
	}
	d.setDown(true)
	failed := false
	d.Call(0, 0, false, func(_ Update, ok bool) { failed = !ok })
	d.change(0, trace.Gone, 0, 0)
	run(t, w, 4*eventqueue.Second)
	if h.ended != 1 || !failed || len(h.updates) != 1 {
		t.Errorf("down: %d watches ended, call failed %v, told %d", h.ended, failed, len(h.updates))
	}
	d.setDown(false)
	var back Update
	d.Call(0, firstGeneration, false, func(u Update, ok bool) { back = u })
	run(t, w, 5*eventqueue.Second)
	if len(back.Entries) != 2 || back.Entries[0].State != trace.Gone {
		t.Errorf("what was missed is told as %+v", back)
	}
	// Calls wait in turn, and those that wait too long fail.
	slow := 0
	for range 100 {
		d.Call(1, 0, false, func(_ Update, ok bool) {
			if !ok {
				slow++
			}
		})
	}
	run(t, w, 9*eventqueue.Second)
	if slow == 0 || slow > 99 {
		t.Errorf("%d of 100 calls at once failed", slow)
	}
}

// Arrivals depend on the seed alone: not on what became of earlier ones, nor on draws elsewhere.
func TestArrivalsAreOpenLoop(t *testing.T) {
	arrivals := func(text string, answer func(*World, *Try)) (list []string) {
		w, h, events := world(t, twoServers+"[load]\nrate = 50.0\n[fleet]\nsidecars = 2\n"+text)
		if answer != nil {
			h.answer = func(y *Try) { answer(w, y) }
		}
		w.Begin()
		run(t, w, 30*eventqueue.Second)
		for _, e := range *events {
			if e.Kind == trace.Asked && !e.Retry {
				list = append(list, fmt.Sprint(e.At, e.Task, e.Class, e.Work))
			}
		}
		return list
	}
	alone := arrivals("", nil)
	served := arrivals("[net]\nsame = \"1ms\"\n", func(w *World, y *Try) {
		w.Q.After(1000, func() { w.Answer(y, w.Q.Now(), trace.Refused, 5000) })
	})
	if len(alone) < 800 || len(alone) > 1200 || len(alone) != len(served) {
		t.Fatalf("%d and %d arrivals in 20 s at 50 a second", len(alone), len(served))
	}
	for i := range alone {
		if alone[i] != served[i] {
			t.Fatalf("arrival %d differs: %s, %s", i, alone[i], served[i])
		}
	}
}

// Clients try again only what is theirs to try, as often as told, and each task ends.
func TestRetries(t *testing.T) {
	for _, c := range []struct {
		v          trace.Verdict
		safe, paid int // tries of a task
	}{{trace.Served, 1, 1}, {trace.Refused, 3, 3}, {trace.Failed, 3, 1}} {
		w, h, list := world(t, twoServers+"[load]\nrate = 20.0\n[clients]\nretries = 2\nbackoff = \"1ms\"\n")
		h.answer = func(y *Try) { w.Q.After(1000, func() { w.Answer(y, w.Q.Now(), c.v, 0) }) }
		w.Begin()
		run(t, w, 30*eventqueue.Second)
		tries := map[uint64]int{}
		class := map[uint64]uint8{}
		for _, e := range *list {
			if e.Kind == trace.Asked {
				tries[e.Task]++
				class[e.Task] = e.Class
			}
		}
		for id, n := range tries {
			if want := []int{c.safe, c.paid}[class[id]]; n != want {
				t.Errorf("verdict %d, class %d: %d tries, want %d", c.v, class[id], n, want)
			}
		}
		if !w.Done() || w.Open() != 0 {
			t.Errorf("%d tasks have no end", w.Open())
		}
	}
}

func TestPatienceEnds(t *testing.T) {
	w, h, list := world(t, twoServers+"[load]\nrate = 20.0\n")
	w.Begin() // nobody ever answers
	run(t, w, 30*eventqueue.Second)
	asked, left := 0, 0
	for _, e := range *list {
		asked += btoi(e.Kind == trace.Asked)
		left += btoi(e.Kind == trace.Left)
	}
	if !w.Done() || asked != left || h.left != left || left == 0 {
		t.Errorf("asked %d, left %d, told %d, open %d", asked, left, h.left, w.Open())
	}
}

func btoi(yes bool) int { return int(share(yes)) }

func TestReportsAreLate(t *testing.T) {
	w, _, _ := world(t, fmt.Sprintf(oneServer, "report = { every = \"10ms\", delay = \"50ms\" }"))
	s := w.Servers[0]
	w.Q.At(1000, func() { s.Report() })
	w.Q.At(100_000, func() { jobs(s, 2); s.Report() })
	var soon, later float64
	w.Q.At(120_000, func() { soon = s.Report().Inflight })
	w.Q.At(175_000, func() { later = s.Report().Inflight })
	run(t, w, eventqueue.Second)
	if soon != 0 || later != 2 {
		t.Errorf("20 ms after two requests came the report tells %v, after 75 ms %v", soon, later)
	}
}
