// Package httpfront is HTTP/1.1 on both sides: Server takes clients' requests and gives their answers, Upstream makes
// attempts and probes at endpoints. What is longer than BodyMost flows through, piece by piece (flow.go).
package httpfront

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
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
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/platform/metrics"
)

// maxAnswerMargin is kept from the client's time, so that the final answer reaches it before that is up; of a time that is short, but
// longer than this, one part in marginShare.
const (
	maxAnswerMargin     = 5 * time.Millisecond
	answerMarginDivisor = 20
)

// AnswerMargin is what is kept of a client's time, in microseconds. Calls come in rows: each level is told what the one above will wait,
// which may be little beside its own client's time, and were 5 ms kept of that at each, the eleventh would have none of 50 ms. A time
// that is no longer than the margin is all kept: nothing is begun in it.
func AnswerMargin(left balancer.Micros) balancer.Micros {
	most := maxAnswerMargin.Microseconds()
	if left <= most {
		return left
	}
	return min(most, left/answerMarginDivisor)
}

const (
	MaxHeaderBytes     = 16 << 10
	RequestTimeout     = 2700 * time.Millisecond // for a head, from its first byte or the connection's beginning
	budgetTimeout      = 2 * time.Second         // for room for a body
	idleTimeout        = 15 * time.Second        // between requests
	finalAcceptTimeout = 5 * time.Millisecond    // to take what waits to be accepted, before that ends
)

// Server takes clients' requests and gives their answers.
type Server struct {
	loop        *core.EventLoop
	clients     *clients
	figures     *metrics.Registry
	bodies      *bytebudget.Budget // bytes of bodies that are held
	closing     atomic.Bool
	socket      handover.Socket
	limits      core.Limiter // or nil
	log         *slog.Logger
	allRejected rejectionEpisode

	mu          sync.Mutex
	listener    net.Listener
	acceptEnded chan struct{} // closed once that ended
}

// NewServer returns a server that brings its requests to l.
func NewServer(c *config.Config, l *core.EventLoop, socket handover.Socket, figures *metrics.Registry, log *slog.Logger) *Server {
	s := &Server{loop: l, socket: socket, figures: figures, bodies: bytebudget.New(c.HeldBytes(1)), log: log}
	s.clients = newClients(c.ClientConns(1), s.serve, &figures.Unanswered, log)
	return s
}

// SetLimiter has requests let through by l alone. It is called before Open.
func (s *Server) SetLimiter(l core.Limiter) { s.limits = l }

// Open begins to accept connections. It is told if that ends unasked.
func (s *Server) Open(broken func(error)) error {
	ln, err := s.socket.Listen()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := make(chan struct{})
	s.listener, s.acceptEnded = ln, ended
	go func() {
		err := s.clients.accept(ln)
		close(ended)
		if err != nil {
			broken(err)
		}
	}()
	return nil
}

// StopAccepting stops accepting; it may have been stopped before. What the system has accepted by then is taken: closing would
// reset it, and a request that has been written to it.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	ln, ended := s.listener, s.acceptEnded
	s.listener = nil
	s.mu.Unlock()
	if ln == nil {
		return
	}
	if timed, ok := ln.(interface{ SetDeadline(time.Time) error }); ok && timed.SetDeadline(time.Now().Add(finalAcceptTimeout)) == nil {
		<-ended
	}
	ln.Close()
	<-ended
}

// SetClosing says whether each answer is to close its connection. Clients are told that the server is not ready then.
func (s *Server) SetClosing(on bool) { s.closing.Store(on) }

// SetCapacityShare sets the part of the limits that is for this process.
func (s *Server) SetCapacityShare(c *config.Config, part float64) {
	s.clients.resize(c.ClientConns(part))
	s.bodies.Resize(c.HeldBytes(part))
}

// CloseIdleFor closes the connections that were used and have been idle for longer than age, and returns how many are open.
func (s *Server) CloseIdleFor(age time.Duration) int { return s.clients.closeIdleFor(age) }

// CloseIdle closes idle connections that were used; others close once they have their answers.
func (s *Server) CloseIdle() { s.clients.closeIdle() }

// CloseUnused closes the connections that have asked nothing, all or those that are not about to, and returns how many
// of them are left.
func (s *Server) CloseUnused(all bool) int { return s.clients.closeUnused(all) }

// Wait returns once all connections have ended.
func (s *Server) Wait() { s.clients.serving.Wait() }

// serve serves a connection, one request at a time.
func (s *Server) serve(c *client) {
	until := time.Now().Add(RequestTimeout)
	for s.exchange(c, until) {
		until = time.Time{}
	}
}

