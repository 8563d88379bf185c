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

// Events happen in the order of their instants, those of one instant in the order set, dropped ones never.
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
					t.Fatalf("event %d of instant %d happens at %d", n, at, q.Now())
				}
				got = append(got, n)
			})
			if rapid.IntRange(0, 3).Draw(t, "drop") == 0 {
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
				t.Fatalf("at place %d comes event %d, want %d", i, got[i], want[i].n)
			}
		}
	})
}

func TestEventsScheduleFurtherEvents(t *testing.T) {
	q := NewVirtual()
	var at []Micros
	var again func()
	again = func() {
		if at = append(at, q.Now()); len(at) < 3 {
			q.After(10, again)
			q.At(0, func() {}) // what has passed is now
		}
	}
	q.After(5, again)
	q.Cancel(nil)
	if err := q.Run(context.Background(), func() bool { return false }); err != nil || len(at) != 3 || at[2] != 25 {
		t.Errorf("happened at %v, %v", at, err)
	}
}

func TestRealTimeQueueMeasuresLatenessAndTakesPostedActions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewRealTime()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		posted := false
		q.After(2*Second, func() { time.Sleep(300 * time.Millisecond) }) // the queue itself is held up
		q.After(2*Second+1000, func() {})
		go q.Post(ctx, func() { posted = true })
		done := false
		q.After(5*Second, func() { done = true })
		if err := q.Run(ctx, func() bool { return done }); err != nil || !posted {
			t.Errorf("%v, posted %v", err, posted)
		}
		if _, worst := q.Lateness(); worst != 299_000 {
			t.Errorf("it was late by %d µs, want 299,000", worst)
		}
		cancel()
		if err := q.Run(ctx, func() bool { return false }); err == nil {
			t.Error("an ended context does not end it")
		}
		if q.Post(ctx, func() {}) {
			// There was room for it: nobody takes it any more, and nobody waits.
			t.Log("posted after the end")
		}
	})
}

func init() {
	flag.Set("rapid.seed", "20261201") // the same verdict every time; the command line goes before it
}
