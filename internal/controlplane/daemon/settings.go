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
	// ConfigPrefix is that of all of them.
	ConfigPrefix = "config/"

	keyCurrent      = "config/current"
	keyCandidate    = "config/candidate"
	historyPrefix   = "config/history/" // VERSION
	verdictPrefix   = "config/verdict/" // DAEMON
	keyPlan         = "config/plan"
	keyPlanSettings = "config/stepped"
	reportPrefix    = "config/report/" // DAEMON
)

// noSidecarNote is the stored note of a verdict by a daemon that cannot check settings.
const noSidecarNote = "no sidecar here"

// SettingsCheck returns what is wrong with settings for the sidecar of this daemon.
type SettingsCheck func(settings json.RawMessage) error

// Settings are the settings of the data path that the store holds for all daemons. Every replica checks them before
// they are committed; they are kept by version, and the sidecar is notified of a change the way SIGHUP does. It is a
// Component, and safe for concurrent use.
type Settings struct {
	name   string
	log    *slog.Logger
	check  SettingsCheck // nil where no sidecar runs
	store  Store
	wake   chan struct{}
	reload chan os.Signal

	mu              sync.Mutex
	current         json.RawMessage // nil: none are committed
	currentRevision uint64
	pending         *candidate // that is still to be checked
	rollout         rolloutState
}

// candidate is settings that every replica has to check.
type candidate struct {
	revision uint64
	settings json.RawMessage
}

// verdict is a replica's answer to a candidate.
type verdict struct {
	Candidate uint64 `json:"candidate"` // its revision
	Error     string `json:"error,omitempty"`
	Note      string `json:"note,omitempty"`
}

// NewSettings returns those of the daemon with a name.
func NewSettings(name string, check SettingsCheck, log *slog.Logger) *Settings {
	return &Settings{
		name:   name,
		check:  check,
		log:    log,
		wake:   make(chan struct{}, 1),
		reload: make(chan os.Signal, 1),
	}
}

// Reload receives a signal when Current has changed.
func (s *Settings) Reload() chan os.Signal { return s.reload }

// Current returns the settings in effect at this daemon, which are those of a rollout if it selected this daemon, or
// nil.
func (s *Settings) Current() json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rollout.plan.RunsOn(s.name) && s.rollout.settings != nil {
		return s.rollout.settings
	}
	return s.current
}

// Attach implements Component.
func (s *Settings) Attach(copied Store) { s.store = copied }

// Subscription implements Subscriber: the settings in effect and those of a rollout. Candidates are checked by
// replicas; older versions and the reports of others are read on demand. What is in effect is durable: a process that
// starts without it returns to the settings of its file.
func (s *Settings) Subscription() changefeed.Subscription {
	kept := store.Interest{Keys: []string{keyCurrent, keyPlan, keyPlanSettings}}
	interest := kept.Union(store.Interest{Keys: []string{ReportKey(s.name)}})
	return changefeed.Subscription{Interest: &interest, Retained: kept, Durable: kept}
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

// Run implements Component. It checks candidates, and reports the progress of a rollout.
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

func (s *Settings) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// notifyReload has the sidecar read Current.
func (s *Settings) notifyReload() {
	select {
	case s.reload <- syscall.SIGHUP:
	default: // a signal is pending already, after which the latest are read
	}
}

// applyItem applies a change of one key. The lock is held.
func (s *Settings) applyItem(i store.Item, deleted bool) {
	switch i.Key {
	case keyCurrent:
		s.applyCurrent(i, deleted)
	case keyCandidate:
		s.pending = nil
		if !deleted {
			s.pending = &candidate{revision: i.ModRevision, settings: i.Value}
			s.wakeUp()
		}
	default:
		s.applyPlanItem(i, deleted)
	}
}

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

// takeCandidate returns the candidate that is still to be checked, or nil.
func (s *Settings) takeCandidate() *candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.pending
	s.pending = nil
	return c
}

// checkCandidate checks the candidate, if there is one, and writes the verdict.
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
		s.log.Error("cannot encode a verdict on settings", "error", err)
		return
	}
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = s.store.Do(writeCtx, store.Command{Txn: &store.Txn{
		If:   []store.Compare{{Key: keyCandidate, ModRevision: c.revision}},
		Then: []store.Op{{Key: verdictPrefix + s.name, Value: value}},
	}})
	if err != nil {
		s.log.Warn("cannot write a verdict on settings", "error", err)
	}
}
