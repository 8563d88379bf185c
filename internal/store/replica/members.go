package replica

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// setLeader takes note of who leads.
func (n *Node) setLeader(lead uint64, leading bool) {
	if leading && !n.leading {
		// Leases run anew: the leader before may have renewed them up to a moment ago.
		clear(n.leaseDeadlines)
		clear(n.revokeRetryAt)
		for _, l := range n.state.Leases() {
			n.startLeaseTimer(l.ID)
			if n.cfg.Defects&ShortenInheritedLeases != 0 {
				n.leaseDeadlines[l.ID] -= (n.leaseDeadlines[l.ID] - n.now) * 3 / 4
			}
		}
	}
	if n.leaderID != lead && lead != 0 {
		n.failUncertain()
	}
	if n.leaderID != lead {
		n.lastMaintenance = n.now - int64(n.cfg.ElectionTicks) // the new one is told at once what the old one may not have heard
	}
	n.leaderID, n.leading = lead, leading
}

// failUncertain answers what was proposed to the leader before: it may be lost with it. Reads are asked again.
func (n *Node) failUncertain() {
	for _, w := range n.pending {
		if !w.done && w.id != (store.RequestID{}) {
			w.done = true
			delete(n.pendingByID, w.id)
			n.out.Completions = append(n.out.Completions, Completion{Token: w.token, Err: ErrOutcomeUnknown})
		}
	}
	for _, r := range n.openRounds {
		r.startedAt = n.now - 2*int64(n.cfg.ElectionTicks)
	}
}

// startLeaseTimer lets a lease run for its TTL from now on, and no less: the first tick may come at once, and one that was due before may
// be counted after it.
func (n *Node) startLeaseTimer(id uint64) {
	if l, ok := n.state.Lease(id); ok {
		tick := int64(n.cfg.TickMillis)
		n.leaseDeadlines[id] = n.now + (int64(l.TTLMillis)+tick-1)/tick + 2
	}
}

// maintain proposes what the leader owes the cluster: the ends of silent leases, and changes of its makeup that the
// members ask for, one at a time. Every replica asks for its own place.
func (n *Node) maintain() {
	if n.failed != nil || n.leaderID == 0 {
		return
	}
	if n.leading {
		n.revokeExpiredLeases()
	}
	if n.now-n.lastMaintenance < int64(n.cfg.ElectionTicks) {
		return
	}
	if me, ok := n.state.Member(n.self.MemberID); ok && !n.registered {
		n.lastMaintenance = n.now
		n.proposeInternal(&store.Command{RegisterStart: &store.RegisterStart{MemberID: me.ID, DiskID: n.self.DiskID, Boot: n.self.Boot, Level: n.cfg.KnownLevel}})
	}
	if !n.leading {
		return
	}
	n.lastMaintenance = n.now
	if cc := n.nextConfChange(); cc != nil {
		n.runRaft(func() error { return n.raft.ProposeConfChange(cc) })
		return
	}
	least := n.cfg.KnownLevel
	for _, m := range n.state.Members() {
		least = min(least, m.Level)
	}
	if least > n.state.Level() {
		n.proposeInternal(&store.Command{RaiseLevel: &store.RaiseLevel{Level: least}})
	}
}

// proposeInternal proposes a command of the replica's own, which nobody waits for.
func (n *Node) proposeInternal(c *store.Command) {
	data, err := c.Encode()
	if err != nil {
		n.fail(err)
		return
	}
	n.runRaft(func() error {
		err := n.raft.Propose(data)
		if err == nil && n.cfg.OnProposed != nil {
			n.cfg.OnProposed(c)
		}
		return err
	})
}

