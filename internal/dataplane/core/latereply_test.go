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

// twoAttempts is a transport whose first replies are quick, so that the module expects that of others. Once slow is
// set, the first attempt replies after its timeout, while the second is open.
type twoAttempts struct {
	slow                atomic.Bool
	attempts, cancelled atomic.Int32
}

var replyDelays = []time.Duration{70 * time.Millisecond, 40 * time.Millisecond}

func (s *twoAttempts) send(ctx context.Context, a Attempt) Reply {
	a.Begin(0)
	if !s.slow.Load() {
		time.Sleep(time.Millisecond)
		return Reply{Status: balancer.OK, At: a.Request.(balancer.Micros) + 1000}
	}
	number := s.attempts.Add(1) - 1 // the loop starts one after the other
	select {
	case <-time.After(replyDelays[number]):
		return Reply{Status: balancer.OK, At: balancer.Micros(number)}
	case <-ctx.Done():
		s.cancelled.Add(1)
		return Reply{Status: balancer.Cancelled}
	}
}

// A reply that comes after its attempt's timeout, while another attempt is open, is the client's one answer where the
// protocol accepts it: the other attempt is cancelled, and its reply dropped.
func TestLateAnswer(t *testing.T) {
	for _, late := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			var upstream twoAttempts
			transport := stub{acceptsLateReplies: late, send: upstream.send}
			l := newLoop(t, sidecartest.Configure(t, anyAddr, endpoints(2)), transport, sidecartest.DiscardLog)
			defer runLoop(t, l)()
			for range 100 { // teaches the module of both endpoints
				var two [2]*Request
				for i := range two {
					two[i] = newRequest(l, strconv.Itoa(i), classLook)
					two[i].Payload = l.Now()
					l.Submit(two[i])
				}
				<-two[0].Answer
				<-two[1].Answer
			}
			upstream.slow.Store(true)
			begun := time.Now()
			r := submit(l, "1", classLook)
			a := <-r.Answer
			took := time.Since(begun)
			if n := upstream.attempts.Load(); n != 2 {
				t.Fatalf("%d attempts, answered after %v", n, took)
			}
			if a.Disposition != Served {
				t.Fatalf("late %v: disposition %v", late, a.Disposition)
			}
			wantAttempt := balancer.Micros(1)
			if late {
				wantAttempt = 0
			}
			if a.Reply.At != wantAttempt {
				t.Errorf("late %v: the reply of attempt %d, after %v", late, a.Reply.At, took)
			}
			if late && took != replyDelays[0] {
				t.Errorf("answered after %v", took)
			}
			synctest.Wait()
			if n := upstream.cancelled.Load(); n != 1 || len(l.requests) != 0 || len(r.Answer) != 0 {
				t.Errorf("late %v: %d cancelled, %d requests left", late, n, len(l.requests))
			}
		})
	}
}

// Where attempts are not cancelled, one whose request has ended continues to its timeout and no longer.
func TestAttemptOfEndedRequestStopsAtItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent, ended := make(chan struct{}), make(chan struct{})
		transport := stub{acceptsLateReplies: true, send: func(ctx context.Context, a Attempt) Reply {
			a.Begin(0)
			close(sent)
			<-ctx.Done()
			close(ended)
			return Reply{Status: balancer.Cancelled}
		}}
		c := sidecartest.Configure(t, anyAddr, endpoints(1), `"cancel":true`, `"cancel":false`)
		l := newLoop(t, c, transport, sidecartest.DiscardLog)
		defer runLoop(t, l)()
		r := submit(l, "1", classLook)
		<-sent
		l.ClientLeft(r)
		time.Sleep(time.Second) // past its timeout
		synctest.Wait()
		select {
		case <-ended:
		default:
			t.Error("the attempt is still running")
		}
	})
}
