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

// Upstream sends attempts and probes to endpoints over a pool of connections. http.Transport is not used, since it
// resends some requests by itself when an idle connection breaks, and does not report whether the last byte was
// written. Upstream writes each attempt at most once. It is safe for concurrent use.
type Upstream struct {
	clock         core.Clock
	log           *slog.Logger
	maxIdle       time.Duration // idle connections expire after this time
	maxConns      int           // guarded by mu
	dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	pause         func(ctx context.Context, d time.Duration) // sleeps for d or until ctx ends
	sends         *metrics.Counter                           // counts attempts that were written completely
	reports       atomic.Pointer[loadReportConfig]
	bodyBudget    *bytebudget.Budget // bounds the bytes of buffered answers' bodies
	headBudget    *bytebudget.Budget // bounds the memory of answers' heads beyond maxUnbudgetedHead each
	connectErrors core.ConnectErrors
	attemptEvents *eventLog        // attempts that ended without an answer
	answersEnded  *metrics.Counter // counts answers that had begun to arrive when the sidecar ended their attempts

	mu            sync.Mutex
	unsolicitedAt time.Time            // when an endpoint last sent unsolicited bytes; zero: never
	conns         int                  // connections that are open or being opened
	idle          map[*target]struct{} // targets with idle connections
}

