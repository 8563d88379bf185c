package httpfront

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/bytebudget"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/platform/metrics"
)

const (
	MaxBufferedBody   = 64 << 10
	maxBufferedAnswer = MaxBufferedBody + 64<<10 // with its head and framing
	probeTimeout      = 250 * time.Millisecond
	sweepInterval     = time.Second
	minRest           = 10 * time.Millisecond // behind an answer, in which a second one may come
	unsolicitedMemory = 10 * time.Minute      // one that did is remembered
)

// message is a client's request as it goes on to an endpoint, but for the time that it has left.
type message struct {
	method, uri, host string
	header            http.Header // end-to-end headers
	body              []byte      // the whole, or the beginning of upload
	upload            *upload     // nil if body is the whole
}

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

type conn struct {
	net.Conn
	paced     pacedConn
	limit     io.LimitedReader // what an answer may still take, head and all
	r         *bufio.Reader
	target    *target
	idleSince time.Time // since when
}

func newConn(nc net.Conn, to *target) *conn {
	c := &conn{Conn: nc, target: to, paced: pacedConn{Conn: nc}}
	c.limit.R = &c.paced
	c.r = bufio.NewReaderSize(&c.limit, 4096)
	return c
}

// NewUpstream returns an upstream side without connections. Sends counts the attempts that were written whole.
func NewUpstream(c *config.Config, clk core.Clock, sends *metrics.Counter, log *slog.Logger) *Upstream {
	u := &Upstream{clock: clk, log: log, sends: sends, answerBudget: bytebudget.New(c.HeldBytes(1)),
		// Well before the endpoint's own limit: a request that crosses its close is lost.
		maxIdle: c.KeepAlive * 2 / 3, maxConns: c.UpstreamConns(1), idle: map[*target]struct{}{}}
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

// reportConfig is what load reports hold, and where.
type reportConfig struct {
	fields    []string
	onAnswers bool
}

// AcceptsLateReplies says no: an attempt that goes on holds a connection.
func (u *Upstream) AcceptsLateReplies() bool { return false }

// SetConfig takes what a configuration says of load reports.
func (u *Upstream) SetConfig(c *config.Config) { u.reports.Store(&reportConfig{c.Fields, c.OnAnswers}) }

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

// millisLeft is what an endpoint is told of the time left, in whole milliseconds. Only when none is left is it 0:
// what is due soon is not yet late.
func millisLeft(left balancer.Micros) balancer.Micros { return (max(0, left) + 999) / 1000 }

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
	maxInterimAnswers = 8       // answers 1xx ahead of the one that counts
	unbudgetedBytes   = 4 << 10 // an answer of no more is not counted
)

var (
	errAmbiguousLength = errors.New("nothing tells for sure where the answer ends")
	errAnswerTooLarge  = errors.New("the answer is too large")
	errNotHTTP         = errors.New("the answer is no HTTP/1")
)

// upstreamAnswer is a whole answer, or one that flows.
type upstreamAnswer struct {
	code             int
	header           http.Header
	body             []byte
	stream           *download // in place of body
	budget           *bytebudget.Budget
	budgetBytes      int  // bytes of the budget
	closesConnection bool // the endpoint closes the connection after it
}

// Streams says whether there is more than what has been read.
func (a *upstreamAnswer) Streams() bool { return a.stream != nil }

// Release gives back what is held, and the connection of what flows.
func (a *upstreamAnswer) Release() {
	if flow := a.stream; flow != nil {
		a.stream = nil
		flow.done(core.StreamAbandoned)
	}
	a.releaseBudget()
}

func (a *upstreamAnswer) releaseBudget() {
	a.budget.Release(a.budgetBytes)
	a.budgetBytes = 0
}

// read reads a whole answer, or the beginning of one that flows. One that ends early or whose end is told in
// two ways is an error: nothing but what the endpoint made for the request may pass for its answer.
// http.ReadResponse would hide that it had both a length and chunks.
func (c *conn) read(ctx context.Context, held *bytebudget.Budget) (*upstreamAnswer, error) {
	for range maxInterimAnswers {
		c.paced.readTimeout = 0
		c.SetReadDeadline(time.Time{})
		if _, err := c.r.Peek(1); err != nil {
			return nil, err
		}
		c.paced.readTimeout = maxAnswerStall
		a, err := c.head()
		if err != nil {
			return nil, err
		}
		if a.code < 200 {
			continue
		}
		a.budget = held
		if err = c.body(ctx, a, held); err != nil {
			a.releaseBudget()
		}
		if a.stream == nil {
			c.paced.readTimeout = 0
			c.SetReadDeadline(time.Time{})
		}
		return a, err
	}
	return nil, errAnswerTooLarge
}

