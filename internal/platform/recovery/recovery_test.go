package recovery

import (
	"fmt"
	"testing"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
	"birchmoor/internal/testutil/sidecartest"
)

const second = balancer.Micros(1e6)

// newSnapshot returns a snapshot of a sidecar that knows the given endpoints. An endpoint's Cell gives the port of its
// address, and its ID the name.
func newSnapshot(t *testing.T, sidecar string, endpoints ...balancer.EndpointState) *snapshot.Saved {
	t.Helper()
	c := sidecartest.Configure(t, "127.0.0.1:1", nil)
	module, err := balancer.New(c.Settings, 1, noActions{})
	if err != nil {
		t.Fatal(err)
	}
	saved := &snapshot.Saved{Sidecar: sidecar, State: module.Snapshot(1e9, false)}
	for i, e := range endpoints {
		saved.Names = append(saved.Names, fmt.Sprintf("s-%d", e.ID))
		saved.Addresses = append(saved.Addresses, fmt.Sprintf("127.0.0.1:%d", e.Cell))
		e.ID, e.Cell = uint32(i), 0
		saved.State.Endpoints = append(saved.State.Endpoints, e)
	}
	return saved
}

type noActions struct{ balancer.Actions }

// newEndpointState returns the state of an endpoint. It includes latency, ejection and load, which are local to the
// sidecar that saved them. A negative warmingUp stands for an endpoint that is not warming up.
func newEndpointState(id uint32, port uint16, start, warmingUp balancer.Micros, pace float64, paceAge balancer.Micros) (
	e balancer.EndpointState,
) {
	return balancer.EndpointState{
		ID:          id,
		Cell:        port,
		StartTime:   start,
		WarmingUp:   warmingUp >= 0,
		SlowStart:   max(0, warmingUp),
		Pace:        balancer.MeanState{Value: pace, Samples: 5},
		PaceLearned: paceAge,
		RTT:         balancer.MeanState{Value: 7, Samples: 3},
		Inflight:    4,
		HasLoad:     true,
		FailureRuns: []balancer.FailureRunState{{Part: -1, Streak: 3, EjectedUntil: -second}},
	}
}

func TestChoosePrefersNewestOwnSnapshot(t *testing.T) {
	ownCandidate := func(age balancer.Micros, sameClock bool) Candidate {
		source := fmt.Sprint("own ", age, sameClock)
		return Candidate{Source: source, Snapshot: newSnapshot(t, "me"), Own: true, Age: age, SameClock: sameClock}
	}
	otherCandidate := func(age balancer.Micros, sameClock bool) Candidate {
		source := fmt.Sprint("other ", age, sameClock)
		return Candidate{Source: source, Snapshot: newSnapshot(t, "other"), Age: age, SameClock: sameClock}
	}
	for name, tc := range map[string]struct {
		candidates []Candidate
		want       string
	}{
		"nothing":                {nil, ""},
		"the newer own snapshot": {[]Candidate{ownCandidate(9, true), ownCandidate(5, true)}, "own 5 true"},
		"an own one before another sidecar's newer one": {
			[]Candidate{otherCandidate(1, true), ownCandidate(200*second, true)}, "own 200000000 true",
		},
		"above the maximum age": {[]Candidate{ownCandidate(MaxAge+1, true)}, ""},
		"with a negative age":   {[]Candidate{ownCandidate(-1, true), otherCandidate(-1, true)}, ""},
		"other sidecars' where its own is too old": {
			[]Candidate{ownCandidate(MaxAge+1, true), otherCandidate(4, true), otherCandidate(3, true)}, "other 3 true",
		},
		"another sidecar's with an age by two hosts' clocks": {[]Candidate{otherCandidate(4, false)}, ""},
		"its own with an age by two hosts' clocks":           {[]Candidate{ownCandidate(4, false)}, "own 4 false"},
		"a candidate without a snapshot":                     {[]Candidate{{Source: "x", Own: true}}, ""},
	} {
		got := Choose("me", tc.candidates)
		if got.Source != tc.want || (got.Snapshot == nil) != (tc.want == "") {
			t.Errorf("%s: chose the source %q, want %q", name, got.Source, tc.want)
		}
		if got.Snapshot != nil && got.Snapshot.Sidecar != "me" {
			t.Errorf("%s: chose a snapshot under the name of %q, want me", name, got.Snapshot.Sidecar)
		}
	}
}

// For each endpoint, the merged snapshot has the shortest time in slow start, as of one instant, and the newest pace
// that any snapshot has. A process of an endpoint is identified by name, address and start time. Local state is not
// merged, the result can be restored, and the candidates are not changed.
func TestChooseMergesEndpointsOfOtherSidecars(t *testing.T) {
	one := newSnapshot(t, "one",
		newEndpointState(1, 1, 0, 4*second, 2, second),
		newEndpointState(2, 2, 50, -1, 3, 9*second),
		newEndpointState(3, 3, 0, -1, 1, second))
	two := newSnapshot(t, "two",
		newEndpointState(1, 1, 0, second, 5, 0),
		newEndpointState(2, 2, 40, 2*second, 9, 0),
		newEndpointState(3, 9, 0, second, 9, 0),
		newEndpointState(4, 4, 0, second, 8, 0))
	choice := Choose("me", []Candidate{
		{Source: "two", Snapshot: two, Age: 3 * second, SameClock: true},
		{Source: "one", Snapshot: one, Age: second, SameClock: true},
	})
	if choice.Source != "one" || choice.Sources != 2 || choice.Age != second || len(choice.Snapshot.Names) != 4 {
		t.Fatalf("chose %+v with endpoints %v, want 4 endpoints from 2 snapshots", choice, choice.Snapshot.Names)
	}
	want := map[string]string{
		"s-1": "warming up for 3000000, pace 2", // two's 1 s counts as 3 s at one's age; one's pace is newer
		"s-2": "warm, pace 3",                   // two has an earlier process
		"s-3": "warm, pace 1",                   // two has another address
		"s-4": "warming up for 3000000, pace 8",
	}
	for i, e := range choice.Snapshot.State.Endpoints {
		got := "warm"
		if e.WarmingUp {
			got = fmt.Sprint("warming up for ", e.SlowStart)
		}
		got += fmt.Sprint(", pace ", e.Pace.Value)
		if name := choice.Snapshot.Names[i]; got != want[name] {
			t.Errorf("endpoint %s: merged as %s, want %s", name, got, want[name])
		}
		if e.RTT.Samples != 0 || e.Inflight != 0 || e.HasLoad || len(e.FailureRuns) != 0 || e.ID != uint32(i) {
			t.Errorf("endpoint %s: the merged state %+v has a wrong ID or local state", choice.Snapshot.Names[i], e)
		}
	}
	encoded, err := snapshot.Encode(choice.Snapshot)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := snapshot.Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	config := sidecartest.Configure(t, "127.0.0.1:1", nil)
	module, err := balancer.New(config.Settings, 1, noActions{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := module.Restore(2e9, decoded.State, choice.Age); err != nil {
		t.Error(err)
	}
	if one.State.Endpoints[0].RTT.Samples == 0 {
		t.Error("the candidate's snapshot was changed")
	}
}
