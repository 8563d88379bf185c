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

// The state of the decision modules is kept in the store, so that a new host, or one that lost its disk, does not start
// from nothing. Each sidecar saves its own snapshot, as often as the bytes of all allow (serverstate.SnapshotInterval).
// One that was not saved again for snapshotRetention is ended by any daemon.
const snapshotRetention = 10 * time.Minute

// StateSnapshots are the snapshots of all sidecars' decision modules that the store holds. It is a Component, and safe
// for concurrent use.
type StateSnapshots struct {
	outbox
	schedule    *serverstate.ReportScheduler // used for expiry alone
	snapshots   map[string]storedSnapshot    // by key
	bytes       int                          // of their values
	confirmedAt int64                        // when a quorum last confirmed the copy; 0: not since the start
	restored    []RestoredState

	ownPrefixes []string         // of the keys of this daemon's sidecars
	hasCopy     bool             // there was a Reset
	serving     bool             // a sidecar serves, and needs no snapshot of others any more
	sweepers    int              // tasks for which this daemon needs all snapshots
	partial     bool             // the copy does not hold all snapshots
	storedSize  store.PrefixSize // of all snapshots, where partial is set
}

type storedSnapshot struct {
	value    []byte
	savedAt  int64 // the earliest instant, by this daemon's clock, at which it may have been saved; 0: not known
	revision uint64
}

// NewStateSnapshots returns those of the daemon with a name.
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

// AddSidecar makes the snapshots of a sidecar this daemon's own. It is called before the copy is opened, and by
// SaveSnapshots.
func (s *StateSnapshots) AddSidecar(sidecar string) {
	s.mu.Lock()
	if prefix := serverstate.SnapshotPrefixOf(sidecar); !slices.Contains(s.ownPrefixes, prefix) {
		s.ownPrefixes = append(s.ownPrefixes, prefix)
	}
	copied := s.store
	s.mu.Unlock()
	updateInterest(copied)
}

// Subscription implements Subscriber. Besides its own snapshots, a daemon needs those of others while a sidecar starts
// without one of its own, and while it sweeps.
func (s *StateSnapshots) Subscription() changefeed.Subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := store.Interest{Prefixes: s.ownPrefixes}
	sub := changefeed.Subscription{Interest: &own, Retained: own}
	if len(s.ownPrefixes) > 0 {
		sub.SizePrefixes = []string{serverstate.SnapshotPrefix}
	}
	all := store.Interest{Prefixes: []string{serverstate.SnapshotPrefix}}
	if len(s.ownPrefixes) > 0 && s.hasCopy && !s.serving && !s.hasOwn() {
		sub.Interest, sub.Retained = &all, all
	}
	if s.sweepers > 0 {
		sub.Interest = &all
	}
	return sub
}

// hasOwn reports whether the copy holds a snapshot of this daemon's own. The lock is held.
func (s *StateSnapshots) hasOwn() bool {
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

// SubscribeAll subscribes to the snapshots of all sidecars until ctx ends: this daemon sweeps expired ones.
func (s *StateSnapshots) SubscribeAll(ctx context.Context) {
	addSweepers := func(n int) {
		s.mu.Lock()
		s.sweepers += n
		copied := s.store
		s.mu.Unlock()
		updateInterest(copied)
	}
	addSweepers(1)
	context.AfterFunc(ctx, func() { addSweepers(-1) })
}

// Run implements Component. Snapshots are saved by SaveSnapshots.
func (s *StateSnapshots) Run(ctx context.Context) { <-ctx.Done() }

// Confirmed implements ConfirmationObserver.
func (s *StateSnapshots) Confirmed(ago time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = max(s.confirmedAt, s.now(time.Now())-int64(ago))
}

func (s *StateSnapshots) set(key string, stored storedSnapshot) {
	s.remove(key)
	s.snapshots[key] = stored
	s.bytes += len(stored.value)
}

func (s *StateSnapshots) remove(key string) {
	s.bytes -= len(s.snapshots[key].value)
	delete(s.snapshots, key)
}

// Event implements Component. The snapshot may have been saved at any time since a quorum last confirmed the copy.
func (s *StateSnapshots) Event(e store.Event) {
	if !strings.HasPrefix(e.Item.Key, serverstate.SnapshotPrefix) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Deleted {
		s.remove(e.Item.Key)
	} else {
		s.set(e.Item.Key, storedSnapshot{value: e.Item.Value, savedAt: s.confirmedAt, revision: e.Revision})
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
			s.remove(key)
		}
	}
	rangeSnapshots(state, func(i store.Item) {
		if s.snapshots[i.Key].revision != i.ModRevision {
			s.set(i.Key, storedSnapshot{value: i.Value, revision: i.ModRevision})
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

// RestoreCandidates returns the snapshots of a protocol from which a sidecar may restore its state at its start.
func (s *StateSnapshots) RestoreCandidates(sidecar, protocol string) (all []recovery.Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now(time.Now())
	for key, stored := range s.snapshots {
		owner, ofProtocol, ok := serverstate.ParseSnapshotKey(key)
		if !ok || ofProtocol != protocol {
			continue
		}
		saved, _, err := decodeSnapshot(stored.value)
		if err != nil {
			s.log.Warn("a snapshot in the store is ignored", "key", key, "error", err)
			continue
		}
		c := recovery.Candidate{Source: "the store: " + owner, Snapshot: saved, Own: owner == sidecar}
		if stored.savedAt != 0 {
			c.Age, c.SameClock = (now-stored.savedAt)/int64(time.Microsecond), true
		} else {
			here := snapshot.ReadClock()
			c.Age = here.Since(saved.Clock)
			c.SameClock = here.BootID != "" && here.BootID == saved.Clock.BootID
		}
		all = append(all, c)
	}
	return all
}

// decodeSnapshot decodes a stored value, and returns the daemon that saved it.
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

// RecordRestore notes what a sidecar's decision module restored its state from, and the number of servers in that.
func (s *StateSnapshots) RecordRestore(protocol string, c recovery.Choice, servers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = append(s.restored, RestoredState{
		Protocol:  protocol,
		From:      c.Source,
		Snapshots: c.Sources,
		Servers:   servers,
		Age:       time.Duration(c.Age) * time.Microsecond,
	})
}

// restoredStates lists what RecordRestore noted.
func (s *StateSnapshots) restoredStates() []RestoredState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.restored)
}

// size returns the number of snapshots that the copy holds, and their bytes.
func (s *StateSnapshots) size() (n, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.snapshots), s.bytes
}

// SnapshotAges returns, by key, the ages of the snapshots that this daemon saw arrive.
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

// ReportSnapshotAge takes the age of a snapshot by another daemon's clock, for one that this daemon did not see arrive.
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

// SaveSnapshots saves the snapshots of a sidecar's protocol, which take returns, until ctx ends. While paused returns
// true, another process saves them.
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
			s.log.Warn("cannot save a snapshot in the store", "key", key, "error", err)
		}
		failing = err != nil
	}
}

// saveInterval returns the time until the next snapshot.
func (s *StateSnapshots) saveInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partial && !s.hasOwn() {
		return time.Duration(serverstate.SnapshotInterval(0)) // a restart would find nothing of its own yet
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
