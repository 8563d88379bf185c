package replica

import (
	"errors"
	"fmt"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// apply applies a committed entry to the state. It skips an entry that the state already includes.
func (n *Node) apply(entry *raftpb.Entry) error {
	if entry.GetIndex() <= n.appliedIndex {
		return nil
	}
	firstOfTerm := entry.GetTerm() != n.appliedTerm
	n.appliedIndex, n.appliedTerm = entry.GetIndex(), entry.GetTerm()
	n.output.AppliedEntries++
	if n.cfg.OnEntry != nil {
		n.cfg.OnEntry(entry)
	}
	var err error
	switch {
	case entry.GetType() == raftpb.EntryConfChange:
		err = n.applyConfChangeEntry(entry)
	case entry.GetType() == raftpb.EntryConfChangeV2:
		err = errors.New("joint configuration changes are not supported by this build")
	case len(entry.Data) == 0:
		n.applyEmptyEntry(firstOfTerm)
	default:
		err = n.applyCommand(entry.Data)
	}
	if err != nil {
		return fmt.Errorf("entry %d: %w", n.appliedIndex, err)
	}
	return nil
}

func (n *Node) applyConfChangeEntry(entry *raftpb.Entry) error {
	var change raftpb.ConfChange
	if err := proto.Unmarshal(entry.Data, &change); err != nil {
		return err
	}
	n.applyConfChange(&change)
	n.state.SkipIndex(n.appliedIndex)
	return nil
}

func (n *Node) applyCommand(data []byte) error {
	knownLevel := n.cfg.KnownLevel
	if level := store.CommandLevel(data); level > knownLevel {
		return fmt.Errorf("%w: level %d, and this build knows %d", store.ErrUnknownCommand, level, knownLevel)
	}
	command, err := store.DecodeCommand(data)
	if err != nil {
		return err
	}
	// This replica may have been restarted with an older build after a newer one had registered the level it knows.
	if command.RaiseLevel != nil && command.RaiseLevel.Level > knownLevel {
		return fmt.Errorf("%w: the command raises the cluster to level %d, and this build knows %d",
			store.ErrUnknownCommand, command.RaiseLevel.Level, knownLevel)
	}
	if n.cfg.OnApplied != nil {
		n.cfg.OnApplied(command, len(data))
	}
	n.afterApply(command, n.applyToState(command))
	return nil
}

// applyToState applies a command to the state. The defect ForgetResults hides the request ID, so that a retried request
// is not recognised.
func (n *Node) applyToState(command *store.Command) store.Result {
	if !n.cfg.Defects.has(ForgetResults) {
		return n.state.Apply(n.appliedIndex, command)
	}
	withoutID := *command
	withoutID.ID = store.RequestID{}
	return n.state.Apply(n.appliedIndex, &withoutID)
}

// afterApply updates the lease timers if this replica leads, checks the registration of this start, and completes the
// pending request.
func (n *Node) afterApply(command *store.Command, result store.Result) {
	if n.leading && result.Err == nil {
		n.updateLeaseTimer(command, result)
	}
	if start := command.RegisterStart; start != nil && *start == n.registration(start.Level) {
		n.registered = result.Err == nil
		if !n.registered {
			n.fail(fmt.Errorf("member %d is registered with another disk or a later start", n.identity.MemberID))
		}
	}
	if request := n.pendingByID[command.ID]; request != nil && command.ID != (store.RequestID{}) {
		n.complete(request, result, nil)
	}
}
