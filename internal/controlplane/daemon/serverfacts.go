package daemon

import (
	"context"
	"maps"
	"time"

	"birchmoor/internal/platform/snapshot"
	"birchmoor/internal/store"
	"birchmoor/internal/store/serverstate"
)

// snapshotsReadTimeout bounds the read of a replica's snapshots for an operator.
const snapshotsReadTimeout = 3 * time.Second

// Kinds of ServerFact, as encoded.
const (
	factDraining  = "drains"
	factDrained   = "banned"
	factStarted   = "began"
	factWarmingUp = "cold"
	factKnown     = "known"
)

// ageUnknown is the age of a report that arrived before this daemon's start, in milliseconds.
const ageUnknown = -1

// ServerFact is one thing that is known of a server, by whom it was reported, and how old the report is.
type ServerFact struct {
	ID          string `json:"id"`
	Addr        string `json:"address,omitempty"`
	StartedMs   int64  `json:"started_ms,omitempty"` // by discovery; 0: it does not say
	Kind        string `json:"what"`                 // "drains", "banned", "began", "cold" or "known"
	By          string `json:"by"`                   // a daemon; of "cold" and "known" the one with the latest snapshot
	Sidecars    int    `json:"sidecars,omitempty"`   // with a snapshot that says so, of "cold" and "known"
	AgeMs       int64  `json:"age_ms"`               // since the report arrived here; -1: before this daemon's start
	RemainingMs int64  `json:"left_ms,omitempty"`    // for which it still matters
	Committed   bool   `json:"agreed"`               // the store has it; if not, it is this daemon's report alone
	Partial     bool   `json:"alone,omitempty"`      // this daemon's copy holds only some of the snapshots
}

func exclusionFact(e serverstate.Exclusion) ServerFact {
	fact := ServerFact{ID: e.Server, Kind: factDrained, By: e.ReportedBy, AgeMs: e.AgeMillis, Committed: e.Committed}
	if p, ok := parseDrainKey(serverstate.ExclusionKey(e.Kind, e.Server)); ok {
		fact.ID, fact.Addr, fact.StartedMs, fact.Kind = p.ID, p.Addr, p.StartedMs, factDraining
	}
	return fact
}

// facts counts in how many snapshots a server is known, and in how many it is warming up.
func (s *StateSnapshots) facts(ctx context.Context) []ServerFact {
	s.mu.Lock()
	snapshots, partial, now := maps.Clone(s.snapshots), s.partial, s.now(time.Now())
	s.mu.Unlock()
	if partial && ctx != nil {
		if all, err := s.readAll(ctx, snapshots); err == nil {
			snapshots, partial = all, false
		}
	}
	counts := factCounts{}
	for _, stored := range snapshots {
		saved, savedBy, err := decodeSnapshot(stored.value)
		if err != nil {
			continue
		}
		age := int64(ageUnknown)
		if stored.savedAt != 0 {
			age = (now - stored.savedAt) / int64(time.Millisecond)
		}
		counts.add(saved, savedBy, age, partial)
	}
	all := make([]ServerFact, 0, len(counts))
	for _, fact := range counts {
		all = append(all, *fact)
	}
	return all
}

// readAll reads the snapshots of a replica. It takes the ages from those that this copy holds.
func (s *StateSnapshots) readAll(ctx context.Context, held map[string]storedSnapshot) (
	map[string]storedSnapshot, error) {
	readCtx, cancel := context.WithTimeout(ctx, snapshotsReadTimeout)
	defer cancel()
	all := map[string]storedSnapshot{}
	_, err := s.store.View(readCtx, false, func(state *store.State) {
		clear(all)
		rangeSnapshots(state, func(i store.Item) {
			all[i.Key] = storedSnapshot{value: i.Value, savedAt: held[i.Key].savedAt}
		})
	})
	return all, err
}

// factCounts are facts of that several snapshots may report.
type factCounts map[factKey]*ServerFact

type factKey struct {
	id, addr  string
	startedMs int64
	kind      string
}

// add counts the servers of a snapshot. Of several the age and author of the latest are kept.
func (c factCounts) add(saved *snapshot.Saved, savedBy string, ageMs int64, partial bool) {
	for i, e := range saved.State.Endpoints {
		key := factKey{id: saved.Names[i], startedMs: e.StartTime / 1000, kind: factKnown}
		if i < len(saved.Addresses) {
			key.addr = saved.Addresses[i]
		}
		if e.WarmingUp {
			key.kind = factWarmingUp
		}
		fact := c[key]
		if fact == nil {
			fact = &ServerFact{
				ID:        key.id,
				Addr:      key.addr,
				StartedMs: key.startedMs,
				Kind:      key.kind,
				By:        savedBy,
				AgeMs:     ageMs,
				Committed: true,
				Partial:   partial,
			}
			c[key] = fact
		}
		fact.Sidecars++
		if ageMs >= 0 && (fact.AgeMs < 0 || ageMs < fact.AgeMs) {
			fact.AgeMs, fact.By = ageMs, savedBy
		}
	}
}
