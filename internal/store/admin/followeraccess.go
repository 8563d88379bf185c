package admin

import (
	"fmt"
	"net/http"

	"birchmoor/internal/store"
	"birchmoor/internal/store/serverstate"
)

// requester is the name of the daemon that makes a request: that of its certificate, or on plain loopback the
// one that it gives itself.
func requester(r *http.Request, request *ChangeRequest) string {
	switch {
	case r.TLS != nil && len(r.TLS.PeerCertificates) > 0:
		return r.TLS.PeerCertificates[0].Subject.CommonName
	case r.TLS != nil:
		return ""
	case request.Txn != nil:
		return request.Txn.Owner
	}
	return request.Owner
}

// checkFollowerRequest returns an error that wraps ErrBadRequest if a request is not a follower's to make:
// anything but one change of a lease that it owns, or a transaction on server state and what allowed reports.
func checkFollowerRequest(request *ChangeRequest, follower string, allowed func(store.Op, string) bool) error {
	if request.AddMember != nil || request.RemoveMember != 0 {
		return fmt.Errorf("%w: members are not a follower's to change", ErrBadRequest)
	}
	leaseChanges := countLeaseChanges(request)
	switch {
	case request.Txn == nil && leaseChanges == 1:
		return checkFollowerLease(request, follower)
	case request.Txn == nil || leaseChanges > 0:
		return fmt.Errorf("%w: a follower makes transactions, or changes one lease of its own", ErrBadRequest)
	}
	return checkFollowerTxn(request.Txn, follower, allowed)
}

func countLeaseChanges(request *ChangeRequest) int {
	count := 0
	for _, value := range []uint64{request.GrantMillis, request.RenewLease, request.RevokeLease} {
		if value != 0 {
			count++
		}
	}
	return count
}

func checkFollowerLease(request *ChangeRequest, follower string) error {
	if follower == "" || request.Owner != follower {
		return fmt.Errorf("%w: a lease of %q is not for %q", ErrBadRequest, request.Owner, follower)
	}
	ttl := request.GrantMillis
	if ttl != 0 && (ttl < store.MinOwnedTTLMillis || ttl > store.MaxOwnedTTLMillis) {
		return fmt.Errorf("%w: a lease of %d ms is not within %d and %d",
			ErrBadRequest, ttl, store.MinOwnedTTLMillis, store.MaxOwnedTTLMillis)
	}
	return nil
}

func checkFollowerTxn(txn *store.Txn, follower string, allowed func(store.Op, string) bool) error {
	if txn.Owner != "" && txn.Owner != follower {
		return fmt.Errorf("%w: %q is not %q", ErrBadRequest, follower, txn.Owner)
	}
	for _, ops := range [][]store.Op{txn.Then, txn.Else} {
		for _, op := range ops {
			if !isFollowerOp(op, txn.Owner, allowed) {
				return fmt.Errorf("%w: %q is not a follower's to change", ErrBadRequest, op.Key)
			}
		}
	}
	return nil
}

// isFollowerOp reports whether a follower may make an operation. Server state outlives the lease of its reporter.
func isFollowerOp(op store.Op, owner string, allowed func(store.Op, string) bool) bool {
	if op.RangeEnd != "" {
		return false
	}
	if serverstate.IsServerKey(op.Key) {
		return op.LeaseID == 0
	}
	return allowed(op, owner)
}
