package daemon

import (
	"context"
	"errors"
	"fmt"
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

// The store holds snapshots of the decision modules' state, so that the sidecar of a new host, or of one that lost its
// disk, restores its state from those of others. Each sidecar saves its own snapshots. The more bytes all snapshots
// take, the longer the interval (serverstate.SnapshotInterval). Any daemon may delete a snapshot that was not saved
// again for snapshotRetention.
const snapshotRetention = 10 * time.Minute

// StateSnapshots saves snapshots of the decision modules of this daemon's sidecars in the store, and holds those of all
// sidecars that this daemon needs. It is a Component, and safe for concurrent use.
type StateSnapshots struct {
	outbox
	schedule    *serverstate.ReportScheduler // determines which snapshots have expired; it schedules no writes
	snapshots   map[string]storedSnapshot    // by key
	bytes       int                          // size of the values of snapshots
	confirmedAt int64                        // time of the last confirmation by a quorum; 0: none yet
	restored    []RestoredState              // one for each call of RecordRestore

	ownPrefixes []string         // key prefixes of the snapshots of this daemon's sidecars
	hasCopy     bool             // Reset was called
	serving     bool             // a sidecar serves, and needs no snapshots of other sidecars any more
	sweepers    int              // calls of SubscribeAll whose context has not ended
	partial     bool             // the copy does not hold all snapshots
	storedSize  store.PrefixSize // of the snapshots in the store, if partial is set
}

// storedSnapshot is the value of a key, which holds an encoded serverstate.ModuleSnapshot.
type storedSnapshot struct {
	value    []byte
	savedAt  int64 // the earliest time at which it may have been saved, by the clock of outbox; 0: not known
	revision uint64
}

// NewStateSnapshots returns the component for a daemon, whose snapshots carry its name.
func NewStateSnapshots(name string, log *slog.Logger) *StateSnapshots {
	return &StateSnapshots{
		outbox:    newOutbox(name, log),
		snapshots: map[string]storedSnapshot{},
		schedule: serverstate.NewReportScheduler(name, serverstate.ReportSchedule{
			Spread:    1,
			Retention: int64(snapshotRetention),
		}),
	}
}

// AddSidecar adds a sidecar to those whose snapshots are this daemon's own. It is called before the copy is opened, and
// by SaveSnapshots.
func (s *StateSnapshots) AddSidecar(sidecar string) {
	s.mu.Lock()
	if prefix := serverstate.SnapshotPrefixOf(sidecar); !slices.Contains(s.ownPrefixes, prefix) {
		s.ownPrefixes = append(s.ownPrefixes, prefix)
	}
	storeCopy := s.store
	s.mu.Unlock()
	updateInterest(storeCopy)
}

// Subscription implements Subscriber. Besides its own snapshots, a daemon needs those of all sidecars while its sidecar
// starts without a snapshot of its own, and while the daemon sweeps.
func (s *StateSnapshots) Subscription() changefeed.Subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := store.Interest{Prefixes: s.ownPrefixes}
	subscription := changefeed.Subscription{Interest: &own, Retained: own}
	if len(s.ownPrefixes) > 0 {
		subscription.SizePrefixes = []string{serverstate.SnapshotPrefix}
	}
	all := store.Interest{Prefixes: []string{serverstate.SnapshotPrefix}}
	if len(s.ownPrefixes) > 0 && s.hasCopy && !s.serving && !s.hasOwnSnapshot() {
		subscription.Interest, subscription.Retained = &all, all
	}
	if s.sweepers > 0 {
		subscription.Interest = &all
	}
	return subscription
}

// hasOwnSnapshot reports whether the copy holds a snapshot of one of this daemon's sidecars. The caller holds the lock.
func (s *StateSnapshots) hasOwnSnapshot() bool {
	for key := range s.snapshots {
		if slices.ContainsFunc(s.ownPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) }) {
			return true
		}
	}
	return false
}

// ObservePrefixSize implements PrefixSizeObserver.
func (s *StateSnapshots) ObservePrefixSize(prefix string, n store.PrefixSize) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if prefix == serverstate.SnapshotPrefix && s.partial {
		s.storedSize = n
	}
}

