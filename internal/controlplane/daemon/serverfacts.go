package daemon

import (
	"context"
	"maps"
	"time"

	"birchmoor/internal/platform/snapshot"
	"birchmoor/internal/store"
	"birchmoor/internal/store/serverstate"
)

// snapshotsReadTimeout bounds the time in which a replica's snapshots are read for an operator.
const snapshotsReadTimeout = 3 * time.Second

// Kinds of ServerFact, as encoded.
const (
	factDraining  = "drains"
	factDrained   = "banned"
	factStarted   = "began"
	factWarmingUp = "cold"
	factKnown     = "known"
)

// ageUnknown stands for the age, in milliseconds, of a report that the store had before this daemon's start.
const ageUnknown = -1

// ServerFact is one fact that is known of a server, with the daemon that reported it and the age of the report.
type ServerFact struct {
	ID          string `json:"id"`
	Addr        string `json:"address,omitempty"`
	StartedMs   int64  `json:"started_ms,omitempty"` // Unix milliseconds by the server's clock; 0: not known
	Kind        string `json:"what"`                 // "drains", "banned", "began", "cold" or "known"
	ReportedBy  string `json:"by"`                   // the daemon; of "cold" and "known" that of the latest snapshot
	Sidecars    int    `json:"sidecars,omitempty"`   // number with a snapshot that says so, of "cold" and "known"
	AgeMs       int64  `json:"age_ms"`               // since the report arrived here; -1: before this daemon's start
	RemainingMs int64  `json:"left_ms,omitempty"`    // until the process has warmed up, of "began"
	Committed   bool   `json:"agreed"`               // the store has it; otherwise only this daemon reported it
	Partial     bool   `json:"alone,omitempty"`      // this daemon's copy holds only some of the snapshots
}

// exclusionFact returns the fact of an exclusion: an administrative drain of a server or the drain of a process.
func exclusionFact(e serverstate.Exclusion) ServerFact {
	fact := ServerFact{
		ID:         e.Server,
		Kind:       factDrained,
		ReportedBy: e.ReportedBy,
		AgeMs:      e.AgeMillis,
		Committed:  e.Committed,
	}
	if p, ok := parseDrainKey(serverstate.ExclusionKey(e.Kind, e.Server)); ok {
		fact.ID, fact.Addr, fact.StartedMs, fact.Kind = p.ID, p.Addr, p.StartedMs, factDraining
	}
	return fact
}

// facts counts, for each server, in how many snapshots it is known and in how many of them it is warming up. If this
// copy does not hold all snapshots, facts reads those of a replica, unless ctx is nil or the read fails.
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

// readAll reads all snapshots, from a replica if this copy does not hold them. Their savedAt is that of the local
// snapshots, or 0 for those that this copy does not hold.
func (s *StateSnapshots) readAll(ctx context.Context, local map[string]storedSnapshot) (
	map[string]storedSnapshot, error) {
	readCtx, cancel := context.WithTimeout(ctx, snapshotsReadTimeout)
	defer cancel()
	all := map[string]storedSnapshot{}
	_, err := s.store.View(readCtx, false, func(state *store.State) {
		clear(all)
		rangeSnapshots(state, func(i store.Item) {
			all[i.Key] = storedSnapshot{value: i.Value, savedAt: local[i.Key].savedAt}
		})
	})
	return all, err
}

// factCounts holds the facts that the snapshots of several sidecars may report.
type factCounts map[factKey]*ServerFact

type factKey struct {
	id, addr  string
	startedMs int64
	kind      string
}

// add counts the servers of a snapshot. A fact of several snapshots has the age of the latest and the daemon that saved
// it.
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
				ID:         key.id,
				Addr:       key.addr,
				StartedMs:  key.startedMs,
				Kind:       key.kind,
				ReportedBy: savedBy,
				AgeMs:      ageMs,
				Committed:  true,
				Partial:    partial,
			}
			c[key] = fact
		}
		fact.Sidecars++
		if ageMs >= 0 && (fact.AgeMs < 0 || ageMs < fact.AgeMs) {
			fact.AgeMs, fact.ReportedBy = ageMs, savedBy
		}
	}
}
