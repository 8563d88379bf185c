package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"birchmoor/internal/platform/tcpstate"
	"birchmoor/internal/testutil/processtest"
	"birchmoor/internal/testutil/sidecartest"
)

const (
	longMessageBytes = 160 << 10
	slowPause        = 600 * time.Millisecond // of a slow endpoint, in the middle of a message
	lateAnswerSlack  = 500 * time.Millisecond // after a client's time, until a request without an answer is lost
)

// startSidecarWith starts the program with the settings of sidecartest, changed by edits, and waits until it is ready.
func startSidecarWith(t *testing.T, endpoint string, edits ...string) (addr string, p *processtest.Process) {
	t.Helper()
	return startReady(t, sidecartest.ConfigText(t, "127.0.0.1:1", sidecartest.Instances(endpoint), edits...))
}

// startReady starts the program with a configuration, and waits until it is ready. env is added to its environment.
func startReady(t *testing.T, configuration []byte, env ...string) (addr string, p *processtest.Process) {
	t.Helper()
	file, addr, log := filepath.Join(t.TempDir(), "config.json"), processtest.Address(t), &processtest.Log{}
	if err := os.WriteFile(file, configuration, 0o600); err != nil {
		t.Fatal(err)
	}
	env = append(env, "ROUTER_CONFIG="+file, "ROUTER_LISTEN="+addr, "TMPDIR=")
	p = processtest.Start(t, processtest.Self(t, env), log)
	processtest.Until(t, "readiness", func() bool {
		resp, err := http.Get("http://" + addr + "/-/ready")
		if err == nil {
			resp.Body.Close()
		}
		return err == nil && resp.StatusCode == http.StatusOK
	}, log.String)
	return addr, p
}

// answerSlowly writes a long answer of the form that the query names, with pauses.
func answerSlowly(conn net.Conn, form string, body []byte) {
	half := len(body) / 2
	first, second := body[:half], body[half:]
	switch form {
	case "late-head":
		writeAll(conn, "HTTP/1.1 200 OK\r\nContent-")
		time.Sleep(slowPause)
		writeAll(conn, fmt.Sprintf("Length: %d\r\n\r\n%s", len(body), body))
	case "late-body length":
		writeAll(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)))
		time.Sleep(slowPause)
		writeAll(conn, string(body))
	case "late-body chunked":
		writeAll(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		time.Sleep(slowPause)
		writeAll(conn, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body))
	case "late-body close":
		writeAll(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
		time.Sleep(slowPause)
		writeAll(conn, string(body))
	case "lumps length":
		writeAll(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), first[:100]))
		time.Sleep(slowPause)
		writeAll(conn, string(first[100:])+string(second))
	case "lumps chunked":
		writeAll(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		writeAll(conn, fmt.Sprintf("%x\r\n%s\r\n%x\r", 100, first[:100], len(body)-100)) // pauses within a chunk's head
		time.Sleep(slowPause)
		writeAll(conn, fmt.Sprintf("\n%s", first[100:]))
		time.Sleep(slowPause)
		writeAll(conn, fmt.Sprintf("%s\r\n0\r\n\r\n", second))
	case "lumps close":
		writeAll(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", first[:100]))
		time.Sleep(slowPause)
		writeAll(conn, string(first[100:])+string(second))
	}
}

// Answers are read one after the other: at a slow endpoint, the sidecar would reject some of several requests at once.
func TestSlowAnswerIsNotCutOff(t *testing.T) {
	forms := []string{"late-head", "late-body length", "late-body chunked", "late-body close", "lumps length",
		"lumps chunked", "lumps close"}
	for _, size := range []int{20 << 10, longMessageBytes} {
		body := bytes.Repeat([]byte("0123456789abcdef"), size/16)
		for class, method := range map[string]string{"look": http.MethodGet, "pay": http.MethodPost} {
			t.Run(fmt.Sprint(class, " ", size), func(t *testing.T) {
				t.Parallel()
				endpoint := sidecartest.RawEndpoint(t, func(conn *net.TCPConn, r *bufio.Reader) {
					for {
						request, err := sidecartest.ReadRequest(r)
						if err != nil {
							return
						}
						form := request.URL.Query().Get("form")
						answerSlowly(conn, form, body)
						if strings.HasSuffix(form, "close") {
							return
						}
					}
				})
				addr, p := startSidecarWith(t, endpoint, `"give-up":1000000`, `"give-up":60000000`,
					`"target":500000`, `"target":30000000`)
				for _, form := range forms {
					path := "/" + class + "/1?form=" + strings.ReplaceAll(form, " ", "+")
					got, err := exchange(addr, sidecartest.Request(method, path, class, 60_000, ""))
					if err != nil || got.status != http.StatusOK || got.body != string(body) {
						t.Errorf("%s: answer %d with %d bytes (%v), want the endpoint's",
							form, got.status, len(got.body), err)
					}
				}
				if t.Failed() {
					t.Log(p.Log())
				}
			})
		}
	}
}

