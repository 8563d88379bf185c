package tasklab

import (
	"context"
	"errors"
	"syscall"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/lab/fleetlab"
)

// Fault is one kind of blow.
type Fault struct {
	Name   string
	About  string
	ends   bool // the holder's entitlement, whatever kind of daemon it is at
	strike func(x *run) (what string, end func(context.Context) error)
}

func (x *run) after(d time.Duration, f func()) func(context.Context) error {
	return fleetlab.EndAfter(d, f)
}

// at has a blow done to the daemon at which the task is held, for one and a half TTL.
func at(b fleetlab.Fault) func(x *run) (string, func(context.Context) error) {
	return func(x *run) (string, func(context.Context) error) {
		a, _ := x.holding()
		return b(x.fleet, a.d, x.long())
	}
}

// lead has a blow done to the store's leader.
func lead(b fleetlab.Fault) func(x *run) (string, func(context.Context) error) {
	return func(x *run) (string, func(context.Context) error) { return b(x.fleet, x.fleet.Leader(), x.long()) }
}

func (x *run) long() time.Duration { return x.TTL * 3 / 2 }

// follower is one without a replica, nil if there is none.
func (x *run) follower() *fleetlab.Daemon {
	if x.Follow == 0 {
		return nil
	}
	return x.fleet.Daemons[x.Replicas+x.rng.IntN(x.Follow)]
}

// Faults are all kinds of blows.
var Faults = []Fault{
	{"holder-killed", "the daemon at which the task is held is killed", true, at(fleetlab.KillDaemon)},
	{"holder-stopped", "the daemon at which the task is held is stopped for 1.5 TTL and continued", true, at(fleetlab.StopDaemon)},
	{"answers-cut", "the holder's daemon is not heard, and hears", false, at(fleetlab.LoseSent)},
	{"renewals-cut", "the holder's daemon is heard, and hears nothing", false, at(fleetlab.LoseReceived)},
	{"leader-killed", "the store's leader is killed", false, lead(fleetlab.KillDaemon)},
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
	{"leader-stopped", "the store's leader is stopped for 1.5 TTL and continued", false, lead(fleetlab.StopDaemon)},
	{"all-killed", "all daemons are killed", false, at(fleetlab.KillAll)},
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
		err := at.Client.OverrideTask(ctx, adminapi.OverrideRequest{Task: "task", TaskOverride: lease.TaskOverride{PreferredHost: to.Name(), Operator: "the bench"}})
		return to.Name(), func(ctx context.Context) error {
			defer cancel()
			if err != nil {
				return err
			}
			if err := x.goesOn(ctx, 1, held+1); err != nil {
				return err
			}
			return at.Client.OverrideTask(ctx, adminapi.OverrideRequest{Task: "task"})
		}
	}},
	{"pair-cut", "the leader does not hear one other replica, and is heard by it", false, func(x *run) (string, func(context.Context) error) {
		lead := x.fleet.Leader()
		other := x.fleet.Daemons[(lead.Number+1)%x.Replicas]
		other.SetSentLostTo(lead, true)
		return other.Name() + " to " + lead.Name(), x.after(x.long(), func() { other.SetSentLostTo(lead, false) })
	}},
	{"replica-cut", "a replica that followers may follow is cut off from the others, and goes on answering", false, func(x *run) (string, func(context.Context) error) {
		d := x.fleet.Daemons[x.rng.IntN(x.Replicas)]
		d.SetSentLost(true)
		d.SetReceivedLost(true)
		return d.Name(), x.after(x.long(), func() { d.SetSentLost(false); d.SetReceivedLost(false) })
	}},
	{"disk-lost", "a follower is killed and starts with an empty disk", false, func(x *run) (string, func(context.Context) error) {
		d := x.follower()
		if d == nil {
			return "nobody", x.after(0, func() {})
		}
		d.Kill()
		err := d.RemoveData()
		return d.Name(), func(ctx context.Context) error { return errors.Join(err, fleetlab.Restart(d)(ctx)) }
	}},
	{"disk-old", "a follower is killed and starts with its disk as it was", false, func(x *run) (string, func(context.Context) error) {
		d := x.follower()
		if d == nil {
			return "nobody", x.after(0, func() {})
		}
		old, err := d.ReadCopy()
		if err != nil {
			return d.Name() + ", which has none", x.after(0, func() {})
		}
		return d.Name(), func(ctx context.Context) error {
			// Holders come and go meanwhile.
			if err := x.after(x.long(), d.Kill)(ctx); err != nil {
				return err
			}
			return errors.Join(d.WriteCopy(old), fleetlab.Restart(d)(ctx))
		}
	}},
	{"disk-full", "the leader's disk has no room for 1.5 TTL, after which it is started again", false, func(x *run) (string, func(context.Context) error) {
		d := x.fleet.Leader()
		err := d.SetDiskFull(true)
		return d.Name(), func(ctx context.Context) error {
			if err := x.after(x.long(), d.Kill)(ctx); err != nil {
				return err
			}
			return errors.Join(err, fleetlab.Restart(d)(ctx))
		}
	}},
	{"sync-fails", "the leader's disk fails every sync from now on, after which it is started again; a build for tests alone", false, func(x *run) (string, func(context.Context) error) {
		if !x.Inside {
			return "nobody", x.after(0, func() {})
		}
		d := x.fleet.Leader()
		d.Signal(syscall.SIGUSR1)
		return d.Name(), func(ctx context.Context) error {
			if err := x.after(x.long(), d.Kill)(ctx); err != nil {
				return err
			}
			return fleetlab.Restart(d)(ctx)
		}
	}},
	{"old-build", "a daemon is started with the older build, if there is one, which the cluster has left behind, and then with its own", false, func(x *run) (string, func(context.Context) error) {
		if x.Old == "" {
			return "nobody", x.after(0, func() {})
		}
		d := x.fleet.Daemons[x.rng.IntN(len(x.fleet.Daemons))]
		d.Kill()
		d.Program = x.Old
		err := d.Start()
		return d.Name(), func(ctx context.Context) error {
			if err := x.after(x.long(), d.Kill)(ctx); err != nil {
				return err
			}
			d.Program = ""
			return errors.Join(err, fleetlab.Restart(d)(ctx))
		}
	}},
	{"slow", "all links are slow and lossy by stalls for 1.5 TTL", false, at(fleetlab.SlowLinks)},
}
