package core

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/balancer"
)

// A request whose ID was used before does not run again if it may have run and must not run twice: neither after its
// client left, nor in the other process of an upgrade, which learns of it at the start or by a report.
func TestRequestWithUsedIDDoesNotRunAgain(t *testing.T) {
	for _, tc := range []struct {
		name  string
		class uint8
		begun bool // the first one's attempt has sent its first byte when its client leaves
		runs  int32
	}{
		{"not idempotent", classPay, true, 1},
		{"not idempotent, never ran", classPay, false, 1},
		{"idempotent", classLook, true, 2},
	} {
		for _, place := range []string{"same process", "told at the start", "told by a report"} {
			t.Run(tc.name+", "+place, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var runs, attempts atomic.Int32
					send := func(ctx context.Context, loop *EventLoop, attempt Attempt) Reply {
						if attempts.Add(1) == 1 {
							if tc.begun {
								runs.Add(1)
								attempt.Begin(loop.Now())
							}
							<-ctx.Done()
							return Reply{Status: balancer.Cancelled, At: loop.Now()}
						}
						runs.Add(1)
						attempt.Begin(loop.Now())
						return Reply{Status: balancer.OK, At: loop.Now()}
					}
					first, stopFirst := startLoop(t, send)
					defer stopFirst()
					second, stopSecond := startLoop(t, send)
					defer stopSecond()
					if place == "told by a report" {
						defer first.ReportRequestsTo(func(_ context.Context, keys []string) error {
							second.ApplyRequests(keys)
							return nil
						})()
					}
					request := submit(first, "1", tc.class)
					synctest.Wait()
					first.ClientDisconnected(request)
					<-request.Answer
					synctest.Wait()
					if place == "told at the start" {
						keys, err := first.RecentRequests(t.Context())
						if err != nil {
							t.Fatal(err)
						}
						second.ApplyRequests(keys)
					}
					again := second
					if place == "same process" {
						again = first
					}
					answer := <-submit(again, "1", tc.class).Answer
					want := tc.runs
					if place == "told by a report" && !tc.begun {
						want = 0 // requests are reported before they run
					}
					if got := runs.Load(); got != want {
						t.Errorf("it ran %d times, want %d; answer %v", got, want, answer.Disposition)
					}
				})
			})
		}
	}
}

// Requests are forgotten after a minute, and the oldest ones when they are too many.
func TestRecentRequestsAreBounded(t *testing.T) {
	recent := newRecentRequests()
	key := func(i int) requestKey { return keyOf(fmt.Sprint(i)) }
	for i := range 3 * maxRecentRequests {
		recent.add(balancer.Micros(i), key(i))
	}
	if len(recent.expiry) > maxRecentRequests || len(recent.order) > maxRecentRequests {
		t.Errorf("%d requests are remembered, want %d at most", len(recent.expiry), maxRecentRequests)
	}
	now := balancer.Micros(3 * maxRecentRequests)
	if last := 3*maxRecentRequests - 1; !recent.contains(now, key(last)) || recent.contains(now, key(0)) {
		t.Error("the latest request is forgotten, or the first one is not")
	}
	again := newRecentRequests()
	for i := range maxRecentRequests {
		again.add(0, key(i))
	}
	again.add(1, key(0)) // its first use is the oldest entry
	if !again.contains(1, key(0)) {
		t.Error("a request is forgotten with its first use, although it was used again")
	}
	recent.add(now+time.Minute.Microseconds(), key(-1))
	if len(recent.expiry) != 1 {
		t.Errorf("%d requests are remembered after a minute, want 1", len(recent.expiry))
	}
}
