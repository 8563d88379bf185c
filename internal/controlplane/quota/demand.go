package quota

import (
	"math"
	"time"
)

const (
	// measureInterval is the time over which demand is measured before the moving average is updated.
	measureInterval = int64(500 * time.Millisecond)

	// demandAveragingNanos is the time constant of the moving average of demand.
	demandAveragingNanos = float64(3 * time.Second)

	// idleTimeoutNanos is the time without a request after which a node counts as having no demand.
	idleTimeoutNanos = float64(10 * time.Second)

	// urgentReportDelay is the shortest time between a report and an urgent one, such as an acknowledgement.
	urgentReportDelay = int64(20 * time.Millisecond)
)

// demandMeter measures the demand of one process for a node. Amounts requested count whether admitted or rejected.
type demandMeter struct {
	wanted        Amount // per second; for a concurrency, in flight
	requested     Amount // since measuredAt; for a concurrency, of rejected requests only
	peakInUse     Amount // Concurrency: the largest amount in flight since measuredAt, with rejected requests
	lastRequestAt int64  // when a measurement last found requests
	measuredAt    int64
	admitted      uint64 // requests
	rejected      uint64 // requests
}

// recordRequest adds the amount of a request to the demand, before it is known whether the request is admitted.
func (l *limiter) recordRequest(now int64, amount Amount) {
	if now-l.measuredAt >= measureInterval {
		l.measureDemand(now)
	}
	if l.limit.Kind == Concurrency {
		l.peakInUse = max(l.peakInUse, l.used+amount)
		return
	}
	l.requested += amount
}

// recordRejection counts a rejected request. For a concurrency, only rejected requests show how much more is wanted
// than is in use.
func (l *limiter) recordRejection(amount Amount) {
	l.rejected++
	if l.limit.Kind == Concurrency {
		l.requested += amount
		l.peakInUse = max(l.peakInUse, l.used+l.requested)
	}
}

// measureDemand updates the wanted amount from the requests since the last measurement. It does nothing within half a
// measureInterval of that.
func (l *limiter) measureDemand(now int64) {
	elapsed := float64(now - l.measuredAt)
	if elapsed < float64(measureInterval)/2 {
		return
	}
	if l.limit.Kind == Concurrency {
		l.wanted -= Amount(float64(l.wanted) * averagingWeight(elapsed))
		l.wanted = max(l.wanted, l.peakInUse)
	} else {
		l.wanted = l.estimateRate(elapsed)
	}
	if l.requested > 0 || l.peakInUse > 0 {
		l.lastRequestAt = now
	} else {
		l.boundIdleDemand(float64(now - l.lastRequestAt))
	}
	l.requested = 0
	l.peakInUse = l.used
	l.measuredAt = now
}

// averagingWeight returns the weight in the moving average of a measurement over the given number of nanoseconds.
func averagingWeight(elapsed float64) float64 { return 1 - math.Exp(-elapsed/demandAveragingNanos) }

// estimateRate returns the moving average of the amount requested per second. It follows a change that chance does not
// explain faster: a rise at once, a fall by half.
func (m *demandMeter) estimateRate(elapsed float64) Amount {
	const unit = float64(AmountUnit)
	measured := float64(m.requested) / elapsed * nanosPerSecond
	expected := float64(m.wanted) * elapsed / nanosPerSecond
	excess := float64(m.requested) - expected
	deviation := math.Sqrt(expected * unit) // standard deviation of a Poisson process
	switch {
	case excess > 2*deviation+2*unit:
		return Amount(measured)
	case -excess > 1.5*deviation+unit/2:
		return (m.wanted + Amount(measured)) / 2
	default:
		return m.wanted + Amount((measured-float64(m.wanted))*averagingWeight(elapsed))
	}
}

// boundIdleDemand bounds the wanted amount after the given number of nanoseconds without a request.
func (l *limiter) boundIdleDemand(idle float64) {
	switch {
	case idle > idleTimeoutNanos:
		l.wanted = 0
	case l.limit.Kind != Concurrency:
		// At a higher rate, the probability of at least one request in that time is more than six in seven.
		l.wanted = min(l.wanted, Amount(2*float64(AmountUnit)*nanosPerSecond/max(1, idle)))
	}
}

// Demand returns the report to send if one is due. Otherwise nextAt is the instant at which to call Demand again, or 0
// if the process has no session.
func (c *Consumer) Demand(now int64) (report Demand, due bool, nextAt int64) {
	if c.session == 0 {
		return Demand{}, false, 0
	}
	interval := c.rules.reportInterval(c.processCount)
	report = Demand{ConfigVersion: c.config.Version, SeenRevision: c.seenRevision, Nodes: map[string]NodeDemand{}}
	changed := c.urgentReport || c.lastReportAt == 0
	for key, lim := range c.limiters {
		lim.measureDemand(now)
		lim.expireSlots(now, c.rules.MaxClockSkew, c.defect)
		demand := lim.nodeDemand(interval)
		last := c.lastReport.Nodes[key]
		if demand.Wanted == 0 && demand.InUse == 0 && lim.amount == 0 && last == (NodeDemand{}) {
			continue
		}
		changed = changed || lim.demandChanged(last, demand)
		report.Nodes[key] = demand
	}
	wait := interval
	if c.urgentReport {
		wait = min(interval, urgentReportDelay)
	}
	if c.lastReportAt != 0 && now-c.lastReportAt < wait {
		return report, false, c.lastReportAt + wait
	}
	if !changed {
		return report, false, now + interval
	}
	return report, true, 0
}

// nodeDemand returns the demand to report, given the nanoseconds between two reports.
func (l *limiter) nodeDemand(reportInterval int64) NodeDemand {
	demand := NodeDemand{Wanted: l.wanted, InUse: l.used, Admitted: l.admitted, Rejected: l.rejected}
	if l.limit.Kind == Window { // the amount that will have been used by when its next report takes effect
		horizon := min(l.limit.Window, 4*reportInterval)
		demand.Wanted = l.used + Amount(float64(l.wanted)*float64(horizon)/nanosPerSecond)
	}
	return demand
}

// demandChanged reports whether a demand differs enough from the last reported one to be worth a report.
func (l *limiter) demandChanged(last, demand NodeDemand) bool {
	change := demand.Wanted - last.Wanted
	if change < 0 {
		change = -change
	}
	switch {
	case change > max(l.limit.minUsefulAmount()/2, last.Wanted/5):
		return true
	case demand.Wanted == 0 && last.Wanted != 0:
		return true
	default: // the process used more than its quota, which counts as committed, and now uses less
		return last.InUse > l.amount && demand.InUse < last.InUse
	}
}

// ReportSent records that a report is being sent. The caller must call ReportFailed if the report may not have arrived.
func (c *Consumer) ReportSent(now int64, report Demand) {
	c.lastReport = report
	c.lastReportAt = now
	c.urgentReport = false
}

// ReportFailed records that the last report may not have arrived, so that another is due after urgentReportDelay.
func (c *Consumer) ReportFailed() { c.urgentReport = true }
