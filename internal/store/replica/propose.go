package replica

import (
	"errors"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
)

// Propose requests that a command is committed and applied. A later call of Process returns the completion, exactly one
// for each request.
func (n *Node) Propose(token RequestToken, command *store.Command) {
	completion := n.propose(token, command)
	if completion != nil {
		completion.Token = token
		n.output.Completions = append(n.output.Completions, *completion)
	}
}

// propose proposes a command to raft. It returns nil if the request is pending, or the completion of a request that was
// not proposed: one that is invalid, rejected, or already applied.
func (n *Node) propose(token RequestToken, command *store.Command) *Completion {
	if n.failure != nil {
		return &Completion{Err: n.failure}
	}
	if len(n.pendingByID) >= n.cfg.MaxPending {
		return &Completion{Err: ErrBusy}
	}
	if err := n.validate(command); err != nil {
		return &Completion{Result: store.Result{Revision: n.state.Revision(), Err: err}}
	}
	if result, ok := n.state.CachedResult(command.ID); ok && !n.cfg.Defects.has(ForgetResults) {
		result.Duplicate = true
		return &Completion{Result: result}
	}
	if n.mustWaitForMembership(command) {
		return &Completion{Err: ErrBusy}
	}
	if command.SinceIndex == 0 {
		command.SinceIndex = max(1, n.appliedIndex)
	}
	data, err := command.Encode()
	if err != nil {
		return &Completion{Result: store.Result{Err: store.ErrTooLarge}}
	}
	if n.pendingByID[command.ID] != nil {
		return &Completion{Err: ErrBusy}
	}
	if err := n.proposeToRaft(data); err != nil {
		return &Completion{Err: err}
	}
	n.reportProposed(command)
	request := &pendingRequest{token: token, id: command.ID, deadlineTick: n.nowTick + int64(n.cfg.RequestTimeoutTicks)}
	n.pendingByID[command.ID] = request
	n.pending = append(n.pending, request)
	return nil
}

// validate returns why the state rejects a command. The defect IgnoreLevel suppresses the check of its level.
func (n *Node) validate(command *store.Command) error {
	err := n.state.Validate(command)
	if errors.Is(err, store.ErrUnsupportedLevel) && n.cfg.Defects.has(IgnoreLevel) {
		return nil
	}
	return err
}

// mustWaitForMembership reports whether a command that adds or removes a member must wait until an earlier change of
// the members has finished. A member that is not a voter yet can be removed at any time.
func (n *Node) mustWaitForMembership(command *store.Command) bool {
	switch {
	case command.AddMember != nil:
		return !n.membershipStable()
	case command.RemoveMember != nil:
		return !n.membershipStable() && !n.membershipStableExcept(command.RemoveMember.MemberID)
	}
	return false
}

// proposeToRaft proposes an encoded command. It returns ErrNoLeader or ErrBusy if raft drops the proposal, and stops
// the replica on any other error.
func (n *Node) proposeToRaft(data []byte) error {
	err := catchPanic(func() error { return n.raft.Propose(data) })
	switch {
	case err == nil:
		return nil
	case !errors.Is(err, raft.ErrProposalDropped):
		n.fail(err)
		return n.failure
	case n.leaderID == 0:
		return ErrNoLeader
	}
	return ErrBusy
}

func (n *Node) reportProposed(command *store.Command) {
	if n.cfg.OnProposed != nil {
		n.cfg.OnProposed(command)
	}
}

// proposeInternal proposes a command that the replica itself issues. It does not wait for the outcome: maintain
// repeats a proposal that is lost.
func (n *Node) proposeInternal(command *store.Command) {
	data, err := command.Encode()
	if err != nil {
		n.fail(err)
		return
	}
	n.runRaft(func() error {
		err := n.raft.Propose(data)
		if err == nil {
			n.reportProposed(command)
		}
		return err
	})
}

// addCompletion marks a request as done and adds its completion to the output of Process.
func (n *Node) addCompletion(request *pendingRequest, result store.Result, err error) {
	request.done = true
	n.output.Completions = append(n.output.Completions, Completion{Token: request.token, Result: result, Err: err})
}

// complete completes a pending request, which may be a proposal or a read.
func (n *Node) complete(request *pendingRequest, result store.Result, err error) {
	delete(n.pendingByID, request.id)
	n.addCompletion(request, result, err)
}

// expireRequests completes the requests whose deadline has passed: proposals with ErrOutcomeUnknown, reads with
// ErrNoLeader.
func (n *Node) expireRequests() {
	for len(n.pending) > 0 && (n.pending[0].done || n.pending[0].deadlineTick <= n.nowTick) {
		request := n.pending[0]
		n.pending = n.pending[1:]
		if request.done {
			continue
		}
		err := ErrNoLeader
		if request.isProposal() {
			err = ErrOutcomeUnknown
		}
		n.complete(request, store.Result{}, err)
	}
}
