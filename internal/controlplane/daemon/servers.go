package daemon

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"birchmoor/internal/platform/snapshot"
	"birchmoor/internal/store"
	"birchmoor/internal/store/serverstate"
)

const snapshotsReadTimeout = 3 * time.Second // for a replica's pictures, when people ask

// ServerFact is one thing that is known of a server, from whom and how old.
type ServerFact struct {
	ID          string `json:"id"`
	Addr        string `json:"address,omitempty"`
	StartedMs   int64  `json:"started_ms,omitempty"` // by discovery; 0: not told
	Kind        string `json:"what"`                 // "drains", "banned", "began", "cold", "known"
	By          string `json:"by"`                   // a daemon; of "cold" and "known" how many sidecars hold it so
	Sidecars    int    `json:"sidecars,omitempty"`
	AgeMs       int64  `json:"age_ms"`            // since the store's latest word came here; -1: before this daemon's start
	RemainingMs int64  `json:"left_ms,omitempty"` // for which it matters yet
	Committed   bool   `json:"agreed"`            // the store has it; if not, it is this daemon's word alone
	Partial     bool   `json:"alone,omitempty"`   // counted by the pictures that this daemon's copy holds, which are not all
}

// Servers are the parts that tell of servers, seen together: what a sidecar has of them (sidecar.Fleet, maintenance.Shared) and what
// people do.
type Servers struct {
	*AdminDrains
	*Drains
	*Starts
	*StateSnapshots

	mu      sync.Mutex
	startup StartupState
}

// NewServers returns those of the daemon of a name.
func NewServers(name string, log *slog.Logger) *Servers {
	return &Servers{AdminDrains: NewAdminDrains(name, log), Drains: NewDrains(name, log), Starts: NewStarts(name, log), StateSnapshots: NewStateSnapshots(name, log)}
}

// Components are those of a Daemon.
func (s *Servers) Components() []Component {
	return []Component{s.AdminDrains, s.Drains, s.Starts, s.StateSnapshots}
}

// Exclusions lists the servers that are out, by whose word and how old that is.
func (s *Servers) Exclusions() []serverstate.Exclusion {
	all := append(s.AdminDrains.Exclusions(), s.Drains.Exclusions()...)
	slices.SortFunc(all, func(a, b serverstate.Exclusion) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Kind, b.Kind))
	})
	return all
}

// List lists all that this copy and this daemon know of servers. Where the copy does not hold all pictures a replica's are read, if ctx
// is not nil.
func (s *Servers) List(ctx context.Context) []ServerFact {
	var all []ServerFact
	for _, o := range s.Exclusions() {
		f := ServerFact{ID: o.Server, Kind: "banned", By: o.ReportedBy, AgeMs: o.AgeMillis, Committed: o.Committed}
		if p, ok := parseDrainKey(serverstate.ExclusionKey(o.Kind, o.Server)); ok {
			f.ID, f.Addr, f.StartedMs, f.Kind = p.ID, p.Addr, p.StartedMs, "drains"
		}
		all = append(all, f)
	}
	all = append(append(all, s.Starts.facts()...), s.StateSnapshots.facts(ctx)...)
	slices.SortFunc(all, func(a, b ServerFact) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.StartedMs, b.StartedMs), cmp.Compare(a.Kind, b.Kind))
	})
	return all
}

