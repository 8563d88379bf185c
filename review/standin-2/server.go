package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for a slot server.
type server struct {
	env  *env
	id   string
	addr string
	ln   *net.TCPListener
	work func() time.Duration
	ids  *idSet

	// answer writes the answer to a request, which has run, and reports whether the connection stays open; nil for a
	// plain answer.
	answer func(c net.Conn, x *sent) bool

	mu       sync.Mutex
	ended    bool // the process has ended
	conns    map[net.Conn]bool
	sends    []*sent
	inflight atomic.Int64
}

// sent is an attempt that a server got.
type sent struct {
	server    *server
	id, class string
	expires   int
	first     time.Time // when its first byte came
	whole     time.Time // when its last byte came
	body      string    // of the server's answer to it
}

// idSet holds the ids that clients have sent, and what the servers answered.
type idSet struct {
	mu    sync.Mutex
	ids   map[string]bool
	bodys map[string][]string
	ran   map[string]int
}

func newIDSet() *idSet {
	return &idSet{ids: map[string]bool{}, bodys: map[string][]string{}, ran: map[string]int{}}
}

func (s *idSet) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids[id] = true
}

func (s *idSet) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

// run records that a request ran, and with which answer.
func (s *idSet) run(id, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id]++
	s.bodys[id] = append(s.bodys[id], body)
}

// answers reports whether a body is what a server answered to a request.
func (s *idSet) answers(id, body string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.bodys[id] {
		if b == body {
			return true
		}
	}
	return false
}

func newServer(e *env, id string, ids *idSet, work func() time.Duration) *server {
	s := &server{env: e, id: id, ids: ids, work: work, ln: listen(), conns: map[net.Conn]bool{}}
	s.addr = s.ln.Addr().String()
	go s.accept(s.ln)
	return s
}

func (s *server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// end ends the process: it resets its connections and refuses new ones.
func (s *server) end() {
	s.env.logf("%s: ends", s.id)
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	s.mu.Lock()
	s.conns[c] = true
	ended := s.ended
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	if ended {
		return
	}
	reader := bufio.NewReaderSize(c, 64<<10)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		x := &sent{server: s, first: time.Now()}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		x.whole = time.Now()
		switch r.URL.Path {
		case "/-/load", "/-/healthy":
			load := fmt.Sprintf("TEXT busy_reqs=%d, cpu_share=%.2f, served_ps=10", s.inflight.Load(),
				min(1, float64(s.inflight.Load())/3))
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(load), load)
			continue
		}
		x.id, x.class = r.Header.Get("X-Trace-Id"), r.Header.Get("X-Qos")
		x.expires, _ = strconv.Atoi(r.Header.Get("X-Expires-In-Ms"))
		if x.id == "" || !s.ids.has(x.id) {
			s.env.logf("%s: unknown id %q", s.id, x.id)
			fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.mu.Lock()
		s.sends = append(s.sends, x)
		s.mu.Unlock()
		s.env.logf("%s: attempt at %s %s begins", s.id, x.class, x.id)
		s.inflight.Add(1)
		time.Sleep(s.work())
		s.inflight.Add(-1)
		x.body = fmt.Sprintf("%s ran %s as %s at %d\n", s.id, x.id, x.class, time.Now().UnixNano())
		keep := true
		if s.answer != nil {
			keep = s.answer(c, x)
		} else {
			s.ids.run(x.id, x.body)
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(x.body), x.body)
		}
		s.env.logf("%s: answered %s", s.id, x.id)
		if !keep || err != nil {
			return
		}
	}
}

// sendsFrom returns the attempts whose first byte came at a time or later.
func (s *server) sendsFrom(at time.Time) (late []*sent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.sends {
		if !x.first.Before(at) {
			late = append(late, x)
		}
	}
	return late
}
