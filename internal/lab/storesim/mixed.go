package storesim

import (
	"errors"
	"fmt"

	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"

	"go.etcd.io/raft/v3/raftpb"
)

// In a mixed run hosts begin with a build that knows level 1 of commands. One after the other is started with this build,
// now and then one goes a step back, and only once all voters know level 2 does the cluster use it. A build that knows less
// than the cluster uses must stop before it applies anything; operators then start the newer one on the same disk.

// knows is the level of commands of a host's build.
func (h *host) knows() uint64 {
	if h.old {
		return 1
	}
	return store.Level
}

// step has operators change the build of a host that runs.
func (w *world) step() {
	if w.clean {
		for _, h := range w.hosts { // by the end all are of this build
			if h.old && h.node != nil && !h.retired {
				h.old = false
				h.crash()
				h.again()
			}
		}
		return
	}
	defer w.q.After(w.rng.Int64N(4*w.gap()), w.step)
	h := w.up()
	if h == nil {
		return
	}
	if back := !h.old; back && w.rng.IntN(4) > 0 {
		return // most steps go up
	}
	h.old = !h.old
	w.r.Steps++
	h.crash()
	h.again()
}

// level notes what level the log has the cluster use.
func (h *host) level(e *raftpb.Entry) {
	if e.GetType() != raftpb.EntryNormal || len(e.Data) == 0 {
		return
	}
	if c, err := store.DecodeCommand(e.Data); err == nil && c.RaiseLevel != nil {
		h.w.level = max(h.w.level, c.RaiseLevel.Level)
	}
}

// bounds sends commands of level 2 now and then: refused until the cluster uses that level, and done alike by all from then
// on, with no more keys than they allow.
type bounds struct {
	w       *world
	id, seq uint64
}

const boundMost = 5

func (b *bounds) next() {
	w := b.w
	if w.clean {
		return
	}
	defer w.q.After(w.rng.Int64N(150*milli), b.next)
	h := w.up()
	if h == nil {
		return
	}
	b.seq++
	key := fmt.Sprintf("b/%d", w.rng.IntN(9))
	c := store.Command{ID: store.RequestID{Client: b.id, Seq: b.seq}, Txn: &store.Txn{Then: []store.Op{{Key: key, Delete: w.rng.IntN(4) == 0}},
		KeyLimits: []store.KeyLimit{{Prefix: "b/", MaxKeys: boundMost}}}}
	h.propose(c, func(d replica.Completion) {
		switch {
		case d.Err != nil || errors.Is(d.Result.Err, store.ErrUnsupportedLevel): // also where one copy alone does not know yet
		case d.Result.Err == nil && w.r.Raised == 0:
			w.r.Raised = w.q.Now() / milli
		}
	})
}

// boundsHeld checks a copy against what its commands allowed.
func (h *host) boundsHeld() {
	n := 0
	h.node.State().Range("b/", store.PrefixEnd("b/"), func(store.Item) bool { n++; return true })
	if n > boundMost {
		h.w.broken("bound", "host %d has %d keys where %d are allowed", h.number, n, boundMost)
	}
}
