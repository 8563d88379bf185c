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

// run is a fleet that runs.
type run struct {
	o       Options
	w       *world
	dir     string
	fleet   *fleetlab.Fleet
	boards  []*fleetlab.DiscoveryServer // by service, for hollow sidecars
	servers []*httptest.Server          // that real sidecars send to
	links   []*process                  // by zone
	at      sync.Mutex                  // of hollow
	hollow  []*process
	meter   *sampler

	load    sync.WaitGroup
	stop    context.CancelFunc
	entry   atomic.Int64 // the replica that operators ask
	mark    int          // of the newest settings
	touched uint64       // changes that tell nothing
	changes *changes
}

func (r *run) replicas() []*fleetlab.Daemon { return r.fleet.Daemons[:r.o.Replicas] }
func (r *run) real() []*fleetlab.Daemon     { return r.fleet.Daemons[r.o.Replicas:] }

// The limits of a run: of all sidecars together, and about what they ask for.
const limitsText = `[limit.orders]
rate = %g
paths = ["/look/"]
[limit.quota]
amount = %g
window = "3s"
paths = ["/look/"]
`

// operatorText is what every daemon has behind [store].
const operatorText = "[limits]\n"

// Run plays one size. Nothing that it started is left, also after a failure or an interrupt.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(o.Dir, "scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, stop := context.WithCancel(ctx)
	r := &run{o: o, dir: dir, stop: stop, changes: newChanges()}
	defer r.end()
	begun := time.Now()
	if err := r.begin(ctx); err != nil {
		return nil, errors.Join(err, ctx.Err())
	}
	x := &Result{Sidecars: o.Sidecars, Real: o.Real, Replicas: o.Replicas, Services: r.w.services, Seed: o.Seed, Processes: len(r.hollow) + len(r.links) + len(r.fleet.Daemons)}
	if err := r.play(ctx, x); err != nil {
		return nil, errors.Join(err, ctx.Err())
	}
	x.Took = time.Since(begun).Seconds()
	return x, nil
}

func (r *run) say(format string, args ...any) {
	if r.o.Say != nil {
		r.o.Say(fmt.Sprintf("%d sidecars: ", r.o.Sidecars) + fmt.Sprintf(format, args...))
	}
}

// begin starts replicas, real daemons and the hollow processes, whose sidecars do not run yet.
func (r *run) begin(ctx context.Context) error {
	o := r.o
	where := map[int]string{}
	plain := newWorld(o, nil)
	serve := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }) // or the client is gone
	for i := range o.Real {                                                                                  // the servers that a real one sends to
		for _, c := range plain.calls[plain.serviceOf(i)] {
			for n := c; n < o.Sidecars; n += plain.services {
				if where[n] == "" {
					s := httptest.NewServer(serve)
					r.servers = append(r.servers, s)
					where[n] = s.Listener.Addr().String()
				}
			}
		}
	}
	r.w = newWorld(o, func(n int) string { return where[n] })
	for v := range r.w.services {
		r.boards = append(r.boards, fleetlab.NewDiscoveryServer(r.w.lists[v]))
	}
	zone := r.zoneOfDaemon
	var err error
	r.fleet, err = fleetlab.Begin(ctx, fleetlab.Config{Program: o.Program, Args: []string{"run", "--config"}, Env: o.Env, Dir: r.dir, Replicas: o.Replicas, Followers: o.Real,
		Seed: o.Seed, NoReplicaSidecars: true, Tick: 100 * time.Millisecond, ExtraOperatorConfig: operatorText, Interest: o.Interest, // the tick of a shipped replica
		KnownInstances: func(d int) []discovery.Instance {
			if d < o.Replicas {
				return nil
			}
			return r.w.lists[r.w.serviceOf(d-o.Replicas)]
		},
		LinkConditions: func(from, to int) relay.Conditions { return relay.Conditions{Delay: delay(zone(from), zone(to))} }})
	if err != nil {
		return err
	}
	conf, err := quota.ParseFile("limits", fmt.Appendf(nil, limitsText, demand*float64(o.Sidecars), 3*demand*float64(o.Sidecars)))
	if err != nil {
		return err
	}
	if _, err := r.fleet.Daemons[0].Client.PutLimits(ctx, conf); err != nil {
		return err
	}
	if err := r.change(ctx); err != nil {
		return err
	}
	for z := range zones {
		spec := Spec{Dir: r.dir}
		for n, d := range r.replicas() {
			spec.Links = append(spec.Links, LinkSpec{Name: d.Name(), To: d.FollowerAddr(), Delay: delay(z, zone(n)), Seed: o.Seed + uint64(1000*z+n)})
		}
		p, err := start(ctx, &r.o, r.dir, fmt.Sprintf("links-%d", z), spec, nil)
		if err != nil {
			return err
		}
		p.zone = z
		r.links = append(r.links, p)
	}
	for n, group := range r.w.groups() {
		p, err := r.startHollow(ctx, fmt.Sprintf("hollow-%d", n), group)
		if err != nil {
			return err
		}
		r.hollow = append(r.hollow, p)
	}
	r.meter = newSampler(r)
	r.say("%d replicas, %d real and %d processes of hollow sidecars", o.Replicas, o.Real, len(r.hollow))
	return nil
}

