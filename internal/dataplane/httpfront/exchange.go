package httpfront

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"birchmoor/internal/dataplane/core"
)

// exchange reads one request and answers it. The request's head must be complete by headDeadline or, if that is zero,
// within RequestTimeout of its first byte. It reports whether the connection may serve another request.
func (s *Server) exchange(c *client, headDeadline time.Time) bool {
	defer c.paced.head.release()
	r, head, ok := s.readHead(c, headDeadline)
	if !ok {
		return false
	}
	if r.URL.Path == readinessPath && r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		return s.answerReadiness(c, r, head)
	}
	req, err := s.parse(c, r, head)
	if req != nil {
		defer req.Payload.(*message).releaseBody()
	}
	if err != nil {
		s.logRejected(c, errorStatus(err), err.Error())
		c.reject(errorStatus(err), err.Error())
		c.bodyArrives = r.ContentLength != 0
		return false
	}
	if !s.clients.beginRequest(c) {
		return false
	}
	x := &exchange{server: s, client: c, request: req, clientCloses: r.Close, mayHaveRun: true}
	if s.limits != nil {
		ended, exceeded := s.limits.Admit(limiterRequest(req, r))
		if exceeded != nil {
			return s.rejectOverLimit(c, req, r, exceeded)
		}
		if ended != nil {
			defer func() { ended(x.mayHaveRun) }()
		}
	}
	return x.run()
}

// readinessPath is the path of a readiness check of the sidecar itself; it is not forwarded.
const readinessPath = "/-/ready"

// answerReadiness answers a readiness check with 200 or 503, and reports whether the connection may serve another
// request.
func (s *Server) answerReadiness(c *client, r *http.Request, head []byte) bool {
	if err := checkFraming(r, head); err != nil {
		s.logRejected(c, errorStatus(err), err.Error())
		c.reject(errorStatus(err), err.Error())
		return false
	}
	resp := newResponse(http.StatusOK, "ready")
	if s.closing.Load() || !s.loop.Ready() {
		resp = newResponse(http.StatusServiceUnavailable, "not ready")
	}
	last := r.Close || s.closing.Load()
	return c.write(resp, last) && !last && s.clients.keepOpen(c)
}

// errorStatus returns the HTTP status for an error of parse.
func errorStatus(err error) int {
	var bad *requestError
	if errors.As(err, &bad) {
		return bad.code
	}
	return http.StatusBadRequest
}

// exchange is a request from its submission to the event loop until its answer has been written. Only the goroutine of
// its connection uses it.
type exchange struct {
	server       *Server
	client       *client
	request      *core.Request
	clientCloses bool // the client asked to close the connection after the answer
	mayHaveRun   bool // an endpoint may have run the request; passed to the limiter at the end

	uploadResult  <-chan error    // how the reading of a streamed body ended; nil if there is none, or it has ended
	uploadOverdue <-chan struct{} // closed when the client's time may be over while its body is still arriving
	clientWatch   <-chan error    // the channel of client.watch; nil before the request is complete
}

// run submits the request, and returns once its answer has been written or the client has left. It reports whether the
// connection may serve another request.
func (x *exchange) run() bool {
	s, req := x.server, x.request
	if bodyUpload := req.Payload.(*message).upload; bodyUpload != nil {
		x.uploadResult = bodyUpload.result
		x.uploadOverdue = bodyUpload.overdue
		defer bodyUpload.queue.close()
		go bodyUpload.receive()
	} else {
		x.clientWatch = s.requestComplete(x.client, req)
	}
	s.loop.Submit(req)
	for {
		select {
		case err := <-x.uploadResult:
			x.uploadResult = nil
			if err != nil {
				return x.uploadFailed(err)
			}
			x.bodyComplete()
		case <-x.uploadOverdue:
			x.uploadOverdue = nil
			s.loop.BodyReceived(req, s.loop.Now())
		case answer := <-req.Answer:
			return x.answered(answer)
		case err := <-x.clientWatch:
			return x.clientLeft(err)
		}
	}
}

// bodyComplete records that a streamed body has arrived completely.
func (x *exchange) bodyComplete() {
	bodyUpload := x.request.Payload.(*message).upload
	x.uploadOverdue = nil
	x.server.loop.BodyReceived(x.request, bodyUpload.deadline.Load())
	x.clientWatch = x.server.requestComplete(x.client, x.request)
}

// awaitAnswer waits for the final answer, and sets mayHaveRun from it.
func (x *exchange) awaitAnswer() core.Answer {
	answer := <-x.request.Answer
	x.mayHaveRun = answer.MayHaveRun
	return answer
}

// uploadFailed ends an exchange whose body did not arrive. A client that left gets the final answer, if it still reads;
// so does one that ended its sending before any attempt had begun. After another *bodyError, the client gets a 4xx
// response.
func (x *exchange) uploadFailed(err error) bool {
	s, req := x.server, x.request
	s.loop.ClientDisconnected(req)
	answer := x.awaitAnswer()
	var bodyErr *bodyError
	neverBegan := errors.Is(err, io.ErrUnexpectedEOF) && !answer.MayHaveRun
	if !errors.As(err, &bodyErr) || neverBegan {
		return s.answerEarly(x.client, req, answer)
	}
	answer.Discard()
	s.bodiesFailed.Inc()
	s.logRequestEnd(x.client, req, requestEnd(bodyErr.Error()), 0)
	s.rejectBody(x.client, bodyErr)
	return false
}

