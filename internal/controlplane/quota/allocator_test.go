package quota

import (
	"fmt"
	"testing"

	"birchmoor/internal/store"
)

// fleet is a store whose processes share the limits of config. Each process is a lease of the store.
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

// report writes a process's demand, which acknowledges the grant of the given revision.
func (f *fleet) report(p Process, seenRevision uint64, nodes map[string]NodeDemand) {
	demand := Demand{ConfigVersion: f.config.Version, SeenRevision: seenRevision, Nodes: nodes}
	op := store.Op{Key: p.DemandKey(), LeaseID: p.Session, Value: Encode(demand)}
	f.apply(&store.Command{Txn: &store.Txn{Owner: p.Host, Then: []store.Op{op}}})
}

// grant returns a process's grant and its revision, which are zero if there is none.
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

// allocate applies an allocation that is based on the newest state, and reports whether it changed something.
func (f *fleet) allocate(a *Allocator, now int64) bool {
	a.Reset(now, f.state)
	allocation := a.Allocate(now)
	if allocation == nil {
		return false
	}
	return f.apply(&store.Command{Txn: &store.Txn{If: allocation.If, Then: allocation.Then}}).Succeeded
}

// An allocation changes nothing if another allocator's allocation was applied since the copy of the store that it is
// based on. The limit would be granted twice otherwise.
func TestAllocationIsConditionalOnPrevious(t *testing.T) {
	for _, defect := range []Defect{NoDefect, UncheckedRevision} {
		l := newRateLimit(10, sec)
		f := newFleet(l)
		a, b := f.join("a"), f.join("b")
		demand := map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}}
		f.report(a, 0, demand)
		outdated, current := f.newAllocator(defect), f.newAllocator(defect)
		allocation := outdated.Allocate(2)
		f.report(b, 0, demand)
		f.apply(&store.Command{RevokeLease: &store.RevokeLease{LeaseID: a.Session, Owner: "a"}})
		current.Reset(3, f.state)
		f.allocate(current, 3) // this allocation and the next grant b the quota of a
		f.allocate(current, sec)
		applied := f.apply(&store.Command{Txn: &store.Txn{If: allocation.If, Then: allocation.Then}}).Succeeded
		grantA, _ := f.grant(a)
		grantB, _ := f.grant(b)
		sum := grantA.Quotas[l.Key(0)].Amount + grantB.Quotas[l.Key(0)].Amount
		if exceeded := sum > 10*AmountUnit || applied; exceeded != (defect != NoDefect) {
			t.Errorf("defect %d: outdated allocation applied: %v; granted %s in total, the limit is 10",
				defect, applied, FormatAmount(sum))
		}
	}
}

