package changefeed

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"

	"birchmoor/internal/store"
)

// world is one authority of the store's order, replicas that lag behind it, each by its own amount, and
// followers that hold parts, in one order of events drawn from a seed. What a follower holds is compared, key
// by key, with what the authority held at the same revision.
type world struct {
	rng       *rand.Rand
	defect    Defect
	log       []*store.Command
	authority *store.State
	itemsAt   map[uint64]map[string]store.Item // by revision
	replicas  []*replica
	followers []*follower
	leases    []uint64

	reads, snapshots, narrowings, compactions, confirmations int // how often a run exercised each path
}

type replica struct {
	state   *store.State
	applied int
	feed    *Feed
	old     bool // of a version that sends all changes of all keys
}

type follower struct {
	mirror   *Mirror
	retained store.Interest
	file     []byte
	seen     uint64 // its highest revision since it started
	replica  *replica
	sender   *Sender
	all      bool // is sent all changes, one by one
	wire     []line
}

type line struct {
	events    []store.Event
	through   uint64
	heartbeat bool
	revision  uint64
	confirmed bool
}

var smallLimits = store.Limits{
	KeyBytes: 8, ValueBytes: 16, TotalBytes: 20000, TxnOps: 8, HistoryEvents: 20, HistoryBytes: 4000,
	Leases: 8, Results: 6, Members: 3,
}

var allKeys = func() (all []string) {
	for _, p := range []string{"a/", "b/", "b/x/", "c", "d/"} {
		for i := range 4 {
			all = append(all, fmt.Sprint(p, i))
		}
	}
	return all
}()

func newWorld(seed uint64, defect Defect) *world {
	w := &world{
		rng:       rand.New(rand.NewPCG(seed, 39)),
		defect:    defect,
		authority: store.New(7, smallLimits),
		itemsAt:   map[uint64]map[string]store.Item{0: {}},
	}
	for i := range 3 {
		old := i == 2 && seed%2 == 1
		w.replicas = append(w.replicas, &replica{state: store.New(7, smallLimits), feed: New(0, defect), old: old})
	}
	for range 3 {
		mirror := NewMirror(w.interest(), defect)
		w.followers = append(w.followers, &follower{mirror: mirror, retained: *w.partialInterest()})
	}
	return w
}

// partialInterest draws an interest in some of the keys.
func (w *world) partialInterest() *store.Interest {
	var of store.Interest
	for _, p := range []string{"a/", "b/", "b/x/", "c", "d/", "z"} {
		if w.rng.IntN(3) == 0 {
			of.Prefixes = append(of.Prefixes, p)
		}
	}
	for range w.rng.IntN(4) {
		of.Keys = append(of.Keys, allKeys[w.rng.IntN(len(allKeys))])
	}
	of = store.Interest{}.Union(of)
	return &of
}

func (w *world) interest() *store.Interest {
	if w.rng.IntN(8) == 0 {
		return nil
	}
	return w.partialInterest()
}

// command has the authority execute a command.
func (w *world) command() {
	c := &store.Command{}
	key := func() string { return allKeys[w.rng.IntN(len(allKeys))] }
	switch k := w.rng.IntN(12); {
	case k == 0:
		c.GrantLease = &store.GrantLease{TTLMillis: 1000}
	case k == 1 && len(w.leases) > 0:
		c.RevokeLease = &store.RevokeLease{LeaseID: w.leases[w.rng.IntN(len(w.leases))]}
	default:
		c.Txn = &store.Txn{}
		seen := map[string]bool{}
		for range 1 + w.rng.IntN(5) {
			o := store.Op{Key: key(), Delete: w.rng.IntN(3) == 0}
			if seen[o.Key] {
				continue
			}
			seen[o.Key] = true
			if !o.Delete {
				o.Value = fmt.Append(nil, len(w.log))
				if len(w.leases) > 0 && w.rng.IntN(4) == 0 {
					o.LeaseID = w.leases[w.rng.IntN(len(w.leases))]
				}
			}
			c.Txn.Then = append(c.Txn.Then, o)
		}
	}
	r := w.authority.Apply(uint64(len(w.log)+1), c)
	w.log = append(w.log, c)
	if c.GrantLease != nil && r.Err == nil {
		w.leases = append(w.leases, r.LeaseID)
	}
	now := map[string]store.Item{}
	w.authority.Range("", "", func(i store.Item) bool { now[i.Key] = i; return true })
	w.itemsAt[w.authority.Revision()] = now
}

