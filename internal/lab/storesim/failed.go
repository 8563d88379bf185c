package storesim

import (
	"fmt"
	"math/rand/v2"

	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"
)

// Once all other faults are over, the disk of one voter out of three or more fails permanently in a write. Its process
// keeps running: it receives messages, accepts handshakes and requests, and reports that it has stopped. It is not
// restarted for a while. The other voters are a majority with working links, so each write that is sent to one of them
// must be answered in time, whatever the failed replica was doing.

const (
	failureMicros     = 3 * second   // from the failure to the restart
	maxResponseMicros = 2 * second   // for a write: one or two elections, and a proposal that was lost with the leader
	maxSettleMicros   = 4 * second   // for stable membership; after that no disk fails
	writeInterval     = 30 * milli   // between two writes at one host
	checkInterval     = 50 * milli   // between two checks of the open writes
	failureClientBase = uint64(6000) // first client in the request ids of the writes, one per host
)

// failedDisk makes a disk fail and checks that the other replicas answer. It has a random source of its own, so that it
// does not change the run before it.
type failedDisk struct {
	world     *world
	rng       *rand.Rand
	victim    *host
	finished  bool
	restartAt int64           // true time at which the victim is restarted
	openSince map[*host]int64 // true time since which a write is open, by host
	boots     map[*host]int
	seq       uint64
}

// start waits for stable membership with three or more voters, and then injects the failure.
func (f *failedDisk) start() {
	w := f.world
	if w.options.Holders > 0 {
		f.finished = true
		return
	}
	deadline := w.queue.Now() + maxSettleMicros
	var try func()
	try = func() {
		switch {
		case !w.membershipChanging() && w.voters() >= 3:
			f.inject()
		case w.queue.Now() > deadline:
			f.finished = true
		default:
			w.queue.After(checkInterval, try)
		}
	}
	w.queue.After(f.rng.Int64N(300*milli), try)
}

// failureStates are what the victim does when its disk fails, as shown in Result.Failed.
var failureStates = []string{"leads", "follows", "is handed the lead", "hands the lead over", "votes", "starts",
	"leads while one joins", "follows while one joins", "leads while one is added that does not come"}

// inject makes a disk fail in a drawn state, and starts the writes at the other hosts.
func (f *failedDisk) inject() {
	w := f.world
	var leader *host
	var followers []*host
	for _, h := range w.members() {
		if leader == nil && h.node.Leading() {
			leader = h
		} else {
			followers = append(followers, h)
		}
	}
	if leader == nil {
		f.finished = true
		return
	}
	f.victim = followers[f.rng.IntN(len(followers))]
	kind := f.rng.IntN(len(failureStates))
	w.result.FailureState = failureStates[kind]
	failAtWrite := 1 + f.rng.IntN(3)
	fail := func() { f.victim.disk.failAtWrite = failAtWrite }
	switch kind {
	case 0, 6, 8:
		f.victim = leader
		fail()
	case 1, 7:
		fail()
	case 2:
		failAtWrite = 1 // the write of its vote for itself
		fail()
		leader.node.TransferLeadership()
		leader.processNode()
	case 3:
		f.victim = leader
		fail()
		leader.node.TransferLeadership()
		leader.processNode()
	case 4:
		failAtWrite = 1 // the write of its vote, for another or for itself
		fail()
		leader.crash()
		leader.start()
	case 5:
		f.victim.crash()
		fail()
		f.victim.start()
	}
	f.openSince, f.boots = map[*host]int64{}, map[*host]int{}
	for _, h := range w.members() {
		if h != f.victim {
			f.boots[h] = h.boot
			f.write(h)
		}
	}
	switch kind {
	case 6, 7:
		w.addMember()
	case 8:
		w.addAndRemoveMember()
	}
	f.restartAt = w.queue.Now() + failureMicros
	w.queue.After(checkInterval, f.check)
}

// write sends a write to a host, again and again until it has an outcome there, and then the next one.
func (f *failedDisk) write(h *host) {
	f.seq++
	f.openSince[h] = f.world.queue.Now()
	c := store.Command{ID: store.RequestID{Client: failureClientBase + uint64(h.number), Seq: f.seq},
		SinceIndex: max(1, h.appliedIndex), Txn: &store.Txn{Then: []store.Op{{Key: fmt.Sprintf("beside/%d", h.number),
			Value: fmt.Append(nil, f.seq)}}}}
	var attempt func()
	attempt = func() {
		if f.finished || h.boot != f.boots[h] {
			return
		}
		h.propose(c, func(d replica.Completion) {
			if f.finished || h.boot != f.boots[h] {
				return
			}
			if d.Err != nil {
				f.world.queue.After(f.rng.Int64N(60*milli), attempt)
				return
			}
			if d.Result.Err != nil {
				f.world.reportViolation("refused", "%v", d.Result.Err)
			}
			if f.victim.node != nil && f.victim.node.Failed() != nil {
				f.world.result.WritesDuringFailure++
				f.world.result.SlowestWriteMicros = max(f.world.result.SlowestWriteMicros,
					f.world.queue.Now()-f.openSince[h])
			}
			f.world.queue.After(writeInterval, func() { f.write(h) })
		})
	}
	attempt()
}

// check reports writes without an answer, and restarts the victim in the end.
func (f *failedDisk) check() {
	w := f.world
	for _, h := range w.members() {
		since, isOpen := f.openSince[h]
		if isOpen && h.boot == f.boots[h] && w.queue.Now()-since > maxResponseMicros {
			w.reportViolation("no progress",
				"a write put to host %d got no answer for %d ms; host %d, whose disk failed, %s", h.number,
				(w.queue.Now()-since)/milli, f.victim.number, w.result.FailureState)
		}
	}
	if w.queue.Now() < f.restartAt {
		w.queue.After(checkInterval, f.check)
		return
	}
	f.finished = true
	h := f.victim
	f.victim, h.disk.failAtWrite = nil, 0
	h.crash()
	h.start()
}
