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

// A shutdown at any point of a request's life: a request that was read gets its answer, and the answer ends the
// connection.
func TestStopAnswersOpenRequestAndCloses(t *testing.T) {
	for _, tc := range []struct {
		name string
		when func(t *testing.T, f *testFront, e *testEndpoint, c net.Conn, r *http.Request)
	}{
		{"half of it is read", func(t *testing.T, f *testFront, e *testEndpoint, c net.Conn, r *http.Request) {
			t.Helper()
			whole := encode(t, r)
			write(t, c, whole[:20])
			waitUntil(t, "a request that is being read", func() bool { return countReading(f) == 1 })
			f.stop()
			e.mayAnswer <- struct{}{}
			write(t, c, whole[20:])
		}},
		{"between its last byte and its admission", func(
			t *testing.T, f *testFront, e *testEndpoint, c net.Conn, r *http.Request,
		) {
			t.Helper()
			at := &blockingLimiter{reached: make(chan struct{}), open: make(chan struct{})}
			f.SetLimiter(at)
			write(t, c, encode(t, r))
			sidecartest.Receive(t, at.reached, "admission")
			f.stop()
			e.mayAnswer <- struct{}{}
			close(at.open)
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
		{"on its attempt", func(t *testing.T, f *testFront, e *testEndpoint, c net.Conn, r *http.Request) {
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
				t.Errorf("%s %q, close %v", resp.Status, body, resp.Close)
			}
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("behind the answer: %v, want the end", err)
			}
		})
	}
}

// A shutdown while a long answer is being sent does not cut it.
func TestStopDuringLongAnswerSendsItCompletely(t *testing.T) {
	const length = 3 * MaxBufferedBody
	rest := make(chan struct{})
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := sidecartest.ReadRequest(r); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", MaxBufferedBody))
		<-rest
		_, _ = io.WriteString(c, strings.Repeat("y", length-MaxBufferedBody))
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
		t.Errorf("%d bytes and %v, want %d", len(body), err, length)
	}
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("behind it: %v, want the end", err)
	}
}

// A long answer that its server goes on sending, with pauses, is passed on completely: cutting it off would lose
// the request. An answer that only the end of its connection ends, and that is reset on the way, is cut, so that
// the client can tell that it is incomplete.
func TestSlowAnswerIsCompleteAndResetAnswerIsCut(t *testing.T) {
	const length = 2 * MaxBufferedBody
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
					case <-time.After(streamAfter / 2): // the pace of what comes; nothing waits for it
						if name == "reset" {
							_, _ = io.WriteString(c, "x")
						}
					}
				}
				if name == "reset" {
					_ = c.SetLinger(0)
					return
				}
				time.Sleep(3 * time.Second) // the server's pause, past the client's time
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
				return // the machine was too busy for it to begin: it failed, and its client was told
			}
			body, err := io.ReadAll(resp.Body)
			if name == "slow" && (err != nil || len(body) != length) {
				t.Errorf("%d bytes and %v, want %d", len(body), err, length)
			}
			if name == "reset" && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%d bytes and %v, want it cut", len(body), err)
			}
		})
	}
}