// SubscribeAll subscribes to the snapshots of all sidecars until ctx ends. A daemon calls it while it sweeps expired
// snapshots.
func (s *StateSnapshots) SubscribeAll(ctx context.Context) {
	addSweepers := func(n int) {
		s.mu.Lock()
		s.sweepers += n
		storeCopy := s.store
		s.mu.Unlock()
		updateInterest(storeCopy)
	}
	addSweepers(1)
	context.AfterFunc(ctx, func() { addSweepers(-1) })
}

// Run implements Component. It does nothing, since SaveSnapshots saves the snapshots.
func (s *StateSnapshots) Run(ctx context.Context) { <-ctx.Done() }

// Confirmed implements ConfirmationObserver.
func (s *StateSnapshots) Confirmed(ago time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = max(s.confirmedAt, s.now(time.Now())-int64(ago))
}

func (s *StateSnapshots) setSnapshot(key string, stored storedSnapshot) {
	s.removeSnapshot(key)
	s.snapshots[key] = stored
	s.bytes += len(stored.value)
}

func (s *StateSnapshots) removeSnapshot(key string) {
	s.bytes -= len(s.snapshots[key].value)
	delete(s.snapshots, key)
}

// Event implements Component. A snapshot counts as saved when a quorum last confirmed the copy, which is the earliest
// possible time.
func (s *StateSnapshots) Event(e store.Event) {
	if !strings.HasPrefix(e.Item.Key, serverstate.SnapshotPrefix) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Deleted {
		s.removeSnapshot(e.Item.Key)
	} else {
		s.setSnapshot(e.Item.Key, storedSnapshot{value: e.Item.Value, savedAt: s.confirmedAt, revision: e.Revision})
	}
	s.schedule.Committed(s.now(time.Now()), e.Item.Key, e.Revision, e.Deleted)
}

// Reset implements Component.
func (s *StateSnapshots) Reset(state *store.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasCopy = true
	s.partial = isPartial(state, serverstate.SnapshotPrefix)
	if !s.partial {
		s.storedSize = store.PrefixSize{}
	}
	for key := range s.snapshots {
		if _, ok := state.Get(key); !ok {
			s.removeSnapshot(key)
		}
	}
	rangeSnapshots(state, func(i store.Item) {
		if s.snapshots[i.Key].revision != i.ModRevision {
			s.setSnapshot(i.Key, storedSnapshot{value: i.Value, revision: i.ModRevision})
		}
	})
	s.schedule.Reset(s.now(time.Now()), revisionsWithPrefix(state, serverstate.SnapshotPrefix))
}

func rangeSnapshots(state *store.State, f func(store.Item)) {
	state.Range(serverstate.SnapshotPrefix, store.PrefixEnd(serverstate.SnapshotPrefix), func(i store.Item) bool {
		f(i)
		return true
	})
}

// Expired implements Expirer.
func (s *StateSnapshots) Expired(now time.Time) (txns []*store.Txn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, expired := s.schedule.Due(s.now(now))
	for _, key := range expired {
		txns = append(txns, &store.Txn{
			If:   []store.Compare{{Key: key, ModRevision: s.snapshots[key].revision}},
			Then: []store.Op{{Key: key, Delete: true}},
		})
	}
	return txns
}

// RestoreCandidates returns the snapshots of a protocol from which a sidecar may restore its state at its start. The
// age of one that this daemon did not see arrive is by the clock of the host that saved it.
func (s *StateSnapshots) RestoreCandidates(sidecar, protocol string) (all []recovery.Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now(time.Now())
	for key, stored := range s.snapshots {
		owner, keyProtocol, ok := serverstate.ParseSnapshotKey(key)
		if !ok || keyProtocol != protocol {
			continue
		}
		saved, _, err := decodeSnapshot(stored.value)
		if err != nil {
			s.log.Warn("ignoring a snapshot in the store that cannot be decoded", "key", key, "error", err)
			continue
		}
		c := recovery.Candidate{Source: "the store: " + owner, Snapshot: saved, Own: owner == sidecar}
		if stored.savedAt != 0 {
			c.Age, c.SameClock = (now-stored.savedAt)/int64(time.Microsecond), true
		} else {
			clock := snapshot.ReadClock()
			c.Age = clock.Since(saved.Clock)
			c.SameClock = clock.BootID != "" && clock.BootID == saved.Clock.BootID
		}
		all = append(all, c)
	}
	return all
}

