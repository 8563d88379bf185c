// Package scenario reads the lab's scenario files: the servers, sidecars and clients of a booking system, its load, the
// faults injected into it, and the bounds that the results of a run must meet.
//
// Files are TOML and read strictly: an unknown key, a range that starts above its end or a negative rate is an error
// that names the file, the line and the key.
package scenario

import (
	"fmt"
	"time"

	"birchmoor/internal/platform/stricttoml"
)

// Scenario is the content of a scenario file.
type Scenario struct {
	Name        string `toml:"name"`
	Description string `toml:"about"`
	Length      Dur    `toml:"length"` // time over which requests arrive
	// "run" (real time), "sim" (virtual time): hosts that can run it; empty for both
	Hosts     []string  `toml:"hosts"`
	Fleet     Fleet     `toml:"fleet"`
	Servers   []Servers `toml:"servers"` // one entry per kind
	Classes   []Class   `toml:"class"`
	Load      Load      `toml:"load"`
	Clients   Clients   `toml:"clients"`
	Net       Net       `toml:"net"`
	Discovery Discovery `toml:"discovery"`
	Rules     Rules     `toml:"rules"`
	Limits    Limits    `toml:"limits"`
	Faults    []Fault   `toml:"fault"`
	Bounds    Bounds    `toml:"keep"` // bounds that the results of a run must meet

	Path    string         `toml:"-"` // of the file, for errors
	Overlay map[string]any `toml:"-"` // settings of sidecars that an experiment overrides; nil for none
}

// Fleet describes the sidecars and their zones.
type Fleet struct {
	Sidecars int      `toml:"sidecars"`
	Zones    []string `toml:"zones"` // sidecars and servers are assigned to them in turn
	Skew     float64  `toml:"skew"`  // coefficient of variation of the sidecars' shares of the load; 0 for equal shares
	MemoryMB int      `toml:"memory_mb"`
	Sockets  int      `toml:"sockets"`
	// BelievedSizeFactor is the fleet size that each sidecar is configured with, as a multiple of the real number of
	// sidecars.
	BelievedSizeFactor float64 `toml:"told"`
	// StateTransfer says which state a new process gets from the old one: "none", "handover" (at an upgrade), or "kept"
	// (also after a kill).
	StateTransfer string `toml:"recall"`
}

// Servers describes one kind of slot server. A range is one value for all servers, or a low and a high one between
// which each server's value is drawn.
type Servers struct {
	Kind              string    `toml:"kind"`
	Count             int       `toml:"count"`
	Cores             int       `toml:"cores"`
	Speed             []float64 `toml:"speed"`          // range of a core's speed; work is stated for speed 1
	SlotsPerCore      int       `toml:"slots_per_core"` // requests that a core runs concurrently
	Queue             int       `toml:"queue"`          // requests that may wait for a slot
	ConnCap           int       `toml:"conn_cap"`       // connections, beyond which new ones are rejected
	IdleTimeout       Dur       `toml:"idle_close"`     // time after which the server closes an idle connection
	Handshake         Dur       `toml:"handshake"`      // work of a new connection
	Probe             Dur       `toml:"probe"`          // work of a probe
	Cancel            string    `toml:"cancel"`         // requests that a cancellation removes: "none", "queued", "all"
	ErrorShare        float64   `toml:"errors"`         // share of requests answered with an error
	InitialCapacity   []float64 `toml:"cold_from"`      // range of the share of its capacity that a cold server has
	WarmUpDuration    Dur       `toml:"cold_for"`       // time until a cold server has its whole capacity
	ThrashSlowdown    float64   `toml:"thrash"`         // slowdown added by each further thrash_at running requests
	ThrashJobsPerCore float64   `toml:"thrash_at"`      // running requests per core above which a server slows down
	Choke             *Choke    `toml:"choke"`          // nil: overload does not choke the server
	Report            Report    `toml:"report"`
}

