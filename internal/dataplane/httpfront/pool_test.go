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

// TestConnectionOpenedTooLateIsPooled establishes a connection after the time for its request is over. The connection
// must be pooled for other requests and not leaked, and the request must not be sent.
func TestConnectionOpenedTooLateIsPooled(t *testing.T) {
	e := newTestEndpoint(t)
	f := startFront(t, readyInstances(e.addr), longDialTimeout...)
	f.holdDials(true)
	c, r := f.connect(t), sidecartest.IdempotentRequest(150)
	write(t, c, encode(t, r))
	sidecartest.Receive(t, f.dials, "dial")
	if resp, _ := readAnswer(t, c, r); resp.StatusCode == http.StatusOK {
		t.Errorf("the client got %s before the endpoint was connected", resp.Status)
	}
	f.holdDials(false)
	waitUntil(t, "the late connection in the pool", func() bool {
		f.upstream.mu.Lock()
		defer f.upstream.mu.Unlock()
		return f.upstream.conns == 1 && len(f.upstream.idle) == 1
	})
	if n := len(e.received); n != 0 {
		t.Errorf("the endpoint got %d requests, want 0", n)
	}
}

// TestUnsolicitedAnswerIsNotUsedForNextRequest has an endpoint send a second answer some milliseconds after the first,
// on a connection that is back in the pool. It must not be taken for the answer to the next request.
func TestUnsolicitedAnswerIsNotUsedForNextRequest(t *testing.T) {
	sendSecond := make(chan struct{})
	var conns, received atomic.Int32
	dst := newTarget(sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		n := conns.Add(1)
		for {
			if _, err := sidecartest.ReadRequest(r); err != nil {
				return
			}
			received.Add(1)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
			if n == 1 {
				<-sendSecond
				_, _ = io.WriteString(c, sidecartest.OKResponse)
			}
		}
	}))
	u := newTestUpstream(t)
	if r := u.sendAttempt(plainGet(), dst); r.Status != balancer.OK {
		t.Fatalf("first: status %v", r.Status)
	}
	first := dst.idle[0]
	first.idleSince = time.Now().Add(time.Hour) // not idle for minIdleTime during this test
	u.unsolicitedAt = time.Now()
	u.pause = func(context.Context, time.Duration) {
		close(sendSecond)
		waitUntil(t, "the second answer", func() bool {
			_, unsolicited := first.idleState()
			return unsolicited
		})
	}
	r := u.sendAttempt(plainGet(), dst)
	if got := r.Content.(*upstreamAnswer); string(got.body) != "2" {
		t.Errorf("the second request was answered %q, want 2, from a new connection", got.body)
	}
}

// TestPoolPrefersConnectionIdleForAWhile expects connections that have been idle for minIdleTime to be used first. As
// long as no endpoint has sent unsolicited bytes, no request may wait until a connection has been idle for so long.
func TestPoolPrefersConnectionIdleForAWhile(t *testing.T) {
	dst := newTarget(sidecartest.RawEndpoint(t, func(_ *net.TCPConn, r *bufio.Reader) { _, _ = r.ReadByte() }))
	u := newTestUpstream(t)
	u.pause = func(context.Context, time.Duration) { t.Error("get waited for minIdleTime") }
	var conns []*conn
	for range 2 {
		c, err := u.get(t.Context(), dst)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	for _, c := range conns {
		u.put(c)
	}
	conns[0].idleSince, conns[1].idleSince = time.Now().Add(-time.Second), time.Now().Add(time.Hour)
	for i, want := range conns {
		if c, err := u.get(t.Context(), dst); err != nil || c != want {
			t.Errorf("get %d: error %v, or not the connection that has been idle for long enough", i, err)
		}
	}
}

// TestIdleConnectionWithUnreadBytesIsNotUsed has a connection receive half a status line while it is idle. It must not
// be used: the rest of the line would be taken for the answer to the next request.
func TestIdleConnectionWithUnreadBytesIsNotUsed(t *testing.T) {
	var conns atomic.Int32
	sendHalfLine := make(chan struct{})
	dst := newTarget(sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		first := conns.Add(1) == 1
		for {
			if _, err := sidecartest.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, sidecartest.OKResponse)
			if first {
				<-sendHalfLine
				_, _ = io.WriteString(c, "HTTP/1.1 20")
			}
		}
	}))
	u := newTestUpstream(t)
	if r := u.sendAttempt(plainGet(), dst); r.Status != balancer.OK {
		t.Fatalf("first: status %v", r.Status)
	}
	pooled := dst.idle[0]
	close(sendHalfLine)
	waitUntil(t, "arrival of half a status line", func() bool {
		_, unsolicited := pooled.idleState()
		return unsolicited
	})
	if r := u.sendAttempt(plainGet(), dst); r.Status != balancer.OK || conns.Load() != 2 {
		t.Errorf("second: status %v after %d connections, want OK after 2", r.Status, conns.Load())
	}
}

