package fleetlab

import (
	"context"
	"syscall"
	"time"

	"birchmoor/internal/lab/relay"
)

// Blow is done to a daemon for a while. It returns to whom, and what ends it: that returns once all runs again.
type Blow func(f *Fleet, d *Daemon, long time.Duration) (what string, end func(context.Context) error)

// Again starts daemons and waits for them.
func Again(ds ...*Daemon) func(context.Context) error {
	return func(ctx context.Context) error {
		for _, d := range ds {
			if err := d.Start(); err != nil {
				return err
			}
		}
		ctx, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		for _, d := range ds {
			if err := d.Ready(ctx); err != nil {
				return err
			}
		}
		return nil
	}
}

// After waits, and then does.
func After(long time.Duration, f func()) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-time.After(long):
		case <-ctx.Done():
		}
		f()
		return nil
	}
}

// Killed is SIGKILL, and a start at once.
func Killed(_ *Fleet, d *Daemon, _ time.Duration) (string, func(context.Context) error) {
	d.Kill()
	return d.Name(), Again(d)
}

// Stopped is SIGSTOP between any two instructions, and SIGCONT.
func Stopped(_ *Fleet, d *Daemon, long time.Duration) (string, func(context.Context) error) {
	d.Signal(syscall.SIGSTOP)
	return d.Name(), After(long, func() { d.Signal(syscall.SIGCONT) })
}

// Mute has what it sends lost; it hears.
func Mute(_ *Fleet, d *Daemon, long time.Duration) (string, func(context.Context) error) {
	d.Unheard(true)
	return d.Name(), After(long, func() { d.Unheard(false) })
}

// Deaf has what it is sent lost; it is heard.
func Deaf(_ *Fleet, d *Daemon, long time.Duration) (string, func(context.Context) error) {
	d.Deafen(true)
	return d.Name(), After(long, func() { d.Deafen(false) })
}

// CutOff has both lost.
func CutOff(_ *Fleet, d *Daemon, long time.Duration) (string, func(context.Context) error) {
	d.Unheard(true)
	d.Deafen(true)
	return d.Name(), After(long, func() { d.Unheard(false); d.Deafen(false) })
}

// AllKilled is SIGKILL to every daemon, whichever was meant.
func AllKilled(f *Fleet, _ *Daemon, _ time.Duration) (string, func(context.Context) error) {
	for _, d := range f.Daemons {
		d.Kill()
	}
	return "", Again(f.Daemons...)
}

// Slow makes all links slow, and lossy by stalls of up to a third of the time.
func Slow(f *Fleet, _ *Daemon, long time.Duration) (string, func(context.Context) error) {
	set := func(now relay.Conditions) {
		for _, d := range f.Daemons {
			d.Links(func(c *relay.Conditions) { *c = now })
		}
	}
	set(relay.Conditions{Delay: 20 * time.Millisecond, Jitter: 0.9, StallProbability: 0.05, MaxStall: long / 3})
	return "", After(long, func() { set(relay.Conditions{}) })
}

// Leader is the replica that leads the store, or the first.
func (f *Fleet) Leader() *Daemon {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, d := range f.Daemons[:f.cfg.Replicas] {
		if s, err := d.Client.Status(ctx); err == nil && s.Leading {
			return d
		}
	}
	return f.Daemons[0]
}
