package httpfront

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
)

// badRequest is a request that is not accepted.
type badRequest struct {
	code   int // status
	reason string
}

// Error returns the reason.
func (e *badRequest) Error() string { return e.reason }

func newBadRequest(code int, format string, args ...any) error {
	return &badRequest{code, fmt.Sprintf(format, args...)}
}

// parse checks a request and reads its body, or the beginning of a long one. If it returns a request beside an
// error, its budget is to be released.
func (s *Server) parse(conn *client, r *http.Request, head []byte) (*core.Request, error) {
	config := s.loop.ConfigSnapshot()
	if err := checkHead(r, head); err != nil {
		return nil, err
	}
	class, err := classOf(config.Config, r)
	if err != nil {
		return nil, err
	}
	id := r.Header.Get("X-Trace-Id")
	if id == "" {
		return nil, newBadRequest(http.StatusBadRequest, "X-Trace-Id is missing")
	}
	settings := &config.Settings.Classes[class]
	if err := checkMethod(r, settings, config.Classes[class]); err != nil {
		return nil, err
	}
	timeout, err := clientTimeout(r, settings)
	if err != nil {
		return nil, err
	}
	k := &core.Request{
		ID:                 id,
		Class:              config.Classes[class],
		Config:             config,
		Answer:             make(chan core.Answer, 1),
		TimeAfterBody:      timeout - AnswerMargin(timeout),
		ClientDisconnected: conn.hasLeft,
		Input: balancer.Request{
			Class:  uint8(class),
			Tenant: tenant(config.Config, r),
			Rules:  config.Rules,
			Key:    idempotencyKey(r.Header.Get("X-Object")),
			Retry:  r.Header.Get("X-Second-Try") == "1",
		},
	}
	if hint, err := strconv.ParseInt(r.Header.Get("X-Size-Hint"), 10, 64); err == nil && hint > 0 {
		k.Input.Hint = hint
		k.Input.HasHint = true
	}
	out := &message{method: r.Method, uri: r.RequestURI, host: r.Host, header: http.Header{}}
	k.Payload = out
	if err := s.body(conn, r, k); err != nil {
		return k, err
	}
	// The time of a request counts from its last byte.
	k.Input.Deadline = s.loop.Now() + k.TimeAfterBody
	if out.upload != nil {
		k.StreamsBody = true
		k.Input.BodyStreaming = true
		k.Input.Deadline = s.loop.Now() + maxUploadTime.Microseconds()
	}
	for name, values := range r.Header {
		if !hopByHop(name, r.Header) && name != "X-Expires-In-Ms" {
			out.header[name] = values
		}
	}
	return k, nil
}

// checkHead checks what does not depend on the configuration.
func checkHead(r *http.Request, head []byte) error {
	switch {
	case !r.ProtoAtLeast(1, 1) || r.ProtoMajor != 1:
		return newBadRequest(http.StatusHTTPVersionNotSupported, "this version of HTTP is not spoken here")
	case len(r.TransferEncoding) > 0 && hasLength(head):
		// A server that goes by one of the headers may find a request in what is a body by the other.
		return newBadRequest(http.StatusBadRequest, "a Content-Length or chunks, not both")
	case r.ContentLength > MaxBody:
		return newBadRequest(http.StatusRequestEntityTooLarge, "the body is over %d bytes", MaxBody)
	case !strings.HasPrefix(r.RequestURI, "/"):
		return newBadRequest(http.StatusBadRequest, "the target must be a path")
	case !isVisibleASCII(r.Host):
		return newBadRequest(http.StatusBadRequest, "Host makes no sense")
	}
	for _, name := range []string{"X-Trace-Id", "X-Qos", "X-Expires-In-Ms", "Idempotency-Key"} {
		values := r.Header[name]
		if len(values) > 1 || len(values) == 1 && !isVisibleASCII(values[0]) {
			return newBadRequest(http.StatusBadRequest, "%s makes no sense", name)
		}
	}
	return nil
}

// classOf returns the index of a request's class, which is named by a header, by the path, or by both alike.
func classOf(config *config.Config, r *http.Request) (int, error) {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := r.Header.Get("X-Qos")
	if name == "" {
		name = first
	}
	class := slices.Index(config.Classes, name)
	if class < 0 {
		return 0, newBadRequest(http.StatusNotFound, "unknown class %q", name)
	}
	if name != first {
		return 0, newBadRequest(http.StatusBadRequest, "X-Qos %q is not the first part of the path", name)
	}
	return class, nil
}

// checkMethod checks method, body and idempotency key against the class.
func checkMethod(r *http.Request, class *balancer.Class, name string) error {
	method := http.MethodPost
	if class.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		return newBadRequest(http.StatusMethodNotAllowed, "class %q takes %s", name, method)
	}
	if method == http.MethodGet && r.ContentLength != 0 {
		return newBadRequest(http.StatusBadRequest, "class %q takes no body", name)
	}
	if class.Idempotency == balancer.WithIdempotencyKey && r.Header.Get("Idempotency-Key") == "" {
		// Without it no endpoint would recognise a repetition.
		return newBadRequest(http.StatusBadRequest, "Idempotency-Key is missing")
	}
	return nil
}

