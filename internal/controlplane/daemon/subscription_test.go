package daemon

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/follower"
	"birchmoor/internal/store/serverstate"
)

// partialCopy counts how often it was notified of a changed subscription.
type partialCopy struct {
	Store
	updates int
}

func (c *partialCopy) UpdateInterest() { c.updates++ }

var _ InterestUpdater = (*follower.Follower)(nil)

// The copy holds others' snapshots for a sidecar that starts without one of its own, until it serves, and for a daemon
// that sweeps. The interval of snapshots depends on the bytes of all, also of those that the copy does not hold.
func TestSubscriptionToSnapshots(t *testing.T) {
	with := func(keys ...string) *store.State {
		s := store.New(1, store.DefaultLimits)
		for i, k := range keys {
			s.Apply(uint64(i+1), &store.Command{Txn: &store.Txn{Then: []store.Op{{Key: k, Value: []byte("x")}}}})
		}
		return s
	}
	own, others := serverstate.SnapshotKey("me", ""), serverstate.SnapshotKey("you", "")
	quiet := slog.New(slog.DiscardHandler)
	snapshots, copied := NewStateSnapshots("h", quiet), &partialCopy{}
	subscription := func() changefeed.Subscription { return snapshots.Subscription() }
	coversOthers := func() bool { return subscription().Interest.Covers(others) }

	snapshots.Attach(copied)
	snapshots.Reset(with(others))
	if coversOthers() || subscription().Interest.Covers(own) || len(subscription().SizePrefixes) != 0 {
		t.Errorf("without a sidecar: %+v", subscription())
	}

	snapshots = NewStateSnapshots("h", quiet)
	snapshots.Attach(copied)
	snapshots.AddSidecar("me")
	if copied.updates != 1 || coversOthers() || !subscription().Interest.Covers(own) {
		t.Errorf("before the first copy: %+v", subscription())
	}

	snapshots.Reset(with(others).Subset(*subscription().Interest))
	if !coversOthers() || !subscription().Retained.Covers(others) {
		t.Errorf("with none of its own: %+v", subscription())
	}

	ownInterest := store.Interest{Prefixes: []string{serverstate.SnapshotPrefixOf("me")}}
	snapshots.Reset(with(others, own).Subset(ownInterest))
	if coversOthers() || subscription().Retained.Covers(others) {
		t.Errorf("with its own: %+v", subscription())
	}

	snapshots.Reset(with(others).Subset(*subscription().Interest))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	snapshots.SaveSnapshots(ctx, "me", "", nil, func() bool { return true })
	if coversOthers() {
		t.Errorf("once it serves: %+v", subscription())
	}

	ctx, cancel = context.WithCancel(t.Context())
	snapshots.SubscribeAll(ctx)
	if !coversOthers() || subscription().Retained.Covers(others) {
		t.Errorf("while it sweeps: %+v", subscription())
	}
	cancel()
	for coversOthers() { // the end of the context is noted by another goroutine
		time.Sleep(time.Millisecond)
	}

	snapshots.ObservePrefixSize(serverstate.SnapshotPrefix, store.PrefixSize{Keys: 1200, Bytes: 18 << 20})
	if snapshots.storedSize.Bytes != 18<<20 {
		t.Error("the bytes of all are not known")
	}
	snapshots.Reset(with(others, own))
	if snapshots.storedSize.Bytes != 0 {
		t.Error("the size of a complete copy comes from elsewhere")
	}
}

// A daemon needs what its components need, and all keys if one of them is no Subscriber.
func TestSubscriptionJoinsComponents(t *testing.T) {
	quiet := slog.New(slog.DiscardHandler)
	components := append(NewServers("h", quiet).Components(), NewSettings("h", nil, quiet))
	joined := New(quiet, components...).Subscription()
	for key, want := range map[string]bool{
		"out/drain/x":                    true,
		"out/ban/x":                      true,
		"start/x":                        true,
		keyCurrent:                       true,
		keyPlan:                          true,
		ReportKey("h"):                   true,
		ReportKey("g"):                   false,
		keyCandidate:                     false,
		historyKey(1):                    false,
		serverstate.SnapshotKey("x", ""): false,
		"anything":                       false,
	} {
		wantKept := want && key != ReportKey("h")
		if joined.Interest.Covers(key) != want || joined.Retained.Covers(key) != wantKept {
			t.Errorf("%s: covered %v, kept %v", key, joined.Interest.Covers(key), joined.Retained.Covers(key))
		}
	}
	joined = New(quiet, append(components, unsubscribed{})...).Subscription()
	if joined.Interest != nil {
		t.Errorf("with a component that is no Subscriber: %+v", joined.Interest)
	}
}

type unsubscribed struct{}

func (unsubscribed) Event(store.Event)   {}
func (unsubscribed) Reset(*store.State)  {}
func (unsubscribed) Attach(Store)        {}
func (unsubscribed) Run(context.Context) {}
