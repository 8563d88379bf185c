// Package resend decides when a datagram that has no answer yet is sent once more to the same server, as a part of the same
// attempt: datagrams get lost, and a network that loses some is no failure of the servers behind it. Whether another
// server is asked is not its matter. It does no I/O and is told durations.
//
// The wait is TCP's (RFC 6298): the smoothed round trip and four times its deviation, doubled each time, with samples of
// datagrams that went out once alone (Karn). The bound is a budget that answers pay in: a server that answers may be sent
// something again, one that is dead or jammed is not met with more than before.
package resend

import "time"

const (
	creditPerAnswer = 0.5 // resends for each answer: with a third of the round trips lost 0.4 are needed
	maxCredit       = 10  // saved up, and at the beginning
	initialDelay    = 100 * time.Millisecond
	minDelay        = 10 * time.Millisecond // two datagrams in so short a time meet the same shortage
	maxResends      = 2                     // an attempt
)

// Link is what is known of the way to a server. It is for one goroutine at a time.
type Link struct {
	hasRTT                    bool
	smoothedRTT, rttVariation time.Duration
	credit                    float64
}

// New returns a link of which nothing is known.
func New() *Link { return &Link{credit: maxCredit} }

// Delay is how long after the n-th sending of an attempt, counted from 0, the next is due; false if there is none.
func (l *Link) Delay(n int) (time.Duration, bool) {
	if n >= maxResends {
		return 0, false
	}
	wait := initialDelay
	if l.hasRTT {
		wait = max(minDelay, l.smoothedRTT+4*l.rttVariation)
	}
	return wait << n, true
}

// TakeCredit says whether something may be sent again now, and pays for it.
func (l *Link) TakeCredit() bool {
	if l.credit < 1 {
		return false
	}
	l.credit--
	return true
}

// Answered takes an answer, after a round trip; once says that its query went out once.
func (l *Link) Answered(trip time.Duration, once bool) {
	l.credit = min(maxCredit, l.credit+creditPerAnswer)
	switch {
	case !once:
	case !l.hasRTT:
		l.hasRTT, l.smoothedRTT, l.rttVariation = true, trip, trip/2
	default:
		l.rttVariation += ((l.smoothedRTT - trip).Abs() - l.rttVariation) / 4
		l.smoothedRTT += (trip - l.smoothedRTT) / 8
	}
}
