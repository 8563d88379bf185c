package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"birchmoor/internal/dataplane/httpfront"
	"birchmoor/internal/testutil/sidecartest"
)

// The sidecar must forward requests and answers unchanged, except for the header with the remaining time.
func TestRequestsAndAnswersAreForwardedUnchanged(t *testing.T) {
	type received struct {
		r    *http.Request
		body string
	}
	got := make(chan received, 64)
	addr := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, request *http.Request) {
		b, _ := io.ReadAll(request.Body)
		got <- received{request, string(b)}
		w.Header()["Content-Type"] = nil
		if request.Method == http.MethodGet {
			w.Header().Set("Content-Type", "application/x-card")
		}
		w.Header().Set("Endpoint-Load-Metrics", "TEXT busy_reqs=1")
		_, _ = io.WriteString(w, "\x00card "+string(b))
	})
	sidecar := startWithEndpoints(t, []string{addr})
	// The answer to the largest body is just short enough not to be streamed.
	largest := strings.Repeat("b", httpfront.MaxBufferedBodyBytes-len("\x00card "))
	for _, request := range []*http.Request{
		sidecartest.IdempotentRequest(480),
		sidecartest.Request("GET", "/look/a%2Fb?x=%20y&z", "look", 480, ""),
		sidecartest.Request("POST", "/book", "book", 480, largest),
		sidecartest.Request("POST", "/pay?p=1", "pay", 480, ""),
	} {
		body, _ := io.ReadAll(request.Body)
		if len(body) > 0 {
			request.Body = io.NopCloser(strings.NewReader(string(body)))
		}
		resp, text := sidecar.do(t, request)
		contentType := "" // the sidecar must not guess one if the endpoint sets none
		if request.Method == http.MethodGet {
			contentType = "application/x-card"
		}
		if resp.StatusCode != http.StatusOK || text != "\x00card "+string(body) ||
			resp.Header.Get("Content-Type") != contentType {
			t.Errorf("answer to %s: %s, %d bytes, headers %v, want 200 with the endpoint's body and type",
				request.RequestURI, resp.Status, len(text), resp.Header)
			continue
		}
		forwarded := <-got
		if forwarded.r.Method != request.Method || forwarded.r.RequestURI != request.RequestURI ||
			forwarded.body != string(body) {
			t.Errorf("sent %s %s, the endpoint received %s %s, or another body",
				request.Method, request.RequestURI, forwarded.r.Method, forwarded.r.RequestURI)
		}
		for _, header := range []string{"X-Trace-Id", "Idempotency-Key", "X-Customer"} {
			if forwarded.r.Header.Get(header) != request.Header.Get(header) {
				t.Errorf("header %s: sent %q, the endpoint received %q",
					header, request.Header.Get(header), forwarded.r.Header.Get(header))
			}
		}
		// The endpoint receives the timeout of this attempt, not that of the client.
		if ms, err := strconv.Atoi(forwarded.r.Header.Get("X-Expires-In-Ms")); err != nil || ms >= 480 || ms < 1 {
			t.Errorf("the endpoint received X-Expires-In-Ms %q, want from 1 to 479",
				forwarded.r.Header.Get("X-Expires-In-Ms"))
		}
		if len(forwarded.r.Header["Accept-Encoding"]) != 0 {
			t.Error("the endpoint received Accept-Encoding, which the client did not send")
		}
	}
}

