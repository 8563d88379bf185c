package model

import (
	"birchmoor/internal/lab/randstream"
	"birchmoor/internal/lab/trace"
)

// Entry is a server's entry in discovery's list.
type Entry struct {
	Server  int
	State   trace.State
	Started Micros // instant of its process's start; 0 for a start before the run
}

// Update is a watch event, which lists the changed entries, or the full list.
type Update struct {
	Generation int64 // version of the list that the receiver has with this update
	Reset      bool  // Entries is the full list; without Reset, only entries that changed
	Entries    []Entry
}

// Discovery is the discovery service of all sidecars. Its list follows the servers with a delay, its calls queue for
// its capacity, and faults take it down.
type Discovery struct {
	world              *World
	stream             randstream.Stream
	generation         int64
	entries            []Entry // by server; State is Removed for servers that are not listed
	changedGenerations []int64 // by server: generation of the entry's latest change
	watches            map[int]*watch
	updateDelays       []Micros // by sidecar: delay of its watch events, drawn at the start
	watchOrder         []int    // sidecars in the order of their first calls, so that all runs of a seed are alike
	downFaults         int      // faults in force that take discovery down
	extraLag           Micros   // added to the delay of the list by faults in force
	busyUntil          Micros   // instant until which accepted calls take all capacity
}

// watch is the state of a sidecar's watch.
type watch struct {
	open       bool
	generation int64 // of the list with the latest update that was sent
	callCount  int   // raised to invalidate earlier calls, and updates on their way
}

// firstGeneration is the generation of the list at the start of a run.
const firstGeneration = 7

func newDiscovery(w *World) *Discovery {
	servers := len(w.Servers)
	d := &Discovery{world: w, stream: w.Seed.Stream("discovery"), generation: firstGeneration,
		entries: make([]Entry, servers), changedGenerations: make([]int64, servers), watches: map[int]*watch{},
		updateDelays: make([]Micros, w.Scenario.Fleet.Sidecars)}
	stream := w.Seed.Stream("late")
	for i := range d.updateDelays {
		d.updateDelays[i] = Micros(stream.Float64() * float64(w.Scenario.Discovery.MaxUpdateDelay.Micros()))
	}
	return d
}

// addInitial adds a server to the list before the run. One that is already warm gets a start before the run.
func (d *Discovery) addInitial(server int, alreadyWarm bool) {
	entry := Entry{Server: server, State: trace.Up}
	if !alreadyWarm {
		entry.Started = max(1, d.world.Queue.Now())
	}
	d.entries[server], d.changedGenerations[server] = entry, d.generation
}

// scheduleChange changes a server's entry after the lag, give or take 30 percent, and any lag that faults add. It sends
// the change on all open watches. The start is used with state Up only; other states keep the start that was listed.
func (d *Discovery) scheduleChange(server int, state trace.State, started, lag Micros) {
	lag = Micros(float64(lag)*(0.7+0.6*d.stream.Float64())) + d.extraLag
	d.world.Queue.After(lag, func() {
		d.generation++
		entry := Entry{Server: server, State: state, Started: started}
		if state != trace.Up {
			entry.Started = d.entries[server].Started
		}
		d.entries[server], d.changedGenerations[server] = entry, d.generation
		if d.downFaults > 0 {
			return
		}
		for _, sidecar := range d.watchOrder {
			if sidecarWatch := d.watches[sidecar]; sidecarWatch != nil && sidecarWatch.open {
				d.sendChanges(sidecar, sidecarWatch)
			}
		}
	})
}

// sendChanges sends a watch the entries that changed since its latest update, after the delay of its sidecar.
func (d *Discovery) sendChanges(sidecar int, sidecarWatch *watch) {
	update := d.changesSince(sidecar, sidecarWatch.generation)
	if sidecarWatch.generation = d.generation; len(update.Entries) == 0 {
		return
	}
	if d.updateDelays[sidecar] == 0 {
		d.sendUpdate(sidecar, update)
		return
	}
	callCount := sidecarWatch.callCount
	d.world.Queue.After(d.updateDelays[sidecar], func() {
		// An update on its way is lost with its watch; the next watch sends it.
		if sidecarWatch.open && sidecarWatch.callCount == callCount {
			d.sendUpdate(sidecar, update)
		}
	})
}

func (d *Discovery) sendUpdate(sidecar int, update Update) {
	d.world.host.SendUpdate(sidecar, update, func() { d.recordUpdate(sidecar, update) })
}

