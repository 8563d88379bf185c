package scale

import (
	"encoding/json"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/lab/fleetlab"
)

// A fit predicts constant, linear and quadratic growth, and needs more than three sizes.
func TestFitPredictsLinearAndSquareGrowth(t *testing.T) {
	sizes := []float64{75, 150, 300, 600}
	for _, growth := range []struct {
		f     func(s float64) float64
		power float64
	}{{func(s float64) float64 { return 7 }, 0}, {func(s float64) float64 { return 100 + 3*s }, 0.9},
		{func(s float64) float64 { return 0.02 * s * s }, 2}} {
		var values []float64
		for _, s := range sizes {
			values = append(values, growth.f(s))
		}
		fitted, ok := fit(sizes, values)
		if want := growth.f(1200); !ok || math.Abs(fitted.Predict(1200)-want) > 0.01*want ||
			math.Abs(fitted.Power-growth.power) > 0.1 || fitted.MaxError > 0.01 {
			t.Errorf("predicted value for size 1200 is %g, want %g: %+v", fitted.Predict(1200), want, fitted)
		}
		if _, ok := fit(sizes[1:], values[1:]); ok {
			t.Error("fit accepts three sizes, want at least four")
		}
	}
}

// Each stub sidecar is in exactly one process, with others of its zone, and a rack is a process of its own. Discovery
// lists only the servers of the services that a sidecar's own service calls. No region has a majority of the replicas.
func TestWorldGroupsStubsByZoneAndListsCalleesOnly(t *testing.T) {
	options := Options{Sidecars: 1200, Real: 8, Replicas: 7, Services: 120, Seed: 3, StubsPerProcess: 100}
	drawn := newWorld(options, nil)
	grouped := map[int]bool{}
	for _, group := range drawn.processGroups() {
		for _, i := range group {
			if grouped[i] || i < options.Real || zoneOf(i) != zoneOf(group[0]) {
				t.Fatalf(
					"sidecar %d in process %v: it is a real one, is in two processes, or is in another zone than the first",
					i, group)
			}
			grouped[i] = true
		}
	}
	if len(grouped) != 1192 || len(drawn.processGroups()[0]) != rackSize {
		t.Errorf("%d stub sidecars and a rack of %d, want 1192 and 20", len(grouped), len(drawn.processGroups()[0]))
	}
	for service, list := range drawn.calleeServers {
		if len(list) != 10*CallsPerService || slices.Contains(drawn.callees[service], service) ||
			!slices.Contains(drawn.callers(drawn.callees[service][0]), service) {
			t.Errorf("service %d calls %v and is listed %d servers; want 4 other services with 10 servers each",
				service, drawn.callees[service], len(list))
		}
	}
	for n := 3; n <= len(replicaZones); n += 2 {
		var inRegion [3]int
		for _, z := range replicaZones[:n] {
			inRegion[regionOf[z]]++
		}
		if 2*slices.Max(inRegion[:]) > n {
			t.Errorf("of %d replicas a region has %d, which is a majority", n, slices.Max(inRegion[:]))
		}
	}
}

// Settings carry a version, which is added to the dial timeout in microseconds and hardly changes their effect. It can
// be read back and replaced, and settings without a version have 0.
func TestSettingsVersionRoundTrip(t *testing.T) {
	settings := json.RawMessage(fleetlab.Settings())
	versioned := withVersion(settings, 42)
	if versionOf(versioned) != 42 || versionOf(withVersion(versioned, 43)) != 43 || versionOf(settings) != 0 ||
		!json.Valid(versioned) {
		t.Errorf("settings with version 42 have version %d: %s", versionOf(versioned), versioned)
	}
}

// The delay of an adoption counts from the operator's change, newer settings count as an adoption of older ones, and
// changes before a reset do not count.
func TestAdoptionDelaysCountFromChangeAndAcceptNewerVersions(t *testing.T) {
	changes, start := newSettingsChanges(), time.Now()
	changes.recordChange(1, start, start)
	changes.recordAdoption(settingsAdoption{7, 1, start.Add(time.Second).UnixNano()})
	changes.reset()
	changes.recordChange(2, start, start.Add(time.Second))
	changes.recordChange(3, start.Add(time.Second), start.Add(2*time.Second))
	changes.recordAdoption(settingsAdoption{7, 3, start.Add(3 * time.Second).UnixNano()})
	if delays := changes.result(2); delays.Changes != 2 || delays.N != 2 || delays.Missing != 2 || delays.Put != 1 ||
		math.Abs(delays.P50-3) > 0.01 && math.Abs(delays.P50-2) > 0.01 || math.Abs(delays.Worst-3) > 0.01 {
		t.Errorf("2 changes, adopted by 1 of 2 sidecars after 3 s and 2 s: got %+v", delays)
	}
}

// The tables have a row for each figure, predict a size from four smaller ones, and say so if there are too few.
func TestMarkdownPredictsFromFourSizes(t *testing.T) {
	var results []*Result
	for _, n := range []int{10, 20, 40, 80, 160} {
		results = append(results, &Result{Sidecars: n,
			Roles: map[string]Role{RoleStub: {"bytes_in": Spread{float64(n), 0, float64(2 * n)}}}})
	}
	var page strings.Builder
	Markdown(&page, results, 160)
	if row := "| bytes_in | B/s | 10 (20) | 20 (40) | 40 (80) | 80 (160) | 160 (320) |"; !strings.Contains(
		page.String(), row) || !strings.Contains(page.String(), "+ 1·S | 1.00 | 0% | 160 |") {
		t.Errorf("the page has no row %s with its prediction:\n%s", row, page.String())
	}
	page.Reset()
	Markdown(&page, results[:3], 160)
	if !strings.Contains(page.String(), "not known") {
		t.Error("a figure is predicted from three sizes, want at least four")
	}
}
