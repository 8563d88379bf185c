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

// Bounds of what a scenario may request, so that a typing error in it does not overload the machine.
const (
	maxSidecars = 5000
	maxServers  = 2000
	maxClasses  = 32
	maxFaults   = 256
	maxRequests = 20_000_000
	maxLength   = time.Hour
)

// Read reads and validates a scenario file. The error joins all mistakes that were found, each an Error.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads and validates the text of a scenario file. The path is used in errors only.
func Parse(path string, text []byte) (*Scenario, error) {
	s := defaults()
	s.Path = path
	if err := stricttoml.Decode(path, "scenarios", text, s); err != nil {
		return nil, err
	}
	s.applyDefaults()
	if err := s.validate(indexKeys(text)); err != nil {
		return nil, err
	}
	return s, nil
}

// millis converts milliseconds to a Dur.
func millis(milliseconds float64) Dur { return Dur(milliseconds * float64(time.Millisecond)) }

// defaults returns the scenario that files are decoded into: the booking system as its users describe it, without
// servers and classes.
func defaults() *Scenario {
	return &Scenario{
		Length: Dur(20 * time.Second),
		Fleet: Fleet{Sidecars: 2, Zones: []string{"petrzalka", "trnava"}, BelievedSizeFactor: 1, MemoryMB: 192,
			Sockets: 1024, StateTransfer: "handover"},
		Load: Load{Rate: 100, Shape: "steady", Hints: "rough", BodyBytes: 64, AnswerBytes: 200},
		Clients: Clients{Retries: 2, Backoff: millis(60), RetryAfterShare: 0.75, RequestTimeoutShare: 0.7,
			MaxConns: 256},
		Net: Net{SameZoneDelay: millis(0.1), CrossZoneDelay: millis(2), Jitter: 0.2},
		Discovery: Discovery{RemovalDelay: millis(1500), AddDelay: millis(1000), Capacity: 4, CallTime: millis(20),
			Mode: "watch"},
		Rules: Rules{DrainGrace: millis(500), OverloadMultiple: 3, OverloadWindow: millis(3000), InitialCapacity: 0.13,
			SlowStartDuration: millis(24000), PollInterval: millis(10000)},
		Limits: Limits{MaxAttempts: 4, HedgedRequests: true, Probes: true, Reports: "probe", RetryAfter: true,
			MaxRetryAfter: millis(750), DialTimeout: millis(200), MaxOpen: 30000},
	}
}

// applyDefaults sets the defaults of list elements, which defaults cannot set before decoding.
func (s *Scenario) applyDefaults() {
	for i := range s.Servers {
		servers := &s.Servers[i]
		setDefault(&servers.Kind, fmt.Sprintf("kind-%d", i))
		setDefault(&servers.Count, 1)
		setDefault(&servers.Cores, 2)
		if servers.Speed == nil {
			servers.Speed = []float64{1}
		}
		if servers.InitialCapacity == nil {
			servers.InitialCapacity = []float64{0.2}
		}
		setDefault(&servers.SlotsPerCore, 8)
		setDefault(&servers.Queue, 6)
		setDefault(&servers.ConnCap, 1000)
		setDefault(&servers.IdleTimeout, Dur(time.Minute))
		setDefault(&servers.Cancel, "queued")
		setDefault(&servers.WarmUpDuration, Dur(15*time.Second))
		setDefault(&servers.ThrashJobsPerCore, 4)
		setDefault(&servers.Report.Interval, millis(3))
	}
	for i := range s.Classes {
		class := &s.Classes[i]
		setDefault(&class.Share, 1)
		setDefault(&class.Work, millis(50))
		setDefault(&class.Dist, "lognormal")
		setDefault(&class.LatencyObjective, millis(400))
		setDefault(&class.Timeout, millis(1200))
		setDefault(&class.PriorityWeight, 1)
	}
	for i := range s.Faults {
		setDefault(&s.Faults[i].Factor, 1)
		setDefault(&s.Faults[i].Repeat, 1)
	}
	if len(s.Hosts) == 0 {
		s.Hosts = []string{"run", "sim"}
	}
}

// setDefault sets a zero value to its default.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// keyLines maps the keys of a file to their line numbers.
type keyLines map[string]int

