package core

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/testutil/sidecartest"
)

// An answer that comes after its attempt's time, while another attempt is out, is the client's one answer where the
// protocol keeps it: the other attempt is withdrawn, and its answer is nobody's.
func TestLateAnswer(t *testing.T) {
	for _, late := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			answersAfter := []time.Duration{70 * time.Millisecond, 40 * time.Millisecond}
			sent := make(chan int, 8)
			var attempts, withdrawn atomic.Int32
			var hot atomic.Bool // the module has been taught
			s := stub{late: late, send: func(ctx context.Context, o Attempt) Reply {
				o.Begin(0)
				if !hot.Load() {
					time.Sleep(time.Millisecond)
					return Reply{Status: balancer.OK, At: o.Request.(balancer.Micros) + 1000}
				}
				n := attempts.Add(1) - 1 // the loop sends one after the other
				sent <- int(n)
				select {
				case <-time.After(answersAfter[n]):
					return Reply{Status: balancer.OK, At: balancer.Micros(n)}
				case <-ctx.Done():
					withdrawn.Add(1)
					return Reply{Status: balancer.Cancelled}
				}
			}}
			c := sidecartest.Configure(t, "127.0.0.1:1", []discovery.Instance{sidecartest.Up("s-1", "127.0.0.1:1"), sidecartest.Up("s-2", "127.0.0.1:2")})
			l, err := New(c, NewClock(), s, func(bool) {}, metrics.New(), nil, sidecartest.Quiet)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { l.Run(ctx); close(done) }()
			// Quick answers teach the module what to expect of both, so that its patience is its least.
			for range 100 {
				var two [2]*Request
				for i := range two {
					two[i] = &Request{ID: strconv.Itoa(i), Class: "look", Config: l.ConfigSnapshot(), Answer: make(chan Answer, 1), Payload: l.Now(),
						Input: balancer.Request{Deadline: l.Now() + 900_000, Rules: l.ConfigSnapshot().Rules}}
					l.Submit(two[i])
				}
				<-two[0].Answer
				<-two[1].Answer
			}
			hot.Store(true)
			k := &Request{ID: "1", Class: "look", Config: l.ConfigSnapshot(), Answer: make(chan Answer, 1),
				Input: balancer.Request{Deadline: l.Now() + 900_000, Rules: l.ConfigSnapshot().Rules}}
			begun := time.Now()
			l.Submit(k)
			a := <-k.Answer
			took := time.Since(begun)
			if len(sent) != 2 {
				t.Fatalf("%d attempts, answered after %v", len(sent), took)
			}
			if a.Disposition != Served {
				t.Fatalf("late %v: verdict %v", late, a.Disposition)
			}
			want := 0 // the first attempt's
			if !late {
				want = 1
			}
			if int(a.Reply.At) != want {
				t.Errorf("late %v: the answer of attempt %d, after %v", late, a.Reply.At, took)
			}
			if late && took != answersAfter[0] {
				t.Errorf("answered after %v", took)
			}
			synctest.Wait()
			if withdrawn.Load() != 1 || len(l.requests) != 0 || len(k.Answer) != 0 {
				t.Errorf("late %v: %d withdrawn, %d calls kept", late, withdrawn.Load(), len(l.requests))
			}
			cancel()
			<-done
		})
	}
}

// Where nothing may be withdrawn, an attempt whose request has ended goes on to its time and no longer.
func TestAttemptOfEndedRequestStopsAtItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent, over := make(chan struct{}), make(chan struct{})
		s := stub{late: true, send: func(ctx context.Context, o Attempt) Reply {
			o.Begin(0)
			close(sent)
			<-ctx.Done()
			close(over)
			return Reply{Status: balancer.Cancelled}
		}}
		c := sidecartest.Configure(t, "127.0.0.1:1", []discovery.Instance{sidecartest.Up("s-1", "127.0.0.1:1")}, `"cancel":true`, `"cancel":false`)
		l, err := New(c, NewClock(), s, func(bool) {}, metrics.New(), nil, sidecartest.Quiet)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { l.Run(ctx); close(done) }()
		k := &Request{ID: "1", Class: "look", Config: l.ConfigSnapshot(), Answer: make(chan Answer, 1),
			Input: balancer.Request{Deadline: l.Now() + 900_000, Rules: l.ConfigSnapshot().Rules}}
		l.Submit(k)
		<-sent
		l.ClientLeft(k)
		time.Sleep(time.Second) // past its time
		synctest.Wait()
		select {
		case <-over:
		default:
			t.Error("the attempt is still out")
		}
		cancel()
		<-done
	})
}
