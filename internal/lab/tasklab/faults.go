package tasklab

import (
	"context"
	"errors"
	"syscall"
	"time"

	"birchmoor/internal/lab/fleetlab"
	"birchmoor/internal/lab/relay"
	"birchmoor/internal/lease"
	"birchmoor/internal/operate"
)

// Fault is one kind of blow.
type Fault struct {
	Name   string
	About  string
	ends   bool // the holder's entitlement, whatever kind of daemon it is at
	strike func(x *run) (what string, end func(context.Context) error)
}

// again starts daemons and waits for them.
func again(ds ...*fleetlab.Daemon) func(context.Context) error {
	return func(ctx context.Context) error {
		for _, d := range ds {
			if err := d.Start(); err != nil {
				return err
			}
		}
		ctx, cancel := context.WithTimeout(ctx, 60*time.Second)
		defer cancel()
		for _, d := range ds {
			if err := d.Ready(ctx); err != nil {
				return err
			}
		}
		return nil
	}
}

// after waits, and then does.
func (x *run) after(d time.Duration, f func()) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
		f()
		return nil
	}
}

func (x *run) long() time.Duration { return x.TTL * 3 / 2 }

// cut cuts the daemon at which the task is held for one and a half TTL.
func (x *run) cut(set func(d *fleetlab.Daemon, on bool)) (string, func(context.Context) error) {
	a, _ := x.holding()
	set(a.d, true)
	return a.d.Name(), x.after(x.long(), func() { set(a.d, false) })
}

// follower is one without a replica, nil if there is none.
func (x *run) follower() *fleetlab.Daemon {
	if x.Follow == 0 {
		return nil
	}
	return x.fleet.Daemons[x.Replicas+x.rng.IntN(x.Follow)]
}