// TestConnectionsOfRemovedTargetAreNotReused guards against requests that reach another endpoint, which listens at the
// address of a removed one, and against pooled connections to removed endpoints.
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
	inUse, err := u.get(ctx, old)
	if err != nil {
		t.Fatal(err)
	}
	u.removeTarget(old)
	u.put(inUse)
	if u.conns != 1 || len(old.idle) != 0 {
		t.Errorf("%d connections open, %d idle to the removed target, want 1 and 0", u.conns, len(old.idle))
	}
	if r := u.sendAttempt(plainGet(), old); r.Status != balancer.NotSent {
		t.Errorf("attempt at the removed target: status %v, want NotSent", r.Status)
	}
	removedWhileDialling := newTarget(addr)
	dial := u.dial
	u.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		u.removeTarget(removedWhileDialling)
		return dial(ctx, network, addr)
	}
	if r := u.sendAttempt(plainGet(), removedWhileDialling); r.Status != balancer.NotSent || u.conns != 1 {
		t.Errorf("target removed during the dial: status %v and %d connections, want NotSent and 1", r.Status, u.conns)
	}
}

// TestClosedIdleConnectionIsNotUsed guards against requests on connections that the endpoint has closed: they would be
// lost, and whether they ran would not be known.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 1)
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = sidecartest.ReadRequest(r)
		_, _ = io.WriteString(c, sidecartest.OKResponse)
		c.Close()
		closed <- struct{}{}
	})
	u, dst := newTestUpstream(t), newTarget(addr)
	for i := range 3 {
		if r := u.sendAttempt(plainGet(), dst); r.Status != balancer.OK {
			t.Fatalf("request %d: status %v", i, r.Status)
		}
		sidecartest.Receive(t, closed, "close")
	}
}

// TestIdleConnectionIsRetired expects idle connections to expire well before the endpoint closes them, and the sweep to
// close expired ones.
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
	u, dst := newTestUpstream(t), newTarget(addr)
	if limit := 12 * time.Second; u.maxIdle > limit {
		t.Errorf("idle connections expire after %v, want well before the endpoint closes them after 15 s", u.maxIdle)
	}
	ageIdleConns := func() {
		for _, c := range dst.idle {
			c.idleSince = c.idleSince.Add(-u.maxIdle)
		}
	}
	u.sendAttempt(plainGet(), dst)
	u.sendAttempt(plainGet(), dst)
	if n := dials.Load(); n != 1 {
		t.Fatalf("%d connections for two consecutive requests, want 1", n)
	}
	ageIdleConns()
	u.sendAttempt(plainGet(), dst)
	if n := dials.Load(); n != 2 {
		t.Errorf("%d connections after the first one expired, want 2", n)
	}
	ageIdleConns()
	if u.sweep(); u.conns != 0 {
		t.Errorf("%d connections open after the sweep, want 0", u.conns)
	}
}

// TestPoolReusesLatestConnectionFirst expects the most recently used connection to be used next, so that connections
// that are not needed expire.
func TestPoolReusesLatestConnectionFirst(t *testing.T) {
	addr := sidecartest.RawEndpoint(t, readOneRequest)
	u, dst := newTestUpstream(t), newTarget(addr)
	ctx := context.Background()
	first, err := u.get(ctx, dst)
	if err != nil {
		t.Fatal(err)
	}
	second, err := u.get(ctx, dst)
	if err != nil {
		t.Fatal(err)
	}
	u.put(first)
	u.put(second)
	if got, err := u.get(ctx, dst); err != nil || got != second {
		t.Errorf("get did not return the most recently used connection (error %v)", err)
	}
}

// TestConnectionsAreBounded guards against running out of descriptors: at the limit, a new connection replaces an idle
// one to another endpoint, or is refused if there is none.
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
		t.Errorf("third connection with an idle one to close: error %v", err)
	}
	if u.conns != 2 {
		t.Errorf("%d connections counted, want 2", u.conns)
	}
	// A failed dial is not counted any more.
	u.maxConns = 3
	if _, err := u.get(ctx, newTarget(sidecartest.ClosedAddress(t))); err == nil {
		t.Error("connected to a closed port")
	}
	if u.conns != 2 {
		t.Errorf("%d connections counted after a failed dial, want 2", u.conns)
	}
}

// TestLocalShortageIsNotBlamedOnEndpoint expects NotSent if an attempt fails because the sidecar lacks connections,
// descriptors or ports, or has cancelled it: the endpoint must not be ejected for that.
func TestLocalShortageIsNotBlamedOnEndpoint(t *testing.T) {
	dst := newTarget(sidecartest.RawEndpoint(t, readOneRequest))
	u := newTestUpstream(t)
	u.maxConns = 0
	if r := u.sendAttempt(plainGet(), dst); r.Status != balancer.NotSent {
		t.Errorf("all connections in use: status %v, want NotSent", r.Status)
	}
	u.maxConns = 1
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL} {
		u.dial = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", e)}
		}
		if r := u.sendAttempt(plainGet(), dst); r.Status != balancer.NotSent {
			t.Errorf("%v: status %v, want NotSent", e, r.Status)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		cancel()
		return nil, ctx.Err()
	}
	r := u.send(ctx, dst, plainGet(), u.attemptWithin(time.Second))
	if r.Status != balancer.NotSent {
		t.Errorf("dial cancelled by the sidecar: status %v, want NotSent", r.Status)
	}
}
