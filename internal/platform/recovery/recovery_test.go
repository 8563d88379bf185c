package recovery

import (
	"fmt"
	"testing"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
	"birchmoor/internal/testutil/sidecartest"
)

const second = balancer.Micros(1e6)

// newSnapshot is a picture of a sidecar that knows servers: name, address, start, and since when cold (-1: warm).
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

// newServer makes one with a round trip, ejected and busy, which are the teller's own.
func newServer(id uint32, port uint16, start, coldFrom balancer.Micros, pace float64, paceAge balancer.Micros) balancer.EndpointState {
	return balancer.EndpointState{ID: id, Cell: port, StartTime: start, WarmingUp: coldFrom >= 0, SlowStart: max(0, coldFrom),
		Pace: balancer.MeanState{V: pace, N: 5}, PaceLearned: paceAge, RTT: balancer.MeanState{V: 7, N: 3}, Inflight: 4, HasLoad: true,
		FailureRuns: []balancer.FailureRunState{{Part: -1, Streak: 3, EjectedUntil: -second}}}
}

func TestChoosePrefersNewestOwnSnapshot(t *testing.T) {
	own := func(age balancer.Micros, sure bool) Candidate {
		return Candidate{Source: fmt.Sprint("own ", age, sure), Snapshot: newSnapshot(t, "me"), Own: true, Age: age, SameClock: sure}
	}
	other := func(age balancer.Micros, sure bool) Candidate {
		return Candidate{Source: fmt.Sprint("other ", age, sure), Snapshot: newSnapshot(t, "other"), Age: age, SameClock: sure}
	}
	for what, tc := range map[string]struct {
		all  []Candidate
		want string
	}{
		"nothing":                       {nil, ""},
		"the newer own":                 {[]Candidate{own(9, true), own(5, true)}, "own 5 true"},
		"own before others' newer":      {[]Candidate{other(1, true), own(200*second, true)}, "own 200000000 true"},
		"too old":                       {[]Candidate{own(MaxAge+1, true)}, ""},
		"of the future":                 {[]Candidate{own(-1, true), other(-1, true)}, ""},
		"others where own is too old":   {[]Candidate{own(MaxAge+1, true), other(4, true), other(3, true)}, "other 3 true"},
		"others by clocks of two hosts": {[]Candidate{other(4, false)}, ""},
		"own by clocks of two hosts":    {[]Candidate{own(4, false)}, "own 4 false"},
		"one that is none":              {[]Candidate{{Source: "x", Own: true}}, ""},
	} {
		got := Choose("me", tc.all)
		if got.Source != tc.want || (got.Snapshot == nil) != (tc.want == "") || got.Snapshot != nil && got.Snapshot.Sidecar != "me" {
			t.Errorf("%s: %q, want %q", what, got.Source, tc.want)
		}
	}
}

// Of others' pictures the coldest word of a server counts, at one instant, and the newest pace; a server is one by name,
// address and start; and what is the teller's own is not believed. What comes out is a picture that a module takes.
func TestChooseMergesServersOfOtherSidecars(t *testing.T) {
	one := newSnapshot(t, "one", newServer(1, 1, 0, 4*second, 2, second), newServer(2, 2, 50, -1, 3, 9*second), newServer(3, 3, 0, -1, 1, second))
	two := newSnapshot(t, "two", newServer(1, 1, 0, second, 5, 0), newServer(2, 2, 40, 2*second, 9, 0), newServer(3, 9, 0, second, 9, 0), newServer(4, 4, 0, second, 8, 0))
	c := Choose("me", []Candidate{{Source: "two", Snapshot: two, Age: 3 * second, SameClock: true}, {Source: "one", Snapshot: one, Age: second, SameClock: true}})
	if c.Source != "one" || c.Sources != 2 || c.Age != second || len(c.Snapshot.Names) != 4 {
		t.Fatalf("%+v %v", c, c.Snapshot.Names)
	}
	want := map[string]string{
		"s-1": "cold 3000000 pace 2", // two's word, two seconds older, is colder; its pace is 2 s old, one's 1 s
		"s-2": "warm pace 3",         // two's is of an earlier process
		"s-3": "warm pace 1",         // two's is at another address
		"s-4": "cold 3000000 pace 8",
	}
	for i, e := range c.Snapshot.State.Endpoints {
		got := "warm"
		if e.WarmingUp {
			got = fmt.Sprint("cold ", e.SlowStart)
		}
		if got += fmt.Sprint(" pace ", e.Pace.V); got != want[c.Snapshot.Names[i]] {
			t.Errorf("%s: %s, want %s", c.Snapshot.Names[i], got, want[c.Snapshot.Names[i]])
		}
		if e.RTT.N != 0 || e.Inflight != 0 || e.HasLoad || len(e.FailureRuns) != 0 || e.ID != uint32(i) {
			t.Errorf("%s: %+v is believed", c.Snapshot.Names[i], e)
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
	if one.State.Endpoints[0].RTT.N == 0 {
		t.Error("the teller's own picture was changed")
	}
}
