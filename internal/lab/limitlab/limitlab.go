// Package limitlab runs fault runs of shared limits with real processes: replicas and followers, each a sidecar under
// more load than the limits admit, in front of servers that count requests. Daemons are killed, stopped, cut off and
// slowed down, and the servers check the requests against the bound of each limit.
package limitlab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/lab/fleetlab"
)

// FaultRun has the settings of a fault run: the fleet, the faults and their schedule.
type FaultRun struct {
	Program         string        // path of the program that daemons run
	Env             []string      // added to the environment of daemons
	Dir             string        // folder for temporary files
	Replicas        int           // daemons with a replica
	Followers       int           // daemons without one
	Duration        time.Duration // for how long faults are injected
	FaultCount      int           // if above 0, number of faults in place of Duration: all kinds in turn
	FaultInterval   time.Duration // mean time between two faults
	Seed            uint64
	Schedule        []ScheduledFault // if not nil, the schedule in place of a drawn one
	StopAtViolation bool             // ends the run once a limit was exceeded
	Progress        func(string)     // receives progress lines; nil: nobody
}

// ScheduledFault is a fault of a schedule. A schedule of an earlier run can be run again.
type ScheduledFault struct {
	GapMs  int64  `json:"gap_ms"`          // after the end of the previous fault
	Fault  string `json:"fault"`           // name in Faults
	Draw   uint64 `json:"draw"`            // random number that selects the daemon
	AtMs   int64  `json:"at_ms,omitempty"` // when it was injected, for readers
	Target string `json:"what,omitempty"`  // the daemons it was injected at, for readers
}

// Result is the outcome of a fault run. Its JSON is part of the output of limit torture.
type Result struct {
	Requests                  int              `json:"requests"` // that arrived at servers
	Rejected                  int              `json:"refused"`  // rejected by sidecars with 429
	RejectedWithoutRetryAfter int              `json:"refused_without_time"`
	ConcurrencyExcesses       int              `json:"crowds"` // excesses of open requests, cancelled ones included
	FaultCounts               map[string]int   `json:"blows"`  // number of injected faults, by name
	PartCounts                []PartCount      `json:"seen"`
	Use                       float64          `json:"use"`               // used fraction of the rate after the faults
	Broken                    []string         `json:"broken"`            // limits that were exceeded
	History                   []string         `json:"history,omitempty"` // changes around the first excess
	Schedule                  []ScheduledFault `json:"schedule"`
}

// maxLateness is longer than the deadline of a request, after which its sidecar sends no more attempts of it.
const maxLateness = time.Second

// TTL is the TTL of the daemons' sessions.
const TTL = 1500 * time.Millisecond

// Limits is the configuration of the limits, in TOML.
const Limits = `
[limit.orders]
rate = 160.0
burst = "250ms"
paths = ["/look/orders"]
by = ["header:X-Org"]
[limit.orders.parts."a"]
most = 100.0
least = 40.0
[limit.orders.parts."b"]
most = 120.0
[limit.quota]
amount = 300.0
window = "3s"
paths = ["/look/quota"]
[limit.long]
amount = 1000.0
window = "10s"
paths = ["/look/long"]
[limit.held]
at_once = 16.0
longest = "1s"
paths = ["/look/held"]
[limit.fair]
rate = 60.0
burst = "500ms"
paths = ["/look/fair"]
without = "fair"
part = 0.5
hosts = 8
`

// Fault is a kind of fault.
type Fault struct {
	Name        string
	About       string
	sessionTTLs float64 // duration as a multiple of TTL
	inject      fleetlab.Fault
	atLeader    bool // injected at the leader of the store, not at a drawn daemon
}

// Faults lists all kinds of faults.
var Faults = []Fault{
	{"killed", "a daemon is killed with its quotas and started at once", 0, fleetlab.KillDaemon, false},
	{"stopped", "a daemon is stopped for three session TTLs, and then continues with all waiting requests", 3,
		fleetlab.StopDaemon, false},
	{"mute", "messages from a daemon are lost, and those to it are not", 1.5, fleetlab.LoseSent, false},
	{"deaf", "messages to a daemon are lost, and those from it are not", 1.5, fleetlab.LoseReceived, false},
	{"cut-off", "a daemon is cut off in both directions for three session TTLs", 3, fleetlab.Isolate, false},
	{"leader-killed", "the store's leader is killed", 0, fleetlab.KillDaemon, true},
	{"leader-stopped", "the store's leader is stopped for one and a half session TTLs", 1.5, fleetlab.StopDaemon, true},
	{"split", "a third of all daemons is cut off for two and a half session TTLs", 2.5, cutOffThird, false},
	{"all-killed", "all daemons are killed", 0, fleetlab.KillAll, false},
	{"slow", "all links are slow and lossy", 1.5, fleetlab.SlowLinks, false},
}

