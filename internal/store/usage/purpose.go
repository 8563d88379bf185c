package usage

import (
	"strings"

	"birchmoor/internal/store"
)

// Purpose is what a message or an entry of the log is for.
type Purpose uint8

// The purposes. A transaction has the purpose of its first key.
const (
	Other           Purpose = iota
	Sessions                // leases that are granted, renewed or revoked
	ServerReports           // drains, administrative drains and starts of servers
	ModuleSnapshots         // what sidecars' decision modules know of servers
	Settings                // of the data path
	Quotas                  // of limits
	Tasks                   // which daemon holds the lease of a task
	Raft                    // between replicas: entries, heartbeats, votes and their answers
	Snapshots               // complete states, between replicas and to followers
	Heartbeats              // of the streams of followers, and the beginnings of streams
	Requests                // of followers for the revision that a quorum confirms
	purposeCount
)

// purposeNames are the names in readings and metrics.
var purposeNames = [purposeCount]string{
	Other:           "other",
	Sessions:        "sessions",
	ServerReports:   "words",
	ModuleSnapshots: "pictures",
	Settings:        "settings",
	Quotas:          "shares",
	Tasks:           "tasks",
	Raft:            "raft",
	Snapshots:       "snapshots",
	Heartbeats:      "beats",
	Requests:        "requests",
}

// String is the name of the purpose in readings and metrics.
func (p Purpose) String() string { return purposeNames[p] }

// Prefix says what the keys that begin with it are for.
type Prefix struct {
	Prefix  string
	Purpose Purpose
}

// KeyPurpose is what a key is for: the purpose of the first of the recorder's prefixes that it has, or Other.
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

// CommandPurpose is what a command is for. A transaction has the purpose of the first key that it puts or
// deletes, or else compares; changes of members are for Raft.
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
