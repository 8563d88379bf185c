package chain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The two ways of a call.
const (
	through = 0 // the level's sidecar
	direct  = 1 // to one of its servers, in turn
)

// Heads that the lab's applications add; sidecars pass them on.
const (
	headDirect = "X-Lab-Direct" // 1 where the whole call goes without sidecars
	headCame   = "X-Lab-Came"   // milliseconds of the time left that the caller was told of
	headBegan  = "X-Lab-Began"  // when the root made its call, in Unix nanoseconds
	headTook   = "X-Lab-Took"   // nanoseconds from a whole request to its answer
)

// level is a sidecar, the servers behind it, and the application that they are.
type level struct {
	r      *row
	number int
	addrs  []string
	lns    []net.Listener
	side   *sidecar
	to     [2]*pool   // by way
	hops   [2][]int64 // nanoseconds of a call beyond its server's, by call of the root; 0 for none

	attempts, rose, over    atomic.Uint64
	opened, probes          atomic.Uint64
	probeIn, probeOut, open atomic.Int64

	mu       sync.Mutex
	conns    map[*counted]struct{}
	ended    bool
	leftSum  int64
	leftMin  int64
	leftMax  int64
	leftSeen int64
}

func (l *level) listen() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.addrs, l.lns = append(l.addrs, ln.Addr().String()), append(l.lns, ln)
	l.r.wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			c := &counted{Conn: nc}
			l.mu.Lock()
			if l.ended {
				nc.Close()
			} else {
				l.conns[c] = struct{}{}
				l.r.wg.Go(func() { l.serve(c) })
			}
			l.mu.Unlock()
		}
	})
	return nil
}

func (l *level) close() {
	for _, ln := range l.lns {
		ln.Close()
	}
	l.mu.Lock()
	l.ended = true
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	for _, p := range l.to {
		if p != nil {
			p.close()
		}
	}
}

// counted is a connection that counts the bytes which were read.
type counted struct {
	net.Conn
	in int64
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in += int64(n)
	return n, err
}

