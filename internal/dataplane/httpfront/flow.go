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
	"birchmoor/internal/dataplane/core"
)

// What is longer than BodyMost flows: it is passed on as it comes and never held whole.
const (
	MaxBody        = 64 << 20         // and beyond this is turned away, or cut off
	maxBodyStall   = 2 * time.Second  // a body that says nothing for so long is given up
	bodyGrace      = 5 * time.Second  // and so is one that, after this,
	minBodyRate    = 16 << 10         // has come with fewer bytes a second
	maxUploadTime  = 30 * time.Minute // that is, for LongMost at that rate with some to spare
	maxAnswerStall = 250 * time.Millisecond
	maxStreamStall = 10 * time.Second // for an answer that has begun to reach the client, either way
	streamAfter    = 50 * time.Millisecond
)

// pacedConn reads from a connection with a bound on each wait, and keeps a copy of what it reads if asked to.
type pacedConn struct {
	net.Conn
	readTimeout time.Duration // 0: as long as it takes, or whatever deadline is set
	recording   bool
	recorded    []byte
}

func (p *pacedConn) Read(b []byte) (int, error) {
	if p.readTimeout > 0 {
		p.Conn.SetReadDeadline(time.Now().Add(p.readTimeout))
	}
	n, err := p.Conn.Read(b)
	if p.recording {
		p.recorded = append(p.recorded, b[:n]...)
	}
	return n, err
}

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

// download is an answer that is passed on while it comes. One goroutine has it at a time; whoever has it last
// calls done.
type download struct {
	beginning []byte    // what has been read
	more      io.Reader // what comes behind that
	length    int64     // of the whole; -1: not known
	buf       []byte    // to pass it on through; begin is a part of it
	done      func(how core.StreamEnd)
}

// copyTo passes the answer's body on, and says how that went.
func (d *download) copyTo(w io.Writer, progress func()) core.StreamEnd {
	var out io.Writer = w
	var chunks io.WriteCloser
	if d.length < 0 {
		chunks = httputil.NewChunkedWriter(w)
		out = chunks
	}
	piece, total := d.beginning, int64(0)
	for {
		if len(piece) > 0 {
			progress()
			if _, err := out.Write(piece); err != nil {
				return core.StreamAbandoned
			}
		}
		n, err := d.more.Read(d.buf)
		piece = d.buf[:n]
		if total += int64(n); total > MaxBody {
			return core.StreamCut
		}
		if err == io.EOF {
			if n > 0 {
				progress()
				if _, err := out.Write(piece); err != nil {
					return core.StreamAbandoned
				}
			}
			break
		}
		if err != nil {
			return core.StreamCut
		}
	}
	if chunks != nil {
		progress()
		if _, err := io.WriteString(w, "0\r\n\r\n"); err != nil {
			return core.StreamAbandoned
		}
	}
	return core.StreamComplete
}
