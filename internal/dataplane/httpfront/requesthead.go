package httpfront

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"syscall"
	"time"
)

// readHead reads a request up to its body. head is the request's head as it was sent; it may contain bytes of the body
// as well. If ok is false, the client has been answered where possible, and the connection is to be closed.
func (s *Server) readHead(c *client, headDeadline time.Time) (r *http.Request, head []byte, ok bool) {
	arrived, _ := c.reader.Peek(c.reader.Buffered()) // it came with the request before; reads from memory, cannot fail
	c.limit.N = int64(MaxHeaderBytes - len(arrived))
	c.paced.readTimeout = 0
	c.paced.received.Store(int64(len(arrived)))
	c.headDeadline = headDeadline
	err := c.paced.head.begin(arrived)
	if err == nil {
		c.paced.startRecording(arrived)
		r, err = c.readRequest()
		head = c.paced.stopRecording()
	}
	if err != nil {
		s.rejectHead(c, err)
		return nil, nil, false
	}
	c.requestReadAt = time.Now()
	return r, head, true
}

// readRequest waits for a request's first byte if c.headDeadline is zero, and reads the request up to its body.
func (c *client) readRequest() (*http.Request, error) {
	if c.headDeadline.IsZero() {
		c.setReadDeadline(time.Now().Add(idleTimeout))
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		c.headDeadline = time.Now().Add(RequestTimeout)
	}
	c.setReadDeadline(c.headDeadline)
	return http.ReadRequest(c.reader.Reader)
}

// acquireHeadMemory charges memory for a part of a head, and reports whether it was granted. It waits for
// headMemoryTimeout at most, and not past the head's deadline, by which the client is to have its answer.
func (s *Server) acquireHeadMemory(c *client, bytes int) bool {
	timeout := headMemoryTimeout
	if !c.headDeadline.IsZero() {
		timeout = min(timeout, time.Until(c.headDeadline))
	}
	return s.acquireMemory(c, s.heads, bytes, timeout) == nil
}

// rejectHead answers a request whose head could not be read, if a response is due.
func (s *Server) rejectHead(c *client, err error) {
	if errors.Is(err, errNoHeadMemory) {
		s.headsRejected.Inc()
	}
	if code := s.errorCode(c, err); code != 0 {
		s.logRejected(c, code, err.Error())
		c.reject(code, http.StatusText(code))
	}
}

// errorCode returns the HTTP status for an error of reading a request's head, or 0 if no response is due because the
// client has sent nothing or has left.
func (s *Server) errorCode(c *client, err error) int {
	var netErr net.Error
	switch {
	case errors.Is(err, errNoHeadMemory):
		return http.StatusServiceUnavailable
	case errors.As(err, &netErr) && netErr.Timeout():
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

// checkHead checks what does not depend on the configuration: version, framing, target and the form of headers.
func checkHead(r *http.Request, head []byte) error {
	if !r.ProtoAtLeast(1, 1) || r.ProtoMajor != 1 {
		return newRequestError(http.StatusHTTPVersionNotSupported, "this version of HTTP is not spoken here")
	}
	if err := checkFraming(r, head); err != nil {
		return err
	}
	switch {
	case r.ContentLength > MaxBodyBytes:
		return newRequestError(http.StatusRequestEntityTooLarge, "the body is over %d bytes", MaxBodyBytes)
	case !strings.HasPrefix(r.RequestURI, "/"):
		return newRequestError(http.StatusBadRequest, "the target must be a path")
	case !isVisibleASCII(r.Host):
		return newRequestError(http.StatusBadRequest, "Host makes no sense")
	}
	for _, name := range []string{"X-Trace-Id", "X-Qos", "X-Expires-In-Ms", "Idempotency-Key"} {
		values := r.Header[name]
		if len(values) > 1 || len(values) == 1 && !isVisibleASCII(values[0]) {
			return newRequestError(http.StatusBadRequest, "%s makes no sense", name)
		}
	}
	return nil
}

// checkFraming rejects a request whose body has one length by one of its headers, and another one by another header or
// to a server that does not know this header. Such a body may hide a request (request smuggling).
func checkFraming(r *http.Request, head []byte) error {
	switch {
	case len(r.TransferEncoding) > 0 && hasField(head, "Content-Length"):
		return newRequestError(http.StatusBadRequest, "a Content-Length or chunks, not both")
	case !r.ProtoAtLeast(1, 1) && hasField(head, "Transfer-Encoding"):
		return newRequestError(http.StatusBadRequest, "HTTP/1.0 has no chunks")
	}
	for name := range r.Header {
		// net/http takes "Content-Length : 5" for a field with another name, others for a length.
		if strings.Contains(name, " ") {
			return newRequestError(http.StatusBadRequest, "a header's name has a space")
		}
	}
	return nil
}

// hasField reports whether a request's head has a field. http.ReadRequest drops a Content-Length if the body is
// chunked, and a Transfer-Encoding in HTTP/1.0. name is in canonical form.
func hasField(head []byte, name string) bool {
	_, head, _ = bytes.Cut(head, []byte("\n"))
	header, _ := textproto.NewReader(bufio.NewReader(bytes.NewReader(head))).ReadMIMEHeader()
	return len(header[name]) > 0
}
