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

// led takes note of who leads.
func (n *Node) led(lead uint64, leading bool) {
	if leading && !n.leading {
		// Leases run anew: the leader before may have renewed them up to a moment ago.
		clear(n.deadline)
		clear(n.ending)
		for _, l := range n.state.Leases() {
			n.keep(l.ID)
			if n.cfg.Planted&LeaseRest != 0 {
				n.deadline[l.ID] -= (n.deadline[l.ID] - n.now) * 3 / 4
			}
		}
	}
	if n.lead != lead && lead != 0 {
		n.doubt()
	}
	if n.lead != lead {
		n.tried = n.now - int64(n.cfg.ElectTicks) // the new one is told at once what the old one may not have heard
	}
	n.lead, n.leading = lead, leading
}

// doubt answers what was proposed to the leader before: it may be lost with it. Reads are asked again.
func (n *Node) doubt() {
	for _, w := range n.order {
		if !w.done && w.id != (store.RequestID{}) {
			w.done = true
			delete(n.waiting, w.id)
			n.out.Done = append(n.out.Done, Completion{Token: w.token, Err: ErrOutcomeUnknown})
		}
	}
	for _, r := range n.asked {
		r.asked = n.now - 2*int64(n.cfg.ElectTicks)
	}
}

// keep lets a lease run for its TTL from now on, and no less: the first tick may come at once, and one that was due before may
// be counted after it.
func (n *Node) keep(id uint64) {
	if l, ok := n.state.Lease(id); ok {
		tick := int64(n.cfg.TickMillis)
		n.deadline[id] = n.now + (int64(l.TTLMillis)+tick-1)/tick + 2
	}
}

// tend proposes what the leader owes the cluster: the ends of silent leases, and changes of its makeup that the
// members ask for, one at a time. Every replica asks for its own place.
func (n *Node) tend() {
	if n.failed != nil || n.lead == 0 {
		return
	}
	if n.leading {
		n.endLeases()
	}
	if n.now-n.tried < int64(n.cfg.ElectTicks) {
		return
	}
	if me, ok := n.state.Member(n.self.Member); ok && !n.placed {
		n.tried = n.now
		n.send(&store.Command{RegisterStart: &store.RegisterStart{MemberID: me.ID, DiskID: n.self.Disk, Boot: n.self.Boot, Level: n.cfg.Knows}})
	}
	if !n.leading {
		return
	}
	n.tried = n.now
	if cc := n.owed(); cc != nil {
		n.must(func() error { return n.raw.ProposeConfChange(cc) })
		return
	}
	least := n.cfg.Knows
	for _, m := range n.state.Members() {
		least = min(least, m.Level)
	}
	if least > n.state.Level() {
		n.send(&store.Command{RaiseLevel: &store.RaiseLevel{Level: least}})
	}
}

// send proposes a command of the replica's own, which nobody waits for.
func (n *Node) send(c *store.Command) {
	data, err := c.Encode()
	if err != nil {
		n.fail(err)
		return
	}
	n.must(func() error {
		err := n.raw.Propose(data)
		if err == nil && n.cfg.Proposed != nil {
			n.cfg.Proposed(c)
		}
		return err
	})
}

func (n *Node) endLeases() {
	var over []uint64
	for id, at := range n.deadline {
		if at <= n.now && n.now >= n.ending[id] {
			over = append(over, id)
		}
	}
	slices.Sort(over)
	for _, id := range over[:min(len(over), 64)] {
		l, ok := n.state.Lease(id)
		if !ok {
			delete(n.deadline, id)
			delete(n.ending, id)
			continue
		}
		n.ending[id] = n.now + int64(n.cfg.ElectTicks)
		n.send(&store.Command{RevokeLease: &store.RevokeLease{LeaseID: id, Expired: n.cfg.Planted&BlindLease == 0, Renewals: l.Renewals}})
	}
}

// hears says whether another replica sent something within the time of an election. raft's own word for it, RecentActive, is taken back
// every so many ticks, and a leader that looks at those very ticks never finds it.
func (n *Node) hears(id uint64) bool {
	at, ever := n.heard[id]
	return ever && n.now-at < int64(n.cfg.ElectTicks)
}

// owed is the next step from who votes to who the state says are members.
func (n *Node) owed() *raftpb.ConfChange {
	st := n.raw.Status()
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
		case p.IsLearner && m.DiskID != 0 && n.hears(m.ID) && p.State == tracker.StateReplicate &&
			p.Match+64 >= st.HardState.GetCommit():
			return change(raftpb.ConfChangeAddNode, m.ID)
		}
	}
	var gone []uint64
	for id := range st.Progress {
		if _, ok := n.state.Member(id); !ok {
			gone = append(gone, id)
			delete(n.heard, id)
		}
	}
	slices.Sort(gone)
	if len(gone) == 0 {
		return nil
	}
	if gone[0] == n.self.Member && !n.TransferLeadership() {
		return nil
	}
	return change(raftpb.ConfChangeRemoveNode, gone[0])
}

