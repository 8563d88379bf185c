package scenario

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"birchmoor/internal/platform/stricttoml"
)

// most bounds what a scenario may ask for, so that a slip of the pen does not take the machine down.
const (
	mostSidecars = 5000
	mostServers  = 2000
	mostClasses  = 32
	mostFaults   = 256
	mostRequests = 20_000_000
	mostLength   = time.Hour
)

// Load reads a file. All faults that it finds are in the error.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads a file's text; path is for errors.
func Parse(path string, text []byte) (*Scenario, error) {
	s := defaults()
	s.Path = path
	if err := stricttoml.Decode(path, "scenarios", text, s); err != nil {
		return nil, err
	}
	s.fill()
	if err := s.check(index(text)); err != nil {
		return nil, err
	}
	return s, nil
}

func ms(n float64) Dur { return Dur(n * float64(time.Millisecond)) }

// defaults is the booking system as its users describe it, of no servers and classes.
func defaults() *Scenario {
	return &Scenario{
		Length:    Dur(20 * time.Second),
		Fleet:     Fleet{Sidecars: 2, Zones: []string{"petrzalka", "trnava"}, Told: 1, MemoryMB: 192, Sockets: 1024, Recall: "handover"},
		Load:      Load{Rate: 100, Shape: "steady", Hints: "rough", Bodies: 64, Answer: 200},
		Clients:   Clients{Retries: 2, Backoff: ms(60), Honour: 0.75, TryShare: 0.7, Conns: 256},
		Net:       Net{Same: ms(0.1), Cross: ms(2), Jitter: 0.2},
		Discovery: Discovery{Notice: ms(1500), Add: ms(1000), Capacity: 4, Call: ms(20), Mode: "watch"},
		Rules: Rules{DrainGrace: ms(500), FallMultiple: 3, OverloadFor: ms(3000), ColdFrom: 0.13,
			RampTime: ms(24000), AskWithin: ms(10000)},
		Limits: Limits{Attempts: 4, SecondCopies: true, Probes: true, Reports: "probe", RetryAfter: true,
			MaxRetryAfter: ms(750), Dial: ms(200), Held: 30000},
	}
}

// fill gives what stands in lists its defaults.
func (s *Scenario) fill() {
	for i := range s.Servers {
		k := &s.Servers[i]
		or(&k.Kind, fmt.Sprintf("kind-%d", i))
		or(&k.Count, 1)
		or(&k.Cores, 2)
		if k.Speed == nil {
			k.Speed = []float64{1}
		}
		if k.ColdFrom == nil {
			k.ColdFrom = []float64{0.2}
		}
		or(&k.Slots, 8)
		or(&k.Queue, 6)
		or(&k.ConnCap, 1000)
		or(&k.Idle, Dur(time.Minute))
		or(&k.Cancel, "queued")
		or(&k.ColdFor, Dur(15*time.Second))
		or(&k.ThrashAt, 4)
		or(&k.Report.Every, ms(3))
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		or(&c.Share, 1)
		or(&c.Work, ms(50))
		or(&c.Dist, "lognormal")
		or(&c.Aim, ms(400))
		or(&c.GiveUp, ms(1200))
		or(&c.Worth, 1)
	}
	for i := range s.Faults {
		or(&s.Faults[i].Factor, 1)
		or(&s.Faults[i].Repeat, 1)
	}
	if len(s.Hosts) == 0 {
		s.Hosts = []string{"run", "sim"}
	}
}

func or[T comparable](v *T, fallback T) {
	var none T
	if *v == none {
		*v = fallback
	}
}

// lines tells where each key of a file is written.
type lines map[string]int

// index finds the lines of keys. Those of inline tables are found by the table's key.
func index(text []byte) lines {
	at := lines{}
	counts := map[string]int{}
	prefix := ""
	in := bufio.NewScanner(bytes.NewReader(text))
	in.Buffer(nil, 1<<20)
	for n := 1; in.Scan(); n++ {
		line := strings.TrimSpace(in.Text())
		if cut, _, ok := strings.Cut(line, "#"); ok && !strings.Contains(cut, `"`) {
			line = strings.TrimSpace(cut)
		}
		switch {
		case strings.HasPrefix(line, "[["):
			name := strings.Trim(line, "[] ")
			prefix = fmt.Sprintf("%s[%d].", name, counts[name])
			at[strings.TrimSuffix(prefix, ".")] = n
			counts[name]++
		case strings.HasPrefix(line, "["):
			name := strings.Trim(line, "[] ")
			if parent, rest, ok := strings.Cut(name, "."); ok && counts[parent] > 0 {
				name = fmt.Sprintf("%s[%d].%s", parent, counts[parent]-1, rest)
			}
			prefix = name + "."
			at[name] = n
		default:
			if key, _, ok := strings.Cut(line, "="); ok {
				at[prefix+strings.Trim(strings.TrimSpace(key), `"`)] = n
			}
		}
	}
	return at
}