// head reads a status line and headers.
func (c *conn) head() (*upstreamAnswer, error) {
	text := textproto.NewReader(c.r)
	line, err := text.ReadLine()
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	a := &upstreamAnswer{}
	if a.code, err = strconv.Atoi(code); err != nil || len(code) != 3 || a.code < 100 ||
		version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, errNotHTTP
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	a.header = http.Header(header)
	a.closesConnection = version == "HTTP/1.0"
	for _, v := range a.header["Connection"] {
		a.closesConnection = a.closesConnection || strings.Contains(strings.ToLower(v), "close")
	}
	return a, nil
}

// body reads what the head announces, if that is no more than BodyMost; of more, and of what comes slowly and
// whose length is not told, it reads the beginning.
func (c *conn) body(ctx context.Context, a *upstreamAnswer, held *bytebudget.Budget) error {
	lengths, encodings := a.header["Content-Length"], a.header["Transfer-Encoding"]
	var length int64
	var body io.Reader
	switch {
	case a.code == http.StatusNoContent || a.code == http.StatusNotModified:
		return nil
	case len(lengths) == 1 && len(encodings) == 0:
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return err
		}
		if n > MaxBody {
			return errAnswerTooLarge
		}
		length = int64(n)
		body = io.LimitReader(c.r, length)
	case len(lengths) == 0 && len(encodings) == 1 && strings.EqualFold(encodings[0], "chunked"):
		length = -1
		body = &chunkedReader{r: httputil.NewChunkedReader(c.r), c: c}
	case len(lengths) == 0 && len(encodings) == 0:
		// Only the end of the connection ends it.
		length, a.closesConnection = -1, true
		body = c.r
	default:
		return errAmbiguousLength
	}
	a.budgetBytes = int(min(uint64(length), MaxBufferedBody)) // all that may be for a length that is not known
	if a.budgetBytes <= unbudgetedBytes {
		a.budgetBytes = 0
	} else if err := held.Acquire(ctx, a.budgetBytes); err != nil {
		a.budgetBytes = 0
		return err
	}
	c.limit.N = 2*MaxBody + maxBufferedAnswer // chunks have some framing
	if length >= 0 && length <= MaxBufferedBody {
		a.body = make([]byte, length)
		_, err := io.ReadFull(body, a.body)
		return err
	}
	buf := make([]byte, MaxBufferedBody)
	n, begun := 0, time.Now()
	for n < len(buf) && (n == 0 || length < 0 && time.Since(begun) < streamAfter) {
		more, err := body.Read(buf[n:])
		n += more
		if err == io.EOF && length < 0 {
			a.body = buf[:n]
			return nil
		}
		if err != nil {
			return err
		}
	}
	if length >= 0 {
		body = &exactReader{body, length - int64(n)}
	}
	c.paced.readTimeout = maxStreamStall
	a.stream = &download{beginning: buf[:n], more: body, length: length, buf: buf}
	return nil
}

// chunkedReader reads chunks and, behind the last, the trailer.
type chunkedReader struct {
	r io.Reader
	c *conn
}

func (r *chunkedReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if err == io.EOF {
		if _, bad := textproto.NewReader(r.c.r).ReadMIMEHeader(); bad != nil {
			err = fmt.Errorf("trailer: %w", bad)
		}
	}
	return n, err
}

// exactReader ends with an error unless all that is left comes.
type exactReader struct {
	r    io.Reader
	left int64
}

func (r *exactReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if r.left -= int64(n); err == io.EOF && r.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// bytes writes the request in one piece, with the time that is left for it in milliseconds, if any.
func (m *message) bytes(leftMs int64) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(m.body))
	b.WriteString(m.method + " " + m.uri + " HTTP/1.1\r\nHost: " + m.host + "\r\n")
	m.header.Write(&b) // writing to memory does not fail
	if leftMs > 0 {
		b.WriteString("X-Expires-In-Ms: " + strconv.FormatInt(leftMs, 10) + "\r\n")
	}
	switch {
	case m.upload != nil && m.upload.length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		fmt.Fprintf(&b, "%x\r\n", len(m.body))
		b.Write(m.body)
		b.WriteString("\r\n")
		return b.Bytes()
	case m.upload != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(m.upload.length, 10) + "\r\n")
	case len(m.body) > 0 || m.method != http.MethodGet:
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(m.body)
	return b.Bytes()
}

// parseLoad reads a report, TEXT name=value, name=value, into the order of fields. A figure that is missing
// or makes no sense is NaN, never zero; a report without any sound figure is none.
func parseLoad(fields []string, text string) []float32 {
	text = strings.TrimPrefix(strings.TrimSpace(text), "TEXT ")
	load := make([]float32, len(fields))
	for i := range load {
		load[i] = float32(math.NaN())
	}
	any := false
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 32)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		for i, f := range fields {
			if f == strings.TrimSpace(name) {
				load[i], any = float32(v), true
			}
		}
	}
	if !any {
		return nil
	}
	return load
}

// ---- Connections -----------------------------------------------------------

