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

// Servers remember an idempotency key for a limited window. A retry whose connection becomes ready only after the
// window must not be sent; a retry whose connection becomes ready within it must be.
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
				loop, stop := startLoop(t, func(_ context.Context, loop *EventLoop, attempt Attempt) Reply {
					attempts++
					if attempts == 1 {
						attempt.Begin(loop.Now())
						time.Sleep(380 * time.Millisecond)
						return Reply{Status: balancer.Reset, At: loop.Now()} // the request may have run
					}
					time.Sleep(tc.dial)
					sent = attempt.Begin(loop.Now())
					if !sent {
						return Reply{Status: balancer.NotSent, At: loop.Now()}
					}
					return Reply{Status: balancer.OK, At: loop.Now()}
				})
				defer stop()
				answer := <-submit(loop, "1", classBook).Answer
				if attempts != 2 || sent != tc.sent || (answer.Disposition == Served) != tc.sent {
					t.Errorf("%d attempts, want 2; second attempt sent %v, want %v; disposition %v",
						attempts, sent, tc.sent, answer.Disposition)
				}
			})
		})
	}
}

// The idempotency window must not start with an attempt that is known never to have run: it would end before the retry.
func TestIdempotencyWindowStartsWithAttemptThatMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		attempts := 0
		loop, stop := startLoop(t, func(_ context.Context, loop *EventLoop, attempt Attempt) Reply {
			attempts++
			if attempts == 1 {
				time.Sleep(200 * time.Millisecond)
				return Reply{Status: balancer.ConnectFailed, At: loop.Now()}
			}
			if !attempt.Begin(loop.Now()) {
				return Reply{Status: balancer.NotSent, At: loop.Now()}
			}
			return Reply{Status: balancer.OK, At: loop.Now()}
		}, `"window":400000`, `"window":100000`)
		defer stop()
		answer := <-submit(loop, "1", classBook).Answer
		if attempts != 2 || answer.Disposition != Served {
			t.Errorf("%d attempts, want 2; disposition %v, want a served request", attempts, answer.Disposition)
		}
	})
}

// CloseAfter must answer all open requests when its delay is over: Rejected if nothing was sent for a request, Failed
// if it may have run. A request that is submitted later must be rejected at once, without an attempt.
func TestCloseAfterAnswersOpenRequests(t *testing.T) {
	const delay = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int32
		loop, stop := startLoop(t, func(ctx context.Context, loop *EventLoop, attempt Attempt) Reply {
			attempts.Add(1)
			if attempt.Request == "is sent" {
				attempt.Begin(loop.Now())
			}
			<-ctx.Done()
			return Reply{Status: balancer.Cancelled, At: loop.Now()}
		}, `"give-up":1000000`, `"give-up":60000000`)
		defer stop()
		open := map[string]*Request{}
		for _, payload := range []string{"is sent", "dials"} {
			request := newRequest(loop, payload, classPay)
			request.Input.Deadline = loop.Now() + 50_000_000
			request.Payload = payload
			loop.Submit(request)
			open[payload] = request
		}
		synctest.Wait()
		start := time.Now()
		loop.CloseAfter(delay)
		for payload, want := range map[string]Disposition{"is sent": Failed, "dials": Rejected} {
			answer := <-open[payload].Answer
			if took := time.Since(start); answer.Disposition != want || took != delay {
				t.Errorf("request that %s: disposition %v after %v, want %v after 3s", payload, answer.Disposition,
					took, want)
			}
		}
		afterwards := <-submit(loop, "late", classPay).Answer
		if afterwards.Disposition != Rejected || attempts.Load() != 2 || time.Since(start) != delay {
			t.Errorf(
				"request after the close: disposition %v, want it rejected; %d attempts in all, want 2; answered after %v",
				afterwards.Disposition, attempts.Load(), time.Since(start))
		}
	})
}

// A client may disconnect while the endpoint replies. Whichever the loop handles first, there must be exactly one
// answer.
func TestClientDisconnectingDuringReplyGetsOneAnswer(t *testing.T) {
	for _, first := range []string{"left", "answer"} {
		synctest.Test(t, func(t *testing.T) {
			reply := make(chan struct{})
			loop, stop := startLoop(t, func(_ context.Context, loop *EventLoop, attempt Attempt) Reply {
				attempt.Begin(loop.Now())
				<-reply
				return Reply{Status: balancer.OK, At: loop.Now()}
			})
			defer stop()
			request := submit(loop, "1", classLook)
			synctest.Wait()
			want := Failed // the request may have run
			if first == "answer" {
				want = Served
				close(reply)
				synctest.Wait()
			}
			loop.ClientDisconnected(request)
			if answer := <-request.Answer; answer.Disposition != want {
				t.Errorf("%s first: disposition %v, want %v", first, answer.Disposition, want)
			}
			if first == "left" {
				close(reply)
			}
			synctest.Wait()
			if len(request.Answer) != 0 {
				t.Errorf("%s first: the request has a second answer", first)
			}
		})
	}
}

// When the watch moves to another discovery, a list from the old watch may still be in the queue. It must be ignored,
// whether it comes before or after the first list of the new watch.
func TestLateEventOfEndedWatchIsIgnored(t *testing.T) {
	list := func(id string) discovery.List {
		instances := []discovery.Instance{sidecartest.ReadyInstance(id, anyAddr)}
		return discovery.List{Generation: 9, Reset: true, Instances: instances}
	}
	for _, lateFirst := range []bool{true, false} {
		loop := newLoop(t, sidecartest.Configure(t, anyAddr, nil), stubTransport{}, sidecartest.DiscardLog)
		// The loop is not running yet, so that events wait in its queue.
		oldWatch, endOldWatch := context.WithCancel(t.Context())
		if lateFirst {
			loop.WatchEvent(oldWatch, list("old"))
		}
		endOldWatch()
		loop.WatchEvent(t.Context(), list("new"))
		if !lateFirst {
			loop.WatchEvent(oldWatch, list("old"))
		}
		stop := runLoop(t, loop)
		handled := make(chan struct{})
		loop.post(func(balancer.Micros) { close(handled) }) // handled after both lists
		<-handled
		current, err := loop.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if len(current.Instances) != 1 || current.Instances[0].ID != "new" {
			t.Errorf("old watch's list first %v: the list is %+v, want only the new watch's endpoint",
				lateFirst, current.Instances)
		}
		stop()
	}
}

