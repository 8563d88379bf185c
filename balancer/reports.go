package balancer

import (
	"math"
	"strconv"
)

const (
	rttWeight          = 0.25
	serviceWeight      = 1.0 / maxPool
	maxTypicalLoadStep = 2.0  // requests by which one report may exceed the typical load, as it is averaged
	loadMemory         = 10.0 // mean works over which loads change
	maxLateShare       = 0.1  // share of late reports above which averages are used in their place
	shareWeight        = 0.02 // of one sample in a share
	arrivalRTTs        = 5.0  // round trips after which an attempt has surely arrived
	maxRepeatProbes    = 6    // endpoints that are probed twice to learn how often reports are renewed
	repeatProbeChance  = 0.5
	microsPerMilli     = 1000
)

// loadReport is what a load report says.
type loadReport struct {
	held        float64 // requests at the endpoint
	counted     bool    // held counts all; else only the queue was reported, and those at work are assumed
	hasLoad     bool
	serviceTime float64 // microseconds, or -1
}

// parseReport reads the figures of a load report. Negative, infinite and NaN figures are skipped.
func parseReport(fields []Field, load []float32) loadReport {
	report := loadReport{serviceTime: -1}
	queue := -1.0
	for i, f := range fields[:min(len(fields), len(load))] {
		v := float64(load[i])
		if !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		switch f {
		case FieldInflight:
			report.held = v
			report.counted = true
		case FieldQueue:
			queue = v
		case FieldLatency:
			report.serviceTime = microsPerMilli * v
		}
	}
	if !report.counted && queue >= 0 {
		report.held = queue + assumedCores*indicator(queue >= 1)
	}
	report.hasLoad = report.counted || queue >= 0
	return report
}

// recordReport takes an endpoint's answer to a probe into the pool and the averages.
func (b *Balancer) recordReport(now Micros, e *endpoint, latency Micros, load []float32) {
	e.rtt.add(float64(latency), rttWeight)
	report := parseReport(b.settings.Fields, load)
	if report.serviceTime >= 0 {
		b.serviceTime.add(report.serviceTime, serviceWeight)
	}
	if report.hasLoad {
		b.measureReportInterval(now, e, load)
		novelty := 1 - b.reportRelevance(now, e)
		e.hasLoad = true
		e.lastReportAt = now
		b.addToPool(e)
		e.othersLoad = max(0, report.held-float64(e.inflight))
		e.ownAtReport = e.inflight
		// One endpoint that is jammed, or that was probed a moment ago, says little of the others.
		b.typicalLoad.add(min(e.othersLoad, b.typicalLoad.value+maxTypicalLoadStep),
			novelty/float64(min(maxPool, len(b.aperture(now)))))
	}
	if report.counted {
		b.checkReportLate(now, e, report.held)
	}
}

// checkReportLate compares a report with this balancer's own requests there: one that counts fewer is late, unless
// some are still on their way. If that happens often the pool misleads, and averages are used in its place.
func (b *Balancer) checkReportLate(now Micros, e *endpoint, held float64) {
	own := e.inflight - e.streaming
	if own <= 0 || float64(now-e.lastSendAt) <= arrivalRTTs*e.rtt.value {
		return
	}
	b.lateReports.add(indicator(held+0.5 < float64(own)), shareWeight)
	late := b.lateReports.value
	if late > maxLateShare && !b.reportsLate || late < maxLateShare/3 && b.reportsLate {
		b.reportsLate = !b.reportsLate
		b.log(now, topicReports, "load reports late: "+strconv.FormatBool(b.reportsLate)+"; "+
			strconv.Itoa(int(100*late))+"% count fewer than we have there")
	}
}

// measureReportInterval learns how often reports are renewed. At first some endpoints are probed again after a short
// while: a quiet balancer has no requests of its own there by which to see that a report is late.
func (b *Balancer) measureReportInterval(now Micros, e *endpoint, load []float32) {
	var sum float32
	for i, v := range load {
		sum += v * float32(i+1)
	}
	gap := float64(now - e.lastReportAt)
	if e.hasLoad && gap < 2*recentWorks*b.meanWork.value && (sum > 0 || e.reportSum > 0) {
		b.reportTime += gap
		b.reportChanges += indicator(sum != e.reportSum)
	}
	e.reportSum = sum
	if b.repeatProbes < maxRepeatProbes && sum > 0 && b.rng.float() < repeatProbeChance {
		b.repeatProbes++
		b.repeatProbed = e.ID
		b.out.Timer(1+Micros(recentWorks*b.meanWork.value/2), tokenRepeatProbe)
	}
}

// meanReportInterval is the mean time between two reports of an endpoint, as far as it is known.
func (b *Balancer) meanReportInterval() float64 { return b.reportTime / max(1, b.reportChanges) }

// reportRelevance is how much e's latest report still says of its load: 1 for all, 0 for nothing.
func (b *Balancer) reportRelevance(now Micros, e *endpoint) float64 {
	age := float64(now-e.lastReportAt) + b.meanReportInterval()/2
	return indicator(e.hasLoad) * math.Exp(-age/(loadMemory*b.meanWork.value))
}
