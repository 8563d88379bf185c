package core

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/testutil/sidecartest"
)

// Classes of sidecartest.Configure.
const (
	classLook = 0 // idempotent
	classBook = 1 // with an idempotency key, whose window is 400 ms
	classPay  = 2 // not idempotent
)

const (
	anyAddr       = "127.0.0.1:1"
	clientTimeout = 900_000 // microseconds
)

// stub is a transport without an upstream side. send, where it is set, is what an attempt does.
type stub struct {
	send               func(ctx context.Context, a Attempt) Reply
	acceptsLateReplies bool
}

func (s stub) Target(string) Target                      { return s }
func (s stub) SetConfig(*config.Config)                  {}
func (s stub) Probe() Reply                              { return Reply{Status: balancer.ConnectFailed} }
func (s stub) Close()                                    {}
func (s stub) CloseUnusedSince(time.Time)                {}
func (s stub) AcceptsLateReplies() bool                  { return s.acceptsLateReplies }
func (s stub) Send(ctx context.Context, a Attempt) Reply { return s.send(ctx, a) }

// endpoints returns entries s-1 to s-n, each at an address of its own.
func endpoints(n int) []discovery.Instance {
	var all []discovery.Instance
	for i := range n {
		all = append(all, sidecartest.ReadyInstance(fmt.Sprint("s-", i+1), fmt.Sprint("127.0.0.1:", i+1)))
	}
	return all
}

func newLoop(t *testing.T, c *config.Config, transport Transport, log *slog.Logger) *EventLoop {
	t.Helper()
	l, err := New(c, NewClock(), transport, func(bool) {}, metrics.New(c.Classes...), nil, log)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// runLoop runs a loop until stop is called.
func runLoop(t *testing.T, l *EventLoop) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// startLoop runs a loop with two endpoints whose attempts do what send says, until stop is called.
func startLoop(t *testing.T, send func(ctx context.Context, l *EventLoop, a Attempt) Reply, edits ...string) (
	l *EventLoop, stop func()) {
	t.Helper()
	c := sidecartest.Configure(t, anyAddr, endpoints(2), edits...)
	transport := stub{send: func(ctx context.Context, a Attempt) Reply { return send(ctx, l, a) }}
	l = newLoop(t, c, transport, sidecartest.DiscardLog)
	return l, runLoop(t, l)
}

// startLoneLoop runs a loop that sends nothing until the test ends.
func startLoneLoop(t *testing.T, c *config.Config, log *slog.Logger) *EventLoop {
	t.Helper()
	l := newLoop(t, c, stub{}, log)
	t.Cleanup(runLoop(t, l))
	return l
}

// mustDo has a loop run f.
func mustDo(t *testing.T, l *EventLoop, f func(now balancer.Micros)) {
	t.Helper()
	if err := l.do(t.Context(), f); err != nil {
		t.Fatal(err)
	}
}

func newRequest(l *EventLoop, id string, class uint8) *Request {
	c := l.ConfigSnapshot()
	return &Request{
		ID:     id,
		Class:  c.Classes[class],
		Config: c,
		Answer: make(chan Answer, 1),
		Input:  balancer.Request{Class: class, Deadline: l.Now() + clientTimeout, Rules: c.Rules},
	}
}

func submit(l *EventLoop, id string, class uint8) *Request {
	r := newRequest(l, id, class)
	l.Submit(r)
	return r
}
