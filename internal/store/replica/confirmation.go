package replica

// confirmationState tells whether a majority of the voters knows that the last configuration change is committed. The
// leader alone knows that at first. If it is lost then, the others hold to the voters before the change, and may not
// have a majority of those.
//
// The leader confirms a change by an empty entry that it proposes once it has applied the change. A replica that accepts
// the entry learns from the same message that the change is committed, and writes both to disk together. The entry is
// committed by a majority of the voters after the change.
type confirmationState uint8

const (
	confirmed            confirmationState = iota // the confirmation is applied, or there was no change
	unconfirmed                                   // a change is applied, and its confirmation must be proposed
	confirmationProposed                          // this replica has proposed a confirmation
)

// proposeConfirmation proposes the confirmation of the last configuration change if this replica leads and has not done
// that yet.
func (n *Node) proposeConfirmation() {
	if n.failure != nil || !n.leading || n.confirmation != unconfirmed {
		return
	}
	n.confirmation = confirmationProposed
	n.runRaft(func() error { return n.raft.Propose(nil) })
}

// applyEmptyEntry applies an entry without a command. It confirms the last configuration change, unless it is the first
// entry of its term, which raft itself appends for a new leader that need not have applied that change.
func (n *Node) applyEmptyEntry(firstOfTerm bool) {
	n.state.SkipIndex(n.appliedIndex)
	if !firstOfTerm {
		n.confirmation = confirmed
	}
}