// exchange takes one request, which must be whole by then or, if that is zero, soon after its first byte, and
// gives its answer. It says whether the connection may serve another.
func (s *Server) exchange(c *client, until time.Time) bool {
	c.limit.N = MaxHeaderBytes
	c.paced.readTimeout, c.paced.recording, c.paced.recorded = 0, true, nil
	if until.IsZero() {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		if _, err := c.r.Peek(1); err != nil {
			return false
		}
		until = time.Now().Add(RequestTimeout)
	}
	c.SetReadDeadline(until)
	r, err := http.ReadRequest(c.r)
	head := c.paced.recorded
	c.paced.recording, c.paced.recorded = false, nil
	if err != nil {
		if code := s.errorCode(c, err); code != 0 {
			c.reject(code, http.StatusText(code))
		}
		return false
	}
	if r.URL.Path == "/-/ready" && r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		a := newResponse(http.StatusOK, "ready")
		if s.closing.Load() || !s.loop.Ready() {
			a = newResponse(http.StatusServiceUnavailable, "not ready")
		}
		last := r.Close || s.closing.Load()
		return c.write(a, last) && !last && s.clients.keepOpen(c)
	}
	k, err := s.parse(c, r, head)
	if k != nil {
		defer func() { s.bodies.Release(k.BudgetBytes) }()
	}
	if err != nil {
		code := http.StatusBadRequest
		if bad := (*badRequest)(nil); errors.As(err, &bad) {
			code = bad.code
		}
		c.reject(code, err.Error())
		return false
	}
	if !s.clients.beginRequest(c) {
		return false
	}
	ran := true // where nobody says otherwise
	if s.limits != nil {
		ended, no := s.limits.Admit(limiterRequest(k, r))
		if no != nil {
			return s.rejectOverLimit(c, k, r, no)
		}
		if ended != nil {
			defer func() { ended(ran) }()
		}
	}
	var gone, sent <-chan error
	var left <-chan struct{}
	if up := k.Payload.(*message).upload; up != nil {
		sent = up.ended
		left, up.endWatch = c.watchDuringUpload()
	} else {
		gone = s.requestComplete(c, k)
	}
	s.loop.Submit(k)
	for {
		select {
		case err := <-sent:
			sent = nil
			if err != nil {
				// The client's fault, or an endpoint's: then the answer tells.
				if fault := (*clientError)(nil); errors.As(err, &fault) {
					s.loop.ClientLeft(k)
					(<-k.Answer).Discard()
					s.rejectBody(c, fault)
					return false
				}
				a := <-k.Answer
				ran = a.MayHaveRun
				return s.answerEarly(c, k, a)
			}
			gone = s.requestComplete(c, k)
		case a := <-k.Answer:
			ran = a.MayHaveRun
			if gone == nil {
				// The last byte may have gone out just before.
				select {
				case err := <-sent:
					if err == nil {
						gone = s.requestComplete(c, k)
					}
				default:
				}
			}
			if gone == nil {
				return s.answerEarly(c, k, a)
			}
			c.SetReadDeadline(past)
			if err := <-gone; err == nil {
				a.Discard()
				s.countEnd(k, core.Failed)
				c.reject(http.StatusBadRequest, surplusReason)
				return false
			}
			return s.answer(c, k, a, r.Close)
		case <-left:
			// As below; its body is not read any more.
			s.loop.ClientLeft(k)
			a := <-k.Answer
			ran = a.MayHaveRun
			return s.answerEarly(c, k, a)
		case err := <-gone:
			s.loop.ClientLeft(k)
			a := <-k.Answer
			if ran = a.MayHaveRun; errors.Is(err, io.EOF) {
				// An end of sending is taken for the client's leaving, and nothing begins for it any more. One that still
				// listens is told so.
				return s.answer(c, k, a, true)
			}
			a.Discard()
			s.countEnd(k, core.Failed)
			if err == nil {
				c.reject(http.StatusBadRequest, surplusReason)
			}
			return false
		}
	}
}

// limiterRequest is what limits read of a request.
func limiterRequest(k *core.Request, r *http.Request) *core.LimiterRequest {
	a := &core.LimiterRequest{Class: k.Class, Path: r.URL.Path, Header: r.Header.Get}
	if k.Input.HasHint {
		a.CostMs = k.Input.Hint
	}
	most := 0.0
	for _, c := range k.Config.Settings.Classes {
		most = max(most, c.PriorityWeight)
	}
	if a.PriorityWeight = 1; most > 0 {
		a.PriorityWeight = k.Config.Settings.Classes[k.Input.Class].PriorityWeight / most
	}
	return a
}

