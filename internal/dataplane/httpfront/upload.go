package httpfront

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/balancer"
)

// upload is the rest of a streamed request body, whose beginning was buffered.
type upload struct {
	body           io.Reader       // the body after its beginning
	length         int64           // bytes of the complete body; -1 if it is chunked
	answerTime     balancer.Micros // time for the answer, from the last byte of the body on
	beginningBytes int             // bytes of the beginning, which were sent with the request's head
	buf            []byte          // buffer for copying the rest
	result         chan error      // gets how the upload ended, once
	readEnded      chan struct{}   // closed once no goroutine reads body any more
	once           sync.Once       // guards result
	endWatch       func()          // ends the watch for the client's disconnect; called before body is read
	readStarted    atomic.Bool     // an attempt has begun to read body, so that no other attempt can send it
	halted         atomic.Bool     // the request was answered early, and body is not to be read any more
}

// reportEnd sends how the upload ended to the client's exchange: nil if the body is complete. Only the first call has
// an effect.
func (u *upload) reportEnd(err error) { u.once.Do(func() { u.result <- err }) }

var (
	errSlowBody = errors.New("the body comes too slowly")
	errLongBody = errors.New("the body is too long")
	errHalted   = errors.New("the body is not wanted any more")

	errBodyConsumed = errors.New("another attempt has read the body")
)

// bodyError is a client's body that did not arrive as announced. No endpoint is the cause.
type bodyError struct{ err error }

// Error returns the cause, prefixed with "body: ". The client gets it as the response.
func (e *bodyError) Error() string { return "body: " + e.err.Error() }

// Unwrap returns the cause.
func (e *bodyError) Unwrap() error { return e.err }

// copyTo copies the rest of the body to an endpoint through buf, and reports its result. sentBytes is the number of
// bytes of the body that were sent before; total, with those that were copied. A *bodyError means that the client is the cause; any other error, the
// endpoint.
func (u *upload) copyTo(c net.Conn, sentBytes int, buf []byte) (total int, err error) {
	defer close(u.readEnded)
	defer func() { u.reportEnd(err) }()
	var w io.Writer = c
	var chunks io.WriteCloser
	if u.length < 0 {
		chunks = httputil.NewChunkedWriter(c)
		w = chunks
	}
	startedAt := time.Now()
	total = sentBytes
	for {
		if u.halted.Load() {
			return total, &bodyError{errHalted}
		}
		n, err := u.body.Read(buf)
		total += n
		switch {
		case total > MaxBodyBytes:
			err = errLongBody
		case time.Since(startedAt) > bodyGrace+time.Duration(total)*time.Second/minBodyBytesPerSecond:
			err = errSlowBody
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return total, &bodyError{err}
		}
		if n > 0 {
			setWriteDeadline(c, maxStreamStall)
			if _, err := w.Write(buf[:n]); err != nil {
				return total, fmt.Errorf("write body: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
	}
	if u.length >= 0 && int64(total) != u.length {
		return total, &bodyError{io.ErrUnexpectedEOF}
	}
	if chunks != nil {
		setWriteDeadline(c, maxStreamStall)
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return total, fmt.Errorf("write body: %w", err)
		}
	}
	setWriteDeadline(c, 0)
	return total, nil
}

// setWriteDeadline sets the deadline of writes to timeout from now; 0 removes it. Its error is ignored: it fails only
// on a closed connection, where writes fail as well.
func setWriteDeadline(c net.Conn, timeout time.Duration) {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = c.SetWriteDeadline(deadline)
}
