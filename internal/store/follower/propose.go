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

var errNotAFollowersCommand = errors.New(
	"follower: a daemon without a replica makes only transactions and changes of its own leases")

// Do makes a transaction, or grants, renews or revokes a lease that this daemon owns; see engine.Engine. It
// tries one replica after another until ctx ends. The error is an *engine.UnknownError if a replica may have
// read the command and none answered what became of it.
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
	mayBeSent := false
	lastErr := replica.ErrNoLeader
	for at := rand.IntN(len(f.clients)); ctx.Err() == nil && f.ctx.Err() == nil; at = f.nextReplica(at) {
		response, reached, err := f.proposeTo(ctx, at, purpose, body)
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
		mayBeSent = mayBeSent || reached
		lastErr = err
		f.pause(ctx, delays)
	}
	if mayBeSent {
		return store.Result{}, &engine.OutcomeUnknownError{ID: command.ID}
	}
	return store.Result{}, lastErr
}

// encodeCommand encodes a command as a request of a follower.
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
		return nil, errNotAFollowersCommand
	}
	return json.Marshal(request)
}

// proposeTo sends a command to one replica. reached is true if that may execute it without having answered so.
func (f *Follower) proposeTo(
	ctx context.Context, at int, purpose usage.Purpose, body []byte,
) (response admin.ChangeResponse, reached bool, err error) {
	reached, err = f.call(ctx, at, purpose, http.MethodPost, admin.ChangePath, body, &response)
	var sent *admin.ResponseError
	if errors.As(err, &sent) {
		reached = sent.OutcomeUnknown != nil
	}
	return response, reached, err
}

// finalError is the outcome of a command if a replica's answer decides it, or nil if another replica is to be
// tried.
func finalError(err error) error {
	var sent *admin.ResponseError
	if !errors.As(err, &sent) {
		return nil
	}
	switch sent.Status {
	case http.StatusInsufficientStorage:
		return store.ErrFull
	case http.StatusPreconditionFailed:
		return store.ErrUnsupportedLevel
	case http.StatusBadRequest, http.StatusConflict:
		if sent.LeaseNotFound {
			return store.ErrLeaseNotFound
		}
		return sent
	}
	return nil
}

func changesKeys(command *store.Command) bool {
	return command.Txn != nil || command.RevokeLease != nil
}

// awaitRevision waits until the copy has a revision or ctx ends: who makes a change reads what it made.
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
