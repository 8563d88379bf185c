package model

import (
	"fmt"
	"slices"

	"birchmoor/internal/lab/eventqueue"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/trace"
)

// targets returns the numbers of the servers that a fault affects: the listed ones, or those of its zone, or all. With
// a share below 1 it draws that share of them, except for the kinds whose share is one of requests.
func (w *World) targets(fault *scenario.Fault) []int {
	servers := fault.Servers
	if len(servers) == 0 {
		zoneIndex := -1
		for i, name := range w.Scenario.Fleet.Zones {
			if name == fault.Zone {
				zoneIndex = i
			}
		}
		for _, s := range w.Servers {
			if zoneIndex < 0 || s.Zone == zoneIndex {
				servers = append(servers, s.Number)
			}
		}
	}
	if fault.Share > 0 && fault.Share < 1 && fault.Kind != "gray-errors" && fault.Kind != "heavy-tail" {
		stream := w.Seed.Stream("targets", uint64(fault.At))
		servers = append([]int(nil), servers...)
		stream.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
		servers = servers[:max(1, int(fault.Share*float64(len(servers))+0.5))]
	}
	return servers
}

// scheduleFault schedules all occurrences of a fault, with its lag and a second in between. Faults of kind cold are
// only recorded here, because Prepare has started their servers cold.
func (w *World) scheduleFault(fault *scenario.Fault, number int) {
	if fault.Kind == "cold" {
		w.recordFault(fault, number, w.scenarioStart, fault.Duration.Micros())
		return
	}
	start := w.scenarioStart + fault.At.Micros()
	for range fault.Repeat {
		w.scheduleOccurrence(fault, number, start)
		start += fault.Duration.Micros() + fault.Lag.Micros() + eventqueue.Second
	}
}

// recordFault records the beginning and the end of a fault's occurrence in the trace.
func (w *World) recordFault(fault *scenario.Fault, number int, start, length Micros) {
	note := fmt.Sprintf("%s #%d", fault.Kind, number)
	w.Queue.At(start, func() { w.emit(trace.Event{At: w.Queue.Now(), Kind: trace.FaultBegan, Note: note}) })
	w.Queue.At(start+length, func() { w.emit(trace.Event{At: w.Queue.Now(), Kind: trace.FaultEnded, Note: note}) })
}

const (
	// Time from the beginning of a drain until the server's process ends, for a restart without lag.
	defaultStopDelay = 3 * eventqueue.Second
	// Time, less a second, from an administrative drain until operators restart the server, without lag.
	restartDelay = eventqueue.Second / 2
)

