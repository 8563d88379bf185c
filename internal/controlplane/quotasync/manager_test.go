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

// A partial copy, which holds no other process, paces its reports by the number of processes that it is notified of.
func TestReportIntervalGrowsWithProcessCount(t *testing.T) {
	m := New(Config{
		Host:                     "h",
		TTL:                      5 * time.Second,
		ReportInterval:           250 * time.Millisecond,
		ReportIntervalPerProcess: 5 * time.Millisecond,
		Clock:                    bootclock.Clock{},
		Log:                      slog.New(slog.DiscardHandler),
	}, nil)
	if fault := m.faultOf(m.allocator, nil); fault != faultNoCopy {
		t.Errorf("before the first copy the fault is %q", fault)
	}
	own, other := quota.Process{Host: "h", Session: 7}, quota.Process{Host: "h2", Session: 8}
	subscription := m.Subscription()
	interest := subscription.Interest
	for key, want := range map[string]bool{
		own.DemandKey(): true, own.GrantKey(): true, quota.ConfigKey: true, other.DemandKey(): false,
	} {
		if interest.Covers(key) != want {
			t.Errorf("the subscription covers %s: %v", key, !want)
		}
	}
	if subscription.Retained.Covers(own.DemandKey()) {
		t.Errorf("%s is retained", own.DemandKey())
	}

	full := store.New(1, store.DefaultLimits)
	put := func(key string) {
		op := store.Op{Key: key, Value: quota.Encode(quota.Demand{})}
		full.Apply(full.Index()+1, &store.Command{Txn: &store.Txn{Then: []store.Op{op}}})
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
	m.Reset(full.Subset(*interest))
	if fault := m.faultOf(m.allocator, nil); fault != "" {
		t.Errorf("with a copy the fault is %q", fault)
	}
	m.ObservePrefixSize(quota.DemandPrefix, store.PrefixSize{Keys: 1200})
	if d := interval(); d != 6*time.Second {
		t.Errorf("among 1,200 processes: %v", d)
	}
	m.ObservePrefixSize("other/", store.PrefixSize{Keys: 1})
	m.Event(store.Event{Revision: 3, Item: store.Item{Key: own.DemandKey(), Value: quota.Encode(quota.Demand{})}})
	if d := interval(); d != 6*time.Second {
		t.Errorf("after a report of its own: %v", d)
	}
	m.Reset(full)
	if d := interval(); d != 250*time.Millisecond {
		t.Errorf("with a copy of all: %v", d)
	}
}

var _ daemon.LogTailObserver = (*Manager)(nil)

// Guards against a replica that admits everything when it is killed right after limits took effect and starts alone: it
// does not know that the last entry of its log was committed.
func TestLimitsOfLogTailAreInForceUntilCaughtUp(t *testing.T) {
	limits := func(name string) []byte {
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
	with := func(commands ...*store.Command) *store.State {
		state := store.New(1, store.DefaultLimits)
		for i, c := range commands {
			state.Apply(uint64(i+1), c)
		}
		return state
	}
	for name, x := range map[string]struct {
		start, later           *store.State // later nil: the tail was discarded
		want, wantOnceCaughtUp string
	}{
		"committed":            {with(), with(command(limits("new"))), "new", "new"},
		"discarded":            {with(), nil, "new", ""},
		"others are committed": {with(command(limits("old"))), nil, "old", "old"},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(Config{Host: "h", TTL: time.Second, Log: slog.New(slog.DiscardHandler)}, nil)
			rejectedBy := func() string {
				if _, exceeded := m.Admit(&core.LimiterRequest{Class: "look", PriorityWeight: 1}); exceeded != nil {
					return exceeded.Limit
				}
				return ""
			}
			m.Reset(x.start)
			m.Uncommitted(command(limits("new")))
			if got := rejectedBy(); got != x.want {
				t.Errorf("after the start requests are rejected by %q, not by %q", got, x.want)
			}
			if x.later != nil {
				m.Reset(x.later)
			}
			m.CaughtUp()
			if got := rejectedBy(); got != x.wantOnceCaughtUp {
				t.Errorf("once caught up requests are rejected by %q, not by %q", got, x.wantOnceCaughtUp)
			}
		})
	}
}

// failingStore makes no change, and tells of each that it was asked for.
type failingStore struct {
	daemon.Store
	asked chan struct{}
}

func (s *failingStore) Do(context.Context, store.Command) (store.Result, error) {
	s.asked <- struct{}{}
	return store.Result{}, errors.New("no replica")
}

// Guards against reports of demand that fail for good without a word in the log: the first failure in a row is logged,
// and those after it are not.
func TestFirstFailedReportIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		m := New(Config{
			Host: "h", TTL: 5 * time.Second, ReportInterval: 250 * time.Millisecond, Clock: bootclock.Clock{},
			Log: slog.New(slog.NewTextHandler(&log, nil)),
		}, nil)
		failing := &failingStore{asked: make(chan struct{}, 1)}
		m.Attach(failing)
		m.process = quota.Process{Host: "h", Session: 7}
		m.consumer.SetSession(m.now(), 7, m.now()+int64(time.Hour))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			m.report(ctx)
		}()
		for range 3 {
			<-failing.asked
		}
		cancel()
		go func() {
			for range failing.asked {
			}
		}()
		<-ended
		close(failing.asked)
		n := strings.Count(log.String(), "cannot report the demand for quotas")
		if n != 1 || !strings.Contains(log.String(), "no replica") {
			t.Errorf("logged %d times:\n%s", n, log.String())
		}
	})
}
