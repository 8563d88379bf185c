package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"birchmoor/internal/lab/limitlab"
)

const (
	requestTimeout  = 900 * time.Millisecond // that clients send along
	answerGrace     = 500 * time.Millisecond // after which a request without an answer is lost
	dialTimeout     = time.Second
	redialPause     = 20 * time.Millisecond
	maxRequestPause = 30 * time.Millisecond
	maxLeaveAfter   = 200 * time.Millisecond

	leavingShare = 0.05 // of requests, whose clients leave early
	unsafeShare  = 0.25 // that must not run twice
	limitedShare = 0.25 // that count against a limit of the fleet
)

// outcome is how a request ended for its client.
type outcome int

const (
	answered  outcome = iota
	closed            // the connection ended, without a complete answer
	timedOut          // no answer, on a connection that stayed open
	abandoned         // the client left
)

// String names the outcome.
func (o outcome) String() string {
	return [...]string{"answered", "closed", "timed out", "abandoned"}[o]
}

// request is a request as its client saw it.
type request struct {
	id        string
	daemon    int
	path      string
	unsafe    bool
	newConn   bool // it was the first on its connection
	sentAt    time.Time
	endedAt   time.Time
	outcome   outcome
	status    int
	surplus   int // bytes that followed the answer
	dialledAt time.Time
}

// client sends requests on one connection after the other, each for as long as it stays open.
type client struct {
	run    *run
	daemon int
	number int
	rng    *rand.Rand

	conn      net.Conn
	reader    *bufio.Reader
	dialledAt time.Time
	sent      int // on conn
	total     int
}

// loop sends requests until ctx ends.
func (c *client) loop(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial(ctx) {
			pause(ctx, redialPause)
			continue
		}
		c.exchange()
		pause(ctx, time.Duration(c.rng.Int64N(int64(maxRequestPause))))
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *client) dial(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.run.fleet.Daemons[c.daemon].Listen())
	if err != nil {
		return false
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	c.dialledAt = time.Now()
	c.sent = 0
	return true
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// exchange sends one request, and records how it ended.
func (c *client) exchange() {
	c.total++
	r := &request{
		id:        fmt.Sprintf("%04x%04x%012x", c.daemon, c.number, c.total),
		daemon:    c.daemon,
		path:      "/look/any",
		newConn:   c.sent == 0,
		dialledAt: c.dialledAt,
	}
	switch n := c.rng.Float64(); {
	case n < unsafeShare:
		r.path = "/pay"
		r.unsafe = true
	case n < unsafeShare+limitedShare:
		r.path = limitedPath
	}
	patience := requestTimeout + answerGrace
	leaves := c.rng.Float64() < leavingShare
	if leaves {
		patience = time.Duration(c.rng.Int64N(int64(maxLeaveAfter)))
	}
	c.sent++
	r.sentAt = time.Now()
	_ = c.conn.SetDeadline(r.sentAt.Add(patience)) // fails on a closed connection, as the write does
	err := c.transfer(r)
	r.endedAt = time.Now()
	switch {
	case err == nil:
		r.outcome = answered
		r.surplus = c.reader.Buffered()
	case errors.Is(err, os.ErrDeadlineExceeded) && leaves:
		r.outcome = abandoned
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.outcome = timedOut
	default:
		r.outcome = closed
	}
	if err != nil {
		c.close()
		r.endedAt = time.Now()
	}
	c.run.record(r)
}

// transfer writes a request and reads its answer.
func (c *client) transfer(r *request) error {
	if _, err := io.WriteString(c.conn, c.text(r)); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	r.status = response.StatusCode
	if response.Close {
		c.close()
	}
	return nil
}

func (c *client) text(r *request) string {
	method, class, body, key := http.MethodGet, "look", "", ""
	if r.unsafe {
		method, class, body = http.MethodPost, "pay", "b"
		key = "Idempotency-Key: 5c0f6e1a2b3d4c59" + r.id[4:] + "\r\n"
	}
	sent := int64(0)
	if c.run.limits != nil {
		sent = int64(c.run.limits.Now())
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: acme\r\n"+
		"X-Expires-In-Ms: %d\r\n%s: %d\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		method, r.path, r.id, class, requestTimeout.Milliseconds(),
		limitlab.DaemonHeader, c.daemon, limitlab.SentHeader, strconv.FormatInt(sent, 10), key, len(body), body)
}

// crowd holds idle connections to a daemon until ctx ends, and opens others for those that are closed.
func (r *run) crowd(ctx context.Context, daemon, size int) {
	conns := make([]net.Conn, size)
	defer func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}()
	dialer := net.Dialer{Timeout: dialTimeout}
	for ctx.Err() == nil {
		for i := range conns {
			if conns[i] != nil && isOpen(conns[i]) {
				continue
			}
			if conns[i] != nil {
				_ = conns[i].Close()
			}
			conns[i], _ = dialer.DialContext(ctx, "tcp", r.fleet.Daemons[daemon].Listen()) // nil while none accepts
		}
		pause(ctx, crowdInterval)
	}
}

// isOpen reports whether a connection on which nothing is expected has not been ended by the other side.
func isOpen(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}
