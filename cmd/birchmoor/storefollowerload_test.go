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
	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/operatorconfig"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/lab/address"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/testutil/processtest"
)

// countingProxy forwards connections to an address, and counts the bytes that pass.
func countingProxy(b *testing.B, to string, down, up *atomic.Int64) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ln.Close() })
	pass := func(w, r net.Conn, n *atomic.Int64) {
		defer w.Close()
		buf := make([]byte, 32<<10)
		for {
			k, err := r.Read(buf)
			n.Add(int64(k))
			if _, bad := w.Write(buf[:k]); err != nil || bad != nil {
				return
			}
		}
	}
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
			go pass(in, out, down)
			go pass(out, in, up)
		}
	}()
	return ln.Addr().String()
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFollowers counts what a follower costs: the daemon's parts of one replica and of so many followers in
// this process, without sidecars. Each tells a new want as often as it may, and a picture of 15 KB as often as it
// may. FOLLOWERS and FOR are the sizes and the time that is measured; INTEREST goes into the followers' operator
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

// openDaemon starts a daemon of this process, without a sidecar; more is of its [store].
func openDaemon(tb testing.TB, dir, name, more string, log *slog.Logger) (x *fleetServices, end func()) {
	tb.Helper()
	file := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf("[store]\nname = %q\ndir = %q\nsocket = %q\nplain = true\n%s\n[limits]\n", name, name, name+".sock", more)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
	f, err := operatorconfig.Read(file)
	if err != nil {
		tb.Fatal(err)
	}
	if x, end, err = openControlPlane(f, false, nil, log); err != nil {
		tb.Fatal(err)
	}
	return x, end
}

