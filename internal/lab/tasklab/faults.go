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

// Fault is a kind of fault.
type Fault struct {
	Name            string
	About           string
	endsEntitlement bool // ends the holder's entitlement, at any kind of daemon
	// inject injects the fault. It returns what it acted on, and a function that waits for the end of the fault.
	inject func(x *run) (what string, end func(context.Context) error)
}

// after returns a function that waits for some time, and then calls f.
func (x *run) after(d time.Duration, f func()) func(context.Context) error {
	return fleetlab.EndAfter(d, f)
}

// atHolder injects a fault at the daemon of the task's holder, for 1.5 TTL.
func atHolder(inject fleetlab.Fault) func(x *run) (string, func(context.Context) error) {
	return func(x *run) (string, func(context.Context) error) {
		a, _ := x.currentHolder()
		return inject(x.fleet, a.daemon, x.faultDuration())
	}
}

// atLeader injects a fault at the store's leader, for 1.5 TTL.
func atLeader(inject fleetlab.Fault) func(x *run) (string, func(context.Context) error) {
	return func(x *run) (string, func(context.Context) error) {
		return inject(x.fleet, x.fleet.Leader(), x.faultDuration())
	}
}

// faultDuration returns the duration of faults that last.
func (x *run) faultDuration() time.Duration { return x.TTL * 3 / 2 }

// randomFollower returns a daemon without a replica, or nil if there is none.
func (x *run) randomFollower() *fleetlab.Daemon {
	if x.Followers == 0 {
		return nil
	}
	return x.fleet.Daemons[x.Replicas+x.rng.IntN(x.Followers)]
}

