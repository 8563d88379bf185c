package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// class is what a client knows of a class.
type class struct {
	name    string
	post    bool
	timeout time.Duration
}

var classes = []class{
	{"slot-search", false, 1200 * time.Millisecond},
	{"confirm", true, 1500 * time.Millisecond},
	{"reschedule", true, time.Second},
	{"cancel", true, 1500 * time.Millisecond},
}

// result is how a request ended for its client.
type result struct {
	id, class string
	sentAt    time.Time // last byte written
	took      time.Duration
	code      int // 0 without a whole answer
	body      string
	err       error
	closes    bool
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// exchange sends a request on a connection and reads its answer.
func exchange(e *env, c net.Conn, reader *bufio.Reader, cl class, id string, wait time.Duration) result {
	method, body := "GET", ""
	if cl.post {
		method, body = "POST", "booking="+id
	}
	text := fmt.Sprintf("%s /%s/slots HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n",
		method, cl.name, id, cl.name, wait.Milliseconds())
	if cl.post {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	x := result{id: id, class: cl.name}
	_, err := io.WriteString(c, text+"\r\n"+body)
	x.sentAt = time.Now()
	if err != nil {
		x.err = err
		return x
	}
	e.logf("client: %s %s sent", cl.name, id)
	c.SetReadDeadline(x.sentAt.Add(wait + time.Second))
	r, err := http.ReadResponse(reader, nil)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(r.Body)
		x.body = string(b)
		x.closes = r.Close
	}
	x.took = time.Since(x.sentAt)
	x.err = err
	if err == nil {
		x.code = r.StatusCode
	}
	e.logf("client: %s %s ended after %d ms: %d %v", cl.name, id, x.took.Milliseconds(), x.code, err)
	return x
}

// load runs clients, each on a connection of its own, until stop is closed. Each sends one request at a time.
func load(e *env, addr string, ids *idSet, clients int, pause func() time.Duration, pick func() class,
	stop <-chan struct{}, done func(result)) *sync.WaitGroup {
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			var c net.Conn
			var reader *bufio.Reader
			for {
				select {
				case <-stop:
					if c != nil {
						c.Close()
					}
					return
				case <-time.After(pause()):
				}
				fresh := c == nil
				if fresh {
					var err error
					if c, err = net.DialTimeout("tcp", addr, time.Second); err != nil {
						c = nil
						continue
					}
					reader = bufio.NewReader(c)
				}
				cl, id := pick(), newID()
				ids.add(id)
				x := exchange(e, c, reader, cl, id, cl.timeout)
				if x.err != nil || x.closes {
					c.Close()
					c = nil
				}
				done(x)
			}
		})
	}
	return &wg
}