// zoneOfDaemon is that of a real one, a replica or a follower.
func (r *run) zoneOfDaemon(n int) int {
	if n < r.o.Replicas {
		return replicas[n]
	}
	return zoneOf(n - r.o.Replicas)
}

// processes are those of hollow sidecars now.
func (r *run) processes() []*process {
	r.at.Lock()
	defer r.at.Unlock()
	return slices.Clone(r.hollow)
}

// startHollow starts a process of hollow sidecars; they do not run yet.
func (r *run) startHollow(ctx context.Context, name string, group []int) (*process, error) {
	z := zoneOf(group[0])
	spec := Spec{Dir: r.dir, Settings: json.RawMessage(fleetlab.Settings()), Interest: r.o.Interest, Operator: operatorText}
	var follow []string
	for n, l := range r.links[z].spec.Links {
		follow = append(follow, l.Name+"="+r.links[z].ready[n])
	}
	for _, i := range group {
		spec.Hollow = append(spec.Hollow, HollowSpec{Number: i, Discovery: r.boards[r.w.serviceOf(i)].Addr(), Follow: follow, Seed: r.o.Seed<<20 + uint64(i)})
	}
	p, err := start(ctx, &r.o, r.dir, name, spec, r.changes.came)
	if err == nil {
		p.of, p.zone = group, z
	}
	return p, err
}

