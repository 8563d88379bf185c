package scenario

import (
	"math"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const valid = `name = "x"
[[servers]]
count = 2
speed = [1.0, 2.0]

[[class]]
name = "look"
work = "10ms"

[load]
rate = 5.0
`

func TestParseAppliesDefaults(t *testing.T) {
	s, err := Parse("x.toml", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.ServerCount() != 2 || s.Classes[0].LatencyObjective != Dur(400*time.Millisecond) || !s.RunsOn("run") ||
		!s.RunsOn("sim") ||
		s.Fleet.Sidecars != 2 {
		t.Errorf("defaults: %+v", s)
	}
}

// Parse reports every mistake of a file with its line and key, and returns no scenario then.
func TestParseReportsEveryErrorWithLineAndKey(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", valid + "[net]\nsmae = \"1ms\"\n", "x.toml:13: net.smae: is not a key"}, //nolint:misspell // the misspelled key is the case
		{"unknown table", valid + "[nets]\nsame = \"1ms\"\n", "x.toml:12: nets"},
		{"range starts above its end", strings.Replace(valid, "[1.0, 2.0]", "[2.0, 1.0]", 1),
			"x.toml:4: servers[0].speed: the range 2 to 1 starts above its end"},
		{"three numbers", strings.Replace(valid, "[1.0, 2.0]", "[2.0, 1.0, 3.0]", 1),
			"x.toml:4: servers[0].speed: takes one number or two"},
		{"negative rate", strings.Replace(valid, "rate = 5.0", "rate = -5.0", 1), "x.toml:11: load.rate: -5 is not above 0"},
		{"not a duration", strings.Replace(valid, `"10ms"`, `"10"`, 1), "x.toml:8: class.work"},
		{"wrong kind", strings.Replace(valid, "count = 2", `count = "two"`, 1), "x.toml:3:"},
		{"cut short", valid[:len(valid)-6], "x.toml:11"},
		{"no servers", "name = \"x\"\n[[class]]\nname = \"a\"\n", "x.toml: servers: no [[servers]]"},
		{"class twice", valid + "[[class]]\nname = \"look\"\n", `x.toml:13: class[1].name: "look" is used twice`},
		{"unknown fault", valid + "[[fault]]\nkind = \"fire\"\n", `x.toml:13: fault[0].kind: "fire" is not a kind of fault`},
		{"fault after the end", valid + "[[fault]]\nkind = \"burst\"\nat = \"1h\"\n",
			"x.toml:14: fault[0].at: is after the end"},
		{"no such server", valid + "[[fault]]\nkind = \"hang\"\nservers = [2]\n",
			"x.toml:14: fault[0].servers: 2 is not a server's number"},
		{"bound of unknown figure", valid + "[keep.fleet_most]\nprobes = 5.0\n", `keep.fleet_most: "probes" is not a figure`},
		{"bound below 0", valid + "[keep.fleet_most]\nprobes_mean = -1.0\n",
			"keep.fleet_most: probes_mean: -1 is not above 0"},
		{"bound of unknown class", valid + "[keep.class]\nbook = 0.5\n", `keep.class: "book" is not a class`},
		{"believed fleet size of 0", valid + "[fleet]\ntold = 0.0\n", "x.toml:13: fleet.told: 0 is not above 0"},
		{"negative spread of watch events", valid + "[discovery]\nspread = \"-1s\"\n",
			"x.toml:13: discovery.spread: -1s is negative"},
		{"too many requests", strings.Replace(valid, "rate = 5.0", "rate = 1e9", 1), "load.rate: makes over"},
	} {
		s, err := Parse("x.toml", []byte(c.text))
		if err == nil || s != nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
	_, err := Parse("x.toml", []byte(strings.NewReplacer(
		"rate = 5.0", "rate = 0.0", "count = 2", "count = -2").Replace(valid)))
	if err == nil || !strings.Contains(err.Error(), "servers[0].count") || !strings.Contains(err.Error(), "load.rate") {
		t.Errorf("the error of a file with two mistakes is %v, want both keys", err)
	}
}

func TestAllScenarioFilesParse(t *testing.T) {
	files, err := filepath.Glob("../../../lab/scenarios/*.toml")
	if err != nil || len(files) < 14 {
		t.Fatalf("found %d scenario files, want at least 14 (error %v)", len(files), err)
	}
	for _, f := range files {
		s, err := Read(f)
		if err != nil {
			t.Error(err)
		} else if s.Name+".toml" != filepath.Base(f) || s.Bounds.MinService == 0 || s.Description == "" {
			t.Errorf("%s: the name is %q and the bound on service %v, or there is no description", f, s.Name,
				s.Bounds.MinService)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add(valid + "[[fault]]\nkind = \"burst\"\nat = \"1s\"\nfor = \"1s\"\nfactor = 2.0\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("x.toml", []byte(text))
		if err == nil && (s.Load.Rate <= 0 || s.ServerCount() < 1 || s.Length <= 0) {
			t.Errorf("Parse accepted an invalid scenario: %+v", s)
		}
	})
}

// SetServers keeps each kind's share of the servers, and the load per server.
func TestSetServersKeepsSharesAndLoadPerServer(t *testing.T) {
	for n, want := range map[int][3]int{
		60: {24, 24, 12}, 3: {1, 1, 1}, 10: {4, 4, 2}, 11: {5, 4, 2}, 7: {3, 3, 1}, 2000: {800, 800, 400},
	} {
		s, err := Read("../../../lab/scenarios/join.toml")
		if err != nil {
			t.Fatal(err)
		}
		s.Faults = nil // they name servers that smaller numbers do not have
		each := s.Load.Rate / float64(s.ServerCount())
		if err := s.SetServers(n); err != nil {
			t.Fatal(n, err)
		}
		got := [3]int{s.Servers[0].Count, s.Servers[1].Count, s.Servers[2].Count}
		if s.ServerCount() != n || got != want && n != 11 && n != 7 || math.Abs(s.Load.Rate/float64(n)-each) > 1e-9 {
			t.Errorf("%d servers: %v by kind, %v requests per second and server", n, got, s.Load.Rate/float64(n))
		}
	}
	s, err := Read("../../../lab/scenarios/join.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SetServers(2); err == nil || !strings.Contains(err.Error(), "fewer than the 3 kinds") {
		t.Error(err)
	}
	if s, _ = Read("../../../lab/scenarios/join.toml"); s.SetServers(10) == nil {
		t.Error("SetServers(10) accepts a fault that names server 14")
	}
}
