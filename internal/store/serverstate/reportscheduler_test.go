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

// committedReport is a change of the store that a simulated proposal made.
type committedReport struct {
	at       int64
	revision uint64
	deleted  bool
}

// Any number of daemons that observe a subject at about the same time make one change of the store, and one
// again each time that it is due; the proposals that come to nothing are as many as the store's latency over
// the spread gives. Once no daemon observes the subject any more, the report expires, once, and not before its
// time.
func TestReportSchedulerMakesOneChangeOfManyDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "daemons")
		latency := rapid.Int64Range(1, 20).Draw(t, "delay") * milli
		observedWithin := rapid.Int64Range(0, 100).Draw(t, "late")
		schedule := ReportSchedule{
			Spread:        200 * milli,
			RenewInterval: 2000 * milli,
			Retention:     5000 * milli,
			MaxObserved:   4,
		}
		var daemons []*ReportScheduler
		for i := range n {
			daemons = append(daemons, NewReportScheduler(fmt.Sprint("d", i), schedule))
		}
		var changes []committedReport
		var revision uint64
		var committedAt, expiredAt int64
		delivered, proposals := 0, 0
		const withdrawnAtMillis = 5000
		for now := milli; now < 14_000*milli; now += milli {
			for ; delivered < len(changes) && changes[delivered].at+latency <= now; delivered++ {
				change := changes[delivered]
				for _, daemon := range daemons {
					daemon.Committed(now, "k", change.revision, change.deleted)
				}
			}
			for i, daemon := range daemons {
				switch {
				case now/milli == 1+int64(i)*observedWithin/int64(n):
					daemon.Observe(now, "k")
				case now/milli == withdrawnAtMillis:
					daemon.Withdraw("k")
				}
				due, expired := daemon.Due(now)
				if len(due) > 0 {
					proposals++
					if revision == 0 || now-committedAt >= schedule.RenewInterval { // the comparison of a transaction
						revision++
						committedAt = now
						changes = append(changes, committedReport{now, revision, false})
					}
				}
				if len(expired) > 0 && expiredAt == 0 {
					expiredAt = now
					if now-committedAt < schedule.Retention {
						t.Fatalf("expired %d ms after it was committed", (now-committedAt)/milli)
					}
					changes = append(changes, committedReport{now, revision + 1, true})
				}
			}
		}
		if revision != 3 || expiredAt == 0 {
			t.Fatalf("%d changes while it was observed for 5 s, expired at %d ms", revision, expiredAt/milli)
		}
		maxExtra := 3 * (4 + 4*float64(n)*float64(latency)/float64(schedule.Spread))
		if extra := proposals - int(revision); float64(extra) > maxExtra {
			t.Fatalf("%d proposals for %d changes by %d daemons at a latency of %d ms",
				proposals, revision, n, latency/milli)
		}
		for _, daemon := range daemons {
			if len(daemon.reports) > 0 {
				t.Fatal("the report is not forgotten")
			}
		}
	})
}

func TestReportSchedulerLimitsObservedReports(t *testing.T) {
	scheduler := NewReportScheduler("a", ReportSchedule{Spread: 1, Retention: 9, MaxObserved: 2})
	for i, want := range []bool{false, false, true, false} {
		if _, limitReached := scheduler.Observe(1, fmt.Sprint(i)); limitReached != want {
			t.Errorf("key %d: limit reached %v", i, limitReached)
		}
	}
	scheduler.Withdraw("0")
	if due, _ := scheduler.Observe(1, "9"); due == 0 || scheduler.Observes("2") {
		t.Error("a place that became free is not used, or a key over the limit is observed")
	}
}
