package usage

import (
	"strings"

	"birchmoor/internal/store"
)

// Purpose is the purpose of a message, or of an entry in the log of the store.
type Purpose uint8

// The purposes. A transaction has the purpose of its first key.
const (
	Other                Purpose = iota
	Sessions                     // leases that are granted, renewed or revoked
	ServerReports                // drains, administrative drains and starts of servers
	ModuleSnapshots              // snapshots of the decision modules of sidecars
	Settings                     // settings of the data path
	Quotas                       // configuration, demands and grants of limits
	Tasks                        // leases of tasks, that is, which daemon holds them
	Raft                         // messages between replicas, except snapshots, and changes of members
	Snapshots                    // states sent between replicas and to followers
	Heartbeats                   // heartbeats and progress in the streams of followers, and requests for streams
	ConfirmationRequests         // requests of followers for the revision that a quorum confirms
	purposeCount
)

// purposeNames has the names of the purposes in readings and metrics.
var purposeNames = [purposeCount]string{
	Other:                "other",
	Sessions:             "sessions",
	ServerReports:        "words",
	ModuleSnapshots:      "pictures",
	Settings:             "settings",
	Quotas:               "shares",
	Tasks:                "tasks",
	Raft:                 "raft",
	Snapshots:            "snapshots",
	Heartbeats:           "beats",
	ConfirmationRequests: "requests",
}

// String returns the name of the purpose in readings and metrics.
func (p Purpose) String() string { return purposeNames[p] }

// Prefix assigns a purpose to the keys with a prefix.
type Prefix struct {
	Prefix  string
	Purpose Purpose
}

// KeyPurpose returns the purpose of the first of the recorder's prefixes that a key has, or Other.
func (r *Recorder) KeyPurpose(key string) Purpose {
	if r == nil {
		return Other
	}
	for i := range r.prefixes {
		if strings.HasPrefix(key, r.prefixes[i].Prefix) {
			return r.prefixes[i].Purpose
		}
	}
	return Other
}

// CommandPurpose returns the purpose of a command. A transaction has the purpose of the first key that it puts or
// deletes, or else of the first that it compares. Changes of members have the purpose Raft.
func (r *Recorder) CommandPurpose(command *store.Command) Purpose {
	if r == nil {
		return Other
	}
	switch {
	case command.GrantLease != nil, command.RenewLease != nil, command.RevokeLease != nil:
		return Sessions
	case command.AddMember != nil, command.RegisterStart != nil, command.RemoveMember != nil, command.RaiseLevel != nil:
		return Raft
	case command.Txn == nil:
		return Other
	}
	return r.txnPurpose(command.Txn)
}

// txnPurpose implements CommandPurpose for a transaction. Other is the purpose of one without operations and
// comparisons.
func (r *Recorder) txnPurpose(txn *store.Txn) Purpose {
	switch {
	case len(txn.Then) > 0:
		return r.KeyPurpose(txn.Then[0].Key)
	case len(txn.Else) > 0:
		return r.KeyPurpose(txn.Else[0].Key)
	case len(txn.If) > 0:
		return r.KeyPurpose(txn.If[0].Key)
	}
	return Other
}
