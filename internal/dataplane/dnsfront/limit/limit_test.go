package limit

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"
)

// A flood of queries from one prefix must be limited to its rate, with a fraction answered truncated, and must not cost
// other prefixes or verified clients their queries.
func TestFloodOfOnePrefixLeavesOthersTheirRate(t *testing.T) {
	admission := New(Settings{
		MaxOpen:          100,
		MaxOpenPerPrefix: 100,
		UnverifiedShare:  0.5,
		AnswersPerSecond: 10,
		Burst:            20,
		TruncateEvery:    3,
		MaxPrefixes:      10,
	})
	flooding, other := ClientPrefix(netip.MustParseAddr("198.51.100.7")), ClientPrefix(netip.MustParseAddr("192.0.2.1"))
	if flooding != ClientPrefix(netip.MustParseAddr("198.51.100.250")) {
		t.Error("two addresses of one network have different client prefixes")
	}
	var counts [4]int
	for i := range 1000 { // 1000 queries within one second
		decision := admission.Decide(int64(i)*1000, flooding, false)
		if counts[decision]++; decision == Admit {
			admission.Done(flooding, false)
		}
		if i%200 == 0 {
			if decision := admission.Decide(int64(i)*1000, other, false); decision != Admit {
				t.Errorf("query of another network during the flood: decision %v, want Admit", decision)
			} else {
				admission.Done(other, false)
			}
		}
	}
	if counts[Admit] != 29 || counts[Truncate] != (1000-29)/3 || counts[Shed] != 0 {
		t.Errorf("numbers of Admit, Shed, Truncate and Drop for the flood: %v, want 29, 0, 323 and 648", counts)
	}
	for i := range 60 { // unverified clients may use only half of the capacity
		decision := admission.Decide(2_000_000, netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 0, byte(i), 0}), 24),
			false)
		if want := i < 50; (decision == Admit) != want {
			t.Fatalf("query of unverified client %d: decision %v, want Admit for the first 50 only", i, decision)
		}
	}
	if decision := admission.Decide(2_000_000, flooding, true); decision != Admit {
		t.Errorf("query of a verified client: decision %v, want Admit", decision)
	}
}

// For random sequences of queries, Admission must agree with a simple model on the open queries: no query is admitted
// without capacity, and none is shed and each verified one is admitted with capacity. The number of stored prefixes
// must be bounded.
func TestAdmissionAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{
			MaxOpen:          8,
			MaxOpenPerPrefix: 3,
			UnverifiedShare:  0.6,
			AnswersPerSecond: 2,
			Burst:            3,
			TruncateEvery:    2,
			MaxPrefixes:      4,
		}
		admission := New(settings)
		type query struct {
			client   netip.Prefix
			verified bool
		}
		var open []query
		nowMicros := int64(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			nowMicros += rapid.Int64Range(0, 400_000).Draw(t, "wait")
			if len(open) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				admission.Done(open[i].client, open[i].verified)
				open = append(open[:i], open[i+1:]...)
				continue
			}
			client := byte(rapid.IntRange(0, 30).Draw(t, "client"))
			q := query{netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 0, client, 0}), 24), rapid.Bool().Draw(t, "verified")}
			openOfPrefix, openUnverified := 0, 0
			for _, other := range open {
				if other.client == q.client {
					openOfPrefix++
				}
				if !other.verified {
					openUnverified++
				}
			}
			shareLeft := q.verified || float64(openUnverified) < settings.UnverifiedShare*float64(settings.MaxOpen)
			hasCapacity := len(open) < settings.MaxOpen && openOfPrefix < settings.MaxOpenPerPrefix && shareLeft
			decision := admission.Decide(nowMicros, q.client, q.verified)
			if decision == Admit {
				open = append(open, q)
			}
			if decision == Admit && !hasCapacity || q.verified && (decision == Admit) != hasCapacity ||
				decision == Shed && hasCapacity {
				t.Fatalf("decision %v contradicts the model with %d open queries, %d of the prefix, %d unverified",
					decision, len(open), openOfPrefix, openUnverified)
			}
			if admission.OpenQueries() != len(open) || len(admission.prefixes) > settings.MaxOpen+1 ||
				len(admission.prefixes) != admission.byLastUse.Len() {
				t.Fatalf("%d open queries, OpenQueries returns %d; %d stored prefixes",
					len(open), admission.OpenQueries(), len(admission.prefixes))
			}
		}
	})
}