// seat does a change of who votes.
func (n *Node) seat(cc *raftpb.ConfChange) {
	n.conf, n.seated = n.raw.ApplyConfChange(cc), n.applied
	if cc.GetType() != raftpb.ConfChangeRemoveNode {
		n.state.SetVoter(cc.GetNodeId(), cc.GetType() == raftpb.ConfChangeAddNode)
	}
}

// settled says whether who votes is who the state says are members, and all of them vote.
func (n *Node) settled() bool { return n.settledBut(0) }

// settledBut says so of all but a member that does not vote: one that was added and does not come, say, or cannot.
func (n *Node) settledBut(id uint64) bool {
	others := 0
	for _, x := range n.state.Members() {
		if x.ID == id {
			continue
		}
		if others++; !slices.Contains(n.conf.GetVoters(), x.ID) {
			return false
		}
	}
	return len(n.conf.GetVoters()) == others && !slices.Contains(n.conf.GetVoters(), id) &&
		!slices.ContainsFunc(n.conf.GetLearners(), func(l uint64) bool { return l != id })
}

// TransferLeadership gives leadership to the follower that is the furthest, and says whether this replica does not lead: before
// a planned stop it is called until it does not.
func (n *Node) TransferLeadership() bool {
	if n.failed != nil || !n.leading {
		return true
	}
	var best, at uint64
	n.raw.WithProgress(func(id uint64, t raft.ProgressType, p tracker.Progress) {
		if id != n.self.Member && t == raft.ProgressTypePeer && n.hears(id) && (p.Match > at || best == 0) {
			best, at = id, p.Match
		}
	})
	if best != 0 {
		n.must(func() error { n.raw.TransferLeader(best); return nil })
	}
	return false
}

// Peer is what a replica knows of another.
type Peer struct {
	store.Member
	Leads  bool   `json:"leads,omitempty"`
	Match  uint64 `json:"match,omitempty"`  // entries that it is known to have, told by the leader alone
	Active bool   `json:"active,omitempty"` // heard of lately, told by the leader alone
}

// Status is how a replica stands.
type Status struct {
	Self     Identity `json:"self"`
	Name     string   `json:"name"`
	Lead     uint64   `json:"lead"` // 0 if none is known
	Leading  bool     `json:"leading"`
	Term     uint64   `json:"term"`
	Commit   uint64   `json:"commit"`
	Applied  uint64   `json:"applied"`
	Revision uint64   `json:"revision"`
	Keys     int      `json:"keys"`
	Bytes    int      `json:"bytes"`
	Level    uint64   `json:"level"`
	Settled  bool     `json:"settled"` // no change of members is under way
	Waiting  int      `json:"waiting"`
	Peers    []Peer   `json:"peers"`
	Failed   string   `json:"failed,omitempty"`
}

// Status returns it.
func (n *Node) Status() Status {
	st := n.raw.Status()
	s := Status{Self: n.self, Lead: n.lead, Leading: n.leading, Term: st.HardState.GetTerm(), Commit: st.HardState.GetCommit(),
		Applied: n.applied, Revision: n.state.Revision(), Keys: n.state.Len(), Bytes: n.state.Size(),
		Level: n.state.Level(), Settled: n.settled(), Waiting: len(n.waiting)}
	if n.failed != nil {
		s.Failed = n.failed.Error()
	}
	for _, m := range n.state.Members() {
		p := Peer{Member: m, Leads: m.ID == n.lead}
		if pr, ok := st.Progress[m.ID]; ok {
			p.Match, p.Active = pr.Match, n.hears(m.ID) || m.ID == n.self.Member
		}
		if m.ID == n.self.Member {
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
	Name string `cbor:"5,keyasint"`
	Last uint64 `cbor:"6,keyasint"` // entry of its log
}

// Hello returns this replica's.
func (n *Node) Hello() Hello {
	h := Hello{Identity: n.self}
	h.Last, _ = n.log.LastIndex()
	if m, ok := n.state.Member(n.self.Member); ok {
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
	if h.Cluster != n.self.Cluster {
		return ErrClusterMismatch
	}
	if n.conf == nil || len(n.conf.GetVoters()) == 0 {
		return nil // just taken in, and knows nobody yet
	}
	m, ok := n.state.Member(h.Member)
	if !ok {
		if h.Member > n.state.LastID() {
			return nil // added later than what this replica knows
		}
		return fmt.Errorf("%w: %d", ErrNotMember, h.Member)
	}
	if n.cfg.Planted&SkipCheck != 0 {
		return nil
	}
	if m.DiskID != 0 && m.DiskID != h.Disk {
		return ErrDiskMismatch
	}
	if m.DiskID != 0 && m.Boot > h.Boot {
		return ErrDiskRolledBack
	}
	if n.leading {
		var match uint64
		n.raw.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
			if id == h.Member {
				match = p.Match
			}
		})
		if match > h.Last {
			return ErrDiskRolledBack
		}
	}
	return nil
}

// Term is raft's.
func (n *Node) Term() uint64 { return n.raw.BasicStatus().HardState.GetTerm() }
