package fleetlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"birchmoor/internal/lab/relay"
)

// Torture has servers drain and start anew while daemons are killed with SIGKILL, one in turn or all at once, and cut off, one
// way or both, under load. The servers judge, by what they count:
//
//   - a daemon that was seen to know that a process drains sends it nothing from then on, also after it was killed,
//   - where nothing was killed or cut from a while before the first word of a drain until Bound after it, no daemon sends it
//     anything later than Bound after that word, whichever daemon heard it,
//   - nor does any, whatever was killed, once all have run undisturbed for Calm.
type Torture struct {
	Fleet *Fleet
	For   time.Duration
	Every time.Duration // between two blows, on average
	Seed  uint64
	Say   func(string)
}

// The rule's bounds.
const (
	Bound  = 500 * time.Millisecond
	before = 1500 * time.Millisecond // for an election, and connections that come back
	Calm   = 4 * time.Second
	acted  = 300 * time.Millisecond // for attempts that were under way when a daemon was seen to know
)

// Tortured is what came of it.
type Tortured struct {
	Drains    int      `json:"drains"`
	Judged    int      `json:"judged"` // those told while nothing was disturbed
	Starts    int      `json:"starts"`
	Kills     int      `json:"kills"`
	All       int      `json:"all_at_once"`
	Cuts      int      `json:"cuts"`
	Requests  int      `json:"requests"`
	Late      int      `json:"late"`  // requests beyond the bound, undisturbed
	Stale     int      `json:"stale"` // from daemons that knew
	Never     int      `json:"never"` // after a long calm
	WorstMs   float64  `json:"worst_ms"`
	Broken    []string `json:"broken"` // the first of them
	mu        sync.Mutex
	drains    map[key]*drain
	disturbed []span
}

type key struct {
	server int
	start  int64
}

type drain struct {
	at    time.Time
	by    int
	known map[int]time.Time // by daemon, when it was seen to know
}

type span struct{ from, to time.Time }

// Run tortures. The fleet is to be loaded meanwhile, by the caller.
func (t *Torture) Run(ctx context.Context) (*Tortured, error) {
	r := &Tortured{drains: map[key]*drain{}}
	ctx, cancel := context.WithTimeout(ctx, t.For)
	defer cancel()
	for _, s := range t.Fleet.Servers {
		s.mu.Lock()
		s.watch = func(a Arrival) { r.arrived(s.Number, a) }
		s.mu.Unlock()
	}
	var wg sync.WaitGroup
	for _, d := range t.Fleet.Daemons {
		wg.Go(func() { t.look(ctx, r, d) })
	}
	wg.Go(func() { t.turn(ctx, r) })
	err := t.strike(ctx, r)
	wg.Wait()
	for _, s := range t.Fleet.Servers {
		s.mu.Lock()
		s.watch = nil
		s.mu.Unlock()
	}
	return r, err
}

// arrived judges a request.
func (r *Tortured) arrived(server int, a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests++
	d := r.drains[key{server, a.Start}]
	if d == nil {
		return
	}
	late := a.At.Sub(d.at)
	broken := func(n *int, what string) {
		*n++
		if len(r.Broken) < 20 {
			r.Broken = append(r.Broken, fmt.Sprintf("%s: daemon %d sent to slot-%d %v after daemon %d heard that it drains", what, a.From, server,
				late.Round(time.Millisecond), d.by))
		}
	}
	calm := r.calm(d.at.Add(-before), d.at.Add(Bound))
	if calm {
		r.WorstMs = max(r.WorstMs, float64(late)/1e6)
	}
	switch at, ok := d.known[a.From]; {
	case ok && a.At.Sub(at) > acted:
		broken(&r.Stale, "stale")
	case calm && late > Bound:
		broken(&r.Late, "late")
	case late > Calm && r.calm(a.At.Add(-Calm), a.At):
		broken(&r.Never, "never told")
	}
}

// calm says whether nothing was killed or cut in a time.
func (r *Tortured) calm(from, to time.Time) bool {
	return !slices.ContainsFunc(r.disturbed, func(s span) bool { return s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) })
}

// disturb notes a time in which something is killed or cut; the function that it returns ends it.
func (r *Tortured) disturb() func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed = append(r.disturbed, span{from: time.Now()})
	i := len(r.disturbed) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.disturbed[i].to = time.Now()
	}
}

