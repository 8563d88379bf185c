package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"birchmoor/internal/store"
)

const (
	verdictTimeout   = 5 * time.Second
	candidateTTL     = 30 * time.Second // after which that of a daemon which went away is deleted
	maxVersions      = 100
	maxVerdictEvents = 64 // of one read
)

// Errors of versions.
var (
	// ErrVersionNotFound says that there is no such version of the settings.
	ErrVersionNotFound = errors.New("no such version")

	errNotJSON          = errors.New("settings: not JSON")
	errCandidatePending = errors.New("another daemon is putting settings")
	errSettingsChanged  = errors.New("the settings were changed in the meantime")
)

// Version is settings as they were put.
type Version struct {
	Version  uint64          `json:"version"`
	Settings json.RawMessage `json:"settings,omitempty"`
	By       string          `json:"by"`
	Note     string          `json:"note,omitempty"`
	At       time.Time       `json:"at"` // by the clock of the replica that took it; informational
	Revision uint64          `json:"revision,omitempty"`
}

func newVersion(number uint64, settings json.RawMessage, by, note string) Version {
	at := time.Now().UTC().Truncate(time.Second)
	return Version{Version: number, Settings: settings, By: by, Note: note, At: at}
}

func historyKey(version uint64) string { return fmt.Sprintf("%s%012d", historyPrefix, version) }

// commitOps returns the operations that put a version into effect and delete the oldest ones.
func (v Version) commitOps() ([]store.Op, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode version %d of the settings: %w", v.Version, err)
	}
	ops := []store.Op{
		{Key: keyCurrent, Value: v.Settings},
		{Key: historyKey(v.Version), Value: value},
	}
	if v.Version > maxVersions {
		ops = append(ops, store.Op{Key: historyKey(0), Delete: true, RangeEnd: historyKey(v.Version - maxVersions + 1)})
	}
	return ops, nil
}

// nextVersion returns the number of the next version, and the item of the settings in effect.
func nextVersion(state *store.State) (next uint64, current store.Item) {
	next = 1
	state.Range(historyPrefix, store.PrefixEnd(historyPrefix), func(i store.Item) bool {
		number, _ := strconv.ParseUint(strings.TrimPrefix(i.Key, historyPrefix), 10, 64)
		next = max(next, number+1)
		return true
	})
	current, _ = state.Get(keyCurrent)
	return next, current
}

// deletePrefix returns the operation that deletes all keys with a prefix.
func deletePrefix(prefix string) store.Op {
	return store.Op{Key: prefix, Delete: true, RangeEnd: store.PrefixEnd(prefix)}
}

// Put has settings checked by every replica and, if all accept them, commits them as the next version, which it
// returns.
func (s *Settings) Put(ctx context.Context, settings json.RawMessage, note string) (Version, error) {
	planRevision, err := s.finishedPlanRevision(ctx)
	if err != nil {
		return Version{}, err
	}
	candidateRevision, err := s.proposeCandidate(ctx, settings)
	if err != nil {
		return Version{}, err
	}
	var next uint64
	var current store.Item
	_, err = s.store.View(ctx, false, func(state *store.State) { next, current = nextVersion(state) })
	if err != nil {
		return Version{}, err
	}
	v := newVersion(next, settings, s.name, note)
	ops, err := v.commitOps()
	if err != nil {
		return Version{}, err
	}
	result, err := s.store.Do(ctx, store.Command{Txn: &store.Txn{
		If: []store.Compare{
			{Key: keyCandidate, ModRevision: candidateRevision},
			{Key: keyCurrent, ModRevision: current.ModRevision},
			{Key: keyPlan, ModRevision: planRevision},
		},
		Then: append(ops, store.Op{Key: keyCandidate, Delete: true}, deletePrefix(verdictPrefix)),
	}})
	if err == nil && !result.Succeeded {
		err = errSettingsChanged
	}
	v.Revision = result.Revision
	return v, err
}

