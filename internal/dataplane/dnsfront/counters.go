package dnsfront

import "birchmoor/internal/platform/metrics"

// Counters are the front's metrics besides the final answers of each class. They may be used from any goroutine.
type Counters struct {
	// Counts of messages from clients.
	Malformed     *metrics.Counter // invalid or unsupported queries, and messages that are no queries
	Unrouted      *metrics.Counter // queries that belong to no class
	Repeated      *metrics.Counter // queries that repeat an open query of the same client
	AnswersShared *metrics.Counter // queries that joined the lookup of another query
	Shed          *metrics.Counter // queries rejected because too many were open
	RateTruncated *metrics.Counter // queries over the client's rate, answered truncated and empty
	RateDropped   *metrics.Counter // queries over the client's rate, not answered
	Unsent        *metrics.Counter // answers that could not be encoded or written to the client

	// Counts of attempts at servers.
	Resent        *metrics.Counter // datagrams sent again to the same server
	Truncated     *metrics.Counter // truncated answers over UDP
	SocketsShared *metrics.Counter // queries that shared a UDP socket with others
	UnknownID     *metrics.Counter // messages without an open query of their ID: late or forged
	// messages that are no valid answer to the open query with their ID, and those too short
	Mismatched *metrics.Counter
	Duplicate  *metrics.Counter // further answers to an open query
}

// newCounters returns counters that registry exports under the names given here.
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
