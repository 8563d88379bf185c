package handover

import (
	"context"
	"errors"
	"time"
)

// errBusy reports that another new process has joined and has not ended.
var errBusy = errors.New("another new process has joined")

// turn lets one conversation at a time join the old process.
type turn struct {
	place   chan struct{} // holds a value while a conversation has the turn
	timeout time.Duration // for which a conversation waits for its turn
}

func newTurn(timeout time.Duration) *turn {
	return &turn{place: make(chan struct{}, 1), timeout: timeout}
}

// acquire waits for the turn, until the timeout has passed or ctx or the conversation has ended. It reports whether the
// caller has the turn, and must call release.
func (t *turn) acquire(ctx context.Context, conversationEnded <-chan struct{}) bool {
	timer := time.NewTimer(t.timeout)
	defer timer.Stop()
	select {
	case t.place <- struct{}{}:
		return true
	case <-timer.C:
	case <-conversationEnded:
	case <-ctx.Done():
	}
	return false
}

// release ends the caller's turn.
func (t *turn) release() { <-t.place }
