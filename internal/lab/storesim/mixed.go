package storesim

import (
	"errors"
	"fmt"

	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"

	"go.etcd.io/raft/v3/raftpb"
)

// In a mixed run hosts start with a build that knows command level 1 only. They are restarted with this build one after
// the other, and from time to time one goes back to the old build. The cluster uses level 2 only once all voters know
// it. A build that does not know the level in use must stop before it applies any command of it; operators then start
// the newer build on the same disk.

// knownLevel returns the command level that the host's build knows.
func (h *host) knownLevel() uint64 {
	if h.oldBuild {
		return 1
	}
	return store.Level
}

// changeBuild has operators change the build of a running host, at random intervals.
func (w *world) changeBuild() {
	if w.faultsOver {
		for _, h := range w.hosts { // in the end all run this build
			if h.oldBuild && h.node != nil && !h.removed {
				h.oldBuild = false
				h.crash()
				h.restartLater()
			}
		}
		return
	}
	defer w.queue.After(w.rng.Int64N(4*w.gap()), w.changeBuild)
	h := w.randomUpHost()
	if h == nil {
		return
	}
	if back := !h.oldBuild; back && w.rng.IntN(4) > 0 {
		return // most changes are upgrades
	}
	h.oldBuild = !h.oldBuild
	w.result.BuildChanges++
	h.crash()
	h.restartLater()
}

// observeLevel records the command level that the log raises the cluster to.
func (h *host) observeLevel(e *raftpb.Entry) {
	if e.GetType() != raftpb.EntryNormal || len(e.Data) == 0 {
		return
	}
	if c, err := store.DecodeCommand(e.Data); err == nil && c.RaiseLevel != nil {
		h.world.commandLevel = max(h.world.commandLevel, c.RaiseLevel.Level)
	}
}

// keyLimitClient sends commands of level 2, transactions with a key limit, at random intervals. They must be rejected
// until the cluster uses level 2. From then on all replicas must apply them alike and keep to the key limit.
type keyLimitClient struct {
	world   *world
	id, seq uint64
}

const maxLimitedKeys = 5

func (b *keyLimitClient) next() {
	w := b.world
	if w.faultsOver {
		return
	}
	defer w.queue.After(w.rng.Int64N(150*milli), b.next)
	h := w.randomUpHost()
	if h == nil {
		return
	}
	b.seq++
	key := fmt.Sprintf("b/%d", w.rng.IntN(9))
	c := store.Command{ID: store.RequestID{Client: b.id, Seq: b.seq}, Txn: &store.Txn{Then: []store.Op{{Key: key, Delete: w.rng.IntN(4) == 0}},
		KeyLimits: []store.KeyLimit{{Prefix: "b/", MaxKeys: maxLimitedKeys}}}}
	h.propose(c, func(d replica.Completion) {
		switch {
		case d.Err != nil || errors.Is(d.Result.Err, store.ErrUnsupportedLevel): // also before the raise is applied
		case d.Result.Err == nil && w.result.Raised == 0:
			w.result.Raised = w.queue.Now() / milli
		}
	})
}

// checkKeyLimit checks that the copy has no more keys than the commands allow.
func (h *host) checkKeyLimit() {
	n := 0
	h.node.State().Range("b/", store.PrefixEnd("b/"), func(store.Item) bool { n++; return true })
	if n > maxLimitedKeys {
		h.world.reportViolation("bound", "host %d has %d keys where %d are allowed", h.number, n, maxLimitedKeys)
	}
}