// rejectOverLimit refuses a request that a limit of the fleet has no room for: it was not taken.
func (s *Server) rejectOverLimit(c *client, k *core.Request, r *http.Request, no *core.LimitExceeded) bool {
	s.figures.LimitRejections(no.Limit).Inc()
	s.figures.Class(k.Class).Deferred.Inc()
	s.allRejected.recordRejection(s.figures, s.log)
	a := newResponse(http.StatusTooManyRequests, "limited: "+no.Limit)
	a.header.Set("Retry-After", strconv.FormatFloat(no.RetryAfter.Seconds(), 'f', 3, 64))
	last := r.Close || s.closing.Load()
	if up := k.Payload.(*message).upload; up != nil { // its body still comes
		c.write(a, true)
		c.linger(up.body, MaxBody, bodyGrace)
		return false
	}
	whole := c.write(a, last)
	s.clients.endRequest(c)
	return whole && !last
}

// requestComplete notes that a request has come whole, and watches its client.
func (s *Server) requestComplete(c *client, k *core.Request) <-chan error {
	s.clients.expect(c, time.Duration(k.TimeAfterBody)*time.Microsecond+maxAnswerMargin)
	c.paced.readTimeout = 0
	s.figures.InFlight.Add(1)
	return c.watch()
}

// answerEarly gives an answer while the body still comes, and reads the rest for a little: closing on unread bytes
// would take the answer away again.
func (s *Server) answerEarly(c *client, k *core.Request, a core.Answer) bool {
	a.Discard()
	if a.Disposition == core.Served {
		a.Disposition = core.Failed // to a part of a body, whatever it says
	}
	s.figures.InFlight.Add(1)
	s.countEnd(k, a.Disposition)
	c.write(responseTo(a), true)
	up := k.Payload.(*message).upload
	up.endWatch()
	up.halted.Store(true)
	if up.taken.Load() {
		c.SetReadDeadline(past)
		<-up.unread
	}
	c.linger(up.body, MaxBody, bodyGrace)
	return false
}

// rejectBody answers a body that did not come as announced.
func (s *Server) rejectBody(c *client, fault *clientError) {
	var timeout net.Error
	switch {
	case errors.Is(fault, errLongBody):
		c.reject(http.StatusRequestEntityTooLarge, fault.Error())
	case errors.Is(fault, errSlowBody), errors.As(fault, &timeout) && timeout.Timeout():
		c.reject(http.StatusRequestTimeout, fault.Error())
	default:
		c.reject(http.StatusBadRequest, fault.Error())
	}
}

// countEnd counts the end of a request that was taken. It is the one place that does.
func (s *Server) countEnd(k *core.Request, v core.Disposition) {
	s.figures.InFlight.Add(-1)
	class := s.figures.Class(k.Class)
	switch v {
	case core.Served:
		class.Answered.Inc()
	case core.Rejected:
		class.Deferred.Inc()
		s.allRejected.recordRejection(s.figures, s.log)
	default:
		class.Errored.Inc()
	}
}

const surplusReason = "more was sent than the request's length tells"

// errorCode returns the code for what is no request, 0 if the client has sent nothing or has gone.
func (s *Server) errorCode(c *client, err error) int {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		if c.limit.N == MaxHeaderBytes {
			return 0
		}
		return http.StatusRequestTimeout
	case c.limit.N <= 0:
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.Is(err, syscall.ECONNRESET):
		return 0
	}
	return http.StatusBadRequest
}

// response returns the final answer as it goes to the client.
func responseTo(a core.Answer) *response {
	var r *response
	switch a.Disposition {
	case core.Served:
		g := a.Reply.Content.(*upstreamAnswer)
		r = &response{code: http.StatusOK, header: http.Header{}, body: g.body}
		for k, v := range g.header {
			if !hopByHop(k, g.header) && k != "Endpoint-Load-Metrics" {
				r.header[k] = v
			}
		}
	case core.Rejected:
		r = newResponse(http.StatusServiceUnavailable, "refused: try again later")
		if a.RetryAfter > 0 {
			r.header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		}
	case core.DuplicateID:
		r = newResponse(http.StatusConflict, "a request with this X-Trace-Id is open")
	case core.FailedTimeout:
		r = newResponse(http.StatusGatewayTimeout, "no answer in time")
	default:
		r = newResponse(http.StatusBadGateway, "failed")
	}
	return r
}