// Choke slows a server down that has been overloaded, until it has recovered.
type Choke struct {
	OverloadHeldPerCore float64 `toml:"at"`     // running and waiting requests per core that are an overload
	OverloadDuration    Dur     `toml:"over"`   // duration of the overload after which the server chokes
	SlowdownFactor      float64 `toml:"slower"` // factor by which a choked server is slower
	RecoveryHeldPerCore float64 `toml:"below"`  // running and waiting requests per core up to which the server recovers
	RecoveryDuration    Dur     `toml:"rest"`   // duration of such a low load after which the choke ends
	MaxDuration         Dur     `toml:"most"`   // longest duration of a choke
}

// Report describes how a server makes its load reports.
type Report struct {
	Interval Dur     `toml:"every"` // least time between two reports
	Delay    Dur     `toml:"delay"` // least age of a report that is sent, if there is one so old
	Noise    float64 `toml:"noise"` // relative standard deviation of each figure
}

// Class is a class of requests.
type Class struct {
	Name             string  `toml:"name"`
	Share            float64 `toml:"share"`   // weight of the class among all requests
	Work             Dur     `toml:"work"`    // mean service time on a core of speed 1
	Dist             string  `toml:"dist"`    // distribution of the work: "fixed", "exp", "lognormal", "pareto"
	CV               float64 `toml:"cv"`      // coefficient of variation of a lognormal distribution
	LatencyObjective Dur     `toml:"aim"`     // latency objective
	Timeout          Dur     `toml:"give_up"` // timeout of a task, with all its client's retries
	PriorityWeight   float64 `toml:"worth"`   // priority weight
	NotIdempotent    bool    `toml:"unsafe"`  // not idempotent: must not run twice
}

// Load describes the arrivals of tasks, over all sidecars, without clients' retries.
type Load struct {
	Rate float64 `toml:"rate"` // tasks per second
	// "steady", "ramp" (up from a third of the rate), "wave" (three sine periods)
	Shape         string  `toml:"shape"`
	WaveAmplitude float64 `toml:"swing"`   // amplitude of a wave, as a share of the rate
	Hints         string  `toml:"hints"`   // estimates of a request's work that clients send: "none", "rough", "exact"
	BodyBytes     int     `toml:"bodies"`  // bytes of the body of a write
	AnswerBytes   int     `toml:"answers"` // bytes of the body of an answer
}

// Clients describes the behaviour of the clients.
type Clients struct {
	Retries             int     `toml:"retries"`     // maximum number of retries per task
	Backoff             Dur     `toml:"backoff"`     // mean delay of the first retry, doubled for each further one
	RetryAfterShare     float64 `toml:"honour"`      // share of retries that wait for Retry-After, not the backoff
	RequestTimeoutShare float64 `toml:"try_share"`   // timeout of one request, as a share of the class's give_up
	MarksRetries        bool    `toml:"marks_retry"` // clients mark their retries as such
	MaxConns            int     `toml:"conns"`       // maximum number of connections between a sidecar and its clients
}

// Net describes the network between sidecars, servers and discovery. Its delays are one way.
type Net struct {
	SameZoneDelay  Dur     `toml:"same"`   // mean delay within a zone
	CrossZoneDelay Dur     `toml:"cross"`  // mean delay between zones
	Jitter         float64 `toml:"jitter"` // largest deviation from the mean delay, as a share of it
	StallShare     float64 `toml:"stalls"` // share of messages that stall, as on a busy machine or after a lost packet
	MaxStall       Dur     `toml:"stall"`  // longest stall
}

// Discovery describes the discovery service, from which sidecars get the endpoint list.
type Discovery struct {
	RemovalDelay   Dur    `toml:"notice"`   // mean time from a drain or the end of a process until it is listed
	AddDelay       Dur    `toml:"add"`      // mean time from a start until it is listed
	Capacity       int    `toml:"capacity"` // calls served concurrently
	CallTime       Dur    `toml:"call"`     // service time of a call
	MaxUpdateDelay Dur    `toml:"spread"`   // maximum of the sidecars' extra delays of watch events
	Shuffle        bool   `toml:"shuffle"`  // each sidecar gets the entries in an order of its own
	Mode           string `toml:"mode"`     // "watch": modules subscribe to changes; "push": their hosts always watch
}