func (n *Node) revokeExpiredLeases() {
	var over []uint64
	for id, at := range n.leaseDeadlines {
		if at <= n.now && n.now >= n.revokeRetryAt[id] {
			over = append(over, id)
		}
	}
	slices.Sort(over)
	for _, id := range over[:min(len(over), 64)] {
		l, ok := n.state.Lease(id)
		if !ok {
			delete(n.leaseDeadlines, id)
			delete(n.revokeRetryAt, id)
			continue
		}
		n.revokeRetryAt[id] = n.now + int64(n.cfg.ElectionTicks)
		n.proposeInternal(&store.Command{RevokeLease: &store.RevokeLease{LeaseID: id, Expired: n.cfg.Defects&RevokeRenewedLease == 0, Renewals: l.Renewals}})
	}
}

// recentlyActive says whether another replica sent something within the time of an election. raft's own word for it, RecentActive, is taken back
// every so many ticks, and a leader that looks at those very ticks never finds it.
func (n *Node) recentlyActive(id uint64) bool {
	at, ever := n.lastReceived[id]
	return ever && n.now-at < int64(n.cfg.ElectionTicks)
}

// nextConfChange is the next step from who votes to who the state says are members.
func (n *Node) nextConfChange() *raftpb.ConfChange {
	st := n.raft.Status()
	if st.Config.Voters[1] != nil && len(st.Config.Voters[1]) > 0 {
		return nil
	}
	change := func(t raftpb.ConfChangeType, id uint64) *raftpb.ConfChange {
		return &raftpb.ConfChange{Type: t.Enum(), NodeId: proto.Uint64(id)}
	}
	for _, m := range n.state.Members() {
		p, in := st.Progress[m.ID]
		switch {
		case !in:
			return change(raftpb.ConfChangeAddLearnerNode, m.ID)
		case p.IsLearner && m.DiskID != 0 && n.recentlyActive(m.ID) && p.State == tracker.StateReplicate &&
			p.Match+64 >= st.HardState.GetCommit():
			return change(raftpb.ConfChangeAddNode, m.ID)
		}
	}
	var gone []uint64
	for id := range st.Progress {
		if _, ok := n.state.Member(id); !ok {
			gone = append(gone, id)
			delete(n.lastReceived, id)
		}
	}
	slices.Sort(gone)
	if len(gone) == 0 {
		return nil
	}
	if gone[0] == n.self.MemberID && !n.TransferLeadership() {
		return nil
	}
	return change(raftpb.ConfChangeRemoveNode, gone[0])
}

// applyConfChange does a change of who votes.
func (n *Node) applyConfChange(cc *raftpb.ConfChange) {
	n.confState, n.confIndex = n.raft.ApplyConfChange(cc), n.applied
	if cc.GetType() != raftpb.ConfChangeRemoveNode {
		n.state.SetVoter(cc.GetNodeId(), cc.GetType() == raftpb.ConfChangeAddNode)
	}
}

// membershipStable says whether who votes is who the state says are members, and all of them vote.
func (n *Node) membershipStable() bool { return n.membershipStableExcept(0) }

// membershipStableExcept says so of all but a member that does not vote: one that was added and does not come, say, or cannot.
func (n *Node) membershipStableExcept(id uint64) bool {
	others := 0
	for _, x := range n.state.Members() {
		if x.ID == id {
			continue
		}
		if others++; !slices.Contains(n.confState.GetVoters(), x.ID) {
			return false
		}
	}
	return len(n.confState.GetVoters()) == others && !slices.Contains(n.confState.GetVoters(), id) &&
		!slices.ContainsFunc(n.confState.GetLearners(), func(l uint64) bool { return l != id })
}

// TransferLeadership gives leadership to the follower that is the furthest, and says whether this replica does not lead: before
// a planned stop it is called until it does not.
func (n *Node) TransferLeadership() bool {
	if n.failed != nil || !n.leading {
		return true
	}
	var best, at uint64
	n.raft.WithProgress(func(id uint64, t raft.ProgressType, p tracker.Progress) {
		if id != n.self.MemberID && t == raft.ProgressTypePeer && n.recentlyActive(id) && (p.Match > at || best == 0) {
			best, at = id, p.Match
		}
	})
	if best != 0 {
		n.runRaft(func() error { n.raft.TransferLeader(best); return nil })
	}
	return false
}

