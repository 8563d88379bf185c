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
const picturesKept = 10 * time.Minute

// StateSnapshots is what the decision modules of all know, as the store keeps it: their pictures. It is a Part; any goroutine may use it.
type StateSnapshots struct {
	desk
	turns    *serverstate.ReportScheduler // for their ends alone
	all      map[string]picture
	bytes    int
	proved   int64 // when a quorum last confirmed the copy; 0: not since the start
	recalled []RestoredState

	own    []string         // prefixes of this daemon's sidecar's pictures
	seen   bool             // there was a copy
	begun  bool             // the sidecar serves: others' pictures have done their part
	sweeps int              // this daemon ends for all what nobody puts any more
	part   bool             // the copy does not hold all pictures:
	sum    store.PrefixSize // there are so many
}

type picture struct {
	value  []byte
	at     int64 // when it was put at the earliest, by this daemon's clock; 0: not known
	agreed uint64
}

// NewStateSnapshots returns that of the daemon of a name.
func NewStateSnapshots(name string, log *slog.Logger) *StateSnapshots {
	return &StateSnapshots{desk: newDesk(name, log), all: map[string]picture{}, turns: serverstate.NewReportScheduler(name, serverstate.ReportSchedule{Spread: 1, Keep: int64(picturesKept)})}
}

// Own says whose pictures are this daemon's own: those of its sidecar. It is called before the copy is opened, and by Keep.
func (k *StateSnapshots) Own(sidecar string) {
	k.mu.Lock()
	if prefix := serverstate.SnapshotPrefixOf(sidecar); !slices.Contains(k.own, prefix) {
		k.own = append(k.own, prefix)
	}
	s := k.store
	k.mu.Unlock()
	rescope(s)
}

// Subscription is of Needy. Others' pictures are of use to a sidecar that begins without one of its own, and to who ends them.
func (k *StateSnapshots) Subscription() changefeed.Subscription {
	k.mu.Lock()
	defer k.mu.Unlock()
	own := store.Interest{Prefixes: k.own}
	n := changefeed.Subscription{Of: &own, Kept: own}
	if len(k.own) > 0 {
		n.Sums = []string{serverstate.SnapshotPrefix}
	}
	all := store.Interest{Prefixes: []string{serverstate.SnapshotPrefix}}
	if len(k.own) > 0 && k.seen && !k.begun && !k.has() {
		n.Of, n.Kept = &all, all
	}
	if k.sweeps > 0 {
		n.Of = &all
	}
	return n
}

// has says whether there is a picture of its own. The lock is held.
func (k *StateSnapshots) has() bool {
	for key := range k.all {
		if slices.ContainsFunc(k.own, func(p string) bool { return strings.HasPrefix(key, p) }) {
			return true
		}
	}
	return false
}

// Sum is of Summed.
func (k *StateSnapshots) Sum(prefix string, n store.PrefixSize) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if prefix == serverstate.SnapshotPrefix && k.part {
		k.sum = n
	}
}

// Sweeps says that this daemon ends for all what nobody puts any more, until ctx ends: it needs all of it.
func (k *StateSnapshots) Sweeps(ctx context.Context) {
	add := func(n int) {
		k.mu.Lock()
		k.sweeps += n
		s := k.store
		k.mu.Unlock()
		rescope(s)
	}
	add(1)
	context.AfterFunc(ctx, func() { add(-1) })
}

// holdsPart says whether a copy does not hold all keys with a prefix.
func holdsPart(s *store.State, prefix string) bool {
	of := s.Interest()
	return of != nil && !of.CoversPrefix(prefix)
}

// Run is of Part: sidecars put their pictures by Keep.
func (k *StateSnapshots) Run(ctx context.Context) { <-ctx.Done() }

// Confirmed is of Prover.
func (k *StateSnapshots) Confirmed(ago time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.proved = max(k.proved, k.now(time.Now())-int64(ago))
}

