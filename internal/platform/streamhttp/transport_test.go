package streamhttp

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// rawServer answers each connection's request with a text, and keeps the connection open until the client closes it.
// closed gets a value then.
func rawServer(t *testing.T, response string) (addr string, closed <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	ended := make(chan struct{}, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, response)
				_, _ = io.Copy(io.Discard, conn) // the request, and then the end of the connection
				ended <- struct{}{}
			}()
		}
	}()
	return listener.Addr().String(), ended
}

func dialer() func(context.Context, string, string) (net.Conn, error) {
	return (&net.Dialer{Timeout: time.Minute}).DialContext
}

func get(ctx context.Context, t *testing.T, transport *Transport, url string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	return (&http.Client{Transport: transport}).Do(request)
}

func TestResponsesAreAcceptedOrRejected(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\n\r\n"
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for _, tc := range []struct {
		name, response string
		want           error
		wantRejected   bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", nil, false},
		{"chunks without the trailer's end", chunks, nil, false},
		{"interim responses", strings.Repeat(interim, maxInterimResponses) + chunks, nil, false},
		{"too many interim responses", strings.Repeat(interim, maxInterimResponses+1) + chunks, ErrTooManyInterims, true},
		{"long head", "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 5000) + "\r\n\r\n", ErrHeaderTooLong, true},
		{"no HTTP", "ok\r\n\r\n", nil, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, closed := rawServer(t, tc.response)
			response, err := get(t.Context(), t, &Transport{Dial: dialer(), MaxHeaderBytes: 4 << 10}, "http://"+addr)
			if (err != nil) != tc.wantRejected || tc.want != nil && !errors.Is(err, tc.want) {
				t.Fatalf("error %v, want %v, rejected %v", err, tc.want, tc.wantRejected)
			}
			if err == nil {
				text, err := io.ReadAll(response.Body)
				if string(text) != "ok" || err != nil {
					t.Errorf("body %q, %v", text, err)
				}
				_ = response.Body.Close()
			}
			<-closed
		})
	}
}

// TestEndOfContextEndsRead expects the cause of the context's end as the error of a read that waits.
func TestEndOfContextEndsRead(t *testing.T) {
	addr, closed := rawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
	cause := errors.New("silence")
	ctx, cancel := context.WithCancelCause(t.Context())
	response, err := get(ctx, t, &Transport{Dial: dialer()}, "http://"+addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadFull(response.Body, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(10*time.Millisecond, func() { cancel(cause) })
	if _, err := response.Body.Read(make([]byte, 1)); !errors.Is(err, cause) {
		t.Errorf("error %v, want %v", err, cause)
	}
	<-closed
}

func TestHTTPSChecksCertificate(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	server.StartTLS()
	defer server.Close()
	trusting := server.Client().Transport.(*http.Transport).TLSClientConfig
	response, err := get(t.Context(), t, &Transport{Dial: dialer(), TLS: trusting, HandshakeTimeout: time.Minute}, server.URL)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	if string(text) != "ok" || err != nil {
		t.Errorf("body %q, %v", text, err)
	}
	_ = response.Body.Close()
	var unknown *tls.CertificateVerificationError
	if _, err := get(t.Context(), t, &Transport{Dial: dialer()}, server.URL); !errors.As(err, &unknown) {
		t.Errorf("without the server's certificate: error %v, want a failed verification", err)
	}
}