// catchUp has a replica apply some of the commands that it lacks, and sometimes distribute what changed.
func (w *world) catchUp(r *replica) {
	if w.rng.IntN(40) == 0 { // the leader sends a snapshot
		var b bytes.Buffer
		if err := w.authority.Save(&b); err != nil {
			panic(err)
		}
		r.state, _ = store.Load(&b)
		r.applied = len(w.log)
	}
	for n := w.rng.IntN(6); n > 0 && r.applied < len(w.log); n-- {
		r.state.Apply(uint64(r.applied+1), w.log[r.applied])
		r.applied++
	}
	if w.rng.IntN(3) > 0 {
		w.distribute(r)
	}
}

func (w *world) distribute(r *replica) {
	at, _ := r.feed.Position()
	events, to, err := r.state.Changes(nil, "", at, 1+w.rng.IntN(8))
	if err != nil {
		r.feed.Skip(r.state.Revision())
		return
	}
	r.feed.Advance(events, to)
}

func (c *follower) disconnect() {
	if c.sender != nil {
		c.replica.feed.Unsubscribe(c.sender.Stream)
	}
	c.sender, c.wire = nil, nil
}

// connect has a follower request what it needs of a replica.
func (w *world) connect(c *follower) {
	c.disconnect()
	r := w.replicas[w.rng.IntN(len(w.replicas))]
	a := c.mirror.NextRequest()
	of := a.Interest
	if r.old {
		of = nil
	}
	if a.Snapshot {
		w.fetch(c, r, of)
		return
	}
	if a.Interest != nil {
		narrowed, needsSnapshot := c.mirror.StreamOpened(!r.old)
		if narrowed {
			w.narrowings++
		}
		if needsSnapshot {
			w.fetch(c, r, nil)
			return
		}
	}
	c.replica, c.all, c.sender = r, of == nil, r.feed.NewSender(of, a.After)
	for done := false; !done; {
		var batches []Batch
		var err error
		if batches, done, err = c.sender.CatchUp(r.state, 1+w.rng.IntN(8)); err != nil {
			w.compactions++
			c.disconnect()
			if gone := (*store.CompactedError)(nil); errors.As(err, &gone) {
				w.fetch(c, r, of)
			}
			return
		}
		c.putOnWire(batches, 0, w.defect)
	}
}

func (w *world) fetch(c *follower, r *replica, of *store.Interest) {
	s := r.state
	if of != nil {
		s = s.Subset(*of)
	}
	var b bytes.Buffer
	if err := s.Save(&b); err != nil {
		panic(err)
	}
	got, err := store.LoadSubset(&b)
	if err != nil {
		panic(err)
	}
	if c.mirror.Replace(got) == nil {
		w.snapshots++
	}
}

// putOnWire appends what a sender took.
func (c *follower) putOnWire(batches []Batch, through uint64, p Defect) {
	if p == ProgressEarly && through > 0 {
		c.wire = append(c.wire, line{through: through})
	}
	for i, t := range batches {
		l := line{}
		for _, x := range t.Changes {
			l.events = append(l.events, x.Event)
		}
		if i == len(batches)-1 {
			l.through = through
		}
		c.wire = append(c.wire, l)
	}
	if len(batches) == 0 && through > 0 {
		c.wire = append(c.wire, line{through: through})
	}
}

