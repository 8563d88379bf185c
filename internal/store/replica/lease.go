package replica

import (
	"slices"

	"birchmoor/internal/store"
)

// maxRevokesPerTick bounds the revocations of expired leases that one tick proposes.
const maxRevokesPerTick = 64

// startLeaseTimer sets the deadline of a lease to its TTL from now, rounded up to ticks, plus two ticks. One is needed
// because the next tick may follow immediately, the other because a tick that is already due may be counted late.
func (n *Node) startLeaseTimer(id uint64) {
	lease, ok := n.state.Lease(id)
	if !ok {
		return
	}
	tickMillis := int64(n.cfg.TickMillis)
	n.leaseDeadlineTick[id] = n.nowTick + (int64(lease.TTLMillis)+tickMillis-1)/tickMillis + 2
}

// restartLeaseTimers starts the full TTL of every lease when this replica becomes the leader, because the leases may
// have been renewed just before the end of the former leader's term.
func (n *Node) restartLeaseTimers() {
	clear(n.leaseDeadlineTick)
	clear(n.revokeRetryTick)
	for _, lease := range n.state.Leases() {
		n.startLeaseTimer(lease.ID)
		if n.cfg.Defects.has(ShortenInheritedLeases) {
			n.leaseDeadlineTick[lease.ID] -= (n.leaseDeadlineTick[lease.ID] - n.nowTick) * 3 / 4
		}
	}
}

// updateLeaseTimer updates the deadline of a lease after a command on it was applied. It is called while this replica
// leads.
func (n *Node) updateLeaseTimer(command *store.Command, result store.Result) {
	switch {
	case command.GrantLease != nil, command.RenewLease != nil:
		n.startLeaseTimer(result.LeaseID)
	case command.RevokeLease != nil:
		id := command.RevokeLease.LeaseID
		if _, ok := n.state.Lease(id); !ok {
			delete(n.leaseDeadlineTick, id)
		}
		delete(n.revokeRetryTick, id)
	}
}

// revokeExpiredLeases proposes to revoke the leases whose TTL has passed. A proposal may be lost, so that each lease is
// proposed again after the minimum election timeout.
func (n *Node) revokeExpiredLeases() {
	var expired []uint64
	for id, deadline := range n.leaseDeadlineTick {
		if deadline <= n.nowTick && n.nowTick >= n.revokeRetryTick[id] {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired[:min(len(expired), maxRevokesPerTick)] {
		lease, ok := n.state.Lease(id)
		if !ok {
			delete(n.leaseDeadlineTick, id)
			delete(n.revokeRetryTick, id)
			continue
		}
		n.revokeRetryTick[id] = n.nowTick + int64(n.cfg.ElectionTicks)
		n.proposeInternal(&store.Command{RevokeLease: &store.RevokeLease{
			LeaseID:  id,
			Expired:  !n.cfg.Defects.has(RevokeRenewedLease),
			Renewals: lease.Renewals,
		}})
	}
}