// clientAnswer is an answer as its client got it.
type clientAnswer struct {
	status   int
	body     string
	lateness time.Duration // from the end of the client's time to the answer's first byte; negative if it came before
}

// exchange sends a request on a new connection and reads its answer.
func exchange(addr string, r *http.Request) (clientAnswer, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return clientAnswer{}, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(processtest.WaitTimeout)) // fails on a closed connection only
	timeout, err := time.ParseDuration(r.Header.Get("X-Expires-In-Ms") + "ms")
	if err != nil {
		return clientAnswer{}, err
	}
	var dueAt time.Time
	written := make(chan error, 1)
	go func() {
		err := r.Write(conn)
		dueAt = time.Now().Add(timeout)
		written <- err
	}()
	reader := bufio.NewReader(conn)
	_, readErr := reader.Peek(1)
	answeredAt := time.Now()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return clientAnswer{}, errors.Join(readErr, err)
	}
	body, err := io.ReadAll(resp.Body)
	answer := clientAnswer{status: resp.StatusCode, body: string(body)}
	_ = conn.SetDeadline(time.Now()) // the rest of the request is not needed
	if writeErr := <-written; writeErr == nil {
		answer.lateness = answeredAt.Sub(dueAt)
	}
	return answer, err
}

// slowEndpoint starts an endpoint with small buffers and segments, as on an Ethernet, that reads requests by
// readSlowly, and returns its address.
func slowEndpoint(t *testing.T, first, bytesPerSecond int) string {
	t.Helper()
	const receiveBuffer, segmentBytes = 4 << 10, 1448
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes))
		})
		return errors.Join(controlErr, err)
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				readSlowly(conn.(*net.TCPConn), first, bytesPerSecond)
			}()
		}
	}()
	return ln.Addr().String()
}

// readSlowly reads a request: the first bytes at once, the others at a rate, 0 for none. It
// returns when the request or the connection ends.
func readSlowly(conn *net.TCPConn, first, bytesPerSecond int) {
	const interval = 10 * time.Millisecond
	buf := make([]byte, max(1, bytesPerSecond*int(interval)/int(time.Second)))
	for total := 0; total < first; {
		n, err := conn.Read(make([]byte, first-total))
		total += n
		if err != nil {
			return
		}
	}
	for {
		time.Sleep(interval)
		if bytesPerSecond == 0 {
			if tcpstate.IsClosedByPeer(conn) {
				return
			}
			continue
		}
		if n, err := conn.Read(buf); err != nil || bytes.HasSuffix(buf[:n], []byte(endOfLongBody)) {
			return
		}
	}
}

const endOfLongBody = "<end of the body>"

// A request whose endpoint reads it slowly, or stops reading it, must have its final answer once its client's time is
// up. The earliest of several answers is judged, which a busy machine does not delay as much as the others.
func TestSlowlyReadRequestIsAnsweredInTime(t *testing.T) {
	const requests = 4
	for _, tc := range []struct {
		name           string
		bytes          int
		chunked        bool
		bytesPerSecond int
		wait           int // milliseconds
	}{
		{"stops reading", 186161, false, 0, 795},
		{"stops reading a very long one", 3_000_000, false, 0, 500},
		{"stops reading chunks", 186161, true, 0, 795},
		{"reads slowly", 877189, false, 90_084, 801},
		{"reads chunks slowly", 931693, true, 93_946, 600},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			endpoint := slowEndpoint(t, 7240, tc.bytesPerSecond)
			addr, p := startSidecarWith(t, endpoint)
			var clients sync.WaitGroup
			lateness := make([]time.Duration, requests)
			for i := range requests {
				clients.Go(func() {
					body := strings.Repeat("b", tc.bytes-len(endOfLongBody)) + endOfLongBody
					request := sidecartest.Request(http.MethodPost, "/pay/1", "pay", tc.wait, body)
					if tc.chunked {
						request.ContentLength, request.Body = -1, io.NopCloser(io.MultiReader(strings.NewReader(body)))
					}
					answer, err := exchange(addr, request)
					if err != nil || answer.status < 500 {
						t.Errorf("answer %d (%v), want 5xx", answer.status, err)
					}
					lateness[i] = answer.lateness
				})
			}
			clients.Wait()
			if earliest := slices.Min(lateness); earliest > lateAnswerSlack {
				t.Errorf("the earliest of %d answers came %v after its client's time, want at most %v",
					requests, earliest, lateAnswerSlack)
			}
			if t.Failed() {
				t.Log(p.Log())
			}
		})
	}
}
