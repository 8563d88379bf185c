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

// startWatcher runs a watcher that continues from generation 7 until the test ends. It returns the channel of the lists
// that the watcher receives.
func startWatcher(t *testing.T, d *sidecartest.Discovery, idleTimeout time.Duration) <-chan discovery.List {
	t.Helper()
	received := make(chan discovery.List, 16)
	onList := func(_ context.Context, l discovery.List) { received <- l }
	w := discovery.NewWatcher(d.Addr, 7, 16, onList, sidecartest.DiscardLog)
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

// A watch that ends or sends a malformed list is reopened from the latest generation on. A list older than the latest
// one is ignored.
func TestRunReopensBrokenWatch(t *testing.T) {
	d := sidecartest.NewDiscovery(t)
	received := startWatcher(t, d, sidecartest.WaitTimeout)
	expectWatch := func(want string) {
		t.Helper()
		if got := sidecartest.Receive(t, d.Watches, "watch"); got != want {
			t.Errorf("the watch was opened with parameters %q, want %q", got, want)
		}
	}
	expectList := func(want int64) {
		t.Helper()
		if got := sidecartest.Receive(t, received, "list").Generation; got != want {
			t.Errorf("received the list of generation %d, want %d", got, want)
		}
	}
	expectWatch("1 7")
	d.Lines <- sidecartest.ListLine(8, true, sidecartest.ReadyInstance("s-1", "127.0.0.1:1"))
	expectList(8)
	d.Lines <- " "
	d.Lines <- sidecartest.ListLine(5, true) // older than the latest list
	d.Lines <- sidecartest.ListLine(9, false)
	expectList(9)
	d.Lines <- ""
	expectWatch("1 9")
	d.Lines <- sidecartest.ListLine(10, false)
	expectList(10)
	d.Lines <- `{"generation":11,"instances":[{]}`
	expectWatch("1 10")
	d.Lines <- sidecartest.ListLine(11, false)
	expectList(11)
}

// When discovery's host loses its network, the watch's connection stays open without data. The watcher must open a new
// watch after IdleTimeout.
func TestRunReopensSilentWatch(t *testing.T) {
	d := sidecartest.NewDiscovery(t)
	startWatcher(t, d, 50*time.Millisecond)
	sidecartest.Receive(t, d.Watches, "first watch")
	if got := sidecartest.Receive(t, d.Watches, "watch after a silent one"); got != "1 7" {
		t.Errorf("the watch was reopened with parameters %q, want %q", got, "1 7")
	}
}

// A list may span several lines, and a line may have several lists. An incomplete list is not passed on; the next watch
// starts from the list before it.
func TestRunReadsListsOnSeveralLines(t *testing.T) {
	d := sidecartest.NewDiscovery(t)
	received := startWatcher(t, d, sidecartest.WaitTimeout)
	sidecartest.Receive(t, d.Watches, "watch")
	d.Lines <- "{\n  \"generation\": 8,\n  \"reset\": true,\n\n  \"instances\": [\n  ]\n}"
	d.Lines <- "  " + sidecartest.ListLine(9, false) + sidecartest.ListLine(10, false)
	for _, want := range []int64{8, 9, 10} {
		if got := sidecartest.Receive(t, received, "list").Generation; got != want {
			t.Errorf("received the list of generation %d, want %d", got, want)
		}
	}
	d.Lines <- `{"generation":11,"reset":true,"instances":[`
	d.Lines <- ""
	if got := sidecartest.Receive(t, d.Watches, "watch after an incomplete list"); got != "1 10" || len(received) != 0 {
		t.Errorf("after an incomplete list: watch opened with parameters %q, want 1 10; %d more lists received, want 0",
			got, len(received))
	}
}

// RunOnce reopens a watch that received a list and then fell silent. It returns when a watch never received one, so
// that the balancer decides when to poll again.
func TestRunOnceReopensWatchThatFellSilent(t *testing.T) {
	d := sidecartest.NewDiscovery(t)
	received := make(chan discovery.List, 16)
	onList := func(_ context.Context, l discovery.List) { received <- l }
	w := discovery.NewWatcher(d.Addr, 7, 16, onList, sidecartest.DiscardLog)
	w.IdleTimeout = 50 * time.Millisecond
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		defer close(ended)
		w.RunOnce(ctx)
	}()
	sidecartest.Receive(t, d.Watches, "watch")
	d.Lines <- sidecartest.ListLine(8, true)
	sidecartest.Receive(t, received, "list")
	if got := sidecartest.Receive(t, d.Watches, "watch after a silent one"); got != "1 8" {
		t.Errorf("the watch was reopened with parameters %q, want 1 8", got)
	}
	sidecartest.Receive(t, ended, "end of RunOnce after a watch without a list")
}

