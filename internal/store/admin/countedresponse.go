package admin

import (
	"net/http"

	"birchmoor/internal/store/usage"
)

// countUsage wraps a handler so that its requests and answers are counted for a purpose. The handler may change the
// purpose of its answer with setPurpose. A GET request counts as a message of no bytes; handlers of other requests
// count them themselves.
func (s *FollowerServer) countUsage(purpose usage.Purpose, handler http.HandlerFunc) http.HandlerFunc {
	recorder := s.cfg.Usage
	if recorder == nil {
		return handler
	}
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			recorder.Count(purpose, usage.In, 1, 0)
		}
		handler(&countedResponse{ResponseWriter: w, recorder: recorder, purpose: purpose, pendingMessages: 1}, r)
	}
}

// countedResponse counts bytes immediately before they are written, and a message with the first bytes.
type countedResponse struct {
	http.ResponseWriter
	recorder        *usage.Recorder
	purpose         usage.Purpose
	pendingMessages int // messages to count with the next bytes
}

func (r *countedResponse) Write(b []byte) (int, error) {
	r.recorder.Count(r.purpose, usage.Out, r.pendingMessages, len(b))
	r.pendingMessages = 0
	return r.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer, which http.ResponseController needs.
func (r *countedResponse) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// setPurpose counts the bytes that are written next as a new message for a purpose.
func setPurpose(w http.ResponseWriter, purpose usage.Purpose) {
	if counted, ok := w.(*countedResponse); ok {
		counted.purpose = purpose
		counted.pendingMessages = 1
	}
}

// unwrapCounted returns the underlying writer of net/http, which http.MaxBytesReader needs to close the connection
// after a body that is too long.
func unwrapCounted(w http.ResponseWriter) http.ResponseWriter {
	if counted, ok := w.(*countedResponse); ok {
		return counted.ResponseWriter
	}
	return w
}
