// Package resend decides when a query without an answer is sent again over UDP to the same server, as a part of the
// same attempt: networks lose datagrams, and a lost datagram is no failure of the server. Package balancer decides
// whether the query is retried at another server. Package resend does no I/O, takes durations as parameters, and
// imports only the standard library.
//
// The delay before a resend is TCP's retransmission timeout (RFC 6298): the smoothed round-trip time plus four times
// its variation, doubled for each resend, and measured only by queries that were sent once (Karn's algorithm). A budget
// limits resends: each answer earns a fraction of a resend, so that a dead or overloaded server receives hardly more
// datagrams than without resends.
package resend

import "time"

const (
	creditPerAnswer = 0.5 // resends; 0.4 are needed if a third of the round trips is lost
	maxCredit       = 10  // resends; also the initial credit
	maxResends      = 2   // per attempt

	initialDelay = 100 * time.Millisecond // until a round trip has been measured
	minDelay     = 10 * time.Millisecond  // datagrams less than this apart are likely to be lost in the same congestion

	// The weight of a new round trip in each average is the reciprocal of the divisor (RFC 6298).
	rttWeightDivisor       = 8
	variationWeightDivisor = 4
)

// Link holds the round-trip times and the resend budget of the path to a server. Only one goroutine at a time may use
// it.
type Link struct {
	hasRTT       bool // whether a round trip has been measured
	smoothedRTT  time.Duration
	rttVariation time.Duration
	credit       float64 // resends that the budget allows now
}

// New returns a Link without measurements and with the full budget.
func New() *Link { return &Link{credit: maxCredit} }

// Delay returns how long to wait for an answer before the next resend. resends is the number of resends that the
// attempt has already sent. It returns false if the attempt may send no other.
func (l *Link) Delay(resends int) (time.Duration, bool) {
	if resends >= maxResends {
		return 0, false
	}
	delay := initialDelay
	if l.hasRTT {
		delay = max(minDelay, l.smoothedRTT+4*l.rttVariation)
	}
	return delay << resends, true
}

// TakeCredit takes a resend from the budget. It returns false if the budget allows none.
func (l *Link) TakeCredit() bool {
	if l.credit < 1 {
		return false
	}
	l.credit--
	return true
}

// Answered records an answer to a query, and the time since the query was first sent. If the query was sent more than
// once, that is not a round-trip time, since the answer may belong to any of the datagrams.
func (l *Link) Answered(roundTrip time.Duration, sentOnce bool) {
	l.credit = min(maxCredit, l.credit+creditPerAnswer)
	switch {
	case !sentOnce:
	case !l.hasRTT:
		l.hasRTT = true
		l.smoothedRTT = roundTrip
		l.rttVariation = roundTrip / 2
	default:
		l.rttVariation += ((l.smoothedRTT - roundTrip).Abs() - l.rttVariation) / variationWeightDivisor
		l.smoothedRTT += (roundTrip - l.smoothedRTT) / rttWeightDivisor
	}
}
