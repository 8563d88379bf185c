package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("9b1f03aa%08x", lastID.Add(1)) }

// appClient is one connection of the application to its sidecar: one request at a time, and kept.
type appClient struct {
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

// answer is what a client got for a request.
type answer struct {
	code    int
	err     error
	sentAt  time.Time // when the last byte of the request was written
	endedAt time.Time // when the last byte of the answer came, or the wait ended
	unread  bool      // the last byte of the request was not written
}

func (a answer) took() time.Duration { return a.endedAt.Sub(a.sentAt) }

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%v, %.3f s after its last byte", a.err, a.took().Seconds())
	}
	return fmt.Sprintf("%d, %.3f s after its last byte", a.code, a.took().Seconds())
}

func (c *appClient) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.addr, 2*time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *appClient) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// head returns the head of a request in the form of PROTOCOL.
func head(method, class, id string, expiresMs, length int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n",
		method, class, id, class, expiresMs)
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// do sends a request and waits for its answer for wait after the last byte of the request.
func (c *appClient) do(method, class, id string, expiresMs int, body []byte, writeWait, wait time.Duration) (a answer) {
	if a.err = c.connect(); a.err != nil {
		a.unread = true
		return a
	}
	_ = c.conn.SetDeadline(time.Now().Add(writeWait))
	_, a.err = c.conn.Write(append(head(method, class, id, expiresMs, len(body)), body...))
	a.sentAt = time.Now()
	if a.err != nil {
		a.unread = true
		a.endedAt = a.sentAt
		c.close()
		return a
	}
	_ = c.conn.SetDeadline(time.Now().Add(wait))
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		a.code = resp.StatusCode
	}
	a.err, a.endedAt = err, time.Now()
	if err != nil || resp.Close {
		c.close()
	}
	return a
}
