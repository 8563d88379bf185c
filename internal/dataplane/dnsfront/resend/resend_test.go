package resend

import (
	"testing"
	"time"
)

// The delay follows round trips, and a query that was sent twice does not change it.
func TestDelayFollowsRoundTripTime(t *testing.T) {
	l := New()
	if w, ok := l.Delay(0); !ok || w != initialDelay {
		t.Errorf("of nothing known: %v", w)
	}
	for range 100 {
		l.Answered(20*time.Millisecond, true)
		l.Answered(time.Second, false)
	}
	if w, _ := l.Delay(0); w < 20*time.Millisecond || w > 25*time.Millisecond {
		t.Errorf("of a steady 20 ms: %v", w)
	}
	one, _ := l.Delay(0)
	if two, ok := l.Delay(1); !ok || two != 2*one {
		t.Errorf("the second: %v", two)
	}
	if _, ok := l.Delay(maxResends); ok {
		t.Error("sent again without end")
	}
	for range 100 {
		l.Answered(time.Millisecond, true)
	}
	if w, _ := l.Delay(0); w != minDelay {
		t.Errorf("of a quick one: %v", w)
	}
}

// A server that does not answer gets few resends; behind a network that loses a third, each loss is resent.
func TestResendBudgetFollowsAnswers(t *testing.T) {
	l, dead := New(), 0
	for range 1000 {
		if l.TakeCredit() {
			dead++
		}
	}
	if dead != maxCredit {
		t.Errorf("%d of 1000 to a dead server", dead)
	}
	l, refused := New(), 0
	for i := range 1000 {
		lost := i%3 == 0
		if lost && !l.TakeCredit() {
			refused++
			continue
		}
		l.Answered(time.Millisecond, !lost)
	}
	if refused > 0 {
		t.Errorf("%d lost ones were not sent again", refused)
	}
}
