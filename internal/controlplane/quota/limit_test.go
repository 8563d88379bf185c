package quota

import (
	"fmt"
	"testing"

	"birchmoor/internal/store"

	"pgregory.net/rapid"
)

const sec = int64(1e9)

func rateOf(most float64, span int64) *Limit {
	return &Limit{Name: "r", Generation: 1, Kind: Rate, Unit: Requests, Window: span, Fallback: Strict, Nodes: []Node{{Capacity: Amount(most * float64(AmountUnit)), Weight: 1}}}
}

// What a holder lets through in any time is no more than what its shares give in it and what the largest of them may save, whatever it
// is granted, and a refund never gives more than was taken.
func TestAHolderKeepsToItsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := rateOf(1000, sec/2)
		h := NewConsumer(Rules{MaxClockSkew: 0.1, ReportInterval: 50e6}, NoDefect)
		h.SetConfig(0, &Config{Version: 1, Limits: []*Limit{l}})
		h.SetSession(0, 1, 1<<60)
		now, share, level, revision := int64(0), Amount(0), 0.0, uint64(0)
		var open []*Reservation
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			step := rapid.Int64Range(0, sec/4).Draw(t, "later")
			now += step
			level = min(float64(l.burstOf(share)), level+float64(share)*float64(step)/1e9)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				share = Amount(rapid.IntRange(0, 50).Draw(t, "share")) * AmountUnit
				revision++
				h.ApplyGrant(now, 1, revision, Grant{Quotas: map[string]Quota{l.Key(0): {Amount: share}}})
				level = min(level, float64(l.burstOf(share)))
			case 1:
				if len(open) > 0 {
					h.Cancel(now, open[0])
					h.Cancel(now, open[0]) // once alone
					open = open[1:]
					level = min(float64(l.burstOf(share)), level+float64(AmountUnit))
				}
			default:
				ticket, no := h.Reserve(now, []Charge{{l, 0, AmountUnit}}, 1)
				if (no == nil) != (level >= float64(AmountUnit)-1e-3) && (no == nil || level > float64(AmountUnit)+1e-3) {
					t.Fatalf("at %d with %.3f of share %s: %v", now, level/float64(AmountUnit), FormatAmount(share), no)
				}
				if no == nil {
					level -= float64(AmountUnit)
					open = append(open, ticket)
				} else if no.RetryAfter <= 0 {
					t.Fatal(no)
				}
			}
		}
	})
}

// A window's sum never passes the share in any time of its length, by a clock as slow as may be.
func TestAWindowSlides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Limit{Name: "w", Generation: 1, Kind: Window, Unit: Requests, Window: sec, Fallback: Strict, Nodes: []Node{{Capacity: 100 * AmountUnit, Weight: 1}}}
		h := NewConsumer(Rules{MaxClockSkew: 0.1}, NoDefect)
		h.SetConfig(0, &Config{Version: 1, Limits: []*Limit{l}})
		h.SetSession(0, 1, 1<<60)
		share := rapid.IntRange(1, 20).Draw(t, "share")
		h.ApplyGrant(0, 1, 1, Grant{Quotas: map[string]Quota{l.Key(0): {Amount: Amount(share) * AmountUnit}}})
		now := int64(0)
		var took []int64
		let := 0
		for range 400 {
			now += rapid.Int64Range(0, sec/20).Draw(t, "later")
			if _, no := h.Reserve(now, []Charge{{l, 0, AmountUnit}}, 1); no == nil {
				took = append(took, now)
				let++
			}
			for len(took) > 0 && took[0] <= now-sec {
				took = took[1:]
			}
			if len(took) > share {
				t.Fatalf("%d in a window of %d", len(took), share)
			}
		}
		if most := int64(share) * (now/sec + 1); int64(let) < min(most/3, 100) && let < 100 {
			t.Fatalf("%d of some %d let through", let, most)
		}
	})
}

