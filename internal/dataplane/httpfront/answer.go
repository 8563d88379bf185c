package httpfront

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"birchmoor/internal/dataplane/core"
)

// responseTo returns the final answer as it goes to the client.
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
			r.setRetryAfter(a.RetryAfter)
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

// answer writes the final answer, and reports whether the connection may serve another request.
func (s *Server) answer(c *client, k *core.Request, a core.Answer, last bool) bool {
	last = last || s.closing.Load() || a.Disposition == core.DuplicateID
	r := responseTo(a)
	if a.StreamEnded == nil {
		s.countEnd(k, a.Disposition)
		written := s.write(c, r, last)
		a.Discard()
		s.clients.endRequest(c)
		return written && !last
	}
	s.clients.answerStarted(c)
	flow := a.Reply.Content.(*upstreamAnswer).stream
	how := core.StreamAbandoned
	c.setWriteDeadline(time.Now().Add(maxStreamStall))
	if _, err := c.Write(r.head(flow.length, last)); err != nil {
		s.unwritten.Inc()
	} else {
		how = flow.copyTo(c, func() { c.setWriteDeadline(time.Now().Add(maxStreamStall)) })
	}
	flow.done(how)
	a.StreamEnded(how)
	if how != core.StreamComplete {
		s.countEnd(k, core.Failed)
		return false // the missing end shows the client that it failed
	}
	s.countEnd(k, core.Served)
	s.clients.endRequest(c)
	return !last
}

// write writes a complete final answer, counts it if that failed, and reports whether it succeeded.
func (s *Server) write(c *client, r *response, last bool) bool {
	written := c.write(r, last)
	if !written {
		s.unwritten.Inc()
	}
	return written
}

// response is a final answer as it is written to the client.
type response struct {
	code   int
	header http.Header
	body   []byte
}

// headBytes is the typical size of an answer's head.
const headBytes = 256

// newResponse returns an answer of one line of text.
func newResponse(code int, text string) *response {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	return &response{code: code, header: header, body: []byte(text + "\n")}
}

// setRetryAfter tells the client when to come back, in seconds.
func (r *response) setRetryAfter(d time.Duration) {
	r.header.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
}

// write writes a complete answer in one piece, and reports whether that succeeded.
func (c *client) write(r *response, last bool) bool {
	text := append(r.head(int64(len(r.body)), last), r.body...)
	c.setWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(text)
	return err == nil
}

// head returns the head of the answer, for a body of a length or, if that is negative, for chunks.
func (r *response) head(length int64, last bool) []byte {
	var b bytes.Buffer
	b.Grow(headBytes + len(r.body))
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.code) + " " + http.StatusText(r.code) + "\r\n")
	_ = r.header.Write(&b) // writing to memory does not fail
	if length < 0 {
		b.WriteString("Transfer-Encoding: chunked\r\n")
	} else {
		b.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
