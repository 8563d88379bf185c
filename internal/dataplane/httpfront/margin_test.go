package httpfront

import "testing"

// Calls come in rows: what one level will wait is the time of the next one's client, whole milliseconds and rounded up. Least is what
// has to be left of it behind 14 levels.
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