// clientTimeout returns how long the client waits: by the class, or by a header if that is less.
func clientTimeout(r *http.Request, class *balancer.Class) (balancer.Micros, error) {
	text := r.Header.Get("X-Expires-In-Ms")
	if text == "" {
		return class.Timeout, nil
	}
	ms, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, newBadRequest(http.StatusBadRequest, "X-Expires-In-Ms is not a whole number of milliseconds")
	}
	return min(class.Timeout, int64(min(ms, math.MaxInt32))*1000), nil
}

// hasLength reports whether a head has a Content-Length, which http.ReadRequest drops if there are chunks.
func hasLength(head []byte) bool {
	_, head, _ = bytes.Cut(head, []byte("\n"))
	header, _ := textproto.NewReader(bufio.NewReader(bytes.NewReader(head))).ReadMIMEHeader()
	return len(header["Content-Length"]) > 0
}

// body reads the body, or the beginning of a long one. Bytes that follow it before the answer are not another
// request, since clients send one at a time: the length is wrong, and the client must not be served with the answer
// to a part.
func (s *Server) body(c *client, r *http.Request, k *core.Request) error {
	if err := acceptExpect(c, r); err != nil {
		return err
	}
	length := r.ContentLength
	want := int(min(uint64(length), MaxBufferedBody)) // the maximum for an unknown length, which is negative
	if want > unbudgetedBytes {
		if s.acquireBodyMemory(c, want) != nil {
			return newBadRequest(http.StatusServiceUnavailable, "no room for the body")
		}
		k.BudgetBytes = want
	}
	c.limit.N = 2 * MaxBody
	if length >= 0 {
		c.limit.N = max(0, length-int64(c.r.Buffered())) + 1
	}
	c.paced.readTimeout = maxBodyStall
	buf, n, length, err := readBeginning(r.Body, want, length)
	if err != nil {
		return err
	}
	out := k.Payload.(*message)
	out.body = buf[:n]
	if int64(n) != length {
		out.upload = &upload{
			body:           r.Body,
			length:         length,
			answerTime:     k.TimeAfterBody,
			beginningBytes: n,
			buf:            buf,
			ended:          make(chan error, 1),
			unread:         make(chan struct{}),
		}
		return nil
	}
	c.paced.readTimeout = 0
	if c.r.Buffered() > 0 {
		return newBadRequest(http.StatusBadRequest, surplusReason)
	}
	return nil
}

// acquireBodyMemory waits for the memory of a body. The connection is not given up meanwhile.
func (s *Server) acquireBodyMemory(c *client, bytes int) error {
	ctx, cancel := context.WithTimeout(context.Background(), budgetTimeout)
	defer cancel()
	s.clients.setWaiting(c, true)
	defer s.clients.setWaiting(c, false)
	return s.bodies.Acquire(ctx, bytes)
}

// acceptExpect answers an expectation before the body.
func acceptExpect(c *client, r *http.Request) error {
	expect := r.Header.Get("Expect")
	if strings.EqualFold(expect, "100-continue") && r.ContentLength != 0 {
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // a failure shows when the body is read
		return nil
	}
	if expect != "" {
		return newBadRequest(http.StatusExpectationFailed, "Expect makes no sense")
	}
	return nil
}

// readBeginning reads up to want bytes of a body into a buffer. It returns how many came, and the body's length,
// which is known at its end if it was not before.
func readBeginning(body io.Reader, want int, length int64) (buf []byte, n int, knownLength int64, err error) {
	buf = make([]byte, want)
	begun := time.Now()
	for n < want {
		more, err := body.Read(buf[n:])
		n += more
		if errors.Is(err, io.EOF) && (length < 0 || int64(n) == length) {
			return buf, n, int64(n), nil
		}
		if err != nil || time.Since(begun) > bodyGrace+time.Duration(n)*time.Second/minBodyRate {
			return nil, n, length, newBadRequest(http.StatusBadRequest, "the body is not whole")
		}
	}
	return buf, n, length, nil
}

// isVisibleASCII reports whether a header's value is visible ASCII text and not empty.
func isVisibleASCII(v string) bool {
	return v != "" && !strings.ContainsFunc(v, func(c rune) bool { return c <= ' ' || c > '~' })
}

// tenant returns the index of the request's tenant in the settings, or one beyond all.
func tenant(c *config.Config, r *http.Request) uint16 {
	if i := slices.Index(c.Tenants, r.Header.Get("X-Customer")); i >= 0 {
		return uint16(i)
	}
	return math.MaxUint16
}

// idempotencyKey returns a number for the object of a request; 0 for none.
func idempotencyKey(object string) uint64 {
	if object == "" {
		return 0
	}
	if v, err := strconv.ParseUint(object, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, object) // it never fails
	return h.Sum64()
}

// hopByHop reports whether a header concerns one connection only.
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
