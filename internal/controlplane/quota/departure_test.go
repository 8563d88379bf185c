package quota

import (
	"testing"
	"time"

	"birchmoor/internal/store"
)

const (
	testSkew         = 0.1 // of newFleet's allocators
	allocateInterval = int64(100 * time.Millisecond)
	departedAt       = 10 * sec
)

// followingAllocator is an allocator that follows the store by events, as a daemon's does.
type followingAllocator struct {
	*Allocator
	fleet    *fleet
	revision uint64 // up to which it has followed
}

func (f *fleet) follow(now int64) *followingAllocator {
	a := NewAllocator(Rules{MaxClockSkew: testSkew, ReportInterval: 50e6}, NoDefect)
	a.SetConfig(f.config)
	following := &followingAllocator{Allocator: a, fleet: f}
	following.reset(now)
	return following
}

// reset replaces the copy, as after a gap in the stream of changes.
func (a *followingAllocator) reset(now int64) {
	a.Reset(now, a.fleet.state)
	a.revision = a.fleet.state.Revision()
}

// allocate follows the store, and writes the allocation that is due.
func (a *followingAllocator) allocate(t *testing.T, now int64) {
	t.Helper()
	a.catchUp(t, now)
	if allocation := a.Allocate(now); allocation != nil {
		a.fleet.apply(&store.Command{Txn: &store.Txn{If: allocation.If, Then: allocation.Then}})
	}
	a.catchUp(t, now)
}

func (a *followingAllocator) catchUp(t *testing.T, now int64) {
	t.Helper()
	events, _, err := a.fleet.state.Changes(nil, "", a.revision, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range events {
		a.Event(now, e)
	}
	a.revision = a.fleet.state.Revision()
}

// departure is a fleet in which one process has all of its limits, has gone, and another wants them.
type departure struct {
	*fleet
	successor Process
}

// depart plays a process that had all of the limits and whose session ends. The session ends at departedAt.
func depart(t *testing.T, limits ...*Limit) (*departure, *followingAllocator) {
	t.Helper()
	d := &departure{fleet: newFleet(limits...)}
	a := d.follow(sec)
	gone := d.join("gone")
	d.successor = d.join("successor")
	demand := map[string]NodeDemand{}
	for _, l := range limits {
		demand[l.Key(0)] = NodeDemand{Wanted: 10 * l.Nodes[0].Capacity}
	}
	d.report(gone, 0, demand)
	a.allocate(t, 2*sec)
	grant, revision := d.grant(gone)
	for _, l := range limits {
		if grant.Quotas[l.Key(0)].Amount != l.Nodes[0].Capacity {
			t.Fatalf("the process is granted %+v, not all of %s", grant, l.Name)
		}
	}
	d.report(gone, revision, demand)
	d.report(d.successor, 0, demand)
	a.catchUp(t, departedAt)
	d.apply(&store.Command{RevokeLease: &store.RevokeLease{LeaseID: gone.Session, Owner: "gone"}})
	return d, a
}

// grantedAfter allocates every 100 ms until the successor has a quota of the limit, and returns how long after the
// departure that is. Before each allocation it calls interfere, which may replace the allocator.
func (d *departure) grantedAfter(
	t *testing.T, a *followingAllocator, l *Limit, interfere interference,
) int64 {
	t.Helper()
	const patience = int64(3 * time.Hour)
	for now := departedAt; now < departedAt+patience; now += allocateInterval {
		a = interfere(now-departedAt, a)
		a.allocate(t, now)
		if grant, _ := d.grant(d.successor); grant.Quotas[l.Key(0)].Amount > 0 {
			return now - departedAt
		}
	}
	t.Fatalf("the quota of %s is not granted again within %v", l.Name, time.Duration(patience))
	return 0
}

// interference returns the allocator that goes on, so long after the departure.
type interference func(elapsed int64, a *followingAllocator) *followingAllocator

func undisturbed(_ int64, a *followingAllocator) *followingAllocator { return a }

func newWindowLimit(name string, length time.Duration) *Limit {
	return &Limit{
		Name: name, Generation: 1, Kind: Window, Unit: Requests, Window: int64(length), Fallback: Strict,
		Nodes: []Node{{Capacity: 300 * AmountUnit, Weight: 1}},
	}
}

// Guards against a departed process's quota being granted again before its linger is over: an age that had been
// written to the grant was counted twice.
func TestQuotaOfDepartedProcessLingers(t *testing.T) {
	concurrency := newWindowLimit("concurrency-30s", 30*time.Second)
	concurrency.Kind = Concurrency
	for _, l := range []*Limit{
		newWindowLimit("window-1s", time.Second),
		newWindowLimit("window-3s", 3*time.Second),
		newWindowLimit("window-60s", time.Minute),
		newWindowLimit("window-1h", time.Hour),
		concurrency,
	} {
		linger := int64(float64(l.Window) * (1 + testSkew))
		middle := linger / 2 / allocateInterval * allocateInterval
		for _, test := range []struct {
			name      string
			interfere interference
			lostAge   int64 // at most
		}{
			{"undisturbed", undisturbed, 0},
			{"copy is replaced", func(elapsed int64, a *followingAllocator) *followingAllocator {
				if elapsed == middle {
					a.reset(departedAt + elapsed)
				}
				return a
			}, 0},
			{"allocator changes", func(elapsed int64, a *followingAllocator) *followingAllocator {
				if elapsed == middle {
					return a.fleet.follow(departedAt + elapsed)
				}
				return a
			}, max(ageWriteInterval, linger/20)},
		} {
			t.Run(l.Name+"/"+test.name, func(t *testing.T) {
				d, a := depart(t, l)
				after := d.grantedAfter(t, a, l, test.interfere)
				latest := linger + test.lostAge + idleInterval + 3*allocateInterval
				if after < linger || after > latest {
					t.Errorf("granted again %v after the departure, not between %v and %v",
						time.Duration(after), time.Duration(linger), time.Duration(latest))
				}
			})
		}
	}
}

// Guards against a departed process's quota being withheld for the longest linger of all its quotas, by which one limit
// over an hour had each departure reduce every other limit for an hour.
func TestQuotasOfDepartedProcessExpireOneByOne(t *testing.T) {
	rate := newRateLimit(10, sec)
	short := newWindowLimit("window-3s", 3*time.Second)
	long := newWindowLimit("window-60s", time.Minute)
	for _, l := range []*Limit{rate, short, long} {
		t.Run(l.Name, func(t *testing.T) {
			d, a := depart(t, rate, short, long)
			after := d.grantedAfter(t, a, l, undisturbed)
			linger := int64(float64(l.linger()) * (1 + testSkew))
			if latest := linger + idleInterval + 3*allocateInterval; after < linger || after > latest {
				t.Errorf("granted again %v after the departure, not between %v and %v",
					time.Duration(after), time.Duration(linger), time.Duration(latest))
			}
		})
	}
	t.Run("next allocator", func(t *testing.T) {
		d, a := depart(t, rate, short, long)
		after := d.grantedAfter(t, a, short, undisturbed)
		next := d.follow(departedAt + after)
		for now := departedAt + after; now < departedAt+2*after; now += allocateInterval {
			next.allocate(t, now)
			grant, _ := d.grant(d.successor)
			for _, l := range []*Limit{rate, short} {
				if amount := grant.Quotas[l.Key(0)].Amount; amount != l.Nodes[0].Capacity {
					t.Fatalf("%v after the departure the next allocator leaves %s of %s",
						time.Duration(now-departedAt), FormatAmount(amount), l.Name)
				}
			}
		}
	})
}
