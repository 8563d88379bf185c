// Package storebench measures the replicated store on real disks and sockets, and tortures it with real processes.
//
// All figures of a run are of one machine in one go, the limit among them: a bare bbolt file with the same sync. What
// holds elsewhere are the ratios and how figures grow.
package storebench

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/engine"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.etcd.io/bbolt"
)

// Options say what is measured.
type Options struct {
	Dir     string        // for the disks; a temporary folder within it
	For     time.Duration // each figure; 3 s
	Writers []int         // at once; 1, 16, 256
	Bytes   int           // of a value; 100
	CatchUp int           // megabytes that an empty replica is given; 0 for not at all
	Million int           // writes after which memory and disk are told; 0 for not at all
	Say     func(string)  // progress
}

// Rate is a figure.
type Rate struct {
	What    string  `json:"what"`
	Writers int     `json:"at_once"`
	Each    float64 `json:"a_second"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Limit   float64 `json:"of_limit,omitempty"` // over bare bbolt, one writer
}

// Result is what was measured.
type Result struct {
	CPUs     int       `json:"cpus"`
	Rates    []Rate    `json:"rates"`
	Leader   []float64 `json:"without_leader_ms,omitempty"` // from a kill to the next write elsewhere
	CatchUp  float64   `json:"catch_up_s,omitempty"`
	CaughtMB float64   `json:"caught_mb,omitempty"`
	Writes   int       `json:"writes,omitempty"`
	HeapMB   float64   `json:"heap_mb,omitempty"`
	DiskMB   float64   `json:"disk_mb,omitempty"`
}

// measure runs f from so many goroutines for a while.
func measure(what string, workers int, life time.Duration, f func(worker, i int) error) (Rate, error) {
	hist := make([]*hdrhistogram.Histogram, workers)
	errs := make([]error, workers)
	begin := time.Now()
	var wg sync.WaitGroup
	for w := range workers {
		hist[w] = hdrhistogram.New(1, 60_000_000, 3)
		wg.Go(func() {
			for i := 0; time.Since(begin) < life; i++ {
				at := time.Now()
				if errs[w] = f(w, i); errs[w] != nil {
					return
				}
				_ = hist[w].RecordValue(time.Since(at).Microseconds())
			}
		})
	}
	wg.Wait()
	took := time.Since(begin).Seconds()
	all := hdrhistogram.New(1, 60_000_000, 3)
	for w := range workers {
		if errs[w] != nil {
			return Rate{}, fmt.Errorf("%s: %w", what, errs[w])
		}
		all.Merge(hist[w])
	}
	return Rate{What: what, Writers: workers, Each: float64(all.TotalCount()) / took,
		P50: float64(all.ValueAtQuantile(50)) / 1000, P99: float64(all.ValueAtQuantile(99)) / 1000}, nil
}

// Run measures.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.For == 0 {
		o.For = 3 * time.Second
	}
	if len(o.Writers) == 0 {
		o.Writers = []int{1, 16, 256}
	}
	if o.Bytes == 0 {
		o.Bytes = 100
	}
	if o.Say == nil {
		o.Say = func(string) {}
	}
	dir, err := os.MkdirTemp(o.Dir, "store-bench-")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(dir)
	r := Result{CPUs: runtime.NumCPU()}
	limit, err := bare(filepath.Join(dir, "bare.db"), o)
	if err != nil {
		return r, err
	}
	r.Rates = append(r.Rates, limit)
	for _, copies := range []int{1, 3} {
		if ctx.Err() != nil {
			return r, ctx.Err()
		}
		if err := r.copies(ctx, filepath.Join(dir, fmt.Sprint(copies)), copies, limit.Each, o); err != nil {
			return r, err
		}
	}
	return r, nil
}

func bare(path string, o Options) (Rate, error) {
	o.Say("a bare bbolt file")
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		return Rate{}, err
	}
	defer db.Close()
	value := make([]byte, o.Bytes)
	return measure("bare bbolt", 1, o.For, func(_, i int) error {
		return db.Update(func(tx *bbolt.Tx) error {
			b, err := tx.CreateBucketIfNotExists([]byte("b"))
			if err != nil {
				return err
			}
			return b.Put(binary.BigEndian.AppendUint64(nil, uint64(i)), value)
		})
	})
}

// cluster is replicas in this process, with keys over loopback.
type cluster struct {
	dir, keys string
	all       []*engine.Engine
	addr      []string
}

func (c *cluster) open(i int, join bool) error {
	name := fmt.Sprintf("r%d", i)
	if err := keys.Issue(c.keys, name, 24*time.Hour, true); err != nil {
		return err
	}
	pair, err := keys.Open(c.keys, name)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e, err := engine.Open(engine.Config{Name: name, Dir: filepath.Join(c.dir, name), Join: join, Keys: pair, Listener: ln})
	if err != nil {
		return err
	}
	c.all, c.addr = append(c.all, e), append(c.addr, ln.Addr().String())
	return nil
}

// grow adds a replica and returns once it votes.
func (c *cluster) grow(ctx context.Context) error {
	i := len(c.all)
	if err := c.open(i, i > 0); err != nil || i == 0 {
		return err
	}
	if _, err := c.all[0].Do(ctx, store.Command{AddMember: &store.AddMember{Name: fmt.Sprintf("r%d", i), Address: c.addr[i]}}); err != nil {
		return err
	}
	for {
		s, err := c.all[0].Status(ctx)
		if err != nil {
			return err
		}
		if s.MembershipStable && len(s.Peers) == i+1 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (c *cluster) close() {
	for _, e := range c.all {
		if e != nil {
			e.Kill()
		}
	}
}

func (r *Result) copies(ctx context.Context, dir string, n int, limit float64, o Options) error {
	c := &cluster{dir: dir, keys: filepath.Join(dir, "keys")}
	if err := keys.Init(c.keys, "bench"); err != nil {
		return err
	}
	defer c.close()
	for range n {
		if err := c.grow(ctx); err != nil {
			return err
		}
	}
	value := make([]byte, o.Bytes)
	put := func(e *engine.Engine, key string) error {
		_, err := e.Do(ctx, store.Command{Txn: &store.Txn{Then: []store.Op{{Key: key, Value: value}}}})
		return err
	}
	for _, w := range o.Writers {
		o.Say(fmt.Sprintf("%d copies, %d writers", n, w))
		x, err := measure(fmt.Sprintf("writes, %d copies", n), w, o.For, func(worker, i int) error {
			return put(c.all[0], fmt.Sprintf("w%d/%d", worker, i%1000))
		})
		if err != nil {
			return err
		}
		x.Limit = x.Each / limit
		r.Rates = append(r.Rates, x)
		x, err = measure(fmt.Sprintf("linearizable reads, %d copies", n), w, o.For, func(worker, i int) error {
			_, err := c.all[i%n].View(ctx, false, func(s *store.State) { s.Get(fmt.Sprintf("w%d/%d", worker, i%1000)) })
			return err
		})
		if err != nil {
			return err
		}
		r.Rates = append(r.Rates, x)
	}
	if o.Million > 0 && n == 1 {
		if err := r.million(ctx, c.all[0], o, put); err != nil {
			return err
		}
	}
	if n < 3 {
		return nil
	}
	if o.CatchUp > 0 {
		if err := r.catchUp(ctx, c, o); err != nil {
			return err
		}
	}
	return r.leaderless(ctx, c, o, put)
}

func (r *Result) million(ctx context.Context, e *engine.Engine, o Options, put func(*engine.Engine, string) error) error {
	o.Say(fmt.Sprintf("%d writes", o.Million))
	var wg sync.WaitGroup
	const workers = 512
	errs := make([]error, workers)
	for w := range workers {
		wg.Go(func() {
			for i := 0; i < o.Million/workers && errs[w] == nil; i++ {
				errs[w] = put(e, fmt.Sprintf("m%d/%d", w, i%20))
			}
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s, err := e.Status(ctx)
	r.Writes, r.HeapMB, r.DiskMB = o.Million/workers*workers, float64(m.HeapAlloc)/(1<<20), float64(s.DiskBytes)/(1<<20)
	return err
}

func (r *Result) catchUp(ctx context.Context, c *cluster, o Options) error {
	o.Say(fmt.Sprintf("an empty replica at %d MB", o.CatchUp))
	big := make([]byte, 512<<10)
	for i := range o.CatchUp * 2 {
		if _, err := c.all[0].Do(ctx, store.Command{Txn: &store.Txn{Then: []store.Op{{Key: fmt.Sprintf("big/%d", i), Value: big}}}}); err != nil {
			return err
		}
	}
	at := time.Now()
	if err := c.grow(ctx); err != nil {
		return err
	}
	s, err := c.all[len(c.all)-1].Status(ctx)
	r.CatchUp, r.CaughtMB = time.Since(at).Seconds(), float64(s.Bytes)/(1<<20)
	return err
}

// leaderless kills the leader again and again.
func (r *Result) leaderless(ctx context.Context, c *cluster, o Options, put func(*engine.Engine, string) error) error {
	for len(c.all) > 2 && len(r.Leader) < 1 {
		lead := -1
		for i, e := range c.all {
			s, err := e.Status(ctx)
			if err != nil {
				return err
			}
			if s.Leading {
				lead = i
			}
		}
		if lead < 0 {
			continue
		}
		o.Say("without its leader")
		at := time.Now()
		killed := c.all[lead]
		c.all = slices.Delete(slices.Clone(c.all), lead, lead+1)
		if err := killed.Kill(); err != nil {
			return err
		}
		if err := put(c.all[0], "after"); err != nil {
			return err
		}
		r.Leader = append(r.Leader, time.Since(at).Seconds()*1000)
	}
	return nil
}
