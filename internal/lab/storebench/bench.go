// Package storebench measures the replicated store on real disks and sockets, and checks it under kills and partitions
// of real processes.
//
// All figures of a run come from one machine, among them the upper limit, which is a bare bbolt file with the same
// sync. Only the ratios and the growth of figures are valid for other machines.
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

// Options of a run.
type Options struct {
	Dir          string        // parent of the temporary folder for the stores
	Duration     time.Duration // of each measurement; 0 for 3 s
	Writers      []int         // numbers of concurrent writers; empty for 1, 16 and 256
	Bytes        int           // of a value; 0 for 100
	CatchUp      int           // megabytes of the store that an empty replica copies; 0 to skip this measurement
	MemoryWrites int           // writes after which memory and disk are measured; 0 to skip this measurement
	Progress     func(string)  // called with the progress; may be nil
}

// Rate is the measured rate of one operation.
type Rate struct {
	What      string  `json:"what"`
	Writers   int     `json:"at_once"`  // concurrent writers or readers
	PerSecond float64 `json:"a_second"` // operations a second
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	OfLimit   float64 `json:"of_limit,omitempty"` // ratio of PerSecond to that of bare bbolt with one writer
}

// Result is the result of a run.
type Result struct {
	CPUs            int       `json:"cpus"`
	Rates           []Rate    `json:"rates"`
	WithoutLeaderMs []float64 `json:"without_leader_ms,omitempty"` // from a kill of the leader to the next write
	CatchUp         float64   `json:"catch_up_s,omitempty"`        // until an empty replica votes
	CaughtMB        float64   `json:"caught_mb,omitempty"`         // size of the store at that time
	Writes          int       `json:"writes,omitempty"`            // before HeapMB and DiskMB were measured
	HeapMB          float64   `json:"heap_mb,omitempty"`
	DiskMB          float64   `json:"disk_mb,omitempty"`
}

// measure runs an operation in a number of goroutines for a duration. The operation receives the numbers of the
// goroutine and of its call. An error ends its goroutine and fails the measurement.
func measure(what string, workers int, duration time.Duration, operation func(worker, i int) error) (Rate, error) {
	histograms := make([]*hdrhistogram.Histogram, workers)
	errs := make([]error, workers)
	startedAt := time.Now()
	var wg sync.WaitGroup
	for worker := range workers {
		histograms[worker] = hdrhistogram.New(1, 60_000_000, 3)
		wg.Go(func() {
			for i := 0; time.Since(startedAt) < duration; i++ {
				operationStart := time.Now()
				if errs[worker] = operation(worker, i); errs[worker] != nil {
					return
				}
				_ = histograms[worker].RecordValue(time.Since(operationStart).Microseconds())
			}
		})
	}
	wg.Wait()
	took := time.Since(startedAt).Seconds()
	merged := hdrhistogram.New(1, 60_000_000, 3)
	for worker := range workers {
		if errs[worker] != nil {
			return Rate{}, fmt.Errorf("%s: %w", what, errs[worker])
		}
		merged.Merge(histograms[worker])
	}
	return Rate{What: what, Writers: workers, PerSecond: float64(merged.TotalCount()) / took,
		P50: float64(merged.ValueAtQuantile(50)) / 1000, P99: float64(merged.ValueAtQuantile(99)) / 1000}, nil
}

// Run takes all measurements. Defaults of the options are stated there.
func Run(ctx context.Context, opts Options) (Result, error) {
	if opts.Duration == 0 {
		opts.Duration = 3 * time.Second
	}
	if len(opts.Writers) == 0 {
		opts.Writers = []int{1, 16, 256}
	}
	if opts.Bytes == 0 {
		opts.Bytes = 100
	}
	if opts.Progress == nil {
		opts.Progress = func(string) {}
	}
	dir, err := os.MkdirTemp(opts.Dir, "store-bench-")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(dir)
	result := Result{CPUs: runtime.NumCPU()}
	limit, err := measureBareBbolt(filepath.Join(dir, "bare.db"), opts)
	if err != nil {
		return result, err
	}
	result.Rates = append(result.Rates, limit)
	for _, copies := range []int{1, 3} {
		if ctx.Err() != nil {
			return result, ctx.Err()
		}
		if err := result.measureCopies(
			ctx, filepath.Join(dir, fmt.Sprint(copies)), copies, limit.PerSecond, opts,
		); err != nil {
			return result, err
		}
	}
	return result, nil
}

