package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Action is a fault injected into a daemon, or the drain of a server.
type Action string

// Actions of an event. Their values are part of stored schedules.
const (
	Terminate Action = "terminate" // SIGTERM, SIGKILL at the earliest moment that the platform allows, and a start
	Kill      Action = "kill"      // SIGKILL without a SIGTERM before it, and a start
	Stop      Action = "stop"      // SIGSTOP, and SIGCONT after ForMs
	Reload    Action = "reload"    // SIGHUP
	Quiet     Action = "quiet"     // the daemon's discovery reports no changes for ForMs
	Cut       Action = "cut"       // the daemon and the others receive nothing from each other for ForMs
	FullDisk  Action = "full-disk" // the daemon's files cannot grow for ForMs
	Drain     Action = "drain"     // a server drains, and is up with a new process after drainGrace and ForMs
)

// Event is one entry of a schedule.
type Event struct {
	AtMs   int64  `json:"at_ms"`
	Action Action `json:"action"`
	Number int    `json:"number"`           // of the daemon, or of the server for Drain
	ForMs  int64  `json:"for_ms,omitempty"` // see Action
	Times  int    `json:"times,omitempty"`  // how often the signal is sent within seriesSpan; 0 means once

	// ReloadMeanwhile sends SIGHUP during a Terminate.
	ReloadMeanwhile bool `json:"reload_meanwhile,omitempty"`
	// DuringStart repeats a Terminate before the new process is ready.
	DuringStart bool `json:"during_start,omitempty"`
}

// Schedule lists the events of a run. It is stored as JSON and can be shortened by hand.
type Schedule struct {
	Seed            uint64  `json:"seed"`
	FillDescriptors bool    `json:"crowd"` // idle clients use up the daemons' descriptors
	LastMs          int64   `json:"last_ms"`
	Events          []Event `json:"events"`
}

const (
	seriesSpan           = 100 * time.Millisecond
	maxSignals           = 4 // of a series
	meanPause            = 700 * time.Millisecond
	maxFaultDuration     = 2500 * time.Millisecond
	fillDescriptorsEvery = 4 // seeds
)

// actionWeights determine how often each action is drawn, relative to the others.
var actionWeights = []struct {
	action Action
	weight int
}{
	{Terminate, 5}, {Kill, 2}, {Stop, 3}, {Reload, 3}, {Quiet, 1}, {Cut, 2}, {FullDisk, 1}, {Drain, 3},
}

// Draw draws the schedule of a seed.
func Draw(seed uint64, length time.Duration, daemons, servers int) *Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	s := &Schedule{Seed: seed, FillDescriptors: seed%fillDescriptorsEvery == 0, LastMs: length.Milliseconds()}
	for at := meanPause; at < length; at += meanPause/2 + time.Duration(rng.Int64N(int64(meanPause))) {
		e := Event{
			AtMs:   at.Milliseconds(),
			Action: drawAction(rng),
			ForMs:  1 + rng.Int64N(maxFaultDuration.Milliseconds()),
			Times:  1 + rng.IntN(maxSignals),
		}
		e.Number = rng.IntN(daemons)
		if e.Action == Drain {
			e.Number = rng.IntN(servers)
		}
		e.ReloadMeanwhile = rng.IntN(2) == 0
		e.DuringStart = rng.IntN(4) == 0
		s.Events = append(s.Events, e.normalized())
	}
	return s
}

// normalized returns the event without the parameters that its action does not use.
func (e Event) normalized() Event {
	if !slices.Contains([]Action{Stop, Quiet, Cut, FullDisk, Drain}, e.Action) {
		e.ForMs = 0
	}
	if !slices.Contains([]Action{Terminate, Reload, Stop}, e.Action) {
		e.Times = 0
	}
	if e.Action != Terminate {
		e.ReloadMeanwhile = false
		e.DuringStart = false
	}
	return e
}

func drawAction(rng *rand.Rand) Action {
	sum := 0
	for _, x := range actionWeights {
		sum += x.weight
	}
	n := rng.IntN(sum)
	for _, x := range actionWeights {
		if n -= x.weight; n < 0 {
			return x.action
		}
	}
	return Terminate
}
