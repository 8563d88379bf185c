package sim

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"birchmoor/internal/lab/figures"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/trace"
)

func play(t testing.TB, s *scenario.Scenario, seed uint64, sinks ...trace.Sink) *figures.Result {
	t.Helper()
	x, err := Run(context.Background(), s, Options{Seed: seed, Sinks: sinks, Logs: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// All scenarios, the large ones at a small size, reach their figures and keep the rules.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("../../../lab/scenarios/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Read(f)
			if err != nil {
				t.Fatal(err)
			}
			if s.Fleet.Sidecars > 100 { // the same share of everything
				s.Fleet.Sidecars, s.Load.Rate = s.Fleet.Sidecars/20, s.Load.Rate/20
				s.Servers[0].Count /= 20
			}
			if x := play(t, s, 1); !x.Passed() {
				t.Errorf("%s; missed %v; %v", x.Line(), x.Missed, x.Verdict.Violations)
			}
		})
	}
}

type digest struct{ hash.Hash64 }

func (d digest) Take(e trace.Event) { fmt.Fprintf(d, "%+v\n", e) }

// The same seed gives the same bytes, another seed others.
func TestSameSeedSameBytes(t *testing.T) {
	for _, name := range []string{"upgrade-maintain-release", "zone-loss", "discovery-stale"} {
		s, err := scenario.Read("../../../lab/scenarios/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		s.Faults = append(s.Faults, scenario.Fault{Kind: "kill", At: s.Length / 3, For: s.Length / 10, Sidecars: []int{1}, Factor: 1, Repeat: 1},
			scenario.Fault{Kind: "reset", At: s.Length / 2, For: s.Length / 10, Every: s.Length / 50, Factor: 1, Repeat: 1})
		var sums [3]uint64
		var texts [3][]byte
		for i, seed := range []uint64{5, 5, 6} {
			d := digest{fnv.New64a()}
			x := play(t, s, seed, d)
			x.Took, x.MemoryMB = 0, 0 // of the machine, not of the run
			if texts[i], err = json.Marshal(x); err != nil {
				t.Fatal(err)
			}
			sums[i] = d.Sum64()
		}
		if sums[0] != sums[1] || !bytes.Equal(texts[0], texts[1]) {
			t.Errorf("%s: two runs with one seed differ", name)
		}
		if sums[0] == sums[2] {
			t.Errorf("%s: two seeds give one run", name)
		}
	}
}

// A request on its way as the old process of an upgrade ends is the next one's: they share the listening socket. With these
// seeds one comes in that instant.
func TestUpgradeLosesNothing(t *testing.T) {
	for _, seed := range []uint64{92, 103, 104} {
		s, err := scenario.Read("../../../lab/scenarios/upgrade-maintain-release.toml")
		if err != nil {
			t.Fatal(err)
		}
		if err := s.SetSidecars(48); err != nil {
			t.Fatal(err)
		}
		if x := play(t, s, seed); len(x.Verdict.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, x.Verdict.Violations)
		}
	}
}

// Each fault does what its name says: it is seen in the trace, the rules are kept, and all requests have an end.
func TestFaults(t *testing.T) {
	base, err := scenario.Read("../../../lab/scenarios/calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	for kind := range scenario.FaultKinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			s := *base
			s.Faults = []scenario.Fault{{Kind: kind, At: s.Length / 5, For: s.Length / 5, Factor: 3, Repeat: 1, Share: 0.5,
				Lag: s.Length / 50, Every: s.Length / 50}}
			if kind == "bandwidth" || kind == "pieces" {
				s.Faults[0].Factor, s.Faults[0].Lag = 2000, 1000
			}
			began := 0
			x := play(t, &s, 2, trace.Func(func(e trace.Event) {
				if e.Kind == trace.Began {
					began++
				}
			}))
			if began != 1 {
				t.Errorf("it began %d times", began)
			}
			if !x.Verdict.Passed() {
				t.Errorf("%s: %v", x.Verdict, x.Verdict.Violations)
			}
			if kind == "kill" && x.Verdict.Counts.Excused == 0 {
				t.Error("nobody was cut off")
			}
		})
	}
}