// answered writes the final answer and so ends the exchange. If the body is still arriving, it answers early.
func (x *exchange) answered(answer core.Answer) bool {
	s, c, req := x.server, x.client, x.request
	x.mayHaveRun = answer.MayHaveRun
	if x.clientWatch == nil {
		// The last byte of the body may have been forwarded just before the answer.
		select {
		case err := <-x.uploadResult:
			if err == nil {
				x.bodyComplete()
			}
		default:
		}
	}
	if x.clientWatch == nil {
		return s.answerEarly(c, req, answer)
	}
	c.setReadDeadline(pastDeadline)
	if err := <-x.clientWatch; err == nil {
		answer.Discard()
		s.countEnd(req, core.Failed)
		s.logRequestEnd(c, req, endSurplusBytes, 0)
		c.reject(http.StatusBadRequest, surplusReason)
		return false
	}
	return s.answer(c, req, answer, x.clientCloses)
}

// clientLeft ends an exchange whose client closed its connection, closed its sending side, or sent more bytes after its
// request. err is the result of the watch.
func (x *exchange) clientLeft(err error) bool {
	s, c, req := x.server, x.client, x.request
	s.loop.ClientDisconnected(req)
	answer := x.awaitAnswer()
	if errors.Is(err, io.EOF) {
		// The end of the client's sending side counts as a disconnect, and no attempt begins any more. The client may
		// still be reading, so it gets an answer.
		return s.answer(c, req, answer, true)
	}
	answer.Discard()
	s.countEnd(req, core.Failed)
	if err != nil {
		s.logRequestEnd(c, req, endClientLeft, 0)
	} else {
		s.logRequestEnd(c, req, endSurplusBytes, 0)
		c.reject(http.StatusBadRequest, surplusReason)
	}
	return false
}

// limiterRequest returns the properties of a request that quotas depend on. Its priority weight is relative to that of
// the highest class: 1 for that class.
func limiterRequest(req *core.Request, r *http.Request) *core.LimiterRequest {
	limiterReq := &core.LimiterRequest{Class: req.Class, Path: r.URL.Path, Header: r.Header.Get, PriorityWeight: 1}
	if req.Input.HasHint {
		limiterReq.CostMs = req.Input.Hint
	}
	highest := 0.0
	for _, class := range req.Config.Settings.Classes {
		highest = max(highest, class.PriorityWeight)
	}
	if highest > 0 {
		limiterReq.PriorityWeight = req.Config.Settings.Classes[req.Input.Class].PriorityWeight / highest
	}
	return limiterReq
}

// rejectOverLimit answers 429 to a request that exceeds a quota of the fleet. The request was not submitted to the
// event loop.
func (s *Server) rejectOverLimit(c *client, req *core.Request, r *http.Request, exceeded *core.LimitExceeded) bool {
	s.figures.LimitRejections(exceeded.Limit).Inc()
	s.figures.Class(req.Class).Deferred.Inc()
	s.allRejected.recordRejection(s.figures, s.log)
	resp := newResponse(http.StatusTooManyRequests, "limited: "+exceeded.Limit)
	resp.setRetryAfter(exceeded.RetryAfter)
	last := r.Close || s.closing.Load()
	if req.Payload.(*message).upload != nil { // the request's body is still arriving
		c.write(resp, true)
		c.bodyArrives = true
		return false
	}
	written := s.write(c, resp, last)
	s.clients.endRequest(c)
	return written && !last
}

// requestComplete records that the last byte of a request has arrived: the request is in flight from now on, and its
// deadline is known. It returns the watch for its client.
func (s *Server) requestComplete(c *client, req *core.Request) <-chan error {
	s.clients.expect(c, req.ID, time.Duration(req.TimeAfterBody)*time.Microsecond+maxAnswerMargin)
	c.paced.readTimeout = 0
	s.figures.InFlight.Add(1)
	return c.watch()
}

// answerEarly writes the answer while the client's body is still arriving. The rest of the body is discarded for a
// while before the connection closes: closing it with unread bytes would reset it, and the client could lose the
// answer.
func (s *Server) answerEarly(c *client, req *core.Request, answer core.Answer) bool {
	answer.Discard()
	if answer.Disposition == core.Served {
		answer.Disposition = core.Failed // the endpoint answered an incomplete body
	}
	s.figures.InFlight.Add(1)
	s.countEnd(req, answer.Disposition)
	s.bodiesFailed.Inc()
	s.logRequestEnd(c, req, endOf(answer.Disposition), 0)
	s.write(c, responseTo(answer), true)
	bodyUpload := req.Payload.(*message).upload
	bodyUpload.stopReading()
	c.paced.interrupt()
	<-bodyUpload.readEnded
	c.bodyArrives = true
	return false
}

// rejectBody answers 413, 408 or 400 to a client whose body was too long, too slow or otherwise not as announced.
func (s *Server) rejectBody(c *client, bodyErr *bodyError) {
	var netErr net.Error
	switch {
	case errors.Is(bodyErr, errLongBody):
		c.reject(http.StatusRequestEntityTooLarge, bodyErr.Error())
	case errors.Is(bodyErr, errSlowBody), errors.As(bodyErr, &netErr) && netErr.Timeout():
		c.reject(http.StatusRequestTimeout, bodyErr.Error())
	default:
		c.reject(http.StatusBadRequest, bodyErr.Error())
	}
}

// countEnd counts the end of a request by its disposition. It is called once for each request that was counted in
// InFlight.
func (s *Server) countEnd(req *core.Request, disposition core.Disposition) {
	s.figures.InFlight.Add(-1)
	class := s.figures.Class(req.Class)
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

// surplusReason is sent to a client that sends more bytes before it has its answer: the length of its body was wrong,
// or it pipelines requests, which is not supported.
const surplusReason = "more was sent than the request's length tells"
