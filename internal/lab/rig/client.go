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

// callers are the clients of one sidecar. They keep their connections and open more when all are busy.
type callers struct {
	r       *rig
	sidecar int
	addr    string
	most    chan struct{} // one for each connection that may be open

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// flight is a request on its way.
type flight struct {
	mu   sync.Mutex
	conn net.Conn
	left bool
}

// leave closes the request's connection: its client has gone.
func (f *flight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left = true
	if f.conn != nil {
		f.conn.Close()
	}
}

// on notes the request's connection, and says no if the client has gone.
func (f *flight) on(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conn = c
	return !f.left
}

func (k *callers) get() (c *clientConn, kept bool, err error) {
	k.mu.Lock()
	if n := len(k.idle); n > 0 {
		c = k.idle[n-1]
		k.idle = k.idle[:n-1]
		k.mu.Unlock()
		return c, true, nil
	}
	k.mu.Unlock()
	c, err = k.dial()
	return c, false, err
}

func (k *callers) dial() (*clientConn, error) {
	d := net.Dialer{Timeout: 2 * time.Second}
	nc, err := d.DialContext(k.r.ctx, "tcp", k.addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{nc, bufio.NewReader(nc)}, nil
}

func (k *callers) put(c *clientConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle = append(k.idle, c)
}

func (k *callers) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.idle {
		c.Close()
	}
	k.idle = nil
}

// text is a request as it goes over the socket.
func (k *callers) text(y *model.Request, id string) string {
	t := y.Task
	c := &k.r.s.Classes[t.Class]
	var b strings.Builder
	method := "GET"
	if c.NotIdempotent {
		method = "POST"
	}
	fmt.Fprintf(&b, "%s /%s/%s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n",
		method, c.Name, id, id, c.Name, y.Timeout/1000)
	if t.Hint > 0 {
		fmt.Fprintf(&b, "X-Size-Hint: %d\r\n", t.Hint)
	}
	if y.Number > 0 && k.r.s.Clients.MarksRetries {
		b.WriteString("X-Second-Try: 1\r\n")
	}
	if c.NotIdempotent {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", k.r.s.Load.BodyBytes, strings.Repeat("b", k.r.s.Load.BodyBytes))
	} else {
		b.WriteString("\r\n")
	}
	return b.String()
}

// ask sends a request and reports what came of it.
func (k *callers) ask(y *model.Request, f *flight) {
	id := fmt.Sprintf("%016x", y.ID)
	r := k.r
	stop := context.AfterFunc(r.ctx, f.leave) // a run that ends waits for nobody
	defer stop()
	cut := func(unheard bool) {
		at := time.Now()
		r.post(func() { r.w.ConnectionClosed(y, r.at(at), unheard) })
	}
	select {
	case k.most <- struct{}{}:
		defer func() { <-k.most }()
	case <-r.ctx.Done():
		return
	case <-time.After(time.Duration(y.Timeout) * time.Microsecond):
		return // the client has no connection left; its time-out is told by the model
	}
	c, kept, err := k.get()
	if err != nil {
		cut(true)
		return
	}
	text := k.text(y, id)
	kills := r.homes[k.sidecar].kills.Load()
	for {
		if !f.on(c) {
			c.Close()
			return
		}
		c.SetDeadline(time.Now().Add(time.Minute))
		_, err := io.WriteString(c, text)
		if err == nil {
			_, err = c.in.Peek(1)
		}
		if err == nil {
			break
		}
		c.Close()
		if !kept || r.homes[k.sidecar].kills.Load() != kills {
			cut(false)
			return
		}
		// The sidecar closed a kept connection as we wrote: once more, on a new one.
		if kept = false; !f.on(nil) {
			return
		}
		if c, err = k.dial(); err != nil {
			cut(true)
			return
		}
	}
	resp, err := http.ReadResponse(c.in, nil)
	var got []byte
	if err == nil {
		got, err = io.ReadAll(resp.Body)
	}
	at := time.Now()
	if err != nil {
		c.Close()
		cut(false)
		return
	}
	verdict, after := trace.Failed, time.Duration(0)
	switch resp.StatusCode {
	case http.StatusOK:
		verdict = trace.Foreign
		if string(got) == body(id, r.s.Load.AnswerBytes) {
			verdict = trace.Served
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		verdict = trace.Rejected
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s >= 0 {
			after = min(time.Duration(s*float64(time.Second)), time.Minute)
		}
	}
	r.post(func() { r.w.Answer(y, r.at(at), verdict, after.Microseconds()) })
	if f.on(nil); resp.Close {
		c.Close()
	} else {
		k.put(c)
	}
}
