package quotasync

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/quota"
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
