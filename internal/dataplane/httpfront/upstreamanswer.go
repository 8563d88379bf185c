package httpfront

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/bytebudget"
	"birchmoor/internal/dataplane/core"
)

const (
	maxInterimAnswers = 8       // answers 1xx before the final one
	unbudgetedBytes   = 4 << 10 // an answer of no more is not charged to the budget
)

var (
	errAmbiguousLength = errors.New("the answer has both a length and chunks, or neither in a known form")
	errAnswerTooLarge  = errors.New("the answer is too large")
	errNotHTTP         = errors.New("the answer is no HTTP/1")
)

// upstreamAnswer is an endpoint's answer: complete, or streamed.
type upstreamAnswer struct {
	code             int
	header           http.Header
	body             []byte
	stream           *download // instead of body
	budget           *bytebudget.Budget
	budgetBytes      int  // charged to budget
	closesConnection bool // the connection cannot be used again
}

// Streams reports whether the answer is streamed.
func (a *upstreamAnswer) Streams() bool { return a.stream != nil }

// Release gives back the budget, and the connection of a streamed answer.
func (a *upstreamAnswer) Release() {
	if flow := a.stream; flow != nil {
		a.stream = nil
		flow.done(core.StreamAbandoned)
	}
	a.releaseBudget()
}

// releaseBudget gives back the budget.
func (a *upstreamAnswer) releaseBudget() {
	a.budget.Release(a.budgetBytes)
	a.budgetBytes = 0
}

// read reads a complete answer, or the beginning of a streamed one. An answer that ends early, or whose length is
// ambiguous, is an error: nothing but what the endpoint made for the request may pass for its answer.
// http.ReadResponse would hide that an answer had both a length and chunks.
func (c *conn) read(ctx context.Context, budget *bytebudget.Budget) (*upstreamAnswer, error) {
	for range maxInterimAnswers {
		c.paced.readTimeout = 0
		c.clearReadDeadline()
		if _, err := c.r.Peek(1); err != nil {
			return nil, err
		}
		c.paced.readTimeout = maxAnswerStall
		a, err := c.head()
		if err != nil {
			return nil, err
		}
		if a.code < 200 {
			continue
		}
		a.budget = budget
		if err = c.body(ctx, a); err != nil {
			a.releaseBudget()
		}
		if a.stream == nil {
			c.paced.readTimeout = 0
			c.clearReadDeadline()
		}
		return a, err
	}
	return nil, errAnswerTooLarge
}

// head reads a status line and headers.
func (c *conn) head() (*upstreamAnswer, error) {
	text := textproto.NewReader(c.r)
	line, err := text.ReadLine()
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	a := &upstreamAnswer{}
	if a.code, err = strconv.Atoi(code); err != nil || len(code) != 3 || a.code < 100 ||
		version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, errNotHTTP
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	a.header = http.Header(header)
	a.closesConnection = version == "HTTP/1.0"
	for _, v := range a.header["Connection"] {
		a.closesConnection = a.closesConnection || strings.Contains(strings.ToLower(v), "close")
	}
	return a, nil
}

// body reads a body of up to MaxBufferedBody bytes. Of a longer one, and of one that comes slowly and whose length
// is unknown, it reads the beginning.
func (c *conn) body(ctx context.Context, a *upstreamAnswer) error {
	if a.code == http.StatusNoContent || a.code == http.StatusNotModified {
		return nil
	}
	body, length, err := c.bodyReader(a)
	if err != nil {
		return err
	}
	if err := a.chargeBudget(ctx, length); err != nil {
		return err
	}
	c.limit.N = 2*MaxBody + maxBufferedAnswer // chunks have some framing
	if length >= 0 && length <= MaxBufferedBody {
		a.body = make([]byte, length)
		_, err := io.ReadFull(body, a.body)
		return err
	}
	buf := make([]byte, MaxBufferedBody)
	n := 0
	begun := time.Now()
	for n < len(buf) && (n == 0 || length < 0 && time.Since(begun) < streamAfter) {
		more, err := body.Read(buf[n:])
		n += more
		if errors.Is(err, io.EOF) && length < 0 {
			a.body = buf[:n]
			return nil
		}
		if err != nil {
			return err
		}
	}
	if length >= 0 {
		body = &exactReader{body, length - int64(n)}
	}
	c.paced.readTimeout = maxStreamStall
	a.stream = &download{beginning: buf[:n], more: body, length: length, buf: buf}
	return nil
}

// bodyReader returns a reader of the body that the head announces, and its length, -1 if that is unknown.
func (c *conn) bodyReader(a *upstreamAnswer) (io.Reader, int64, error) {
	lengths, encodings := a.header["Content-Length"], a.header["Transfer-Encoding"]
	switch {
	case len(lengths) == 1 && len(encodings) == 0:
		length, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return nil, 0, err
		}
		if length > MaxBody {
			return nil, 0, errAnswerTooLarge
		}
		return io.LimitReader(c.r, int64(length)), int64(length), nil
	case len(lengths) == 0 && len(encodings) == 1 && strings.EqualFold(encodings[0], "chunked"):
		return &chunkedReader{r: httputil.NewChunkedReader(c.r), c: c}, -1, nil
	case len(lengths) == 0 && len(encodings) == 0:
		a.closesConnection = true // the end of the connection alone ends the body
		return c.r, -1, nil
	default:
		return nil, 0, errAmbiguousLength
	}
}

// chargeBudget charges the budget for what is buffered of a body, the maximum if its length is unknown.
func (a *upstreamAnswer) chargeBudget(ctx context.Context, length int64) error {
	charge := int(min(uint64(length), MaxBufferedBody))
	if charge <= unbudgetedBytes {
		return nil
	}
	if err := a.budget.Acquire(ctx, charge); err != nil {
		return err
	}
	a.budgetBytes = charge
	return nil
}

// chunkedReader reads chunks and, after the last one, the trailer.
type chunkedReader struct {
	r io.Reader
	c *conn
}

// Read implements io.Reader.
func (r *chunkedReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if errors.Is(err, io.EOF) {
		if _, bad := textproto.NewReader(r.c.r).ReadMIMEHeader(); bad != nil {
			err = fmt.Errorf("trailer: %w", bad)
		}
	}
	return n, err
}

// exactReader ends with an error unless all bytes that are left come.
type exactReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (r *exactReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	r.left -= int64(n)
	if errors.Is(err, io.EOF) && r.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// status returns what the answer means for its attempt.
func (a *upstreamAnswer) status() balancer.Status {
	switch {
	case a.code == http.StatusOK:
		return balancer.OK
	case (a.code == http.StatusServiceUnavailable || a.code == http.StatusGatewayTimeout) &&
		a.header.Get("X-Never-Ran") == "1":
		return balancer.Rejected
	default:
		return balancer.Error
	}
}