// line finds a key's line, or that of the nearest table it stands in.
func (l lines) line(key string) int {
	for {
		if n, ok := l[key]; ok {
			return n
		}
		cut := strings.LastIndex(key, ".")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
}

// SetSidecars plays the scenario with another number of sidecars. A fault of one that is not there is an error.
func (s *Scenario) SetSidecars(n int) error {
	s.Fleet.Sidecars = n
	return s.check(nil)
}

// SetServers plays the scenario with another number of servers: each kind keeps its share of them, by the largest remainder
// and no less than one, and the load a server stays. A fault of one that is not there is an error.
func (s *Scenario) SetServers(n int) error {
	total := s.Total()
	if n == total {
		return nil
	}
	if n < len(s.Servers) {
		return &Error{Path: s.Path, Key: "servers", Reason: fmt.Sprintf("%d servers are fewer than the %d kinds", n, len(s.Servers))}
	}
	rest := make([]float64, len(s.Servers))
	left := n
	for i := range s.Servers {
		exact := float64(s.Servers[i].Count) * float64(n) / float64(total)
		s.Servers[i].Count = max(1, int(exact))
		rest[i] = exact - float64(s.Servers[i].Count)
		left -= s.Servers[i].Count
	}
	for ; left != 0; left -= sign(left) { // one more for the kind that lacks most, or one less for the one that has the most over
		at := 0
		for i := range rest {
			if left > 0 && rest[i] > rest[at] || left < 0 && s.Servers[i].Count > 1 && (rest[i] < rest[at] || s.Servers[at].Count <= 1) {
				at = i
			}
		}
		s.Servers[at].Count += sign(left)
		rest[at] -= float64(sign(left))
	}
	s.Load.Rate *= float64(n) / float64(total)
	return s.check(nil)
}

func sign(n int) int {
	if n < 0 {
		return -1
	}
	return 1
}

// check finds all that makes no sense.
func (s *Scenario) check(at lines) error {
	var faults []error
	need := func(ok bool, key, reason string, args ...any) {
		if !ok && len(faults) < 50 {
			faults = append(faults, &Error{Path: s.Path, Line: at.line(key), Key: key, Reason: fmt.Sprintf(reason, args...)})
		}
	}
	positive := func(key string, d Dur) { need(d > 0, key, "%v is not above 0", time.Duration(d)) }
	least := func(key string, d Dur) { need(d >= 0, key, "%v is negative", time.Duration(d)) }
	part := func(key string, v float64) { need(v >= 0 && v <= 1, key, "%v is not within 0 and 1", v) }
	among := func(key, v string, of ...string) {
		need(slices.Contains(of, v), key, "%q is none of %s", v, strings.Join(of, ", "))
	}
	span := func(key string, v []float64, lo, hi float64) {
		if need(len(v) == 1 || len(v) == 2, key, "takes one number or two, not %d", len(v)); len(v) != 1 && len(v) != 2 {
			return
		}
		need(v[0] <= v[len(v)-1], key, "the range %v to %v is upside down", v[0], v[len(v)-1])
		for _, x := range v {
			need(x >= lo && x <= hi, key, "%v is not within %v and %v", x, lo, hi)
		}
	}
	need(s.Name != "", "name", "is missing")
	positive("length", s.Length)
	need(time.Duration(s.Length) <= mostLength, "length", "is over %v", mostLength)
	for _, h := range s.Hosts {
		among("hosts", h, "run", "sim")
	}
	f := &s.Fleet
	need(f.Sidecars >= 1 && f.Sidecars <= mostSidecars, "fleet.sidecars", "%d is not within 1 and %d", f.Sidecars, mostSidecars)
	need(len(f.Zones) >= 1 && len(f.Zones) <= 250, "fleet.zones", "names no zone, or too many")
	need(f.Skew >= 0, "fleet.skew", "%v is negative", f.Skew)
	need(f.Told > 0 && f.Told <= 1000, "fleet.told", "%v is not above 0 and at most 1000", f.Told)
	need(f.MemoryMB >= 16, "fleet.memory_mb", "%d is under 16", f.MemoryMB)
	need(f.Sockets >= 64, "fleet.sockets", "%d is under 64", f.Sockets)
	among("fleet.recall", f.Recall, "none", "handover", "kept")
	need(f.Recall != "none" || !slices.Contains(s.Hosts, "run"), "fleet.recall", "none takes hosts = [\"sim\"]: the program always tells")
	need(len(s.Servers) > 0, "servers", "no [[servers]] is given")
	total := 0
	for i := range s.Servers {
		k := &s.Servers[i]
		key := func(name string) string { return fmt.Sprintf("servers[%d].%s", i, name) }
		total += max(0, k.Count)
		need(k.Count >= 1, key("count"), "%d is not above 0", k.Count)
		need(k.Cores >= 1 && k.Cores <= 1024, key("cores"), "%d is not within 1 and 1024", k.Cores)
		span(key("speed"), k.Speed, 1e-3, 1e6)
		span(key("cold_from"), k.ColdFrom, 0.01, 1)
		need(k.Slots >= 1, key("slots_per_core"), "%d is not above 0", k.Slots)
		need(k.Queue >= 0, key("queue"), "%d is negative", k.Queue)
		need(k.ConnCap >= 1, key("conn_cap"), "%d is not above 0", k.ConnCap)
		positive(key("idle_close"), k.Idle)
		least(key("handshake"), k.Handshake)
		least(key("probe"), k.Probe)
		least(key("cold_for"), k.ColdFor)
		among(key("cancel"), k.Cancel, "none", "queued", "all")
		part(key("errors"), k.Errors)
		need(k.Thrash >= 0, key("thrash"), "%v is negative", k.Thrash)
		need(k.ThrashAt > 0, key("thrash_at"), "%v is not above 0", k.ThrashAt)
		positive(key("report.every"), k.Report.Every)
		least(key("report.delay"), k.Report.Delay)
		part(key("report.noise"), k.Report.Noise)
		if c := k.Choke; c != nil {
			need(c.At > 0, key("choke.at"), "%v is not above 0", c.At)
			need(c.Slower >= 1, key("choke.slower"), "%v is under 1", c.Slower)
			need(c.Below >= 0 && c.Below <= c.At, key("choke.below"), "%v is not within 0 and choke.at", c.Below)
			positive(key("choke.over"), c.Over)
			positive(key("choke.rest"), c.Rest)
			positive(key("choke.most"), c.Most)
		}
	}
	need(total <= mostServers, "servers", "%d servers are over %d", total, mostServers)
	need(len(s.Classes) > 0 && len(s.Classes) <= mostClasses, "class", "no [[class]] is given, or over %d", mostClasses)
	names := map[string]bool{}
	for i := range s.Classes {
		c := &s.Classes[i]
		key := func(name string) string { return fmt.Sprintf("class[%d].%s", i, name) }
		need(c.Name != "" && !strings.ContainsAny(c.Name, "/ ,=\"\\"), key("name"), "%q is no name of a class", c.Name)
		need(!names[c.Name], key("name"), "%q is there twice", c.Name)
		names[c.Name] = true
		need(c.Share >= 0, key("share"), "%v is negative", c.Share)
		need(c.Worth >= 0, key("worth"), "%v is negative", c.Worth)
		need(c.CV >= 0 && c.CV <= 10, key("cv"), "%v is not within 0 and 10", c.CV)
		positive(key("work"), c.Work)
		positive(key("aim"), c.Aim)
		positive(key("give_up"), c.GiveUp)
		need(c.Aim <= c.GiveUp, key("aim"), "is over give_up")
		among(key("dist"), c.Dist, "fixed", "exp", "lognormal", "pareto")
	}
	l := &s.Load
	need(l.Rate > 0, "load.rate", "%v is not above 0", l.Rate)
	need(l.Rate*time.Duration(s.Length).Seconds() <= mostRequests, "load.rate", "makes over %d requests", mostRequests)
	among("load.shape", l.Shape, "steady", "ramp", "wave")
	among("load.hints", l.Hints, "none", "rough", "exact")
	part("load.swing", l.Swing)
	need(l.Bodies >= 0 && l.Bodies <= 32<<20, "load.bodies", "%d is not within 0 and 32 MiB", l.Bodies)
	need(l.Answer >= 0 && l.Answer <= 32<<20, "load.answers", "%d is not within 0 and 32 MiB", l.Answer)
	c := &s.Clients
	need(c.Retries >= 0 && c.Retries <= 100, "clients.retries", "%d is not within 0 and 100", c.Retries)
	least("clients.backoff", c.Backoff)
	part("clients.honour", c.Honour)
	need(c.TryShare > 0 && c.TryShare <= 1, "clients.try_share", "%v is not within 0 and 1", c.TryShare)
	need(c.Conns >= 1, "clients.conns", "%d is not above 0", c.Conns)
	least("net.same", s.Net.Same)
	least("net.cross", s.Net.Cross)
	part("net.jitter", s.Net.Jitter)
	part("net.stalls", s.Net.Stalls)
	least("net.stall", s.Net.Stall)
	least("discovery.notice", s.Discovery.Notice)
	least("discovery.add", s.Discovery.Add)
	least("discovery.spread", s.Discovery.Spread)
	least("discovery.call", s.Discovery.Call)
	need(s.Discovery.Capacity >= 1, "discovery.capacity", "%d is not above 0", s.Discovery.Capacity)
	among("discovery.mode", s.Discovery.Mode, "watch", "push")
	r := &s.Rules
	positive("rules.drain_grace", r.DrainGrace)
	positive("rules.overload_for", r.OverloadFor)
	positive("rules.ramp_time", r.RampTime)
	positive("rules.ask_within", r.AskWithin)
	need(r.FallMultiple > 0, "rules.fall_multiple", "%v is not above 0", r.FallMultiple)
	need(r.ColdFrom > 0 && r.ColdFrom <= 1, "rules.cold_from", "%v is not within 0 and 1", r.ColdFrom)
	need(s.Limits.Attempts >= 1, "limits.attempts", "%d is not above 0", s.Limits.Attempts)
	need(s.Limits.Held >= 1, "limits.held", "%d is not above 0", s.Limits.Held)
	least("limits.max_retry_after", s.Limits.MaxRetryAfter)
	positive("limits.dial", s.Limits.Dial)
	among("limits.reports", s.Limits.Reports, "probe", "answers", "none")
	need(len(s.Faults) <= mostFaults, "fault", "%d faults are over %d", len(s.Faults), mostFaults)
	for i := range s.Faults {
		x := &s.Faults[i]
		key := func(name string) string { return fmt.Sprintf("fault[%d].%s", i, name) }
		_, known := FaultKinds[x.Kind]
		need(known, key("kind"), "%q is not a kind of fault", x.Kind)
		least(key("at"), x.At)
		least(key("for"), x.For)
		least(key("every"), x.Every)
		least(key("lag"), x.Lag)
		need(x.At <= s.Length, key("at"), "is after the end")
		need(x.Factor > 0 && !math.IsInf(x.Factor, 0), key("factor"), "%v is not above 0", x.Factor)
		need(x.Repeat >= 1 && x.Repeat <= 1000, key("repeat"), "%d is not within 1 and 1000", x.Repeat)
		part(key("share"), x.Share)
		need(x.Zone == "" || slices.Contains(f.Zones, x.Zone), key("zone"), "%q is not a zone", x.Zone)
		need(x.Class == "" || names[x.Class], key("class"), "%q is not a class", x.Class)
		for _, n := range x.Servers {
			need(n >= 0 && n < total, key("servers"), "%d is not a server's number: there are %d", n, total)
		}
		for _, n := range x.Sidecars {
			need(n >= 0 && n < f.Sidecars, key("sidecars"), "%d is not a sidecar's number: there are %d", n, f.Sidecars)
		}
	}
	part("keep.service", s.Keep.Service)
	for name, most := range s.Keep.Fleet {
		_, known := FleetFigures[name]
		need(known, "keep.fleet_most", "%q is not a figure of a fleet", name)
		need(!known || most > 0, "keep.fleet_most", "%s: %v is not above 0", name, most)
	}
	for name := range s.Keep.Class {
		need(names[name], "keep.class", "%q is not a class", name)
	}
	return errors.Join(faults...)
}

// Load shape ------------------------------------------------------------------

// RateAt is the rate of arrivals at a part of the run, 0 to 1, over the scenario's rate.
func (l *Load) RateAt(part float64) float64 {
	switch l.Shape {
	case "ramp":
		return 1.0/3 + 2.0/3*part
	case "wave":
		return 1 + l.Swing*math.Sin(2*math.Pi*3*part)
	}
	return 1
}

// Factor is by how much faults raise the arrivals at an instant; 0 while all sleep.
func (s *Scenario) Factor(at int64) float64 {
	x := 1.0
	for i := range s.Faults {
		f := &s.Faults[i]
		if from := f.At.Micros(); f.onLoad() && at >= from && at < from+f.For.Micros() {
			switch f.Kind {
			case "burst":
				x *= f.Factor
			case "asleep":
				x = 0
			}
		}
	}
	return x
}

// Total is the number of servers.
func (s *Scenario) Total() int {
	n := 0
	for i := range s.Servers {
		n += s.Servers[i].Count
	}
	return n
}

// On says whether the scenario can be played by a host.
func (s *Scenario) On(host string) bool { return slices.Contains(s.Hosts, host) }
