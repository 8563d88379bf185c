package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
)

// Keys of the settings.
const (
	// ConfigPrefix is the prefix of all keys of the settings.
	ConfigPrefix = "config/"

	keyCurrent      = "config/current"
	keyCandidate    = "config/candidate"
	historyPrefix   = "config/history/" // followed by the number of a version
	verdictPrefix   = "config/verdict/" // followed by the name of a replica's daemon
	keyPlan         = "config/plan"
	keyPlanSettings = "config/stepped"
	reportPrefix    = "config/report/" // followed by the name of a daemon
)

// noSidecarNote is the stored note of a verdict by a daemon that cannot check settings, since no sidecar runs beside
// it.
const noSidecarNote = "no sidecar here"

// SettingsCheck returns an error if the sidecar of this daemon cannot run with settings.
type SettingsCheck func(settings json.RawMessage) error

// Settings manages the settings of the data path that the store holds for all daemons. Every replica checks new
// settings before they are committed as a version. The sidecar is notified of a change by a signal on Reload. Settings
// is a Component, and safe for concurrent use.
type Settings struct {
	name   string
	log    *slog.Logger
	check  SettingsCheck // nil where no sidecar runs
	store  Store
	wake   chan struct{}
	reload chan os.Signal

	mu               sync.Mutex
	current          json.RawMessage // nil: none are committed
	currentRevision  uint64
	pendingCandidate *candidate // not checked yet; nil: there is none
	rollout          rolloutState
}

// candidate holds proposed settings that every replica has to check, and the revision of their key.
type candidate struct {
	revision uint64
	settings json.RawMessage
}

// verdict is a replica's answer to a candidate.
type verdict struct {
	Candidate uint64 `json:"candidate"`       // revision of the candidate
	Error     string `json:"error,omitempty"` // what is wrong with it; empty: it is accepted
	Note      string `json:"note,omitempty"`
}

// NewSettings returns the component for a daemon, whose verdicts and reports carry its name. check may be nil if no
// sidecar runs beside the daemon.
func NewSettings(name string, check SettingsCheck, log *slog.Logger) *Settings {
	return &Settings{
		name:   name,
		check:  check,
		log:    log,
		wake:   make(chan struct{}, 1),
		reload: make(chan os.Signal, 1),
	}
}

// Reload returns the channel that receives SIGHUP when the result of Current may have changed.
func (s *Settings) Reload() chan os.Signal { return s.reload }

// Current returns the settings in effect at this daemon: those of a rollout whose current step selects this daemon,
// else the committed ones. It returns nil if there are none.
func (s *Settings) Current() json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rollout.plan.RunsOn(s.name) && s.rollout.settings != nil {
		return s.rollout.settings
	}
	return s.current
}

// Attach implements Component.
func (s *Settings) Attach(storeCopy Store) { s.store = storeCopy }

// Subscription implements Subscriber. It covers the settings in effect, the plan and the settings of a rollout, and
// this daemon's report. Only replicas check candidates; older versions and the reports of other daemons are read on
// demand. The settings and the plan are durable: a process that starts without them returns to the settings of its
// file.
func (s *Settings) Subscription() changefeed.Subscription {
	retained := store.Interest{Keys: []string{keyCurrent, keyPlan, keyPlanSettings}}
	interest := retained.Union(store.Interest{Keys: []string{ReportKey(s.name)}})
	return changefeed.Subscription{Interest: &interest, Retained: retained, Durable: retained}
}

// Event implements Component.
func (s *Settings) Event(e store.Event) {
	if !strings.HasPrefix(e.Item.Key, ConfigPrefix) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyItem(e.Item, e.Deleted)
}

// Reset implements Component.
func (s *Settings) Reset(state *store.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range []string{keyCurrent, keyCandidate} {
		if i, ok := state.Get(key); ok {
			s.applyItem(i, false)
		}
	}
	s.resetPlan(state)
}

// Run implements Component. It checks candidates, and reports on the progress of a rollout, until ctx ends.
func (s *Settings) Run(ctx context.Context) {
	ticker := time.NewTicker(minReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.checkCandidate(ctx)
		case <-ticker.C:
		}
		s.reportProgress(ctx)
	}
}

// wakeUp makes Run check a candidate. It does not block.
func (s *Settings) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// notifyReload signals the sidecar to read Current again. It does not block.
func (s *Settings) notifyReload() {
	select {
	case s.reload <- syscall.SIGHUP:
	default: // a signal is pending; the sidecar reads the latest settings after it
	}
}

// applyItem applies a change of one key. The caller holds the lock.
func (s *Settings) applyItem(i store.Item, deleted bool) {
	switch i.Key {
	case keyCurrent:
		s.applyCurrent(i, deleted)
	case keyCandidate:
		s.pendingCandidate = nil
		if !deleted {
			s.pendingCandidate = &candidate{revision: i.ModRevision, settings: i.Value}
			s.wakeUp()
		}
	default:
		s.applyPlanItem(i, deleted)
	}
}

// applyCurrent applies a change of the committed settings, unless it was applied before. The caller holds the lock.
func (s *Settings) applyCurrent(i store.Item, deleted bool) {
	if i.ModRevision <= s.currentRevision && !deleted {
		return
	}
	s.current, s.currentRevision = i.Value, i.ModRevision
	if deleted {
		s.current = nil
	}
	s.notifyReload()
}

// takeCandidate returns and clears the candidate that is not checked yet, or returns nil.
func (s *Settings) takeCandidate() *candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.pendingCandidate
	s.pendingCandidate = nil
	return c
}

// checkCandidate checks the pending candidate, if there is one, and writes this replica's verdict unless the candidate
// has changed in the meantime. It does not repeat a failed write: the daemon that proposed the candidate times out.
func (s *Settings) checkCandidate(ctx context.Context) {
	c := s.takeCandidate()
	if c == nil {
		return
	}
	v := verdict{Candidate: c.revision}
	if s.check == nil {
		v.Note = noSidecarNote
	} else if err := s.check(c.settings); err != nil {
		v.Error = err.Error()
	}
	value, err := json.Marshal(v)
	if err != nil {
		s.log.Error("cannot encode the verdict on proposed settings", "error", err)
		return
	}
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = s.store.Do(writeCtx, store.Command{Txn: &store.Txn{
		If:   []store.Compare{{Key: keyCandidate, ModRevision: c.revision}},
		Then: []store.Op{{Key: verdictPrefix + s.name, Value: value}},
	}})
	if err != nil {
		s.log.Warn("cannot write the verdict on proposed settings to the store", "error", err)
	}
}