// Rules holds the figures of the users' rules. Sidecars are configured with them, and the checker applies them.
type Rules struct {
	DrainGrace        Dur     `toml:"drain_grace"`   // time after the notice of a drain for further attempts
	OverloadMultiple  float64 `toml:"fall_multiple"` // multiple of its capacity above which a cold server collapses
	OverloadWindow    Dur     `toml:"overload_for"`  // time over which that overload is measured
	InitialCapacity   float64 `toml:"cold_from"`     // least share of its capacity that a cold server starts with
	SlowStartDuration Dur     `toml:"ramp_time"`     // time from its start until a server has its whole capacity
	PollInterval      Dur     `toml:"ask_within"`    // longest time between polls of discovery
}

// Limits holds the limits of the sidecars and the features that they may use.
type Limits struct {
	MaxAttempts    int    `toml:"attempts"`      // maximum number of attempts per request
	HedgedRequests bool   `toml:"second_copies"` // hedged requests
	Probes         bool   `toml:"probes"`
	Reports        string `toml:"reports"`     // what carries load reports: "probe", "answers", "none"
	RetryAfter     bool   `toml:"retry_after"` // rejections carry Retry-After
	MaxRetryAfter  Dur    `toml:"max_retry_after"`
	DialTimeout    Dur    `toml:"dial"` // dial timeout
	MaxOpen        int    `toml:"held"` // maximum number of open requests per sidecar
}

// Fault is a fault injection, or an action of operators. FaultKinds says which of the fields a kind uses.
type Fault struct {
	Kind     string  `toml:"kind"`
	At       Dur     `toml:"at"`       // start, from the start of the scenario
	Duration Dur     `toml:"for"`      // duration
	Servers  []int   `toml:"servers"`  // numbers from 0; empty for those of Zone, or all
	Zone     string  `toml:"zone"`     // empty for all
	Share    float64 `toml:"share"`    // of the servers, of the sidecars, or of a class's requests
	Sidecars []int   `toml:"sidecars"` // numbers from 0; empty for all
	Class    string  `toml:"class"`    // empty for all
	Factor   float64 `toml:"factor"`   // depends on the kind
	Interval Dur     `toml:"every"`    // delay between one server and the next, or between resets of a link
	Lag      Dur     `toml:"lag"`      // depends on the kind
	Repeat   int     `toml:"repeat"`   // number of occurrences
}

// Bounds holds the bounds that the results of a run must meet. Zero is no bound.
type Bounds struct {
	MinService        float64            `toml:"service"`         // minimum service figure, 0 to 1
	MinClassService   map[string]float64 `toml:"class"`           // minimum service figure of a class, by its name
	MaxAttempts       float64            `toml:"attempts_most"`   // maximum of attempts per task
	MaxRejectedShare  float64            `toml:"refused_most"`    // maximum share of requests that are rejected
	MaxFailedShare    float64            `toml:"failed_most"`     // maximum share of requests that fail
	MaxConnects       float64            `toml:"handshakes_most"` // maximum of connections opened per task
	MaxCrossZoneShare float64            `toml:"crossings_most"`  // maximum share of attempts that go to another zone
	MaxP99            Dur                `toml:"p99_most"`        // maximum p99 latency of served requests
	// maximum of fleet figures, by the names in FleetFigures
	MaxFleetFigures map[string]float64 `toml:"fleet_most"`
}