// answer gives the final answer, and says whether the connection may serve another request.
func (s *Server) answer(c *client, k *core.Request, a core.Answer, last bool) bool {
	last = last || s.closing.Load() || a.Disposition == core.DuplicateID
	r := responseTo(a)
	if a.StreamEnded == nil {
		s.countEnd(k, a.Disposition)
		whole := c.write(r, last)
		a.Discard()
		s.clients.endRequest(c)
		return whole && !last
	}
	s.clients.answerStarted(c)
	flow := a.Reply.Content.(*upstreamAnswer).stream
	how := core.StreamAbandoned
	c.SetWriteDeadline(time.Now().Add(maxStreamStall))
	if _, err := c.Write(r.head(flow.length, last)); err == nil {
		how = flow.copyTo(c, func() { c.SetWriteDeadline(time.Now().Add(maxStreamStall)) })
	}
	flow.done(how)
	a.StreamEnded(how)
	if how != core.StreamComplete {
		s.countEnd(k, core.Failed)
		return false // short of its end, so that the client can tell
	}
	s.countEnd(k, core.Served)
	s.clients.endRequest(c)
	return !last
}

// badRequest says why a request is not taken.
type badRequest struct {
	code   int
	reason string
}

func (e *badRequest) Error() string { return e.reason }

func newBadRequest(code int, format string, args ...any) error {
	return &badRequest{code, fmt.Sprintf(format, args...)}
}

// parse reads the rest of a request and says what is wrong with it.
func (s *Server) parse(conn *client, r *http.Request, head []byte) (*core.Request, error) {
	config := s.loop.ConfigSnapshot()
	switch {
	case !r.ProtoAtLeast(1, 1) || r.ProtoMajor != 1:
		return nil, newBadRequest(http.StatusHTTPVersionNotSupported, "this version of HTTP is not spoken here")
	case len(r.TransferEncoding) > 0 && hasLength(head):
		// A reader that goes by the one header may find a request in what is a body by the other.
		return nil, newBadRequest(http.StatusBadRequest, "a Content-Length or chunks, not both")
	case r.ContentLength > MaxBody:
		return nil, newBadRequest(http.StatusRequestEntityTooLarge, "the body is over %d bytes", MaxBody)
	case !strings.HasPrefix(r.RequestURI, "/"):
		return nil, newBadRequest(http.StatusBadRequest, "the target must be a path")
	case !isVisibleASCII(r.Host):
		return nil, newBadRequest(http.StatusBadRequest, "Host makes no sense")
	}
	for _, name := range []string{"X-Trace-Id", "X-Qos", "X-Expires-In-Ms", "Idempotency-Key"} {
		if v := r.Header[name]; len(v) > 1 || len(v) == 1 && !isVisibleASCII(v[0]) {
			return nil, newBadRequest(http.StatusBadRequest, "%s makes no sense", name)
		}
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := r.Header.Get("X-Qos")
	if name == "" {
		name = first
	}
	class := slices.Index(config.Classes, name)
	if class < 0 {
		return nil, newBadRequest(http.StatusNotFound, "unknown class %q", name)
	}
	if name != first {
		return nil, newBadRequest(http.StatusBadRequest, "X-Qos %q is not the first part of the path", name)
	}
	id := r.Header.Get("X-Trace-Id")
	if id == "" {
		return nil, newBadRequest(http.StatusBadRequest, "X-Trace-Id is missing")
	}
	settings := &config.Settings.Classes[class]
	method := http.MethodPost
	if settings.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		return nil, newBadRequest(http.StatusMethodNotAllowed, "class %q takes %s", name, method)
	}
	if method == http.MethodGet && r.ContentLength != 0 {
		return nil, newBadRequest(http.StatusBadRequest, "class %q takes no body", name)
	}
	if settings.Idempotency == balancer.WithIdempotencyKey && r.Header.Get("Idempotency-Key") == "" {
		return nil, newBadRequest(http.StatusBadRequest, "Idempotency-Key is missing") // a repeat would not be known as one
	}
	left := settings.Timeout
	if text := r.Header.Get("X-Expires-In-Ms"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return nil, newBadRequest(http.StatusBadRequest, "X-Expires-In-Ms is not a whole number of milliseconds")
		}
		left = min(left, int64(min(ms, math.MaxInt32))*1000)
	}
	c := &core.Request{ID: id, Class: name, Config: config, Answer: make(chan core.Answer, 1), Input: balancer.Request{Class: uint8(class), Tenant: tenant(config.Config, r), Rules: config.Rules,
		Key: idempotencyKey(r.Header.Get("X-Object")), Retry: r.Header.Get("X-Second-Try") == "1"},
		TimeAfterBody: left - AnswerMargin(left)}
	if hint, err := strconv.ParseInt(r.Header.Get("X-Size-Hint"), 10, 64); err == nil && hint > 0 {
		c.Input.Hint, c.Input.HasHint = hint, true
	}
	c.ClientGone = conn.hasLeft
	out := &message{method: r.Method, uri: r.RequestURI, host: r.Host, header: http.Header{}}
	c.Payload = out
	if err := s.body(conn, r, c); err != nil {
		return c, err
	}
	// The time of a request counts from its last byte.
	c.Input.Deadline = s.loop.Now() + c.TimeAfterBody
	if c.StreamsBody = out.upload != nil; c.StreamsBody {
		c.Input.BodyStreaming, c.Input.Deadline = true, s.loop.Now()+maxUploadTime.Microseconds()
	}
	for k, v := range r.Header {
		if !hopByHop(k, r.Header) && k != "X-Expires-In-Ms" {
			out.header[k] = v
		}
	}
	return c, nil
}

