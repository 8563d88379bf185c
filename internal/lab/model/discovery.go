package model

import (
	"birchmoor/internal/lab/randstream"
	"birchmoor/internal/lab/trace"
)

// Entry is what discovery lists of a server.
type Entry struct {
	Server  int
	State   trace.State
	Started Micros // since the start of the run; 0 for long ago
}

// Update is discovery's word on a watch, or its whole list.
type Update struct {
	Generation int64
	Reset      bool
	Entries    []Entry
}

// Discovery is one service for all sidecars. What it lists follows what is true after a while; it works through calls
// in turn, and may be down.
type Discovery struct {
	w          *World
	draw       randstream.Stream
	generation int64
	entries    []Entry // by server; those not listed have State Gone
	changed    []int64 // generation of an entry's latest change
	watches    map[int]*watch
	late       []Micros // by sidecar: by which it hears later than discovery knows
	order      []int    // of watches, for the same order in every run
	down       int
	lag        Micros
	busyUntil  Micros
}

type watch struct {
	open  bool
	after int64
	calls int
}

const firstGeneration = 7

func newDiscovery(w *World) *Discovery {
	n := len(w.Servers)
	d := &Discovery{w: w, draw: w.Seed.Stream("discovery"), generation: firstGeneration, entries: make([]Entry, n),
		changed: make([]int64, n), watches: map[int]*watch{}, late: make([]Micros, w.S.Fleet.Sidecars)}
	late := w.Seed.Stream("late")
	for i := range d.late {
		d.late[i] = Micros(late.Float64() * float64(w.S.Discovery.Spread.Micros()))
	}
	return d
}

// list enters a server at the start.
func (d *Discovery) list(server int, longAgo bool) {
	e := Entry{Server: server, State: trace.Up}
	if !longAgo {
		e.Started = max(1, d.w.Q.Now())
	}
	d.entries[server], d.changed[server] = e, d.generation
}

// change lists what has become true, after a while.
func (d *Discovery) change(server int, state trace.State, started, lag Micros) {
	lag = Micros(float64(lag)*(0.7+0.6*d.draw.Float64())) + d.lag
	d.w.Q.After(lag, func() {
		d.generation++
		e := Entry{Server: server, State: state, Started: started}
		if state != trace.Up {
			e.Started = d.entries[server].Started
		}
		d.entries[server], d.changed[server] = e, d.generation
		if d.down > 0 {
			return
		}
		for _, n := range d.order {
			if o := d.watches[n]; o != nil && o.open {
				d.send(n, o)
			}
		}
	})
}

// send tells a watch what has changed since its last.
func (d *Discovery) send(sidecar int, o *watch) {
	u := d.since(sidecar, o.after)
	if o.after = d.generation; len(u.Entries) == 0 {
		return
	}
	if d.late[sidecar] == 0 {
		d.tell(sidecar, u)
		return
	}
	call := o.calls
	d.w.Q.After(d.late[sidecar], func() {
		if o.open && o.calls == call { // what is on its way ends with its watch, and the next one tells it
			d.tell(sidecar, u)
		}
	})
}

func (d *Discovery) tell(sidecar int, u Update) {
	d.w.host.Update(sidecar, u, func() { d.told(sidecar, u) })
}

// told notes what a sidecar has been told. A server that a whole list leaves out is gone.
func (d *Discovery) told(sidecar int, u Update) {
	now := d.w.Q.Now()
	e := trace.Event{At: now, Kind: trace.Told, Sidecar: int32(sidecar)}
	for _, x := range u.Entries {
		e.Server, e.State, e.Since = int32(x.Server), x.State, x.Started
		d.w.emit(e)
	}
	for n := range d.entries {
		if u.Reset && d.entries[n].State == trace.Gone {
			e.Server, e.State, e.Since = int32(n), trace.Gone, 0
			d.w.emit(e)
		}
	}
}

// since returns what changed after a generation; one from before the first, or from the future, gets the whole list.
func (d *Discovery) since(sidecar int, after int64) Update {
	u := Update{Generation: d.generation, Reset: after < firstGeneration || after > d.generation}
	for i, e := range d.entries {
		switch {
		case u.Reset && e.State != trace.Gone, !u.Reset && d.changed[i] > after:
			u.Entries = append(u.Entries, e)
		}
	}
	if d.w.S.Discovery.Shuffle {
		s := d.w.Seed.Stream("order", uint64(sidecar))
		s.Shuffle(len(u.Entries), func(i, j int) { u.Entries[i], u.Entries[j] = u.Entries[j], u.Entries[i] })
	}
	return u
}

// Whole returns the whole list as it is, for a process that starts: it counts as told.
func (d *Discovery) Whole(sidecar int) Update {
	u := d.since(sidecar, 0)
	d.told(sidecar, u)
	return u
}

// Call is a call for the list (watch false) or for a watch. The host hears Update, then on a watch more of them, or
// WatchEnded where the call fails. Calls wait in turn; down says that discovery answers nobody.
func (d *Discovery) Call(sidecar int, after int64, keep bool, answer func(u Update, ok bool)) {
	now := d.w.Q.Now()
	each := d.w.S.Discovery.Call.Micros() / Micros(d.w.S.Discovery.Capacity)
	d.busyUntil = max(d.busyUntil, now) + each
	wait := d.busyUntil - now + d.w.S.Discovery.Call.Micros() - each
	told := answer
	answer = func(u Update, ok bool) {
		e := trace.Event{At: d.w.Q.Now(), Kind: trace.Called, Sidecar: int32(sidecar), Work: d.w.Q.Now() - now}
		if !ok {
			e.Verdict = trace.Failed
		}
		d.w.emit(e)
		told(u, ok)
	}
	o := d.watches[sidecar]
	if o == nil {
		o = &watch{}
		d.watches[sidecar] = o
		d.order = append(d.order, sidecar)
	}
	if keep {
		o.calls++ // takes the place of an earlier one that is not answered yet
	}
	call := o.calls
	if d.down > 0 || wait > 1_000_000 {
		d.busyUntil -= each // it is not worked at
		d.w.Q.After(min(wait, 1_000_000), func() { answer(Update{}, false) })
		return
	}
	d.w.Q.After(wait, func() {
		if d.down > 0 || keep && o.calls != call {
			answer(Update{}, false)
			return
		}
		u := d.since(sidecar, after)
		answer(u, true)
		d.told(sidecar, u)
		if keep {
			o.open, o.after = true, d.generation
		}
	})
}

// Unwatch ends a watch from the sidecar's side.
func (d *Discovery) Unwatch(sidecar int) {
	if o := d.watches[sidecar]; o != nil {
		o.open = false
		o.calls++
	}
}

// Down says whether discovery answers nobody.
func (d *Discovery) Down() bool { return d.down > 0 }

func (d *Discovery) setDown(on bool) {
	if !on {
		d.down--
		return
	}
	d.down++
	for _, n := range d.order {
		if o := d.watches[n]; o.open {
			o.open = false
			d.w.host.WatchEnded(n)
		}
	}
}
