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

// upload is the rest of a client's body, whose beginning was buffered.
type upload struct {
	body           io.Reader       // what follows the beginning
	length         int64           // of the complete body; -1: chunked
	answerTime     balancer.Micros // for the answer, from the last byte of the body on
	beginningBytes int
	buf            []byte // through which the rest is passed on
	ended          chan error
	unread         chan struct{} // closed once no goroutine reads body any more
	once           sync.Once
	endWatch       func()      // ends the watch for the client's leaving, before body is read
	taken          atomic.Bool // an attempt has begun to read the rest, which cannot be sent again
	halted         atomic.Bool // nothing more is to be read
}

// reportEnd reports once, to the client's side, how reading ended: nil when the body is complete.
func (u *upload) reportEnd(err error) { u.once.Do(func() { u.ended <- err }) }

var (
	errSlowBody = errors.New("the body comes too slowly")
	errLongBody = errors.New("the body is too long")
	errHalted   = errors.New("the body is not wanted any more")
)

// clientError is a body that did not come as announced. No endpoint is to blame.
type clientError struct{ err error }

// Error names the body.
func (e *clientError) Error() string { return "body: " + e.err.Error() }

// Unwrap returns the cause.
func (e *clientError) Unwrap() error { return e.err }

// copyTo passes the rest on to an endpoint, piece by piece through buf. begin is the number of bytes that were sent
// before.
func (u *upload) copyTo(c net.Conn, begin int, buf []byte) (err error) {
	defer close(u.unread)
	defer func() { u.reportEnd(err) }()
	var w io.Writer = c
	var chunks io.WriteCloser
	if u.length < 0 {
		chunks = httputil.NewChunkedWriter(c)
		w = chunks
	}
	begun := time.Now()
	total := begin
	for {
		if u.halted.Load() {
			return &clientError{errHalted}
		}
		n, err := u.body.Read(buf)
		total += n
		switch {
		case total > MaxBody:
			err = errLongBody
		case time.Since(begun) > bodyGrace+time.Duration(total)*time.Second/minBodyRate:
			err = errSlowBody
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return &clientError{err}
		}
		if n > 0 {
			setWriteDeadline(c, maxStreamStall)
			if _, err := w.Write(buf[:n]); err != nil {
				return fmt.Errorf("write body: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
	}
	if u.length >= 0 && int64(total) != u.length {
		return &clientError{io.ErrUnexpectedEOF}
	}
	if chunks != nil {
		setWriteDeadline(c, maxStreamStall)
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return fmt.Errorf("write body: %w", err)
		}
	}
	setWriteDeadline(c, 0)
	return nil
}

// setWriteDeadline sets the time that a write may take; 0 is for no limit. It fails on a closed connection alone,
// where writes fail as well.
func setWriteDeadline(c net.Conn, timeout time.Duration) {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = c.SetWriteDeadline(deadline)
}
