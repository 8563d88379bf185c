package httpfront

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/testutil/sidecartest"
)

// TestStopAnswersOpenRequestAndCloses shuts down at different points of a request's life. A request that was begun must
// get its answer, and the answer must close the connection.
func TestStopAnswersOpenRequestAndCloses(t *testing.T) {
	for _, tc := range []struct {
		name string
		when func(t *testing.T, f *testFront, e *testEndpoint, c net.Conn, r *http.Request)
	}{
		{"part of it is read", func(t *testing.T, f *testFront, e *testEndpoint, c net.Conn, r *http.Request) {
			t.Helper()
			encoded := encode(t, r)
			write(t, c, encoded[:20])
			waitUntil(t, "a request that is being read", func() bool { return countReading(f) == 1 })
			f.stop()
			e.mayAnswer <- struct{}{}
			write(t, c, encoded[20:])
		}},
		{"between its last byte and its admission", func(
			t *testing.T, f *testFront, e *testEndpoint, c net.Conn, r *http.Request,
		) {
			t.Helper()
			limiter := &blockingLimiter{reached: make(chan struct{}), open: make(chan struct{})}
			f.SetLimiter(limiter)
			write(t, c, encode(t, r))
			sidecartest.Receive(t, limiter.reached, "admission")
			f.stop()
			e.mayAnswer <- struct{}{}
			close(limiter.open)
		}},
		{"it waits for its first attempt", func(t *testing.T, f *testFront, e *testEndpoint, c net.Conn, r *http.Request) {
			t.Helper()
			f.holdDials(true)
			write(t, c, encode(t, r))
			sidecartest.Receive(t, f.dials, "dial")
			f.stop()
			e.mayAnswer <- struct{}{}
			f.holdDials(false)
		}},
		{"during its attempt", func(t *testing.T, f *testFront, e *testEndpoint, c net.Conn, r *http.Request) {
			t.Helper()
			write(t, c, encode(t, r))
			sidecartest.Receive(t, e.received, "attempt")
			f.stop()
			e.mayAnswer <- struct{}{}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newTestEndpoint(t)
			f := startFront(t, readyInstances(e.addr), longDialTimeout...)
			c, r := f.connect(t), sidecartest.IdempotentRequest(900_000)
			tc.when(t, f, e, c, r)
			resp, body := readAnswer(t, c, r)
			if resp.StatusCode != http.StatusOK || body != "ok" || !resp.Close {
				t.Errorf("answer %s %q, close %v; want 200 OK, ok and true", resp.Status, body, resp.Close)
			}
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("reading after the answer: error %v, want io.EOF", err)
			}
		})
	}
}

// TestStopDuringLongAnswerSendsItCompletely shuts down while a streamed answer is being sent, which must not cut it.
func TestStopDuringLongAnswerSendsItCompletely(t *testing.T) {
	const length = 3 * MaxBufferedBodyBytes
	rest := make(chan struct{})
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := sidecartest.ReadRequest(r); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length,
			strings.Repeat("x", MaxBufferedBodyBytes))
		<-rest
		_, _ = io.WriteString(c, strings.Repeat("y", length-MaxBufferedBodyBytes))
		_, _ = io.Copy(io.Discard, r)
	})
	f := startFront(t, readyInstances(addr), longClassTimeout...)
	c, r := f.connect(t), sidecartest.IdempotentRequest(900_000)
	write(t, c, encode(t, r))
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, r)
	if err != nil {
		t.Fatal(err)
	}
	f.stop()
	close(rest)
	body, err := io.ReadAll(resp.Body)
	if err != nil || len(body) != length {
		t.Errorf("read %d bytes of the answer, error %v; want %d bytes", len(body), err, length)
	}
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("reading after the answer: error %v, want io.EOF", err)
	}
}

// TestSlowAnswerIsCompleteAndResetAnswerIsCut streams two long answers. One pauses for longer than the client's timeout
// and must be forwarded completely: cutting it off would lose the request. The other one has no length, and its
// connection is reset; it must be cut, so that the client can tell that it is incomplete.
func TestSlowAnswerIsCompleteAndResetAnswerIsCut(t *testing.T) {
	const length = 2 * MaxBufferedBodyBytes
	for name, head := range map[string]string{
		"slow":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length),
		"reset": "HTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan struct{})
			addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
				if _, err := sidecartest.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, head+strings.Repeat("x", length/2))
				for waiting := true; waiting; {
					select {
					case <-begun:
						waiting = false
					case <-time.After(maxBufferingTime / 2): // interval between two bytes of the answer
						if name == "reset" {
							_, _ = io.WriteString(c, "x")
						}
					}
				}
				if name == "reset" {
					_ = c.SetLinger(0)
					return
				}
				time.Sleep(3 * time.Second) // longer than the client's timeout
				_, _ = io.WriteString(c, strings.Repeat("y", length/2))
				_, _ = io.Copy(io.Discard, r)
			})
			f := startFront(t, readyInstances(addr))
			c, r := f.connect(t), sidecartest.Request("POST", "/pay", "pay", 900, "x")
			write(t, c, encode(t, r))
			resp, err := http.ReadResponse(bufio.NewReader(c), r)
			close(begun)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != http.StatusOK {
				return // on a busy machine the answer began too late, and the client got an error
			}
			body, err := io.ReadAll(resp.Body)
			if name == "slow" && (err != nil || len(body) != length) {
				t.Errorf("read %d bytes of the answer, error %v; want %d bytes", len(body), err, length)
			}
			if name == "reset" && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("read %d bytes of the answer, error %v; want io.ErrUnexpectedEOF", len(body), err)
			}
		})
	}
}
