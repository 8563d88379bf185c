package replica

import (
	"cmp"
	"slices"

	"birchmoor/internal/store"
)

// PeerStatus is the status of a member as the reporting replica sees it.
type PeerStatus struct {
	store.Member
	Leader bool `json:"leads,omitempty"`
	// index of the last entry that it is known to have; set by the leader only
	MatchIndex uint64 `json:"match,omitempty"`
	Active     bool   `json:"active,omitempty"` // the member sent a message recently; set by the leader only
}

// Status is the status of a replica at one time, for operators.
type Status struct {
	Self     Identity `json:"self"`
	Name     string   `json:"name"`
	LeaderID uint64   `json:"lead"` // 0 if no leader is known
	Leading  bool     `json:"leading"`
	Term     uint64   `json:"term"`
	Commit   uint64   `json:"commit"`  // index of the last entry that is known to be committed
	Applied  uint64   `json:"applied"` // index of the last entry that is applied
	Revision uint64   `json:"revision"`
	Keys     int      `json:"keys"`
	Bytes    int      `json:"bytes"` // size of the keys and values
	Level    uint64   `json:"level"` // level of commands that the cluster uses
	// no change of the members is in progress, and all are voters
	MembershipStable bool         `json:"settled"`
	PendingRequests  int          `json:"waiting"`          // number of pending proposals
	Peers            []PeerStatus `json:"peers"`            // all members, including this one, ordered by ID
	Failed           string       `json:"failed,omitempty"` // why the replica has stopped; empty while it works
}

// Status returns the current status of the replica.
func (n *Node) Status() Status {
	raftStatus := n.raft.Status()
	status := Status{
		Self:             n.identity,
		LeaderID:         n.leaderID,
		Leading:          n.leading,
		Term:             raftStatus.GetTerm(),
		Commit:           raftStatus.GetCommit(),
		Applied:          n.appliedIndex,
		Revision:         n.state.Revision(),
		Keys:             n.state.Len(),
		Bytes:            n.state.Size(),
		Level:            n.state.Level(),
		MembershipStable: n.membershipStable(),
		PendingRequests:  len(n.pendingByID),
	}
	if n.failure != nil {
		status.Failed = n.failure.Error()
	}
	for _, member := range n.state.Members() {
		peer := PeerStatus{Member: member, Leader: member.ID == n.leaderID}
		if progress, ok := raftStatus.Progress[member.ID]; ok {
			peer.MatchIndex = progress.Match
			peer.Active = member.ID == n.identity.MemberID || n.recentlyActive(member.ID)
		}
		if member.ID == n.identity.MemberID {
			status.Name = member.Name
		}
		status.Peers = append(status.Peers, peer)
	}
	slices.SortFunc(status.Peers, func(a, b PeerStatus) int { return cmp.Compare(a.ID, b.ID) })
	return status
}
