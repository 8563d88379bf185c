package httpfront

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
)

// requestError is the reason why a request is not accepted. The client gets it as the response.
type requestError struct {
	code   int // HTTP status
	reason string
}

// Error returns the reason, which is the body of the response.
func (e *requestError) Error() string { return e.reason }

func newRequestError(code int, format string, args ...any) error {
	return &requestError{code, fmt.Sprintf(format, args...)}
}

// parse checks a request and reads its body, or the beginning of a long one. head is the request's head as it was sent.
// A request that is returned together with an error is not to be submitted, but its body's charges are to be released.
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
		return nil, newRequestError(http.StatusBadRequest, "X-Trace-Id is missing")
	}
	settings := &config.Settings.Classes[class]
	if err := checkMethod(r, settings, config.Classes[class]); err != nil {
		return nil, err
	}
	timeout, err := clientTimeout(r, settings)
	if err != nil {
		return nil, err
	}
	req := &core.Request{
		ID:                 id,
		Class:              config.Classes[class],
		Config:             config,
		Answer:             make(chan core.Answer, 1),
		TimeAfterBody:      timeout - AnswerMargin(timeout),
		ClientDisconnected: conn.hasLeft,
		Input: balancer.Request{
			Class:  uint8(class),
			Tenant: tenantIndex(config.Config, r),
			Rules:  config.Rules,
			Key:    objectKey(r.Header.Get("X-Object")),
			Retry:  r.Header.Get("X-Second-Try") == "1",
		},
	}
	if hint, err := strconv.ParseInt(r.Header.Get("X-Size-Hint"), 10, 64); err == nil && hint > 0 {
		req.Input.Hint = hint
		req.Input.HasHint = true
	}
	msg := &message{method: r.Method, uri: r.RequestURI, host: r.Host, header: http.Header{}}
	req.Payload = msg
	if err := s.body(conn, r, req); err != nil {
		return req, err
	}
	for name, values := range r.Header {
		if !isHopByHop(name, r.Header) && name != "X-Expires-In-Ms" {
			msg.header[name] = values
		}
	}
	return req, nil
}

// classOf returns the index of a request's class. The first part of the path names it; if header X-Qos is set as well,
// both must agree.
func classOf(config *config.Config, r *http.Request) (int, error) {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := r.Header.Get("X-Qos")
	if name == "" {
		name = first
	}
	class := slices.Index(config.Classes, name)
	if class < 0 {
		return 0, newRequestError(http.StatusNotFound, "unknown class %q", name)
	}
	if name != first {
		return 0, newRequestError(http.StatusBadRequest, "X-Qos %q is not the first part of the path", name)
	}
	return class, nil
}

// checkMethod checks a request's method, body and idempotency key against its class, whose name is name.
func checkMethod(r *http.Request, class *balancer.Class, name string) error {
	method := http.MethodPost
	if class.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		return newRequestError(http.StatusMethodNotAllowed, "class %q takes %s", name, method)
	}
	if method == http.MethodGet && r.ContentLength != 0 {
		return newRequestError(http.StatusBadRequest, "class %q takes no body", name)
	}
	if class.Idempotency == balancer.WithIdempotencyKey && r.Header.Get("Idempotency-Key") == "" {
		// Without the key no endpoint could recognise a retry.
		return newRequestError(http.StatusBadRequest, "Idempotency-Key is missing")
	}
	return nil
}

// clientTimeout returns how long the client waits for its answer: the timeout of its class, or that of header
// X-Expires-In-Ms if it is shorter.
func clientTimeout(r *http.Request, class *balancer.Class) (balancer.Micros, error) {
	text := r.Header.Get("X-Expires-In-Ms")
	if text == "" {
		return class.Timeout, nil
	}
	ms, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, newRequestError(http.StatusBadRequest, "X-Expires-In-Ms is not a whole number of milliseconds")
	}
	return min(class.Timeout, int64(min(ms, math.MaxInt32))*1000), nil
}

// isVisibleASCII reports whether a header's value is not empty and consists of visible ASCII characters.
func isVisibleASCII(value string) bool {
	return value != "" && !strings.ContainsFunc(value, func(c rune) bool { return c <= ' ' || c > '~' })
}

// tenantIndex returns the index in the settings of the tenant that header X-Customer names, or math.MaxUint16 for
// unknown tenants.
func tenantIndex(c *config.Config, r *http.Request) uint16 {
	if i := slices.Index(c.Tenants, r.Header.Get("X-Customer")); i >= 0 {
		return uint16(i)
	}
	return math.MaxUint16
}

// objectKey returns a number for the object of a request, as header X-Object names it: the value of a hexadecimal
// number, else a hash. It returns 0 if the request names no object.
func objectKey(object string) uint64 {
	if object == "" {
		return 0
	}
	if v, err := strconv.ParseUint(object, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, object) // a hash never returns an error
	return h.Sum64()
}

// isHopByHop reports whether a header is not to be forwarded: it concerns one connection only, also if header names it
// in Connection, or it is set by the sender of each message.
func isHopByHop(name string, header http.Header) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", "Host", "X-Never-Ran":
		return true
	}
	for _, v := range header["Connection"] {
		for named := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(named), name) {
				return true
			}
		}
	}
	return false
}