// get returns the idle connection used last, since the others may then grow old, or a new one. One that has rested for a
// moment goes first: an endpoint may send more than one answer to a request, some milliseconds apart, and behind the next
// request the second would pass for that one's. Where any has done so of late, none goes before it has rested.
func (u *Upstream) get(ctx context.Context, to *target) (*conn, error) {
	u.mu.Lock()
	for !to.removed && len(to.idle) > 0 {
		at, rested := len(to.idle)-1, time.Now().Add(-minRest)
		for at > 0 && to.idle[at].idleSince.After(rested) {
			at--
		}
		if to.idle[at].idleSince.After(rested) {
			at = len(to.idle) - 1
		}
		c := u.popLocked(to, at)
		if wait := c.idleSince.Sub(rested); wait > 0 && !u.unsolicitedAt.IsZero() && time.Since(u.unsolicitedAt) < unsolicitedMemory {
			u.mu.Unlock()
			u.pause(ctx, wait)
			u.mu.Lock()
		}
		if !to.removed && u.usable(c) {
			u.mu.Unlock()
			return c, nil
		}
		u.closeLocked(c)
	}
	err := error(nil)
	switch {
	case to.removed:
		err = core.ErrEndpointRemoved
	case u.conns >= u.maxConns && !u.evictLocked(): // descriptors must not run out: one idle elsewhere makes room
		err = core.ErrConnectionsExhausted
	default:
		u.conns++
	}
	u.mu.Unlock()
	if err != nil {
		return nil, err
	}
	nc, err := u.dial(ctx, "tcp", to.addr)
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		u.conns--
		return nil, err
	}
	c := newConn(nc, to)
	if to.removed {
		u.closeLocked(c) // another may listen there by now
		return nil, core.ErrEndpointRemoved
	}
	return c, nil
}

// usable says whether an idle connection may serve a request. It is called with the mutex held.
func (u *Upstream) usable(c *conn) bool {
	quiet, spoke := c.idleState()
	if spoke {
		u.unsolicitedAt = time.Now()
	}
	return quiet && time.Since(c.idleSince) < u.maxIdle
}

func (u *Upstream) heardUnasked() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unsolicitedAt = time.Now()
}

func (u *Upstream) put(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.target.removed {
		u.closeLocked(c)
		return
	}
	c.idleSince = time.Now()
	c.target.idle = append(c.target.idle, c)
	u.idle[c.target] = struct{}{}
}

func (u *Upstream) discard(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeLocked(c)
}

func (u *Upstream) closeLocked(c *conn) {
	c.Conn.Close()
	u.conns--
}

// popLocked takes an idle connection out.
func (u *Upstream) popLocked(to *target, i int) *conn {
	c := to.idle[i]
	if to.idle = slices.Delete(to.idle, i, i+1); len(to.idle) == 0 {
		delete(u.idle, to)
	}
	return c
}

// evictLocked closes the connection that has been idle for longest.
func (u *Upstream) evictLocked() bool {
	var oldest *target
	for to := range u.idle {
		if oldest == nil || to.idle[0].idleSince.Before(oldest.idle[0].idleSince) {
			oldest = to
		}
	}
	if oldest == nil {
		return false
	}
	u.closeLocked(u.popLocked(oldest, 0))
	return true
}

// removeTarget ends the use of a target. What is out there goes on.
func (u *Upstream) removeTarget(to *target) {
	u.mu.Lock()
	defer u.mu.Unlock()
	to.removed = true
	for len(to.idle) > 0 {
		u.closeLocked(u.popLocked(to, 0))
	}
}

// closeIdleSince closes the idle connections to an endpoint that were last used before an instant: one that has been
// silent since then may not be the only one.
func (u *Upstream) closeIdleSince(to *target, before time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := len(to.idle) - 1; i >= 0; i-- {
		if to.idle[i].idleSince.Before(before) {
			u.closeLocked(u.popLocked(to, i))
		}
	}
}

// SetCapacityShare sets the part of the limits that is for this process.
func (u *Upstream) SetCapacityShare(c *config.Config, part float64) {
	u.resize(c.UpstreamConns(part))
	u.answerBudget.Resize(c.HeldBytes(part))
}

// resize changes how many connections may be open, and closes idle ones beyond that.
func (u *Upstream) resize(most int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxConns = most
	for u.conns > most && u.evictLocked() {
	}
}

// sweep closes connections that have been idle for too long or that the endpoint has closed.
func (u *Upstream) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for to := range u.idle {
		for i := len(to.idle) - 1; i >= 0; i-- {
			if !u.usable(to.idle[i]) {
				u.closeLocked(u.popLocked(to, i))
			}
		}
	}
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

// idleState looks, without waiting, whether an idle connection is open and quiet, or the endpoint has sent something on it
// unasked. A request written to one that is neither would be lost and might have run.
func (c *conn) idleState() (quiet, spoke bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet, spoke = err == syscall.EAGAIN, err == nil && n > 0
		return true
	})
	return err == nil && quiet, err == nil && spoke
}
