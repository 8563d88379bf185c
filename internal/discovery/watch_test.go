package discovery_test

import (
	"context"
	"testing"
	"time"

	"birchmoor/internal/discovery"
	"birchmoor/internal/sidetest"
)

// watching starts a watcher and returns what it tells.
func watching(t *testing.T, b *sidetest.Board, mute time.Duration) <-chan discovery.List {
	told := make(chan discovery.List, 16)
	w := discovery.NewWatcher(b.Addr, 7, 16, func(_ context.Context, l discovery.List) { told <- l }, sidetest.Quiet)
	w.Mute = mute
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
