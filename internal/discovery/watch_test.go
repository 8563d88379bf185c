package discovery_test

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/internal/discovery"
	"birchmoor/internal/sidetest"
)

// watching starts a watcher and returns what it tells.
func watching(t *testing.T, b *sidetest.Board, mute time.Duration) <-chan discovery.List {
	told := make(chan discovery.List, 16)
	w := discovery.NewWatcher(b.Addr, 7, 16, func(_ context.Context, l discovery.List) { told <- l }, sidetest.Quiet)
	w.SilentAfter = mute
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { w.Keep(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return told
}

// A watch that ends, is malformed or is mute is asked for again, from the latest list on. What is stale is
// passed over.
func TestWatch(t *testing.T) {
	b := sidetest.NewBoard(t)
	told := watching(t, b, sidetest.Soon)
	expect := func(want string) {
		t.Helper()
		if got := sidetest.Within(t, b.Asked, "watch"); got != want {
			t.Errorf("watch asked with %q, want %q", got, want)
		}
	}
	hear := func(want int64) {
		t.Helper()
		if got := sidetest.Within(t, told, "list").Generation; got != want {
			t.Errorf("told of %d, want %d", got, want)
		}
	}
	expect("1 7")
	b.Lines <- sidetest.Line(8, true, sidetest.Up("s-1", "127.0.0.1:1"))
	hear(8)
	b.Lines <- " "
	b.Lines <- sidetest.Line(5, true) // stale
	b.Lines <- sidetest.Line(9, false)
	hear(9)
	b.Lines <- ""
	expect("1 9")
	b.Lines <- sidetest.Line(10, false)
	hear(10)
	b.Lines <- `{"generation":11,"instances":[{]}`
	expect("1 10")
	b.Lines <- sidetest.Line(11, false)
	hear(11)
}

// A machine that is cut off leaves the watch open and silent.
func TestMuteWatch(t *testing.T) {
	b := sidetest.NewBoard(t)
	watching(t, b, 50*time.Millisecond)
	sidetest.Within(t, b.Asked, "first watch")
	if got := sidetest.Within(t, b.Asked, "watch after a mute one"); got != "1 7" {
		t.Errorf("asked with %q, want %q", got, "1 7")
	}
}

// A list may stand on several lines, and one that ends in the middle changes nothing: the next watch tells it again.
func TestListsOnSeveralLines(t *testing.T) {
	b := sidetest.NewBoard(t)
	told := watching(t, b, sidetest.Soon)
	sidetest.Within(t, b.Asked, "watch")
	b.Lines <- "{\n  \"generation\": 8,\n  \"reset\": true,\n\n  \"instances\": [\n  ]\n}"
	b.Lines <- "  " + sidetest.Line(9, false) + sidetest.Line(10, false)
	for _, want := range []int64{8, 9, 10} {
		if got := sidetest.Within(t, told, "list").Generation; got != want {
			t.Errorf("told of %d, want %d", got, want)
		}
	}
	b.Lines <- `{"generation":11,"reset":true,"instances":[`
	b.Lines <- ""
	if got := sidetest.Within(t, b.Asked, "watch after half a list"); got != "1 10" || len(told) != 0 {
		t.Errorf("asked with %q, and told of %d lists", got, len(told))
	}
}

// A watch that spoke and falls silent is opened anew by itself, also where the balancer asks for each; one that never spoke
// is the balancer's to ask for again.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	b := sidetest.NewBoard(t)
	told := make(chan discovery.List, 16)
	w := discovery.NewWatcher(b.Addr, 7, 16, func(_ context.Context, l discovery.List) { told <- l }, sidetest.Quiet)
	w.SilentAfter = 50 * time.Millisecond
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { w.Once(ctx); close(ended) }()
	sidetest.Within(t, b.Asked, "watch")
	b.Lines <- sidetest.Line(8, true)
	sidetest.Within(t, told, "list")
	if got := sidetest.Within(t, b.Asked, "watch after a silent one"); got != "1 8" {
		t.Errorf("asked with %q", got)
	}
	sidetest.Within(t, ended, "end of a watch that never spoke")
}

// What a silent watch misses counts as told 6 s after it fell silent; it may have said its last word right before that.
func TestSilenceIsFoundInTime(t *testing.T) {
	w := discovery.NewWatcher("127.0.0.1:1", 7, 16, nil, sidetest.Quiet)
	// One more call may stay without a word, for as long as discovery may take for one.
	const idle, told, call = 2 * time.Second, 6 * time.Second, time.Second
	if w.SilentAfter <= idle || discovery.CallMost <= call || w.SilentAfter+discovery.AskAgain+discovery.CallMost > told-call {
		t.Errorf("a silence is found after %v, and asked about within %v", w.SilentAfter, discovery.AskAgain)
	}
}

// A discovery that is down is tried at the pace that it is given: what it tells on its return may bind at once.
func TestPauseIsBounded(t *testing.T) {
	var tries atomic.Int32
	addr := sidetest.Raw(t, func(c *net.TCPConn, r *bufio.Reader) { tries.Add(1) }) // each call is closed upon
	synctest.Test(t, func(t *testing.T) {
		w := discovery.NewWatcher(addr, 7, 16, nil, sidetest.Quiet)
		w.Pause = 100 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		w.Keep(ctx)
	})
	if n := tries.Load(); n < 60 || n > 220 {
		t.Errorf("%d tries in 10 s", n)
	}
}
