package admin

import (
	"testing"

	"birchmoor/internal/store"
)

// ownKeysAllowed stands for what the parts of a daemon say: what is of the follower's name, and goes with a lease.
func ownKeysAllowed(op store.Op, owner string) bool {
	return op.Key == "own/"+owner && (op.Delete || op.LeaseID != 0)
}

// A follower has leases of its own name, what daemons tell of servers and what parts let it have, and no members.
func TestFollowerMayChangeOnlyItsOwnKeys(t *testing.T) {
	txn := func(owner string, ops ...store.Op) ChangeRequest {
		return ChangeRequest{Txn: &store.Txn{Owner: owner, Then: ops}}
	}
	for name, x := range map[string]struct {
		q  ChangeRequest
		ok bool
	}{
		"a lease of its own":      {ChangeRequest{GrantMillis: 5000, Owner: "f"}, true},
		"of another's name":       {ChangeRequest{GrantMillis: 5000, Owner: "g"}, false},
		"of nobody's":             {ChangeRequest{GrantMillis: 5000}, false},
		"too long":                {ChangeRequest{GrantMillis: 1 << 40, Owner: "f"}, false},
		"renewed":                 {ChangeRequest{RenewLease: 7, Owner: "f"}, true},
		"another's renewed":       {ChangeRequest{RenewLease: 7, Owner: "g"}, false},
		"two things":              {ChangeRequest{RenewLease: 7, RevokeLease: 7, Owner: "f"}, false},
		"what its part lets":      {txn("f", store.Op{Key: "own/f", LeaseID: 7}), true},
		"and does not":            {txn("f", store.Op{Key: "own/g", LeaseID: 7}), false},
		"in another's name":       {txn("g", store.Op{Key: "own/g", LeaseID: 7}), false},
		"in nobody's":             {txn("", store.Op{Key: "own/f", LeaseID: 7}), false},
		"in the other branch":     {ChangeRequest{Txn: &store.Txn{Owner: "f", Else: []store.Op{{Key: "own/g", Delete: true}}}}, false},
		"settings":                {txn("f", store.Op{Key: "config/current"}), false},
		"what is told of servers": {txn("", store.Op{Key: "out/drain/x"}), true},
		"that for as long as it":  {txn("f", store.Op{Key: "out/drain/x", LeaseID: 7}), false},
		"a range":                 {txn("f", store.Op{Key: "own/f", RangeEnd: "own0", Delete: true}), false},
		"a member":                {ChangeRequest{AddMember: &store.AddMember{Name: "f"}}, false},
	} {
		if err := checkFollowerRequest(&x.q, "f", ownKeysAllowed); (err == nil) != x.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}
