package balancer

import (
	"math"
	"slices"
	"strconv"
)

// parseReport returns the load that a report tells (counted: all that the endpoint holds; else only
// those that wait,
// and those at work assumed), if it tells any, and its service time in microseconds or -1. Figures
// that make no
// sense, NaN too, are passed over.
func parseReport(fields []Field, load []float32) (held, service float64, counted, ok bool) {
	service = -1
	queue := -1.0
	for i, f := range fields[:min(len(fields), len(load))] {
		v := float64(load[i])
		if !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		switch f {
		case FieldInflight:
			held, counted = v, true
		case FieldQueue:
			queue = v
		case FieldLatency:
			service = 1000 * v
		}
	}
	if !counted && queue >= 0 {
		held = queue + assumedCores*indicator(queue >= 1)
	}
	return held, service, counted, counted || queue >= 0
}

// recordReport puts a probe's answer into the pool.
func (b *Balancer) recordReport(now Micros, e *endpoint, latency Micros, load []float32) {
	e.rtt.add(float64(latency), 0.25)
	held, service, counted, ok := parseReport(b.settings.Fields, load)
	if service >= 0 {
		b.serviceTime.add(service, 1.0/maxPool)
	}
	if ok {
		b.measureReportInterval(now, e, load)
		news := 1 - b.reportRelevance(now, e)
		e.hasLoad, e.lastReportAt = true, now
		if at := slices.Index(b.pool, e); at >= 0 {
			b.pool = slices.Delete(b.pool, at, at+1)
		} else if len(b.pool) == maxPool {
			b.pool = slices.Delete(b.pool, 0, 1)
		}
		b.pool = append(b.pool, e)
		e.othersLoad, e.ownAtReport = max(0, held-float64(e.inflight)), e.inflight
		// One jammed endpoint, or one asked again, says little of the others.
		b.typicalLoad.add(min(e.othersLoad, b.typicalLoad.value+maxTypicalLoadStep), news/float64(min(maxPool,
			len(b.aperture(now)))))
	}
	// An answer that counts fewer than we alone have there is late, unless some are
	// still on their way. If that happens often, the pool misleads: averages serve then.
	if own := e.inflight - e.streaming; counted && own > 0 &&
		float64(now-e.lastSendAt) > arrivalRTTs*e.rtt.value {
		b.lateReports.add(indicator(held+0.5 < float64(own)), shareWeight)
		if b.lateReports.value > maxLateShare && !b.reportsLate || b.lateReports.value < maxLateShare/3 &&
			b.reportsLate {
			b.reportsLate = !b.reportsLate
			b.log(now, "lag", "load reports late: "+strconv.FormatBool(b.reportsLate)+"; "+
				strconv.Itoa(int(100*b.lateReports.value))+"% count fewer than we have there")
		}
	}
}

// measureReportInterval learns how often reports are made anew: the same endpoint is asked again after a
// short while,
// at first each time. A quiet balancer has no sends of its own there by which to see a late report.
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
	if b.repeatProbes < maxRepeatProbes && sum > 0 && b.rng.float() < 0.5 {
		b.repeatProbes++
		b.repeatProbed = e.ID
		b.out.Timer(1+Micros(recentWorks*b.meanWork.value/2), tokenCheck)
	}
}

// meanReportInterval is the mean time between two reports of an endpoint, as far as it is known.
func (b *Balancer) meanReportInterval() float64 { return b.reportTime / max(1, b.reportChanges) }

// reportRelevance is how much e's latest answer tells of its load yet: 1 for all, 0 for nothing.
func (b *Balancer) reportRelevance(now Micros, e *endpoint) float64 {
	age := float64(now-e.lastReportAt) + b.meanReportInterval()/2
	return indicator(e.hasLoad) * math.Exp(-age/(loadMemory*b.meanWork.value))
}