// fleet is a state with processes and a divider, in the test's hands.
type fleet struct {
	s     *store.State
	index uint64
	conf  *Config
}

func newFleet(l ...*Limit) *fleet {
	f := &fleet{s: store.New(1, store.DefaultLimits), conf: &Config{Version: 1, Limits: l}}
	f.do(&store.Command{RaiseLevel: &store.RaiseLevel{Level: store.Level}})
	return f
}

func (f *fleet) do(c *store.Command) store.Result {
	f.index++
	return f.s.Apply(f.index, c)
}

func (f *fleet) join(host string) Process {
	return Process{host, f.do(&store.Command{GrantLease: &store.GrantLease{TTLMillis: 1000, Owner: host}}).LeaseID}
}

func (f *fleet) need(p Process, seen uint64, of map[string]NodeDemand) {
	f.do(&store.Command{Txn: &store.Txn{Owner: p.Host, Then: []store.Op{{Key: p.DemandKey(), LeaseID: p.Session, Value: Encode(Demand{ConfigVersion: f.conf.Version, SeenRevision: seen, Nodes: of})}}}})
}

func (f *fleet) grant(p Process) (g Grant, at uint64) {
	i, ok := f.s.Get(p.GrantKey())
	if ok {
		g, _ = DecodeGrant(i.Value)
	}
	return g, i.ModRevision
}

func (f *fleet) divider(p Defect) *Allocator {
	d := NewAllocator(Rules{MaxClockSkew: 0.1, ReportInterval: 50e6}, p)
	d.SetConfig(f.conf)
	d.Reset(1, f.s)
	return d
}

func (f *fleet) divide(d *Allocator, now int64) bool {
	d.Reset(now, f.s)
	v := d.Allocate(now)
	return v != nil && f.do(&store.Command{Txn: &store.Txn{If: v.If, Then: v.Then}}).Succeeded
}

// Two who divide by the same copy: one of them changes nothing. Without that a limit is given twice.
func TestDivisionsAreOneOnTheLast(t *testing.T) {
	for _, plant := range []Defect{NoDefect, UncheckedRevision} {
		l := rateOf(10, sec)
		f := newFleet(l)
		a, b := f.join("a"), f.join("b")
		want := map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}}
		f.need(a, 0, want)
		one, two := f.divider(plant), f.divider(plant)
		x := one.Allocate(2)
		f.need(b, 0, want)
		f.do(&store.Command{RevokeLease: &store.RevokeLease{LeaseID: a.Session, Owner: "a"}}) // and its share is given to b by another
		two.Reset(3, f.s)
		f.divide(two, 3)
		f.divide(two, sec)
		late := f.do(&store.Command{Txn: &store.Txn{If: x.If, Then: x.Then}}).Succeeded
		ga, _ := f.grant(a)
		gb, _ := f.grant(b)
		if sum := ga.Quotas[l.Key(0)].Amount + gb.Quotas[l.Key(0)].Amount; (sum > 10*AmountUnit || late) != (plant != NoDefect) {
			t.Errorf("plant %d: a late division held: %v, and %s of 10 are given", plant, late, FormatAmount(sum))
		}
	}
}

