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

// longText is longer than any buffer of the sidecar.
var longText = strings.Repeat("0123456789abcdef", 20*httpfront.MaxBufferedBodyBytes/16) + "end"

// unsizedReader hides the length of a text, so that it is sent in chunks.
type unsizedReader struct{ io.Reader }

// Long bodies and answers are passed on unchanged, in every form that HTTP/1.1 has for them.
func TestLongBodiesAndAnswersPassUnchanged(t *testing.T) {
	got := make(chan string, 1)
	// It closes a connection only after it has said so, since the next request may be on its way.
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		for as := ""; as != "end"; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			got <- string(body)
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			switch as = req.URL.Query().Get("as"); as {
			case "length":
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(longText), longText)
			case "chunks":
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n",
					len(longText), longText)
			case "end":
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+longText)
			default:
				_, _ = io.WriteString(c, sidecartest.OKAnswer)
			}
		}
	})
	s := startWithEndpoints(t, []string{addr})
	for _, tc := range []struct {
		as      string
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
		t.Run(fmt.Sprint(tc.as, len(tc.body), tc.chunked), func(t *testing.T) {
			r := sidecartest.Request("POST", "/pay?as="+tc.as, "pay", 900, tc.body)
			if tc.chunked {
				r.ContentLength, r.Body = -1, io.NopCloser(unsizedReader{strings.NewReader(tc.body)})
			}
			want := longText
			if tc.as == "short" {
				want = "ok"
			}
			if resp, text := s.do(t, r); resp.StatusCode != http.StatusOK || text != want {
				t.Errorf("%s, %d bytes", resp.Status, len(text))
			}
			if body := sidecartest.Receive(t, got, "body"); body != tc.body {
				t.Errorf("the endpoint got %d bytes, want %d", len(body), len(tc.body))
			}
		})
	}
	s.wantMetric(t, `answered_total{group="pay"}`, 8)
	s.wantMetric(t, "sends_total", 8)
	s.wantMetric(t, "current", 0)
}

// Once the client has the beginning of an answer there is no retry, though one would be harmless, and the client can
// tell that the rest is missing.
func TestCutAnswerIsNotRetried(t *testing.T) {
	for _, head := range []string{
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 2*len(longText)),
		fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", 2*len(longText)),
	} {
		var sent atomic.Int32
		addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
			if _, err := sidecartest.ReadRequest(r); err == nil {
				sent.Add(1)
				_, _ = io.WriteString(c, head+longText)
			}
		})
		s := startWithEndpoints(t, []string{addr, addr})
		c := s.dial(t)
		if err := sidecartest.IdempotentRequest(900).Write(c); err != nil {
			t.Fatal(err)
		}
		setReadDeadline(t, c, sidecartest.WaitTimeout)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		if !errors.Is(err, io.ErrUnexpectedEOF) || !strings.HasPrefix(longText, string(text)) {
			t.Errorf("%d bytes, %v", len(text), err)
		}
		if n := sent.Load(); n != 1 {
			t.Errorf("%d attempts", n)
		}
		s.stop()
		if err := sidecartest.Receive(t, s.ended, "end"); err != nil {
			t.Error(err)
		}
	}
}

// A streamed body of which a part was sent is not sent again, though the request never ran.
func TestStreamedBodyIsNotSentAgain(t *testing.T) {
	var sent atomic.Int32
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			sent.Add(1)
			_, _ = io.CopyN(io.Discard, r, 2*httpfront.MaxBufferedBodyBytes)
			_ = c.SetLinger(0) // resets the connection
		}
	})
	s := startWithEndpoints(t, []string{addr, addr})
	c := s.dial(t)
	// Far more than sockets buffer, so that it cannot all be sent before the reset shows.
	r := sidecartest.Request("POST", "/pay", "pay", 900, "x")
	r.ContentLength, r.Body = httpfront.MaxBodyBytes, io.NopCloser(io.LimitReader(zeros{}, httpfront.MaxBodyBytes))
	go func() { _ = r.Write(c) }() // is cut off
	setReadDeadline(t, c, sidecartest.WaitTimeout)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("%s, close %v", resp.Status, resp.Close)
	}
	if n := sent.Load(); n != 1 {
		t.Errorf("%d attempts", n)
	}
	s.wantMetric(t, `deferred_total{group="pay"}`, 1)
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// A client that stops within a long body gets an error, and no endpoint gets a complete request.
func TestIncompleteBodyIsRejected(t *testing.T) {
	complete := make(chan bool, 1)
	addr := sidecartest.RawEndpoint(t, func(_ *net.TCPConn, r *bufio.Reader) {
		_, err := sidecartest.ReadRequest(r)
		complete <- err == nil
	})
	s := startWithEndpoints(t, []string{addr})
	c := s.dial(t)
	var text strings.Builder
	if err := sidecartest.Request("POST", "/pay", "pay", 900, longText).Write(&text); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, text.String()[:text.Len()-httpfront.MaxBufferedBodyBytes])
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	setReadDeadline(t, c, sidecartest.WaitTimeout)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusBadRequest {
		t.Errorf("%v, %v", resp, err)
	}
	if sidecartest.Receive(t, complete, "request") {
		t.Error("the endpoint received a complete request")
	}
	s.wantMetric(t, "current", 0)
}

// A deadline does not cut an answer that has begun to stream.
func TestStreamedAnswerOutlastsDeadline(t *testing.T) {
	const ms = 100
	release := make(chan struct{})
	addr := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(longText)))
		_, _ = io.WriteString(w, longText[:10])
		http.NewResponseController(w).Flush()
		<-release
		_, _ = io.WriteString(w, longText[10:])
	})
	s := startWithEndpoints(t, []string{addr})
	// The head has to come in time; on a busy machine the request is made again.
	var resp *http.Response
	begun := time.Now()
	for end := begun.Add(sidecartest.WaitTimeout); ; {
		c := s.dial(t)
		begun = time.Now()
		if err := sidecartest.IdempotentRequest(ms).Write(c); err != nil {
			t.Fatal(err)
		}
		setReadDeadline(t, c, sidecartest.WaitTimeout)
		var err error
		resp, err = http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("no head comes in time: %s", resp.Status)
		}
	}
	first := make([]byte, 10)
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(begun.Add(2 * ms * time.Millisecond))) // past the deadline
	close(release)
	if rest, err := io.ReadAll(resp.Body); err != nil || string(first)+string(rest) != longText {
		t.Errorf("%d bytes, %v", len(rest), err)
	}
}