// scheduleOccurrence schedules one occurrence of a fault, which begins at start.
func (w *World) scheduleOccurrence(fault *scenario.Fault, number int, start Micros) {
	length, interval := fault.Duration.Micros(), fault.Interval.Micros()
	targets := w.targets(fault)
	discovery := &w.Scenario.Discovery
	lastServerDelay := Micros(len(targets)-1) * interval * boolToMicros(actsOnServers(fault))
	w.recordFault(fault, number, start, length+lastServerDelay)
	// toggle calls do for each server twice: with on true when the fault begins there, and false when it ends.
	toggle := func(do func(s *Server, on bool)) {
		for i, n := range targets {
			s, serverStart := w.Servers[n], start+Micros(i)*interval
			w.Queue.At(serverStart, func() { do(s, true) })
			w.Queue.At(serverStart+length, func() { do(s, false) })
		}
	}
	sign := func(on bool) int { return 2*int(boolToMicros(on)) - 1 }
	switch fault.Kind {
	case "discovery-down", "asleep":
		w.Queue.At(start, func() { w.Discovery.setDown(true) })
		w.Queue.At(start+length, func() { w.Discovery.setDown(false) })
	case "discovery-stale":
		w.Queue.At(start, func() { w.Discovery.extraLag += fault.Lag.Micros() })
		w.Queue.At(start+length, func() { w.Discovery.extraLag -= fault.Lag.Micros() })
	case "drain":
		toggle(func(s *Server, on bool) {
			if on {
				w.Discovery.scheduleChange(s.Number, trace.Draining, 0, discovery.RemovalDelay.Micros())
			} else {
				w.Discovery.scheduleChange(s.Number, trace.Up, w.listedStart(s), discovery.AddDelay.Micros())
			}
		})
	case "restart":
		stopDelay := fault.Lag.Micros()
		if stopDelay == 0 {
			stopDelay = defaultStopDelay
		}
		toggle(func(s *Server, on bool) {
			if on {
				w.Discovery.scheduleChange(s.Number, trace.Draining, 0, discovery.RemovalDelay.Micros()/3)
				w.Queue.After(min(stopDelay, length), s.stop)
			} else {
				w.restart(s)
				w.Discovery.scheduleChange(s.Number, trace.Up, w.listedStart(s), discovery.AddDelay.Micros())
			}
		})
	case "crash":
		toggle(func(s *Server, on bool) {
			if on {
				s.stop()
				w.Discovery.scheduleChange(s.Number, trace.Removed, 0, discovery.RemovalDelay.Micros())
			} else {
				w.restart(s)
				w.Discovery.scheduleChange(s.Number, trace.Up, w.listedStart(s), max(discovery.AddDelay.Micros(),
					discovery.RemovalDelay.Micros()))
			}
		})
	case "maintain":
		stopDelay := fault.Lag.Micros()
		if stopDelay == 0 {
			stopDelay = restartDelay + eventqueue.Second
		}
		toggle(func(s *Server, on bool) {
			if on {
				w.host.SetAdministrativeDrain(s.Number, true)
				w.Queue.After(min(stopDelay, length/2), func() { w.restart(s) })
				w.Discovery.scheduleChange(s.Number, trace.Up, w.Queue.Now()+min(stopDelay, length/2),
					min(stopDelay, length/2)+discovery.AddDelay.Micros())
			} else {
				w.host.SetAdministrativeDrain(s.Number, false)
			}
		})
	case "hang":
		toggle(func(s *Server, on bool) { s.advance(); s.HangFaults += sign(on); s.reschedule() })
	case "slow", "gray-slow":
		toggle(func(s *Server, on bool) {
			s.advance()
			if fault.Kind == "gray-slow" {
				s.FalseIdleFaults += sign(on)
			}
			if on {
				s.SlowdownFactor *= fault.Factor
			} else {
				s.SlowdownFactor /= fault.Factor
			}
			s.reschedule()
		})
	case "choke":
		toggle(func(s *Server, on bool) { s.advance(); s.forcedChokes += sign(on); s.reschedule() })
	case "gray-errors":
		toggle(func(s *Server, on bool) {
			if on {
				s.GrayErrorFaults = append(s.GrayErrorFaults, fault)
				return
			}
			for i, g := range s.GrayErrorFaults {
				if g == fault {
					s.GrayErrorFaults = append(s.GrayErrorFaults[:i:i], s.GrayErrorFaults[i+1:]...)
					break
				}
			}
		})
	case "burst", "heavy-tail": // applied when arrivals are drawn
	default:
		w.Queue.At(start, func() { w.host.SetFault(fault, true) })
		w.Queue.At(start+length, func() { w.host.SetFault(fault, false) })
	}
}

// listedStart returns the instant of a server's start as discovery lists it: 0 for a start before the run.
func (w *World) listedStart(s *Server) Micros {
	if s.StartedAt < 0 {
		return 0
	}
	return max(1, s.StartedAt)
}

// restart stops a server's process and starts a new one, which is cold.
func (w *World) restart(s *Server) {
	s.stop()
	s.start(false)
	w.host.ServerStarted(s.Number)
}

func boolToMicros(yes bool) Micros {
	if yes {
		return 1
	}
	return 0
}

// actsOnServers reports whether a fault begins at one server after the other, an interval apart.
func actsOnServers(fault *scenario.Fault) bool {
	switch fault.Kind {
	case "drain", "restart", "crash", "maintain", "hang", "slow", "gray-slow", "gray-errors", "choke":
		return true
	}
	return false
}

// Links returns the links that a network fault affects, as pairs of sidecar and server.
func (w *World) Links(fault *scenario.Fault) (links [][2]int) {
	sidecars := fault.Sidecars
	if len(sidecars) == 0 {
		for n := range w.Scenario.Fleet.Sidecars {
			sidecars = append(sidecars, n)
		}
	}
	for _, sidecar := range sidecars {
		for _, server := range w.targets(fault) {
			links = append(links, [2]int{sidecar, server})
		}
	}
	return links
}

// Sidecars returns the sidecars that a fault affects: the listed ones, or a share drawn from all, in ascending order.
func (w *World) Sidecars(fault *scenario.Fault) []int {
	if len(fault.Sidecars) > 0 {
		return fault.Sidecars
	}
	all := make([]int, w.Scenario.Fleet.Sidecars)
	for i := range all {
		all[i] = i
	}
	if fault.Share > 0 && fault.Share < 1 {
		stream := w.Seed.Stream("targets", uint64(fault.At))
		stream.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:max(1, int(fault.Share*float64(len(all))+0.5))]
		slices.Sort(all)
	}
	return all
}
