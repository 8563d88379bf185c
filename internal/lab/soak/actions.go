package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playEvents plays the events of each daemon one after the other, and those of different daemons side by side.
func (r *run) playEvents(ctx context.Context) error {
	started := time.Now()
	queues := make([][]Event, Daemons)
	var drains []Event
	for _, e := range r.Schedule.Events {
		if e.Action == Drain {
			drains = append(drains, e)
			continue
		}
		queues[e.Number%Daemons] = append(queues[e.Number%Daemons], e)
	}
	var playing sync.WaitGroup
	errs := make(chan error, Daemons)
	for number, queue := range queues {
		playing.Go(func() {
			for _, e := range queue {
				pause(ctx, time.Until(started.Add(time.Duration(e.AtMs)*time.Millisecond)))
				if err := r.act(ctx, number, e); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	for _, e := range drains {
		playing.Go(func() {
			pause(ctx, time.Until(started.Add(time.Duration(e.AtMs)*time.Millisecond)))
			r.drain(ctx, e)
		})
	}
	playing.Wait()
	pause(ctx, time.Until(started.Add(time.Duration(r.Schedule.LastMs)*time.Millisecond)))
	select {
	case err := <-errs:
		return err
	default:
		return ctx.Err()
	}
}

// act does an event to a daemon, and returns once its process is as it was.
func (r *run) act(ctx context.Context, number int, e Event) error {
	d := r.fleet.Daemons[number]
	if r.noteCrash(number) {
		return r.restart(ctx, number)
	}
	r.mu.Lock()
	r.result.ActionsDone++
	r.mu.Unlock()
	duration := time.Duration(e.ForMs) * time.Millisecond
	switch e.Action {
	case Terminate:
		return r.terminate(ctx, number, e)
	case Kill:
		from := time.Now()
		r.setWanted(number, true)
		d.Kill()
		err := r.restart(ctx, number)
		r.note(number, func(h *daemonHistory) { h.killed = append(h.killed, period{from, time.Now()}) })
		return err
	case Stop:
		from := time.Now()
		for range max(1, e.Times) {
			d.Signal(syscall.SIGSTOP)
			pause(ctx, duration/time.Duration(max(1, e.Times)))
			d.Signal(syscall.SIGCONT)
		}
		r.note(number, func(h *daemonHistory) {
			h.stopped = append(h.stopped, period{from, time.Now().Add(time.Second)})
		})
	case Reload:
		r.signalSeries(ctx, number, syscall.SIGHUP, e.Times)
	case Quiet:
		from := time.Now()
		d.Deaf(true)
		pause(ctx, duration)
		d.Deaf(false)
		r.note(number, func(h *daemonHistory) { h.quiet = append(h.quiet, period{from, time.Now()}) })
	case Cut:
		d.Unheard(true)
		d.Deafen(true)
		pause(ctx, duration)
		d.Unheard(false)
		d.Deafen(false)
	case FullDisk:
		if err := d.Full(true); err != nil {
			return err
		}
		pause(ctx, duration)
		return d.Full(false)
	}
	return ctx.Err()
}

// signalSeries sends a signal several times within seriesSpan.
func (r *run) signalSeries(ctx context.Context, number int, signal syscall.Signal, times int) {
	for range max(1, times) {
		r.fleet.Daemons[number].Signal(signal)
		pause(ctx, seriesSpan/maxSignals)
	}
}

// terminate ends a process as the platform does at a planned restart, and starts the next one.
func (r *run) terminate(ctx context.Context, number int, e Event) error {
	d := r.fleet.Daemons[number]
	from := time.Now()
	restarts := 1
	if e.DuringStart {
		restarts = 2
	}
	for i := range restarts {
		r.setWanted(number, true)
		ended := d.Ended()
		kill := time.After(killDelay)
		r.signalSeries(ctx, number, syscall.SIGTERM, e.Times)
		if e.ReloadMeanwhile {
			r.signalSeries(ctx, number, syscall.SIGHUP, e.Times)
		}
		select {
		case <-ended:
		case <-kill:
			r.note(number, func(h *daemonHistory) { h.endedByKill = append(h.endedByKill, time.Now()) })
		case <-ctx.Done():
		}
		d.Kill()
		if i < restarts-1 {
			if err := d.Start(); err != nil {
				return err
			}
			pause(ctx, seriesSpan/maxSignals)
		}
	}
	err := r.restart(ctx, number)
	r.note(number, func(h *daemonHistory) { h.terminated = append(h.terminated, period{from, time.Now()}) })
	return err
}

// restart starts a daemon, and waits until it is ready.
func (r *run) restart(ctx context.Context, number int) error {
	d := r.fleet.Daemons[number]
	started := time.Now()
	if err := d.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyDeadline)
	defer cancel()
	if err := d.Ready(ctx); err != nil {
		return fmt.Errorf("restart: %w\n%s", err, d.Log())
	}
	took := time.Since(started)
	r.setWanted(number, false)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.restarts = append(r.evidence.restarts, took)
	return nil
}

// drain has a server drain, and come back as a new process.
func (r *run) drain(ctx context.Context, e Event) {
	number := e.Number % Servers
	r.mu.Lock()
	possible := !r.draining[number] && len(r.draining) < maxDraining
	if possible {
		r.draining[number] = true
		r.result.ActionsDone++
	} else {
		r.result.ActionsPassed++
	}
	r.mu.Unlock()
	if !possible {
		return
	}
	s := r.fleet.Servers[number]
	instance := s.Now()
	instance.Lifecycle = "draining"
	s.Set(instance)
	for _, d := range r.fleet.Daemons {
		d.Tell(instance)
	}
	reported := time.Now()
	pause(ctx, drainGrace+time.Duration(e.ForMs)*time.Millisecond)
	over := time.Now()
	instance.Lifecycle = "up"
	instance.StartedMs = over.UnixMilli()
	s.Set(instance)
	for _, d := range r.fleet.Daemons {
		d.Tell(instance)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.draining, number)
	r.evidence.drains = append(r.evidence.drains, drain{number, period{reported, over}})
}
