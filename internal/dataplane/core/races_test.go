package core

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/testutil/sidecartest"
)

// startLoop runs a loop before endpoints of one cell whose attempts go as send says, in virtual time.
func startLoop(t *testing.T, send func(l *EventLoop, ctx context.Context, o Attempt) Reply, edits ...string) (l *EventLoop, end func()) {
	t.Helper()
	c := sidecartest.Configure(t, "127.0.0.1:1", []discovery.Instance{sidecartest.Up("s-1", "127.0.0.1:1"), sidecartest.Up("s-2", "127.0.0.1:2")}, edits...)
	s := stub{send: func(ctx context.Context, o Attempt) Reply { return send(l, ctx, o) }}
	l, err := New(c, NewClock(), s, func(bool) {}, metrics.New(), nil, sidecartest.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	return l, func() { cancel(); <-done }
}

func (l *EventLoop) submitRequest(id string, class uint8) *Request {
	k := &Request{ID: id, Class: l.ConfigSnapshot().Classes[class], Config: l.ConfigSnapshot(), Answer: make(chan Answer, 1),
		Input: balancer.Request{Class: class, Deadline: l.Now() + 900_000, Rules: l.ConfigSnapshot().Rules}}
	l.Submit(k)
	return k
}

// A repeat that is chosen within the window in which those who drop repeats remember the first, and whose connection comes
// up after it, is not sent; one whose connection comes up within it is.
func TestRetryIsNotSentAfterIdempotencyWindow(t *testing.T) {
	const book = 1 // keyed; its window is 400 ms
	for _, tc := range []struct {
		name string
		dial time.Duration
		went bool
	}{
		{"within", 15 * time.Millisecond, true},
		{"after", 25 * time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, went := 0, false
				l, end := startLoop(t, func(l *EventLoop, ctx context.Context, o Attempt) Reply {
					if n++; n == 1 {
						o.Begin(l.Now())
						time.Sleep(380 * time.Millisecond)
						return Reply{Status: balancer.Reset, At: l.Now()} // it may have run
					}
					time.Sleep(tc.dial)
					if went = o.Begin(l.Now()); went {
						return Reply{Status: balancer.OK, At: l.Now()}
					}
					return Reply{Status: balancer.NotSent, At: l.Now()}
				})
				defer end()
				a := <-l.submitRequest("1", book).Answer
				if n != 2 || went != tc.went || (a.Disposition == Served) != tc.went {
					t.Errorf("%d attempts, the second went out: %v, want %v; verdict %v", n, went, tc.went, a.Disposition)
				}
			})
		})
	}
}

// What proves that it never ran opens no window.
func TestWindowOpensOnlyOnceAttemptMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		l, end := startLoop(t, func(l *EventLoop, ctx context.Context, o Attempt) Reply {
			if n++; n == 1 {
				time.Sleep(200 * time.Millisecond)
				return Reply{Status: balancer.ConnectFailed, At: l.Now()}
			}
			if !o.Begin(l.Now()) {
				return Reply{Status: balancer.NotSent, At: l.Now()}
			}
			return Reply{Status: balancer.OK, At: l.Now()}
		}, `"window":400000`, `"window":100000`)
		defer end()
		if a := <-l.submitRequest("1", 1).Answer; n != 2 || a.Disposition != Served {
			t.Errorf("%d attempts, verdict %v", n, a.Disposition)
		}
	})
}

