package messagelab

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"birchmoor/internal/platform/tcpstate"
)

const (
	segmentBytes   = 1448 // as on an Ethernet, so that buffers are not larger than between hosts
	readInterval   = 10 * time.Millisecond
	answerQuarters = 4
)

// attempt is what a server saw of an attempt.
type attempt struct {
	began          time.Time
	deadlineMillis int       // the deadline that the sidecar passed on
	complete       time.Time // when its last byte was read; zero if it never was
	intact         bool      // its body is the client's
	headAt         time.Time // when the head of the answer was written
	given          int       // bytes of the answer's body that were written
	answeredAt     time.Time // when the last of them was
	cutAt          time.Time // when the sidecar had closed the connection before that
}

// servers are all slot servers of a run. They are safe for concurrent use.
type servers struct {
	ctx       context.Context
	listeners []net.Listener
	serving   sync.WaitGroup

	mu       sync.Mutex
	attempts map[string][]*attempt // by ID of the request
}

// startServers starts a number of servers, which run until ctx ends.
func startServers(ctx context.Context, count int) (*servers, error) {
	s := &servers{ctx: ctx, attempts: map[string][]*attempt{}}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
		})
		return errors.Join(controlErr, err)
	}}
	for range count {
		ln, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s.listeners = append(s.listeners, ln)
		s.serving.Go(func() { s.accept(ln) })
	}
	return s, nil
}

func (s *servers) close() {
	for _, ln := range s.listeners {
		_ = ln.Close()
	}
	s.serving.Wait()
}

func (s *servers) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		s.serving.Go(func() {
			defer conn.Close()
			stop := context.AfterFunc(s.ctx, func() { _ = conn.Close() })
			defer stop()
			reader := bufio.NewReaderSize(conn, segmentBytes)
			for s.serve(conn.(*net.TCPConn), reader) {
			}
		})
	}
}

// serve serves one request of a connection, and reports whether it may carry another one.
func (s *servers) serve(conn *net.TCPConn, reader *bufio.Reader) bool {
	if _, err := reader.Peek(1); err != nil {
		return false
	}
	began := time.Now()
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	p, err := serverPlan(request.Header.Get("X-Trace-Id"), request.URL.Query())
	if err != nil {
		return false
	}
	deadline, _ := strconv.Atoi(request.Header.Get("X-Expires-In-Ms")) // 0 without one
	a := &attempt{began: began, deadlineMillis: deadline}
	s.update(func() { s.attempts[p.id] = append(s.attempts[p.id], a) })
	body, err := s.readBody(conn, request.Body, p)
	if err != nil {
		return false
	}
	s.update(func() {
		a.complete = time.Now()
		a.intact = bytes.Equal(body, content(p.id, len(body)))
	})
	s.pause(p.work)
	return s.answer(conn, a, p) == nil && p.answerFraming != byClose
}

func (s *servers) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *servers) pause(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}

var errPeerClosed = errors.New("the sidecar has closed the connection")

// readBody reads the body of a request as its plan says.
func (s *servers) readBody(conn *net.TCPConn, body io.Reader, p *plan) ([]byte, error) {
	if p.serverReads < 0 {
		return io.ReadAll(body)
	}
	var read bytes.Buffer
	if _, err := io.CopyN(&read, body, int64(p.serverReads)); err != nil {
		return nil, err
	}
	for s.ctx.Err() == nil {
		s.pause(readInterval)
		if p.serverReadRate == 0 {
			if tcpstate.IsClosedByPeer(conn) {
				return nil, errPeerClosed
			}
			continue
		}
		_, err := io.CopyN(&read, body, int64(p.serverReadRate)*int64(readInterval)/int64(time.Second))
		if errors.Is(err, io.EOF) {
			return read.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, s.ctx.Err()
}

// answer writes the answer as its plan says, and records how far it came.
func (s *servers) answer(conn *net.TCPConn, a *attempt, p *plan) error {
	head := "HTTP/1.1 200 OK\r\n"
	switch p.answerFraming {
	case byChunks:
		head += "Transfer-Encoding: chunked\r\n\r\n"
	case byClose:
		head += "Connection: close\r\n\r\n"
	default:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", p.answerBytes)
	}
	if p.form == lateHead {
		half := len(head) / 2
		if err := s.write(conn, a, head[:half]); err != nil {
			return err
		}
		head = head[half:]
		s.pause(p.pause)
	}
	if err := s.write(conn, a, head); err != nil {
		return err
	}
	s.update(func() { a.headAt = time.Now() })
	if p.form == lateBody {
		s.pause(p.pause)
	}
	body := content(p.id, p.answerBytes)
	for part := range answerQuarters {
		if part > 0 && p.form == lumps {
			s.pause(p.pause)
		}
		data := body[len(body)*part/answerQuarters : len(body)*(part+1)/answerQuarters]
		text := string(data)
		if p.answerFraming == byChunks {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
		}
		if err := s.write(conn, a, text); err != nil {
			return err
		}
		s.update(func() { a.given += len(data) })
	}
	if p.answerFraming == byChunks {
		if err := s.write(conn, a, "0\r\n\r\n"); err != nil {
			return err
		}
	}
	s.update(func() { a.answeredAt = time.Now() })
	return nil
}

// write writes a part of an answer. If the sidecar has closed the connection, it records that and fails.
func (s *servers) write(conn *net.TCPConn, a *attempt, text string) error {
	err := errPeerClosed
	if !tcpstate.IsClosedByPeer(conn) {
		_, err = io.WriteString(conn, text)
	}
	if err != nil && s.ctx.Err() == nil {
		s.update(func() { a.cutAt = time.Now() })
	}
	return err
}
