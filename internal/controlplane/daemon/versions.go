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
	verdictTimeout   = 5 * time.Second  // for the verdicts of all replicas on a candidate
	candidateTTL     = 30 * time.Second // after which the candidate of a daemon that failed is deleted
	maxVersions      = 100              // that the store keeps
	maxVerdictEvents = 64               // that one read of the change feed returns
)

// Errors of versions.
var (
	// ErrVersionNotFound says that the store has no such version of the settings, or has it no longer.
	ErrVersionNotFound = errors.New("no such version")

	errNotJSON          = errors.New("settings are not valid JSON")
	errCandidatePending = errors.New("settings of another change are being checked")
	errSettingsChanged  = errors.New("the settings were changed in the meantime")
)

// Version is a version of the settings, as the store keeps it.
type Version struct {
	Version  uint64          `json:"version"` // its number; the first is 1
	Settings json.RawMessage `json:"settings,omitempty"`
	PutBy    string          `json:"by"` // the daemon at which Put or StartRollout was called
	Note     string          `json:"note,omitempty"`
	PutAt    time.Time       `json:"at"`                 // by the clock of the daemon that committed it; informational
	Revision uint64          `json:"revision,omitempty"` // at which it was committed; 0 in the stored form
}

func newVersion(number uint64, settings json.RawMessage, by, note string) Version {
	now := time.Now().UTC().Truncate(time.Second)
	return Version{Version: number, Settings: settings, PutBy: by, Note: note, PutAt: now}
}

func historyKey(version uint64) string { return fmt.Sprintf("%s%012d", historyPrefix, version) }

// commitOps returns the operations that put a version into effect and delete the versions over maxVersions.
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

// nextVersion returns the number of the next version, and the item of the committed settings, zero if there are none.
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

// Put has every replica check settings and, if all accept them, commits them as the next version, which it returns.
// While a rollout is running the error is ErrRolloutRunning.
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
	version := newVersion(next, settings, s.name, note)
	ops, err := version.commitOps()
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
	version.Revision = result.Revision
	return version, err
}

// proposeCandidate writes settings as the candidate and waits until every replica has accepted it. It returns the
// candidate's revision. The transaction that puts the settings into effect has to delete the candidate; if this daemon
// fails before, the store deletes it when its lease ends.
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

// awaitVerdicts waits for the verdict of every replica on the candidate of a revision. Its error joins the rejections,
// and names the replicas whose verdict is missing after verdictTimeout.
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
	var rejections []error
	afterRevision := candidateRevision
	for len(missing) > 0 {
		events, reachedRevision, err := s.store.NextChanges(waitCtx, verdictPrefix, afterRevision, maxVerdictEvents)
		if err != nil && waitCtx.Err() != nil {
			names := strings.Join(slices.Sorted(maps.Keys(missing)), ", ")
			timeoutErr := fmt.Errorf("no verdict from %s within %v: nothing was changed", names, verdictTimeout)
			return errors.Join(append(rejections, timeoutErr)...)
		}
		if err != nil {
			return err
		}
		afterRevision = reachedRevision
		for _, e := range events {
			replica := strings.TrimPrefix(e.Item.Key, verdictPrefix)
			v, ok := decodeVerdict(e, candidateRevision)
			if !ok || !missing[replica] {
				continue
			}
			delete(missing, replica)
			if v.Error != "" {
				rejections = append(rejections, fmt.Errorf("%s: %s", replica, v.Error))
			}
		}
	}
	return errors.Join(rejections...)
}

// decodeVerdict decodes the verdict that an event wrote. ok is false if it is not on the candidate of the revision.
func decodeVerdict(e store.Event, candidateRevision uint64) (v verdict, ok bool) {
	if e.Deleted {
		return verdict{}, false
	}
	if err := json.Unmarshal(e.Item.Value, &v); err != nil {
		return verdict{}, false
	}
	return v, v.Candidate == candidateRevision
}

// History lists the versions that the store keeps, the latest first.
func (s *Settings) History(ctx context.Context) ([]Version, error) {
	var versions []Version
	var decodeErr error
	_, err := s.store.View(ctx, false, func(state *store.State) {
		versions, decodeErr = nil, nil
		state.Range(historyPrefix, store.PrefixEnd(historyPrefix), func(i store.Item) bool {
			var v Version
			if err := json.Unmarshal(i.Value, &v); err != nil {
				decodeErr = fmt.Errorf("decode %s: %w", i.Key, err)
			}
			v.Revision = i.ModRevision
			versions = append(versions, v)
			return true
		})
	})
	slices.Reverse(versions)
	return versions, errors.Join(err, decodeErr)
}

// Rollback puts the settings of an earlier version again, as a new version that is checked like any other. The error is
// or wraps ErrVersionNotFound if there is no such version.
func (s *Settings) Rollback(ctx context.Context, version uint64) (Version, error) {
	versions, err := s.History(ctx)
	if err != nil {
		return Version{}, err
	}
	for _, v := range versions {
		if v.Version == version {
			return s.Put(ctx, v.Settings, fmt.Sprintf("rollback to version %d", version))
		}
	}
	return Version{}, fmt.Errorf("roll back to version %d: %w", version, ErrVersionNotFound)
}
