package model

import (
	"container/heap"
	"math"

	"birchmoor/internal/lab/eventqueue"
	"birchmoor/internal/lab/randstream"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/trace"
)

// Micros is an instant since the start of the run, or a duration, in microseconds.
type Micros = eventqueue.Micros

// Outcome is how a server ends an attempt.
type Outcome uint8

// The outcomes. NeverRan is a server's word that the attempt was turned away unseen; Broken and Silent have no
// answer: the connection breaks, or nothing comes.
const (
	Good Outcome = iota
	Bad
	NeverRan
	Broken
)

// Job is work at a server: an attempt, a handshake or a probe. Done is called once, on the queue's goroutine,
// unless the job is cancelled first.
type Job struct {
	Request uint64 // 0 for what is no attempt
	Class   int
	Sidecar int
	Work    float64 // microseconds on a core of speed 1
	Done    func(Outcome)

	server  *Server
	until   float64 // of the server's service clock, when it is done
	place   int     // in the heap of those in work; -1 while waiting; -2 once over
	counted bool
}

// Load is what a server's report says.
type Load struct {
	Inflight float64 // requests that it holds
	Util     float64 // share of its cores in use
	Served   float64 // requests a second
}

// Server is one slot server: cores shared evenly by the requests in work, a bounded queue before them, and the
// ways in which real ones slow down, start cold, choke and fail. It belongs to the queue's goroutine.
type Server struct {
	Number int
	Name   string
	Zone   int
	Kind   int
	Cell   int
	Spec   *scenario.Servers
	Speed  float64

	Running bool
	Starts  int    // processes so far
	Since   Micros // start of the present process
	Cold    float64

	w        *World
	draw     randstream.Stream
	working  jobHeap
	waiting  []*Job
	clock    float64 // service that each job in work has had, in microseconds at speed 1
	clockAt  Micros
	rate     float64 // at which it moves
	next     *eventqueue.Event
	conns    int
	held     []int // connections by sidecar
	warming  *eventqueue.Event
	overFrom Micros // since when it holds too many; -1 if it does not
	chokedAt Micros // -1 if not
	restFrom Micros
	fallen   bool
	intake   window  // work sent to it while cold
	carried  float64 // the most of that, of what it bears; below 0 where it is not cold, or has been told

	// What faults make of it; each is a count or a product, since faults may overlap.
	Hung       int
	Slower     float64
	Gray       []*scenario.Fault
	FalseIdle  int
	forceChoke int

	busy    float64 // core-microseconds used
	served  float64
	reports []shown
	lastAt  Micros
	last    [2]float64 // busy and served at the last report
}

// shown is a report as of an instant.
type shown struct {
	at   Micros
	load Load
}

type jobHeap []*Job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].until < h[j].until }
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *jobHeap) Push(x any) {
	j := x.(*Job)
	j.place = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	j.place = jobOver
	return j
}

const (
	jobWaiting = -1
	jobOver    = -2
	warmStep   = 100 * 1000 // the rate of a warming server is set anew so often
	pressSlack = 1.25       // on the work that a cold server bears, for chance: 2 roots of its requests and 2, and no more than this
	pressLeast = 4          // and so many mean works
)

func (s *Server) cores() float64 { return float64(s.Spec.Cores) }

// Capacity is what the server can do when warm, in microseconds of work a second.
func (s *Server) Capacity() float64 { return s.cores() * s.Speed * 1e6 }

// Warmth is the share of it that the server has by now.
func (s *Server) Warmth(now Micros) float64 {
	ramp := s.Spec.ColdFor.Micros()
	if s.Starts <= 1 && s.Since < 0 || ramp <= 0 || now-s.Since >= ramp {
		return 1
	}
	return s.Cold + (1-s.Cold)*float64(now-s.Since)/float64(ramp)
}

func (s *Server) isCold(now Micros) bool { return s.Warmth(now) < 1 }

