package fleetlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"birchmoor/internal/lab/relay"
)

// FaultRun drains and restarts servers under load, while daemons are killed with SIGKILL, one or all at once, and
// replicas are cut off from each other. It judges three rules by the requests that reach the servers:
//
//   - A daemon that is known to have learnt of a drain sends no more requests to the draining process, even after the
//     daemon was killed.
//   - If nothing is killed or cut off from calmBefore before the first report of a drain until MaxReportDelay after it,
//     no daemon sends a request to that process later than MaxReportDelay after the report, whichever daemon received
//     the report.
//   - After all daemons have run undisturbed for CalmPeriod, no daemon sends a request to a process that drains,
//     whatever was killed before.
type FaultRun struct {
	Fleet         *Fleet
	Duration      time.Duration
	FaultInterval time.Duration // mean interval between two faults
	Seed          uint64
	Progress      func(string) // called with the progress after each kill; may be nil
}

// Bounds of the rules that FaultRun judges.
const (
	MaxReportDelay = 500 * time.Millisecond
	calmBefore     = 1500 * time.Millisecond // an election and the return of connections take that long
	CalmPeriod     = 4 * time.Second
	attemptGrace   = 300 * time.Millisecond // for attempts in flight when a daemon learns of a drain
)

// FaultRunResult is the result of a FaultRun.
type FaultRunResult struct {
	Drains            int      `json:"drains"`
	UndisturbedDrains int      `json:"judged"` // drains reported after calmBefore without a disturbance
	Starts            int      `json:"starts"` // of servers
	Kills             int      `json:"kills"`  // of daemons
	KillsOfAll        int      `json:"all_at_once"`
	Cuts              int      `json:"cuts"`
	Requests          int      `json:"requests"`
	Late              int      `json:"late"`     // requests later than MaxReportDelay, without a disturbance
	Stale             int      `json:"stale"`    // requests from daemons that had learnt of the drain
	NeverReported     int      `json:"never"`    // requests after CalmPeriod without a disturbance
	WorstMs           float64  `json:"worst_ms"` // maximum delay of a request after an undisturbed report
	Violations        []string `json:"broken"`   // the first violations
	mu                sync.Mutex
	drains            map[serverStart]*reportedDrain
	disturbances      []disturbance
}

// serverStart identifies a process of a server by its start time, in Unix milliseconds.
type serverStart struct {
	server int
	start  int64
}

// reportedDrain is a drain that was reported to one daemon first.
type reportedDrain struct {
	reportedAt time.Time
	reporter   int
	knownAt    map[int]time.Time // by daemon, when its admin API first listed the drain
}

// disturbance is a time in which a fault was injected; to is zero until its end.
type disturbance struct{ from, to time.Time }

// Run runs for t.Duration. The caller must load the fleet meanwhile.
func (t *FaultRun) Run(ctx context.Context) (*FaultRunResult, error) {
	result := &FaultRunResult{drains: map[serverStart]*reportedDrain{}}
	ctx, cancel := context.WithTimeout(ctx, t.Duration)
	defer cancel()
	for _, s := range t.Fleet.Servers {
		s.mu.Lock()
		s.onArrival = func(a Arrival) { result.judgeArrival(s.Number, a) }
		s.mu.Unlock()
	}
	var wg sync.WaitGroup
	for _, d := range t.Fleet.Daemons {
		wg.Go(func() { t.watchKnownDrains(ctx, result, d) })
	}
	wg.Go(func() { t.drainAndRestart(ctx, result) })
	err := t.injectFaults(ctx, result)
	wg.Wait()
	for _, s := range t.Fleet.Servers {
		s.mu.Lock()
		s.onArrival = nil
		s.mu.Unlock()
	}
	return result, err
}

// judgeArrival judges a request that reached a server. It is called for each of them, by several goroutines.
func (r *FaultRunResult) judgeArrival(server int, arrival Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests++
	drain := r.drains[serverStart{server, arrival.Start}]
	if drain == nil {
		return
	}
	delay := arrival.At.Sub(drain.reportedAt)
	addViolation := func(count *int, kind string) {
		*count++
		if len(r.Violations) < 20 {
			r.Violations = append(r.Violations, fmt.Sprintf(
				"%s: daemon %d sent to slot-%d %v after daemon %d heard that it drains",
				kind, arrival.From, server, delay.Round(time.Millisecond), drain.reporter))
		}
	}
	undisturbed := r.isUndisturbed(drain.reportedAt.Add(-calmBefore), drain.reportedAt.Add(MaxReportDelay))
	if undisturbed {
		r.WorstMs = max(r.WorstMs, float64(delay)/1e6)
	}
	switch knownAt, ok := drain.knownAt[arrival.From]; {
	case ok && arrival.At.Sub(knownAt) > attemptGrace:
		addViolation(&r.Stale, "stale")
	case undisturbed && delay > MaxReportDelay:
		addViolation(&r.Late, "late")
	case delay > CalmPeriod && r.isUndisturbed(arrival.At.Add(-CalmPeriod), arrival.At):
		addViolation(&r.NeverReported, "never told")
	}
}

// isUndisturbed reports whether no fault was injected in a time. The caller must hold the mutex.
func (r *FaultRunResult) isUndisturbed(from, to time.Time) bool {
	return !slices.ContainsFunc(r.disturbances, func(disturbed disturbance) bool {
		return disturbed.from.Before(to) && (disturbed.to.IsZero() || disturbed.to.After(from))
	})
}

// beginDisturbance records the start of a fault. The function that it returns records the end.
func (r *FaultRunResult) beginDisturbance() func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbances = append(r.disturbances, disturbance{from: time.Now()})
	index := len(r.disturbances) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.disturbances[index].to = time.Now()
	}
}

