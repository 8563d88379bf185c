package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// slotServer is a stand-in for a slot server: it answers each request with a body that names the request.
type slotServer struct {
	id       string
	work     time.Duration
	log      func(format string, args ...any)
	onRun    func(server, request string) // called when a request begins; may be nil
	inflight atomic.Int64
}

func (s *slotServer) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *slotServer) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := conn.Write(s.answer(r)); err != nil {
			return
		}
	}
}

// answer reads a request's body, works, and returns the answer.
func (s *slotServer) answer(r *http.Request) []byte {
	switch r.URL.Path {
	case "/-/load":
		n := s.inflight.Load()
		return response(200, fmt.Sprintf("TEXT inflight=%d, util=%.2f, qps=10", n, min(1, float64(n)/6)))
	case "/-/healthy":
		return response(200, "ok")
	}
	id := r.Header.Get("X-Trace-Id")
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		s.log("server %s: request %s: body broken after %d bytes: %v", s.id, id, n, err)
		return response(400, "broken")
	}
	if id == "" {
		return response(404, "no id")
	}
	s.log("server %s: runs %s (%s, body of %d bytes)", s.id, id, r.Header.Get("X-Qos"), n)
	if s.onRun != nil {
		s.onRun(s.id, id)
	}
	s.inflight.Add(1)
	time.Sleep(s.work)
	s.inflight.Add(-1)
	return response(200, "made for "+id)
}

func response(code int, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", code, http.StatusText(code), len(body), body)
	return b.Bytes()
}

// startFleet starts n slot servers in this process, and a discovery that lists them. onRun may be nil.
func (w *world) startFleet(n int, work time.Duration, onRun func(server, request string)) (*discovery, error) {
	var entries []instance
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := &slotServer{id: fmt.Sprintf("s-%d", i), work: work, log: w.rec.add, onRun: onRun}
		go s.serve(ln)
		entries = append(entries, entry(i, s.id, ln.Addr().String()))
	}
	return newDiscovery(w.rec, entries)
}

// serverMain is a slot server in a process of its own, which can be stopped. It prints its address first.
func serverMain(id string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Println(ln.Addr())
	s := &slotServer{id: id, work: 30 * time.Millisecond, log: func(format string, args ...any) {
		fmt.Printf(format+"\n", args...)
	}}
	s.serve(ln)
}

// startServer starts a slot server in a process of its own, and returns its address.
func (w *world) startServer(id string) (addr string, process *exec.Cmd, err error) {
	self, err := os.Executable()
	if err != nil {
		return "", nil, err
	}
	c := exec.Command(self, "server", id)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := c.StdoutPipe()
	if err != nil {
		return "", nil, err
	}
	if err := c.Start(); err != nil {
		return "", nil, err
	}
	w.addProcess(c)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return "", nil, fmt.Errorf("slot server %s did not start", id)
	}
	addr = strings.TrimSpace(lines.Text())
	w.rec.add("slot server %s at %s, pid %d", id, addr, c.Process.Pid)
	go func() {
		for lines.Scan() {
			w.rec.add("%s", lines.Text())
		}
		_ = c.Wait()
	}()
	return addr, c, nil
}

// entry returns a list entry of a slot server that started long ago.
func entry(i int, id, addr string) instance {
	zones, kinds := []string{"petrzalka", "trnava"}, []string{"fast-2", "mid-3", "slow-3"}
	return instance{ID: id, Addr: addr, Zone: zones[i%2], Kind: kinds[i%3], Cell: i / 4, Lifecycle: "up", Weight: 1}
}
