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

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/dataplane/httpfront"
	"birchmoor/internal/testutil/sidecartest"
)

// longText is a text that is never held whole.
var longText = strings.Repeat("0123456789abcdef", 20*httpfront.MaxBufferedBody/16) + "end"

// unsizedReader hides a text's length, so that it goes in chunks.
type unsizedReader struct{ io.Reader }

// Long bodies and answers go through unchanged, in every form that HTTP/1.1 has for them.
func TestLongBodiesAndAnswersPassUnchanged(t *testing.T) {
	got := make(chan string, 1)
	// It keeps a connection until it has said that it closes it: the next request may be on its way when it does so unsaid.
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
			io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			switch as = req.URL.Query().Get("as"); as {
			case "length":
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(longText), longText)
			case "chunks":
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", len(longText), longText)
			case "end":
				io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+longText)
			default:
				io.WriteString(c, sidecartest.OKAnswer)
			}
		}
	})
	s := startSidecar(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), []discovery.Instance{sidecartest.ReadyInstance("s-1", addr)}))
	for _, tc := range []struct {
		as      string
		body    string
		chunked bool
	}{
		{"short", longText, false}, {"short", longText, true}, {"short", "short", true}, {"short", longText[:httpfront.MaxBufferedBody], true},
		{"length", "x", false}, {"chunks", "x", false}, {"end", "x", false}, {"chunks", longText, true},
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
			if resp, text := s.do(t, r); resp.StatusCode != 200 || text != want {
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

// Once the client has the beginning, nothing is sent a second time, though a repeat would be harmless, and the
// client can tell that the rest is missing.
func TestCutAnswerIsNotRetried(t *testing.T) {
	for _, head := range []string{
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 2*len(longText)),
		fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", 2*len(longText)),
	} {
		var sent atomic.Int32
		addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
			if _, err := sidecartest.ReadRequest(r); err == nil {
				sent.Add(1)
				io.WriteString(c, head+longText)
			}
		})
		s := startSidecar(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), []discovery.Instance{sidecartest.ReadyInstance("s-1", addr), sidecartest.ReadyInstance("s-2", addr)}))
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		sidecartest.IdempotentRequest(900).Write(c)
		c.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(resp.Body); !errors.Is(err, io.ErrUnexpectedEOF) || !strings.HasPrefix(longText, string(text)) {
			t.Errorf("%d bytes, %v", len(text), err)
		}
		if n := sent.Load(); n != 1 {
			t.Errorf("%d attempts", n)
		}
		s.stop()
		sidecartest.Receive(t, s.ended, "end")
	}
}

// A body of which a part went by is not sent again, though it never ran.
func TestStreamedBodyIsNotSentAgain(t *testing.T) {
	var sent atomic.Int32
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			sent.Add(1)
			io.CopyN(io.Discard, r, 2*httpfront.MaxBufferedBody)
			c.SetLinger(0)
		}
	})
	s := startSidecar(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), []discovery.Instance{sidecartest.ReadyInstance("s-1", addr), sidecartest.ReadyInstance("s-2", addr)}))
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// Far more than what sockets hold, or the whole may have gone out before the end shows.
	r := sidecartest.Request("POST", "/pay", "pay", 900, "x")
	r.ContentLength, r.Body = httpfront.MaxBody, io.NopCloser(io.LimitReader(zeros{}, httpfront.MaxBody))
	go r.Write(c)
	c.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 503 || !resp.Close {
		t.Errorf("%s, close %v", resp.Status, resp.Close)
	}
	if n := sent.Load(); n != 1 {
		t.Errorf("%d attempts", n)
	}
	s.wantMetric(t, `deferred_total{group="pay"}`, 1)
}

// zeros never ends.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }

// A client that stops in the middle of a long body is told, and no endpoint gets a whole request.
func TestIncompleteBodyIsRejected(t *testing.T) {
	whole := make(chan bool, 1)
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, err := sidecartest.ReadRequest(r)
		whole <- err == nil
	})
	s := startSidecar(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), []discovery.Instance{sidecartest.ReadyInstance("s-1", addr)}))
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var text strings.Builder
	sidecartest.Request("POST", "/pay", "pay", 900, longText).Write(&text)
	io.WriteString(c, text.String()[:text.Len()-httpfront.MaxBufferedBody])
	c.(*net.TCPConn).CloseWrite()
	c.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 400 {
		t.Errorf("%v, %v", resp, err)
	}
	if sidecartest.Receive(t, whole, "request") {
		t.Error("the endpoint took a part for the whole")
	}
	s.wantMetric(t, "current", 0)
}

// A deadline does not cut what has begun to flow.
func TestStreamedAnswerOutlastsDeadline(t *testing.T) {
	const ms = 100
	release := make(chan struct{})
	addr := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(longText)))
		io.WriteString(w, longText[:10])
		http.NewResponseController(w).Flush()
		<-release
		io.WriteString(w, longText[10:])
	})
	s := startSidecar(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), []discovery.Instance{sidecartest.ReadyInstance("s-1", addr)}))
	// Which is of use only if its head comes in time: on a busy machine it is asked again.
	var resp *http.Response
	begun := time.Now()
	for end := begun.Add(sidecartest.WaitTimeout); ; {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		begun = time.Now()
		sidecartest.IdempotentRequest(ms).Write(c)
		c.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
		if resp, err = http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode == 200 {
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
	time.Sleep(time.Until(begun.Add(2 * ms * time.Millisecond))) // the deadline goes by
	close(release)
	if rest, err := io.ReadAll(resp.Body); err != nil || string(first)+string(rest) != longText {
		t.Errorf("%d bytes, %v", len(rest), err)
	}
}
