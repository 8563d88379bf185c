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
	requestTimeout = 3 * time.Second                    // after which another replica is tried
	serverTimeout  = requestTimeout - requestTimeout/10 // leaves time for the replica to answer that it timed out
)

func (f *Follower) url(index int, path string, query url.Values) string {
	scheme := "http"
	if f.cfg.Keys != nil {
		scheme = "https"
	}
	return scheme + "://" + f.cfg.Replicas[index].Addr + path + "?" + query.Encode()
}

// call sends a request to the replica with an index and decodes its answer into out. It counts the messages for a
// purpose. If the replica answers with an admin.ErrorBody, the error is an *admin.ResponseError. reached is true if the
// replica may have read the request.
func (f *Follower) call(
	ctx context.Context, index int, purpose usage.Purpose, method, path string, body []byte, out any,
) (reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	// The replica cannot have read the request before there is a connection, even if the request timed out.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	query := url.Values{"timeout": {serverTimeout.String()}}
	request, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), method, f.url(index, path, query), bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	response, err := f.clients[index].Do(request)
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
	responseErr := &admin.ResponseError{Status: response.StatusCode}
	if err := json.Unmarshal(answer, &responseErr.ErrorBody); err != nil {
		return fmt.Errorf("the replica answered with status %s and no readable error", response.Status)
	}
	return responseErr
}
