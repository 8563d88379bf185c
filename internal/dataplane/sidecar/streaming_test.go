package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"birchmoor/internal/dataplane/httpfront"
	"birchmoor/internal/testutil/sidecartest"
)

// longText is longer than any buffer of the sidecar, so that it is streamed.
var longText = strings.Repeat("0123456789abcdef", 20*httpfront.MaxBufferedBodyBytes/16) + "end"

// unsizedReader hides the length of a reader, so that the body is sent in chunks.
type unsizedReader struct{ io.Reader }

// Long bodies and answers must be forwarded unchanged with every framing of HTTP/1.1: Content-Length, chunks, and for
// answers the end of the connection.
func TestLongBodiesAndAnswersAreForwardedUnchanged(t *testing.T) {
	got := make(chan string, 1)
	// The endpoint closes a connection only after an answer with Connection: close, since the next request may already
	// be under way.
	addr := sidecartest.RawEndpoint(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		for framing := ""; framing != "end"; {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			got <- string(body)
			_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
			switch framing = req.URL.Query().Get("as"); framing {
			case "length":
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(longText), longText)
			case "chunks":
				fmt.Fprintf(conn,
					"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n",
					len(longText), longText)
			case "end":
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+longText)
			default:
				_, _ = io.WriteString(conn, sidecartest.OKResponse)
			}
		}
	})
	sidecar := startWithEndpoints(t, []string{addr})
	for _, tc := range []struct {
		framing string // of the answer
		body    string
		chunked bool
	}{
		{"short", longText, false},
		{"short", longText, true},
		{"short", "short", true},
		{"short", longText[:httpfront.MaxBufferedBodyBytes], true},
		{"length", "x", false},
		{"chunks", "x", false},
		{"end", "x", false},
		{"chunks", longText, true},
	} {
		t.Run(fmt.Sprint(tc.framing, len(tc.body), tc.chunked), func(t *testing.T) {
			request := sidecartest.Request("POST", "/pay?as="+tc.framing, "pay", 900, tc.body)
			if tc.chunked {
				request.ContentLength, request.Body = -1, io.NopCloser(unsizedReader{strings.NewReader(tc.body)})
			}
			want := longText
			if tc.framing == "short" {
				want = "ok"
			}
			if resp, text := sidecar.do(t, request); resp.StatusCode != http.StatusOK || text != want {
				t.Errorf("answer %s with %d bytes, want 200 with the endpoint's body", resp.Status, len(text))
			}
			if body := sidecartest.Receive(t, got, "body"); body != tc.body {
				t.Errorf("the endpoint received a body of %d bytes, want the client's %d bytes", len(body),
					len(tc.body))
			}
		})
	}
	sidecar.wantMetric(t, `answered_total{group="pay"}`, 8)
	sidecar.wantMetric(t, "sends_total", 8)
	sidecar.wantMetric(t, "current", 0)
}

// Once the client has received the beginning of an answer, the request must not be retried, even if it is idempotent.
// The client must be able to tell that the rest of the answer is missing.
func TestCutAnswerIsNotRetried(t *testing.T) {
	for _, head := range []string{
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 2*len(longText)),
		fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", 2*len(longText)),
	} {
		var sent atomic.Int32
		addr := sidecartest.RawEndpoint(t, func(conn *net.TCPConn, reader *bufio.Reader) {
			if _, err := sidecartest.ReadRequest(reader); err == nil {
				sent.Add(1)
				_, _ = io.WriteString(conn, head+longText)
			}
		})
		sidecar := startWithEndpoints(t, []string{addr, addr})
		conn := sidecar.dial(t)
		if err := sidecartest.IdempotentRequest(900).Write(conn); err != nil {
			t.Fatal(err)
		}
		setReadDeadline(t, conn, sidecartest.WaitTimeout)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		if !errors.Is(err, io.ErrUnexpectedEOF) || !strings.HasPrefix(longText, string(text)) {
			t.Errorf("read %d bytes of the cut answer, error %v, want an unexpected EOF", len(text), err)
		}
		if n := sent.Load(); n != 1 {
			t.Errorf("%d attempts were sent, want 1", n)
		}
		sidecar.stop()
		if err := sidecartest.Receive(t, sidecar.ended, "end"); err != nil {
			t.Error(err)
		}
	}
}