// send has the replica that a follower receive say what it has, and sometimes how it stands.
func (w *world) send(c *follower) {
	if c.sender == nil {
		return
	}
	heartbeat := w.rng.IntN(3) == 0
	revision := c.replica.state.Revision()
	if heartbeat {
		for at, _ := c.replica.feed.Position(); at < revision; at, _ = c.replica.feed.Position() {
			w.distribute(c.replica)
		}
	}
	batches, through, closed := c.sender.Take(heartbeat || w.rng.IntN(2) == 0)
	if closed {
		c.disconnect()
		return
	}
	c.putOnWire(batches, through, w.defect)
	if heartbeat {
		revision, confirmed := c.sender.ConfirmedRevision(revision, true)
		c.wire = append(c.wire, line{heartbeat: true, revision: revision, confirmed: confirmed})
	}
}

// receive has a follower take some of what is on the wire. The rest is lost when it disconnects.
func (w *world) receive(c *follower) error {
	for n := w.rng.IntN(6); n > 0 && len(c.wire) > 0 && c.sender != nil; n-- {
		l := c.wire[0]
		c.wire = c.wire[1:]
		var err error
		if c.all {
			for _, e := range l.events {
				err = errors.Join(err, c.mirror.ApplyEvent(e))
			}
		} else {
			err = c.mirror.ApplyRevision(l.events)
			if err == nil && l.through > 0 {
				err = c.mirror.Progress(l.through)
			}
		}
		if err != nil {
			return fmt.Errorf("a message of a replica is rejected: %w", err)
		}
		if l.heartbeat && l.confirmed && c.mirror.HasRevision(l.revision) {
			w.confirmations++
		} else if l.heartbeat && l.confirmed {
			return fmt.Errorf("revision %d is confirmed to a follower at revision %d",
				l.revision, c.mirror.State().Revision())
		}
		if err := w.check(c); err != nil {
			return err
		}
	}
	return nil
}

// restart ends a follower, which begins again with what it saved.
func (w *world) restart(c *follower) {
	c.disconnect()
	if s := c.mirror.State(); s != nil && w.rng.IntN(2) == 0 {
		var b bytes.Buffer
		if err := c.mirror.Retained(c.retained).Save(&b); err != nil {
			panic(err)
		}
		c.file = b.Bytes()
	}
	c.mirror, c.seen = NewMirror(w.interest(), w.defect), 0
	if c.file != nil {
		s, err := store.LoadSubset(bytes.NewReader(c.file))
		if err != nil {
			panic(err)
		}
		c.mirror.Restore(s)
	}
}

// check compares what a follower holds with what the authority held.
func (w *world) check(c *follower) error {
	s := c.mirror.State()
	if s == nil {
		return nil
	}
	at := s.Revision()
	if at < c.seen {
		return fmt.Errorf("revision %d after %d", at, c.seen)
	}
	c.seen = at
	itemsAt, ok := w.itemsAt[at]
	if !ok {
		return fmt.Errorf("revision %d never existed", at)
	}
	of := s.Interest()
	for _, key := range allKeys {
		want, there := itemsAt[key]
		var got store.Item
		var has bool
		_, held := c.mirror.Read(func(s *store.State) { got, has = s.Get(key) })
		w.reads++
		if within := of == nil || of.Covers(key); !within {
			if held {
				return fmt.Errorf("revision %d: %q is read as existing %v, and is not held", at, key, has)
			}
			continue
		}
		sameItem := string(got.Value) == string(want.Value) && got.ModRevision == want.ModRevision &&
			got.Version == want.Version
		if !held || has != there || !sameItem {
			return fmt.Errorf("revision %d: %q is %+v (%v, held %v), and was %+v (%v)",
				at, key, got, has, held, want, there)
		}
	}
	return nil
}

func (w *world) run(steps int) error {
	for range steps {
		c := w.followers[w.rng.IntN(len(w.followers))]
		switch k := w.rng.IntN(100); {
		case k < 30:
			w.command()
		case k < 55:
			w.catchUp(w.replicas[w.rng.IntN(len(w.replicas))])
		case k < 70:
			w.send(c)
		case k < 88:
			if err := w.receive(c); err != nil {
				return err
			}
		case k < 96:
			w.connect(c)
		case k < 99:
			if c.mirror.SetInterest(w.interest()) {
				c.disconnect()
			}
		default:
			w.restart(c)
		}
		if err := w.check(c); err != nil {
			return err
		}
	}
	return nil
}
