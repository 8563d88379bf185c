package core

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/sidecartest"
)

// A retry that is chosen within the window in which servers remember its idempotency key, and whose connection is ready
// only after it, is not sent; one whose connection is ready within it is.
func TestRetryIsNotSentAfterIdempotencyWindow(t *testing.T) {
	for _, tc := range []struct {
		name string
		dial time.Duration
		sent bool
	}{
		{"within", 15 * time.Millisecond, true},
		{"after", 25 * time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				attempts, sent := 0, false
				l, stop := startLoop(t, func(_ context.Context, l *EventLoop, a Attempt) Reply {
					attempts++
					if attempts == 1 {
						a.Begin(l.Now())
						time.Sleep(380 * time.Millisecond)
						return Reply{Status: balancer.Reset, At: l.Now()} // it may have run
					}
					time.Sleep(tc.dial)
					sent = a.Begin(l.Now())
					if !sent {
						return Reply{Status: balancer.NotSent, At: l.Now()}
					}
					return Reply{Status: balancer.OK, At: l.Now()}
				})
				defer stop()
				answer := <-submit(l, "1", classBook).Answer
				if attempts != 2 || sent != tc.sent || (answer.Disposition == Served) != tc.sent {
					t.Errorf("%d attempts, the second sent: %v, want %v; disposition %v",
						attempts, sent, tc.sent, answer.Disposition)
				}
			})
		})
	}
}

// An attempt that proves that it never ran opens no window.
func TestWindowOpensOnlyOnceAttemptMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		attempts := 0
		l, stop := startLoop(t, func(_ context.Context, l *EventLoop, a Attempt) Reply {
			attempts++
			if attempts == 1 {
				time.Sleep(200 * time.Millisecond)
				return Reply{Status: balancer.ConnectFailed, At: l.Now()}
			}
			if !a.Begin(l.Now()) {
				return Reply{Status: balancer.NotSent, At: l.Now()}
			}
			return Reply{Status: balancer.OK, At: l.Now()}
		}, `"window":400000`, `"window":100000`)
		defer stop()
		answer := <-submit(l, "1", classBook).Answer
		if attempts != 2 || answer.Disposition != Served {
			t.Errorf("%d attempts, disposition %v", attempts, answer.Disposition)
		}
	})
}

// Before the process is killed all open requests are answered: what was never sent is rejected, what may have run
// failed. What comes later is rejected at once, without an attempt.
func TestEndAfterAnswersAllOpenRequests(t *testing.T) {
	const delay = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		l, stop := startLoop(t, func(ctx context.Context, l *EventLoop, a Attempt) Reply {
			attempts.Add(1)
			if a.Request == "is sent" {
				a.Begin(l.Now())
			}
			<-ctx.Done()
			return Reply{Status: balancer.Cancelled, At: l.Now()}
		}, `"give-up":1000000`, `"give-up":60000000`)
		defer stop()
		open := map[string]*Request{}
		for _, payload := range []string{"is sent", "dials"} {
			r := newRequest(l, payload, classPay)
			r.Input.Deadline = l.Now() + 50_000_000
			r.Payload = payload
			l.Submit(r)
			open[payload] = r
		}
		synctest.Wait()
		begun := time.Now()
		l.EndAfter(delay)
		for payload, want := range map[string]Disposition{"is sent": Failed, "dials": Rejected} {
			answer := <-open[payload].Answer
			if took := time.Since(begun); answer.Disposition != want || took != delay {
				t.Errorf("%s: disposition %v after %v, want %v", payload, answer.Disposition, took, want)
			}
		}
		late := <-submit(l, "late", classPay).Answer
		if late.Disposition != Rejected || attempts.Load() != 2 || time.Since(begun) != delay {
			t.Errorf("a later request: disposition %v, %d attempts in all, after %v",
				late.Disposition, attempts.Load(), time.Since(begun))
		}
	})
}

// A client leaves as its answer comes: whichever is first, there is exactly one answer.
func TestClientLeavingAsAnswerComesGetsOneAnswer(t *testing.T) {
	for _, first := range []string{"left", "answer"} {
		synctest.Test(t, func(t *testing.T) {
			reply := make(chan struct{})
			l, stop := startLoop(t, func(_ context.Context, l *EventLoop, a Attempt) Reply {
				a.Begin(l.Now())
				<-reply
				return Reply{Status: balancer.OK, At: l.Now()}
			})
			defer stop()
			r := submit(l, "1", classLook)
			synctest.Wait()
			want := Failed // it may have run
			if first == "answer" {
				want = Served
				close(reply)
				synctest.Wait()
			}
			l.ClientLeft(r)
			if answer := <-r.Answer; answer.Disposition != want {
				t.Errorf("%s first: disposition %v, want %v", first, answer.Disposition, want)
			}
			if first == "left" {
				close(reply)
			}
			synctest.Wait()
			if len(r.Answer) != 0 {
				t.Errorf("%s first: a second answer", first)
			}
		})
	}
}

