package replica

import (
	"encoding/binary"
	"slices"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3"
)

const (
	maxOpenRounds    = 16 // maximum number of rounds that wait for a quorum at a time
	readContextBytes = 24 // member ID, boot and number of the round, 8 bytes each
)

// readRound is one request to a quorum to confirm the leader, on behalf of all reads that were queued before it.
type readRound struct {
	number        uint64
	startTick     int64
	requiredIndex uint64 // set when the round is confirmed: the entry that must be applied before the reads complete
	requests      []*pendingRequest
}

// Read requests a linearizable read. A later call of Process returns its completion, once the state includes every
// change that was acknowledged before the call of Read.
func (n *Node) Read(token RequestToken) {
	switch {
	case n.failure != nil:
		n.output.Completions = append(n.output.Completions, Completion{Token: token, Err: n.failure})
	case n.cfg.Defects.has(StaleRead):
		n.output.Completions = append(n.output.Completions, Completion{Token: token})
	case len(n.queuedReads) >= n.cfg.MaxPending:
		n.output.Completions = append(n.output.Completions, Completion{Token: token, Err: ErrBusy})
	default:
		request := &pendingRequest{token: token, deadlineTick: n.nowTick + int64(n.cfg.RequestTimeoutTicks)}
		n.queuedReads = append(n.queuedReads, request)
		n.pending = append(n.pending, request)
	}
}

// startReadRound starts a round for the queued reads and for the reads of rounds that have timed out.
func (n *Node) startReadRound() {
	n.requeueTimedOutRounds()
	n.queuedReads = slices.DeleteFunc(n.queuedReads, func(request *pendingRequest) bool { return request.done })
	if len(n.queuedReads) == 0 || n.leaderID == 0 || len(n.openRounds) >= maxOpenRounds {
		return
	}
	n.lastRound++
	n.openRounds[n.lastRound] = &readRound{number: n.lastRound, startTick: n.nowTick, requests: n.queuedReads}
	n.queuedReads = nil
	requestContext := n.readContext(n.lastRound)
	n.runRaft(func() error {
		n.raft.ReadIndex(requestContext)
		return nil
	})
}

// requeueTimedOutRounds queues the reads of rounds again that were not confirmed within the minimum election timeout.
func (n *Node) requeueTimedOutRounds() {
	var timedOut []uint64
	for number, round := range n.openRounds {
		if n.nowTick-round.startTick > int64(n.cfg.ElectionTicks) {
			timedOut = append(timedOut, number)
		}
	}
	slices.Sort(timedOut)
	for _, number := range timedOut {
		n.queuedReads = append(n.queuedReads, n.openRounds[number].requests...)
		delete(n.openRounds, number)
	}
}

// readContext encodes the identification of a round. It includes the boot number, because confirmations of rounds from
// before a restart may still arrive.
func (n *Node) readContext(round uint64) []byte {
	requestContext := make([]byte, 0, readContextBytes)
	requestContext = binary.BigEndian.AppendUint64(requestContext, n.identity.MemberID)
	requestContext = binary.BigEndian.AppendUint64(requestContext, n.identity.Boot)
	return binary.BigEndian.AppendUint64(requestContext, round)
}

// confirmRead records that a quorum has confirmed the leader for a round, and the commit index at that time.
func (n *Node) confirmRead(readState raft.ReadState) {
	if len(readState.RequestCtx) != readContextBytes {
		return
	}
	number := binary.BigEndian.Uint64(readState.RequestCtx[readContextBytes-8:])
	if !slices.Equal(readState.RequestCtx, n.readContext(number)) {
		return
	}
	if round := n.openRounds[number]; round != nil {
		delete(n.openRounds, number)
		round.requiredIndex = readState.Index
		n.confirmedRounds = append(n.confirmedRounds, round)
	}
}

// completeReads completes the reads of confirmed rounds whose required index has been applied.
func (n *Node) completeReads() {
	n.confirmedRounds = slices.DeleteFunc(n.confirmedRounds, func(round *readRound) bool {
		if round.requiredIndex > n.appliedIndex {
			return false
		}
		for _, request := range round.requests {
			if !request.done {
				n.addCompletion(request, store.Result{Index: n.appliedIndex, Revision: n.state.Revision()}, nil)
			}
		}
		return true
	})
}
