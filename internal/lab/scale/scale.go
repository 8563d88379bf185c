package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/lab/fleetlab"
	"birchmoor/internal/lab/relay"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
)

// run is a running fleet.
type run struct {
	options          Options
	world            *world
	dir              string
	fleet            *fleetlab.Fleet
	discoveryServers []*fleetlab.DiscoveryServer // by service, for stub sidecars
	stubServers      []*httptest.Server          // servers to which real sidecars forward requests
	links            []*process                  // by zone
	stubsMu          sync.Mutex                  // guards stubs
	stubs            []*process                  // processes of stub sidecars
	sampler          *sampler

	traffic         sync.WaitGroup
	cancel          context.CancelFunc
	adminReplica    atomic.Int64 // index of the replica that receives the run's changes
	settingsVersion int          // of the newest settings
	touches         uint64       // number of calls of touch
	changes         *settingsChanges
}

func (r *run) replicas() []*fleetlab.Daemon    { return r.fleet.Daemons[:r.options.Replicas] }
func (r *run) realDaemons() []*fleetlab.Daemon { return r.fleet.Daemons[r.options.Replicas:] }

// limitsText defines the limits of a run: one of each kind, for all sidecars together, at about their demand.
const limitsText = `[limit.orders]
rate = %g
paths = ["/look/"]
[limit.quota]
amount = %g
window = "3s"
paths = ["/look/"]
`

// operatorText is the part of each daemon's operator file after its [store] section.
const operatorText = "[limits]\n"

// Run measures a fleet of one size. It ends all processes that it started and removes its files, also after a failure
// and when ctx is canceled.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(o.Dir, "scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	fleetRun := &run{options: o, dir: dir, cancel: cancel, changes: newSettingsChanges()}
	defer fleetRun.stopAll()
	startedAt := time.Now()
	if err := fleetRun.start(ctx); err != nil {
		return nil, errors.Join(err, ctx.Err())
	}
	result := &Result{Sidecars: o.Sidecars, Real: o.Real, Replicas: o.Replicas, Services: fleetRun.world.services,
		Seed: o.Seed, Processes: len(fleetRun.stubs) + len(fleetRun.links) + len(fleetRun.fleet.Daemons)}
	if err := fleetRun.play(ctx, result); err != nil {
		return nil, errors.Join(err, ctx.Err())
	}
	result.Took = time.Since(startedAt).Seconds()
	return result, nil
}

func (r *run) progress(format string, args ...any) {
	if r.options.Progress != nil {
		r.options.Progress(fmt.Sprintf("%d sidecars: ", r.options.Sidecars) + fmt.Sprintf(format, args...))
	}
}

// start starts the replicas, the real daemons, the links and the stub processes, whose sidecars do not run yet.
func (r *run) start(ctx context.Context) error {
	o := r.options
	serverAddrs := map[int]string{}
	drawn := newWorld(o, nil)
	serve := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok")) // fails only if the client is gone
	})
	// A server listens for each callee of a real sidecar.
	for i := range o.Real {
		for _, c := range drawn.callees[drawn.serviceOf(i)] {
			for n := c; n < o.Sidecars; n += drawn.services {
				if serverAddrs[n] == "" {
					s := httptest.NewServer(serve)
					r.stubServers = append(r.stubServers, s)
					serverAddrs[n] = s.Listener.Addr().String()
				}
			}
		}
	}
	r.world = newWorld(o, func(n int) string { return serverAddrs[n] })
	for v := range r.world.services {
		r.discoveryServers = append(r.discoveryServers, fleetlab.NewDiscoveryServer(r.world.calleeServers[v]))
	}
	daemonZone := r.zoneOfDaemon
	var err error
	r.fleet, err = fleetlab.Begin(ctx, fleetlab.Config{Program: o.Program, Args: []string{"run", "--config"},
		Env: o.Env, Dir: r.dir, Replicas: o.Replicas, Followers: o.Real, Seed: o.Seed, NoReplicaSidecars: true,
		Tick:                100 * time.Millisecond, // the default tick of a replica
		ExtraOperatorConfig: operatorText, Interest: o.Interest,
		KnownInstances: func(daemon int) []discovery.Instance {
			if daemon < o.Replicas {
				return nil
			}
			return r.world.calleeServers[r.world.serviceOf(daemon-o.Replicas)]
		},
		LinkConditions: func(from, to int) relay.Conditions {
			return relay.Conditions{Delay: linkDelay(daemonZone(from), daemonZone(to))}
		}})
	if err != nil {
		return err
	}
	limits, err := quota.ParseFile("limits", fmt.Appendf(nil, limitsText, meanRequestRate*float64(o.Sidecars),
		3*meanRequestRate*float64(o.Sidecars)))
	if err != nil {
		return err
	}
	if _, err := r.fleet.Daemons[0].Client.PutLimits(ctx, limits); err != nil {
		return err
	}
	if err := r.changeSettings(ctx); err != nil {
		return err
	}
	for z := range zoneCount {
		spec := Spec{Dir: r.dir}
		for n, replica := range r.replicas() {
			spec.Links = append(spec.Links, LinkSpec{Name: replica.Name(), To: replica.FollowerAddr(),
				Delay: linkDelay(z, daemonZone(n)), Seed: o.Seed + uint64(1000*z+n)})
		}
		started, err := startProcess(ctx, &r.options, r.dir, fmt.Sprintf("links-%d", z), spec, nil)
		if err != nil {
			return err
		}
		started.zone = z
		r.links = append(r.links, started)
	}
	for n, group := range r.world.processGroups() {
		started, err := r.startStubProcess(ctx, fmt.Sprintf("hollow-%d", n), group)
		if err != nil {
			return err
		}
		r.stubs = append(r.stubs, started)
	}
	r.sampler = newSampler(r)
	r.progress("started %d replicas, %d real sidecars and %d processes for stub sidecars", o.Replicas, o.Real,
		len(r.stubs))
	return nil
}

