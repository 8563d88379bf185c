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

// AllocatorTask is the name of the task whose lease holder allocates quotas.
const AllocatorTask = "limits"

// AllocatorTask returns the task that allocates quotas. Daemons with a replica run it.
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

// allocate writes the changes of grants that are due, conditional on the lease l and on the previous allocation.
func (m *Manager) allocate(ctx context.Context, l *leasetask.Lease) error {
	m.mu.Lock()
	allocation := m.allocator.Allocate(m.now())
	m.mu.Unlock()
	if allocation == nil {
		return nil
	}
	// If the comparison fails, the copy was outdated. The next allocation is based on a newer one.
	_, err := l.Txn(ctx, store.Txn{If: allocation.If, Then: allocation.Then})
	return err
}

// Run implements daemon.Component. Until ctx ends, it keeps the session, reports demand and logs rejections.
func (m *Manager) Run(ctx context.Context) {
	presence, err := m.runner.UseSession(m.cfg.TTL)
	if err != nil {
		m.cfg.Log.Error("cannot open a session; this process gets no quotas of the fleet's limits", "error", err)
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

// logMissingCopy logs a warning if there is no copy of the store, and so no limits are known.
func (m *Manager) logMissingCopy() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasCopy {
		m.cfg.Log.Warn("the fleet's limits are unknown", "fault", faultNoCopy)
	}
}

// setSession sets the current session, 0 for none, and until when it is valid. If the session is new, it also applies
// the grant in the copy of the store, whose event may have come before the session was known.
func (m *Manager) setSession(ctx context.Context, session uint64, validUntil int64) {
	m.mu.Lock()
	isNew := session != m.process.Session
	m.consumer.SetSession(m.now(), session, validUntil)
	if isNew {
		m.process = quota.Process{Host: m.cfg.Host, Session: session}
		m.wakeReporter()
	}
	m.mu.Unlock()
	if !isNew || session == 0 {
		return
	}
	// If there is no copy yet, Reset applies the grant.
	_, _ = m.store.View(ctx, true, func(s *store.State) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.applyGrantFrom(s)
	})
}

// report sends reports of demand when they are due, until ctx ends. Of consecutive failures it logs the first.
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

// pendingReport is a report that is due, or the time to wait until one may be.
type pendingReport struct {
	due     bool
	process quota.Process // set if due
	demand  quota.Demand  // set if due
	wait    time.Duration // set if not due
}

// nextReport returns the next report. If it is due, the consumer counts it as sent.
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

// waitToReport waits for the duration d, until wakeReporter is called or until ctx ends.
func (m *Manager) waitToReport(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.reporterWakeup:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// logRejections logs the limits that have rejected requests since its last call.
func (m *Manager) logRejections() {
	m.mu.Lock()
	defer m.mu.Unlock()
	rejections := map[string]uint64{}
	for _, usage := range m.consumer.Usage(m.now()) {
		name, _, _ := strings.Cut(usage.Key, "@")
		rejections[name] += usage.Rejected
	}
	for name, count := range rejections {
		if logged := m.loggedRejections[name]; count > logged {
			m.cfg.Log.Info("requests were rejected by a limit of the fleet",
				"limit", name, "since_last", count-logged, "every", rejectionLogInterval)
		}
		m.loggedRejections[name] = count
	}
}