// Invalid requests must be answered with an error status and not forwarded to an endpoint.
func TestInvalidRequestsGetClientErrors(t *testing.T) {
	var sent atomic.Int32
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) { sent.Add(1) })
	sidecar := startWithEndpoints(t, []string{addr})
	withoutHeader := func(request *http.Request, header string) *http.Request {
		request.Header.Del(header)
		return request
	}
	withHeader := func(request *http.Request, header, value string) *http.Request {
		request.Header.Set(header, value)
		return request
	}
	large := strings.Repeat("x", 2*httpfront.MaxHeaderBytes)
	for _, tc := range []struct {
		name string
		r    *http.Request
		want int
	}{
		{"unknown class", sidecartest.Request("GET", "/sell", "sell", 400, ""), 404},
		{"no class", withoutHeader(sidecartest.Request("GET", "/", "look", 400, ""), "X-Qos"), 404},
		{"two classes", sidecartest.Request("GET", "/look", "pay", 400, ""), 400},
		{"no id", withoutHeader(sidecartest.IdempotentRequest(400), "X-Trace-Id"), 400},
		{"keyed without key", withoutHeader(sidecartest.Request("POST", "/book", "book", 400, "x"), "Idempotency-Key"), 400},
		{"wrong method", sidecartest.Request("POST", "/look", "look", 400, "x"), 405},
		{"time in words", withHeader(sidecartest.IdempotentRequest(400), "X-Expires-In-Ms", "soon"), 400},
		{"negative time", sidecartest.IdempotentRequest(-1), 400},
		{"large head", withHeader(sidecartest.IdempotentRequest(400), "X-Props", large), 431},
	} {
		if resp, _ := sidecar.do(t, tc.r); resp.StatusCode != tc.want {
			t.Errorf("request with %s: %s, want %d", tc.name, resp.Status, tc.want)
		}
	}
	for _, tc := range invalidRawRequests() {
		got, err := exchangeRaw(t, sidecar.addr, tc.text)
		if err != nil || !strings.HasPrefix(got, "HTTP/1.1 "+tc.want+" ") || strings.Count(got, "HTTP/1.1") != 1 {
			t.Errorf("request with %s: received %q, error %v, want one answer %s and the end", tc.name, got, err,
				tc.want)
		}
	}
	if n := sent.Load(); n != 0 {
		t.Errorf("%d attempts were made for invalid requests, want none", n)
	}
}

// rawRequest is what a client sends on a new connection, and the status that it must get.
type rawRequest struct{ name, text, want string }

// invalidRawRequests returns requests that the sidecar must reject. Their clients wait for an answer, or for the end of
// the connection.
func invalidRawRequests() []rawRequest {
	head := func(lines ...string) string {
		return "POST /pay HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: 1\r\nX-Qos: pay\r\n" +
			strings.Join(append(lines, "\r\n"), "\r\n")
	}
	hidden := head("Content-Length: 0")
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	oldHead := strings.Replace(head("Content-Length: 5", "Transfer-Encoding: chunked"), "1.1", "1.0", 1)
	idempotentHead := "GET /look HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nX-Qos: look\r\n"
	return []rawRequest{
		{"no HTTP", "LOOK\r\n\r\n", "400"},
		{"old HTTP", "GET /look HTTP/1.0\r\nX-Trace-Id: 1\r\n\r\n", "505"},
		{"endless head", "GET /look HTTP/1.1\r\nX: " + strings.Repeat("x", httpfront.MaxHeaderBytes), "431"},
		{"hidden request", head("Content-Length: 5", "Transfer-Encoding: chunked") + "0\r\n\r\n" + hidden, "400"},
		{"length and chunks", head("Content-Length: 5", "Transfer-Encoding: chunked") + "0\r\n\r\n", "400"},
		{"cut chunks", head("Transfer-Encoding: chunked") + "zz\r\n", "400"},
		{"more behind chunks", head("Transfer-Encoding: chunked") + "0\r\n\r\n" + hidden, "400"},
		{"long body", head(fmt.Sprintf("Content-Length: %d", httpfront.MaxBodyBytes+1)), "413"},
		{"old chunks", oldHead + chunked, "505"},
		{"unknown encoding", head("Content-Length: 5", "Transfer-Encoding: xchunked") + chunked, "400"},
		{"two lengths", head("Content-Length: 5", "Content-Length: 6") + "123456", "400"},
		{"space before the colon of a length", head("Content-Length : 5"), "400"},
		{"space before the colon of chunks", head("Transfer-Encoding : chunked"), "400"},
		{"trailer without end", head("Transfer-Encoding: chunked") + "0\r\nX: " + strings.Repeat("x", 1<<20), "400"},
		{"trailer of many fields", head("Transfer-Encoding: chunked") + "0\r\n" + strings.Repeat("a:\r\n", 1<<18), "400"},
		{"negative length", head("Content-Length: -5"), "400"},
		{"length with a sign", head("Content-Length: +5") + "12345", "400"},
		{"length in words", head("Content-Length: five") + "12345", "400"},
		{"length over all", head("Content-Length: 99999999999999999999"), "400"},
		{"huge length", head("Content-Length: 3000000000"), "413"},
		{"length too short", head("Content-Length: 5") + "1234567", "400"},
		{"more than a request", hidden + "noise", "400"},
		{"two requests", hidden + hidden, "400"},
		{"body on GET", idempotentHead + "Content-Length: 1\r\n\r\nx", "400"},
		{"two ids", head("X-Trace-Id: 2", "Content-Length: 0"), "400"},
		{"two classes", head("X-Qos: pay", "Content-Length: 0"), "400"},
		{"two times", head("X-Expires-In-Ms: 300", "X-Expires-In-Ms: 400", "Content-Length: 0"), "400"},
		{"empty time", head("X-Expires-In-Ms:", "Content-Length: 0"), "400"},
		{"signed time", head("X-Expires-In-Ms: +400", "Content-Length: 0"), "400"},
		{"empty key", head("Idempotency-Key:", "Content-Length: 0"), "400"},
		{"control character", head("X-Props: a\rb", "Content-Length: 0"), "400"},
		{"id of two words", strings.Replace(hidden, "X-Trace-Id: 1", "X-Trace-Id: 1 2", 1), "400"},
		{"host with a space", strings.Replace(hidden, "origin.svc", "origin svc", 1), "400"},
		{"wrong expectation", head("Expect: wonders", "Content-Length: 0"), "417"},
	}
}

