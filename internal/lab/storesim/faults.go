package storesim

import (
	"fmt"

	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"
)

// injectFault injects a drawn fault.
func (w *world) injectFault() {
	if w.faultsOver || len(w.hosts) == 0 {
		return
	}
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	if w.rng.IntN(3) == 0 {
		for _, x := range w.hosts { // hits the leader more often than the other replicas
			if x.node != nil && x.node.Leading() {
				h = x
			}
		}
	}
	kind := w.rng.IntN(14)
	fmt.Fprint(w.traceHash, "fault", kind, h.number)
	switch kind {
	case 0, 1:
		w.crashAndRestart(h)
	case 2:
		for _, x := range w.hosts {
			w.crashAndRestart(x)
		}
	case 3, 4:
		h.disk.crashAtWrite = 1 + w.rng.IntN(6)
	case 5:
		h.disk.failAtWrite = 1 + w.rng.IntN(6)
	case 6:
		w.partition()
	case 7:
		w.result.Cuts++
		for _, x := range w.hosts { // in one direction
			if x != h {
				w.link(h, x).cut = true
			}
		}
		w.queue.After(w.rng.Int64N(1500*milli), w.restoreLinks)
	case 8:
		w.net = netFaults{loss: 0.3 * w.rng.Float64(), duplicate: 0.3 * w.rng.Float64(), delayed: 0.5 * w.rng.Float64()}
		w.queue.After(w.rng.Int64N(1500*milli), func() { w.net = netFaults{} })
	case 9:
		if h.node != nil {
			h.paused = true
			boot, duration := h.boot, w.rng.Int64N(1200*milli)
			w.queue.After(duration, func() {
				if h.boot == boot && h.node != nil {
					h.paused = false
					for range min(int64(w.rng.IntN(8)), duration/tickMicros) { // some of the missed ticks
						if h.node != nil {
							h.node.Tick()
							h.processNode()
						}
					}
				}
			})
		}
	case 10:
		h.clockRate = 0.9 + 0.2*w.rng.Float64()
		if h.node != nil {
			h.node.TransferLeadership()
			h.processNode()
		}
	case 11:
		if len(w.members()) < 5 {
			w.addMember()
		}
	case 12:
		if !w.membershipChanging() && w.voters() > 2 && !h.removed && !h.inChange &&
			h.disk.contents.Identity.MemberID != 0 {
			w.removeMember(h)
		}
	case 13:
		if !w.membershipChanging() && w.voters() > 2 && !h.removed && !h.inChange {
			w.replaceDisk(h, w.rng.IntN(2) == 0)
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

// partition cuts all links between two random groups of hosts.
func (w *world) partition() {
	w.result.Cuts++
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
	w.queue.After(w.rng.Int64N(2000*milli), w.restoreLinks)
}

func (w *world) restoreLinks() { clear(w.links) }

func (w *world) crashAndRestart(h *host) {
	if h.node == nil || h.removed {
		return
	}
	h.crash()
	h.restartLater()
}

// members returns the hosts that belong to the cluster, as far as the operators know.
func (w *world) members() []*host {
	var all []*host
	for _, h := range w.hosts {
		if !h.removed {
			all = append(all, h)
		}
	}
	return all
}

// voters returns the number of voters, and 0 while any replica is down, far behind or sees a membership change. A
// replica may be lost permanently only if all others have all entries, including the last change of voters; the
// operators' guide has the same rule.
func (w *world) voters() int {
	n, hasLeader := 0, false
	for _, h := range w.members() {
		if h.node == nil || h.paused {
			return 0
		}
		st := h.node.Status()
		if !st.MembershipStable || st.Applied+20 < w.lastIndex {
			return 0
		}
		n, hasLeader = len(st.Peers), hasLeader || st.Leading
	}
	if !hasLeader {
		return 0
	}
	return n
}

// membershipChanging reports whether operators are changing a member. They make one change at a time.
func (w *world) membershipChanging() bool {
	for _, h := range w.hosts {
		if h.inChange && !h.removed {
			return true
		}
	}
	return false
}

var operatorClient = uint64(400) // client in the request ids of operators

// executeAsOperator has operators send a command until its outcome is known, and passes the outcome to f.
func (w *world) executeAsOperator(seq uint64, c store.Command, f func(store.Result)) {
	c.ID = store.RequestID{Client: operatorClient, Seq: seq}
	w.submit(c, func(d replica.Completion) { f(d.Result) })
}

// addMember adds a new host as a member.
func (w *world) addMember() {
	h := w.addHost()
	h.inChange = true
	name := fmt.Sprintf("r%d", h.number)
	w.executeAsOperator(uint64(h.number)*10+1, store.Command{AddMember: &store.AddMember{Name: name,
		Address: name}}, func(r store.Result) {
		if r.Err != nil {
			h.removed, h.inChange = true, false
			return
		}
		w.result.Joined++
		h.disk.contents.Identity.ClusterID, h.disk.contents.Identity.MemberID = 7, r.MemberID
		h.inChange = false
		h.start()
	})
}

// addAndRemoveMember adds a member whose host never starts, and removes it again.
func (w *world) addAndRemoveMember() {
	h := w.addHost()
	h.inChange = true
	name := fmt.Sprintf("r%d", h.number)
	w.executeAsOperator(uint64(h.number)*10+1, store.Command{AddMember: &store.AddMember{Name: name,
		Address: name}}, func(r store.Result) {
		w.executeAsOperator(uint64(h.number)*10+2,
			store.Command{RemoveMember: &store.RemoveMember{MemberID: r.MemberID}}, func(store.Result) {
				h.inChange, h.removed = false, true
			})
	})
}

// removeMember removes the member of a host.
func (w *world) removeMember(h *host) {
	h.inChange = true
	w.executeAsOperator(uint64(h.number)*10+2,
		store.Command{RemoveMember: &store.RemoveMember{MemberID: h.disk.contents.Identity.MemberID}},
		func(r store.Result) {
			h.inChange = false
			if r.Err != nil {
				return
			}
			w.result.Left++
			h.removed = true
			// Its process runs on for a while, as one does that was not told.
			boot := h.boot
			w.queue.After(500*milli, func() {
				if h.boot == boot && h.node != nil {
					h.crash()
				}
			})
		})
}

// replaceDisk loses a host's disk. The process restarts under its old name with an empty disk, or with earlier
// contents of the disk. Then operators remove the member and add a new one.
func (w *world) replaceDisk(h *host, useOldDisk bool) {
	h.inChange = true
	var oldDisk *disk
	if useOldDisk {
		oldDisk = h.disk.copy()
	}
	w.queue.After(w.rng.Int64N(600*milli), func() {
		if h.node != nil {
			h.crash()
		}
		if useOldDisk {
			// An old copy is used only if the replica was started from the disk itself after the copy was taken.
			if h.disk.contents.Identity.Boot <= oldDisk.contents.Identity.Boot+1 {
				oldDisk = nil
			}
		}
		id := h.disk.contents.Identity
		member := id.MemberID
		if oldDisk != nil {
			h.disk = oldDisk
		} else {
			h.disk = newDisk(w.rng)
			h.disk.contents.Identity.ClusterID, h.disk.contents.Identity.MemberID = id.ClusterID, id.MemberID
		}
		h.shownDrains = map[string]bool{} // the drains were shown by the lost disk
		h.start()
		w.executeAsOperator(uint64(h.number)*10+3, store.Command{RemoveMember: &store.RemoveMember{MemberID: member}},
			func(r store.Result) {
				h.inChange, h.removed = false, true
				if h.node != nil {
					h.crash()
				}
				if r.Err == nil {
					w.result.Left++
				}
				w.addMember()
			})
	})
}

// settleMicros is how long a run continues after the last fault. By then reported drains are in force on all hosts,
// even after an election and a restart, and every observed drain has been reported again.
const settleMicros = drainRetentionMicros + second

// endFaults ends all faults, and finishes the run once no request is open and all replicas are at the same index.
func (w *world) endFaults() {
	w.faultsOver, w.net, w.servers.faultsOverAt = true, netFaults{}, w.queue.Now()
	w.restoreLinks()
	for _, h := range w.hosts {
		h.disk.crashAtWrite, h.disk.failAtWrite, h.paused, h.clockRate = 0, 0, false, 1
		w.queue.After(w.rng.Int64N(150*milli), h.discoverAll)
	}
	if w.options.Mixed {
		w.changeBuild()
	}
	w.failedDisk.start()
	var check func()
	check = func() {
		settled := w.requestsDone() && !w.membershipChanging() && w.queue.Now()-w.servers.faultsOverAt > settleMicros &&
			w.failedDisk.finished && w.queue.Now()-w.failedDisk.restartAt > second
		for _, h := range w.members() {
			settled = settled && h.node != nil && h.appliedIndex == w.lastIndex
		}
		if settled {
			w.checkDrainsInForce()
			w.checkTasksActive()
			w.finished = true
			return
		}
		w.queue.After(50*milli, check)
	}
	check()
}

// InjectedDefects lists the defects of replicas and daemons that a run can inject.
var InjectedDefects = []struct {
	Name  string
	Fault replica.Defects
	Watch DaemonDefect
	About string
}{
	{"ack-before-sync", replica.AckBeforeSync, NoDaemonDefect,
		"messages are sent before the state that they acknowledge is on disk"},
	{"vote-forgotten", replica.ForgetVote, NoDaemonDefect, "the vote is not written to disk"},
	{"stale-read", replica.StaleRead, NoDaemonDefect, "a read is answered without confirmation by a quorum"},
	{"apply-twice", replica.ApplyTwice, NoDaemonDefect,
		"after a restart the last entries of the snapshot are applied again"},
	{"results-forgotten", replica.ForgetResults, NoDaemonDefect, "a request that is sent again is applied again"},
	{"blind-lease", replica.RevokeRenewedLease, NoDaemonDefect,
		"a lease without recent renewals is revoked although it was renewed meanwhile"},
	{"log-cut-too-far", replica.CompactBeyondSnapshot, NoDaemonDefect, "the log is compacted beyond the snapshot"},
	{"empty-disk-let-in", replica.SkipAdmission, NoDaemonDefect,
		"a replica with an empty or old disk is admitted under its old name"},
	{"eager-return", replica.EagerReturn, NoDaemonDefect, "a server is readmitted on the evidence of one copy"},
	{"bind-late", 0, EnforceLate, "a drain from the store is in force only half a second after it arrived"},
	{"own-word-undone", 0, OverrideObservation,
		"the end of a drain in the store overrides the daemon's own observation"},
	{"end-early", 0, EndDrainEarly, "a drain ends after a quarter of its retention"},
	{"end-alone", 0, EndDrainLocally, "a daemon ends a drain locally, without a quorum"},
	{"log-end-forgotten", 0, IgnoreUncommitted, "a restart ignores the exclusions in the uncommitted end of the log"},
	{"leads-on", replica.LeadAfterFailure, NoDaemonDefect, "a leader whose disk failed keeps sending heartbeats"},
	{"any-level", replica.IgnoreLevel, NoDaemonDefect,
		"a command is sent although a voter does not know its level (with --mixed)"},
	{"never-renewed", 0, NeverReportAgain, "drains are never reported again"},
}
