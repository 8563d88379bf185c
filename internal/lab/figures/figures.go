// Package figures computes the figures of a run from its trace: service, latencies, attempts, attempts into other
// zones, the load on servers and discovery, and the course of these over time.
//
// A task is what a client wants; it consists of a request and the client's retries, each with a request number of its
// own. A sidecar makes one or more attempts at each request. Service is the worth of the tasks that were served within
// their class's latency objective, over the worth of all tasks.
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

// Result is the complete result of a run, as --json writes it. Templates of package report refer to its fields by name.
type Result struct {
	Scenario string  `json:"scenario"`
	About    string  `json:"about"`
	Host     string  `json:"host"` // "run" or "sim"
	Seed     uint64  `json:"seed"`
	Length   float64 `json:"length_s"`
	Sidecars int     `json:"sidecars"`
	Servers  int     `json:"servers"`
	Took     float64 `json:"took_s"`         // wall-clock duration of the run
	MemoryMB float64 `json:"memory_mb"`      // peak memory of the lab
	Void     string  `json:"void,omitempty"` // why the run's figures cannot be used, empty if they can
	LateP999 float64 `json:"late_p999_ms"`   // delay of the lab's own actions, 99.9th percentile
	LateMax  float64 `json:"late_most_ms"`   // largest delay of the lab's own actions

	Service  float64            `json:"service"` // worth served within the latency objective over worth asked for
	Classes  []Class            `json:"classes"`
	Worst10s float64            `json:"worst_10s"` // service of the tasks that began in the worst ten seconds
	Figures  map[string]float64 `json:"figures"`   // by name; `birchmoor lab compare` compares them
	Fleet    []Load             `json:"fleet"`
	Verdict  *checker.Verdict   `json:"verdict"`
	// figures that fall short of the scenario's requirements, with both values
	Missed []string `json:"missed"`

	Series Series   `json:"series"`
	Log    []string `json:"log,omitempty"`
}

