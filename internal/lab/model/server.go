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

// Outcome is how an attempt ended at its server.
type Outcome uint8

// The outcomes.
const (
	Succeeded        Outcome = iota // the server answered with success
	Errored                         // the server answered with an error after the work
	NeverRan                        // the server rejected the attempt, and says that it did not run
	ConnectionBroken                // the connection ended without an answer
)

// Job is work at a server: an attempt, a handshake or a probe. Done is called once, on the queue's goroutine, unless
// the job is cancelled first.
type Job struct {
	Request uint64 // 0 for a handshake or a probe
	Class   int
	Sidecar int
	Work    float64 // microseconds on a core of speed 1
	Done    func(Outcome)

	server      *Server
	doneAtClock float64 // reading of the server's service clock at which the job is done
	heapIndex   int     // index in Server.running; jobWaiting or jobDone outside it
	counted     bool
}

// Load is the content of a server's load report.
type Load struct {
	Inflight float64 // requests running and waiting
	Util     float64 // share of the cores in use
	Served   float64 // requests served per second
}

// Server is one slot server: cores that the running requests share evenly, behind a bounded queue. Like a real server,
// it starts cold, slows down with many requests, chokes under overload and fails. It belongs to the queue's goroutine.
type Server struct {
	Number int // from 0, in the order of the scenario's kinds
	Name   string
	Zone   int // index in the scenario's zones
	Kind   int // index in the scenario's kinds of servers
	Cell   int
	Spec   *scenario.Servers
	Speed  float64 // of a core

	Running       bool
	Starts        int     // processes started so far
	StartedAt     Micros  // start of the current process; before the run for one that started warm
	InitialWarmth float64 // warmth of the current process at its start

	world                *World
	stream               randstream.Stream
	running              jobHeap
	waiting              []*Job
	serviceClock         float64 // service that a job running all along has received, in microseconds at speed 1
	clockUpdatedAt       Micros
	clockRate            float64 // service per microsecond
	finishEvent          *eventqueue.Event
	connections          int
	connectionsBySidecar []int
	warmUpEvent          *eventqueue.Event
	overloadedSince      Micros // instant since which it holds too many requests to escape choking; -1 if it does not
	chokedSince          Micros // -1 if overload has not choked it
	recoveringSince      Micros // while choked, instant since which it has held few requests; -1 if it does not
	collapsed            bool
	coldWork             slidingSum // work sent while cold, within Rules.OverloadWindow
	maxColdLoadRatio     float64    // highest ratio of coldWork to its limit; -1 once reported, or if warm

	// Effects of the faults in force. Each is a count, a product or a list, because faults may overlap.
	HangFaults      int               // the server accepts requests and answers none
	SlowdownFactor  float64           // 1 without faults
	GrayErrorFaults []*scenario.Fault // a share of the attempts fails
	FalseIdleFaults int               // load reports look idle
	forcedChokes    int               // the server is choked as if overloaded

	busyMicros  float64 // core time used
	servedCount float64
	reports     []timedLoad
	baselineAt  Micros
	baseline    [2]float64 // busyMicros and servedCount at baselineAt, from which reports count
}

// timedLoad is a load report and the instant at which it was made.
type timedLoad struct {
	at   Micros
	load Load
}

