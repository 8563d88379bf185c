// Package soak runs a small fleet of real processes through schedules that are drawn from seeds: signals in series,
// kills, stops, partitions, quiet discoveries, full disks and drains, under clients that use their connections until
// the kill. What clients and servers observed is judged from outside, by the promises to callers.
//
// It runs daemons with their sidecars by package fleetlab, and judges limits by package limitlab.
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
	Program  string
	Args     []string // before the operator file
	Env      []string
	Dir      string // for what it writes
	Schedule *Schedule
	RealTime bool // rules with a bound in real time are judged, too: not on a busy machine
}

// Result is what came of a run.
type Result struct {
	Seed          uint64       `json:"seed"`
	Requests      int          `json:"requests"`
	Answered      int          `json:"answered"`
	Served        int          `json:"served"`
	Unanswered    int          `json:"unanswered"`
	Restarts      int          `json:"restarts"`
	SlowestReady  int64        `json:"slowest_ready_ms"`
	LabLateMs     int64        `json:"lab_late_ms"` // the latest that the lab itself ran
	Counts        map[Rule]int `json:"broken,omitempty"`
	Violations    []Violation  `json:"violations,omitempty"`
	RealTime      bool         `json:"real_time"` // rules with a bound in real time were judged
	ActionsDone   int          `json:"actions"`
	ActionsPassed int          `json:"actions_left_out"` // since they could not be done then
}

// Sizes of the fleet.
const (
	Replicas = 3
	Follow   = 2
	Daemons  = Replicas + Follow
	Servers  = 5
)

const (
	clientsPerDaemon = 6
	descriptorLimit  = 300
	crowdSize        = 2 * descriptorLimit
	crowdInterval    = 20 * time.Millisecond
	maxDraining      = 2 // servers at a time
	descriptorSlack  = 64
	settleTimeout    = time.Minute
	readyDeadline    = time.Minute
	maxLabLateness   = 50 * time.Millisecond // beyond which bounds in real time are not judged
	latenessInterval = 5 * time.Millisecond
	longestTimeout   = time.Second                           // of the classes below
	killDelay        = longestTimeout + 700*time.Millisecond // from SIGTERM, at the earliest
	limitedPath      = "/look/limited"
	limits           = "[limit.limited]\namount = 150.0\nwindow = \"3s\"\npaths = [\"" + limitedPath + "\"]\n"
	operatorFile     = "[limits]\nlease = \"1500ms\"\ntell = \"50ms\"\neach = \"2ms\"\n"
)

// settings have a class that may be repeated and one that must not.
func settings() string {
	const look = `{"name":"look","repeat":"pure","target":500000,"give-up":1000000,"credit":1.0}`
	const pay = `{"name":"pay","repeat":"side_effect","target":500000,"give-up":1000000,"credit":2.0}`
	return fleetlab.Settings(look, look+","+pay)
}

// run is a run under way.
type run struct {
	Options
	fleet   *fleetlab.Fleet
	limits  *limitlab.Judge
	servers *servers

	mu       sync.Mutex
	evidence evidence
	result   Result
	draining map[int]bool
	wanted   map[int]bool // daemons whose process is to end
	baseline []int        // descriptors of each daemon before the load
}

// Run plays a schedule. Its error is the lab's own.
func Run(ctx context.Context, o Options) (*Result, error) {
	dir, err := os.MkdirTemp(o.Dir, "soak-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	config, err := quota.ParseFile("limits.toml", []byte(limits))
	if err != nil {
		return nil, err
	}
	config.AssignGenerations(&quota.Config{})
	r := &run{Options: o, limits: limitlab.NewJudge(config, Daemons), draining: map[int]bool{}, wanted: map[int]bool{}}
	r.servers = newServers(o.Schedule.Seed, r.limits)
	r.result = Result{Seed: o.Schedule.Seed}
	r.evidence.daemons = make([]daemonHistory, Daemons)
	r.evidence.crowd = o.Schedule.Crowd
	fleetConfig := fleetlab.Config{
		Program:  o.Program,
		Args:     o.Args,
		Env:      o.Env,
		Dir:      dir,
		Replicas: Replicas,
		Follow:   Follow,
		Servers:  Servers,
		Starts:   true,
		Seed:     o.Schedule.Seed,
		Handle:   r.servers,
		More:     operatorFile,
		Settings: settings(),
		Sockets:  descriptorLimit,
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
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	return r.finish(), nil
}

// putLimits puts the limits in force, and waits until every daemon goes by them.
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
				return fmt.Errorf("%s does not go by the limits: %w\n%s", d.Name(), ctx.Err(), d.Log())
			}
			pause(ctx, redialPause)
		}
	}
	return nil
}

// play runs the load and the schedule, and then waits until all is calm.
func (r *run) play(ctx context.Context) error {
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
		if r.Schedule.Crowd {
			clients.Go(func() { r.crowd(load, daemon, crowdSize) })
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

// note changes what is known of a daemon.
func (r *run) note(number int, change func(*daemonHistory)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.evidence.daemons[number])
}

func (r *run) setWanted(number int, wanted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted[number] = wanted
}

// noteCrash reports whether a daemon's process has ended by itself.
func (r *run) noteCrash(number int) bool {
	d := r.fleet.Daemons[number]
	select {
	case <-d.Ended():
	default:
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wanted[number] {
		return false
	}
	r.evidence.otherwise = append(r.evidence.otherwise, Violation{Crash, d.Name() + ": " + lastLines(d.Log())})
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

// record notes how a request ended.
func (r *run) record(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.requests = append(r.evidence.requests, q)
	r.result.Requests++
	switch q.outcome {
	case answered:
		r.result.Answered++
		if q.status == http.StatusOK {
			r.result.Served++
		}
	case closed, timedOut:
		r.result.Unanswered++
	}
}

// measureLateness notes how late the lab itself runs.
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

// checkDescriptors waits until each daemon has as many descriptors open as before the load.
func (r *run) checkDescriptors(ctx context.Context) {
	deadline := time.Now().Add(settleTimeout)
	for number, d := range r.fleet.Daemons {
		if r.noteCrash(number) {
			continue
		}
		open := descriptors(d.PID())
		for ; open > r.baseline[number]+descriptorSlack && time.Now().Before(deadline); open = descriptors(d.PID()) {
			pause(ctx, redialPause)
		}
		if open > r.baseline[number]+descriptorSlack {
			r.mu.Lock()
			r.evidence.otherwise = append(r.evidence.otherwise, Violation{Descriptors,
				fmt.Sprintf("%s has %d open a minute after the load, and %d before it",
					d.Name(), open, r.baseline[number])})
			r.mu.Unlock()
		}
	}
}

// descriptors returns the number of descriptors that a process has open.
func descriptors(pid int) int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// finish judges the run.
func (r *run) finish() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers.mu.Lock()
	defer r.servers.mu.Unlock()
	r.evidence.arrivals = r.servers.arrivals
	r.evidence.realTime = r.RealTime && r.result.LabLateMs <= maxLabLateness.Milliseconds()
	if _, broken := r.limits.Result(); len(broken) > 0 {
		for _, what := range broken {
			r.evidence.otherwise = append(r.evidence.otherwise, Violation{Limits, what})
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