// Start begins a process. One that has long been running is warm.
func (s *Server) start(longAgo bool) {
	now := s.w.Q.Now()
	s.Running, s.Starts, s.Since = true, s.Starts+1, now
	s.fallen, s.chokedAt, s.overFrom, s.restFrom = false, -1, -1, -1
	s.Cold = s.draw.Uniform(s.Spec.ColdFrom[0], s.Spec.ColdFrom[len(s.Spec.ColdFrom)-1])
	s.intake, s.carried = window{}, 0
	s.reports, s.lastAt = nil, now
	if longAgo {
		s.Since = -1 << 40
	}
	s.clockAt = now
	s.w.emit(trace.Event{At: now, Kind: trace.Started, Server: int32(s.Number), Capacity: s.Capacity(),
		ColdFrom: s.Cold, ColdFor: max(0, s.Since+s.Spec.ColdFor.Micros()-now)})
	s.retime()
	s.warm()
}

func (s *Server) warm() {
	s.w.Q.Cancel(s.warming)
	s.warming = nil
	if s.Running && s.isCold(s.w.Q.Now()) {
		s.warming = s.w.Q.After(warmStep, func() { s.retime(); s.warm() })
	} else {
		s.tellCarried()
	}
}

// tellCarried tells, once a process, how much it was sent while it was cold.
func (s *Server) tellCarried() {
	if s.carried > 0 {
		s.w.emit(trace.Event{At: s.w.Q.Now(), Kind: trace.Carried, Server: int32(s.Number), Warmth: s.carried})
	}
	s.carried = -1
}

// stop ends the process: what it holds breaks.
func (s *Server) stop() {
	if !s.Running {
		return
	}
	s.advance()
	s.Running = false
	s.tellCarried()
	s.w.emit(trace.Event{At: s.w.Q.Now(), Kind: trace.Stopped, Server: int32(s.Number)})
	jobs := append([]*Job(nil), s.working...)
	jobs = append(jobs, s.waiting...)
	s.working, s.waiting = nil, nil
	for _, j := range jobs {
		j.place = jobOver
		j.Done(Broken)
	}
	for i := range s.held {
		s.held[i] = 0
	}
	s.conns = 0
	s.w.Q.Cancel(s.next)
	s.w.Q.Cancel(s.warming)
	s.next, s.warming = nil, nil
	s.w.host.ServerStopped(s.Number)
}

// speedNow is the service that each of n jobs in work gets a microsecond.
func (s *Server) speedNow(now Micros) float64 {
	n := float64(len(s.working))
	if n == 0 || s.Hung > 0 || !s.Running {
		return 0
	}
	eff := 1.0
	if per := n / s.cores(); per > s.Spec.ThrashAt {
		eff = 1 / (1 + s.Spec.Thrash*(per-s.Spec.ThrashAt)/s.Spec.ThrashAt)
	}
	if s.Choked() {
		if c := s.Spec.Choke; c != nil {
			eff /= c.Slower
		} else {
			eff /= 3
		}
	}
	return s.Speed * s.Warmth(now) * eff / s.Slower * min(1, s.cores()/n)
}

// Choked says whether the server is choked.
func (s *Server) Choked() bool { return s.chokedAt >= 0 || s.forceChoke > 0 }

// advance brings the service clock up to now.
func (s *Server) advance() {
	now := s.w.Q.Now()
	dt := float64(now - s.clockAt)
	s.clock += dt * s.rate
	if n := float64(len(s.working)); s.Running {
		s.busy += dt * min(n, s.cores())
	}
	s.clockAt = now
}

// retime sets the rate anew and the event at which the next job is done.
func (s *Server) retime() {
	s.advance()
	now := s.w.Q.Now()
	s.rate = s.speedNow(now)
	s.w.Q.Cancel(s.next)
	s.next = nil
	if s.rate > 0 {
		wait := math.Ceil(max(0, s.working[0].until-s.clock) / s.rate)
		s.next = s.w.Q.At(now+Micros(min(wait, 1e12)), s.finish)
	}
}

// finish ends the jobs that are done.
func (s *Server) finish() {
	s.advance()
	var done []*Job
	for len(s.working) > 0 && s.working[0].until <= s.clock+1e-6+s.rate/2 {
		done = append(done, heap.Pop(&s.working).(*Job))
	}
	s.refill()
	s.retime()
	s.pressed()
	for _, j := range done {
		s.ended(j)
	}
}