// quickReplies is the number of quick replies after which the module starts a hedged request soon after a slow attempt.
const quickReplies = 200

// serveQuickRequests has the module measure quickReplies latencies. The test's endpoints must reply quickly meanwhile.
func serveQuickRequests(loop *EventLoop) {
	for range quickReplies {
		<-submit(loop, "0", classLook).Answer
	}
}

// Where the settings allow no hedged requests, a cancelled attempt is in flight until its connection is closed, and the
// next attempt must not begin before. Where they allow them, the next attempt does not wait.
func TestRetryWaitsForCancelledAttemptWithoutHedging(t *testing.T) {
	for _, tc := range []struct {
		hedging string
		want    int32 // maximum number of attempts in flight at the same time
	}{
		{"true", 2},
		{"false", 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			connectionClosed := make(chan struct{})
			var attempts, open, maxOpen atomic.Int32
			var baselineSet atomic.Bool
			loop, stop := startLoop(t, func(ctx context.Context, loop *EventLoop, attempt Attempt) Reply {
				attempt.Begin(loop.Now())
				if !baselineSet.Load() {
					time.Sleep(time.Millisecond)
					return Reply{Status: balancer.OK, At: loop.Now()}
				}
				maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
				defer open.Add(-1)
				if attempts.Add(1) == 1 {
					<-ctx.Done()
					<-connectionClosed
					return Reply{Status: balancer.Cancelled, At: loop.Now()}
				}
				return Reply{Status: balancer.OK, At: loop.Now()}
			}, `"second-copies":true`, `"second-copies":`+tc.hedging)
			defer stop()
			serveQuickRequests(loop)
			baselineSet.Store(true)
			request := submit(loop, "1", classLook)
			time.Sleep(60 * time.Millisecond) // past the timeout of the first attempt, but not of the second
			synctest.Wait()
			if got := attempts.Load(); got != tc.want {
				t.Errorf("hedging %s: %d attempts before the first connection is closed, want %d", tc.hedging, got,
					tc.want)
			}
			close(connectionClosed)
			answer := <-request.Answer
			if maxOpen.Load() != tc.want || answer.Disposition != Served {
				t.Errorf("hedging %s: %d attempts in flight at once, want %d; disposition %v, want a served request",
					tc.hedging, maxOpen.Load(), tc.want, answer.Disposition)
			}
		})
	}
}

// No attempt may be sent for a client that has disconnected, whether it is the first attempt, a retry or a hedged
// request. Here the loop is not notified: an attempt that waited for its connection checks the client itself and
// notifies the loop, which must give the request its one answer.
func TestNoAttemptIsSentForDisconnectedClient(t *testing.T) {
	const dialTime = 20 * time.Millisecond // the client disconnects meanwhile
	for _, tc := range []struct {
		name  string
		first balancer.Status // result of the attempt that was sent before, if any
		sent  int             // number of attempts sent before the client disconnects
		want  Disposition
	}{
		{"first attempt", 0, 0, Rejected},
		{"retry after one that never ran", balancer.ConnectFailed, 1, Rejected},
		{"retry after one that may have run", balancer.Reset, 1, Failed},
		{"hedged request", balancer.Timeout, 1, Failed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var baselineSet, disconnected atomic.Bool
				var attempts, sentAfterDisconnect, dials atomic.Int32
				loop, stop := startLoop(t, func(ctx context.Context, loop *EventLoop, attempt Attempt) Reply {
					if !baselineSet.Load() {
						attempt.Begin(loop.Now())
						time.Sleep(time.Millisecond)
						return Reply{Status: balancer.OK, At: loop.Now()}
					}
					if int(attempts.Add(1)) <= tc.sent {
						attempt.Begin(loop.Now())
						if tc.first == balancer.Timeout {
							<-ctx.Done()
							return Reply{Status: balancer.Cancelled, At: loop.Now()}
						}
						return Reply{Status: tc.first, At: loop.Now()}
					}
					dials.Add(1)
					time.Sleep(dialTime)
					if !attempt.Begin(loop.Now()) {
						return Reply{Status: balancer.NotSent, At: loop.Now()}
					}
					sentAfterDisconnect.Add(1)
					return Reply{Status: balancer.OK, At: loop.Now()}
				})
				defer stop()
				serveQuickRequests(loop)
				baselineSet.Store(true)
				request := newRequest(loop, "1", classLook)
				request.ClientDisconnected = disconnected.Load
				loop.Submit(request)
				for dials.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				disconnected.Store(true)
				answer := <-request.Answer
				time.Sleep(time.Second)
				synctest.Wait()
				if sentAfterDisconnect.Load() != 0 || answer.Disposition != tc.want {
					t.Errorf("%d attempts were sent after the client disconnected, want 0; disposition %v, want %v",
						sentAfterDisconnect.Load(), answer.Disposition, tc.want)
				}
				if len(request.Answer) != 0 || len(loop.requests) != 0 {
					t.Errorf("%d more answers and %d open requests, want none", len(request.Answer), len(loop.requests))
				}
			})
		})
	}
}
