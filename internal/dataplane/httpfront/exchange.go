package httpfront

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"birchmoor/internal/dataplane/core"
)

// exchange reads one request and gives its answer. The request must be complete by an instant or, if that is zero,
// within RequestTimeout of its first byte. It reports whether the connection may serve another one.
func (s *Server) exchange(c *client, until time.Time) bool {
	r, head, ok := s.readHead(c, until)
	if !ok {
		return false
	}
	if r.URL.Path == readinessPath && r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		return s.answerReadiness(c, r)
	}
	k, err := s.parse(c, r, head)
	if k != nil {
		defer func() { s.bodies.Release(k.BudgetBytes) }()
	}
	if err != nil {
		c.reject(errorStatus(err), err.Error())
		return false
	}
	if !s.clients.beginRequest(c) {
		return false
	}
	x := &exchange{server: s, client: c, request: k, closes: r.Close, mayHaveRun: true}
	if s.limits != nil {
		ended, exceeded := s.limits.Admit(limiterRequest(k, r))
		if exceeded != nil {
			return s.rejectOverLimit(c, k, r, exceeded)
		}
		if ended != nil {
			defer func() { ended(x.mayHaveRun) }()
		}
	}
	return x.run()
}

// readinessPath is answered here, for whoever checks whether the sidecar serves.
const readinessPath = "/-/ready"

// readHead reads a request up to its body, and returns its head as it was sent, too.
func (s *Server) readHead(c *client, until time.Time) (r *http.Request, head []byte, ok bool) {
	c.limit.N = MaxHeaderBytes
	c.paced.readTimeout = 0
	c.paced.recording = true
	c.paced.recorded = nil
	if until.IsZero() {
		c.setReadDeadline(time.Now().Add(idleTimeout))
		if _, err := c.r.Peek(1); err != nil {
			return nil, nil, false
		}
		until = time.Now().Add(RequestTimeout)
	}
	c.setReadDeadline(until)
	r, err := http.ReadRequest(c.r)
	head = c.paced.recorded
	c.paced.recording = false
	c.paced.recorded = nil
	if err != nil {
		if code := s.errorCode(c, err); code != 0 {
			c.reject(code, http.StatusText(code))
		}
		return nil, nil, false
	}
	return r, head, true
}

// answerReadiness answers a readiness check, and reports whether the connection may serve another request.
func (s *Server) answerReadiness(c *client, r *http.Request) bool {
	a := newResponse(http.StatusOK, "ready")
	if s.closing.Load() || !s.loop.Ready() {
		a = newResponse(http.StatusServiceUnavailable, "not ready")
	}
	last := r.Close || s.closing.Load()
	return c.write(a, last) && !last && s.clients.keepOpen(c)
}

// errorStatus returns the status for an error of parse.
func errorStatus(err error) int {
	var bad *badRequest
	if errors.As(err, &bad) {
		return bad.code
	}
	return http.StatusBadRequest
}

// exchange is a request that was submitted to the event loop, until its answer has gone out.
type exchange struct {
	server     *Server
	client     *client
	request    *core.Request
	closes     bool // the client asked for the connection to close
	mayHaveRun bool

	uploaded <-chan error    // how the upload of a streamed body ended; nil: there is none, or it has ended
	gone     <-chan error    // the client's leaving, once the request is complete; nil before
	left     <-chan struct{} // its leaving while its body is still coming
}

// run submits the request, and returns once its answer has gone out. It reports whether the connection may serve
// another one.
func (x *exchange) run() bool {
	s, k := x.server, x.request
	if up := k.Payload.(*message).upload; up != nil {
		x.uploaded = up.ended
		x.left, up.endWatch = x.client.watchDuringUpload()
	} else {
		x.gone = s.requestComplete(x.client, k)
	}
	s.loop.Submit(k)
	for {
		select {
		case err := <-x.uploaded:
			x.uploaded = nil
			if err != nil {
				return x.uploadFailed(err)
			}
			x.gone = s.requestComplete(x.client, k)
		case a := <-k.Answer:
			return x.answered(a)
		case <-x.left:
			// As if it had left after its body, which is not read any more.
			s.loop.ClientDisconnected(k)
			return s.answerEarly(x.client, k, x.awaitAnswer())
		case err := <-x.gone:
			return x.clientLeft(err)
		}
	}
}

// awaitAnswer returns the final answer.
func (x *exchange) awaitAnswer() core.Answer {
	a := <-x.request.Answer
	x.mayHaveRun = a.MayHaveRun
	return a
}

// uploadFailed ends an exchange whose body could not be passed on, by the client's fault or an endpoint's.
func (x *exchange) uploadFailed(err error) bool {
	s, k := x.server, x.request
	var fault *clientError
	if errors.As(err, &fault) {
		s.loop.ClientDisconnected(k)
		a := <-k.Answer
		a.Discard()
		s.rejectBody(x.client, fault)
		return false
	}
	return s.answerEarly(x.client, k, x.awaitAnswer())
}

