package changefeed

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"

	"birchmoor/internal/store"
)

// simulation has an authority that executes all commands, replicas that lag behind it by different amounts, and
// followers with partial copies. The order of events is random, and determined by a seed. The simulation compares the
// copy of each follower, key by key, with the authority's items at the same revision.
type simulation struct {
	rng       *rand.Rand
	defect    Defect
	log       []*store.Command // commands that the authority executed
	authority *store.State
	itemsAt   map[uint64]map[string]store.Item // the authority's items by revision and key
	replicas  []*replica
	followers []*follower
	leases    []uint64

	reads, snapshots, narrowings, compactions, confirmations int // number of times that a run exercised each path
}

type replica struct {
	state        *store.State
	applied      int // number of commands of the log
	feed         *Feed
	isOldVersion bool // ignores interests and sends all changes
}

type follower struct {
	mirror          *Mirror
	retained        store.Interest
	savedCopy       []byte
	highestRevision uint64 // of its copy since it started
	replica         *replica
	sender          *Sender
	receivesAllKeys bool       // receives all changes, one by one
	inFlight        []wireLine // sent by the replica, and not received yet
}

// wireLine is a line of a stream: changes, progress or a heartbeat.
type wireLine struct {
	events    []store.Event
	through   uint64
	heartbeat bool
	revision  uint64
	confirmed bool
}

