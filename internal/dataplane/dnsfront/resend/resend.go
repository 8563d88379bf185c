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
	earned  = 0.5 // resends for each answer: with a third of the round trips lost 0.4 are needed
	most    = 10  // saved up, and at the beginning
	unknown = 100 * time.Millisecond
	least   = 10 * time.Millisecond // two datagrams in so short a time meet the same shortage
	times   = 2                     // an attempt
)

// Link is what is known of the way to a server. It is for one goroutine at a time.
type Link struct {
	seen      bool
	trip, dev time.Duration
	credit    float64
}

// New returns a link of which nothing is known.
func New() *Link { return &Link{credit: most} }

// Wait is how long after the n-th sending of an attempt, counted from 0, the next is due; false if there is none.
func (l *Link) Wait(n int) (time.Duration, bool) {
	if n >= times {
		return 0, false
	}
	wait := unknown
	if l.seen {
		wait = max(least, l.trip+4*l.dev)
	}
	return wait << n, true
}

// Take says whether something may be sent again now, and pays for it.
func (l *Link) Take() bool {
	if l.credit < 1 {
		return false
	}
	l.credit--
	return true
}

// Answered takes an answer, after a round trip; once says that its query went out once.
func (l *Link) Answered(trip time.Duration, once bool) {
	l.credit = min(most, l.credit+earned)
	switch {
	case !once:
	case !l.seen:
		l.seen, l.trip, l.dev = true, trip, trip/2
	default:
		l.dev += ((l.trip - trip).Abs() - l.dev) / 4
		l.trip += (trip - l.trip) / 8
	}
}
