package httpfront

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"birchmoor/internal/dataplane/bytebudget"
	"birchmoor/internal/dataplane/core"
)

const (
	shortBodyBytes      = 16 << 10              // the first bytes of each body have a budget of their own
	shortBodiesDivisor  = 4                     // part of the budget of bodies that these have
	maxBeginningTime    = 50 * time.Millisecond // from the head of a body that is longer than the buffer, until it is streamed
	evictionInterval    = 100 * time.Millisecond
	errNoBodyMemoryText = "no room for the body"
)

// resizeBodies divides the memory for bodies: long ones that stall must not keep usual requests waiting.
func (s *Server) resizeBodies(bytes int) {
	s.bodies.Resize(bytes / shortBodiesDivisor)
	s.longBodies.Resize(bytes - bytes/shortBodiesDivisor)
}

// body reads the body, or the beginning of a long one, and sets the request's deadline: the client's time counts from
// the last byte of its request. Clients send one request at a time, so that bytes between a body and the answer mean
// that the announced length is wrong: such a request is rejected, since the endpoint would answer a part of the body.
func (s *Server) body(c *client, r *http.Request, req *core.Request) error {
	if err := acceptExpect(c, r); err != nil {
		return err
	}
	c.limit.N = 2 * MaxBodyBytes
	if r.ContentLength >= 0 {
		c.limit.N = max(0, r.ContentLength-int64(c.reader.Buffered())) + 1
	}
	c.paced.readTimeout = maxBodyStall
	headAt := s.loop.Now() - time.Since(c.requestReadAt).Microseconds()
	beginning := &bodyBeginning{server: s, client: c, request: req, clock: newBodyClock(headAt, r.ContentLength)}
	body := requestBody(r, c.reader)
	err := beginning.read(body, r.ContentLength)
	msg := req.Payload.(*message)
	msg.bodyCharges = beginning.charges
	if err != nil {
		return err
	}
	msg.body = beginning.buf[:beginning.bytes]
	req.Input.Deadline = beginning.clock.unfinishedAt + req.TimeAfterBody
	if !beginning.complete {
		req.StreamsBody = true
		req.Input.BodyStreaming = true
		req.Input.Deadline = s.loop.Now() + maxUploadTime.Microseconds()
		if chunks, isChunked := body.(*chunkedRequest); isChunked {
			s.growBuffer(chunks, msg)
		}
		msg.upload = s.newUpload(c, body, r.ContentLength, req.TimeAfterBody, beginning)
		return nil
	}
	c.paced.readTimeout = 0
	if c.reader.Buffered() > 0 {
		return newRequestError(http.StatusBadRequest, surplusReason)
	}
	return nil
}

// bodyBeginning is the body of a request up to MaxBufferedBodyBytes, as it is read. Its memory grows with its bytes, so
// that a client takes no more than it sends.
type bodyBeginning struct {
	server   *Server
	client   *client
	request  *core.Request
	charges  []charge // for the memory, in the order of the budgets
	clock    bodyClock
	buf      []byte
	bytes    int // read so far
	complete bool
}

// read reads a body of the given length, or -1. A body that ends early or arrives too slowly is an error. The beginning of
// a body that is streamed in any case may be short: it does not wait for the rest of the buffer longer than
// maxBeginningTime, but for further bytes, so that a client that stops takes no endpoint's time.
func (b *bodyBeginning) read(body io.Reader, length int64) error {
	want := int(min(uint64(length), MaxBufferedBodyBytes)) // -1 yields the maximum
	b.buf = make([]byte, min(want, maxUnbudgetedBytes))
	b.complete = want == 0
	startedAt := time.Now()
	for b.bytes < want {
		if err := b.grow(want); err != nil {
			return err
		}
		readAt := time.Now()
		n, err := body.Read(b.buf[b.bytes:])
		b.bytes += n
		b.clock.add(b.server.loop.Now(), n, time.Since(readAt) >= minReadWait)
		if errors.Is(err, io.EOF) && (length < 0 || int64(b.bytes) == length) {
			b.complete = true
			return nil
		}
		if err != nil || time.Since(startedAt) > bodyGrace+time.Duration(b.bytes)*time.Second/minBodyBytesPerSecond {
			return newRequestError(http.StatusBadRequest, "the body is not whole")
		}
		if length > MaxBufferedBodyBytes && time.Since(startedAt) > maxBeginningTime {
			break
		}
	}
	b.complete = int64(b.bytes) == length
	return nil
}

// grow makes space for further bytes of a body, of which at most want are read. It waits for memory for as long as the
// client waits for its answer.
func (b *bodyBeginning) grow(want int) error {
	if b.bytes < len(b.buf) {
		return nil
	}
	s := b.server
	size, budget := min(want, shortBodyBytes), s.bodies
	needed := size
	if len(b.buf) >= shortBodyBytes {
		size, budget = want, s.longBodies
		needed = size - shortBodyBytes
	}
	left := time.Duration(b.clock.unfinishedAt+b.request.TimeAfterBody-s.loop.Now()) * time.Microsecond
	if s.acquireMemory(b.client, budget, needed, min(bodyMemoryTimeout, left)) != nil {
		return newRequestError(http.StatusServiceUnavailable, errNoBodyMemoryText)
	}
	b.charges = append(b.charges, charge{budget, needed})
	grown := make([]byte, size)
	copy(grown, b.buf)
	b.buf = grown
	return nil
}

// growBuffer lets the rest of a chunked body be read through a larger buffer, if there is memory for it.
func (s *Server) growBuffer(body *chunkedRequest, msg *message) {
	var buffer charge
	if buffer.tryAcquire(s.longBodies, readAheadBlockBytes) {
		msg.bodyCharges = append(msg.bodyCharges, buffer)
		body.growTo = readAheadBlockBytes
	}
}

// newUpload returns the rest of a body of the given length, or -1, whose beginning was read.
func (s *Server) newUpload(c *client, body io.Reader, length, answerTime int64, beginning *bodyBeginning) *upload {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(uploadSocketBytes) // fails on a closed connection, as reads do
	}
	return &upload{
		body:           body,
		length:         length,
		answerTime:     answerTime,
		beginningBytes: beginning.bytes,
		buf:            beginning.buf,
		queue:          newReadAhead(s.longBodies),
		clock:          beginning.clock,
		now:            s.loop.Now,
		clientLeft:     c.hasLeft,
		result:         make(chan error, 1),
		overdue:        make(chan struct{}),
		readEnded:      make(chan struct{}),
		halt:           make(chan struct{}),
	}
}

// acquireMemory charges memory for a part of a request to a budget, and waits for it for timeout at most. The
// connection is not evicted as stalled meanwhile, but others are that stalled within a request, and so hold memory.
func (s *Server) acquireMemory(c *client, budget *bytebudget.Budget, bytes int, timeout time.Duration) error {
	if budget.TryAcquire(bytes) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.clients.setWaitingForMemory(c, true)
	defer s.clients.setWaitingForMemory(c, false)
	go s.clients.evictStalled(ctx)
	return budget.Acquire(ctx, bytes)
}

// acceptExpect answers "Expect: 100-continue" before the body is read, and rejects any other expectation.
func acceptExpect(c *client, r *http.Request) error {
	expect := r.Header.Get("Expect")
	if strings.EqualFold(expect, "100-continue") && r.ContentLength != 0 {
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // if this fails, so does reading the body
		return nil
	}
	if expect != "" {
		return newRequestError(http.StatusExpectationFailed, "Expect makes no sense")
	}
	return nil
}
