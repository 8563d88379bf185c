package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playEvents carries out the schedule: the events of one daemon in sequence, those of different daemons and all drains
// concurrently. It returns at the end of the schedule's time or with the first error.
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
				if err := r.apply(ctx, number, e); err != nil {
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

// apply carries out an event on a daemon, and returns once the daemon is ready or undisturbed again. If the daemon's
// process has crashed, it is restarted instead.
func (r *run) apply(ctx context.Context, number int, e Event) error {
	daemon := r.fleet.Daemons[number]
	if r.recordCrash(number) {
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
		startedAt := time.Now()
		r.setEndExpected(number, true)
		daemon.Kill()
		err := r.restart(ctx, number)
		r.updateHistory(number, func(h *daemonHistory) { h.killed = append(h.killed, period{startedAt, time.Now()}) })
		return err
	case Stop:
		startedAt := time.Now()
		for range max(1, e.Times) {
			daemon.Signal(syscall.SIGSTOP)
			pause(ctx, duration/time.Duration(max(1, e.Times)))
			daemon.Signal(syscall.SIGCONT)
		}
		r.updateHistory(number, func(h *daemonHistory) {
			h.stopped = append(h.stopped, period{startedAt, time.Now().Add(time.Second)})
		})
	case Reload:
		r.signalSeries(ctx, number, syscall.SIGHUP, e.Times)
	case Quiet:
		startedAt := time.Now()
		daemon.SetDiscoverySilent(true)
		pause(ctx, duration)
		daemon.SetDiscoverySilent(false)
		r.updateHistory(number, func(h *daemonHistory) { h.quiet = append(h.quiet, period{startedAt, time.Now()}) })
	case Cut:
		daemon.SetSentLost(true)
		daemon.SetReceivedLost(true)
		pause(ctx, duration)
		daemon.SetSentLost(false)
		daemon.SetReceivedLost(false)
	case FullDisk:
		if err := daemon.SetDiskFull(true); err != nil {
			return err
		}
		pause(ctx, duration)
		return daemon.SetDiskFull(false)
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

// terminate ends a process as the platform does at a planned restart, with SIGTERM and SIGKILL after killDelay, and
// starts the next one.
func (r *run) terminate(ctx context.Context, number int, e Event) error {
	daemon := r.fleet.Daemons[number]
	startedAt := time.Now()
	restarts := 1
	if e.DuringStart {
		restarts = 2
	}
	for i := range restarts {
		r.setEndExpected(number, true)
		ended := daemon.Ended()
		killTimer := time.After(killDelay)
		r.signalSeries(ctx, number, syscall.SIGTERM, e.Times)
		if e.ReloadMeanwhile {
			r.signalSeries(ctx, number, syscall.SIGHUP, e.Times)
		}
		select {
		case <-ended:
		case <-killTimer:
			r.updateHistory(number, func(h *daemonHistory) { h.endedByKill = append(h.endedByKill, time.Now()) })
		case <-ctx.Done():
		}
		daemon.Kill()
		if i < restarts-1 {
			if err := daemon.Start(); err != nil {
				return err
			}
			pause(ctx, seriesSpan/maxSignals)
		}
	}
	err := r.restart(ctx, number)
	r.updateHistory(number, func(h *daemonHistory) {
		h.terminated = append(h.terminated, period{startedAt, time.Now()})
	})
	return err
}

// restart starts a daemon, waits until it is ready and records how long that took.
func (r *run) restart(ctx context.Context, number int) error {
	daemon := r.fleet.Daemons[number]
	started := time.Now()
	if err := daemon.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyDeadline)
	defer cancel()
	if err := daemon.Ready(ctx); err != nil {
		return fmt.Errorf("restart: %w\n%s", err, daemon.Log())
	}
	took := time.Since(started)
	r.setEndExpected(number, false)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.restarts = append(r.evidence.restarts, took)
	return nil
}

// drain reports a server as draining to all daemons, and later as up with a new process. It skips the event if the
// server or too many others are draining already.
func (r *run) drain(ctx context.Context, e Event) {
	number := e.Number % Servers
	r.mu.Lock()
	allowed := !r.draining[number] && len(r.draining) < maxDraining
	if allowed {
		r.draining[number] = true
		r.result.ActionsDone++
	} else {
		r.result.ActionsSkipped++
	}
	r.mu.Unlock()
	if !allowed {
		return
	}
	server := r.fleet.Servers[number]
	instance := server.Instance()
	instance.Lifecycle = "draining"
	server.SetInstance(instance)
	for _, d := range r.fleet.Daemons {
		d.Report(instance)
	}
	reportedAt := time.Now()
	pause(ctx, drainGrace+time.Duration(e.ForMs)*time.Millisecond)
	endedAt := time.Now()
	instance.Lifecycle = "up"
	instance.StartedMs = endedAt.UnixMilli()
	server.SetInstance(instance)
	for _, d := range r.fleet.Daemons {
		d.Report(instance)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.draining, number)
	r.evidence.drains = append(r.evidence.drains, drain{number, period{reportedAt, endedAt}})
}