func (k *StateSnapshots) set(key string, p picture, gone bool) {
	if was, ok := k.all[key]; ok {
		k.bytes -= len(was.value)
		delete(k.all, key)
	}
	if !gone {
		k.all[key] = p
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
	k.set(e.Item.Key, picture{e.Item.Value, k.proved, e.Revision}, e.Deleted)
	k.turns.Told(k.now(time.Now()), e.Item.Key, e.Revision, e.Deleted)
}

// Reset is of Part.
func (k *StateSnapshots) Reset(s *store.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.seen, k.part = true, holdsPart(s, serverstate.SnapshotPrefix); !k.part {
		k.sum = store.PrefixSize{}
	}
	for key := range k.all {
		if _, ok := s.Get(key); !ok {
			k.set(key, picture{}, true)
		}
	}
	s.Range(serverstate.SnapshotPrefix, store.PrefixEnd(serverstate.SnapshotPrefix), func(i store.Item) bool {
		if k.all[i.Key].agreed != i.ModRevision {
			k.set(i.Key, picture{i.Value, 0, i.ModRevision}, false)
		}
		return true
	})
	k.turns.Found(k.now(time.Now()), wordsOf(s, serverstate.SnapshotPrefix))
}

// Expired is of Sweeper: it ends those that nobody has put for long.
func (k *StateSnapshots) Expired(now time.Time) (ends []*store.Txn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, over := k.turns.Due(k.now(now))
	for _, key := range over {
		ends = append(ends, &store.Txn{If: []store.Compare{{Key: key, ModRevision: k.all[key].agreed}}, Then: []store.Op{{Key: key, Delete: true}}})
	}
	return ends
}

// RestoreCandidates are those of a protocol that a sidecar may believe at its start.
func (k *StateSnapshots) RestoreCandidates(sidecar, protocol string) (all []recovery.Candidate) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now(time.Now())
	for key, p := range k.all {
		of, its, ok := serverstate.ParseSnapshotKey(key)
		if !ok || its != protocol {
			continue
		}
		v, err := serverstate.DecodeModuleSnapshot(p.value)
		var kept *snapshot.Saved
		if err == nil {
			kept, err = snapshot.Decode(v.Known)
		}
		if err != nil {
			k.log.Warn("a picture in the store is passed over", "key", key, "error", err)
			continue
		}
		c := recovery.Candidate{From: "the store: " + of, Kept: kept, Own: of == sidecar}
		here := snapshot.Now()
		switch {
		case p.at != 0:
			c.Age, c.Sure = (now-p.at)/1000, true
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
	k.recalled = append(k.recalled, RestoredState{protocol, c.From, c.Of, servers, time.Duration(c.Age) * time.Microsecond})
}

// recalls lists them.
func (k *StateSnapshots) recalls() []RestoredState {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.recalled)
}

// held is how many there are, and their bytes.
func (k *StateSnapshots) held() (n, bytes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.all), k.bytes
}

// PictureAges are those that this daemon saw come: how long ago.
func (k *StateSnapshots) PictureAges() map[string]time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, all := k.now(time.Now()), map[string]time.Duration{}
	for key, p := range k.all {
		if p.at != 0 {
			all[key] = time.Duration(now - p.at)
		}
	}
	return all
}

// PictureAge takes the word of another daemon's clock on how long ago a picture was put, where this one did not see it come.
func (k *StateSnapshots) PictureAge(key string, age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p, ok := k.all[key]; ok && p.at == 0 && age >= 0 {
		p.at = k.now(time.Now()) - int64(age)
		k.all[key] = p
	}
}

// SaveSnapshots puts a sidecar's pictures in the store until ctx ends.
func (k *StateSnapshots) SaveSnapshots(ctx context.Context, sidecar, protocol string, take func(context.Context) ([]byte, error), paused func() bool) {
	key := serverstate.SnapshotKey(sidecar, protocol)
	failing := false
	k.mu.Lock()
	k.begun = true
	k.mu.Unlock()
	k.Own(sidecar)
	for {
		k.mu.Lock()
		wait := time.Duration(serverstate.SnapshotInterval(max(k.bytes, k.sum.Bytes)))
		if k.part && !k.has() {
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
		err := k.keep(ctx, key, take)
		if err != nil && ctx.Err() == nil && !failing && !errors.Is(err, store.ErrLevel) {
			k.log.Warn("the store does not keep what is known here", "key", key, "error", err)
		}
		failing = err != nil
	}
}

// keep puts one.
func (k *StateSnapshots) keep(ctx context.Context, key string, take func(context.Context) ([]byte, error)) error {
	known, err := take(ctx)
	if err != nil {
		return err
	}
	c, cancel := context.WithTimeout(ctx, writeWait)
	defer cancel()
	_, err = k.store.Do(c, store.Command{Txn: serverstate.ModuleSnapshot{By: k.name, Known: known}.Put(key)})
	return err
}
