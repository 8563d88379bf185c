package follower

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/usage"
)

const (
	requestTimeout = 3 * time.Second                    // for a replica's answer, before another is tried
	serverTimeout  = requestTimeout - requestTimeout/10 // leaves time for the answer that it was exceeded
)

func (f *Follower) url(at int, path string, query url.Values) string {
	scheme := "http"
	if f.cfg.Keys != nil {
		scheme = "https"
	}
	return scheme + "://" + f.cfg.Replicas[at].Addr + path + "?" + query.Encode()
}

// call sends a request that counts for a purpose to a replica, and decodes the answer into out. An answer of
// another status than OK is an *admin.ResponseError. reached is true if the replica may have read the request.
func (f *Follower) call(
	ctx context.Context, at int, purpose usage.Purpose, method, path string, body []byte, out any,
) (reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	// Before there is a connection nothing can have been read, also if the time is up meanwhile.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	query := url.Values{"timeout": {serverTimeout.String()}}
	request, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), method, f.url(at, path, query), bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	response, err := f.clients[at].Do(request)
	if err != nil {
		if connected.Load() {
			f.cfg.Usage.Count(purpose, usage.Out, 1, len(body))
		}
		return connected.Load(), err
	}
	defer func() { _ = response.Body.Close() }()
	f.cfg.Usage.Count(purpose, usage.Out, 1, len(body))
	answer, readErr := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
	f.cfg.Usage.Count(purpose, usage.In, 1, len(answer))
	if response.StatusCode != http.StatusOK {
		return true, decodeError(response, answer)
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return true, errors.Join(readErr, err)
	}
	return true, nil
}

func decodeError(response *http.Response, answer []byte) error {
	sent := &admin.ResponseError{Status: response.StatusCode}
	if err := json.Unmarshal(answer, &sent.ErrorBody); err != nil {
		return fmt.Errorf("the replica answered %s", response.Status)
	}
	return sent
}