// facts adds up what the pictures tell: by whom a server is known, and held to be cold.
func (k *StateSnapshots) facts(ctx context.Context) []ServerFact {
	k.mu.Lock()
	pictures, alone, now := maps.Clone(k.snapshots), k.partial, k.now(time.Now())
	k.mu.Unlock()
	if alone && ctx != nil {
		found := map[string]storedSnapshot{}
		wait, cancel := context.WithTimeout(ctx, snapshotsReadTimeout)
		defer cancel()
		if _, err := k.store.View(wait, false, func(s *store.State) {
			clear(found)
			s.Range(serverstate.SnapshotPrefix, store.PrefixEnd(serverstate.SnapshotPrefix), func(i store.Item) bool {
				found[i.Key] = storedSnapshot{value: i.Value, putAt: pictures[i.Key].putAt}
				return true
			})
		}); err == nil {
			pictures, alone = found, false
		}
	}
	type server struct {
		id, addr string
		start    int64
		what     string
	}
	at := map[server]*ServerFact{}
	for _, p := range pictures {
		v, err := serverstate.DecodeModuleSnapshot(p.value)
		if err != nil {
			continue
		}
		shown, err := snapshot.Decode(v.Data)
		if err != nil {
			continue
		}
		age := int64(-1)
		if p.putAt != 0 {
			age = (now - p.putAt) / 1e6
		}
		for i, e := range shown.State.Endpoints {
			s := server{id: shown.Names[i], start: e.StartTime / 1000, what: "known"}
			if i < len(shown.Addrs) {
				s.addr = shown.Addrs[i]
			}
			if e.WarmingUp {
				s.what = "cold"
			}
			f := at[s]
			if f == nil {
				f = &ServerFact{ID: s.id, Addr: s.addr, StartedMs: s.start, Kind: s.what, By: v.ReportedBy, AgeMs: age, Committed: true, Partial: alone}
				at[s] = f
			}
			f.Sidecars++
			if age >= 0 && (f.AgeMs < 0 || age < f.AgeMs) {
				f.AgeMs, f.By = age, v.ReportedBy
			}
		}
	}
	all := make([]ServerFact, 0, len(at))
	for _, f := range at {
		all = append(all, *f)
	}
	return all
}

// StartupState is what a daemon knew when it started, before it heard anything.
type StartupState struct {
	From       string `json:"from"` // "own disk", "another replica" or "nothing"
	Revision   uint64 `json:"revision"`
	Exclusions int    `json:"out"`
	Starts     int    `json:"starts"`
	Snapshots  int    `json:"pictures"`
	Settings   bool   `json:"settings"`      // of the fleet
	Age        string `json:"age,omitempty"` // since the disk was written, by this host's clock

	Restored []RestoredState `json:"recalled,omitempty"` // what the sidecar's decision modules went on from
}

// RestoredState is what a sidecar's decision module went on from at its start.
type RestoredState struct {
	Protocol  string        `json:"protocol,omitempty"` // "" is HTTP
	From      string        `json:"from"`
	Snapshots int           `json:"pictures"`
	Servers   int           `json:"servers"`
	Age       time.Duration `json:"age_ns"`
}

// RecordStartup notes what this daemon started with, and whether that has settings. written is when its disk was, zero if there was none.
func (s *Servers) RecordStartup(from string, revision uint64, written time.Time, settings bool) {
	b := StartupState{From: from, Revision: revision, Exclusions: len(s.Exclusions()), Starts: s.Starts.count(), Settings: settings}
	b.Snapshots, _ = s.StateSnapshots.size()
	if !written.IsZero() {
		b.Age = time.Since(written).Round(time.Millisecond).String()
	}
	s.mu.Lock()
	s.startup = b
	s.mu.Unlock()
	s.AdminDrains.log.Info("what the store knows at the start", "from", from, "revision", revision, "out", b.Exclusions, "starts", b.Starts,
		"pictures", b.Snapshots, "age", b.Age)
}

// StartupState is what this daemon knew when it started.
func (s *Servers) StartupState() StartupState {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.startup
	b.Restored = s.StateSnapshots.restoredStates()
	return b
}

// Counts is how much this daemon holds of what daemons tell each other.
type Counts struct {
	Exclusions    int `json:"out"`    // servers that are out
	Starts        int `json:"starts"` // processes that are cold yet
	Snapshots     int `json:"pictures"`
	SnapshotBytes int `json:"picture_bytes"`
	PendingWrites int `json:"owed"` // changes that wait to be written
}

// Counts returns it.
func (s *Servers) Counts() Counts {
	k := Counts{Exclusions: len(s.Exclusions()), Starts: s.Starts.count(), PendingWrites: len(s.AdminDrains.pending) + len(s.Drains.pending) + len(s.Starts.pending)}
	k.Snapshots, k.SnapshotBytes = s.StateSnapshots.size()
	return k
}
