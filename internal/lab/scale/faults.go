package scale

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"birchmoor/internal/lab/fleetlab"
	"birchmoor/internal/lab/relay"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/replica"
)

// Fault is a kind of fault that a run can inject after its other phases.
type Fault struct {
	Name  string
	About string
	// play injects the fault and returns when the fleet can converge again. The time of convergence counts from
	// endedAt. restore undoes what remains of the fault after the measurement; it may be nil. play is nil for "start",
	// which replaces the staggered start of the sidecars.
	play func(ctx context.Context, r *run) (what string, endedAt time.Time, restore func(context.Context) error,
		err error)
}

// Faults lists all kinds of fault.
var Faults = []Fault{
	{"start", "all sidecars start at once instead of at a rate", nil},
	{"leader", "the leader is killed; it starts again when the fleet has converged", killLeader},
	{"rack", "the sidecars of a rack are killed at once, and start again at once", loseRack},
	{"zone", "the sidecars and replicas of a zone are killed at once, and start again at once", loseZone},
	{"restarts", "sidecars and their servers are restarted, one after the other", restartSidecars},
	{"lag", "half of the sidecars are stopped until they need a snapshot to catch up", stopHalf},
	{"region", "a region is cut off while settings change in the others", cutRegion},
	{"replica", "a replica loses its disk, is removed and added again", replaceReplica},
}

const (
	outageDuration    = 10 * time.Second // twice the TTL of a session
	partitionDuration = 20 * time.Second
	// settleDuration is measured after convergence, so that restarted sidecars save their first module snapshot.
	settleDuration = 12 * time.Second
	restartCount   = 30
	lagValueBytes  = 64 << 10 // size of each value that is written while sidecars are stopped
)

// FaultNames returns the names of all kinds of fault.
func FaultNames() (all []string) {
	for _, f := range Faults {
		all = append(all, f.Name)
	}
	return all
}

// findFault returns the fault with a name, or nil.
func findFault(name string) *Fault {
	for i := range Faults {
		if Faults[i].Name == name {
			return &Faults[i]
		}
	}
	return nil
}

