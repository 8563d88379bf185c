package checker

import (
	"math"

	"birchmoor/internal/lab/trace"
)

// Arrivals are random, so a server may get somewhat more than the multiple by chance. The tolerance is the smaller of
// two: one in proportion to the sustainable work, and about two standard deviations of the number of requests.
const (
	slowStartTolerance         = 1.25 // of the sustainable work
	slowStartToleranceRequests = 4    // requests of mean work, added to slowStartTolerance
	variationDeviations        = 2    // square roots of the number of requests
	variationRequests          = 2    // requests of mean work, added to the deviations
)

// slowStartServer is a server since its last start.
type slowStartServer struct {
	started      Micros
	capacity     float64 // microseconds of work a second, when warm
	initialShare float64 // of the capacity, at the start
	duration     Micros  // of the warm-up, in which the share rises linearly to 1
	samples      []workSample
	sampledWork  float64 // sum of samples
	overloaded   bool    // reported once per start
}

// workSample is the work of one attempt that was sent to a server.
type workSample struct {
	at   Micros
	work float64 // in microseconds
}

func newSlowStartServer(e *trace.Event) *slowStartServer {
	return &slowStartServer{
		started:      e.At,
		capacity:     e.Capacity,
		initialShare: e.ColdFrom,
		duration:     e.ColdFor,
	}
}

func (s *slowStartServer) isWarmingUp(now Micros) bool {
	return s.duration > 0 && now-s.started < s.duration
}

// warmth returns the share of its capacity that a server which is warming up has.
func (s *slowStartServer) warmth(now Micros) float64 {
	return s.initialShare + (1-s.initialShare)*float64(now-s.started)/float64(s.duration)
}

// addSample adds work and drops the samples that are older than the window.
func (s *slowStartServer) addSample(sample workSample, window Micros) {
	expired := 0
	for expired < len(s.samples) && s.samples[expired].at < sample.at-window {
		s.sampledWork -= s.samples[expired].work
		expired++
	}
	s.samples = append(s.samples[expired:], sample)
	s.sampledWork += sample.work
}

// checkSlowStart adds the work of an attempt to what was sent to a server that is warming up, and compares the sum over
// the window with what the server sustains.
func (c *Checker) checkSlowStart(e *trace.Event) {
	server := c.servers[e.Server]
	if server == nil || server.overloaded || !server.isWarmingUp(e.At) {
		return
	}
	window := c.settings.OverloadWindow
	server.addSample(workSample{e.At, float64(e.Work)}, window)
	sustainable := c.settings.OverloadMultiple * server.capacity * server.warmth(e.At) * float64(window) / 1e6
	if server.sampledWork <= sustainable+c.tolerance(sustainable) {
		return
	}
	server.overloaded = true
	c.addViolation(SlowStartOverload, e, "was sent %.1f times what it could do, for %d ms",
		server.sampledWork/(sustainable/c.settings.OverloadMultiple), milliseconds(window))
}

// tolerance returns by how much work, in microseconds, a server may get more than the sustainable work.
func (c *Checker) tolerance(sustainable float64) float64 {
	proportional := (slowStartTolerance-1)*sustainable + slowStartToleranceRequests*c.meanWork
	variation := c.meanWork * (variationDeviations*math.Sqrt(sustainable/c.meanWork) + variationRequests)
	return min(proportional, variation)
}