// While discovery is down, Run retries about every MaxRetryDelay, so that a change is known soon after discovery
// returns.
func TestRunRetriesWithinMaxRetryDelay(t *testing.T) {
	var attempts atomic.Int32
	addr := sidecartest.RawEndpoint(t, func(*net.TCPConn, *bufio.Reader) { attempts.Add(1) }) // closes at once
	synctest.Test(t, func(t *testing.T) {
		w := discovery.NewWatcher(addr, 7, 16, nil, sidecartest.DiscardLog)
		w.MaxRetryDelay = 100 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		w.Run(ctx)
	})
	if n := attempts.Load(); n < 60 || n > 220 {
		t.Errorf("%d attempts in 10 s with a MaxRetryDelay of 100 ms, want 60 to 220", n)
	}
}

// Whatever MaxRetryDelay is, the time between the starts of two attempts stays within 1.5 s, the bound that
// MaxPushedDelay assumes. This holds for calls that fail at once and for calls that hang.
func TestRunRetryDelayHasUpperBound(t *testing.T) {
	for _, callsHang := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := discovery.NewWatcher("127.0.0.1:1", 7, 16, nil, sidecartest.DiscardLog)
			w.MaxRetryDelay = time.Hour
			var attempts []time.Time
			w.Dial = func(context.Context, string, string) (net.Conn, error) {
				attempts = append(attempts, time.Now())
				if !callsHang {
					return nil, syscall.ECONNREFUSED
				}
				serverConn, clientConn := net.Pipe()
				go func() {
					_, _ = io.Copy(io.Discard, serverConn) // returns when the call times out
					_ = serverConn.Close()
				}()
				return clientConn, nil
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			w.Run(ctx)
			synctest.Wait()
			for i := 1; i < len(attempts); i++ {
				// From the fifth delay on, the backoff is at its maximum.
				gap := attempts[i].Sub(attempts[i-1])
				if gap > 1500*time.Millisecond || gap < 500*time.Millisecond && i > 5 {
					t.Errorf("calls hang: %t; attempt %d began %v after the previous one", callsHang, i, gap)
				}
			}
			if len(attempts) < 40 {
				t.Errorf("%d attempts in a minute, want at least 40", len(attempts))
			}
		})
	}
}

// TestHeadWithoutEndIsAbandoned guards against a discovery that takes the sidecar over its memory limit by a response
// whose head does not end: net/http reads 10 MiB of it by default, whatever the limit is.
func TestHeadWithoutEndIsAbandoned(t *testing.T) {
	const maxHeadBytes, transportBuffer = 16 << 10, 4 << 10
	for name, generation := range map[string]int64{"list": discovery.NoGeneration, "watch": 7} {
		t.Run(name, func(t *testing.T) {
			w := discovery.NewWatcher("discovery:1", generation, 16, func(context.Context, discovery.List) {
				t.Error("a list was received")
			}, sidecartest.DiscardLog)
			written := make(chan int, 1)
			w.Dial = func(context.Context, string, string) (net.Conn, error) {
				conn, server := net.Pipe()
				go func() {
					defer server.Close()
					_, _ = sidecartest.ReadRequest(bufio.NewReader(server))
					written <- writeUntilClosed(server, "HTTP/1.1 200 OK\r\n", "a: 1\r\n")
				}()
				return conn, nil
			}
			w.RunOnce(t.Context())
			if n := sidecartest.Receive(t, written, "end of the head"); n > maxHeadBytes+transportBuffer {
				t.Errorf("%d bytes of the head were read, want at most %d and a buffer", n, maxHeadBytes)
			}
		})
	}
}

// writeUntilClosed writes a text and then repeats another one until the connection is closed. It returns the number of
// bytes that were read from the connection's other end.
func writeUntilClosed(conn net.Conn, first, repeated string) (written int) {
	n, err := io.WriteString(conn, first)
	for err == nil {
		written += n
		n, err = io.WriteString(conn, repeated)
	}
	return written + n
}