var testLimits = store.Limits{
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

func newSimulation(seed uint64, defect Defect) *simulation {
	s := &simulation{
		rng:       rand.New(rand.NewPCG(seed, 39)),
		defect:    defect,
		authority: store.New(7, testLimits),
		itemsAt:   map[uint64]map[string]store.Item{0: {}},
	}
	for i := range 3 {
		isOldVersion := i == 2 && seed%2 == 1
		s.replicas = append(s.replicas, &replica{
			state: store.New(7, testLimits), feed: New(0, defect), isOldVersion: isOldVersion,
		})
	}
	for range 3 {
		mirror := NewMirror(s.randomInterest(), defect)
		s.followers = append(s.followers, &follower{mirror: mirror, retained: *s.randomPartialInterest()})
	}
	return s
}

// randomPartialInterest returns a random interest that does not cover all keys.
func (s *simulation) randomPartialInterest() *store.Interest {
	var interest store.Interest
	for _, p := range []string{"a/", "b/", "b/x/", "c", "d/", "z"} {
		if s.rng.IntN(3) == 0 {
			interest.Prefixes = append(interest.Prefixes, p)
		}
	}
	for range s.rng.IntN(4) {
		interest.Keys = append(interest.Keys, allKeys[s.rng.IntN(len(allKeys))])
	}
	interest = store.Interest{}.Union(interest)
	return &interest
}

// randomInterest returns nil, which means all keys, or a random partial interest.
func (s *simulation) randomInterest() *store.Interest {
	if s.rng.IntN(8) == 0 {
		return nil
	}
	return s.randomPartialInterest()
}

// executeCommand has the authority execute a random command and records its items.
func (s *simulation) executeCommand() {
	command := &store.Command{}
	randomKey := func() string { return allKeys[s.rng.IntN(len(allKeys))] }
	switch choice := s.rng.IntN(12); {
	case choice == 0:
		command.GrantLease = &store.GrantLease{TTLMillis: 1000}
	case choice == 1 && len(s.leases) > 0:
		command.RevokeLease = &store.RevokeLease{LeaseID: s.leases[s.rng.IntN(len(s.leases))]}
	default:
		command.Txn = &store.Txn{}
		used := map[string]bool{}
		for range 1 + s.rng.IntN(5) {
			op := store.Op{Key: randomKey(), Delete: s.rng.IntN(3) == 0}
			if used[op.Key] {
				continue
			}
			used[op.Key] = true
			if !op.Delete {
				op.Value = fmt.Append(nil, len(s.log))
				if len(s.leases) > 0 && s.rng.IntN(4) == 0 {
					op.LeaseID = s.leases[s.rng.IntN(len(s.leases))]
				}
			}
			command.Txn.Then = append(command.Txn.Then, op)
		}
	}
	result := s.authority.Apply(uint64(len(s.log)+1), command)
	s.log = append(s.log, command)
	if command.GrantLease != nil && result.Err == nil {
		s.leases = append(s.leases, result.LeaseID)
	}
	items := map[string]store.Item{}
	s.authority.Range("", "", func(i store.Item) bool { items[i.Key] = i; return true })
	s.itemsAt[s.authority.Revision()] = items
}

// catchUp has a replica apply some of the commands that it lacks, and usually distribute changes to its followers.
func (s *simulation) catchUp(r *replica) {
	if s.rng.IntN(40) == 0 { // the replica receives a leader's snapshot
		var snapshot bytes.Buffer
		if err := s.authority.Save(&snapshot); err != nil {
			panic(err)
		}
		r.state, _ = store.Load(&snapshot)
		r.applied = len(s.log)
	}
	for remaining := s.rng.IntN(6); remaining > 0 && r.applied < len(s.log); remaining-- {
		r.state.Apply(uint64(r.applied+1), s.log[r.applied])
		r.applied++
	}
	if s.rng.IntN(3) > 0 {
		s.distribute(r)
	}
}

// distribute passes some changes of a replica's history to its feed, or skips them if they are compacted.
func (s *simulation) distribute(r *replica) {
	position, _ := r.feed.Position()
	events, through, err := r.state.Changes(nil, "", position, 1+s.rng.IntN(8))
	if err != nil {
		r.feed.Skip(r.state.Revision())
		return
	}
	r.feed.Advance(events, through)
}

func (f *follower) disconnect() {
	if f.sender != nil {
		f.replica.feed.Unsubscribe(f.sender.Stream)
	}
	f.sender, f.inFlight = nil, nil
}

// connect has a follower send its next request to a random replica.
func (s *simulation) connect(f *follower) {
	f.disconnect()
	r := s.replicas[s.rng.IntN(len(s.replicas))]
	request := f.mirror.NextRequest()
	interest := request.Interest
	if r.isOldVersion {
		interest = nil
	}
	if request.Snapshot {
		s.fetch(f, r, interest)
		return
	}
	if request.Interest != nil {
		narrowed, needsSnapshot := f.mirror.StreamOpened(!r.isOldVersion)
		if narrowed {
			s.narrowings++
		}
		if needsSnapshot {
			s.fetch(f, r, nil)
			return
		}
	}
	f.replica, f.receivesAllKeys, f.sender = r, interest == nil, r.feed.NewSender(interest, request.After)
	for done := false; !done; {
		var batches []Batch
		var err error
		if batches, done, err = f.sender.CatchUp(r.state, 1+s.rng.IntN(8)); err != nil {
			s.compactions++
			f.disconnect()
			if compacted := (*store.CompactedError)(nil); errors.As(err, &compacted) {
				s.fetch(f, r, interest)
			}
			return
		}
		f.enqueue(batches, 0, s.defect)
	}
}

// fetch has a follower replace its copy by a replica's state of an interest; nil means all keys.
func (s *simulation) fetch(f *follower, r *replica, interest *store.Interest) {
	state := r.state
	if interest != nil {
		state = state.Subset(*interest)
	}
	var encoded bytes.Buffer
	if err := state.Save(&encoded); err != nil {
		panic(err)
	}
	snapshot, err := store.LoadSubset(&encoded)
	if err != nil {
		panic(err)
	}
	if f.mirror.Replace(snapshot) == nil {
		s.snapshots++
	}
}

// enqueue appends the lines that a replica sends for changes and progress.
func (f *follower) enqueue(batches []Batch, through uint64, defect Defect) {
	if defect == ProgressEarly && through > 0 {
		f.inFlight = append(f.inFlight, wireLine{through: through})
	}
	for i, batch := range batches {
		line := wireLine{}
		for _, change := range batch.Changes {
			line.events = append(line.events, change.Event)
		}
		if i == len(batches)-1 {
			line.through = through
		}
		f.inFlight = append(f.inFlight, line)
	}
	if len(batches) == 0 && through > 0 {
		f.inFlight = append(f.inFlight, wireLine{through: through})
	}
}

// send has the replica to which a follower is connected send pending changes, and sometimes a heartbeat.
func (s *simulation) send(f *follower) {
	if f.sender == nil {
		return
	}
	heartbeat := s.rng.IntN(3) == 0
	revision := f.replica.state.Revision()
	if heartbeat {
		for position, _ := f.replica.feed.Position(); position < revision; position, _ = f.replica.feed.Position() {
			s.distribute(f.replica)
		}
	}
	batches, through, closed := f.sender.Take(heartbeat || s.rng.IntN(2) == 0)
	if closed {
		f.disconnect()
		return
	}
	f.enqueue(batches, through, s.defect)
	if heartbeat {
		revision, confirmed := f.sender.ConfirmedRevision(revision, true)
		f.inFlight = append(f.inFlight, wireLine{heartbeat: true, revision: revision, confirmed: confirmed})
	}
}

// receive has a follower receive some of the lines in flight. The others are lost if it disconnects.
func (s *simulation) receive(f *follower) error {
	for remaining := s.rng.IntN(6); remaining > 0 && len(f.inFlight) > 0 && f.sender != nil; remaining-- {
		line := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		var err error
		if f.receivesAllKeys {
			for _, event := range line.events {
				err = errors.Join(err, f.mirror.ApplyEvent(event))
			}
		} else {
			err = f.mirror.ApplyRevision(line.events)
			if err == nil && line.through > 0 {
				err = f.mirror.Progress(line.through)
			}
		}
		if err != nil {
			return fmt.Errorf("the follower rejected a replica's line: %w", err)
		}
		if line.heartbeat && line.confirmed && f.mirror.HasRevision(line.revision) {
			s.confirmations++
		} else if line.heartbeat && line.confirmed {
			return fmt.Errorf("a heartbeat confirms revision %d to a follower at revision %d",
				line.revision, f.mirror.State().Revision())
		}
		if err := s.check(f); err != nil {
			return err
		}
	}
	return nil
}

// restart replaces a follower by a new one that restores the saved copy, which it may update first.
func (s *simulation) restart(f *follower) {
	f.disconnect()
	if state := f.mirror.State(); state != nil && s.rng.IntN(2) == 0 {
		var encoded bytes.Buffer
		if err := f.mirror.Retained(f.retained).Save(&encoded); err != nil {
			panic(err)
		}
		f.savedCopy = encoded.Bytes()
	}
	f.mirror, f.highestRevision = NewMirror(s.randomInterest(), s.defect), 0
	if f.savedCopy != nil {
		state, err := store.LoadSubset(bytes.NewReader(f.savedCopy))
		if err != nil {
			panic(err)
		}
		f.mirror.Restore(state)
	}
}

// check compares the copy of a follower with the authority's items at the copy's revision.
func (s *simulation) check(f *follower) error {
	state := f.mirror.State()
	if state == nil {
		return nil
	}
	revision := state.Revision()
	if revision < f.highestRevision {
		return fmt.Errorf("the copy regressed to revision %d after %d", revision, f.highestRevision)
	}
	f.highestRevision = revision
	itemsAt, ok := s.itemsAt[revision]
	if !ok {
		return fmt.Errorf("the copy is at revision %d, which never existed", revision)
	}
	interest := state.Interest()
	for _, key := range allKeys {
		want, wantExists := itemsAt[key]
		var got store.Item
		var exists bool
		_, isHeld := f.mirror.Read(func(state *store.State) { got, exists = state.Get(key) })
		s.reads++
		if isCovered := interest == nil || interest.Covers(key); !isCovered {
			if isHeld {
				return fmt.Errorf("revision %d: key %q is outside the copy's interest, but is read as existing: %v",
					revision, key, exists)
			}
			continue
		}
		sameItem := string(got.Value) == string(want.Value) && got.ModRevision == want.ModRevision &&
			got.Version == want.Version
		if !isHeld || exists != wantExists || !sameItem {
			return fmt.Errorf("revision %d: key %q is %+v (exists %v, held %v), want %+v (exists %v)",
				revision, key, got, exists, isHeld, want, wantExists)
		}
	}
	return nil
}

func (s *simulation) run(steps int) error {
	for range steps {
		f := s.followers[s.rng.IntN(len(s.followers))]
		switch choice := s.rng.IntN(100); {
		case choice < 30:
			s.executeCommand()
		case choice < 55:
			s.catchUp(s.replicas[s.rng.IntN(len(s.replicas))])
		case choice < 70:
			s.send(f)
		case choice < 88:
			if err := s.receive(f); err != nil {
				return err
			}
		case choice < 96:
			s.connect(f)
		case choice < 99:
			if f.mirror.SetInterest(s.randomInterest()) {
				f.disconnect()
			}
		default:
			s.restart(f)
		}
		if err := s.check(f); err != nil {
			return err
		}
	}
	return nil
}
