// Package figures measures a run from its trace: service, latencies, attempts, crossings, and their course over time.
package figures

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"birchmoor/internal/lab/checker"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/trace"
)

// Micros is an instant since the start of the run, or a duration, in microseconds.
type Micros = trace.Micros

// Result is all that a run yields; it is what --json writes.
type Result struct {
	Scenario string  `json:"scenario"`
	About    string  `json:"about"`
	Host     string  `json:"host"` // "run" or "sim"
	Seed     uint64  `json:"seed"`
	Length   float64 `json:"length_s"`
	Sidecars int     `json:"sidecars"`
	Servers  int     `json:"servers"`
	Took     float64 `json:"took_s"`         // real time
	MemoryMB float64 `json:"memory_mb"`      // of the lab at its highest
	Void     string  `json:"void,omitempty"` // why the run tells nothing
	LateP999 float64 `json:"late_p999_ms"`   // by which the lab itself was late
	LateMost float64 `json:"late_most_ms"`

	Service  float64            `json:"service"` // worth answered within the aim over worth asked for
	Classes  []Class            `json:"classes"`
	Worst10s float64            `json:"worst_10s"` // service of the worst ten seconds
	Figures  map[string]float64 `json:"figures"`   // what compare compares
	Fleet    []Load             `json:"fleet"`
	Verdict  *checker.Verdict   `json:"verdict"`
	Missed   []string           `json:"missed"` // figures that the scenario demands

	Series Series   `json:"series"`
	Log    []string `json:"log,omitempty"`
}

