package core

import (
	"context"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/handover"
)

const (
	maxReportedEjections  = 1024 // per report
	ejectionReportTimeout = 500 * time.Millisecond
)

// ejectionReporter sends ejections to the other process of this sidecar during a handover. It does not block.
type ejectionReporter func([]handover.Ejection)

// ReportEjectionsTo begins to report the endpoints that the module has ejected to the other process of this sidecar,
// until stop is called. send transmits one report.
func (l *EventLoop) ReportEjectionsTo(send func(context.Context, []handover.Ejection) error) (stop func()) {
	report := newEjectionReporter(send)
	l.ejectionReporter.Store(&report)
	return func() { l.ejectionReporter.CompareAndSwap(&report, nil) }
}

// newEjectionReporter returns a reporter that sends one report at a time. Reports that come while another is being sent
// are dropped, since the loop makes the next one within gaugeInterval.
func newEjectionReporter(send func(context.Context, []handover.Ejection) error) ejectionReporter {
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
			_ = send(ctx, ejections) // without the report the other process ejects the endpoint by its own attempts
		}()
	}
}

// reportEjections reports the current ejections if the sidecar has another process.
func (l *EventLoop) reportEjections(now balancer.Micros) {
	report := l.ejectionReporter.Load()
	if report == nil {
		return
	}
	var ejections []handover.Ejection
	l.balancer.Ejections(now, func(number uint32, remaining balancer.Micros) {
		if endpoint := l.endpointsByNumber[number]; endpoint != nil && len(ejections) < maxReportedEjections {
			ejections = append(ejections, handover.Ejection{ID: endpoint.entry.ID, RemainingMicros: remaining})
		}
	})
	if len(ejections) > 0 {
		(*report)(ejections)
	}
}

// ApplyEjections passes the ejections of the other process of this sidecar on to the module. Endpoints that are not
// listed here are ignored.
func (l *EventLoop) ApplyEjections(ejections []handover.Ejection) {
	l.post(func(now balancer.Micros) {
		for _, ejection := range ejections[:min(len(ejections), maxReportedEjections)] {
			if endpoint := l.endpointsByName[ejection.ID]; endpoint != nil && ejection.RemainingMicros > 0 {
				l.balancer.PeerEjected(now, endpoint.number, ejection.RemainingMicros)
			}
		}
	})
}
