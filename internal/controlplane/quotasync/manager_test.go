package quotasync

import (
	"log/slog"
	"testing"
	"time"

	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/platform/bootclock"
	"birchmoor/internal/store"
)

// A copy that holds no others' words paces its own by how many there are, as it is told.
func TestWordsArePacedByAll(t *testing.T) {
	l := New(Config{Host: "h", TTL: 5 * time.Second, ReportInterval: 250 * time.Millisecond, ReportIntervalPerProcess: 5 * time.Millisecond, Clock: bootclock.Clock{},
		Log: slog.New(slog.DiscardHandler)}, nil)
	n := l.Subscription()
	me, other := quota.Process{Host: "h", Session: 7}, quota.Process{Host: "h2", Session: 8}
	if !n.Interest.Covers(me.DemandKey()) || !n.Interest.Covers(me.GrantKey()) || !n.Interest.Covers(quota.ConfigKey) || n.Interest.Covers(other.DemandKey()) || n.Retained.Covers(me.DemandKey()) {
		t.Errorf("%+v", n)
	}
	whole := store.New(1, store.DefaultLimits)
	for _, p := range []quota.Process{me, other} {
		whole.Apply(whole.Index()+1, &store.Command{Txn: &store.Txn{Then: []store.Op{{Key: p.DemandKey(), Value: quota.Encode(quota.Demand{})}}}})
	}
	const at = int64(time.Hour)
	l.consumer.SetSession(at, 7, at+int64(time.Minute))
	pace := func() time.Duration {
		l.consumer.ReportSent(at, quota.Demand{})
		_, _, next := l.consumer.Demand(at)
		return time.Duration(next - at)
	}
	l.Reset(whole.Subset(*n.Interest))
	l.ObservePrefixSize(quota.DemandPrefix, store.PrefixSize{Keys: 1200})
	if d := pace(); d != 6*time.Second {
		t.Errorf("among 1,200: %v", d)
	}
	l.ObservePrefixSize("other/", store.PrefixSize{Keys: 1})
	l.Event(store.Event{Revision: 3, Item: store.Item{Key: me.DemandKey(), Value: quota.Encode(quota.Demand{})}})
	if d := pace(); d != 6*time.Second {
		t.Errorf("after a word of its own: %v", d)
	}
	l.Reset(whole)
	if d := pace(); d != 250*time.Millisecond {
		t.Errorf("with a copy of all: %v", d)
	}
}