// ended gives a job that is done its outcome.
func (s *Server) ended(j *Job) {
	how := Good
	if j.Request != 0 {
		s.served++
		s.w.emit(trace.Event{At: s.w.Q.Now(), Kind: trace.Finished, Server: int32(s.Number), Request: j.Request, Work: Micros(j.Work)})
		bad := s.Spec.Errors
		for _, f := range s.Gray {
			if s.grayFor(f, j) {
				bad = 1 - (1-bad)*(1-f.Share)
			}
		}
		if bad > 0 && s.draw.Bernoulli(bad) {
			how = Bad
		}
	}
	j.Done(how)
}

func (s *Server) grayFor(f *scenario.Fault, j *Job) bool {
	if f.Kind != "gray-errors" || f.Class != "" && f.Class != s.w.S.Classes[j.Class].Name {
		return false
	}
	if len(f.Sidecars) == 0 {
		return true
	}
	for _, n := range f.Sidecars {
		if n == j.Sidecar {
			return true
		}
	}
	return false
}

// refill takes waiting jobs into work.
func (s *Server) refill() {
	for len(s.waiting) > 0 && len(s.working) < s.Spec.Slots*s.Spec.Cores {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.work(j)
	}
}

func (s *Server) work(j *Job) {
	j.until = s.clock + j.Work
	heap.Push(&s.working, j)
}

// holds is how many requests the server holds.
func (s *Server) holds() int { return len(s.working) + len(s.waiting) }

// Begin takes a job. It says no when the server turns it away unseen.
func (s *Server) Begin(j *Job) bool {
	s.advance()
	now := s.w.Q.Now()
	j.server, j.place = s, jobWaiting
	attempt := j.Request != 0
	if attempt {
		s.press(now, j)
	}
	if !s.Running {
		return false
	}
	if attempt && s.Hung == 0 && len(s.working) >= s.Spec.Slots*s.Spec.Cores && len(s.waiting) >= s.Spec.Queue {
		s.w.emit(trace.Event{At: now, Kind: trace.Turned, Sidecar: int32(j.Sidecar), Server: int32(s.Number),
			Request: j.Request, Class: uint8(j.Class), Work: Micros(j.Work)})
		return false
	}
	if attempt {
		s.w.emit(trace.Event{At: now, Kind: trace.Accepted, Sidecar: int32(j.Sidecar), Server: int32(s.Number),
			Request: j.Request, Class: uint8(j.Class), Work: Micros(j.Work)})
	}
	if attempt && len(s.working) >= s.Spec.Slots*s.Spec.Cores {
		s.waiting = append(s.waiting, j)
	} else {
		s.work(j)
	}
	s.pressed()
	s.retime()
	return true
}

// Cancel tells that nobody waits for a job any more, and says whether that freed it. Otherwise Done still comes.
func (s *Server) Cancel(j *Job) bool {
	if j.place == jobOver || j.server != s {
		return false
	}
	s.advance()
	switch {
	case j.place == jobWaiting && s.Spec.Cancel != "none":
		for i, o := range s.waiting {
			if o == j {
				s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
				break
			}
		}
		j.place = jobOver
	case j.place >= 0 && s.Spec.Cancel == "all":
		heap.Remove(&s.working, j.place)
		s.refill()
	default:
		return false
	}
	s.pressed()
	s.retime()
	return true
}

// pressed sees whether the server holds too many for too long, or has rested, and chokes it or lets it go.
func (s *Server) pressed() {
	c := s.Spec.Choke
	if c == nil {
		return
	}
	now, per := s.w.Q.Now(), float64(s.holds())/s.cores()
	if s.chokedAt < 0 {
		switch {
		case per < c.At:
			s.overFrom = -1
		case s.overFrom < 0:
			s.overFrom = now
			s.w.Q.After(c.Over.Micros(), s.pressed)
		case now-s.overFrom >= c.Over.Micros():
			s.chokedAt, s.overFrom, s.restFrom = now, -1, -1
			s.w.Q.After(c.Most.Micros(), s.pressed)
			s.retime()
		}
		return
	}
	switch {
	case now-s.chokedAt >= c.Most.Micros():
	case per > c.Below:
		s.restFrom = -1
		return
	case s.restFrom < 0:
		s.restFrom = now
		s.w.Q.After(c.Rest.Micros(), s.pressed)
		return
	case now-s.restFrom < c.Rest.Micros():
		return
	}
	s.chokedAt, s.restFrom = -1, -1
	s.retime()
}