// shortDir is a folder whose name leaves room for those of sockets.
func shortDir(tb testing.TB) string {
	dir, err := os.MkdirTemp("", "f") //nolint:usetesting // t.TempDir is too long for the path of a Unix socket
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// partitionedRateLimit is a limit whose parts are the classes class0 to class3.
func partitionedRateLimit() *quota.Config {
	l := &quota.Limit{Name: "all", Kind: quota.Rate, Unit: quota.Requests, Window: 1e8, Fallback: quota.Strict, PartitionBy: []string{"class"},
		Nodes: []quota.Node{{Capacity: 10000 * quota.AmountUnit, Weight: 1}}}
	for i := range 4 {
		l.Nodes = append(l.Nodes, quota.Node{Path: fmt.Sprint("class", i), Capacity: 5000 * quota.AmountUnit, Weight: 1})
	}
	return &quota.Config{Limits: []*quota.Limit{l}}
}

// A follower's copy holds what its daemon needs; its people are shown what there is all the same, by way of a
// replica, or told that it is not shown. One whose file says so holds all, as one of the version before.
func TestFollowerStoresOnlyItsInterest(t *testing.T) {
	t.Parallel()
	quiet, dir, serve := slog.New(slog.DiscardHandler), shortDir(t), address.Next()
	_, end := openDaemon(t, dir, "a", fmt.Sprintf("listen = %q\nserve = %q", address.Next(), serve), quiet)
	over := sync.OnceFunc(end)
	defer over()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	clients := map[string]*adminapi.Client{"a": adminapi.Dial(filepath.Join(dir, "a.sock"))}
	processtest.Until(t, "limits are put", func() bool { _, err := clients["a"].PutLimits(ctx, partitionedRateLimit()); return err == nil })
	var ending sync.WaitGroup
	defer ending.Wait()
	for name, more := range map[string]string{"h0": "", "h1": "", "h2": "interest = \"all\"\n"} {
		_, end := openDaemon(t, dir, name, fmt.Sprintf("follow = [\"a=%s\"]\n%s", serve, more), quiet)
		defer ending.Go(end)
		clients[name] = adminapi.Dial(filepath.Join(dir, name+".sock"))
	}
	words := url.Values{"prefix": {quota.DemandPrefix}}
	stale := url.Values{"prefix": {quota.DemandPrefix}, "stale": {"true"}}
	processtest.Until(t, "all tell", func() bool {
		i, err := clients["a"].Range(ctx, words)
		return err == nil && len(i.Items) == 4
	})
	processtest.Until(t, "each holds its own", func() bool {
		st, err := clients["h0"].Status(ctx)
		return err == nil && st.Interest != nil && st.Interest.Covers(quota.DemandPrefix+"h0/1") && !st.Interest.Covers(quota.DemandPrefix+"h1/1")
	})
	if i, err := clients["h0"].Range(ctx, words); err != nil || len(i.Items) != 4 {
		t.Errorf("by way of a replica: %d, %v", len(i.Items), err)
	}
	if i, err := clients["h0"].Range(ctx, stale); err == nil || !strings.Contains(err.Error(), "does not hold") {
		t.Errorf("its own copy: %d, %v", len(i.Items), err)
	}
	if err := clients["h0"].Watch(ctx, words, func(store.Event) error { return nil }); err == nil || !strings.Contains(err.Error(), "does not hold") {
		t.Errorf("a watch: %v", err)
	}
	if i, err := clients["h2"].Range(ctx, stale); err != nil || len(i.Items) != 4 {
		t.Errorf("a copy of all: %d, %v", len(i.Items), err)
	}
	if l, err := clients["h0"].Limits(ctx, ""); err != nil || l.Fault != "" || len(l.Limits) != 1 || len(l.Limits[0].NodeStatuses[0].Processes) != 4 {
		t.Errorf("limits: %+v, %v", l, err)
	}
	processtest.Until(t, "all take part", func() bool {
		all, err := clients["h0"].Tasks(ctx, daemon.FleetTask)
		return err == nil && len(all) == 1 && len(all[0].Queue) == 4
	})
	socket := filepath.Join(dir, "h0.sock")
	if code, _, errs := birchmoor("store", "watch", "limit/", "--socket", socket); code != 2 || !strings.Contains(errs, "a replica has to be asked") {
		t.Errorf("%d %s", code, errs)
	}
	if code, out, errs := birchmoor("store", "status", "--socket", socket); code != 0 || !strings.Contains(out, "; a part: ") || !strings.Contains(out, " limit/grant/h0/ ") {
		t.Errorf("%d %s %s", code, out, errs)
	}
	over()
	if l, err := clients["h0"].Limits(ctx, ""); err != nil || !strings.Contains(l.Fault, "no replica tells of the others") {
		t.Errorf("limits with no replica: %+v, %v", l, err)
	}
}

func measureFollowerCost(b *testing.B, n int, span time.Duration) {
	quiet := slog.New(slog.DiscardHandler)
	if os.Getenv("SHOW") != "" {
		quiet = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	dir := shortDir(b)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var ends []func()
	open := func(name, more string) *fleetServices {
		x, end := openDaemon(b, dir, name, more, quiet)
		ends = append(ends, end)
		return x
	}
	var down, up atomic.Int64
	var via []string // a replica takes 512 followers at most
	for i := range (n + 399) / 400 {
		name, listen, serve := string(rune('a'+i)), address.Next(), address.Next()
		open(name, fmt.Sprintf("listen = %q\nserve = %q\njoin = %v", listen, serve, i > 0))
		via = append(via, fmt.Sprintf("%q", name+"="+countingProxy(b, serve, &down, &up)))
		if i == 0 {
			continue
		}
		processtest.Until(b, "a replica more votes", func() bool {
			c := adminapi.Dial(filepath.Join(dir, "a.sock"))
			_, _ = c.Change(ctx, admin.ChangeRequest{ID: store.RequestID{Client: 39, Seq: uint64(i)}, AddMember: &store.AddMember{Name: name, Address: listen}})
			s, err := c.Status(ctx)
			return err == nil && len(s.Peers) > i && !slices.ContainsFunc(s.Peers, func(p replica.Peer) bool { return p.Learner })
		})
	}
	client := adminapi.Dial(filepath.Join(dir, "a.sock"))
	for begun := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		if _, err := client.PutLimits(ctx, partitionedRateLimit()); err == nil {
			break
		} else if time.Since(begun) > 10*time.Second {
			b.Fatal(err)
		}
	}
	var all []*fleetServices
	var busy sync.WaitGroup
	for i := range n {
		x := open(fmt.Sprint("host", i), fmt.Sprintf("follow = [%s]\n%s", strings.Join(via, ", "), os.Getenv("INTEREST")))
		all = append(all, x)
		known := make([]byte, 15<<10)
		busy.Go(func() {
			x.fleet.SaveSnapshots(ctx, fmt.Sprint("sidecar", i), "", func(context.Context) ([]byte, error) { return known, nil }, func() bool { return false })
		})
		busy.Go(func() { // what is wanted is another amount each half second
			t := time.NewTicker(50 * time.Millisecond)
			defer t.Stop()
			k, class := 1, 0
			for at := 0; ; at++ {
				select {
				case <-ctx.Done():
					return
				case <-t.C:
				}
				if at%10 == 0 {
					k, class = rand.IntN(20), rand.IntN(4)
				}
				for range k {
					if ended, no := x.limiter.Admit(&core.LimiterRequest{Class: fmt.Sprint("class", class), PriorityWeight: 1}); no == nil && ended != nil {
						ended(true)
					}
				}
			}
		})
	}
	time.Sleep(max(12*time.Second, span/2)) // the first pictures are put
	var file atomic.Int64
	watch, stop := context.WithCancel(ctx)
	busy.Go(func() { // files that are put in the place of others
		seen := map[string]time.Time{}
		for watch.Err() == nil {
			for i := range n {
				path := filepath.Join(dir, fmt.Sprint("host", i), "copy")
				if info, err := os.Stat(path); err == nil && seen[path] != info.ModTime() {
					if !seen[path].IsZero() {
						file.Add(info.Size())
					}
					seen[path] = info.ModTime()
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	time.Sleep(500 * time.Millisecond)
	read, sent, used, at := down.Load(), up.Load(), cpuTime(), time.Now()
	file.Store(0)
	before, err := client.Status(ctx)
	if err != nil {
		b.Fatal(err)
	}
	purposes := map[string]int{} // bytes of what changes, as followers are told it, by the keys' beginning
	told, quit := context.WithTimeout(ctx, span)
	busy.Go(func() {
		_ = client.Watch(told, url.Values{"after": {strconv.FormatUint(before.Revision, 10)}}, func(e store.Event) error {
			text, _ := json.Marshal(e)
			of, rest, _ := strings.Cut(e.Item.Key, "/")
			if of == "limit" {
				rest, _, _ = strings.Cut(rest, "/")
				of += "/" + rest
			}
			purposes[of] += len(text)
			return nil
		})
	})
	time.Sleep(span)
	s := time.Since(at).Seconds()
	each := s * float64(n)
	b.ReportMetric(float64(down.Load()-read)/each, "read-B/s")
	b.ReportMetric(float64(up.Load()-sent)/each, "sent-B/s")
	b.ReportMetric(float64(file.Load())/each, "file-B/s")
	b.ReportMetric(100*(cpuTime()-used).Seconds()/each, "cpu-%")
	after, err := client.Status(ctx)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(after.Revision-before.Revision)/s, "revisions/s")
	b.ReportMetric(float64(after.Keys), "keys")
	stop()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/float64(n)/1e6, "heap-MB")
	quit()
	cancel()
	busy.Wait()
	var text []string
	for _, p := range slices.Sorted(maps.Keys(purposes)) {
		text = append(text, fmt.Sprintf("%s %.0f", p, float64(purposes[p])/s))
	}
	b.Logf("bytes a second of all changes: %s", strings.Join(text, ", "))
	for _, end := range ends[len(via):] {
		busy.Go(end)
	}
	busy.Wait()
	for _, end := range ends[:len(via)] {
		end()
	}
}
