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
	requestTimeout  = 900 * time.Millisecond // sent with each request
	answerGrace     = 500 * time.Millisecond // after requestTimeout, until a request without an answer is lost
	dialTimeout     = time.Second
	redialDelay     = 20 * time.Millisecond
	maxRequestPause = 30 * time.Millisecond
	maxPatience     = 200 * time.Millisecond // of a client that abandons its request

	abandoningShare    = 0.05 // of requests that their clients abandon early
	nonIdempotentShare = 0.25 // of requests that must not be executed twice
	limitedShare       = 0.25 // of requests that count towards a limit of the fleet
)

// outcome is how a request ended for its client.
type outcome int

const (
	answered  outcome = iota
	closed            // the connection ended without a complete answer
	timedOut          // no answer came on a connection that stayed open
	abandoned         // the client closed the connection before its timeout
)

// String returns the name of the outcome, which is part of violations.
func (o outcome) String() string {
	return [...]string{"answered", "closed", "timed out", "abandoned"}[o]
}

// request is a request as its client observed it.
type request struct {
	id            string
	daemon        int
	path          string
	nonIdempotent bool
	newConn       bool // the request was the first on its connection
	sentAt        time.Time
	endedAt       time.Time
	outcome       outcome
	status        int
	trailingBytes int // bytes after the end of the answer
	dialledAt     time.Time
}

// client sends requests one after the other. It uses a connection for as long as it stays open, and then dials again.
type client struct {
	run    *run
	daemon int
	number int
	rng    *rand.Rand

	conn       net.Conn
	reader     *bufio.Reader
	dialledAt  time.Time
	sentOnConn int // requests sent on conn
	total      int // requests sent on all connections
}

// loop sends requests until ctx ends.
func (c *client) loop(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial(ctx) {
			pause(ctx, redialDelay)
			continue
		}
		c.exchange()
		pause(ctx, time.Duration(c.rng.Int64N(int64(maxRequestPause))))
	}
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *client) dial(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.run.fleet.Daemons[c.daemon].ClientAddr())
	if err != nil {
		return false
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	c.dialledAt = time.Now()
	c.sentOnConn = 0
	return true
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// exchange sends one request on the open connection, and records its outcome.
func (c *client) exchange() {
	c.total++
	r := &request{
		id:        fmt.Sprintf("%04x%04x%012x", c.daemon, c.number, c.total),
		daemon:    c.daemon,
		path:      "/look/any",
		newConn:   c.sentOnConn == 0,
		dialledAt: c.dialledAt,
	}
	switch n := c.rng.Float64(); {
	case n < nonIdempotentShare:
		r.path = "/pay"
		r.nonIdempotent = true
	case n < nonIdempotentShare+limitedShare:
		r.path = limitedPath
	}
	patience := requestTimeout + answerGrace
	abandons := c.rng.Float64() < abandoningShare
	if abandons {
		patience = time.Duration(c.rng.Int64N(int64(maxPatience)))
	}
	c.sentOnConn++
	r.sentAt = time.Now()
	_ = c.conn.SetDeadline(r.sentAt.Add(patience)) // fails on a closed connection, as the write does
	err := c.transfer(r)
	r.endedAt = time.Now()
	switch {
	case err == nil:
		r.outcome = answered
		r.trailingBytes = c.reader.Buffered()
	case errors.Is(err, os.ErrDeadlineExceeded) && abandons:
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
	if _, err := io.WriteString(c.conn, c.requestText(r)); err != nil {
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

// requestText returns a request as it is written to the connection.
func (c *client) requestText(r *request) string {
	method, class, body, key := http.MethodGet, "look", "", ""
	if r.nonIdempotent {
		method, class, body = http.MethodPost, "pay", "b"
		key = "Idempotency-Key: 5c0f6e1a2b3d4c59" + r.id[4:] + "\r\n"
	}
	sentAt := int64(0)
	if c.run.limits != nil {
		sentAt = int64(c.run.limits.Now())
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: acme\r\n"+
		"X-Expires-In-Ms: %d\r\n%s: %d\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		method, r.path, r.id, class, requestTimeout.Milliseconds(),
		limitlab.DaemonHeader, c.daemon, limitlab.SentHeader, strconv.FormatInt(sentAt, 10), key, len(body), body)
}

// fillDescriptors keeps a number of idle connections to a daemon open until ctx ends, so that the daemon uses up its
// descriptors. It replaces connections that the daemon closes.
func (r *run) fillDescriptors(ctx context.Context, daemon, connections int) {
	conns := make([]net.Conn, connections)
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
			// nil if the daemon refuses it
			conns[i], _ = dialer.DialContext(ctx, "tcp", r.fleet.Daemons[daemon].ClientAddr())
		}
		pause(ctx, idleCheckInterval)
	}
}

// isOpen reports whether the other side has neither closed an idle connection nor sent anything on it.
func isOpen(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}