// Class holds the figures of a class. Latencies are those of served requests.
type Class struct {
	Name    string  `json:"name"`
	Tasks   int     `json:"tasks"`
	Service float64 `json:"service"`
	P50     float64 `json:"p50_ms"`
	P90     float64 `json:"p90_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
}

// Series is the course of a run. Slices of counts are indexed by the second since the start of the run.
type Series struct {
	Classes []ClassSeries  `json:"classes"`
	Sent    []int          `json:"sent"`    // attempts
	Turned  []int          `json:"turned"`  // attempts that a server rejected
	Crossed []int          `json:"crossed"` // attempts at a server in another zone
	Opened  []int          `json:"opened"`  // connections to servers
	Conns   []int          `json:"conns"`   // connections to servers, open at the end of the second
	Probed  []int          `json:"probed"`
	Servers []ServerSeries `json:"servers"` // of the first servers only
	Faults  []Band         `json:"faults"`
	Told    []Mark         `json:"told"` // starts, stops and falls of servers, kills of sidecars
}

// ClassSeries is the course of a class, by second.
type ClassSeries struct {
	Name    string    `json:"name"`
	Offered []int     `json:"offered"` // requests, including clients' retries
	Served  []int     `json:"served"`  // within the task's latency objective
	Late    []int     `json:"late"`    // served after it
	Refused []int     `json:"refused"`
	Failed  []int     `json:"failed"`
	P50     []float64 `json:"p50_ms"`
	P99     []float64 `json:"p99_ms"`
}

// ServerSeries is the course of a server. All slices but Taken hold one element for each instant of At.
type ServerSeries struct {
	Server int       `json:"server"`
	At     []float64 `json:"at_s"`
	Held   []int     `json:"held"`   // requests in flight at the server
	Queued []int     `json:"queued"` // requests that wait at the server
	Warmth []float64 `json:"warmth"` // share of the full capacity; 0 while the process does not run
	Slow   []bool    `json:"slow"`
	Taken  []int     `json:"taken"` // attempts that the server accepted, by second
}

// Band is the time during which a fault was in force. To is -1 if the fault did not end within the run.
type Band struct {
	Note string  `json:"note"`
	From float64 `json:"from_s"`
	To   float64 `json:"to_s"`
}

// Mark is a notable event.
type Mark struct {
	At   float64 `json:"at_s"`
	Note string  `json:"note"`
}

const (
	taskRetentionMicros = 40 * 1000 * 1000
	maxMarks            = 400
	maxServerSeries     = 64 // number of servers whose course is recorded
)

// request is a client's request that has not ended yet.
type request struct {
	task     uint64
	class    uint8
	retry    bool // the client sent it after the task's first request
	attempts int  // attempts that the sidecar has sent so far
	sentAt   Micros
}

// task is a task of a client: its first request and the client's retries of it. It is kept for taskRetentionMicros.
type task struct {
	class        uint8
	startedAt    Micros
	worth        float64
	deadline     Micros // end of the class's latency objective
	servedInTime bool
}

type taskRef struct {
	id        uint64
	startedAt Micros
}

// Recorder computes the figures of a run from its events. It is not safe for concurrent use.
type Recorder struct {
	scenario          *scenario.Scenario
	requests          map[uint64]*request
	tasks             map[uint64]*task
	taskOrder         []taskRef // oldest first
	askedWorth        []float64 // by the second in which the task began
	earnedWorth       []float64 // by the second in which the task began
	classTotals       []classTotal
	series            Series
	latencies         []*hdrhistogram.Histogram // of served requests, by class
	secondLatencies   []*hdrhistogram.Histogram // of requests served in the current second, by class
	currentSecond     int
	openConns         int
	taskCount         int
	openedConns       int
	attempts          int
	rejectedAttempts  int
	crossZoneAttempts int
	probes            int
	openBands         map[string]int // indexes into series.Faults, by the fault's note
	fleet             fleetRecorder
	ramp              rampRecorder
}

type classTotal struct {
	tasks                   int
	askedWorth, earnedWorth float64
}

// New returns a Recorder for a run of the scenario.
func New(s *scenario.Scenario) *Recorder {
	r := &Recorder{scenario: s, requests: map[uint64]*request{}, tasks: map[uint64]*task{}, openBands: map[string]int{},
		classTotals: make([]classTotal, len(s.Classes)), fleet: newFleetRecorder(s), ramp: newRampRecorder(s)}
	for i := range s.Classes {
		r.series.Classes = append(r.series.Classes, ClassSeries{Name: s.Classes[i].Name})
		r.latencies = append(r.latencies, newHistogram())
		r.secondLatencies = append(r.secondLatencies, newHistogram())
	}
	for n := range min(s.ServerCount(), maxServerSeries) {
		r.series.Servers = append(r.series.Servers, ServerSeries{Server: n})
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func incrementAt(counts *[]int, index int) {
	for len(*counts) <= index {
		*counts = append(*counts, 0)
	}
	(*counts)[index]++
}

func elementAt(values *[]float64, index int) *float64 {
	for len(*values) <= index {
		*values = append(*values, 0)
	}
	return &(*values)[index]
}

// Take processes the next event. Events must arrive in the order of their times.
func (r *Recorder) Take(e trace.Event) {
	second := int(max(0, e.At) / 1e6)
	for r.currentSecond < second {
		r.endSecond()
	}
	r.fleet.take(&e)
	pending := r.requests[e.Request]
	r.ramp.take(&e, pending != nil && pending.retry, pending != nil && pending.attempts > 1)
	switch e.Kind {
	case trace.RequestSent:
		r.recordRequest(&e, second)
	case trace.RequestAnswered:
		r.recordAnswer(&e, second)
	case trace.RequestAbandoned, trace.ClientCutOff:
		if pending != nil {
			incrementAt(&r.series.Classes[pending.class].Failed, second)
			delete(r.requests, e.Request)
		}
	case trace.AttemptSent:
		r.attempts++
		if pending != nil {
			pending.attempts++
		}
		incrementAt(&r.series.Sent, second)
		if e.CrossZone {
			r.crossZoneAttempts++
			incrementAt(&r.series.Crossed, second)
		}
	case trace.AttemptAccepted:
		if int(e.Server) < len(r.series.Servers) {
			incrementAt(&r.series.Servers[e.Server].Taken, second)
		}
	case trace.AttemptRejected:
		r.rejectedAttempts++
		incrementAt(&r.series.Turned, second)
	case trace.ConnOpened:
		r.openedConns++
		r.openConns++
		incrementAt(&r.series.Opened, second)
	case trace.ConnClosed:
		r.openConns--
	case trace.ProbeSent:
		r.probes++
		incrementAt(&r.series.Probed, second)
	case trace.ServerGauge:
		if int(e.Server) < len(r.series.Servers) {
			series := &r.series.Servers[e.Server]
			series.At = append(series.At, float64(e.At)/1e6)
			series.Held = append(series.Held, int(e.Held))
			series.Queued = append(series.Queued, int(e.Queued))
			series.Warmth = append(series.Warmth, e.Warmth)
			series.Slow = append(series.Slow, e.Choked)
		}
	case trace.FaultBegan:
		r.openBands[e.Note] = len(r.series.Faults)
		r.series.Faults = append(r.series.Faults, Band{e.Note, float64(e.At) / 1e6, -1})
	case trace.FaultEnded:
		if i, ok := r.openBands[e.Note]; ok {
			r.series.Faults[i].To = float64(e.At) / 1e6
		}
	case trace.ServerCollapsed:
		r.addMark(&e, fmt.Sprintf("server %d falls over", e.Server))
	case trace.ServerStopped:
		r.addMark(&e, fmt.Sprintf("server %d ends", e.Server))
	case trace.ServerStarted:
		if e.At > 0 {
			r.addMark(&e, fmt.Sprintf("server %d starts", e.Server))
		}
	case trace.SidecarStateChanged:
		r.addMark(&e, fmt.Sprintf("sidecar %d: %s", e.Sidecar, e.Note))
	}
}

func (r *Recorder) addMark(e *trace.Event, note string) {
	if len(r.series.Told) < maxMarks {
		r.series.Told = append(r.series.Told, Mark{float64(e.At) / 1e6, note})
	}
}

// endSecond completes the series of the current second and begins the next one.
func (r *Recorder) endSecond() {
	for i, h := range r.secondLatencies {
		c := &r.series.Classes[i]
		*elementAt(&c.P50, r.currentSecond) = float64(h.ValueAtQuantile(50)) / 1000
		*elementAt(&c.P99, r.currentSecond) = float64(h.ValueAtQuantile(99)) / 1000
		h.Reset()
	}
	for len(r.series.Conns) <= r.currentSecond {
		r.series.Conns = append(r.series.Conns, r.openConns)
	}
	r.fleet.endSecond(r.currentSecond)
	r.currentSecond++
}

func (r *Recorder) recordRequest(e *trace.Event, second int) {
	r.requests[e.Request] = &request{task: e.Task, class: e.Class, retry: e.Retry, sentAt: e.At}
	incrementAt(&r.series.Classes[e.Class].Offered, second)
	c := &r.scenario.Classes[e.Class]
	if !e.Retry {
		worth := c.PriorityWeight * float64(e.Work)
		r.taskCount++
		r.tasks[e.Task] = &task{class: e.Class, startedAt: e.At, worth: worth,
			deadline: e.At + c.LatencyObjective.Micros()}
		*elementAt(&r.askedWorth, second) += worth
		elementAt(&r.earnedWorth, second)
		r.classTotals[e.Class].tasks++
		r.classTotals[e.Class].askedWorth += worth
		r.taskOrder = append(r.taskOrder, taskRef{e.Task, e.At})
	}
	expired := 0
	for expired < len(r.taskOrder) && r.taskOrder[expired].startedAt < e.At-taskRetentionMicros {
		delete(r.tasks, r.taskOrder[expired].id)
		expired++
	}
	r.taskOrder = r.taskOrder[expired:]
}

func (r *Recorder) recordAnswer(e *trace.Event, second int) {
	pending, ok := r.requests[e.Request]
	if !ok {
		return
	}
	delete(r.requests, e.Request)
	series := &r.series.Classes[pending.class]
	switch e.Verdict {
	case trace.Served:
		latency := max(1, e.At-pending.sentAt)
		r.latencies[pending.class].RecordValue(latency)
		r.secondLatencies[pending.class].RecordValue(latency)
		t := r.tasks[pending.task]
		if t != nil && !t.servedInTime && e.At <= t.deadline {
			t.servedInTime = true
			r.classTotals[pending.class].earnedWorth += t.worth
			*elementAt(&r.earnedWorth, int(max(0, t.startedAt)/1e6)) += t.worth
			incrementAt(&series.Served, second)
		} else {
			incrementAt(&series.Late, second)
		}
	case trace.Rejected:
		incrementAt(&series.Refused, second)
	default:
		incrementAt(&series.Failed, second)
	}
}

// End returns the result of the run. The caller fills in what the trace does not contain: host, seed, duration, memory
// and delays of the lab.
func (r *Recorder) End(verdict *checker.Verdict) *Result {
	r.endSecond()
	s := r.scenario
	result := &Result{Scenario: s.Name, About: s.Description, Length: time.Duration(s.Length).Seconds(),
		Sidecars: s.Fleet.Sidecars,
		Servers:  s.ServerCount(), Verdict: verdict, Worst10s: 1, Missed: []string{}, Figures: map[string]float64{}}
	var askedWorth, earnedWorth float64
	allLatencies := newHistogram()
	for i, c := range r.classTotals {
		askedWorth += c.askedWorth
		earnedWorth += c.earnedWorth
		latencies := r.latencies[i]
		allLatencies.Merge(latencies)
		quantileMillis := func(q float64) float64 { return float64(latencies.ValueAtQuantile(q)) / 1000 }
		result.Classes = append(result.Classes, Class{s.Classes[i].Name, c.tasks,
			ratioOrOne(c.earnedWorth, c.askedWorth), quantileMillis(50), quantileMillis(90), quantileMillis(99),
			quantileMillis(99.9)})
	}
	result.Service = ratioOrOne(earnedWorth, askedWorth)
	for from := 0; from+10 <= len(r.askedWorth); from++ {
		var windowAsked, windowEarned float64
		for i := from; i < from+10; i++ {
			windowAsked += r.askedWorth[i]
			windowEarned += r.earnedWorth[i]
		}
		result.Worst10s = min(result.Worst10s, ratioOrOne(windowEarned, windowAsked))
	}
	if len(r.askedWorth) < 10 {
		result.Worst10s = result.Service
	}
	tasks, requests := float64(max(1, r.taskCount)), float64(max(1, verdict.Counts.Requests))
	figures := result.Figures
	figures["service"], figures["worst_10s"] = result.Service, result.Worst10s
	figures["refused"] = float64(verdict.Counts.Rejected) / requests
	figures["failed"] = float64(verdict.Counts.Failed+verdict.Counts.Abandoned) / requests
	figures["attempts_per_task"] = float64(r.attempts) / tasks
	figures["tries_per_task"] = requests / tasks
	figures["turned_per_task"] = float64(r.rejectedAttempts) / tasks
	figures["connects_per_task"] = float64(r.openedConns) / tasks
	figures["crossings"] = ratioOrZero(float64(r.crossZoneAttempts), float64(r.attempts))
	figures["probes_per_task"] = float64(r.probes) / tasks
	figures["p50_ms"] = float64(allLatencies.ValueAtQuantile(50)) / 1000
	figures["p99_ms"] = float64(allLatencies.ValueAtQuantile(99)) / 1000
	for _, c := range result.Classes {
		figures["service_"+c.Name] = c.Service
	}
	result.Series = r.series
	r.fleet.addFigures(result)
	r.ramp.addFigures(result)
	result.checkTargets(&s.Bounds)
	return result
}

// ratioOrOne returns a over b, or 1 if b is not positive: without any demand, service is complete.
func ratioOrOne(a, b float64) float64 {
	if b <= 0 {
		return 1
	}
	return a / b
}

func ratioOrZero(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}

// checkTargets adds to Missed each figure that falls short of the scenario's requirements.
func (x *Result) checkTargets(targets *scenario.Bounds) {
	requireMin := func(name string, got, want float64) {
		if want > 0 && got < want {
			x.Missed = append(x.Missed, fmt.Sprintf("%s %.3f is under %.3f", name, got, want))
		}
	}
	requireMax := func(name string, got, want float64) {
		if want > 0 && got > want {
			x.Missed = append(x.Missed, fmt.Sprintf("%s %.3f is over %.3f", name, got, want))
		}
	}
	requireMin("service", x.Service, targets.MinService)
	var names []string
	for name := range targets.MinClassService {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		requireMin("service of "+name, x.Figures["service_"+name], targets.MinClassService[name])
	}
	requireMax("attempts a request", x.Figures["attempts_per_task"], targets.MaxAttempts)
	requireMax("share refused", x.Figures["refused"], targets.MaxRejectedShare)
	requireMax("share failed", x.Figures["failed"], targets.MaxFailedShare)
	requireMax("connections opened a request", x.Figures["connects_per_task"], targets.MaxConnects)
	requireMax("share of crossings", x.Figures["crossings"], targets.MaxCrossZoneShare)
	requireMax("p99 in ms", x.Figures["p99_ms"], float64(targets.MaxP99.Micros())/1000)
	x.checkFleetLimits(targets.MaxFleetFigures)
}

// Passed reports whether the run is valid, broke no rule and met the scenario's requirements.
func (x *Result) Passed() bool { return x.Void == "" && x.Verdict.Passed() && len(x.Missed) == 0 }

// Line returns the summary that is printed as the last line of a run.
func (x *Result) Line() string {
	line := fmt.Sprintf("service %.2f, %s", x.Service, x.Verdict)
	if x.Void != "" {
		line = "void: " + x.Void + " (" + line + ")"
	}
	return line
}
