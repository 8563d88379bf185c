// Package streamhttp requests streams over HTTP/1.1: responses that a server writes over time, and whose bytes are
// needed as soon as they arrive. http.Transport is not used for them, since its reader of chunked bodies holds back what
// has arrived of a chunk until the chunk is complete or the caller's buffer is full, and the last bytes until the
// trailer has ended. The package imports platform/chunked.
package streamhttp

import (
	"bufio"
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"time"

	"birchmoor/internal/platform/chunked"
)

const (
	defaultMaxHeaderBytes = 1 << 20
	readBufferBytes       = 4 << 10
	maxInterimResponses   = 5 // 1xx responses before the final one
)

// Errors of a response that is not a stream.
var (
	ErrHeaderTooLong   = errors.New("streamhttp: the head of the response is too long")
	ErrTooManyInterims = errors.New("streamhttp: too many interim responses")
)

// Transport is an http.RoundTripper for streams. Each request has a connection of its own, which closing the response's
// body closes. It is safe for concurrent use; its fields must not change after the first request.
type Transport struct {
	Dial             func(ctx context.Context, network, addr string) (net.Conn, error)
	TLS              *tls.Config   // for URLs with the scheme https
	HandshakeTimeout time.Duration // for TLS; 0: as long as the request's context
	MaxHeaderBytes   int64         // of a response; 0: defaultMaxHeaderBytes
}

// RoundTrip implements http.RoundTripper. The end of the request's context closes the connection.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	conn, err := t.connect(ctx, request.URL)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response, err := t.exchange(conn, request)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, cmp.Or(context.Cause(ctx), err)
	}
	response.Body = &body{Reader: response.Body, ctx: ctx, conn: conn, stop: stop}
	return response, nil
}

// connect opens a connection for a URL, with TLS if its scheme is https.
func (t *Transport) connect(ctx context.Context, target *url.URL) (net.Conn, error) {
	conn, err := t.Dial(ctx, "tcp", target.Host)
	if err != nil || target.Scheme != "https" {
		return conn, err
	}
	config := t.TLS.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		config.ServerName = target.Hostname()
	}
	if t.HandshakeTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.HandshakeTimeout)
		defer cancel()
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("streamhttp: TLS handshake with %s: %w", target.Host, err)
	}
	return secured, nil
}

// exchange sends a request and reads the head of its response. The response's body reads from the connection.
func (t *Transport) exchange(conn net.Conn, request *http.Request) (*http.Response, error) {
	outgoing := request.Clone(request.Context())
	outgoing.Close = true // the connection is not reused
	if err := outgoing.Write(conn); err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: conn, N: cmp.Or(t.MaxHeaderBytes, defaultMaxHeaderBytes)}
	in := bufio.NewReaderSize(limited, readBufferBytes)
	response, err := readFinalHead(in, request)
	if err != nil && limited.N <= 0 {
		return nil, ErrHeaderTooLong
	}
	if err != nil {
		return nil, err
	}
	limited.N = math.MaxInt64
	if len(response.TransferEncoding) > 0 {
		response.Body = io.NopCloser(chunked.NewReader(in)) // replaces that of net/http, which has read nothing yet
	}
	return response, nil
}

// readFinalHead reads the head of a response, and skips interim responses before it.
func readFinalHead(in *bufio.Reader, request *http.Request) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		response, err := http.ReadResponse(in, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, ErrTooManyInterims
}

// body is the body of a response. Unlike that of net/http it does not read the rest of the response when it is closed.
type body struct {
	io.Reader
	ctx  context.Context // of the request
	conn net.Conn
	stop func() bool // ends the wait for the end of ctx
}

// Read implements io.Reader. After the end of the request's context the error is its cause.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = cmp.Or(context.Cause(b.ctx), err)
	}
	return n, err
}

// Close implements io.Closer. It closes the connection.
func (b *body) Close() error {
	b.stop()
	return b.conn.Close()
}
