package replica

import (
	"encoding/binary"
	"slices"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
)

const (
	maxOpenRounds    = 16
	readContextBytes = 24 // member, boot and number of the round
)

// readRound is one request to the quorum, for all reads that were queued before it.
type readRound struct {
	number    uint64
	startedAt int64  // tick
	index     uint64 // that has to be applied before the reads are completed, once the round is confirmed
	requests  []*pendingRequest
}

// Read requests a linearizable read. Process completes it when the state includes every change that was acknowledged
// before the call.
func (n *Node) Read(t RequestToken) {
	switch {
	case n.failed != nil:
		n.out.Completions = append(n.out.Completions, Completion{Token: t, Err: n.failed})
	case n.cfg.Defects.has(StaleRead):
		n.out.Completions = append(n.out.Completions, Completion{Token: t})
	case len(n.queuedReads) >= n.cfg.MaxPending:
		n.out.Completions = append(n.out.Completions, Completion{Token: t, Err: ErrBusy})
	default:
		r := &pendingRequest{token: t, deadline: n.now + int64(n.cfg.RequestTimeoutTicks)}
		n.queuedReads = append(n.queuedReads, r)
		n.pending = append(n.pending, r)
	}
}

// startReadRound starts a round for the queued reads and those of rounds that were not confirmed in time.
func (n *Node) startReadRound() {
	n.requeueLateRounds()
	n.queuedReads = slices.DeleteFunc(n.queuedReads, func(r *pendingRequest) bool { return r.done })
	if len(n.queuedReads) == 0 || n.leaderID == 0 || len(n.openRounds) >= maxOpenRounds {
		return
	}
	n.lastRound++
	n.openRounds[n.lastRound] = &readRound{number: n.lastRound, startedAt: n.now, requests: n.queuedReads}
	n.queuedReads = nil
	ctx := n.readContext(n.lastRound)
	n.runRaft(func() error {
		n.raft.ReadIndex(ctx)
		return nil
	})
}

func (n *Node) requeueLateRounds() {
	var late []uint64
	for number, r := range n.openRounds {
		if n.now-r.startedAt > int64(n.cfg.ElectionTicks) {
			late = append(late, number)
		}
	}
	slices.Sort(late)
	for _, number := range late {
		n.queuedReads = append(n.queuedReads, n.openRounds[number].requests...)
		delete(n.openRounds, number)
	}
}

// readContext encodes what identifies a round. It includes the start, because confirmations of rounds of an earlier
// start may still arrive.
func (n *Node) readContext(round uint64) []byte {
	ctx := make([]byte, 0, readContextBytes)
	ctx = binary.BigEndian.AppendUint64(ctx, n.self.MemberID)
	ctx = binary.BigEndian.AppendUint64(ctx, n.self.Boot)
	return binary.BigEndian.AppendUint64(ctx, round)
}

// confirmRead records that a quorum confirmed the leader of a round, at the commit index of that moment.
func (n *Node) confirmRead(s raft.ReadState) {
	if len(s.RequestCtx) != readContextBytes {
		return
	}
	number := binary.BigEndian.Uint64(s.RequestCtx[readContextBytes-8:])
	if !slices.Equal(s.RequestCtx, n.readContext(number)) {
		return
	}
	if r := n.openRounds[number]; r != nil {
		delete(n.openRounds, number)
		r.index = s.Index
		n.confirmedRounds = append(n.confirmedRounds, r)
	}
}

// completeReads completes the reads of confirmed rounds whose index is applied.
func (n *Node) completeReads() {
	n.confirmedRounds = slices.DeleteFunc(n.confirmedRounds, func(round *readRound) bool {
		if round.index > n.applied {
			return false
		}
		for _, r := range round.requests {
			if !r.done {
				n.finish(r, store.Result{Index: n.applied, Revision: n.state.Revision()}, nil)
			}
		}
		return true
	})
}
