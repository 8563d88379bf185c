package httpfront

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/platform/chunked"
)

// upload is the rest of a streamed request body, whose beginning was buffered. One goroutine reads it from the client,
// ahead of the endpoint, so that the client's last byte is seen when it comes. The goroutine of an attempt sends it.
type upload struct {
	body           io.Reader       // the body after its beginning
	length         int64           // bytes of the complete body; -1 if it is chunked
	answerTime     balancer.Micros // the client's time for the answer, from its last byte on
	beginningBytes int             // bytes of the beginning, which are sent with the request's head
	buf            []byte          // holds the beginning until an attempt has sent it
	queue          *readAhead
	clock          bodyClock // used by the reading goroutine only
	now            func() balancer.Micros
	clientLeft     func() bool // reports whether the client has closed its connection

	result    chan error    // gets how the reading ended, once: nil if the body is complete
	overdue   chan struct{} // closed when the client's time may be over although its last byte was not read
	readEnded chan struct{} // closed once no goroutine reads body any more
	halt      chan struct{} // closed to end the reading
	haltOnce  sync.Once

	deadline atomic.Int64 // of the request, in balancer.Micros; 0 until the body is complete
	claimed  atomic.Bool  // an attempt sends the rest, so that no other attempt can
}

var (
	errSlowBody = errors.New("the body comes too slowly")
	errLongBody = errors.New("the body is too long")
	errHalted   = errors.New("the body is not wanted any more")

	errClientLeft   = errors.New("the client left before the end of the body")
	errBodyConsumed = errors.New("another attempt has sent the body")
	errTimeIsUp     = errors.New("the request has ended before its last byte was sent")
)

// bodyError is a client's body that did not arrive as announced. No endpoint is the cause.
type bodyError struct{ err error }

// Error returns the cause, prefixed with "body: ". The client gets it as the response.
func (e *bodyError) Error() string { return "body: " + e.err.Error() }

// Unwrap returns the cause.
func (e *bodyError) Unwrap() error { return e.err }

const (
	minReadWait        = time.Millisecond      // a read of a client that takes so long has waited for the client
	spaceCheckInterval = 20 * time.Millisecond // between two checks for space while there is none
)

// receive reads the body until it ends, fails or is halted, and reports that in result.
func (u *upload) receive() {
	defer close(u.readEnded)
	startedAt := time.Now()
	total := int64(u.beginningBytes)
	for {
		space, err := u.awaitSpace()
		if err != nil {
			u.end(err)
			return
		}
		readAt := time.Now()
		n, err := u.body.Read(space)
		u.clock.add(u.now(), n, time.Since(readAt) >= minReadWait)
		total += int64(n)
		switch {
		case total > MaxBodyBytes:
			err = errLongBody
		case time.Since(startedAt) > bodyGrace+time.Duration(total)*time.Second/minBodyBytesPerSecond:
			err = errSlowBody
		case errors.Is(err, io.EOF) && u.length >= 0 && total != u.length:
			err = io.ErrUnexpectedEOF
		}
		switch {
		case errors.Is(err, io.EOF):
			u.queue.add(n)
			u.deadline.Store(u.clock.unfinishedAt + u.answerTime)
			u.end(nil)
			return
		case err != nil:
			u.end(&bodyError{err})
			return
		}
		u.queue.add(n)
	}
}

// end reports how the reading ended. The owner of the client's connection learns it before the endpoint can answer.
func (u *upload) end(err error) {
	u.result <- err
	if err == nil {
		err = io.EOF
	}
	u.queue.finish(err)
}

// awaitSpace waits for space to read the body into. While there is none, it closes overdue once the client may have
// waited for its answer for as long as it does.
func (u *upload) awaitSpace() ([]byte, error) {
	for {
		if space := u.queue.space(); space != nil {
			return space, nil
		}
		select {
		case <-u.halt:
			return nil, errHalted
		case <-u.queue.freed:
		case <-time.After(spaceCheckInterval):
			if u.clientLeft() {
				return nil, errClientLeft
			}
			if u.now() >= u.clock.unfinishedAt+u.answerTime {
				u.reportOverdue()
			}
		}
	}
}

func (u *upload) reportOverdue() {
	select {
	case <-u.overdue:
	default:
		close(u.overdue)
	}
}

// stopReading ends the reading goroutine, once its read of the client has returned.
func (u *upload) stopReading() { u.haltOnce.Do(func() { close(u.halt) }) }

// timeLeft returns the client's time for its answer, from its last byte on: what is left of it if that byte has come.
func (u *upload) timeLeft(now balancer.Micros) balancer.Micros {
	if deadline := u.deadline.Load(); deadline != 0 {
		return min(u.answerTime, deadline-now)
	}
	return u.answerTime
}

// sendTo sends the rest of the body to an endpoint as it arrives, until ctx ends. It calls mayEnd right before it
// writes the last byte, and writes nothing more if that returns false. sent is the number of bytes of the body that
// were sent, with its beginning. A *bodyError means that the client is the cause; any other error, the endpoint or ctx.
func (u *upload) sendTo(ctx context.Context, c net.Conn, mayEnd func() bool) (sent int64, err error) {
	out := stallWriter{c, maxStreamStall}
	var body io.Writer = out
	if u.length < 0 {
		body = chunked.NewWriter(out)
	}
	sent = int64(u.beginningBytes)
	for {
		data, end := u.queue.take()
		switch {
		case errors.Is(end, io.EOF) && u.length < 0:
			if !mayEnd() {
				return sent, errTimeIsUp
			}
			_, err := io.WriteString(out, chunked.End)
			return sent, err
		case errors.Is(end, io.EOF):
			return sent, nil
		case end != nil:
			return sent, end
		case len(data) == 0:
			select {
			case <-u.queue.filled:
			case <-ctx.Done():
				return sent, context.Cause(ctx)
			}
			continue
		}
		if sent+int64(len(data)) == u.length && !mayEnd() {
			u.queue.remove(0)
			return sent, errTimeIsUp
		}
		n, err := body.Write(data)
		u.queue.remove(n)
		sent += int64(n)
		if err != nil {
			return sent, fmt.Errorf("write body: %w", err)
		}
	}
}
