package replica

import (
	"errors"
	"fmt"
)

// Hello is what a replica tells another one about itself when they connect, so that Admit can check it.
type Hello struct {
	Identity
	Name      string `cbor:"5,keyasint"` // may be empty until the sender's state contains it
	LastIndex uint64 `cbor:"6,keyasint"` // index of the last entry of its log
}

// Hello returns this replica's hello.
func (n *Node) Hello() Hello {
	hello := Hello{Identity: n.identity}
	hello.LastIndex, _ = n.raftLog.LastIndex() // a log in memory never returns an error
	if member, ok := n.state.Member(n.identity.MemberID); ok {
		hello.Name = member.Name
	}
	return hello
}

// Errors of Admit. Their texts are sent to the rejected replica.
var (
	ErrClusterMismatch = errors.New("of another cluster")
	ErrNotMember       = errors.New("not a member")
	ErrDiskMismatch    = errors.New("the member is registered with another disk: remove the member and add it anew")
	ErrDiskRolledBack  = errors.New("the member's disk lost what it acknowledged: remove the member and add it anew")
)

// Admit returns why the replica that sent a hello must be rejected, or nil. A replica that returns under its old name
// with an empty or an outdated disk could make a quorum lose what it acknowledged, so that it must be added as a new
// member.
func (n *Node) Admit(hello Hello) error {
	if hello.ClusterID != n.identity.ClusterID {
		return ErrClusterMismatch
	}
	if len(n.confState.GetVoters()) == 0 {
		return nil // this replica was just added and knows no members yet
	}
	member, ok := n.state.Member(hello.MemberID)
	if !ok {
		if hello.MemberID > n.state.LastID() {
			return nil // the member was added by an entry that this replica has not applied yet
		}
		return fmt.Errorf("%w: %d", ErrNotMember, hello.MemberID)
	}
	if n.cfg.Defects.has(SkipAdmission) {
		return nil
	}
	if member.DiskID != 0 && member.DiskID != hello.DiskID {
		return ErrDiskMismatch
	}
	if member.DiskID != 0 && member.Boot > hello.Boot {
		return ErrDiskRolledBack
	}
	if n.leading && n.matchIndex(hello.MemberID) > hello.LastIndex {
		return ErrDiskRolledBack
	}
	return nil
}
