package replica

import (
	"cmp"
	"slices"

	"birchmoor/internal/store"
)

// Peer is the status of a member as another replica sees it.
type Peer struct {
	store.Member
	Leader     bool   `json:"leads,omitempty"`
	MatchIndex uint64 `json:"match,omitempty"`  // last entry that it is known to have; only the leader knows it
	Active     bool   `json:"active,omitempty"` // it sent a message recently; only the leader knows it
}

// Status is the status of a replica.
type Status struct {
	Self             Identity `json:"self"`
	Name             string   `json:"name"`
	LeaderID         uint64   `json:"lead"` // 0 if none is known
	Leading          bool     `json:"leading"`
	Term             uint64   `json:"term"`
	Commit           uint64   `json:"commit"`
	Applied          uint64   `json:"applied"`
	Revision         uint64   `json:"revision"`
	Keys             int      `json:"keys"`
	Bytes            int      `json:"bytes"`
	Level            uint64   `json:"level"`
	MembershipStable bool     `json:"settled"` // no change of the members is in progress
	PendingRequests  int      `json:"waiting"` // proposals
	Peers            []Peer   `json:"peers"`   // all members, this one included, by ID
	Failed           string   `json:"failed,omitempty"`
}

// Status returns the status of the replica.
func (n *Node) Status() Status {
	st := n.raft.Status()
	s := Status{
		Self:             n.self,
		LeaderID:         n.leaderID,
		Leading:          n.leading,
		Term:             st.GetTerm(),
		Commit:           st.GetCommit(),
		Applied:          n.applied,
		Revision:         n.state.Revision(),
		Keys:             n.state.Len(),
		Bytes:            n.state.Size(),
		Level:            n.state.Level(),
		MembershipStable: n.membershipStable(),
		PendingRequests:  len(n.pendingByID),
	}
	if n.failed != nil {
		s.Failed = n.failed.Error()
	}
	for _, m := range n.state.Members() {
		p := Peer{Member: m, Leader: m.ID == n.leaderID}
		if progress, ok := st.Progress[m.ID]; ok {
			p.MatchIndex = progress.Match
			p.Active = m.ID == n.self.MemberID || n.recentlyActive(m.ID)
		}
		if m.ID == n.self.MemberID {
			s.Name = m.Name
		}
		s.Peers = append(s.Peers, p)
	}
	slices.SortFunc(s.Peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return s
}
