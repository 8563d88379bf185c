package quota

import (
	"fmt"
	"testing"

	"birchmoor/internal/store"
)

// fleet is a store with processes that share limits.
type fleet struct {
	state  *store.State
	index  uint64
	config *Config
}

func newFleet(limits ...*Limit) *fleet {
	f := &fleet{state: store.New(1, store.DefaultLimits), config: &Config{Version: 1, Limits: limits}}
	f.apply(&store.Command{RaiseLevel: &store.RaiseLevel{Level: store.Level}})
	return f
}

func (f *fleet) apply(c *store.Command) store.Result {
	f.index++
	return f.state.Apply(f.index, c)
}

func (f *fleet) join(host string) Process {
	return Process{host, f.apply(&store.Command{GrantLease: &store.GrantLease{TTLMillis: 1000, Owner: host}}).LeaseID}
}

// report writes a process's demand.
func (f *fleet) report(p Process, seenRevision uint64, nodes map[string]NodeDemand) {
	demand := Demand{ConfigVersion: f.config.Version, SeenRevision: seenRevision, Nodes: nodes}
	op := store.Op{Key: p.DemandKey(), LeaseID: p.Session, Value: Encode(demand)}
	f.apply(&store.Command{Txn: &store.Txn{Owner: p.Host, Then: []store.Op{op}}})
}

// grant returns a process's grant and its revision.
func (f *fleet) grant(p Process) (g Grant, revision uint64) {
	item, ok := f.state.Get(p.GrantKey())
	if ok {
		g, _ = DecodeGrant(item.Value)
	}
	return g, item.ModRevision
}

func (f *fleet) newAllocator(defect Defect) *Allocator {
	a := NewAllocator(Rules{MaxClockSkew: 0.1, ReportInterval: 50e6}, defect)
	a.SetConfig(f.config)
	a.Reset(1, f.state)
	return a
}

// allocate reports whether the allocator changed something.
func (f *fleet) allocate(a *Allocator, now int64) bool {
	a.Reset(now, f.state)
	allocation := a.Allocate(now)
	if allocation == nil {
		return false
	}
	return f.apply(&store.Command{Txn: &store.Txn{If: allocation.If, Then: allocation.Then}}).Succeeded
}

// Of two allocators with the same copy one changes nothing. Without that a limit is granted twice.
func TestAllocationIsConditionalOnPrevious(t *testing.T) {
	for _, defect := range []Defect{NoDefect, UncheckedRevision} {
		l := newRateLimit(10, sec)
		f := newFleet(l)
		a, b := f.join("a"), f.join("b")
		want := map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}}
		f.report(a, 0, want)
		outdated, current := f.newAllocator(defect), f.newAllocator(defect)
		allocation := outdated.Allocate(2)
		f.report(b, 0, want)
		f.apply(&store.Command{RevokeLease: &store.RevokeLease{LeaseID: a.Session, Owner: "a"}})
		current.Reset(3, f.state)
		f.allocate(current, 3) // grants b what a had
		f.allocate(current, sec)
		held := f.apply(&store.Command{Txn: &store.Txn{If: allocation.If, Then: allocation.Then}}).Succeeded
		grantA, _ := f.grant(a)
		grantB, _ := f.grant(b)
		sum := grantA.Quotas[l.Key(0)].Amount + grantB.Quotas[l.Key(0)].Amount
		if exceeded := sum > 10*AmountUnit || held; exceeded != (defect != NoDefect) {
			t.Errorf("defect %d: the outdated allocation held: %v, and %s of 10 are granted",
				defect, held, FormatAmount(sum))
		}
	}
}

