// Package resend decides when a datagram without an answer is sent once more to the same server, as a part of the
// same attempt: networks lose datagrams, and a lost one is no failure of the server. Whether another server is
// asked is decided by package balancer. It does no I/O, is told durations, and imports only the standard library.
//
// The delay is TCP's retransmission timeout (RFC 6298): the smoothed round-trip time and four times its variation,
// doubled for each resend, measured only by datagrams that were sent once (Karn's algorithm). A budget bounds
// resends: each answer earns a part of one, so that a server that is dead or overloaded does not get more load than
// before.
package resend

import "time"

const (
	creditPerAnswer = 0.5 // resends; 0.4 are needed where a third of the round trips is lost
	maxCredit       = 10  // resends, also the initial credit
	maxResends      = 2   // per attempt

	initialDelay = 100 * time.Millisecond // while no round trip was measured
	minDelay     = 10 * time.Millisecond  // two datagrams within less are likely to be lost to the same congestion

	// Weights of a new round trip in the averages (RFC 6298).
	rttGain       = 8 // one eighth
	variationGain = 4 // one quarter
)

// Link is what is known about the path to a server. One goroutine at a time may use it.
type Link struct {
	hasRTT       bool
	smoothedRTT  time.Duration
	rttVariation time.Duration
	credit       float64
}

// New returns a link without measurements.
func New() *Link { return &Link{credit: maxCredit} }

// Delay returns how long after a datagram was sent the next is due, where resends have been sent before it; false if
// there is to be no other.
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

// TakeCredit reports whether the budget allows a resend now, and takes it from the budget.
func (l *Link) TakeCredit() bool {
	if l.credit < 1 {
		return false
	}
	l.credit--
	return true
}

// Answered records an answer and its round-trip time. A query that was sent more than once does not tell its
// round-trip time, since the answer may belong to any of the datagrams.
func (l *Link) Answered(roundTrip time.Duration, sentOnce bool) {
	l.credit = min(maxCredit, l.credit+creditPerAnswer)
	switch {
	case !sentOnce:
	case !l.hasRTT:
		l.hasRTT = true
		l.smoothedRTT = roundTrip
		l.rttVariation = roundTrip / 2
	default:
		l.rttVariation += ((l.smoothedRTT - roundTrip).Abs() - l.rttVariation) / variationGain
		l.smoothedRTT += (roundTrip - l.smoothedRTT) / rttGain
	}
}
