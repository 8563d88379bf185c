package admin

import (
	"birchmoor/internal/store"
	"birchmoor/internal/store/engine"
)

// ErrorBody is the body of an answer that reports an error.
type ErrorBody struct {
	Error          string           `json:"error"`
	OutcomeUnknown *store.RequestID `json:"unknown,omitempty"` // ID of a request whose change may have been made
	OldestRevision uint64           `json:"oldest,omitempty"`  // of the history, if the request needs an older one
	LeaseNotFound  bool             `json:"no_lease,omitempty"`
}

// RangeResponse answers a read of keys.
type RangeResponse struct {
	Items   []store.Item   `json:"items"`
	More    bool           `json:"more,omitempty"` // there are more items than the limit
	CopyAge engine.CopyAge `json:"copy"`
	Stale   bool           `json:"stale"` // the request allowed a copy that may lag behind
}

// ChangeRequest requests one change: exactly one of Txn, AddMember, RemoveMember, GrantMillis, RenewLease and
// RevokeLease is set. A request that is sent several times with the same ID is executed once.
type ChangeRequest struct {
	ID           store.RequestID  `json:"id"`
	Txn          *store.Txn       `json:"txn,omitempty"`
	AddMember    *store.AddMember `json:"add,omitempty"`
	RemoveMember uint64           `json:"remove,omitempty"` // member ID

	GrantMillis uint64 `json:"grant,omitempty"` // TTL of a lease to grant, in milliseconds
	RenewLease  uint64 `json:"renew,omitempty"` // lease ID
	RevokeLease uint64 `json:"end,omitempty"`   // lease ID; its keys are deleted, too
	Owner       string `json:"owner,omitempty"` // daemon that owns the lease
}

// ChangeResponse answers a ChangeRequest.
type ChangeResponse struct {
	Revision  uint64 `json:"revision"`
	Succeeded bool   `json:"held"` // all comparisons of the transaction were true
	MemberID  uint64 `json:"member,omitempty"`
	LeaseID   uint64 `json:"lease,omitempty"`
}

// LeaseInfo describes a lease to operators.
type LeaseInfo struct {
	ID        uint64   `json:"id"`
	TTLMillis uint64   `json:"ttl_ms"`
	Owner     string   `json:"owner,omitempty"` // the only client that may renew and revoke it; empty: any
	Keys      []string `json:"keys"`
}

// command returns the store command of a request. It has as many changes as the request, which may be none or several.
func (r *ChangeRequest) command() store.Command {
	command := store.Command{ID: r.ID, Txn: r.Txn, AddMember: r.AddMember}
	if r.RemoveMember != 0 {
		command.RemoveMember = &store.RemoveMember{MemberID: r.RemoveMember}
	}
	if r.GrantMillis != 0 {
		command.GrantLease = &store.GrantLease{TTLMillis: r.GrantMillis, Owner: r.Owner}
	}
	if r.RenewLease != 0 {
		command.RenewLease = &store.RenewLease{LeaseID: r.RenewLease, Owner: r.Owner}
	}
	if r.RevokeLease != 0 {
		command.RevokeLease = &store.RevokeLease{LeaseID: r.RevokeLease, Owner: r.Owner}
	}
	return command
}
