package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/lab/address"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/testutil/processtest"
)

// countingProxy forwards connections to the address to until the benchmark ends, and returns its own address. It adds
// the bytes sent to its clients to down, and those from them to up.
func countingProxy(b *testing.B, to string, down, up *atomic.Int64) string {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ln.Close() })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			go copyCounting(in, out, down)
			go copyCounting(out, in, up)
		}
	}()
	return ln.Addr().String()
}

// copyCounting copies from r to w until a read or write fails, adds the number of bytes to n, and then closes w.
func copyCounting(w, r net.Conn, n *atomic.Int64) {
	defer w.Close()
	buf := make([]byte, 32<<10)
	for {
		readBytes, readErr := r.Read(buf)
		n.Add(int64(readBytes))
		_, writeErr := w.Write(buf[:readBytes])
		if readErr != nil || writeErr != nil {
			return
		}
	}
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFollowers reports what a follower costs. Replicas and followers without sidecars run in this process. Each
// follower reports changed demand and saves a snapshot of 15 KB as often as its intervals allow. The environment
// variable FOLLOWERS lists the numbers of followers, FOR is the duration of the measurement, INTEREST is added to the
// [store] sections of the followers' operator files, and SHOW prints the log.
//
//	go test -run - -bench Followers -benchtime 1x ./cmd/birchmoor
func BenchmarkFollowers(b *testing.B) {
	sizes, duration := os.Getenv("FOLLOWERS"), 10*time.Second
	if sizes == "" {
		sizes = "20,60"
	}
	if text := os.Getenv("FOR"); text != "" {
		duration, _ = time.ParseDuration(text)
	}
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(text, func(b *testing.B) {
			for range b.N {
				measureFollowerCost(b, n, duration)
			}
		})
	}
}

// followerLoad is a cluster of replicas and its followers in this process, without sidecars. It counts their traffic.
type followerLoad struct {
	b                  *testing.B
	ctx                context.Context // its end stops the followers' requests and snapshots
	dir                string
	log                *slog.Logger
	client             *adminapi.Client // of the first replica
	replicaEndpoints   []string         // NAME=ADDRESS of each replica, through a counting proxy
	stopReplicas       []func()         // shut the replicas down
	stopFollowers      []func()         // shut the followers down
	running            sync.WaitGroup
	bytesDown, bytesUp atomic.Int64 // bytes sent to followers, and by them
	fileBytes          atomic.Int64 // bytes that followers wrote to their files
}

// followersPerReplica is below the limit of 512 followers at a replica.
const followersPerReplica = 400

// measureFollowerCost runs a number of followers and reports what each of them costs during the given time.
func measureFollowerCost(b *testing.B, followers int, duration time.Duration) {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := &followerLoad{b: b, ctx: ctx, dir: shortDir(b), log: slog.New(slog.DiscardHandler)}
	if os.Getenv("SHOW") != "" {
		load.log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	load.startReplicas((followers + followersPerReplica - 1) / followersPerReplica)
	load.putLimits()
	for i := range followers {
		load.startFollower(i)
	}
	time.Sleep(max(12*time.Second, duration/2)) // until the first snapshots have been saved
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	load.running.Go(func() { load.countFiles(watchCtx, followers) })
	time.Sleep(500 * time.Millisecond)
	changes := load.measure(followers, duration)
	stop()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/float64(followers)/1e6, "heap-MB")
	cancel()
	load.running.Wait()
	var text []string
	for _, p := range slices.Sorted(maps.Keys(changes)) {
		text = append(text, fmt.Sprintf("%s %.0f", p, changes[p]))
	}
	b.Logf("bytes per second of all changes, by key prefix: %s", strings.Join(text, ", "))
	for _, end := range load.stopFollowers {
		load.running.Go(end)
	}
	load.running.Wait()
	for _, end := range load.stopReplicas {
		end()
	}
}

// startReplicas starts n replicas of one cluster, each behind a counting proxy, and waits until all are voters.
func (l *followerLoad) startReplicas(n int) {
	l.b.Helper()
	for i := range n {
		name, listen, serve := string(rune('a'+i)), address.Next(), address.Next()
		more := fmt.Sprintf("listen = %q\nserve = %q\njoin = %v", listen, serve, i > 0)
		_, end := openDaemon(l.b, l.dir, name, more, l.log)
		l.stopReplicas = append(l.stopReplicas, end)
		l.replicaEndpoints = append(l.replicaEndpoints,
			fmt.Sprintf("%q", name+"="+countingProxy(l.b, serve, &l.bytesDown, &l.bytesUp)))
		if i == 0 {
			l.client = adminapi.Dial(filepath.Join(l.dir, "a.sock"))
			continue
		}
		processtest.Until(l.b, "the added replica is a voter", func() bool {
			_, _ = l.client.Change(l.ctx, admin.ChangeRequest{
				ID:        store.RequestID{Client: 39, Seq: uint64(i)},
				AddMember: &store.AddMember{Name: name, Address: listen},
			}) // an error is retried until the status shows the member
			s, err := l.client.Status(l.ctx)
			learns := func(p replica.PeerStatus) bool { return p.Learner }
			return err == nil && len(s.Peers) > i && !slices.ContainsFunc(s.Peers, learns)
		})
	}
}