// NewUpstream returns an Upstream without connections, which counts in figures.
func NewUpstream(c *config.Config, clk core.Clock, figures *metrics.Registry, log *slog.Logger) *Upstream {
	u := &Upstream{clock: clk, log: log, sends: &figures.AttemptsSent,
		attemptEvents: newEventLog(log, "attempt ended without an answer"),
		answersEnded:  figures.NewCounter("answers_ended_total"),
		bodyBudget:    bytebudget.New(c.MaxBufferedBytes(1)), headBudget: bytebudget.New(c.MaxBufferedBytes(1)),
		// Idle connections expire well before the endpoint closes them: a request that is written at that moment is
		// lost.
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

// target is one endpoint, with connections of its own.
type target struct {
	upstream *Upstream
	addr     string

	// Guarded by upstream.mu.
	idle    []*conn // in the order in which they were last used
	removed bool    // no attempt begins any more
}

// Target implements core.Transport. It returns a new target without connections.
func (u *Upstream) Target(addr string) core.Target { return &target{upstream: u, addr: addr} }

// Send implements core.Target.
func (t *target) Send(ctx context.Context, attempt core.Attempt) core.Reply {
	return t.upstream.send(ctx, t, attempt.Request.(*message), attempt)
}

// Probe implements core.Target. It requests the endpoint's load, or its health if no load reports are configured.
func (t *target) Probe() core.Reply { return t.upstream.probe(t) }

// Close implements core.Target. It closes idle connections; attempts in flight continue.
func (t *target) Close() { t.upstream.removeTarget(t) }

// CloseUnusedSince implements core.Target.
func (t *target) CloseUnusedSince(before time.Time) { t.upstream.closeIdleSince(t, before) }

// loadReportConfig is what a configuration says about load reports.
type loadReportConfig struct {
	fields    []string // names of the values to read; none: there are no load reports
	onAnswers bool     // answers carry load reports in a header
}

// AcceptsLateReplies implements core.Transport. It returns false: an attempt that continues after its timeout would
// occupy a connection.
func (u *Upstream) AcceptsLateReplies() bool { return false }

// SetConfig implements core.Transport. It applies the configuration of load reports; nothing else changes.
func (u *Upstream) SetConfig(c *config.Config) {
	u.reports.Store(&loadReportConfig{c.LoadFields, c.LoadOnResponses})
}

// SetCapacityShare sets this process's share of the limits on connections and buffered answers, from 0 to 1. During an
// upgrade, two processes share them.
func (u *Upstream) SetCapacityShare(c *config.Config, share float64) {
	u.resize(c.MaxUpstreamConns(share))
	u.bodyBudget.Resize(c.MaxBufferedBytes(share))
	u.headBudget.Resize(c.MaxBufferedBytes(share))
}

// Maintain closes unusable idle connections at intervals until ctx ends, and then all idle ones.
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

// send makes one attempt. When ctx ends the connection is closed, unless the answer is being streamed by then.
func (u *Upstream) send(ctx context.Context, dst *target, msg *message, attempt core.Attempt) core.Reply {
	c, err := u.get(ctx, dst)
	if err != nil {
		return u.reply(u.connectErrors.Status(ctx, err, u.log))
	}
	now := u.clock.Now()
	leftMs := millisLeft(msg.timeLeft(now, attempt.Deadline))
	if leftMs < 1 || !attempt.Begin(now) {
		u.put(c)
		return u.reply(balancer.NotSent)
	}
	return u.exchange(ctx, c, msg, msg.bytes(leftMs), attempt, u.sends)
}

// probe requests the load of an endpoint, or its health if no load reports are configured.
func (u *Upstream) probe(dst *target) core.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := u.get(ctx, dst)
	if err != nil {
		return u.reply(u.connectErrors.Status(ctx, err, u.log))
	}
	msg := message{method: http.MethodGet, uri: "/-/healthy", host: dst.addr}
	fields := u.reports.Load().fields
	if len(fields) > 0 {
		msg.uri = "/-/load"
	}
	reply := u.exchange(ctx, c, &msg, msg.bytes(0), core.Attempt{Deadline: u.clock.Now() + probeTimeout.Microseconds()},
		new(metrics.Counter))
	reply.Release()
	if reply.Status == balancer.OK && len(fields) > 0 {
		reply.Load = parseLoad(fields, string(reply.Content.(*upstreamAnswer).body))
	}
	return reply
}

// reply returns a reply with a status and the current time.
func (u *Upstream) reply(status balancer.Status) core.Reply {
	return core.Reply{Status: status, At: u.clock.Now()}
}

// exchange writes a request, counts it in sends once it is written completely, and reads its answer. It returns the
// connection to the pool if both are complete, and discards it otherwise.
func (u *Upstream) exchange(ctx context.Context, c *conn, msg *message, encoded []byte, attempt core.Attempt,
	sends *metrics.Counter) core.Reply {
	progress := newAttemptProgress(msg, c.target.addr)
	c.paced.received.Store(0)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	c.limit.N = maxBufferedAnswerBytes
	if status, err := u.writeRequest(ctx, c, msg, encoded, attempt, progress); err != nil {
		stop()
		u.discard(c)
		u.logEnd(ctx, progress, c.paced.received.Load(), err)
		reply := u.reply(status)
		reply.RequestConsumed = progress.phase == phaseSendingBody
		return reply
	}
	if msg.upload != nil {
		attempt.BodySent(u.clock.Now())
	}
	sends.Inc()
	progress.phase = phaseWaiting
	left := msg.timeLeft(u.clock.Now(), attempt.Deadline)
	answer, err := c.read(time.Now().Add(time.Duration(left)*time.Microsecond), u.bodyBudget)
	reply := u.reply(balancer.Reset)
	reply.RequestConsumed = msg.upload != nil
	if err == nil && answer.stream != nil && answer.code != http.StatusOK {
		answer.stream.drop() // the body of an error response is not needed
		answer.stream = nil
		answer.bodyCharge.release()
		answer.closesConnection = true
	}
	if err == nil && answer.stream != nil && stop() {
		answer.stream.done = u.afterStream(c, answer, answer.stream)
		reply.Status = balancer.OK
		reply.Content = answer
		reply.Load = u.loadOf(answer)
		return reply
	}
	if !stop() || err != nil || answer.stream != nil || answer.closesConnection || c.reader.Buffered() > 0 {
		if err == nil && answer.stream != nil {
			answer.stream.drop()
			answer.releaseCharges()
			err = context.Canceled
		}
		u.discard(c)
	} else {
		u.put(c)
	}
	if err != nil {
		u.logEnd(ctx, progress, c.paced.received.Load(), err)
		return reply
	}
	reply.Content = answer
	reply.Status = answer.status()
	reply.Load = u.loadOf(answer)
	return reply
}

// writeRequest writes a request with its streamed body, if it has one. With an error, it returns the attempt's status.
func (u *Upstream) writeRequest(ctx context.Context, c *conn, msg *message, encoded []byte, attempt core.Attempt,
	progress *attemptProgress) (balancer.Status, error) {
	n, err := c.Write(encoded)
	switch {
	case err != nil && n < len(encoded):
		return balancer.ConnectFailed, err // the request's last byte was not written, so it never ran
	case err != nil:
		return balancer.Reset, err
	}
	progress.bodySent = int64(len(msg.body))
	if msg.upload == nil {
		return balancer.OK, nil
	}
	progress.phase = phaseSendingBody
	return sendRest(ctx, c, msg.upload, attempt, progress)
}

// sendRest sends the rest of a streamed body. With an error, it returns the attempt's status.
func sendRest(ctx context.Context, c *conn, rest *upload, attempt core.Attempt,
	progress *attemptProgress) (balancer.Status, error) {
	if rest.claimed.Swap(true) {
		return balancer.ConnectFailed, errBodyConsumed
	}
	// The beginning of the body was copied into the encoded request, so that its buffer is free for the rest.
	rest.queue.addSpare(rest.buf)
	sent, err := rest.sendTo(ctx, c.Conn, attempt.BodyEnding)
	progress.bodySent = sent
	var bodyErr *bodyError
	if errors.As(err, &bodyErr) {
		return balancer.NotSent, err // the client is the cause, not the endpoint
	}
	return balancer.ConnectFailed, err
}

// afterStream returns the function that is called once an answer has been streamed. It releases the budget, and pools
// or discards the connection.
func (u *Upstream) afterStream(c *conn, answer *upstreamAnswer, stream *download) func(core.StreamEnd) {
	return func(end core.StreamEnd) {
		answer.releaseCharges()
		isRead := end == core.StreamComplete && !stream.awaitsTrailer // otherwise a read may be in progress
		if !isRead || answer.closesConnection || c.reader.Buffered() > 0 {
			u.discard(c)
			return
		}
		c.paced.readTimeout = 0
		c.clearReadDeadline()
		u.put(c)
	}
}

// loadOf returns the load report in an answer's header, or nil if there is none.
func (u *Upstream) loadOf(answer *upstreamAnswer) []float32 {
	reports := u.reports.Load()
	if !reports.onAnswers {
		return nil
	}
	return parseLoad(reports.fields, answer.header.Get("Endpoint-Load-Metrics"))
}

const (
	// MaxBufferedBodyBytes bounds the bytes of a body that are buffered; a longer body is streamed.
	MaxBufferedBodyBytes = 64 << 10

	maxBufferedAnswerBytes = MaxBufferedBodyBytes + 64<<10 // body, head and framing
	probeTimeout           = 250 * time.Millisecond
	sweepInterval          = time.Second

	// Between hosts of a site, connecting takes one round trip, less than a millisecond. If it takes many times as
	// long, the host is down or unreachable. Dialling ends after a fraction of the configured timeout, so that another
	// endpoint can still answer the request, which never ran, in time.
	dialTimeoutDivisor = 4
)

// dialTimeout returns the timeout of a dial. limit is the configured one; if it is not positive, probeTimeout replaces
// it.
func dialTimeout(limit time.Duration) time.Duration {
	if limit <= 0 {
		limit = probeTimeout
	}
	return limit / dialTimeoutDivisor
}
