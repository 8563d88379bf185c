package replica

import (
	"errors"
	"fmt"
)

// Hello identifies a replica to another one when they connect.
type Hello struct {
	Identity
	Name      string `cbor:"5,keyasint"`
	LastIndex uint64 `cbor:"6,keyasint"` // of its log
}

// Hello returns this replica's hello.
func (n *Node) Hello() Hello {
	h := Hello{Identity: n.self}
	h.LastIndex, _ = n.log.LastIndex() // a log in memory returns no error
	if m, ok := n.state.Member(n.self.MemberID); ok {
		h.Name = m.Name
	}
	return h
}

// Errors of Admit.
var (
	ErrClusterMismatch = errors.New("of another cluster")
	ErrNotMember       = errors.New("not a member")
	ErrDiskMismatch    = errors.New("the member is registered with another disk: remove the member and add it anew")
	ErrDiskRolledBack  = errors.New("the member's disk lost what it acknowledged: remove the member and add it anew")
)

// Admit returns an error if another replica must be rejected. A replica that comes back under its old name with an
// empty or an old disk could make the quorum lose what it acknowledged: it must be added as a new member.
func (n *Node) Admit(h Hello) error {
	if h.ClusterID != n.self.ClusterID {
		return ErrClusterMismatch
	}
	if len(n.confState.GetVoters()) == 0 {
		return nil // this replica was just added, and knows no members
	}
	m, ok := n.state.Member(h.MemberID)
	if !ok {
		if h.MemberID > n.state.LastID() {
			return nil // added after the last entry that this replica has applied
		}
		return fmt.Errorf("%w: %d", ErrNotMember, h.MemberID)
	}
	if n.cfg.Defects.has(SkipAdmission) {
		return nil
	}
	if m.DiskID != 0 && m.DiskID != h.DiskID {
		return ErrDiskMismatch
	}
	if m.DiskID != 0 && m.Boot > h.Boot {
		return ErrDiskRolledBack
	}
	if n.leading && n.matchIndex(h.MemberID) > h.LastIndex {
		return ErrDiskRolledBack
	}
	return nil
}
