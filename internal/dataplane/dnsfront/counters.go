package dnsfront

import "birchmoor/internal/platform/metrics"

// Counters are what the front counts besides the final answers of classes.
type Counters struct {
	// Of clients' queries.
	Malformed     *metrics.Counter // could not be parsed, or are not queries
	Unrouted      *metrics.Counter // belong to no class
	Repeated      *metrics.Counter // repeat an open query of the same client
	AnswersShared *metrics.Counter // were answered by another query's lookup
	Shed          *metrics.Counter // rejected since too many were open
	RateTruncated *metrics.Counter // over the rate, answered truncated
	RateDropped   *metrics.Counter // over the rate, not answered
	Unsent        *metrics.Counter // have an answer that the client's socket or connection did not accept

	// Of attempts at servers.
	Resent        *metrics.Counter // datagrams sent once more to the same server
	Truncated     *metrics.Counter // answers asked for again over TCP
	SocketsShared *metrics.Counter // queries without a socket of their own
	UnknownID     *metrics.Counter // messages with the ID of no open query: late or forged
	Mismatched    *metrics.Counter // messages with a query's ID that are not its answer
	Duplicate     *metrics.Counter // second answers to an open query
}

// newCounters returns counters that registry exports.
func newCounters(registry *metrics.Registry) *Counters {
	return &Counters{
		Malformed:     registry.NewCounter("malformed_total"),
		Unrouted:      registry.NewCounter("unrouted_total"),
		Repeated:      registry.NewCounter("joined_total"),
		AnswersShared: registry.NewCounter("followed_total"),
		Shed:          registry.NewCounter("shed_total"),
		RateTruncated: registry.NewCounter("slipped_total"),
		RateDropped:   registry.NewCounter("dropped_total"),
		Unsent:        registry.NewCounter("unsent_total"),
		Resent:        registry.NewCounter("resent_total"),
		Truncated:     registry.NewCounter("truncated_total"),
		SocketsShared: registry.NewCounter("shared_sockets_total"),
		UnknownID:     registry.NewCounter("unasked_total"),
		Mismatched:    registry.NewCounter("mismatched_total"),
		Duplicate:     registry.NewCounter("doubled_total"),
	}
}
