package storesim

import (
	"fmt"

	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"
)

// cause has one fault happen.
func (w *world) cause() {
	if w.clean || len(w.hosts) == 0 {
		return
	}
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	if w.rng.IntN(3) == 0 {
		for _, x := range w.hosts { // leaders are hit more often than chance has it
			if x.node != nil && x.node.Leading() {
				h = x
			}
		}
	}
	kind := w.rng.IntN(14)
	fmt.Fprint(w.sum, "fault", kind, h.number)
	switch kind {
	case 0, 1:
		w.kill(h)
	case 2:
		for _, x := range w.hosts {
			w.kill(x)
		}
	case 3, 4:
		h.disk.dieIn = 1 + w.rng.IntN(6)
	case 5:
		h.disk.breakIn = 1 + w.rng.IntN(6)
	case 6:
		w.cut()
	case 7:
		w.r.Cuts++
		for _, x := range w.hosts { // one way
			if x != h {
				w.link(h, x).cut = true
			}
		}
		w.q.After(w.rng.Int64N(1500*milli), w.mend)
	case 8:
		w.net = netFaults{loss: 0.3 * w.rng.Float64(), double: 0.3 * w.rng.Float64(), delayed: 0.5 * w.rng.Float64()}
		w.q.After(w.rng.Int64N(1500*milli), func() { w.net = netFaults{} })
	case 9:
		if h.node != nil {
			h.paused = true
			boot, long := h.boot, w.rng.Int64N(1200*milli)
			w.q.After(long, func() {
				if h.boot == boot && h.node != nil {
					h.paused = false
					for range min(int64(w.rng.IntN(8)), long/tick) { // a clock that catches up, and no more than it missed
						if h.node != nil {
							h.node.Tick()
							h.drive()
						}
					}
				}
			})
		}
	case 10:
		h.pace = 0.9 + 0.2*w.rng.Float64()
		if h.node != nil {
			h.node.TransferLeadership()
			h.drive()
		}
	case 11:
		if len(w.members()) < 5 {
			w.join()
		}
	case 12:
		if !w.changing() && w.voters() > 2 && !h.retired && !h.joining && h.disk.saved.Identity.MemberID != 0 {
			w.leave(h)
		}
	case 13:
		if !w.changing() && w.voters() > 2 && !h.retired && !h.joining {
			w.replace(h, w.rng.IntN(2) == 0)
		}
	}
}

func (w *world) link(a, b *host) *link {
	k := [2]int{a.number, b.number}
	if w.links[k] == nil {
		w.links[k] = &link{}
	}
	return w.links[k]
}

// cut splits the hosts in two, however uneven.
func (w *world) cut() {
	w.r.Cuts++
	side := map[*host]bool{}
	for _, h := range w.hosts {
		side[h] = w.rng.IntN(2) == 0
	}
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			if side[a] != side[b] {
				w.link(a, b).cut = true
			}
		}
	}
	w.q.After(w.rng.Int64N(2000*milli), w.mend)
}

func (w *world) mend() { clear(w.links) }

func (w *world) kill(h *host) {
	if h.node == nil || h.retired {
		return
	}
	h.crash()
	h.again()
}

// members are the hosts that belong to the cluster, as far as the operators know.
func (w *world) members() []*host {
	var all []*host
	for _, h := range w.hosts {
		if !h.retired {
			all = append(all, h)
		}
	}
	return all
}

// voters counts those who vote, and is 0 while members change as any replica sees it, or one is away: losing one for
// good is safe only if all others have all, the last change of who votes included. Operators are told the same.
func (w *world) voters() int {
	n, lead := 0, false
	for _, h := range w.members() {
		if h.node == nil || h.paused {
			return 0
		}
		st := h.node.Status()
		if !st.MembershipStable || st.Applied+20 < w.top {
			return 0
		}
		n, lead = len(st.Peers), lead || st.Leading
	}
	if !lead {
		return 0
	}
	return n
}

// changing says whether operators are at work already: they do one thing at a time.
func (w *world) changing() bool {
	for _, h := range w.hosts {
		if h.joining && !h.retired {
			return true
		}
	}
	return false
}

var operator = uint64(400)

// order has operators give a command until it is done; f gets its outcome.
func (w *world) order(seq uint64, c store.Command, f func(store.Result)) {
	c.ID = store.RequestID{Client: operator, Seq: seq}
	w.persist(c, func(d replica.Completion) { f(d.Result) })
}

// join has a new host become a member.
func (w *world) join() {
	h := w.addHost()
	h.joining = true
	name := fmt.Sprintf("r%d", h.number)
	w.order(uint64(h.number)*10+1, store.Command{AddMember: &store.AddMember{Name: name, Address: name}}, func(r store.Result) {
		if r.Err != nil {
			h.retired, h.joining = true, false
			return
		}
		w.r.Joined++
		h.disk.saved.Identity.ClusterID, h.disk.saved.Identity.MemberID = 7, r.MemberID
		h.joining = false
		h.start()
	})
}

