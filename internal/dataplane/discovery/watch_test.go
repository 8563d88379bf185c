package discovery_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/sidecartest"
)

// watching starts a watcher and returns what it tells.
func watching(t *testing.T, b *sidecartest.Board, mute time.Duration) <-chan discovery.List {
	told := make(chan discovery.List, 16)
	w := discovery.NewWatcher(b.Addr, 7, 16, func(_ context.Context, l discovery.List) { told <- l }, sidecartest.Quiet)
	w.IdleTimeout = mute
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { w.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return told
}

// A watch that ends, is malformed or is mute is asked for again, from the latest list on. What is stale is
// passed over.
func TestRunReopensBrokenWatch(t *testing.T) {
	b := sidecartest.NewBoard(t)
	told := watching(t, b, sidecartest.Soon)
	expect := func(want string) {
		t.Helper()
		if got := sidecartest.Within(t, b.Asked, "watch"); got != want {
			t.Errorf("watch asked with %q, want %q", got, want)
		}
	}
	hear := func(want int64) {
		t.Helper()
		if got := sidecartest.Within(t, told, "list").Generation; got != want {
			t.Errorf("told of %d, want %d", got, want)
		}
	}
	expect("1 7")
	b.Lines <- sidecartest.Line(8, true, sidecartest.Up("s-1", "127.0.0.1:1"))
	hear(8)
	b.Lines <- " "
	b.Lines <- sidecartest.Line(5, true) // stale
	b.Lines <- sidecartest.Line(9, false)
	hear(9)
	b.Lines <- ""
	expect("1 9")
	b.Lines <- sidecartest.Line(10, false)
	hear(10)
	b.Lines <- `{"generation":11,"instances":[{]}`
	expect("1 10")
	b.Lines <- sidecartest.Line(11, false)
	hear(11)
}

// A machine that is cut off leaves the watch open and silent.
func TestRunReopensSilentWatch(t *testing.T) {
	b := sidecartest.NewBoard(t)
	watching(t, b, 50*time.Millisecond)
	sidecartest.Within(t, b.Asked, "first watch")
	if got := sidecartest.Within(t, b.Asked, "watch after a mute one"); got != "1 7" {
		t.Errorf("asked with %q, want %q", got, "1 7")
	}
}

// A list may stand on several lines, and one that ends in the middle changes nothing: the next watch tells it again.
func TestRunReadsListsOnSeveralLines(t *testing.T) {
	b := sidecartest.NewBoard(t)
	told := watching(t, b, sidecartest.Soon)
	sidecartest.Within(t, b.Asked, "watch")
	b.Lines <- "{\n  \"generation\": 8,\n  \"reset\": true,\n\n  \"instances\": [\n  ]\n}"
	b.Lines <- "  " + sidecartest.Line(9, false) + sidecartest.Line(10, false)
	for _, want := range []int64{8, 9, 10} {
		if got := sidecartest.Within(t, told, "list").Generation; got != want {
			t.Errorf("told of %d, want %d", got, want)
		}
	}
	b.Lines <- `{"generation":11,"reset":true,"instances":[`
	b.Lines <- ""
	if got := sidecartest.Within(t, b.Asked, "watch after half a list"); got != "1 10" || len(told) != 0 {
		t.Errorf("asked with %q, and told of %d lists", got, len(told))
	}
}

// A watch that spoke and falls silent is opened anew by itself, also where the balancer asks for each; one that never spoke
// is the balancer's to ask for again.
func TestRunOnceReopensWatchThatFellSilent(t *testing.T) {
	b := sidecartest.NewBoard(t)
	told := make(chan discovery.List, 16)
	w := discovery.NewWatcher(b.Addr, 7, 16, func(_ context.Context, l discovery.List) { told <- l }, sidecartest.Quiet)
	w.IdleTimeout = 50 * time.Millisecond
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { w.RunOnce(ctx); close(ended) }()
	sidecartest.Within(t, b.Asked, "watch")
	b.Lines <- sidecartest.Line(8, true)
	sidecartest.Within(t, told, "list")
	if got := sidecartest.Within(t, b.Asked, "watch after a silent one"); got != "1 8" {
		t.Errorf("asked with %q", got)
	}
	sidecartest.Within(t, ended, "end of a watch that never spoke")
}

// A discovery that is down is tried at the pace that it is given: what it tells on its return may bind at once.
func TestRunRetriesWithinMaxRetryDelay(t *testing.T) {
	var tries atomic.Int32
	addr := sidecartest.Raw(t, func(c *net.TCPConn, r *bufio.Reader) { tries.Add(1) }) // each call is closed upon
	synctest.Test(t, func(t *testing.T) {
		w := discovery.NewWatcher(addr, 7, 16, nil, sidecartest.Quiet)
		w.MaxRetryDelay = 100 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		w.Run(ctx)
	})
	if n := tries.Load(); n < 60 || n > 220 {
		t.Errorf("%d tries in 10 s", n)
	}
}

// Whatever a caller allows between two tries, it is not more than the bound of the worst path, which counts from the beginning
// of a call, also of one that hung.
func TestRunRetryDelayHasUpperBound(t *testing.T) {
	for _, hang := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := discovery.NewWatcher("127.0.0.1:1", 7, 16, nil, sidecartest.Quiet)
			w.MaxRetryDelay = time.Hour
			var tries []time.Time
			w.Dial = func(context.Context, string, string) (net.Conn, error) {
				tries = append(tries, time.Now())
				if !hang {
					return nil, syscall.ECONNREFUSED
				}
				ours, its := net.Pipe()
				go func() {
					io.Copy(io.Discard, ours) // until the call is given up
					ours.Close()
				}()
				return its, nil
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			w.Run(ctx)
			synctest.Wait()
			for i := 1; i < len(tries); i++ {
				// From the fifth pause on the wait is the longest.
				if gap := tries[i].Sub(tries[i-1]); gap > 1500*time.Millisecond || gap < 500*time.Millisecond && i > 5 {
					t.Errorf("hang %t, try %d: %v after the one before", hang, i, gap)
				}
			}
			if len(tries) < 40 {
				t.Errorf("%d tries in a minute", len(tries))
			}
		})
	}
}
