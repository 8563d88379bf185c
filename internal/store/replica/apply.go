package replica

import (
	"errors"
	"fmt"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// apply applies a committed entry to the state.
func (n *Node) apply(e *raftpb.Entry) error {
	if e.GetIndex() <= n.applied {
		return nil
	}
	n.applied, n.term = e.GetIndex(), e.GetTerm()
	n.out.AppliedEntries++
	if n.cfg.OnEntry != nil {
		n.cfg.OnEntry(e)
	}
	var err error
	switch {
	case e.GetType() == raftpb.EntryConfChange:
		err = n.applyConfChangeEntry(e)
	case e.GetType() == raftpb.EntryConfChangeV2:
		err = errors.New("a joint change of the configuration, which this build does not make")
	case len(e.Data) == 0:
		n.state.SkipIndex(n.applied)
	default:
		err = n.applyCommand(e.Data)
	}
	if err != nil {
		return fmt.Errorf("entry %d: %w", n.applied, err)
	}
	return nil
}

func (n *Node) applyConfChangeEntry(e *raftpb.Entry) error {
	var change raftpb.ConfChange
	if err := proto.Unmarshal(e.Data, &change); err != nil {
		return err
	}
	n.applyConfChange(&change)
	n.state.SkipIndex(n.applied)
	return nil
}

func (n *Node) applyCommand(data []byte) error {
	known := n.cfg.KnownLevel
	if level := store.CommandLevel(data); level > known {
		return fmt.Errorf("%w: level %d, and this build knows %d", store.ErrUnknownCommand, level, known)
	}
	c, err := store.DecodeCommand(data)
	if err != nil {
		return err
	}
	// This replica may have been started with an older build after it registered the level that it knows.
	if c.RaiseLevel != nil && c.RaiseLevel.Level > known {
		return fmt.Errorf("%w: the cluster goes to level %d, and this build knows %d", store.ErrUnknownCommand,
			c.RaiseLevel.Level, known)
	}
	if n.cfg.OnApplied != nil {
		n.cfg.OnApplied(c, len(data))
	}
	n.afterApply(c, n.applyToState(c))
	return nil
}

func (n *Node) applyToState(c *store.Command) store.Result {
	if !n.cfg.Defects.has(ForgetResults) {
		return n.state.Apply(n.applied, c)
	}
	anonymous := *c
	anonymous.ID = store.RequestID{}
	return n.state.Apply(n.applied, &anonymous)
}

// afterApply updates the leader's lease timers, checks the registration of this start, and completes the request.
func (n *Node) afterApply(c *store.Command, r store.Result) {
	if n.leading && r.Err == nil {
		n.updateLeaseTimer(c, r)
	}
	if start := c.RegisterStart; start != nil && *start == n.registration(start.Level) {
		n.registered = r.Err == nil
		if !n.registered {
			n.fail(fmt.Errorf("member %d is registered with another disk or a later start", n.self.MemberID))
		}
	}
	if request := n.pendingByID[c.ID]; request != nil && c.ID != (store.RequestID{}) {
		n.complete(request, r, nil)
	}
}