// serve answers one connection, of a sidecar or of a call without one.
func (l *level) serve(c *counted) {
	bySidecar := false
	defer func() {
		c.Close()
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		if bySidecar {
			l.open.Add(-1)
		}
	}()
	in := bufio.NewReader(c)
	for {
		from := c.in - int64(in.Buffered())
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		arrived := time.Now()
		if !bySidecar && req.Header.Get(headDirect) == "" {
			bySidecar = true
			l.opened.Add(1)
			l.open.Add(1)
		}
		var answer string
		if req.URL.Path == "/-/load" || req.URL.Path == "/-/healthy" {
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(loaded), loaded)
			l.probes.Add(1)
			l.probeIn.Add(c.in - int64(in.Buffered()) - from)
			l.probeOut.Add(int64(len(answer)))
		} else if answer = l.handle(req, arrived); answer == "" {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

const loaded = "TEXT busy_reqs=0, cpu_share=0.1, served_ps=100.00"

// handle is the application: it makes its own call at once, and answers with what comes of it. Empty is no answer.
func (l *level) handle(req *http.Request, arrived time.Time) string {
	_, text, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	n, err := strconv.Atoi(text)
	left, errLeft := strconv.ParseInt(req.Header.Get("X-Expires-In-Ms"), 10, 64)
	came, errCame := strconv.ParseInt(req.Header.Get(headCame), 10, 64)
	nanos, errBegan := strconv.ParseInt(req.Header.Get(headBegan), 10, 64)
	if err != nil || n < 0 || n >= len(l.r.leaf) || errLeft != nil || errCame != nil || errBegan != nil {
		return "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
	}
	began := time.Unix(0, nanos)
	way := through
	if req.Header.Get(headDirect) == "1" {
		way = direct
	}
	leaf := l.number == l.r.o.Depth-1
	if way == through && n >= l.r.warm {
		l.told(left, came, began, arrived)
	}
	if !leaf {
		next := l.r.levels[l.number+1]
		out := left - time.Since(arrived).Milliseconds()
		if l.r.o.plant.keepsMs {
			out = rootMs
		}
		t := time.Now()
		code, took := next.call(way, n, left, out, began, l.number+1)
		if all := time.Since(t); code == http.StatusOK {
			atomic.StoreInt64(&next.hops[way][n], int64(all-took))
		}
		if l.number == 0 && l.r.o.plant.twice {
			code, _ = next.call(way, n, left, out, began, l.number+1)
		}
		switch {
		case code == http.StatusOK:
		case code == http.StatusServiceUnavailable && l.r.o.Class != "look":
			// The sidecar says that nothing ran, and this application has done nothing but the call.
			return "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
		default:
			return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
		}
	} else if way == through {
		l.r.leaf[n].Add(1)
		seen := l.r.seen.Add(1)
		if l.r.failed && l.r.draw.Stream("leaf", seen).Float64() < l.r.o.Share {
			switch l.r.o.Fail {
			case Errors:
				return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
			case Refuses:
				return "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
			case Silent:
				select {
				case <-l.r.quit:
				case <-time.After(rootMs*time.Millisecond + late):
				}
				return ""
			}
		}
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %d\r\nContent-Length: 16\r\n\r\nserved at once.\n", headTook, time.Since(arrived).Nanoseconds())
}

// told notes what an attempt was told of the time left.
func (l *level) told(left, came int64, began, arrived time.Time) {
	l.attempts.Add(1)
	if left >= came {
		l.rose.Add(1)
	}
	if time.Duration(left)*time.Millisecond > began.Add(rootMs*time.Millisecond).Sub(arrived) {
		l.over.Add(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leftSum, l.leftSeen = l.leftSum+left, l.leftSeen+1
	l.leftMin, l.leftMax = min(l.leftMin, left), max(l.leftMax, left)
}

// call makes a call to this level, and returns its code, or 0, and the time that its server took. It is made once, whatever becomes of it.
func (l *level) call(way, n int, came, left int64, began time.Time, by int) (code int, took time.Duration) {
	r := l.r
	method, key, more := http.MethodGet, "", ""
	id := r.ids.Add(1)
	if r.o.Class != "look" {
		method, more = http.MethodPost, "Content-Length: 0\r\n"
	}
	if r.o.Class == "book" {
		key = fmt.Sprintf("Idempotency-Key: k%d\r\n", id)
	}
	if way == direct {
		more += headDirect + ": 1\r\n"
	}
	text := fmt.Sprintf("%s /%s/%d HTTP/1.1\r\nHost: level%d.svc\r\nX-Trace-Id: %x\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n%s: %d\r\n%s: %d\r\n%s%s\r\n",
		method, r.o.Class, n, by+1, id, r.o.Class, left, headCame, came, headBegan, began.UnixNano(), key, more)
	code, took, err := l.to[way].ask(text, time.Duration(left)*time.Millisecond+late)
	if err != nil {
		r.broke(err)
		return 0, 0
	}
	return code, took
}

// keptFor is how long a connection without a call is used again: a sidecar ends it after 15 s, and a call may cross that.
const keptFor = 5 * time.Second

// pool is the kept connections of callers to a sidecar, or to servers in turn.
type pool struct {
	r     *row
	addrs []string

	mu    sync.Mutex
	turn  int
	idle  []*line
	ended bool
}

type line struct {
	net.Conn
	in   *bufio.Reader
	used bool      // it has carried an answer,
	at   time.Time // the last one then
}

// brokenError says where a call ended without an answer.
type brokenError struct {
	where string
	err   error
}

// Error leaves out addresses.
func (e *brokenError) Error() string {
	err := e.err
	if op := (*net.OpError)(nil); errors.As(err, &op) {
		err = op.Err
	}
	return e.where + ": " + err.Error()
}

// broke counts a call without an answer, by its cause.
func (r *row) broke(err error) {
	r.broken.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.why[err.Error()]++
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

func (p *pool) get() (*line, error) {
	p.mu.Lock()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if time.Since(c.at) > keptFor {
			c.Close()
			continue
		}
		p.mu.Unlock()
		return c, nil
	}
	p.turn++
	addr := p.addrs[p.turn%len(p.addrs)]
	p.mu.Unlock()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, &brokenError{"no connection", err}
	}
	return &line{Conn: c, in: bufio.NewReader(c)}, nil
}

// ask writes a request once and reads its one answer.
func (p *pool) ask(text string, most time.Duration) (code int, took time.Duration, err error) {
	c, err := p.get()
	if err != nil {
		return 0, 0, err
	}
	c.SetDeadline(time.Now().Add(most))
	keep := false
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if keep && !p.ended {
			p.idle = append(p.idle, c)
		} else {
			c.Close()
		}
	}()
	where := "first call of a connection"
	if c.used {
		where = "kept connection"
	}
	if _, err := io.WriteString(c, text); err != nil {
		return 0, 0, &brokenError{where + ", write", err}
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, 0, &brokenError{where + ", answer", err}
	}
	c.used, c.at = true, time.Now()
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0, err
	}
	if c.in.Buffered() > 0 {
		p.r.surplus.Add(1)
		return resp.StatusCode, 0, nil
	}
	keep = !resp.Close
	ns, _ := strconv.ParseInt(resp.Header.Get(headTook), 10, 64)
	return resp.StatusCode, time.Duration(ns), nil
}