// indexKeys returns the lines of the keys in a file. Keys inside inline tables are not in it, only the table's own key.
func indexKeys(text []byte) keyLines {
	lines := keyLines{}
	tableCounts := map[string]int{}
	prefix := ""
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, 1<<20)
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		line := strings.TrimSpace(scanner.Text())
		if beforeComment, _, ok := strings.Cut(line, "#"); ok && !strings.Contains(beforeComment, `"`) {
			line = strings.TrimSpace(beforeComment)
		}
		switch {
		case strings.HasPrefix(line, "[["):
			name := strings.Trim(line, "[] ")
			prefix = fmt.Sprintf("%s[%d].", name, tableCounts[name])
			lines[strings.TrimSuffix(prefix, ".")] = lineNumber
			tableCounts[name]++
		case strings.HasPrefix(line, "["):
			name := strings.Trim(line, "[] ")
			if parent, rest, ok := strings.Cut(name, "."); ok && tableCounts[parent] > 0 {
				name = fmt.Sprintf("%s[%d].%s", parent, tableCounts[parent]-1, rest)
			}
			prefix = name + "."
			lines[name] = lineNumber
		default:
			if key, _, ok := strings.Cut(line, "="); ok {
				lines[prefix+strings.Trim(strings.TrimSpace(key), `"`)] = lineNumber
			}
		}
	}
	return lines
}