// What a quota is reduced by is free only once its process has acknowledged that, and the tokens beyond it are gone.
func TestReducedQuotaIsFreeOnceAcknowledged(t *testing.T) {
	for _, defect := range []Defect{NoDefect, KeepTokens} {
		l := newRateLimit(10, sec)
		f := newFleet(l)
		a, b := f.join("a"), f.join("b")
		f.report(a, 0, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		d := f.newAllocator(NoDefect)
		f.allocate(d, 1)
		c := NewConsumer(Rules{}, defect)
		c.SetConfig(1, f.config)
		c.SetSession(1, a.Session, 1<<60)
		applyGrant := func(now int64) {
			g, revision := f.grant(a)
			c.ApplyGrant(now, a.Session, revision, g)
		}
		applyGrant(1)
		f.report(a, c.seenRevision, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		f.report(b, 0, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		f.allocate(d, 2*sec) // reduces a to half
		if g, _ := f.grant(b); g.Quotas[l.Key(0)].Amount > 0 {
			t.Fatalf("granted before the reduction was acknowledged: %+v", g)
		}
		applyGrant(3 * sec) // a had saved 10
		admitted := admitUpTo(20, c, 3*sec, l)
		if admitted > 5 != (defect == KeepTokens) {
			t.Errorf("defect %d: %d admitted at once by a quota of 5", defect, admitted)
		}
		f.report(a, c.seenRevision, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		f.allocate(d, 4*sec)
		if g, _ := f.grant(b); g.Quotas[l.Key(0)].Amount != 5*AmountUnit {
			t.Errorf("what is free is not granted: %+v", g)
		}
	}
}

// Of 300 processes that want a little of a limit of 50 a second, as many as can have a useful quota have one, in
// turns, and all have had one after a while. If all but one are idle, that one has nearly all.
func TestAllocationAmongManyProcesses(t *testing.T) {
	l := newRateLimit(50, sec)
	f := newFleet(l)
	d := f.newAllocator(NoDefect)
	var processes []Process
	for i := range 300 {
		p := f.join(fmt.Sprint("h", i))
		processes = append(processes, p)
		f.report(p, 0, map[string]NodeDemand{l.Key(0): {Wanted: AmountUnit / 2}})
	}
	served := map[Process]bool{}
	maxSum := Amount(0)
	for now := int64(1); now < 120*sec; now += sec / 2 {
		f.allocate(d, now)
		sum := Amount(0)
		d.Reset(now, f.state)
		for _, p := range processes {
			g, revision := f.grant(p)
			sum += d.committedAmount(d.processes[p], l.Key(0))
			served[p] = served[p] || g.Quotas[l.Key(0)].Amount >= AmountUnit
			f.report(p, revision, map[string]NodeDemand{l.Key(0): {Wanted: AmountUnit / 2}})
		}
		maxSum = max(maxSum, sum)
		if sum > 50*AmountUnit {
			t.Fatalf("%s of 50 are committed", FormatAmount(sum))
		}
	}
	if len(served) != 300 || maxSum < 49*AmountUnit {
		t.Errorf("%d of 300 had a quota, and %s of 50 were committed at most", len(served), FormatAmount(maxSum))
	}
	for _, p := range processes[1:] {
		_, revision := f.grant(p)
		f.report(p, revision, map[string]NodeDemand{l.Key(0): {}})
	}
	for now := 130 * sec; now < 136*sec; now += sec / 4 {
		f.allocate(d, now)
		for i, p := range processes {
			demand := NodeDemand{}
			if i == 0 {
				demand.Wanted = 200 * AmountUnit
			}
			_, revision := f.grant(p)
			f.report(p, revision, map[string]NodeDemand{l.Key(0): demand})
		}
	}
	if g, _ := f.grant(processes[0]); g.Quotas[l.Key(0)].Amount < 48*AmountUnit {
		t.Errorf("the busy process has %s of 50", FormatAmount(g.Quotas[l.Key(0)].Amount))
	}
}

// A part has its guarantee whoever else wants it, the rest goes by weight, what is not wanted is lent, and no part
// exceeds its capacity. A limit of a new generation is granted only once all processes enforce it.
func TestPartsGetGuaranteesWeightsAndLoans(t *testing.T) {
	l := newRateLimit(100, sec)
	l.PartitionBy = []string{"header:org"}
	l.Nodes = append(l.Nodes,
		Node{Path: "a", Capacity: 80 * AmountUnit, Guaranteed: 30 * AmountUnit, Weight: 1},
		Node{Path: "b", Capacity: 100 * AmountUnit, Weight: 3})
	if err := l.Check(); err != nil {
		t.Fatal(err)
	}
	f := newFleet(l)
	p := f.join("p")
	d := f.newAllocator(NoDefect)
	settle := func(from int64, a, b float64) (Amount, Amount) {
		for now := from * sec; now < (from+8)*sec; now += sec / 4 {
			_, revision := f.grant(p)
			f.report(p, revision, map[string]NodeDemand{
				l.Key(1): {Wanted: Amount(a * float64(AmountUnit))},
				l.Key(2): {Wanted: Amount(b * float64(AmountUnit))},
			})
			f.allocate(d, now)
		}
		g, _ := f.grant(p)
		return g.Quotas[l.Key(1)].Amount / AmountUnit, g.Quotas[l.Key(2)].Amount / AmountUnit
	}
	for i, test := range []struct {
		wantedA, wantedB float64
		minA, minB, maxA Amount
	}{
		{0, 500, 0, 95, 5},     // what a does not want is lent to b
		{500, 500, 45, 50, 50}, // a has its guarantee of 30, and a fourth of the rest
		{500, 0, 78, 0, 80},    // and not more than its capacity
		{10, 500, 9, 85, 14},
	} {
		a, b := settle(int64(i)*10+1, test.wantedA, test.wantedB)
		if a < test.minA || b < test.minB || a > test.maxA || a+b > 100 {
			t.Errorf("of %g and %g wanted %d and %d are granted", test.wantedA, test.wantedB, a, b)
		}
	}
	next := *l
	next.Window = 2 * sec
	config := &Config{Limits: []*Limit{&next}}
	config.AssignGenerations(f.config)
	if next.Generation == 1 || config.Version != 2 {
		t.Fatalf("%+v", config)
	}
	d.SetConfig(config)
	want := map[string]NodeDemand{next.Key(2): {Wanted: 50 * AmountUnit}}
	f.report(p, 1<<40, want) // by the previous version
	f.allocate(d, 100*sec)
	if g, _ := f.grant(p); g.Quotas[next.Key(2)].Amount != 0 {
		t.Error("granted while the previous generation is enforced")
	}
	f.config = config
	f.report(p, 1<<40, want)
	f.allocate(d, 101*sec)
	if g, _ := f.grant(p); g.Quotas[next.Key(2)].Amount == 0 {
		t.Errorf("not granted once the new generation is enforced: %+v", g)
	}
}

// While half of ten processes cannot reach the store and the others have all of the limit, what is admitted beyond
// it comes near the upper bound, and does not exceed it.
func TestFairFallbackComesNearUpperBound(t *testing.T) { testFairFallback(t, 10) }

// Guards against an upper bound below what may be spent: it assumed that as many processes as are cut off share the
// fallback, while each spends its part of the configured number.
func TestFairFallbackStaysWithinUpperBoundOfFewerProcesses(t *testing.T) { testFairFallback(t, 2) }

// testFairFallback plays half of ten processes cut off, by a limit that is configured for a number of processes.
func testFairFallback(t *testing.T, minProcesses int) {
	t.Helper()
	l := newRateLimit(100, sec)
	l.Fallback, l.FallbackFraction, l.MinProcesses = Fair, 0.5, minProcesses
	f := newFleet(l)
	d := f.newAllocator(NoDefect)
	var processes []Process
	consumers := map[Process]*Consumer{}
	for i := range 10 {
		p := f.join(fmt.Sprint("h", i))
		c := NewConsumer(Rules{ReportInterval: 50e6}, NoDefect)
		c.SetConfig(0, f.config)
		c.SetSession(0, p.Session, sec)
		processes, consumers[p] = append(processes, p), c
	}
	admitted, from := 0, 10*sec
	for now := int64(0); now < 30*sec; now += sec / 50 {
		for i, p := range processes {
			c := consumers[p]
			if unreachable := i < 5 && now > sec; !unreachable {
				c.SetSession(now, p.Session, now+sec)
				g, revision := f.grant(p)
				c.ApplyGrant(now, p.Session, revision, g)
				if demand, due, _ := c.Demand(now); due {
					c.ReportSent(now, demand)
					f.report(p, demand.SeenRevision, demand.Nodes)
				}
			} else if now == 3*sec {
				f.apply(&store.Command{RevokeLease: &store.RevokeLease{LeaseID: p.Session, Owner: p.Host}})
			}
			for {
				if _, rejection := reserveOne(c, now, l); rejection != nil {
					break
				}
				if now >= from {
					admitted++
				}
			}
		}
		if now%(sec/4) == 0 {
			f.allocate(d, now)
		}
	}
	length := 30*sec - from
	bound, ok := l.UpperBound(0, length, 0, 0, 5)
	base, _ := l.UpperBound(0, length, 0, 0, 0)
	overshoot := float64(admitted) - 100*float64(length)/1e9
	t.Logf("%d admitted in %d s, %.0f over; the bound is %.0f, %.0f over",
		admitted, length/sec, overshoot, bound, bound-base)
	if !ok || float64(admitted) > bound || overshoot < (bound-base)*2/3 {
		t.Error("not near the bound, or over it")
	}
}

// A new allocator counts what the one before it granted.
func TestNewAllocatorCountsPreviousGrants(t *testing.T) {
	for _, defect := range []Defect{NoDefect, IgnorePredecessor} {
		l := newRateLimit(10, sec)
		f := newFleet(l)
		a, b := f.join("a"), f.join("b")
		f.report(a, 0, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		f.allocate(f.newAllocator(NoDefect), 1)
		_, revision := f.grant(a)
		f.report(a, revision, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		f.report(b, 0, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		f.allocate(f.newAllocator(defect), sec)
		// The 10 of a count until it has acknowledged less.
		g, _ := f.grant(b)
		if amount := g.Quotas[l.Key(0)].Amount; (amount > 0) != (defect != NoDefect) {
			t.Errorf("defect %d: %s of 10 are granted again", defect, FormatAmount(amount))
		}
	}
}

// A grant that cannot be decoded may count for any amount: nothing is allocated until it is gone, and Fault says why.
func TestUndecodableGrantStopsAllocation(t *testing.T) {
	l := newRateLimit(10, sec)
	f := newFleet(l)
	a, b := f.join("a"), f.join("b")
	f.report(b, 0, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
	f.apply(&store.Command{Txn: &store.Txn{Then: []store.Op{{Key: a.GrantKey(), Value: []byte("newer")}}}})
	d := f.newAllocator(NoDefect)
	if f.allocate(d, 1) || d.Fault() == "" {
		t.Errorf("allocated beside a grant that cannot be decoded: %q", d.Fault())
	}
	f.apply(&store.Command{Txn: &store.Txn{Then: []store.Op{{Key: a.GrantKey(), Delete: true}}}})
	if !f.allocate(d, 2*sec) || d.Fault() != "" {
		t.Errorf("not allocated once it is gone: %q", d.Fault())
	}
}