// end ends all.
func (r *run) end() {
	r.stop()
	r.load.Wait()
	var wg sync.WaitGroup
	for _, p := range append(r.processes(), r.links...) {
		wg.Go(p.kill)
	}
	wg.Wait()
	if r.fleet != nil {
		r.fleet.End()
	}
	for _, b := range r.boards {
		b.Close()
	}
	for _, s := range r.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// each has all processes of a list do something at once.
func each(all []*process, f func(*process) error) error {
	faults := make([]error, len(all))
	var wg sync.WaitGroup
	for i, p := range all {
		wg.Go(func() { faults[i] = f(p) })
	}
	wg.Wait()
	return errors.Join(faults...)
}

// beginAll has hollow sidecars begin, so many a second over all; 0: all at once.
func (r *run) beginAll(ctx context.Context, rate float64) error {
	var over time.Duration
	if rate > 0 {
		over = time.Duration(float64(r.o.Sidecars-r.o.Real) / rate * float64(time.Second))
	}
	return each(r.processes(), func(p *process) error {
		_, err := p.tell(ctx, order{Do: "begin", Over: over})
		return err
	})
}

// play is what is measured, phase by phase.
func (r *run) play(ctx context.Context, x *Result) error {
	r.ask(ctx)
	rate := r.o.Begin
	if r.o.Fault == "start" {
		rate = 0
	}
	from := time.Now()
	if rate == 0 {
		r.meter.begin(ctx)
	}
	if err := r.beginAll(ctx, rate); err != nil {
		return err
	}
	took, err := r.right(ctx, from, rightMost)
	if err != nil {
		return err
	}
	x.Began = took.Seconds()
	r.say("all are right %.1f s after the first began", x.Began)
	if rate == 0 {
		pause(ctx, tailFor)
		s := r.meter.end()
		x.Fault = &FaultResult{Name: "start", What: "all sidecars began at once", Right: x.Began, Copies: s.counts().In["snapshots"], Seconds: s.seconds(), Roles: s.roles()}
	}
	pause(ctx, r.o.Warm)
	if err := r.quiet(ctx, x); err != nil {
		return err
	}
	if r.o.Burst > 0 {
		if err := r.burst(ctx, x); err != nil {
			return err
		}
	}
	if f := faultOf(r.o.Fault); f != nil && f.play != nil {
		return r.fault(ctx, f, x)
	}
	return ctx.Err()
}

// quiet measures the fleet without faults, with settings changed at their rate.
func (r *run) quiet(ctx context.Context, x *Result) error {
	r.changes.reset()
	r.meter.begin(ctx)
	var gap time.Duration
	if r.o.Changes > 0 {
		gap = time.Duration(86400 / r.o.Changes * float64(time.Second))
	}
	end := time.Now().Add(r.o.For)
	for next := time.Now().Add(min(gap, r.o.For) / 2); gap > 0 && next.Before(end); next = next.Add(gap) {
		if pause(ctx, time.Until(next)); ctx.Err() != nil {
			break
		}
		if err := r.change(ctx); err != nil {
			r.say("a change of the settings failed: %v", err)
			x.Failed++
		}
	}
	pause(ctx, time.Until(end))
	for most := time.Now().Add(time.Minute); r.o.Until != nil && !r.o.Until(r.meter.counts()) && time.Now().Before(most) && ctx.Err() == nil; {
		pause(ctx, 200*time.Millisecond)
	}
	s := r.meter.end()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	x.Seconds, x.Roles, x.Busy = s.seconds(), s.roles(), s.busy()
	x.Store, x.Counts = s.store(), s.counts()
	x.Settings = r.changes.result(r.o.Sidecars - r.o.Real)
	x.Honest = honest(x.Roles[RoleReal], x.Roles[RoleHollow])
	for most := time.Now().Add(time.Minute); x.Right < r.o.Sidecars-r.o.Real && time.Now().Before(most) && ctx.Err() == nil; pause(ctx, 100*time.Millisecond) {
		if l, _, err := r.lookFor(ctx, order{Do: "look", Mark: r.changes.newest()}, r.processes()); err == nil {
			x.Right = l.Right
		}
	}
	r.say("quiet for %.0f s, the machine %.0f%% busy", x.Seconds, 100*x.Busy)
	return nil
}

// burst measures many changes of the settings within a minute.
func (r *run) burst(ctx context.Context, x *Result) error {
	r.changes.reset()
	r.meter.begin(ctx)
	begun := time.Now()
	for i := range r.o.Burst {
		pause(ctx, time.Until(begun.Add(BurstFor*time.Duration(i)/time.Duration(r.o.Burst))))
		if ctx.Err() != nil {
			break
		}
		if err := r.change(ctx); err != nil {
			r.say("a change of the settings failed: %v", err)
			x.Failed++
		}
	}
	pause(ctx, time.Until(begun.Add(BurstFor)))
	s := r.meter.end()
	b := r.changes.result(r.o.Sidecars - r.o.Real)
	x.Burst, x.BurstRoles = &b, s.roles()
	return ctx.Err()
}

// change puts other settings in force.
func (r *run) change(ctx context.Context) error {
	r.mark++
	d := r.replicas()[int(r.entry.Load())]
	wait, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	begun := time.Now()
	_, err := d.Client.ChangeSettings(wait, adminapi.SettingsRequest{Settings: marked(json.RawMessage(fleetlab.Settings()), r.mark), Note: fmt.Sprintf("change %d", r.mark)})
	if err == nil {
		r.changes.put(r.mark, begun, time.Now())
	}
	return err
}

// rightMost bounds the wait for a fleet to be right.
const rightMost = 5 * time.Minute

// lookFor asks processes that run how their sidecars stand, and says how many there should be.
func (r *run) lookFor(ctx context.Context, o order, all []*process) (l looked, want int, err error) {
	var mu sync.Mutex
	err = each(all, func(p *process) error {
		mu.Lock()
		want += len(p.of)
		mu.Unlock()
		if !p.runs() {
			return nil
		}
		wait, cancel := soon(ctx)
		defer cancel()
		w, err := p.tell(wait, o)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		l.Runs, l.Right, l.Sessions, l.Fresh, l.Marked, l.Words = l.Runs+w.Look.Runs, l.Right+w.Look.Right, l.Sessions+w.Look.Sessions, l.Fresh+w.Look.Fresh,
			l.Marked+w.Look.Marked, l.Words+w.Look.Words
		if w.Look.Wrong != "" {
			l.Wrong = w.Look.Wrong
		}
		return nil
	})
	return l, want, err
}

// touch makes a change that tells nothing, and returns its revision.
func (r *run) touch(ctx context.Context) (uint64, error) {
	wait, cancel := soon(ctx)
	defer cancel()
	r.touched++
	c, err := r.replicas()[int(r.entry.Load())].Client.Change(wait, admin.ChangeRequest{ID: store.RequestID{Client: 1 << 41, Seq: r.touched},
		Txn: &store.Txn{Then: []store.Op{{Key: "lab/touched", Value: fmt.Append(nil, r.touched)}}}})
	return c.Revision, err
}

// right makes a change and waits until every hollow sidecar has seen it, by a copy that a quorum confirmed of late, runs by
// the newest settings and has a session. It returns how long that took since an instant.
func (r *run) right(ctx context.Context, since time.Time, most time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	var goal order
	var last error
	var l looked
	for ctx.Err() == nil {
		if goal.Do == "" {
			rev, err := r.touch(ctx)
			if err != nil {
				last = err
				continue
			}
			goal = order{Do: "look", Revision: rev, Mark: r.changes.newest()}
		}
		var want int
		var err error
		if l, want, err = r.lookFor(ctx, goal, r.processes()); err == nil && l.Right == want {
			return time.Since(since), nil
		}
		last = err
		pause(ctx, 100*time.Millisecond)
	}
	return 0, fmt.Errorf("not all come to be right within %v: %d run, %d are right, such as %s: %w", most, l.Runs, l.Right, l.Wrong, errors.Join(last, context.Cause(ctx)))
}

// ask sends a little through each real sidecar, as much as hollow ones count towards limits.
func (r *run) ask(ctx context.Context) {
	for n, d := range r.real() {
		r.load.Go(func() {
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 2 * time.Second}
			defer c.CloseIdleConnections()
			next := asking(rand.New(rand.NewPCG(r.o.Seed<<20+uint64(n), 2)))
			for i := 0; ctx.Err() == nil; i++ {
				pause(ctx, next())
				d.SendRequest(ctx, c, fmt.Sprintf("%04x%016x", n, i))
			}
		})
	}
}
