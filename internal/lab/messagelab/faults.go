package messagelab

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// fault is what happens to a sidecar at a time.
type fault string

const (
	terminates fault = "SIGTERM, and SIGKILL at the earliest"
	killed     fault = "SIGKILL"
	reloads    fault = "SIGHUP"
	stops      fault = "SIGSTOP"
	upgrades   fault = "a new process beside the old one"
)

var faults = []fault{terminates, terminates, killed, reloads, stops, upgrades, upgrades}

const (
	meanFaultPause = 3 * time.Second
	maxStop        = 300 * time.Millisecond
	acceptedFor    = 400 * time.Millisecond // after SIGTERM, in which a process still accepts connections
)

// period is a time in which a fault excuses requests of a sidecar.
type period struct {
	sidecar  int
	from, to time.Time
	// unaccepted excuses only requests on connections that were opened in the period: no process accepts them.
	unaccepted bool
	// restart tells that the process at the end of the period knows nothing of the one at its beginning.
	restart bool
	// cutsOpen excuses only what was not complete by the end of the period: SIGKILL came then.
	cutsOpen bool
}

// playFaults injects faults into a sidecar until ctx ends.
func (s *sidecar) playFaults(ctx context.Context, rng *rand.Rand) error {
	for ctx.Err() == nil {
		pause(ctx, meanFaultPause/2+time.Duration(rng.Int64N(int64(meanFaultPause))))
		s.run.update(func() { s.run.result.Faults++ })
		if err := s.inject(ctx, faults[rng.IntN(len(faults))], 1+rng.IntN(maxSignals), rng); err != nil {
			return err
		}
	}
	return nil
}

func (s *sidecar) inject(ctx context.Context, f fault, times int, rng *rand.Rand) error {
	startedAt := time.Now()
	switch f {
	case terminates:
		byKill := s.current.terminate(ctx, times)
		s.excuseEnd(startedAt, byKill)
		err := s.restart(ctx)
		s.run.excuse(period{sidecar: s.number, from: startedAt.Add(acceptedFor), to: time.Now(),
			unaccepted: true, restart: true})
		return err
	case killed:
		s.current.kill()
		err := s.restart(ctx)
		s.run.excuse(period{sidecar: s.number, from: startedAt, to: time.Now(), restart: true})
		return err
	case reloads:
		s.current.series(ctx, syscall.SIGHUP, times)
	case stops:
		s.current.signal(syscall.SIGSTOP)
		pause(ctx, time.Duration(rng.Int64N(int64(maxStop))))
		s.current.signal(syscall.SIGCONT)
		s.run.excuse(period{sidecar: s.number, from: startedAt, to: time.Now().Add(time.Second)})
	case upgrades:
		return s.upgrade(ctx, times)
	}
	return nil
}

// excuseEnd excuses what SIGKILL cut off, if it ended a process that had got SIGTERM.
func (s *sidecar) excuseEnd(startedAt time.Time, byKill bool) {
	if byKill {
		s.run.excuse(period{sidecar: s.number, from: startedAt, to: time.Now(), cutsOpen: true})
	}
}

func (s *sidecar) restart(ctx context.Context) error {
	next, err := s.start()
	if err != nil {
		return err
	}
	s.current = next
	return s.waitReady(context.WithoutCancel(ctx), next, s.answersReady, readyTimeout)
}

// upgrade starts a process beside the present one, and ends that once the new one says yes.
func (s *sidecar) upgrade(ctx context.Context, times int) error {
	old := s.current
	next, err := s.start()
	if err != nil {
		return err
	}
	s.current = next
	_ = s.waitReady(ctx, next, saysYes, upgradeTimeout) // the old process gets SIGTERM in any case
	startedAt := time.Now()
	s.excuseEnd(startedAt, old.terminate(ctx, times))
	return nil
}