// measureBareBbolt measures writes to a bbolt file without replication, by one writer.
func measureBareBbolt(path string, opts Options) (Rate, error) {
	opts.Progress("a bare bbolt file")
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		return Rate{}, err
	}
	defer db.Close()
	value := make([]byte, opts.Bytes)
	return measure("bare bbolt", 1, opts.Duration, func(_, i int) error {
		return db.Update(func(tx *bbolt.Tx) error {
			bucket, err := tx.CreateBucketIfNotExists([]byte("b"))
			if err != nil {
				return err
			}
			return bucket.Put(binary.BigEndian.AppendUint64(nil, uint64(i)), value)
		})
	})
}

// cluster is a set of replicas in this process, which communicate over loopback with TLS keys.
type cluster struct {
	dir, keys string
	engines   []*engine.Engine
	addrs     []string
}

// open starts a replica with a new empty folder.
func (c *cluster) open(number int, join bool) error {
	name := fmt.Sprintf("r%d", number)
	if err := keys.Issue(c.keys, name, 24*time.Hour, true); err != nil {
		return err
	}
	pair, err := keys.Open(c.keys, name)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	newEngine, err := engine.Open(engine.Config{
		Name:     name,
		Dir:      filepath.Join(c.dir, name),
		Join:     join,
		Keys:     pair,
		Listener: listener,
	})
	if err != nil {
		return err
	}
	c.engines, c.addrs = append(c.engines, newEngine), append(c.addrs, listener.Addr().String())
	return nil
}

