package storesim

import (
	"fmt"
	"math/rand/v2"

	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"
)

// Once all other faults are over, the disk of one voter of three or more fails for good, in a write. Its process goes on, hears and is
// greeted, takes requests and says that it has stopped; nobody starts it again for a while. The others are a majority and hear each
// other: a write that is put to any of them is to be answered in time, whatever the one that failed was about.

const (
	failedFor   = 3 * second   // until it is started again
	answeredFor = 2 * second   // a write: an election or two, and a proposal that was lost with the leader
	failWait    = 4 * second   // for a cluster whose members do not change, else none fails
	askPause    = 30 * milli   // between two writes put to one host
	lookEvery   = 50 * milli   // at what is open
	failedUser  = uint64(6000) // clients of the writes, one for each host
)

// failedDisk has a disk fail, and looks at what the others answer. What it draws is its own, so that the run before it is as it was.
type failedDisk struct {
	w      *world
	rng    *rand.Rand
	victim *host
	over   bool
	until  int64           // when it is started again
	asked  map[*host]int64 // since when a write is open at a host
	boots  map[*host]int
	seq    uint64
}

// begin waits until the members are settled, and does nothing if they are too few.
func (f *failedDisk) begin() {
	w := f.w
	if w.o.Holders > 0 {
		f.over = true
		return
	}
	deadline := w.q.Now() + failWait
	var try func()
	try = func() {
		switch {
		case !w.changing() && w.voters() >= 3:
			f.strike()
		case w.q.Now() > deadline:
			f.over = true
		default:
			w.q.After(lookEvery, try)
		}
	}
	w.q.After(f.rng.Int64N(300*milli), try)
}

// What a replica is about when its disk fails.
var failures = []string{"leads", "follows", "is handed the lead", "hands the lead over", "votes", "starts", "leads while one joins", "follows while one joins",
	"leads while one is added that does not come"}

func (f *failedDisk) strike() {
	w := f.w
	var lead *host
	var rest []*host
	for _, h := range w.members() {
		if lead == nil && h.node.Leading() {
			lead = h
		} else {
			rest = append(rest, h)
		}
	}
	if lead == nil {
		f.over = true
		return
	}
	f.victim = rest[f.rng.IntN(len(rest))]
	kind := f.rng.IntN(len(failures))
	w.r.Failed = failures[kind]
	within := 1 + f.rng.IntN(3)
	fail := func() { f.victim.disk.breakIn = within }
	switch kind {
	case 0, 6, 8:
		f.victim = lead
		fail()
	case 1, 7:
		fail()
	case 2:
		within = 1 // its vote for itself
		fail()
		lead.node.TransferLeadership()
		lead.drive()
	case 3:
		f.victim = lead
		fail()
		lead.node.TransferLeadership()
		lead.drive()
	case 4:
		within = 1 // its vote for another, or for itself
		fail()
		lead.crash()
		lead.start()
	case 5:
		f.victim.crash()
		fail()
		f.victim.start()
	}
	f.asked, f.boots = map[*host]int64{}, map[*host]int{}
	for _, h := range w.members() {
		if h != f.victim {
			f.boots[h] = h.boot
			f.ask(h)
		}
	}
	switch kind {
	case 6, 7:
		w.join()
	case 8:
		w.joinInVain()
	}
	f.until = w.q.Now() + failedFor
	w.q.After(lookEvery, f.look)
}

// ask puts a write to a host, as a caller does that waits for its outcome there.
func (f *failedDisk) ask(h *host) {
	f.seq++
	f.asked[h] = f.w.q.Now()
	c := store.Command{ID: store.RequestID{Client: failedUser + uint64(h.number), Seq: f.seq}, SinceIndex: max(1, h.index),
		Txn: &store.Txn{Then: []store.Op{{Key: fmt.Sprintf("beside/%d", h.number), Value: fmt.Append(nil, f.seq)}}}}
	var put func()
	put = func() {
		if f.over || h.boot != f.boots[h] {
			return
		}
		h.propose(c, func(d replica.Completion) {
			if f.over || h.boot != f.boots[h] {
				return
			}
			if d.Err != nil {
				f.w.q.After(f.rng.Int64N(60*milli), put)
				return
			}
			if d.Result.Err != nil {
				f.w.broken("refused", "%v", d.Result.Err)
			}
			if f.victim.node != nil && f.victim.node.Failed() != nil {
				f.w.r.Beside++
				f.w.r.Slowest = max(f.w.r.Slowest, f.w.q.Now()-f.asked[h])
			}
			f.w.q.After(askPause, func() { f.ask(h) })
		})
	}
	put()
}

// look finds a write that got no answer, and ends it all in time.
func (f *failedDisk) look() {
	w := f.w
	for _, h := range w.members() {
		at, asked := f.asked[h]
		if asked && h.boot == f.boots[h] && w.q.Now()-at > answeredFor {
			w.broken("no progress", "a write put to host %d got no answer for %d ms; host %d, whose disk failed, %s", h.number,
				(w.q.Now()-at)/milli, f.victim.number, w.r.Failed)
		}
	}
	if w.q.Now() < f.until {
		w.q.After(lookEvery, f.look)
		return
	}
	f.over = true
	h := f.victim
	f.victim, h.disk.breakIn = nil, 0
	h.crash()
	h.start()
}
