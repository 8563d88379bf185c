package messagelab

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	patience      = 12 * time.Second // of a client for an answer, from its last byte on
	maxPause      = 30 * time.Millisecond
	redialDelay   = 20 * time.Millisecond
	dialTimeout   = 5 * time.Second
	writePieces   = 20 * time.Millisecond // between two writes of a client that writes at a rate
	comesAgainFor = 300 * time.Millisecond
)

// outcome is how a request ended for its client.
type outcome string

const (
	answered  outcome = "answered"
	broken    outcome = "answer broke off"
	closed    outcome = "closed without an answer"
	timedOut  outcome = "no answer"
	abandoned outcome = "left"
)

// record is a request as its client observed it.
type record struct {
	plan      *plan
	sidecar   int
	newConn   bool
	startedAt time.Time
	writtenAt time.Time // when its last byte was written; zero if it never was
	firstAt   time.Time // first byte of the answer; zero if none came
	endedAt   time.Time
	outcome   outcome
	status    int
	received  int  // bytes of the answer's body
	intact    bool // they are those of the request's answer
	again     bool // the request was sent before
}

// client sends requests one after the other. It uses a connection for as long as it stays open, and then dials again.
type client struct {
	run     *run
	sidecar int
	number  int
	rng     *rand.Rand
	total   int
	conn    net.Conn
	reader  *bufio.Reader
	used    bool // conn has carried a request
}

// loop sends requests until ctx ends.
func (c *client) loop(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		c.total++
		p := drawPlan(c.rng, fmt.Sprintf("%04x%04x%08x", c.sidecar, c.number, c.total))
		r := c.send(ctx, p, false)
		if r != nil && p.comesAgain && r.outcome == abandoned {
			pause(ctx, time.Duration(c.rng.Int64N(int64(comesAgainFor))))
			again := *p
			again.leaveAfter = 0
			c.send(ctx, &again, true)
		}
		pause(ctx, time.Duration(c.rng.Int64N(int64(maxPause))))
	}
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and records how it ended. It returns nil if there was no connection.
func (c *client) send(ctx context.Context, p *plan, again bool) *record {
	if c.conn == nil {
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.run.sidecars[c.sidecar].addr)
		if err != nil {
			pause(ctx, redialDelay)
			return nil
		}
		c.conn = conn
		c.reader = bufio.NewReader(conn)
		c.used = false
	}
	r := &record{plan: p, sidecar: c.sidecar, newConn: !c.used, startedAt: time.Now(), again: again}
	c.used = true
	conn := c.conn
	if p.leaveAfter > 0 {
		timer := time.AfterFunc(p.leaveAfter, func() { _ = conn.Close() })
		defer timer.Stop()
	}
	written := make(chan error, 1)
	go func() {
		err := writeRequest(conn, p)
		if err == nil {
			c.run.update(func() { r.writtenAt = time.Now() })
			_ = conn.SetReadDeadline(time.Now().Add(patience)) // fails on a closed connection, as the read does
		}
		written <- err
	}()
	_ = conn.SetReadDeadline(time.Now().Add(2 * patience))
	last, err := c.readAnswer(r)
	if err != nil || last {
		_ = conn.Close()
		c.conn = nil
	}
	if writeErr := <-written; writeErr != nil && c.conn != nil {
		c.close()
	}
	r.endedAt = time.Now()
	r.outcome = outcomeOf(r, err)
	c.run.add(r)
	return r
}

// outcomeOf returns the outcome of a request whose answer was read with an error or nil.
func outcomeOf(r *record, err error) outcome {
	switch {
	case err == nil:
		return answered
	case r.plan.leaveAfter > 0 && r.endedAt.Sub(r.startedAt) >= r.plan.leaveAfter:
		return abandoned
	case r.status != 0:
		return broken
	case errors.Is(err, os.ErrDeadlineExceeded):
		return timedOut
	default:
		return closed
	}
}

// writeRequest writes a request as its plan says.
func writeRequest(conn net.Conn, p *plan) error {
	method, length := http.MethodGet, ""
	body := content(p.id, p.requestBytes)
	if p.class.notIdempotent {
		method = http.MethodPost
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
		if p.requestFraming == byChunks {
			length = "Transfer-Encoding: chunked\r\n"
		}
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\n"+
		"X-Expires-In-Ms: %d\r\n%s\r\n", method, p.target(), p.id, p.class.name, p.wait.Milliseconds(), length)
	var text strings.Builder
	text.WriteString(head)
	if p.requestFraming == byChunks {
		const chunkBytes = 30_000
		for len(body) > 0 {
			n := min(len(body), chunkBytes)
			fmt.Fprintf(&text, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		text.WriteString("0\r\n\r\n")
	} else {
		text.Write(body)
	}
	return writeAtRate(conn, text.String(), p.writeRate)
}

// writeAtRate writes a text, at a rate in bytes a second unless that is 0.
func writeAtRate(conn net.Conn, text string, rate int) error {
	piece := len(text)
	if rate > 0 {
		piece = max(1, rate*int(writePieces)/int(time.Second))
	}
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return err
		}
		if text = text[n:]; len(text) > 0 {
			time.Sleep(writePieces)
		}
	}
	return nil
}

// readAnswer reads the answer, and reports whether the connection closes after it.
func (c *client) readAnswer(r *record) (last bool, err error) {
	if _, err := c.reader.Peek(1); err != nil {
		return true, err
	}
	r.firstAt = time.Now()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return true, err
	}
	r.status = response.StatusCode
	body, err := readAtRate(response.Body, r.plan.readRate)
	r.received = len(body)
	r.intact = bytes.Equal(body, content(r.plan.id, len(body)))
	return response.Close, err
}

// readAtRate reads to the end, at a rate in bytes a second unless that is 0.
func readAtRate(body io.Reader, rate int) ([]byte, error) {
	if rate == 0 {
		return io.ReadAll(body)
	}
	var read bytes.Buffer
	for {
		_, err := io.CopyN(&read, body, int64(rate)*int64(writePieces)/int64(time.Second))
		if errors.Is(err, io.EOF) {
			return read.Bytes(), nil
		}
		if err != nil {
			return read.Bytes(), err
		}
		time.Sleep(writePieces)
	}
}
