package httpfront

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"birchmoor/internal/dataplane/core"
)

// responseTo converts a final answer of the event loop to the response that the client gets.
func responseTo(answer core.Answer) *response {
	var r *response
	switch answer.Disposition {
	case core.Served:
		upstream := answer.Reply.Content.(*upstreamAnswer)
		r = &response{code: http.StatusOK, header: http.Header{}, body: upstream.body}
		for k, v := range upstream.header {
			if !isHopByHop(k, upstream.header) && k != "Endpoint-Load-Metrics" {
				r.header[k] = v
			}
		}
	case core.Rejected:
		r = newResponse(http.StatusServiceUnavailable, "refused: try again later")
		if answer.RetryAfter > 0 {
			r.setRetryAfter(answer.RetryAfter)
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

// answer writes the final answer to the client and counts the end of the request. last asks for the connection to close
// after it. It reports whether the connection may serve another request.
func (s *Server) answer(c *client, req *core.Request, answer core.Answer, last bool) bool {
	last = last || s.closing.Load() || answer.Disposition == core.DuplicateID
	r := responseTo(answer)
	if answer.StreamEnded == nil {
		s.countEnd(req, answer.Disposition)
		if answer.Disposition != core.Served {
			s.logRequestEnd(c, req, endOf(answer.Disposition), 0)
		}
		written := s.write(c, r, last)
		answer.Discard()
		s.clients.endRequest(c)
		return written && !last
	}
	s.clients.answerStarted(c)
	stream := answer.Reply.Content.(*upstreamAnswer).stream
	end, sent := core.StreamAbandoned, int64(0)
	out := stallWriter{c.Conn, maxStreamStall}
	if _, err := out.Write(r.head(stream.length, last)); err != nil {
		s.unwritten.Inc()
	} else {
		end, sent = stream.copyTo(out)
	}
	stream.finish(end)
	answer.StreamEnded(end)
	if end != core.StreamComplete {
		s.countEnd(req, core.Failed)
		s.countStreamEnd(end)
		s.logRequestEnd(c, req, endOfStream(end), sent)
		return false // the client sees from the missing end of the body that the request failed
	}
	s.countEnd(req, core.Served)
	s.clients.endRequest(c)
	return !last
}

// countStreamEnd counts a streamed answer that did not reach its client completely.
func (s *Server) countStreamEnd(end core.StreamEnd) {
	if end == core.StreamCut {
		s.answersCut.Inc()
		return
	}
	s.answersUnread.Inc()
}

// write writes a complete final answer and reports whether that succeeded. A failure is counted in unwritten.
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

// typicalHeadBytes is the space that is reserved for a response's head.
const typicalHeadBytes = 256

// newResponse returns a response with one line of text as its body.
func newResponse(code int, text string) *response {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	return &response{code: code, header: header, body: []byte(text + "\n")}
}

// setRetryAfter sets the Retry-After header, in seconds with three decimals.
func (r *response) setRetryAfter(d time.Duration) {
	r.header.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
}

// write writes a complete response in one piece, and reports whether that succeeded.
func (c *client) write(r *response, last bool) bool {
	text := append(r.head(int64(len(r.body)), last), r.body...)
	_, err := writeWithin(c, text, writeTimeout)
	return err == nil
}

// head returns the head of the response. length is that of the body; if it is negative, the body is sent in chunks.
func (r *response) head(length int64, last bool) []byte {
	var b bytes.Buffer
	b.Grow(typicalHeadBytes + len(r.body))
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