// Class is the figures of a class.
type Class struct {
	Name    string  `json:"name"`
	Tasks   int     `json:"tasks"`
	Service float64 `json:"service"`
	P50     float64 `json:"p50_ms"`
	P90     float64 `json:"p90_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
}

// Series is the run's course. Everything by second but Gauges.
type Series struct {
	Classes []ClassSeries  `json:"classes"`
	Sent    []int          `json:"sent"`
	Turned  []int          `json:"turned"`
	Crossed []int          `json:"crossed"`
	Opened  []int          `json:"opened"`
	Conns   []int          `json:"conns"` // open at the second's end
	Probed  []int          `json:"probed"`
	Servers []ServerSeries `json:"servers"`
	Faults  []Band         `json:"faults"`
	Told    []Mark         `json:"told"`
}

// ClassSeries is a class's course.
type ClassSeries struct {
	Name    string    `json:"name"`
	Offered []int     `json:"offered"` // tries
	Served  []int     `json:"served"`  // within the aim
	Late    []int     `json:"late"`    // served after it
	Refused []int     `json:"refused"`
	Failed  []int     `json:"failed"`
	P50     []float64 `json:"p50_ms"`
	P99     []float64 `json:"p99_ms"`
}

// ServerSeries is a server's course, at the instants of At.
type ServerSeries struct {
	Server int       `json:"server"`
	At     []float64 `json:"at_s"`
	Held   []int     `json:"held"`
	Queued []int     `json:"queued"`
	Warmth []float64 `json:"warmth"`
	Slow   []bool    `json:"slow"`
	Taken  []int     `json:"taken"` // attempts, by second
}

// Band is a fault's time.
type Band struct {
	Note string  `json:"note"`
	From float64 `json:"from_s"`
	To   float64 `json:"to_s"`
}

// Mark is an instant of note.
type Mark struct {
	At   float64 `json:"at_s"`
	Note string  `json:"note"`
}

const (
	remembered = 40 * 1000 * 1000
	marksMost  = 400
	gaugesMost = 64 // servers whose course is kept
)

type try struct {
	task  uint64
	class uint8
	retry bool // a client's further one
	sent  int  // attempts
	at    Micros
}

type task struct {
	class uint8
	at    Micros
	worth float64
	due   Micros // the aim
	done  bool
}

type old struct {
	id uint64
	at Micros
}

// Recorder takes the events of a run. It is not safe for concurrent use.
type Recorder struct {
	s       *scenario.Scenario
	tries   map[uint64]*try
	tasks   map[uint64]*task
	olds    []old
	asked   []float64 // worth, by second
	earned  []float64 // by the second in which it was asked
	byClass []classSums
	series  Series
	spans   []*hdrhistogram.Histogram // latencies of served tries, by class
	second  []*hdrhistogram.Histogram // of the second under way, by class
	at      int
	conns   int
	tasksN  int
	opened  int
	sent    int
	turned  int
	crossed int
	probed  int
	open    map[string]int // bands
	fleet   fleet
	ramp    ramp
}

type classSums struct {
	tasks         int
	asked, earned float64
}

// New returns a recorder for a scenario.
func New(s *scenario.Scenario) *Recorder {
	r := &Recorder{s: s, tries: map[uint64]*try{}, tasks: map[uint64]*task{}, open: map[string]int{},
		byClass: make([]classSums, len(s.Classes)), fleet: newFleet(s), ramp: newRamp(s)}
	for i := range s.Classes {
		r.series.Classes = append(r.series.Classes, ClassSeries{Name: s.Classes[i].Name})
		r.spans = append(r.spans, newHist())
		r.second = append(r.second, newHist())
	}
	for n := range min(s.ServerCount(), gaugesMost) {
		r.series.Servers = append(r.series.Servers, ServerSeries{Server: n})
	}
	return r
}

func newHist() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func bump(s *[]int, at int) {
	for len(*s) <= at {
		*s = append(*s, 0)
	}
	(*s)[at]++
}

func grow(s *[]float64, at int) *float64 {
	for len(*s) <= at {
		*s = append(*s, 0)
	}
	return &(*s)[at]
}

// Take takes the next event.
func (r *Recorder) Take(e trace.Event) {
	at := int(max(0, e.At) / 1e6)
	for r.at < at {
		r.turn()
	}
	r.fleet.take(&e)
	y := r.tries[e.Request]
	r.ramp.take(&e, y != nil && y.retry, y != nil && y.sent > 1)
	switch e.Kind {
	case trace.RequestSent:
		r.ask(&e, at)
	case trace.RequestAnswered:
		r.answer(&e, at)
	case trace.RequestAbandoned, trace.ClientCutOff:
		if y != nil {
			bump(&r.series.Classes[y.class].Failed, at)
			delete(r.tries, e.Request)
		}
	case trace.AttemptSent:
		r.sent++
		if y != nil {
			y.sent++
		}
		bump(&r.series.Sent, at)
		if e.CrossZone {
			r.crossed++
			bump(&r.series.Crossed, at)
		}
	case trace.AttemptAccepted:
		if int(e.Server) < len(r.series.Servers) {
			bump(&r.series.Servers[e.Server].Taken, at)
		}
	case trace.AttemptRejected:
		r.turned++
		bump(&r.series.Turned, at)
	case trace.ConnOpened:
		r.opened++
		r.conns++
		bump(&r.series.Opened, at)
	case trace.ConnClosed:
		r.conns--
	case trace.ProbeSent:
		r.probed++
		bump(&r.series.Probed, at)
	case trace.ServerGauge:
		if int(e.Server) < len(r.series.Servers) {
			s := &r.series.Servers[e.Server]
			s.At = append(s.At, float64(e.At)/1e6)
			s.Held = append(s.Held, int(e.Held))
			s.Queued = append(s.Queued, int(e.Queued))
			s.Warmth = append(s.Warmth, e.Warmth)
			s.Slow = append(s.Slow, e.Choked)
		}
	case trace.FaultBegan:
		r.open[e.Note] = len(r.series.Faults)
		r.series.Faults = append(r.series.Faults, Band{e.Note, float64(e.At) / 1e6, -1})
	case trace.FaultEnded:
		if i, ok := r.open[e.Note]; ok {
			r.series.Faults[i].To = float64(e.At) / 1e6
		}
	case trace.ServerCollapsed:
		r.mark(&e, fmt.Sprintf("server %d falls over", e.Server))
	case trace.ServerStopped:
		r.mark(&e, fmt.Sprintf("server %d ends", e.Server))
	case trace.ServerStarted:
		if e.At > 0 {
			r.mark(&e, fmt.Sprintf("server %d starts", e.Server))
		}
	case trace.SidecarStateChanged:
		r.mark(&e, fmt.Sprintf("sidecar %d: %s", e.Sidecar, e.Note))
	}
}

func (r *Recorder) mark(e *trace.Event, note string) {
	if len(r.series.Told) < marksMost {
		r.series.Told = append(r.series.Told, Mark{float64(e.At) / 1e6, note})
	}
}

// turn ends a second.
func (r *Recorder) turn() {
	for i, h := range r.second {
		c := &r.series.Classes[i]
		*grow(&c.P50, r.at) = float64(h.ValueAtQuantile(50)) / 1000
		*grow(&c.P99, r.at) = float64(h.ValueAtQuantile(99)) / 1000
		h.Reset()
	}
	for len(r.series.Conns) <= r.at {
		r.series.Conns = append(r.series.Conns, r.conns)
	}
	r.fleet.turn(r.at)
	r.at++
}

func (r *Recorder) ask(e *trace.Event, at int) {
	r.tries[e.Request] = &try{task: e.Task, class: e.Class, retry: e.Retry, at: e.At}
	bump(&r.series.Classes[e.Class].Offered, at)
	c := &r.s.Classes[e.Class]
	if !e.Retry {
		worth := c.PriorityWeight * float64(e.Work)
		r.tasksN++
		r.tasks[e.Task] = &task{class: e.Class, at: e.At, worth: worth, due: e.At + c.LatencyObjective.Micros()}
		*grow(&r.asked, at) += worth
		grow(&r.earned, at)
		r.byClass[e.Class].tasks++
		r.byClass[e.Class].asked += worth
		r.olds = append(r.olds, old{e.Task, e.At})
	}
	cut := 0
	for cut < len(r.olds) && r.olds[cut].at < e.At-remembered {
		delete(r.tasks, r.olds[cut].id)
		cut++
	}
	r.olds = r.olds[cut:]
}

func (r *Recorder) answer(e *trace.Event, at int) {
	y, ok := r.tries[e.Request]
	if !ok {
		return
	}
	delete(r.tries, e.Request)
	c := &r.series.Classes[y.class]
	switch e.Verdict {
	case trace.Served:
		span := max(1, e.At-y.at)
		r.spans[y.class].RecordValue(span)
		r.second[y.class].RecordValue(span)
		t := r.tasks[y.task]
		if t != nil && !t.done && e.At <= t.due {
			t.done = true
			r.byClass[y.class].earned += t.worth
			*grow(&r.earned, int(max(0, t.at)/1e6)) += t.worth
			bump(&c.Served, at)
		} else {
			bump(&c.Late, at)
		}
	case trace.Rejected:
		bump(&c.Refused, at)
	default:
		bump(&c.Failed, at)
	}
}

// End returns the result of the run. What the host alone knows is left to it.
func (r *Recorder) End(v *checker.Verdict) *Result {
	r.turn()
	s := r.s
	x := &Result{Scenario: s.Name, About: s.Description, Length: time.Duration(s.Length).Seconds(), Sidecars: s.Fleet.Sidecars,
		Servers: s.ServerCount(), Verdict: v, Worst10s: 1, Missed: []string{}, Figures: map[string]float64{}}
	var asked, earned float64
	all := newHist()
	for i, c := range r.byClass {
		asked += c.asked
		earned += c.earned
		h := r.spans[i]
		all.Merge(h)
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		x.Classes = append(x.Classes, Class{s.Classes[i].Name, c.tasks, ratio(c.earned, c.asked), ms(50), ms(90), ms(99), ms(99.9)})
	}
	x.Service = ratio(earned, asked)
	for from := 0; from+10 <= len(r.asked); from++ {
		var a, e float64
		for i := from; i < from+10; i++ {
			a += r.asked[i]
			e += r.earned[i]
		}
		x.Worst10s = min(x.Worst10s, ratio(e, a))
	}
	if len(r.asked) < 10 {
		x.Worst10s = x.Service
	}
	tasks, tries := float64(max(1, r.tasksN)), float64(max(1, v.Counts.Requests))
	f := x.Figures
	f["service"], f["worst_10s"] = x.Service, x.Worst10s
	f["refused"] = float64(v.Counts.Rejected) / tries
	f["failed"] = float64(v.Counts.Failed+v.Counts.Abandoned) / tries
	f["attempts_per_task"] = float64(r.sent) / tasks
	f["tries_per_task"] = tries / tasks
	f["turned_per_task"] = float64(r.turned) / tasks
	f["connects_per_task"] = float64(r.opened) / tasks
	f["crossings"] = ratio0(float64(r.crossed), float64(r.sent))
	f["probes_per_task"] = float64(r.probed) / tasks
	f["p50_ms"] = float64(all.ValueAtQuantile(50)) / 1000
	f["p99_ms"] = float64(all.ValueAtQuantile(99)) / 1000
	for _, c := range x.Classes {
		f["service_"+c.Name] = c.Service
	}
	x.Series = r.series
	r.fleet.end(x)
	r.ramp.end(x)
	x.keep(&s.Bounds)
	return x
}

func ratio(a, b float64) float64 {
	if b <= 0 {
		return 1
	}
	return a / b
}

func ratio0(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}

// keep notes which of the demanded figures were missed.
func (x *Result) keep(k *scenario.Bounds) {
	least := func(name string, got, want float64) {
		if want > 0 && got < want {
			x.Missed = append(x.Missed, fmt.Sprintf("%s %.3f is under %.3f", name, got, want))
		}
	}
	most := func(name string, got, want float64) {
		if want > 0 && got > want {
			x.Missed = append(x.Missed, fmt.Sprintf("%s %.3f is over %.3f", name, got, want))
		}
	}
	least("service", x.Service, k.MinService)
	var names []string
	for name := range k.MinClassService {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		least("service of "+name, x.Figures["service_"+name], k.MinClassService[name])
	}
	most("attempts a request", x.Figures["attempts_per_task"], k.MaxAttempts)
	most("share refused", x.Figures["refused"], k.MaxRejectedShare)
	most("share failed", x.Figures["failed"], k.MaxFailedShare)
	most("connections opened a request", x.Figures["connects_per_task"], k.MaxConnects)
	most("share of crossings", x.Figures["crossings"], k.MaxCrossZoneShare)
	most("p99 in ms", x.Figures["p99_ms"], float64(k.MaxP99.Micros())/1000)
	x.keepFleet(k.MaxFleetFigures)
}

// Passed says whether the run kept the rules and its figures, and tells something at all.
func (x *Result) Passed() bool { return x.Void == "" && x.Verdict.Passed() && len(x.Missed) == 0 }

// Line is the last line that a run prints.
func (x *Result) Line() string {
	line := fmt.Sprintf("service %.2f, %s", x.Service, x.Verdict)
	if x.Void != "" {
		line = "void: " + x.Void + " (" + line + ")"
	}
	return line
}
