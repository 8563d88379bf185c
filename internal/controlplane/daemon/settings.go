package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
)

// ConfigPrefix is that of the keys of the settings.
const ConfigPrefix = "config/"

// Keys of the settings.
const (
	keyCurrent     = "config/current"
	keyCandidate   = "config/candidate"
	historyPrefix  = "config/history/"
	verdictPrefix  = "config/verdict/"
	verdictTimeout = 5 * time.Second
	maxVersions    = 100
	candidateTTL   = 30 * time.Second
	noSidecarNote  = "no sidecar here"
)

// ErrVersionNotFound says that settings have no such version.
var ErrVersionNotFound = errors.New("no such version")

// SettingsCheck says what is wrong with settings for the sidecar of this daemon.
type SettingsCheck func(settings json.RawMessage) error

// Settings are those of the data path that the store holds for all daemons: checked by every replica before they are committed,
// kept by version, and told to the sidecar as SIGHUP does. It is a Part of a Daemon; any goroutine may use it.
type Settings struct {
	name   string
	log    *slog.Logger
	check  SettingsCheck // nil where no sidecar runs
	store  Store
	wake   chan struct{}
	reload chan os.Signal

	mu              sync.Mutex
	current         json.RawMessage // or nil
	currentRevision uint64          // its revision
	pending         *candidate      // to be checked
	rollout         rolloutState
}

type candidate struct {
	revision uint64 // its revision
	settings json.RawMessage
}

// NewSettings returns those of the daemon of a name.
func NewSettings(name string, check SettingsCheck, log *slog.Logger) *Settings {
	return &Settings{name: name, check: check, log: log, wake: make(chan struct{}, 1), reload: make(chan os.Signal, 1)}
}

// Reload is told when settings have changed.
func (x *Settings) Reload() chan os.Signal { return x.reload }

// Current are those of the store for this daemon, or nil.
func (x *Settings) Current() json.RawMessage {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.rollout.plan.RunsOn(x.name) && x.rollout.settings != nil {
		return x.rollout.settings
	}
	return x.current
}

// Attach is of Part.
func (x *Settings) Attach(s Store) { x.store = s }

// Subscription is of Needy: what is in force or comes in force in steps. Candidates are for replicas to judge, and older versions and what
// others report for those who ask.
func (x *Settings) Subscription() changefeed.Subscription {
	kept := store.Interest{Keys: []string{keyCurrent, keyPlan, keyPlanSettings}}
	of := kept.Union(store.Interest{Keys: []string{ReportKey(x.name)}})
	return changefeed.Subscription{Interest: &of, Retained: kept}
}

// Event is of Part.
func (x *Settings) Event(e store.Event) {
	if strings.HasPrefix(e.Item.Key, ConfigPrefix) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.applyItem(e.Item, e.Deleted)
	}
}

// Reset is of Part.
func (x *Settings) Reset(s *store.State) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, key := range []string{keyCurrent, keyCandidate} {
		if i, ok := s.Get(key); ok {
			x.applyItem(i, false)
		}
	}
	x.resetPlan(s)
}

// Run is of Part: it checks candidates, and tells how a plan goes here.
func (x *Settings) Run(ctx context.Context) {
	t := time.NewTicker(minReportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.wake:
			x.checkCandidate(ctx)
		case <-t.C:
		}
		x.reportProgress(ctx)
	}
}

// wakeUp has Run look at what is new. signal has the sidecar read its settings anew.
func (x *Settings) wakeUp() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

func (x *Settings) notifyReload() {
	select {
	case x.reload <- syscall.SIGHUP:
	default: // one is owed already, and will read the newest
	}
}

// applyItem takes a change of one of its keys.
func (x *Settings) applyItem(i store.Item, deleted bool) {
	switch i.Key {
	case keyCurrent:
		if i.ModRevision <= x.currentRevision && !deleted {
			return
		}
		x.current, x.currentRevision = i.Value, i.ModRevision
		if deleted {
			x.current = nil
		}
		x.notifyReload()
	case keyCandidate:
		if x.pending = nil; !deleted {
			x.pending = &candidate{i.ModRevision, i.Value}
			x.wakeUp()
		}
	default:
		x.applyPlanItem(i, deleted)
	}
}