// Faults lists all kinds of faults.
var Faults = []Fault{
	{"holder-killed", "the holder's daemon is killed", true, atHolder(fleetlab.KillDaemon)},
	{"holder-stopped", "the holder's daemon is stopped for 1.5 TTL and continued", true, atHolder(fleetlab.StopDaemon)},
	{"answers-cut", "messages from the holder's daemon are lost, and those to it are not", false,
		atHolder(fleetlab.LoseSent)},
	{"renewals-cut", "messages to the holder's daemon are lost, and those from it are not", false,
		atHolder(fleetlab.LoseReceived)},
	{"leader-killed", "the store's leader is killed", false, atLeader(fleetlab.KillDaemon)},
	{"actor-stopped", "the lock, its keeper and its actor are stopped for 1.5 TTL and continued", false,
		func(x *run) (string, func(context.Context) error) {
			a, who := x.currentHolder()
			x.target.markStopped(who)
			pids := processTree(a.pid())
			for _, pid := range pids {
				syscall.Kill(pid, syscall.SIGSTOP)
			}
			return who, x.after(x.faultDuration(), func() {
				for _, pid := range pids {
					syscall.Kill(pid, syscall.SIGCONT)
				}
			})
		}},
	{"lock-stopped", "the lock process is stopped for 1.5 TTL, and its actor is not", false,
		func(x *run) (string, func(context.Context) error) {
			a, who := x.currentHolder()
			a.signal(syscall.SIGSTOP)
			return who, x.after(x.faultDuration(), func() { a.signal(syscall.SIGCONT) })
		}},
	{"lock-killed", "the lock process is killed", true, func(x *run) (string, func(context.Context) error) {
		a, who := x.currentHolder()
		a.signal(syscall.SIGKILL)
		return who, x.after(0, func() {})
	}},
	{"leader-stopped", "the store's leader is stopped for 1.5 TTL and continued", false, atLeader(fleetlab.StopDaemon)},
	{"all-killed", "all daemons are killed", false, atHolder(fleetlab.KillAll)},
	{"moved", "operators move the task to another host", true, func(x *run) (string, func(context.Context) error) {
		a, _ := x.currentHolder()
		to := x.fleet.Daemons[0]
		for _, d := range x.fleet.Daemons {
			if d != a.daemon {
				to = d
			}
		}
		at := x.fleet.Daemons[0] // has a replica; operators cannot override tasks at followers
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		held := x.target.highestToken()
		err := at.Client.OverrideTask(ctx, adminapi.OverrideRequest{Task: "task", TaskOverride: lease.TaskOverride{PreferredHost: to.Name(), Operator: "the bench"}})
		return to.Name(), func(ctx context.Context) error {
			defer cancel()
			if err != nil {
				return err
			}
			if err := x.waitForActions(ctx, 1, held+1); err != nil {
				return err
			}
			return at.Client.OverrideTask(ctx, adminapi.OverrideRequest{Task: "task"})
		}
	}},
	{"pair-cut", "messages from one replica to the leader are lost, and those to the replica are not", false,
		func(x *run) (string, func(context.Context) error) {
			lead := x.fleet.Leader()
			other := x.fleet.Daemons[(lead.Number+1)%x.Replicas]
			other.SetSentLostTo(lead, true)
			return other.Name() + " to " + lead.Name(),
				x.after(x.faultDuration(), func() { other.SetSentLostTo(lead, false) })
		}},
	{"replica-cut", "a replica is cut off from the others, and keeps answering followers", false,
		func(x *run) (string, func(context.Context) error) {
			d := x.fleet.Daemons[x.rng.IntN(x.Replicas)]
			d.SetSentLost(true)
			d.SetReceivedLost(true)
			return d.Name(), x.after(x.faultDuration(), func() { d.SetSentLost(false); d.SetReceivedLost(false) })
		}},
	{"disk-lost", "a follower is killed and restarted with an empty disk", false,
		func(x *run) (string, func(context.Context) error) {
			d := x.randomFollower()
			if d == nil {
				return "nobody", x.after(0, func() {})
			}
			d.Kill()
			err := d.RemoveData()
			return d.Name(), func(ctx context.Context) error { return errors.Join(err, fleetlab.Restart(d)(ctx)) }
		}},
	{"disk-old", "a follower is killed and restarted with an old copy of its disk", false,
		func(x *run) (string, func(context.Context) error) {
			d := x.randomFollower()
			if d == nil {
				return "nobody", x.after(0, func() {})
			}
			old, err := d.ReadCopy()
			if err != nil {
				return d.Name() + ", which has none", x.after(0, func() {})
			}
			return d.Name(), func(ctx context.Context) error {
				// Holders change meanwhile, so the copy becomes old.
				if err := x.after(x.faultDuration(), d.Kill)(ctx); err != nil {
					return err
				}
				return errors.Join(d.WriteCopy(old), fleetlab.Restart(d)(ctx))
			}
		}},
	{"disk-full", "the leader's disk is full for 1.5 TTL, and then the leader is restarted", false,
		func(x *run) (string, func(context.Context) error) {
			d := x.fleet.Leader()
			err := d.SetDiskFull(true)
			return d.Name(), func(ctx context.Context) error {
				if err := x.after(x.faultDuration(), d.Kill)(ctx); err != nil {
					return err
				}
				return errors.Join(err, fleetlab.Restart(d)(ctx))
			}
		}},
	{"sync-fails",
		"the leader's disk fails all syncs for 1.5 TTL, and then the leader is restarted; only in builds with injected faults",
		false, func(x *run) (string, func(context.Context) error) {
			if !x.HasProcessFaults {
				return "nobody", x.after(0, func() {})
			}
			d := x.fleet.Leader()
			d.Signal(syscall.SIGUSR1)
			return d.Name(), func(ctx context.Context) error {
				if err := x.after(x.faultDuration(), d.Kill)(ctx); err != nil {
					return err
				}
				return fleetlab.Restart(d)(ctx)
			}
		}},
	{"old-build", "a daemon is restarted with an older build, if one is given, and then with its own again", false,
		func(x *run) (string, func(context.Context) error) {
			if x.OldProgram == "" {
				return "nobody", x.after(0, func() {})
			}
			d := x.fleet.Daemons[x.rng.IntN(len(x.fleet.Daemons))]
			d.Kill()
			d.Program = x.OldProgram
			err := d.Start()
			return d.Name(), func(ctx context.Context) error {
				if err := x.after(x.faultDuration(), d.Kill)(ctx); err != nil {
					return err
				}
				d.Program = ""
				return errors.Join(err, fleetlab.Restart(d)(ctx))
			}
		}},
	{"slow", "all links are slow and lossy for 1.5 TTL", false, atHolder(fleetlab.SlowLinks)},
}
