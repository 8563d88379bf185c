package httpfront

import (
	"testing"
)

// Services call each other through sidecars: the time that one level waits is the timeout of the next level's
// client, in whole milliseconds, rounded up. After 14 levels between least and most of it must be left.
func TestAnswerMarginLeavesTimeThroughManyLevels(t *testing.T) {
	for _, tc := range []struct{ ms, least, most int64 }{{1000, 930, 930}, {50, 20, 40}, {10, 10, 10}, {5, 0, 0}} {
		left := tc.ms * 1000
		for level := range 14 {
			m := AnswerMargin(left)
			if m < 0 || m > maxAnswerMargin.Microseconds() || left > maxAnswerMargin.Microseconds() && 20*m > left {
				t.Errorf("level %d keeps %d of %d us", level+1, m, left)
			}
			left = (left - m + 999) / 1000 * 1000
		}
		if left < tc.least*1000 || left > tc.most*1000 {
			t.Errorf("of %d ms %d us are left behind 14 levels, want %d to %d ms", tc.ms, left, tc.least, tc.most)
		}
	}
}
