package fleetlab

import (
	"context"
	"syscall"
	"time"

	"birchmoor/internal/lab/relay"
)

// Blow injects a fault into a daemon. It returns the name of the affected daemon, or "" for all, and a function that
// waits for the fault's duration, ends the fault, and returns once all daemons run again.
type Blow func(f *Fleet, d *Daemon, long time.Duration) (what string, end func(context.Context) error)

// Again returns a function that starts daemons and waits until they are ready.
func Again(daemons ...*Daemon) func(context.Context) error {
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

// After returns a function that waits for a duration, or until its context ends, and then calls undo.
func After(duration time.Duration, undo func()) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-time.After(duration):
		case <-ctx.Done():
		}
		undo()
		return nil
	}
}

// Killed kills a daemon with SIGKILL; the end of the fault starts it again, without a wait.
func Killed(_ *Fleet, d *Daemon, _ time.Duration) (string, func(context.Context) error) {
	d.Kill()
	return d.Name(), Again(d)
}

// Stopped stops a daemon's process with SIGSTOP, and continues it with SIGCONT after the duration.
func Stopped(_ *Fleet, d *Daemon, duration time.Duration) (string, func(context.Context) error) {
	d.Signal(syscall.SIGSTOP)
	return d.Name(), After(duration, func() { d.Signal(syscall.SIGCONT) })
}

// Mute loses everything that a daemon sends to others. It still receives.
func Mute(_ *Fleet, d *Daemon, duration time.Duration) (string, func(context.Context) error) {
	d.Unheard(true)
	return d.Name(), After(duration, func() { d.Unheard(false) })
}

// Deaf loses everything that others send to a daemon. They still receive what it sends.
func Deaf(_ *Fleet, d *Daemon, duration time.Duration) (string, func(context.Context) error) {
	d.Deafen(true)
	return d.Name(), After(duration, func() { d.Deafen(false) })
}

// CutOff loses everything between a daemon and the others, in both directions.
func CutOff(_ *Fleet, d *Daemon, duration time.Duration) (string, func(context.Context) error) {
	d.Unheard(true)
	d.Deafen(true)
	return d.Name(), After(duration, func() { d.Unheard(false); d.Deafen(false) })
}

// AllKilled kills every daemon with SIGKILL, whichever daemon is passed; the end of the fault starts all of them again.
func AllKilled(f *Fleet, _ *Daemon, _ time.Duration) (string, func(context.Context) error) {
	for _, d := range f.Daemons {
		d.Kill()
	}
	return "", Again(f.Daemons...)
}

// Slow delays all links of all daemons, with stalls of up to a third of the duration.
func Slow(f *Fleet, _ *Daemon, duration time.Duration) (string, func(context.Context) error) {
	setConditions := func(conditions relay.Conditions) {
		for _, d := range f.Daemons {
			d.Links(func(c *relay.Conditions) { *c = conditions })
		}
	}
	setConditions(relay.Conditions{
		Delay:            20 * time.Millisecond,
		Jitter:           0.9,
		StallProbability: 0.05,
		MaxStall:         duration / 3,
	})
	return "", After(duration, func() { setConditions(relay.Conditions{}) })
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
