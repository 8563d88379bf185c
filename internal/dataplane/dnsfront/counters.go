package dnsfront

import (
	"birchmoor/internal/platform/metrics"
)

// Counters are what the front counts besides the final answers of classes.
type Counters struct {
	Malformed     *metrics.Counter // queries that could not be read, or are none
	Unrouted      *metrics.Counter // of no class
	Repeated      *metrics.Counter // a client's repetitions of its open query
	AnswersShared *metrics.Counter // queries that shared another's answer
	Shed          *metrics.Counter // turned away for want of room
	RateTruncated *metrics.Counter // over the rate, answered truncated
	RateDropped   *metrics.Counter // over the rate, not answered
	Unsent        *metrics.Counter // answers that the client's socket or connection did not take
	Resent        *metrics.Counter // datagrams sent once more to the same server
	Truncated     *metrics.Counter // servers' answers asked for again over TCP
	SocketsShared *metrics.Counter // queries without a socket of their own
	UnknownID     *metrics.Counter // servers' messages that no open query has the id of: late, forged
	Mismatched    *metrics.Counter // with an id, but not the answer to its query
	Duplicate     *metrics.Counter // a second answer to an open query
}

// newCounters returns counts that r shows.
func newCounters(r *metrics.Registry) *Counters {
	return &Counters{Malformed: r.NewCounter("malformed_total"), Unrouted: r.NewCounter("unrouted_total"),
		Repeated: r.NewCounter("joined_total"), AnswersShared: r.NewCounter("followed_total"), Shed: r.NewCounter("shed_total"),
		RateTruncated: r.NewCounter("slipped_total"), RateDropped: r.NewCounter("dropped_total"), Unsent: r.NewCounter("unsent_total"),
		Resent: r.NewCounter("resent_total"), Truncated: r.NewCounter("truncated_total"), SocketsShared: r.NewCounter("shared_sockets_total"),
		UnknownID: r.NewCounter("unasked_total"), Mismatched: r.NewCounter("mismatched_total"), Duplicate: r.NewCounter("doubled_total")}
}
