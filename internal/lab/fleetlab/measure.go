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

// Distribution summarizes the distribution of N durations, in milliseconds.
type Distribution struct {
	N     int     `json:"n"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Worst float64 `json:"worst_ms"`
}

func distribution(durations []time.Duration) Distribution {
	if len(durations) == 0 {
		return Distribution{}
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	milliseconds := func(d time.Duration) float64 { return float64(d) / 1e6 }
	return Distribution{
		len(durations),
		milliseconds(durations[len(durations)/2]),
		milliseconds(durations[min(len(durations)-1, len(durations)*99/100)]),
		milliseconds(durations[len(durations)-1]),
	}
}

// ReportDelays is how long after a report that a server drains the last request reached that server.
type ReportDelays struct {
	Source   string       `json:"what"`   // source of the reports
	Receiver Distribution `json:"here"`   // requests of the daemon that received the report
	Others   Distribution `json:"others"` // requests of the other daemons
}

// MeasureReports measures how fast the report of a drain takes effect, for a number of reports. Each report reaches one
// daemon, from its discovery or from an operator ("maint-on"). The caller must load the fleet such that each server
// receives a request from each daemon every few milliseconds. progress may be nil.
func (f *Fleet) MeasureReports(
	ctx context.Context, reports int, operators bool, progress func(string),
) (ReportDelays, error) {
	result := ReportDelays{Source: "discovery's word"}
	if operators {
		result.Source = "maint-on"
	}
	var toReporter, toOthers []time.Duration
	const settle = 700 * time.Millisecond
	for done := 0; done < reports && ctx.Err() == nil; done += len(f.Servers) / 2 {
		// Half of the servers drain one after the other, and then all of them are up again.
		var wg sync.WaitGroup
		var mu sync.Mutex
		var callErr error
		for i := range len(f.Servers) / 2 {
			server, reporter := f.Servers[i], (done+i)%len(f.Daemons)
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				instance := server.Instance()
				reportedAt := time.Now()
				if operators {
					reply, err := f.Daemons[reporter].CallOperator("maint-on " + instance.ID)
					if err != nil || reply != "YES\n" {
						mu.Lock()
						callErr = fmt.Errorf("maint-on %s: %q, %v", instance.ID, reply, err)
						mu.Unlock()
						return
					}
				} else {
					instance.Lifecycle = "draining"
					f.Daemons[reporter].Report(instance)
				}
				time.Sleep(settle)
				mu.Lock()
				defer mu.Unlock()
				for j := range f.Daemons {
					last, _ := server.LastRequest(j)
					if took := max(0, last.Sub(reportedAt)); j == reporter {
						toReporter = append(toReporter, took)
					} else {
						toOthers = append(toOthers, took)
					}
				}
			})
		}
		wg.Wait()
		if callErr != nil {
			return result, callErr
		}
		for i := range len(f.Servers) / 2 {
			server, reporter := f.Servers[i], (done+i)%len(f.Daemons)
			instance := server.Instance()
			if operators {
				if reply, err := f.Daemons[reporter].CallOperator("maint-off " + instance.ID); err != nil ||
					reply != "YES\n" {
					return result, fmt.Errorf("maint-off %s: %q, %v", instance.ID, reply, err)
				}
				server.SetInstance(instance)
				continue
			}
			// The server is another process, which has warmed up.
			instance.Lifecycle, instance.StartedMs = "up", time.Now().Add(-time.Minute).UnixMilli()
			server.SetInstance(instance)
			for _, d := range f.Daemons {
				d.Report(instance)
			}
		}
		time.Sleep(settle)
		if progress != nil {
			progress(fmt.Sprintf("%s: %d of %d", result.Source, min(reports, done+len(f.Servers)/2), reports))
		}
	}
	result.Receiver, result.Others = distribution(toReporter), distribution(toOthers)
	return result, nil
}

// StartFigures summarizes the starts of a daemon from one source of state.
type StartFigures struct {
	Source          string       `json:"how"` // the source of state
	N               int          `json:"n"`
	Ready           Distribution `json:"ready"`    // from the start of the process until it is ready for requests
	Served          float64      `json:"served"`   // served share of the requests in the first second after that
	DrainedRequests float64      `json:"drained"`  // requests in that second to draining servers, on average
	RestoredServers float64      `json:"recalled"` // servers whose state was restored, on average
}

// MeasureStarts measures starts of the last daemon, a follower, while two servers drain without a report of its
// discovery. It starts from no state ("nothing": its disk is empty and no replica can be reached), from its own disk,
// and with an empty disk from the store of the replicas. progress may be nil.
func (f *Fleet) MeasureStarts(ctx context.Context, starts int, progress func(string)) ([]StartFigures, error) {
	follower := f.Daemons[len(f.Daemons)-1]
	if !follower.follower {
		return nil, fmt.Errorf("starts are measured on a follower, and the fleet has none")
	}
	for i := range 2 {
		instance := f.Servers[i].Instance()
		instance.Lifecycle = "draining"
		f.Servers[i].SetInstance(instance)
		f.Daemons[0].Report(instance)
	}
	follower.SetDiscoverySilent(true)
	select { // the daemons have written their snapshots of the servers' state to the store by then
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(12 * time.Second):
	}
	var results []StartFigures
	for _, source := range []string{"nothing", "own disk", "store of others"} {
		figures := StartFigures{Source: source}
		var ready []time.Duration
		sent, served := 0, 0
		for range starts {
			follower.Kill()
			if source != "own disk" {
				if err := follower.RemoveData(); err != nil {
					return nil, err
				}
			}
			if source == "nothing" { // no replica can be reached
				for _, replica := range f.Daemons[:f.cfg.Replicas] {
					replica.Kill()
				}
			}
			countBefore := f.Servers[0].RequestCount(follower.Number) + f.Servers[1].RequestCount(follower.Number)
			startedAt := time.Now()
			if err := follower.Start(); err != nil {
				return nil, err
			}
			if err := follower.Ready(ctx); err != nil {
				return nil, err
			}
			ready = append(ready, time.Since(startedAt))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 2 * time.Second}
			for end, k := time.Now().Add(time.Second), 0; time.Now().Before(end); k++ {
				sent++
				if follower.SendRequest(ctx, client, fmt.Sprintf("%020x", time.Now().UnixNano())) {
					served++
				}
				time.Sleep(5 * time.Millisecond)
			}
			client.CloseIdleConnections()
			figures.DrainedRequests += float64(f.Servers[0].RequestCount(follower.Number)+
				f.Servers[1].RequestCount(follower.Number)-countBefore) / float64(starts)
			if status, err := follower.Client.Status(ctx); err == nil {
				for _, restored := range status.Startup.Restored {
					figures.RestoredServers += float64(restored.Servers) / float64(starts)
				}
			}
			if source == "nothing" {
				for _, replica := range f.Daemons[:f.cfg.Replicas] {
					if err := replica.Start(); err != nil {
						return nil, err
					}
				}
				for _, replica := range f.Daemons[:f.cfg.Replicas] {
					if err := replica.Ready(ctx); err != nil {
						return nil, err
					}
				}
			}
			if source == "own disk" {
				time.Sleep(2500 * time.Millisecond) // until the copy of the store is on disk
			}
			figures.N++
		}
		figures.Ready, figures.Served = distribution(ready), float64(served)/float64(max(1, sent))
		results = append(results, figures)
		if source == "nothing" {
			// The next starts need an up-to-date copy on disk, and current snapshots in the store.
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(14 * time.Second):
			}
		}
		if progress != nil {
			progress(source)
		}
	}
	return results, nil
}

// WriteFigures counts what a fleet writes to its store while endpoint lists change.
type WriteFigures struct {
	Daemons      int     `json:"daemons"`
	Changes      int     `json:"changes"`  // of the lists: drains and starts, each reported to every daemon
	StateChanges int     `json:"words"`    // changes of the store that record drains and starts
	Entries      int     `json:"entries"`  // of the log in all, with snapshots and rejected proposals
	Snapshots    int     `json:"pictures"` // snapshots of the servers' state that were written
	Seconds      float64 `json:"seconds"`
}

// MeasureWrites counts what the fleet writes during a number of drains and starts of servers, one each interval and
// reported to all daemons at about the same time.
func (f *Fleet) MeasureWrites(ctx context.Context, changes int, interval time.Duration) (WriteFigures, error) {
	result := WriteFigures{Daemons: len(f.Daemons)}
	status := func() (entries, revision uint64, err error) {
		s, err := f.Daemons[0].Client.Status(ctx)
		return s.Applied, s.Revision, err
	}
	entries, _, err := status()
	if err != nil {
		return result, err
	}
	countedRevisions := map[string]uint64{}
	countChanges := func(prefix string) (int, error) {
		response, err := f.Daemons[0].Client.Range(ctx, map[string][]string{"prefix": {prefix}})
		n := 0
		for _, item := range response.Items {
			if item.ModRevision > countedRevisions[item.Key] {
				n += int(item.Version)
				countedRevisions[item.Key] = item.ModRevision
			}
		}
		return n, err
	}
	startedAt := time.Now()
	report := func(instance discovery.Instance) {
		for _, d := range f.Daemons {
			d.Report(instance)
		}
	}
	for k := range changes / 2 {
		s := f.Servers[k%len(f.Servers)]
		instance := s.Instance()
		instance.Lifecycle = "draining"
		s.SetInstance(instance)
		report(instance)
		time.Sleep(interval)
		instance.Lifecycle, instance.StartedMs = "up", time.Now().UnixMilli()
		s.SetInstance(instance)
		report(instance)
		time.Sleep(interval)
		result.Changes += 2
		for _, prefix := range []string{"out/", "start/"} {
			n, err := countChanges(prefix)
			if err != nil {
				return result, err
			}
			result.StateChanges += n
		}
	}
	after, _, err := status()
	result.Entries, result.Seconds = int(after-entries), time.Since(startedAt).Seconds()
	if err != nil {
		return result, err
	}
	response, err := f.Daemons[0].Client.Range(ctx, map[string][]string{"prefix": {"known/"}})
	for _, item := range response.Items {
		result.Snapshots += int(item.Version)
	}
	return result, err
}

// CatchUpFigures holds how long daemons take from their start until they apply the drains of a number of servers in the
// store and their sidecar is ready.
type CatchUpFigures struct {
	Servers  int     `json:"servers"`
	Bytes    int     `json:"store_bytes"`
	Follower float64 `json:"follower_ms"` // a follower with an empty disk
	Disk     float64 `json:"own_disk_ms"` // a follower with its copy on disk
	Replica  float64 `json:"replica_ms"`  // a replica that was killed
}

// MeasureCatchUp writes drains of a number of servers that no endpoint list contains into the store, and measures
// starts of daemons.
func (f *Fleet) MeasureCatchUp(ctx context.Context, servers int) (CatchUpFigures, error) {
	result := CatchUpFigures{Servers: servers}
	daemon, replica := f.Daemons[len(f.Daemons)-1], f.Daemons[1]
	if !daemon.follower {
		return result, fmt.Errorf("catching up is measured on a follower, and the fleet has none")
	}
	record, err := cbor.Marshal(serverstate.ExclusionRecord{ReportedBy: "lab"})
	if err != nil {
		return result, err
	}
	for first := 0; first < servers; first += 100 {
		txn := &store.Txn{}
		for i := first; i < min(first+100, servers); i++ {
			process := serverstate.Process{
				ID:        fmt.Sprintf("far-%05d", i),
				Addr:      fmt.Sprintf("127.0.0.1:%d", 1+i%60000),
				StartedMs: int64(1 + i),
			}
			txn.Then = append(txn.Then, store.Op{
				Key:   serverstate.ExclusionKey(serverstate.Drain, process.ServerName()),
				Value: record,
			})
		}
		if _, err := f.Daemons[0].Client.Change(ctx, admin.ChangeRequest{
			ID:  store.RequestID{Client: 1 << 41, Seq: uint64(first + 1)},
			Txn: txn,
		}); err != nil {
			return result, err
		}
	}
	time.Sleep(3 * time.Second) // until the follower's copy is on disk
	start := func(daemon *Daemon) (float64, error) {
		startedAt := time.Now()
		if err := daemon.Start(); err != nil {
			return 0, err
		}
		if err := daemon.Ready(ctx); err != nil {
			return 0, err
		}
		for ctx.Err() == nil {
			if status, err := daemon.Client.Status(ctx); err == nil && status.Daemon.Exclusions >= servers {
				result.Bytes = status.Bytes
				return float64(time.Since(startedAt)) / 1e6, nil
			}
			time.Sleep(time.Millisecond)
		}
		return 0, ctx.Err()
	}
	daemon.Kill()
	if result.Disk, err = start(daemon); err != nil {
		return result, err
	}
	daemon.Kill()
	if err := daemon.RemoveData(); err != nil {
		return result, err
	}
	if result.Follower, err = start(daemon); err != nil {
		return result, err
	}
	replica.Kill()
	result.Replica, err = start(replica)
	return result, err
}

// Cost is what the store costs a sidecar at full load, from pairs of measurements with and without the store.
type Cost struct {
	Pairs   int     `json:"pairs"`
	With    float64 `json:"with_per_s"`    // median of requests a second with the store
	Without float64 `json:"without_per_s"` // median without it
	Ratio   Ratio   `json:"ratio"`         // with to without, of requests a second
	P99     Ratio   `json:"p99_ratio"`     // with to without, of the 99th percentile of latency
}

// Ratio summarizes the ratios of pairs of measurements. Its fields are written out under their own names.
type Ratio struct{ Least, Median, Most float64 }

// ratioSummary sorts its argument, which must not be empty.
func ratioSummary(ratios []float64) Ratio {
	sort.Float64s(ratios)
	return Ratio{ratios[0], ratios[len(ratios)/2], ratios[len(ratios)-1]}
}

// MeasureCost loads the last daemon alternately as a follower and as the same program without a store, for a duration
// each, while the endpoint lists of all daemons change four times a second.
func (f *Fleet) MeasureCost(ctx context.Context, pairs int, duration time.Duration) (Cost, error) {
	cost := Cost{Pairs: pairs}
	daemon := f.Daemons[len(f.Daemons)-1]
	changeCtx, stop := context.WithCancel(ctx)
	defer stop()
	var changing sync.WaitGroup
	changing.Go(func() {
		for k := 0; changeCtx.Err() == nil; k++ {
			server := f.Servers[k%(len(f.Servers)/2)]
			instance := server.Instance()
			instance.Lifecycle, instance.StartedMs = "up", time.Now().Add(-time.Hour).UnixMilli()+int64(k)
			if k/(len(f.Servers)/2)%2 == 0 {
				instance.Lifecycle = "draining"
			}
			server.SetInstance(instance)
			for _, daemon := range f.Daemons {
				daemon.Report(instance)
			}
			select {
			case <-changeCtx.Done():
			case <-time.After(250 * time.Millisecond):
			}
		}
	})
	defer changing.Wait()
	defer stop()
	var rateRatios, p99Ratios []float64
	var with, without []float64
	for range pairs {
		var ratePair, p99s [2]float64
		for i, plain := range []bool{false, true} {
			daemon.Kill()
			daemon.sidecarOnly = plain
			if err := daemon.Start(); err != nil {
				return cost, err
			}
			if err := daemon.Ready(ctx); err != nil {
				return cost, err
			}
			time.Sleep(time.Second)
			served, p99 := daemon.saturate(ctx, 16, duration)
			ratePair[i], p99s[i] = float64(served)/duration.Seconds(), float64(p99)
		}
		with, without = append(with, ratePair[0]), append(without, ratePair[1])
		rateRatios, p99Ratios = append(rateRatios, ratePair[0]/ratePair[1]), append(p99Ratios, p99s[0]/p99s[1])
	}
	daemon.Kill()
	daemon.sidecarOnly = false
	cost.With, cost.Without, cost.Ratio, cost.P99 = ratioSummary(with).Median, ratioSummary(without).Median,
		ratioSummary(rateRatios), ratioSummary(p99Ratios)
	return cost, daemon.Start()
}

// saturate sends requests without a pause over a number of connections. It returns the number of served requests and
// the 99th percentile of their latency.
func (d *Daemon) saturate(ctx context.Context, conns int, duration time.Duration) (served int, p99 time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	for conn := range conns {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			var connLatencies []time.Duration
			for n := 0; ctx.Err() == nil; n++ {
				sentAt := time.Now()
				if d.SendRequest(ctx, client, fmt.Sprintf("%02x%06x%012x", conn, d.Number,
					time.Now().UnixNano()&0xffffffffffff)) {
					connLatencies = append(connLatencies, time.Since(sentAt))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, connLatencies...)
		})
	}
	wg.Wait()
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	if len(latencies) == 0 {
		return 0, 0
	}
	return len(latencies), latencies[len(latencies)*99/100]
}