// watchKnownDrains polls a daemon for the drains that it knows of, and records when it learns of each.
func (t *FaultRun) watchKnownDrains(ctx context.Context, result *FaultRunResult, daemon *Daemon) {
	numbers := map[string]int{}
	for _, server := range t.Fleet.Servers {
		numbers[server.Instance().ID] = server.Number
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		facts, err := daemon.Client.Servers(callCtx)
		cancel()
		now := time.Now()
		result.mu.Lock()
		for _, fact := range facts {
			if drain := result.drains[serverStart{numbers[fact.ID], fact.StartedMs}]; err == nil &&
				fact.Kind == "drains" && drain != nil && drain.knownAt[daemon.Number].IsZero() {
				drain.knownAt[daemon.Number] = now
			}
		}
		result.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// drainAndRestart drains servers at random, reports each drain to one daemon first, and restarts the servers.
func (t *FaultRun) drainAndRestart(ctx context.Context, result *FaultRunResult) {
	rng := rand.New(rand.NewPCG(t.Seed, 1))
	drainEnds := map[int]time.Time{}
	wait := func(minDelay, maxDelay time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(minDelay + time.Duration(rng.Int64N(int64(maxDelay-minDelay)))):
			return true
		}
	}
	for wait(150*time.Millisecond, 600*time.Millisecond) {
		for number, end := range drainEnds {
			if time.Now().After(end) {
				delete(drainEnds, number)
				server := t.Fleet.Servers[number]
				instance := server.Instance()
				instance.Lifecycle, instance.StartedMs = "up", time.Now().UnixMilli()
				server.SetInstance(instance)
				for _, d := range t.Fleet.Daemons {
					delay := time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
					time.AfterFunc(delay, func() { d.Report(instance) })
				}
				result.mu.Lock()
				result.Starts++
				result.mu.Unlock()
			}
		}
		number := rng.IntN(len(t.Fleet.Servers))
		if _, draining := drainEnds[number]; draining || len(drainEnds) >= len(t.Fleet.Servers)/2 {
			continue
		}
		drainEnds[number] = time.Now().Add(2*time.Second + time.Duration(rng.Int64N(int64(5*time.Second))))
		server := t.Fleet.Servers[number]
		instance := server.Instance()
		instance.Lifecycle = "draining"
		reporter := rng.IntN(len(t.Fleet.Daemons))
		now := time.Now()
		result.mu.Lock()
		result.drains[serverStart{number, instance.StartedMs}] = &reportedDrain{
			reportedAt: now,
			reporter:   reporter,
			knownAt:    map[int]time.Time{},
		}
		result.Drains++
		if result.isUndisturbed(now.Add(-calmBefore), now) {
			result.UndisturbedDrains++
		}
		result.mu.Unlock()
		server.SetInstance(instance)
		t.Fleet.Daemons[reporter].Report(instance)
		if rng.IntN(2) == 0 { // the other daemons also receive the report, some of them late
			for i, d := range t.Fleet.Daemons {
				if delay := time.Duration(rng.Int64N(int64(2 * time.Second))); i != reporter {
					time.AfterFunc(delay, func() {
						if server.Instance().StartedMs == instance.StartedMs {
							d.Report(instance)
						}
					})
				}
			}
		}
	}
}

// injectFaults kills daemons and cuts replicas off from each other at random.
func (t *FaultRun) injectFaults(ctx context.Context, result *FaultRunResult) error {
	rng := rand.New(rand.NewPCG(t.Seed, 2))
	replicas := t.Fleet.Daemons[:t.Fleet.cfg.Replicas]
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(t.FaultInterval/2 + time.Duration(rng.Int64N(int64(t.FaultInterval)))):
		}
		endDisturbance := result.beginDisturbance()
		if rng.IntN(3) == 0 {
			// Loses everything that other replicas send to one replica, or everything between all replicas.
			replica := replicas[rng.IntN(len(replicas))]
			isolated := []*Daemon{replica}
			if rng.IntN(2) == 0 {
				isolated = replicas
			}
			setBlackHole := func(active bool) {
				for _, d := range isolated {
					d.inbound.Update(func(c *relay.Conditions) { c.BlackHole = active })
				}
			}
			setBlackHole(true)
			time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
			setBlackHole(false)
			result.mu.Lock()
			result.Cuts++
			result.mu.Unlock()
			endDisturbance()
			continue
		}
		daemons := []*Daemon{t.Fleet.Daemons[round%len(t.Fleet.Daemons)]}
		killAll := rng.IntN(6) == 0
		if killAll {
			daemons = t.Fleet.Daemons
		}
		for _, d := range daemons {
			d.Kill()
		}
		time.Sleep(time.Duration(rng.Int64N(int64(700 * time.Millisecond))))
		for _, d := range daemons {
			if err := d.Start(); err != nil {
				return err
			}
		}
		c, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
		for _, d := range daemons {
			if err := d.Ready(c); err != nil {
				cancel()
				return fmt.Errorf("%w\n%s", err, d.Log())
			}
		}
		cancel()
		endDisturbance()
		result.mu.Lock()
		result.Kills += len(daemons)
		if killAll {
			result.KillsOfAll++
		}
		if t.Progress != nil {
			t.Progress(fmt.Sprintf(
				"%d kills, %d cuts, %d drains, %d requests, %d stale, %d late, %d never told; worst %.0f ms",
				result.Kills, result.Cuts, result.Drains, result.Requests,
				result.Stale, result.Late, result.NeverReported, result.WorstMs))
		}
		result.mu.Unlock()
	}
}
