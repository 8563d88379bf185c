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

// socketServer serves one server of the model on real sockets. It has a listener and a relay for each sidecar, so that
// each connection tells which sidecar opened it.
type socketServer struct {
	rig            *rig
	model          *model.Server
	links          []*relay.Link  // by sidecar
	addrs          []string       // of the relays, by sidecar
	innerListeners []net.Listener // behind the relays, by sidecar

	mu      sync.Mutex
	conns   map[*serverConn]struct{}
	wg      sync.WaitGroup
	stopped bool // the server's process does not run, so that connections are refused
	closed  bool // the run has ended
}

// newSocketServer returns a server whose relays do not listen before start.
func newSocketServer(r *rig, server *model.Server) (*socketServer, error) {
	created := &socketServer{rig: r, model: server, conns: map[*serverConn]struct{}{}, stopped: true}
	for sidecar := range r.scenario.Fleet.Sidecars {
		listener, err := address.Listen()
		if err != nil {
			return nil, err
		}
		created.innerListeners = append(created.innerListeners, listener)
		meanDelay := r.scenario.Net.SameZoneDelay
		if server.Zone != r.world.SidecarZone(sidecar) {
			meanDelay = r.scenario.Net.CrossZoneDelay
		}
		link := relay.New(listener.Addr().String(), uint64(sidecar)<<32|uint64(server.Number),
			relay.Conditions{
				Delay:            time.Duration(meanDelay),
				Jitter:           r.scenario.Net.Jitter,
				StallProbability: r.scenario.Net.StallShare,
				MaxStall:         time.Duration(r.scenario.Net.MaxStall),
			})
		created.links = append(created.links, link)
		created.addrs = append(created.addrs, address.Next())
		created.wg.Go(func() { created.accept(listener, sidecar) })
	}
	return created, nil
}

// start makes the relays listen, as a new process of the server does. It does nothing while the server runs.
func (s *socketServer) start() error {
	s.mu.Lock()
	wasStopped := s.stopped
	s.stopped = false
	s.mu.Unlock()
	if !wasStopped {
		return nil
	}
	for sidecar, link := range s.links {
		listener, err := net.Listen("tcp", s.addrs[sidecar])
		if err != nil {
			return err
		}
		link.Listen(listener)
	}
	return nil
}

// stop refuses new connections and resets the open ones, as the end of the server's process does.
func (s *socketServer) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	for _, link := range s.links {
		link.Refuse()
		link.Reset()
	}
}

func (s *socketServer) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stop()
	for _, listener := range s.innerListeners {
		listener.Close()
	}
	s.mu.Lock()
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	for _, link := range s.links {
		link.Close()
	}
	s.wg.Wait()
}

func (s *socketServer) accept(listener net.Listener, sidecar int) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		conn := &serverConn{
			Conn:          accepted,
			server:        s,
			sidecar:       sidecar,
			reader:        bufio.NewReader(accepted),
			handshakeDone: make(chan struct{}),
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			accepted.Close()
			return
		}
		s.conns[conn] = struct{}{}
		s.wg.Go(conn.serve)
		s.mu.Unlock()
	}
}

// serverConn is a connection from a sidecar.
type serverConn struct {
	net.Conn
	server        *socketServer
	sidecar       int
	reader        *bufio.Reader
	overCap       bool          // opened beyond the server's limit of connections; its requests are rejected
	serverStarts  int           // number of the server's starts when the connection was opened
	handshakeDone chan struct{} // closed once the handshake's work is done
}

func (c *serverConn) serve() {
	server := c.server
	r := server.rig
	opened := make(chan struct{})
	r.post(func() {
		defer close(opened)
		c.serverStarts = server.model.Starts
		c.overCap = server.model.Open(c.sidecar)
		work := float64(server.model.Spec.Handshake.Micros())
		if c.overCap || work <= 0 || !server.model.Running {
			close(c.handshakeDone)
			return
		}
		server.model.Begin(&model.Job{Sidecar: c.sidecar, Work: work,
			Done: func(model.Outcome) { close(c.handshakeDone) }})
	})
	defer func() {
		c.Close()
		server.mu.Lock()
		delete(server.conns, c)
		server.mu.Unlock()
		r.post(func() {
			if !c.overCap {
				server.model.Close(c.sidecar, c.serverStarts)
			}
		})
	}()
	select {
	case <-opened:
	case <-r.ctx.Done():
		return
	}
	idleTimeout := time.Duration(server.model.Spec.IdleTimeout)
	for {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		firstByteAt := time.Now()
		c.SetReadDeadline(time.Now().Add(time.Minute))
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		select {
		case <-c.handshakeDone:
		case <-r.ctx.Done():
			return
		}
		if !c.handle(request, firstByteAt) {
			return
		}
	}
}

