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

// startWatcher runs a watcher and returns the lists that it receives.
func startWatcher(t *testing.T, b *sidecartest.Discovery, idleTimeout time.Duration) <-chan discovery.List {
	t.Helper()
	received := make(chan discovery.List, 16)
	onList := func(_ context.Context, l discovery.List) { received <- l }
	w := discovery.NewWatcher(b.Addr, 7, 16, onList, sidecartest.DiscardLog)
	w.IdleTimeout = idleTimeout
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return received
}

// A watch that ends, is malformed or is silent is reopened, from the latest list on. A stale list is ignored.
func TestRunReopensBrokenWatch(t *testing.T) {
	b := sidecartest.NewDiscovery(t)
	received := startWatcher(t, b, sidecartest.WaitTimeout)
	expect := func(want string) {
		t.Helper()
		if got := sidecartest.Receive(t, b.Watches, "watch"); got != want {
			t.Errorf("watched with %q, want %q", got, want)
		}
	}
	receive := func(want int64) {
		t.Helper()
		if got := sidecartest.Receive(t, received, "list").Generation; got != want {
			t.Errorf("received list %d, want %d", got, want)
		}
	}
	expect("1 7")
	b.Lines <- sidecartest.ListLine(8, true, sidecartest.ReadyInstance("s-1", "127.0.0.1:1"))
	receive(8)
	b.Lines <- " "
	b.Lines <- sidecartest.ListLine(5, true) // stale
	b.Lines <- sidecartest.ListLine(9, false)
	receive(9)
	b.Lines <- ""
	expect("1 9")
	b.Lines <- sidecartest.ListLine(10, false)
	receive(10)
	b.Lines <- `{"generation":11,"instances":[{]}`
	expect("1 10")
	b.Lines <- sidecartest.ListLine(11, false)
	receive(11)
}

// A host that is cut off leaves the watch open and silent.
func TestRunReopensSilentWatch(t *testing.T) {
	b := sidecartest.NewDiscovery(t)
	startWatcher(t, b, 50*time.Millisecond)
	sidecartest.Receive(t, b.Watches, "first watch")
	if got := sidecartest.Receive(t, b.Watches, "watch after a silent one"); got != "1 7" {
		t.Errorf("watched with %q, want %q", got, "1 7")
	}
}

// A list may take several lines. An incomplete list changes nothing: the next watch brings it again.
func TestRunReadsListsOnSeveralLines(t *testing.T) {
	b := sidecartest.NewDiscovery(t)
	received := startWatcher(t, b, sidecartest.WaitTimeout)
	sidecartest.Receive(t, b.Watches, "watch")
	b.Lines <- "{\n  \"generation\": 8,\n  \"reset\": true,\n\n  \"instances\": [\n  ]\n}"
	b.Lines <- "  " + sidecartest.ListLine(9, false) + sidecartest.ListLine(10, false)
	for _, want := range []int64{8, 9, 10} {
		if got := sidecartest.Receive(t, received, "list").Generation; got != want {
			t.Errorf("received list %d, want %d", got, want)
		}
	}
	b.Lines <- `{"generation":11,"reset":true,"instances":[`
	b.Lines <- ""
	if got := sidecartest.Receive(t, b.Watches, "watch after half a list"); got != "1 10" || len(received) != 0 {
		t.Errorf("watched with %q, and received %d lists", got, len(received))
	}
}

// A watch that sent data and falls silent is reopened by the watcher, also where the balancer polls for each; one
// that never sent any is for the balancer to poll again.
func TestRunOnceReopensWatchThatFellSilent(t *testing.T) {
	b := sidecartest.NewDiscovery(t)
	received := make(chan discovery.List, 16)
	onList := func(_ context.Context, l discovery.List) { received <- l }
	w := discovery.NewWatcher(b.Addr, 7, 16, onList, sidecartest.DiscardLog)
	w.IdleTimeout = 50 * time.Millisecond
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		defer close(ended)
		w.RunOnce(ctx)
	}()
	sidecartest.Receive(t, b.Watches, "watch")
	b.Lines <- sidecartest.ListLine(8, true)
	sidecartest.Receive(t, received, "list")
	if got := sidecartest.Receive(t, b.Watches, "watch after a silent one"); got != "1 8" {
		t.Errorf("watched with %q", got)
	}
	sidecartest.Receive(t, ended, "end of a watch that never sent data")
}

// A discovery that is down is called at the given interval: what it has on its return may be in effect at once.
func TestRunRetriesWithinMaxRetryDelay(t *testing.T) {
	var attempts atomic.Int32
	addr := sidecartest.RawEndpoint(t, func(*net.TCPConn, *bufio.Reader) { attempts.Add(1) }) // it closes each call
	synctest.Test(t, func(t *testing.T) {
		w := discovery.NewWatcher(addr, 7, 16, nil, sidecartest.DiscardLog)
		w.MaxRetryDelay = 100 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		w.Run(ctx)
	})
	if n := attempts.Load(); n < 60 || n > 220 {
		t.Errorf("%d attempts in 10 s", n)
	}
}

// Whatever MaxRetryDelay says, the delay between two attempts is not above the bound of the longest path, which
// counts from the beginning of a call, also of one that hung.
func TestRunRetryDelayHasUpperBound(t *testing.T) {
	for _, hang := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := discovery.NewWatcher("127.0.0.1:1", 7, 16, nil, sidecartest.DiscardLog)
			w.MaxRetryDelay = time.Hour
			var attempts []time.Time
			w.Dial = func(context.Context, string, string) (net.Conn, error) {
				attempts = append(attempts, time.Now())
				if !hang {
					return nil, syscall.ECONNREFUSED
				}
				ours, its := net.Pipe()
				go func() {
					_, _ = io.Copy(io.Discard, ours) // until the call times out
					_ = ours.Close()
				}()
				return its, nil
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			w.Run(ctx)
			synctest.Wait()
			for i := 1; i < len(attempts); i++ {
				// From the fifth delay on it is the longest.
				gap := attempts[i].Sub(attempts[i-1])
				if gap > 1500*time.Millisecond || gap < 500*time.Millisecond && i > 5 {
					t.Errorf("hang %t, attempt %d: %v after the one before", hang, i, gap)
				}
			}
			if len(attempts) < 40 {
				t.Errorf("%d attempts in a minute", len(attempts))
			}
		})
	}
}
