package httpfront

import (
	"log/slog"
	"time"

	"birchmoor/internal/dataplane/core"
)

// requestEnd is why a request ended without being served, for the log.
type requestEnd string

const (
	endRejected     requestEnd = "rejected: it never ran"
	endFailed       requestEnd = "failed: it may have run"
	endTimeout      requestEnd = "no answer in time"
	endDuplicateID  requestEnd = "another request has its ID"
	endUnread       requestEnd = "the client did not take the answer"
	endAnswerCut    requestEnd = "the endpoint's answer broke off"
	endClientLeft   requestEnd = "the client left"
	endSurplusBytes requestEnd = surplusReason
)

// endOf returns the end of a request with a final answer other than Served.
func endOf(disposition core.Disposition) requestEnd {
	switch disposition {
	case core.Rejected:
		return endRejected
	case core.DuplicateID:
		return endDuplicateID
	case core.FailedTimeout:
		return endTimeout
	default:
		return endFailed
	}
}

// endOfStream returns the end of a request whose streamed answer was not passed on completely.
func endOfStream(end core.StreamEnd) requestEnd {
	if end == core.StreamCut {
		return endAnswerCut
	}
	return endUnread
}

// logRequestEnd logs the end of a request that was not served. read is the number of bytes that were read from the
// client for it; sent, that of the answer's body, if it was streamed.
func (s *Server) logRequestEnd(c *client, req *core.Request, end requestEnd, sent int64) {
	s.requestEvents.add(
		slog.String("id", req.ID),
		slog.String("class", req.Class),
		slog.String("reason", string(end)),
		slog.Duration("after", time.Since(c.requestReadAt).Round(time.Millisecond)),
		slog.Int64("read", c.paced.received.Load()),
		slog.Int64("sent", sent),
	)
}

// logRejected logs that a request was not accepted, since it is malformed or there is no memory for it.
func (s *Server) logRejected(c *client, code int, reason string) {
	s.rejectEvents.add(
		slog.String("client", c.RemoteAddr().String()),
		slog.Int("status", code),
		slog.String("reason", reason),
		slog.Int64("read", c.paced.received.Load()),
	)
}
