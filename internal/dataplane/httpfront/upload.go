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

// upload is the rest of a client's body, of which the beginning is held.
type upload struct {
	body           io.Reader       // what comes behind the beginning
	length         int64           // of the whole body; -1: chunked
	answerTime     balancer.Micros // for the answer once the body is whole
	beginningBytes int             // bytes of the beginning
	buf            []byte          // to pass the rest on through
	ended          chan error
	unread         chan struct{} // closed once nobody reads body any more
	once           sync.Once
	endWatch       func()      // ends the watch for the client's leaving, before anybody reads body
	taken          atomic.Bool // an attempt has begun to read the rest: it cannot be sent again
	halted         atomic.Bool // nothing more is to be read
}

// reportEnd tells the client's side, once, how reading went: nil when the body is whole.
func (u *upload) reportEnd(err error) { u.once.Do(func() { u.ended <- err }) }

var (
	errSlowBody = errors.New("the body comes too slowly")
	errLongBody = errors.New("the body is too long")
	errHalted   = errors.New("the body is not wanted any more")
)

// clientError is a body that did not come as announced: no endpoint is to blame.
type clientError struct{ err error }

func (e *clientError) Error() string { return "body: " + e.err.Error() }

func (e *clientError) Unwrap() error { return e.err }

// copyTo passes the rest on to an endpoint, piece by piece through buf.
func (u *upload) copyTo(c net.Conn, begin int, buf []byte) (err error) {
	defer close(u.unread)
	defer func() { u.reportEnd(err) }()
	var w io.Writer = c
	var chunks io.WriteCloser
	if u.length < 0 {
		chunks = httputil.NewChunkedWriter(c)
		w = chunks
	}
	begun, total := time.Now(), begin
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
		if err != nil && err != io.EOF {
			return &clientError{err}
		}
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(maxStreamStall))
			if _, err := w.Write(buf[:n]); err != nil {
				return fmt.Errorf("write body: %w", err)
			}
		}
		if err == io.EOF {
			break
		}
	}
	if u.length >= 0 && int64(total) != u.length {
		return &clientError{io.ErrUnexpectedEOF}
	}
	if chunks != nil {
		c.SetWriteDeadline(time.Now().Add(maxStreamStall))
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return fmt.Errorf("write body: %w", err)
		}
	}
	c.SetWriteDeadline(time.Time{})
	return nil
}