// cutOffThird cuts off a third of all daemons in both directions.
func cutOffThird(f *fleetlab.Fleet, d *fleetlab.Daemon, duration time.Duration) (string, func(context.Context) error) {
	target, endings := "", []func(context.Context) error{}
	for _, other := range f.Daemons {
		if other == d || (other.Number-d.Number+len(f.Daemons))%3 == 0 {
			name, end := fleetlab.Isolate(f, other, duration)
			target, endings = target+" "+name, append(endings, end)
		}
	}
	return target, func(ctx context.Context) (err error) {
		for _, end := range endings { // the first call waits for the whole duration
			err = errors.Join(err, end(ctx))
			duration = 0
		}
		return err
	}
}

// nextFault returns the nth fault of a run that has lasted for some time, and whether there is one.
func (t *FaultRun) nextFault(index int, elapsed time.Duration) (ScheduledFault, bool) {
	rng := rand.New(rand.NewPCG(t.Seed, uint64(index)))
	fault := ScheduledFault{GapMs: t.FaultInterval.Milliseconds()/2 +
		rng.Int64N(max(1, t.FaultInterval.Milliseconds())), Fault: Faults[rng.IntN(len(Faults))].Name,
		Draw: rng.Uint64()}
	switch {
	case t.Schedule != nil:
		if index < len(t.Schedule) {
			fault = t.Schedule[index]
		}
		return fault, index < len(t.Schedule)
	case t.FaultCount > 0:
		fault.Fault = Faults[index%len(Faults)].Name
		return fault, index < t.FaultCount
	}
	return fault, elapsed < t.Duration
}

// report passes a line to Progress, if it is not nil.
func (t *FaultRun) report(line string) {
	if t.Progress != nil {
		t.Progress(line)
	}
}

// run is the state of a fault run.
type run struct {
	*FaultRun
	fleet             *fleetlab.Fleet
	judge             *Judge
	rejected          atomic.Int64
	withoutRetryAfter atomic.Int64
	busyDaemon        atomic.Uint64 // number of the daemon with more load, modulo the number of daemons
}

