package httpfront

import (
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/bytebudget"
	"birchmoor/internal/dataplane/core"
)

const (
	maxInterimAnswers  = 8       // 1xx responses before the final one
	maxUnbudgetedBytes = 4 << 10 // a body of up to this size is not charged to a budget
)

var (
	errAmbiguousLength = errors.New("the answer's Content-Length and Transfer-Encoding do not determine its length")
	errAnswerTooLarge  = errors.New("the answer is too large")
	errNotHTTP         = errors.New("the answer does not begin with a status line of HTTP/1")
)

// upstreamAnswer is an endpoint's answer. It implements the Content of core.Reply.
type upstreamAnswer struct {
	code             int
	header           http.Header
	body             []byte
	stream           *download // a streamed body; nil if body is complete
	bodyCharge       charge
	beginningCharge  charge // for a body of unknown length that was read completely
	headCharge       charge
	closesConnection bool // the connection cannot be reused after the answer
}

// Streams reports whether the answer's body is streamed.
func (a *upstreamAnswer) Streams() bool { return a.stream != nil }

// Release releases the answer's charges. It abandons a streamed answer, and so releases its connection.
func (a *upstreamAnswer) Release() {
	if stream := a.stream; stream != nil {
		a.stream = nil
		stream.finish(core.StreamAbandoned)
	}
	a.releaseCharges()
}

// releaseCharges releases the memory that the answer is charged for. Further calls have no effect.
func (a *upstreamAnswer) releaseCharges() {
	a.bodyCharge.release()
	a.beginningCharge.release()
	a.headCharge.release()
}

// read reads a complete answer, or the beginning of a streamed one, and skips interim responses. An answer that ends
// early or whose length is ambiguous is an error, so that no other bytes are taken for a part of it. http.ReadResponse
// is not used, since it hides that an answer has both a length and chunks. The body is charged to bodies.
//
// No part of an answer has a timeout of its own: the connection is closed at the attempt's deadline. An answer that may
// be long is streamed before that deadline, whether or not its body has begun.
func (c *conn) read(deadline time.Time, bodies *bytebudget.Budget) (*upstreamAnswer, error) {
	answer, err := c.finalHead()
	if err != nil {
		return nil, err
	}
	holdUntil := time.Now().Add(min(maxBufferingTime, time.Until(deadline)-streamMargin))
	if err = c.body(answer, holdUntil, bodies); err != nil {
		answer.releaseCharges()
	}
	if answer.stream == nil {
		c.paced.readTimeout = 0
		c.clearReadDeadline()
	}
	return answer, err
}

// finalHead reads the head of an answer, and skips interim responses before it.
func (c *conn) finalHead() (*upstreamAnswer, error) {
	defer c.paced.head.release()
	for range maxInterimAnswers {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		answer, err := c.head()
		if err != nil {
			return nil, err
		}
		if answer.code >= http.StatusOK {
			answer.headCharge = c.paced.head.end()
			return answer, nil
		}
	}
	return nil, errAnswerTooLarge
}

// head reads the status line and the headers of an answer.
func (c *conn) head() (*upstreamAnswer, error) {
	arrived, _ := c.reader.Peek(c.reader.Buffered()) // reads from memory, so it cannot fail
	if err := c.paced.head.begin(arrived); err != nil {
		return nil, err
	}
	text := textproto.NewReader(c.reader.Reader)
	line, err := text.ReadLine()
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	answer := &upstreamAnswer{}
	if answer.code, err = strconv.Atoi(code); err != nil || len(code) != 3 || answer.code < 100 ||
		version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, errNotHTTP
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	answer.header = http.Header(header)
	answer.closesConnection = version == "HTTP/1.0"
	for _, v := range answer.header["Connection"] {
		answer.closesConnection = answer.closesConnection || strings.Contains(strings.ToLower(v), "close")
	}
	return answer, nil
}

// body reads the body of an answer. If the body is longer than MaxBufferedBodyBytes, or of unknown length and does not
// end before holdUntil, body sets the answer's stream. So it does if there is no memory in the budget: an answer does
// not wait for memory that clients hold which read slowly.
func (c *conn) body(answer *upstreamAnswer, holdUntil time.Time, budget *bytebudget.Budget) error {
	if answer.code == http.StatusNoContent || answer.code == http.StatusNotModified {
		return nil
	}
	body, length, err := c.bodyReader(answer)
	if err != nil {
		return err
	}
	c.limit.N = 2*MaxBodyBytes + maxBufferedAnswerBytes // twice MaxBodyBytes leaves space for the framing of chunks
	isShort := length >= 0 && length <= MaxBufferedBodyBytes
	if isShort && answer.bodyCharge.tryAcquire(budget, int(length)) {
		answer.body = make([]byte, length)
		_, err := io.ReadFull(body, answer.body)
		return err
	}
	if length >= 0 {
		body = &exactReader{body, length}
	}
	c.paced.readTimeout = maxStreamStall
	streamBytes := pieceBytes
	chunks, isChunked := body.(*chunkedAnswer)
	if isChunked {
		streamBytes += pieceBytes // for the connection's buffer
	}
	var beginning charge
	hasMemory := !isShort && beginning.tryAcquire(budget, MaxBufferedBodyBytes) &&
		answer.bodyCharge.tryAcquire(budget, streamBytes)
	if !hasMemory {
		beginning.release()
		answer.stream = newDownload(body, length, maxUnbudgetedBytes) // slow readers hold the memory
		return nil
	}
	if isChunked {
		chunks.growTo = pieceBytes
	}
	stream := newDownload(body, length, pieceBytes)
	stream.charge = beginning
	complete, err := stream.fill(holdUntil)
	switch {
	case err != nil:
		stream.charge.release()
		return err
	case complete:
		answer.body = stream.beginning
		answer.beginningCharge = stream.charge
	default:
		answer.stream = stream
	}
	return nil
}

// bodyReader returns a reader of the body that an answer's head announces, and the body's length, or -1 if that is
// unknown.
func (c *conn) bodyReader(answer *upstreamAnswer) (io.Reader, int64, error) {
	lengths, encodings := answer.header["Content-Length"], answer.header["Transfer-Encoding"]
	switch {
	case len(lengths) == 1 && len(encodings) == 0:
		length, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return nil, 0, err
		}
		if length > MaxBodyBytes {
			return nil, 0, errAnswerTooLarge
		}
		return io.LimitReader(c.reader, int64(length)), int64(length), nil
	case len(lengths) == 0 && len(encodings) == 1 && strings.EqualFold(encodings[0], "chunked"):
		return newChunkedAnswer(c), -1, nil
	case len(lengths) == 0 && len(encodings) == 0:
		answer.closesConnection = true // the body ends with the connection
		return c.reader, -1, nil
	default:
		return nil, 0, errAmbiguousLength
	}
}

// exactReader reads a body of known length, and turns an early end into io.ErrUnexpectedEOF.
type exactReader struct {
	r         io.Reader
	remaining int64
}

// Read implements io.Reader.
func (r *exactReader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	r.remaining -= int64(n)
	if errors.Is(err, io.EOF) && r.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// status returns the status of the attempt that the answer belongs to. Only a 503 or 504 with X-Never-Ran proves that
// the request did not run.
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
