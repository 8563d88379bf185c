package httpfront

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/testutil/sidecartest"
)

// A connection that is established when its request may not be sent any more is pooled for others, and not leaked.
func TestConnectionOpenedTooLateIsPooled(t *testing.T) {
	e := newTestEndpoint(t)
	f := startFront(t, readyInstances(e.addr), longDialTimeout...)
	f.holdDials(true)
	c, r := f.connect(t), sidecartest.IdempotentRequest(150)
	write(t, c, encode(t, r))
	sidecartest.Receive(t, f.dials, "dial")
	if resp, _ := readAnswer(t, c, r); resp.StatusCode == http.StatusOK {
		t.Errorf("answered %s with no connection", resp.Status)
	}
	f.holdDials(false)
	waitUntil(t, "the late connection in the pool", func() bool {
		f.upstream.mu.Lock()
		defer f.upstream.mu.Unlock()
		return f.upstream.conns == 1 && len(f.upstream.idle) == 1
	})
	if n := len(e.received); n != 0 {
		t.Errorf("%d requests were sent on", n)
	}
}

// A server sends a second answer some milliseconds after the first, on a connection that is back in the pool.
func TestUnsolicitedAnswerIsNotUsedForNextRequest(t *testing.T) {
	second := make(chan struct{})
	var conns, taken atomic.Int32
	to := newTarget(sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		n := conns.Add(1)
		for {
			if _, err := sidecartest.ReadRequest(r); err != nil {
				return
			}
			taken.Add(1)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
			if n == 1 {
				<-second
				_, _ = io.WriteString(c, sidecartest.OKResponse)
			}
		}
	}))
	u := newTestUpstream(t)
	if r := u.sendAttempt(plainGet(), to); r.Status != balancer.OK {
		t.Fatalf("first: status %v", r.Status)
	}
	first := to.idle[0]
	first.idleSince = time.Now().Add(time.Hour) // it never comes to rest while this test lasts
	u.unsolicitedAt = time.Now()
	u.pause = func(context.Context, time.Duration) {
		close(second)
		waitUntil(t, "the second answer", func() bool {
			_, spoke := first.idleState()
			return spoke
		})
	}
	r := u.sendAttempt(plainGet(), to)
	if got := r.Content.(*upstreamAnswer); string(got.body) != "2" {
		t.Errorf("answered %q: what was sent for the request before", got.body)
	}
}

// Connections that were idle for a moment are used first. As long as no endpoint has sent unsolicited bytes, no
// request waits for one.
func TestPoolPrefersConnectionIdleForAWhile(t *testing.T) {
	to := newTarget(sidecartest.RawEndpoint(t, func(_ *net.TCPConn, r *bufio.Reader) { _, _ = r.ReadByte() }))
	u := newTestUpstream(t)
	u.pause = func(context.Context, time.Duration) { t.Error("waited for a connection to rest") }
	var both []*conn
	for range 2 {
		c, err := u.get(t.Context(), to)
		if err != nil {
			t.Fatal(err)
		}
		both = append(both, c)
	}
	for _, c := range both {
		u.put(c)
	}
	both[0].idleSince, both[1].idleSince = time.Now().Add(-time.Second), time.Now().Add(time.Hour)
	for i, want := range both {
		if c, err := u.get(t.Context(), to); err != nil || c != want {
			t.Errorf("%d: %v, not the one that rested", i, err)
		}
	}
}

// A connection that received half a line while idle cannot be used: a request on it would be answered by the rest
// of the line.
func TestIdleConnectionWithUnreadBytesIsNotUsed(t *testing.T) {
	var conns atomic.Int32
	speak := make(chan struct{})
	to := newTarget(sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		first := conns.Add(1) == 1
		for {
			if _, err := sidecartest.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, sidecartest.OKResponse)
			if first {
				<-speak
				_, _ = io.WriteString(c, "HTTP/1.1 20")
			}
		}
	}))
	u := newTestUpstream(t)
	if r := u.sendAttempt(plainGet(), to); r.Status != balancer.OK {
		t.Fatalf("first: status %v", r.Status)
	}
	rests := to.idle[0]
	close(speak)
	waitUntil(t, "half a line", func() bool {
		_, spoke := rests.idleState()
		return spoke
	})
	if r := u.sendAttempt(plainGet(), to); r.Status != balancer.OK || conns.Load() != 2 {
		t.Errorf("status %v, over %d connections", r.Status, conns.Load())
	}
}

// A request for an endpoint does not reach another that listens at its address later, and no connection to a removed
// endpoint is pooled.
func TestConnectionsOfRemovedTargetAreNotReused(t *testing.T) {
	var dials atomic.Int32
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		dials.Add(1)
		for {
			if _, err := sidecartest.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, sidecartest.OKResponse)
		}
	})
	u, old, next := newTestUpstream(t), newTarget(addr), newTarget(addr)
	ctx := context.Background()
	u.sendAttempt(plainGet(), old)
	if u.sendAttempt(plainGet(), next); dials.Load() != 2 {
		t.Errorf("%d connections to two endpoints at one address, want 2", dials.Load())
	}
	out, err := u.get(ctx, old)
	if err != nil {
		t.Fatal(err)
	}
	u.removeTarget(old)
	u.put(out)
	if u.conns != 1 || len(old.idle) != 0 {
		t.Errorf("%d connections open, %d idle to what is gone, want 1 and 0", u.conns, len(old.idle))
	}
	if r := u.sendAttempt(plainGet(), old); r.Status != balancer.NotSent {
		t.Errorf("status %v for what is gone, want NotSent", r.Status)
	}
	late := newTarget(addr)
	dial := u.dial
	u.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		u.removeTarget(late)
		return dial(ctx, network, addr)
	}
	if r := u.sendAttempt(plainGet(), late); r.Status != balancer.NotSent || u.conns != 1 {
		t.Errorf("status %v for what went while dialled, want NotSent; %d connections", r.Status, u.conns)
	}
}

