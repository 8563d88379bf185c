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

// countingProxy forwards connections to an address, and counts the bytes that pass each way. It returns its own
// address.
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

// copyCounting copies from r to w until one of them ends, adds the bytes to n, and closes w.
func copyCounting(w, r net.Conn, n *atomic.Int64) {
	defer w.Close()
	buf := make([]byte, 32<<10)
	for {
		k, readErr := r.Read(buf)
		n.Add(int64(k))
		_, writeErr := w.Write(buf[:k])
		if readErr != nil || writeErr != nil {
			return
		}
	}
}

// cpuTime is the CPU time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFollowers reports what a follower costs: the components of one replica and of so many followers run in
// this process, without sidecars. Each follower reports new demand, and saves a snapshot of 15 KB, as often as it
// may. FOLLOWERS and FOR are the sizes and the time that is measured; INTEREST is added to the followers' operator
// files.
//
//	go test -run - -bench Followers -benchtime 1x ./cmd/birchmoor
func BenchmarkFollowers(b *testing.B) {
	sizes, span := os.Getenv("FOLLOWERS"), 10*time.Second
	if sizes == "" {
		sizes = "20,60"
	}
	if text := os.Getenv("FOR"); text != "" {
		span, _ = time.ParseDuration(text)
	}
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(text, func(b *testing.B) {
			for range b.N {
				measureFollowerCost(b, n, span)
			}
		})
	}
}

// followerLoad is a set of replicas and followers in this process, without sidecars, whose traffic is counted.
type followerLoad struct {
	b        *testing.B
	ctx      context.Context // ends the load
	dir      string
	log      *slog.Logger
	client   *adminapi.Client // of the first replica
	via      []string         // the replicas as followers name them, by way of counting proxies
	replicas []func()         // end them
	follow   []func()
	busy     sync.WaitGroup
	down, up atomic.Int64 // bytes between followers and replicas
	file     atomic.Int64 // bytes of the followers' files
}

// followersPerReplica is below the 512 followers that a replica takes.
const followersPerReplica = 400

// measureFollowerCost reports what each of n followers costs, for so long.
func measureFollowerCost(b *testing.B, n int, span time.Duration) {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := &followerLoad{b: b, ctx: ctx, dir: shortDir(b), log: slog.New(slog.DiscardHandler)}
	if os.Getenv("SHOW") != "" {
		l.log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	l.startReplicas((n + followersPerReplica - 1) / followersPerReplica)
	l.putLimits()
	for i := range n {
		l.startFollower(i)
	}
	time.Sleep(max(12*time.Second, span/2)) // until the first snapshots are written
	watch, stop := context.WithCancel(ctx)
	defer stop()
	l.busy.Go(func() { l.countFiles(watch, n) })
	time.Sleep(500 * time.Millisecond)
	changes := l.measure(n, span)
	stop()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/float64(n)/1e6, "heap-MB")
	cancel()
	l.busy.Wait()
	var text []string
	for _, p := range slices.Sorted(maps.Keys(changes)) {
		text = append(text, fmt.Sprintf("%s %.0f", p, changes[p]))
	}
	b.Logf("bytes a second of all changes: %s", strings.Join(text, ", "))
	for _, end := range l.follow {
		l.busy.Go(end)
	}
	l.busy.Wait()
	for _, end := range l.replicas {
		end()
	}
}

// startReplicas starts n replicas of one cluster.
func (l *followerLoad) startReplicas(n int) {
	l.b.Helper()
	for i := range n {
		name, listen, serve := string(rune('a'+i)), address.Next(), address.Next()
		more := fmt.Sprintf("listen = %q\nserve = %q\njoin = %v", listen, serve, i > 0)
		_, end := openDaemon(l.b, l.dir, name, more, l.log)
		l.replicas = append(l.replicas, end)
		l.via = append(l.via, fmt.Sprintf("%q", name+"="+countingProxy(l.b, serve, &l.down, &l.up)))
		if i == 0 {
			l.client = adminapi.Dial(filepath.Join(l.dir, "a.sock"))
			continue
		}
		processtest.Until(l.b, "a replica more votes", func() bool {
			_, _ = l.client.Change(l.ctx, admin.ChangeRequest{
				ID:        store.RequestID{Client: 39, Seq: uint64(i)},
				AddMember: &store.AddMember{Name: name, Address: listen},
			}) // retried until it shows in the status
			s, err := l.client.Status(l.ctx)
			learns := func(p replica.PeerStatus) bool { return p.Learner }
			return err == nil && len(s.Peers) > i && !slices.ContainsFunc(s.Peers, learns)
		})
	}
}

// putLimits puts limits in force once the store has a leader.
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

// startFollower starts a follower that saves snapshots of 15 KB and wants another amount of a limit each half second.
func (l *followerLoad) startFollower(i int) {
	l.b.Helper()
	more := fmt.Sprintf("follow = [%s]\n%s", strings.Join(l.via, ", "), os.Getenv("INTEREST"))
	x, end := openDaemon(l.b, l.dir, fmt.Sprint("host", i), more, l.log)
	l.follow = append(l.follow, end)
	snapshot := make([]byte, 15<<10)
	never := func() bool { return false }
	l.busy.Go(func() {
		x.fleet.SaveSnapshots(l.ctx, fmt.Sprint("sidecar", i), "",
			func(context.Context) ([]byte, error) { return snapshot, nil }, never)
	})
	l.busy.Go(func() { l.sendRequests(x.limiter) })
}

// sendRequests has a limiter admit requests, in each half second another number of another class.
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

// countFiles counts the bytes of the followers' files that replace others, until ctx ends.
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
				l.file.Add(info.Size())
			}
			seen[path] = info.ModTime()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// measure reports what each of n followers costs a second, and returns the bytes a second of all changes by the
// beginnings of their keys.
func (l *followerLoad) measure(n int, span time.Duration) map[string]float64 {
	l.b.Helper()
	down, up, used, begin := l.down.Load(), l.up.Load(), cpuTime(), time.Now()
	l.file.Store(0)
	before, err := l.client.Status(l.ctx)
	if err != nil {
		l.b.Fatal(err)
	}
	changes := l.countChanges(before.Revision, span)
	seconds := time.Since(begin).Seconds()
	each := seconds * float64(n)
	l.b.ReportMetric(float64(l.down.Load()-down)/each, "read-B/s")
	l.b.ReportMetric(float64(l.up.Load()-up)/each, "sent-B/s")
	l.b.ReportMetric(float64(l.file.Load())/each, "file-B/s")
	l.b.ReportMetric(100*(cpuTime()-used).Seconds()/each, "cpu-%")
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

// countChanges watches all changes after a revision for so long, and returns their bytes by the beginnings of their
// keys.
func (l *followerLoad) countChanges(revision uint64, span time.Duration) map[string]float64 {
	changes := map[string]float64{}
	ctx, cancel := context.WithTimeout(l.ctx, span)
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
	}) // ends with ctx
	<-ctx.Done()
	return changes
}