// zoneOfDaemon returns the zone of a real daemon, a replica or a sidecar, by its index in fleet.Daemons.
func (r *run) zoneOfDaemon(n int) int {
	if n < r.options.Replicas {
		return replicaZones[n]
	}
	return zoneOf(n - r.options.Replicas)
}

// stubProcesses returns the present processes of stub sidecars.
func (r *run) stubProcesses() []*process {
	r.stubsMu.Lock()
	defer r.stubsMu.Unlock()
	return slices.Clone(r.stubs)
}

// startStubProcess starts a process with the given stub sidecars, which do not run yet.
func (r *run) startStubProcess(ctx context.Context, name string, group []int) (*process, error) {
	zone := zoneOf(group[0])
	spec := Spec{Dir: r.dir, Settings: json.RawMessage(fleetlab.Settings()), Interest: r.options.Interest,
		OperatorConfig: operatorText}
	var follow []string
	for n, link := range r.links[zone].spec.Links {
		follow = append(follow, link.Name+"="+r.links[zone].linkAddrs[n])
	}
	for _, i := range group {
		spec.Stubs = append(spec.Stubs, StubSpec{Number: i, Discovery: r.discoveryServers[r.world.serviceOf(i)].Addr(),
			Follow: follow, Seed: r.options.Seed<<20 + uint64(i)})
	}
	started, err := startProcess(ctx, &r.options, r.dir, name, spec, r.changes.recordAdoption)
	if err == nil {
		started.sidecars, started.zone = group, zone
	}
	return started, err
}

// stopAll ends all processes and servers of the run and waits for them.
func (r *run) stopAll() {
	r.cancel()
	r.traffic.Wait()
	var wg sync.WaitGroup
	for _, p := range append(r.stubProcesses(), r.links...) {
		wg.Go(p.kill)
	}
	wg.Wait()
	if r.fleet != nil {
		r.fleet.End()
	}
	for _, b := range r.discoveryServers {
		b.Close()
	}
	for _, s := range r.stubServers {
		s.CloseClientConnections()
		s.Close()
	}
}