// addReplica adds a replica, and returns once it votes.
func (c *cluster) addReplica(ctx context.Context) error {
	number := len(c.engines)
	if err := c.open(number, number > 0); err != nil || number == 0 {
		return err
	}
	if _, err := c.engines[0].Do(ctx, store.Command{
		AddMember: &store.AddMember{Name: fmt.Sprintf("r%d", number), Address: c.addrs[number]},
	}); err != nil {
		return err
	}
	for {
		status, err := c.engines[0].Status(ctx)
		if err != nil {
			return err
		}
		if status.MembershipStable && len(status.Peers) == number+1 {
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
	for _, e := range c.engines {
		if e != nil {
			e.Kill()
		}
	}
}

// measureCopies takes the measurements of a cluster with a number of replicas. limit is the rate of bare bbolt.
func (r *Result) measureCopies(ctx context.Context, dir string, copies int, limit float64, opts Options) error {
	c := &cluster{dir: dir, keys: filepath.Join(dir, "keys")}
	if err := keys.Init(c.keys, "bench"); err != nil {
		return err
	}
	defer c.close()
	for range copies {
		if err := c.addReplica(ctx); err != nil {
			return err
		}
	}
	value := make([]byte, opts.Bytes)
	put := func(e *engine.Engine, key string) error {
		_, err := e.Do(ctx, store.Command{Txn: &store.Txn{Then: []store.Op{{Key: key, Value: value}}}})
		return err
	}
	for _, writers := range opts.Writers {
		opts.Progress(fmt.Sprintf("%d copies, %d writers", copies, writers))
		rate, err := measure(fmt.Sprintf("writes, %d copies", copies), writers, opts.Duration,
			func(worker, i int) error {
				return put(c.engines[0], fmt.Sprintf("w%d/%d", worker, i%1000))
			})
		if err != nil {
			return err
		}
		rate.OfLimit = rate.PerSecond / limit
		r.Rates = append(r.Rates, rate)
		rate, err = measure(fmt.Sprintf("linearizable reads, %d copies", copies), writers, opts.Duration,
			func(worker, i int) error {
				_, err := c.engines[i%copies].View(ctx, false, func(s *store.State) {
					s.Get(fmt.Sprintf("w%d/%d", worker, i%1000))
				})
				return err
			})
		if err != nil {
			return err
		}
		r.Rates = append(r.Rates, rate)
	}
	if opts.MemoryWrites > 0 && copies == 1 {
		if err := r.measureManyWrites(ctx, c.engines[0], opts, put); err != nil {
			return err
		}
	}
	if copies < 3 {
		return nil
	}
	if opts.CatchUp > 0 {
		if err := r.measureCatchUp(ctx, c, opts); err != nil {
			return err
		}
	}
	return r.measureLeaderLoss(ctx, c, opts, put)
}

// measureManyWrites measures the use of memory and disk after opts.MemoryWrites writes.
func (r *Result) measureManyWrites(
	ctx context.Context, e *engine.Engine, opts Options, put func(*engine.Engine, string) error,
) error {
	opts.Progress(fmt.Sprintf("%d writes", opts.MemoryWrites))
	var wg sync.WaitGroup
	const workers = 512
	errs := make([]error, workers)
	for worker := range workers {
		wg.Go(func() {
			for i := 0; i < opts.MemoryWrites/workers && errs[worker] == nil; i++ {
				errs[worker] = put(e, fmt.Sprintf("m%d/%d", worker, i%20))
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
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	status, err := e.Status(ctx)
	r.Writes, r.HeapMB, r.DiskMB = opts.MemoryWrites/workers*workers,
		float64(stats.HeapAlloc)/(1<<20), float64(status.DiskBytes)/(1<<20)
	return err
}

// measureCatchUp measures how long an empty replica takes to copy a store of opts.CatchUp megabytes and to vote.
func (r *Result) measureCatchUp(ctx context.Context, c *cluster, opts Options) error {
	opts.Progress(fmt.Sprintf("an empty replica at %d MB", opts.CatchUp))
	big := make([]byte, 512<<10)
	for i := range opts.CatchUp * 2 {
		if _, err := c.engines[0].Do(ctx, store.Command{
			Txn: &store.Txn{Then: []store.Op{{Key: fmt.Sprintf("big/%d", i), Value: big}}},
		}); err != nil {
			return err
		}
	}
	startedAt := time.Now()
	if err := c.addReplica(ctx); err != nil {
		return err
	}
	status, err := c.engines[len(c.engines)-1].Status(ctx)
	r.CatchUp, r.CaughtMB = time.Since(startedAt).Seconds(), float64(status.Bytes)/(1<<20)
	return err
}

// measureLeaderLoss kills the leader of a cluster with more than two replicas, and measures the time until the next
// write succeeds.
func (r *Result) measureLeaderLoss(
	ctx context.Context, c *cluster, opts Options, put func(*engine.Engine, string) error,
) error {
	for len(c.engines) > 2 && len(r.WithoutLeaderMs) < 1 {
		leader := -1
		for i, e := range c.engines {
			status, err := e.Status(ctx)
			if err != nil {
				return err
			}
			if status.Leading {
				leader = i
			}
		}
		if leader < 0 {
			continue
		}
		opts.Progress("without its leader")
		killedAt := time.Now()
		killed := c.engines[leader]
		c.engines = slices.Delete(slices.Clone(c.engines), leader, leader+1)
		if err := killed.Kill(); err != nil {
			return err
		}
		if err := put(c.engines[0], "after"); err != nil {
			return err
		}
		r.WithoutLeaderMs = append(r.WithoutLeaderMs, time.Since(killedAt).Seconds()*1000)
	}
	return nil
}
