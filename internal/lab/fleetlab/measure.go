package fleetlab

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"birchmoor/internal/discovery"
)

// Spread is how times lie, in milliseconds.
type Spread struct {
	N     int     `json:"n"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Worst float64 `json:"worst_ms"`
}

func spread(all []time.Duration) Spread {
	if len(all) == 0 {
		return Spread{}
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	ms := func(d time.Duration) float64 { return float64(d) / 1e6 }
	return Spread{len(all), ms(all[len(all)/2]), ms(all[min(len(all)-1, len(all)*99/100)]), ms(all[len(all)-1])}
}

// Told is how long after a word its last request came to the server: at the daemon that was told, and at the others.
type Told struct {
	What   string `json:"what"`
	Here   Spread `json:"here"`
	Others Spread `json:"others"`
}

// Words measures words of one daemon's discovery, or of an operator at one daemon ("maint-on"), until so many were told. The
// fleet is to be loaded so that each server hears of each daemon every few milliseconds.
func (f *Fleet) Words(ctx context.Context, n int, operators bool, say func(string)) (Told, error) {
	r := Told{What: "discovery's word"}
	if operators {
		r.What = "maint-on"
	}
	var here, others []time.Duration
	const settle = 700 * time.Millisecond
	for k := 0; k < n && ctx.Err() == nil; k += len(f.Servers) / 2 {
		// Half of the servers, one after the other, then all come back.
		var wg sync.WaitGroup
		var mu sync.Mutex
		var fault error
		for i := range len(f.Servers) / 2 {
			s, by := f.Servers[i], (k+i)%len(f.Daemons)
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				in := s.Now()
				at := time.Now()
				if operators {
					text, err := f.Daemons[by].Operate("maint-on " + in.ID)
					if err != nil || text != "YES\n" {
						mu.Lock()
						fault = fmt.Errorf("maint-on %s: %q, %v", in.ID, text, err)
						mu.Unlock()
						return
					}
				} else {
					in.Lifecycle = "draining"
					f.Daemons[by].Tell(in)
				}
				time.Sleep(settle)
				mu.Lock()
				defer mu.Unlock()
				for j := range f.Daemons {
					last, _ := s.Last(j)
					if took := max(0, last.Sub(at)); j == by {
						here = append(here, took)
					} else {
						others = append(others, took)
					}
				}
			})
		}
		wg.Wait()
		if fault != nil {
			return r, fault
		}
		for i := range len(f.Servers) / 2 {
			s, by := f.Servers[i], (k+i)%len(f.Daemons)
			in := s.Now()
			if operators {
				if text, err := f.Daemons[by].Operate("maint-off " + in.ID); err != nil || text != "YES\n" {
					return r, fmt.Errorf("maint-off %s: %q, %v", in.ID, text, err)
				}
				s.Set(in)
				continue
			}
			in.Lifecycle, in.StartedMs = "up", time.Now().Add(-time.Minute).UnixMilli() // another process, and no cold one
			s.Set(in)
			for _, d := range f.Daemons {
				d.Tell(in)
			}
		}
		time.Sleep(settle)
		if say != nil {
			say(fmt.Sprintf("%s: %d of %d", r.What, min(n, k+len(f.Servers)/2), n))
		}
	}
	r.Here, r.Others = spread(here), spread(others)
	return r, nil
}

// Began is how a daemon starts.
type Began struct {
	How      string  `json:"how"`
	N        int     `json:"n"`
	Ready    Spread  `json:"ready"`   // from the process's start until it takes requests
	Served   float64 `json:"served"`  // share of what was asked in the first second
	Drained  float64 `json:"drained"` // requests in that second to servers that drain
	Recalled float64 `json:"recalled"`
}

// Starts measures starts of the last daemon, a follower, while two servers drain of which its discovery says nothing: without
// what it had ("nothing": no replica can be reached), from its own disk, and from the store of others with an empty disk.
func (f *Fleet) Starts(ctx context.Context, n int, say func(string)) ([]Began, error) {
	d := f.Daemons[len(f.Daemons)-1]
	if !d.follower {
		return nil, fmt.Errorf("starts are measured of a follower, and there is none")
	}
	for i := range 2 {
		in := f.Servers[i].Now()
		in.Lifecycle = "draining"
		f.Servers[i].Set(in)
		f.Daemons[0].Tell(in)
	}
	d.Deaf(true)
	select { // until the modules' pictures are in the store
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(12 * time.Second):
	}
	var all []Began
	for _, how := range []string{"nothing", "own disk", "store of others"} {
		b := Began{How: how}
		var ready []time.Duration
		asked, served := 0, 0
		for range n {
			d.Kill()
			if how != "own disk" {
				if err := d.Lose(); err != nil {
					return nil, err
				}
			}
			if how == "nothing" { // the others are away
				for _, o := range f.Daemons[:f.cfg.Replicas] {
					o.Kill()
				}
			}
			before := f.Servers[0].Count(d.Number) + f.Servers[1].Count(d.Number)
			begun := time.Now()
			if err := d.Start(); err != nil {
				return nil, err
			}
			if err := d.Ready(ctx); err != nil {
				return nil, err
			}
			ready = append(ready, time.Since(begun))
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 2 * time.Second}
			for end, k := time.Now().Add(time.Second), 0; time.Now().Before(end); k++ {
				asked++
				if d.Ask(ctx, c, fmt.Sprintf("%020x", time.Now().UnixNano())) {
					served++
				}
				time.Sleep(5 * time.Millisecond)
			}
			c.CloseIdleConnections()
			b.Drained += float64(f.Servers[0].Count(d.Number)+f.Servers[1].Count(d.Number)-before) / float64(n)
			if s, err := d.Client.Status(ctx); err == nil {
				for _, x := range s.Began.Recalled {
					b.Recalled += float64(x.Servers) / float64(n)
				}
			}
			if how == "nothing" {
				for _, o := range f.Daemons[:f.cfg.Replicas] {
					if err := o.Start(); err != nil {
						return nil, err
					}
				}
				for _, o := range f.Daemons[:f.cfg.Replicas] {
					if err := o.Ready(ctx); err != nil {
						return nil, err
					}
				}
			}
			if how == "own disk" {
				time.Sleep(2500 * time.Millisecond) // for the file of the copy
			}
			b.N++
		}
		b.Ready, b.Served = spread(ready), float64(served)/float64(max(1, asked))
		all = append(all, b)
		if how == "nothing" {
			// It is to be up to date again before its disk counts, and the pictures in the store.
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(14 * time.Second):
			}
		}
		if say != nil {
			say(how)
		}
	}
	return all, nil
}

// Writing is what a fleet writes to its store while its lists change.
type Writing struct {
	Daemons  int     `json:"daemons"`
	Changes  int     `json:"changes"`  // of the lists: drains and starts, told to every daemon
	Words    int     `json:"words"`    // changes of the store that tell of them
	Entries  int     `json:"entries"`  // of the log, in all, pictures and refused proposals with them
	Pictures int     `json:"pictures"` // put
	Seconds  float64 `json:"seconds"`
}

// Writes has so many servers drain and start anew, each told to all daemons at about the same time.
func (f *Fleet) Writes(ctx context.Context, changes int, every time.Duration) (Writing, error) {
	w := Writing{Daemons: len(f.Daemons)}
	status := func() (entries, revision uint64, err error) {
		s, err := f.Daemons[0].Client.Status(ctx)
		return s.Applied, s.Revision, err
	}
	entries, _, err := status()
	if err != nil {
		return w, err
	}
	words := map[string]uint64{}
	count := func(prefix string) (int, error) {
		i, err := f.Daemons[0].Client.Range(ctx, map[string][]string{"prefix": {prefix}})
		n := 0
		for _, x := range i.Items {
			if x.Modified > words[x.Key] {
				n += int(x.Version)
				words[x.Key] = x.Modified
			}
		}
		return n, err
	}
	begun := time.Now()
	told := func(in discovery.Instance) {
		for _, d := range f.Daemons {
			d.Tell(in)
		}
	}
	for k := range changes / 2 {
		s := f.Servers[k%len(f.Servers)]
		in := s.Now()
		in.Lifecycle = "draining"
		s.Set(in)
		told(in)
		time.Sleep(every)
		in.Lifecycle, in.StartedMs = "up", time.Now().UnixMilli()
		s.Set(in)
		told(in)
		time.Sleep(every)
		w.Changes += 2
		for _, prefix := range []string{"out/", "start/"} {
			n, err := count(prefix)
			if err != nil {
				return w, err
			}
			w.Words += n
		}
	}
	after, _, err := status()
	w.Entries, w.Seconds = int(after-entries), time.Since(begun).Seconds()
	if err != nil {
		return w, err
	}
	i, err := f.Daemons[0].Client.Range(ctx, map[string][]string{"prefix": {"known/"}})
	for _, x := range i.Items {
		w.Pictures += int(x.Version)
	}
	return w, err
}
