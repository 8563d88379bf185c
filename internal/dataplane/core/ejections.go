package core

import (
	"context"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/handover"
)

const (
	maxReportedEjections  = 1024 // in one report
	ejectionReportTimeout = 500 * time.Millisecond
)

// ejectionReporter passes ejections on to the process beside this one.
type ejectionReporter func([]handover.Ejection)

// ReportEjectionsTo reports the endpoints that the module has ejected to the process beside this one, until stop is
// called.
func (l *EventLoop) ReportEjectionsTo(eject func(context.Context, []handover.Ejection) error) (stop func()) {
	report := newEjectionReporter(eject)
	l.peer.Store(&report)
	return func() { l.peer.CompareAndSwap(&report, nil) }
}

// newEjectionReporter returns a reporter that makes one report at a time. Those in the meantime are dropped, since the
// next follows soon.
func newEjectionReporter(eject func(context.Context, []handover.Ejection) error) ejectionReporter {
	busy := make(chan struct{}, 1)
	return func(ejections []handover.Ejection) {
		select {
		case busy <- struct{}{}:
		default:
			return
		}
		go func() {
			defer func() { <-busy }()
			ctx, cancel := context.WithTimeout(context.Background(), ejectionReportTimeout)
			defer cancel()
			_ = eject(ctx, ejections) // a process that it does not reach finds out by itself
		}()
	}
}

// reportEjections makes a report if there is a process beside this one.
func (l *EventLoop) reportEjections(now balancer.Micros) {
	report := l.peer.Load()
	if report == nil {
		return
	}
	var ejections []handover.Ejection
	l.balancer.Ejections(now, func(number uint32, left balancer.Micros) {
		if e := l.byNumber[number]; e != nil && len(ejections) < maxReportedEjections {
			ejections = append(ejections, handover.Ejection{ID: e.entry.ID, RemainingMicros: left})
		}
	})
	if len(ejections) > 0 {
		(*report)(ejections)
	}
}

// ApplyEjections passes on to the module what the process beside this one has ejected.
func (l *EventLoop) ApplyEjections(ejections []handover.Ejection) {
	l.post(func(now balancer.Micros) {
		for _, ejection := range ejections[:min(len(ejections), maxReportedEjections)] {
			if e := l.byName[ejection.ID]; e != nil && ejection.RemainingMicros > 0 {
				l.balancer.PeerEjected(now, e.number, ejection.RemainingMicros)
			}
		}
	})
}
