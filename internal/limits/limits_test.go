package limits

import (
	"log/slog"
	"testing"
	"time"

	"birchmoor/internal/boot"
	"birchmoor/internal/limit"
	"birchmoor/internal/store"
)

// A copy that holds no others' words paces its own by how many there are, as it is told.
func TestWordsArePacedByAll(t *testing.T) {
	l := New(Config{Host: "h", TTL: 5 * time.Second, Tell: 250 * time.Millisecond, Each: 5 * time.Millisecond, Clock: boot.Clock{},
		Log: slog.New(slog.DiscardHandler)}, nil)
	n := l.Needs()
	me, other := limit.Process{Host: "h", Session: 7}, limit.Process{Host: "h2", Session: 8}
	if !n.Of.Covers(me.NeedKey()) || !n.Of.Covers(me.GrantKey()) || !n.Of.Covers(limit.ConfKey) || n.Of.Covers(other.NeedKey()) || n.Kept.Covers(me.NeedKey()) {
		t.Errorf("%+v", n)
	}
	whole := store.New(1, store.DefaultLimits)
	for _, p := range []limit.Process{me, other} {
		whole.Apply(whole.Index()+1, &store.Command{Txn: &store.Txn{Then: []store.Op{{Key: p.NeedKey(), Value: limit.Encode(limit.Need{})}}}})
	}
	const at = int64(time.Hour)
	l.holder.Session(at, 7, at+int64(time.Minute))
	pace := func() time.Duration {
		l.holder.Told(at, limit.Need{})
		_, _, next := l.holder.Need(at)
		return time.Duration(next - at)
	}
	l.Reset(whole.Part(*n.Of))
	l.Sum(limit.NeedPrefix, store.Sum{Keys: 1200})
	if d := pace(); d != 6*time.Second {
		t.Errorf("among 1,200: %v", d)
	}
	l.Sum("other/", store.Sum{Keys: 1})
	l.Event(store.Event{Revision: 3, Item: store.Item{Key: me.NeedKey(), Value: limit.Encode(limit.Need{})}})
	if d := pace(); d != 6*time.Second {
		t.Errorf("after a word of its own: %v", d)
	}
	l.Reset(whole)
	if d := pace(); d != 250*time.Millisecond {
		t.Errorf("with a copy of all: %v", d)
	}
}
