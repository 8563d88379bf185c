package model

import (
	"fmt"
	"slices"

	"birchmoor/internal/lab/eventqueue"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/trace"
)

// targets returns the numbers of the servers that a fault is about.
func (w *World) targets(f *scenario.Fault) []int {
	list := f.Servers
	if len(list) == 0 {
		zone := -1
		for i, z := range w.S.Fleet.Zones {
			if z == f.Zone {
				zone = i
			}
		}
		for _, s := range w.Servers {
			if zone < 0 || s.Zone == zone {
				list = append(list, s.Number)
			}
		}
	}
	if f.Share > 0 && f.Share < 1 && f.Kind != "gray-errors" && f.Kind != "heavy-tail" {
		d := w.Seed.Stream("targets", uint64(f.At))
		list = append([]int(nil), list...)
		d.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:max(1, int(f.Share*float64(len(list))+0.5))]
	}
	return list
}

// fault arranges a fault, as often as it repeats.
func (w *World) fault(f *scenario.Fault, number int) {
	if f.Kind == "cold" {
		w.mark(f, number, w.origin, f.For.Micros())
		return
	}
	at := w.origin + f.At.Micros()
	for range f.Repeat {
		w.once(f, number, at)
		at += f.For.Micros() + f.Lag.Micros() + eventqueue.Second
	}
}

// mark puts a fault's beginning and end into the trace.
func (w *World) mark(f *scenario.Fault, number int, at, length Micros) {
	note := fmt.Sprintf("%s #%d", f.Kind, number)
	w.Q.At(at, func() { w.emit(trace.Event{At: w.Q.Now(), Kind: trace.Began, Note: note}) })
	w.Q.At(at+length, func() { w.emit(trace.Event{At: w.Q.Now(), Kind: trace.Ended, Note: note}) })
}

const (
	stopAfter = 3 * eventqueue.Second // a server that restarts ends this long after it began to drain, unless told
	outGrace  = eventqueue.Second / 2 // operators restart a server this long after they took it out
)

func (w *World) once(f *scenario.Fault, number int, at Micros) {
	length, every := f.For.Micros(), f.Every.Micros()
	targets := w.targets(f)
	d := &w.S.Discovery
	last := Micros(len(targets)-1) * every * share(onServers(f))
	w.mark(f, number, at, length+last)
	// toggle has something done at the beginning and undone at the end, for each server.
	toggle := func(do func(s *Server, on bool)) {
		for i, n := range targets {
			s, from := w.Servers[n], at+Micros(i)*every
			w.Q.At(from, func() { do(s, true) })
			w.Q.At(from+length, func() { do(s, false) })
		}
	}
	sign := func(on bool) int { return 2*int(share(on)) - 1 }
	switch f.Kind {
	case "discovery-down", "asleep":
		w.Q.At(at, func() { w.Disc.setDown(true) })
		w.Q.At(at+length, func() { w.Disc.setDown(false) })
	case "discovery-stale":
		w.Q.At(at, func() { w.Disc.lag += f.Lag.Micros() })
		w.Q.At(at+length, func() { w.Disc.lag -= f.Lag.Micros() })
	case "drain":
		toggle(func(s *Server, on bool) {
			if on {
				w.Disc.change(s.Number, trace.Draining, 0, d.Notice.Micros())
			} else {
				w.Disc.change(s.Number, trace.Up, w.startOf(s), d.Add.Micros())
			}
		})
	case "restart":
		stop := f.Lag.Micros()
		if stop == 0 {
			stop = stopAfter
		}
		toggle(func(s *Server, on bool) {
			if on {
				w.Disc.change(s.Number, trace.Draining, 0, d.Notice.Micros()/3)
				w.Q.After(min(stop, length), s.stop)
			} else {
				w.restart(s)
				w.Disc.change(s.Number, trace.Up, w.startOf(s), d.Add.Micros())
			}
		})
	case "crash":
		toggle(func(s *Server, on bool) {
			if on {
				s.stop()
				w.Disc.change(s.Number, trace.Gone, 0, d.Notice.Micros())
			} else {
				w.restart(s)
				w.Disc.change(s.Number, trace.Up, w.startOf(s), max(d.Add.Micros(), d.Notice.Micros()))
			}
		})
	case "maintain":
		stop := f.Lag.Micros()
		if stop == 0 {
			stop = outGrace + eventqueue.Second
		}
		toggle(func(s *Server, on bool) {
			if on {
				w.host.Operate(s.Number, true)
				w.Q.After(min(stop, length/2), func() { w.restart(s) })
				w.Disc.change(s.Number, trace.Up, w.Q.Now()+min(stop, length/2), min(stop, length/2)+d.Add.Micros())
			} else {
				w.host.Operate(s.Number, false)
			}
		})
	case "hang":
		toggle(func(s *Server, on bool) { s.advance(); s.Hung += sign(on); s.retime() })
	case "slow", "gray-slow":
		toggle(func(s *Server, on bool) {
			s.advance()
			if f.Kind == "gray-slow" {
				s.FalseIdle += sign(on)
			}
			if on {
				s.Slower *= f.Factor
			} else {
				s.Slower /= f.Factor
			}
			s.retime()
		})
	case "choke":
		toggle(func(s *Server, on bool) { s.advance(); s.forceChoke += sign(on); s.retime() })
	case "gray-errors":
		toggle(func(s *Server, on bool) {
			if on {
				s.Gray = append(s.Gray, f)
				return
			}
			for i, g := range s.Gray {
				if g == f {
					s.Gray = append(s.Gray[:i:i], s.Gray[i+1:]...)
					break
				}
			}
		})
	case "burst", "heavy-tail": // drawn with the arrivals
	default:
		w.Q.At(at, func() { w.host.Fault(f, true) })
		w.Q.At(at+length, func() { w.host.Fault(f, false) })
	}
}

// startOf is what discovery is told of a server's start.
func (w *World) startOf(s *Server) Micros {
	if s.Since < 0 {
		return 0
	}
	return max(1, s.Since)
}

// restart ends a server's process and starts a new one, which is cold.
func (w *World) restart(s *Server) {
	s.stop()
	s.start(false)
	w.host.ServerStarted(s.Number)
}

func share(yes bool) Micros {
	if yes {
		return 1
	}
	return 0
}

// onServers says whether a fault goes from server to server.
func onServers(f *scenario.Fault) bool {
	switch f.Kind {
	case "drain", "restart", "crash", "maintain", "hang", "slow", "gray-slow", "gray-errors", "choke":
		return true
	}
	return false
}

// Links lists the links, as pairs of sidecar and server, that a fault of the network is about.
func (w *World) Links(f *scenario.Fault) (links [][2]int) {
	sidecars := f.Sidecars
	if len(sidecars) == 0 {
		for n := range w.S.Fleet.Sidecars {
			sidecars = append(sidecars, n)
		}
	}
	for _, c := range sidecars {
		for _, s := range w.targets(f) {
			links = append(links, [2]int{c, s})
		}
	}
	return links
}

// Sidecars lists the sidecars that a fault is about: those that it names, or its share of all, drawn.
func (w *World) Sidecars(f *scenario.Fault) []int {
	if len(f.Sidecars) > 0 {
		return f.Sidecars
	}
	all := make([]int, w.S.Fleet.Sidecars)
	for i := range all {
		all[i] = i
	}
	if f.Share > 0 && f.Share < 1 {
		d := w.Seed.Stream("targets", uint64(f.At))
		d.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:max(1, int(f.Share*float64(len(all))+0.5))]
		slices.Sort(all)
	}
	return all
}