// look asks a daemon again and again which processes it knows to drain.
func (t *Torture) look(ctx context.Context, r *Tortured, d *Daemon) {
	at := map[string]int{}
	for _, s := range t.Fleet.Servers {
		at[s.Now().ID] = s.Number
	}
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, time.Second)
		facts, err := d.Client.Servers(c)
		cancel()
		now := time.Now()
		r.mu.Lock()
		for _, f := range facts {
			if x := r.drains[key{at[f.ID], f.StartedMs}]; err == nil && f.Kind == "drains" && x != nil && x.known[d.Number].IsZero() {
				x.known[d.Number] = now
			}
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// turn has servers drain and start anew.
func (t *Torture) turn(ctx context.Context, r *Tortured) {
	rng := rand.New(rand.NewPCG(t.Seed, 1))
	ends := map[int]time.Time{}
	wait := func(least, most time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(least + time.Duration(rng.Int64N(int64(most-least)))):
			return true
		}
	}
	for wait(150*time.Millisecond, 600*time.Millisecond) {
		for n, end := range ends {
			if time.Now().After(end) {
				delete(ends, n)
				s := t.Fleet.Servers[n]
				in := s.Now()
				in.Lifecycle, in.StartedMs = "up", time.Now().UnixMilli()
				s.Set(in)
				for _, d := range t.Fleet.Daemons {
					late := time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
					time.AfterFunc(late, func() { d.Tell(in) })
				}
				r.mu.Lock()
				r.Starts++
				r.mu.Unlock()
			}
		}
		n := rng.IntN(len(t.Fleet.Servers))
		if _, drains := ends[n]; drains || len(ends) >= len(t.Fleet.Servers)/2 {
			continue
		}
		ends[n] = time.Now().Add(2*time.Second + time.Duration(rng.Int64N(int64(5*time.Second))))
		s := t.Fleet.Servers[n]
		in := s.Now()
		in.Lifecycle = "draining"
		first := rng.IntN(len(t.Fleet.Daemons))
		now := time.Now()
		r.mu.Lock()
		r.drains[key{n, in.StartedMs}] = &drain{at: now, by: first, known: map[int]time.Time{}}
		r.Drains++
		if r.calm(now.Add(-before), now) {
			r.Judged++
		}
		r.mu.Unlock()
		s.Set(in)
		t.Fleet.Daemons[first].Tell(in)
		if rng.IntN(2) == 0 { // the others hear it as well, some of them late
			for i, d := range t.Fleet.Daemons {
				if late := time.Duration(rng.Int64N(int64(2 * time.Second))); i != first {
					time.AfterFunc(late, func() {
						if s.Now().StartedMs == in.StartedMs {
							d.Tell(in)
						}
					})
				}
			}
		}
	}
}

// strike kills and cuts.
func (t *Torture) strike(ctx context.Context, r *Tortured) error {
	rng := rand.New(rand.NewPCG(t.Seed, 2))
	replicas := t.Fleet.Daemons[:t.Fleet.cfg.Replicas]
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(t.Every/2 + time.Duration(rng.Int64N(int64(t.Every)))):
		}
		end := r.disturb()
		if rng.IntN(3) == 0 {
			// All that comes in to one is lost without a word, or also what it sends to the others.
			one := replicas[rng.IntN(len(replicas))]
			cut := []*Daemon{one}
			if rng.IntN(2) == 0 {
				cut = replicas
			}
			set := func(on bool) {
				for _, d := range cut {
					d.in.Update(func(c *relay.Conditions) { c.BlackHole = on })
				}
			}
			set(true)
			time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
			set(false)
			r.mu.Lock()
			r.Cuts++
			r.mu.Unlock()
			end()
			continue
		}
		victims := []*Daemon{t.Fleet.Daemons[turn%len(t.Fleet.Daemons)]}
		all := rng.IntN(6) == 0
		if all {
			victims = t.Fleet.Daemons
		}
		for _, d := range victims {
			d.Kill()
		}
		time.Sleep(time.Duration(rng.Int64N(int64(700 * time.Millisecond))))
		for _, d := range victims {
			if err := d.Start(); err != nil {
				return err
			}
		}
		c, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
		for _, d := range victims {
			if err := d.Ready(c); err != nil {
				cancel()
				return fmt.Errorf("%w\n%s", err, d.Log())
			}
		}
		cancel()
		end()
		r.mu.Lock()
		r.Kills += len(victims)
		if all {
			r.All++
		}
		if t.Say != nil {
			t.Say(fmt.Sprintf("%d kills, %d cuts, %d drains, %d requests, %d stale, %d late, %d never told; worst %.0f ms", r.Kills, r.Cuts, r.Drains,
				r.Requests, r.Stale, r.Late, r.Never, r.WorstMs))
		}
		r.mu.Unlock()
	}
}
