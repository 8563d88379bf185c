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
	l := New(Config{Host: "h", TTL: 5 * time.Second, Tell: 250 * time.Millisecond, Each: 5 * time.Millisecond, Clock: bootclock.Clock{},
		Log: slog.New(slog.DiscardHandler)}, nil)
	n := l.Needs()
	me, other := quota.Process{Host: "h", Session: 7}, quota.Process{Host: "h2", Session: 8}
	if !n.Of.Covers(me.NeedKey()) || !n.Of.Covers(me.GrantKey()) || !n.Of.Covers(quota.ConfKey) || n.Of.Covers(other.NeedKey()) || n.Kept.Covers(me.NeedKey()) {
		t.Errorf("%+v", n)
	}
	whole := store.New(1, store.DefaultLimits)
	for _, p := range []quota.Process{me, other} {
		whole.Apply(whole.Index()+1, &store.Command{Txn: &store.Txn{Then: []store.Op{{Key: p.NeedKey(), Value: quota.Encode(quota.Need{})}}}})
	}
	const at = int64(time.Hour)
	l.holder.Session(at, 7, at+int64(time.Minute))
	pace := func() time.Duration {
		l.holder.Told(at, quota.Need{})
		_, _, next := l.holder.Need(at)
		return time.Duration(next - at)
	}
	l.Reset(whole.Part(*n.Of))
	l.Sum(quota.NeedPrefix, store.Sum{Keys: 1200})
	if d := pace(); d != 6*time.Second {
		t.Errorf("among 1,200: %v", d)
	}
	l.Sum("other/", store.Sum{Keys: 1})
	l.Event(store.Event{Revision: 3, Item: store.Item{Key: me.NeedKey(), Value: quota.Encode(quota.Need{})}})
	if d := pace(); d != 6*time.Second {
		t.Errorf("after a word of its own: %v", d)
	}
	l.Reset(whole)
	if d := pace(); d != 250*time.Millisecond {
		t.Errorf("with a copy of all: %v", d)
	}
}