// A streamed body of which a part was sent cannot be sent again, even though the request never ran. The request must be
// rejected after one attempt.
func TestStreamedBodyIsNotSentAgain(t *testing.T) {
	var sent atomic.Int32
	addr := sidecartest.RawEndpoint(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			sent.Add(1)
			_, _ = io.CopyN(io.Discard, reader, 2*httpfront.MaxBufferedBodyBytes)
			_ = conn.SetLinger(0) // makes the close a reset
		}
	})
	sidecar := startWithEndpoints(t, []string{addr, addr})
	conn := sidecar.dial(t)
	// The body is longer than all socket buffers, so that the reset comes before the whole body is sent.
	request := sidecartest.Request("POST", "/pay", "pay", 900, "x")
	request.ContentLength, request.Body = httpfront.MaxBodyBytes,
		io.NopCloser(io.LimitReader(zeros{}, httpfront.MaxBodyBytes))
	go func() { _ = request.Write(conn) }() // fails when the connection is closed
	setReadDeadline(t, conn, sidecartest.WaitTimeout)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("answer %s, close %v, want 503 and close", resp.Status, resp.Close)
	}
	if n := sent.Load(); n != 1 {
		t.Errorf("%d attempts were sent, want 1", n)
	}
	sidecar.wantMetric(t, `deferred_total{group="pay"}`, 1)
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// A client that ends the connection within a long body must get an error, and no endpoint may receive a complete
// request.
func TestIncompleteBodyIsRejected(t *testing.T) {
	begun, complete := make(chan struct{}), make(chan bool, 1)
	addr := sidecartest.RawEndpoint(t, func(_ *net.TCPConn, reader *bufio.Reader) {
		_, err := reader.Peek(1)
		close(begun)
		if err == nil {
			_, err = sidecartest.ReadRequest(reader)
		}
		complete <- err == nil
	})
	sidecar := startWithEndpoints(t, []string{addr})
	conn := sidecar.dial(t)
	var text strings.Builder
	if err := sidecartest.Request("POST", "/pay", "pay", 900, longText).Write(&text); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, text.String()[:text.Len()-httpfront.MaxBufferedBodyBytes])
	sidecartest.Receive(t, begun, "the attempt") // before it, the request would be rejected with 503
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	setReadDeadline(t, conn, sidecartest.WaitTimeout)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusBadRequest {
		t.Errorf("answer %v, error %v, want 400", resp, err)
	}
	if sidecartest.Receive(t, complete, "request") {
		t.Error("the endpoint received a complete request")
	}
	sidecar.wantMetric(t, "current", 0)
}

// The deadline of a request must not cut off an answer that has begun to stream.
func TestStreamedAnswerOutlastsDeadline(t *testing.T) {
	const timeoutMs = 100
	release := make(chan struct{})
	addr := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(longText)))
		_, _ = io.WriteString(w, longText[:10])
		http.NewResponseController(w).Flush()
		<-release
		_, _ = io.WriteString(w, longText[10:])
	})
	sidecar := startWithEndpoints(t, []string{addr})
	// The header of the answer must come before the deadline; on a busy machine that may take several requests.
	var resp *http.Response
	start := time.Now()
	for end := start.Add(sidecartest.WaitTimeout); ; {
		conn := sidecar.dial(t)
		start = time.Now()
		if err := sidecartest.IdempotentRequest(timeoutMs).Write(conn); err != nil {
			t.Fatal(err)
		}
		setReadDeadline(t, conn, sidecartest.WaitTimeout)
		var err error
		resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("no answer began before its deadline: %s", resp.Status)
		}
	}
	first := make([]byte, 10)
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(start.Add(2 * timeoutMs * time.Millisecond))) // past the deadline
	close(release)
	if rest, err := io.ReadAll(resp.Body); err != nil || string(first)+string(rest) != longText {
		t.Errorf("read %d bytes after the deadline, error %v, want the rest of the answer", len(rest), err)
	}
}
