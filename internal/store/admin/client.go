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

	"birchmoor/internal/platform/streamhttp"
	"birchmoor/internal/store"
	"birchmoor/internal/store/engine"
)

// Client is a client of a Server. Its methods are safe for concurrent use.
type Client struct {
	http    *http.Client
	streams *http.Client

	// Timeout is how long the server may take to answer; 0 means the server's default. It should end before the
	// deadline of a call's context, so that the server's own error, such as an unknown outcome, still arrives.
	Timeout time.Duration
}

// Dial returns a client of the Unix socket at a path. It connects when it is first used.
func Dial(path string) *Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}
	return &Client{
		http:    &http.Client{Transport: &http.Transport{DialContext: dial}},
		streams: &http.Client{Transport: &streamhttp.Transport{Dial: dial}},
	}
}

// ResponseError is an error that a server answered with.
type ResponseError struct {
	Status int // HTTP status
	ErrorBody
}

// Error returns the text that the server sent.
func (e *ResponseError) Error() string { return e.ErrorBody.Error }

// Do sends a request. If the status of the response is OK, it returns the response, whose body the caller must close.
// Otherwise the error is a *ResponseError if the response has an ErrorBody.
func (c *Client) Do(
	ctx context.Context, method, path string, query url.Values, body io.Reader,
) (*http.Response, error) {
	return c.send(ctx, c.http, method, path, query, body)
}

// Stream sends a GET request as Do does. The bytes of the response can be read as they arrive.
func (c *Client) Stream(ctx context.Context, path string, query url.Values) (*http.Response, error) {
	return c.send(ctx, c.streams, http.MethodGet, path, query, nil)
}

func (c *Client) send(
	ctx context.Context, client *http.Client, method, path string, query url.Values, body io.Reader,
) (*http.Response, error) {
	if c.Timeout > 0 {
		values := url.Values{"timeout": {c.Timeout.String()}}
		maps.Copy(values, query)
		query = values
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://store"+path+"?"+query.Encode(), body)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
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
		return nil, fmt.Errorf("the store answered with status %s and no readable error", response.Status)
	}
	return nil, responseErr
}

// Call sends a request with in as its JSON body, or without a body if in is nil, and decodes the answer into out.
// Errors are those of Do.
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

// Range reads items. The query selects them by key, by prefix, or by from and end (exclusive), and may have limit and
// stale.
func (c *Client) Range(ctx context.Context, query url.Values) (response RangeResponse, err error) {
	err = c.Call(ctx, http.MethodGet, rangePath, query, nil, &response)
	return response, err
}

// Change sends one change and returns its outcome. If the change may have been made although it failed, the error is a
// *ResponseError with OutcomeUnknown.
func (c *Client) Change(ctx context.Context, request ChangeRequest) (response ChangeResponse, err error) {
	err = c.Call(ctx, http.MethodPost, ChangePath, nil, request, &response)
	return response, err
}

// Leases returns all leases with their keys.
func (c *Client) Leases(ctx context.Context) (leases []LeaseInfo, err error) {
	err = c.Call(ctx, http.MethodGet, leasesPath, nil, nil, &leases)
	return leases, err
}

// TransferLeadership has the replica transfer its leadership to another one.
func (c *Client) TransferLeadership(ctx context.Context) error {
	return c.Call(ctx, http.MethodPost, transferPath, nil, nil, &struct{}{})
}

// SaveSnapshot writes a snapshot of the complete state to w and returns its revision in decimal.
func (c *Client) SaveSnapshot(ctx context.Context, w io.Writer) (revision string, err error) {
	response, err := c.Do(ctx, http.MethodGet, snapshotPath, nil, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(w, response.Body)
	return response.Header.Get(revisionHeader), err
}

// Watch calls onEvent with changes until ctx ends, onEvent fails, or the store cannot continue. In the last case the
// error is a *ResponseError with status http.StatusGone. The query may have prefix, and after, the revision after which
// the watch begins.
func (c *Client) Watch(ctx context.Context, query url.Values, onEvent func(store.Event) error) error {
	response, err := c.Stream(ctx, watchPath, query)
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