// Before the process is killed all that is open has its answer: what never went out is refused, what may have run failed;
// and what comes later is refused at once, with nothing sent on.
func TestEndAfterAnswersAllOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int32
		l, end := startLoop(t, func(l *EventLoop, ctx context.Context, o Attempt) Reply {
			sent.Add(1)
			if o.Request == "goes out" {
				o.Begin(l.Now())
			}
			<-ctx.Done()
			return Reply{Status: balancer.Cancelled, At: l.Now()}
		}, `"give-up":1000000`, `"give-up":60000000`)
		defer end()
		open := map[string]*Request{}
		for _, out := range []string{"goes out", "dials"} {
			k := &Request{ID: out, Class: "pay", Config: l.ConfigSnapshot(), Answer: make(chan Answer, 1), Payload: out,
				Input: balancer.Request{Class: 2, Deadline: l.Now() + 50_000_000, Rules: l.ConfigSnapshot().Rules}}
			l.Submit(k)
			open[out] = k
		}
		synctest.Wait()
		begun := time.Now()
		l.EndAfter(3 * time.Second)
		for out, want := range map[string]Disposition{"goes out": Failed, "dials": Rejected} {
			a := <-open[out].Answer
			if took := time.Since(begun); a.Disposition != want || took != 3*time.Second {
				t.Errorf("%s: verdict %v after %v, want %v", out, a.Disposition, took, want)
			}
		}
		if a := <-l.submitRequest("late", 2).Answer; a.Disposition != Rejected || sent.Load() != 2 || time.Since(begun) != 3*time.Second {
			t.Errorf("what came later: verdict %v, %d attempts in all, after %v", a.Disposition, sent.Load(), time.Since(begun))
		}
	})
}

// A client that leaves as the answer comes: whichever is first, there is one answer, and it is told.
func TestClientLeavingAsAnswerComesGetsOneAnswer(t *testing.T) {
	for _, first := range []string{"left", "answer"} {
		synctest.Test(t, func(t *testing.T) {
			go1 := make(chan struct{})
			l, end := startLoop(t, func(l *EventLoop, ctx context.Context, o Attempt) Reply {
				o.Begin(l.Now())
				<-go1
				return Reply{Status: balancer.OK, At: l.Now()}
			})
			defer end()
			k := l.submitRequest("1", 0)
			synctest.Wait()
			want := Failed // it may have run
			if first == "answer" {
				want = Served
				close(go1)
				synctest.Wait()
			}
			l.ClientLeft(k)
			if a := <-k.Answer; a.Disposition != want {
				t.Errorf("%s first: verdict %v, want %v", first, a.Disposition, want)
			}
			if first == "left" {
				close(go1)
			}
			synctest.Wait()
			if len(k.Answer) != 0 {
				t.Errorf("%s first: a second answer", first)
			}
		})
	}
}

// A line of the discovery that was left, read before and handled after the move, changes nothing, whichever of the two tells
// first.
func TestLateEventOfEndedWatchIsIgnored(t *testing.T) {
	for _, lateFirst := range []bool{true, false} {
		c := sidecartest.Configure(t, "127.0.0.1:1", nil)
		l, err := New(c, NewClock(), stub{}, func(bool) {}, metrics.New(), nil, sidecartest.Quiet)
		if err != nil {
			t.Fatal(err)
		}
		list := func(id string) discovery.List {
			return discovery.List{Generation: 9, Reset: true, Instances: []discovery.Instance{sidecartest.Up(id, "127.0.0.1:1")}}
		}
		// The loop is not running yet: what is told waits in its queue, as behind other events.
		old, move := context.WithCancel(t.Context())
		ctx, cancel := context.WithCancel(t.Context())
		if lateFirst {
			l.WatchEvent(old, list("old"))
		}
		move()
		l.WatchEvent(ctx, list("new"))
		if !lateFirst {
			l.WatchEvent(old, list("old"))
		}
		done := make(chan struct{})
		go func() { l.Run(ctx); close(done) }()
		l.post(func(balancer.Micros) {}) // behind both
		var held discovery.List
		for held.Instances == nil {
			held, _ = l.List(ctx)
		}
		if len(held.Instances) != 1 || held.Instances[0].ID != "new" {
			t.Errorf("late first %v: %+v is held", lateFirst, held.Instances)
		}
		cancel()
		<-done
	}
}