// Wherever service times, fleets and rates lie, a healthy fleet with room to spare serves what is asked of it.
func TestRanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		micros := rapid.SampledFrom([]int{20, 50, 100, 300, 1000, 10_000, 100_000, 1_000_000, 20_000_000}).Draw(t, "work")
		servers := rapid.SampledFrom([]int{1, 2, 4, 10, 100, 1000}).Draw(t, "servers")
		load := rapid.SampledFrom([]float64{0.02, 0.2}).Draw(t, "load")
		sidecars := rapid.SampledFrom([]int{1, 3, 20}).Draw(t, "sidecars")
		hints := rapid.SampledFrom([]string{"none", "rough", "exact"}).Draw(t, "hints")
		reports := rapid.SampledFrom([]string{"probe", "answers", "none"}).Draw(t, "reports")
		rate := min(20_000, max(0.1, load*float64(4*servers)*1e6/float64(micros)))
		if rate*float64(micros) > 0.3*float64(4*servers)*1e6 {
			return // a tenth of a request a second is more than so slow a server can serve
		}
		length := min(600, max(1, 2000/rate))
		text := fmt.Sprintf("name = \"range\"\nlength = \"%.3fs\"\n[fleet]\nsidecars = %d\n[[servers]]\ncount = %d\ncores = 4\nqueue = 50\n"+
			"[[class]]\nname = \"look\"\nwork = \"%dus\"\ncv = 0.3\naim = \"%dus\"\ngive_up = \"%dus\"\n"+
			"[[class]]\nname = \"pay\"\nunsafe = true\nwork = \"%dus\"\ncv = 0.3\naim = \"%dus\"\ngive_up = \"%dus\"\n"+
			"[load]\nrate = %f\nhints = %q\n[limits]\nreports = %q\nprobes = %v\n[net]\nsame = \"%dus\"\nstalls = 0.01\nstall = \"10ms\"\n", length, sidecars, servers, micros, 20*micros+100_000,
			40*micros+400_000, micros, 20*micros+100_000, 40*micros+400_000, rate, hints, reports, reports != "none",
			rapid.SampledFrom([]int{0, 5, 100, 2000}).Draw(t, "way"))
		s, err := scenario.Parse("range.toml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		x, err := Run(context.Background(), s, Options{Seed: rapid.Uint64Range(1, 1000).Draw(t, "seed")})
		if err != nil {
			t.Fatal(err)
		}
		// A stall is no reason to ask twice, nor to refuse.
		n := x.Verdict.Counts
		if !x.Verdict.Passed() || n.Requests >= 20 && (x.Service < 0.9 || x.Figures["attempts_per_task"] > 1.1 || x.Figures["refused"] > 0.05) {
			t.Fatalf("work %d µs, %d servers, %d sidecars, %.2f a second, hints %s, reports %s: %s (%+v, %v)", micros, servers, sidecars, rate, hints,
				reports, x.Line(), n, x.Figures)
		}
	})
}

func BenchmarkCalm(b *testing.B) {
	s, err := scenario.Read("../../../lab/scenarios/calm.toml")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		play(b, s, 1)
	}
}

func init() {
	flag.Set("rapid.seed", "20261201") // the same verdict every time; the command line goes before it
	flag.Set("rapid.checks", "15")
}

// The bounds of a fleet can fail: sidecars that are told of no others each use all servers, hold their connections and crowd
// each other out; and those that are told of four times as many keep every bound.
func TestFleetBoundsCanFail(t *testing.T) {
	for told, want := range map[int][]string{1: {"connections_mean", "shut_mean"}, 320: nil} {
		s, err := scenario.Read("../../../lab/scenarios/herd.toml")
		if err != nil {
			t.Fatal(err)
		}
		s.Overlay = map[string]any{"peers-total": told}
		x, err := Run(t.Context(), s, Options{Seed: 1})
		if err != nil {
			t.Fatal(err)
		}
		missed := strings.Join(x.Missed, "; ")
		for _, name := range want {
			if !strings.Contains(missed, name) {
				t.Errorf("told of %d: %s is kept: %s", told, name, missed)
			}
		}
		if len(want) == 0 && missed != "" || !x.Verdict.Passed() {
			t.Errorf("told of %d: %s, %v", told, missed, x.Verdict)
		}
	}
}