// decodeSnapshot decodes a stored value. It returns the snapshot and the daemon that saved it.
func decodeSnapshot(value []byte) (saved *snapshot.Saved, savedBy string, err error) {
	record, err := serverstate.DecodeModuleSnapshot(value)
	if err != nil {
		return nil, "", fmt.Errorf("decode record: %w", err)
	}
	saved, err = snapshot.Decode(record.Data)
	if err != nil {
		return nil, "", fmt.Errorf("decode snapshot: %w", err)
	}
	return saved, record.ReportedBy, nil
}

// RecordRestore records from which snapshots a sidecar's decision module restored its state, and the number of servers
// in the restored state. An empty protocol is HTTP.
func (s *StateSnapshots) RecordRestore(protocol string, c recovery.Choice, servers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = append(s.restored, RestoredState{
		Protocol:  protocol,
		Source:    c.Source,
		Snapshots: c.Sources,
		Servers:   servers,
		Age:       time.Duration(c.Age) * time.Microsecond,
	})
}

// restoredStates lists the restores that RecordRestore recorded.
func (s *StateSnapshots) restoredStates() []RestoredState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.restored)
}

// snapshotTotals returns the number of snapshots that the copy holds, and the bytes of their values.
func (s *StateSnapshots) snapshotTotals() (n, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.snapshots), s.bytes
}

// SnapshotAges returns, by key, the ages of the snapshots whose age this daemon knows.
func (s *StateSnapshots) SnapshotAges() map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, ages := s.now(time.Now()), map[string]time.Duration{}
	for key, stored := range s.snapshots {
		if stored.savedAt != 0 {
			ages[key] = time.Duration(now - stored.savedAt)
		}
	}
	return ages
}

// ReportSnapshotAge sets the age of a snapshot that this daemon did not see arrive, as another daemon measured it.
func (s *StateSnapshots) ReportSnapshotAge(key string, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, ok := s.snapshots[key]
	if !ok || stored.savedAt != 0 || age < 0 {
		return
	}
	stored.savedAt = s.now(time.Now()) - int64(age)
	s.snapshots[key] = stored
}

// SaveSnapshots saves the snapshots of a sidecar's protocol, which take returns, in the store until ctx ends. It saves
// none while paused returns true, since another process saves them then.
func (s *StateSnapshots) SaveSnapshots(ctx context.Context, sidecar, protocol string,
	take func(context.Context) ([]byte, error), paused func() bool) {
	key := serverstate.SnapshotKey(sidecar, protocol)
	s.mu.Lock()
	s.serving = true
	s.mu.Unlock()
	s.AddSidecar(sidecar)
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.saveInterval()):
		}
		if paused() {
			continue
		}
		err := s.save(ctx, key, take)
		if err != nil && ctx.Err() == nil && !failing && !errors.Is(err, store.ErrUnsupportedLevel) {
			s.log.Warn("cannot save a snapshot in the store; trying again at the next interval",
				"key", key, "error", err)
		}
		failing = err != nil
	}
}

// saveInterval returns the time until the next snapshot is taken.
func (s *StateSnapshots) saveInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partial && !s.hasOwnSnapshot() {
		return time.Duration(serverstate.SnapshotInterval(0)) // save one soon, from which a restart can restore
	}
	return time.Duration(serverstate.SnapshotInterval(max(s.bytes, s.storedSize.Bytes)))
}

// save takes one snapshot and writes it.
func (s *StateSnapshots) save(ctx context.Context, key string, take func(context.Context) ([]byte, error)) error {
	data, err := take(ctx)
	if err != nil {
		return err
	}
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	record := serverstate.ModuleSnapshot{ReportedBy: s.name, Data: data}
	_, err = s.store.Do(writeCtx, store.Command{Txn: record.PutTxn(key)})
	return err
}
