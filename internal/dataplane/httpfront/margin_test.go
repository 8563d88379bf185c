package httpfront

import (
	"testing"
)

// TestAnswerMarginLeavesTimeThroughManyLevels calls through 14 levels of sidecars. The time that one level leaves, in
// whole milliseconds and rounded up, is the timeout of the next level's client. Guards against a margin that uses up
// a short timeout on the way.
func TestAnswerMarginLeavesTimeThroughManyLevels(t *testing.T) {
	for _, tc := range []struct{ ms, minMs, maxMs int64 }{{1000, 930, 930}, {50, 20, 40}, {10, 10, 10}, {5, 0, 0}} {
		left := tc.ms * 1000
		for level := range 14 {
			m := AnswerMargin(left)
			if m < 0 || m > maxAnswerMargin.Microseconds() || left > maxAnswerMargin.Microseconds() && 20*m > left {
				t.Errorf("level %d: margin of %d for a timeout of %d us, want at most a twentieth and the maximum",
					level+1, m, left)
			}
			left = (left - m + 999) / 1000 * 1000
		}
		if left < tc.minMs*1000 || left > tc.maxMs*1000 {
			t.Errorf("of a timeout of %d ms, %d us are left after 14 levels, want %d to %d ms",
				tc.ms, left, tc.minMs, tc.maxMs)
		}
	}
}
