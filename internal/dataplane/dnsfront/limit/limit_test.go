package limit

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"
)

// A flood of one network is cut down to its rate, some of it answered truncated, and costs another nothing.
func TestFloodOfOnePrefixLeavesOthersTheirRate(t *testing.T) {
	g := New(Settings{
		MaxOpen:          100,
		MaxOpenPerPrefix: 100,
		UnverifiedShare:  0.5,
		AnswersPerSecond: 10,
		Burst:            20,
		TruncateEvery:    3,
		MaxPrefixes:      10,
	})
	bad, good := ClientPrefix(netip.MustParseAddr("198.51.100.7")), ClientPrefix(netip.MustParseAddr("192.0.2.1"))
	if bad != ClientPrefix(netip.MustParseAddr("198.51.100.250")) {
		t.Error("addresses of one network count apart")
	}
	var got [4]int
	for i := range 1000 { // in one second
		v := g.Decide(int64(i)*1000, bad, false)
		if got[v]++; v == Admit {
			g.Done(bad, false)
		}
		if i%200 == 0 {
			if v := g.Decide(int64(i)*1000, good, false); v != Admit {
				t.Errorf("another network's: %v", v)
			} else {
				g.Done(good, false)
			}
		}
	}
	if got[Admit] != 29 || got[Truncate] != (1000-29)/3 || got[Shed] != 0 {
		t.Errorf("taken, shed, slipped, dropped: %v", got)
	}
	for i := range 60 { // those who proved themselves have room that the others cannot take
		v := g.Decide(2_000_000, netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 0, byte(i), 0}), 24), false)
		if want := i < 50; (v == Admit) != want {
			t.Fatalf("unverified query %d: %v", i, v)
		}
	}
	if v := g.Decide(2_000_000, bad, true); v != Admit {
		t.Errorf("a verified client: %v", v)
	}
}

// Whatever comes, the counts agree with a plain model, and what is remembered is bounded.
func TestAdmissionAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{
			MaxOpen:          8,
			MaxOpenPerPrefix: 3,
			UnverifiedShare:  0.6,
			AnswersPerSecond: 2,
			Burst:            3,
			TruncateEvery:    2,
			MaxPrefixes:      4,
		}
		g := New(s)
		type query struct {
			client   netip.Prefix
			verified bool
		}
		var open []query
		now := int64(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += rapid.Int64Range(0, 400_000).Draw(t, "wait")
			if len(open) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				g.Done(open[i].client, open[i].verified)
				open = append(open[:i], open[i+1:]...)
				continue
			}
			client := byte(rapid.IntRange(0, 30).Draw(t, "client"))
			q := query{netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 0, client, 0}), 24), rapid.Bool().Draw(t, "verified")}
			mine, unverified := 0, 0
			for _, o := range open {
				if o.client == q.client {
					mine++
				}
				if !o.verified {
					unverified++
				}
			}
			shareLeft := q.verified || float64(unverified) < s.UnverifiedShare*float64(s.MaxOpen)
			room := len(open) < s.MaxOpen && mine < s.MaxOpenPerPrefix && shareLeft
			v := g.Decide(now, q.client, q.verified)
			if v == Admit {
				open = append(open, q)
			}
			if v == Admit && !room || q.verified && (v == Admit) != room || v == Shed && room {
				t.Fatalf("%v with %d open, %d of the client, %d unverified", v, len(open), mine, unverified)
			}
			if g.Open() != len(open) || len(g.prefixes) > s.MaxOpen+1 || len(g.prefixes) != g.byLastUse.Len() {
				t.Fatalf("%d open, counted %d; %d remembered", len(open), g.Open(), len(g.prefixes))
			}
		}
	})
}
