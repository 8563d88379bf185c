package quotasync

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/platform/bootclock"
	"birchmoor/internal/store"
)

// A daemon with a partial copy, which holds no processes of other daemons, adapts the interval between its reports to
// the number of processes that ObservePrefixSize reports.
func TestReportIntervalGrowsWithProcessCount(t *testing.T) {
	m := New(Config{
		Host:                     "h",
		TTL:                      5 * time.Second,
		ReportInterval:           250 * time.Millisecond,
		ReportIntervalPerProcess: 5 * time.Millisecond,
		Clock:                    bootclock.Clock{},
		Log:                      slog.New(slog.DiscardHandler),
	}, nil)
	if fault := m.statusFault(m.allocator, nil); fault != faultNoCopy {
		t.Errorf("before the first copy the fault is %q, want that there is no copy", fault)
	}
	own, other := quota.Process{Host: "h", Session: 7}, quota.Process{Host: "h2", Session: 8}
	subscription := m.Subscription()
	interest := subscription.Interest
	for key, want := range map[string]bool{
		own.DemandKey(): true, own.GrantKey(): true, quota.ConfigKey: true, other.DemandKey(): false,
	} {
		if interest.Covers(key) != want {
			t.Errorf("the subscription covers %s: %v, want the opposite", key, !want)
		}
	}
	if subscription.Retained.Covers(own.DemandKey()) {
		t.Errorf("%s is retained for the next start, want it not to be", own.DemandKey())
	}

	fullCopy := store.New(1, store.DefaultLimits)
	put := func(key string) {
		op := store.Op{Key: key, Value: quota.Encode(quota.Demand{})}
		fullCopy.Apply(fullCopy.Index()+1, &store.Command{Txn: &store.Txn{Then: []store.Op{op}}})
	}
	put(own.DemandKey())
	put(other.DemandKey())
	const now = int64(time.Hour)
	m.consumer.SetSession(now, own.Session, now+int64(time.Minute))
	interval := func() time.Duration {
		m.consumer.ReportSent(now, quota.Demand{})
		_, _, next := m.consumer.Demand(now)
		return time.Duration(next - now)
	}
	m.Reset(fullCopy.Subset(*interest))
	if fault := m.statusFault(m.allocator, nil); fault != "" {
		t.Errorf("with a partial copy the fault is %q, want none", fault)
	}
	m.ObservePrefixSize(quota.DemandPrefix, store.PrefixSize{Keys: 1200})
	if d := interval(); d != 6*time.Second {
		t.Errorf("among 1,200 processes the report interval is %v, want 6s", d)
	}
	m.ObservePrefixSize("other/", store.PrefixSize{Keys: 1})
	m.Event(store.Event{Revision: 3, Item: store.Item{Key: own.DemandKey(), Value: quota.Encode(quota.Demand{})}})
	if d := interval(); d != 6*time.Second {
		t.Errorf("after the event of its own report the report interval is %v, want 6s", d)
	}
	m.Reset(fullCopy)
	if d := interval(); d != 250*time.Millisecond {
		t.Errorf("with a full copy of two processes the report interval is %v, want 250ms", d)
	}
}

var _ daemon.LogTailObserver = (*Manager)(nil)

// This test guards against a replica that admits all requests after it was killed just after limits took effect and
// starts without a quorum: it does not know that the last entry of its log was committed.
func TestLimitsOfLogTailAreInForceUntilCaughtUp(t *testing.T) {
	encodedConfig := func(name string) []byte {
		config := &quota.Config{Limits: []*quota.Limit{{
			Name: name, Kind: quota.Rate, Unit: quota.Requests, Window: 1e9, Fallback: quota.Strict,
			Nodes: []quota.Node{{Capacity: 10 * quota.AmountUnit, Weight: 1}},
		}}}
		config.AssignGenerations(&quota.Config{})
		text, err := json.Marshal(config)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	command := func(text []byte) *store.Command {
		return &store.Command{Txn: &store.Txn{Then: []store.Op{{Key: quota.ConfigKey, Value: text}}}}
	}
	stateAfter := func(commands ...*store.Command) *store.State {
		state := store.New(1, store.DefaultLimits)
		for i, c := range commands {
			state.Apply(uint64(i+1), c)
		}
		return state
	}
	for name, test := range map[string]struct {
		start, later           *store.State // later is nil if the log's tail was discarded
		want, wantOnceCaughtUp string
	}{
		"committed":            {stateAfter(), stateAfter(command(encodedConfig("new"))), "new", "new"},
		"discarded":            {stateAfter(), nil, "new", ""},
		"others are committed": {stateAfter(command(encodedConfig("old"))), nil, "old", "old"},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(Config{Host: "h", TTL: time.Second, Log: slog.New(slog.DiscardHandler)}, nil)
			rejectedBy := func() string {
				if _, exceeded := m.Admit(&core.LimiterRequest{Class: "look", PriorityWeight: 1}); exceeded != nil {
					return exceeded.Limit
				}
				return ""
			}
			m.Reset(test.start)
			m.Uncommitted(command(encodedConfig("new")))
			if got := rejectedBy(); got != test.want {
				t.Errorf("before catching up, the limit that rejects requests is %q, want %q", got, test.want)
			}
			if test.later != nil {
				m.Reset(test.later)
			}
			m.CaughtUp()
			if got := rejectedBy(); got != test.wantOnceCaughtUp {
				t.Errorf("after catching up, the limit that rejects requests is %q, want %q", got,
					test.wantOnceCaughtUp)
			}
		})
	}
}

// failingStore fails each change, and sends to calls when it is asked for one.
type failingStore struct {
	daemon.Store
	calls chan struct{}
}

func (s *failingStore) Do(context.Context, store.Command) (store.Result, error) {
	s.calls <- struct{}{}
	return store.Result{}, errors.New("no replica")
}

// Guards against reports of demand that keep failing without a log line. Of consecutive failures, only the first is
// logged.
func TestFirstFailedReportIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		m := New(Config{
			Host: "h", TTL: 5 * time.Second, ReportInterval: 250 * time.Millisecond, Clock: bootclock.Clock{},
			Log: slog.New(slog.NewTextHandler(&log, nil)),
		}, nil)
		failing := &failingStore{calls: make(chan struct{}, 1)}
		m.Attach(failing)
		m.process = quota.Process{Host: "h", Session: 7}
		m.consumer.SetSession(m.now(), 7, m.now()+int64(time.Hour))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			m.report(ctx)
		}()
		for range 3 {
			<-failing.calls
		}
		cancel()
		go func() {
			for range failing.calls {
			}
		}()
		<-done
		close(failing.calls)
		n := strings.Count(log.String(), "cannot report the demand for quotas")
		if n != 1 || !strings.Contains(log.String(), "no replica") {
			t.Errorf("consecutive failures were logged %d times, want once with the store's error:\n%s", n,
				log.String())
		}
	})
}
