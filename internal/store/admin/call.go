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
	defaultTimeout     = 10 * time.Second // of a request that does not say how long
	maxTimeout         = 10 * time.Minute
	streamWriteTimeout = 10 * time.Second // a client that does not read is cut off, and resumes where it was
)

// ErrBadRequest reports a request that is wrong in itself.
var ErrBadRequest = errors.New("bad request")

// Call answers a request by a value that is sent as JSON, or by an error that WriteError sends.
type Call func(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error)

// callHandler answers by a call, whose context ends with the time that the request gives itself.
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

func requestTimeout(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("timeout")
	if text == "" {
		return defaultTimeout, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, fmt.Errorf("%w: timeout: %q is not a duration within 0 and %v", ErrBadRequest, text, maxTimeout)
	}
	return timeout, nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client has gone
}

// WriteError answers with an ErrorBody, and with the status and the details of the error's kind.
func WriteError(w http.ResponseWriter, err error) {
	status := statusOf(err)
	if status == http.StatusServiceUnavailable && errors.Is(err, replica.ErrNoLeader) {
		w.Header().Set("Retry-After", "1")
	}
	body := ErrorBody{Error: err.Error()}
	switch status {
	case http.StatusGatewayTimeout:
		body.OutcomeUnknown = unknownRequest(err)
	case http.StatusGone:
		body.OldestRevision = oldestRevision(err)
	case http.StatusConflict:
		body.LeaseNotFound = errors.Is(err, store.ErrLeaseNotFound)
	}
	writeJSON(w, status, body)
}

func statusOf(err error) int {
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

// unknownRequest is the id of a request whose outcome is unknown, or nil if an error is another one.
func unknownRequest(err error) *store.RequestID {
	var unknown *engine.OutcomeUnknownError
	if !errors.As(err, &unknown) {
		return nil
	}
	return &unknown.ID
}

// oldestRevision is the oldest revision of a compacted history, or 0 if an error is another one.
func oldestRevision(err error) uint64 {
	var compacted *store.CompactedError
	if !errors.As(err, &compacted) {
		return 0
	}
	return compacted.Oldest
}

// notFoundError marks an error of something that does not exist.
type notFoundError struct{ error }

// Unwrap returns the marked error.
func (e notFoundError) Unwrap() error { return e.error }

// NotFound marks an error as one of something that does not exist; nil stays nil.
func NotFound(err error) error {
	if err == nil {
		return nil
	}
	return notFoundError{err}
}

// DecodeJSON decodes a body of bounded length. The error wraps ErrBadRequest; an unknown field is one.
func DecodeJSON(w http.ResponseWriter, r *http.Request, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return fmt.Errorf("%w: byte %d: %w", ErrBadRequest, decoder.InputOffset(), err)
	}
	return nil
}

// ParseNumber parses a parameter of a query, 0 if it is missing. The error wraps ErrBadRequest.
func ParseNumber(query url.Values, name string) (uint64, error) {
	text := query.Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %q is not a number", ErrBadRequest, name, text)
	}
	return number, nil
}
