package fleetlab

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/serverstate"

	"github.com/fxamacker/cbor/v2"
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
				for _, x := range s.Startup.Restored {
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
			if x.ModRevision > words[x.Key] {
				n += int(x.Version)
				words[x.Key] = x.ModRevision
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

// Caught is how long daemons take to know what the store has of so many servers.
type Caught struct {
	Servers  int     `json:"servers"`
	Bytes    int     `json:"store_bytes"`
	Follower float64 `json:"follower_ms"` // from the start with an empty disk until all bind and the sidecar serves
	Disk     float64 `json:"own_disk_ms"` // from its own disk
	Replica  float64 `json:"replica_ms"`  // a replica killed and started again
}

// CatchUp puts drains of so many servers that nobody lists into the store, and starts daemons.
func (f *Fleet) CatchUp(ctx context.Context, servers int) (Caught, error) {
	r := Caught{Servers: servers}
	d, a := f.Daemons[len(f.Daemons)-1], f.Daemons[1]
	if !d.follower {
		return r, fmt.Errorf("it is measured of a follower, and there is none")
	}
	mark, err := cbor.Marshal(serverstate.ExclusionRecord{ReportedBy: "lab"})
	if err != nil {
		return r, err
	}
	for at := 0; at < servers; at += 100 {
		t := &store.Txn{}
		for i := at; i < min(at+100, servers); i++ {
			p := serverstate.Process{ID: fmt.Sprintf("far-%05d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 1+i%60000), StartedMs: int64(1 + i)}
			t.Then = append(t.Then, store.Op{Key: serverstate.ExclusionKey(serverstate.Drain, p.ServerName()), Value: mark})
		}
		if _, err := f.Daemons[0].Client.Change(ctx, admin.ChangeRequest{ID: store.RequestID{Client: 1 << 41, Seq: uint64(at + 1)}, Txn: t}); err != nil {
			return r, err
		}
	}
	time.Sleep(3 * time.Second) // for the follower's file
	start := func(d *Daemon) (float64, error) {
		begun := time.Now()
		if err := d.Start(); err != nil {
			return 0, err
		}
		if err := d.Ready(ctx); err != nil {
			return 0, err
		}
		for ctx.Err() == nil {
			if s, err := d.Client.Status(ctx); err == nil && s.Daemon.Exclusions >= servers {
				r.Bytes = s.Bytes
				return float64(time.Since(begun)) / 1e6, nil
			}
			time.Sleep(time.Millisecond)
		}
		return 0, ctx.Err()
	}
	d.Kill()
	if r.Disk, err = start(d); err != nil {
		return r, err
	}
	d.Kill()
	if err := d.Lose(); err != nil {
		return r, err
	}
	if r.Follower, err = start(d); err != nil {
		return r, err
	}
	a.Kill()
	r.Replica, err = start(a)
	return r, err
}

// Cost is what the store costs a sidecar at full load: medians of pairs, with and without it.
type Cost struct {
	Pairs   int     `json:"pairs"`
	With    float64 `json:"with_per_s"`
	Without float64 `json:"without_per_s"`
	Ratio   Ratio   `json:"ratio"` // of requests a second
	P99     Ratio   `json:"p99_ratio"`
}

// Ratio is of pairs.
type Ratio struct{ Least, Median, Most float64 }

func ratio(all []float64) Ratio {
	sort.Float64s(all)
	return Ratio{all[0], all[len(all)/2], all[len(all)-1]}
}

// Cost loads the last daemon as a follower and as the same program without a store, one after the other in turn, while the lists
// of all change four times a second.
func (f *Fleet) Cost(ctx context.Context, pairs int, each time.Duration) (Cost, error) {
	c := Cost{Pairs: pairs}
	d := f.Daemons[len(f.Daemons)-1]
	change, stop := context.WithCancel(ctx)
	defer stop()
	var changing sync.WaitGroup
	changing.Go(func() {
		for k := 0; change.Err() == nil; k++ {
			s := f.Servers[k%(len(f.Servers)/2)]
			in := s.Now()
			in.Lifecycle, in.StartedMs = "up", time.Now().Add(-time.Hour).UnixMilli()+int64(k)
			if k/(len(f.Servers)/2)%2 == 0 {
				in.Lifecycle = "draining"
			}
			s.Set(in)
			for _, d := range f.Daemons {
				d.Tell(in)
			}
			select {
			case <-change.Done():
			case <-time.After(250 * time.Millisecond):
			}
		}
	})
	defer changing.Wait()
	defer stop()
	var rates, tails []float64
	var with, without []float64
	for range pairs {
		var rate, tail [2]float64
		for i, plain := range []bool{false, true} {
			d.Kill()
			d.plain = plain
			if err := d.Start(); err != nil {
				return c, err
			}
			if err := d.Ready(ctx); err != nil {
				return c, err
			}
			time.Sleep(time.Second)
			n, p99 := d.full(ctx, 16, each)
			rate[i], tail[i] = float64(n)/each.Seconds(), float64(p99)
		}
		with, without = append(with, rate[0]), append(without, rate[1])
		rates, tails = append(rates, rate[0]/rate[1]), append(tails, tail[0]/tail[1])
	}
	d.Kill()
	d.plain = false
	c.With, c.Without, c.Ratio, c.P99 = ratio(with).Median, ratio(without).Median, ratio(rates), ratio(tails)
	return c, d.Start()
}

// full asks over so many connections without a pause, and returns how much was served and the slowest in a hundred.
func (d *Daemon) full(ctx context.Context, conns int, each time.Duration) (served int, p99 time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, each)
	defer cancel()
	var mu sync.Mutex
	var all []time.Duration
	var wg sync.WaitGroup
	for k := range conns {
		wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer c.CloseIdleConnections()
			var took []time.Duration
			for n := 0; ctx.Err() == nil; n++ {
				begun := time.Now()
				if d.Ask(ctx, c, fmt.Sprintf("%02x%06x%012x", k, d.Number, time.Now().UnixNano()&0xffffffffffff)) {
					took = append(took, time.Since(begun))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, took...)
		})
	}
	wg.Wait()
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	if len(all) == 0 {
		return 0, 0
	}
	return len(all), all[len(all)*99/100]
}
