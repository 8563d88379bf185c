package quota

import (
	"testing"
	"time"

	"birchmoor/internal/store"
)

const (
	testClockSkew    = 0.1 // MaxClockSkew of the allocators
	allocateInterval = int64(100 * time.Millisecond)
	departedAt       = 10 * sec
)

// followingAllocator is an allocator that learns of changes of the store by events, as a daemon's allocator does.
type followingAllocator struct {
	*Allocator
	fleet    *fleet
	revision uint64 // of the store, up to which events have been applied
}

func (f *fleet) newFollowingAllocator(now int64) *followingAllocator {
	a := NewAllocator(Rules{MaxClockSkew: testClockSkew, ReportInterval: 50e6}, NoDefect)
	a.SetConfig(f.config)
	following := &followingAllocator{Allocator: a, fleet: f}
	following.reset(now)
	return following
}

// reset replaces the copy of the store, as a daemon does after a gap in its change feed.
func (a *followingAllocator) reset(now int64) {
	a.Reset(now, a.fleet.state)
	a.revision = a.fleet.state.Revision()
}

// allocate applies new events, then writes the allocation that is due, if any.
func (a *followingAllocator) allocate(t *testing.T, now int64) {
	t.Helper()
	a.applyEvents(t, now)
	if allocation := a.Allocate(now); allocation != nil {
		a.fleet.apply(&store.Command{Txn: &store.Txn{If: allocation.If, Then: allocation.Then}})
	}
	a.applyEvents(t, now)
}

func (a *followingAllocator) applyEvents(t *testing.T, now int64) {
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

// departureFleet is a fleet in which a process that was granted all limits entirely has departed, and its successor
// wants them.
type departureFleet struct {
	*fleet
	successor Process
}

// newDepartureFleet returns a departureFleet and its allocator. The session of the departed process ends at departedAt,
// and the allocator has not seen that yet.
func newDepartureFleet(t *testing.T, limits ...*Limit) (*departureFleet, *followingAllocator) {
	t.Helper()
	d := &departureFleet{fleet: newFleet(limits...)}
	allocator := d.newFollowingAllocator(sec)
	departed := d.join("gone")
	d.successor = d.join("successor")
	demand := map[string]NodeDemand{}
	for _, l := range limits {
		demand[l.Key(0)] = NodeDemand{Wanted: 10 * l.Nodes[0].Capacity}
	}
	d.report(departed, 0, demand)
	allocator.allocate(t, 2*sec)
	grant, revision := d.grant(departed)
	for _, l := range limits {
		if grant.Quotas[l.Key(0)].Amount != l.Nodes[0].Capacity {
			t.Fatalf("granted %+v, want the whole limit %s", grant, l.Name)
		}
	}
	d.report(departed, revision, demand)
	d.report(d.successor, 0, demand)
	allocator.applyEvents(t, departedAt)
	d.apply(&store.Command{RevokeLease: &store.RevokeLease{LeaseID: departed.Session, Owner: "gone"}})
	return d, allocator
}

// delayUntilGranted allocates every allocateInterval until the successor has a quota of the limit. It returns the time
// from the departure until then in nanoseconds. Before each allocation it calls disturb, which may replace the
// allocator.
func (d *departureFleet) delayUntilGranted(
	t *testing.T, allocator *followingAllocator, l *Limit, disturb disturbance,
) int64 {
	t.Helper()
	const maxWait = int64(3 * time.Hour)
	for now := departedAt; now < departedAt+maxWait; now += allocateInterval {
		allocator = disturb(now-departedAt, allocator)
		allocator.allocate(t, now)
		if grant, _ := d.grant(d.successor); grant.Quotas[l.Key(0)].Amount > 0 {
			return now - departedAt
		}
	}
	t.Fatalf("the quota of limit %s was not granted to the successor within %v", l.Name, time.Duration(maxWait))
	return 0
}

// disturbance may disturb the allocator, and returns the one that makes the next allocation. elapsed is the time since
// the departure in nanoseconds.
type disturbance func(elapsed int64, a *followingAllocator) *followingAllocator

func undisturbed(_ int64, allocator *followingAllocator) *followingAllocator { return allocator }

func newWindowLimit(name string, length time.Duration) *Limit {
	return &Limit{
		Name: name, Generation: 1, Kind: Window, Unit: Requests, Window: int64(length), Fallback: Strict,
		Nodes: []Node{{Capacity: 300 * AmountUnit, Weight: 1}},
	}
}

// Guards against granting a departed process's quota again before its linger has passed: an age that had been written
// to the grant was counted twice.
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
		linger := int64(float64(l.Window) * (1 + testClockSkew))
		middle := linger / 2 / allocateInterval * allocateInterval
		for _, test := range []struct {
			name       string
			disturb    disturbance
			maxLostAge int64 // how much later the quota may be granted, since the age is stored only at intervals
		}{
			{"undisturbed", undisturbed, 0},
			{"copy is replaced", func(elapsed int64, allocator *followingAllocator) *followingAllocator {
				if elapsed == middle {
					allocator.reset(departedAt + elapsed)
				}
				return allocator
			}, 0},
			{"allocator changes", func(elapsed int64, allocator *followingAllocator) *followingAllocator {
				if elapsed == middle {
					return allocator.fleet.newFollowingAllocator(departedAt + elapsed)
				}
				return allocator
			}, max(ageWriteInterval, linger/20)},
		} {
			t.Run(l.Name+"/"+test.name, func(t *testing.T) {
				d, allocator := newDepartureFleet(t, l)
				after := d.delayUntilGranted(t, allocator, l, test.disturb)
				latest := linger + test.maxLostAge + idleInterval + 3*allocateInterval
				if after < linger || after > latest {
					t.Errorf("the quota was granted again %v after the departure, want %v to %v",
						time.Duration(after), time.Duration(linger), time.Duration(latest))
				}
			})
		}
	}
}

// Guards against withholding all quotas of a departed process for the longest linger among them: with one limit that
// had a window of an hour, each departure reduced every other limit for an hour.
func TestQuotasOfDepartedProcessExpireOneByOne(t *testing.T) {
	rate := newRateLimit(10, sec)
	short := newWindowLimit("window-3s", 3*time.Second)
	long := newWindowLimit("window-60s", time.Minute)
	for _, l := range []*Limit{rate, short, long} {
		t.Run(l.Name, func(t *testing.T) {
			d, allocator := newDepartureFleet(t, rate, short, long)
			after := d.delayUntilGranted(t, allocator, l, undisturbed)
			linger := int64(float64(l.linger()) * (1 + testClockSkew))
			if latest := linger + idleInterval + 3*allocateInterval; after < linger || after > latest {
				t.Errorf("the quota was granted again %v after the departure, want %v to %v",
					time.Duration(after), time.Duration(linger), time.Duration(latest))
			}
		})
	}
	t.Run("next allocator", func(t *testing.T) {
		d, allocator := newDepartureFleet(t, rate, short, long)
		after := d.delayUntilGranted(t, allocator, short, undisturbed)
		next := d.newFollowingAllocator(departedAt + after)
		for now := departedAt + after; now < departedAt+2*after; now += allocateInterval {
			next.allocate(t, now)
			grant, _ := d.grant(d.successor)
			for _, l := range []*Limit{rate, short} {
				if amount := grant.Quotas[l.Key(0)].Amount; amount != l.Nodes[0].Capacity {
					t.Fatalf(
						"%v after the departure, the next allocator left the successor %s of limit %s, want all of it",
						time.Duration(now-departedAt), FormatAmount(amount), l.Name)
				}
			}
		}
	})
}
