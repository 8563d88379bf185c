// Package soak runs a small fleet of real processes through schedules of faults that are drawn from seeds: signals in
// series, kills, stops, partitions, discovery without changes, full disks and drains. Clients use their connections
// until the process is killed. What clients and servers observed is judged by the guarantees to callers.
//
// Package fleetlab runs the daemons with their sidecars, and package limitlab judges the limits.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/lab/fleetlab"
	"birchmoor/internal/lab/limitlab"
)

// Options of a run.
type Options struct {
	Program  string   // runs a daemon
	Args     []string // of Program, before the operator file
	Env      []string // added to the environment of the daemons
	Dir      string   // parent of the temporary folder of the run
	Schedule *Schedule
	RealTime bool // also judge rules with a bound in real time, which a busy machine violates
}

// Result is the result of a run.
type Result struct {
	Seed           uint64       `json:"seed"`
	Requests       int          `json:"requests"`
	Answered       int          `json:"answered"`
	Served         int          `json:"served"`
	Unanswered     int          `json:"unanswered"`
	Restarts       int          `json:"restarts"`
	SlowestReady   int64        `json:"slowest_ready_ms"`
	LabLateMs      int64        `json:"lab_late_ms"` // maximum delay of the lab itself
	Counts         map[Rule]int `json:"broken,omitempty"`
	Violations     []Violation  `json:"violations,omitempty"`
	RealTime       bool         `json:"real_time"` // rules with a bound in real time were judged
	ActionsDone    int          `json:"actions"`
	ActionsSkipped int          `json:"actions_left_out"` // drains of servers that could not drain at their time
}

// Size of the fleet.
const (
	Replicas  = 3
	Followers = 2
	Daemons   = Replicas + Followers
	Servers   = 5
)

const (
	clientsPerDaemon  = 6
	descriptorLimit   = 300
	idleConnections   = 2 * descriptorLimit
	idleCheckInterval = 20 * time.Millisecond
	maxDraining       = 2  // servers at a time
	descriptorSlack   = 64 // descriptors that a daemon may have open after the load beyond those before it
	settleTimeout     = time.Minute
	readyDeadline     = time.Minute
	maxLabLateness    = 50 * time.Millisecond // beyond it, bounds in real time are not judged
	latenessInterval  = 5 * time.Millisecond
	longestTimeout    = time.Second                           // of the classes below
	killDelay         = longestTimeout + 700*time.Millisecond // from SIGTERM, at the earliest
	limitedPath       = "/look/limited"
	limits            = "[limit.limited]\namount = 150.0\nwindow = \"3s\"\npaths = [\"" + limitedPath + "\"]\n"
	operatorFile      = "[limits]\nlease = \"1500ms\"\ntell = \"50ms\"\neach = \"2ms\"\n"
)

// settings returns the sidecars' settings, with an idempotent class and one that must not be repeated.
func settings() string {
	const look = `{"name":"look","repeat":"pure","target":500000,"give-up":1000000,"credit":1.0}`
	const pay = `{"name":"pay","repeat":"side_effect","target":500000,"give-up":1000000,"credit":2.0}`
	return fleetlab.Settings(look, look+","+pay)
}

// run is the state of a run. It is safe for concurrent use.
type run struct {
	Options
	fleet   *fleetlab.Fleet
	limits  *limitlab.Judge
	servers *servers

	mu          sync.Mutex
	evidence    evidence
	result      Result
	draining    map[int]bool
	endExpected map[int]bool // daemons whose process the lab ends
	baseline    []int        // descriptors of each daemon before the load
}

