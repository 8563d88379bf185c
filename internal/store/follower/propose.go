package follower

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"

	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/usage"
)

var errCommandNotAllowed = errors.New(
	"follower: a daemon without a replica may only send transactions and changes of leases that it owns")

// Do executes a transaction, or grants, renews or revokes a lease that this daemon owns; see engine.Engine. It tries
// one replica after another, beginning with a random one, until one of them decides the outcome or ctx ends. The error
// is an *engine.OutcomeUnknownError if a replica may have executed the command and none has reported the outcome.
func (f *Follower) Do(ctx context.Context, command store.Command) (store.Result, error) {
	if command.ID == (store.RequestID{}) {
		command.ID = store.RequestID{Client: f.clientID, Seq: f.seq.Add(1)}
	}
	body, err := encodeCommand(&command)
	if err != nil {
		return store.Result{}, err
	}
	purpose := f.cfg.Usage.CommandPurpose(&command)
	delays := newBackoff()
	mayBeExecuted := false
	lastErr := replica.ErrNoLeader
	for index := rand.IntN(len(f.clients)); ctx.Err() == nil && f.ctx.Err() == nil; index = f.nextReplica(index) {
		response, reached, err := f.proposeTo(ctx, index, purpose, body)
		if err == nil {
			if changesKeys(&command) {
				f.awaitRevision(ctx, response.Revision)
			}
			return store.Result{
				Revision: response.Revision, Succeeded: response.Succeeded, LeaseID: response.LeaseID,
			}, nil
		}
		if final := finalError(err); final != nil {
			return store.Result{}, final
		}
		mayBeExecuted = mayBeExecuted || reached
		lastErr = err
		f.pause(ctx, delays)
	}
	if mayBeExecuted {
		return store.Result{}, &engine.OutcomeUnknownError{ID: command.ID}
	}
	return store.Result{}, lastErr
}

// encodeCommand encodes a command as a request of a follower. It returns errCommandNotAllowed for a command that
// followers may not send.
func encodeCommand(command *store.Command) ([]byte, error) {
	request := admin.ChangeRequest{ID: command.ID, Txn: command.Txn}
	grant, renew, revoke := command.GrantLease, command.RenewLease, command.RevokeLease
	switch {
	case grant != nil && grant.Owner != "":
		request.GrantMillis, request.Owner = grant.TTLMillis, grant.Owner
	case renew != nil && renew.Owner != "":
		request.RenewLease, request.Owner = renew.LeaseID, renew.Owner
	case revoke != nil && revoke.Owner != "":
		request.RevokeLease, request.Owner = revoke.LeaseID, revoke.Owner
	case command.Txn == nil:
		return nil, errCommandNotAllowed
	}
	return json.Marshal(request)
}

// proposeTo sends a command to one replica. reached is true if the replica may execute the command although err is not
// nil.
func (f *Follower) proposeTo(
	ctx context.Context, index int, purpose usage.Purpose, body []byte,
) (response admin.ChangeResponse, reached bool, err error) {
	reached, err = f.call(ctx, index, purpose, http.MethodPost, admin.ChangePath, body, &response)
	var responseErr *admin.ResponseError
	if errors.As(err, &responseErr) {
		reached = responseErr.OutcomeUnknown != nil
	}
	return response, reached, err
}

// finalError returns the error of a command if a replica's answer decides its outcome, or nil if another replica must
// be tried.
func finalError(err error) error {
	var responseErr *admin.ResponseError
	if !errors.As(err, &responseErr) {
		return nil
	}
	switch responseErr.Status {
	case http.StatusInsufficientStorage:
		return store.ErrFull
	case http.StatusPreconditionFailed:
		return store.ErrUnsupportedLevel
	case http.StatusBadRequest, http.StatusConflict:
		if responseErr.LeaseNotFound {
			return store.ErrLeaseNotFound
		}
		return responseErr
	}
	return nil
}

func changesKeys(command *store.Command) bool {
	return command.Txn != nil || command.RevokeLease != nil
}

// awaitRevision waits until the copy includes a revision, or ctx or the follower ends. After it, callers of Do read
// their own writes from the copy.
func (f *Follower) awaitRevision(ctx context.Context, revision uint64) {
	for {
		f.mu.Lock()
		advanced := f.advanced
		hasRevision := f.mirror.HasRevision(revision)
		f.mu.Unlock()
		if hasRevision {
			return
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return
		case <-f.ctx.Done():
			return
		}
	}
}
