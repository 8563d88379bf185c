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

// partialCopy is an InterestUpdater that counts the calls of UpdateInterest.
type partialCopy struct {
	Store
	updates int
}

func (c *partialCopy) UpdateInterest() { c.updates++ }

var _ InterestUpdater = (*follower.Follower)(nil)

// A daemon subscribes to the snapshots of other sidecars while its own sidecar starts without a snapshot of its own,
// until that serves, and while the daemon sweeps. The interval between snapshots depends on the bytes of all snapshots,
// also of those that the copy does not hold.
func TestSubscriptionToSnapshots(t *testing.T) {
	stateWith := func(keys ...string) *store.State {
		s := store.New(1, store.DefaultLimits)
		for i, k := range keys {
			s.Apply(uint64(i+1), &store.Command{Txn: &store.Txn{Then: []store.Op{{Key: k, Value: []byte("x")}}}})
		}
		return s
	}
	own, others := serverstate.SnapshotKey("me", ""), serverstate.SnapshotKey("you", "")
	discardLog := slog.New(slog.DiscardHandler)
	snapshots, storeCopy := NewStateSnapshots("h", discardLog), &partialCopy{}
	subscription := func() changefeed.Subscription { return snapshots.Subscription() }
	coversOthers := func() bool { return subscription().Interest.Covers(others) }

	snapshots.Attach(storeCopy)
	snapshots.Reset(stateWith(others))
	if coversOthers() || subscription().Interest.Covers(own) || len(subscription().SizePrefixes) != 0 {
		t.Errorf("subscription of a daemon without a sidecar: %+v", subscription())
	}

	snapshots = NewStateSnapshots("h", discardLog)
	snapshots.Attach(storeCopy)
	snapshots.AddSidecar("me")
	if storeCopy.updates != 1 || coversOthers() || !subscription().Interest.Covers(own) {
		t.Errorf("subscription before the first copy: %+v", subscription())
	}

	snapshots.Reset(stateWith(others).Subset(*subscription().Interest))
	if !coversOthers() || !subscription().Retained.Covers(others) {
		t.Errorf("subscription without a snapshot of its own: %+v", subscription())
	}

	ownInterest := store.Interest{Prefixes: []string{serverstate.SnapshotPrefixOf("me")}}
	snapshots.Reset(stateWith(others, own).Subset(ownInterest))
	if coversOthers() || subscription().Retained.Covers(others) {
		t.Errorf("subscription with a snapshot of its own: %+v", subscription())
	}

	snapshots.Reset(stateWith(others).Subset(*subscription().Interest))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	snapshots.SaveSnapshots(ctx, "me", "", nil, func() bool { return true })
	if coversOthers() {
		t.Errorf("subscription while the sidecar serves: %+v", subscription())
	}

	ctx, cancel = context.WithCancel(t.Context())
	snapshots.SubscribeAll(ctx)
	if !coversOthers() || subscription().Retained.Covers(others) {
		t.Errorf("subscription while the daemon sweeps: %+v", subscription())
	}
	cancel()
	for coversOthers() { // another goroutine observes the end of the context
		time.Sleep(time.Millisecond)
	}

	snapshots.ObservePrefixSize(serverstate.SnapshotPrefix, store.PrefixSize{Keys: 1200, Bytes: 18 << 20})
	if snapshots.storedSize.Bytes != 18<<20 {
		t.Error("ObservePrefixSize does not set the bytes of all snapshots")
	}
	snapshots.Reset(stateWith(others, own))
	if snapshots.storedSize.Bytes != 0 {
		t.Error("the size that a replica reported is kept with a complete copy")
	}
}

// A daemon subscribes to the keys of all its components, and to all keys if one of them is no Subscriber.
func TestSubscriptionJoinsComponents(t *testing.T) {
	discardLog := slog.New(slog.DiscardHandler)
	components := append(NewServers("h", discardLog).Components(), NewSettings("h", nil, discardLog))
	joined := New(discardLog, components...).Subscription()
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
		wantRetained := want && key != ReportKey("h")
		if joined.Interest.Covers(key) != want || joined.Retained.Covers(key) != wantRetained {
			t.Errorf("%s: covered %v, retained %v", key, joined.Interest.Covers(key), joined.Retained.Covers(key))
		}
	}
	joined = New(discardLog, append(components, unsubscribed{})...).Subscription()
	if joined.Interest != nil {
		t.Errorf("interest with a component that is no Subscriber: %+v, want all keys", joined.Interest)
	}
}

// unsubscribed is a Component that is no Subscriber.
type unsubscribed struct{}

func (unsubscribed) Event(store.Event)   {}
func (unsubscribed) Reset(*store.State)  {}
func (unsubscribed) Attach(Store)        {}
func (unsubscribed) Run(context.Context) {}