// injectFault injects a fault and measures the fleet until it has converged again.
func (r *run) injectFault(ctx context.Context, f *Fault, result *Result) error {
	r.progress("injecting fault %s", f.Name)
	r.sampler.start(ctx)
	what, faultEndedAt, restore, err := f.play(ctx, r)
	if err != nil {
		r.sampler.stop()
		return fmt.Errorf("fault %s: %w", f.Name, err)
	}
	convergence, notConverged := r.waitConverged(ctx, faultEndedAt, convergeTimeout)
	if sleep(ctx, settleDuration); restore != nil { // the consequences of the fault are measured, too
		err = restore(ctx)
	}
	sampled := r.sampler.stop()
	result.Fault = &FaultResult{Name: f.Name, What: what, ConvergenceSeconds: convergence.Seconds(),
		Copies: sampled.counts().In["snapshots"], Seconds: sampled.seconds(), Roles: sampled.roles()}
	if notConverged != nil {
		result.Fault.Missed = notConverged.Error()
	} else {
		r.progress("fault %s: %s; all sidecars have converged %.1f s after it", f.Name, what, convergence.Seconds())
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// avoidForAdmin makes the run send its changes to the first replica that is not in touched, if there is one.
func (r *run) avoidForAdmin(touched ...*fleetlab.Daemon) {
	for i, d := range r.replicas() {
		if !slices.Contains(touched, d) {
			r.adminReplica.Store(int64(i))
			return
		}
	}
}

func killLeader(ctx context.Context, r *run) (string, time.Time, func(context.Context) error, error) {
	d := r.fleet.Leader()
	r.avoidForAdmin(d)
	killedAt := time.Now()
	d.Kill()
	return d.Name() + " was killed", killedAt, fleetlab.Restart(d), nil
}

// loseProcesses kills stub processes and daemons, and starts them again after outageDuration. It returns the time at
// which it began to start them.
func (r *run) loseProcesses(
	ctx context.Context, processes []*process, daemons []*fleetlab.Daemon,
) (restartedAt time.Time, err error) {
	for _, p := range processes {
		p.kill()
	}
	for _, d := range daemons {
		d.Kill()
	}
	if sleep(ctx, outageDuration); ctx.Err() != nil {
		return restartedAt, ctx.Err()
	}
	restartedAt = time.Now()
	var wg sync.WaitGroup
	errs := make([]error, len(processes))
	for i, p := range processes {
		wg.Go(func() {
			replacement, err := r.startStubProcess(ctx, p.name, p.sidecars)
			if err == nil {
				r.stubsMu.Lock()
				r.stubs[slices.Index(r.stubs, p)] = replacement
				r.stubsMu.Unlock()
				_, err = replacement.call(ctx, command{Name: "begin"})
			}
			errs[i] = err
		})
	}
	restartErr := fleetlab.Restart(daemons...)(ctx)
	wg.Wait()
	for _, err := range append(errs, restartErr) {
		if err != nil {
			return restartedAt, err
		}
	}
	return restartedAt, nil
}

func loseRack(ctx context.Context, r *run) (string, time.Time, func(context.Context) error, error) {
	p := r.stubs[0]
	restartedAt, err := r.loseProcesses(ctx, []*process{p}, nil)
	return fmt.Sprintf("%d sidecars were lost for %v", len(p.sidecars), outageDuration), restartedAt, nil, err
}

func loseZone(ctx context.Context, r *run) (string, time.Time, func(context.Context) error, error) {
	zone := replicaZones[r.options.Replicas-1]
	var processes []*process
	var daemons []*fleetlab.Daemon
	sidecars := 0
	for _, p := range r.stubs {
		if p.zone == zone {
			processes = append(processes, p)
			sidecars += len(p.sidecars)
		}
	}
	for i, d := range r.fleet.Daemons {
		if r.zoneOfDaemon(i) == zone && (i > 0 || r.options.Replicas > 1) {
			daemons = append(daemons, d)
		}
	}
	r.avoidForAdmin(daemons...)
	restartedAt, err := r.loseProcesses(ctx, processes, daemons)
	return fmt.Sprintf("zone %d with %d hollow sidecars and %d daemons was lost for %v", zone, sidecars, len(daemons),
		outageDuration), restartedAt, nil, err
}

func restartSidecars(ctx context.Context, r *run) (string, time.Time, func(context.Context) error, error) {
	startedAt := time.Now()
	for i := range restartCount {
		p := r.stubs[i%len(r.stubs)]
		sidecar := p.sidecars[i/len(r.stubs)%len(p.sidecars)]
		service := r.world.serviceOf(sidecar)
		instance := r.world.servers[service][sidecar/r.world.services]
		announce := func() {
			for _, h := range r.world.callers(service) {
				r.discoveryServers[h].Report(instance)
			}
		}
		instance.Lifecycle = "draining"
		announce()
		if sleep(ctx, 500*time.Millisecond); ctx.Err() != nil {
			return "", time.Time{}, nil, ctx.Err()
		}
		if _, err := p.call(ctx, command{Name: "restart", Targets: []int{sidecar}}); err != nil {
			return "", time.Time{}, nil, err
		}
		instance.Lifecycle, instance.StartedMs = "up", time.Now().UnixMilli()
		r.world.servers[service][sidecar/r.world.services] = instance
		announce()
		sleep(ctx, 500*time.Millisecond)
	}
	took := time.Since(startedAt)
	return fmt.Sprintf("%d sidecars and their servers were restarted within %v, %.0f times the rate of 130 a day",
		restartCount, took.Round(time.Second),
		restartCount/took.Hours()*24/130), time.Now(), nil, nil
}

func stopHalf(ctx context.Context, r *run) (string, time.Time, func(context.Context) error, error) {
	stopped, sidecars := []*process{}, 0
	for i, p := range r.stubs {
		if i%2 == 1 {
			stopped, sidecars = append(stopped, p), sidecars+len(p.sidecars)
		}
	}
	signal := func(s syscall.Signal) {
		for _, p := range stopped {
			p.signal(s)
		}
	}
	r.sampler.setSkipped(stopped)
	defer r.sampler.setSkipped(nil)
	signal(syscall.SIGSTOP)
	defer signal(syscall.SIGCONT)
	// The values exceed the history that replicas keep for watches.
	value, writes := make([]byte, lagValueBytes), store.DefaultLimits.HistoryBytes/lagValueBytes*5/4
	for i := range writes {
		callCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
		_, err := r.replicas()[int(r.adminReplica.Load())].Client.Change(callCtx,
			admin.ChangeRequest{ID: store.RequestID{Client: 1 << 42, Seq: uint64(i + 1)},
				Txn: &store.Txn{Then: []store.Op{{Key: "lab/lag", Value: value}}}})
		cancel()
		if err != nil {
			return "", time.Time{}, nil, err
		}
	}
	return fmt.Sprintf("%d sidecars were stopped while %d MB of changes were made", sidecars, writes*lagValueBytes>>20),
		time.Now(), nil, nil
}

// setRegionCut cuts all links between a region and the others, or restores them.
func (r *run) setRegionCut(ctx context.Context, region int, active bool) error {
	inRegion := func(zone int) bool { return regionOf[zone] == region }
	for i, d := range r.fleet.Daemons {
		for n, to := range r.replicas() {
			if l := d.Link(to); l != nil && inRegion(r.zoneOfDaemon(i)) != inRegion(replicaZones[n]) {
				l.Update(func(c *relay.Conditions) { c.BlackHole = active })
			}
		}
	}
	return forEachProcess(r.links, func(p *process) error {
		cmd := command{Name: "mend"}
		if active {
			cmd.Name = "cut"
		}
		for n := range r.replicas() {
			if inRegion(replicaZones[n]) != inRegion(p.zone) {
				cmd.Targets = append(cmd.Targets, n)
			}
		}
		_, err := p.call(ctx, cmd)
		return err
	})
}

func cutRegion(ctx context.Context, r *run) (string, time.Time, func(context.Context) error, error) {
	region := regionOf[replicaZones[2%r.options.Replicas]]
	var replicasInside []*fleetlab.Daemon
	var stubsInside []*process
	for i, d := range r.replicas() {
		if regionOf[replicaZones[i]] == region {
			replicasInside = append(replicasInside, d)
		}
	}
	for _, p := range r.stubs {
		if regionOf[p.zone] == region {
			stubsInside = append(stubsInside, p)
		}
	}
	if r.avoidForAdmin(replicasInside...); 2*len(replicasInside) >= r.options.Replicas {
		return "", time.Time{}, nil, fmt.Errorf("with %d replicas region %d has the majority: nothing would be changed",
			r.options.Replicas, region)
	}
	startedAt := time.Now()
	if err := r.setRegionCut(ctx, region, true); err != nil {
		return "", time.Time{}, nil, err
	}
	made, failed, lastErr := 0, 0, ""
	for time.Since(startedAt) < partitionDuration && ctx.Err() == nil {
		if err := r.changeSettings(ctx); err != nil {
			failed, lastErr = failed+1, err.Error()
		} else {
			made++
		}
		sleep(ctx, partitionDuration/8)
	}
	// The error can be ignored: sidecars that do not answer do not count as fresh.
	states, total, _ := r.queryStates(ctx, command{Name: "look"}, stubsInside)
	what := fmt.Sprintf("region %d was cut off for %v: of its %d hollow sidecars %d held their copy to be fresh at the end, and %d had a session; "+
		"elsewhere %d changes of the settings were made and %d failed", region,
		time.Since(startedAt).Round(time.Second), total, states.FreshCopies, states.Sessions, made, failed)
	if lastErr != "" {
		what += " (" + lastErr + ")"
	}
	endedAt := time.Now()
	return what, endedAt, nil, r.setRegionCut(ctx, region, false)
}

func replaceReplica(ctx context.Context, r *run) (string, time.Time, func(context.Context) error, error) {
	d := r.replicas()[r.options.Replicas-1]
	if lead := r.fleet.Leader(); d == lead {
		d = r.replicas()[0]
	}
	r.avoidForAdmin(d)
	client := r.replicas()[int(r.adminReplica.Load())].Client
	status, err := client.Status(ctx)
	if err != nil {
		return "", time.Time{}, nil, err
	}
	d.Kill()
	if err := d.RemoveData(); err != nil {
		return "", time.Time{}, nil, err
	}
	lostAt := time.Now()
	seq := uint64(0)
	change := func(request admin.ChangeRequest) error {
		for giveUpAt := time.Now().Add(time.Minute); ; {
			seq++
			request.ID = store.RequestID{Client: 1<<43 + uint64(d.Number), Seq: seq}
			_, err := client.Change(ctx, request)
			if err == nil || ctx.Err() != nil || time.Now().After(giveUpAt) {
				return err
			}
			sleep(ctx, 200*time.Millisecond)
		}
	}
	for _, p := range status.Peers {
		if p.Name == d.Name() {
			if err := change(admin.ChangeRequest{RemoveMember: p.ID}); err != nil {
				return "", lostAt, nil, err
			}
		}
	}
	if err := d.Start(); err != nil {
		return "", lostAt, nil, err
	}
	if err := change(admin.ChangeRequest{AddMember: &store.AddMember{Name: d.Name(),
		Address: d.PeerAddr()}}); err != nil {
		return "", lostAt, nil, err
	}
	for ctx.Err() == nil {
		status, err := client.Status(ctx)
		if err == nil && status.MembershipStable && len(status.Peers) == r.options.Replicas &&
			!slices.ContainsFunc(status.Peers, func(p replica.PeerStatus) bool { return p.Learner }) {
			return fmt.Sprintf("%s votes again with an empty disk after %.1f s", d.Name(),
					time.Since(lostAt).Seconds()), lostAt,
				nil, nil
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return "", lostAt, nil, ctx.Err()
}
