package fleetlab

import (
	"context"
	"syscall"
	"time"

	"birchmoor/internal/lab/relay"
)

// Fault injects a fault into a daemon. It returns the name of the affected daemon, or "" for all, and a function that
// waits for the fault's duration, ends the fault, and returns once all daemons run again.
type Fault func(f *Fleet, d *Daemon, long time.Duration) (what string, end func(context.Context) error)

// Restart returns a function that starts daemons and waits until they are ready.
func Restart(daemons ...*Daemon) func(context.Context) error {
	return func(ctx context.Context) error {
		for _, d := range daemons {
			if err := d.Start(); err != nil {
				return err
			}
		}
		ctx, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		for _, d := range daemons {
			if err := d.Ready(ctx); err != nil {
				return err
			}
		}
		return nil
	}
}

// EndAfter returns a function that waits for a duration, or until its context ends, and then calls undo.
func EndAfter(duration time.Duration, undo func()) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-time.After(duration):
		case <-ctx.Done():
		}
		undo()
		return nil
	}
}

// KillDaemon kills a daemon with SIGKILL; the end of the fault starts it again, without a wait.
func KillDaemon(_ *Fleet, d *Daemon, _ time.Duration) (string, func(context.Context) error) {
	d.Kill()
	return d.Name(), Restart(d)
}

// StopDaemon stops a daemon's process with SIGSTOP, and continues it with SIGCONT after the duration.
func StopDaemon(_ *Fleet, d *Daemon, duration time.Duration) (string, func(context.Context) error) {
	d.Signal(syscall.SIGSTOP)
	return d.Name(), EndAfter(duration, func() { d.Signal(syscall.SIGCONT) })
}

// LoseSent loses everything that a daemon sends to others. It still receives.
func LoseSent(_ *Fleet, d *Daemon, duration time.Duration) (string, func(context.Context) error) {
	d.SetSentLost(true)
	return d.Name(), EndAfter(duration, func() { d.SetSentLost(false) })
}

// LoseReceived loses everything that others send to a daemon. They still receive what it sends.
func LoseReceived(_ *Fleet, d *Daemon, duration time.Duration) (string, func(context.Context) error) {
	d.SetReceivedLost(true)
	return d.Name(), EndAfter(duration, func() { d.SetReceivedLost(false) })
}

// Isolate loses everything between a daemon and the others, in both directions.
func Isolate(_ *Fleet, d *Daemon, duration time.Duration) (string, func(context.Context) error) {
	d.SetSentLost(true)
	d.SetReceivedLost(true)
	return d.Name(), EndAfter(duration, func() { d.SetSentLost(false); d.SetReceivedLost(false) })
}

// KillAll kills every daemon with SIGKILL, whichever daemon is passed; the end of the fault starts all of them again.
func KillAll(f *Fleet, _ *Daemon, _ time.Duration) (string, func(context.Context) error) {
	for _, d := range f.Daemons {
		d.Kill()
	}
	return "", Restart(f.Daemons...)
}

// SlowLinks delays all links of all daemons, with stalls of up to a third of the duration.
func SlowLinks(f *Fleet, _ *Daemon, duration time.Duration) (string, func(context.Context) error) {
	setConditions := func(conditions relay.Conditions) {
		for _, d := range f.Daemons {
			d.UpdateLinks(func(c *relay.Conditions) { *c = conditions })
		}
	}
	setConditions(relay.Conditions{
		Delay:            20 * time.Millisecond,
		Jitter:           0.9,
		StallProbability: 0.05,
		MaxStall:         duration / 3,
	})
	return "", EndAfter(duration, func() { setConditions(relay.Conditions{}) })
}

// Leader returns the replica that leads the store, or the first replica if none does.
func (f *Fleet) Leader() *Daemon {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, d := range f.Daemons[:f.cfg.Replicas] {
		if status, err := d.Client.Status(ctx); err == nil && status.Leading {
			return d
		}
	}
	return f.Daemons[0]
}
