package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/testutil/sidecartest"
)

// answerOf submits one request of a class whose attempts do what send says. It returns the answer and the virtual time
// until it came.
func answerOf(t *testing.T, class uint8, send func(ctx context.Context, a Attempt) Reply) (
	a Answer, took time.Duration) {
	t.Helper()
	l := newLoop(t, sidecartest.Configure(t, anyAddr, endpoints(1)), stub{send: send}, sidecartest.DiscardLog)
	defer runLoop(t, l)()
	r := newRequest(l, "1", class)
	r.Input.Key = 7
	begun := time.Now()
	l.Submit(r)
	a = <-r.Answer
	return a, time.Since(begun)
}

// An endpoint that does not answer does not keep a request beyond its time, and the answer comes no later than that.
func TestSilentEndpointDoesNotOutlastDeadline(t *testing.T) {
	for class := range uint8(3) {
		synctest.Test(t, func(t *testing.T) {
			a, took := answerOf(t, class, func(ctx context.Context, a Attempt) Reply {
				a.Begin(0)
				<-ctx.Done()
				return Reply{Status: balancer.Cancelled}
			})
			if a.Disposition == Served || took > clientTimeout*time.Microsecond {
				t.Errorf("class %d: disposition %v after %v, want not served within 900 ms", class, a.Disposition, took)
			}
		})
	}
}

// A request without a further attempt is answered at once and not only at its deadline.
func TestFailedRequestIsAnsweredAtOnce(t *testing.T) {
	for _, status := range []balancer.Status{balancer.Reset, balancer.ConnectFailed, balancer.Rejected} {
		synctest.Test(t, func(t *testing.T) {
			// The class has no retry once an attempt may have run.
			a, took := answerOf(t, classPay, func(_ context.Context, a Attempt) Reply {
				a.Begin(0)
				return Reply{Status: status}
			})
			if a.Disposition == Served || took > clientTimeout*time.Microsecond/2 {
				t.Errorf("%v: disposition %v after %v", status, a.Disposition, took)
			}
		})
	}
}
