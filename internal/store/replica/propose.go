package replica

import (
	"errors"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
)

// Propose requests a change. Process completes the request, once.
func (n *Node) Propose(t RequestToken, c *store.Command) {
	completion := n.propose(t, c)
	if completion != nil {
		completion.Token = t
		n.out.Completions = append(n.out.Completions, *completion)
	}
}

// propose returns the completion of a request that is not proposed to raft, or nil if the request is pending.
func (n *Node) propose(t RequestToken, c *store.Command) *Completion {
	if n.failed != nil {
		return &Completion{Err: n.failed}
	}
	if len(n.pendingByID) >= n.cfg.MaxPending {
		return &Completion{Err: ErrBusy}
	}
	if err := n.validate(c); err != nil {
		return &Completion{Result: store.Result{Revision: n.state.Revision(), Err: err}}
	}
	if r, ok := n.state.CachedResult(c.ID); ok && !n.cfg.Defects.has(ForgetResults) {
		r.Duplicate = true
		return &Completion{Result: r}
	}
	if n.mustWaitForMembership(c) {
		return &Completion{Err: ErrBusy}
	}
	if c.SinceIndex == 0 {
		c.SinceIndex = max(1, n.applied)
	}
	data, err := c.Encode()
	if err != nil {
		return &Completion{Result: store.Result{Err: store.ErrTooLarge}}
	}
	if n.pendingByID[c.ID] != nil {
		return &Completion{Err: ErrBusy}
	}
	if err := n.proposeToRaft(data); err != nil {
		return &Completion{Err: err}
	}
	n.reportProposed(c)
	r := &pendingRequest{token: t, id: c.ID, deadline: n.now + int64(n.cfg.RequestTimeoutTicks)}
	n.pendingByID[c.ID] = r
	n.pending = append(n.pending, r)
	return nil
}

func (n *Node) validate(c *store.Command) error {
	err := n.state.Validate(c)
	if errors.Is(err, store.ErrUnsupportedLevel) && n.cfg.Defects.has(IgnoreLevel) {
		return nil
	}
	return err
}

// mustWaitForMembership reports whether a change of the members has to wait for an earlier one. A member that has not
// become a voter can be removed at any time.
func (n *Node) mustWaitForMembership(c *store.Command) bool {
	switch {
	case c.AddMember != nil:
		return !n.membershipStable()
	case c.RemoveMember != nil:
		return !n.membershipStable() && !n.membershipStableExcept(c.RemoveMember.MemberID)
	}
	return false
}

func (n *Node) proposeToRaft(data []byte) error {
	err := catchPanic(func() error { return n.raft.Propose(data) })
	switch {
	case err == nil:
		return nil
	case !errors.Is(err, raft.ErrProposalDropped):
		n.fail(err)
		return n.failed
	case n.leaderID == 0:
		return ErrNoLeader
	}
	return ErrBusy
}

func (n *Node) reportProposed(c *store.Command) {
	if n.cfg.OnProposed != nil {
		n.cfg.OnProposed(c)
	}
}

// proposeInternal proposes a command of the replica's own, whose outcome is not awaited.
func (n *Node) proposeInternal(c *store.Command) {
	data, err := c.Encode()
	if err != nil {
		n.fail(err)
		return
	}
	n.runRaft(func() error {
		err := n.raft.Propose(data)
		if err == nil {
			n.reportProposed(c)
		}
		return err
	})
}

// finish hands out the completion of a pending request.
func (n *Node) finish(r *pendingRequest, result store.Result, err error) {
	r.done = true
	n.out.Completions = append(n.out.Completions, Completion{Token: r.token, Result: result, Err: err})
}

// complete finishes a request that may be a proposal.
func (n *Node) complete(r *pendingRequest, result store.Result, err error) {
	delete(n.pendingByID, r.id)
	n.finish(r, result, err)
}

// expireRequests completes the requests whose deadline has passed.
func (n *Node) expireRequests() {
	for len(n.pending) > 0 && (n.pending[0].done || n.pending[0].deadline <= n.now) {
		r := n.pending[0]
		n.pending = n.pending[1:]
		if r.done {
			continue
		}
		err := ErrNoLeader
		if r.isProposal() {
			err = ErrOutcomeUnknown
		}
		n.complete(r, store.Result{}, err)
	}
}