// press counts the work that a cold server is sent; one that gets too much for too long falls over.
func (s *Server) press(now Micros, j *Job) {
	if !s.isCold(now) || s.fallen {
		return
	}
	r := &s.w.S.Rules
	s.intake.add(now, j.Work, r.OverloadFor.Micros())
	bears := r.FallMultiple * s.Capacity() * s.Warmth(now) * float64(r.OverloadFor.Micros()) / 1e6
	mean := s.w.MeanWork()
	limit := bears + min((pressSlack-1)*bears+pressLeast*mean, mean*(2*math.Sqrt(bears/mean)+2))
	s.carried = max(s.carried, s.intake.sum/limit)
	if s.intake.sum > limit && s.Running {
		s.fallen = true
		s.w.emit(trace.Event{At: now, Kind: trace.Fell, Server: int32(s.Number)})
		s.w.Q.After(0, s.stop)
	}
}

// window sums over the latest stretch of time.
type window struct {
	sum  float64
	adds []struct {
		at Micros
		x  float64
	}
}

func (w *window) add(now Micros, x float64, span Micros) {
	cut := 0
	for cut < len(w.adds) && w.adds[cut].at < now-span {
		w.sum -= w.adds[cut].x
		cut++
	}
	w.adds = append(w.adds[cut:], struct {
		at Micros
		x  float64
	}{now, x})
	w.sum += x
}

// Open takes a connection of a sidecar. Full says that it is over the cap: what comes on it is turned away.
func (s *Server) Open(sidecar int) (full bool) {
	if s.conns >= s.Spec.ConnCap {
		s.w.emit(trace.Event{At: s.w.Q.Now(), Kind: trace.Shut, Sidecar: int32(sidecar), Server: int32(s.Number)})
		return true
	}
	s.conns++
	s.held[sidecar]++
	s.w.emit(trace.Event{At: s.w.Q.Now(), Kind: trace.Opened, Sidecar: int32(sidecar), Server: int32(s.Number)})
	return false
}

// Close ends a connection that Open took in the same process.
func (s *Server) Close(sidecar, starts int) {
	if starts != s.Starts || !s.Running {
		return
	}
	s.conns--
	s.held[sidecar]--
	s.w.emit(trace.Event{At: s.w.Q.Now(), Kind: trace.Closed, Sidecar: int32(sidecar), Server: int32(s.Number)})
}

// Report returns what the server tells of its load now: refreshed now and then, late, and a little noisy.
func (s *Server) Report() Load {
	now, r := s.w.Q.Now(), &s.Spec.Report
	if every := r.Every.Micros(); len(s.reports) == 0 || now-s.reports[len(s.reports)-1].at >= every {
		s.advance()
		dt := max(1, float64(now-s.lastAt))
		noise := func() float64 { return 1 + r.Noise*s.draw.NormFloat64() }
		l := Load{Inflight: float64(s.holds()) * noise(), Util: min(1, (s.busy-s.last[0])/dt/s.cores()) * noise(),
			Served: (s.served - s.last[1]) / dt * 1e6 * noise()}
		if now-s.lastAt > 500_000 {
			s.last, s.lastAt = [2]float64{s.busy, s.served}, now
		}
		s.reports = append(s.reports, shown{now, l})
	}
	for len(s.reports) > 1 && s.reports[1].at <= now-r.Delay.Micros() {
		s.reports = s.reports[1:]
	}
	l := s.reports[0].load
	if s.FalseIdle > 0 {
		l.Inflight, l.Util = 0, 0
	}
	l.Inflight = math.Max(0, math.Round(l.Inflight))
	return l
}
