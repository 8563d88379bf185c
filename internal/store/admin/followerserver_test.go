package admin

import (
	"testing"

	"birchmoor/internal/store"
)

// allowOwnKey is a FollowerConfig.Allowed for tests. It allows a follower to put a key of its own name with a lease,
// and to delete it.
func allowOwnKey(op store.Op, owner string) bool {
	return op.Key == "own/"+owner && (op.Delete || op.LeaseID != 0)
}

// A follower may change leases that it owns, server state and what the configuration allows, but no members.
func TestFollowerMayChangeOnlyItsOwnKeys(t *testing.T) {
	txn := func(owner string, ops ...store.Op) ChangeRequest {
		return ChangeRequest{Txn: &store.Txn{Owner: owner, Then: ops}}
	}
	elseTxn := &store.Txn{Owner: "f", Else: []store.Op{{Key: "own/g", Delete: true}}}
	for name, test := range map[string]struct {
		request ChangeRequest
		allowed bool
	}{
		"its own lease":                  {ChangeRequest{GrantMillis: 5000, Owner: "f"}, true},
		"a lease of another owner":       {ChangeRequest{GrantMillis: 5000, Owner: "g"}, false},
		"a lease without an owner":       {ChangeRequest{GrantMillis: 5000}, false},
		"a lease that is too long":       {ChangeRequest{GrantMillis: 1 << 40, Owner: "f"}, false},
		"its own lease renewed":          {ChangeRequest{RenewLease: 7, Owner: "f"}, true},
		"another's lease renewed":        {ChangeRequest{RenewLease: 7, Owner: "g"}, false},
		"two lease changes":              {ChangeRequest{RenewLease: 7, RevokeLease: 7, Owner: "f"}, false},
		"an allowed key":                 {txn("f", store.Op{Key: "own/f", LeaseID: 7}), true},
		"another key":                    {txn("f", store.Op{Key: "own/g", LeaseID: 7}), false},
		"a transaction of another owner": {txn("g", store.Op{Key: "own/g", LeaseID: 7}), false},
		"a transaction without an owner": {txn("", store.Op{Key: "own/f", LeaseID: 7}), false},
		"another key in the else branch": {ChangeRequest{Txn: elseTxn}, false},
		"settings":                       {txn("f", store.Op{Key: "config/current"}), false},
		"server state":                   {txn("", store.Op{Key: "out/drain/x"}), true},
		"server state with a lease":      {txn("f", store.Op{Key: "out/drain/x", LeaseID: 7}), false},
		"a range":                        {txn("f", store.Op{Key: "own/f", RangeEnd: "own0", Delete: true}), false},
		"a member":                       {ChangeRequest{AddMember: &store.AddMember{Name: "f"}}, false},
	} {
		if err := checkFollowerRequest(&test.request, "f", allowOwnKey); (err == nil) != test.allowed {
			t.Errorf("request for %s: got error %v", name, err)
		}
	}
}
