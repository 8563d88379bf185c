package core

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/testutil/sidecartest"
)

// slowFirstTransport replies quickly until slow is set, so that the decision module gives later attempts a short
// timeout. Once slow is set, the first attempt replies after its timeout, while the second is open.
type slowFirstTransport struct {
	slow                atomic.Bool
	attempts, cancelled atomic.Int32
}

// replyDelays are the delays of the first and the second attempt once slow is set.
var replyDelays = []time.Duration{70 * time.Millisecond, 40 * time.Millisecond}

func (s *slowFirstTransport) send(ctx context.Context, attempt Attempt) Reply {
	attempt.Begin(0)
	if !s.slow.Load() {
		time.Sleep(time.Millisecond)
		return Reply{Status: balancer.OK, At: attempt.Request.(balancer.Micros) + 1000}
	}
	number := s.attempts.Add(1) - 1 // index of the attempt: the loop starts attempts one after the other
	select {
	case <-time.After(replyDelays[number]):
		return Reply{Status: balancer.OK, At: balancer.Micros(number)}
	case <-ctx.Done():
		s.cancelled.Add(1)
		return Reply{Status: balancer.Cancelled}
	}
}

// A reply may come after its attempt's timeout, while another attempt is open. If the transport accepts late replies,
// it must be the one answer of the request, and the other attempt must be cancelled. If not, the other attempt answers.
func TestLateReplyAnswersRequestIfAccepted(t *testing.T) {
	for _, late := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			var upstream slowFirstTransport
			transport := stubTransport{acceptsLateReplies: late, send: upstream.send}
			loop := newLoop(t, sidecartest.Configure(t, anyAddr, endpoints(2)), transport, sidecartest.DiscardLog)
			defer runLoop(t, loop)()
			for range 100 { // gives the module latencies of both endpoints
				var pair [2]*Request
				for i := range pair {
					pair[i] = newRequest(loop, strconv.Itoa(i), classLook)
					pair[i].Payload = loop.Now()
					loop.Submit(pair[i])
				}
				<-pair[0].Answer
				<-pair[1].Answer
			}
			upstream.slow.Store(true)
			start := time.Now()
			request := submit(loop, "1", classLook)
			answer := <-request.Answer
			took := time.Since(start)
			if attempts := upstream.attempts.Load(); attempts != 2 {
				t.Fatalf("%d attempts, want 2; answered after %v", attempts, took)
			}
			if answer.Disposition != Served {
				t.Fatalf("accepts late replies %v: disposition %v, want a served request", late, answer.Disposition)
			}
			wantAttempt := balancer.Micros(1)
			if late {
				wantAttempt = 0
			}
			if answer.Reply.At != wantAttempt {
				t.Errorf(
					"accepts late replies %v: answered by the reply of attempt %d after %v, want the other attempt's",
					late, answer.Reply.At, took)
			}
			if late && took != replyDelays[0] {
				t.Errorf("answered by the late reply after %v, want its delay of 70 ms", took)
			}
			synctest.Wait()
			if n := upstream.cancelled.Load(); n != 1 || len(loop.requests) != 0 || len(request.Answer) != 0 {
				t.Errorf(
					"accepts late replies %v: %d attempts cancelled, want 1; %d requests left, want 0; or a second answer",
					late, n, len(loop.requests))
			}
		})
	}
}

// Where the settings disallow cancelling attempts, the attempt of a request that has ended continues until its timeout.
// It must not continue any longer, even if the transport accepts late replies.
func TestAttemptOfEndedRequestStopsAtItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent, ended := make(chan struct{}), make(chan struct{})
		transport := stubTransport{acceptsLateReplies: true, send: func(ctx context.Context, attempt Attempt) Reply {
			attempt.Begin(0)
			close(sent)
			<-ctx.Done()
			close(ended)
			return Reply{Status: balancer.Cancelled}
		}}
		cfg := sidecartest.Configure(t, anyAddr, endpoints(1), `"cancel":true`, `"cancel":false`)
		loop := newLoop(t, cfg, transport, sidecartest.DiscardLog)
		defer runLoop(t, loop)()
		request := submit(loop, "1", classLook)
		<-sent
		loop.ClientDisconnected(request)
		time.Sleep(time.Second) // longer than the timeout of the attempt
		synctest.Wait()
		select {
		case <-ended:
		default:
			t.Error("the attempt is still running after its timeout")
		}
	})
}