// recordUpdate records an update that a sidecar has been sent. It records servers that a full list omits as removed.
func (d *Discovery) recordUpdate(sidecar int, update Update) {
	now := d.world.Queue.Now()
	event := trace.Event{At: now, Kind: trace.ServerListed, Sidecar: int32(sidecar)}
	for _, entry := range update.Entries {
		event.Server, event.State, event.StartedAt = int32(entry.Server), entry.State, entry.Started
		d.world.emit(event)
	}
	for server := range d.entries {
		if update.Reset && d.entries[server].State == trace.Removed {
			event.Server, event.State, event.StartedAt = int32(server), trace.Removed, 0
			d.world.emit(event)
		}
	}
}

// changesSince returns the entries that changed after a generation. For one from before the first, or from the future,
// it returns the full list.
func (d *Discovery) changesSince(sidecar int, generation int64) Update {
	update := Update{Generation: d.generation, Reset: generation < firstGeneration || generation > d.generation}
	for i, entry := range d.entries {
		switch {
		case update.Reset && entry.State != trace.Removed, !update.Reset && d.changedGenerations[i] > generation:
			update.Entries = append(update.Entries, entry)
		}
	}
	if d.world.Scenario.Discovery.Shuffle {
		stream := d.world.Seed.Stream("order", uint64(sidecar))
		stream.Shuffle(len(update.Entries), func(i, j int) {
			update.Entries[i], update.Entries[j] = update.Entries[j], update.Entries[i]
		})
	}
	return update
}

// FullList returns the full current list, for a process of a sidecar that starts, and records it as sent.
func (d *Discovery) FullList(sidecar int) Update {
	update := d.changesSince(sidecar, 0)
	d.recordUpdate(sidecar, update)
	return update
}

// Call makes a call of a sidecar for the changes after a generation, and with keepWatch for a watch, which replaces an
// earlier one. It calls answer once, with ok false if the call fails. Later updates of the watch go to Host.SendUpdate,
// its end to Host.WatchEnded. Calls queue for discovery's capacity. A call fails if it would have to wait longer than 1
// s, if discovery is down, or if a later call for a watch replaces it.
func (d *Discovery) Call(sidecar int, generation int64, keepWatch bool, answer func(u Update, ok bool)) {
	now := d.world.Queue.Now()
	interval := d.world.Scenario.Discovery.CallTime.Micros() / Micros(d.world.Scenario.Discovery.Capacity)
	d.busyUntil = max(d.busyUntil, now) + interval
	delay := d.busyUntil - now + d.world.Scenario.Discovery.CallTime.Micros() - interval
	deliver := answer
	answer = func(u Update, ok bool) {
		event := trace.Event{At: d.world.Queue.Now(), Kind: trace.DiscoveryCalled, Sidecar: int32(sidecar),
			Work: d.world.Queue.Now() - now}
		if !ok {
			event.Verdict = trace.Failed
		}
		d.world.emit(event)
		deliver(u, ok)
	}
	sidecarWatch := d.watches[sidecar]
	if sidecarWatch == nil {
		sidecarWatch = &watch{}
		d.watches[sidecar] = sidecarWatch
		d.watchOrder = append(d.watchOrder, sidecar)
	}
	if keepWatch {
		sidecarWatch.callCount++ // replaces an earlier call that is not answered yet
	}
	callCount := sidecarWatch.callCount
	if d.downFaults > 0 || delay > 1_000_000 {
		d.busyUntil -= interval // the call takes no capacity
		d.world.Queue.After(min(delay, 1_000_000), func() { answer(Update{}, false) })
		return
	}
	d.world.Queue.After(delay, func() {
		if d.downFaults > 0 || keepWatch && sidecarWatch.callCount != callCount {
			answer(Update{}, false)
			return
		}
		u := d.changesSince(sidecar, generation)
		answer(u, true)
		d.recordUpdate(sidecar, u)
		if keepWatch {
			sidecarWatch.open, sidecarWatch.generation = true, d.generation
		}
	})
}

// Unwatch ends a sidecar's watch, and fails its call for one if that is not answered yet.
func (d *Discovery) Unwatch(sidecar int) {
	if sidecarWatch := d.watches[sidecar]; sidecarWatch != nil {
		sidecarWatch.open = false
		sidecarWatch.callCount++
	}
}

// Down reports whether discovery is down: all calls fail, and no watch is open.
func (d *Discovery) Down() bool { return d.downFaults > 0 }

// setDown begins or ends an outage. Outages may overlap. All open watches end when one begins.
func (d *Discovery) setDown(on bool) {
	if !on {
		d.downFaults--
		return
	}
	d.downFaults++
	for _, sidecar := range d.watchOrder {
		if sidecarWatch := d.watches[sidecar]; sidecarWatch.open {
			sidecarWatch.open = false
			d.world.host.WatchEnded(sidecar)
		}
	}
}