// joinInVain has a member added whose host never starts, and removed again.
func (w *world) joinInVain() {
	h := w.addHost()
	h.joining = true
	name := fmt.Sprintf("r%d", h.number)
	w.order(uint64(h.number)*10+1, store.Command{AddMember: &store.AddMember{Name: name, Address: name}}, func(r store.Result) {
		w.order(uint64(h.number)*10+2, store.Command{RemoveMember: &store.RemoveMember{MemberID: r.MemberID}}, func(store.Result) {
			h.joining, h.retired = false, true
		})
	})
}

// leave has a host's member removed.
func (w *world) leave(h *host) {
	h.joining = true
	w.order(uint64(h.number)*10+2, store.Command{RemoveMember: &store.RemoveMember{MemberID: h.disk.saved.Identity.MemberID}}, func(r store.Result) {
		h.joining = false
		if r.Err != nil {
			return
		}
		w.r.Left++
		h.retired = true
		// It goes on for a while, as one does that was not told.
		boot := h.boot
		w.q.After(500*milli, func() {
			if h.boot == boot && h.node != nil {
				h.crash()
			}
		})
	})
}

// replace loses a host's disk. The process comes back with an empty one under its old name, or with one as it was a
// while ago, before operators see to it: they remove the member and add a new one.
func (w *world) replace(h *host, old bool) {
	h.joining = true
	var was *disk
	if old {
		was = h.disk.copy()
	}
	w.q.After(w.rng.Int64N(600*milli), func() {
		if h.node != nil {
			h.crash()
		}
		if old {
			// Between the copy and its return the replica had been started from the disk itself.
			if h.disk.saved.Identity.Boot <= was.saved.Identity.Boot+1 {
				was = nil
			}
		}
		id := h.disk.saved.Identity
		member := id.MemberID
		if was != nil {
			h.disk = was
		} else {
			h.disk = newDisk(w.rng)
			h.disk.saved.Identity.ClusterID, h.disk.saved.Identity.MemberID = id.ClusterID, id.MemberID
		}
		h.acted = map[string]bool{} // what that disk had shown went with it
		h.start()
		w.order(uint64(h.number)*10+3, store.Command{RemoveMember: &store.RemoveMember{MemberID: member}}, func(r store.Result) {
			h.joining, h.retired = false, true
			if h.node != nil {
				h.crash()
			}
			if r.Err == nil {
				w.r.Left++
			}
			w.join()
		})
	})
}

// settleFor is how long after the last fault a run goes on: what is told binds at all by then, with an election and a start on
// the way, and what is heard has to be told again.
const settleFor = simKeep + second

// heal ends all faults, and the run once nothing is open and all replicas are at the same entry.
func (w *world) heal() {
	w.clean, w.net, w.s.healed = true, netFaults{}, w.q.Now()
	w.mend()
	for _, h := range w.hosts {
		h.disk.dieIn, h.disk.breakIn, h.paused, h.pace = 0, 0, false, 1
		w.q.After(w.rng.Int64N(150*milli), h.hearAll)
	}
	if w.o.Mixed {
		w.step()
	}
	w.failed.begin()
	var check func()
	check = func() {
		same := w.quiet() && !w.changing() && w.q.Now()-w.s.healed > settleFor && w.failed.over && w.q.Now()-w.failed.until > second
		for _, h := range w.members() {
			same = same && h.node != nil && h.index == w.top
		}
		if same {
			w.settledServers()
			w.settledHolders()
			w.over = true
			return
		}
		w.q.After(50*milli, check)
	}
	check()
}

// Faults are those that can be planted, by name.
var Faults = []struct {
	Name  string
	Fault replica.Defects
	Watch Watch
	About string
}{
	{"ack-before-sync", replica.AckBeforeSync, WatchNone, "messages go out before the disk has what they promise"},
	{"vote-forgotten", replica.ForgetVote, WatchNone, "the vote is not written"},
	{"stale-read", replica.StaleRead, WatchNone, "a read is answered without asking the quorum"},
	{"apply-twice", replica.ApplyTwice, WatchNone, "after a start the last entries of the snapshot are applied again"},
	{"results-forgotten", replica.ForgetResults, WatchNone, "a request sent again is done again"},
	{"blind-lease", replica.RevokeRenewedLease, WatchNone, "a silent lease ends although it was renewed meanwhile"},
	{"log-cut-too-far", replica.CompactBeyondSnapshot, WatchNone, "the log is cut behind what the snapshot holds"},
	{"empty-disk-let-in", replica.SkipAdmission, WatchNone, "an empty or old disk is let in under its old name"},
	{"eager-return", replica.EagerReturn, WatchNone, "a server may serve again at one copy's word"},
	{"bind-late", 0, BindLate, "the store's word of a drain binds half a second after it came"},
	{"own-word-undone", 0, Overwrite, "the store's word that a drain ended undoes what a daemon hears itself"},
	{"end-early", 0, EndEarly, "a drain ends after a quarter of its time"},
	{"end-alone", 0, EndAlone, "a daemon ends a drain for itself, without the quorum"},
	{"log-end-forgotten", 0, ForgetDisk, "a start does not know what the log's end says is out"},
	{"leads-on", replica.LeadAfterFailure, WatchNone, "a leader whose disk failed goes on telling that it leads"},
	{"any-level", replica.IgnoreLevel, WatchNone, "a command is sent although a voter does not know its level (with --mixed)"},
	{"never-renewed", 0, NeverRenew, "nobody tells a drain again"},
}