// The amount by which a quota is reduced is granted to others only once the process has acknowledged the reduction, and
// the process drops the tokens that exceed the reduced quota.
func TestReducedQuotaIsFreeOnceAcknowledged(t *testing.T) {
	for _, defect := range []Defect{NoDefect, KeepTokens} {
		l := newRateLimit(10, sec)
		f := newFleet(l)
		a, b := f.join("a"), f.join("b")
		f.report(a, 0, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		allocator := f.newAllocator(NoDefect)
		f.allocate(allocator, 1)
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
		f.allocate(allocator, 2*sec) // halves the quota of a
		if g, _ := f.grant(b); g.Quotas[l.Key(0)].Amount > 0 {
			t.Fatalf("b was granted %+v before a acknowledged its reduction", g)
		}
		applyGrant(3 * sec) // a had saved 10 tokens
		admitted := admitUpTo(20, c, 3*sec, l)
		if admitted > 5 != (defect == KeepTokens) {
			t.Errorf("defect %d: a quota of 5 admitted %d requests at once", defect, admitted)
		}
		f.report(a, c.seenRevision, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
		f.allocate(allocator, 4*sec)
		if g, _ := f.grant(b); g.Quotas[l.Key(0)].Amount != 5*AmountUnit {
			t.Errorf("after a acknowledged its reduction, b was granted %+v, want a quota of 5", g)
		}
	}
}

// 300 processes each want less than one request of a limit of 50 per second. Up to 50 of them have a quota that admits
// requests, they take turns, and within two minutes each has had one. Once all but one are idle, that one has nearly
// the whole limit.
func TestAllocationAmongManyProcesses(t *testing.T) {
	l := newRateLimit(50, sec)
	f := newFleet(l)
	allocator := f.newAllocator(NoDefect)
	var processes []Process
	for i := range 300 {
		p := f.join(fmt.Sprint("h", i))
		processes = append(processes, p)
		f.report(p, 0, map[string]NodeDemand{l.Key(0): {Wanted: AmountUnit / 2}})
	}
	served := map[Process]bool{}
	maxSum := Amount(0)
	for now := int64(1); now < 120*sec; now += sec / 2 {
		f.allocate(allocator, now)
		sum := Amount(0)
		allocator.Reset(now, f.state)
		for _, p := range processes {
			g, revision := f.grant(p)
			sum += allocator.committedAmount(allocator.processes[p], l.Key(0))
			served[p] = served[p] || g.Quotas[l.Key(0)].Amount >= AmountUnit
			f.report(p, revision, map[string]NodeDemand{l.Key(0): {Wanted: AmountUnit / 2}})
		}
		maxSum = max(maxSum, sum)
		if sum > 50*AmountUnit {
			t.Fatalf("%s committed, the limit is 50", FormatAmount(sum))
		}
	}
	if len(served) != 300 || maxSum < 49*AmountUnit {
		t.Errorf("%d processes had a useful quota, want 300; at most %s committed, want nearly 50",
			len(served), FormatAmount(maxSum))
	}
	for _, p := range processes[1:] {
		_, revision := f.grant(p)
		f.report(p, revision, map[string]NodeDemand{l.Key(0): {}})
	}
	for now := 130 * sec; now < 136*sec; now += sec / 4 {
		f.allocate(allocator, now)
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
		t.Errorf("the only busy process has a quota of %s, want nearly 50", FormatAmount(g.Quotas[l.Key(0)].Amount))
	}
}

// A part has its guarantee whatever other parts want, the rest is divided by weight, an unwanted amount is lent, and no
// part exceeds its capacity. Quotas of a new generation are granted only once all processes enforce it.
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
	allocator := f.newAllocator(NoDefect)
	allocateFor8s := func(from int64, a, b float64) (Amount, Amount) {
		for now := from * sec; now < (from+8)*sec; now += sec / 4 {
			_, revision := f.grant(p)
			f.report(p, revision, map[string]NodeDemand{
				l.Key(1): {Wanted: Amount(a * float64(AmountUnit))},
				l.Key(2): {Wanted: Amount(b * float64(AmountUnit))},
			})
			f.allocate(allocator, now)
		}
		g, _ := f.grant(p)
		return g.Quotas[l.Key(1)].Amount / AmountUnit, g.Quotas[l.Key(2)].Amount / AmountUnit
	}
	for i, test := range []struct {
		wantedA, wantedB float64
		minA, minB, maxA Amount
	}{
		{0, 500, 0, 95, 5},     // b borrows what a does not want
		{500, 500, 45, 50, 50}, // a has its guarantee of 30, and a fourth of the rest
		{500, 0, 78, 0, 80},    // a has no more than its capacity
		{10, 500, 9, 85, 14},
	} {
		a, b := allocateFor8s(int64(i)*10+1, test.wantedA, test.wantedB)
		if a < test.minA || b < test.minB || a > test.maxA || a+b > 100 {
			t.Errorf("parts a and b, which want %g and %g, are granted %d and %d", test.wantedA, test.wantedB, a, b)
		}
	}
	next := *l
	next.Window = 2 * sec
	config := &Config{Limits: []*Limit{&next}}
	config.AssignGenerations(f.config)
	if next.Generation == 1 || config.Version != 2 {
		t.Fatalf("after a change of the window the config is %+v, want version 2 and a new generation", config)
	}
	allocator.SetConfig(config)
	demand := map[string]NodeDemand{next.Key(2): {Wanted: 50 * AmountUnit}}
	f.report(p, 1<<40, demand) // p still enforces the previous version
	f.allocate(allocator, 100*sec)
	if g, _ := f.grant(p); g.Quotas[next.Key(2)].Amount != 0 {
		t.Error("a quota of the new generation is granted while p enforces the previous generation")
	}
	f.config = config
	f.report(p, 1<<40, demand)
	f.allocate(allocator, 101*sec)
	if g, _ := f.grant(p); g.Quotas[next.Key(2)].Amount == 0 {
		t.Errorf("p enforces the new generation, but is granted no quota of it: %+v", g)
	}
}

// While half of ten processes cannot reach the store and the others have the whole limit, what all admit beyond the
// limit comes near UpperBound and does not exceed it.
func TestFairFallbackComesNearUpperBound(t *testing.T) { testFairFallback(t, 10) }

// Guards against an UpperBound below what processes may spend: it assumed that all unreachable processes share one
// fallback amount, while each spends the fallback amount divided by the configured MinProcesses.
func TestFairFallbackStaysWithinUpperBoundOfFewerProcesses(t *testing.T) { testFairFallback(t, 2) }

// testFairFallback cuts five of ten processes off from the store, under a limit with the given MinProcesses.
func testFairFallback(t *testing.T, minProcesses int) {
	t.Helper()
	l := newRateLimit(100, sec)
	l.Fallback, l.FallbackFraction, l.MinProcesses = Fair, 0.5, minProcesses
	f := newFleet(l)
	allocator := f.newAllocator(NoDefect)
	var processes []Process
	consumers := map[Process]*Consumer{}
	for i := range 10 {
		p := f.join(fmt.Sprint("h", i))
		c := NewConsumer(Rules{ReportInterval: 50e6}, NoDefect)
		c.SetConfig(0, f.config)
		c.SetSession(0, p.Session, sec)
		processes, consumers[p] = append(processes, p), c
	}
	admitted, countedFrom := 0, 10*sec
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
				if now >= countedFrom {
					admitted++
				}
			}
		}
		if now%(sec/4) == 0 {
			f.allocate(allocator, now)
		}
	}
	length := 30*sec - countedFrom
	bound, ok := l.UpperBound(0, length, 0, 0, 5)
	boundWithoutFallback, _ := l.UpperBound(0, length, 0, 0, 0)
	overshoot := float64(admitted) - 100*float64(length)/1e9
	t.Logf("admitted %d in %d s, %.0f beyond the limit; the bound is %.0f, %.0f beyond that without a fallback",
		admitted, length/sec, overshoot, bound, bound-boundWithoutFallback)
	if !ok || float64(admitted) > bound || overshoot < (bound-boundWithoutFallback)*2/3 {
		t.Error("admitted more than the bound, or less than two thirds of the way to it from the limit")
	}
}

