package serverstate

import (
	"errors"
	"flag"
	"testing"

	"birchmoor/internal/store"

	"pgregory.net/rapid"
)

func init() {
	flag.Set("rapid.seed", "20261201") // the same verdict every time; the command line goes before it
}

var limits = store.DefaultLimits

// daemon is a guard and how far it has read the one log.
type daemon struct {
	g     *Guard
	state *store.State
	read  int
	own   int // entry of its last word that is not agreed on here yet, by place in the log; -1 none, -2 not in the log
}

// What is said of one server, by three daemons that read one log at their own pace, binds where it was heard until a
// change that came after it in the log lets it return; and it never binds for ever.
func TestGuardExcludesAtOnceAndReadmitsByLogOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			c  store.Command
			by *daemon
		}
		var log []entry
		var all []*daemon
		for _, name := range []string{"a", "b", "c"} {
			all = append(all, &daemon{g: NewGuard(name), state: store.New(1, limits), own: -1})
		}
		read := func(d *daemon) {
			if d.read == len(log) {
				return
			}
			e := log[d.read]
			var events []store.Event
			d.state.OnEvent(func(x store.Event) { events = append(events, x) })
			d.read++
			d.state.Apply(uint64(d.read), &e.c)
			for _, x := range events {
				d.g.Apply(x)
			}
			if e.by == d && len(e.c.Txn.If) == 0 {
				d.g.ProposalDone(ExclusionKey(Drain, "s"), true)
				if d.own == d.read-1 {
					d.own = -1
				}
			}
		}
		write := func(d *daemon, op store.Op) {
			d.own = len(log)
			log = append(log, entry{store.Command{Txn: &store.Txn{Then: []store.Op{op}}}, d})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			d := rapid.SampledFrom(all).Draw(t, "daemon")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				op, err := d.g.Observe(Drain, "s")
				if err != nil {
					t.Fatal(err)
				}
				if op == nil || rapid.Bool().Draw(t, "lost") {
					if d.own = -2; op != nil {
						d.g.ProposalDone(op.Key, false)
					}
				} else {
					write(d, *op)
				}
			case 1:
				if x, err := d.g.Readmit(Drain, "s"); err == nil {
					log = append(log, entry{store.Command{Txn: x}, d})
				}
			case 2:
				for _, op := range d.g.TakeRetries() {
					write(d, op)
				}
			default:
				read(d)
			}
			_, agreed := d.state.Get(ExclusionKey(Drain, "s"))
			if (d.own != -1 || agreed) && !d.g.Excluded("s") {
				t.Fatalf("it serves: own word at %d, agreed %v", d.own, agreed)
			}
		}
		for range 4 { // all is written and read, and it returns
			for _, d := range all {
				for _, op := range d.g.TakeRetries() {
					write(d, op)
				}
				for d.read < len(log) {
					read(d)
				}
			}
		}
		if x, err := all[0].g.Readmit(Drain, "s"); err == nil {
			log = append(log, entry{store.Command{Txn: x}, all[0]})
		}
		for _, d := range all {
			for d.read < len(log) {
				read(d)
			}
			if d.g.Excluded("s") {
				t.Fatalf("out for ever: %+v", d.g.exclusions)
			}
		}
	})
}

func TestGuardRejectsOlderState(t *testing.T) {
	s := store.New(1, limits)
	old := s.Clone()
	s.Apply(1, &store.Command{Txn: &store.Txn{Then: []store.Op{{Key: ExclusionKey(AdminDrain, "s"), Value: []byte{0xa0}}}}})
	g := NewGuard("a")
	if err := g.Reset(s); err != nil || !g.Excluded("s") {
		t.Fatal(err)
	}
	if err := g.Reset(old); !errors.Is(err, ErrRevisionRegressed) || !g.Excluded("s") {
		t.Fatal(err)
	}
	if _, err := g.Observe("other", "s"); !errors.Is(err, ErrInvalidServerName) {
		t.Fatal(err)
	}
}

func TestGuardExcludesByUncommittedLogTail(t *testing.T) {
	g := NewGuard("a")
	g.Uncommitted(&store.Command{Txn: &store.Txn{Then: []store.Op{{Key: ExclusionKey(Drain, "s")}, {Key: ExclusionKey(Drain, "x"), Delete: true}}}})
	g.Uncommitted(&store.Command{Txn: &store.Txn{Then: []store.Op{{Key: ExclusionKey(Drain, "again")}}}})
	if owed := g.TakeRetries(); !g.Excluded("s") || g.Excluded("x") || len(owed) != 0 {
		t.Fatal(owed, g.Exclusions())
	}
	// On the way to the log's end the copy shows an older word of one, and its end: the later one may be yet to come.
	item := store.Item{Key: ExclusionKey(Drain, "again")}
	for i, gone := range []bool{false, true} {
		if g.Apply(store.Event{Revision: uint64(i + 1), Deleted: gone, Item: item}); !g.Excluded("again") {
			t.Fatalf("change %d lets it serve", i+1)
		}
	}
	// At the end, what the store has spoken of counts as it says; of the other it says nothing, and is told.
	if over := g.CaughtUp(); len(over) != 1 || over[0] != item.Key || g.Excluded("again") || !g.Excluded("s") {
		t.Fatal(over, g.Exclusions())
	}
	if owed := g.TakeRetries(); len(owed) != 1 || owed[0].Key != ExclusionKey(Drain, "s") {
		t.Fatal(owed)
	}
}