// A connection that the endpoint has closed in the meantime must not be used: the request would be lost, and
// whether it ran would not be known.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 1)
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = sidecartest.ReadRequest(r)
		_, _ = io.WriteString(c, sidecartest.OKResponse)
		c.Close()
		closed <- struct{}{}
	})
	u, to := newTestUpstream(t), newTarget(addr)
	for i := range 3 {
		if r := u.sendAttempt(plainGet(), to); r.Status != balancer.OK {
			t.Fatalf("request %d: status %v", i, r.Status)
		}
		sidecartest.Receive(t, closed, "close")
	}
}

// An idle connection is retired well before the endpoint would close it, and the sweep closes it.
func TestIdleConnectionIsRetired(t *testing.T) {
	var dials atomic.Int32
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		dials.Add(1)
		for {
			if _, err := sidecartest.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, sidecartest.OKResponse)
		}
	})
	u, to := newTestUpstream(t), newTarget(addr)
	if most := 12 * time.Second; u.maxIdle > most {
		t.Errorf("kept idle for %v where the endpoint closes after 15 s", u.maxIdle)
	}
	age := func() {
		for _, c := range to.idle {
			c.idleSince = c.idleSince.Add(-u.maxIdle)
		}
	}
	u.sendAttempt(plainGet(), to)
	u.sendAttempt(plainGet(), to)
	if n := dials.Load(); n != 1 {
		t.Fatalf("%d connections for two requests in turn, want 1", n)
	}
	age()
	u.sendAttempt(plainGet(), to)
	if n := dials.Load(); n != 2 {
		t.Errorf("%d connections after one grew old, want 2", n)
	}
	age()
	if u.sweep(); u.conns != 0 {
		t.Errorf("%d connections open after the sweep, want 0", u.conns)
	}
}

// The connection used last is used next, so that those not needed grow old and are closed.
func TestPoolReusesLatestConnectionFirst(t *testing.T) {
	addr := sidecartest.RawEndpoint(t, readOneRequest)
	u, to := newTestUpstream(t), newTarget(addr)
	ctx := context.Background()
	first, err := u.get(ctx, to)
	if err != nil {
		t.Fatal(err)
	}
	second, err := u.get(ctx, to)
	if err != nil {
		t.Fatal(err)
	}
	u.put(first)
	u.put(second)
	if got, err := u.get(ctx, to); err != nil || got != second {
		t.Errorf("the connection used last was not taken (error %v)", err)
	}
}

// The number of connections is bounded, so that descriptors do not run out; an idle one to another endpoint is
// closed.
func TestConnectionsAreBounded(t *testing.T) {
	one := newTarget(sidecartest.RawEndpoint(t, readOneRequest))
	two := newTarget(sidecartest.RawEndpoint(t, readOneRequest))
	u := newTestUpstream(t)
	u.maxConns = 2
	ctx := context.Background()
	a, err := u.get(ctx, one)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := u.get(ctx, one); err != nil {
		t.Fatal(err)
	}
	if _, err := u.get(ctx, two); !errors.Is(err, core.ErrConnectionsExhausted) {
		t.Fatalf("third connection: error %v, want %v", err, core.ErrConnectionsExhausted)
	}
	u.put(a)
	if _, err := u.get(ctx, two); err != nil {
		t.Errorf("third connection with one idle: %v", err)
	}
	if u.conns != 2 {
		t.Errorf("%d connections counted, want 2", u.conns)
	}
	// One that is refused gives its place back.
	u.maxConns = 3
	if _, err := u.get(ctx, newTarget(sidecartest.ClosedAddress(t))); err == nil {
		t.Error("connected to a closed port")
	}
	if u.conns != 2 {
		t.Errorf("%d connections counted after one refused, want 2", u.conns)
	}
}

// A shortage of this process's own resources is not a fault of the endpoint.
func TestLocalShortageIsNotBlamedOnEndpoint(t *testing.T) {
	to := newTarget(sidecartest.RawEndpoint(t, readOneRequest))
	u := newTestUpstream(t)
	u.maxConns = 0
	if r := u.sendAttempt(plainGet(), to); r.Status != balancer.NotSent {
		t.Errorf("all connections in use: status %v, want NotSent", r.Status)
	}
	u.maxConns = 1
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL} {
		u.dial = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", e)}
		}
		if r := u.sendAttempt(plainGet(), to); r.Status != balancer.NotSent {
			t.Errorf("%v: status %v, want NotSent", e, r.Status)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		cancel()
		return nil, ctx.Err()
	}
	r := u.send(ctx, to, plainGet(), u.clock.Now()+1_000_000, func(balancer.Micros) bool { return true }, nil)
	if r.Status != balancer.NotSent {
		t.Errorf("a dial that we ended: status %v, want NotSent", r.Status)
	}
}
