package daemon

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	"birchmoor/internal/platform/recovery"
	"birchmoor/internal/platform/snapshot"
	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/serverstate"
)

// What the decision modules know is kept in the store, so that a host that lost its disk, or a new one, does not start blind.
// Each sidecar puts its own picture, as often as the bytes of all allow (policy.PictureWait); one that nobody has put for
// picturesKept is ended by whoever finds it.
const snapshotRetention = 10 * time.Minute

// StateSnapshots is what the decision modules of all know, as the store keeps it: their pictures. It is a Part; any goroutine may use it.
type StateSnapshots struct {
	outbox
	schedule    *serverstate.ReportScheduler // for their ends alone
	snapshots   map[string]storedSnapshot
	bytes       int
	confirmedAt int64 // when a quorum last confirmed the copy; 0: not since the start
	restored    []RestoredState

	ownPrefixes []string         // prefixes of this daemon's sidecar's pictures
	hasCopy     bool             // there was a copy
	serving     bool             // the sidecar serves: others' pictures have done their part
	sweepers    int              // this daemon ends for all what nobody puts any more
	partial     bool             // the copy does not hold all pictures:
	storedSize  store.PrefixSize // there are so many
}

type storedSnapshot struct {
	value    []byte
	putAt    int64 // when it was put at the earliest, by this daemon's clock; 0: not known
	revision uint64
}

// NewStateSnapshots returns that of the daemon of a name.
func NewStateSnapshots(name string, log *slog.Logger) *StateSnapshots {
	return &StateSnapshots{outbox: newOutbox(name, log), snapshots: map[string]storedSnapshot{}, schedule: serverstate.NewReportScheduler(name, serverstate.ReportSchedule{Spread: 1, Retention: int64(snapshotRetention)})}
}

// AddSidecar says whose pictures are this daemon's own: those of its sidecar. It is called before the copy is opened, and by Keep.
func (k *StateSnapshots) AddSidecar(sidecar string) {
	k.mu.Lock()
	if prefix := serverstate.SnapshotPrefixOf(sidecar); !slices.Contains(k.ownPrefixes, prefix) {
		k.ownPrefixes = append(k.ownPrefixes, prefix)
	}
	s := k.store
	k.mu.Unlock()
	updateInterest(s)
}

// Subscription is of Needy. Others' pictures are of use to a sidecar that begins without one of its own, and to who ends them.
func (k *StateSnapshots) Subscription() changefeed.Subscription {
	k.mu.Lock()
	defer k.mu.Unlock()
	own := store.Interest{Prefixes: k.ownPrefixes}
	n := changefeed.Subscription{Of: &own, Kept: own}
	if len(k.ownPrefixes) > 0 {
		n.Sums = []string{serverstate.SnapshotPrefix}
	}
	all := store.Interest{Prefixes: []string{serverstate.SnapshotPrefix}}
	if len(k.ownPrefixes) > 0 && k.hasCopy && !k.serving && !k.hasOwn() {
		n.Of, n.Kept = &all, all
	}
	if k.sweepers > 0 {
		n.Of = &all
	}
	return n
}

// hasOwn says whether there is a picture of its own. The lock is held.
func (k *StateSnapshots) hasOwn() bool {
	for key := range k.snapshots {
		if slices.ContainsFunc(k.ownPrefixes, func(p string) bool { return strings.HasPrefix(key, p) }) {
			return true
		}
	}
	return false
}

// ObservePrefixSize is of Summed.
func (k *StateSnapshots) ObservePrefixSize(prefix string, n store.PrefixSize) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if prefix == serverstate.SnapshotPrefix && k.partial {
		k.storedSize = n
	}
}

// SubscribeAll says that this daemon ends for all what nobody puts any more, until ctx ends: it needs all of it.
func (k *StateSnapshots) SubscribeAll(ctx context.Context) {
	add := func(n int) {
		k.mu.Lock()
		k.sweepers += n
		s := k.store
		k.mu.Unlock()
		updateInterest(s)
	}
	add(1)
	context.AfterFunc(ctx, func() { add(-1) })
}

// Run is of Part: sidecars put their pictures by Keep.
func (k *StateSnapshots) Run(ctx context.Context) { <-ctx.Done() }

// Confirmed is of Prover.
func (k *StateSnapshots) Confirmed(ago time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmedAt = max(k.confirmedAt, k.now(time.Now())-int64(ago))
}

func (k *StateSnapshots) set(key string, p storedSnapshot, gone bool) {
	if was, ok := k.snapshots[key]; ok {
		k.bytes -= len(was.value)
		delete(k.snapshots, key)
	}
	if !gone {
		k.snapshots[key] = p
		k.bytes += len(p.value)
	}
}

// Event is of Part. A picture may have been put at any time since a quorum last confirmed the copy.
func (k *StateSnapshots) Event(e store.Event) {
	if !strings.HasPrefix(e.Item.Key, serverstate.SnapshotPrefix) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.set(e.Item.Key, storedSnapshot{e.Item.Value, k.confirmedAt, e.Revision}, e.Deleted)
	k.schedule.Committed(k.now(time.Now()), e.Item.Key, e.Revision, e.Deleted)
}

