package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"birchmoor/internal/lab/address"
	"birchmoor/internal/lab/model"
	"birchmoor/internal/lab/relay"
	"birchmoor/internal/lab/trace"
)

// slot puts one server of the model on sockets: a listener and a relay for each sidecar, so that it is known who calls.
type slot struct {
	r      *rig
	s      *model.Server
	links  []*relay.Link // by sidecar
	addrs  []string      // where the sidecars reach it
	inside []net.Listener

	mu    sync.Mutex
	conns map[*serverConn]struct{}
	wg    sync.WaitGroup
	off   bool // its process does not run
	over  bool
}

func newSlot(r *rig, s *model.Server) (*slot, error) {
	t := &slot{r: r, s: s, conns: map[*serverConn]struct{}{}, off: true}
	for n := range r.s.Fleet.Sidecars {
		ln, err := address.Listen()
		if err != nil {
			return nil, err
		}
		t.inside = append(t.inside, ln)
		mean := r.s.Net.SameZoneDelay
		if s.Zone != r.w.SidecarZone(n) {
			mean = r.s.Net.CrossZoneDelay
		}
		l := relay.New(ln.Addr().String(), uint64(n)<<32|uint64(s.Number),
			relay.Conditions{Delay: time.Duration(mean), Jitter: r.s.Net.Jitter, StallProbability: r.s.Net.StallShare, MaxStall: time.Duration(r.s.Net.MaxStall)})
		t.links = append(t.links, l)
		t.addrs = append(t.addrs, address.Next())
		t.wg.Go(func() { t.accept(ln, n) })
	}
	return t, nil
}

// start has the relays listen; what runs behind them is a new process.
func (t *slot) start() error {
	t.mu.Lock()
	was := t.off
	t.off = false
	t.mu.Unlock()
	if !was {
		return nil
	}
	for n, l := range t.links {
		ln, err := net.Listen("tcp", t.addrs[n])
		if err != nil {
			return err
		}
		l.Listen(ln)
	}
	return nil
}

// stop refuses new connections and breaks those that are open, as a process that dies does.
func (t *slot) stop() {
	t.mu.Lock()
	t.off = true
	t.mu.Unlock()
	for _, l := range t.links {
		l.Refuse()
		l.Reset()
	}
}

func (t *slot) close() {
	t.mu.Lock()
	t.over = true
	t.mu.Unlock()
	t.stop()
	for _, ln := range t.inside {
		ln.Close()
	}
	t.mu.Lock()
	for c := range t.conns {
		c.Close()
	}
	t.mu.Unlock()
	for _, l := range t.links {
		l.Close()
	}
	t.wg.Wait()
}

func (t *slot) accept(ln net.Listener, sidecar int) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		c := &serverConn{Conn: nc, slot: t, sidecar: sidecar, in: bufio.NewReader(nc), shaken: make(chan struct{})}
		t.mu.Lock()
		if t.over {
			t.mu.Unlock()
			nc.Close()
			return
		}
		t.conns[c] = struct{}{}
		t.wg.Go(c.serve)
		t.mu.Unlock()
	}
}

// serverConn is a connection of a sidecar.
type serverConn struct {
	net.Conn
	slot    *slot
	sidecar int
	in      *bufio.Reader
	full    bool
	starts  int
	shaken  chan struct{} // closed once the handshake is done
}

func (c *serverConn) serve() {
	t := c.slot
	r := t.r
	opened := make(chan struct{})
	r.post(func() {
		defer close(opened)
		c.starts = t.s.Starts
		c.full = t.s.Open(c.sidecar)
		work := float64(t.s.Spec.Handshake.Micros())
		if c.full || work <= 0 || !t.s.Running {
			close(c.shaken)
			return
		}
		t.s.Begin(&model.Job{Sidecar: c.sidecar, Work: work, Done: func(model.Outcome) { close(c.shaken) }})
	})
	defer func() {
		c.Close()
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
		r.post(func() {
			if !c.full {
				t.s.Close(c.sidecar, c.starts)
			}
		})
	}()
	select {
	case <-opened:
	case <-r.ctx.Done():
		return
	}
	idle := time.Duration(t.s.Spec.IdleTimeout)
	for {
		c.SetReadDeadline(time.Now().Add(idle))
		if _, err := c.in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		c.SetReadDeadline(time.Now().Add(time.Minute))
		req, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		select {
		case <-c.shaken:
		case <-r.ctx.Done():
			return
		}
		if !c.handle(req, first) {
			return
		}
	}
}

