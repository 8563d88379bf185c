package admin

import (
	"birchmoor/internal/store"
	"birchmoor/internal/store/engine"
)

// ErrorBody is an error as it is sent.
type ErrorBody struct {
	Error          string           `json:"error"`
	OutcomeUnknown *store.RequestID `json:"unknown,omitempty"` // the change of this request may have been made
	OldestRevision uint64           `json:"oldest,omitempty"`  // of a history that is compacted
	LeaseNotFound  bool             `json:"no_lease,omitempty"`
}

// RangeResponse answers a read of keys.
type RangeResponse struct {
	Items   []store.Item   `json:"items"`
	More    bool           `json:"more,omitempty"` // than the limit
	CopyAge engine.CopyAge `json:"copy"`
	Stale   bool           `json:"stale"` // a copy that may be behind was requested
}

// ChangeRequest requests one change. A request that is sent again with the same id is executed once.
type ChangeRequest struct {
	ID           store.RequestID  `json:"id"`
	Txn          *store.Txn       `json:"txn,omitempty"`
	AddMember    *store.AddMember `json:"add,omitempty"`
	RemoveMember uint64           `json:"remove,omitempty"` // id of the member

	GrantMillis uint64 `json:"grant,omitempty"` // TTL of a lease to grant
	RenewLease  uint64 `json:"renew,omitempty"` // id of the lease
	RevokeLease uint64 `json:"end,omitempty"`   // id of the lease, whose keys go with it
	Owner       string `json:"owner,omitempty"` // of the lease
}

// ChangeResponse answers a change.
type ChangeResponse struct {
	Revision  uint64 `json:"revision"`
	Succeeded bool   `json:"held"` // all comparisons of a transaction were true
	MemberID  uint64 `json:"member,omitempty"`
	LeaseID   uint64 `json:"lease,omitempty"`
}

// LeaseInfo is a lease as operators see it.
type LeaseInfo struct {
	ID        uint64   `json:"id"`
	TTLMillis uint64   `json:"ttl_ms"`
	Owner     string   `json:"owner,omitempty"` // the only daemon that renews it
	Keys      []string `json:"keys"`
}

// command is the command that a request requests. It may have none or several of its changes.
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
