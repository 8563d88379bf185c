package eventqueue

import (
	"context"
	"flag"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Events happen in the order of their instants, those of one instant in the order scheduled, canceled ones never.
func TestRunHandlesEventsInOrderAndSkipsCanceledOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewVirtual()
		type due struct {
			at Micros
			n  int
		}
		var want []due
		var got []int
		for n := range rapid.IntRange(1, 100).Draw(t, "events") {
			at := rapid.Int64Range(0, 50).Draw(t, "at")
			e := q.At(at, func() {
				if q.Now() != at {
					t.Fatalf("event %d for instant %d happened at %d", n, at, q.Now())
				}
				got = append(got, n)
			})
			if rapid.IntRange(0, 3).Draw(t, "cancel") == 0 {
				q.Cancel(e)
				q.Cancel(e)
			} else {
				want = append(want, due{at, n})
			}
		}
		sort.SliceStable(want, func(i, j int) bool { return want[i].at < want[j].at })
		if err := q.Run(context.Background(), func() bool { return false }); err != nil {
			t.Fatal(err)
		}
		if len(got) != len(want) {
			t.Fatalf("%d events happened, want %d", len(got), len(want))
		}
		for i := range want {
			if got[i] != want[i].n {
				t.Fatalf("event %d happened in position %d, want event %d", got[i], i, want[i].n)
			}
		}
	})
}

func TestEventsScheduleFurtherEvents(t *testing.T) {
	q := NewVirtual()
	var at []Micros
	var again func()
	again = func() {
		at = append(at, q.Now())
		if len(at) < 3 {
			q.After(10, again)
			q.At(0, func() {}) // an instant in the past counts as now
		}
	}
	q.After(5, again)
	q.Cancel(nil)
	err := q.Run(context.Background(), func() bool { return false })
	if err != nil || len(at) != 3 || at[2] != 25 {
		t.Errorf("events happened at %v (error %v), want three, the last at 25", at, err)
	}
}

func TestRealTimeQueueMeasuresLatenessAndTakesPostedActions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewRealTime()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		posted := false
		q.After(2*Second, func() { time.Sleep(300 * time.Millisecond) }) // delays the queue itself
		q.After(2*Second+1000, func() {})
		go q.Post(ctx, func() { posted = true })
		done := false
		q.After(5*Second, func() { done = true })
		if err := q.Run(ctx, func() bool { return done }); err != nil || !posted {
			t.Errorf("Run returned %v; posted action ran: %v", err, posted)
		}
		if _, maximum := q.Lateness(); maximum != 299_000 {
			t.Errorf("maximum lateness is %d µs, want 299,000", maximum)
		}
		cancel()
		if err := q.Run(ctx, func() bool { return false }); err == nil {
			t.Error("Run returned no error after its context had ended")
		}
		if q.Post(ctx, func() {}) {
			// Either outcome is right: the channel has capacity left, though nothing receives from it any more.
			t.Log("Post succeeded after the end of its context")
		}
	})
}

func init() {
	// A fixed seed makes the properties deterministic; a flag on the command line overrides it.
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
