package daemon

import (
	"context"
	"log/slog"
	"testing"

	"birchmoor/internal/store"
	"birchmoor/internal/store/follower"
	"birchmoor/internal/store/serverstate"
)

// partialCopy is a store whose copy is told what it is to hold.
type partialCopy struct {
	Store
	updates int
}

func (c *partialCopy) UpdateInterest() { c.updates++ }

var _ InterestUpdater = (*follower.Follower)(nil)

// Others' pictures are held by a sidecar that begins and has none of its own, until it serves, and by who ends them for all;
// the pace of pictures goes by the bytes of all, also of those that are not held.
func TestSubscriptionToSnapshots(t *testing.T) {
	with := func(keys ...string) *store.State {
		s := store.New(1, store.DefaultLimits)
		for i, k := range keys {
			s.Apply(uint64(i+1), &store.Command{Txn: &store.Txn{Then: []store.Op{{Key: k, Value: []byte("x")}}}})
		}
		return s
	}
	own, others := serverstate.SnapshotKey("me", ""), serverstate.SnapshotKey("you", "")
	k, c := NewStateSnapshots("h", slog.New(slog.DiscardHandler)), &partialCopy{}
	all := func() bool { return k.Subscription().Interest.Covers(others) }
	k.Attach(c)
	if k.Reset(with(others)); all() || k.Subscription().Interest.Covers(own) || len(k.Subscription().SizePrefixes) != 0 {
		t.Errorf("without a sidecar: %+v", k.Subscription())
	}
	k = NewStateSnapshots("h", slog.New(slog.DiscardHandler))
	k.Attach(c)
	if k.AddSidecar("me"); c.updates != 1 || all() || !k.Subscription().Interest.Covers(own) {
		t.Errorf("before the first copy: %+v", k.Subscription())
	}
	if k.Reset(with(others).Subset(*k.Subscription().Interest)); !all() || !k.Subscription().Retained.Covers(others) {
		t.Errorf("with none of its own: %+v", k.Subscription())
	}
	if k.Reset(with(others, own).Subset(store.Interest{Prefixes: []string{serverstate.SnapshotPrefixOf("me")}})); all() || k.Subscription().Retained.Covers(others) {
		t.Errorf("with its own: %+v", k.Subscription())
	}
	k.Reset(with(others).Subset(*k.Subscription().Interest))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if k.SaveSnapshots(ctx, "me", "", nil, func() bool { return true }); all() {
		t.Errorf("once it serves: %+v", k.Subscription())
	}
	ctx, cancel = context.WithCancel(t.Context())
	if k.SubscribeAll(ctx); !all() || k.Subscription().Retained.Covers(others) {
		t.Errorf("while it ends what nobody tells: %+v", k.Subscription())
	}
	cancel()
	for all() { // the context's end is told beside it
	}
	if k.ObservePrefixSize(serverstate.SnapshotPrefix, store.PrefixSize{Keys: 1200, Bytes: 18 << 20}); k.storedSize.Bytes != 18<<20 {
		t.Error("the bytes of all are not known")
	}
	if k.Reset(with(others, own)); k.storedSize.Bytes != 0 {
		t.Error("a copy that holds all counts for itself")
	}
}

// A daemon needs what its parts do, and all if one of them does not say.
func TestSubscriptionJoinsComponents(t *testing.T) {
	quiet := slog.New(slog.DiscardHandler)
	parts := append(NewServers("h", quiet).Components(), NewSettings("h", nil, quiet))
	n := New(quiet, parts...).Subscription()
	for key, held := range map[string]bool{"out/drain/x": true, "out/ban/x": true, "start/x": true, keyCurrent: true, keyPlan: true, ReportKey("h"): true,
		ReportKey("g"): false, keyCandidate: false, historyKey(1): false, serverstate.SnapshotKey("x", ""): false, "anything": false} {
		if n.Interest.Covers(key) != held || n.Retained.Covers(key) != (held && key != ReportKey("h")) {
			t.Errorf("%s: held %v, kept %v", key, n.Interest.Covers(key), n.Retained.Covers(key))
		}
	}
	if n := New(quiet, append(parts, unsubscribed{})...).Subscription(); n.Interest != nil {
		t.Errorf("with a part that does not say: %+v", n.Interest)
	}
}

type unsubscribed struct{}

func (unsubscribed) Event(store.Event)   {}
func (unsubscribed) Reset(*store.State)  {}
func (unsubscribed) Attach(Store)        {}
func (unsubscribed) Run(context.Context) {}
