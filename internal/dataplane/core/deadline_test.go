package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/testutil/sidecartest"
)

// submitAndWait submits one request of a class, whose attempts call send. It returns the answer and the virtual time
// that the answer took.
func submitAndWait(t *testing.T, class uint8, send func(ctx context.Context, a Attempt) Reply) (
	answer Answer, took time.Duration) {
	t.Helper()
	loop := newLoop(t, sidecartest.Configure(t, anyAddr, endpoints(1)), stubTransport{send: send},
		sidecartest.DiscardLog)
	defer runLoop(t, loop)()
	request := newRequest(loop, "1", class)
	request.Input.Key = 7
	start := time.Now()
	loop.Submit(request)
	answer = <-request.Answer
	return answer, time.Since(start)
}

// A request whose endpoint does not answer must be answered by its deadline.
func TestSilentEndpointDoesNotOutlastDeadline(t *testing.T) {
	for class := range uint8(3) {
		synctest.Test(t, func(t *testing.T) {
			answer, took := submitAndWait(t, class, func(ctx context.Context, attempt Attempt) Reply {
				attempt.Begin(0)
				<-ctx.Done()
				return Reply{Status: balancer.Cancelled}
			})
			if answer.Disposition == Served || took > clientTimeoutMicros*time.Microsecond {
				t.Errorf("class %d: disposition %v after %v, want an unserved request to be answered within 900 ms",
					class, answer.Disposition, took)
			}
		})
	}
}

// A request that gets no further attempt must be answered at once and not only at its deadline.
func TestFailedRequestIsAnsweredAtOnce(t *testing.T) {
	for _, status := range []balancer.Status{balancer.Reset, balancer.ConnectFailed, balancer.Rejected} {
		synctest.Test(t, func(t *testing.T) {
			// A request of this class is not retried once an attempt may have run.
			answer, took := submitAndWait(t, classPay, func(_ context.Context, attempt Attempt) Reply {
				attempt.Begin(0)
				return Reply{Status: status}
			})
			if answer.Disposition == Served || took > clientTimeoutMicros*time.Microsecond/2 {
				t.Errorf(
					"attempt ended with %v: disposition %v after %v, want an unserved request to be answered within 450 ms",
					status, answer.Disposition, took)
			}
		})
	}
}
