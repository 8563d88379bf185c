package resend

import (
	"testing"
	"time"
)

// The delay before a resend must follow the measured round-trip times. A query that was sent twice must not change it,
// since its answer may belong to either datagram.
func TestDelayFollowsRoundTripTime(t *testing.T) {
	link := New()
	if delay, ok := link.Delay(0); !ok || delay != initialDelay {
		t.Errorf("delay without measurements: %v, want initialDelay", delay)
	}
	for range 100 {
		link.Answered(20*time.Millisecond, true)
		link.Answered(time.Second, false)
	}
	if delay, _ := link.Delay(0); delay < 20*time.Millisecond || delay > 25*time.Millisecond {
		t.Errorf("delay after round trips of 20 ms: %v, want 20 to 25 ms", delay)
	}
	first, _ := link.Delay(0)
	if second, ok := link.Delay(1); !ok || second != 2*first {
		t.Errorf("delay before the second resend: %v, want twice that before the first", second)
	}
	if _, ok := link.Delay(maxResends); ok {
		t.Error("an attempt may send more than maxResends resends")
	}
	for range 100 {
		link.Answered(time.Millisecond, true)
	}
	if delay, _ := link.Delay(0); delay != minDelay {
		t.Errorf("delay after round trips of 1 ms: %v, want minDelay", delay)
	}
}

// A server that does not answer must receive only the resends of the initial budget. If the network loses a third of
// the datagrams, the budget must allow a resend for each loss.
func TestResendBudgetFollowsAnswers(t *testing.T) {
	link, resends := New(), 0
	for range 1000 {
		if link.TakeCredit() {
			resends++
		}
	}
	if resends != maxCredit {
		t.Errorf("the budget allows %d resends to a server that does not answer, want maxCredit", resends)
	}
	link, denied := New(), 0
	for i := range 1000 {
		lost := i%3 == 0
		if lost && !link.TakeCredit() {
			denied++
			continue
		}
		link.Answered(time.Millisecond, !lost)
	}
	if denied > 0 {
		t.Errorf("the budget denied %d resends after a loss, want none", denied)
	}
}
