package rig

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"birchmoor/internal/lab/model"
	"birchmoor/internal/lab/trace"
)

// clientPool sends the requests of one sidecar's clients. It reuses idle connections, and dials a new one if none is
// idle. It is safe for concurrent use.
type clientPool struct {
	rig           *rig
	sidecar       int
	addr          string
	connSemaphore chan struct{} // its capacity is the maximum number of connections in use

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// clientRequest is a request in flight. Its client may abandon it from another goroutine.
type clientRequest struct {
	mu        sync.Mutex
	conn      net.Conn
	abandoned bool
}

// abandon closes the request's connection, as a client does that no longer waits for the answer.
func (r *clientRequest) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abandoned = true
	if r.conn != nil {
		r.conn.Close()
	}
}

// setConn records the request's connection, nil for none. It reports false if the client has abandoned the request.
func (r *clientRequest) setConn(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conn = conn
	return !r.abandoned
}

// get returns an idle connection, with reused set, or a new one.
func (p *clientPool) get() (conn *clientConn, reused bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		conn = p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return conn, true, nil
	}
	p.mu.Unlock()
	conn, err = p.dial()
	return conn, false, err
}

func (p *clientPool) dial() (*clientConn, error) {
	dialer := net.Dialer{Timeout: 2 * time.Second}
	conn, err := dialer.DialContext(p.rig.ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

func (p *clientPool) put(conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, conn)
}

func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		conn.Close()
	}
	p.idle = nil
}

// requestText returns a request as it is written to the connection.
func (p *clientPool) requestText(try *model.Request, id string) string {
	task := try.Task
	class := &p.rig.scenario.Classes[task.Class]
	var b strings.Builder
	method := "GET"
	if class.NotIdempotent {
		method = "POST"
	}
	fmt.Fprintf(&b, "%s /%s/%s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n",
		method, class.Name, id, id, class.Name, try.Timeout/1000)
	if task.Hint > 0 {
		fmt.Fprintf(&b, "X-Size-Hint: %d\r\n", task.Hint)
	}
	if try.Number > 0 && p.rig.scenario.Clients.MarksRetries {
		b.WriteString("X-Second-Try: 1\r\n")
	}
	if class.NotIdempotent {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s",
			p.rig.scenario.Load.BodyBytes, strings.Repeat("b", p.rig.scenario.Load.BodyBytes))
	} else {
		b.WriteString("\r\n")
	}
	return b.String()
}

// send sends a request, waits for its answer and reports the outcome to the world. The world itself reports a request
// that timed out or was abandoned.
func (p *clientPool) send(try *model.Request, request *clientRequest) {
	id := fmt.Sprintf("%016x", try.ID)
	r := p.rig
	stop := context.AfterFunc(r.ctx, request.abandon) // the end of the run must not wait for answers
	defer stop()
	reportClosed := func(unread bool) {
		endedAt := time.Now()
		r.post(func() { r.world.ConnectionClosed(try, r.queueTime(endedAt), unread) })
	}
	select {
	case p.connSemaphore <- struct{}{}:
		defer func() { <-p.connSemaphore }()
	case <-r.ctx.Done():
		return
	case <-time.After(time.Duration(try.Timeout) * time.Microsecond):
		return // all connections are in use until the request times out, which the model reports
	}
	conn, reused, err := p.get()
	if err != nil {
		reportClosed(true)
		return
	}
	text := p.requestText(try, id)
	killsBefore := r.sidecars[p.sidecar].kills.Load()
	for {
		if !request.setConn(conn) {
			conn.Close()
			return
		}
		conn.SetDeadline(time.Now().Add(time.Minute))
		_, err := io.WriteString(conn, text)
		if err == nil {
			_, err = conn.reader.Peek(1)
		}
		if err == nil {
			break
		}
		conn.Close()
		if !reused || r.sidecars[p.sidecar].kills.Load() != killsBefore {
			reportClosed(false)
			return
		}
		// The sidecar closed the idle connection before it read the request, so it is sent once more on a new one.
		if reused = false; !request.setConn(nil) {
			return
		}
		if conn, err = p.dial(); err != nil {
			reportClosed(true)
			return
		}
	}
	response, err := http.ReadResponse(conn.reader, nil)
	var received []byte
	if err == nil {
		received, err = io.ReadAll(response.Body)
	}
	endedAt := time.Now()
	if err != nil {
		conn.Close()
		reportClosed(false)
		return
	}
	verdict, retryAfter := trace.Failed, time.Duration(0)
	switch response.StatusCode {
	case http.StatusOK:
		verdict = trace.Foreign
		if string(received) == answerBody(id, r.scenario.Load.AnswerBytes) {
			verdict = trace.Served
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		verdict = trace.Rejected
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds >= 0 {
			retryAfter = min(time.Duration(seconds*float64(time.Second)), time.Minute)
		}
	}
	r.post(func() { r.world.Answer(try, r.queueTime(endedAt), verdict, retryAfter.Microseconds()) })
	if request.setConn(nil); response.Close {
		conn.Close()
	} else {
		p.put(conn)
	}
}
