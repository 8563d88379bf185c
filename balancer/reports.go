package balancer

import (
	"math"
	"strconv"
)

const (
	rttWeight          = 0.25          // of a probe's round trip in the average
	serviceTimeWeight  = 1.0 / maxPool // of one report in the average
	maxTypicalLoadStep = 2.0           // requests above the typical load that one report counts for, at most
	loadDecayWorks     = 10.0          // time constant in which a report loses relevance, in mean works
	maxLateShare       = 0.1           // share of late reports above which averages replace reports
	shareSampleWeight  = 0.02          // of one sample in the average of a share
	arrivalRTTs        = 5.0           // round trips after which an attempt counts as arrived at the endpoint
	maxRepeatProbes    = 6             // endpoints that are probed twice to learn how often reports change
	repeatProbeChance  = 0.5
	microsPerMilli     = 1000
)

// loadReport is a parsed load report.
type loadReport struct {
	inflight         float64 // requests in flight or queued at the endpoint
	inflightReported bool    // inflight was reported; else it is estimated from the queue
	hasLoad          bool    // inflight is known
	serviceTime      float64 // microseconds; -1 if not reported
}

// parseReport reads a load report whose figures are named by fields. Negative, infinite and NaN figures are skipped.
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
			report.inflight = v
			report.inflightReported = true
		case FieldQueue:
			queue = v
		case FieldLatency:
			report.serviceTime = microsPerMilli * v
		}
	}
	if !report.inflightReported && queue >= 0 {
		report.inflight = queue + assumedCores*indicator(queue >= 1)
	}
	report.hasLoad = report.inflightReported || queue >= 0
	return report
}

// recordReport handles a load report of e: it updates the averages and, if the report has a load, the pool. latency is
// the round-trip time of the probe.
func (b *Balancer) recordReport(now Micros, e *endpoint, latency Micros, load []float32) {
	e.rtt.add(float64(latency), rttWeight)
	report := parseReport(b.settings.Fields, load)
	if report.serviceTime >= 0 {
		b.serviceTime.add(report.serviceTime, serviceTimeWeight)
	}
	if report.hasLoad {
		b.measureReportInterval(now, e, load)
		novelty := 1 - b.reportRelevance(now, e)
		e.hasLoad = true
		e.lastReportAt = now
		b.addToPool(e)
		e.othersLoad = max(0, report.inflight-float64(e.begun()))
		e.ownAtReport = e.begun()
		// One overloaded endpoint, or one that was probed a moment ago, says little about the others.
		weight := novelty / float64(min(maxPool, len(b.aperture(now))))
		b.typicalLoad.add(min(e.othersLoad, b.typicalLoad.value+maxTypicalLoadStep), weight)
		b.ownLoad.add(float64(e.begun()), weight)
	}
	if report.inflightReported {
		b.checkReportLate(now, e, report.inflight)
	}
}

// checkReportLate compares a report with this balancer's own requests at the endpoint. A report of fewer requests is
// late, unless some of them may not have arrived yet. If many reports are late, averages replace them in load.
func (b *Balancer) checkReportLate(now Micros, e *endpoint, reported float64) {
	own := e.inflight - e.streaming
	if own <= 0 || float64(now-e.lastSendAt) <= arrivalRTTs*e.rtt.value {
		return
	}
	b.lateReports.add(indicator(reported+0.5 < float64(own)), shareSampleWeight)
	late := b.lateReports.value
	if late > maxLateShare && !b.reportsLate || late < maxLateShare/3 && b.reportsLate {
		b.reportsLate = !b.reportsLate
		b.log(now, topicReports, "load reports late: "+strconv.FormatBool(b.reportsLate)+"; "+
			strconv.Itoa(int(100*late))+"% count fewer than we have there")
	}
}

// measureReportInterval learns how often the endpoints renew their reports. After the start some endpoints are probed
// twice in short succession, since a balancer with little traffic has no requests of its own at an endpoint by which to
// see that a report is late.
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
		b.actions.Timer(1+Micros(recentWorks*b.meanWork.value/2), tokenRepeatProbe)
	}
}

// meanReportInterval returns the mean time, in microseconds, between changes of an endpoint's report; 0 before any
// observation.
func (b *Balancer) meanReportInterval() float64 { return b.reportTime / max(1, b.reportChanges) }

// reportRelevance returns the weight of e's latest report in the estimate of its load: 1 for a new report, 0 for none.
func (b *Balancer) reportRelevance(now Micros, e *endpoint) float64 {
	age := float64(now-e.lastReportAt) + b.meanReportInterval()/2
	return indicator(e.hasLoad) * math.Exp(-age/(loadDecayWorks*b.meanWork.value))
}