// line returns the line of a key, or of the innermost enclosing table that has one, or 0.
func (l keyLines) line(key string) int {
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

// SetSidecars changes the number of sidecars. It is an error if a fault names a sidecar that no longer exists.
func (s *Scenario) SetSidecars(sidecars int) error {
	s.Fleet.Sidecars = sidecars
	return s.validate(nil)
}

// SetServers changes the number of servers, and the request rate in proportion. Each kind keeps its share of the
// servers, rounded by largest remainder, and at least one. It is an error if a fault names a server that no longer
// exists.
func (s *Scenario) SetServers(servers int) error {
	total := s.ServerCount()
	if servers == total {
		return nil
	}
	if servers < len(s.Servers) {
		return &Error{Path: s.Path, Key: "servers",
			Reason: fmt.Sprintf("%d servers are fewer than the %d kinds", servers, len(s.Servers))}
	}
	remainders := make([]float64, len(s.Servers))
	unassigned := servers
	for i := range s.Servers {
		exact := float64(s.Servers[i].Count) * float64(servers) / float64(total)
		s.Servers[i].Count = max(1, int(exact))
		remainders[i] = exact - float64(s.Servers[i].Count)
		unassigned -= s.Servers[i].Count
	}
	// Add a server to the kind with the largest remainder, or remove one from the kind with the smallest, until all are
	// assigned.
	for ; unassigned != 0; unassigned -= sign(unassigned) {
		chosen := 0
		for i := range remainders {
			if unassigned > 0 && remainders[i] > remainders[chosen] || unassigned < 0 && s.Servers[i].Count > 1 &&
				(remainders[i] < remainders[chosen] || s.Servers[chosen].Count <= 1) {
				chosen = i
			}
		}
		s.Servers[chosen].Count += sign(unassigned)
		remainders[chosen] -= float64(sign(unassigned))
	}
	s.Load.Rate *= float64(servers) / float64(total)
	return s.validate(nil)
}

func sign(n int) int {
	if n < 0 {
		return -1
	}
	return 1
}

// validate returns all invalid values, joined, with the lines of their keys; without lines, the errors name no line. It
// stops at 50.
func (s *Scenario) validate(lines keyLines) error {
	var errs []error
	require := func(ok bool, key, reason string, args ...any) {
		if !ok && len(errs) < 50 {
			errs = append(errs, &Error{Path: s.Path, Line: lines.line(key), Key: key,
				Reason: fmt.Sprintf(reason, args...)})
		}
	}
	positive := func(key string, d Dur) { require(d > 0, key, "%v is not above 0", time.Duration(d)) }
	nonNegative := func(key string, d Dur) { require(d >= 0, key, "%v is negative", time.Duration(d)) }
	fraction := func(key string, v float64) { require(v >= 0 && v <= 1, key, "%v is not within 0 and 1", v) }
	oneOf := func(key, v string, allowed ...string) {
		require(slices.Contains(allowed, v), key, "%q is none of %s", v, strings.Join(allowed, ", "))
	}
	numberRange := func(key string, values []float64, low, high float64) {
		if require(len(values) == 1 || len(values) == 2, key, "takes one number or two, not %d",
			len(values)); len(values) != 1 && len(values) != 2 {
			return
		}
		require(values[0] <= values[len(values)-1], key, "the range %v to %v starts above its end", values[0],
			values[len(values)-1])
		for _, value := range values {
			require(value >= low && value <= high, key, "%v is not within %v and %v", value, low, high)
		}
	}
	require(s.Name != "", "name", "is missing")
	positive("length", s.Length)
	require(time.Duration(s.Length) <= maxLength, "length", "is over %v", maxLength)
	for _, host := range s.Hosts {
		oneOf("hosts", host, "run", "sim")
	}
	fleet := &s.Fleet
	require(fleet.Sidecars >= 1 && fleet.Sidecars <= maxSidecars, "fleet.sidecars",
		"%d is not within 1 and %d", fleet.Sidecars, maxSidecars)
	require(len(fleet.Zones) >= 1 && len(fleet.Zones) <= 250, "fleet.zones", "names no zone, or more than 250")
	require(fleet.Skew >= 0, "fleet.skew", "%v is negative", fleet.Skew)
	require(fleet.BelievedSizeFactor > 0 && fleet.BelievedSizeFactor <= 1000, "fleet.told",
		"%v is not above 0 and at most 1000", fleet.BelievedSizeFactor)
	require(fleet.MemoryMB >= 16, "fleet.memory_mb", "%d is under 16", fleet.MemoryMB)
	require(fleet.Sockets >= 64, "fleet.sockets", "%d is under 64", fleet.Sockets)
	oneOf("fleet.recall", fleet.StateTransfer, "none", "handover", "kept")
	require(fleet.StateTransfer != "none" || !slices.Contains(s.Hosts, "run"), "fleet.recall",
		"none requires hosts = [\"sim\"], because the program always hands over its state")
	require(len(s.Servers) > 0, "servers", "no [[servers]] is given")
	total := 0
	for i := range s.Servers {
		servers := &s.Servers[i]
		key := func(name string) string { return fmt.Sprintf("servers[%d].%s", i, name) }
		total += max(0, servers.Count)
		require(servers.Count >= 1, key("count"), "%d is not above 0", servers.Count)
		require(servers.Cores >= 1 && servers.Cores <= 1024, key("cores"), "%d is not within 1 and 1024", servers.Cores)
		numberRange(key("speed"), servers.Speed, 1e-3, 1e6)
		numberRange(key("cold_from"), servers.InitialCapacity, 0.01, 1)
		require(servers.SlotsPerCore >= 1, key("slots_per_core"), "%d is not above 0", servers.SlotsPerCore)
		require(servers.Queue >= 0, key("queue"), "%d is negative", servers.Queue)
		require(servers.ConnCap >= 1, key("conn_cap"), "%d is not above 0", servers.ConnCap)
		positive(key("idle_close"), servers.IdleTimeout)
		nonNegative(key("handshake"), servers.Handshake)
		nonNegative(key("probe"), servers.Probe)
		nonNegative(key("cold_for"), servers.WarmUpDuration)
		oneOf(key("cancel"), servers.Cancel, "none", "queued", "all")
		fraction(key("errors"), servers.ErrorShare)
		require(servers.ThrashSlowdown >= 0, key("thrash"), "%v is negative", servers.ThrashSlowdown)
		require(servers.ThrashJobsPerCore > 0, key("thrash_at"), "%v is not above 0", servers.ThrashJobsPerCore)
		positive(key("report.every"), servers.Report.Interval)
		nonNegative(key("report.delay"), servers.Report.Delay)
		fraction(key("report.noise"), servers.Report.Noise)
		if choke := servers.Choke; choke != nil {
			require(choke.OverloadHeldPerCore > 0, key("choke.at"), "%v is not above 0", choke.OverloadHeldPerCore)
			require(choke.SlowdownFactor >= 1, key("choke.slower"), "%v is under 1", choke.SlowdownFactor)
			require(choke.RecoveryHeldPerCore >= 0 && choke.RecoveryHeldPerCore <= choke.OverloadHeldPerCore,
				key("choke.below"), "%v is not within 0 and choke.at", choke.RecoveryHeldPerCore)
			positive(key("choke.over"), choke.OverloadDuration)
			positive(key("choke.rest"), choke.RecoveryDuration)
			positive(key("choke.most"), choke.MaxDuration)
		}
	}
	require(total <= maxServers, "servers", "%d servers are over %d", total, maxServers)
	require(len(s.Classes) > 0 && len(s.Classes) <= maxClasses, "class",
		"no [[class]] is given, or more than %d", maxClasses)
	names := map[string]bool{}
	for i := range s.Classes {
		class := &s.Classes[i]
		key := func(name string) string { return fmt.Sprintf("class[%d].%s", i, name) }
		require(class.Name != "" && !strings.ContainsAny(class.Name, "/ ,=\"\\"), key("name"),
			"%q is not a valid class name", class.Name)
		require(!names[class.Name], key("name"), "%q is used twice", class.Name)
		names[class.Name] = true
		require(class.Share >= 0, key("share"), "%v is negative", class.Share)
		require(class.PriorityWeight >= 0, key("worth"), "%v is negative", class.PriorityWeight)
		require(class.CV >= 0 && class.CV <= 10, key("cv"), "%v is not within 0 and 10", class.CV)
		positive(key("work"), class.Work)
		positive(key("aim"), class.LatencyObjective)
		positive(key("give_up"), class.Timeout)
		require(class.LatencyObjective <= class.Timeout, key("aim"), "is over give_up")
		oneOf(key("dist"), class.Dist, "fixed", "exp", "lognormal", "pareto")
	}
	load := &s.Load
	require(load.Rate > 0, "load.rate", "%v is not above 0", load.Rate)
	require(load.Rate*time.Duration(s.Length).Seconds() <= maxRequests, "load.rate", "makes over %d requests",
		maxRequests)
	oneOf("load.shape", load.Shape, "steady", "ramp", "wave")
	oneOf("load.hints", load.Hints, "none", "rough", "exact")
	fraction("load.swing", load.WaveAmplitude)
	require(load.BodyBytes >= 0 && load.BodyBytes <= 32<<20, "load.bodies", "%d is not within 0 and 32 MiB",
		load.BodyBytes)
	require(load.AnswerBytes >= 0 && load.AnswerBytes <= 32<<20, "load.answers", "%d is not within 0 and 32 MiB",
		load.AnswerBytes)
	clients := &s.Clients
	require(clients.Retries >= 0 && clients.Retries <= 100, "clients.retries",
		"%d is not within 0 and 100", clients.Retries)
	nonNegative("clients.backoff", clients.Backoff)
	fraction("clients.honour", clients.RetryAfterShare)
	require(clients.RequestTimeoutShare > 0 && clients.RequestTimeoutShare <= 1, "clients.try_share",
		"%v is not within 0 and 1", clients.RequestTimeoutShare)
	require(clients.MaxConns >= 1, "clients.conns", "%d is not above 0", clients.MaxConns)
	nonNegative("net.same", s.Net.SameZoneDelay)
	nonNegative("net.cross", s.Net.CrossZoneDelay)
	fraction("net.jitter", s.Net.Jitter)
	fraction("net.stalls", s.Net.StallShare)
	nonNegative("net.stall", s.Net.MaxStall)
	nonNegative("discovery.notice", s.Discovery.RemovalDelay)
	nonNegative("discovery.add", s.Discovery.AddDelay)
	nonNegative("discovery.spread", s.Discovery.MaxUpdateDelay)
	nonNegative("discovery.call", s.Discovery.CallTime)
	require(s.Discovery.Capacity >= 1, "discovery.capacity", "%d is not above 0", s.Discovery.Capacity)
	oneOf("discovery.mode", s.Discovery.Mode, "watch", "push")
	rules := &s.Rules
	positive("rules.drain_grace", rules.DrainGrace)
	positive("rules.overload_for", rules.OverloadWindow)
	positive("rules.ramp_time", rules.SlowStartDuration)
	positive("rules.ask_within", rules.PollInterval)
	require(rules.OverloadMultiple > 0, "rules.fall_multiple", "%v is not above 0", rules.OverloadMultiple)
	require(rules.InitialCapacity > 0 && rules.InitialCapacity <= 1, "rules.cold_from", "%v is not within 0 and 1",
		rules.InitialCapacity)
	require(s.Limits.MaxAttempts >= 1, "limits.attempts", "%d is not above 0", s.Limits.MaxAttempts)
	require(s.Limits.MaxOpen >= 1, "limits.held", "%d is not above 0", s.Limits.MaxOpen)
	nonNegative("limits.max_retry_after", s.Limits.MaxRetryAfter)
	positive("limits.dial", s.Limits.DialTimeout)
	oneOf("limits.reports", s.Limits.Reports, "probe", "answers", "none")
	require(len(s.Faults) <= maxFaults, "fault", "%d faults are over %d", len(s.Faults), maxFaults)
	for i := range s.Faults {
		fault := &s.Faults[i]
		key := func(name string) string { return fmt.Sprintf("fault[%d].%s", i, name) }
		_, known := FaultKinds[fault.Kind]
		require(known, key("kind"), "%q is not a kind of fault", fault.Kind)
		nonNegative(key("at"), fault.At)
		nonNegative(key("for"), fault.Duration)
		nonNegative(key("every"), fault.Interval)
		nonNegative(key("lag"), fault.Lag)
		require(fault.At <= s.Length, key("at"), "is after the end")
		require(fault.Factor > 0 && !math.IsInf(fault.Factor, 0), key("factor"), "%v is not above 0", fault.Factor)
		require(fault.Repeat >= 1 && fault.Repeat <= 1000, key("repeat"), "%d is not within 1 and 1000", fault.Repeat)
		fraction(key("share"), fault.Share)
		require(fault.Zone == "" || slices.Contains(fleet.Zones, fault.Zone), key("zone"), "%q is not a zone",
			fault.Zone)
		require(fault.Class == "" || names[fault.Class], key("class"), "%q is not a class", fault.Class)
		for _, n := range fault.Servers {
			require(n >= 0 && n < total, key("servers"), "%d is not a server's number: there are %d", n, total)
		}
		for _, n := range fault.Sidecars {
			require(n >= 0 && n < fleet.Sidecars, key("sidecars"),
				"%d is not a sidecar's number: there are %d", n, fleet.Sidecars)
		}
	}
	fraction("keep.service", s.Bounds.MinService)
	for name, limit := range s.Bounds.MaxFleetFigures {
		_, known := FleetFigures[name]
		require(known, "keep.fleet_most", "%q is not a figure of a fleet", name)
		require(!known || limit > 0, "keep.fleet_most", "%s: %v is not above 0", name, limit)
	}
	for name := range s.Bounds.MinClassService {
		require(names[name], "keep.class", "%q is not a class", name)
	}
	return errors.Join(errs...)
}

// Load shape ------------------------------------------------------------------

// RateAt returns the rate of arrivals as a multiple of Rate, at an instant given as the elapsed share of the scenario's
// length, 0 to 1.
func (l *Load) RateAt(elapsed float64) float64 {
	switch l.Shape {
	case "ramp":
		return 1.0/3 + 2.0/3*elapsed
	case "wave":
		return 1 + l.WaveAmplitude*math.Sin(2*math.Pi*3*elapsed)
	}
	return 1
}

// ArrivalFactor returns the factor by which faults change the rate of arrivals at an instant, in microseconds from the
// start of the scenario: 0 during a fault of kind asleep, and above 1 in a burst.
func (s *Scenario) ArrivalFactor(offset int64) float64 {
	factor := 1.0
	for i := range s.Faults {
		fault := &s.Faults[i]
		if start := fault.At.Micros(); fault.affectsArrivals() && offset >= start &&
			offset < start+fault.Duration.Micros() {
			switch fault.Kind {
			case "burst":
				factor *= fault.Factor
			case "asleep":
				factor = 0
			}
		}
	}
	return factor
}

// ServerCount returns the number of servers of all kinds.
func (s *Scenario) ServerCount() int {
	total := 0
	for i := range s.Servers {
		total += s.Servers[i].Count
	}
	return total
}

// RunsOn reports whether a host, "run" or "sim", can run the scenario.
func (s *Scenario) RunsOn(host string) bool { return slices.Contains(s.Hosts, host) }
