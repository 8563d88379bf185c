package serverstate

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

const (
	milli  = int64(1e6) // nanoseconds
	second = int64(1e9) // nanoseconds
)

// committedReport is a change of the store that a simulated proposal made at a time in nanoseconds.
type committedReport struct {
	committedAt int64
	revision    uint64
	deleted     bool
}

// Any number of daemons that observe a subject at about the same time make one change of the store, and one more at
// each renewal. The number of proposals without effect is bounded by the store's latency divided by the spread. Once no
// daemon observes the subject any more, its report expires once, and not before its retention has passed.
func TestReportSchedulerWritesOneReportForManyDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemonCount := rapid.IntRange(1, 40).Draw(t, "daemons")
		latency := rapid.Int64Range(1, 20).Draw(t, "delay") * milli
		observedWithinMillis := rapid.Int64Range(0, 100).Draw(t, "late")
		schedule := ReportSchedule{
			Spread:        200 * milli,
			RenewInterval: 2000 * milli,
			Retention:     5000 * milli,
			MaxObserved:   4,
		}
		var daemons []*ReportScheduler
		for i := range daemonCount {
			daemons = append(daemons, NewReportScheduler(fmt.Sprint("d", i), schedule))
		}
		var changes []committedReport
		var revision uint64
		var committedAt, expiredAt int64
		delivered, proposals := 0, 0
		const withdrawnAtMillis = 5000
		for now := milli; now < 14_000*milli; now += milli {
			for ; delivered < len(changes) && changes[delivered].committedAt+latency <= now; delivered++ {
				change := changes[delivered]
				for _, daemon := range daemons {
					daemon.Committed(now, "k", change.revision, change.deleted)
				}
			}
			for i, daemon := range daemons {
				switch {
				case now/milli == 1+int64(i)*observedWithinMillis/int64(daemonCount):
					daemon.Observe(now, "k")
				case now/milli == withdrawnAtMillis:
					daemon.Withdraw("k")
				}
				due, expired := daemon.Due(now)
				if len(due) > 0 {
					proposals++
					// The condition stands for the comparison in the proposal's transaction.
					if revision == 0 || now-committedAt >= schedule.RenewInterval {
						revision++
						committedAt = now
						changes = append(changes, committedReport{now, revision, false})
					}
				}
				if len(expired) > 0 && expiredAt == 0 {
					expiredAt = now
					if now-committedAt < schedule.Retention {
						t.Fatalf("the report expired %d ms after it was committed, before its retention",
							(now-committedAt)/milli)
					}
					changes = append(changes, committedReport{now, revision + 1, true})
				}
			}
		}
		if revision != 3 || expiredAt == 0 {
			t.Fatalf("%d changes while the subject was observed for 5 s, want 3; it expired at %d ms (0: never)",
				revision, expiredAt/milli)
		}
		maxExtra := 3 * (4 + 4*float64(daemonCount)*float64(latency)/float64(schedule.Spread))
		if extra := proposals - int(revision); float64(extra) > maxExtra {
			t.Fatalf("%d proposals for %d changes by %d daemons at a store latency of %d ms",
				proposals, revision, daemonCount, latency/milli)
		}
		for _, daemon := range daemons {
			if len(daemon.reports) > 0 {
				t.Fatal("a scheduler still has the report after its deletion")
			}
		}
	})
}

func TestReportSchedulerLimitsObservedReports(t *testing.T) {
	scheduler := NewReportScheduler("a", ReportSchedule{Spread: 1, Retention: 9, MaxObserved: 2})
	for i, want := range []bool{false, false, true, false} {
		if _, limitReached := scheduler.Observe(1, fmt.Sprint(i)); limitReached != want {
			t.Errorf("Observe of key %d returned limitReached %v", i, limitReached)
		}
	}
	scheduler.Withdraw("0")
	if due, _ := scheduler.Observe(1, "9"); due == 0 || scheduler.Observes("2") {
		t.Error("key 9 is not observed after Withdraw of key 0, or key 2 is observed over the limit")
	}
}
