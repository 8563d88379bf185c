package daemon

import (
	"cmp"
	"slices"
	"time"

	"birchmoor/internal/recovery"
	"birchmoor/internal/snapshot"
	"birchmoor/internal/store/policy"
)

// Fact is one thing that is known of a server, from whom and how old.
type Fact struct {
	ID        string `json:"id"`
	Addr      string `json:"address,omitempty"`
	StartedMs int64  `json:"started_ms,omitempty"` // by discovery; 0: not told
	What      string `json:"what"`                 // "drains", "banned", "began", "cold", "known"
	By        string `json:"by"`                   // a daemon; of "cold" and "known" how many sidecars hold it so
	Sidecars  int    `json:"sidecars,omitempty"`
	AgeMs     int64  `json:"age_ms"`            // since the store's latest word came here; -1: before this daemon's start
	LeftMs    int64  `json:"left_ms,omitempty"` // for which it matters yet
	Agreed    bool   `json:"agreed"`            // the store has it; if not, it is this daemon's word alone
}

// Servers lists all that this copy and this daemon know of servers.
func (d *Daemon) Servers() []Fact {
	outs := d.Outs()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now(time.Now())
	var all []Fact
	for _, o := range outs {
		f := Fact{ID: o.Server, What: "banned", By: o.By, AgeMs: o.AgeMs, Agreed: o.Agreed}
		if p, ok := drainOf(policy.Key(o.Kind, o.Server)); ok {
			f.ID, f.Addr, f.StartedMs, f.What = p.ID, p.Addr, p.StartedMs, "drains"
		}
		all = append(all, f)
	}
	d.starts.words.Cold(now, func(p policy.Process, ago, left int64, who string, agreed bool) {
		all = append(all, Fact{ID: p.ID, Addr: p.Addr, StartedMs: p.StartedMs, What: "began", By: who, AgeMs: ago / 1e6, LeftMs: left / 1e6, Agreed: agreed})
	})
	all = append(all, d.kept.facts(now)...)
	slices.SortFunc(all, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.StartedMs, b.StartedMs), cmp.Compare(a.What, b.What))
	})
	return all
}

// facts adds up what the pictures tell: by whom a server is known, and held to be cold.
func (k *pictures) facts(now int64) []Fact {
	type server struct {
		id, addr string
		start    int64
		what     string
	}
	at := map[server]*Fact{}
	for _, p := range k.all {
		v, err := policy.DecodePicture(p.value)
		if err != nil {
			continue
		}
		shown, err := snapshot.Decode(v.Known)
		if err != nil {
			continue
		}
		age := int64(-1)
		if p.at != 0 {
			age = (now - p.at) / 1e6
		}
		for i, e := range shown.State.Endpoints {
			s := server{id: shown.Names[i], start: e.StartTime / 1000, what: "known"}
			if i < len(shown.Addrs) {
				s.addr = shown.Addrs[i]
			}
			if e.Cold {
				s.what = "cold"
			}
			f := at[s]
			if f == nil {
				f = &Fact{ID: s.id, Addr: s.addr, StartedMs: s.start, What: s.what, By: v.By, AgeMs: age, Agreed: true}
				at[s] = f
			}
			f.Sidecars++
			if age >= 0 && (f.AgeMs < 0 || age < f.AgeMs) {
				f.AgeMs, f.By = age, v.By
			}
		}
	}
	all := make([]Fact, 0, len(at))
	for _, f := range at {
		all = append(all, *f)
	}
	return all
}

// Began is what a daemon knew when it started, before it heard anything.
type Began struct {
	From     string `json:"from"` // "own disk", "another replica" or "nothing"
	Revision uint64 `json:"revision"`
	Out      int    `json:"out"`
	Starts   int    `json:"starts"`
	Pictures int    `json:"pictures"`
	Settings bool   `json:"settings"`      // of the fleet
	Age      string `json:"age,omitempty"` // since the disk was written, by this host's clock

	Recalled []Recalled `json:"recalled,omitempty"` // what the sidecar's decision modules went on from
}

// Recalled is what a sidecar's decision module went on from at its start.
type Recalled struct {
	Protocol string        `json:"protocol,omitempty"` // "" is HTTP
	From     string        `json:"from"`
	Pictures int           `json:"pictures"`
	Servers  int           `json:"servers"`
	Age      time.Duration `json:"age_ns"`
}

// Recalled notes it.
func (d *Daemon) Recalled(protocol string, c recovery.Choice, servers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.start.Recalled = append(d.start.Recalled, Recalled{protocol, c.From, c.Of, servers, time.Duration(c.Age) * time.Microsecond})
}

// Opened notes what this daemon started with, and whether that has settings. written is when its disk was, zero if there was none.
func (d *Daemon) Opened(from string, revision uint64, written time.Time, settings bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.start = Began{From: from, Recalled: d.start.Recalled, Revision: revision, Out: len(d.guard.All()), Starts: d.starts.words.Len(), Pictures: len(d.kept.all),
		Settings: settings}
	if !written.IsZero() {
		d.start.Age = time.Since(written).Round(time.Millisecond).String()
	}
	d.log.Info("what the store knows at the start", "from", from, "revision", revision, "out", d.start.Out, "starts", d.start.Starts,
		"pictures", d.start.Pictures, "age", d.start.Age)
}

// Start returns it.
func (d *Daemon) Start() Began {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.start
	s.Recalled = slices.Clone(s.Recalled)
	return s
}

// Kept is how much this daemon holds of what daemons tell each other.
type Kept struct {
	Out      int `json:"out"`    // servers that are out
	Starts   int `json:"starts"` // processes that are cold yet
	Pictures int `json:"pictures"`
	Bytes    int `json:"picture_bytes"`
	Owed     int `json:"owed"` // changes that wait to be written
}

// Kept returns it.
func (d *Daemon) Kept() Kept {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Kept{Out: len(d.guard.All()), Starts: d.starts.words.Len(), Pictures: len(d.kept.all), Bytes: d.kept.bytes, Owed: len(d.writes)}
}
