package httpfront

import (
	"bufio"
	"bytes"
	"context"
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