// hasLength says whether a head names a Content-Length. http.ReadRequest drops it where there are chunks.
func hasLength(head []byte) bool {
	_, head, _ = bytes.Cut(head, []byte("\n"))
	header, _ := textproto.NewReader(bufio.NewReader(bytes.NewReader(head))).ReadMIMEHeader()
	return len(header["Content-Length"]) > 0
}

// body reads the body, or the beginning of a long one. What follows it before the answer is no request: clients
// send one at a time, so the length is wrong, and who sent it must not be served with what an endpoint makes of
// a part.
func (s *Server) body(c *client, r *http.Request, k *core.Request) error {
	length := r.ContentLength
	if expect := r.Header.Get("Expect"); strings.EqualFold(expect, "100-continue") && length != 0 {
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // that it failed shows when reading
	} else if expect != "" {
		return newBadRequest(http.StatusExpectationFailed, "Expect makes no sense")
	}
	want := int(min(uint64(length), MaxBufferedBody)) // all that may be for a length that is not known
	if want > unbudgetedBytes {
		ctx, cancel := context.WithTimeout(context.Background(), budgetTimeout)
		defer cancel()
		if s.bodies.Acquire(ctx, want) != nil {
			return newBadRequest(http.StatusServiceUnavailable, "no room for the body")
		}
		k.BudgetBytes = want
	}
	if c.limit.N = 2 * MaxBody; length >= 0 {
		c.limit.N = max(0, length-int64(c.r.Buffered())) + 1
	}
	c.paced.readTimeout = maxBodyStall
	buf := make([]byte, want)
	n, begun := 0, time.Now()
	for n < want {
		more, err := r.Body.Read(buf[n:])
		n += more
		if err == io.EOF && (length < 0 || int64(n) == length) {
			length = int64(n)
			break
		}
		if err != nil || time.Since(begun) > bodyGrace+time.Duration(n)*time.Second/minBodyRate {
			return newBadRequest(http.StatusBadRequest, "the body is not whole")
		}
	}
	out := k.Payload.(*message)
	out.body = buf[:n]
	if int64(n) != length {
		out.upload = &upload{body: r.Body, length: length, answerTime: k.TimeAfterBody, beginningBytes: n, buf: buf,
			ended: make(chan error, 1), unread: make(chan struct{})}
		return nil
	}
	c.paced.readTimeout = 0
	if c.r.Buffered() > 0 {
		return newBadRequest(http.StatusBadRequest, surplusReason)
	}
	return nil
}

// isVisibleASCII says whether a header's value is plain text of some length.
func isVisibleASCII(v string) bool {
	return v != "" && !strings.ContainsFunc(v, func(c rune) bool { return c <= ' ' || c > '~' })
}

// tenant returns the tenant's place in the settings, or one past all places.
func tenant(c *config.Config, r *http.Request) uint16 {
	if i := slices.Index(c.Tenants, r.Header.Get("X-Customer")); i >= 0 {
		return uint16(i)
	}
	return math.MaxUint16
}

// idempotencyKey turns what a request is about into a number; 0 is none.
func idempotencyKey(object string) uint64 {
	if object == "" {
		return 0
	}
	if v, err := strconv.ParseUint(object, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	io.WriteString(h, object)
	return h.Sum64()
}

// hopByHop says whether a header concerns one connection only.
func hopByHop(name string, h http.Header) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", "Host", "X-Never-Ran":
		return true
	}
	for _, v := range h["Connection"] {
		for _, named := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(named), name) {
				return true
			}
		}
	}
	return false
}