// Where the settings allow no second copy, an attempt that was given up is out until its connection is closed, and the next
// one begins after that; where they do, it does not wait.
func TestRetryWaitsForCancelledAttemptWithoutHedging(t *testing.T) {
	for _, copies := range []string{"true", "false"} {
		synctest.Test(t, func(t *testing.T) {
			closing := make(chan struct{})
			var n, out, most atomic.Int32
			var taught atomic.Bool
			l, end := startLoop(t, func(l *EventLoop, ctx context.Context, o Attempt) Reply {
				o.Begin(l.Now())
				if !taught.Load() {
					time.Sleep(time.Millisecond)
					return Reply{Status: balancer.OK, At: l.Now()}
				}
				most.Store(max(most.Load(), out.Add(1)))
				defer out.Add(-1)
				if n.Add(1) == 1 {
					<-ctx.Done()
					<-closing // its connection is still open
					return Reply{Status: balancer.Cancelled, At: l.Now()}
				}
				return Reply{Status: balancer.OK, At: l.Now()}
			}, `"second-copies":true`, `"second-copies":`+copies)
			defer end()
			for range 200 { // quick answers, so that a slow one is given up soon
				<-l.submitRequest("0", 0).Answer
			}
			taught.Store(true)
			k := l.submitRequest("1", 0)
			time.Sleep(60 * time.Millisecond) // past the patience for the first, and within that for the second
			synctest.Wait()
			if got, want := n.Load(), map[string]int32{"true": 2, "false": 1}[copies]; got != want {
				t.Errorf("second copies %s: %d attempts begun before the first is closed, want %d", copies, got, want)
			}
			close(closing)
			a := <-k.Answer
			if want := map[string]int32{"true": 2, "false": 1}[copies]; most.Load() != want || a.Disposition != Served {
				t.Errorf("second copies %s: %d out at once, want %d; verdict %v", copies, most.Load(), want, a.Disposition)
			}
		})
	}
}

// For a client that has gone no attempt goes out any more, which of its request's it may be, though nothing has told the loop: what
// waits for its connection looks, and the loop hears of it from there. The request has its one answer then.
func TestNoAttemptIsSentForClientThatHasGone(t *testing.T) {
	const dial = 20 * time.Millisecond // in which the client leaves
	for _, tc := range []struct {
		name   string
		first  balancer.Status // what comes of the first attempt, where it went out
		out    int             // attempts that went out before
		answer Disposition
	}{
		{"the first", 0, 0, Rejected},
		{"the next, behind one that never ran", balancer.ConnectFailed, 1, Rejected},
		{"the next, behind one that may have run", balancer.Reset, 1, Failed},
		{"the second beside one that is out", balancer.Timeout, 1, Failed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var taught, gone atomic.Bool
				var n, went, dials atomic.Int32
				l, end := startLoop(t, func(l *EventLoop, ctx context.Context, o Attempt) Reply {
					if !taught.Load() {
						o.Begin(l.Now())
						time.Sleep(time.Millisecond)
						return Reply{Status: balancer.OK, At: l.Now()}
					}
					if int(n.Add(1)) <= tc.out {
						o.Begin(l.Now())
						if tc.first == balancer.Timeout {
							<-ctx.Done()
							return Reply{Status: balancer.Cancelled, At: l.Now()}
						}
						return Reply{Status: tc.first, At: l.Now()}
					}
					dials.Add(1)
					time.Sleep(dial)
					if !o.Begin(l.Now()) {
						return Reply{Status: balancer.NotSent, At: l.Now()}
					}
					went.Add(1)
					return Reply{Status: balancer.OK, At: l.Now()}
				})
				defer end()
				for range 200 { // quick answers, so that a slow one has another beside it soon
					<-l.submitRequest("0", 0).Answer
				}
				taught.Store(true)
				k := &Request{ID: "1", Class: "look", Config: l.ConfigSnapshot(), Answer: make(chan Answer, 1), ClientGone: gone.Load,
					Input: balancer.Request{Deadline: l.Now() + 900_000, Rules: l.ConfigSnapshot().Rules}}
				l.Submit(k)
				for dials.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				gone.Store(true)
				a := <-k.Answer
				time.Sleep(time.Second)
				synctest.Wait()
				if went.Load() != 0 || a.Disposition != tc.answer || len(k.Answer) != 0 || len(l.requests) != 0 {
					t.Errorf("%d attempts went out, verdict %v, want %v; %d more answers, %d calls kept", went.Load(), a.Disposition, tc.answer, len(k.Answer), len(l.requests))
				}
			})
		})
	}
}
