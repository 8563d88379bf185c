package quotasync

import (
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/dataplane/core"
)

// inlineCharges is the largest number of charges that Admit matches without a memory allocation.
const inlineCharges = 4

// Admit implements core.Limiter.
func (m *Manager) Admit(r *core.LimiterRequest) (ended func(mayHaveRun bool), exceeded *core.LimitExceeded) {
	matcher := m.matcher.Load()
	if matcher == nil {
		return nil, nil
	}
	var buf [inlineCharges]quota.Charge
	charges := matcher.Match(buf[:0], &quota.Request{
		Class:          r.Class,
		Path:           r.Path,
		Cost:           r.CostMs * quota.AmountUnit,
		Header:         r.Header,
		PriorityWeight: r.PriorityWeight,
	})
	if len(charges) == 0 {
		return nil, nil
	}
	reservation, rejection := m.reserve(charges, r.PriorityWeight)
	if rejection != nil {
		return nil, &core.LimitExceeded{
			Limit:            rejection.Limit,
			Part:             rejection.Node,
			StoreUnreachable: rejection.StoreUnreachable,
			RetryAfter:       m.cfg.Clock.TimerDuration(rejection.RetryAfter),
		}
	}
	return func(mayHaveRun bool) { m.release(reservation, mayHaveRun) }, nil
}

func (m *Manager) reserve(charges []quota.Charge, priorityWeight float64) (*quota.Reservation, *quota.Rejection) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now() // read under the lock, since the session may end while this goroutine waits for it
	return m.consumer.Reserve(now, charges, priorityWeight)
}

// release ends a request. Its charges are refunded if it never ran.
func (m *Manager) release(r *quota.Reservation, mayHaveRun bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if mayHaveRun {
		m.consumer.Complete(now, r)
		return
	}
	m.consumer.Cancel(now, r)
}