// Run starts a fleet, injects the faults under load, and checks the limits. With an error it also returns the outcome
// up to then, unless the fleet did not start.
func (t *FaultRun) Run(ctx context.Context) (result *Result, err error) {
	dir, err := os.MkdirTemp(t.Dir, "limits-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	config, err := quota.ParseFile("limits.toml", []byte(Limits))
	if err != nil {
		return nil, err
	}
	config.AssignGenerations(&quota.Config{})
	r := &run{FaultRun: t, judge: NewJudge(config, t.Replicas+t.Followers)}
	r.judge.maxLateness = maxLateness
	changes := &history{now: r.judge.Now}
	r.fleet, err = fleetlab.Begin(ctx, fleetlab.Config{Program: t.Program, Args: []string{"run", "--config"},
		Env: t.Env, Dir: dir, Replicas: t.Replicas,
		Followers: t.Followers, Servers: 4, Seed: t.Seed, Handler: r.judge,
		ExtraOperatorConfig: fmt.Sprintf("[limits]\nlease = %q\ntell = \"50ms\"\neach = \"2ms\"\n", TTL)})
	if err != nil {
		return nil, err
	}
	defer r.fleet.End()
	if err := r.applyLimits(ctx, config); err != nil {
		return nil, err
	}
	result = &Result{FaultCounts: map[string]int{}}
	loadCtx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer func() {
		stop()
		background.Wait()
		result.PartCounts, result.Broken = r.judge.Result()
		result.Requests, _ = r.judge.counts("orders")
		result.ConcurrencyExcesses = len(r.judge.excesses)
		if from, to, exceeded := r.judge.firstExcess(); exceeded {
			result.History = changes.changesBetween(from-historyBefore, to)
			for _, line := range result.History {
				t.report(line)
			}
		}
		result.Rejected, result.RejectedWithoutRetryAfter = int(r.rejected.Load()), int(r.withoutRetryAfter.Load())
	}()
	background.Go(func() { changes.record(loadCtx, r.replicaClients()) })
	for _, daemon := range r.fleet.Daemons {
		for i := range loadPaths {
			background.Go(func() { r.generateLoad(loadCtx, daemon, i) })
		}
	}
	if err := r.waitForRequests(ctx, 100); err != nil {
		return result, err
	}
	startedAt := time.Now()
	for n := 0; ; n++ {
		scheduled, ok := t.nextFault(n, time.Since(startedAt))
		if _, broken := r.judge.Result(); t.StopAtViolation && len(broken) > 0 {
			return result, nil
		}
		if !ok {
			break
		}
		kind := slices.IndexFunc(Faults, func(fault Fault) bool { return fault.Name == scheduled.Fault })
		if kind < 0 {
			return result, fmt.Errorf("schedule names an unknown fault: %q", scheduled.Fault)
		}
		select {
		case <-ctx.Done():
			return result, ctx.Err()
		case <-time.After(time.Duration(scheduled.GapMs) * time.Millisecond):
		}
		fault, daemon := Faults[kind], r.fleet.Daemons[scheduled.Draw%uint64(len(r.fleet.Daemons))]
		r.busyDaemon.Store(scheduled.Draw >> 8)
		if fault.atLeader {
			daemon = r.fleet.Leader()
		}
		before, _ := r.judge.counts("orders")
		target, end := fault.inject(r.fleet, daemon, time.Duration(fault.sessionTTLs*float64(TTL)))
		result.FaultCounts[fault.Name]++
		scheduled.AtMs, scheduled.Target = time.Since(startedAt).Milliseconds(), target
		result.Schedule = append(result.Schedule, scheduled)
		if err := end(ctx); err != nil {
			return result, fmt.Errorf("%s %s: %w", fault.Name, target, err)
		}
		if err := r.waitForRequests(ctx, before+100); err != nil {
			return result, fmt.Errorf("after %s %s: %w", fault.Name, target, err)
		}
		if t.Progress != nil {
			requests, _ := r.judge.counts("orders")
			_, broken := r.judge.Result()
			t.report(fmt.Sprintf("%v: injected %s at %s; %d requests, %d rejected, %d limits exceeded",
				time.Since(startedAt).Round(time.Second), fault.Name, target, requests, r.rejected.Load(), len(broken)))
		}
	}
	return result, r.measureUse(ctx, result)
}

// applyLimits stores the limits, and waits until every daemon enforces them.
func (x *run) applyLimits(ctx context.Context, config *quota.Config) error {
	wait, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if _, err := x.fleet.Daemons[0].Client.PutLimits(wait, config); err != nil {
		return err
	}
	for _, d := range x.fleet.Daemons {
		for {
			s, err := d.Client.Limits(wait, "")
			if err == nil && s.Version == config.Version && s.Process.Session != 0 {
				break
			}
			if wait.Err() != nil {
				return errors.Join(fmt.Errorf("%s does not enforce the new limits within a minute", d.Name()), err,
					errors.New(d.Log()))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// waitForRequests waits until n requests have arrived at servers.
func (x *run) waitForRequests(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for {
		if total, _ := x.judge.counts("orders"); total >= n {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("sidecars admit no requests: %w", ctx.Err())
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// measureUse measures the use of the rate limit after the faults.
func (x *run) measureUse(ctx context.Context, r *Result) error {
	const measureDuration = 3 * time.Second
	for _, wait := range []time.Duration{2*TTL + time.Second, measureDuration} {
		_, before := x.judge.counts("orders")
		startedAt := time.Now()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		_, after := x.judge.counts("orders")
		r.Use = float64(after-before) / time.Since(startedAt).Seconds() /
			(float64(x.judge.config.Find("orders").Nodes[0].Capacity) / float64(quota.AmountUnit))
	}
	return nil
}

// replicaClients returns the clients of the daemons with a replica.
func (x *run) replicaClients() (clients []*adminapi.Client) {
	for _, d := range x.fleet.Daemons[:x.Replicas] {
		clients = append(clients, d.Client)
	}
	return clients
}

// loadPaths are the paths under load, each by a goroutine per daemon.
var loadPaths = []string{"orders", "quota", "held", "fair", "long"}

// generateLoad sends requests of one limit to one daemon until ctx ends, and more of them while the daemon is the busy
// one.
func (x *run) generateLoad(ctx context.Context, d *fleetlab.Daemon, pathIndex int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	path := loadPaths[pathIndex]
	rng := rand.New(rand.NewPCG(x.Seed, uint64(d.Number*len(loadPaths)+pathIndex)))
	slots := make(chan struct{}, 8)
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for count := 0; ctx.Err() == nil; count++ {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		org := []string{"a", "a", "b", "c"}[rng.IntN(4)]
		id := fmt.Sprintf("%04x%04x%012x", d.Number, pathIndex, count)
		inFlight.Go(func() {
			defer func() { <-slots }()
			x.sendRequest(ctx, client, d, path, org, id)
		})
		pause := 12 * time.Millisecond
		if x.busyDaemon.Load()%uint64(len(x.fleet.Daemons)) == uint64(d.Number) {
			pause = 3 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + time.Duration(rng.Int64N(int64(pause)))):
		}
	}
}

// sendRequest sends a request to a daemon, and counts a rejection.
func (x *run) sendRequest(ctx context.Context, client *http.Client, d *fleetlab.Daemon, path, org, id string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ClientAddr()+"/look/"+path, nil)
	if err != nil {
		return
	}
	for name, value := range map[string]string{
		"X-Trace-Id":      id,
		"X-Qos":           "look",
		"X-Customer":      "acme",
		"X-Org":           org,
		"X-Expires-In-Ms": "900",
		DaemonHeader:      strconv.Itoa(d.Number),
		SentHeader:        strconv.FormatInt(int64(x.judge.Now()), 10),
	} {
		r.Header.Set(name, value)
	}
	resp, err := client.Do(r)
	if err != nil {
		x.judge.ClientEnded(id, 0)
		return // its daemon was killed or is stopped
	}
	x.judge.ClientEnded(id, resp.StatusCode)
	resp.Body.Close()
	if resp.StatusCode == http.StatusTooManyRequests {
		if x.rejected.Add(1); resp.Header.Get("Retry-After") == "" {
			x.withoutRetryAfter.Add(1)
		}
	}
}
