package controlplane

import (
	"context"
	"os"
	"syscall"
	"time"

	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/leasetask"
)

const (
	sweepInterval   = 10 * time.Second       // between sweeps of expired reports
	rolloutInterval = 250 * time.Millisecond // between checks of the current step of a rollout
)

// runTask starts a goroutine that claims a task of the fleet and, while this daemon holds its lease, executes it.
func (p *Components) runTask(ctx context.Context, t leasetask.Task) {
	p.workers.Go(func() {
		// The only errors are those of an invalid claim and of the end of ctx.
		_ = p.Tasks.RunTask(ctx, t)
	})
}

// sweepTask returns the task of deleting reports that were not renewed within their retention.
func sweepTask(d *daemon.Daemon, servers *daemon.Servers, ttl time.Duration) leasetask.Task {
	var subscribedToken uint64 // fencing token of the lease during which this daemon subscribes to all snapshots
	return leasetask.Task{
		Claim: leasetask.Claim{
			Task: daemon.FleetTask,
			TTL:  ttl,
			Note: "ends drains, starts and pictures that nobody tells any more",
		},
		Interval:        sweepInterval,
		Timeout:         ttl / 2,
		ProgressTimeout: 6 * sweepInterval,
		Cooldown:        6 * sweepInterval,
		Do: func(ctx context.Context, l *leasetask.Lease) error {
			if l.Token() != subscribedToken {
				subscribedToken = l.Token()
				servers.SubscribeAll(l.Context())
			}
			return d.Sweep(ctx)
		},
	}
}

// rolloutTask returns the task of advancing a rollout of settings, or rolling it back.
func rolloutTask(settings *daemon.Settings, ttl time.Duration) leasetask.Task {
	return leasetask.Task{
		Claim: leasetask.Claim{
			Task: daemon.RolloutTask,
			TTL:  ttl,
			Note: "drives settings that come in force in steps",
		},
		Interval:        rolloutInterval,
		Timeout:         ttl / 2,
		ProgressTimeout: time.Minute,
		Cooldown:        time.Minute,
		Do: func(ctx context.Context, l *leasetask.Lease) error {
			return settings.AdvanceRollout(ctx, l.Token(), l.Txn)
		},
	}
}

// forwardReloads forwards each signal to the sidecar as a reload of the settings, until ctx ends.
func (p *Components) forwardReloads(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			select {
			case p.Settings.Reload() <- syscall.SIGHUP:
			default: // a reload is pending
			}
		}
	}
}