// A new allocator counts the grants of the previous one.
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
		// The quota of 10 that a has counts until a acknowledges a smaller one.
		g, _ := f.grant(b)
		if amount := g.Quotas[l.Key(0)].Amount; (amount > 0) != (defect != NoDefect) {
			t.Errorf("defect %d: %s granted to b while the whole limit of 10 is committed to a",
				defect, FormatAmount(amount))
		}
	}
}

// A grant that cannot be decoded may count for any amount. Nothing is allocated until it is deleted, and Fault says
// why.
func TestUndecodableGrantStopsAllocation(t *testing.T) {
	l := newRateLimit(10, sec)
	f := newFleet(l)
	a, b := f.join("a"), f.join("b")
	f.report(b, 0, map[string]NodeDemand{l.Key(0): {Wanted: 100 * AmountUnit}})
	f.apply(&store.Command{Txn: &store.Txn{Then: []store.Op{{Key: a.GrantKey(), Value: []byte("newer")}}}})
	allocator := f.newAllocator(NoDefect)
	if f.allocate(allocator, 1) || allocator.Fault() == "" {
		t.Errorf("allocated despite a grant that cannot be decoded, or without a fault; the fault is %q",
			allocator.Fault())
	}
	f.apply(&store.Command{Txn: &store.Txn{Then: []store.Op{{Key: a.GrantKey(), Delete: true}}}})
	if !f.allocate(allocator, 2*sec) || allocator.Fault() != "" {
		t.Errorf("after the undecodable grant was deleted: not allocated, or with a fault; the fault is %q",
			allocator.Fault())
	}
}
