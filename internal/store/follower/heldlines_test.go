package follower

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"

	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/changefeed"
)

// startOneChunkProxy starts a proxy to a replica that passes each stream on as it comes, but within one long chunk, as a
// relay may. It returns the proxy's address and counts the streams.
func startOneChunkProxy(t *testing.T, addr string) (proxyAddr string, streams *atomic.Int32) {
	t.Helper()
	target := &url.URL{Scheme: "http", Host: addr}
	others := httputil.NewSingleHostReverseProxy(target)
	streams = &atomic.Int32{}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != admin.StreamPath {
			others.ServeHTTP(w, r)
			return
		}
		streams.Add(1)
		upstream, err := http.Get(target.String() + r.URL.RequestURI())
		if err != nil {
			return
		}
		defer func() { _ = upstream.Body.Close() }()
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		if scoped := upstream.Header.Get(admin.ScopedHeader); scoped != "" {
			head += admin.ScopedHeader + ": " + scoped + "\r\n"
		}
		_, _ = io.WriteString(conn, head+"\r\n10000000\r\n")
		_, _ = io.Copy(conn, upstream.Body)
	}
	listener := listen(t, "127.0.0.1:0")
	server := &http.Server{Handler: http.HandlerFunc(handler), ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), streams
}

// TestLinesOfStreamAreTakenBeforeTheirChunkEnds guards against changes, and so drains, that a follower does not take
// before later lines of their chunk have come: it took them when it gave up the stream for silence, 4 s later.
func TestLinesOfStreamAreTakenBeforeTheirChunkEnds(t *testing.T) {
	replica, addr := startReplica(t, nil)
	proxyAddr, streams := startOneChunkProxy(t, addr)
	for name, subscription := range map[string]changefeed.Subscription{
		"all keys":    {},
		"an interest": {Interest: prefixInterest("a/")},
	} {
		streams.Store(0)
		f := openFollower(t, t.TempDir(), subscription, proxyAddr)
		for _, value := range []string{name + " 1", name + " 2", name + " 3"} {
			put(t, replica, "a/key", value)
			f.eventuallyReads(t, "a/key", value)
		}
		if n := streams.Load(); n != 1 {
			t.Errorf("%s: the follower has opened %d streams, want 1: it did not take what had come", name, n)
		}
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}
}