// handle answers a request, and says whether the connection goes on.
func (c *serverConn) handle(req *http.Request, first time.Time) bool {
	switch req.URL.Path {
	case "/-/load", "/-/healthy":
		return c.probe(req)
	}
	text := req.Header.Get("X-Trace-Id")
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return c.answer(http.StatusNotFound, nil, "") == nil
	}
	type end struct {
		how  model.Outcome
		load model.Load
		ran  bool
	}
	r, t := c.slot.r, c.slot
	done := make(chan end, 1)
	var job *model.Job
	r.post(func() {
		y := r.tries[id]
		if y == nil {
			r.spoil("a server was sent a request that no client has sent: %s", text)
			done <- end{how: model.ConnectionBroken}
			return
		}
		delay := t.s.Zone != r.w.SidecarZone(c.sidecar)
		way := r.s.Net.SameZoneDelay
		if delay {
			way = r.s.Net.CrossZoneDelay
		}
		r.sink.Take(trace.Event{At: r.at(first) - way.Micros(), Kind: trace.AttemptSent, Sidecar: int32(c.sidecar), Server: int32(t.s.Number),
			Request: id, Class: uint8(y.Task.Class), CrossZone: delay})
		if c.full {
			r.sink.Take(trace.Event{At: r.q.Now(), Kind: trace.AttemptRejected, Sidecar: int32(c.sidecar), Server: int32(t.s.Number),
				Request: id, Class: uint8(y.Task.Class), Work: y.Task.Work})
			done <- end{how: model.NeverRan}
			return
		}
		if c.starts != t.s.Starts || !t.s.Running {
			done <- end{how: model.ConnectionBroken}
			return
		}
		job = &model.Job{Request: id, Class: y.Task.Class, Sidecar: c.sidecar, Work: float64(y.Task.Work),
			Done: func(how model.Outcome) { done <- end{how, t.s.Report(), true} }}
		if !t.s.Begin(job) {
			done <- end{how: model.NeverRan, load: t.s.Report()}
		}
	})
	// Whoever waits closes the connection when it gives up.
	left, looked := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(looked)
		if _, err := c.in.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			close(left)
		}
	}()
	var e end
	select {
	case e = <-done:
	case <-left:
		r.post(func() {
			if job != nil {
				t.s.Cancel(job)
			}
		})
		return false
	case <-r.ctx.Done():
		return false
	}
	switch e.how {
	case model.Succeeded:
		err = c.answer(http.StatusOK, r.report(e.load), body(text, r.s.Load.AnswerBytes))
	case model.Errored:
		err = c.answer(http.StatusInternalServerError, r.report(e.load), "error")
	case model.NeverRan:
		err = c.answer(http.StatusServiceUnavailable, append(r.report(e.load), "X-Never-Ran: 1"), "full")
		if c.full {
			return false
		}
	default:
		return false
	}
	c.SetReadDeadline(time.Now()) // ends the look for a close, which must not read beside us
	select {
	case <-looked:
	case <-left:
		return false
	}
	return err == nil
}

// body is the answer to a request: it begins with the request's ID, so that the client can tell it from any other.
func body(id string, size int) string {
	text := "served " + id + "\n"
	if pad := size - len(text); pad > 0 {
		text += strings.Repeat(".", pad)
	}
	return text
}

func (c *serverConn) probe(req *http.Request) bool {
	r, t := c.slot.r, c.slot
	loads := make(chan model.Load, 1)
	r.post(func() {
		r.sink.Take(trace.Event{At: r.q.Now(), Kind: trace.ProbeSent, Sidecar: int32(c.sidecar), Server: int32(t.s.Number)})
		if work := float64(t.s.Spec.Probe.Micros()); work > 0 && t.s.Running {
			t.s.Begin(&model.Job{Sidecar: c.sidecar, Work: work, Done: func(model.Outcome) {}})
		}
		loads <- t.s.Report()
	})
	select {
	case l := <-loads:
		text := ""
		if req.URL.Path == "/-/load" {
			text = loadText(l)
		}
		return c.answer(http.StatusOK, nil, text) == nil
	case <-r.ctx.Done():
		return false
	}
}

func loadText(l model.Load) string {
	return fmt.Sprintf("TEXT busy_reqs=%g, cpu_share=%.4f, served_ps=%.2f", l.Inflight, l.Util, l.Served)
}

// report is the head line of a load report, where answers hold them.
func (r *rig) report(l model.Load) []string {
	if r.s.Limits.Reports != "answers" {
		return nil
	}
	return []string{"Endpoint-Load-Metrics: " + loadText(l)}
}

func (c *serverConn) answer(code int, heads []string, text string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", code, http.StatusText(code), len(text))
	for _, h := range heads {
		b.WriteString(h + "\r\n")
	}
	b.WriteString("\r\n")
	b.WriteString(text)
	c.SetWriteDeadline(time.Now().Add(10 * time.Second))
	_, err := io.WriteString(c.Conn, b.String())
	return err
}
