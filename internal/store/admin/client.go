package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/engine"
)

// Client calls a Server. Its methods may be called by any goroutine.
type Client struct {
	http *http.Client

	// Timeout, unless it is 0, is how long the server may take for an answer. Set it lower than the deadline of the
	// contexts of calls, so that the server's own answer, such as that an outcome is unknown, still arrives.
	Timeout time.Duration
}

// Dial returns a client of the socket at a path. It connects with the first call.
func Dial(path string) *Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}
	return &Client{http: &http.Client{Transport: &http.Transport{DialContext: dial}}}
}

// ResponseError is an error that a server sent.
type ResponseError struct {
	Status int // of HTTP
	ErrorBody
}

// Error is the text that the server sent.
func (e *ResponseError) Error() string { return e.ErrorBody.Error }

// Do sends a request and returns the response if its status is OK; its body is to be closed. Another status is a
// *ResponseError.
func (c *Client) Do(
	ctx context.Context, method, path string, query url.Values, body io.Reader,
) (*http.Response, error) {
	if c.Timeout > 0 {
		withTimeout := url.Values{"timeout": {c.Timeout.String()}}
		maps.Copy(withTimeout, query)
		query = withTimeout
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://store"+path+"?"+query.Encode(), body)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	responseErr := &ResponseError{Status: response.StatusCode}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes))
	if err := decoder.Decode(&responseErr.ErrorBody); err != nil {
		return nil, fmt.Errorf("the store answered %s", response.Status)
	}
	return nil, responseErr
}

// Call sends in as JSON, unless it is nil, and decodes the answer into out.
func (c *Client) Call(ctx context.Context, method, path string, query url.Values, in, out any) error {
	var body io.Reader
	if in != nil {
		reader, writer := io.Pipe()
		go func() { _ = writer.CloseWithError(json.NewEncoder(writer).Encode(in)) }()
		body = reader
	}
	response, err := c.Do(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(out)
}

// Status returns the status of the store.
func (c *Client) Status(ctx context.Context) (status engine.Status, err error) {
	err = c.Call(ctx, http.MethodGet, statusPath, nil, nil, &status)
	return status, err
}

// Range reads keys. The query has key, or prefix, or from and end; and limit and stale.
func (c *Client) Range(ctx context.Context, query url.Values) (response RangeResponse, err error) {
	err = c.Call(ctx, http.MethodGet, rangePath, query, nil, &response)
	return response, err
}

// Change requests a change.
func (c *Client) Change(ctx context.Context, request ChangeRequest) (response ChangeResponse, err error) {
	err = c.Call(ctx, http.MethodPost, ChangePath, nil, request, &response)
	return response, err
}

// Leases lists all leases and their keys.
func (c *Client) Leases(ctx context.Context) (leases []LeaseInfo, err error) {
	err = c.Call(ctx, http.MethodGet, leasesPath, nil, nil, &leases)
	return leases, err
}

// TransferLeadership makes the replica give leadership away, if it leads.
func (c *Client) TransferLeadership(ctx context.Context) error {
	return c.Call(ctx, http.MethodPost, transferPath, nil, nil, &struct{}{})
}

// SaveSnapshot writes the state, and returns its revision.
func (c *Client) SaveSnapshot(ctx context.Context, w io.Writer) (revision string, err error) {
	response, err := c.Do(ctx, http.MethodGet, snapshotPath, nil, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(w, response.Body)
	return response.Header.Get(revisionHeader), err
}

// Watch calls onEvent with changes until ctx ends, onEvent fails, or the store cannot continue; that last is a
// *ResponseError of status http.StatusGone. The query has prefix and after.
func (c *Client) Watch(ctx context.Context, query url.Values, onEvent func(store.Event) error) error {
	response, err := c.Do(ctx, http.MethodGet, watchPath, query, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	for {
		var line struct {
			store.Event
			ErrorBody
		}
		if err := decoder.Decode(&line); err != nil {
			return err
		}
		if line.Error != "" {
			return &ResponseError{Status: http.StatusGone, ErrorBody: line.ErrorBody}
		}
		if err := onEvent(line.Event); err != nil {
			return err
		}
	}
}
