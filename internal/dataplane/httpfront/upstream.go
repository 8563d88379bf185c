package httpfront

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/bytebudget"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/platform/metrics"
)

// Upstream talks to endpoints over a small pool of connections. It is not an http.Transport since that
// sends some requests again by itself when a kept connection breaks, and does not tell whether the last
// byte was written. Here an attempt is written at most once, in one piece.
type Upstream struct {
	clock         core.Clock
	log           *slog.Logger
	maxIdle       time.Duration
	maxConns      int
	dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	pause         func(ctx context.Context, d time.Duration)
	sends         *metrics.Counter // attempts written whole
	reports       atomic.Pointer[reportConfig]
	answerBudget  *bytebudget.Budget // bytes of answers that are held
	connectErrors core.ConnectErrors

	mu            sync.Mutex
	unsolicitedAt time.Time            // when an endpoint last sent what nothing had asked for
	conns         int                  // open or being opened
	idle          map[*target]struct{} // those with idle connections
}

// NewUpstream returns an upstream side without connections. Sends counts the attempts that were written whole.
func NewUpstream(c *config.Config, clk core.Clock, sends *metrics.Counter, log *slog.Logger) *Upstream {
	u := &Upstream{clock: clk, log: log, sends: sends, answerBudget: bytebudget.New(c.MaxBufferedBytes(1)),
		// Well before the endpoint's own limit: a request that crosses its close is lost.
		maxIdle: c.KeepAliveTimeout * 2 / 3, maxConns: c.MaxUpstreamConns(1), idle: map[*target]struct{}{}}
	u.SetConfig(c)
	u.pause = func(ctx context.Context, d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	u.dial = (&net.Dialer{Timeout: dialTimeout(time.Duration(c.Settings.Limits.DialTimeout) * time.Microsecond)}).DialContext
	return u
}

// target is where one endpoint listens. Its connections are its own.
type target struct {
	upstream *Upstream
	addr     string

	// Guarded by upstream.mu.
	idle    []*conn
	removed bool // nothing new goes there
}

// Target returns a place without connections.
func (u *Upstream) Target(addr string) core.Target { return &target{upstream: u, addr: addr} }

// Send makes one attempt.
func (p *target) Send(ctx context.Context, o core.Attempt) core.Reply {
	return p.upstream.send(ctx, p, o.Request.(*message), o.Deadline, o.Begin, o.BodySent)
}

// Probe asks for the endpoint's load.
func (p *target) Probe() core.Reply { return p.upstream.probe(p) }

// Close closes what is idle.
func (p *target) Close() { p.upstream.removeTarget(p) }

// CloseUnusedSince closes what was last used before an instant.
func (p *target) CloseUnusedSince(before time.Time) { p.upstream.closeIdleSince(p, before) }

// reportConfig is what load reports hold, and where.
type reportConfig struct {
	fields    []string
	onAnswers bool
}

// AcceptsLateReplies says no: an attempt that goes on holds a connection.
func (u *Upstream) AcceptsLateReplies() bool { return false }

// SetConfig takes what a configuration says of load reports.
func (u *Upstream) SetConfig(c *config.Config) {
	u.reports.Store(&reportConfig{c.LoadFields, c.LoadOnResponses})
}

// SetCapacityShare sets the part of the limits that is for this process.
func (u *Upstream) SetCapacityShare(c *config.Config, part float64) {
	u.resize(c.MaxUpstreamConns(part))
	u.answerBudget.Resize(c.MaxBufferedBytes(part))
}

// Maintain sweeps until ctx ends, and then closes what is idle.
func (u *Upstream) Maintain(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			u.sweep()
		case <-ctx.Done():
			u.mu.Lock()
			for u.evictLocked() {
			}
			u.mu.Unlock()
			return
		}
	}
}

// send makes one attempt. mayGo is asked last, right before the first byte; if it says no, nothing goes out.
// Whole is called when a body that flows has gone out. When ctx ends, the connection is closed, unless the
// answer has begun to flow: then it is the caller's.
func (u *Upstream) send(ctx context.Context, to *target, m *message, deadline balancer.Micros,
	mayGo func(now balancer.Micros) bool, whole func(now balancer.Micros)) core.Reply {
	c, err := u.get(ctx, to)
	if err != nil {
		return u.reply(u.connectErrors.Status(ctx, err, u.log))
	}
	now := u.clock.Now()
	left := millisLeft(deadline - now)
	if m.upload != nil {
		left = millisLeft(m.upload.answerTime) // from its last byte on
	}
	if left < 1 || !mayGo(now) {
		u.put(c)
		return u.reply(balancer.NotSent)
	}
	return u.exchange(ctx, c, m.bytes(left), m.upload, u.sends, whole)
}