// verdict is what a replica says of a candidate.
type verdict struct {
	Candidate uint64 `json:"candidate"`
	Error     string `json:"error,omitempty"`
	Note      string `json:"note,omitempty"`
}

// checkCandidate checks the candidate, if there is one, and says so.
func (x *Settings) checkCandidate(ctx context.Context) {
	x.mu.Lock()
	c := x.pending
	x.pending = nil
	x.mu.Unlock()
	if c == nil {
		return
	}
	v := verdict{Candidate: c.revision}
	if x.check == nil {
		v.Note = noSidecarNote
	} else if err := x.check(c.settings); err != nil {
		v.Error = err.Error()
	}
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	wait, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := x.store.Do(wait, store.Command{Txn: &store.Txn{
		If:   []store.Compare{{Key: keyCandidate, ModRevision: c.revision}},
		Then: []store.Op{{Key: verdictPrefix + x.name, Value: b}}}}); err != nil {
		x.log.Warn("a verdict on settings was not told", "error", err)
	}
}

// Version is settings as they were put.
type Version struct {
	Version  uint64          `json:"version"`
	Settings json.RawMessage `json:"settings,omitempty"`
	By       string          `json:"by"`
	Note     string          `json:"note,omitempty"`
	At       time.Time       `json:"at"` // by the clock of the replica that took it; it decides nothing
	Revision uint64          `json:"revision,omitempty"`
}

// proposeCandidate has settings checked by every replica, and returns the revision of the candidate that they agreed on. It is to be
// deleted by the change that puts it in force; one of a daemon that went away goes with its lease.
func (x *Settings) proposeCandidate(ctx context.Context, settings json.RawMessage) (id uint64, err error) {
	if !json.Valid(settings) {
		return 0, errors.New("settings: not JSON")
	}
	if x.check != nil {
		if err := x.check(settings); err != nil {
			return 0, err
		}
	}
	held, err := x.store.Do(ctx, store.Command{GrantLease: &store.GrantLease{TTLMillis: uint64(candidateTTL.Milliseconds())}})
	if err != nil {
		return 0, err
	}
	r, err := x.store.Do(ctx, store.Command{Txn: &store.Txn{If: []store.Compare{{Key: keyCandidate}},
		Then: []store.Op{{Key: verdictPrefix, Delete: true, RangeEnd: store.PrefixEnd(verdictPrefix)}, {Key: keyCandidate, Value: settings, LeaseID: held.LeaseID}}}})
	if err == nil && !r.Succeeded {
		err = errors.New("other settings are being put")
	}
	if err != nil {
		return 0, err
	}
	if err := x.awaitVerdicts(ctx, r.Revision, r.Revision); err != nil {
		_, end := x.store.Do(ctx, store.Command{RevokeLease: &store.RevokeLease{LeaseID: held.LeaseID}})
		return 0, errors.Join(err, end)
	}
	return r.Revision, nil
}

// nextVersion is the number of the next version, and what is in force.
func nextVersion(s *store.State) (next uint64, now store.Item) {
	next = 1
	s.Range(historyPrefix, store.PrefixEnd(historyPrefix), func(i store.Item) bool {
		n, _ := strconv.ParseUint(strings.TrimPrefix(i.Key, historyPrefix), 10, 64)
		next = max(next, n+1)
		return true
	})
	now, _ = s.Get(keyCurrent)
	return next, now
}

// commitOps put a version in force, and let the oldest go.
func (v Version) commitOps() ([]store.Op, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	ops := []store.Op{{Key: keyCurrent, Value: v.Settings}, {Key: historyKey(v.Version), Value: b}}
	if v.Version > maxVersions {
		ops = append(ops, store.Op{Key: historyKey(0), Delete: true, RangeEnd: historyKey(v.Version - maxVersions + 1)})
	}
	return ops, nil
}