// proposeCandidate has settings checked by every replica, and returns the revision of the candidate that they accepted.
// The change that puts it into effect has to delete it; its lease deletes that of a daemon which went away.
func (s *Settings) proposeCandidate(ctx context.Context, settings json.RawMessage) (revision uint64, err error) {
	if !json.Valid(settings) {
		return 0, errNotJSON
	}
	if s.check != nil {
		if err := s.check(settings); err != nil {
			return 0, err
		}
	}
	grant := &store.GrantLease{TTLMillis: uint64(candidateTTL.Milliseconds())}
	granted, err := s.store.Do(ctx, store.Command{GrantLease: grant})
	if err != nil {
		return 0, err
	}
	result, err := s.store.Do(ctx, store.Command{Txn: &store.Txn{
		If: []store.Compare{{Key: keyCandidate}},
		Then: []store.Op{
			deletePrefix(verdictPrefix),
			{Key: keyCandidate, Value: settings, LeaseID: granted.LeaseID},
		},
	}})
	if err == nil && !result.Succeeded {
		err = errCandidatePending
	}
	if err != nil {
		return 0, err
	}
	if err := s.awaitVerdicts(ctx, result.Revision); err != nil {
		_, revokeErr := s.store.Do(ctx, store.Command{RevokeLease: &store.RevokeLease{LeaseID: granted.LeaseID}})
		return 0, errors.Join(err, revokeErr)
	}
	return result.Revision, nil
}

// awaitVerdicts waits for every member's verdict on the candidate of a revision, and returns what they found wrong.
func (s *Settings) awaitVerdicts(ctx context.Context, candidateRevision uint64) error {
	missing := map[string]bool{}
	_, err := s.store.View(ctx, false, func(state *store.State) {
		clear(missing)
		for _, m := range state.Members() {
			missing[m.Name] = true
		}
	})
	if err != nil {
		return err
	}
	waitCtx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	var faults []error
	after := candidateRevision
	for len(missing) > 0 {
		events, reached, err := s.store.NextChanges(waitCtx, verdictPrefix, after, maxVerdictEvents)
		if err != nil && waitCtx.Err() != nil {
			names := strings.Join(slices.Sorted(maps.Keys(missing)), ", ")
			late := fmt.Errorf("no verdict from %s within %v: nothing was changed", names, verdictTimeout)
			return errors.Join(append(faults, late)...)
		}
		if err != nil {
			return err
		}
		after = reached
		for _, e := range events {
			name := strings.TrimPrefix(e.Item.Key, verdictPrefix)
			v, ok := verdictOf(e, candidateRevision)
			if !ok || !missing[name] {
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

// verdictOf decodes the verdict that an event wrote, if it is on the candidate of a revision.
func verdictOf(e store.Event, candidateRevision uint64) (v verdict, ok bool) {
	if e.Deleted {
		return verdict{}, false
	}
	if err := json.Unmarshal(e.Item.Value, &v); err != nil {
		return verdict{}, false
	}
	return v, v.Candidate == candidateRevision
}

// History lists the versions, the latest first.
func (s *Settings) History(ctx context.Context) ([]Version, error) {
	var all []Version
	var decodeErr error
	_, err := s.store.View(ctx, false, func(state *store.State) {
		all, decodeErr = nil, nil
		state.Range(historyPrefix, store.PrefixEnd(historyPrefix), func(i store.Item) bool {
			var v Version
			if err := json.Unmarshal(i.Value, &v); err != nil {
				decodeErr = fmt.Errorf("decode %s: %w", i.Key, err)
			}
			v.Revision = i.ModRevision
			all = append(all, v)
			return true
		})
	})
	slices.Reverse(all)
	return all, errors.Join(err, decodeErr)
}

// Rollback puts the settings of an earlier version again, as a new one, checked like any other. ErrVersionNotFound says
// that there is no such version.
func (s *Settings) Rollback(ctx context.Context, version uint64) (Version, error) {
	all, err := s.History(ctx)
	if err != nil {
		return Version{}, err
	}
	for _, v := range all {
		if v.Version == version {
			return s.Put(ctx, v.Settings, fmt.Sprintf("rollback to version %d", version))
		}
	}
	return Version{}, fmt.Errorf("%d: %w", version, ErrVersionNotFound)
}
