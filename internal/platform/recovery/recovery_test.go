package recovery

import (
	"fmt"
	"testing"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
	"birchmoor/internal/testutil/sidecartest"
)

const second = balancer.Micros(1e6)

// newSnapshot returns a snapshot of a sidecar that knows servers. The Cell of a server is the port of its address.
func newSnapshot(t *testing.T, sidecar string, servers ...balancer.EndpointState) *snapshot.Saved {
	t.Helper()
	c := sidecartest.Configure(t, "127.0.0.1:1", nil)
	b, err := balancer.New(c.Settings, 1, noActions{})
	if err != nil {
		t.Fatal(err)
	}
	k := &snapshot.Saved{Sidecar: sidecar, State: b.Snapshot(1e9, false)}
	for i, e := range servers {
		k.Names = append(k.Names, fmt.Sprintf("s-%d", e.ID))
		k.Addresses = append(k.Addresses, fmt.Sprintf("127.0.0.1:%d", e.Cell))
		e.ID, e.Cell = uint32(i), 0
		k.State.Endpoints = append(k.State.Endpoints, e)
	}
	return k
}

type noActions struct{ balancer.Actions }

// newServer returns a server's state, with latency, ejection and load, which are local to the sidecar that saved
// them. A server that has been warming up for -1 is warm.
func newServer(id uint32, port uint16, start, warmingUp balancer.Micros, pace float64, paceAge balancer.Micros) (
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
	own := func(age balancer.Micros, sameClock bool) Candidate {
		source := fmt.Sprint("own ", age, sameClock)
		return Candidate{Source: source, Snapshot: newSnapshot(t, "me"), Own: true, Age: age, SameClock: sameClock}
	}
	other := func(age balancer.Micros, sameClock bool) Candidate {
		source := fmt.Sprint("other ", age, sameClock)
		return Candidate{Source: source, Snapshot: newSnapshot(t, "other"), Age: age, SameClock: sameClock}
	}
	for what, tc := range map[string]struct {
		all  []Candidate
		want string
	}{
		"nothing":                  {nil, ""},
		"the newer own":            {[]Candidate{own(9, true), own(5, true)}, "own 5 true"},
		"own before others' newer": {[]Candidate{other(1, true), own(200*second, true)}, "own 200000000 true"},
		"too old":                  {[]Candidate{own(MaxAge+1, true)}, ""},
		"of the future":            {[]Candidate{own(-1, true), other(-1, true)}, ""},
		"others where own is too old": {
			[]Candidate{own(MaxAge+1, true), other(4, true), other(3, true)}, "other 3 true",
		},
		"others by clocks of two hosts": {[]Candidate{other(4, false)}, ""},
		"own by clocks of two hosts":    {[]Candidate{own(4, false)}, "own 4 false"},
		"without a snapshot":            {[]Candidate{{Source: "x", Own: true}}, ""},
	} {
		got := Choose("me", tc.all)
		if got.Source != tc.want || (got.Snapshot == nil) != (tc.want == "") {
			t.Errorf("%s: %q, want %q", what, got.Source, tc.want)
		}
		if got.Snapshot != nil && got.Snapshot.Sidecar != "me" {
			t.Errorf("%s: a snapshot of %q", what, got.Snapshot.Sidecar)
		}
	}
}

// Of a server the shortest warm-up that any snapshot says counts, at one instant, and the newest pace. A server is
// identified by name, address and start. Local state is not restored. The result is a snapshot that a module takes.
func TestChooseMergesServersOfOtherSidecars(t *testing.T) {
	one := newSnapshot(t, "one",
		newServer(1, 1, 0, 4*second, 2, second),
		newServer(2, 2, 50, -1, 3, 9*second),
		newServer(3, 3, 0, -1, 1, second))
	two := newSnapshot(t, "two",
		newServer(1, 1, 0, second, 5, 0),
		newServer(2, 2, 40, 2*second, 9, 0),
		newServer(3, 9, 0, second, 9, 0),
		newServer(4, 4, 0, second, 8, 0))
	c := Choose("me", []Candidate{
		{Source: "two", Snapshot: two, Age: 3 * second, SameClock: true},
		{Source: "one", Snapshot: one, Age: second, SameClock: true},
	})
	if c.Source != "one" || c.Sources != 2 || c.Age != second || len(c.Snapshot.Names) != 4 {
		t.Fatalf("%+v %v", c, c.Snapshot.Names)
	}
	want := map[string]string{
		"s-1": "warming up for 3000000, pace 2", // two's warm-up, 2 s older, is shorter; its pace is 2 s old, one's 1 s
		"s-2": "warm, pace 3",                   // two's is of an earlier process
		"s-3": "warm, pace 1",                   // two's is at another address
		"s-4": "warming up for 3000000, pace 8",
	}
	for i, e := range c.Snapshot.State.Endpoints {
		got := "warm"
		if e.WarmingUp {
			got = fmt.Sprint("warming up for ", e.SlowStart)
		}
		got += fmt.Sprint(", pace ", e.Pace.Value)
		if name := c.Snapshot.Names[i]; got != want[name] {
			t.Errorf("%s: %s, want %s", name, got, want[name])
		}
		if e.RTT.Samples != 0 || e.Inflight != 0 || e.HasLoad || len(e.FailureRuns) != 0 || e.ID != uint32(i) {
			t.Errorf("%s: %+v is restored", c.Snapshot.Names[i], e)
		}
	}
	raw, err := snapshot.Encode(c.Snapshot)
	if err != nil {
		t.Fatal(err)
	}
	back, err := snapshot.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	cfg := sidecartest.Configure(t, "127.0.0.1:1", nil)
	b, err := balancer.New(cfg.Settings, 1, noActions{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.Restore(2e9, back.State, c.Age); err != nil {
		t.Error(err)
	}
	if one.State.Endpoints[0].RTT.Samples == 0 {
		t.Error("the candidate's snapshot was changed")
	}
}