// FleetFigures maps the names of the figures of a whole fleet that a scenario may bound to their descriptions. Each
// figure counts over all sidecars.
var FleetFigures = map[string]string{
	"probes_mean":        "probes a server and second",
	"probes_worst":       "probes of a server in its worst second",
	"handshakes_mean":    "connections opened a server and second",
	"handshakes_worst":   "connections opened to a server in its worst second",
	"connections_mean":   "open connections of a server, of its cap",
	"connections_worst":  "and the most at a second's end",
	"shut_mean":          "connections turned away at the cap, a server and second",
	"shut_worst":         "and of a server in its worst second",
	"cold_mean":          "work sent to a cold server, of what pushes it over",
	"cold_worst":         "and of any cold server",
	"ramp_mean":          "requests of mean work sent to a cold server in its time, of N + 2 roots of N + 2",
	"ramp_worst":         "and to any cold server",
	"ramp_falls":         "cold servers that were sent more",
	"ramp_falls_told":    "of them, those for which over two thirds came from sidecars told of the start",
	"calls_mean":         "calls of discovery a second",
	"calls_worst":        "and in the worst second",
	"calls_failed":       "share of them that failed",
	"call_wait_mean_ms":  "wait for an answer of discovery",
	"call_wait_worst_ms": "and the longest",
}

// Dur is a duration that is written in Go's syntax, such as "80ms".
type Dur time.Duration

// UnmarshalText parses a duration in the syntax of time.ParseDuration.
func (d *Dur) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"80ms\"", text)
	}
	*d = Dur(v)
	return nil
}

// MarshalText returns the duration in the syntax that UnmarshalText parses.
func (d Dur) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Micros returns the duration in microseconds, rounded towards zero.
func (d Dur) Micros() int64 { return time.Duration(d).Microseconds() }

// FaultKinds maps the kinds of fault to their descriptions, in terms of the fields of Fault.
var FaultKinds = map[string]string{
	"burst":           "the rate of arrivals is factor times as high",
	"heavy-tail":      "share of a class's requests cost factor times the work",
	"discovery-down":  "discovery answers nobody and its watches end",
	"discovery-stale": "discovery's list runs lag further behind",
	"drain":           "the servers drain, and serve again after for",
	"restart":         "the servers drain, end after lag, and start cold after for",
	"crash":           "the servers' processes end at once, and start cold after for",
	"hang":            "the servers accept and answer nothing",
	"slow":            "the servers are factor times slower",
	"gray-errors":     "share of the requests of class, from sidecars, fail at the servers; probes look healthy",
	"gray-slow":       "the servers are factor times slower, and probes look idle",
	"choke":           "the servers are choked as if overdriven",
	"cold":            "the servers have just been started when the run begins",
	"black-hole":      "what goes between sidecars and servers is lost, with no word",
	"reset":           "connections between sidecars and servers break, every time again",
	"delay":           "what goes between sidecars and servers takes lag longer",
	"bandwidth":       "links between sidecars and servers carry factor bytes a second in each direction",
	"pieces":          "what goes between sidecars and servers comes in pieces of factor bytes, lag apart",
	"half-close":      "the end of sending is not passed on between sidecars and servers",
	"upgrade":         "a new process takes over from each of the sidecars",
	"kill":            "the sidecars are killed outright and start again after for",
	"stop":            "the sidecars are asked to end and start again",
	"freeze":          "the sidecars get no processor for this time",
	"maintain":        "operators take the servers out, restart them, and call them back after for",
	"asleep":          "nothing is asked of the sidecars, and discovery is down; then all wake at once",
}

// affectsArrivals reports whether the fault takes effect when arrivals are drawn.
func (f *Fault) affectsArrivals() bool {
	return f.Kind == "burst" || f.Kind == "heavy-tail" || f.Kind == "asleep"
}

// AffectsLinks reports whether the fault affects links between sidecars and servers.
func (f *Fault) AffectsLinks() bool {
	switch f.Kind {
	case "black-hole", "reset", "delay", "bandwidth", "pieces", "half-close":
		return true
	}
	return false
}

// Error is a mistake in a scenario file, with its place.
type Error = stricttoml.Error