// Put has settings checked by every replica and, if all agree, commits them as the next version. It returns that.
func (x *Settings) Put(ctx context.Context, settings json.RawMessage, note string) (Version, error) {
	plan, err := x.finishedPlanRevision(ctx)
	if err != nil {
		return Version{}, err
	}
	id, err := x.proposeCandidate(ctx, settings)
	if err != nil {
		return Version{}, err
	}
	var next uint64
	var old store.Item
	if _, err := x.store.View(ctx, false, func(s *store.State) { next, old = nextVersion(s) }); err != nil {
		return Version{}, err
	}
	v := Version{Version: next, Settings: settings, By: x.name, Note: note, At: time.Now().UTC().Truncate(time.Second)}
	ops, err := v.commitOps()
	if err != nil {
		return Version{}, err
	}
	ops = append(ops, store.Op{Key: keyCandidate, Delete: true}, store.Op{Key: verdictPrefix, Delete: true, RangeEnd: store.PrefixEnd(verdictPrefix)})
	r, err := x.store.Do(ctx, store.Command{Txn: &store.Txn{If: []store.Compare{{Key: keyCandidate, ModRevision: id},
		{Key: keyCurrent, ModRevision: old.ModRevision}, {Key: keyPlan, ModRevision: plan}}, Then: ops}})
	if err == nil && !r.Succeeded {
		err = errors.New("the settings were changed meanwhile")
	}
	v.Revision = r.Revision
	return v, err
}

func historyKey(n uint64) string { return fmt.Sprintf("%s%012d", historyPrefix, n) }

// awaitVerdicts waits for every member's word on a candidate.
func (x *Settings) awaitVerdicts(ctx context.Context, id, after uint64) error {
	var members []store.Member
	if _, err := x.store.View(ctx, false, func(s *store.State) { members = s.Members() }); err != nil {
		return err
	}
	wait, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	missing := map[string]bool{}
	for _, m := range members {
		missing[m.Name] = true
	}
	var faults []error
	for len(missing) > 0 {
		events, to, err := x.store.Next(wait, verdictPrefix, after, 64)
		if err != nil {
			if wait.Err() != nil {
				var names []string
				for n := range missing {
					names = append(names, n)
				}
				slices.Sort(names)
				return errors.Join(append(faults, fmt.Errorf("no verdict from %s within %v: nothing was changed",
					strings.Join(names, ", "), verdictTimeout))...)
			}
			return err
		}
		after = to
		for _, e := range events {
			var v verdict
			name := strings.TrimPrefix(e.Item.Key, verdictPrefix)
			if e.Deleted || json.Unmarshal(e.Item.Value, &v) != nil || v.Candidate != id || !missing[name] {
				continue
			}
			delete(missing, name)
			if v.Error != "" {
				faults = append(faults, fmt.Errorf("%s: %s", name, v.Error))
			}
		}
	}
	return errors.Join(faults...)
}

// History lists the versions, the newest first.
func (x *Settings) History(ctx context.Context) ([]Version, error) {
	var all []Version
	var bad error
	_, err := x.store.View(ctx, false, func(s *store.State) {
		all, bad = nil, nil
		s.Range(historyPrefix, store.PrefixEnd(historyPrefix), func(i store.Item) bool {
			var v Version
			if err := json.Unmarshal(i.Value, &v); err != nil {
				bad = fmt.Errorf("%s: %w", i.Key, err)
			}
			v.Revision = i.ModRevision
			all = append(all, v)
			return true
		})
	})
	slices.Reverse(all)
	return all, errors.Join(err, bad)
}

// Rollback puts the settings of an earlier version again, as a new one, checked like any.
func (x *Settings) Rollback(ctx context.Context, version uint64) (Version, error) {
	all, err := x.History(ctx)
	if err != nil {
		return Version{}, err
	}
	for _, v := range all {
		if v.Version == version {
			return x.Put(ctx, v.Settings, fmt.Sprintf("rollback to version %d", version))
		}
	}
	return Version{}, fmt.Errorf("%d: %w", version, ErrVersionNotFound)
}
