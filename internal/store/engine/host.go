package engine

import (
	"context"
	"errors"
	"fmt"
	"maps"

	"birchmoor/internal/store"
	"birchmoor/internal/store/peer"
	"birchmoor/internal/store/replica"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3/raftpb"
)

// maxHelloPeers bounds the peers that rememberPeer records while no members are known.
const maxHelloPeers = 16

// updatePeers sets the peers to which the transport connects: the other members or, while no members are known, the
// peers that have connected to this replica.
func (e *Engine) updatePeers() {
	if e.transport == nil || e.node == nil {
		return
	}
	members := e.node.State().Members()
	peers := e.peersOf(members)
	hash := hashPeers(members, len(peers))
	if hash == e.peersHash {
		return
	}
	e.peersHash = hash
	for id, p := range peers {
		if address := e.cfg.AddressOverrides[p.Name]; address != "" {
			peers[id] = peer.Peer{Name: p.Name, Address: address}
		}
	}
	e.transport.SetPeers(peers)
}

func (e *Engine) peersOf(members []store.Member) map[uint64]peer.Peer {
	peers := map[uint64]peer.Peer{}
	if len(members) == 0 {
		maps.Copy(peers, e.helloPeers)
	}
	for _, m := range members {
		if m.ID != e.node.Self().MemberID {
			peers[m.ID] = peer.Peer{Name: m.Name, Address: m.Address}
		}
	}
	return peers
}

// hashPeers returns a hash of the members or, if none are known, of the number of peers. It tells whether the peers
// have changed.
func hashPeers(members []store.Member, peerCount int) uint64 {
	if len(members) == 0 {
		return uint64(peerCount) + 1
	}
	hash := uint64(1)
	for _, m := range members {
		hash = hash*31 + xxhash.Sum64String(fmt.Sprint(m.ID, m.Name, m.Address))
	}
	return hash
}

// host implements peer.Host for the engine's transport.
type host struct{ engine *Engine }

// Hello implements peer.Host.
func (h host) Hello() replica.Hello {
	e := h.engine
	var hello replica.Hello
	// While the engine closes, the hello stays empty, and peers reject it.
	_ = e.runInLoop(e.ctx, func() { hello = e.hello() })
	return hello
}

// hello returns the hello of this replica. An empty disk has the identity that a peer assigned, if any.
func (e *Engine) hello() replica.Hello {
	if e.node != nil {
		return e.node.Hello()
	}
	hello := replica.Hello{Identity: e.disk.Identity(), Name: e.cfg.Name}
	if e.assignedIdentity.MemberID != 0 {
		hello.ClusterID, hello.MemberID = e.assignedIdentity.ClusterID, e.assignedIdentity.MemberID
	}
	return hello
}

// Admit implements peer.Host.
func (h host) Admit(hello peer.Hello) error {
	e := h.engine
	var rejection error
	err := e.runInLoop(e.ctx, func() {
		rejection = e.admit(hello)
		if rejection == nil {
			e.rememberPeer(hello)
		}
	})
	return errors.Join(err, rejection)
}

// admit returns an error if a peer's hello is rejected. On a disk that belongs to no cluster, the hello of a member of
// a cluster assigns the identity under which joinCluster starts the replica.
func (e *Engine) admit(hello peer.Hello) error {
	if e.node != nil {
		self := e.node.Self().MemberID
		if hello.RecipientID != 0 && hello.RecipientID != self {
			return fmt.Errorf("this replica is member %d, but the hello is for member %d", self, hello.RecipientID)
		}
		return e.node.Admit(hello.From)
	}
	if hello.RecipientID == 0 || hello.From.ClusterID == 0 {
		return errors.New("this replica is waiting to be added to a cluster, and the hello assigns it no identity")
	}
	e.assignedIdentity = replica.Identity{ClusterID: hello.From.ClusterID, MemberID: hello.RecipientID}
	return nil
}

// rememberPeer records the address of a peer while no members are known, so that the transport can connect to it and
// send replies.
func (e *Engine) rememberPeer(hello peer.Hello) {
	membersKnown := e.node != nil && len(e.node.State().Members()) > 0
	if membersKnown || hello.Address == "" || len(e.helloPeers) >= maxHelloPeers {
		return
	}
	if e.helloPeers == nil {
		e.helloPeers = map[uint64]peer.Peer{}
	}
	e.helloPeers[hello.From.MemberID] = peer.Peer{Name: hello.Name, Address: hello.Address}
	e.updatePeers()
}

// Deliver implements peer.Host.
func (h host) Deliver(ctx context.Context, message *raftpb.Message) {
	select {
	case h.engine.inbox <- message:
	case <-ctx.Done():
	case <-h.engine.done:
	}
}

// ReportUnreachable implements peer.Host.
func (h host) ReportUnreachable(member uint64) {
	h.post(func(n *replica.Node) { n.ReportUnreachable(member) })
}

// ReportSnapshot implements peer.Host.
func (h host) ReportSnapshot(member uint64, ok bool) {
	h.post(func(n *replica.Node) { n.ReportSnapshot(member, ok) })
}

// post has the loop call f with the replica, unless there is none or too many calls are waiting. It does not block,
// because the transport may call it from the loop itself.
func (h host) post(f func(*replica.Node)) {
	call := func() {
		if h.engine.node != nil {
			f(h.engine.node)
		}
	}
	select {
	case h.engine.calls <- call:
	default:
	}
}
