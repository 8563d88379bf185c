package admin

import (
	"net/http"

	"birchmoor/internal/store/usage"
)

// counted counts the request and the answer of a handler for a purpose. The handler may change the purpose of
// what it writes by setPurpose. A request without a body is a message of no bytes; the handlers of others count
// them.
func (s *FollowerServer) counted(purpose usage.Purpose, handler http.HandlerFunc) http.HandlerFunc {
	recorder := s.cfg.Usage
	if recorder == nil {
		return handler
	}
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			recorder.Count(purpose, usage.In, 1, 0)
		}
		handler(&countedResponse{ResponseWriter: w, recorder: recorder, purpose: purpose, messages: 1}, r)
	}
}

// countedResponse counts the bytes that are written, before they are, and a message with the first of them.
type countedResponse struct {
	http.ResponseWriter
	recorder *usage.Recorder
	purpose  usage.Purpose
	messages int // to be counted with the next bytes
}

func (r *countedResponse) Write(b []byte) (int, error) {
	r.recorder.Count(r.purpose, usage.Out, r.messages, len(b))
	r.messages = 0
	return r.ResponseWriter.Write(b)
}

// Unwrap lets an http.ResponseController reach the connection.
func (r *countedResponse) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// setPurpose begins a message for a purpose with the bytes that are written next.
func setPurpose(w http.ResponseWriter, purpose usage.Purpose) {
	if counted, ok := w.(*countedResponse); ok {
		counted.purpose = purpose
		counted.messages = 1
	}
}

// uncounted is the writer of net/http itself, by which http.MaxBytesReader closes the connection of a body that
// is too long.
func uncounted(w http.ResponseWriter) http.ResponseWriter {
	if counted, ok := w.(*countedResponse); ok {
		return counted.ResponseWriter
	}
	return w
}
