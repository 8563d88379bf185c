package replica

import (
	"slices"

	"birchmoor/internal/store"
)

const maxRevokesPerTick = 64

// startLeaseTimer starts the TTL of a lease, rounded up. Two more ticks are needed: the next tick may follow at once,
// and a tick that is already due may be counted late.
func (n *Node) startLeaseTimer(id uint64) {
	l, ok := n.state.Lease(id)
	if !ok {
		return
	}
	tickMillis := int64(n.cfg.TickMillis)
	n.leaseDeadlines[id] = n.now + (int64(l.TTLMillis)+tickMillis-1)/tickMillis + 2
}

// restartLeaseTimers starts the full TTL of every lease when this replica becomes the leader, because the former
// leader may just have renewed them.
func (n *Node) restartLeaseTimers() {
	clear(n.leaseDeadlines)
	clear(n.revokeRetryAt)
	for _, l := range n.state.Leases() {
		n.startLeaseTimer(l.ID)
		if n.cfg.Defects.has(ShortenInheritedLeases) {
			n.leaseDeadlines[l.ID] -= (n.leaseDeadlines[l.ID] - n.now) * 3 / 4
		}
	}
}

// updateLeaseTimer follows a command that was applied while this replica leads.
func (n *Node) updateLeaseTimer(c *store.Command, r store.Result) {
	switch {
	case c.GrantLease != nil, c.RenewLease != nil:
		n.startLeaseTimer(r.LeaseID)
	case c.RevokeLease != nil:
		id := c.RevokeLease.LeaseID
		if _, ok := n.state.Lease(id); !ok {
			delete(n.leaseDeadlines, id)
		}
		delete(n.revokeRetryAt, id)
	}
}

// revokeExpiredLeases proposes the end of leases whose TTL has passed.
func (n *Node) revokeExpiredLeases() {
	var expired []uint64
	for id, deadline := range n.leaseDeadlines {
		if deadline <= n.now && n.now >= n.revokeRetryAt[id] {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired[:min(len(expired), maxRevokesPerTick)] {
		l, ok := n.state.Lease(id)
		if !ok {
			delete(n.leaseDeadlines, id)
			delete(n.revokeRetryAt, id)
			continue
		}
		n.revokeRetryAt[id] = n.now + int64(n.cfg.ElectionTicks)
		n.proposeInternal(&store.Command{RevokeLease: &store.RevokeLease{
			LeaseID:  id,
			Expired:  !n.cfg.Defects.has(RevokeRenewedLease),
			Renewals: l.Renewals,
		}})
	}
}
