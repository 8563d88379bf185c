package changefeed

import (
	"fmt"
	"testing"

	"birchmoor/internal/store"
)

// A follower holds of its interest what the store held at its revision, over lagging replicas of two versions,
// cut streams, compaction, changes of its interest and restarts; and each injected defect is found.
func TestMirrorsAgreeWithStore(t *testing.T) {
	const seeds, steps = 40, 1500
	var sum world
	for seed := range uint64(seeds) {
		w := newWorld(seed, NoDefect)
		if err := w.run(steps); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		sum.reads += w.reads
		sum.snapshots += w.snapshots
		sum.narrowings += w.narrowings
		sum.compactions += w.compactions
		sum.confirmations += w.confirmations
	}
	t.Logf("%d reads, %d snapshots, %d narrowings, %d compactions, %d confirmations",
		sum.reads, sum.snapshots, sum.narrowings, sum.compactions, sum.confirmations)
	if min(sum.snapshots, sum.narrowings, sum.compactions, sum.confirmations) < 100 {
		t.Error("some path was hardly exercised")
	}
	for defect, name := range map[Defect]string{
		ProgressEarly:     "progress before its changes",
		SubscribeLate:     "a gap before the stream",
		DeletionsLost:     "deletions are not sent",
		ProgressRegresses: "a replica that is behind announces its revision as progress",
		WidenInPlace:      "widened without the range",
		WidenFromOlder:    "widened by an older snapshot",
		PartialAsComplete: "a restored part counts as everything",
		NarrowRetains:     "what is no longer of interest is retained",
		RevisionSplit:     "half of a revision",
		NotHeldAsAbsent:   "what is not held is read as absent",
		CompactionIgnored: "compacted changes are skipped",
	} {
		found := false
		for seed := uint64(0); seed < seeds && !found; seed++ {
			if err := newWorld(seed, defect).run(steps); err != nil {
				found = true
				t.Logf("%s: found by seed %d: %v", name, seed, err)
			}
		}
		if !found {
			t.Errorf("not found: %s", name)
		}
	}
}

// A change costs as much as it concerns streams: of a thousand streams one is woken by a change that concerns
// one, and a change that concerns all is encoded once.
func TestChangeWakesOnlyInterestedStreams(t *testing.T) {
	const streams = 1000
	feed := New(0, NoDefect)
	var senders []*Sender
	for i := range streams {
		interest := &store.Interest{Prefixes: []string{"out/", fmt.Sprintf("need/h%d/", i)}, Keys: []string{"conf"}}
		senders = append(senders, feed.NewSender(interest, 0))
	}
	change := func(revision uint64, key string) (woken int) {
		feed.Advance([]store.Event{{Revision: revision, Item: store.Item{Key: key}}}, revision)
		var first *Change
		for _, sender := range senders {
			select {
			case <-sender.Ready():
			default:
				continue
			}
			woken++
			batches, through, _ := sender.Take(false)
			if len(batches) != 1 || through != revision || first != nil && batches[0].Changes[0] != first {
				t.Fatalf("%s: %+v through %d", key, batches, through)
			}
			first = batches[0].Changes[0]
		}
		return woken
	}
	cases := []struct {
		key   string
		woken int
	}{{"need/h7/1", 1}, {"need/h77/1", 1}, {"need/g", 0}, {"out/drain/x", streams}, {"conf", streams}, {"conf2", 0}}
	for i, c := range cases {
		if woken := change(uint64(i+1), c.key); woken != c.woken {
			t.Errorf("%s: %d streams are woken, want %d", c.key, woken, c.woken)
		}
	}
	for _, sender := range senders {
		if batches, through, _ := sender.Take(true); len(batches) != 0 || through != uint64(len(cases)) {
			t.Fatalf("%+v through %d", batches, through)
		}
		feed.Unsubscribe(sender.Stream)
	}
	if len(feed.byKey)+len(feed.byPrefix)+len(feed.unfiltered) != 0 {
		t.Error("streams that ended are held")
	}
}

// A stream from which nothing is taken is closed before it holds more than its bound.
func TestSlowStreamIsClosed(t *testing.T) {
	feed := New(0, NoDefect)
	sender := feed.NewSender(nil, 0)
	for i := range uint64(maxStreamBytes/(1<<20) + 1) {
		item := store.Item{Key: "k", Value: make([]byte, 1<<20)}
		feed.Advance([]store.Event{{Revision: i + 1, Item: item}}, i+1)
	}
	if batches, _, closed := sender.Take(true); !closed || len(batches) != 0 || sender.bytes != 0 {
		t.Errorf("%d wait, closed %v", len(batches), closed)
	}
}
