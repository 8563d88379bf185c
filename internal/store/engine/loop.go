package engine

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"birchmoor/internal/store/replica"

	"go.etcd.io/raft/v3/raftpb"
)

const (
	maxInputsPerRound = 256         // calls and messages that are processed together
	confirmInterval   = time.Second // between requests to a quorum to confirm the copy
)

// loop runs the replica until the engine is closed. Only this goroutine uses the replica.
func (e *Engine) loop() {
	defer e.wg.Done()
	defer close(e.done)
	ticker := time.NewTicker(e.cfg.TickInterval)
	defer ticker.Stop()
	var lastConfirm time.Time
	for {
		select {
		case <-e.ctx.Done():
			e.completeAll(ErrClosed)
			return
		case <-ticker.C:
			lastConfirm = e.tick(lastConfirm)
		case call := <-e.calls:
			call()
		case m := <-e.inbox:
			e.handleMessage(m)
		}
		e.handleWaitingInputs()
		if e.node != nil {
			e.process()
		}
		runtime.Gosched()
	}
}

// handleWaitingInputs handles the calls and messages that are waiting already, up to maxInputsPerRound, so that one
// write to disk serves all of them.
func (e *Engine) handleWaitingInputs() {
	for range maxInputsPerRound {
		select {
		case call := <-e.calls:
			call()
		case m := <-e.inbox:
			e.handleMessage(m)
		default:
			return
		}
	}
}

// tick advances the replica's time and starts a confirmation if one is due. It returns the time when the last
// confirmation was started.
func (e *Engine) tick(lastConfirm time.Time) time.Time {
	if e.node == nil {
		return lastConfirm
	}
	e.node.Tick()
	now := time.Now()
	if now.Sub(lastConfirm) < confirmInterval {
		return lastConfirm
	}
	e.confirm(now)
	return now
}

// confirm starts a read that a quorum confirms. When it completes, the copy includes every change that was acknowledged
// before now.
func (e *Engine) confirm(now time.Time) {
	e.node.Read(e.onCompletion(func(c replica.Completion) {
		if c.Err != nil {
			return
		}
		e.confirmedAfterNanos.Store(int64(now.Sub(e.startedAt)) + 1)
		if e.cfg.OnConfirmed != nil {
			e.cfg.OnConfirmed(time.Since(now))
		}
	}))
}

// handleMessage passes a message to the replica. If there is none yet, because the disk was empty, it first tries to
// join the cluster of the sender.
func (e *Engine) handleMessage(message *raftpb.Message) {
	if e.node == nil && !e.joinCluster(message) {
		return
	}
	e.node.Step(message)
}

// joinCluster starts the replica under the identity that a peer assigned, if the message is addressed to that member.
// It reports whether the replica runs.
func (e *Engine) joinCluster(message *raftpb.Message) bool {
	if e.assignedIdentity.MemberID == 0 || message.GetTo() != e.assignedIdentity.MemberID {
		return false
	}
	err := e.disk.SetIdentity(e.assignedIdentity)
	if err == nil {
		err = e.startNode()
	}
	if err != nil {
		e.cfg.Log.Error("store failed to join a cluster", "member", e.assignedIdentity.MemberID, "error", err)
		return false
	}
	e.updatePeers()
	e.cfg.Log.Info("store joined a cluster", "member", e.assignedIdentity.MemberID)
	return true
}

// process has the replica process its inputs, and acts on the output: it sends messages, completes requests, saves a
// snapshot, updates the peers of the transport and wakes the callers of NextChanges.
func (e *Engine) process() {
	revisionBefore := e.node.State().Revision()
	out := e.node.Process()
	if out.StateReplaced {
		e.attachState()
	}
	if !e.caughtUp && e.node.CaughtUp() {
		e.caughtUp = true
		if e.cfg.OnCaughtUp != nil {
			e.cfg.OnCaughtUp()
		}
	}
	if e.transport != nil {
		e.transport.Send(out.Messages)
	}
	for _, completion := range out.Completions {
		if handle := e.handlers[completion.Token]; handle != nil {
			delete(e.handlers, completion.Token)
			handle(completion)
		}
	}
	if out.Snapshot != nil {
		e.saveSnapshot(out.Snapshot)
	}
	if out.AppliedEntries > 0 || out.StateReplaced {
		e.updatePeers()
	}
	if out.StateReplaced || e.node.State().Revision() != revisionBefore {
		next := make(chan struct{})
		close(*e.revisionChanged.Swap(&next))
	}
}

// saveSnapshot runs a snapshot job in a new goroutine and has the loop report its result to the replica.
func (e *Engine) saveSnapshot(job *replica.SnapshotJob) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		err := job.Run()
		select {
		case e.calls <- func() { e.node.SnapshotDone(job, err) }:
		case <-e.done:
		}
	}()
}

// completeAll completes all pending requests with an error.
func (e *Engine) completeAll(err error) {
	for token, handle := range e.handlers {
		handle(replica.Completion{Token: token, Err: err})
	}
}

// onCompletion returns the token of a new request and registers handle, which the loop calls with its completion.
func (e *Engine) onCompletion(handle func(replica.Completion)) replica.RequestToken {
	e.lastToken++
	e.handlers[e.lastToken] = handle
	return e.lastToken
}

// runInLoop has the loop call f, and waits until f has returned. If runInLoop returns an error, f was not called and
// will not be. The loop itself must not call runInLoop.
func (e *Engine) runInLoop(ctx context.Context, f func()) error {
	finished := make(chan struct{})
	var claimed atomic.Bool // by the loop, which then calls f, or by the caller, who then stops waiting
	call := func() {
		if claimed.CompareAndSwap(false, true) {
			f()
			close(finished)
		}
	}
	cancelOrWait := func(err error) error {
		if claimed.CompareAndSwap(false, true) {
			return err
		}
		<-finished
		return nil
	}
	select {
	case e.calls <- call:
	case <-ctx.Done():
		return ctx.Err()
	case <-e.done:
		return ErrClosed
	}
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return cancelOrWait(ctx.Err())
	case <-e.done:
		return cancelOrWait(ErrClosed)
	}
}
