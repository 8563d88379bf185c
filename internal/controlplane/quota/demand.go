package quota

import (
	"math"
	"time"
)

const (
	measureInterval      = int64(500 * time.Millisecond)
	demandAveragingNanos = float64(3 * time.Second)
	idleNanos            = float64(10 * time.Second) // without a request, after which there is no demand
	urgentReportDelay    = int64(20 * time.Millisecond)
)

// demandMeter measures the demand of a node.
type demandMeter struct {
	wanted        Amount // a second, or of a concurrency at a time
	requested     Amount // since measuredAt
	peakInUse     Amount // Concurrency: most at a time since measuredAt, with what was rejected
	lastRequestAt int64
	measuredAt    int64
	admitted      uint64 // requests
	rejected      uint64 // requests
}

// recordRequest counts the amount of a request.
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

// recordRejection counts a rejected request. Of a concurrency, rejected requests alone show how much more is wanted
// than is in use.
func (l *limiter) recordRejection(amount Amount) {
	l.rejected++
	if l.limit.Kind == Concurrency {
		l.requested += amount
		l.peakInUse = max(l.peakInUse, l.used+l.requested)
	}
}

// measureDemand updates what is wanted by the requests since the last measurement, unless that was just now.
func (l *limiter) measureDemand(now int64) {
	elapsed := float64(now - l.measuredAt)
	if elapsed < float64(measureInterval)/2 {
		return
	}
	if l.limit.Kind == Concurrency {
		l.wanted -= Amount(float64(l.wanted) * decayOver(elapsed))
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

// decayOver returns the weight of the newest measurement, of a time in nanoseconds, in the moving average.
func decayOver(elapsed float64) float64 { return 1 - math.Exp(-elapsed/demandAveragingNanos) }

// estimateRate returns the moving average of what is requested a second. A change that is larger than chance
// explains is followed faster, upwards at once.
func (m *demandMeter) estimateRate(elapsed float64) Amount {
	const unit = float64(AmountUnit)
	measured := float64(m.requested) / elapsed * nanosPerSecond
	expected := float64(m.wanted) * elapsed / nanosPerSecond
	excess := float64(m.requested) - expected
	deviation := math.Sqrt(expected * unit) // of a Poisson process
	switch {
	case excess > 2*deviation+2*unit:
		return Amount(measured)
	case -excess > 1.5*deviation+unit/2:
		return (m.wanted + Amount(measured)) / 2
	default:
		return m.wanted + Amount((measured-float64(m.wanted))*decayOver(elapsed))
	}
}

// boundIdleDemand bounds what is wanted after some nanoseconds without a request.
func (l *limiter) boundIdleDemand(idle float64) {
	switch {
	case idle > idleNanos:
		l.wanted = 0
	case l.limit.Kind != Concurrency:
		// A higher rate would have shown a request in that time with a probability of six in seven.
		l.wanted = min(l.wanted, Amount(2*float64(AmountUnit)*nanosPerSecond/max(1, idle)))
	}
}

// Demand returns the report that is to be sent now, if one is due; otherwise the instant at which to ask again, or 0 if
// there is no session.
func (c *Consumer) Demand(now int64) (report Demand, due bool, nextAt int64) {
	if c.session == 0 {
		return Demand{}, false, 0
	}
	interval := c.rules.reportInterval(c.processCount)
	report = Demand{ConfigVersion: c.config.Version, SeenRevision: c.seenRevision, Nodes: map[string]NodeDemand{}}
	changed := c.reportDue || c.lastReportAt == 0
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
	if c.reportDue {
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
	if l.limit.Kind == Window { // what it will have used by the time that its next report takes effect
		horizon := min(l.limit.Window, 4*reportInterval)
		demand.Wanted = l.used + Amount(float64(l.wanted)*float64(horizon)/nanosPerSecond)
	}
	return demand
}

// demandChanged reports whether a demand differs so much from the last one reported that it is worth a report.
func (l *limiter) demandChanged(last, demand NodeDemand) bool {
	change := demand.Wanted - last.Wanted
	if change < 0 {
		change = -change
	}
	switch {
	case change > max(l.limit.minUseful()/2, last.Wanted/5):
		return true
	case demand.Wanted == 0 && last.Wanted != 0:
		return true
	default: // the process had more in use than its quota, and that shrinks
		return last.InUse > l.amount && demand.InUse < last.InUse
	}
}

// ReportSent notes that a report is being sent. ReportFailed must follow if it may not have arrived.
func (c *Consumer) ReportSent(now int64, report Demand) {
	c.lastReport = report
	c.lastReportAt = now
	c.reportDue = false
}

// ReportFailed notes that the last report may not have arrived: it is to be sent again.
func (c *Consumer) ReportFailed() { c.reportDue = true }