// forEachProcess calls f for all processes concurrently and joins the errors.
func forEachProcess(processes []*process, f func(*process) error) error {
	errs := make([]error, len(processes))
	var wg sync.WaitGroup
	for i, p := range processes {
		wg.Go(func() { errs[i] = f(p) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// startStubs starts all stub sidecars, at a rate in starts a second over all processes; 0: all at once.
func (r *run) startStubs(ctx context.Context, rate float64) error {
	var staggerOver time.Duration
	if rate > 0 {
		staggerOver = time.Duration(float64(r.options.Sidecars-r.options.Real) / rate * float64(time.Second))
	}
	return forEachProcess(r.stubProcesses(), func(p *process) error {
		_, err := p.call(ctx, command{Name: "begin", StaggerOver: staggerOver})
		return err
	})
}

// play runs the phases of a measurement and adds their results.
func (r *run) play(ctx context.Context, result *Result) error {
	r.sendRequests(ctx)
	startRate := r.options.StartsPerSecond
	if r.options.Fault == "start" {
		startRate = 0
	}
	startedAt := time.Now()
	if startRate == 0 {
		r.sampler.start(ctx)
	}
	if err := r.startStubs(ctx, startRate); err != nil {
		return err
	}
	convergence, err := r.waitConverged(ctx, startedAt, convergeTimeout)
	if err != nil {
		return err
	}
	result.StartupSeconds = convergence.Seconds()
	r.progress("all sidecars have converged %.1f s after the first start", result.StartupSeconds)
	if startRate == 0 {
		sleep(ctx, settleDuration)
		sampled := r.sampler.stop()
		result.Fault = &FaultResult{Name: "start", What: "all sidecars began at once",
			ConvergenceSeconds: result.StartupSeconds,
			Copies:             sampled.counts().In["snapshots"], Seconds: sampled.seconds(), Roles: sampled.roles()}
	}
	sleep(ctx, r.options.WarmupDuration)
	if err := r.quietPhase(ctx, result); err != nil {
		return err
	}
	if r.options.Burst > 0 {
		if err := r.burstPhase(ctx, result); err != nil {
			return err
		}
	}
	if f := findFault(r.options.Fault); f != nil && f.play != nil {
		return r.injectFault(ctx, f, result)
	}
	return ctx.Err()
}

// quietPhase measures the fleet without faults, while settings change at the rate of the options.
func (r *run) quietPhase(ctx context.Context, result *Result) error {
	r.changes.reset()
	r.sampler.start(ctx)
	var interval time.Duration
	if r.options.ChangesPerDay > 0 {
		interval = time.Duration(86400 / r.options.ChangesPerDay * float64(time.Second))
	}
	end := time.Now().Add(r.options.QuietDuration)
	for next := time.Now().Add(min(interval, r.options.QuietDuration) / 2); interval > 0 &&
		next.Before(end); next = next.Add(interval) {
		if sleep(ctx, time.Until(next)); ctx.Err() != nil {
			break
		}
		if err := r.changeSettings(ctx); err != nil {
			r.progress("changing the settings failed: %v", err)
			result.FailedChanges++
		}
	}
	sleep(ctx, time.Until(end))
	for giveUpAt := time.Now().Add(time.Minute); r.options.Until != nil && !r.options.Until(r.sampler.counts()) &&
		time.Now().Before(giveUpAt) && ctx.Err() == nil; {
		sleep(ctx, 200*time.Millisecond)
	}
	sampled := r.sampler.stop()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	result.Seconds, result.Roles, result.Busy = sampled.seconds(), sampled.roles(), sampled.busy()
	result.Store, result.Counts = sampled.store(), sampled.counts()
	result.Settings = r.changes.result(r.options.Sidecars - r.options.Real)
	result.StubAccuracy = compareRealWithStubs(result.Roles[RoleReal], result.Roles[RoleStub])
	for giveUpAt := time.Now().Add(time.Minute); result.Converged < r.options.Sidecars-r.options.Real &&
		time.Now().Before(giveUpAt) && ctx.Err() == nil; sleep(ctx, 100*time.Millisecond) {
		if states, _, err := r.queryStates(ctx, command{Name: "look", SettingsVersion: r.changes.newest()},
			r.stubProcesses()); err == nil {
			result.Converged = states.Converged
		}
	}
	r.progress("the quiet phase took %.0f s, the machine was %.0f%% busy", result.Seconds, 100*result.Busy)
	return nil
}

// burstPhase measures the fleet while settings change many times within BurstFor.
func (r *run) burstPhase(ctx context.Context, result *Result) error {
	r.changes.reset()
	r.sampler.start(ctx)
	startedAt := time.Now()
	for i := range r.options.Burst {
		sleep(ctx, time.Until(startedAt.Add(BurstFor*time.Duration(i)/time.Duration(r.options.Burst))))
		if ctx.Err() != nil {
			break
		}
		if err := r.changeSettings(ctx); err != nil {
			r.progress("changing the settings failed: %v", err)
			result.FailedChanges++
		}
	}
	sleep(ctx, time.Until(startedAt.Add(BurstFor)))
	sampled := r.sampler.stop()
	delays := r.changes.result(r.options.Sidecars - r.options.Real)
	result.Burst, result.BurstRoles = &delays, sampled.roles()
	return ctx.Err()
}

// changeSettings writes the settings with a new version.
func (r *run) changeSettings(ctx context.Context) error {
	r.settingsVersion++
	replica := r.replicas()[int(r.adminReplica.Load())]
	callCtx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	startedAt := time.Now()
	_, err := replica.Client.ChangeSettings(callCtx,
		adminapi.SettingsRequest{Settings: withVersion(json.RawMessage(fleetlab.Settings()), r.settingsVersion),
			Note: fmt.Sprintf("change %d", r.settingsVersion)})
	if err == nil {
		r.changes.recordChange(r.settingsVersion, startedAt, time.Now())
	}
	return err
}

// convergeTimeout bounds the wait for a fleet to converge.
const convergeTimeout = 5 * time.Minute

// queryStates adds up the states of the stub sidecars in the given processes, and returns how many stubs these
// processes have. Stubs of processes that have ended are counted in total alone.
func (r *run) queryStates(
	ctx context.Context, cmd command, processes []*process,
) (states stubStates, total int, err error) {
	var mu sync.Mutex
	err = forEachProcess(processes, func(p *process) error {
		mu.Lock()
		total += len(p.sidecars)
		mu.Unlock()
		if !p.running() {
			return nil
		}
		callCtx, cancel := withShortTimeout(ctx)
		defer cancel()
		reply, err := p.call(callCtx, cmd)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		states.Running, states.Converged, states.Sessions, states.FreshCopies, states.CurrentSettings,
			states.PeerMessages = states.Running+reply.State.Running, states.Converged+reply.State.Converged,
			states.Sessions+reply.State.Sessions, states.FreshCopies+reply.State.FreshCopies,
			states.CurrentSettings+reply.State.CurrentSettings, states.PeerMessages+reply.State.PeerMessages
		if reply.State.Unconverged != "" {
			states.Unconverged = reply.State.Unconverged
		}
		return nil
	})
	return states, total, err
}

// touch changes a key that no daemon uses, and returns the revision of the change.
func (r *run) touch(ctx context.Context) (uint64, error) {
	callCtx, cancel := withShortTimeout(ctx)
	defer cancel()
	r.touches++
	c, err := r.replicas()[int(r.adminReplica.Load())].Client.Change(callCtx,
		admin.ChangeRequest{ID: store.RequestID{Client: 1 << 41, Seq: r.touches},
			Txn: &store.Txn{Then: []store.Op{{Key: "lab/touched", Value: fmt.Append(nil, r.touches)}}}})
	return c.Revision, err
}

// waitConverged makes a change and waits until every stub sidecar has received it, has a fresh copy that a quorum has
// confirmed, has adopted the newest settings and has a session. It returns the time from since until then.
func (r *run) waitConverged(ctx context.Context, since time.Time, timeout time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var query command
	var lastErr error
	var states stubStates
	for ctx.Err() == nil {
		if query.Name == "" {
			rev, err := r.touch(ctx)
			if err != nil {
				lastErr = err
				continue
			}
			query = command{Name: "look", Revision: rev, SettingsVersion: r.changes.newest()}
		}
		var total int
		var err error
		if states, total, err = r.queryStates(ctx, query, r.stubProcesses()); err == nil && states.Converged == total {
			return time.Since(since), nil
		}
		lastErr = err
		sleep(ctx, 100*time.Millisecond)
	}
	return 0, fmt.Errorf("not all come to be right within %v: %d run, %d are right, such as %s: %w", timeout,
		states.Running, states.Converged, states.Unconverged, errors.Join(lastErr, context.Cause(ctx)))
}

// sendRequests sends requests through each real sidecar, at the rate at which a stub sidecar counts requests towards
// limits.
func (r *run) sendRequests(ctx context.Context) {
	for n, d := range r.realDaemons() {
		r.traffic.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 2 * time.Second}
			defer client.CloseIdleConnections()
			nextGap := requestGaps(rand.New(rand.NewPCG(r.options.Seed<<20+uint64(n), 2)))
			for i := 0; ctx.Err() == nil; i++ {
				sleep(ctx, nextGap())
				d.SendRequest(ctx, client, fmt.Sprintf("%04x%016x", n, i))
			}
		})
	}
}
