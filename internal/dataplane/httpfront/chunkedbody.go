package httpfront

import (
	"errors"
	"io"
	"net/http"

	"birchmoor/internal/platform/chunked"
)

// chunkedBody reads the chunks of a message. Its users read the trailer after them.
type chunkedBody struct {
	in        *messageReader
	chunks    *chunked.Reader
	readBytes int  // bytes of the body that were read
	growTo    int  // size of in's buffer for a body that is longer than that; 0: the buffer does not grow
	bodyRead  bool // the last chunk was read, and the trailer comes next
}

func newChunkedBody(in *messageReader) chunkedBody {
	return chunkedBody{in: in, chunks: chunked.NewReader(in.Reader)}
}

// readChunks reads what has arrived of the chunks. After the last one it sets bodyRead and returns a nil error.
func (c *chunkedBody) readChunks(b []byte) (int, error) {
	// Otherwise the pieces of a long body in short chunks would be as short as the usual buffer.
	if c.readBytes > c.growTo && c.in.grow(c.growTo) {
		c.chunks.SetInput(c.in.Reader)
	}
	n, err := c.chunks.Read(b)
	c.readBytes += n
	if errors.Is(err, io.EOF) {
		c.bodyRead = true
		return n, nil
	}
	return n, err
}

// chunkedAnswer reads the chunked body of an answer and its trailer.
type chunkedAnswer struct {
	chunkedBody
	conn *conn
}

func newChunkedAnswer(c *conn) *chunkedAnswer { return &chunkedAnswer{newChunkedBody(c.reader), c} }

// Read implements io.Reader. It returns the last bytes of the body without waiting for the trailer, which the next call
// reads; if there are none left, it returns 0 bytes once.
func (r *chunkedAnswer) Read(b []byte) (n int, err error) {
	if !r.bodyRead {
		n, err = r.readChunks(b)
		if err != nil || !r.bodyRead {
			return n, err
		}
		unread := maxTrailerBytes - r.in.Buffered()
		r.conn.limit.N = min(r.conn.limit.N, int64(max(0, unread))+1)
		if !hasTrailerArrived(r.in.Reader) {
			return n, nil
		}
	}
	// The last chunk has ended the body (RFC 9112, 8), so that the connection may end before the trailer does.
	if err := skipTrailer(r.in.Reader); err != nil && !errors.Is(err, io.EOF) {
		return n, err
	}
	if r.conn.limit.N <= 0 {
		return n, errAnswerTooLarge // the trailer was cut at its bound, and did not end with the connection
	}
	return n, io.EOF
}

// isBodyRead implements trailedBody.
func (r *chunkedAnswer) isBodyRead() bool { return r.bodyRead }

// chunkedRequest reads the chunked body of a request and its trailer. A request is complete only once its trailer is: a
// client that breaks off before has not sent all of it.
type chunkedRequest struct{ chunkedBody }

// requestBody returns the body of a request whose head was read from in.
func requestBody(r *http.Request, in *messageReader) io.Reader {
	if r.ContentLength >= 0 {
		return r.Body
	}
	return &chunkedRequest{newChunkedBody(in)} // that of net/http, which has read nothing yet, waits within chunks
}

// Read implements io.Reader. It returns the last bytes of the body without waiting for the trailer, and io.EOF after
// it.
func (r *chunkedRequest) Read(b []byte) (n int, err error) {
	if !r.bodyRead {
		n, err = r.readChunks(b)
		if err != nil || !r.bodyRead || n > 0 && !hasTrailerArrived(r.in.Reader) {
			return n, err
		}
	}
	err = skipTrailer(r.in.Reader)
	if errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	}
	r.in.shrink()
	if err == nil {
		err = io.EOF
	}
	return n, err
}