// exchangeRaw sends text on a new connection, and returns what it receives until the sidecar ends the connection.
func exchangeRaw(t *testing.T, addr, text string) (received string, err error) {
	t.Helper()
	return exchangeRawPieces(t, addr, text, "")
}

// exchangeRawPieces does as exchangeRaw, but sends the text in two pieces. The second one, unless it is empty, follows
// once something was received.
func exchangeRawPieces(t *testing.T, addr, first, second string) (received string, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, first)
	setReadDeadline(t, conn, httpfront.RequestTimeout/2)
	reader := bufio.NewReader(conn)
	if second != "" {
		if _, err := reader.Peek(1); err != nil {
			return "", err
		}
		_, _ = io.WriteString(conn, second)
	}
	got, err := io.ReadAll(reader)
	return string(got), err
}

// TestInvalidRequestBehindReadinessCheckIsRejected guards against a request that is served although it is invalid, since
// it arrived together with the readiness check before it: one with a Content-Length and chunks was served, and so was
// the request hidden in its body.
func TestInvalidRequestBehindReadinessCheckIsRejected(t *testing.T) {
	const check = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, how := range map[string]struct {
		prefix string  // sent in one piece with the first part of the request
		part   float64 // the part of the request's head that arrives with the prefix; the rest follows
	}{
		"whole":          {check, 1},
		"two checks":     {check + check, 1},
		"half":           {check, 0.5},
		"three quarters": {check, 0.75},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int32
			addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) { sent.Add(1) })
			sidecar := startWithEndpoints(t, []string{addr})
			checks := strings.Count(how.prefix, check)
			for _, tc := range invalidRawRequests() {
				first, second := tc.text, ""
				if how.part < 1 {
					head, _, _ := strings.Cut(tc.text, "\r\n\r\n")
					length := int(how.part * float64(len(head)))
					first, second = tc.text[:length], tc.text[length:]
				}
				got, err := exchangeRawPieces(t, sidecar.addr, how.prefix+first, second)
				answers := strings.Split(got, "HTTP/1.1 ")
				if err != nil || len(answers) != checks+2 || !strings.HasPrefix(answers[1], "200 ") ||
					!strings.HasPrefix(answers[checks+1], tc.want+" ") {
					t.Errorf("request with %s: received %q, error %v, want answer 200 to each check, then %s and the end",
						tc.name, got, err, tc.want)
				}
			}
			if n := sent.Load(); n != 0 {
				t.Errorf("%d attempts were made for invalid requests, want none", n)
			}
		})
	}
}

// TestReadinessCheckWithFaultyFramingIsRejected guards against a readiness check whose body is taken for the next
// request: net/http ignores chunks in HTTP/1.0, and a length or chunks with a space before the colon.
func TestReadinessCheckWithFaultyFramingIsRejected(t *testing.T) {
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	sidecar := startWithEndpoints(t, []string{addr})
	for _, text := range []string{
		"GET /-/ready HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET /-/ready HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\n",
		"GET /-/ready HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n",
	} {
		got, err := exchangeRaw(t, sidecar.addr, text)
		if err != nil || !strings.HasPrefix(got, "HTTP/1.1 400 ") || strings.Count(got, "HTTP/1.1") != 1 {
			t.Errorf("%q: received %q, error %v, want one answer 400 and the end", text, got, err)
		}
	}
}
