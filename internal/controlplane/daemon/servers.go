package daemon

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"birchmoor/internal/store/serverstate"
)

// Servers combines the components that report on servers, for a sidecar (sidecar.Fleet, maintenance.FleetOverrides) and
// for operators.
type Servers struct {
	*AdminDrains
	*Drains
	*Starts
	*StateSnapshots

	log *slog.Logger

	mu      sync.Mutex
	startup StartupState
}

// NewServers returns those of the daemon with a name.
func NewServers(name string, log *slog.Logger) *Servers {
	return &Servers{
		AdminDrains:    NewAdminDrains(name, log),
		Drains:         NewDrains(name, log),
		Starts:         NewStarts(name, log),
		StateSnapshots: NewStateSnapshots(name, log),
		log:            log,
	}
}

// Components are those that a Daemon has to run.
func (s *Servers) Components() []Component {
	return []Component{s.AdminDrains, s.Drains, s.Starts, s.StateSnapshots}
}

// Exclusions lists the excluded servers, by whom they were reported, and the ages of the reports.
func (s *Servers) Exclusions() []serverstate.Exclusion {
	all := append(s.AdminDrains.Exclusions(), s.Drains.Exclusions()...)
	slices.SortFunc(all, func(a, b serverstate.Exclusion) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Kind, b.Kind))
	})
	return all
}

// List lists everything that is known of servers here. Where the copy does not hold all snapshots, those of a replica
// are read, unless ctx is nil.
func (s *Servers) List(ctx context.Context) []ServerFact {
	var all []ServerFact
	for _, e := range s.Exclusions() {
		all = append(all, exclusionFact(e))
	}
	all = append(all, s.Starts.facts()...)
	all = append(all, s.StateSnapshots.facts(ctx)...)
	slices.SortFunc(all, func(a, b ServerFact) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.StartedMs, b.StartedMs),
			cmp.Compare(a.Kind, b.Kind))
	})
	return all
}

// StartupState is what a daemon knew when it started, before it received anything.
type StartupState struct {
	From       string `json:"from"` // "own disk", "another replica" or "nothing"
	Revision   uint64 `json:"revision"`
	Exclusions int    `json:"out"`
	Starts     int    `json:"starts"`
	Snapshots  int    `json:"pictures"`
	Settings   bool   `json:"settings"`      // the store has settings
	Age        string `json:"age,omitempty"` // since the disk was written, by this host's clock

	Restored []RestoredState `json:"recalled,omitempty"` // what the sidecar's decision modules started from
}

// RestoredState is what the decision module of a sidecar's protocol restored its state from.
type RestoredState struct {
	Protocol  string        `json:"protocol,omitempty"` // "" is HTTP
	From      string        `json:"from"`
	Snapshots int           `json:"pictures"` // that were combined
	Servers   int           `json:"servers"`
	Age       time.Duration `json:"age_ns"`
}

// RecordStartup notes what this daemon started with, and whether that includes settings. written is when its disk was
// last written, zero if there was none.
func (s *Servers) RecordStartup(from string, revision uint64, written time.Time, settings bool) {
	state := StartupState{
		From:       from,
		Revision:   revision,
		Exclusions: len(s.Exclusions()),
		Starts:     s.count(),
		Settings:   settings,
	}
	state.Snapshots, _ = s.size()
	if !written.IsZero() {
		state.Age = time.Since(written).Round(time.Millisecond).String()
	}
	s.mu.Lock()
	s.startup = state
	s.mu.Unlock()
	s.log.Info("state of the store at startup", "from", from, "revision", revision, "exclusions", state.Exclusions,
		"starts", state.Starts, "snapshots", state.Snapshots, "age", state.Age)
}

// StartupState returns what this daemon knew when it started.
func (s *Servers) StartupState() StartupState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.startup
	state.Restored = s.restoredStates()
	return state
}

// Counts says how much this daemon holds of what daemons report to each other.
type Counts struct {
	Exclusions    int `json:"out"`
	Starts        int `json:"starts"` // processes that are still warming up
	Snapshots     int `json:"pictures"`
	SnapshotBytes int `json:"picture_bytes"`
	PendingWrites int `json:"owed"`
}

// Counts returns them.
func (s *Servers) Counts() Counts {
	counts := Counts{
		Exclusions:    len(s.Exclusions()),
		Starts:        s.count(),
		PendingWrites: len(s.AdminDrains.pending) + len(s.Drains.pending) + len(s.Starts.pending),
	}
	counts.Snapshots, counts.SnapshotBytes = s.size()
	return counts
}
