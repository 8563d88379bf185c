package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"birchmoor/internal/core"
	"birchmoor/internal/lab/address"
	"birchmoor/internal/limit"
	"birchmoor/internal/operate"
	"birchmoor/internal/operator"
)

// counting forwards connections to an address, and counts the bytes that pass.
func counting(b *testing.B, to string, down, up *atomic.Int64) string {
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

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFollowers counts what a follower costs: the daemon's parts of one replica and of so many followers in this process, without
// sidecars. Each tells a new want as often as it may, and a picture of 15 KB as often as it may. FOLLOWERS and FOR are the sizes and the
// time that is measured; INTEREST goes into the followers' operator files.
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
				measureFollowers(b, n, span)
			}
		})
	}
}

func measureFollowers(b *testing.B, n int, span time.Duration) {
	quiet := slog.New(slog.DiscardHandler)
	if os.Getenv("SHOW") != "" {
		quiet = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	dir, err := os.MkdirTemp("", "f") // short: sockets' paths are bounded
	if err != nil {
		b.Fatal(err)
	}
	defer os.RemoveAll(dir)
	serve, err := address.Free()
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var ends []func()
	open := func(name, more string) *extras {
		file := filepath.Join(dir, name+".toml")
		text := fmt.Sprintf("[store]\nname = %q\ndir = %q\nsocket = %q\nplain = true\n%s\n[limits]\n", name, name, name+".sock", more)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
		f, err := operator.Read(file)
		if err != nil {
			b.Fatal(err)
		}
		x, end, err := openStore(f, false, nil, quiet)
		if err != nil {
			b.Fatal(err)
		}
		ends = append(ends, end)
		return x
	}
	var down, up atomic.Int64
	listen, err := address.Free()
	if err != nil {
		b.Fatal(err)
	}
	open("a", fmt.Sprintf("listen = %q\nserve = %q", listen, serve))
	via := counting(b, serve, &down, &up)
	client := operate.Dial(filepath.Join(dir, "a.sock"))
	l := &limit.Limit{Name: "all", Kind: limit.Rate, Of: limit.Requests, Span: 1e8, Without: limit.Strict, By: []string{"class"},
		Nodes: []limit.Node{{Most: 10000 * limit.One, Weight: 1}}}
	for i := range 4 {
		l.Nodes = append(l.Nodes, limit.Node{Path: fmt.Sprint("class", i), Most: 5000 * limit.One, Weight: 1})
	}
	for begun := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		if _, err = client.PutLimits(ctx, &limit.Conf{Limits: []*limit.Limit{l}}); err == nil {
			break
		} else if time.Since(begun) > 10*time.Second {
			b.Fatal(err)
		}
	}
	var all []*extras
	var busy sync.WaitGroup
	for i := range n {
		x := open(fmt.Sprint("host", i), fmt.Sprintf("follow = [\"a=%s\"]\n%s", via, os.Getenv("INTEREST")))
		all = append(all, x)
		known := make([]byte, 15<<10)
		busy.Go(func() {
			x.fleet.Keep(ctx, fmt.Sprint("sidecar", i), "", func(context.Context) ([]byte, error) { return known, nil }, func() bool { return false })
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
					if ended, no := x.limits.Take(&core.Asked{Class: fmt.Sprint("class", class), Worth: 1}); no == nil && ended != nil {
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
	read, sent, used, at := down.Load(), up.Load(), cpu(), time.Now()
	file.Store(0)
	before, err := client.Status(ctx)
	if err != nil {
		b.Fatal(err)
	}
	time.Sleep(span)
	s := time.Since(at).Seconds()
	each := s * float64(n)
	b.ReportMetric(float64(down.Load()-read)/each, "read-B/s")
	b.ReportMetric(float64(up.Load()-sent)/each, "sent-B/s")
	b.ReportMetric(float64(file.Load())/each, "file-B/s")
	b.ReportMetric(100*(cpu()-used).Seconds()/each, "cpu-%")
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
	cancel()
	busy.Wait()
	for _, end := range ends[1:] {
		busy.Go(end)
	}
	busy.Wait()
	ends[0]()
}
