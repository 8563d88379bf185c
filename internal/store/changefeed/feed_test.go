package changefeed

import (
	"fmt"
	"testing"

	"birchmoor/internal/store"
)

// A follower's copy has the same items as the store at the same revision, with lagging replicas of two versions,
// interrupted streams, compaction, changes of the interest and restarts. The same check finds each injected defect.
func TestMirrorsAgreeWithStore(t *testing.T) {
	const seeds, steps = 40, 1500
	var total simulation
	for seed := range uint64(seeds) {
		s := newSimulation(seed, NoDefect)
		if err := s.run(steps); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		total.reads += s.reads
		total.snapshots += s.snapshots
		total.narrowings += s.narrowings
		total.compactions += s.compactions
		total.confirmations += s.confirmations
	}
	t.Logf("%d reads, %d snapshots, %d narrowings, %d compactions, %d confirmations",
		total.reads, total.snapshots, total.narrowings, total.compactions, total.confirmations)
	if min(total.snapshots, total.narrowings, total.compactions, total.confirmations) < 100 {
		t.Error("the runs exercised some path fewer than 100 times")
	}
	for defect, name := range map[Defect]string{
		ProgressEarly:     "progress is announced before its changes are sent",
		SubscribeLate:     "changes before the start of the stream are omitted",
		DeletionsLost:     "deletions are not sent",
		ProgressRegresses: "a replica that is behind announces its own revision as progress",
		WidenInPlace:      "an interest is widened without fetching the missing keys",
		WidenFromOlder:    "an interest is widened with an older snapshot",
		PartialAsComplete: "a restored partial copy is treated as complete",
		NarrowRetains:     "keys outside the interest are retained",
		RevisionSplit:     "only a part of a revision is applied",
		NotHeldAsAbsent:   "keys that are not held are read as absent",
		CompactionIgnored: "compacted changes are skipped",
	} {
		found := false
		for seed := uint64(0); seed < seeds && !found; seed++ {
			if err := newSimulation(seed, defect).run(steps); err != nil {
				found = true
				t.Logf("%s: found by seed %d: %v", name, seed, err)
			}
		}
		if !found {
			t.Errorf("no seed found the injected defect: %s", name)
		}
	}
}

// A change wakes only the streams whose interest covers it, and all of them share one Change, which is encoded once.
func TestChangeWakesOnlyInterestedStreams(t *testing.T) {
	const streams = 1000
	feed := New(0, NoDefect)
	var senders []*Sender
	for i := range streams {
		interest := &store.Interest{Prefixes: []string{"out/", fmt.Sprintf("need/h%d/", i)}, Keys: []string{"conf"}}
		senders = append(senders, feed.NewSender(interest, 0))
	}
	advance := func(revision uint64, key string) (woken int) {
		feed.Advance([]store.Event{{Revision: revision, Item: store.Item{Key: key}}}, revision)
		var firstChange *Change
		for _, sender := range senders {
			select {
			case <-sender.Ready():
			default:
				continue
			}
			woken++
			batches, through, _ := sender.Take(false)
			if len(batches) != 1 || through != revision || firstChange != nil && batches[0].Changes[0] != firstChange {
				t.Fatalf("key %s: took batches %+v through revision %d", key, batches, through)
			}
			firstChange = batches[0].Changes[0]
		}
		return woken
	}
	cases := []struct {
		key   string
		woken int
	}{{"need/h7/1", 1}, {"need/h77/1", 1}, {"need/g", 0}, {"out/drain/x", streams}, {"conf", streams}, {"conf2", 0}}
	for i, c := range cases {
		if woken := advance(uint64(i+1), c.key); woken != c.woken {
			t.Errorf("change of key %s woke %d streams, want %d", c.key, woken, c.woken)
		}
	}
	for _, sender := range senders {
		if batches, through, _ := sender.Take(true); len(batches) != 0 || through != uint64(len(cases)) {
			t.Fatalf("after all changes were taken, took batches %+v through revision %d", batches, through)
		}
		feed.Unsubscribe(sender.Stream)
	}
	if len(feed.byKey)+len(feed.byPrefix)+len(feed.unfiltered) != 0 {
		t.Error("the feed still has sets after all streams ended")
	}
}

// A stream whose changes are not taken is closed before it holds more than maxStreamBytes.
func TestSlowStreamIsClosed(t *testing.T) {
	feed := New(0, NoDefect)
	sender := feed.NewSender(nil, 0)
	for i := range uint64(maxStreamBytes/(1<<20) + 1) {
		item := store.Item{Key: "k", Value: make([]byte, 1<<20)}
		feed.Advance([]store.Event{{Revision: i + 1, Item: item}}, i+1)
	}
	if batches, _, closed := sender.Take(true); !closed || len(batches) != 0 || sender.bytes != 0 {
		t.Errorf("took %d batches, closed %v; want none from a closed stream without bytes", len(batches), closed)
	}
}
