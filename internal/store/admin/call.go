package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/replica"
)

const (
	maxBodyBytes       = 4 << 20
	defaultTimeout     = 10 * time.Second // for a request without a timeout in its query
	maxTimeout         = 10 * time.Minute
	streamWriteTimeout = 10 * time.Second // after which a client that does not read is disconnected; it can resume
)

// ErrBadRequest reports a request that is invalid whatever the state of the store.
var ErrBadRequest = errors.New("bad request")

// Call handles a request. Its result is sent as JSON, or its error by WriteError. It must not write to the
// http.ResponseWriter.
type Call func(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error)

// callHandler returns a handler that answers with the result of a call, whose context ends after the request's timeout.
func callHandler(call Call) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		timeout, err := requestTimeout(r)
		if err != nil {
			WriteError(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		answer, err := call(ctx, w, r)
		if err != nil {
			WriteError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}

// requestTimeout returns the timeout in the query of a request, or defaultTimeout.
func requestTimeout(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("timeout")
	if text == "" {
		return defaultTimeout, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, fmt.Errorf("%w: timeout: %q is not a positive duration of at most %v", ErrBadRequest, text,
			maxTimeout)
	}
	return timeout, nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

// WriteError answers with an ErrorBody that has the text and the details of an error, and with the HTTP status of its
// kind.
func WriteError(w http.ResponseWriter, err error) {
	status := httpStatus(err)
	if status == http.StatusServiceUnavailable && errors.Is(err, replica.ErrNoLeader) {
		w.Header().Set("Retry-After", "1")
	}
	body := ErrorBody{Error: err.Error()}
	switch status {
	case http.StatusGatewayTimeout:
		body.OutcomeUnknown = unknownRequestID(err)
	case http.StatusGone:
		body.OldestRevision = oldestRevision(err)
	case http.StatusConflict:
		body.LeaseNotFound = errors.Is(err, store.ErrLeaseNotFound)
	}
	writeJSON(w, status, body)
}

// httpStatus returns the HTTP status of an error, which is http.StatusServiceUnavailable for one of no known kind.
func httpStatus(err error) int {
	var (
		unknown   *engine.OutcomeUnknownError
		compacted *store.CompactedError
		notFound  notFoundError
		notHeld   *store.NotHeldError
	)
	switch {
	case errors.As(err, &unknown):
		return http.StatusGatewayTimeout
	case errors.As(err, &compacted):
		return http.StatusGone
	case errors.Is(err, store.ErrTooLarge), errors.Is(err, store.ErrBadKey), errors.Is(err, ErrBadRequest):
		return http.StatusBadRequest
	case errors.Is(err, store.ErrUnsupportedLevel):
		return http.StatusPreconditionFailed
	case errors.Is(err, store.ErrFull):
		return http.StatusInsufficientStorage
	case isConflict(err):
		return http.StatusConflict
	case errors.As(err, &notFound):
		return http.StatusNotFound
	case errors.As(err, &notHeld):
		return http.StatusMisdirectedRequest
	}
	return http.StatusServiceUnavailable
}

func isConflict(err error) bool {
	return errors.Is(err, store.ErrInvalidMember) || errors.Is(err, store.ErrLeaseNotFound) ||
		errors.Is(err, store.ErrRequestExpired)
}

// unknownRequestID returns the ID of the request whose outcome is unknown, or nil if err does not wrap an
// *engine.OutcomeUnknownError.
func unknownRequestID(err error) *store.RequestID {
	var unknown *engine.OutcomeUnknownError
	if !errors.As(err, &unknown) {
		return nil
	}
	return &unknown.ID
}

// oldestRevision returns the oldest revision of a compacted history, or 0 if err does not wrap a *store.CompactedError.
func oldestRevision(err error) uint64 {
	var compacted *store.CompactedError
	if !errors.As(err, &compacted) {
		return 0
	}
	return compacted.Oldest
}

// notFoundError marks an error that is sent with http.StatusNotFound.
type notFoundError struct{ error }

// Unwrap returns the marked error.
func (e notFoundError) Unwrap() error { return e.error }

// NotFound marks an error to be sent with http.StatusNotFound. It returns nil for nil.
func NotFound(err error) error {
	if err == nil {
		return nil
	}
	return notFoundError{err}
}

// DecodeJSON decodes the body of a request into v. The error wraps ErrBadRequest. Unknown fields, and bodies of more
// than maxBodyBytes, are errors.
func DecodeJSON(w http.ResponseWriter, r *http.Request, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return fmt.Errorf("%w: JSON at byte %d: %w", ErrBadRequest, decoder.InputOffset(), err)
	}
	return nil
}

// ParseNumber parses a decimal parameter of a query; a missing parameter is 0. The error wraps ErrBadRequest.
func ParseNumber(query url.Values, name string) (uint64, error) {
	text := query.Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %q is not an unsigned 64-bit number", ErrBadRequest, name, text)
	}
	return number, nil
}
