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

// Indices of the classes of sidecartest.Configure.
const (
	classLook = 0 // idempotent
	classBook = 1 // with an idempotency key, whose window is 400 ms
	classPay  = 2 // not idempotent
)

const (
	anyAddr             = "127.0.0.1:1"
	clientTimeoutMicros = 900_000
)

// stubTransport is a transport without connections that is also its own target. Attempts call send, which may be nil in
// tests without attempts; probes fail.
type stubTransport struct {
	send               func(ctx context.Context, a Attempt) Reply
	acceptsLateReplies bool
}

func (s stubTransport) Target(string) Target                      { return s }
func (s stubTransport) SetConfig(*config.Config)                  {}
func (s stubTransport) Probe() Reply                              { return Reply{Status: balancer.ConnectFailed} }
func (s stubTransport) Close()                                    {}
func (s stubTransport) CloseUnusedSince(time.Time)                {}
func (s stubTransport) AcceptsLateReplies() bool                  { return s.acceptsLateReplies }
func (s stubTransport) Send(ctx context.Context, a Attempt) Reply { return s.send(ctx, a) }

// endpoints returns ready entries s-1 to s-n, each with an address of its own.
func endpoints(n int) []discovery.Instance {
	var all []discovery.Instance
	for i := range n {
		all = append(all, sidecartest.ReadyInstance(fmt.Sprint("s-", i+1), fmt.Sprint("127.0.0.1:", i+1)))
	}
	return all
}

func newLoop(t *testing.T, cfg *config.Config, transport Transport, log *slog.Logger) *EventLoop {
	t.Helper()
	l, err := New(cfg, NewClock(), transport, func(bool) {}, metrics.New(cfg.Classes...), nil, log)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// runLoop runs a loop until stop is called. stop returns when the loop has ended.
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

// startLoop runs a loop with two endpoints until stop is called. Attempts call send. edits are pairs of texts: in the
// configuration, the first of each pair is replaced by the second.
func startLoop(t *testing.T, send func(ctx context.Context, l *EventLoop, a Attempt) Reply, edits ...string) (
	l *EventLoop, stop func()) {
	t.Helper()
	cfg := sidecartest.Configure(t, anyAddr, endpoints(2), edits...)
	transport := stubTransport{send: func(ctx context.Context, a Attempt) Reply { return send(ctx, l, a) }}
	l = newLoop(t, cfg, transport, sidecartest.DiscardLog)
	return l, runLoop(t, l)
}

// startIdleLoop runs a loop until the test ends. The test must not submit requests to it.
func startIdleLoop(t *testing.T, cfg *config.Config, log *slog.Logger) *EventLoop {
	t.Helper()
	loop := newLoop(t, cfg, stubTransport{}, log)
	t.Cleanup(runLoop(t, loop))
	return loop
}

// mustRun runs f on the goroutine of a loop, and returns when f has returned.
func mustRun(t *testing.T, l *EventLoop, f func(now balancer.Micros)) {
	t.Helper()
	if err := l.runUrgent(t.Context(), f); err != nil {
		t.Fatal(err)
	}
}

// newRequest returns a request of a class that is due after clientTimeoutMicros.
func newRequest(l *EventLoop, id string, class uint8) *Request {
	c := l.ConfigSnapshot()
	return &Request{
		ID:     id,
		Class:  c.Classes[class],
		Config: c,
		Answer: make(chan Answer, 1),
		Input:  balancer.Request{Class: class, Deadline: l.Now() + clientTimeoutMicros, Rules: c.Rules},
	}
}

func submit(l *EventLoop, id string, class uint8) *Request {
	r := newRequest(l, id, class)
	l.Submit(r)
	return r
}
