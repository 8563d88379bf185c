package checker

import "birchmoor/internal/lab/trace"

type sidecarServer struct{ sidecar, server int32 }

// exclusions are the reasons, as reported to one sidecar, for which it must not send to one server.
type exclusions struct {
	byDiscovery exclusion
	byOperator  exclusion
}

type exclusion struct {
	active bool
	since  Micros // meaningful while active
}

// begin starts the exclusion; a repeated report does not extend its grace period.
func (x *exclusion) begin(at Micros) {
	if x.active {
		return
	}
	x.active = true
	x.since = at
}

func (x *exclusion) end() { x.active = false }

// isViolatedAt reports whether an attempt at an instant comes after the exclusion's grace period.
func (x *exclusion) isViolatedAt(at, grace Micros) bool { return x.active && at > x.since+grace }

// checkDrain checks an attempt against what had been reported to its sidecar.
func (c *Checker) checkDrain(e *trace.Event) {
	excluded := c.exclusions[sidecarServer{e.Sidecar, e.Server}]
	grace := c.settings.DrainGrace + c.settings.ClockSlack
	switch {
	case excluded.byOperator.isViolatedAt(e.At, grace):
		c.addViolation(TrafficAfterDrain, e, "%d ms after operators took the server out",
			milliseconds(e.At-excluded.byOperator.since))
	case excluded.byDiscovery.isViolatedAt(e.At, grace):
		c.addViolation(TrafficAfterDrain, e, "%d ms after the sidecar was told",
			milliseconds(e.At-excluded.byDiscovery.since))
	}
}

// handleNotice records what discovery or an operator reported of a server to a sidecar.
func (c *Checker) handleNotice(e *trace.Event) {
	key := sidecarServer{e.Sidecar, e.Server}
	excluded := c.exclusions[key]
	switch e.State {
	case trace.Up:
		excluded.byDiscovery.end()
	case trace.Draining, trace.Removed:
		excluded.byDiscovery.begin(e.At)
	case trace.DrainedByOperator:
		excluded.byOperator.begin(e.At)
	case trace.ReleasedByOperator:
		excluded.byOperator.end()
	}
	c.exclusions[key] = excluded
}

func milliseconds(d Micros) int64 { return d / 1000 }