// jobHeap is a heap of running jobs, ordered by their ends.
type jobHeap []*Job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].doneAtClock < h[j].doneAtClock }
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *jobHeap) Push(x any) {
	j := x.(*Job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	j.heapIndex = jobDone
	return j
}

const (
	jobWaiting     = -1
	jobDone        = -2
	warmUpInterval = 100 * 1000 // microseconds between updates of a warming server's speed

	// A cold server collapses only above a limit with slack for chance, over the N mean requests of work that it can
	// take.
	// The slack is 2*sqrt(N)+2 mean requests, and at most the excess of maxSlackFactor plus slackMeanWorks mean
	// requests.
	maxSlackFactor = 1.25
	slackMeanWorks = 4
)

func (s *Server) cores() float64 { return float64(s.Spec.Cores) }

// Capacity returns the work that the server does per second when warm, in microseconds.
func (s *Server) Capacity() float64 { return s.cores() * s.Speed * 1e6 }

// Warmth returns the share of its capacity that the server has at an instant: it rises linearly from InitialWarmth to
// 1.
func (s *Server) Warmth(now Micros) float64 {
	ramp := s.Spec.WarmUpDuration.Micros()
	if s.Starts <= 1 && s.StartedAt < 0 || ramp <= 0 || now-s.StartedAt >= ramp {
		return 1
	}
	return s.InitialWarmth + (1-s.InitialWarmth)*float64(now-s.StartedAt)/float64(ramp)
}

func (s *Server) isCold(now Micros) bool { return s.Warmth(now) < 1 }

// start starts a process, which is cold unless alreadyWarm.
func (s *Server) start(alreadyWarm bool) {
	now := s.world.Queue.Now()
	s.Running, s.Starts, s.StartedAt = true, s.Starts+1, now
	s.collapsed, s.chokedSince, s.overloadedSince, s.recoveringSince = false, -1, -1, -1
	s.InitialWarmth = s.stream.Uniform(s.Spec.InitialCapacity[0], s.Spec.InitialCapacity[len(s.Spec.InitialCapacity)-1])
	s.coldWork, s.maxColdLoadRatio = slidingSum{}, 0
	s.reports, s.baselineAt = nil, now
	if alreadyWarm {
		s.StartedAt = -1 << 40
	}
	s.clockUpdatedAt = now
	s.world.emit(trace.Event{At: now, Kind: trace.ServerStarted, Server: int32(s.Number), Capacity: s.Capacity(),
		ColdFrom: s.InitialWarmth, ColdFor: max(0, s.StartedAt+s.Spec.WarmUpDuration.Micros()-now)})
	s.reschedule()
	s.scheduleWarmUp()
}

// scheduleWarmUp updates the speed of a cold process at intervals until it is warm, and reports its cold load then.
func (s *Server) scheduleWarmUp() {
	s.world.Queue.Cancel(s.warmUpEvent)
	s.warmUpEvent = nil
	if s.Running && s.isCold(s.world.Queue.Now()) {
		s.warmUpEvent = s.world.Queue.After(warmUpInterval, func() { s.reschedule(); s.scheduleWarmUp() })
	} else {
		s.reportColdLoad()
	}
}

// reportColdLoad records, once per process, how close to its limit the work came that it was sent while cold.
func (s *Server) reportColdLoad() {
	if s.maxColdLoadRatio > 0 {
		s.world.emit(trace.Event{At: s.world.Queue.Now(), Kind: trace.ColdLoad, Server: int32(s.Number),
			Warmth: s.maxColdLoadRatio})
	}
	s.maxColdLoadRatio = -1
}

// stop ends the process. The connections of its jobs break, and its other connections are closed.
func (s *Server) stop() {
	if !s.Running {
		return
	}
	s.advance()
	s.Running = false
	s.reportColdLoad()
	s.world.emit(trace.Event{At: s.world.Queue.Now(), Kind: trace.ServerStopped, Server: int32(s.Number)})
	jobs := append([]*Job(nil), s.running...)
	jobs = append(jobs, s.waiting...)
	s.running, s.waiting = nil, nil
	for _, job := range jobs {
		job.heapIndex = jobDone
		job.Done(ConnectionBroken)
	}
	for i := range s.connectionsBySidecar {
		s.connectionsBySidecar[i] = 0
	}
	s.connections = 0
	s.world.Queue.Cancel(s.finishEvent)
	s.world.Queue.Cancel(s.warmUpEvent)
	s.finishEvent, s.warmUpEvent = nil, nil
	s.world.host.ServerStopped(s.Number)
}

// jobRate returns the service that each running job receives per microsecond. It falls with more jobs than cores, with
// thrashing, choking and faults, and while the process is cold; it is 0 for a process that hangs.
func (s *Server) jobRate(now Micros) float64 {
	runningJobs := float64(len(s.running))
	if runningJobs == 0 || s.HangFaults > 0 || !s.Running {
		return 0
	}
	efficiency := 1.0
	if jobsPerCore := runningJobs / s.cores(); jobsPerCore > s.Spec.ThrashJobsPerCore {
		efficiency = 1 / (1 + s.Spec.ThrashSlowdown*(jobsPerCore-s.Spec.ThrashJobsPerCore)/s.Spec.ThrashJobsPerCore)
	}
	if s.Choked() {
		if choke := s.Spec.Choke; choke != nil {
			efficiency /= choke.SlowdownFactor
		} else {
			efficiency /= 3
		}
	}
	return s.Speed * s.Warmth(now) * efficiency / s.SlowdownFactor * min(1, s.cores()/runningJobs)
}

// Choked reports whether the server runs at its choked speed, after an overload or by a fault.
func (s *Server) Choked() bool { return s.chokedSince >= 0 || s.forcedChokes > 0 }

// advance moves the service clock to the current instant. It comes before every change of the running jobs.
func (s *Server) advance() {
	now := s.world.Queue.Now()
	elapsed := float64(now - s.clockUpdatedAt)
	s.serviceClock += elapsed * s.clockRate
	if runningJobs := float64(len(s.running)); s.Running {
		s.busyMicros += elapsed * min(runningJobs, s.cores())
	}
	s.clockUpdatedAt = now
}

// reschedule updates the service rate and schedules the end of the next job. It comes after every change of the running
// jobs or of the server's speed.
func (s *Server) reschedule() {
	s.advance()
	now := s.world.Queue.Now()
	s.clockRate = s.jobRate(now)
	s.world.Queue.Cancel(s.finishEvent)
	s.finishEvent = nil
	if s.clockRate > 0 {
		delay := math.Ceil(max(0, s.running[0].doneAtClock-s.serviceClock) / s.clockRate)
		s.finishEvent = s.world.Queue.At(now+Micros(min(delay, 1e12)), s.finish)
	}
}

// finish completes the jobs that are done, and starts waiting ones in their place.
func (s *Server) finish() {
	s.advance()
	var done []*Job
	for len(s.running) > 0 && s.running[0].doneAtClock <= s.serviceClock+1e-6+s.clockRate/2 {
		done = append(done, heap.Pop(&s.running).(*Job))
	}
	s.startWaiting()
	s.reschedule()
	s.updateChoke()
	for _, job := range done {
		s.complete(job)
	}
}

// complete ends a job that is done. An attempt fails with the server's error share and that of gray failures.
func (s *Server) complete(job *Job) {
	outcome := Succeeded
	if job.Request != 0 {
		s.servedCount++
		s.world.emit(trace.Event{At: s.world.Queue.Now(), Kind: trace.AttemptFinished, Server: int32(s.Number),
			Request: job.Request, Work: Micros(job.Work)})
		errorShare := s.Spec.ErrorShare
		for _, fault := range s.GrayErrorFaults {
			if s.hasGrayErrors(fault, job) {
				errorShare = 1 - (1-errorShare)*(1-fault.Share)
			}
		}
		if errorShare > 0 && s.stream.Bernoulli(errorShare) {
			outcome = Errored
		}
	}
	job.Done(outcome)
}

// hasGrayErrors reports whether a fault makes a share of such jobs fail: it is limited by class and sidecars.
func (s *Server) hasGrayErrors(fault *scenario.Fault, job *Job) bool {
	if fault.Kind != "gray-errors" || fault.Class != "" && fault.Class != s.world.Scenario.Classes[job.Class].Name {
		return false
	}
	if len(fault.Sidecars) == 0 {
		return true
	}
	for _, n := range fault.Sidecars {
		if n == job.Sidecar {
			return true
		}
	}
	return false
}

// startWaiting starts waiting jobs while the server has slots free.
func (s *Server) startWaiting() {
	for len(s.waiting) > 0 && len(s.running) < s.Spec.SlotsPerCore*s.Spec.Cores {
		job := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.startJob(job)
	}
}

func (s *Server) startJob(job *Job) {
	job.doneAtClock = s.serviceClock + job.Work
	heap.Push(&s.running, job)
}

// heldRequests returns how many jobs are running and waiting.
func (s *Server) heldRequests() int { return len(s.running) + len(s.waiting) }

// Begin starts a job or queues it. It returns false if the server does not run, or rejects an attempt because slots and
// queue are full; Done is not called then. A handshake or a probe skips the queue.
func (s *Server) Begin(job *Job) bool {
	s.advance()
	now := s.world.Queue.Now()
	job.server, job.heapIndex = s, jobWaiting
	isAttempt := job.Request != 0
	if isAttempt {
		s.countColdWork(now, job)
	}
	if !s.Running {
		return false
	}
	if isAttempt && s.HangFaults == 0 && len(s.running) >= s.Spec.SlotsPerCore*s.Spec.Cores &&
		len(s.waiting) >= s.Spec.Queue {
		s.world.emit(trace.Event{At: now, Kind: trace.AttemptRejected, Sidecar: int32(job.Sidecar),
			Server: int32(s.Number), Request: job.Request, Class: uint8(job.Class), Work: Micros(job.Work)})
		return false
	}
	if isAttempt {
		s.world.emit(trace.Event{At: now, Kind: trace.AttemptAccepted, Sidecar: int32(job.Sidecar),
			Server: int32(s.Number), Request: job.Request, Class: uint8(job.Class), Work: Micros(job.Work)})
	}
	if isAttempt && len(s.running) >= s.Spec.SlotsPerCore*s.Spec.Cores {
		s.waiting = append(s.waiting, job)
	} else {
		s.startJob(job)
	}
	s.updateChoke()
	s.reschedule()
	return true
}

// Cancel tells the server that the job's result is no longer needed. It reports whether the server dropped the job, as
// its spec allows; otherwise Done is still called.
func (s *Server) Cancel(job *Job) bool {
	if job.heapIndex == jobDone || job.server != s {
		return false
	}
	s.advance()
	switch {
	case job.heapIndex == jobWaiting && s.Spec.Cancel != "none":
		for i, waitingJob := range s.waiting {
			if waitingJob == job {
				s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
				break
			}
		}
		job.heapIndex = jobDone
	case job.heapIndex >= 0 && s.Spec.Cancel == "all":
		heap.Remove(&s.running, job.heapIndex)
		s.startWaiting()
	default:
		return false
	}
	s.updateChoke()
	s.reschedule()
	return true
}

// updateChoke chokes a server that has held too many requests for too long, and ends the choke after a time with few of
// them, or after the longest time for it.
func (s *Server) updateChoke() {
	choke := s.Spec.Choke
	if choke == nil {
		return
	}
	now, heldPerCore := s.world.Queue.Now(), float64(s.heldRequests())/s.cores()
	if s.chokedSince < 0 {
		switch {
		case heldPerCore < choke.OverloadHeldPerCore:
			s.overloadedSince = -1
		case s.overloadedSince < 0:
			s.overloadedSince = now
			s.world.Queue.After(choke.OverloadDuration.Micros(), s.updateChoke)
		case now-s.overloadedSince >= choke.OverloadDuration.Micros():
			s.chokedSince, s.overloadedSince, s.recoveringSince = now, -1, -1
			s.world.Queue.After(choke.MaxDuration.Micros(), s.updateChoke)
			s.reschedule()
		}
		return
	}
	switch {
	case now-s.chokedSince >= choke.MaxDuration.Micros():
	case heldPerCore > choke.RecoveryHeldPerCore:
		s.recoveringSince = -1
		return
	case s.recoveringSince < 0:
		s.recoveringSince = now
		s.world.Queue.After(choke.RecoveryDuration.Micros(), s.updateChoke)
		return
	case now-s.recoveringSince < choke.RecoveryDuration.Micros():
		return
	}
	s.chokedSince, s.recoveringSince = -1, -1
	s.reschedule()
}

// countColdWork counts the work that a cold server is sent. The server's process stops if it exceeds the limit within
// Rules.OverloadWindow.
func (s *Server) countColdWork(now Micros, job *Job) {
	if !s.isCold(now) || s.collapsed {
		return
	}
	rules := &s.world.Scenario.Rules
	s.coldWork.add(now, job.Work, rules.OverloadWindow.Micros())
	maxWork := rules.OverloadMultiple * s.Capacity() * s.Warmth(now) * float64(rules.OverloadWindow.Micros()) / 1e6
	meanWork := s.world.MeanWork()
	limit := maxWork + min((maxSlackFactor-1)*maxWork+slackMeanWorks*meanWork,
		meanWork*(2*math.Sqrt(maxWork/meanWork)+2))
	s.maxColdLoadRatio = max(s.maxColdLoadRatio, s.coldWork.sum/limit)
	if s.coldWork.sum > limit && s.Running {
		s.collapsed = true
		s.world.emit(trace.Event{At: now, Kind: trace.ServerCollapsed, Server: int32(s.Number)})
		s.world.Queue.After(0, s.stop)
	}
}

// slidingSum is the sum of the values that were added within a time window.
type slidingSum struct {
	sum     float64
	samples []struct {
		at    Micros
		value float64
	}
}

// add adds a value and drops those older than length.
func (s *slidingSum) add(now Micros, value float64, length Micros) {
	expired := 0
	for expired < len(s.samples) && s.samples[expired].at < now-length {
		s.sum -= s.samples[expired].value
		expired++
	}
	s.samples = append(s.samples[expired:], struct {
		at    Micros
		value float64
	}{now, value})
	s.sum += value
}

// Open accepts a connection of a sidecar. With full, the connection exceeds the server's limit: it isn't counted, and
// requests on it are rejected.
func (s *Server) Open(sidecar int) (full bool) {
	if s.connections >= s.Spec.ConnCap {
		s.world.emit(trace.Event{At: s.world.Queue.Now(), Kind: trace.ConnRefused, Sidecar: int32(sidecar),
			Server: int32(s.Number)})
		return true
	}
	s.connections++
	s.connectionsBySidecar[sidecar]++
	s.world.emit(trace.Event{At: s.world.Queue.Now(), Kind: trace.ConnOpened, Sidecar: int32(sidecar),
		Server: int32(s.Number)})
	return false
}

// Close ends a connection that Open counted. It does nothing if the process has ended that accepted it: starts is the
// value of Starts at that time.
func (s *Server) Close(sidecar, starts int) {
	if starts != s.Starts || !s.Running {
		return
	}
	s.connections--
	s.connectionsBySidecar[sidecar]--
	s.world.emit(trace.Event{At: s.world.Queue.Now(), Kind: trace.ConnClosed, Sidecar: int32(sidecar),
		Server: int32(s.Number)})
}

// Report returns the load report that the server sends now. Its spec sets how often a report is made, how old the one
// that is sent must be, and its noise.
func (s *Server) Report() Load {
	now, spec := s.world.Queue.Now(), &s.Spec.Report
	if interval := spec.Interval.Micros(); len(s.reports) == 0 || now-s.reports[len(s.reports)-1].at >= interval {
		s.advance()
		elapsed := max(1, float64(now-s.baselineAt))
		noise := func() float64 { return 1 + spec.Noise*s.stream.NormFloat64() }
		load := Load{Inflight: float64(s.heldRequests()) * noise(),
			Util:   min(1, (s.busyMicros-s.baseline[0])/elapsed/s.cores()) * noise(),
			Served: (s.servedCount - s.baseline[1]) / elapsed * 1e6 * noise()}
		if now-s.baselineAt > 500_000 {
			s.baseline, s.baselineAt = [2]float64{s.busyMicros, s.servedCount}, now
		}
		s.reports = append(s.reports, timedLoad{now, load})
	}
	for len(s.reports) > 1 && s.reports[1].at <= now-spec.Delay.Micros() {
		s.reports = s.reports[1:]
	}
	load := s.reports[0].load
	if s.FalseIdleFaults > 0 {
		load.Inflight, load.Util = 0, 0
	}
	load.Inflight = math.Max(0, math.Round(load.Inflight))
	return load
}