// Faults are all kinds of blows.
var Faults = []Fault{
	{"holder-killed", "the daemon at which the task is held is killed", true, func(x *run) (string, func(context.Context) error) {
		a, _ := x.holding()
		a.d.Kill()
		return a.d.Name(), again(a.d)
	}},
	{"holder-stopped", "the daemon at which the task is held is stopped for 1.5 TTL and continued", true, func(x *run) (string, func(context.Context) error) {
		a, _ := x.holding()
		a.d.Signal(syscall.SIGSTOP)
		return a.d.Name(), x.after(x.long(), func() { a.d.Signal(syscall.SIGCONT) })
	}},
	{"answers-cut", "the holder's daemon is not heard, and hears", false, func(x *run) (string, func(context.Context) error) {
		return x.cut((*fleetlab.Daemon).Unheard)
	}},
	{"renewals-cut", "the holder's daemon is heard, and hears nothing", false, func(x *run) (string, func(context.Context) error) {
		return x.cut((*fleetlab.Daemon).Deafen)
	}},
	{"leader-killed", "the store's leader is killed", false, func(x *run) (string, func(context.Context) error) {
		d := x.leader()
		d.Kill()
		return d.Name(), again(d)
	}},
	{"actor-stopped", "what the lock runs is stopped for 1.5 TTL, with all that keeps it in time, and continued", false, func(x *run) (string, func(context.Context) error) {
		a, who := x.holding()
		x.at.mayBeLate(who)
		pids := below(a.pid())
		for _, pid := range pids {
			syscall.Kill(pid, syscall.SIGSTOP)
		}
		return who, x.after(x.long(), func() {
			for _, pid := range pids {
				syscall.Kill(pid, syscall.SIGCONT)
			}
		})
	}},
	{"lock-stopped", "the lock is stopped for 1.5 TTL, and its actor is not", false, func(x *run) (string, func(context.Context) error) {
		a, who := x.holding()
		a.signal(syscall.SIGSTOP)
		return who, x.after(x.long(), func() { a.signal(syscall.SIGCONT) })
	}},
	{"lock-killed", "the lock is killed outright", true, func(x *run) (string, func(context.Context) error) {
		a, who := x.holding()
		a.signal(syscall.SIGKILL)
		return who, x.after(0, func() {})
	}},
	{"leader-stopped", "the store's leader is stopped for 1.5 TTL and continued", false, func(x *run) (string, func(context.Context) error) {
		d := x.leader()
		d.Signal(syscall.SIGSTOP)
		return d.Name(), x.after(x.long(), func() { d.Signal(syscall.SIGCONT) })
	}},
	{"all-killed", "all daemons are killed", false, func(x *run) (string, func(context.Context) error) {
		for _, d := range x.fleet.Daemons {
			d.Kill()
		}
		return "", again(x.fleet.Daemons...)
	}},
	{"moved", "operators give the task to another host", true, func(x *run) (string, func(context.Context) error) {
		a, _ := x.holding()
		to := x.fleet.Daemons[0]
		for _, d := range x.fleet.Daemons {
			if d != a.d {
				to = d
			}
		}
		at := x.fleet.Daemons[0] // a replica: followers' operators may not
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		held := x.at.top()
		err := at.Client.OrderTask(ctx, operate.Order{Task: "task", Order: lease.Order{Host: to.Name(), By: "the bench"}})
		return to.Name(), func(ctx context.Context) error {
			defer cancel()
			if err != nil {
				return err
			}
			if err := x.goesOn(ctx, 1, held+1); err != nil {
				return err
			}
			return at.Client.OrderTask(ctx, operate.Order{Task: "task"})
		}
	}},
	{"pair-cut", "the leader does not hear one other replica, and is heard by it", false, func(x *run) (string, func(context.Context) error) {
		lead := x.leader()
		other := x.fleet.Daemons[(lead.Number+1)%x.Replicas]
		other.Between(lead, true)
		return other.Name() + " to " + lead.Name(), x.after(x.long(), func() { other.Between(lead, false) })
	}},
	{"replica-cut", "a replica that followers may follow is cut off from the others, and goes on answering", false, func(x *run) (string, func(context.Context) error) {
		d := x.fleet.Daemons[x.rng.IntN(x.Replicas)]
		d.Unheard(true)
		d.Deafen(true)
		return d.Name(), x.after(x.long(), func() { d.Unheard(false); d.Deafen(false) })
	}},
	{"disk-lost", "a follower is killed and starts with an empty disk", false, func(x *run) (string, func(context.Context) error) {
		d := x.follower()
		if d == nil {
			return "nobody", x.after(0, func() {})
		}
		d.Kill()
		err := d.Lose()
		return d.Name(), func(ctx context.Context) error { return errors.Join(err, again(d)(ctx)) }
	}},
	{"disk-old", "a follower is killed and starts with its disk as it was", false, func(x *run) (string, func(context.Context) error) {
		d := x.follower()
		if d == nil {
			return "nobody", x.after(0, func() {})
		}
		old, err := d.Copy()
		if err != nil {
			return d.Name() + ", which has none", x.after(0, func() {})
		}
		return d.Name(), func(ctx context.Context) error {
			// Holders come and go meanwhile.
			if err := x.after(x.long(), d.Kill)(ctx); err != nil {
				return err
			}
			return errors.Join(d.Put(old), again(d)(ctx))
		}
	}},
	{"disk-full", "the leader's disk has no room for 1.5 TTL, after which it is started again", false, func(x *run) (string, func(context.Context) error) {
		d := x.leader()
		err := d.Full(true)
		return d.Name(), func(ctx context.Context) error {
			if err := x.after(x.long(), d.Kill)(ctx); err != nil {
				return err
			}
			return errors.Join(err, again(d)(ctx))
		}
	}},
	{"sync-fails", "the leader's disk fails every sync from now on, after which it is started again; a build for tests alone", false, func(x *run) (string, func(context.Context) error) {
		if !x.Inside {
			return "nobody", x.after(0, func() {})
		}
		d := x.leader()
		d.Signal(syscall.SIGUSR1)
		return d.Name(), func(ctx context.Context) error {
			if err := x.after(x.long(), d.Kill)(ctx); err != nil {
				return err
			}
			return again(d)(ctx)
		}
	}},
	{"old-build", "a daemon is started with the older build, if there is one, which the cluster has left behind, and then with its own", false, func(x *run) (string, func(context.Context) error) {
		if x.Old == "" {
			return "nobody", x.after(0, func() {})
		}
		d := x.fleet.Daemons[x.rng.IntN(len(x.fleet.Daemons))]
		d.Kill()
		d.Build = x.Old
		err := d.Start()
		return d.Name(), func(ctx context.Context) error {
			if err := x.after(x.long(), d.Kill)(ctx); err != nil {
				return err
			}
			d.Build = ""
			return errors.Join(err, again(d)(ctx))
		}
	}},
	{"slow", "all links are slow and lossy by stalls for 1.5 TTL", false, func(x *run) (string, func(context.Context) error) {
		set := func(now relay.Conditions) {
			for _, d := range x.fleet.Daemons {
				d.Links(func(c *relay.Conditions) { *c = now })
			}
		}
		set(relay.Conditions{Delay: 20 * time.Millisecond, Jitter: 0.9, Stalls: 0.05, Stall: x.TTL / 2})
		return "", x.after(x.long(), func() { set(relay.Conditions{}) })
	}},
}
