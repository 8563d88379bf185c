package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/testutil/sidecartest"
)

// ask has one request of a class answered whose attempts go as send says, and returns the answer and how long it took, in
// virtual time.
func ask(t *testing.T, class uint8, send func(ctx context.Context, o Attempt) Reply) (a Answer, took time.Duration) {
	t.Helper()
	c := sidecartest.Configure(t, "127.0.0.1:1", []discovery.Instance{sidecartest.Up("s-1", "127.0.0.1:1")})
	l, err := New(c, NewClock(), stub{send: send}, func(bool) {}, metrics.New(), nil, sidecartest.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	k := &Request{ID: "1", Class: l.ConfigSnapshot().Classes[class], Config: l.ConfigSnapshot(), Answer: make(chan Answer, 1),
		Input: balancer.Request{Class: class, Deadline: l.Now() + 900_000, Rules: l.ConfigSnapshot().Rules, Key: 7}}
	begun := time.Now()
	l.Submit(k)
	a = <-k.Answer
	took = time.Since(begun)
	cancel()
	<-done
	return a, took
}

// An endpoint that is mute does not keep a request beyond its time, and the answer comes no later than that.
func TestSilentEndpointDoesNotOutlastDeadline(t *testing.T) {
	for class := range uint8(3) {
		synctest.Test(t, func(t *testing.T) {
			a, took := ask(t, class, func(ctx context.Context, o Attempt) Reply {
				o.Begin(0)
				<-ctx.Done()
				return Reply{Status: balancer.Cancelled}
			})
			if a.Disposition == Served || took > 900*time.Millisecond {
				t.Errorf("class %d: verdict %v after %v, want none served, within its 900 ms", class, a.Disposition, took)
			}
		})
	}
}

// What is given up is answered at once, not held back until its time.
func TestFailedRequestIsAnsweredAtOnce(t *testing.T) {
	for _, status := range []balancer.Status{balancer.Reset, balancer.ConnectFailed, balancer.Rejected} {
		synctest.Test(t, func(t *testing.T) {
			const pay = 2 // which is not repeated once it may have run
			a, took := ask(t, pay, func(ctx context.Context, o Attempt) Reply {
				o.Begin(0)
				return Reply{Status: status}
			})
			if a.Disposition == Served || took > 450*time.Millisecond {
				t.Errorf("%v: verdict %v after %v", status, a.Disposition, took)
			}
		})
	}
}