// putLimits puts limits in force. It retries while the store has no leader.
func (l *followerLoad) putLimits() {
	l.b.Helper()
	for begin := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		_, err := l.client.PutLimits(l.ctx, partitionedRateLimit())
		if err == nil {
			return
		}
		if time.Since(begin) > 10*time.Second {
			l.b.Fatal(err)
		}
	}
}

// startFollower starts a follower that saves snapshots of 15 KB and whose demand changes every half second.
func (l *followerLoad) startFollower(i int) {
	l.b.Helper()
	more := fmt.Sprintf("follow = [%s]\n%s", strings.Join(l.replicaEndpoints, ", "), os.Getenv("INTEREST"))
	services, end := openDaemon(l.b, l.dir, fmt.Sprint("host", i), more, l.log)
	l.stopFollowers = append(l.stopFollowers, end)
	snapshot := make([]byte, 15<<10)
	never := func() bool { return false }
	l.running.Go(func() {
		services.fleet.SaveSnapshots(l.ctx, fmt.Sprint("sidecar", i), "",
			func(context.Context) ([]byte, error) { return snapshot, nil }, never)
	})
	l.running.Go(func() { l.sendRequests(services.limiter) })
}

// sendRequests sends a limiter requests until l.ctx ends. Their number and class change every half second.
func (l *followerLoad) sendRequests(limiter core.Limiter) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	requests, class := 1, 0
	for tick := 0; ; tick++ {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
		}
		if tick%10 == 0 {
			requests, class = rand.IntN(20), rand.IntN(4)
		}
		for range requests {
			ended, rejection := limiter.Admit(&core.LimiterRequest{Class: fmt.Sprint("class", class), PriorityWeight: 1})
			if rejection == nil && ended != nil {
				ended(true)
			}
		}
	}
}

// countFiles adds the size of each follower's copy file to l.fileBytes whenever it is replaced, until ctx ends.
func (l *followerLoad) countFiles(ctx context.Context, n int) {
	seen := map[string]time.Time{}
	for ctx.Err() == nil {
		for i := range n {
			path := filepath.Join(l.dir, fmt.Sprint("host", i), "copy")
			info, err := os.Stat(path)
			if err != nil || seen[path].Equal(info.ModTime()) {
				continue
			}
			if !seen[path].IsZero() {
				l.fileBytes.Add(info.Size())
			}
			seen[path] = info.ModTime()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// measure reports what each of n followers costs per second during the given time. It returns the bytes per second of
// all changes in the store, by the prefix of their keys.
func (l *followerLoad) measure(n int, duration time.Duration) map[string]float64 {
	l.b.Helper()
	down, up, cpuBefore, begin := l.bytesDown.Load(), l.bytesUp.Load(), cpuTime(), time.Now()
	l.fileBytes.Store(0)
	before, err := l.client.Status(l.ctx)
	if err != nil {
		l.b.Fatal(err)
	}
	changes := l.countChanges(before.Revision, duration)
	seconds := time.Since(begin).Seconds()
	followerSeconds := seconds * float64(n)
	l.b.ReportMetric(float64(l.bytesDown.Load()-down)/followerSeconds, "read-B/s")
	l.b.ReportMetric(float64(l.bytesUp.Load()-up)/followerSeconds, "sent-B/s")
	l.b.ReportMetric(float64(l.fileBytes.Load())/followerSeconds, "file-B/s")
	l.b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/followerSeconds, "cpu-%")
	after, err := l.client.Status(l.ctx)
	if err != nil {
		l.b.Fatal(err)
	}
	l.b.ReportMetric(float64(after.Revision-before.Revision)/seconds, "revisions/s")
	l.b.ReportMetric(float64(after.Keys), "keys")
	for prefix := range changes {
		changes[prefix] /= seconds
	}
	return changes
}

// countChanges watches all changes after a revision during the given time, and returns their bytes by the prefix of
// their keys: the part before the first slash or, for limits, before the second one.
func (l *followerLoad) countChanges(revision uint64, duration time.Duration) map[string]float64 {
	changes := map[string]float64{}
	ctx, cancel := context.WithTimeout(l.ctx, duration)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(revision, 10)}}
	_ = l.client.Watch(ctx, query, func(e store.Event) error {
		text, err := json.Marshal(e)
		prefix, rest, _ := strings.Cut(e.Item.Key, "/")
		if prefix == "limit" {
			kind, _, _ := strings.Cut(rest, "/")
			prefix += "/" + kind
		}
		changes[prefix] += float64(len(text))
		return err
	}) // fails when ctx ends
	<-ctx.Done()
	return changes
}
