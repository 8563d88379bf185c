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

// Fault is one that a run may end with.
type Fault struct {
	Name  string
	About string
	// play does it, and returns once all may come to be right again: from when on that counts, and what is put in order afterwards.
	play func(ctx context.Context, r *run) (what string, at time.Time, after func(context.Context) error, err error)
}

// Faults are all kinds.
var Faults = []Fault{
	{"start", "all sidecars begin at once, in the place of the slow start", nil},
	{"leader", "the replica that leads is killed; it starts again once all are right", leaderLost},
	{"rack", "the sidecars of a rack are lost at once, and back at once", rackLost},
	{"zone", "a zone is lost with its replica, and back at once", zoneLost},
	{"restarts", "sidecars and their servers are restarted, one after the other", restarted},
	{"lag", "half of the sidecars are stopped until they must take the whole copy again", lagged},
	{"region", "a region is cut off while settings change on the other side", regionCut},
	{"replica", "a replica's machine is replaced by an empty one", replicaReplaced},
}

const (
	lostFor    = 10 * time.Second // two sessions
	cutFor     = 20 * time.Second
	tailFor    = 12 * time.Second // that are counted behind a fault: who began anew puts its first picture
	restartsOf = 30               // so many
	lagBytes   = 64 << 10
)

// FaultNames lists them.
func FaultNames() (all []string) {
	for _, f := range Faults {
		all = append(all, f.Name)
	}
	return all
}

func faultOf(name string) *Fault {
	for i := range Faults {
		if Faults[i].Name == name {
			return &Faults[i]
		}
	}
	return nil
}

