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
	maxRoundInputs  = 256         // calls and messages that are processed together
	confirmInterval = time.Second // between requests to a quorum to confirm the copy
)

// loop owns the replica until the engine is closed.
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
		e.takeWaitingInputs()
		if e.node != nil {
			e.process()
		}
		runtime.Gosched()
	}
}

// takeWaitingInputs takes the inputs that wait already, so that the disk writes for all of them at once.
func (e *Engine) takeWaitingInputs() {
	for range maxRoundInputs {
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

// tick advances the replica's time and starts a confirmation when it is due. It returns when the last one was started.
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

// confirm requests that a quorum confirm that the copy is current as of now.
func (e *Engine) confirm(now time.Time) {
	e.node.Read(e.onCompletion(func(c replica.Completion) {
		if c.Err != nil {
			return
		}
		e.confirmedAfter.Store(int64(now.Sub(e.startedAt)) + 1)
		if e.cfg.OnConfirmed != nil {
			e.cfg.OnConfirmed(time.Since(now))
		}
	}))
}

// handleMessage passes a message to the replica. The first one to an empty disk starts it.
func (e *Engine) handleMessage(m *raftpb.Message) {
	if e.node == nil && !e.joinCluster(m) {
		return
	}
	e.node.Step(m)
}

// joinCluster starts the replica under the identity that a peer assigned, if the message is for that member.
func (e *Engine) joinCluster(m *raftpb.Message) bool {
	if e.assigned.MemberID == 0 || m.GetTo() != e.assigned.MemberID {
		return false
	}
	err := e.disk.SetIdentity(e.assigned)
	if err == nil {
		err = e.startNode()
	}
	if err != nil {
		e.cfg.Log.Error("store cannot join the cluster", "member", e.assigned.MemberID, "error", err)
		return false
	}
	e.updatePeers()
	e.cfg.Log.Info("store joined a cluster", "member", e.assigned.MemberID)
	return true
}

// process has the replica process its inputs, and acts on the output.
func (e *Engine) process() {
	before := e.node.State().Revision()
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
	for _, c := range out.Completions {
		if handle := e.handlers[c.Token]; handle != nil {
			delete(e.handlers, c.Token)
			handle(c)
		}
	}
	if out.Snapshot != nil {
		e.saveSnapshot(out.Snapshot)
	}
	if out.AppliedEntries > 0 || out.StateReplaced {
		e.updatePeers()
	}
	if out.StateReplaced || e.node.State().Revision() != before {
		next := make(chan struct{})
		close(*e.revisionChanged.Swap(&next))
	}
}

// saveSnapshot runs a job in a goroutine of its own and reports its end to the replica.
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

// completeAll completes all open requests with an error.
func (e *Engine) completeAll(err error) {
	for token, handle := range e.handlers {
		handle(replica.Completion{Token: token, Err: err})
	}
}

// onCompletion returns the token of a new request, whose completion is passed to handle.
func (e *Engine) onCompletion(handle func(replica.Completion)) replica.RequestToken {
	e.lastToken++
	e.handlers[e.lastToken] = handle
	return e.lastToken
}

// run has the loop call f, and waits until it has returned. If run returns an error, f was not called and will not be.
func (e *Engine) run(ctx context.Context, f func()) error {
	finished := make(chan struct{})
	var taken atomic.Bool // by the loop, which calls f, or by the caller, who no longer waits
	call := func() {
		if taken.CompareAndSwap(false, true) {
			f()
			close(finished)
		}
	}
	cancel := func(err error) error {
		if taken.CompareAndSwap(false, true) {
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
		return cancel(ctx.Err())
	case <-e.done:
		return cancel(ErrClosed)
	}
}
