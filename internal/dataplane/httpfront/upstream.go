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

// Upstream sends attempts and probes to endpoints over a small pool of connections. http.Transport is not used,
// since it sends some requests again by itself when an idle connection breaks, and does not tell whether the last
// byte was written. Here an attempt is written at most once, in one piece.
type Upstream struct {
	clock         core.Clock
	log           *slog.Logger
	maxIdle       time.Duration
	maxConns      int
	dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	pause         func(ctx context.Context, d time.Duration)
	sends         *metrics.Counter // attempts that were written completely
	reports       atomic.Pointer[reportConfig]
	answerBudget  *bytebudget.Budget // bytes of buffered answers
	connectErrors core.ConnectErrors

	mu            sync.Mutex
	unsolicitedAt time.Time            // when an endpoint last sent something unsolicited
	conns         int                  // open or being opened
	idle          map[*target]struct{} // with idle connections
}

// NewUpstream returns an upstream without connections. sends counts the attempts that were written completely.
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
	configured := time.Duration(c.Settings.Limits.DialTimeout) * time.Microsecond
	u.dial = (&net.Dialer{Timeout: dialTimeout(configured)}).DialContext
	return u
}

// target is the address of one endpoint, with connections of its own.
type target struct {
	upstream *Upstream
	addr     string

	// Guarded by upstream.mu.
	idle    []*conn
	removed bool // nothing new is sent there
}

// Target returns a target without connections.
func (u *Upstream) Target(addr string) core.Target { return &target{upstream: u, addr: addr} }

// Send makes one attempt.
func (t *target) Send(ctx context.Context, o core.Attempt) core.Reply {
	return t.upstream.send(ctx, t, o.Request.(*message), o.Deadline, o.Begin, o.BodySent)
}

// Probe asks the endpoint for its load.
func (t *target) Probe() core.Reply { return t.upstream.probe(t) }

// Close ends the use of the target: idle connections are closed, attempts in flight continue.
func (t *target) Close() { t.upstream.removeTarget(t) }

// CloseUnusedSince closes idle connections that were last used before an instant.
func (t *target) CloseUnusedSince(before time.Time) { t.upstream.closeIdleSince(t, before) }

// reportConfig says what load reports hold, and whether they come with answers.
type reportConfig struct {
	fields    []string
	onAnswers bool
}

// AcceptsLateReplies returns false: an attempt that continues would occupy a connection.
func (u *Upstream) AcceptsLateReplies() bool { return false }

// SetConfig applies what a configuration says of load reports.
func (u *Upstream) SetConfig(c *config.Config) {
	u.reports.Store(&reportConfig{c.LoadFields, c.LoadOnResponses})
}

// SetCapacityShare sets this process's part of the limits.
func (u *Upstream) SetCapacityShare(c *config.Config, part float64) {
	u.resize(c.MaxUpstreamConns(part))
	u.answerBudget.Resize(c.MaxBufferedBytes(part))
}

// Maintain closes stale connections at intervals until ctx ends, and all idle ones then.
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

// send makes one attempt. mayGo is called last, right before the first byte; if it returns false, nothing is sent.
// bodySent is called when a streamed body has gone out. When ctx ends the connection is closed, unless the answer
// is being streamed by then.
func (u *Upstream) send(ctx context.Context, to *target, m *message, deadline balancer.Micros,
	mayGo func(now balancer.Micros) bool, bodySent func(now balancer.Micros)) core.Reply {
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
	return u.exchange(ctx, c, m.bytes(left), m.upload, u.sends, bodySent)
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

// reply returns a reply of now with a status.
func (u *Upstream) reply(status balancer.Status) core.Reply {
	return core.Reply{Status: status, At: u.clock.Now()}
}

// exchange writes a request, counts it once it is written completely, and reads its answer. The connection is used
// again if both are complete.
func (u *Upstream) exchange(ctx context.Context, c *conn, text []byte, rest *upload, sends *metrics.Counter,
	bodySent func(balancer.Micros)) core.Reply {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
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
		if status := u.sendRest(c, rest); status != balancer.OK {
			stop()
			u.discard(c)
			r := u.reply(status)
			r.RequestConsumed = true
			return r
		}
		bodySent(u.clock.Now())
	}
	sends.Inc()
	a, err := c.read(ctx, u.answerBudget)
	r := u.reply(balancer.Reset)
	r.RequestConsumed = rest != nil
	if err == nil && a.stream != nil && a.code != http.StatusOK {
		a.releaseBudget() // of an error the status is enough
		a.stream = nil
		a.closesConnection = true
	}
	if err == nil && a.stream != nil && stop() {
		a.stream.done = u.afterStream(c, a)
		r.Status = balancer.OK
		r.Content = a
		r.Load = u.loadOf(a)
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
	r.Status = a.status()
	r.Load = u.loadOf(a)
	return r
}

// sendRest sends the rest of a streamed body. A status other than balancer.OK says why it could not.
func (u *Upstream) sendRest(c *conn, rest *upload) balancer.Status {
	if rest.taken.Swap(true) {
		return balancer.ConnectFailed // another attempt has read it
	}
	rest.endWatch()
	// The beginning has been copied into the request, so that its buffer serves for the rest.
	err := rest.copyTo(c, rest.beginningBytes, rest.buf)
	if err == nil {
		return balancer.OK
	}
	var fault *clientError
	if errors.As(err, &fault) {
		return balancer.NotSent // the endpoint did nothing wrong
	}
	return balancer.ConnectFailed
}

// afterStream returns what is to be done with the connection once an answer was streamed.
func (u *Upstream) afterStream(c *conn, a *upstreamAnswer) func(core.StreamEnd) {
	return func(end core.StreamEnd) {
		a.releaseBudget()
		c.paced.readTimeout = 0
		c.clearReadDeadline()
		if end != core.StreamComplete || a.closesConnection || c.r.Buffered() > 0 {
			u.discard(c)
		} else {
			u.put(c)
		}
	}
}

// loadOf returns the load report in an answer, or nil.
func (u *Upstream) loadOf(a *upstreamAnswer) []float32 {
	reports := u.reports.Load()
	if !reports.onAnswers {
		return nil
	}
	return parseLoad(reports.fields, a.header.Get("Endpoint-Load-Metrics"))
}

const (
	// MaxBufferedBody bounds what is buffered of a body; a longer one is streamed.
	MaxBufferedBody = 64 << 10

	maxBufferedAnswer = MaxBufferedBody + 64<<10 // with its head and framing
	probeTimeout      = 250 * time.Millisecond
	sweepInterval     = time.Second

	// A connection takes a round trip, under a millisecond between hosts of a site. One that takes many times as
	// long belongs to a host that is cut off or gone, and the request, which never ran, may still be answered in
	// time elsewhere.
	dialTimeoutDivisor = 4
)

// dialTimeout returns how long to wait for a connection, by the limit of the settings; 0 if they have none.
func dialTimeout(limit time.Duration) time.Duration {
	if limit <= 0 {
		limit = probeTimeout
	}
	return limit / dialTimeoutDivisor
}
