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

// Servers combines the components that report on servers. A sidecar uses it as sidecar.Fleet and as
// maintenance.FleetOverrides; operators read its lists and counts. It is safe for concurrent use.
type Servers struct {
	*AdminDrains
	*Drains
	*Starts
	*StateSnapshots

	log *slog.Logger

	mu      sync.Mutex
	startup StartupState // without Restored
}

// NewServers returns the components for a daemon, whose reports carry its name.
func NewServers(name string, log *slog.Logger) *Servers {
	return &Servers{
		AdminDrains:    NewAdminDrains(name, log),
		Drains:         NewDrains(name, log),
		Starts:         NewStarts(name, log),
		StateSnapshots: NewStateSnapshots(name, log),
		log:            log,
	}
}

// Components returns the components that a Daemon has to run.
func (s *Servers) Components() []Component {
	return []Component{s.AdminDrains, s.Drains, s.Starts, s.StateSnapshots}
}

// Exclusions lists the excluded servers, with the daemons that reported them and the ages of the reports.
func (s *Servers) Exclusions() []serverstate.Exclusion {
	all := append(s.AdminDrains.Exclusions(), s.Drains.Exclusions()...)
	slices.SortFunc(all, func(a, b serverstate.Exclusion) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Kind, b.Kind))
	})
	return all
}

// List lists all facts that this daemon knows of servers. If its copy does not hold all snapshots, List reads them from
// a replica, unless ctx is nil.
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

// StartupState describes what a daemon knew when it started, before it received any change of the store.
type StartupState struct {
	Source     string `json:"from"`     // source of the copy: "own disk", "another replica" or "nothing"
	Revision   uint64 `json:"revision"` // of the copy
	Exclusions int    `json:"out"`
	Starts     int    `json:"starts"`
	Snapshots  int    `json:"pictures"`
	Settings   bool   `json:"settings"`      // the store has settings
	Age        string `json:"age,omitempty"` // time since the disk was last written, by this host's clock

	Restored []RestoredState `json:"recalled,omitempty"` // by decision module of this daemon's sidecar
}

// RestoredState describes the snapshots from which the decision module of a sidecar's protocol restored its state.
type RestoredState struct {
	Protocol  string        `json:"protocol,omitempty"` // "" is HTTP
	Source    string        `json:"from"`               // the source that package recovery chose
	Snapshots int           `json:"pictures"`           // number that was combined
	Servers   int           `json:"servers"`            // number in the restored state
	Age       time.Duration `json:"age_ns"`             // of the restored state
}

// RecordStartup records and logs what this daemon knew when it started: the source and the revision of its copy, and
// whether that holds settings. written is the time of the last write to its disk, zero if there was none.
func (s *Servers) RecordStartup(source string, revision uint64, written time.Time, settings bool) {
	state := StartupState{
		Source:     source,
		Revision:   revision,
		Exclusions: len(s.Exclusions()),
		Starts:     s.startCount(),
		Settings:   settings,
	}
	state.Snapshots, _ = s.snapshotTotals()
	if !written.IsZero() {
		state.Age = time.Since(written).Round(time.Millisecond).String()
	}
	s.mu.Lock()
	s.startup = state
	s.mu.Unlock()
	s.log.Info("opened the copy of the store", "from", source, "revision", revision, "exclusions", state.Exclusions,
		"starts", state.Starts, "snapshots", state.Snapshots, "age", state.Age)
}

// StartupState returns what RecordStartup and RecordRestore recorded.
func (s *Servers) StartupState() StartupState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.startup
	state.Restored = s.restoredStates()
	return state
}

// Counts counts the reports of all daemons that this daemon's copy holds.
type Counts struct {
	Exclusions    int `json:"out"`
	Starts        int `json:"starts"` // processes that started recently
	Snapshots     int `json:"pictures"`
	SnapshotBytes int `json:"picture_bytes"`
	PendingWrites int `json:"owed"` // reports in the queues of this daemon
}

// Counts counts the reports that this daemon holds now.
func (s *Servers) Counts() Counts {
	counts := Counts{
		Exclusions:    len(s.Exclusions()),
		Starts:        s.startCount(),
		PendingWrites: len(s.AdminDrains.pending) + len(s.Drains.pending) + len(s.Starts.pending),
	}
	counts.Snapshots, counts.SnapshotBytes = s.snapshotTotals()
	return counts
}
