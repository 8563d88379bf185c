package quotasync

import (
	"context"
	"strings"
	"sync"
	"time"

	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/store"
)

// AllocatorTask is the name of the task whose holder allocates quotas.
const AllocatorTask = "limits"

// AllocatorTask returns the task of allocating quotas, for daemons with a replica.
func (m *Manager) AllocatorTask() leasetask.Task {
	return leasetask.Task{
		Claim:           leasetask.Claim{Task: AllocatorTask, TTL: m.cfg.TTL, Note: "divides limits among sidecars"},
		Interval:        allocateInterval,
		Timeout:         m.cfg.TTL / 3,
		ProgressTimeout: time.Minute,
		Cooldown:        time.Minute,
		Do:              m.allocate,
	}
}

// allocate writes the changes of quotas that are due.
func (m *Manager) allocate(ctx context.Context, l *leasetask.Lease) error {
	m.mu.Lock()
	allocation := m.allocator.Allocate(m.now())
	m.mu.Unlock()
	if allocation == nil {
		return nil
	}
	// If the comparison fails the copy was out of date: the next allocation is by a newer one.
	_, err := l.Txn(ctx, store.Txn{If: allocation.If, Then: allocation.Then})
	return err
}

// Run implements daemon.Component: it keeps the session and reports demand.
func (m *Manager) Run(ctx context.Context) {
	presence, err := m.runner.UseSession(m.cfg.TTL)
	if err != nil {
		m.cfg.Log.Error("limits are not shared with the fleet", "error", err)
		return
	}
	defer presence.Close()
	m.logMissingCopy()
	var reporter sync.WaitGroup
	defer reporter.Wait()
	reporter.Go(func() { m.report(ctx) })
	logTicker := time.NewTicker(rejectionLogInterval)
	defer logTicker.Stop()
	for {
		session, validUntil, changed := presence.Current()
		m.setSession(ctx, session, validUntil)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-logTicker.C:
			m.logRejections()
		}
	}
}

// logMissingCopy logs that no limits are known.
func (m *Manager) logMissingCopy() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasCopy {
		m.cfg.Log.Warn("limits of the fleet are not known", "fault", faultNoCopy)
	}
}

// setSession takes the present session. If it is a new one, a grant may have come before it was known to be this
// process's.
func (m *Manager) setSession(ctx context.Context, session uint64, validUntil int64) {
	m.mu.Lock()
	isNew := session != m.process.Session
	m.consumer.SetSession(m.now(), session, validUntil)
	if isNew {
		m.process = quota.Process{Host: m.cfg.Host, Session: session}
		m.wake()
	}
	m.mu.Unlock()
	if !isNew || session == 0 {
		return
	}
	// A copy that is not there yet comes by Reset.
	_, _ = m.store.View(ctx, true, func(s *store.State) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.applyGrantOf(s)
	})
}

// report sends reports of demand when they are due, until ctx ends. The first failure in a row is logged.
func (m *Manager) report(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		next := m.nextReport()
		if !next.due {
			m.waitToReport(ctx, next.wait)
			continue
		}
		err := m.sendReport(ctx, next.process, next.demand)
		if err != nil && !failing && ctx.Err() == nil {
			m.cfg.Log.Warn("cannot report the demand for quotas", "session", next.process.Session, "error", err)
		}
		failing = err != nil
		if failing {
			m.mu.Lock()
			m.consumer.ReportFailed()
			m.mu.Unlock()
			sleep(ctx, m.cfg.ReportInterval)
		}
	}
}

// pendingReport is a report that is due, or the time to wait for one.
type pendingReport struct {
	due     bool
	process quota.Process
	demand  quota.Demand
	wait    time.Duration
}

// nextReport returns the next report. One that is due counts as sent.
func (m *Manager) nextReport() pendingReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	demand, due, nextAt := m.consumer.Demand(now)
	if due && m.process.Session != 0 {
		m.consumer.ReportSent(now, demand)
		return pendingReport{due: true, process: m.process, demand: demand}
	}
	wait := m.cfg.ReportInterval
	if nextAt > 0 {
		wait = min(wait, max(time.Millisecond, m.cfg.Clock.TimerDuration(nextAt-now)))
	}
	return pendingReport{wait: wait}
}

func (m *Manager) sendReport(ctx context.Context, process quota.Process, demand quota.Demand) error {
	ctx, cancel := context.WithTimeout(ctx, min(requestTimeout, m.cfg.TTL/2))
	defer cancel()
	_, err := m.store.Do(ctx, store.Command{Txn: &store.Txn{
		Owner:     m.cfg.Host,
		Then:      []store.Op{{Key: process.DemandKey(), Value: quota.Encode(demand), LeaseID: process.Session}},
		KeyLimits: []store.KeyLimit{{Prefix: quota.DemandPrefix, MaxKeys: quota.MaxProcesses}},
	}})
	return err
}

// waitToReport waits for a time, or until something has changed.
func (m *Manager) waitToReport(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.wakeReporter:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// logRejections logs the limits that have rejected requests since it was called last.
func (m *Manager) logRejections() {
	m.mu.Lock()
	defer m.mu.Unlock()
	rejections := map[string]uint64{}
	for _, usage := range m.consumer.Usage(m.now()) {
		name, _, _ := strings.Cut(usage.Key, "@")
		rejections[name] += usage.Rejected
	}
	for name, n := range rejections {
		if logged := m.loggedRejections[name]; n > logged {
			m.cfg.Log.Info("limit of the fleet rejects requests",
				"limit", name, "since_last", n-logged, "every", rejectionLogInterval)
		}
		m.loggedRejections[name] = n
	}
}