// probe asks an endpoint for its load, or for its health where there are no load reports.
func (u *Upstream) probe(to *target) core.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := u.get(ctx, to)
	if err != nil {
		return u.reply(u.connectErrors.Status(ctx, err, u.log))
	}
	m := message{method: http.MethodGet, uri: "/-/healthy", host: to.addr}
	fields := u.reports.Load().fields
	if len(fields) > 0 {
		m.uri = "/-/load"
	}
	r := u.exchange(ctx, c, m.bytes(0), nil, new(metrics.Counter), nil)
	r.Release()
	if r.Status == balancer.OK && len(fields) > 0 {
		r.Load = parseLoad(fields, string(r.Content.(*upstreamAnswer).body))
	}
	return r
}

func (u *Upstream) reply(status balancer.Status) core.Reply {
	return core.Reply{Status: status, At: u.clock.Now()}
}

// exchange writes a request, counts it once it is written whole, and reads its answer. The connection is kept
// if both are whole.
func (u *Upstream) exchange(ctx context.Context, c *conn, text []byte, rest *upload, sends *metrics.Counter,
	whole func(balancer.Micros)) core.Reply {
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	c.limit.N = maxBufferedAnswer
	n, err := c.Write(text)
	if err != nil {
		stop()
		u.discard(c)
		if n < len(text) {
			return u.reply(balancer.ConnectFailed) // its last byte was not written, so it never ran
		}
		return u.reply(balancer.Reset)
	}
	if rest != nil {
		if rest.taken.Swap(true) {
			stop()
			u.discard(c)
			return core.Reply{Status: balancer.ConnectFailed, At: u.clock.Now(), RequestConsumed: true}
		}
		rest.endWatch()
		// What has gone out of the beginning is copied there, and its place serves for the rest.
		if err := rest.copyTo(c, rest.beginningBytes, rest.buf); err != nil {
			stop()
			u.discard(c)
			r := core.Reply{Status: balancer.ConnectFailed, At: u.clock.Now(), RequestConsumed: true}
			if fault := (*clientError)(nil); errors.As(err, &fault) {
				r.Status = balancer.NotSent // the endpoint did nothing wrong
			}
			return r
		}
		whole(u.clock.Now())
	}
	sends.Inc()
	a, err := c.read(ctx, u.answerBudget)
	r := u.reply(balancer.Reset)
	r.RequestConsumed = rest != nil
	if err == nil && a.stream != nil && a.code != http.StatusOK {
		a.releaseBudget() // of an error nothing but the code is wanted
		a.stream, a.closesConnection = nil, true
	}
	if err == nil && a.stream != nil && stop() {
		r.Status, r.Content = balancer.OK, a
		a.stream.done = func(how core.StreamEnd) {
			a.releaseBudget()
			c.paced.readTimeout = 0
			c.SetReadDeadline(time.Time{})
			if how != core.StreamComplete || a.closesConnection || c.r.Buffered() > 0 {
				u.discard(c)
			} else {
				u.put(c)
			}
		}
		if on := u.reports.Load(); on.onAnswers {
			r.Load = parseLoad(on.fields, a.header.Get("Endpoint-Load-Metrics"))
		}
		return r
	}
	if !stop() || err != nil || a.stream != nil || a.closesConnection || c.r.Buffered() > 0 {
		if err == nil && a.stream != nil {
			a.releaseBudget()
			err = context.Canceled
		}
		u.discard(c)
	} else {
		u.put(c)
	}
	if err != nil {
		return r
	}
	r.Content = a
	switch {
	case a.code == http.StatusOK:
		r.Status = balancer.OK
	case (a.code == http.StatusServiceUnavailable || a.code == http.StatusGatewayTimeout) &&
		a.header.Get("X-Never-Ran") == "1":
		r.Status = balancer.Rejected
	default:
		r.Status = balancer.Error
	}
	if on := u.reports.Load(); on.onAnswers {
		r.Load = parseLoad(on.fields, a.header.Get("Endpoint-Load-Metrics"))
	}
	return r
}

const (
	MaxBufferedBody   = 64 << 10
	maxBufferedAnswer = MaxBufferedBody + 64<<10 // with its head and framing
	probeTimeout      = 250 * time.Millisecond
	sweepInterval     = time.Second
	minRest           = 10 * time.Millisecond // behind an answer, in which a second one may come
	unsolicitedMemory = 10 * time.Minute      // one that did is remembered
)

// dialTimeoutDivisor is the part of the dial time-out that a connection is waited for. One takes a round trip, under a
// millisecond here; one that is not up in many times that belongs to a machine that is cut off or gone, and the
// request, which never ran, may still be in time elsewhere.
const dialTimeoutDivisor = 4

// dialTimeout is how long a connection is waited for, where the settings allow most; 0 for no word of theirs.
func dialTimeout(most time.Duration) time.Duration {
	if most <= 0 {
		most = probeTimeout
	}
	return most / dialTimeoutDivisor
}