// Reset is of Part.
func (k *StateSnapshots) Reset(s *store.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hasCopy, k.partial = true, isPartial(s, serverstate.SnapshotPrefix); !k.partial {
		k.storedSize = store.PrefixSize{}
	}
	for key := range k.snapshots {
		if _, ok := s.Get(key); !ok {
			k.set(key, storedSnapshot{}, true)
		}
	}
	s.Range(serverstate.SnapshotPrefix, store.PrefixEnd(serverstate.SnapshotPrefix), func(i store.Item) bool {
		if k.snapshots[i.Key].revision != i.ModRevision {
			k.set(i.Key, storedSnapshot{i.Value, 0, i.ModRevision}, false)
		}
		return true
	})
	k.schedule.Reset(k.now(time.Now()), revisionsWithPrefix(s, serverstate.SnapshotPrefix))
}

// Expired is of Sweeper: it ends those that nobody has put for long.
func (k *StateSnapshots) Expired(now time.Time) (ends []*store.Txn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, over := k.schedule.Due(k.now(now))
	for _, key := range over {
		ends = append(ends, &store.Txn{If: []store.Compare{{Key: key, ModRevision: k.snapshots[key].revision}}, Then: []store.Op{{Key: key, Delete: true}}})
	}
	return ends
}

// RestoreCandidates are those of a protocol that a sidecar may believe at its start.
func (k *StateSnapshots) RestoreCandidates(sidecar, protocol string) (all []recovery.Candidate) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now(time.Now())
	for key, p := range k.snapshots {
		of, its, ok := serverstate.ParseSnapshotKey(key)
		if !ok || its != protocol {
			continue
		}
		v, err := serverstate.DecodeModuleSnapshot(p.value)
		var kept *snapshot.Saved
		if err == nil {
			kept, err = snapshot.Decode(v.Data)
		}
		if err != nil {
			k.log.Warn("a picture in the store is passed over", "key", key, "error", err)
			continue
		}
		c := recovery.Candidate{From: "the store: " + of, Kept: kept, Own: of == sidecar}
		here := snapshot.Now()
		switch {
		case p.putAt != 0:
			c.Age, c.Sure = (now-p.putAt)/1000, true
		default:
			c.Age, c.Sure = here.Since(kept.Clock), here.Boot != "" && here.Boot == kept.Clock.Boot
		}
		all = append(all, c)
	}
	return all
}

// RecordRestore notes what of them a sidecar's decision module went on from at its start, and how many servers that knew.
func (k *StateSnapshots) RecordRestore(protocol string, c recovery.Choice, servers int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.restored = append(k.restored, RestoredState{protocol, c.From, c.Of, servers, time.Duration(c.Age) * time.Microsecond})
}

// restoredStates lists them.
func (k *StateSnapshots) restoredStates() []RestoredState {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.restored)
}

// size is how many there are, and their bytes.
func (k *StateSnapshots) size() (n, bytes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.snapshots), k.bytes
}

// SnapshotAges are those that this daemon saw come: how long ago.
func (k *StateSnapshots) SnapshotAges() map[string]time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, all := k.now(time.Now()), map[string]time.Duration{}
	for key, p := range k.snapshots {
		if p.putAt != 0 {
			all[key] = time.Duration(now - p.putAt)
		}
	}
	return all
}

// ReportSnapshotAge takes the word of another daemon's clock on how long ago a picture was put, where this one did not see it come.
func (k *StateSnapshots) ReportSnapshotAge(key string, age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p, ok := k.snapshots[key]; ok && p.putAt == 0 && age >= 0 {
		p.putAt = k.now(time.Now()) - int64(age)
		k.snapshots[key] = p
	}
}

// SaveSnapshots puts a sidecar's pictures in the store until ctx ends.
func (k *StateSnapshots) SaveSnapshots(ctx context.Context, sidecar, protocol string, take func(context.Context) ([]byte, error), paused func() bool) {
	key := serverstate.SnapshotKey(sidecar, protocol)
	failing := false
	k.mu.Lock()
	k.serving = true
	k.mu.Unlock()
	k.AddSidecar(sidecar)
	for {
		k.mu.Lock()
		wait := time.Duration(serverstate.SnapshotInterval(max(k.bytes, k.storedSize.Bytes)))
		if k.partial && !k.hasOwn() {
			wait = time.Duration(serverstate.SnapshotInterval(0)) // until then a start would find nothing of its own
		}
		k.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if paused() {
			continue
		}
		err := k.save(ctx, key, take)
		if err != nil && ctx.Err() == nil && !failing && !errors.Is(err, store.ErrLevel) {
			k.log.Warn("the store does not keep what is known here", "key", key, "error", err)
		}
		failing = err != nil
	}
}

// save puts one.
func (k *StateSnapshots) save(ctx context.Context, key string, take func(context.Context) ([]byte, error)) error {
	known, err := take(ctx)
	if err != nil {
		return err
	}
	c, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = k.store.Do(c, store.Command{Txn: serverstate.ModuleSnapshot{ReportedBy: k.name, Data: known}.PutTxn(key)})
	return err
}
