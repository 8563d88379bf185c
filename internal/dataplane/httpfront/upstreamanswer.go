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

	"birchmoor/internal/dataplane/bytebudget"
	"birchmoor/internal/dataplane/core"
)

const (
	maxInterimAnswers = 8       // answers 1xx ahead of the one that counts
	unbudgetedBytes   = 4 << 10 // an answer of no more is not counted
)

var (
	errAmbiguousLength = errors.New("nothing tells for sure where the answer ends")
	errAnswerTooLarge  = errors.New("the answer is too large")
	errNotHTTP         = errors.New("the answer is no HTTP/1")
)

// upstreamAnswer is a whole answer, or one that flows.
type upstreamAnswer struct {
	code             int
	header           http.Header
	body             []byte
	stream           *download // in place of body
	budget           *bytebudget.Budget
	budgetBytes      int  // bytes of the budget
	closesConnection bool // the endpoint closes the connection after it
}

// Streams says whether there is more than what has been read.
func (a *upstreamAnswer) Streams() bool { return a.stream != nil }

// Release gives back what is held, and the connection of what flows.
func (a *upstreamAnswer) Release() {
	if flow := a.stream; flow != nil {
		a.stream = nil
		flow.done(core.StreamAbandoned)
	}
	a.releaseBudget()
}

func (a *upstreamAnswer) releaseBudget() {
	a.budget.Release(a.budgetBytes)
	a.budgetBytes = 0
}

// read reads a whole answer, or the beginning of one that flows. One that ends early or whose end is told in
// two ways is an error: nothing but what the endpoint made for the request may pass for its answer.
// http.ReadResponse would hide that it had both a length and chunks.
func (c *conn) read(ctx context.Context, held *bytebudget.Budget) (*upstreamAnswer, error) {
	for range maxInterimAnswers {
		c.paced.readTimeout = 0
		c.SetReadDeadline(time.Time{})
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
		a.budget = held
		if err = c.body(ctx, a, held); err != nil {
			a.releaseBudget()
		}
		if a.stream == nil {
			c.paced.readTimeout = 0
			c.SetReadDeadline(time.Time{})
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

// body reads what the head announces, if that is no more than BodyMost; of more, and of what comes slowly and
// whose length is not told, it reads the beginning.
func (c *conn) body(ctx context.Context, a *upstreamAnswer, held *bytebudget.Budget) error {
	lengths, encodings := a.header["Content-Length"], a.header["Transfer-Encoding"]
	var length int64
	var body io.Reader
	switch {
	case a.code == http.StatusNoContent || a.code == http.StatusNotModified:
		return nil
	case len(lengths) == 1 && len(encodings) == 0:
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return err
		}
		if n > MaxBody {
			return errAnswerTooLarge
		}
		length = int64(n)
		body = io.LimitReader(c.r, length)
	case len(lengths) == 0 && len(encodings) == 1 && strings.EqualFold(encodings[0], "chunked"):
		length = -1
		body = &chunkedReader{r: httputil.NewChunkedReader(c.r), c: c}
	case len(lengths) == 0 && len(encodings) == 0:
		// Only the end of the connection ends it.
		length, a.closesConnection = -1, true
		body = c.r
	default:
		return errAmbiguousLength
	}
	a.budgetBytes = int(min(uint64(length), MaxBufferedBody)) // all that may be for a length that is not known
	if a.budgetBytes <= unbudgetedBytes {
		a.budgetBytes = 0
	} else if err := held.Acquire(ctx, a.budgetBytes); err != nil {
		a.budgetBytes = 0
		return err
	}
	c.limit.N = 2*MaxBody + maxBufferedAnswer // chunks have some framing
	if length >= 0 && length <= MaxBufferedBody {
		a.body = make([]byte, length)
		_, err := io.ReadFull(body, a.body)
		return err
	}
	buf := make([]byte, MaxBufferedBody)
	n, begun := 0, time.Now()
	for n < len(buf) && (n == 0 || length < 0 && time.Since(begun) < streamAfter) {
		more, err := body.Read(buf[n:])
		n += more
		if err == io.EOF && length < 0 {
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

// chunkedReader reads chunks and, behind the last, the trailer.
type chunkedReader struct {
	r io.Reader
	c *conn
}

func (r *chunkedReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if err == io.EOF {
		if _, bad := textproto.NewReader(r.c.r).ReadMIMEHeader(); bad != nil {
			err = fmt.Errorf("trailer: %w", bad)
		}
	}
	return n, err
}

// exactReader ends with an error unless all that is left comes.
type exactReader struct {
	r    io.Reader
	left int64
}

func (r *exactReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if r.left -= int64(n); err == io.EOF && r.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