// A list of the discovery before a move, received before and handled after it, changes nothing, whichever of the two
// sends first.
func TestLateEventOfEndedWatchIsIgnored(t *testing.T) {
	list := func(id string) discovery.List {
		instances := []discovery.Instance{sidecartest.ReadyInstance(id, anyAddr)}
		return discovery.List{Generation: 9, Reset: true, Instances: instances}
	}
	for _, lateFirst := range []bool{true, false} {
		l := newLoop(t, sidecartest.Configure(t, anyAddr, nil), stub{}, sidecartest.DiscardLog)
		// The loop is not running yet, so that events wait in its queue.
		old, move := context.WithCancel(t.Context())
		if lateFirst {
			l.WatchEvent(old, list("old"))
		}
		move()
		l.WatchEvent(t.Context(), list("new"))
		if !lateFirst {
			l.WatchEvent(old, list("old"))
		}
		stop := runLoop(t, l)
		handled := make(chan struct{})
		l.post(func(balancer.Micros) { close(handled) }) // behind both
		<-handled
		current, err := l.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if len(current.Instances) != 1 || current.Instances[0].ID != "new" {
			t.Errorf("late first %v: the list is %+v", lateFirst, current.Instances)
		}
		stop()
	}
}

// quickReplies is the number of quick replies after which the module starts a hedged request beside a slow attempt
// soon.
const quickReplies = 200

func teachQuickReplies(l *EventLoop) {
	for range quickReplies {
		<-submit(l, "0", classLook).Answer
	}
}

// Where the settings allow no hedged requests, a cancelled attempt counts until its connection is closed, and the next
// one begins after that; where they do, it does not wait.
func TestRetryWaitsForCancelledAttemptWithoutHedging(t *testing.T) {
	for _, tc := range []struct {
		hedging string
		want    int32 // attempts at the same time
	}{
		{"true", 2},
		{"false", 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			connectionClosed := make(chan struct{})
			var attempts, open, maxOpen atomic.Int32
			var taught atomic.Bool
			l, stop := startLoop(t, func(ctx context.Context, l *EventLoop, a Attempt) Reply {
				a.Begin(l.Now())
				if !taught.Load() {
					time.Sleep(time.Millisecond)
					return Reply{Status: balancer.OK, At: l.Now()}
				}
				maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
				defer open.Add(-1)
				if attempts.Add(1) == 1 {
					<-ctx.Done()
					<-connectionClosed
					return Reply{Status: balancer.Cancelled, At: l.Now()}
				}
				return Reply{Status: balancer.OK, At: l.Now()}
			}, `"second-copies":true`, `"second-copies":`+tc.hedging)
			defer stop()
			teachQuickReplies(l)
			taught.Store(true)
			r := submit(l, "1", classLook)
			time.Sleep(60 * time.Millisecond) // longer than the module waits for the first, and not for the second
			synctest.Wait()
			if got := attempts.Load(); got != tc.want {
				t.Errorf("hedging %s: %d attempts before the first is closed, want %d", tc.hedging, got, tc.want)
			}
			close(connectionClosed)
			answer := <-r.Answer
			if maxOpen.Load() != tc.want || answer.Disposition != Served {
				t.Errorf("hedging %s: %d attempts at once, want %d; disposition %v",
					tc.hedging, maxOpen.Load(), tc.want, answer.Disposition)
			}
		})
	}
}

// No attempt is sent for a client that has gone, whichever of its request's it is, though the loop was not notified: an
// attempt that waited for its connection looks, and notifies the loop. The request then has its one answer.
func TestNoAttemptIsSentForClientThatHasGone(t *testing.T) {
	const dial = 20 * time.Millisecond // in which the client leaves
	for _, tc := range []struct {
		name  string
		first balancer.Status // result of the first attempt, where it was sent
		sent  int             // attempts that were sent before
		want  Disposition
	}{
		{"first attempt", 0, 0, Rejected},
		{"retry after one that never ran", balancer.ConnectFailed, 1, Rejected},
		{"retry after one that may have run", balancer.Reset, 1, Failed},
		{"hedged request", balancer.Timeout, 1, Failed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var taught, gone atomic.Bool
				var attempts, sentLate, dials atomic.Int32
				l, stop := startLoop(t, func(ctx context.Context, l *EventLoop, a Attempt) Reply {
					if !taught.Load() {
						a.Begin(l.Now())
						time.Sleep(time.Millisecond)
						return Reply{Status: balancer.OK, At: l.Now()}
					}
					if int(attempts.Add(1)) <= tc.sent {
						a.Begin(l.Now())
						if tc.first == balancer.Timeout {
							<-ctx.Done()
							return Reply{Status: balancer.Cancelled, At: l.Now()}
						}
						return Reply{Status: tc.first, At: l.Now()}
					}
					dials.Add(1)
					time.Sleep(dial)
					if !a.Begin(l.Now()) {
						return Reply{Status: balancer.NotSent, At: l.Now()}
					}
					sentLate.Add(1)
					return Reply{Status: balancer.OK, At: l.Now()}
				})
				defer stop()
				teachQuickReplies(l)
				taught.Store(true)
				r := newRequest(l, "1", classLook)
				r.ClientGone = gone.Load
				l.Submit(r)
				for dials.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				gone.Store(true)
				answer := <-r.Answer
				time.Sleep(time.Second)
				synctest.Wait()
				if sentLate.Load() != 0 || answer.Disposition != tc.want {
					t.Errorf("%d attempts were sent, disposition %v, want %v",
						sentLate.Load(), answer.Disposition, tc.want)
				}
				if len(r.Answer) != 0 || len(l.requests) != 0 {
					t.Errorf("%d more answers, %d requests left", len(r.Answer), len(l.requests))
				}
			})
		})
	}
}