// Run carries out a schedule and judges it. It returns an error if the lab fails or a daemon does not start.
func Run(ctx context.Context, opts Options) (*Result, error) {
	dir, err := os.MkdirTemp(opts.Dir, "soak-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	config, err := quota.ParseFile("limits.toml", []byte(limits))
	if err != nil {
		return nil, err
	}
	config.AssignGenerations(&quota.Config{})
	r := &run{
		Options:     opts,
		limits:      limitlab.NewJudge(config, Daemons),
		draining:    map[int]bool{},
		endExpected: map[int]bool{},
	}
	r.servers = newServers(opts.Schedule.Seed, r.limits)
	r.result = Result{Seed: opts.Schedule.Seed}
	r.evidence.daemons = make([]daemonHistory, Daemons)
	r.evidence.fullDescriptors = opts.Schedule.FillDescriptors
	fleetConfig := fleetlab.Config{
		Program:             opts.Program,
		Args:                opts.Args,
		Env:                 opts.Env,
		Dir:                 dir,
		Replicas:            Replicas,
		Followers:           Followers,
		Servers:             Servers,
		ReportStarts:        true,
		Seed:                opts.Schedule.Seed,
		Handler:             r.servers,
		ExtraOperatorConfig: operatorFile,
		Settings:            settings(),
		DescriptorLimit:     descriptorLimit,
	}
	r.fleet, err = fleetlab.Begin(ctx, fleetConfig)
	if err != nil {
		return nil, err
	}
	defer r.fleet.End()
	for _, s := range r.fleet.Servers {
		r.servers.byAddr[s.Listener.Addr().String()] = s.Number
	}
	if err := r.putLimits(ctx, config); err != nil {
		return nil, err
	}
	if err := r.runLoad(ctx); err != nil {
		return nil, err
	}
	return r.finish(), nil
}

// putLimits stores the limits, and waits until every daemon applies them.
func (r *run) putLimits(ctx context.Context, config *quota.Config) error {
	ctx, cancel := context.WithTimeout(ctx, readyDeadline)
	defer cancel()
	if _, err := r.fleet.Daemons[0].Client.PutLimits(ctx, config); err != nil {
		return err
	}
	for _, d := range r.fleet.Daemons {
		for {
			status, err := d.Client.Limits(ctx, "")
			if err == nil && len(status.Limits) == 1 && status.Process.Session != 0 {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s has not applied the limits: %w\n%s", d.Name(), ctx.Err(), d.Log())
			}
			pause(ctx, redialDelay)
		}
	}
	return nil
}

// runLoad runs the clients and the schedule, and checks afterwards that the daemons have closed their descriptors.
func (r *run) runLoad(ctx context.Context) error {
	for _, d := range r.fleet.Daemons {
		r.baseline = append(r.baseline, descriptors(d.PID()))
	}
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stopLoad()
	clients.Go(func() { r.measureLateness(load) })
	for daemon := range Daemons {
		for number := range clientsPerDaemon {
			c := &client{run: r, daemon: daemon, number: number,
				rng: rand.New(rand.NewPCG(r.Schedule.Seed, uint64(daemon*clientsPerDaemon+number)))}
			clients.Go(func() { c.loop(load) })
		}
		if r.Schedule.FillDescriptors {
			clients.Go(func() { r.fillDescriptors(load, daemon, idleConnections) })
		}
	}
	err := r.playEvents(ctx)
	stopLoad()
	clients.Wait()
	if err == nil {
		r.checkDescriptors(ctx)
	}
	return err
}

// updateHistory changes the history of a daemon.
func (r *run) updateHistory(number int, change func(*daemonHistory)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.evidence.daemons[number])
}

// setEndExpected sets whether the end of a daemon's process is the lab's doing and no crash.
func (r *run) setEndExpected(number int, expected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endExpected[number] = expected
}

// recordCrash reports whether a daemon's process has ended by itself, and records that as a violation. Requests of the
// minute before it are excused, as its exact time is not known.
func (r *run) recordCrash(number int) bool {
	d := r.fleet.Daemons[number]
	select {
	case <-d.Ended():
	default:
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endExpected[number] {
		return false
	}
	r.evidence.observed = append(r.evidence.observed, Violation{Crash, d.Name() + ": " + lastLines(d.Log())})
	now := time.Now()
	h := &r.evidence.daemons[number]
	h.killed = append(h.killed, period{now.Add(-time.Minute), now})
	return true
}

// lastLines returns the end of a log.
func lastLines(log string) string {
	const shown = 5
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return strings.Join(lines[max(0, len(lines)-shown):], "\n")
}

// record records the outcome of a request.
func (r *run) record(ended *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.requests = append(r.evidence.requests, ended)
	r.result.Requests++
	switch ended.outcome {
	case answered:
		r.result.Answered++
		if ended.status == http.StatusOK {
			r.result.Served++
		}
	case closed, timedOut:
		r.result.Unanswered++
	}
}

// measureLateness measures by how much sleeps of the lab itself overrun, until ctx ends.
func (r *run) measureLateness(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		time.Sleep(latenessInterval)
		late := time.Since(started) - latenessInterval
		r.mu.Lock()
		r.result.LabLateMs = max(r.result.LabLateMs, late.Milliseconds())
		r.mu.Unlock()
	}
}

// checkDescriptors waits until no daemon has many more descriptors open than before the load, and records a violation
// for each that still has after settleTimeout.
func (r *run) checkDescriptors(ctx context.Context) {
	deadline := time.Now().Add(settleTimeout)
	for number, d := range r.fleet.Daemons {
		if r.recordCrash(number) {
			continue
		}
		open := descriptors(d.PID())
		for ; open > r.baseline[number]+descriptorSlack && time.Now().Before(deadline); open = descriptors(d.PID()) {
			pause(ctx, redialDelay)
		}
		if open > r.baseline[number]+descriptorSlack {
			r.mu.Lock()
			r.evidence.observed = append(r.evidence.observed, Violation{Descriptors,
				fmt.Sprintf("%s has %d open a minute after the load, and %d before it",
					d.Name(), open, r.baseline[number])})
			r.mu.Unlock()
		}
	}
}

// descriptors returns the number of descriptors that a process has open, or 0 if it has ended.
func descriptors(pid int) int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// finish judges the run, whose clients and daemons are idle by now, and returns its result.
func (r *run) finish() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers.mu.Lock()
	defer r.servers.mu.Unlock()
	r.evidence.arrivals = r.servers.arrivals
	r.evidence.realTime = r.RealTime && r.result.LabLateMs <= maxLabLateness.Milliseconds()
	if _, broken := r.limits.Result(); len(broken) > 0 {
		for _, violation := range broken {
			r.evidence.observed = append(r.evidence.observed, Violation{Limits, violation})
		}
	}
	r.result.RealTime = r.evidence.realTime
	r.result.Restarts = len(r.evidence.restarts)
	for _, took := range r.evidence.restarts {
		r.result.SlowestReady = max(r.result.SlowestReady, took.Milliseconds())
	}
	r.result.Violations, r.result.Counts = r.evidence.judge()
	return &r.result
}