// Peer is what a replica knows of another.
type Peer struct {
	store.Member
	Leader     bool   `json:"leads,omitempty"`
	MatchIndex uint64 `json:"match,omitempty"`  // entries that it is known to have, told by the leader alone
	Active     bool   `json:"active,omitempty"` // heard of lately, told by the leader alone
}

// Status is how a replica stands.
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
	MembershipStable bool     `json:"settled"` // no change of members is under way
	PendingRequests  int      `json:"waiting"`
	Peers            []Peer   `json:"peers"`
	Failed           string   `json:"failed,omitempty"`
}

// Status returns it.
func (n *Node) Status() Status {
	st := n.raft.Status()
	s := Status{Self: n.self, LeaderID: n.leaderID, Leading: n.leading, Term: st.HardState.GetTerm(), Commit: st.HardState.GetCommit(),
		Applied: n.applied, Revision: n.state.Revision(), Keys: n.state.Len(), Bytes: n.state.Size(),
		Level: n.state.Level(), MembershipStable: n.membershipStable(), PendingRequests: len(n.pendingByID)}
	if n.failed != nil {
		s.Failed = n.failed.Error()
	}
	for _, m := range n.state.Members() {
		p := Peer{Member: m, Leader: m.ID == n.leaderID}
		if pr, ok := st.Progress[m.ID]; ok {
			p.MatchIndex, p.Active = pr.Match, n.recentlyActive(m.ID) || m.ID == n.self.MemberID
		}
		if m.ID == n.self.MemberID {
			s.Name = m.Name
		}
		s.Peers = append(s.Peers, p)
	}
	slices.SortFunc(s.Peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

// Leading says whether this replica leads, as far as it knows.
func (n *Node) Leading() bool { return n.leading }

// Hello is how replicas greet each other, before anything else is heard of either.
type Hello struct {
	Identity
	Name      string `cbor:"5,keyasint"`
	LastIndex uint64 `cbor:"6,keyasint"` // entry of its log
}

// Hello returns this replica's.
func (n *Node) Hello() Hello {
	h := Hello{Identity: n.self}
	h.LastIndex, _ = n.log.LastIndex()
	if m, ok := n.state.Member(n.self.MemberID); ok {
		h.Name = m.Name
	}
	return h
}

// Why a greeting is refused.
var (
	ErrClusterMismatch = errors.New("of another cluster")
	ErrNotMember       = errors.New("not a member")
	ErrDiskMismatch    = errors.New("the member's place is held by another disk: remove the member and add it anew")
	ErrDiskRolledBack  = errors.New("the member's disk is older than what it has answered for: remove the member and add it anew")
)

// Admit judges another replica's greeting. A copy that came back with an empty disk, or with an old one, under its
// old name would make the quorum forget what it promised: it is refused, and must be added as a new member.
func (n *Node) Admit(h Hello) error {
	if h.ClusterID != n.self.ClusterID {
		return ErrClusterMismatch
	}
	if n.confState == nil || len(n.confState.GetVoters()) == 0 {
		return nil // just taken in, and knows nobody yet
	}
	m, ok := n.state.Member(h.MemberID)
	if !ok {
		if h.MemberID > n.state.LastID() {
			return nil // added later than what this replica knows
		}
		return fmt.Errorf("%w: %d", ErrNotMember, h.MemberID)
	}
	if n.cfg.Defects&SkipAdmission != 0 {
		return nil
	}
	if m.DiskID != 0 && m.DiskID != h.DiskID {
		return ErrDiskMismatch
	}
	if m.DiskID != 0 && m.Boot > h.Boot {
		return ErrDiskRolledBack
	}
	if n.leading {
		var match uint64
		n.raft.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
			if id == h.MemberID {
				match = p.Match
			}
		})
		if match > h.LastIndex {
			return ErrDiskRolledBack
		}
	}
	return nil
}

// Term is raft's.
func (n *Node) Term() uint64 { return n.raft.BasicStatus().HardState.GetTerm() }