// answered ends an exchange with the final answer.
func (x *exchange) answered(a core.Answer) bool {
	s, c, k := x.server, x.client, x.request
	x.mayHaveRun = a.MayHaveRun
	if x.gone == nil {
		// The last byte of the body may have gone out just before.
		select {
		case err := <-x.uploaded:
			if err == nil {
				x.gone = s.requestComplete(c, k)
			}
		default:
		}
	}
	if x.gone == nil {
		return s.answerEarly(c, k, a)
	}
	c.setReadDeadline(past)
	if err := <-x.gone; err == nil {
		a.Discard()
		s.countEnd(k, core.Failed)
		c.reject(http.StatusBadRequest, surplusReason)
		return false
	}
	return s.answer(c, k, a, x.closes)
}

// clientLeft ends an exchange whose client closed its connection, ended its sending, or sent more than its request.
func (x *exchange) clientLeft(err error) bool {
	s, c, k := x.server, x.client, x.request
	s.loop.ClientDisconnected(k)
	a := x.awaitAnswer()
	if errors.Is(err, io.EOF) {
		// The end of sending is taken for the client's leaving, and nothing begins for it any more. A client that
		// still listens gets an answer that says so.
		return s.answer(c, k, a, true)
	}
	a.Discard()
	s.countEnd(k, core.Failed)
	if err == nil {
		c.reject(http.StatusBadRequest, surplusReason)
	}
	return false
}

// limiterRequest returns what quotas read of a request.
func limiterRequest(k *core.Request, r *http.Request) *core.LimiterRequest {
	a := &core.LimiterRequest{Class: k.Class, Path: r.URL.Path, Header: r.Header.Get, PriorityWeight: 1}
	if k.Input.HasHint {
		a.CostMs = k.Input.Hint
	}
	highest := 0.0
	for _, c := range k.Config.Settings.Classes {
		highest = max(highest, c.PriorityWeight)
	}
	if highest > 0 {
		a.PriorityWeight = k.Config.Settings.Classes[k.Input.Class].PriorityWeight / highest
	}
	return a
}

// rejectOverLimit rejects a request that is over a quota of the fleet. It was not submitted.
func (s *Server) rejectOverLimit(c *client, k *core.Request, r *http.Request, exceeded *core.LimitExceeded) bool {
	s.figures.LimitRejections(exceeded.Limit).Inc()
	s.figures.Class(k.Class).Deferred.Inc()
	s.allRejected.recordRejection(s.figures, s.log)
	a := newResponse(http.StatusTooManyRequests, "limited: "+exceeded.Limit)
	a.setRetryAfter(exceeded.RetryAfter)
	last := r.Close || s.closing.Load()
	if up := k.Payload.(*message).upload; up != nil { // its body is still coming
		c.write(a, true)
		c.linger(up.body, MaxBody, bodyGrace)
		return false
	}
	written := s.write(c, a, last)
	s.clients.endRequest(c)
	return written && !last
}

// requestComplete notes that the last byte of a request has come, and watches its client.
func (s *Server) requestComplete(c *client, k *core.Request) <-chan error {
	s.clients.expect(c, time.Duration(k.TimeAfterBody)*time.Microsecond+maxAnswerMargin)
	c.paced.readTimeout = 0
	s.figures.InFlight.Add(1)
	return c.watch()
}

// answerEarly gives the answer while the body is still coming, and reads the rest for a while: closing the
// connection with unread bytes would reset it, and the answer with it.
func (s *Server) answerEarly(c *client, k *core.Request, a core.Answer) bool {
	a.Discard()
	if a.Disposition == core.Served {
		a.Disposition = core.Failed // it answers a part of a body
	}
	s.figures.InFlight.Add(1)
	s.countEnd(k, a.Disposition)
	s.write(c, responseTo(a), true)
	up := k.Payload.(*message).upload
	up.endWatch()
	up.halted.Store(true)
	if up.taken.Load() {
		c.setReadDeadline(past)
		<-up.unread
	}
	c.linger(up.body, MaxBody, bodyGrace)
	return false
}

// rejectBody answers a client whose body did not come as announced.
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

// countEnd counts the end of a request. Each request that beginRequest accepted comes here once.
func (s *Server) countEnd(k *core.Request, disposition core.Disposition) {
	s.figures.InFlight.Add(-1)
	class := s.figures.Class(k.Class)
	switch disposition {
	case core.Served:
		class.Answered.Inc()
	case core.Rejected:
		class.Deferred.Inc()
		s.allRejected.recordRejection(s.figures, s.log)
	default:
		class.Errored.Inc()
	}
}

// surplusReason rejects a client that sends more before it has its answer: the length was wrong, or it sends requests
// ahead.
const surplusReason = "more was sent than the request's length tells"

// errorCode returns the status for what is not a request, 0 if the client has sent nothing or has left.
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
