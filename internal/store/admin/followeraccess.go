package admin

import (
	"fmt"
	"net/http"

	"birchmoor/internal/store"
	"birchmoor/internal/store/serverstate"
)

// requesterName returns the name of the daemon that sends a request: the one in its certificate, or, over plain TCP,
// the one in the request, which is not authenticated.
func requesterName(r *http.Request, request *ChangeRequest) string {
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

// checkFollowerRequest returns an error that wraps ErrBadRequest unless a follower may make a request. It may change
// one lease that it owns, or send a transaction whose operations change server state or are reported by allowed.
func checkFollowerRequest(request *ChangeRequest, follower string, allowed func(store.Op, string) bool) error {
	if request.AddMember != nil || request.RemoveMember != 0 {
		return fmt.Errorf("%w: a follower may not change members", ErrBadRequest)
	}
	leaseChanges := countLeaseChanges(request)
	switch {
	case request.Txn == nil && leaseChanges == 1:
		return checkFollowerLease(request, follower)
	case request.Txn == nil || leaseChanges > 0:
		return fmt.Errorf("%w: a follower may only send a transaction, or change one lease that it owns", ErrBadRequest)
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
		return fmt.Errorf("%w: a lease owned by %q may not be changed by %q", ErrBadRequest, request.Owner, follower)
	}
	ttl := request.GrantMillis
	if ttl != 0 && (ttl < store.MinOwnedTTLMillis || ttl > store.MaxOwnedTTLMillis) {
		return fmt.Errorf("%w: a TTL of %d ms is not between %d and %d",
			ErrBadRequest, ttl, store.MinOwnedTTLMillis, store.MaxOwnedTTLMillis)
	}
	return nil
}

func checkFollowerTxn(txn *store.Txn, follower string, allowed func(store.Op, string) bool) error {
	if txn.Owner != "" && txn.Owner != follower {
		return fmt.Errorf("%w: follower %q may not send a transaction owned by %q", ErrBadRequest, follower, txn.Owner)
	}
	for _, ops := range [][]store.Op{txn.Then, txn.Else} {
		for _, op := range ops {
			if !isFollowerOp(op, txn.Owner, allowed) {
				return fmt.Errorf("%w: a follower may not change key %q", ErrBadRequest, op.Key)
			}
		}
	}
	return nil
}

// isFollowerOp reports whether a follower may make an operation. Server state must not be bound to a lease, because it
// outlives the session of the daemon that reported it.
func isFollowerOp(op store.Op, owner string, allowed func(store.Op, string) bool) bool {
	if op.RangeEnd != "" {
		return false
	}
	if serverstate.IsServerKey(op.Key) {
		return op.LeaseID == 0
	}
	return allowed(op, owner)
}