// fault plays one.
func (r *run) fault(ctx context.Context, f *Fault, x *Result) error {
	r.say("fault %s", f.Name)
	r.meter.begin(ctx)
	what, at, after, err := f.play(ctx, r)
	if err != nil {
		r.meter.end()
		return fmt.Errorf("fault %s: %w", f.Name, err)
	}
	took, missed := r.right(ctx, at, rightMost)
	if pause(ctx, tailFor); after != nil { // what comes of it counts, too
		err = after(ctx)
	}
	s := r.meter.end()
	x.Fault = &FaultResult{Name: f.Name, What: what, Right: took.Seconds(), Copies: s.counts().In["snapshots"], Seconds: s.seconds(), Roles: s.roles()}
	if missed != nil {
		x.Fault.Missed = missed.Error()
	} else {
		r.say("%s: %s; all are right %.1f s after", f.Name, what, took.Seconds())
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// aside has operators ask a replica that a fault does not touch.
func (r *run) aside(touched ...*fleetlab.Daemon) {
	for i, d := range r.replicas() {
		if !slices.Contains(touched, d) {
			r.entry.Store(int64(i))
			return
		}
	}
}

func leaderLost(ctx context.Context, r *run) (string, time.Time, func(context.Context) error, error) {
	d := r.fleet.Leader()
	r.aside(d)
	at := time.Now()
	d.Kill()
	return d.Name() + " was killed", at, fleetlab.Restart(d), nil
}

// lost kills hollow processes, and has them start again after a while.
func (r *run) lost(ctx context.Context, all []*process, daemons []*fleetlab.Daemon) (at time.Time, err error) {
	for _, p := range all {
		p.kill()
	}
	for _, d := range daemons {
		d.Kill()
	}
	if pause(ctx, lostFor); ctx.Err() != nil {
		return at, ctx.Err()
	}
	at = time.Now()
	var wg sync.WaitGroup
	faults := make([]error, len(all))
	for i, p := range all {
		wg.Go(func() {
			fresh, err := r.startHollow(ctx, p.name, p.of)
			if err == nil {
				r.at.Lock()
				r.hollow[slices.Index(r.hollow, p)] = fresh
				r.at.Unlock()
				_, err = fresh.tell(ctx, order{Do: "begin"})
			}
			faults[i] = err
		})
	}
	again := fleetlab.Restart(daemons...)(ctx)
	wg.Wait()
	for _, err := range append(faults, again) {
		if err != nil {
			return at, err
		}
	}
	return at, nil
}

func rackLost(ctx context.Context, r *run) (string, time.Time, func(context.Context) error, error) {
	p := r.hollow[0]
	at, err := r.lost(ctx, []*process{p}, nil)
	return fmt.Sprintf("%d sidecars were lost for %v", len(p.of), lostFor), at, nil, err
}

func zoneLost(ctx context.Context, r *run) (string, time.Time, func(context.Context) error, error) {
	zone := replicas[r.o.Replicas-1]
	var all []*process
	var daemons []*fleetlab.Daemon
	n := 0
	for _, p := range r.hollow {
		if p.zone == zone {
			all = append(all, p)
			n += len(p.of)
		}
	}
	for i, d := range r.fleet.Daemons {
		if r.zoneOfDaemon(i) == zone && (i > 0 || r.o.Replicas > 1) {
			daemons = append(daemons, d)
		}
	}
	r.aside(daemons...)
	at, err := r.lost(ctx, all, daemons)
	return fmt.Sprintf("zone %d with %d hollow sidecars and %d daemons was lost for %v", zone, n, len(daemons), lostFor), at, nil, err
}

func restarted(ctx context.Context, r *run) (string, time.Time, func(context.Context) error, error) {
	begun := time.Now()
	for i := range restartsOf {
		p := r.hollow[i%len(r.hollow)]
		s := p.of[i/len(r.hollow)%len(p.of)]
		v := r.w.serviceOf(s)
		in := r.w.servers[v][s/r.w.services]
		tell := func() {
			for _, h := range r.w.hears(v) {
				r.boards[h].Report(in)
			}
		}
		in.Lifecycle = "draining"
		tell()
		if pause(ctx, 500*time.Millisecond); ctx.Err() != nil {
			return "", time.Time{}, nil, ctx.Err()
		}
		if _, err := p.tell(ctx, order{Do: "restart", Of: []int{s}}); err != nil {
			return "", time.Time{}, nil, err
		}
		in.Lifecycle, in.StartedMs = "up", time.Now().UnixMilli()
		r.w.servers[v][s/r.w.services] = in
		tell()
		pause(ctx, 500*time.Millisecond)
	}
	took := time.Since(begun)
	return fmt.Sprintf("%d sidecars and their servers were restarted within %v, %.0f times the rate of 130 a day", restartsOf, took.Round(time.Second),
		restartsOf/took.Hours()*24/130), time.Now(), nil, nil
}

func lagged(ctx context.Context, r *run) (string, time.Time, func(context.Context) error, error) {
	stopped, n := []*process{}, 0
	for i, p := range r.hollow {
		if i%2 == 1 {
			stopped, n = append(stopped, p), n+len(p.of)
		}
	}
	signal := func(s syscall.Signal) {
		for _, p := range stopped {
			p.signal(s)
		}
	}
	r.meter.passOver(stopped)
	defer r.meter.passOver(nil)
	signal(syscall.SIGSTOP)
	defer signal(syscall.SIGCONT)
	value, puts := make([]byte, lagBytes), store.DefaultLimits.HistoryBytes/lagBytes*5/4 // more than the replicas keep for watches
	for i := range puts {
		wait, cancel := context.WithTimeout(ctx, 30*time.Second)
		_, err := r.replicas()[int(r.entry.Load())].Client.Change(wait, admin.ChangeRequest{ID: store.RequestID{Client: 1 << 42, Seq: uint64(i + 1)},
			Txn: &store.Txn{Then: []store.Op{{Key: "lab/lag", Value: value}}}})
		cancel()
		if err != nil {
			return "", time.Time{}, nil, err
		}
	}
	return fmt.Sprintf("%d sidecars were stopped while %d MB of changes were made", n, puts*lagBytes>>20), time.Now(), nil, nil
}

// cut has nothing pass between a region and the others, or go on.
func (r *run) cut(ctx context.Context, region int, on bool) error {
	away := func(zone int) bool { return regionOf[zone] == region }
	for i, d := range r.fleet.Daemons {
		for n, to := range r.replicas() {
			if l := d.Link(to); l != nil && away(r.zoneOfDaemon(i)) != away(replicas[n]) {
				l.Update(func(c *relay.Conditions) { c.BlackHole = on })
			}
		}
	}
	return each(r.links, func(p *process) error {
		o := order{Do: "mend"}
		if on {
			o.Do = "cut"
		}
		for n := range r.replicas() {
			if away(replicas[n]) != away(p.zone) {
				o.Of = append(o.Of, n)
			}
		}
		_, err := p.tell(ctx, o)
		return err
	})
}

func regionCut(ctx context.Context, r *run) (string, time.Time, func(context.Context) error, error) {
	region := regionOf[replicas[2%r.o.Replicas]]
	var there []*fleetlab.Daemon
	var away []*process
	for i, d := range r.replicas() {
		if regionOf[replicas[i]] == region {
			there = append(there, d)
		}
	}
	for _, p := range r.hollow {
		if regionOf[p.zone] == region {
			away = append(away, p)
		}
	}
	if r.aside(there...); 2*len(there) >= r.o.Replicas {
		return "", time.Time{}, nil, fmt.Errorf("with %d replicas region %d has the majority: nothing would be changed", r.o.Replicas, region)
	}
	begun := time.Now()
	if err := r.cut(ctx, region, true); err != nil {
		return "", time.Time{}, nil, err
	}
	made, failed, why := 0, 0, ""
	for time.Since(begun) < cutFor && ctx.Err() == nil {
		if err := r.change(ctx); err != nil {
			failed, why = failed+1, err.Error()
		} else {
			made++
		}
		pause(ctx, cutFor/8)
	}
	l, want, _ := r.lookFor(ctx, order{Do: "look"}, away) // those that do not answer are not fresh
	what := fmt.Sprintf("region %d was cut off for %v: of its %d hollow sidecars %d held their copy to be fresh at the end, and %d had a session; "+
		"elsewhere %d changes of the settings were made and %d failed", region, time.Since(begun).Round(time.Second), want, l.Fresh, l.Sessions, made, failed)
	if why != "" {
		what += " (" + why + ")"
	}
	at := time.Now()
	return what, at, nil, r.cut(ctx, region, false)
}

func replicaReplaced(ctx context.Context, r *run) (string, time.Time, func(context.Context) error, error) {
	d := r.replicas()[r.o.Replicas-1]
	if lead := r.fleet.Leader(); d == lead {
		d = r.replicas()[0]
	}
	r.aside(d)
	c := r.replicas()[int(r.entry.Load())].Client
	s, err := c.Status(ctx)
	if err != nil {
		return "", time.Time{}, nil, err
	}
	d.Kill()
	if err := d.RemoveData(); err != nil {
		return "", time.Time{}, nil, err
	}
	at := time.Now()
	seq := uint64(0)
	change := func(q admin.ChangeRequest) error {
		for wait := time.Now().Add(time.Minute); ; {
			seq++
			q.ID = store.RequestID{Client: 1<<43 + uint64(d.Number), Seq: seq}
			_, err := c.Change(ctx, q)
			if err == nil || ctx.Err() != nil || time.Now().After(wait) {
				return err
			}
			pause(ctx, 200*time.Millisecond)
		}
	}
	for _, p := range s.Peers {
		if p.Name == d.Name() {
			if err := change(admin.ChangeRequest{RemoveMember: p.ID}); err != nil {
				return "", at, nil, err
			}
		}
	}
	if err := d.Start(); err != nil {
		return "", at, nil, err
	}
	if err := change(admin.ChangeRequest{AddMember: &store.AddMember{Name: d.Name(), Address: d.PeerAddr()}}); err != nil {
		return "", at, nil, err
	}
	for ctx.Err() == nil {
		s, err := c.Status(ctx)
		if err == nil && s.MembershipStable && len(s.Peers) == r.o.Replicas && !slices.ContainsFunc(s.Peers, func(p replica.PeerStatus) bool { return p.Learner }) {
			return fmt.Sprintf("%s votes again with an empty disk after %.1f s", d.Name(), time.Since(at).Seconds()), at, nil, nil
		}
		pause(ctx, 50*time.Millisecond)
	}
	return "", at, nil, ctx.Err()
}
