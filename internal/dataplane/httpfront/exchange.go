package httpfront

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"birchmoor/internal/dataplane/core"
)

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