// A share made smaller is nobody else's before its process has said that it goes by it, and what it had saved beyond is gone.
func TestSmallerSharesAreSeenFirst(t *testing.T) {
	for _, plant := range []Defect{NoDefect, KeepTokens} {
		l := rateOf(10, sec)
		f := newFleet(l)
		a, b := f.join("a"), f.join("b")
		f.need(a, 0, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		d := f.divider(NoDefect)
		f.divide(d, 1)
		h := NewConsumer(Rules{}, plant)
		h.SetConfig(1, f.conf)
		h.SetSession(1, a.Session, 1<<60)
		take := func(now int64) {
			g, at := f.grant(a)
			h.ApplyGrant(now, a.Session, at, g)
		}
		take(1)
		f.need(a, h.seenRevision, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		f.need(b, 0, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		f.divide(d, 2*sec) // a is to have half
		if g, _ := f.grant(b); g.Quotas[l.Key(0)].Amount > 0 {
			t.Fatalf("given before it was seen: %+v", g)
		}
		take(3 * sec) // a had saved 10
		let := 0
		for ; let < 20; let++ {
			if _, no := h.Reserve(3*sec, []Charge{{l, 0, AmountUnit}}, 1); no != nil {
				break
			}
		}
		if let > 5 != (plant == KeepTokens) {
			t.Errorf("plant %d: %d let through at once by a share of 5", plant, let)
		}
		f.need(a, h.seenRevision, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		f.divide(d, 4*sec)
		if g, _ := f.grant(b); g.Quotas[l.Key(0)].Amount != 5*AmountUnit {
			t.Errorf("what was seen is not given: %+v", g)
		}
	}
}

// 300 sidecars want a little each of a limit of 50 a second: as many as can have a request's worth have one, in turns, and all have had
// one after a while; a quiet fleet's busy one has nearly all, and a guaranteed part is there when it wakes.
func TestDivisionOverManySidecars(t *testing.T) {
	l := rateOf(50, sec)
	f := newFleet(l)
	d := f.divider(NoDefect)
	var all []Process
	for i := range 300 {
		all = append(all, f.join(fmt.Sprint("h", i)))
		f.need(all[i], 0, map[string]NodeDemand{l.Key(0): {Wanted: AmountUnit / 2}})
	}
	had := map[Process]bool{}
	most := Amount(0)
	for now := int64(1); now < 120*sec; now += sec / 2 {
		f.divide(d, now)
		sum := Amount(0)
		d.Reset(now, f.s)
		for _, p := range all {
			g, at := f.grant(p)
			sum += d.committedAmount(d.processes[p], l.Key(0))
			had[p] = had[p] || g.Quotas[l.Key(0)].Amount >= AmountUnit
			f.need(p, at, map[string]NodeDemand{l.Key(0): {Wanted: AmountUnit / 2}})
		}
		if most = max(most, sum); sum > 50*AmountUnit {
			t.Fatalf("%s of 50 are given", FormatAmount(sum))
		}
	}
	if len(had) != 300 || most < 49*AmountUnit {
		t.Errorf("%d of 300 had a share, and %s of 50 were given at most", len(had), FormatAmount(most))
	}
	for _, p := range all[1:] {
		_, at := f.grant(p)
		f.need(p, at, map[string]NodeDemand{l.Key(0): {}})
	}
	for now := 130 * sec; now < 136*sec; now += sec / 4 {
		f.divide(d, now)
		for i, p := range all {
			w := NodeDemand{}
			if i == 0 {
				w.Wanted = 200 * AmountUnit
			}
			_, at := f.grant(p)
			f.need(p, at, map[string]NodeDemand{l.Key(0): w})
		}
	}
	if g, _ := f.grant(all[0]); g.Quotas[l.Key(0)].Amount < 48*AmountUnit {
		t.Errorf("the busy one has %s of 50", FormatAmount(g.Quotas[l.Key(0)].Amount))
	}
}

// Parts: what is promised is there whoever else wants it, the rest goes by weight, what is not wanted is lent, and no part passes its
// most; a limit that changes its meaning is given only once all go by it.
func TestPartsOfALimit(t *testing.T) {
	l := rateOf(100, sec)
	l.PartitionBy = []string{"header:org"}
	l.Nodes = append(l.Nodes, Node{Path: "a", Capacity: 80 * AmountUnit, Guaranteed: 30 * AmountUnit, Weight: 1}, Node{Path: "b", Capacity: 100 * AmountUnit, Weight: 3})
	if err := l.Check(); err != nil {
		t.Fatal(err)
	}
	f := newFleet(l)
	p := f.join("p")
	d := f.divider(NoDefect)
	settle := func(from int64, a, b float64) (Amount, Amount) {
		for now := from * sec; now < (from+8)*sec; now += sec / 4 {
			_, at := f.grant(p)
			f.need(p, at, map[string]NodeDemand{l.Key(1): {Wanted: Amount(a * float64(AmountUnit))}, l.Key(2): {Wanted: Amount(b * float64(AmountUnit))}})
			f.divide(d, now)
		}
		g, _ := f.grant(p)
		return g.Quotas[l.Key(1)].Amount / AmountUnit, g.Quotas[l.Key(2)].Amount / AmountUnit
	}
	for i, x := range []struct {
		a, b                 float64
		least, leastB, mostA Amount
	}{
		{0, 500, 0, 95, 5},     // what a does not want is lent
		{500, 500, 45, 50, 50}, // a has its 30 at once, and a fourth of the rest
		{500, 0, 78, 0, 80},    // and not more than its most
		{10, 500, 9, 85, 14},
	} {
		a, b := settle(int64(i)*10+1, x.a, x.b)
		if a < x.least || b < x.leastB || a > x.mostA || a+b > 100 {
			t.Errorf("of %g and %g wanted %d and %d are given", x.a, x.b, a, b)
		}
	}
	next := *l
	next.Window = 2 * sec
	conf := &Config{Limits: []*Limit{&next}}
	conf.AssignGenerations(f.conf)
	if next.Generation == 1 || conf.Version != 2 {
		t.Fatalf("%+v", conf)
	}
	d.SetConfig(conf)
	want := map[string]NodeDemand{next.Key(2): {Wanted: 50 * AmountUnit}}
	f.need(p, 1<<40, want) // by the old version
	f.divide(d, 100*sec)
	if g, _ := f.grant(p); g.Quotas[next.Key(2)].Amount != 0 {
		t.Error("given while the old one is gone by")
	}
	f.conf = conf
	f.need(p, 1<<40, want)
	f.divide(d, 101*sec)
	if g, _ := f.grant(p); g.Quotas[next.Key(2)].Amount == 0 {
		t.Errorf("not given once the new one is: %+v", g)
	}
}

// Without the store: nothing, a part divided by all, or all for a while.
func TestWithoutTheStore(t *testing.T) {
	for _, x := range []struct {
		mode      FallbackMode
		timeout   int64
		let, late int
	}{{Strict, 0, 0, 0}, {Fair, 0, 5, 5}, {Fair, sec, 5, 0}, {Open, 0, 50, 50}, {Open, sec, 50, 0}} {
		l := rateOf(100, sec)
		l.Fallback, l.FallbackFraction, l.MinProcesses, l.FallbackTimeout = x.mode, 0.5, 10, x.timeout
		h := NewConsumer(Rules{ReportInterval: 50e6}, NoDefect)
		h.SetConfig(0, &Config{Version: 1, Limits: []*Limit{l}})
		h.SetSession(0, 1, sec)
		h.ApplyGrant(0, 1, 1, Grant{Quotas: map[string]Quota{l.Key(0): {Amount: 80 * AmountUnit}}})
		h.Reserve(sec, []Charge{{l, 0, AmountUnit}}, 1) // its session is over: the aside begins
		for _, at := range []struct {
			now  int64
			want int
		}{{2 * sec, x.let}, {5 * sec, x.late}} {
			n := 0
			for ; n < 50; n++ {
				if _, no := h.Reserve(at.now, []Charge{{l, 0, AmountUnit}}, 1); no != nil {
					if !no.StoreUnreachable || no.RetryAfter <= 0 {
						t.Errorf("%+v", no)
					}
					break
				}
			}
			if n != at.want {
				t.Errorf("%s for %d: %d let through at %d, not %d", x.mode, x.timeout, n, at.now, at.want)
			}
		}
	}
}

// Half of ten sidecars are out of reach of the store, and the others have all that it gives: what is let through beyond the limit comes
// near what the formula allows, and does not pass it; all of it is wanted everywhere.
func TestFairComesNearItsBound(t *testing.T) {
	l := rateOf(100, sec)
	l.Fallback, l.FallbackFraction, l.MinProcesses = Fair, 0.5, 10
	f := newFleet(l)
	d := f.divider(NoDefect)
	var all []Process
	holders := map[Process]*Consumer{}
	for i := range 10 {
		p := f.join(fmt.Sprint("h", i))
		h := NewConsumer(Rules{ReportInterval: 50e6}, NoDefect)
		h.SetConfig(0, f.conf)
		h.SetSession(0, p.Session, sec)
		all, holders[p] = append(all, p), h
	}
	let, from := 0, 10*sec
	for now := int64(0); now < 30*sec; now += sec / 50 {
		for i, p := range all {
			h := holders[p]
			if away := i < 5 && now > sec; !away {
				h.SetSession(now, p.Session, now+sec)
				g, at := f.grant(p)
				h.ApplyGrant(now, p.Session, at, g)
				if n, due, _ := h.Demand(now); due {
					h.ReportSent(now, n)
					f.need(p, n.SeenRevision, n.Nodes)
				}
			} else if now == 3*sec {
				f.do(&store.Command{RevokeLease: &store.RevokeLease{LeaseID: p.Session, Owner: p.Host}})
			}
			for {
				if _, no := h.Reserve(now, []Charge{{l, 0, AmountUnit}}, 1); no != nil {
					break
				}
				if now >= from {
					let++
				}
			}
		}
		if now%(sec/4) == 0 {
			f.divide(d, now)
		}
	}
	length := 30*sec - from
	bound, ok := l.UpperBound(0, length, 0, 0, 5)
	base, _ := l.UpperBound(0, length, 0, 0, 0)
	if over := float64(let) - 100*float64(length)/1e9; !ok || float64(let) > bound || over < (bound-base)*2/3 {
		t.Errorf("%d let through, %.0f over; the bound is %.0f, %.0f over", let, over, bound, bound-base)
	} else {
		t.Logf("%d let through in %d s, %.0f over; the bound is %.0f, %.0f over", let, length/sec, over, bound, bound-base)
	}
}

// Who divides next counts what the one before gave.
func TestWhatWasGivenIsTakenOver(t *testing.T) {
	for _, plant := range []Defect{NoDefect, IgnorePredecessor} {
		l := rateOf(10, sec)
		f := newFleet(l)
		a, b := f.join("a"), f.join("b")
		f.need(a, 0, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		f.divide(f.divider(NoDefect), 1)
		_, at := f.grant(a)
		f.need(a, at, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		f.need(b, 0, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		f.divide(f.divider(plant), sec)
		// a goes by its 10 until it has seen less.
		if g, _ := f.grant(b); (g.Quotas[l.Key(0)].Amount > 0) != (plant != NoDefect) {
			t.Errorf("plant %d: %s of 10 are given again", plant, FormatAmount(g.Quotas[l.Key(0)].Amount))
		}
	}
}

// A share that cannot be read may count for anything: nothing is divided until it is gone, and why is said.
func TestWhatCannotBeReadIsNotGivenAgain(t *testing.T) {
	l := rateOf(10, sec)
	f := newFleet(l)
	a, b := f.join("a"), f.join("b")
	f.need(b, 0, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
	f.do(&store.Command{Txn: &store.Txn{Then: []store.Op{{Key: a.GrantKey(), Value: []byte("newer")}}}})
	d := f.divider(NoDefect)
	if f.divide(d, 1) || d.Fault() == "" {
		t.Errorf("divided beside a share that cannot be read: %q", d.Fault())
	}
	f.do(&store.Command{Txn: &store.Txn{Then: []store.Op{{Key: a.GrantKey(), Delete: true}}}})
	if !f.divide(d, 2*sec) || d.Fault() != "" {
		t.Errorf("not divided once it is gone: %q", d.Fault())
	}
}
