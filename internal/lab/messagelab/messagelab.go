// Package messagelab runs sidecar processes with long and slow messages: clients and servers that write, read, stop and
// leave by plans drawn from a seed, beside crowds of clients that misbehave, while the processes get signals in series,
// are killed and upgraded. What clients and servers saw is judged by the guarantees to callers. Clients use their
// connections until the process is killed, at the earliest time that the platform allows.
//
// Package soak does so with daemons, limits and drains.
package messagelab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"birchmoor/internal/lab/address"
)

// Options of a run.
type Options struct {
	Program  string   // the sidecar program
	Args     []string // of Program
	Env      []string // added to its environment
	Dir      string   // parent of the temporary folder of the run
	Seed     uint64
	Duration time.Duration
	RealTime bool // also judge rules with a bound in real time, which a busy machine violates
	Memory   bool // also judge memory, which is larger in a build with the race detector
	KeepLogs bool // leave the folder with the sidecars' logs
}

// Result is the result of a run.
type Result struct {
	Seed       uint64       `json:"seed"`
	Requests   int          `json:"requests"`
	Served     int          `json:"served"`
	Rejected   int          `json:"rejected"`
	Failed     int          `json:"failed"`
	Left       int          `json:"left"`
	Usual      int          `json:"usual"` // requests that were neither long nor slow, and stayed
	UsualServe int          `json:"usual_served"`
	Faults     int          `json:"faults"`
	Crowd      bool         `json:"crowd"`
	MemoryMB   float64      `json:"memory_mb"` // the largest of any process
	LabLateMs  int64        `json:"lab_late_ms"`
	RealTime   bool         `json:"real_time"` // rules with a bound in real time were judged
	Dir        string       `json:"dir,omitempty"`
	Counts     map[Rule]int `json:"broken,omitempty"`
	Violations []Violation  `json:"violations,omitempty"`
}

const (
	sidecars          = 3
	serverCount       = 6
	clientsPerSidecar = 8
	crowdEvery        = 3 // seeds
	latenessInterval  = 5 * time.Millisecond
)

// run is the state of a run.
type run struct {
	Options
	servers   *servers
	sidecars  []*sidecar
	discovery string // an address at which nothing listens: the list does not change
	clients   sync.WaitGroup
	processes sync.WaitGroup

	mu      sync.Mutex
	records []*record
	excuses []period
	result  Result
}

func (r *run) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *run) add(rec *record) { r.update(func() { r.records = append(r.records, rec) }) }
func (r *run) excuse(p period) { r.update(func() { r.excuses = append(r.excuses, p) }) }
func (r *run) hasCrowd() bool  { return r.Seed%crowdEvery == 0 }
func (r *run) violate(rule Rule, detail string) {
	r.update(func() { r.violateLocked(rule, detail) })
}

func (r *run) violateLocked(rule Rule, detail string) {
	r.result.Counts[rule]++
	if r.result.Counts[rule] <= maxExamples {
		r.result.Violations = append(r.result.Violations, Violation{rule, detail})
	}
}

// Run runs a seed. It returns an error if the lab fails or a sidecar does not start.
func Run(ctx context.Context, opts Options) (*Result, error) {
	dir, err := os.MkdirTemp(opts.Dir, "messages-")
	if err != nil {
		return nil, err
	}
	if !opts.KeepLogs {
		defer os.RemoveAll(dir)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{Options: opts, discovery: address.Next(), result: Result{Seed: opts.Seed, Counts: map[Rule]int{}}}
	r.result.Crowd = r.hasCrowd()
	if opts.KeepLogs {
		r.result.Dir = dir
	}
	if r.servers, err = startServers(ctx, serverCount); err != nil {
		return nil, err
	}
	defer r.servers.close()
	defer cancel()
	defer r.stopSidecars()
	for number := range sidecars {
		s, err := r.newSidecar(dir, number)
		if err != nil {
			return nil, err
		}
		r.sidecars = append(r.sidecars, s)
		if s.current, err = s.start(); err != nil {
			return nil, err
		}
		if err := s.waitReady(ctx, s.current, s.answersReady, readyTimeout); err != nil {
			return nil, err
		}
	}
	if err := r.runLoad(ctx); err != nil {
		return nil, err
	}
	r.stopSidecars()
	return r.finish(), nil
}

// stopSidecars kills all processes and waits for their end.
func (r *run) stopSidecars() {
	for _, s := range r.sidecars {
		if s.current != nil {
			s.current.kill()
		}
	}
	r.processes.Wait()
}

// runLoad runs clients and faults for the duration of the run.
func (r *run) runLoad(ctx context.Context) error {
	load, stopLoad := context.WithTimeout(ctx, r.Duration)
	defer stopLoad()
	crowd, stopCrowd := context.WithCancel(ctx)
	defer stopCrowd()
	r.clients.Go(func() { r.measureLateness(load) })
	for number := range sidecars {
		for n := range clientsPerSidecar {
			c := &client{run: r, sidecar: number, number: n, rng: r.random(uint64(number*clientsPerSidecar + n))}
			r.clients.Go(func() { c.loop(load) })
		}
		if r.hasCrowd() {
			r.crowd(crowd, number)
		}
		rng := r.random(uint64(1000 + number))
		r.clients.Go(func() {
			pause(load, time.Duration(rng.Int64N(int64(r.Duration/2))))
			r.flood(load, number, rng)
		})
	}
	errs := make(chan error, sidecars)
	var playing sync.WaitGroup
	for number, s := range r.sidecars {
		playing.Go(func() { errs <- s.playFaults(load, r.random(uint64(2000+number))) })
	}
	playing.Wait()
	<-load.Done()
	stopCrowd()
	r.clients.Wait()
	for range sidecars {
		if err := <-errs; err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (r *run) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(r.Seed, stream)) }

// measureLateness measures by how much sleeps of the lab itself overrun, until ctx ends.
func (r *run) measureLateness(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		time.Sleep(latenessInterval)
		late := time.Since(started) - latenessInterval
		r.update(func() { r.result.LabLateMs = max(r.result.LabLateMs, late.Milliseconds()) })
	}
}

// finish judges the run, whose clients and processes have ended.
func (r *run) finish() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers.mu.Lock()
	defer r.servers.mu.Unlock()
	realTime := r.RealTime && r.result.LabLateMs <= maxLateness.Milliseconds()
	r.result.RealTime = realTime
	for _, rec := range r.records {
		r.count(rec)
		r.judge(rec, realTime)
	}
	if r.Memory && r.result.MemoryMB > memoryMB {
		r.violateLocked(Memory, fmt.Sprintf("a process had %.0f MB of %d", r.result.MemoryMB, memoryMB))
	}
	return &r.result
}

// rejectedStatuses are those of answers that promise that the request never ran.
var rejectedStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}

// count adds a request to the figures of the result.
func (r *run) count(rec *record) {
	r.result.Requests++
	if rec.plan.usual() {
		r.result.Usual++
		if rec.isServed() {
			r.result.UsualServe++
		}
	}
	switch {
	case rec.outcome == abandoned:
		r.result.Left++
	case rec.isServed():
		r.result.Served++
	case rec.outcome == answered && slices.Contains(rejectedStatuses, rec.status):
		r.result.Rejected++
	default:
		r.result.Failed++
	}
}