// handle answers a request or a probe, and reports whether the connection stays open. firstByteAt is when the first
// byte of the request arrived.
func (c *serverConn) handle(request *http.Request, firstByteAt time.Time) bool {
	switch request.URL.Path {
	case "/-/load", "/-/healthy":
		return c.probe(request)
	}
	idText := request.Header.Get("X-Trace-Id")
	id, err := strconv.ParseUint(idText, 16, 64)
	if err != nil {
		return c.answer(http.StatusNotFound, nil, "") == nil
	}
	type jobResult struct {
		outcome model.Outcome
		load    model.Load
		ran     bool
	}
	r, server := c.server.rig, c.server
	done := make(chan jobResult, 1)
	var job *model.Job
	r.post(func() {
		try := r.tries[id]
		if try == nil {
			r.voidRun("a server was sent a request that no client has sent: %s", idText)
			done <- jobResult{outcome: model.ConnectionBroken}
			return
		}
		crossZone := server.model.Zone != r.world.SidecarZone(c.sidecar)
		oneWayDelay := r.scenario.Net.SameZoneDelay
		if crossZone {
			oneWayDelay = r.scenario.Net.CrossZoneDelay
		}
		r.sink.Take(trace.Event{
			At:        r.queueTime(firstByteAt) - oneWayDelay.Micros(),
			Kind:      trace.AttemptSent,
			Sidecar:   int32(c.sidecar),
			Server:    int32(server.model.Number),
			Request:   id,
			Class:     uint8(try.Task.Class),
			CrossZone: crossZone,
		})
		if c.overCap {
			r.sink.Take(trace.Event{
				At:      r.queue.Now(),
				Kind:    trace.AttemptRejected,
				Sidecar: int32(c.sidecar),
				Server:  int32(server.model.Number),
				Request: id,
				Class:   uint8(try.Task.Class),
				Work:    try.Task.Work,
			})
			done <- jobResult{outcome: model.NeverRan}
			return
		}
		if c.serverStarts != server.model.Starts || !server.model.Running {
			done <- jobResult{outcome: model.ConnectionBroken}
			return
		}
		job = &model.Job{Request: id, Class: try.Task.Class, Sidecar: c.sidecar, Work: float64(try.Task.Work),
			Done: func(outcome model.Outcome) { done <- jobResult{outcome, server.model.Report(), true} }}
		if !server.model.Begin(job) {
			done <- jobResult{outcome: model.NeverRan, load: server.model.Report()}
		}
	})
	// The sidecar closes the connection when it gives up a request.
	clientLeft, watchDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watchDone)
		if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			close(clientLeft)
		}
	}()
	var result jobResult
	select {
	case result = <-done:
	case <-clientLeft:
		r.post(func() {
			if job != nil {
				server.model.Cancel(job)
			}
		})
		return false
	case <-r.ctx.Done():
		return false
	}
	switch result.outcome {
	case model.Succeeded:
		err = c.answer(http.StatusOK, r.loadReportHeader(result.load), answerBody(idText, r.scenario.Load.AnswerBytes))
	case model.Errored:
		err = c.answer(http.StatusInternalServerError, r.loadReportHeader(result.load), "error")
	case model.NeverRan:
		err = c.answer(http.StatusServiceUnavailable, append(r.loadReportHeader(result.load), "X-Never-Ran: 1"), "full")
		if c.overCap {
			return false
		}
	default:
		return false
	}
	c.SetReadDeadline(time.Now()) // ends the goroutine above, which must not read at the same time as serve
	select {
	case <-watchDone:
	case <-clientLeft:
		return false
	}
	return err == nil
}

// answerBody returns the body of the answer to a request. It contains the request's ID, by which the client recognizes
// the answer to another request.
func answerBody(id string, size int) string {
	text := "served " + id + "\n"
	if pad := size - len(text); pad > 0 {
		text += strings.Repeat(".", pad)
	}
	return text
}

// probe answers a probe with the server's load report, or with an empty body if it asks only for the health.
func (c *serverConn) probe(request *http.Request) bool {
	r, server := c.server.rig, c.server
	loads := make(chan model.Load, 1)
	r.post(func() {
		r.sink.Take(trace.Event{
			At:      r.queue.Now(),
			Kind:    trace.ProbeSent,
			Sidecar: int32(c.sidecar),
			Server:  int32(server.model.Number),
		})
		if work := float64(server.model.Spec.Probe.Micros()); work > 0 && server.model.Running {
			server.model.Begin(&model.Job{Sidecar: c.sidecar, Work: work, Done: func(model.Outcome) {}})
		}
		loads <- server.model.Report()
	})
	select {
	case load := <-loads:
		text := ""
		if request.URL.Path == "/-/load" {
			text = formatLoad(load)
		}
		return c.answer(http.StatusOK, nil, text) == nil
	case <-r.ctx.Done():
		return false
	}
}

// formatLoad formats a load report as the program under test reads it.
func formatLoad(load model.Load) string {
	return fmt.Sprintf("TEXT busy_reqs=%g, cpu_share=%.4f, served_ps=%.2f", load.Inflight, load.Util, load.Served)
}

// loadReportHeader returns the header line with a load report, or nil if the scenario's answers carry none.
func (r *rig) loadReportHeader(load model.Load) []string {
	if r.scenario.Limits.Reports != "answers" {
		return nil
	}
	return []string{"Endpoint-Load-Metrics: " + formatLoad(load)}
}

// answer writes a response. Each header is a whole line without its end.
func (c *serverConn) answer(status int, headers []string, content string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(content))
	for _, header := range headers {
		b.WriteString(header + "\r\n")
	}
	b.WriteString("\r\n")
	b.WriteString(content)
	c.SetWriteDeadline(time.Now().Add(10 * time.Second))
	_, err := io.WriteString(c.Conn, b.String())
	return err
}
